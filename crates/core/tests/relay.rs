//! Tests of attempts at a request, and of who reads the store.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use rstest::rstest;
use sardinemux_core::attempts::{self, Attempts};
use sardinemux_core::catalog::{Kind, Route};
use sardinemux_core::outcome::Outcome;
use sardinemux_core::readers::{self, Peer, Progress, ReaderState};
use sardinemux_core::reports;

const RESUMABLE: Kind = Kind::Stream { is_resumable: true };
const ONCE: Kind = Kind::Stream {
    is_resumable: false,
};

#[rstest]
#[case::safe(Kind::Safe, 1, true)]
#[case::safe_at_its_limit(Kind::Safe, 2, false)]
#[case::resumable(RESUMABLE, 1, true)]
#[case::stream(ONCE, 1, false)]
#[case::unsafe_request(Kind::Unsafe, 1, false)]
fn verify_runs_are_bounded_by_kind_and_route(
    #[case] kind: Kind,
    #[case] ran: u32,
    #[case] expected: bool,
) {
    let route = Route {
        kind,
        attempts_max: 2,
        ..Route::default()
    };
    let attempts = Attempts {
        ran,
        ..Attempts::default()
    };
    assert_eq!(attempts.may_run_again(&route), expected);
    assert_eq!(attempts.patience_ms(&route), None);
    assert_eq!(attempts.outcome(), Outcome::Unknown);
}

/// Load: every target turns the request away. The caller hears of it after a few, with a true "not run".
#[test]
fn verify_turned_away_request_is_given_up_soon() {
    let mut attempts = Attempts::default();
    while attempts.may_go_on() {
        attempts.turned_away += 1;
        assert!(attempts.turned_away < 10);
    }
    assert_eq!(attempts.outcome(), Outcome::NotRun);
}

/// Load: a quarter of a pool has crashed at once and is still listed, and the targets that a request prefers are
/// among them. It goes on to one that lives; if none does, its caller hears of it.
#[test]
fn verify_request_passes_over_targets_that_are_gone() {
    let gone = |unreached| Attempts {
        unreached,
        ..Attempts::default()
    };
    assert!(gone(10).may_go_on());
    assert!(!gone(20).may_go_on());
    assert_eq!(gone(20).outcome(), Outcome::NotRun);
}

/// Load: a thousand callers are refused at once. They come back spread over the time that they wait, and none is
/// asked to wait for more than a third of what it has left.
#[test]
fn verify_refused_callers_return_spread() {
    let left_ms = 4_000;
    let mut random = rand::rng();
    let mut tenths = [0; 10];
    for _ in 0..1_000 {
        let wait_ms = attempts::retry_after_ms(left_ms, &mut random);
        assert!(wait_ms <= left_ms / 3);
        let span_ms = left_ms / 4 + 1 - attempts::RETRY_LEAST_MS;
        tenths[((wait_ms - attempts::RETRY_LEAST_MS) * 10 / span_ms) as usize] += 1;
    }
    // A tenth of them is due in each tenth; twice that would be a herd.
    assert!(tenths.iter().all(|count| *count < 200), "{tenths:?}");
}

fn peers(names: &[String]) -> impl Iterator<Item = Peer<'_>> {
    names.iter().enumerate().map(|(index, name)| Peer {
        name,
        zone: ["z0", "z1", "z2"][index % 3],
        link_mbps: 100,
        state: ReaderState::Following,
        newest_version: index as u64,
    })
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("g{index}")).collect()
}

fn others<'a>(all: &[Peer<'a>], me: Peer<'a>) -> impl Iterator<Item = Peer<'a>> {
    let all = all.to_vec();
    all.into_iter().filter(move |peer| peer.name != me.name)
}

/// Returns the gateways of a fleet that read the store.
fn reading<'a>(all: &[Peer<'a>]) -> Vec<Peer<'a>> {
    let reading = all
        .iter()
        .filter(|me| readers::is_reader(**me, others(all, **me)));
    reading.copied().collect()
}

/// All gateways reckon alike: one of each zone reads, the one with the widest link.
#[test]
fn verify_one_gateway_of_each_zone_reads() {
    let names = names(90);
    let mut all: Vec<Peer<'_>> = peers(&names).collect();
    let zones: Vec<&str> = reading(&all).iter().map(|peer| peer.zone).collect();
    assert_eq!(zones.len(), 3);
    all[42].link_mbps = 200;
    let names: Vec<&str> = reading(&all).iter().map(|peer| peer.name).collect();
    assert_eq!(names.len(), 3);
    assert!(names.contains(&"g42"), "{names:?}");
}

/// Load: the store turns away a third of the gateways, among them the readers of all zones. Each that is turned away
/// says so, and within a few rounds of reports another one of its zone is served.
#[test]
fn verify_reader_that_is_turned_away_has_a_successor() {
    let names = names(90);
    let mut all: Vec<Peer<'_>> = peers(&names)
        .map(|peer| Peer {
            state: ReaderState::Idle,
            ..peer
        })
        .collect();
    let first = reading(&all);
    let is_served = |name: &str| !first.iter().any(|peer| peer.name == name);
    for _round in 0..2 {
        for peer in reading(&all) {
            let known = all.iter_mut().find(|known| known.name == peer.name);
            known.unwrap().state = match is_served(peer.name) {
                true => ReaderState::Following,
                false => ReaderState::Failing,
            };
        }
    }
    let following = all
        .iter()
        .filter(|peer| peer.state == ReaderState::Following);
    assert_eq!(following.count(), 3);
}

/// A gateway that hears nobody who follows the store reads by itself, at a moment of its own, until a better one does.
#[test]
fn verify_gateway_that_hears_no_reader_reads_by_itself() {
    let names = names(30);
    let idle: Vec<Peer<'_>> = peers(&names)
        .map(|peer| Peer {
            state: ReaderState::Idle,
            ..peer
        })
        .collect();
    let alone = |waited_ms: u64| {
        let alone = idle
            .iter()
            .filter(|me| readers::is_fallback_reader(**me, others(&idle, **me), waited_ms));
        alone.count()
    };
    assert_eq!(alone(1_000), 0);
    // Few begin at once, and all have begun within the two seconds in which changes must be known.
    assert!((1..10).contains(&alone(1_400)), "{}", alone(1_400));
    assert_eq!(alone(2_000), 30);
    let all: Vec<Peer<'_>> = peers(&names).collect();
    let going_on = all
        .iter()
        .filter(|me| readers::is_fallback_reader(**me, others(&all, **me), 0));
    assert_eq!(going_on.count(), 1);
}

#[test]
fn verify_follower_prefers_its_zone_and_leaves_the_silent() {
    let names = names(6);
    let best = readers::choose_reader("z1", peers(&names)).map(|peer| peer.zone);
    assert_eq!(best, Some("z1"));
    let others = peers(&names).map(|peer| Peer {
        state: match peer.zone == "z2" {
            true => ReaderState::Following,
            false => ReaderState::Failing,
        },
        ..peer
    });
    let best = readers::choose_reader("z1", others).map(|peer| peer.zone);
    assert_eq!(best, Some("z2"));
    assert_eq!(readers::choose_reader("z1", std::iter::empty()), None);
}

/// A gateway that follows the store is asked if it has a newer entry; one that does not, only if that entry is newer
/// than everything that was taken in.
#[rstest]
#[case::behind(3, 3, Some(5))]
#[case::complete_beyond(3, 9, Some(5))]
#[case::level(5, 5, None)]
fn verify_gateway_that_is_ahead_is_asked(
    #[case] newest: u64,
    #[case] complete: u64,
    #[case] expected: Option<u64>,
) {
    let names = names(6);
    let progress = Progress {
        newest_version: newest,
        complete_version: complete,
    };
    let ahead = readers::find_newer_peer(progress, peers(&names)).map(|peer| peer.newest_version);
    assert_eq!(ahead, expected);
    let lost = peers(&names).map(|peer| Peer {
        state: ReaderState::Failing,
        ..peer
    });
    let ahead = readers::find_newer_peer(progress, lost).map(|peer| peer.newest_version);
    assert_eq!(ahead, expected.filter(|newest| *newest > complete));
}

/// Load: an outage of the store of which every gateway of a zone has learnt by a call of its own. Together they call
/// it no more often than a few would.
#[test]
fn verify_outage_is_not_met_by_all_gateways() {
    let mut random = rand::rng();
    let mut calls_s = |lost: usize| {
        let pauses = (0..lost).map(|_| readers::retry_delay_ms(9, lost, &mut random));
        pauses.map(|ms| 1_000.0 / ms as f64).sum::<f64>()
    };
    assert!(calls_s(2) < 5.1);
    let mut random = rand::rng();
    let calls_s = (0..30).map(|_| 1_000.0 / readers::retry_delay_ms(9, 30, &mut random) as f64);
    assert!(calls_s.sum::<f64>() < 5.1);
}

/// Load: fleets of 9 to 1,000 gateways. What one sends a second is bounded, every other one hears of it within the time
/// after which it would be taken to be silent, and one that has long been silent is not forgotten.
#[rstest]
#[case::small(9)]
#[case::grown(87)]
#[case::large(390)]
#[case::sweep(1_000)]
fn verify_reports_are_bounded_and_reach_everyone(#[case] gateways: usize) {
    let others = gateways - 1;
    let rounds = reports::silence_timeout_ms(others, false) / reports::PERIOD_MS;
    for round in 0..rounds {
        let due = (0..others).filter(|index| reports::is_due(*index, others, false, round));
        assert!(due.count() <= 32);
    }
    let hears = |index: usize, is_quiet: bool, rounds: u64| {
        (0..rounds).any(|round| reports::is_due(index, others, is_quiet, 5 + round))
    };
    assert!((0..others).all(|index| hears(index, false, rounds / 2)));
    assert!((0..others).all(|index| hears(index, true, 4 * rounds)));
    assert!(reports::validity_ms(others) > reports::silence_timeout_ms(others, false));
}

/// Load: the loss of all of a large fleet. Of a hundred gateways of a zone, a few were served by the store and the others
/// were turned away. Those that ask for the whole spread over all that have it, and each that gets it can tell it.
#[test]
fn verify_whole_list_is_asked_of_all_that_have_it() {
    let names = names(300);
    let mut random = rand::rng();
    let mut informed: Vec<bool> = (0..300).map(|index| index < 9).collect();
    let mut rounds = 0;
    while informed.iter().any(|is_informed| !is_informed) {
        let peers = || {
            let all = peers(&names).zip(&informed);
            all.map(|(peer, is_informed)| Peer {
                state: ReaderState::Failing,
                newest_version: u64::from(*is_informed),
                ..peer
            })
        };
        let mut asked = vec![0; 300];
        let mut told = informed.clone();
        for (index, me) in names
            .iter()
            .enumerate()
            .filter(|(index, _)| !informed[*index])
        {
            let zone = ["z0", "z1", "z2"][index % 3];
            let others = peers().filter(|peer| peer.name != me);
            let teller = readers::choose_snapshot_peer(zone, others, &mut random).unwrap();
            let teller = names.iter().position(|name| name == teller.name).unwrap();
            // A gateway tells four others in the time that one round takes.
            asked[teller] += 1;
            told[index] = asked[teller] <= 4;
        }
        informed = told;
        rounds += 1;
        assert!(rounds < 8, "the list does not spread");
    }
}
