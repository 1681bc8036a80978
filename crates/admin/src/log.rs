//! The versioned log of changes in the platform's table.
//!
//! Entry `n + 1` is inserted on the condition that there is none, which gives one order for all
//! and one winner of a race. Accepted means that the row is durably written.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use sardinemux_core::config::{
    command, Change, ChangeId, Entry, Exception, Operator, State, Version,
};
use sardinemux_platform::client::{Platform, Precondition, Range, Write};
use sardinemux_wire::admin::{Submission, Verdict};
use sardinemux_wire::platform::{log_key, LOG_PREFIX, SNAPSHOT_OBJECT};
use smol_str::SmolStr;
use tokio::time;

use crate::errors::Result;

/// The rows that are read at once.
const ROWS_MAX: usize = 256;

/// The tries to write an entry.
const TRIES: u32 = 6;

/// The pause after a write that was not answered.
const PAUSE: Duration = Duration::from_millis(150);

/// A snapshot is written after this many versions.
const SNAPSHOT_EVERY: Version = 64;

/// The log, with the newest state that was read.
pub struct Log {
    platform: Platform,
    state: Mutex<State>,
}

/// How one try to write an entry ended.
enum Try {
    Accepted(Entry),
    Raced(Option<Entry>),
    Unanswered,
}

impl Log {
    /// Creates a log of which nothing was read yet.
    pub fn new(platform: Platform) -> Self {
        Self {
            platform,
            state: Mutex::default(),
        }
    }

    /// Returns the platform.
    pub fn platform(&self) -> &Platform {
        &self.platform
    }

    /// Reads what is new and returns the newest state.
    ///
    /// # Errors
    ///
    /// `Error::Platform` if the store does not answer, `Error::Change` if the log is damaged.
    pub async fn read(&self) -> Result<State> {
        let mut state = self.state.lock().clone();
        if state.version == 0 {
            let snapshot = self.platform.read_object::<State>(SNAPSHOT_OBJECT).await?;
            state = snapshot.unwrap_or_default();
        }
        loop {
            let entries = self.entries(state.version, ROWS_MAX).await?;
            let count = entries.len();
            for entry in entries {
                command::apply(&mut state, &entry)?;
            }
            if count < ROWS_MAX {
                break;
            }
        }
        let mut held = self.state.lock();
        if state.version > held.version {
            *held = state.clone();
        }
        Ok(state)
    }

    /// Returns entries after a version.
    ///
    /// # Errors
    ///
    /// `Error::Platform` if the store does not answer.
    pub async fn entries(&self, after: Version, limit: usize) -> Result<Vec<Entry>> {
        let range = Range {
            prefix: LOG_PREFIX,
            after: &log_key(after),
            limit,
        };
        let rows = self.platform.read_rows(range).await?;
        let entries = rows
            .into_iter()
            .filter_map(|row| serde_json::from_value(row.value).ok());
        Ok(entries.collect())
    }

    async fn entry(&self, version: Version) -> Result<Option<Entry>> {
        let row = self.platform.read_row(&log_key(version)).await?;
        Ok(row.and_then(|row| serde_json::from_value(row.value).ok()))
    }

    /// Submits changes.
    ///
    /// # Errors
    ///
    /// `Error::Change` if they are not valid or not allowed, `Error::Platform` if the store does not
    /// answer before anything was written.
    pub async fn submit(&self, operator: &Operator, submission: Submission) -> Result<Verdict> {
        let mut attempted = 0;
        for _ in 0..TRIES {
            let state = match self.read().await {
                Ok(state) => state,
                Err(error) if attempted == 0 => return Err(error),
                Err(_) => {
                    time::sleep(PAUSE).await;
                    continue;
                }
            };
            if let Some(version) = state.recent.get(&submission.id) {
                return self.accepted(*version).await;
            }
            check(&state, operator, &submission)?;
            if submission.dry_run {
                return Ok(Verdict::Valid {
                    version: state.version,
                });
            }
            let entry = entry(&state, operator, &submission);
            attempted = entry.version;
            match self.write(entry).await {
                Try::Accepted(entry) => return Ok(Verdict::Accepted { entry }),
                Try::Raced(winner) => {
                    if let Some(winner) = winner.filter(|winner| is_rival(winner, &submission)) {
                        let winner = Some(winner);
                        return Ok(Verdict::NotAccepted { winner });
                    }
                }
                Try::Unanswered => time::sleep(PAUSE).await,
            }
        }
        Ok(Verdict::Unknown {
            id: submission.id,
            attempted,
        })
    }

    async fn write(&self, entry: Entry) -> Try {
        let key = log_key(entry.version);
        match self
            .platform
            .write_row(&key, &entry, Precondition::Absent)
            .await
        {
            Ok(Write::Done) => Try::Accepted(entry),
            Ok(Write::Conflict) => match self.entry(entry.version).await {
                Ok(Some(found)) if found.id == entry.id => Try::Accepted(found),
                Ok(winner) => Try::Raced(winner),
                Err(_) => Try::Unanswered,
            },
            // The write may have taken effect; the next round reads it back.
            Err(_) => Try::Unanswered,
        }
    }

    async fn accepted(&self, version: Version) -> Result<Verdict> {
        let entry = self.entry(version).await?;
        Ok(match entry {
            Some(entry) => Verdict::Accepted { entry },
            None => Verdict::NotAccepted { winner: None },
        })
    }

    /// Says what became of a submission whose answer was lost. Once the log has passed the version
    /// that was attempted, a submission that is not in it never will be.
    ///
    /// # Errors
    ///
    /// `Error::Platform` if the store does not answer.
    pub async fn resolve(&self, id: ChangeId, attempted: Option<Version>) -> Result<Verdict> {
        let state = self.read().await?;
        if let Some(version) = state.recent.get(&id) {
            return self.accepted(*version).await;
        }
        let attempted = attempted.unwrap_or(Version::MAX);
        if state.version < attempted {
            return Ok(Verdict::Unknown { id, attempted });
        }
        let winner = self.entry(attempted).await?;
        Ok(Verdict::NotAccepted { winner })
    }

    /// Writes a snapshot if one is due; readers need it once the log is long.
    pub async fn snapshot(&self, version: Version) {
        if !version.is_multiple_of(SNAPSHOT_EVERY) {
            return;
        }
        let state = self.state.lock().clone();
        if let Err(error) = self.platform.write_object(SNAPSHOT_OBJECT, &state).await {
            log::warn!("the snapshot was not written: {error}");
        }
    }
}

fn check(state: &State, operator: &Operator, submission: &Submission) -> Result<()> {
    command::check_rights(state, operator, &submission.changes)?;
    command::check_expected(state, &submission.expected)?;
    command::check_changes(state, &submission.changes)?;
    Ok(())
}

fn entry(state: &State, operator: &Operator, submission: &Submission) -> Entry {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    Entry {
        version: state.version + 1,
        id: submission.id,
        author: operator.name.clone(),
        at_s: now.map_or(0, |now| now.as_secs()),
        changes: submission
            .changes
            .iter()
            .map(|change| signed(change, operator))
            .collect(),
    }
}

/// Notes the operator as the author of an exception, whatever was submitted.
fn signed(change: &Change, operator: &Operator) -> Change {
    match change {
        Change::SetException(exception) => Change::SetException(Exception {
            author: operator.name.clone(),
            ..exception.clone()
        }),
        other => other.clone(),
    }
}

/// Returns whether an entry changes a key that the submission changes too.
fn is_rival(winner: &Entry, submission: &Submission) -> bool {
    let keys: Vec<SmolStr> = winner.changes.iter().map(|change| change.key()).collect();
    submission
        .changes
        .iter()
        .any(|change| keys.contains(&change.key()))
}
