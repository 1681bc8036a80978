//! Tests of attempts at a request, and of who reads the store.

use rstest::rstest;
use sardinemux_core::attempts::{self, Attempts};
use sardinemux_core::catalog::{Kind, Route};
use sardinemux_core::outcome::Outcome;
use sardinemux_core::readers::{self, Peer};

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
        is_following: true,
        newest: index as u64,
    })
}

/// All gateways reckon alike: one of each zone reads.
#[test]
fn verify_one_gateway_of_each_zone_reads() {
    let names: Vec<String> = (0..90).map(|index| format!("g{index}")).collect();
    for zone in ["z0", "z1", "z2"] {
        let own = peers(&names).filter(|peer| peer.zone == zone);
        let readers = own.filter(|me| {
            let others = peers(&names).filter(|peer| peer.name != me.name);
            readers::is_reader(me.name, zone, others)
        });
        assert_eq!(readers.count(), 1);
    }
}

#[test]
fn verify_follower_prefers_its_zone_and_leaves_the_silent() {
    let names: Vec<String> = (0..6).map(|index| format!("g{index}")).collect();
    let best = readers::best("z1", peers(&names)).map(|peer| peer.zone);
    assert_eq!(best, Some("z1"));
    let others = peers(&names).map(|peer| Peer {
        is_following: peer.zone == "z2",
        ..peer
    });
    let best = readers::best("z1", others).map(|peer| peer.zone);
    assert_eq!(best, Some("z2"));
    assert_eq!(readers::best("z1", std::iter::empty()), None);
    let ahead = readers::ahead(3, peers(&names)).map(|peer| peer.newest);
    assert_eq!(ahead, Some(5));
    assert_eq!(readers::ahead(5, peers(&names)), None);
}
