//! Simulations of fleets before targets that turn requests away for a time.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use sardinemux_core::roster::query::Criteria;
use sardinemux_core::roster::{command, query, Announcement, Evidence, Roster, Shares};
use sardinemux_core::target::{Key, Kind, Target};

/// The users' time after a rejection in which further requests may still arrive, in milliseconds.
const KNOWN_MS: u64 = 500;

/// The users' number of requests of one gateway that may arrive from then on to the end of the pause.
const SLIPS_MAX: usize = 2;

const TARGETS: usize = 9;
const END_MS: u64 = 60_000;
const STEP_MS: u64 = 10;
const ANSWER_MS: std::ops::Range<u64> = 5..40;

/// The time between two lapses of entries, and how long each entry stays away, in milliseconds.
const LAPSE_MS: (u64, u64) = (3_000, 600);

fn announce(index: usize) -> Announcement {
    Announcement {
        target: Target {
            id: format!("t{index}").into(),
            kind: Kind::Service,
            pool: "p".into(),
            address: "127.0.0.1:1".into(),
            zone: "z1".into(),
            region: "r1".into(),
            slots: 8,
            leaving: false,
            build: "v1".into(),
        },
        lifetime: 1,
        cold_ms: 0,
    }
}

struct Rejection {
    due_ms: u64,
    gateway: usize,
    key: Key,
    pause_ms: u64,
}

/// A window in which a gateway may send few requests to a target.
struct Window {
    gateway: usize,
    target: usize,
    from_ms: u64,
    until_ms: u64,
}

/// Runs a fleet whose targets turn away 3 of 10 requests, and returns the largest number of requests in a window.
fn run(gateways: usize, pauses_ms: &[u64], has_lapses: bool, seed: u64) -> usize {
    let mut random = StdRng::seed_from_u64(seed);
    let mut rosters: Vec<Roster> = (0..gateways).map(|_| Roster::default()).collect();
    let mut answers: Vec<Rejection> = Vec::new();
    let mut windows: Vec<Window> = Vec::new();
    let mut arrivals: Vec<(usize, usize, u64)> = Vec::new();
    for now_ms in (0..END_MS).step_by(STEP_MS as usize) {
        let is_away = has_lapses && now_ms % LAPSE_MS.0 < LAPSE_MS.1 && now_ms >= LAPSE_MS.0;
        for roster in &mut rosters {
            for index in 0..TARGETS {
                let id = format!("t{index}");
                let lapses = is_away && (index + (now_ms / LAPSE_MS.0) as usize).is_multiple_of(2);
                match (lapses, query::key(roster, &id).is_some()) {
                    (true, true) => command::remove_target(roster, &id, None, now_ms),
                    (false, false) => {
                        command::apply_announcement(roster, announce(index), now_ms);
                    }
                    _ => {}
                }
            }
            command::remove_expired(roster, now_ms);
        }
        let (due, rest) = answers.into_iter().partition(|it| it.due_ms <= now_ms);
        answers = rest;
        let due: Vec<Rejection> = due;
        for it in due {
            let roster = &mut rosters[it.gateway];
            command::finish_request(roster, it.key, Evidence::Inconclusive, now_ms);
            match it.pause_ms {
                0 => command::note_accepted(roster, it.key, now_ms),
                pause_ms => command::note_pause(roster, it.key, pause_ms, now_ms),
            }
        }
        for (gateway, roster) in rosters.iter_mut().enumerate() {
            if !random.random_bool(0.3) {
                continue;
            }
            let criteria = Criteria {
                pool: "p",
                subject: None,
                zone: "z1",
                tried: &[],
                builds: None,
                only: None,
            };
            let ranked = query::rank_targets(roster, criteria, now_ms);
            let shares = Shares::default();
            let mut ranked = ranked.into_iter();
            let Some(key) = ranked.find(|key| command::start_request(roster, *key, shares, now_ms))
            else {
                continue;
            };
            let id = query::target(roster, key).unwrap().id.clone();
            let target: usize = id[1..].parse().unwrap();
            arrivals.push((gateway, target, now_ms));
            let is_turned_away = random.random_bool(0.3);
            let pause_ms = match is_turned_away {
                true => *pauses_ms.choose(&mut random).unwrap(),
                false => 0,
            };
            if is_turned_away {
                windows.push(Window {
                    gateway,
                    target,
                    from_ms: now_ms + KNOWN_MS,
                    until_ms: now_ms + pause_ms,
                });
            }
            answers.push(Rejection {
                due_ms: now_ms + random.random_range(ANSWER_MS),
                gateway,
                key,
                pause_ms,
            });
        }
    }
    let count = |window: &Window| {
        let inside = arrivals.iter().filter(|(gateway, target, at_ms)| {
            (*gateway, *target) == (window.gateway, window.target)
                && (window.from_ms..window.until_ms).contains(at_ms)
        });
        inside.count()
    };
    windows.iter().map(count).max().unwrap_or_default()
}

/// A pause that ends with the entry of its target has requests return in the middle of it, once the entry is back.
#[rstest]
#[case::small(9, 8_000, 4)]
#[case::small_long(9, 25_000, 4)]
#[case::large(100, 8_000, 1)]
fn verify_pauses_are_kept_while_entries_lapse(
    #[case] gateways: usize,
    #[case] pause_ms: u64,
    #[case] seeds: u64,
) {
    for seed in 0..seeds {
        let most = run(gateways, &[pause_ms], true, seed);
        assert!(most <= SLIPS_MAX, "seed {seed}: {most} requests");
    }
}

/// Requests that are in flight together are turned away for different times, of which a shorter one may come last.
#[rstest]
#[case::small(9, 4)]
#[case::large(100, 1)]
fn verify_pauses_are_kept_where_a_shorter_one_follows(#[case] gateways: usize, #[case] seeds: u64) {
    for seed in 0..seeds {
        let most = run(gateways, &[700, 3_000, 8_000], false, seed);
        assert!(most <= SLIPS_MAX, "seed {seed}: {most} requests");
    }
}

/// What a target states while its entry is away counts once the entry is back.
#[test]
fn verify_statements_of_unlisted_targets_are_kept() {
    let mut roster = Roster::default();
    let key = command::apply_announcement(&mut roster, announce(0), 0);
    let leaving = command::apply_announcement(&mut roster, announce(1), 0);
    assert!(command::start_request(
        &mut roster,
        key,
        Shares::default(),
        0
    ));
    command::remove_target(&mut roster, "t0", None, 10);
    command::remove_target(&mut roster, "t1", None, 10);
    command::note_pause(&mut roster, key, 90_000, 20);
    assert!(command::note_leaving(&mut roster, leaving, 20));
    command::remove_expired(&mut roster, 80_000);
    assert_eq!(
        command::apply_announcement(&mut roster, announce(0), 80_000),
        key
    );
    command::apply_announcement(&mut roster, announce(1), 80_000);
    assert!(query::is_paused(&roster, key, 80_000));
    assert_eq!(query::load(&roster, key, 80_000), 1);
    let later = Announcement {
        lifetime: 2,
        ..announce(0)
    };
    let later = command::apply_announcement(&mut roster, later, 80_000);
    assert!(!query::is_paused(&roster, later, 80_000));
}
