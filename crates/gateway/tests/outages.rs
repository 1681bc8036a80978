//! Tests of the targets that the first list after an outage lacks: expired in an outage of the store, or gone in a cut of the gateway.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "support/harness.rs"]
mod harness;

use harness::{announcement, dialect, settings};
use rstest::rstest;
use sardinemux_core::position::Position;
use sardinemux_core::roster::query;
use sardinemux_gateway::prelude::*;
use sardinemux_gateway::relay::Update;
use sardinemux_gateway::replication;
use sardinemux_gateway::source::{self, Batch, Entry, Topic};

const IDS: [&str; 4] = ["e1", "e2", "e3", "e4"];

/// A gateway that holds all targets.
fn gateway() -> Gateway {
    let gateway = Gateway::new(settings(), dialect()).unwrap();
    replication::note_store_success(&gateway, Topic::Targets);
    replication::apply_store_batch(&gateway, Topic::Targets, list(&IDS, 4), true);
    gateway
}

fn list(ids: &[&str], version: u64) -> Batch {
    let entries = ids.iter().zip(1..);
    let entries = entries.map(|(id, version)| {
        let announcement = announcement(id, "127.0.0.1:1");
        harness::entry(announcement, version)
    });
    Batch {
        entries: entries.collect(),
        position: version.into(),
    }
}

/// Fails a call to the store, hears the reports of others, and reads a list of these targets.
fn relist(gateway: &Gateway, followed_ms: Option<u64>, ids: &[&str]) {
    let reason = "reset".to_owned();
    let error = source::Error::Unanswered { reason };
    replication::note_store_failure(gateway, Topic::Targets, &error);
    if let Some(followed_ms) = followed_ms {
        replication::apply_followed_time(gateway, followed_ms);
    }
    replication::note_store_success(gateway, Topic::Targets);
    replication::apply_store_batch(gateway, Topic::Targets, list(ids, 9), true);
}

fn eligible(gateway: &Gateway) -> Vec<&'static str> {
    let roster = gateway.roster.lock();
    let is_eligible = |id: &&str| {
        let key = query::key(&roster, id);
        key.is_some_and(|key| query::is_eligible(&roster, key, gateway.now_ms()))
    };
    IDS.into_iter().filter(is_eligible).collect()
}

/// What a follower that has the first list is told.
fn told(gateway: &Gateway) -> Vec<Entry> {
    let views = gateway.views.lock();
    let view = views.get(&Topic::Targets).unwrap();
    let since = Some(Position::from(4));
    let (is_complete, batch) = view.log.changes_since(since).unwrap();
    assert!(!is_complete);
    batch.entries
}

/// No other gateway can tell the cut from an outage.
#[rstest]
#[case::alone(None)]
#[case::others_are_cut_off_too(Some(0))]
fn verify_target_that_left_in_a_cut_is_not_used(#[case] followed_ms: Option<u64>) {
    let gateway = gateway();
    relist(&gateway, followed_ms, &IDS[..3]);
    assert_eq!(eligible(&gateway), IDS[..3]);
}

#[test]
fn verify_targets_that_expired_in_an_outage_stay_in_use() {
    let gateway = gateway();
    relist(&gateway, Some(0), &IDS[..2]);
    assert_eq!(eligible(&gateway), IDS);
}

/// Followers need not have been cut off.
#[test]
fn verify_followers_are_not_told_that_a_target_that_left_may_return() {
    let gateway = gateway();
    relist(&gateway, None, &IDS[..3]);
    let told = told(&gateway);
    assert_eq!(told.len(), 1);
    assert!(!told[0].may_return);
}

/// A gateway of a former build marks each removal as one that may be undone.
#[rstest]
#[case::one_of_four(None, &IDS[..3], &IDS[..3])]
#[case::half(None, &IDS[..2], &IDS)]
#[case::half_while_the_store_is_followed(Some(60_000), &IDS[..2], &IDS[..2])]
fn verify_follower_judges_removals_by_itself(
    #[case] followed_ms: Option<u64>,
    #[case] listed: &[&str],
    #[case] expected: &[&str],
) {
    let follower = gateway();
    if let Some(followed_ms) = followed_ms {
        replication::apply_followed_time(&follower, followed_ms);
    }
    let removals = IDS.iter().zip(5..).filter(|(id, _)| !listed.contains(id));
    let entries = removals.map(|(id, version)| Entry {
        key: (*id).into(),
        fact: None,
        position: version.into(),
        may_return: true,
    });
    let news = Update {
        is_following: true,
        batch: Batch {
            entries: entries.collect(),
            position: 9.into(),
        },
        ..Update::default()
    };
    replication::apply_peer_batch(&follower, Topic::Targets, news);
    assert_eq!(eligible(&follower), expected);
}

#[test]
fn verify_targets_go_once_another_gateway_is_known_to_follow_the_store() {
    let gateway = gateway();
    relist(&gateway, Some(0), &IDS[..2]);
    replication::apply_followed_time(&gateway, 2_500);
    assert_eq!(eligible(&gateway), IDS[..2]);
    assert!(told(&gateway).iter().all(|entry| !entry.may_return));
}

#[test]
fn verify_late_followers_are_not_told_that_targets_may_return() {
    let gateway = gateway();
    relist(&gateway, Some(0), &IDS[..2]);
    assert!(told(&gateway).iter().all(|entry| entry.may_return));
    replication::settle_removals(&gateway, gateway.now_ms() + 2_500);
    assert!(told(&gateway).iter().all(|entry| !entry.may_return));
}
