//! Tests of what a gateway believes of targets through outages of the store and of its own path to it.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "support/harness.rs"]
mod harness;

use harness::{announcement, dialect, settings};
use rstest::rstest;
use sardinemux_core::catalog::{Definition, Route};
use sardinemux_core::roster::query;
use sardinemux_gateway::knowledge;
use sardinemux_gateway::prelude::*;
use sardinemux_gateway::relay::Update;
use sardinemux_gateway::source::{self, Batch, Entry, Fact, Topic};

fn gateway() -> Gateway {
    Gateway::new(settings(), dialect()).unwrap()
}

fn target(id: &str, version: u64) -> Entry {
    harness::entry(announcement(id, "127.0.0.1:1"), version)
}

fn list(gateway: &Gateway, entries: Vec<Entry>, version: u64) {
    let batch = Batch { entries, version };
    knowledge::apply_store(gateway, Topic::Targets, batch, true);
}

fn is_in_use(gateway: &Gateway, id: &str) -> bool {
    let roster = gateway.roster.lock();
    let key = query::key(&roster, id);
    key.is_some_and(|key| query::is_eligible(&roster, key, gateway.now_ms()))
}

fn lose(gateway: &Gateway) {
    let reason = "reset".to_owned();
    let error = source::Error::Unanswered { reason };
    knowledge::note_loss(gateway, Topic::Targets, &error);
}

/// The list is read again after an outage; a target that is not in it any more stays in use only if the
/// store itself was away, since its entry may have lapsed.
#[rstest]
#[case::store_was_away(0, true)]
#[case::own_path_was_cut(60_000, false)]
fn verify_unlisted_target_after_outage(#[case] followed_ms: u64, #[case] expected: bool) {
    let gateway = gateway();
    knowledge::note_contact(&gateway, Topic::Targets);
    list(&gateway, vec![target("e1", 1), target("e2", 2)], 2);
    lose(&gateway);
    {
        let mut views = gateway.views.lock();
        let view = views.get_mut(&Topic::Targets).unwrap();
        knowledge::note_follower(view, followed_ms, gateway.now_ms());
    }
    knowledge::note_contact(&gateway, Topic::Targets);
    list(&gateway, vec![target("e1", 1)], 3);
    assert!(is_in_use(&gateway, "e1"));
    assert_eq!(is_in_use(&gateway, "e2"), expected);
}

/// A removal that the store reports after its return is no lapse: the target leaves.
#[test]
fn verify_removal_right_after_outage_takes_effect() {
    let gateway = gateway();
    knowledge::note_contact(&gateway, Topic::Targets);
    list(&gateway, vec![target("e1", 1)], 1);
    lose(&gateway);
    knowledge::note_contact(&gateway, Topic::Targets);
    list(&gateway, vec![target("e1", 1)], 2);
    let removal = Entry {
        key: "e1".into(),
        fact: None,
        version: 3,
        may_return: false,
    };
    let batch = Batch {
        entries: vec![removal],
        version: 3,
    };
    knowledge::apply_store(&gateway, Topic::Targets, batch, false);
    assert!(!is_in_use(&gateway, "e1"));
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

fn configure(gateway: &Gateway, definition: Definition) {
    let version = definition.version;
    let entry = Entry {
        key: "config".into(),
        fact: Some(Fact::Catalog(Arc::new(definition))),
        version,
        may_return: false,
    };
    let batch = Batch {
        entries: vec![entry],
        version,
    };
    knowledge::apply_store(gateway, Topic::Operators, batch, version == 1);
}

fn told(teller: &Gateway, asker: &Gateway) -> Update {
    let since = {
        let views = asker.views.lock();
        let view = views.get(&Topic::Operators);
        view.map(|view| view.log.version())
    };
    let (is_complete, mut batch) = {
        let mut views = teller.views.lock();
        let view = views.entry(Topic::Operators).or_default();
        view.log.changes_since(since).unwrap()
    };
    knowledge::shorten(teller, &mut batch, asker.catalog().version());
    Update {
        is_following: true,
        is_complete,
        batch,
    }
}

/// Load: one route of hundreds changes, and the reader of a zone tells all others. A follower that has the version
/// before gets the change alone, and a new one the whole.
#[test]
fn verify_follower_is_told_what_changed_of_the_catalogue() {
    let (reader, follower) = (gateway(), gateway());
    configure(&reader, definition(1, 300));
    let news = told(&reader, &follower);
    let whole = rmp_serde::to_vec(&news).unwrap().len();
    knowledge::take_news(&follower, Topic::Operators, news);
    assert_eq!(follower.catalog().version(), 1);
    configure(&reader, definition(5, 301));
    let news = told(&reader, &follower);
    let part = rmp_serde::to_vec(&news).unwrap().len();
    assert!(part * 50 < whole, "{part} of {whole} bytes");
    knowledge::take_news(&follower, Topic::Operators, news);
    let catalog = follower.catalog();
    assert_eq!(catalog.version(), 5);
    assert!(catalog.route("test.example", "/r300/").is_some());
    assert!(catalog.route("test.example", "/r299/").is_some());
}
