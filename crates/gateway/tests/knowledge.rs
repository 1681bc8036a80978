//! Tests of what a gateway believes of targets through outages of the store and of its own path to it.

use rstest::rstest;
use sardinemux_core::prompt::Prompt;
use sardinemux_core::roster::{query, Announcement};
use sardinemux_core::target::{Kind, Target};
use sardinemux_gateway::dialect::Dialect;
use sardinemux_gateway::knowledge;
use sardinemux_gateway::prelude::*;
use sardinemux_gateway::settings::Settings;
use sardinemux_gateway::source::{self, Batch, Entry, Fact, Topic};

fn dialect() -> Dialect {
    let name = hyper::header::HeaderName::from_static;
    Dialect {
        request_id: name("x-id"),
        deadline_ms: name("x-deadline"),
        key: name("x-key"),
        organisation: name("x-organisation"),
        expected_target: name("x-expect"),
        signature: name("x-signature"),
        not_run: name("x-not-run"),
        load: name("x-load"),
        priority: name("x-priority"),
        cache_source: name("x-cache-source"),
        last_event: name("last-event-id"),
        cold_ms: name("x-cold"),
        reserved: Vec::new(),
        parse_prompt: |_| Prompt::default(),
        parse_load: |_| None,
        ready_path: "/ready",
    }
}

fn gateway() -> Gateway {
    let address = "127.0.0.1:0".parse().unwrap();
    let settings = Settings {
        name: "g1".into(),
        zone: "z1".into(),
        caller_address: address,
        ready_address: address,
        metrics_address: address,
        peer_address: address,
        seeds: Vec::new(),
        store_address: address,
        grace_ms: 8_000,
        retry_window_ms: 10_000,
        retry_ratio: 0.2,
        retry_extra: 20.0,
        load_multiple: 2.0,
    };
    Gateway::new(settings, dialect()).unwrap()
}

fn target(id: &str, version: u64) -> Entry {
    let target = Target {
        id: id.into(),
        kind: Kind::Engine,
        pool: "p".into(),
        address: "127.0.0.1:1".into(),
        zone: "z1".into(),
        region: "r1".into(),
        slots: 8,
        leaving: false,
    };
    let announcement = Announcement {
        target,
        lifetime: 1,
        cold_ms: 0,
    };
    Entry {
        key: id.into(),
        fact: Some(Fact::Target(announcement)),
        version,
        may_return: false,
    }
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
