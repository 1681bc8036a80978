//! What a gateway has heard of one topic, kept so that others can follow it instead of the store.
//!
//! In each availability zone one gateway reads the store; the others follow it, and any other that reads the store
//! if it falls silent. The versions are the store's, so that a gateway can change whom it follows at any time.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::prelude::*;
use crate::source::{Batch, Entry};

/// Removals that are remembered for followers; one that is further behind gets the whole list.
const REMOVALS_MAX: usize = 512;

/// What a follower is told.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Whether the teller itself follows the store.
    pub is_following: bool,
    /// Whether the batch is the whole list.
    pub is_complete: bool,
    /// The entries.
    pub batch: Batch,
}

/// The newest entry of each key, removals included.
#[derive(Clone, Debug)]
pub struct Log {
    entries: IndexMap<SmolStr, Entry>,
    /// Nothing is known before the first list.
    has_snapshot: bool,
    version: u64,
    newest_version: u64,
    /// Removals up to this version may be missing.
    pruned_version: u64,
    changed: watch::Sender<u64>,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            entries: IndexMap::new(),
            has_snapshot: false,
            version: 0,
            newest_version: 0,
            pruned_version: 0,
            changed: watch::Sender::new(0),
        }
    }
}

impl Log {
    /// Returns the version up to which changes were taken in.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the version of the newest entry.
    pub fn newest_version(&self) -> u64 {
        self.newest_version
    }

    /// Returns whether a whole list was taken in.
    pub fn has_snapshot(&self) -> bool {
        self.has_snapshot
    }

    /// Returns a handle that tells when there is something new.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Takes in entries and returns those that are news. What a complete list does not name is removed, and the
    /// removals are among the news; `may_return` marks them.
    pub fn apply(&mut self, batch: &Batch, is_complete: bool, may_return: bool) -> Vec<Entry> {
        let mut news = Vec::new();
        if is_complete && (batch.version >= self.version || !self.has_snapshot) {
            news.extend(self.find_unlisted(batch, may_return));
        }
        for entry in &batch.entries {
            let held = self.entries.get(&entry.key);
            if held.is_none_or(|held| held.version < entry.version) {
                news.push(entry.clone());
            }
        }
        for entry in &news {
            self.newest_version = self.newest_version.max(entry.version);
            self.entries.insert(entry.key.clone(), entry.clone());
        }
        self.has_snapshot |= is_complete;
        self.version = self.version.max(batch.version);
        self.prune_removals();
        if !news.is_empty() || is_complete {
            self.changed.send_replace(self.version);
        }
        news
    }

    fn find_unlisted(&self, batch: &Batch, may_return: bool) -> Vec<Entry> {
        let is_listed = |key: &SmolStr| batch.entries.iter().any(|entry| entry.key == *key);
        let unlisted = self.entries.values().filter(|entry| {
            entry.fact.is_some() && entry.version <= batch.version && !is_listed(&entry.key)
        });
        unlisted
            .map(|entry| Entry {
                key: entry.key.clone(),
                fact: None,
                version: batch.version,
                may_return,
            })
            .collect()
    }

    fn prune_removals(&mut self) {
        let removals = self.entries.values().filter(|entry| entry.fact.is_none());
        let mut versions: Vec<u64> = removals.map(|entry| entry.version).collect();
        if versions.len() <= REMOVALS_MAX {
            return;
        }
        versions.sort_unstable();
        self.pruned_version = versions[versions.len() / 2];
        let forgotten = self.pruned_version;
        self.entries
            .retain(|_, entry| entry.fact.is_some() || entry.version > forgotten);
    }

    /// Returns what a follower at a version lacks; nothing if there is no news.
    pub fn changes_since(&self, since: Option<u64>) -> Option<(bool, Batch)> {
        if !self.has_snapshot {
            return None;
        }
        let since = since.filter(|since| *since >= self.pruned_version);
        let is_complete = since.is_none();
        let mut entries: Vec<Entry> = self
            .entries
            .values()
            .filter(|entry| match since {
                Some(since) => entry.version > since,
                None => entry.fact.is_some(),
            })
            .cloned()
            .collect();
        if entries.is_empty() && !is_complete {
            return None;
        }
        entries.sort_by_key(|entry| entry.version);
        let version = self.version;
        Some((is_complete, Batch { entries, version }))
    }
}
