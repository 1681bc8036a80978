//! The request ids that the owner of a target has seen, so that it can report the status of each request truthfully.
//!
//! A query for an id that was never seen fences it: a late copy of the request is refused from then on, so that the
//! owner can prove that the request did not run.

use indexmap::IndexMap;

use crate::outcome::Outcome;

/// Identifies one dispatch of a request. The entry router generates it at random.
pub type RequestId = uuid::Uuid;

/// The status of a request id, as its owner reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// The request is queued or running.
    Running,
    /// The request ended with an outcome.
    Ended(Outcome),
    /// The request was not received before the query, and is refused if it arrives afterwards.
    Fenced,
}

/// Why a request id was not registered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The id is already registered or fenced.
    Seen,
    /// The table is full, and no entry may be removed before it expires.
    Full,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    status: Status,
    keep_until_ms: u64,
}

/// The bounds of a table.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long an ended or fenced id is kept, in milliseconds. It must exceed the longest delay of a copy of the
    /// request.
    pub keep_ms: u64,
    /// The largest number of ids in the table.
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

/// The request ids that an owner has seen, with their status.
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

    /// Registers the id of a request that was received, with the status [`Status::Running`].
    ///
    /// # Errors
    ///
    /// `Refusal::Seen` if the id is already registered or fenced, `Refusal::Full` if the table is full.
    pub fn register(&mut self, id: RequestId, now_ms: u64) -> Result<(), Refusal> {
        if self.entries.contains_key(&id) {
            return Err(Refusal::Seen);
        }
        self.make_room(now_ms)?;
        self.insert(id, Status::Running, u64::MAX);
        Ok(())
    }

    /// Records the outcome of a running request. Does nothing for any other id.
    pub fn record_outcome(&mut self, id: RequestId, outcome: Outcome, now_ms: u64) {
        let status = self.entries.get(&id).map(|entry| entry.status);
        if status != Some(Status::Running) {
            return;
        }
        let until_ms = now_ms + self.settings.keep_ms;
        self.insert(id, Status::Ended(outcome), until_ms);
    }

    /// Returns the status of a request id, and fences the id if it was never seen. A query for a fenced id keeps it for
    /// longer.
    ///
    /// If the id cannot be fenced because the table is full, it is reported as running, so that the caller does not
    /// conclude that the request did not run.
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

    /// Removes the entries whose time has passed. Running requests do not expire.
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
