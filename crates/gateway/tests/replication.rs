//! Tests of a gateway's replica: targets after an outage of the store or of the connection to it, and patches of the
//! catalogue.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "support/harness.rs"]
mod harness;

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures_util::FutureExt;
use harness::{announcement, dialect, settings};
use rstest::rstest;
use sardinemux_core::catalog::{Definition, Organisation, Route, Share};
use sardinemux_core::roster::query;
use sardinemux_gateway::prelude::*;
use sardinemux_gateway::relay::Update;
use sardinemux_gateway::replication::{self, View};
use sardinemux_gateway::source::{self, Batch, Entry, Fact, Topic};
use tokio::time::{self, Instant};

fn gateway() -> Gateway {
    Gateway::new(settings(), dialect()).unwrap()
}

fn target(id: &str, version: u64) -> Entry {
    harness::entry(announcement(id, "127.0.0.1:1"), version)
}

fn apply_list(gateway: &Gateway, entries: Vec<Entry>, version: u64) {
    let position = version.into();
    let batch = Batch { entries, position };
    replication::apply_store_batch(gateway, Topic::Targets, batch, true);
}

fn is_eligible(gateway: &Gateway, id: &str) -> bool {
    let roster = gateway.roster.lock();
    let key = query::key(&roster, id);
    key.is_some_and(|key| query::is_eligible(&roster, key, gateway.now_ms()))
}

fn fail_store_call(gateway: &Gateway) {
    let reason = "reset".to_owned();
    let error = source::Error::Unanswered { reason };
    replication::note_store_failure(gateway, Topic::Targets, &error);
}

/// The complete list is read again after an outage. A target that is missing from it stays in use only if the store
/// itself was unavailable, since its entry may have expired meanwhile.
#[rstest]
#[case::store_was_away(0, true)]
#[case::own_path_was_cut(60_000, false)]
fn verify_unlisted_target_after_outage(#[case] following_ms: u64, #[case] expected: bool) {
    let gateway = gateway();
    replication::note_store_success(&gateway, Topic::Targets);
    apply_list(&gateway, vec![target("e1", 1), target("e2", 2)], 2);
    fail_store_call(&gateway);
    {
        let mut views = gateway.views.lock();
        let view = views.get_mut(&Topic::Targets).unwrap();
        replication::note_peer_following(view, following_ms, gateway.now_ms());
    }
    replication::note_store_success(&gateway, Topic::Targets);
    apply_list(&gateway, vec![target("e1", 1)], 3);
    assert!(is_eligible(&gateway, "e1"));
    assert_eq!(is_eligible(&gateway, "e2"), expected);
}

/// A removal that the store reports after the first complete list is not due to the outage: the target is not used.
#[test]
fn verify_removal_right_after_outage_takes_effect() {
    let gateway = gateway();
    replication::note_store_success(&gateway, Topic::Targets);
    apply_list(&gateway, vec![target("e1", 1)], 1);
    fail_store_call(&gateway);
    replication::note_store_success(&gateway, Topic::Targets);
    apply_list(&gateway, vec![target("e1", 1)], 2);
    let removal = Entry {
        key: "e1".into(),
        fact: None,
        position: 3.into(),
        may_return: false,
    };
    let batch = Batch {
        entries: vec![removal],
        position: 3.into(),
    };
    replication::apply_store_batch(&gateway, Topic::Targets, batch, false);
    assert!(!is_eligible(&gateway, "e1"));
}

/// An exchanged answer may pass for the first list of a topic, without entries. The gateway must read the list again: the
/// changes since the version of that answer leave out the entries, and its followers would not get them either.
#[tokio::test]
async fn verify_first_list_without_entries_is_read_again() {
    let lists = AtomicU64::new(0);
    let source = harness::source(Vec::new(), false);
    let list = move |topic: Topic| {
        let is_first = topic == Topic::Operators && lists.fetch_add(1, Ordering::Relaxed) == 0;
        let entries = match (topic, is_first) {
            (Topic::Operators, false) => vec![catalog_entry(definition(7, 1))],
            _ => Vec::new(),
        };
        let batch = Batch {
            entries,
            position: 9.into(),
        };
        async move { Ok(batch) }.boxed()
    };
    let source = source::Source {
        list: Box::new(list),
        ..source
    };
    let follower = gateway();
    let reader = harness::spawn(settings(), source);
    let until = Instant::now() + Duration::from_secs(10);
    while reader.catalog().version() == 0 && Instant::now() < until {
        if has_snapshot(&reader) && !has_snapshot(&follower) {
            let news = read_from_peer(&reader, &follower);
            replication::apply_peer_batch(&follower, Topic::Operators, news);
        }
        time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(reader.catalog().version(), 7);
    let news = read_from_peer(&reader, &follower);
    replication::apply_peer_batch(&follower, Topic::Operators, news);
    assert_eq!(follower.catalog().version(), 7);
}

fn has_snapshot(gateway: &Gateway) -> bool {
    let views = gateway.views.lock();
    let view = views.get(&Topic::Operators);
    view.is_some_and(|view| view.log.has_snapshot())
}

fn definition(version: u64, routes: u64) -> Definition {
    let routes = (0..routes).map(|index| Route {
        name: format!("r{index}").into(),
        host: "test.example".into(),
        prefix: format!("/r{index}/").into(),
        timeout_ms: 1_000,
        ..Route::default()
    });
    Definition {
        version,
        routes: routes.collect(),
        ..Definition::default()
    }
}

fn catalog_entry(definition: Definition) -> Entry {
    Entry {
        key: "config".into(),
        position: definition.version.into(),
        fact: Some(Fact::Catalog(Arc::new(definition))),
        may_return: false,
    }
}

fn apply_catalog(gateway: &Gateway, definition: Definition) {
    let version = definition.version;
    let batch = Batch {
        entries: vec![catalog_entry(definition)],
        position: version.into(),
    };
    replication::apply_store_batch(gateway, Topic::Operators, batch, version == 1);
}

fn read_from_peer(peer: &Gateway, follower: &Gateway) -> Update {
    let since = {
        let views = follower.views.lock();
        let view = views.get(&Topic::Operators);
        view.and_then(View::since)
    };
    let (is_complete, mut batch, holdings) = {
        let mut views = peer.views.lock();
        let view = views.entry(Topic::Operators).or_default();
        let changes = view.log.changes_since(since);
        let (is_complete, batch) = changes.unwrap_or_default();
        (is_complete, batch, view.log.holdings())
    };
    let held = follower.history.lock().latest();
    replication::substitute_patches(peer, &mut batch, held);
    Update {
        is_following: true,
        is_complete,
        batch,
        holdings: Some(holdings),
    }
}

/// When one route of hundreds changes, the reader of a zone sends it to all other gateways of the zone. To limit the
/// load, a gateway that has the previous version gets a patch only, and a new one gets the complete catalogue.
#[test]
fn verify_follower_is_told_what_changed_of_the_catalogue() {
    let (reader, follower) = (gateway(), gateway());
    apply_catalog(&reader, definition(1, 300));
    let news = read_from_peer(&reader, &follower);
    let full_bytes = rmp_serde::to_vec(&news).unwrap().len();
    replication::apply_peer_batch(&follower, Topic::Operators, news);
    assert_eq!(follower.catalog().version(), 1);
    apply_catalog(&reader, definition(5, 301));
    let news = read_from_peer(&reader, &follower);
    let patch_bytes = rmp_serde::to_vec(&news).unwrap().len();
    assert!(
        patch_bytes * 50 < full_bytes,
        "{patch_bytes} of {full_bytes} bytes"
    );
    replication::apply_peer_batch(&follower, Topic::Operators, news);
    let catalog = follower.catalog();
    assert_eq!(catalog.version(), 5);
    assert!(catalog.route("test.example", "/r300/").is_some());
    assert!(catalog.route("test.example", "/r299/").is_some());
}

/// A catalogue in which the key `k` belongs to an organisation, or to none, and a route leads to a pool.
fn owned(version: u64, organisation: Option<&str>, pool: &str) -> Definition {
    let mut definition = definition(version, 2);
    definition.routes[0].shares = vec![Share {
        pool: pool.into(),
        weight: 1,
    }];
    definition.organisations = ["o1", "o2"]
        .into_iter()
        .map(|name| Organisation {
            name: name.into(),
            keys: (organisation == Some(name))
                .then(|| "k".into())
                .into_iter()
                .collect(),
            priority: None,
        })
        .collect();
    definition
}

/// A sender that has skipped a version knows nothing of what changed in it and back.
#[rstest]
#[case::key_added_and_dropped((None, "p"), (Some("o2"), "p"))]
#[case::key_moved_and_back((Some("o1"), "p"), (Some("o2"), "p"))]
#[case::route_moved_and_back((None, "p"), (None, "q"))]
fn verify_change_that_the_sender_skipped_does_not_stay_in_force(
    #[case] usual: (Option<&str>, &str),
    #[case] between: (Option<&str>, &str),
) {
    let (sender, follower) = (gateway(), gateway());
    let first = owned(1, usual.0, usual.1);
    apply_catalog(&sender, first.clone());
    apply_catalog(&follower, first);
    apply_catalog(&follower, owned(13, between.0, between.1));
    apply_catalog(&sender, owned(15, usual.0, usual.1));
    let news = read_from_peer(&sender, &follower);
    replication::apply_peer_batch(&follower, Topic::Operators, news);
    let catalog = follower.catalog();
    assert_eq!(catalog.version(), 15);
    let owner = catalog.organisation_by_key("k");
    assert_eq!(owner.map(|it| it.name.as_str()), usual.0);
    let route = catalog.route("test.example", "/r0/").unwrap();
    assert_eq!(route.shares[0].pool, usual.1);
}

/// A patch of a build that does not state to what it leads may leave changes out.
#[test]
fn verify_patch_without_a_stated_result_is_not_applied() {
    let (sender, follower) = (gateway(), gateway());
    for gateway in [&sender, &follower] {
        apply_catalog(gateway, owned(1, Some("o1"), "p"));
    }
    apply_catalog(&sender, owned(15, None, "p"));
    let mut news = read_from_peer(&sender, &follower);
    for entry in &mut news.batch.entries {
        let Some(Fact::Patch(patch)) = &mut entry.fact else {
            continue;
        };
        Arc::make_mut(patch).result = None;
    }
    replication::apply_peer_batch(&follower, Topic::Operators, news);
    assert_eq!(follower.catalog().version(), 1);
    let views = follower.views.lock();
    let view = views.get(&Topic::Operators).unwrap();
    assert!(view.is_whole_due());
    assert_eq!(view.since(), None);
}

fn evacuation(key: &str, version: u64, is_present: bool) -> Entry {
    Entry {
        key: key.into(),
        fact: is_present.then(|| Fact::Evacuated(key.into())),
        position: version.into(),
        may_return: false,
    }
}

/// A sender that never saw an entry come and go cannot tell that it has gone.
#[test]
fn verify_entry_that_came_and_went_unseen_by_the_sender_does_not_stay() {
    let (sender, follower) = (gateway(), gateway());
    let apply = |gateway: &Gateway, entries, version: u64, is_complete| {
        let position = version.into();
        let batch = Batch { entries, position };
        replication::apply_store_batch(gateway, Topic::Operators, batch, is_complete);
    };
    for gateway in [&sender, &follower] {
        apply(gateway, vec![evacuation("z1", 4, true)], 4, true);
    }
    apply(&follower, vec![evacuation("z2", 5, true)], 5, false);
    apply(&sender, vec![evacuation("z1", 4, true)], 10, true);
    for _ in 0..2 {
        let news = read_from_peer(&sender, &follower);
        replication::apply_peer_batch(&follower, Topic::Operators, news);
    }
    let views = follower.views.lock();
    let view = views.get(&Topic::Operators).unwrap();
    let zones: Vec<_> = view.evacuated.values().map(|it| it.zone.as_str()).collect();
    assert_eq!(zones, ["z1"]);
    assert!(view.since().is_some());
}
