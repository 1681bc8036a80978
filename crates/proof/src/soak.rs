//! The fault soak: real gateways under load while faults drawn from a seed come in series and overlap.
//!
//! A plan is drawn whole before it runs, so that a seed repeats it. The promises are checked by [`check`] alone, from
//! what callers were told and what replicas counted.

pub mod fatal;
pub mod plan;
pub mod watch;

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::{join_all, try_join_all};
use sardinemux_standin::platform;
use sardinemux_standin::proxy::{Fault, Isolation};
use sardinemux_standin::replica::{unix_ms, Faults, Stats};
use tokio::time::{self, Instant};

use crate::errors::Result;
use crate::gateways::caller::{Outcome, Told, DEADLINE_MS};
use crate::gateways::check::{self, Breach};
use crate::gateways::departure::{self, Departure};
use crate::gateways::load::Load;
use crate::gateways::movement::{self, Move};
use crate::gateways::operator::Desired;
use crate::gateways::{Fleet, Settings as Parts};
use crate::process::Process;
use plan::{Action, Plan, Step};
use watch::Watch;

/// How long after the last fault service must be back, as the users ask.
const RECOVER: Duration = Duration::from_secs(12);

/// How long the load runs after that.
const AFTERWARDS: Duration = Duration::from_secs(3);

/// The users' bound on how soon a replica's leaving is known, in milliseconds.
const KNOWN_MS: u64 = 2_000;

/// What the users add to that bound after a fault of the store or of a path to it, in milliseconds.
const STRETCH_MS: u64 = 5_000;

/// The users' time in which a gateway may find out that it has no paths, in milliseconds.
const FOUND_OUT_MS: u64 = 3_000;

/// The users' time after a disturbance for which a gateway does not count, in milliseconds.
const STABLE_MS: u64 = 3_000;

/// How long an entry that lapses stays away, and the time until it lapses again.
const LAPSE: Duration = Duration::from_millis(250);

/// How long a replica that left stays away.
const AWAY: Duration = Duration::from_millis(KNOWN_MS + STRETCH_MS + 1_000);

/// The time after a restore until operators and replicas write again.
const WRITE_AGAIN: Duration = Duration::from_millis(300);

/// The pause between a process's end and its start.
const RESTART: Duration = Duration::from_millis(300);

/// The part of the requests that must be served once service is back: the users' quarter.
const SERVED_PART: f64 = 0.25;

/// What a soak is like.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Draws the plan and the load.
    pub seed: u64,
    /// How long faults begin.
    pub time: Duration,
    /// The faults that begin in that time.
    pub faults: usize,
    /// The callers at each gateway.
    pub callers: usize,
    /// Whether replicas and the paths to them are left alone and no gateway is killed or frozen. No request may be cut off
    /// then, unless replicas themselves break off streams.
    pub has_sound_targets: bool,
    /// Whether gateways lose their paths to all replicas at times.
    pub has_isolations: bool,
    /// Whether the store comes back from older copies, and replicas state that they leave or want no requests, at times.
    pub has_restores: bool,
    /// Whether callers leave their requests, also with bytes behind these.
    pub has_departures: bool,
    /// Whether entries of replicas that turn requests away lapse at times.
    pub has_lapses: bool,
    /// Whether replicas send bytes without end at times.
    pub has_floods: bool,
    /// Whether replicas work slowly at times, so that answers reach their time limit.
    pub has_slow_targets: bool,
    /// The fleet.
    pub fleet: Parts,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            seed: 1,
            time: Duration::from_secs(10),
            faults: 10,
            callers: 3,
            has_sound_targets: false,
            has_isolations: false,
            has_restores: false,
            has_departures: false,
            has_lapses: false,
            has_floods: false,
            has_slow_targets: false,
            fleet: Parts {
                gateways: 5,
                services: 3,
                ..Parts::default()
            },
        }
    }
}

/// What a soak found.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// What was done, in order.
    pub steps: Vec<Step>,
    /// The requests that were sent.
    pub sent: usize,
    /// Those that were served whole.
    pub served: usize,
    /// Those whose connection ended before the answer did.
    pub cut: usize,
    /// Those that got nothing in time.
    pub unanswered: usize,
    /// The streams that callers took up, and those of them that went on to their end.
    pub resumptions: (usize, usize),
    /// How often brittle replicas fell over.
    pub falls: usize,
    /// The crashes of replicas.
    pub crashes: usize,
    /// The promises that were broken.
    pub breaches: Vec<Breach>,
}

/// What a step leaves to be checked.
#[derive(Clone, Debug)]
enum Trace {
    Left(Leaving),
    Stated(check::Stating),
    Moved(Move),
}

/// A replica that left, and from when it must get nothing, in Unix milliseconds.
#[derive(Clone, Copy, Debug)]
struct Leaving {
    replica: usize,
    confirmed_ms: u64,
    back_ms: u64,
}

/// Runs one soak, and returns the fleet with its logs. They are kept if the operator could not act.
///
/// # Errors
///
/// What kept the fleet from starting or the operator from acting.
pub async fn run(settings: &Settings) -> Result<(Report, Arc<Fleet>)> {
    let fleet = Arc::new(Fleet::start(settings.fleet.clone()).await?);
    let report = attack(settings, &fleet).await;
    if report.is_err() {
        eprintln!(
            "logs of a soak that broke off: {}",
            fleet.keep_logs().display()
        );
    }
    Ok((report?, fleet))
}

async fn attack(settings: &Settings, fleet: &Arc<Fleet>) -> Result<Report> {
    let plan = Plan::draw(settings);
    let watch = Watch::start(fleet);
    let load = Load::start(fleet, settings.callers, settings.seed);
    let fatal = settings.fleet.has_fatal_requests.then(|| {
        let replacing = tokio::spawn(fatal::replace_crashed(fleet.clone()));
        (Load::start_fatal(fleet, settings.seed), replacing)
    });
    let departures = settings
        .has_departures
        .then(|| departure::Load::start(fleet, settings.seed));
    let (begun, begun_ms) = (Instant::now(), unix_ms());
    let steps = plan.steps.iter().map(|step| async {
        time::sleep_until(begun + step.at).await;
        act(fleet, step).await
    });
    let traces = try_join_all(steps).await?.into_iter().flatten();
    let (mut leaving, mut stating, mut moves) = (Vec::new(), Vec::new(), Vec::new());
    for trace in traces {
        match trace {
            Trace::Left(left) => leaving.push(left),
            Trace::Stated(stated) => stating.push(stated),
            Trace::Moved(moved) => moves.push(moved),
        }
    }
    fleet.wait_ready().await?;
    time::sleep(RECOVER).await;
    let back_ms = unix_ms();
    time::sleep(AFTERWARDS).await;
    let outcomes = load.end().await;
    let mut fatal_outcomes = Vec::new();
    if let Some((load, replacing)) = fatal {
        fatal_outcomes = load.end().await;
        replacing.abort();
    }
    let departures = match departures {
        Some(load) => {
            let departures = load.end().await;
            // The last requests are under way.
            time::sleep(Duration::from_millis(STABLE_MS)).await;
            departures
        }
        None => Vec::new(),
    };
    let stats = (0..fleet.replicas.len()).map(|index| fleet.stats_once_back(index));
    let stats: Vec<Stats> = join_all(stats).await.into_iter().collect::<Result<_>>()?;
    let left = departures.iter().map(Departure::outcome);
    let all = outcomes.iter().chain(&fatal_outcomes).cloned();
    let all: Vec<Outcome> = all.chain(left).collect();
    let mut breaches = check::always(&all, &stats);
    // Gateways of the earlier build know neither eras nor what replicas state in their answers.
    let has_former = settings.has_restores && settings.fleet.former_program.is_some();
    if !has_former {
        breaches.extend(late_work(fleet, &stats, &leaving));
        let is_excused = |gateway, from_ms, until_ms| {
            is_interrupted(&plan, begun_ms, gateway, from_ms, until_ms)
        };
        breaches.extend(check::stated(&outcomes, &stating, KNOWN_MS, is_excused));
        breaches.extend(paused(fleet, &plan, &stats));
        let is_excused = |gateway, from_ms: u64, until_ms| {
            let from_ms = from_ms.saturating_sub(STABLE_MS);
            is_interrupted(&plan, begun_ms, gateway, from_ms, until_ms)
        };
        let pools = movement::pools(&fleet.replicas, &stats);
        let bound_ms = KNOWN_MS + STRETCH_MS;
        breaches.extend(movement::former(
            &outcomes, &pools, &moves, bound_ms, is_excused,
        ));
        let is_excused = |gateway, from_ms, until_ms| {
            is_out_of_touch(&plan, begun_ms, gateway, from_ms, until_ms)
        };
        breaches.extend(check::sent_on(&departures, &stats, is_excused));
    }
    breaches.extend(watch.find_breaches(fleet).await);
    breaches.extend(unrecovered(&outcomes, back_ms));
    breaches.extend(check::isolated(&outcomes, &isolated(&plan, begun_ms)));
    breaches.extend(check::fallen(&stats[settings.fleet.engines..]));
    breaches.extend(fatal::repeated(&plan, begun_ms, &fatal_outcomes, &stats));
    if settings.has_sound_targets && settings.fleet.break_percent == 0 {
        breaches.extend(unfinished(&plan, &outcomes, &stats));
    }
    let count = |is_told: fn(Told) -> bool| {
        let told = outcomes.iter().filter(|outcome| is_told(outcome.told));
        told.count()
    };
    Ok(Report {
        sent: outcomes.len(),
        served: count(|told| told == Told::Whole),
        cut: count(|told| matches!(told, Told::Cut { .. })),
        unanswered: count(|told| told == Told::Silence),
        resumptions: resumptions(&outcomes),
        falls: stats.iter().map(|stats| stats.falls_ms.len()).sum(),
        crashes: fatal::crashes(&stats).len(),
        steps: plan.steps,
        breaches,
    })
}

/// Returns the times in which gateways have no paths and must have found out.
fn isolated(plan: &Plan, begun_ms: u64) -> Vec<check::Isolated> {
    let times = plan.steps.iter().filter_map(|step| {
        let Action::Isolate(gateway, _) = step.action else {
            return None;
        };
        let span = step.span();
        Some(check::Isolated {
            gateway,
            from_ms: begun_ms + span.start.as_millis() as u64 + FOUND_OUT_MS,
            until_ms: begun_ms + span.end.as_millis() as u64,
        })
    });
    times.collect()
}

/// Returns whether a step of the plan ends or suspends a gateway between two times, in Unix milliseconds.
fn is_interrupted(plan: &Plan, begun_ms: u64, gateway: usize, from_ms: u64, until_ms: u64) -> bool {
    plan.steps.iter().any(|step| {
        let span = step.span();
        let begin_ms = begun_ms + span.start.as_millis() as u64;
        let end_ms = begun_ms + span.end.as_millis() as u64;
        let is_own = match step.action {
            Action::Kill(index) | Action::Terminate(index) | Action::Freeze(index) => {
                index == gateway
            }
            Action::KillAll => true,
            _ => false,
        };
        is_own && begin_ms <= until_ms && end_ms + RESTART.as_millis() as u64 >= from_ms
    })
}

/// Returns whether a gateway was ended or suspended between two times or shortly before, in Unix milliseconds. Any gateway counts
/// where there are isolations, as a request may have been sent through it.
fn is_out_of_touch(
    plan: &Plan,
    begun_ms: u64,
    gateway: usize,
    from_ms: u64,
    until_ms: u64,
) -> bool {
    let steps = plan.steps.iter();
    let isolates = steps.filter(|step| matches!(step.action, Action::Isolate(..)));
    let gateways = plan.steps.iter().filter_map(|step| match step.action {
        Action::Kill(index) | Action::Terminate(index) | Action::Freeze(index) => Some(index),
        _ => None,
    });
    let from_ms = from_ms.saturating_sub(STABLE_MS);
    let is_any = isolates.count() > 0;
    let mut concerned = gateways.filter(|index| is_any || *index == gateway);
    concerned.any(|index| is_interrupted(plan, begun_ms, index, from_ms, until_ms))
        || is_interrupted(plan, begun_ms, gateway, from_ms, until_ms)
}

/// Returns the replicas that got too many requests in a pause that they had stated.
fn paused(fleet: &Fleet, plan: &Plan, stats: &[Stats]) -> Vec<Breach> {
    let gateways = fleet.gateways.len();
    let restarts = plan.steps.iter().map(|step| match step.action {
        Action::Kill(_) | Action::Terminate(_) | Action::Freeze(_) => 1,
        Action::KillAll => gateways,
        _ => 0,
    });
    let restarts: usize = restarts.sum();
    let replicas = fleet.replicas.iter().zip(stats);
    let breaches =
        replicas.filter_map(|(place, stats)| check::paused(&place.id, stats, gateways, restarts));
    breaches.collect()
}

/// Returns the number of requests that take up a stream, and of those that were served.
fn resumptions(outcomes: &[Outcome]) -> (usize, usize) {
    let taken_up = outcomes.iter().filter(|outcome| outcome.is_resumption);
    let served = taken_up.clone().filter(|it| it.told == Told::Whole);
    (taken_up.count(), served.count())
}

/// Returns the requests that were never answered, or that were cut off or given up before any deadline that the plan sets.
fn unfinished(plan: &Plan, outcomes: &[Outcome], stats: &[Stats]) -> Vec<Breach> {
    let timeouts = plan.steps.iter().filter_map(|step| match step.action {
        Action::Configure(timeout_ms) => Some(timeout_ms),
        _ => None,
    });
    let least_ms = timeouts.fold(DEADLINE_MS, u64::min);
    let early = outcomes
        .iter()
        .filter(|outcome| outcome.told == Told::Silence || outcome.took_ms < least_ms);
    let early: Vec<Outcome> = early.cloned().collect();
    let mut breaches = check::planned(&early, stats);
    breaches.extend(check::given_up(&early, stats));
    breaches
}

fn late_work(fleet: &Fleet, stats: &[Stats], leaving: &[Leaving]) -> Vec<Breach> {
    let late = leaving.iter().flat_map(|leaving| {
        let id = &fleet.replicas[leaving.replica].id;
        let bound_ms = KNOWN_MS + STRETCH_MS;
        check::left(
            id,
            &stats[leaving.replica],
            leaving.confirmed_ms,
            bound_ms,
            leaving.back_ms,
        )
    });
    late.collect()
}

fn unrecovered(outcomes: &[Outcome], back_ms: u64) -> Option<Breach> {
    let late: Vec<&Outcome> = outcomes
        .iter()
        .filter(|outcome| outcome.sent_ms >= back_ms)
        .collect();
    let served = late.iter().filter(|outcome| outcome.told == Told::Whole);
    let (served, sent) = (served.count(), late.len());
    let is_back = sent > 0 && served as f64 >= SERVED_PART * sent as f64;
    (!is_back).then_some(Breach::Unrecovered { served, sent })
}

/// Carries a step out and takes it back when its time is over.
async fn act(fleet: &Fleet, step: &Step) -> Result<Option<Trace>> {
    match step.action {
        Action::Kill(index) => {
            fleet.kill(&fleet.gateways[index].name);
            time::sleep(RESTART).await;
            fleet.change_build(index);
            fleet.start_gateway(index)?;
        }
        Action::KillAll => {
            for gateway in &fleet.gateways {
                fleet.kill(&gateway.name);
            }
            time::sleep(RESTART).await;
            for index in 0..fleet.gateways.len() {
                fleet.start_gateway(index)?;
            }
        }
        Action::Terminate(index) => {
            fleet.terminate(&fleet.gateways[index].name).await?;
            time::sleep(RESTART).await;
            fleet.change_build(index);
            fleet.start_gateway(index)?;
        }
        Action::Freeze(index) => {
            let name = &fleet.gateways[index].name;
            fleet.signal(name, Process::freeze)?;
            time::sleep(step.lasts).await;
            fleet.signal(name, Process::thaw)?;
        }
        Action::HangUp(index) => fleet.signal(&fleet.gateways[index].name, Process::hang_up)?,
        Action::HarmStore(faults) => {
            fleet.set_store_faults(faults).await?;
            time::sleep(step.lasts).await;
            fleet.set_store_faults(platform::Faults::default()).await?;
        }
        Action::ForgetHistory => fleet.forget_history().await?,
        Action::HarmStorePath(index, fault) => {
            harm_path(fleet, fleet.gateways[index].store, fault, step.lasts).await?;
        }
        Action::HarmReplicaPath(index, fault) => {
            harm_path(fleet, fleet.replicas[index].listed, fault, step.lasts).await?;
        }
        Action::Isolate(index, isolation) => {
            fleet.isolate(index, isolation).await?;
            time::sleep(step.span().end - step.at).await;
            fleet.isolate(index, Isolation::None).await?;
        }
        Action::HarmReplica(index, faults) => {
            fleet.set_replica_faults(index, faults).await?;
            time::sleep(step.lasts).await;
            fleet.set_replica_faults(index, Faults::default()).await?;
        }
        Action::Leave(index) => return leave(fleet, index).await.map(Trace::Left).map(Some),
        Action::Move => return fleet.move_routes().await.map(Trace::Moved).map(Some),
        Action::Restore(age_ms) => restore(fleet, age_ms, step.lasts).await?,
        Action::State(index) => {
            let stated = state(fleet, index, step.span().end - step.at).await?;
            return Ok(Some(Trace::Stated(stated)));
        }
        Action::Pause(index) => {
            let faults = Faults {
                pause_until_ms: unix_ms() + step.lasts.as_millis() as u64,
                ..Faults::default()
            };
            fleet.set_replica_faults(index, faults).await?;
            time::sleep(step.lasts).await;
            fleet.set_replica_faults(index, Faults::default()).await?;
        }
        Action::Lapse(index) => lapse(fleet, index, step.span().end - step.at).await?,
        Action::Configure(timeout_ms) => {
            let desired = Desired {
                timeout_ms,
                ..Desired::default()
            };
            fleet.configure(&desired).await?;
        }
    }
    Ok(None)
}

async fn harm_path(
    fleet: &Fleet,
    address: std::net::SocketAddr,
    fault: Fault,
    lasts: Duration,
) -> Result<()> {
    fleet.set_fault(address, fault).await?;
    time::sleep(lasts).await;
    fleet.set_fault(address, Fault::None).await
}

/// Takes the store away and lets it come back from a copy, without what was written since. Operators and replicas write that again.
async fn restore(fleet: &Fleet, age_ms: u64, away: Duration) -> Result<()> {
    let faults = platform::Faults {
        is_down: true,
        ..platform::Faults::default()
    };
    fleet.set_store_faults(faults).await?;
    time::sleep(away / 4).await;
    fleet.restore_store(Duration::from_millis(age_ms)).await?;
    fleet.set_store_faults(platform::Faults::default()).await?;
    time::sleep(WRITE_AGAIN).await;
    fleet.write_again().await
}

/// Lets a replica state in its answers that it leaves, and then start anew with the same id.
async fn state(fleet: &Fleet, replica: usize, lasts: Duration) -> Result<check::Stating> {
    let faults = Faults {
        is_leaving: true,
        ..Faults::default()
    };
    fleet.set_replica_faults(replica, faults).await?;
    let from_ms = unix_ms();
    time::sleep(lasts).await;
    fleet.set_replica_faults(replica, Faults::default()).await?;
    let until_ms = unix_ms();
    fleet.list_reborn(replica).await?;
    Ok(check::Stating {
        replica: fleet.replicas[replica].id.clone(),
        from_ms,
        until_ms,
    })
}

/// Lets a replica turn requests away for a time, in which its entry is taken away and written again several times.
async fn lapse(fleet: &Fleet, replica: usize, lasts: Duration) -> Result<()> {
    let faults = Faults {
        pause_until_ms: unix_ms() + lasts.as_millis() as u64,
        ..Faults::default()
    };
    fleet.set_replica_faults(replica, faults).await?;
    let ends = Instant::now() + lasts;
    while Instant::now() + 2 * LAPSE < ends {
        time::sleep(LAPSE).await;
        fleet.unlist(replica).await?;
        time::sleep(LAPSE).await;
        fleet.list(replica, false).await?;
    }
    time::sleep_until(ends).await;
    fleet.set_replica_faults(replica, Faults::default()).await
}

async fn leave(fleet: &Fleet, replica: usize) -> Result<Leaving> {
    let confirmed_ms = fleet.list(replica, true).await?;
    time::sleep(AWAY).await;
    let back_ms = unix_ms();
    fleet.list(replica, false).await?;
    Ok(Leaving {
        replica,
        confirmed_ms,
        back_ms,
    })
}
