//! Tests of several gateways that share one store, which turns some of them away.

#![expect(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a test fails by panicking"
)]

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/harness.rs"]
mod harness;

use std::time::Duration;

use fleet::{catalog, Fleet};
use rstest::rstest;
use sardinemux_gateway::source::Topic;
use tokio::time;

/// The users' bound on how soon a change is in force everywhere.
const PROPAGATION_MAX: Duration = Duration::from_secs(2);

/// How long a fleet is left alone before a test, so that its readers are settled.
const SETTLING_TIME: Duration = Duration::from_millis(2_500);

/// The store turns away the readers of all zones, for one topic or for both. The others know of it by reports, and
/// a change reaches all gateways within the users' bound.
#[rstest]
#[case::operators(&[Topic::Operators])]
#[case::both(&[Topic::Operators, Topic::Targets])]
#[tokio::test]
async fn verify_change_reaches_gateways_whose_readers_are_turned_away(#[case] topics: &[Topic]) {
    let fleet = Fleet::start(8, 2).await;
    time::sleep(SETTLING_TIME).await;
    for topic in topics {
        let readers = fleet.store.reject_readers(*topic);
        assert!(readers < 8, "nobody is left to read");
    }
    fleet
        .store
        .put(Topic::Operators, "config", Some(catalog(2)));
    let in_force = fleet.wait_for_version(2);
    time::timeout(PROPAGATION_MAX, in_force).await.unwrap();
}

/// Load: many gateways that start at once. One of each zone reads the store, the others hear of it from that one.
#[tokio::test]
async fn verify_few_gateways_read_the_store() {
    let fleet = Fleet::start(9, 3).await;
    time::sleep(SETTLING_TIME).await;
    for topic in [Topic::Operators, Topic::Targets] {
        assert_eq!(fleet.store.readers(topic), 3, "{topic:?}");
    }
}
