//! Tests of what a gateway passes on to those that follow it.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use rstest::rstest;
use sardinemux_gateway::relay::Log;
use sardinemux_gateway::source::{Batch, Entry, Fact};

fn entry(key: &str, version: u64, is_there: bool) -> Entry {
    Entry {
        key: key.into(),
        fact: is_there.then(|| Fact::Evacuated(key.into())),
        version,
        may_return: false,
    }
}

fn batch(entries: Vec<Entry>, version: u64) -> Batch {
    Batch { entries, version }
}

fn keys(entries: &[Entry]) -> Vec<&str> {
    entries.iter().map(|entry| entry.key.as_str()).collect()
}

#[test]
fn verify_follower_gets_what_it_lacks() {
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
    assert_eq!(log.changes_since(Some(3)), None);
    log.apply(&batch(vec![entry("a", 5, false)], 5), false, false);
    let (is_complete, news) = log.changes_since(Some(3)).unwrap();
    assert!(!is_complete);
    assert_eq!(keys(&news.entries), ["a"]);
    assert_eq!(news.entries[0].fact, None);
}

/// What a complete list does not name is removed; after an outage of the store the removal is marked.
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
    let news = log.apply(&batch(vec![entry("a", 1, true)], 9), true, may_return);
    assert_eq!(keys(&news), ["b"]);
    assert_eq!(news[0].may_return, may_return);
    let again = log.apply(&batch(vec![entry("b", 12, true)], 12), false, false);
    assert!(again[0].fact.is_some());
}

/// An older word, of the store or of another gateway, changes nothing.
#[test]
fn verify_older_word_is_no_news() {
    let mut log = Log::default();
    log.apply(&batch(vec![entry("a", 5, false)], 5), true, false);
    assert!(log
        .apply(&batch(vec![entry("a", 4, true)], 4), false, false)
        .is_empty());
    assert!(log
        .apply(&batch(vec![entry("a", 4, true)], 4), true, false)
        .is_empty());
    assert_eq!(log.newest_version(), 5);
}

/// A follower that is behind the removals which are remembered gets the whole list.
#[test]
fn verify_follower_far_behind_gets_the_whole_list() {
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
    let (is_complete, whole) = log.changes_since(Some(1)).unwrap();
    assert!(is_complete);
    assert_eq!(keys(&whole.entries), ["a"]);
    assert!(!log.changes_since(Some(1_990)).unwrap().0);
}
