//! Tests of the decision whether requests leave their availability zone.

#[path = "support/placement.rs"]
mod placement;

use std::collections::VecDeque;

use placement::{run, Scenario};
use rstest::rstest;
use sardinemux_core::crossing::{self, Cache, Choice, Costs, Estimate, Pressure, Spill};
use smol_str::SmolStr;

/// The share of the requests in five seconds that the users let reach targets above their bound.
const OVER_BOUND_MAX: f64 = 0.03;

/// The share of the former traffic between zones that may be left.
const CROSSED_MAX: f64 = 2.0 / 3.0;

const COSTS: Costs = Costs {
    crossing_per_gb: 0.01,
    read_per_1000_tokens: 1e-6,
    fetch_per_gb: 0.01,
    cache_bytes_per_token: 2e3,
};

const RETURNING: Estimate = Estimate {
    bytes: 12_000.0,
    tokens: 11_800,
    requests: 1.0,
    cache: Cache::Elsewhere,
};

/// A prompt moves into a zone for a few requests, or never, or goes back and forth once the zone has its cache.
#[rstest]
#[case::rare(RETURNING, Choice::FollowCache)]
#[case::frequent(Estimate { requests: 500.0, ..RETURNING }, Choice::Stay)]
#[case::here(Estimate { cache: Cache::Here, ..RETURNING }, Choice::Stay)]
#[case::new(Estimate { cache: Cache::Nowhere, ..RETURNING }, Choice::Stay)]
fn verify_prompt_moves_where_that_pays(#[case] estimate: Estimate, #[case] expected: Choice) {
    assert_eq!(crossing::decide(COSTS, estimate, false), expected);
    assert_eq!(crossing::decide(COSTS, estimate, true), Choice::Spill);
}

/// Requests that stay in their zone break the load bound, or cross zones as often as before.
#[rstest]
fn verify_load_bound_holds_while_requests_stay(#[values(6, 23, 91, 195, 391)] gateways: usize) {
    let play = |stays| {
        let scenario = Scenario {
            gateways,
            stays,
            hot: 0.1,
            ..Scenario::default()
        };
        run(scenario, 1)
    };
    let (staying, usual) = (play(true), play(false));
    println!("{gateways} gateways\n  staying {staying:?}\n  usual {usual:?}");
    assert!(staying.over_bound <= OVER_BOUND_MAX, "{staying:?}");
    assert!(
        staying.crossed <= CROSSED_MAX * usual.crossed,
        "{staying:?} {usual:?}"
    );
}

/// The slots of a zone, in each of three.
const SLOTS: f64 = 600.0;

/// The time between two steps of a simulation, and its length, in milliseconds.
const STEP_MS: u64 = 100;
const END_MS: u64 = 120_000;

/// Plays three zones whose callers begin `demand` requests at a time (as a multiple of the slots of a zone, each lasting a second) and
/// whose targets are the given share of the usual ones. Loads are known late. Returns the loads by slot and shares of each step.
fn play(demand: [f64; 3], sound: [f64; 3], late_ms: u64) -> Vec<([f64; 3], [f64; 3])> {
    // The requests in flight, by the zone of their callers and that of their targets.
    let mut loads = [[0.0; 3]; 3];
    let mut spills = [(); 3].map(|()| Spill::default());
    let names: [SmolStr; 3] = ["z0", "z1", "z2"].map(SmolStr::from);
    let mut known: VecDeque<[f64; 3]> = VecDeque::new();
    let mut steps = Vec::new();
    let at_targets = |loads: &[[f64; 3]; 3]| {
        [0, 1, 2].map(|target| loads.iter().map(|from| from[target]).sum::<f64>())
    };
    for now_ms in (0..END_MS).step_by(STEP_MS as usize) {
        known.push_back(at_targets(&loads));
        if known.len() as u64 > late_ms / STEP_MS {
            let seen = known.pop_front().unwrap_or_default();
            for (zone, spill) in spills.iter_mut().enumerate() {
                let others = (0..3).filter(|it| *it != zone).map(|other| {
                    let pressure = Pressure {
                        load: seen[other],
                        slots: SLOTS * sound[other],
                    };
                    (names[other].clone(), pressure)
                });
                let others: Vec<(SmolStr, Pressure)> = others.collect();
                if spill.is_due(now_ms) {
                    let own: f64 = loads[zone].iter().sum();
                    spill.update(own, SLOTS * sound[zone], &others, 0.02, now_ms);
                }
            }
        }
        let held = at_targets(&loads);
        for zone in 0..3 {
            let spill = &spills[zone];
            for other in 0..3 {
                let part = match other == zone {
                    true => 1.0 - spill.share(),
                    false => spill.share_to(&names[other]),
                };
                // A target serves no more requests at a time than it has slots.
                let served = f64::min(1.0, SLOTS * sound[other] / f64::max(held[other], 1.0));
                let change = demand[zone] * SLOTS * part - loads[zone][other] * served;
                loads[zone][other] += change * STEP_MS as f64 / 1_000.0;
            }
        }
        let held = at_targets(&loads);
        let ratios = [0, 1, 2].map(|it| held[it] / (SLOTS * sound[it]));
        steps.push((ratios, spills.each_ref().map(Spill::share)));
    }
    steps
}

/// A busy zone keeps its requests while others have room, sends its mass of requests back and forth, or overloads the others.
#[rstest]
#[case::one_zone([1.3, 0.4, 0.4], [1.0; 3])]
#[case::two_zones([1.2, 1.2, 0.2], [1.0; 3])]
#[case::half_of_the_targets([0.7, 0.5, 0.5], [0.5, 1.0, 1.0])]
fn verify_surge_leaves_its_zone_and_settles(
    #[case] demand: [f64; 3],
    #[case] sound: [f64; 3],
    #[values(100, 2_000)] late_ms: u64,
) {
    let steps = play(demand, sound, late_ms);
    let late = &steps[steps.len() / 2..];
    for zone in 0..3 {
        let loads = late.iter().map(|(loads, _)| loads[zone]);
        let shares = || late.iter().map(|(_, shares)| shares[zone]);
        let worst = loads.fold(0.0, f64::max);
        let swing = shares().fold(0.0, f64::max) - shares().fold(1.0, f64::min);
        assert!(worst < 1.0, "zone {zone}: load {worst} by slot");
        assert!(swing < 0.2, "zone {zone}: the share swings by {swing}");
    }
    assert!(late.iter().all(|(_, shares)| shares[0] > 0.0));
    assert!(late.iter().all(|(_, shares)| shares[2] == 0.0));
}

/// Requests leave zones that are as busy as all others, which brings them no room and costs a crossing.
#[rstest]
#[case::calm([0.5; 3])]
#[case::full([1.5; 3])]
fn verify_requests_stay_where_leaving_brings_nothing(
    #[case] demand: [f64; 3],
    #[values(100, 2_000)] late_ms: u64,
) {
    let steps = play(demand, [1.0; 3], late_ms);
    assert!(steps.iter().all(|(_, shares)| *shares == [0.0; 3]));
}

/// A zone without targets (evacuated, lost or cut off), or the only one left, makes the share no number.
#[test]
fn verify_zone_without_targets_has_no_share() {
    let some = Pressure {
        load: 9.0,
        slots: 64.0,
    };
    let play = |demand: f64, slots: f64, others: &[(SmolStr, Pressure)]| {
        let mut spill = Spill::default();
        for round in 0..20 {
            spill.update(demand, slots, others, 0.02, round * 500);
        }
        spill.share()
    };
    let other = |pressure| [("z".into(), pressure)];
    assert!(play(90.0, 64.0, &other(some)) > 0.0);
    assert_eq!(play(90.0, 64.0, &[]), 0.0);
    assert_eq!(play(90.0, 64.0, &other(Pressure::default())), 0.0);
    assert_eq!(play(90.0, 0.0, &other(some)), 0.0);
    assert_eq!(play(0.0, 64.0, &other(some)), 0.0);
}
