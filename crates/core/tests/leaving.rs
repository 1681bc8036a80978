//! Simulations of fleets in which targets state in their answers that they leave.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use sardinemux_core::roster::query::Criteria;
use sardinemux_core::roster::{command, query, Announcement, Roster};
use sardinemux_core::target::{Kind, Target};

/// The users' bound on the time from a statement to the last request, in milliseconds.
const DRAIN_MS: u64 = 2_000;

/// The interval of gateways' reports, in milliseconds.
const ROUND_MS: u64 = 250;

const TARGETS: usize = 12;

/// The share of the datagrams that are lost.
const LOSS: f64 = 0.1;

fn announce(index: usize, lifetime: u64) -> Announcement {
    Announcement {
        target: Target {
            id: format!("t{index}").into(),
            kind: Kind::Engine,
            pool: "p".into(),
            address: format!("127.0.0.1:{index}").into(),
            zone: "z1".into(),
            region: "r1".into(),
            slots: 8,
            leaving: false,
            build: "v1".into(),
        },
        lifetime,
        cold_ms: 0,
    }
}

/// Gateways of which some never send to the leaving targets use them all the same once the others have gone on, unless
/// they are told; and a list that goes on saying `ready` must not bring these targets back.
#[rstest]
#[case(9)]
#[case(100)]
fn verify_no_gateway_sends_to_a_target_that_stated_its_leaving(#[case] gateways: usize) {
    for seed in 0..20 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut rosters: Vec<Roster> = (0..gateways).map(|_| Roster::default()).collect();
        let mut lifetimes = [1_u64; TARGETS];
        let mut stated = [[None::<u64>; TARGETS]; 100];
        let leaving: Vec<usize> = (0..TARGETS / 3).collect();
        for now_ms in (0..6_000_u64).step_by(10) {
            if now_ms == 4_000 {
                // A leaving target ends, and another process starts with its id.
                lifetimes[0] = 2;
                for states in &mut stated {
                    states[0] = None;
                }
            }
            for (gateway, roster) in rosters.iter_mut().enumerate() {
                if now_ms.is_multiple_of(500) {
                    for (index, lifetime) in lifetimes.iter().enumerate() {
                        command::apply_announcement(roster, announce(index, *lifetime), now_ms);
                    }
                }
                if !random.random_bool(0.2) {
                    continue;
                }
                let subject = random.random();
                let criteria = Criteria {
                    pool: "p",
                    subject: Some(subject),
                    zone: "z1",
                    tried: &[],
                    builds: None,
                    only: None,
                };
                let key = query::rank_targets(roster, criteria, now_ms)[0];
                let id = query::target(roster, key).unwrap().id.clone();
                let index: usize = id[1..].parse().unwrap();
                if let Some(stated_ms) = stated[gateway][index] {
                    panic!(
                        "seed {seed}: gateway {gateway} sent to {id}, {} ms after its statement",
                        now_ms - stated_ms
                    );
                }
                let states = leaving.contains(&index) && lifetimes[index] == 1 && now_ms >= 1_000;
                if states {
                    stated[gateway][index] = Some(now_ms);
                    command::note_leaving(roster, key, now_ms);
                }
            }
            if now_ms.is_multiple_of(ROUND_MS) {
                exchange(&mut rosters, &mut random, now_ms);
            }
            if now_ms == 1_000 + DRAIN_MS {
                let unaware = rosters.iter().filter(|roster| {
                    let keys = leaving.iter().map(|index| format!("t{index}"));
                    let mut keys = keys.filter_map(|id| query::key(roster, &id));
                    keys.any(|key| query::is_eligible(roster, key, now_ms))
                });
                assert_eq!(unaware.count(), 0, "seed {seed}");
            }
        }
        let free = rosters.iter().filter(|roster| {
            let key = query::key(roster, "t0").unwrap();
            query::is_eligible(roster, key, 6_000)
        });
        assert_eq!(free.count(), gateways, "seed {seed}");
    }
}

/// Each gateway tells a few others what it knows.
fn exchange(rosters: &mut [Roster], random: &mut StdRng, now_ms: u64) {
    let indexes: Vec<usize> = (0..rosters.len()).collect();
    for sender in 0..rosters.len() {
        let notices = query::leaving_notices(&rosters[sender], now_ms);
        for recipient in indexes.choose_multiple(random, 8) {
            if !random.random_bool(LOSS) {
                command::merge_leaving(&mut rosters[*recipient], &notices, now_ms);
            }
        }
    }
}
