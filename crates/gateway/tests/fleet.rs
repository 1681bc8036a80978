//! Tests of several gateways that share one store, which rejects some of them.

#![expect(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a test fails by panicking"
)]

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/harness.rs"]
mod harness;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use fleet::{catalog, Fleet};
use futures_util::FutureExt;
use rstest::rstest;
use sardinemux_core::readers::ReaderState;
use sardinemux_gateway::replication::View;
use sardinemux_gateway::source::Topic;
use tokio::time;

/// The pieces in which a list arrives, and the time between two of them.
const PIECES: u32 = 12;
const PIECE_INTERVAL: Duration = Duration::from_millis(100);

/// The users' bound on the time until a change is in force at all gateways.
const PROPAGATION_MAX: Duration = Duration::from_secs(2);

/// The time before a test for which a fleet runs undisturbed, so that the choice of its readers is stable.
const SETTLING_TIME: Duration = Duration::from_millis(2_500);

/// The store rejects the readers of all zones, for one topic or for both. The other gateways learn of it from reports,
/// and a change must still reach all gateways within the users' bound.
#[rstest]
#[case::operators(&[Topic::Operators])]
#[case::both(&[Topic::Operators, Topic::Targets])]
#[tokio::test]
async fn verify_change_reaches_gateways_whose_readers_are_rejected(#[case] topics: &[Topic]) {
    let fleet = Fleet::start(8, 2).await;
    time::sleep(SETTLING_TIME).await;
    for topic in topics {
        let readers = fleet.store.reject_readers(*topic);
        assert!(readers < 8, "no gateway is left to read the store");
    }
    fleet
        .store
        .put(Topic::Operators, "config", Some(catalog(2)));
    let in_force = fleet.wait_for_version(2);
    time::timeout(PROPAGATION_MAX, in_force).await.unwrap();
}

/// A reader whose list of the store takes long to arrive counts as failing, so that one gateway after the other reads the list as
/// well, until all of their links are occupied.
#[rstest]
#[case::arrives(true)]
#[case::nothing_arrives(false)]
#[tokio::test]
async fn verify_reader_whose_list_keeps_arriving_does_not_fail(#[case] arrives: bool) {
    let settings = harness::settings();
    let received = Arc::new(AtomicU64::new(0));
    let count = received.clone();
    let mut source = harness::source(Vec::new(), true);
    let list = source.list;
    source.list = Box::new(move |topic| {
        let (listed, received) = (list(topic), received.clone());
        async move {
            for _ in 0..PIECES {
                time::sleep(PIECE_INTERVAL).await;
                received.fetch_add(u64::from(arrives), Ordering::Relaxed);
            }
            listed.await
        }
        .boxed()
    });
    source.received = Box::new(move |_| count.load(Ordering::Relaxed));
    let gateway = harness::spawn(settings, source);
    let mut has_failed = false;
    while gateway.catalog().version() == 0 {
        let state = {
            let views = gateway.views.lock();
            views.get(&Topic::Operators).map(View::reader_state)
        };
        has_failed |= state == Some(ReaderState::Failing);
        time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(has_failed, !arrives);
}

/// Load: many gateways start at once. Only one of each zone reads the store; the others get the entries from it.
#[tokio::test]
async fn verify_few_gateways_read_the_store() {
    let fleet = Fleet::start(9, 3).await;
    time::sleep(SETTLING_TIME).await;
    for topic in [Topic::Operators, Topic::Targets] {
        assert_eq!(fleet.store.readers(topic), 3, "{topic:?}");
    }
}

/// The store no longer answers the readers of all zones, whose watches stay open without an error, nor in some cases
/// further gateways. A change must still reach all gateways within the users' bound.
#[rstest]
#[case::readers(0)]
#[case::and_others(2)]
#[tokio::test]
async fn verify_change_reaches_gateways_whose_readers_get_no_answer(#[case] others: usize) {
    let fleet = Fleet::start(9, 3).await;
    time::sleep(SETTLING_TIME).await;
    let readers = fleet.store.silence_readers(Topic::Operators, others);
    assert_eq!(readers, 3, "not one reader in each zone");
    fleet
        .store
        .put(Topic::Operators, "config", Some(catalog(2)));
    let in_force = fleet.wait_for_version(2);
    time::timeout(PROPAGATION_MAX, in_force).await.unwrap();
}
