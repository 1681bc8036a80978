//! The rows and objects of the store, the change history, and the JSON form of rows in bodies.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// The table and the key of a row.
pub(super) type RowId = (String, String);

/// The shortest time between two copies of the contents.
const COPY_INTERVAL: Duration = Duration::from_millis(200);

/// The number of copies that are kept.
const COPIES_MAX: usize = 60;

/// The contents of the store as they were before a change.
#[derive(Clone, Debug)]
struct Copy {
    at: Instant,
    rows: BTreeMap<RowId, (u64, String)>,
    objects: IndexMap<String, Vec<u8>>,
    version: u64,
}

/// The contents of the store and the number of calls on it.
#[derive(Debug)]
pub(super) struct Database {
    /// The version in which each row was last written, and its value.
    pub(super) rows: BTreeMap<RowId, (u64, String)>,
    /// Every change with its version and the new value, or `None` for a removal.
    pub(super) history: Vec<(u64, RowId, Option<String>)>,
    /// The last version whose changes are no longer in the history.
    pub(super) truncated_version: u64,
    /// The version of the last change.
    pub(super) version: u64,
    /// The objects by name.
    pub(super) objects: IndexMap<String, Vec<u8>>,
    pub(super) reads: u64,
    pub(super) writes: u64,
    /// The number of the store's life, which begins anew with each restore of a copy.
    pub(super) era: u64,
    copies: VecDeque<Copy>,
}

impl Default for Database {
    fn default() -> Self {
        Self {
            rows: BTreeMap::new(),
            history: Vec::new(),
            truncated_version: 0,
            version: 0,
            objects: IndexMap::new(),
            reads: 0,
            writes: 0,
            era: 1,
            copies: VecDeque::new(),
        }
    }
}

/// The JSON form of a row in bodies.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Row {
    pub(super) table: String,
    #[serde(rename = "part", default)]
    pub(super) part: String,
    pub(super) key: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) value: Option<String>,
    #[serde(default)]
    pub(super) ver: u64,
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub(super) tombstone: bool,
}

/// A conditional transaction: its writes and removals apply only if all rows have the expected versions.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Transaction {
    #[serde(default)]
    pub(super) expected_rev: Vec<Row>,
    #[serde(default)]
    pub(super) upserts: Vec<Row>,
    #[serde(default)]
    pub(super) remove: Vec<Row>,
}

/// The answer to a query or a transaction.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub(super) struct Page {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) rows: Option<Vec<Row>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) has_more: Option<bool>,
    pub(super) ver: u64,
    pub(super) now_ms: u64,
}

impl Database {
    /// Begins a new version. Keeps a copy of the contents before it, unless there is a recent one.
    pub(super) fn begin_version(&mut self) {
        let is_due = |copy: &Copy| copy.at.elapsed() >= COPY_INTERVAL;
        if self.copies.back().is_none_or(is_due) {
            self.copies.push_back(Copy {
                at: Instant::now(),
                rows: self.rows.clone(),
                objects: self.objects.clone(),
                version: self.version,
            });
            let excess = self.copies.len().saturating_sub(COPIES_MAX);
            self.copies.drain(..excess);
        }
        self.version += 1;
    }

    /// Replaces the contents by the newest copy that is at least as old as `age`, or by the oldest one, and begins a new
    /// era. Versions go back to that of the copy.
    pub(super) fn restore(&mut self, age: Duration) {
        self.era += 1;
        let is_old = |copy: &Copy| copy.at.elapsed() >= age;
        let index = self.copies.iter().rposition(is_old).unwrap_or_default();
        self.copies.truncate(index + 1);
        let Some(copy) = self.copies.pop_back() else {
            return;
        };
        self.rows = copy.rows;
        self.objects = copy.objects;
        self.version = copy.version;
        self.history
            .retain(|(version, _, _)| *version <= copy.version);
        self.truncated_version = self.truncated_version.min(copy.version);
    }

    /// Returns whether the changes after a version can be told: they are in the history, and the version was reached.
    pub(super) fn has_history_since(&self, since: u64) -> bool {
        (self.truncated_version..=self.version).contains(&since)
    }

    /// Writes a row in the current version, or removes it if there is no value, and records the change.
    pub(super) fn write_row(&mut self, id: RowId, value: Option<String>) {
        match &value {
            Some(value) => {
                self.rows.insert(id.clone(), (self.version, value.clone()));
            }
            None => {
                self.rows.remove(&id);
            }
        }
        self.history.push((self.version, id, value));
    }

    /// Applies a transaction in a new version if all rows have the versions that it expects, where 0 means that there
    /// is no such row. Returns whether it was applied.
    pub(super) fn apply(&mut self, transaction: &Transaction) -> bool {
        self.writes += 1;
        let is_current = transaction.expected_rev.iter().all(|expected| {
            let row = self.rows.get(&row_id(expected));
            row.map_or(0, |(version, _)| *version) == expected.ver
        });
        if !is_current {
            return false;
        }
        self.begin_version();
        for row in &transaction.upserts {
            self.write_row(row_id(row), Some(row.value.clone().unwrap_or_default()));
        }
        for row in &transaction.remove {
            self.write_row(row_id(row), None);
        }
        true
    }

    /// Returns the changes to a table after a version, in their order.
    pub(super) fn changes_since(&self, table: &str, since: u64) -> Vec<Row> {
        let newer = self
            .history
            .iter()
            .filter(|(version, id, _)| *version > since && id.0 == table);
        newer
            .map(|(version, id, value)| build_row(id, *version, value.clone()))
            .collect()
    }
}

pub(super) fn row_id(row: &Row) -> RowId {
    (row.table.clone(), row.key.clone())
}

pub(super) fn build_row(id: &RowId, ver: u64, value: Option<String>) -> Row {
    Row {
        table: id.0.clone(),
        part: String::new(),
        key: id.1.clone(),
        tombstone: value.is_none(),
        value,
        ver,
    }
}
