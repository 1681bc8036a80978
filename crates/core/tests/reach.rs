//! Tests of gateways that lose their paths to targets, and of the gateways through which they serve.

#![expect(clippy::expect_used, reason = "a test fails by panicking")]

use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rstest::rstest;
use sardinemux_core::reach::{
    command, query, Candidate, Failure, Finding, Reach, Search, Settings,
};
use sardinemux_core::target::Key;
use smol_str::SmolStr;

/// Whether gateways send requests through others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Policy {
    Direct,
    Hops,
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
    gateways: usize,
    zones: usize,
    targets: u32,
    requests_per_s: f64,
    /// The share of the gateways that are cut off from all targets.
    cut: f64,
    /// Whether whole availability zones are cut off.
    is_zone: bool,
    /// How long a connection over a cut path, or a request over one that is made, takes to fail, in milliseconds.
    failure_ms: u64,
    /// What fails over a cut path.
    failure: Failure,
    /// The share of requests that targets answer late, after [`LATE_MS`], over a new connection.
    late: f64,
    /// The share of the targets that have crashed, so that no gateway can connect to them.
    crashed: f64,
}

/// What callers saw from [`STABLE_MS`] after the cut began, up to its end.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    sent_at_cut: u32,
    served_at_cut: u32,
    sent_at_others: u32,
    served_at_others: u32,
    /// The requests that the busiest gateway passed on to targets, against the mean of those that are not cut off.
    busiest: f64,
    /// The gateways that took their paths for lost and were not cut off, or took them for lost again after the cut.
    false_losses: u32,
    /// The longest time after the cut until a gateway sends to targets again, in milliseconds.
    back_ms: u64,
}

const POOL: &str = "p";
const CUT_MS: u64 = 2_000;
const HEALED_MS: u64 = 14_000;
const END_MS: u64 = 18_000;
const STABLE_MS: u64 = 3_000;
const NOTICE_MS: u64 = 250;
const PROBE_MS: u64 = 400;
const PROBES: usize = 3;
const PROBE_TIMEOUT_MS: u64 = 500;
const LATE_MS: u64 = 1_000;
const DEADLINE_MS: u64 = 1_000;
const THROUGH_MAX: usize = 3;
const ATTEMPTS_MAX: usize = 13;
const NOTICE_LOSS: f64 = 0.02;

/// What a gateway learns of a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    Connected,
    Answered,
    Failed(Failure),
    /// No target has answered a status request.
    Unanswered,
}

struct Gateway {
    name: SmolStr,
    zone: SmolStr,
    is_cut: bool,
    reach: Reach,
}

struct World {
    scenario: Scenario,
    random: StdRng,
    gateways: Vec<Gateway>,
    /// Results that are known later: the time, the gateway, the target, and what happened.
    pending: Vec<(u64, usize, u32, Event)>,
    passed: Vec<u32>,
    outcome: Outcome,
}

impl World {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let gateways = (0..scenario.gateways).map(|index| {
            let zone = index % scenario.zones;
            let is_cut = match scenario.is_zone {
                true => (zone as f64) < scenario.cut * scenario.zones as f64,
                false => random.random_bool(scenario.cut),
            };
            Gateway {
                name: format!("g{index}").into(),
                zone: format!("z{zone}").into(),
                is_cut: is_cut && index + 1 < scenario.gateways,
                reach: Reach::new(Settings::default()),
            }
        });
        Self {
            gateways: gateways.collect(),
            random,
            scenario,
            pending: Vec::new(),
            passed: vec![0; scenario.gateways],
            outcome: Outcome::default(),
        }
    }

    fn is_cut(&self, gateway: usize, now_ms: u64) -> bool {
        self.gateways[gateway].is_cut && (CUT_MS..HEALED_MS).contains(&now_ms)
    }

    fn is_crashed(&self, target: u32) -> bool {
        f64::from(target) < self.scenario.crashed * f64::from(self.scenario.targets)
    }

    /// Sends a request over a new connection. Returns the first failure, if there is one, and how long it takes.
    fn exchange(&mut self, gateway: usize, target: u32, now_ms: u64) -> (Option<Failure>, u64) {
        let scenario = self.scenario;
        let (failure, took_ms) = match (self.is_cut(gateway, now_ms), self.is_crashed(target)) {
            (true, _) => (Some(scenario.failure), scenario.failure_ms),
            (false, true) => (Some(Failure::Connection), 1),
            (false, false) => (None, 1),
        };
        let mut learn = |at_ms, event| self.pending.push((at_ms, gateway, target, event));
        match failure {
            Some(failure) => {
                if failure == Failure::Exchange {
                    learn(now_ms + 1, Event::Connected);
                }
                learn(now_ms + took_ms, Event::Failed(failure));
            }
            None => {
                learn(now_ms + took_ms, Event::Connected);
                if self.random.random_bool(scenario.late) {
                    learn(now_ms + LATE_MS, Event::Failed(Failure::Exchange));
                } else {
                    learn(now_ms + took_ms, Event::Answered);
                }
            }
        }
        (failure, took_ms)
    }

    /// Sends status requests to some targets, as a gateway does that suspects or has lost its paths.
    fn probe(&mut self, gateway: usize, now_ms: u64) {
        let targets: Vec<u32> = (0..self.scenario.targets).collect();
        let chosen = targets.choose_multiple(&mut self.random, PROBES);
        let is_cut = self.is_cut(gateway, now_ms);
        let reached = chosen
            .copied()
            .find(|target| !is_cut && !self.is_crashed(*target));
        let event = match reached {
            Some(target) => (now_ms + 2, gateway, target, Event::Answered),
            None => (now_ms + PROBE_TIMEOUT_MS, gateway, 0, Event::Unanswered),
        };
        self.pending.push(event);
    }

    /// Sends a request to targets. Returns whether it reaches one before its deadline.
    fn send(&mut self, gateway: usize, mut now_ms: u64, deadline_ms: u64) -> bool {
        let mut targets: Vec<u32> = (0..self.scenario.targets).collect();
        targets.shuffle(&mut self.random);
        for target in targets.into_iter().take(ATTEMPTS_MAX) {
            let (failure, took_ms) = self.exchange(gateway, target, now_ms);
            now_ms += took_ms;
            // A request that may have run is not sent again.
            if now_ms >= deadline_ms || failure == Some(Failure::Exchange) {
                return false;
            }
            if failure.is_none() {
                self.passed[gateway] += 1;
                return true;
            }
            if query::is_lost(&self.gateways[gateway].reach, POOL) {
                return false;
            }
        }
        false
    }

    fn serve(&mut self, gateway: usize, policy: Policy, now_ms: u64) -> bool {
        let deadline_ms = now_ms + DEADLINE_MS;
        let is_lost = query::is_lost(&self.gateways[gateway].reach, POOL);
        if policy == Policy::Direct || !is_lost {
            return self.send(gateway, now_ms, deadline_ms);
        }
        let mut tried: Vec<SmolStr> = Vec::new();
        while tried.len() < THROUGH_MAX {
            let candidates: Vec<Candidate<'_>> = self
                .gateways
                .iter()
                .enumerate()
                .filter(|(index, _)| *index != gateway)
                .map(|(_, it)| Candidate {
                    name: &it.name,
                    zone: &it.zone,
                    catalog: 1,
                    compares_catalogs: true,
                })
                .collect();
            let own = &self.gateways[gateway];
            let search = Search {
                pool: POOL,
                zone: &own.zone,
                catalog: 1,
                tried: &tried,
            };
            let chosen =
                query::choose_gateway(&own.reach, search, &candidates, now_ms, &mut self.random);
            let Some(name) = chosen.map(SmolStr::from) else {
                break;
            };
            let other = self.gateways.iter().position(|it| it.name == name);
            tried.push(name);
            let Some(other) = other else {
                break;
            };
            let has_lost = query::is_lost(&self.gateways[other].reach, POOL);
            if !has_lost && self.send(other, now_ms + 2, deadline_ms) {
                return true;
            }
        }
        // Where all others state the same, targets are tried all the same.
        tried.is_empty() && self.send(gateway, now_ms, deadline_ms)
    }

    fn step(&mut self, policy: Policy, now_ms: u64) {
        let targets = self.scenario.targets as usize;
        let (due, rest): (Vec<_>, Vec<_>) = self
            .pending
            .drain(..)
            .partition(|(at_ms, ..)| *at_ms <= now_ms);
        self.pending = rest;
        for (_, gateway, target, event) in due {
            let is_cut = self.is_cut(gateway, now_ms);
            let reach = &mut self.gateways[gateway].reach;
            let is_lost = match event {
                Event::Connected => {
                    command::note_connected(reach, POOL);
                    false
                }
                Event::Answered => {
                    if command::note_answered(reach, POOL, now_ms) && now_ms >= HEALED_MS {
                        let back_ms = now_ms - HEALED_MS;
                        self.outcome.back_ms = self.outcome.back_ms.max(back_ms);
                    }
                    false
                }
                Event::Unanswered => command::confirm_loss(reach, POOL),
                Event::Failed(failure) => {
                    let (pool, key) = (POOL.into(), Key(target));
                    let finding = command::note_failed(reach, &pool, key, failure, targets, now_ms);
                    if finding == Finding::Suspected {
                        self.probe(gateway, now_ms);
                    }
                    finding == Finding::Lost
                }
            };
            self.outcome.false_losses += u32::from(is_lost && !is_cut);
        }
        if policy == Policy::Direct {
            return;
        }
        for index in 0..self.gateways.len() {
            if !query::is_lost(&self.gateways[index].reach, POOL) {
                continue;
            }
            if now_ms % PROBE_MS == index as u64 % PROBE_MS {
                self.probe(index, now_ms);
            }
            if now_ms % NOTICE_MS == index as u64 % NOTICE_MS {
                let name = self.gateways[index].name.clone();
                for other in (0..self.gateways.len()).filter(|other| *other != index) {
                    if !self.random.random_bool(NOTICE_LOSS) {
                        let reach = &mut self.gateways[other].reach;
                        command::note_notice(reach, name.clone(), vec![POOL.into()], now_ms);
                    }
                }
            }
        }
    }

    fn count(&mut self, gateway: usize, is_served: bool, now_ms: u64) {
        if !(CUT_MS + STABLE_MS..HEALED_MS).contains(&now_ms) {
            return;
        }
        let outcome = &mut self.outcome;
        let (sent, served) = match self.gateways[gateway].is_cut {
            true => (&mut outcome.sent_at_cut, &mut outcome.served_at_cut),
            false => (&mut outcome.sent_at_others, &mut outcome.served_at_others),
        };
        *sent += 1;
        *served += u32::from(is_served);
    }
}

fn run(scenario: Scenario, policy: Policy, seed: u64) -> Outcome {
    let mut world = World::new(scenario, seed);
    let mut owed = 0.0;
    for now_ms in 0..END_MS {
        world.step(policy, now_ms);
        owed += scenario.requests_per_s / 1_000.0;
        while owed >= 1.0 {
            owed -= 1.0;
            let gateway = world.random.random_range(0..scenario.gateways);
            let is_served = world.serve(gateway, policy, now_ms);
            world.count(gateway, is_served, now_ms);
        }
    }
    let others = world.gateways.iter().zip(&world.passed);
    let passed: Vec<u32> = others
        .filter(|(it, _)| !it.is_cut)
        .map(|(_, count)| *count)
        .collect();
    let mean = f64::from(passed.iter().sum::<u32>()) / passed.len().max(1) as f64;
    world.outcome.busiest = f64::from(passed.iter().copied().max().unwrap_or_default()) / mean;
    world.outcome
}

fn share(served: u32, sent: u32) -> f64 {
    f64::from(served) / f64::from(sent.max(1))
}

fn run_all(name: &str, scenario: Scenario, policy: Policy) -> Vec<Outcome> {
    let stated = std::env::var("SARDINEMUX_SEEDS").ok();
    let few = if scenario.gateways > 9 { 4 } else { 40 };
    let seeds = stated.map_or(few, |text| {
        text.parse().expect("SARDINEMUX_SEEDS is a number")
    });
    let outcomes: Vec<Outcome> = (0..seeds).map(|seed| run(scenario, policy, seed)).collect();
    let shares = outcomes
        .iter()
        .map(|it| share(it.served_at_cut, it.sent_at_cut));
    println!(
        "| {name} | {policy:?} | {:.3} | {:.2} | {} | {} |",
        shares.fold(1.0, f64::min),
        outcomes.iter().map(|it| it.busiest).fold(0.0, f64::max),
        outcomes
            .iter()
            .map(|it| it.false_losses)
            .max()
            .unwrap_or_default(),
        outcomes
            .iter()
            .map(|it| it.back_ms)
            .max()
            .unwrap_or_default(),
    );
    outcomes
}

const HALF: Scenario = Scenario {
    gateways: 9,
    zones: 3,
    targets: 9,
    requests_per_s: 65.0,
    cut: 0.5,
    is_zone: false,
    failure_ms: 400,
    failure: Failure::Connection,
    late: 0.0,
    crashed: 0.0,
};

const REFUSED: Scenario = Scenario {
    failure_ms: 1,
    ..HALF
};

/// Connections are made over cut paths, and nothing comes back.
const HELD: Scenario = Scenario {
    failure_ms: 1_000,
    failure: Failure::Exchange,
    ..HALF
};

/// Connections are made over cut paths, and reset.
const RESET: Scenario = Scenario {
    failure_ms: 2,
    ..HELD
};

/// The same as held, where targets answer half of the requests late.
const LATE: Scenario = Scenario { late: 0.5, ..HELD };

/// All gateways of a zone and a third of the targets are lost.
const ZONE: Scenario = Scenario {
    cut: 0.34,
    is_zone: true,
    crashed: 0.3,
    ..HALF
};

/// A plain service with three targets.
const FEW_TARGETS: Scenario = Scenario {
    targets: 3,
    requests_per_s: 20.0,
    ..HALF
};

const fn large(scenario: Scenario) -> Scenario {
    Scenario {
        gateways: 100,
        targets: 140,
        requests_per_s: 700.0,
        ..scenario
    }
}

#[rstest]
#[case::half("half, silent", HALF)]
#[case::refused("half, refused", REFUSED)]
#[case::zone("a zone, a third of the targets crashed", ZONE)]
#[case::few_targets("half, three targets", FEW_TARGETS)]
#[case::held("half, held", HELD)]
#[case::reset("half, reset", RESET)]
#[case::late("half, held, late targets", LATE)]
#[case::large_held("half of 100, held, late targets", large(LATE))]
#[case::large_half("half of 100, silent", large(HALF))]
#[case::large_zone("a zone of 100, a third of the targets crashed", large(ZONE))]
fn verify_callers_of_gateways_without_paths_are_served_like_others(
    #[case] name: &str,
    #[case] scenario: Scenario,
) {
    let direct = run_all(name, scenario, Policy::Direct);
    assert!(direct.iter().all(|it| it.served_at_cut == 0));
    // The users' bounds: two thirds of the others' share, and one failure in fifty and ten more.
    for (seed, outcome) in run_all(name, scenario, Policy::Hops).iter().enumerate() {
        let own = share(outcome.served_at_cut, outcome.sent_at_cut);
        let others = share(outcome.served_at_others, outcome.sent_at_others);
        let failed = outcome.sent_at_cut - outcome.served_at_cut;
        let is_kept = own >= others * 2.0 / 3.0 || failed <= 10 + outcome.sent_at_cut / 50;
        assert!(is_kept, "seed {seed}: {outcome:?}");
    }
}

/// A few crashed targets are no lost paths, as connections to others are made.
#[test]
fn verify_connection_to_another_target_shows_that_paths_are_not_lost() {
    let mut reach = Reach::new(Settings::default());
    let pool = SmolStr::from(POOL);
    for round in 0..20 {
        for key in [Key(0), Key(1)] {
            let failure = Failure::Connection;
            let finding = command::note_failed(&mut reach, &pool, key, failure, 9, round);
            assert_eq!(finding, Finding::None);
        }
        command::note_connected(&mut reach, POOL);
    }
    assert!(query::lost_pools(&reach).is_empty());
}
