//! The request ids that an owner has seen, so that it can say truthfully what became of one.
//!
//! Asking for an id that was never seen fences it: a late copy of the request is refused from then
//! on, which makes "not run" provable.

use indexmap::IndexMap;

use crate::outcome::Outcome;

/// Names one dispatch of a request; the entry draws it at random.
pub type RequestId = uuid::Uuid;

/// What an owner says of a request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// It waits or runs.
    Running,
    /// It ended.
    Ended(Outcome),
    /// It never came, and is refused if it comes now.
    Fenced,
}

/// Why a request id was not taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The id was seen or fenced before.
    Seen,
    /// The table is full; nothing may be dropped before its time.
    Full,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    status: Status,
    keep_until_ms: u64,
}

/// Bounds of the table.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long an ended or fenced id is kept, in milliseconds: longer than any copy can be late.
    pub keep_ms: u64,
    /// The most ids that are kept.
    pub entries_max: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            keep_ms: 120_000,
            entries_max: 200_000,
        }
    }
}

/// The request ids that an owner has seen.
#[derive(Clone, Debug, Default)]
pub struct Table {
    settings: Settings,
    entries: IndexMap<RequestId, Entry>,
}

impl Table {
    /// Creates an empty table.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::fence::{Refusal, RequestId, Settings, Status, Table};
    ///
    /// let mut table = Table::new(Settings::default());
    /// let id = RequestId::from_u128(7);
    /// assert_eq!(table.status_or_fence(id, 0), Status::Fenced);
    /// assert_eq!(table.register(id, 0), Err(Refusal::Seen));
    /// ```
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            entries: IndexMap::new(),
        }
    }

    /// Takes in a request id.
    ///
    /// # Errors
    ///
    /// `Refusal::Seen` if it was seen or fenced, `Refusal::Full` if there is no room.
    pub fn register(&mut self, id: RequestId, now_ms: u64) -> Result<(), Refusal> {
        if self.entries.contains_key(&id) {
            return Err(Refusal::Seen);
        }
        self.make_room(now_ms)?;
        self.insert(id, Status::Running, u64::MAX);
        Ok(())
    }

    /// Notes how a request ended; one that was never taken in is left alone.
    pub fn record_outcome(&mut self, id: RequestId, outcome: Outcome, now_ms: u64) {
        let status = self.entries.get(&id).map(|entry| entry.status);
        if status != Some(Status::Running) {
            return;
        }
        let until_ms = now_ms + self.settings.keep_ms;
        self.insert(id, Status::Ended(outcome), until_ms);
    }

    /// Says what became of a request id, and fences it if it was never seen.
    ///
    /// When the table is full, the id counts as running: the asker must not conclude "not run".
    pub fn status_or_fence(&mut self, id: RequestId, now_ms: u64) -> Status {
        let keep_until_ms = now_ms + self.settings.keep_ms;
        if let Some(entry) = self.entries.get_mut(&id) {
            if entry.status == Status::Fenced {
                entry.keep_until_ms = keep_until_ms;
            }
            return entry.status;
        }
        if self.make_room(now_ms).is_err() {
            return Status::Running;
        }
        self.insert(id, Status::Fenced, keep_until_ms);
        Status::Fenced
    }

    fn insert(&mut self, id: RequestId, status: Status, keep_until_ms: u64) {
        let entry = Entry {
            status,
            keep_until_ms,
        };
        self.entries.insert(id, entry);
    }

    fn make_room(&mut self, now_ms: u64) -> Result<(), Refusal> {
        if self.entries.len() >= self.settings.entries_max {
            self.remove_expired(now_ms);
        }
        match self.entries.len() < self.settings.entries_max {
            true => Ok(()),
            false => Err(Refusal::Full),
        }
    }

    /// Forgets what has been kept long enough.
    pub fn remove_expired(&mut self, now_ms: u64) {
        self.entries.retain(|_, entry| entry.keep_until_ms > now_ms);
    }

    /// Returns the number of ids in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
