//! Tests of the limits on attempts, the election of store readers, and the schedule of reports between gateways.

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
    #[case] possible_runs: u32,
    #[case] expected: bool,
) {
    let route = Route {
        kind,
        attempts_max: 2,
        ..Route::default()
    };
    let attempts = Attempts {
        possible_runs,
        ..Attempts::default()
    };
    assert_eq!(attempts.may_run_again(&route), expected);
    assert_eq!(attempts.first_byte_timeout_ms(&route), None);
    assert_eq!(attempts.outcome(), Outcome::Unknown);
}

/// Every target rejects the request. It must be given up after a few targets, and the outcome must be "not run".
#[test]
fn verify_rejected_request_is_given_up_soon() {
    let mut attempts = Attempts::default();
    while attempts.may_try_next_target() {
        attempts.rejections += 1;
        assert!(attempts.rejections < 10);
    }
    assert_eq!(attempts.outcome(), Outcome::NotRun);
}

/// A quarter of a pool crashes at once and is still listed, and the preferred targets of a request are among the
/// crashed ones. The request must get past them to a live target; if there is none, it must be given up.
#[test]
fn verify_request_skips_crashed_targets() {
    let after_failures = |send_failures| Attempts {
        send_failures,
        ..Attempts::default()
    };
    assert!(after_failures(10).may_try_next_target());
    assert!(!after_failures(20).may_try_next_target());
    assert_eq!(after_failures(20).outcome(), Outcome::NotRun);
}

/// A thousand callers are refused at once. Their `Retry-After` delays must be spread, so that they do not return
/// together, and none may exceed a third of the caller's remaining time.
#[test]
fn verify_retry_delays_are_spread() {
    let left_ms = 4_000;
    let mut random = rand::rng();
    let mut tenths = [0; 10];
    for _ in 0..1_000 {
        let wait_ms = attempts::retry_after_ms(left_ms, &mut random);
        assert!(wait_ms <= left_ms / 3);
        let span_ms = left_ms / 4 + 1 - attempts::RETRY_AFTER_MIN_MS;
        tenths[((wait_ms - attempts::RETRY_AFTER_MIN_MS) * 10 / span_ms) as usize] += 1;
    }
    // An even spread puts 100 callers in each tenth of the span; 200 in one would be a thundering herd.
    assert!(tenths.iter().all(|count| *count < 200), "{tenths:?}");
}

fn peers(names: &[String]) -> impl Iterator<Item = Peer<'_>> {
    names.iter().enumerate().map(|(index, name)| Peer {
        name,
        zone: ["z0", "z1", "z2"][index % 3],
        link_mbps: 100,
        state: ReaderState::Following,
        newest: (index as u64).into(),
    })
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("g{index}")).collect()
}

fn others<'a>(all: &[Peer<'a>], me: Peer<'a>) -> impl Iterator<Item = Peer<'a>> {
    let all = all.to_vec();
    all.into_iter().filter(move |peer| peer.name != me.name)
}

/// Returns the gateways of a fleet that are elected to read the store.
fn elected_readers<'a>(all: &[Peer<'a>]) -> Vec<Peer<'a>> {
    let elected_readers = all
        .iter()
        .filter(|me| readers::is_reader(**me, others(all, **me)));
    elected_readers.copied().collect()
}

/// All gateways compute the same election without messages: in each zone, the one with the fastest link reads.
#[test]
fn verify_one_gateway_per_zone_reads_store() {
    let names = names(90);
    let mut all: Vec<Peer<'_>> = peers(&names).collect();
    let zones: Vec<&str> = elected_readers(&all).iter().map(|peer| peer.zone).collect();
    assert_eq!(zones.len(), 3);
    all[42].link_mbps = 200;
    let names: Vec<&str> = elected_readers(&all).iter().map(|peer| peer.name).collect();
    assert_eq!(names.len(), 3);
    assert!(names.contains(&"g42"), "{names:?}");
}

/// The store rejects the elected readers of all zones. Each of them reports this, and within two rounds of reports
/// another gateway of its zone must follow the store.
#[test]
fn verify_rejected_reader_is_replaced() {
    let names = names(90);
    let mut all: Vec<Peer<'_>> = peers(&names)
        .map(|peer| Peer {
            state: ReaderState::Idle,
            ..peer
        })
        .collect();
    let first = elected_readers(&all);
    let is_served = |name: &str| !first.iter().any(|peer| peer.name == name);
    for _round in 0..2 {
        for peer in elected_readers(&all) {
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

/// A gateway that receives no report of one that follows the store must begin to read by itself, after a delay of its
/// own, and go on until a gateway that ranks before it follows the store.
#[test]
fn verify_gateway_without_reader_reads_store() {
    let names = names(30);
    let idle: Vec<Peer<'_>> = peers(&names)
        .map(|peer| Peer {
            state: ReaderState::Idle,
            ..peer
        })
        .collect();
    let fallback = |waited_ms: u64| {
        let fallback = idle
            .iter()
            .filter(|me| readers::is_fallback_reader(**me, others(&idle, **me), waited_ms));
        fallback.count()
    };
    assert_eq!(fallback(1_000), 0);
    // Few gateways begin at the same time, and all have begun within the 2 s in which changes must be known.
    assert!((1..10).contains(&fallback(1_400)), "{}", fallback(1_400));
    assert_eq!(fallback(2_000), 30);
    let all: Vec<Peer<'_>> = peers(&names).collect();
    let continuing = all
        .iter()
        .filter(|me| readers::is_fallback_reader(**me, others(&all, **me), 0));
    assert_eq!(continuing.count(), 1);
}

#[test]
fn verify_follower_prefers_its_zone_and_avoids_failing_readers() {
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

/// A gateway that follows the store must be queried if it has a newer entry than the newest known one; a gateway that
/// does not follow it, only if its entry is newer than the version up to which every entry is known.
#[rstest]
#[case::behind(3, 3, Some(5))]
#[case::complete_beyond(3, 9, Some(5))]
#[case::level(5, 5, None)]
fn verify_gateway_with_newer_entry_is_queried(
    #[case] newest: u64,
    #[case] complete: u64,
    #[case] expected: Option<u64>,
) {
    let names = names(6);
    let progress = Progress {
        newest: newest.into(),
        complete: complete.into(),
    };
    let random = &mut rand::rng();
    let ahead = readers::find_newer_peer(progress, "z0", peers(&names), random);
    let ahead = ahead.map(|peer| peer.newest.version);
    assert_eq!(ahead, expected);
    let failing = peers(&names).map(|peer| Peer {
        state: ReaderState::Failing,
        ..peer
    });
    let ahead = readers::find_newer_peer(progress, "z0", failing, random);
    let ahead = ahead.map(|peer| peer.newest.version);
    assert_eq!(ahead, expected.filter(|newest| *newest > complete));
}

/// All followers ask the same gateway for a change, although many have it.
#[test]
fn verify_followers_ask_different_gateways_for_a_change() {
    let names = names(30);
    let progress = Progress::default();
    let peers = || {
        peers(&names).map(|peer| Peer {
            state: ReaderState::Idle,
            newest: 1.into(),
            link_mbps: if peer.name == "g0" { 200 } else { 10 },
            ..peer
        })
    };
    let narrow = || peers().filter(|peer| peer.link_mbps == 10);
    let mut random = rand::rng();
    let mut asked = indexmap::IndexSet::new();
    for _ in 0..100 {
        let peer = readers::find_newer_peer(progress, "z1", narrow(), &mut random).unwrap();
        assert_eq!(peer.zone, "z1");
        asked.insert(peer.name);
    }
    assert!(asked.len() > 5, "{asked:?}");
    let peer = readers::find_newer_peer(progress, "z1", peers(), &mut random);
    assert_eq!(peer.unwrap().name, "g0");
}

/// The store is unreachable, and every gateway of a zone has found this out by a failed call of its own. Together they
/// must call it no more often than two gateways would.
#[test]
fn verify_call_rate_is_bounded_during_outage() {
    let mut random = rand::rng();
    let mut calls_per_s = |failing: usize| {
        let pauses = (0..failing).map(|_| readers::retry_delay_ms(9, failing, &mut random));
        pauses.map(|ms| 1_000.0 / ms as f64).sum::<f64>()
    };
    assert!(calls_per_s(2) < 5.1);
    let mut random = rand::rng();
    let calls_per_s = (0..30).map(|_| 1_000.0 / readers::retry_delay_ms(9, 30, &mut random) as f64);
    assert!(calls_per_s.sum::<f64>() < 5.1);
}

/// In fleets of 9 to 1,000 gateways, the reports that one gateway sends per round must be bounded, every other gateway
/// must receive one well before the sender counts as silent, and one that has long been silent must still receive some.
#[rstest]
#[case::small(9)]
#[case::grown(87)]
#[case::large(390)]
#[case::sweep(1_000)]
fn verify_reports_are_bounded_and_reach_all(#[case] gateways: usize) {
    let others = gateways - 1;
    let rounds = reports::silence_timeout_ms(others, false) / reports::PERIOD_MS;
    for round in 0..rounds {
        let due = (0..others).filter(|index| reports::is_due(*index, others, false, round));
        assert!(due.count() <= 32);
    }
    let receives = |index: usize, is_quiet: bool, rounds: u64| {
        (0..rounds).any(|round| reports::is_due(index, others, is_quiet, 5 + round))
    };
    assert!((0..others).all(|index| receives(index, false, rounds / 2)));
    assert!((0..others).all(|index| receives(index, true, 4 * rounds)));
    assert!(reports::validity_ms(others) > reports::silence_timeout_ms(others, false));
}

/// A large fleet restarts as a whole. Of the hundred gateways of a zone, the store serves a few and rejects the others,
/// which request a snapshot from their peers. Their requests must be spread over all gateways that know the newest
/// entry, including those that have just received it.
#[test]
fn verify_snapshot_requests_are_spread() {
    let names = names(300);
    let mut random = rand::rng();
    let mut has_snapshot: Vec<bool> = (0..300).map(|index| index < 9).collect();
    let mut rounds = 0;
    while has_snapshot.iter().any(|is_served| !is_served) {
        let peers = || {
            let all = peers(&names).zip(&has_snapshot);
            all.map(|(peer, is_served)| Peer {
                state: ReaderState::Failing,
                newest: u64::from(*is_served).into(),
                ..peer
            })
        };
        let mut requests = vec![0; 300];
        let mut served = has_snapshot.clone();
        for (index, me) in names
            .iter()
            .enumerate()
            .filter(|(index, _)| !has_snapshot[*index])
        {
            let zone = ["z0", "z1", "z2"][index % 3];
            let others = peers().filter(|peer| peer.name != me);
            let provider = readers::choose_snapshot_peer(zone, others, &mut random).unwrap();
            let provider = names.iter().position(|name| name == provider.name).unwrap();
            // A gateway can serve a snapshot to four others within one round.
            requests[provider] += 1;
            served[index] = requests[provider] <= 4;
        }
        has_snapshot = served;
        rounds += 1;
        assert!(rounds < 8, "the snapshot does not reach all gateways");
    }
}

/// A change of 1,400 routes, in bytes.
const LARGE_CHANGE_BYTES: u64 = 90_000;

/// The users' bound on the time until a change is in force, in milliseconds.
const PROPAGATION_MAX_MS: u64 = 2_000;

/// A reader behind a narrow link takes longer for a large change to its whole zone than the change may take.
#[rstest]
#[case::none_out(&[])]
#[case::one_zone(&["z1"])]
#[case::two_zones(&["z1", "z2"])]
fn verify_large_change_passes_no_narrow_link_many_times(#[case] without_wide: &[&str]) {
    let mut names = Vec::new();
    for zone in ["z1", "z2", "z3"] {
        let wide = if without_wide.contains(&zone) { 0 } else { 2 };
        names.extend((0..wide).map(|index| (format!("{zone}-wide{index}"), zone, 200)));
        names.extend((0..36).map(|index| (format!("{zone}-{index}"), zone, 10)));
    }
    let idle = |(name, zone, link_mbps): &'static (String, &'static str, u32)| Peer {
        name,
        zone,
        link_mbps: *link_mbps,
        state: ReaderState::Idle,
        newest: 1.into(),
    };
    let names: &'static [_] = names.leak();
    let all = || names.iter().map(idle);
    let is_reader = |peer: &Peer<'_>| {
        let others = all().filter(|other| other.name != peer.name);
        readers::is_reader(*peer, others)
    };
    let readers: Vec<Peer<'_>> = all()
        .filter(is_reader)
        .map(|peer| Peer {
            state: ReaderState::Following,
            ..peer
        })
        .collect();
    assert_eq!(readers.len(), 3);
    let mut followers: indexmap::IndexMap<&str, u64> = indexmap::IndexMap::new();
    for follower in all().filter(|peer| readers.iter().all(|reader| reader.name != peer.name)) {
        let reader = readers::choose_reader(follower.zone, readers.iter().copied()).unwrap();
        *followers.entry(reader.name).or_default() += 1;
    }
    for reader in &readers {
        let count = followers.get(reader.name).copied().unwrap_or_default();
        let took_ms = count * LARGE_CHANGE_BYTES * 8 / (u64::from(reader.link_mbps) * 1_000);
        assert!(
            took_ms <= PROPAGATION_MAX_MS,
            "{} sends the change for {took_ms} ms",
            reader.name
        );
    }
}
