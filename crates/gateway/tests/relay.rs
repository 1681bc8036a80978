//! Tests of the log from which a gateway relays entries to its followers.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use rstest::rstest;
use sardinemux_core::catalog::Definition;
use sardinemux_core::position::Position;
use sardinemux_gateway::relay::{Change, Log};
use sardinemux_gateway::source::{Batch, Entry, Fact};

fn entry(key: &str, version: u64, is_present: bool) -> Entry {
    Entry {
        key: key.into(),
        fact: is_present.then(|| Fact::Evacuated(key.into())),
        position: version.into(),
        may_return: false,
    }
}

fn batch(entries: Vec<Entry>, version: u64) -> Batch {
    let position = version.into();
    Batch { entries, position }
}

fn changed_keys(changes: &[Change]) -> Vec<&str> {
    let keys = changes.iter().map(|change| change.entry.key.as_str());
    keys.collect()
}

fn keys(entries: &[Entry]) -> Vec<&str> {
    entries.iter().map(|entry| entry.key.as_str()).collect()
}

#[test]
fn verify_follower_gets_missing_entries() {
    let mut log = Log::default();
    assert_eq!(log.changes_since(None), None);
    log.apply(
        &batch(vec![entry("a", 1, true), entry("b", 2, true)], 3),
        true,
        false,
    );
    let (is_complete, whole) = log.changes_since(None).unwrap();
    assert!(is_complete);
    assert_eq!(keys(&whole.entries), ["a", "b"]);
    assert_eq!(log.changes_since(Some(3.into())), None);
    log.apply(&batch(vec![entry("a", 5, false)], 5), false, false);
    let (is_complete, changes) = log.changes_since(Some(3.into())).unwrap();
    assert!(!is_complete);
    assert_eq!(keys(&changes.entries), ["a"]);
    assert_eq!(changes.entries[0].fact, None);
}

/// A complete list removes the keys that it lacks. The removals carry the given `may_return`, which is set after an
/// outage of the store.
#[rstest]
#[case::leaving(false)]
#[case::lapse(true)]
fn verify_unlisted_entry_is_removed(#[case] may_return: bool) {
    let mut log = Log::default();
    log.apply(
        &batch(vec![entry("a", 1, true), entry("b", 2, true)], 2),
        true,
        false,
    );
    let changes = log.apply(&batch(vec![entry("a", 1, true)], 9), true, may_return);
    assert_eq!(changed_keys(&changes), ["b"]);
    assert_eq!(changes[0].entry.may_return, may_return);
    let again = log.apply(&batch(vec![entry("b", 12, true)], 12), false, false);
    assert!(again[0].entry.fact.is_some());
}

/// An entry that is older than the one in the log, whether from the store or from another gateway, is ignored.
#[test]
fn verify_older_entry_is_ignored() {
    let mut log = Log::default();
    log.apply(&batch(vec![entry("a", 5, false)], 5), true, false);
    assert!(log
        .apply(&batch(vec![entry("a", 4, true)], 4), false, false)
        .is_empty());
    assert!(log
        .apply(&batch(vec![entry("a", 4, true)], 4), true, false)
        .is_empty());
    assert_eq!(log.newest().version, 5);
}

/// A follower that may lack pruned removals gets the complete list.
#[test]
fn verify_follower_far_behind_gets_complete_list() {
    let mut log = Log::default();
    log.apply(&batch(vec![entry("a", 1, true)], 1), true, false);
    for version in 2..2_000 {
        log.apply(
            &batch(
                vec![entry(&format!("gone {version}"), version, false)],
                version,
            ),
            false,
            false,
        );
    }
    let (is_complete, whole) = log.changes_since(Some(1.into())).unwrap();
    assert!(is_complete);
    assert_eq!(keys(&whole.entries), ["a"]);
    assert!(!log.changes_since(Some(1_990.into())).unwrap().0);
}

fn config(fact: Fact, position: Position) -> Batch {
    let entry = Entry {
        key: "config".into(),
        fact: Some(fact),
        position,
        may_return: false,
    };
    Batch {
        entries: vec![entry],
        position,
    }
}

fn catalog(version: u64) -> Fact {
    let definition = Definition {
        version,
        ..Definition::default()
    };
    Fact::Catalog(definition.into())
}

/// A gateway that starts after an entry which cannot be decoded gets no catalogue, or that of an older copy of the store.
#[rstest]
#[case::alone(None)]
#[case::before_a_restore(Some(Position::new(Some(2), 1)))]
fn verify_unreadable_entry_does_not_replace_the_catalog(#[case] restored: Option<Position>) {
    let mut log = Log::default();
    let at = |version| Position::new(Some(1), version);
    log.apply(&config(catalog(5), at(7)), true, false);
    let unreadable = Fact::Unreadable("missing field".into());
    log.apply(&config(unreadable, at(8)), false, false);
    if let Some(position) = restored {
        log.apply(&config(catalog(4), position), true, false);
    }
    let (_, whole) = log.changes_since(None).unwrap();
    assert_eq!(whole.entries[0].fact, Some(catalog(5)));
    assert_eq!(whole.entries[0].position, restored.unwrap_or(at(8)));
    let next = config(
        catalog(6),
        at(9).in_era(restored.map_or(Some(1), |it| it.era)),
    );
    log.apply(&next, false, false);
    let (_, whole) = log.changes_since(None).unwrap();
    assert_eq!(whole.entries[0].fact, Some(catalog(6)));
}

/// A gateway that has read the entry which cannot be decoded itself does not take the catalogue from those that have kept it.
#[test]
fn verify_kept_catalog_is_taken_from_another_gateway() {
    let mut log = Log::default();
    let position = Position::new(Some(1), 8);
    log.apply(
        &config(Fact::Unreadable("missing field".into()), position),
        true,
        false,
    );
    let changes = log.apply(&config(catalog(5), position), true, false);
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].entry.fact, Some(catalog(5)));
}

/// Changes that were on their way while a later complete list arrived must not bring back what that list lacks.
#[test]
fn verify_late_changes_do_not_bring_back_an_entry_that_has_gone() {
    let mut log = Log::default();
    log.apply(&batch(vec![entry("a", 4, true)], 4), true, false);
    log.apply(&batch(vec![entry("a", 4, true)], 10), true, false);
    let late = batch(vec![entry("b", 5, true)], 6);
    assert!(log.apply(&late, false, false).is_empty());
    assert!(log.apply(&late, true, false).is_empty());
    let next = batch(vec![entry("b", 11, true)], 11);
    assert_eq!(changed_keys(&log.apply(&next, false, false)), ["b"]);
}

/// A list is compared only with one that has no fewer changes, of the same era.
#[rstest]
#[case::extra_key(&["a", "b"], Position::from(9), true)]
#[case::same_keys(&["a"], Position::from(9), false)]
#[case::other_is_behind(&["a", "b"], Position::from(4), false)]
#[case::other_era(&["a", "b"], Position::new(Some(1), 9), false)]
fn verify_lists_differ_only_where_they_must_be_the_same(
    #[case] other: &[&str],
    #[case] position: Position,
    #[case] expected: bool,
) {
    let mut log = Log::default();
    log.apply(&batch(vec![entry("a", 1, true)], 5), true, false);
    log.apply(&batch(vec![entry("c", 5, false)], 5), false, false);
    let mut peer = Log::default();
    let entries = other.iter().map(|key| entry(key, 1, true)).collect();
    let listed = Batch { entries, position };
    peer.apply(&listed.in_era(position.era), true, false);
    assert_eq!(log.differs_from(peer.holdings()), expected);
}
