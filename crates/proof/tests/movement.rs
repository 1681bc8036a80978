//! Tests of the check on requests that run in a pool from which their route has moved away.

use indexmap::IndexMap;
use rstest::rstest;
use sardinemux_proof::gateways::caller::{Kind, Outcome, Told};
use sardinemux_proof::gateways::movement::{self, Move};

/// The time after a move's confirmation in which it may be unknown, in milliseconds.
const BOUND_MS: u64 = 2_000;

fn outcome(id: &str, sent_ms: u64, took_ms: u64) -> Outcome {
    Outcome {
        id: id.into(),
        kind: Kind::Read,
        gateway: 0,
        sent_ms,
        took_ms,
        told: Told::Whole,
        replica: String::new(),
        is_resumption: false,
    }
}

/// A check that passes over a request in a former pool, or reports one in a later pool, says nothing.
#[rstest]
#[case::shown(&[("a", 1_100, 10, "q"), ("b", 1_400, 10, "p")], 1)]
#[case::just_shown(&[("a", 1_100, 10, "q"), ("b", 1_300, 10, "p")], 0)]
#[case::late(&[("a", 3_100, 10, "p")], 1)]
#[case::not_yet_late(&[("a", 2_900, 10, "p")], 0)]
#[case::by_a_later_version(&[("a", 1_100, 10, "q"), ("b", 4_900, 500, "r")], 0)]
#[case::before_a_later_version(&[("a", 1_100, 10, "q"), ("b", 4_900, 50, "r")], 1)]
fn verify_requests_in_former_pools_are_reported(
    #[case] requests: &[(&str, u64, u64, &'static str)],
    #[case] expected: usize,
) {
    let moved = |pool, begun_ms| Move {
        pool,
        begun_ms,
        confirmed_ms: begun_ms + 50,
    };
    let moves = [moved("q", 1_000), moved("r", 5_000)];
    let outcomes: Vec<Outcome> = requests
        .iter()
        .map(|(id, sent_ms, took_ms, _)| outcome(id, *sent_ms, *took_ms))
        .collect();
    let runs: IndexMap<&str, Vec<&'static str>> = requests
        .iter()
        .map(|(id, _, _, pool)| (*id, vec![*pool]))
        .collect();
    let breaches = movement::former(&outcomes, &runs, &moves, BOUND_MS, |_, _, _| false);
    assert_eq!(breaches.len(), expected, "{breaches:?}");
    let excused = movement::former(&outcomes, &runs, &moves, BOUND_MS, |_, _, _| true);
    assert_eq!(excused, []);
}
