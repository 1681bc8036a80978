//! Simulations of rollouts: requests, lossy and delayed counts, and the decision, in virtual time.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use indexmap::IndexMap;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use sardinemux_core::rollout::counters::{Count, Key, Ledger, Process, Spread, Tally};
use sardinemux_core::rollout::plan::{self, Progress};
use sardinemux_core::rollout::{choose_side, verdict, Directive, Settings, Side, State};

const RAMP_MS: u64 = 15_000;
const TICK_MS: u64 = 50;
const REPORT_MS: u64 = 250;
const RECORD_MS: u64 = 500;
const TARGETS: usize = 90;
const ZONES: usize = 3;
const FIRST_MS: u64 = 40;
const LOSS: f64 = 0.1;

/// How the targets and paths behave.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// Half of the new build's answers fail from this time on, in milliseconds.
    FailsFrom(u64),
    /// Half of the new build's answers come eight times later.
    Slow,
    /// Half of the new build's answers fail at targets that get more than 1.2 times the usual requests.
    UnderLoad,
    /// Half of the new build's answers fail on one of four routes.
    OneRoute,
    /// 45 % of the answers of both builds fail.
    BothFail,
    /// The requests at a fifth of the targets of both builds fail for a second.
    Crashes,
    /// Half of the answers of all targets of one zone fail.
    SickZone,
    /// All requests of one gateway fail.
    LostPath,
    /// A tenth of the new build's first bytes take up to 200 ms.
    ColdCaches,
}

/// What happens to the deciders.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    None,
    /// The first decider ends at 5 s, and the second one takes over 1.5 s later.
    Killed,
    /// The first decider stands still from 5 s to 10 s, and then goes on in its old term.
    Frozen,
    /// Both decide.
    Both,
}

struct End {
    at_ms: u64,
    gateway: usize,
    key: Key,
    target: usize,
    first_ms: Option<f64>,
}

#[derive(Clone, Default)]
struct Gateway {
    counts: IndexMap<Key, Count>,
    spreads: [Spread; 2],
    in_flight: [u32; 2],
    directive: Option<Directive>,
}

#[derive(Default)]
struct Decider {
    term: u32,
    ledger: Ledger,
    directive: Option<Directive>,
}

#[derive(Debug)]
struct Outcome {
    state: State,
    /// When the first decider ended the rollout.
    ended_ms: u64,
    new: u64,
    all: u64,
    /// The requests that were sent to the new build later than a second after it was rolled back.
    late: u64,
    /// The largest excess of the canary's requests over the bound, up to the time when the share doubles.
    excess: f64,
}

fn is_bad(
    fault: Fault,
    end: (usize, Key, usize),
    now_ms: u64,
    share: f64,
    rng: &mut impl Rng,
) -> bool {
    let (gateway, key, target) = end;
    let is_new = key.side == Side::New;
    let chosen = plan::targets(share, TARGETS as u32, TARGETS as u32);
    let load = share * TARGETS as f64 / f64::from(chosen);
    let half = rng.random_bool(0.5);
    match fault {
        Fault::None | Fault::Slow | Fault::ColdCaches => false,
        Fault::FailsFrom(from_ms) => is_new && now_ms >= from_ms && half,
        Fault::UnderLoad => is_new && load > 0.8 && half,
        Fault::OneRoute => is_new && key.route == Key::new("r0", Side::New).route && half,
        Fault::BothFail => rng.random_bool(0.45),
        Fault::Crashes => target % 5 == 0 && (3_000..4_000).contains(&now_ms),
        Fault::SickZone => target % ZONES == 0 && half,
        Fault::LostPath => gateway == 0,
    }
}

fn first_ms(fault: Fault, side: Side, rng: &mut impl Rng) -> f64 {
    let usual = FIRST_MS as f64 * rng.random_range(0.7..1.4);
    match (fault, side) {
        (Fault::Slow, Side::New) if rng.random_bool(0.5) => usual * 8.0,
        (Fault::ColdCaches, Side::New) if rng.random_bool(0.1) => rng.random_range(40.0..200.0),
        _ => usual,
    }
}

fn decide(decider: &mut Decider, now_ms: u64) -> Directive {
    let (new, former) = (
        decider.ledger.sent(Side::New),
        decider.ledger.sent(Side::Former),
    );
    let progress = Progress {
        elapsed_ms: now_ms,
        ramp_ms: RAMP_MS,
        new,
        all: new + former,
    };
    let share = plan::share(Settings::default(), progress);
    let mut next = Directive {
        term: decider.term,
        elapsed_ms: now_ms,
        state: State::Active,
        share,
        targets: plan::targets(share, TARGETS as u32, TARGETS as u32),
        is_stored: false,
    };
    if let Some(evidence) = verdict::judge(&decider.ledger, now_ms) {
        println!("{now_ms} ms: {evidence:?}");
        next.state = State::RolledBack;
        next.share = 0.0;
    }
    next
}

fn apply(known: &mut Option<Directive>, directive: Directive) {
    if known.is_none_or(|known| directive.replaces(&known)) {
        *known = Some(directive);
    }
}

/// Plays a rollout until a second after its ramp.
fn play(gateways: usize, rate: f64, fault: Fault, trouble: Trouble, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = vec![Gateway::default(); gateways];
    let mut deciders = [
        Decider {
            term: 1,
            ..Decider::default()
        },
        Decider {
            term: 2,
            ..Decider::default()
        },
    ];
    let mut running: Vec<End> = Vec::new();
    let mut tallies: Vec<(u64, usize, usize, Tally)> = Vec::new();
    let mut news: Vec<(u64, usize, Directive)> = Vec::new();
    let (mut new, mut all, mut late, mut excess) = (0_u64, 0_u64, 0_u64, 0.0_f64);
    let mut ended_ms = None;
    let end_ms = RAMP_MS + 1_000;
    for now_ms in (0..end_ms).step_by(TICK_MS as usize) {
        let due = rate * TICK_MS as f64 / 1e3;
        let arrivals = due.floor() as usize + usize::from(rng.random_bool(due.fract()));
        for _ in 0..arrivals {
            let gateway = rng.random_range(0..gateways);
            let directive = fleet[gateway].directive;
            let share = directive.map_or(0.0, |it| it.share);
            let side = choose_side(rng.random(), share);
            let route = *["r0", "r1", "r2", "r3"].choose(&mut rng).unwrap();
            let key = Key::new(route, side);
            let target = match side {
                Side::New => rng.random_range(0..directive.unwrap().targets as usize),
                Side::Former => rng.random_range(0..TARGETS),
            };
            all += 1;
            new += u64::from(side == Side::New);
            let is_late = ended_ms.is_some_and(|ended_ms| now_ms > ended_ms + 1_000);
            late += u64::from(
                side == Side::New
                    && is_late
                    && deciders
                        .iter()
                        .any(|it| it.directive.is_some_and(|it| it.state == State::RolledBack)),
            );
            let sender = &mut fleet[gateway];
            sender.counts.entry(key).or_default().sent += 1;
            sender.in_flight[side as usize] += 1;
            sender.spreads[side as usize].tried |= Spread::bit(&format!("{side:?}{target}"));
            let is_bad = is_bad(fault, (gateway, key, target), now_ms, share, &mut rng);
            let time_ms = first_ms(fault, side, &mut rng);
            running.push(End {
                at_ms: now_ms + time_ms as u64,
                gateway,
                key,
                target,
                first_ms: (!is_bad).then_some(time_ms),
            });
        }
        if (now_ms as f64) < 0.9 * RAMP_MS as f64 && all > 0 {
            excess = excess.max(new as f64 - 0.5 * (0.1 * all as f64 + 50.0));
        }
        running.retain(|end| {
            if end.at_ms > now_ms {
                return true;
            }
            let gateway = &mut fleet[end.gateway];
            let side = end.key.side;
            gateway.in_flight[side as usize] -= 1;
            let count = gateway.counts.get_mut(&end.key).unwrap();
            match end.first_ms {
                Some(ms) => count.first.add(ms),
                None => {
                    count.failed += 1;
                    gateway.spreads[side as usize].failing |=
                        Spread::bit(&format!("{side:?}{}", end.target));
                }
            }
            false
        });
        for (index, gateway) in fleet.iter().enumerate() {
            // Reports are spread over the interval.
            if !(now_ms + index as u64 * TICK_MS).is_multiple_of(REPORT_MS) {
                continue;
            }
            let mut tally = Tally {
                counts: gateway
                    .counts
                    .iter()
                    .map(|(key, count)| (*key, *count))
                    .collect(),
                ..Tally::default()
            };
            for side in [Side::Former, Side::New] {
                tally.at_mut(side).in_flight = gateway.in_flight[side as usize];
                tally.at_mut(side).spread = gateway.spreads[side as usize];
            }
            for decider in 0..2 {
                if !rng.random_bool(LOSS) {
                    tallies.push((
                        now_ms + rng.random_range(1..150),
                        decider,
                        index,
                        tally.clone(),
                    ));
                }
            }
        }
        tallies.retain(|(at_ms, decider, index, tally)| {
            let is_due = *at_ms <= now_ms;
            if is_due {
                let process = Process {
                    gateway: format!("g{index}").into(),
                    start: 1,
                };
                deciders[*decider].ledger.note(process, tally, now_ms);
            }
            !is_due
        });
        for (rank, decider) in deciders.iter_mut().enumerate() {
            let is_away = match (trouble, rank) {
                (Trouble::None, 0) | (Trouble::Both, _) => false,
                (Trouble::Killed, 0) => now_ms >= 5_000,
                (Trouble::Frozen, 0) => (5_000..10_000).contains(&now_ms),
                (Trouble::Killed | Trouble::Frozen, _) => now_ms < 6_500,
                (Trouble::None, _) => true,
            };
            if now_ms.is_multiple_of(RECORD_MS) {
                decider.ledger.record(now_ms);
            }
            if is_away || !now_ms.is_multiple_of(REPORT_MS) {
                continue;
            }
            let next = decide(decider, now_ms);
            apply(&mut decider.directive, next);
            let stated = decider.directive.unwrap();
            if stated.state.is_final() {
                ended_ms.get_or_insert(now_ms);
            }
            for index in 0..gateways {
                if !rng.random_bool(LOSS) {
                    news.push((now_ms + rng.random_range(10..400), index, stated));
                }
            }
        }
        news.retain(|(at_ms, index, directive)| {
            let is_due = *at_ms <= now_ms;
            if is_due {
                apply(&mut fleet[*index].directive, *directive);
            }
            !is_due
        });
    }
    let ended = deciders.iter().filter_map(|it| it.directive);
    let is_rolled_back = ended.clone().any(|it| it.state == State::RolledBack);
    let is_everywhere = fleet
        .iter()
        .all(|it| it.directive.is_some_and(|it| it.share >= 1.0));
    let state = match (is_rolled_back, is_everywhere) {
        (true, _) => State::RolledBack,
        (false, true) => State::Complete,
        (false, false) => State::Active,
    };
    Outcome {
        state,
        ended_ms: ended_ms.unwrap_or(end_ms),
        new,
        all,
        late,
        excess,
    }
}

/// Guards against a bad build that stays in service, or that gets more than half of the exposure allowed.
#[rstest]
fn verify_bad_build_is_rolled_back(
    #[values(6, 68, 195, 391)] gateways: usize,
    #[values(
        Fault::FailsFrom(0),
        Fault::FailsFrom(6_000),
        Fault::Slow,
        Fault::UnderLoad,
        Fault::OneRoute
    )]
    fault: Fault,
    #[values(Trouble::None, Trouble::Killed, Trouble::Frozen, Trouble::Both)] trouble: Trouble,
    #[values(1, 2, 3)] seed: u64,
) {
    let outcome = play(gateways, 300.0, fault, trouble, seed);
    assert_eq!(outcome.state, State::RolledBack, "{outcome:?}");
    // The bound counts the requests of the whole ramp, which go on at the same rate after the roll-back.
    let allowed = 0.1 * outcome.all as f64 + 50.0;
    assert!(outcome.new as f64 <= allowed / 2.0, "{outcome:?}");
    assert_eq!(outcome.late, 0, "{outcome:?}");
    assert!(outcome.ended_ms < RAMP_MS, "{outcome:?}");
}

/// Guards against disturbances that are taken for a fault of the build, and against a ramp that does not reach all requests in time.
#[rstest]
fn verify_sound_build_gets_all_requests(
    #[values(6, 68, 195, 391)] gateways: usize,
    #[values(3.0, 300.0)] rate: f64,
    #[values(
        Fault::None,
        Fault::BothFail,
        Fault::Crashes,
        Fault::SickZone,
        Fault::LostPath,
        Fault::ColdCaches
    )]
    fault: Fault,
    #[values(1, 2, 3)] seed: u64,
) {
    let outcome = play(gateways, rate, fault, Trouble::None, seed);
    assert_eq!(outcome.state, State::Complete, "{outcome:?}");
    assert!(outcome.excess <= 1.0, "{outcome:?}");
}

/// Guards against deciders that disagree, and thereby hold back a sound build.
#[rstest]
fn verify_trouble_of_deciders_does_no_harm(
    #[values(6, 391)] gateways: usize,
    #[values(Trouble::Killed, Trouble::Frozen, Trouble::Both)] trouble: Trouble,
) {
    let outcome = play(gateways, 300.0, Fault::None, trouble, 1);
    assert_eq!(outcome.state, State::Complete, "{outcome:?}");
    assert!(outcome.excess <= 1.0, "{outcome:?}");
}

fn any_directive() -> impl Strategy<Value = Directive> {
    let state = prop_oneof![
        Just(State::Active),
        Just(State::Complete),
        Just(State::RolledBack)
    ];
    (0..4_u32, 0..20_000_u64, state, 0.0..=1.0_f64, any::<bool>()).prop_map(
        |(term, elapsed_ms, state, share, is_stored)| {
            let is_stored = is_stored && state.is_final();
            Directive {
                term,
                elapsed_ms,
                state,
                share,
                targets: 3,
                is_stored,
            }
        },
    )
}

proptest! {
    /// Guards against a final state that a late message takes back. Only what the store holds replaces one that it may not hold.
    #[test]
    fn verify_final_state_stays(directives in prop::collection::vec(any_directive(), 1..50)) {
        let mut known: Option<Directive> = None;
        for directive in directives {
            let before = known;
            apply(&mut known, directive);
            if let Some(before) = before.filter(|it| it.state.is_final()) {
                let after = known.unwrap();
                prop_assert!(after == before || !before.is_stored && after.is_stored && after.state.is_final());
            }
        }
    }

    /// Guards against a canary that gets requests beyond half of what a bad build is allowed.
    #[test]
    fn verify_canary_stays_within_its_bound(
        elapsed in 0.0..0.89_f64, ramp_ms in 1_000..100_000_u64, all in 0..1_000_000_u64, part in 0.0..=1.0_f64,
    ) {
        let settings = Settings::default();
        let new = (all as f64 * part) as u64;
        let progress = Progress { elapsed_ms: (elapsed * ramp_ms as f64) as u64, ramp_ms, new, all };
        let share = plan::share(settings, progress);
        let allowed = 0.5 * (settings.exposure_share * all as f64 + settings.exposure_slack);
        prop_assert!((0.0..=0.25).contains(&share));
        prop_assert!(share == 0.0 || (new as f64) < allowed);
    }
}
