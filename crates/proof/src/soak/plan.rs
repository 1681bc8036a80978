//! Drawing a soak's faults from its seed.

use std::ops::Range;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sardinemux_standin::platform;
use sardinemux_standin::proxy::{Fault, Isolation};
use sardinemux_standin::replica::answer::Flood;
use sardinemux_standin::replica::Faults;

use super::Settings;

/// How long a fault lasts, in milliseconds: up to what a gateway's own time limits must outlast.
const LASTS_MS: std::ops::Range<u64> = 200..4_000;

/// The part of the requests that a faulty replica harms.
const HARMED: std::ops::Range<f64> = 0.1..0.6;

/// The share of the faults that take a gateway its paths to all replicas, where there are such.
const ISOLATIONS: f64 = 0.3;

/// The share of the faults that are restores of the store, or statements of replicas, where there are such.
const RESTORES: f64 = 0.4;

/// The share of the faults that are lapses of entries, where there are such.
const LAPSES: f64 = 0.3;

/// The share of the faults that let a replica send bytes without end, where there are such.
const FLOODS: f64 = 0.4;

/// The share of the faults that slow a replica down, where there are such.
const SLOWNESS: f64 = 0.4;

/// How much longer each event of a slow replica takes, in milliseconds.
const LAG_MS: Range<u64> = 100..600;

/// The share of the faults that are moves of routes, where there are such.
const MOVES: f64 = 0.3;

/// The age of a copy from which the store comes back, in milliseconds.
const COPY_AGE_MS: std::ops::Range<u64> = 300..4_000;

/// One fault or planned change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// A gateway is killed and started again.
    Kill(usize),
    /// All gateways are killed and started again.
    KillAll,
    /// A gateway is stopped gracefully and started again.
    Terminate(usize),
    /// A gateway stands still.
    Freeze(usize),
    /// A gateway's settings are read again.
    HangUp(usize),
    /// The store misbehaves.
    HarmStore(platform::Faults),
    /// The store forgets its history.
    ForgetHistory,
    /// A gateway's path to the store misbehaves.
    HarmStorePath(usize, Fault),
    /// The path to a replica misbehaves.
    HarmReplicaPath(usize, Fault),
    /// A gateway loses its paths to all replicas.
    Isolate(usize, Isolation),
    /// A replica misbehaves.
    HarmReplica(usize, Faults),
    /// A replica leaves and comes back.
    Leave(usize),
    /// A new version of the desired state, with another time-out in milliseconds.
    Configure(u64),
    /// The routes of the plain service move to another pool.
    Move,
    /// The store is away, and comes back from a copy of this age in milliseconds.
    Restore(u64),
    /// A replica states in its answers that it leaves, and starts anew.
    State(usize),
    /// A replica turns requests away for a time that it states.
    Pause(usize),
    /// A replica's entry is taken out of the store and written again, unchanged, several times while the replica turns requests away.
    Lapse(usize),
}

/// An action and when it begins.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// When it begins, from the start of the load.
    pub at: Duration,
    /// How long it lasts, where it does.
    pub lasts: Duration,
    /// What is done.
    pub action: Action,
}

/// Everything that a soak does.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// The steps, by their beginning.
    pub steps: Vec<Step>,
}

impl Plan {
    /// Draws a plan. A gateway's process is acted on by one step at a time, a replica leaves once, and its path or the store
    /// is harmed by one step at a time; all else overlaps.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_proof::soak::plan::Plan;
    /// use sardinemux_proof::soak::Settings;
    ///
    /// let settings = Settings { seed: 7, ..Settings::default() };
    /// assert_eq!(Plan::draw(&settings), Plan::draw(&settings));
    /// ```
    pub fn draw(settings: &Settings) -> Self {
        let mut random = StdRng::seed_from_u64(settings.seed);
        let mut steps: Vec<Step> = Vec::new();
        let span_ms = settings.time.as_millis() as u64;
        let mut moments: Vec<u64> = (0..settings.faults)
            .map(|_| random.random_range(0..span_ms.max(1)))
            .collect();
        moments.sort_unstable();
        for at_ms in moments {
            let step = Step {
                at: Duration::from_millis(at_ms),
                lasts: Duration::from_millis(random.random_range(LASTS_MS)),
                action: action(settings, &mut random),
            };
            let is_taken = steps.iter().any(|earlier| conflicts(earlier, &step))
                || isolates_too_many(settings, &steps, &step);
            let is_allowed = (!settings.has_sound_targets || is_harmless(step.action))
                && !(spares_replicas(settings) && harms_replicas(step.action));
            if is_allowed && !is_taken {
                steps.push(step);
            }
        }
        Self { steps }
    }
}

/// What a step acts on, where only one may at a time.
fn subject(action: Action) -> Option<(&'static str, usize)> {
    match action {
        Action::Kill(index) | Action::Terminate(index) | Action::Freeze(index) => {
            Some(("process", index))
        }
        Action::HangUp(index) | Action::Isolate(index, _) => Some(("process", index)),
        Action::HarmStore(_) | Action::Restore(_) => Some(("store", 0)),
        Action::State(_) | Action::Pause(_) | Action::Lapse(_) => None,
        Action::HarmStorePath(index, _) => Some(("store path", index)),
        Action::HarmReplicaPath(index, _) => Some(("replica path", index)),
        Action::HarmReplica(index, _) => Some(("replica", index)),
        Action::Leave(index) => Some(("leave", index)),
        Action::KillAll | Action::ForgetHistory | Action::Configure(_) | Action::Move => None,
    }
}

/// Returns whether an action ends, stops or suspends the process of a gateway.
fn is_on_process(action: Action) -> bool {
    matches!(action, Action::KillAll) || subject(action).is_some_and(|(name, _)| name == "process")
}

/// Returns whether an action harms neither a replica nor the path to one and neither kills nor freezes a gateway, so that
/// it need not cut any request off.
fn is_harmless(action: Action) -> bool {
    match action {
        Action::Kill(_) | Action::KillAll | Action::Freeze(_) | Action::Isolate(..) => false,
        Action::HarmReplicaPath(..) | Action::HarmReplica(..) => false,
        Action::Terminate(_) | Action::HangUp(_) | Action::Leave(_) | Action::Configure(_) => true,
        Action::HarmStore(_) | Action::ForgetHistory | Action::HarmStorePath(..) => true,
        Action::Restore(_) | Action::State(_) => true,
        Action::Pause(_) | Action::Lapse(_) | Action::Move => true,
    }
}

/// Returns whether replicas fall by what they are sent, so that no step harms them.
fn spares_replicas(settings: &Settings) -> bool {
    settings.fleet.has_fatal_requests || settings.fleet.brittle > 0
}

/// Returns whether an action harms a replica or the path to one, or lets one leave.
fn harms_replicas(action: Action) -> bool {
    matches!(
        action,
        Action::HarmReplicaPath(..)
            | Action::HarmReplica(..)
            | Action::Leave(_)
            | Action::State(_)
            | Action::Pause(_)
            | Action::Lapse(_)
    )
}

/// The shortest time for which a gateway has no paths: more than the time in which it may find out.
pub const ISOLATED_MIN: Duration = Duration::from_secs(8);

/// The shortest time for which a replica states that it leaves: more than the users' bound on that.
pub const STATED_MIN: Duration = Duration::from_secs(4);

/// The time after a restore in which operators and replicas write again.
const WRITTEN_AGAIN: Duration = Duration::from_secs(2);

/// The longest time that a graceful stop takes.
const STOP: Duration = Duration::from_secs(10);

impl Step {
    /// Returns the time from its beginning until its subject is as before, from the start of the load.
    pub fn span(&self) -> Range<Duration> {
        let lasts = match self.action {
            Action::Terminate(_) | Action::Leave(_) => STOP,
            Action::Kill(_) | Action::KillAll => Duration::from_secs(1),
            Action::Isolate(..) => self.lasts + ISOLATED_MIN,
            Action::State(_) | Action::Lapse(_) => self.lasts + STATED_MIN,
            Action::Restore(_) => self.lasts + WRITTEN_AGAIN,
            _ => self.lasts,
        };
        self.at..self.at + lasts
    }
}

/// Returns the replica that an action concerns itself, rather than the path to it.
fn replica_of(action: Action) -> Option<usize> {
    match action {
        Action::HarmReplica(index, _) | Action::Leave(index) => Some(index),
        Action::State(index) | Action::Pause(index) | Action::Lapse(index) => Some(index),
        _ => None,
    }
}

/// Returns whether a replica states something in its answers by an action, which no other action on it may end.
fn states_something(action: Action) -> bool {
    matches!(
        action,
        Action::State(_) | Action::Pause(_) | Action::Lapse(_)
    )
}

fn conflicts(earlier: &Step, later: &Step) -> bool {
    let kills_all = [earlier.action, later.action].contains(&Action::KillAll);
    if kills_all && is_on_process(earlier.action) && is_on_process(later.action) {
        return later.at <= earlier.span().end;
    }
    let (states, acts) = (replica_of(earlier.action), replica_of(later.action));
    let is_statement = states_something(earlier.action) || states_something(later.action);
    if is_statement && states.is_some() && states == acts {
        return later.at <= earlier.span().end;
    }
    let subject_of = subject(earlier.action);
    subject_of.is_some() && subject_of == subject(later.action) && later.at <= earlier.span().end
}

/// Returns whether fewer than half of the gateways would keep their paths.
fn isolates_too_many(settings: &Settings, steps: &[Step], step: &Step) -> bool {
    let is_isolation = |step: &Step| matches!(step.action, Action::Isolate(..));
    let beside = steps.iter().filter(|earlier| is_isolation(earlier));
    let overlapping = beside.filter(|earlier| step.at <= earlier.span().end);
    is_isolation(step) && 2 * (overlapping.count() + 1) > settings.fleet.gateways
}

fn action(settings: &Settings, random: &mut StdRng) -> Action {
    let fleet = &settings.fleet;
    let gateway = random.random_range(0..fleet.gateways);
    let replica = random.random_range(0..fleet.engines + fleet.services);
    // Plans of fleets with one build are as they were before there were others.
    let kinds = if fleet.builds > 1 { 16 } else { 14 };
    if settings.has_isolations && random.random_bool(ISOLATIONS) {
        let ways = [Isolation::Silent, Isolation::Reset, Isolation::New];
        return Action::Isolate(gateway, ways[random.random_range(0..ways.len())]);
    }
    if settings.fleet.has_moves && random.random_bool(MOVES) {
        return Action::Move;
    }
    if settings.has_lapses && random.random_bool(LAPSES) {
        return Action::Lapse(replica);
    }
    if settings.has_floods && random.random_bool(FLOODS) {
        let floods = [Flood::Pieces, Flood::Event, Flood::LineEnds];
        let faults = Faults {
            flood: floods[random.random_range(0..floods.len())],
            ..Faults::default()
        };
        return Action::HarmReplica(replica, faults);
    }
    if settings.has_slow_targets && random.random_bool(SLOWNESS) {
        let faults = Faults {
            lag_ms: random.random_range(LAG_MS),
            ..Faults::default()
        };
        return Action::HarmReplica(replica, faults);
    }
    if settings.has_restores && random.random_bool(RESTORES) {
        return match random.random_range(0..4) {
            0 | 1 => Action::Restore(random.random_range(COPY_AGE_MS)),
            2 => Action::State(replica),
            _ => Action::Pause(replica),
        };
    }
    match random.random_range(0..kinds) {
        0 => Action::Kill(gateway),
        1 => Action::Terminate(gateway),
        2 | 3 => Action::Freeze(gateway),
        4 => Action::HangUp(gateway),
        5 | 6 => Action::HarmStore(store_faults(random)),
        7 => Action::ForgetHistory,
        8 => Action::HarmStorePath(gateway, path_fault(random)),
        9 | 10 => Action::HarmReplicaPath(replica, path_fault(random)),
        11 => Action::HarmReplica(replica, replica_faults(random)),
        12 => Action::Leave(replica),
        14 | 15 => Action::KillAll,
        _ => Action::Configure(random.random_range(3_000..5_000)),
    }
}

fn store_faults(random: &mut StdRng) -> platform::Faults {
    let sound = platform::Faults::default();
    match random.random_range(0..4) {
        0 => platform::Faults {
            is_down: true,
            ..sound
        },
        1 => platform::Faults {
            is_busy: true,
            ..sound
        },
        2 => platform::Faults {
            slow_ms: 200,
            ..sound
        },
        _ => platform::Faults {
            lose_answers: 2,
            late_ms: 500,
            ..sound
        },
    }
}

fn path_fault(random: &mut StdRng) -> Fault {
    match random.random_range(0..7) {
        0 => Fault::Cut,
        1 => Fault::SilenceOpen,
        2 => Fault::SilenceNew,
        3 => Fault::Delay { ms: 100 },
        4 => Fault::LoseAnswer,
        5 => Fault::Cross,
        _ => Fault::Truncate { bytes: 300 },
    }
}

fn replica_faults(random: &mut StdRng) -> Faults {
    let part = random.random_range(HARMED);
    let sound = Faults::default();
    match random.random_range(0..5) {
        0 => Faults {
            fails: part,
            ..sound
        },
        1 => Faults {
            hangs: part,
            ..sound
        },
        2 => Faults {
            loses: part,
            ..sound
        },
        3 => Faults {
            crosses: part,
            ..sound
        },
        _ => Faults {
            breaks: part,
            ..sound
        },
    }
}
