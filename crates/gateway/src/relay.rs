//! The log of one topic's entries, from which a gateway relays changes of the store to other gateways.
//!
//! In each availability zone one gateway reads the store. The others of the zone get the entries from it or, if it
//! stops responding, from another gateway that reads the store. All gateways use the positions of the store, so a
//! gateway can get the entries from a different one at any time.

use indexmap::IndexMap;
use sardinemux_core::hash;
use sardinemux_core::position::Position;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::prelude::*;
use crate::source::{Batch, Entry, Fact};

/// The number of removals that the log keeps. A follower that lacks a pruned removal gets the complete list.
const REMOVALS_MAX: usize = 512;

/// The response to a gateway that asks for the changes of a topic.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Whether the sender itself follows the store.
    pub is_following: bool,
    /// Whether the batch is the complete list of entries rather than the changes since a version.
    pub is_complete: bool,
    /// The entries and the position up to which they are complete.
    pub batch: Batch,
    /// What the sender's list holds in all. Gateways tell it beside the update; those of earlier builds do not.
    #[serde(skip)]
    pub holdings: Option<Holdings>,
}

/// What a log holds in all, by which a follower notices that changes have not made its list the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holdings {
    /// The position up to which changes were applied.
    pub position: Position,
    /// The sum of the hashes of the keys that are listed.
    pub keys: u64,
}

/// An entry that changed a log.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The entry.
    pub entry: Entry,
    /// Whether it comes from the first list of a later era, in which the store may have come back from an older copy. The
    /// entry may then lack what was known of its key before.
    pub is_restored: bool,
}

/// The newest entry of each key of one topic, removals included.
#[derive(Clone, Debug)]
pub struct Log {
    entries: IndexMap<SmolStr, Entry>,
    /// Whether a complete list was applied. Until then the log has nothing to relay.
    has_snapshot: bool,
    position: Position,
    newest: Position,
    /// The position up to which removals may have been pruned.
    pruned: Position,
    changed: watch::Sender<Position>,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            entries: IndexMap::new(),
            has_snapshot: false,
            position: Position::default(),
            newest: Position::default(),
            pruned: Position::default(),
            changed: watch::Sender::new(Position::default()),
        }
    }
}

impl Log {
    /// Returns the position up to which changes were applied.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the position of the newest entry. Without one, its version is zero, and its era that of the log.
    pub fn newest(&self) -> Position {
        self.newest
    }

    /// Returns whether a complete list was applied.
    pub fn has_snapshot(&self) -> bool {
        self.has_snapshot
    }

    /// Returns whether the log has had no entry so far.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns what the log holds in all.
    pub fn holdings(&self) -> Holdings {
        let listed = self.entries.values().filter(|entry| entry.fact.is_some());
        let hashes = listed.map(|entry| hash::digest(&[entry.key.as_bytes()]));
        Holdings {
            position: self.position,
            keys: hashes.fold(0, u64::wrapping_add),
        }
    }

    /// Returns whether the list differs from that of another gateway, which has no fewer changes. That one may never have seen an entry
    /// come and go, and leaves its removal out.
    pub fn differs_from(&self, other: Holdings) -> bool {
        let own = self.holdings();
        let is_comparable =
            own.position.era == other.position.era && own.position <= other.position;
        self.has_snapshot && is_comparable && own.keys != other.keys
    }

    /// Returns a receiver that is notified when entries change or a complete list is applied.
    pub fn subscribe(&self) -> watch::Receiver<Position> {
        self.changed.subscribe()
    }

    /// Applies a batch and returns the entries that changed the log.
    ///
    /// A complete list (`is_complete`) also removes the keys that it lacks, unless it is older than the log. These
    /// removals are among the returned entries and get the flag `may_return`.
    ///
    /// An entry without a predecessor that is no later than the log was removed meanwhile, unless the list is complete and no earlier than
    /// the log. A batch of an earlier era is dropped, and so are changes of a later one: only the complete list replaces what was
    /// known before. A catalogue is never replaced by one of a lower version, which an older copy of the store may hold.
    pub fn apply(&mut self, batch: &Batch, is_complete: bool, may_return: bool) -> Vec<Change> {
        let (known, era) = (self.position.era, batch.position.era);
        let is_new_era = self.has_snapshot && era > known;
        if era < known || is_new_era && !is_complete {
            log::info!(
                version = batch.position.version, era:? = era, known:? = known, entries = batch.entries.len();
                "dropping entries of another era of the store"
            );
            return Vec::new();
        }
        let is_restored = is_new_era && known.is_some();
        let mut entries = Vec::new();
        let replaces = is_complete && (batch.position >= self.position || !self.has_snapshot);
        if replaces {
            entries.extend(self.find_unlisted(batch, may_return || is_restored));
        }
        let is_unseen = |entry: &Entry| replaces || entry.position > self.position;
        for entry in &batch.entries {
            let held = self.entries.get(&entry.key);
            let is_later = || has_later_catalog(held, entry);
            let is_news = match held {
                Some(held) => held.position < entry.position || is_later(),
                None => is_unseen(entry),
            };
            if is_news {
                entries.push(keep_newer_catalog(held, entry.clone()));
            }
        }
        if is_new_era || !self.has_snapshot {
            self.newest = Position::new(era, 0);
        }
        let changes = entries.into_iter().map(|entry| {
            let held = self.entries.insert(entry.key.clone(), entry.clone());
            self.newest = self.newest.max(entry.position);
            Change {
                is_restored: is_restored && held.is_some(),
                entry,
            }
        });
        let changes: Vec<Change> = changes.collect();
        self.has_snapshot |= is_complete;
        self.position = self.position.max(batch.position);
        self.prune_removals();
        if !changes.is_empty() || is_complete {
            self.changed.send_replace(self.position);
        }
        changes
    }

    /// Returns removals of the keys that a complete list lacks. A catalogue that an older copy of the store lacks stays.
    fn find_unlisted(&self, batch: &Batch, may_return: bool) -> Vec<Entry> {
        let is_listed = |key: &SmolStr| batch.entries.iter().any(|entry| entry.key == *key);
        let unlisted = self.entries.values().filter(|entry| {
            entry.fact.is_some() && entry.position <= batch.position && !is_listed(&entry.key)
        });
        let is_other_era = |entry: &Entry| entry.position.era != batch.position.era;
        let is_kept =
            |entry: &Entry| matches!(entry.fact, Some(Fact::Catalog(_))) && is_other_era(entry);
        unlisted
            .map(|entry| Entry {
                key: entry.key.clone(),
                fact: entry.fact.clone().filter(|_| is_kept(entry)),
                position: batch.position,
                may_return,
            })
            .collect()
    }

    /// Marks the removals of keys that are `selected` as final: their targets do not return.
    pub fn settle(&mut self, selected: impl Fn(&SmolStr) -> bool) {
        let entries = self.entries.values_mut();
        for entry in entries.filter(|entry| entry.may_return && selected(&entry.key)) {
            entry.may_return = false;
        }
    }

    /// Drops the older half of the removals if there are more than [`REMOVALS_MAX`].
    fn prune_removals(&mut self) {
        let removals = self.entries.values().filter(|entry| entry.fact.is_none());
        let mut positions: Vec<Position> = removals.map(|entry| entry.position).collect();
        if positions.len() <= REMOVALS_MAX {
            return;
        }
        positions.sort_unstable();
        self.pruned = positions[positions.len() / 2];
        let forgotten = self.pruned;
        self.entries
            .retain(|_, entry| entry.fact.is_some() || entry.position > forgotten);
    }

    /// Returns the entries that a follower lacks, and whether they are the complete list.
    ///
    /// `since` is the position up to which the follower has the topic. A follower without one, one in another era, or one
    /// that may lack pruned removals gets the complete list. Returns `None` if nothing has changed since then or the log
    /// itself has no complete list.
    pub fn changes_since(&self, since: Option<Position>) -> Option<(bool, Batch)> {
        if !self.has_snapshot {
            return None;
        }
        let is_ahead = since.is_some_and(|since| since.era > self.position.era);
        if is_ahead {
            return None;
        }
        let since = since.filter(|since| *since >= self.pruned && since.era == self.position.era);
        let is_complete = since.is_none();
        let mut entries: Vec<Entry> = self
            .entries
            .values()
            .filter(|entry| match since {
                Some(since) => entry.position > since,
                None => entry.fact.is_some(),
            })
            .cloned()
            .collect();
        if entries.is_empty() && !is_complete {
            return None;
        }
        entries.sort_by_key(|entry| entry.position);
        let position = self.position;
        Some((is_complete, Batch { entries, position }))
    }
}

/// Returns whether an entry of the same position as the held one has a later catalogue, or one at all. A gateway that held that before
/// the store came back from an older copy, or before the entry could no longer be decoded, has kept it.
fn has_later_catalog(held: Option<&Entry>, entry: &Entry) -> bool {
    let Some(held) = held.filter(|held| held.position == entry.position) else {
        return false;
    };
    match (&held.fact, &entry.fact) {
        (Some(Fact::Catalog(held)), Some(Fact::Catalog(other))) => other.version > held.version,
        (Some(Fact::Unreadable(_)), Some(Fact::Catalog(_))) => true,
        _ => false,
    }
}

/// Returns the entry, with the held catalogue in place of an older one or one that cannot be decoded: the version that operators give
/// orders catalogues also across eras of the store, and gateways that start get the held one from here.
fn keep_newer_catalog(held: Option<&Entry>, entry: Entry) -> Entry {
    let Some(Fact::Catalog(held)) = held.and_then(|held| held.fact.as_ref()) else {
        return entry;
    };
    let is_kept = match &entry.fact {
        Some(Fact::Catalog(listed)) => held.version > listed.version,
        Some(Fact::Unreadable(reason)) => {
            log::warn!(
                key:% = entry.key, version = entry.position.version, held = held.version, reason:% = reason;
                "cannot decode a catalogue; the previous one stays in force"
            );
            true
        }
        _ => false,
    };
    match is_kept {
        true => Entry {
            fact: Some(Fact::Catalog(held.clone())),
            ..entry
        },
        false => entry,
    }
}
