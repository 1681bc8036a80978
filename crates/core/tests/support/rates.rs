//! A simulation of gateways before targets that state how many requests a second they take, without a network.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sardinemux_core::rate_share;
use sardinemux_core::reports;
use sardinemux_core::roster::query::Criteria;
use sardinemux_core::roster::{
    command, query, Announcement, Evidence, LimitNotice, Roster, Settings, Shares,
};
use sardinemux_core::target::{Key, Kind, Target};

/// What gateways do about stated limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Nothing.
    None,
    /// A target that states a limit gets nothing for some seconds.
    Block,
    /// Each gateway keeps the whole limit by itself.
    Each,
    /// The gateways share the limit.
    Shared,
}

/// What a run is like.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub gateways: usize,
    pub targets: usize,
    /// The share of the targets that state a limit, from `FROM_MS` to `UNTIL_MS`.
    pub limited: f64,
    /// The limit as a part of what a target would get.
    pub limit: f64,
    /// Requests a second.
    pub rate: f64,
    /// The time between two restarts of single gateways.
    pub restart_ms: Option<u64>,
}

/// The results of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// The most requests that a target got in a window above what its limit allows; negative below it.
    pub excess: f64,
    /// The share of the requests that a target took while limits were stated.
    pub served: f64,
    /// The requests that limited targets got, as a part of what they state to take.
    pub used: f64,
    /// The share of the requests that a target took after the limits had ended, at the targets that had stated one.
    pub used_after: f64,
}

const FROM_MS: u64 = 5_000;
const UNTIL_MS: u64 = 25_000;
const END_MS: u64 = 40_000;
/// The users' `StableWindowMs`, from the first statement to the first window that counts.
const STABLE_MS: u64 = 3_000;
const WINDOW_MS: u64 = 4_000;
const BLOCK_MS: u64 = 5_000;
const ANSWER_MS: std::ops::Range<u64> = 30..400;
const LOSS: f64 = 0.02;

struct Answer {
    due_ms: u64,
    sent_ms: u64,
    gateway: usize,
    lifetime: u64,
    target: usize,
}

struct Gateway {
    roster: Roster,
    keys: Vec<Key>,
    /// Distinguishes the process from earlier ones.
    lifetime: u64,
    /// Until when it is not in the others' lists.
    away_until_ms: u64,
    blocked_until_ms: Vec<u64>,
}

fn new_gateway(targets: usize, lifetime: u64) -> Gateway {
    let mut roster = Roster::new(Settings::default());
    let keys = (0..targets).map(|index| {
        let target = Target {
            id: format!("t{index}").into(),
            kind: Kind::Engine,
            pool: "p".into(),
            address: "127.0.0.1:1".into(),
            zone: "z".into(),
            region: "r".into(),
            slots: 64,
            leaving: false,
            build: "v1".into(),
        };
        let announcement = Announcement {
            target,
            lifetime: 1,
            cold_ms: 0,
        };
        command::apply_announcement(&mut roster, announcement, 0)
    });
    Gateway {
        keys: keys.collect(),
        roster,
        lifetime,
        away_until_ms: 0,
        blocked_until_ms: vec![0; targets],
    }
}

/// Runs a scenario in steps of one millisecond.
pub fn run(scenario: Scenario, policy: Policy, seed: u64) -> Outcome {
    let mut random = StdRng::seed_from_u64(seed);
    let count = scenario.gateways;
    let names: Vec<String> = (0..count).map(|index| format!("g{index}")).collect();
    let weights: Vec<f64> = (0..count).map(|_| random.random_range(0.3..1.7)).collect();
    let weight_sum: f64 = weights.iter().sum();
    let mut gateways: Vec<Gateway> = (0..count)
        .map(|_| new_gateway(scenario.targets, 0))
        .collect();
    let usual = scenario.rate / scenario.targets as f64;
    let limits: Vec<Option<f64>> = (0..scenario.targets)
        .map(|_| {
            let is_limited = random.random_bool(scenario.limited);
            is_limited.then(|| usual * scenario.limit * random.random_range(0.7..1.3))
        })
        .collect();
    let mut answers: Vec<Answer> = Vec::new();
    let mut arrivals: Vec<Vec<u64>> = vec![Vec::new(); scenario.targets];
    let (mut sent, mut served, mut round) = (0, 0, 0);
    for now_ms in 0..END_MS {
        let are_limited = (FROM_MS..UNTIL_MS).contains(&now_ms);
        let due: Vec<Answer> = {
            let (due, rest) = answers.into_iter().partition(|it| it.due_ms <= now_ms);
            answers = rest;
            due
        };
        for answer in due {
            let gateway = &mut gateways[answer.gateway];
            if gateway.lifetime != answer.lifetime {
                continue;
            }
            let stated = limits[answer.target].filter(|_| are_limited);
            let key = gateway.keys[answer.target];
            command::finish_request(&mut gateway.roster, key, Evidence::Healthy, now_ms);
            command::note_limit(&mut gateway.roster, key, stated, answer.sent_ms, now_ms);
            if stated.is_some() {
                gateway.blocked_until_ms[answer.target] = now_ms + BLOCK_MS;
            }
        }
        if let Some(interval_ms) = scenario
            .restart_ms
            .filter(|it| now_ms > 0 && now_ms % it == 0)
        {
            let index = (now_ms / interval_ms) as usize % count;
            gateways[index] = new_gateway(scenario.targets, now_ms);
            gateways[index].away_until_ms = now_ms + 1_000;
        }
        if now_ms % reports::PERIOD_MS == 0 {
            exchange(&mut gateways, &mut random, round, now_ms);
            round += 1;
        }
        let arrives = random.random_bool((scenario.rate / 1_000.0).min(1.0));
        if !arrives {
            continue;
        }
        let mut drawn = random.random_range(0.0..weight_sum);
        let chosen = weights.iter().position(|weight| {
            drawn -= weight;
            drawn < 0.0
        });
        let chosen = chosen.unwrap_or(0);
        if gateways[chosen].away_until_ms > now_ms {
            continue;
        }
        let live = (0..count).filter(|index| gateways[*index].away_until_ms <= now_ms);
        let live: Vec<&str> = live.map(|index| names[index].as_str()).collect();
        let subject = Some(random.random_range(0..500));
        let gateway = &mut gateways[chosen];
        let criteria = Criteria {
            pool: "p",
            subject,
            zone: "z",
            tried: &[],
            builds: None,
            only: None,
        };
        let ranked = query::rank_targets(&gateway.roster, criteria, now_ms);
        let taken = ranked.into_iter().find(|key| {
            let target = gateway.keys.iter().position(|known| known == key);
            let target = target.unwrap_or(0);
            let limit = query::stated_limit(&gateway.roster, *key, now_ms);
            let shares = match policy {
                Policy::None | Policy::Block => Shares::default(),
                Policy::Each => Shares {
                    stated_per_s: limit,
                    ..Shares::default()
                },
                Policy::Shared => Shares {
                    stated_per_s: limit.map(|limit| {
                        let members = live.iter().copied();
                        let target = format!("t{target}");
                        rate_share::stated(limit, &names[chosen], members, &target)
                    }),
                    ..Shares::default()
                },
            };
            let is_blocked = policy == Policy::Block && gateway.blocked_until_ms[target] > now_ms;
            !is_blocked && command::start_request(&mut gateway.roster, *key, shares, now_ms)
        });
        sent += usize::from(are_limited);
        let Some(key) = taken else { continue };
        served += usize::from(are_limited);
        let target = gateway.keys.iter().position(|known| *known == key);
        let target = target.unwrap_or(0);
        arrivals[target].push(now_ms);
        answers.push(Answer {
            due_ms: now_ms + random.random_range(ANSWER_MS),
            sent_ms: now_ms,
            gateway: chosen,
            lifetime: gateway.lifetime,
            target,
        });
    }
    summarise(
        &limits,
        &arrivals,
        served as f64 / sent.max(1) as f64,
        usual,
    )
}

/// Sends the statements of each gateway to those whose turn it is.
fn exchange(gateways: &mut [Gateway], random: &mut StdRng, round: u64, now_ms: u64) {
    let count = gateways.len();
    let notices: Vec<Vec<LimitNotice>> = gateways
        .iter()
        .map(|gateway| query::limit_notices(&gateway.roster, now_ms))
        .collect();
    for (index, notices) in notices.iter().enumerate() {
        for (peer, gateway) in gateways.iter_mut().enumerate() {
            let is_due = reports::is_due(peer, count - 1, false, round);
            if peer != index && is_due && !random.random_bool(LOSS) {
                command::merge_limits(&mut gateway.roster, notices, now_ms);
            }
        }
    }
}

fn summarise(limits: &[Option<f64>], arrivals: &[Vec<u64>], served: f64, usual: f64) -> Outcome {
    let mut outcome = Outcome {
        excess: f64::MIN,
        served,
        ..Outcome::default()
    };
    let (mut used, mut allowed, mut after, mut usual_after) = (0.0, 0.0, 0.0, 0.0);
    for (limit, arrivals) in limits.iter().zip(arrivals) {
        let Some(limit) = limit else { continue };
        let counted = |range: std::ops::Range<u64>| {
            arrivals
                .iter()
                .filter(|at_ms| range.contains(at_ms))
                .count() as f64
        };
        let bound = 1.5 * limit * WINDOW_MS as f64 / 1_000.0 + 5.0;
        for begin_ms in (FROM_MS + STABLE_MS..UNTIL_MS - WINDOW_MS).step_by(100) {
            let most = counted(begin_ms..begin_ms + WINDOW_MS) - bound;
            outcome.excess = outcome.excess.max(most);
        }
        used += counted(FROM_MS + STABLE_MS..UNTIL_MS);
        allowed += limit * (UNTIL_MS - FROM_MS - STABLE_MS) as f64 / 1_000.0;
        let after_ms = UNTIL_MS + 5_000..END_MS;
        usual_after += usual * (END_MS - UNTIL_MS - 5_000) as f64 / 1_000.0;
        after += counted(after_ms);
    }
    outcome.used = used / allowed;
    outcome.used_after = after / usual_after;
    outcome
}
