//! The log of configuration changes, whose entries are rows of the platform's table.
//!
//! An entry is written on the condition that no row has its version yet. All programs therefore see the entries in the
//! same order, and of several programs that write the same version at once exactly one succeeds. An entry is accepted
//! once its row is durably written.

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

/// The greatest number of rows that one call reads.
const ROWS_MAX: usize = 256;

/// The greatest number of attempts to write a submission.
const WRITE_ATTEMPTS_MAX: u32 = 6;

/// The pause before the next attempt after a call to the platform failed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// The number of versions from one snapshot to the next.
const SNAPSHOT_INTERVAL_VERSIONS: Version = 64;

/// A client of the log, which caches the newest configuration that it has read.
pub struct Log {
    platform: Platform,
    state: Mutex<State>,
}

/// The result of one attempt to write an entry.
enum Attempt {
    /// The entry is in the log.
    Accepted(Entry),
    /// Another entry has the version; `None` if that entry cannot be decoded.
    Conflict(Option<Entry>),
    /// A call to the platform failed, so the entry may have been written.
    Unanswered,
}

impl Log {
    /// Creates a client with an empty cache.
    pub fn new(platform: Platform) -> Self {
        Self {
            platform,
            state: Mutex::default(),
        }
    }

    /// Returns the client of the platform.
    pub fn platform(&self) -> &Platform {
        &self.platform
    }

    /// Applies the entries that follow the cached configuration, and returns the newest one. With an empty cache, it
    /// begins at the snapshot.
    ///
    /// # Errors
    ///
    /// `Error::Platform` if the platform cannot be read, `Error::Change` if an entry cannot be applied, as when the one
    /// before it cannot be decoded.
    pub async fn read_state(&self) -> Result<State> {
        let mut state = self.state.lock().clone();
        if state.version == 0 {
            let snapshot = self.platform.read_object::<State>(SNAPSHOT_OBJECT).await?;
            state = snapshot.unwrap_or_default();
        }
        loop {
            let entries = self.read_entries(state.version, ROWS_MAX).await?;
            let count = entries.len();
            for entry in entries {
                command::apply(&mut state, &entry)?;
            }
            if count < ROWS_MAX {
                break;
            }
        }
        let mut cached = self.state.lock();
        if state.version > cached.version {
            *cached = state.clone();
        }
        Ok(state)
    }

    /// Returns up to `limit` entries after a version, oldest first. Entries that cannot be decoded are left out.
    ///
    /// # Errors
    ///
    /// `Error::Platform` if the platform cannot be read.
    pub async fn read_entries(&self, after: Version, limit: usize) -> Result<Vec<Entry>> {
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

    /// Returns the entry of a version, or `None` if there is none or it cannot be decoded.
    async fn read_entry(&self, version: Version) -> Result<Option<Entry>> {
        let row = self.platform.read_row(&log_key(version)).await?;
        Ok(row.and_then(|row| serde_json::from_value(row.value).ok()))
    }

    /// Checks a submission and, unless it is a dry run, writes it as the next entry.
    ///
    /// A failed call or an entry of other keys that takes the version leads to another attempt. A submission whose id
    /// is among the most recent ones of the log is not written again.
    ///
    /// # Errors
    ///
    /// - `Error::Change` if the changes are invalid, conflict with the configuration or are not permitted.
    /// - `Error::Platform` if the platform cannot be read before the first attempt, or when the entry of a submission
    ///   that is already accepted is read back.
    pub async fn submit(&self, operator: &Operator, submission: Submission) -> Result<Verdict> {
        let mut attempted = 0;
        for _ in 0..WRITE_ATTEMPTS_MAX {
            let state = match self.read_state().await {
                Ok(state) => state,
                Err(error) if attempted == 0 => return Err(error),
                Err(_) => {
                    time::sleep(RETRY_PAUSE).await;
                    continue;
                }
            };
            if let Some(version) = state.recent.get(&submission.id) {
                return self.read_verdict(*version).await;
            }
            check_submission(&state, operator, &submission)?;
            if submission.dry_run {
                return Ok(Verdict::Valid {
                    version: state.version,
                });
            }
            let entry = build_entry(&state, operator, &submission);
            attempted = entry.version;
            match self.write_entry(entry).await {
                Attempt::Accepted(entry) => return Ok(Verdict::Accepted { entry }),
                Attempt::Conflict(winner) => {
                    if let Some(winner) =
                        winner.filter(|winner| has_common_key(winner, &submission))
                    {
                        let winner = Some(winner);
                        return Ok(Verdict::NotAccepted { winner });
                    }
                }
                Attempt::Unanswered => time::sleep(RETRY_PAUSE).await,
            }
        }
        Ok(Verdict::Unknown {
            id: submission.id,
            attempted,
        })
    }

    /// Makes one attempt to write an entry.
    async fn write_entry(&self, entry: Entry) -> Attempt {
        let key = log_key(entry.version);
        match self
            .platform
            .write_row(&key, &entry, Precondition::Absent)
            .await
        {
            Ok(Write::Done) => Attempt::Accepted(entry),
            Ok(Write::Conflict) => match self.read_entry(entry.version).await {
                Ok(Some(found)) if found.id == entry.id => Attempt::Accepted(found),
                Ok(winner) => Attempt::Conflict(winner),
                Err(_) => Attempt::Unanswered,
            },
            // The write may have taken effect, which the next attempt finds out by reading the log.
            Err(_) => Attempt::Unanswered,
        }
    }

    /// Returns the verdict on a submission that was accepted at this version.
    async fn read_verdict(&self, version: Version) -> Result<Verdict> {
        let entry = self.read_entry(version).await?;
        Ok(match entry {
            Some(entry) => Verdict::Accepted { entry },
            None => Verdict::NotAccepted { winner: None },
        })
    }

    /// Returns the verdict on a submission whose response was lost.
    ///
    /// Once the log has reached the attempted version, a submission that is not in the log can no longer be written.
    /// Only the most recent ids are looked up, so an older submission is reported as not accepted even if it was.
    /// Without an attempted version, a submission that is not found stays unknown.
    ///
    /// # Errors
    ///
    /// `Error::Platform` if the platform cannot be read, `Error::Change` if an entry of the log cannot be applied.
    pub async fn resolve(&self, id: ChangeId, attempted: Option<Version>) -> Result<Verdict> {
        let state = self.read_state().await?;
        if let Some(version) = state.recent.get(&id) {
            return self.read_verdict(*version).await;
        }
        let attempted = attempted.unwrap_or(Version::MAX);
        if state.version < attempted {
            return Ok(Verdict::Unknown { id, attempted });
        }
        let winner = self.read_entry(attempted).await?;
        Ok(Verdict::NotAccepted { winner })
    }

    /// Writes the cached configuration as the snapshot if one is due at this version, so that a program that starts
    /// need not read the whole log. A failure is only logged, and the previous snapshot remains in use.
    pub async fn write_snapshot(&self, version: Version) {
        if !version.is_multiple_of(SNAPSHOT_INTERVAL_VERSIONS) {
            return;
        }
        let state = self.state.lock().clone();
        if let Err(error) = self.platform.write_object(SNAPSHOT_OBJECT, &state).await {
            log::warn!("cannot write the snapshot of the configuration: {error}");
        }
    }
}

/// Checks the rights of the operator, the expected versions and the changes of a submission.
fn check_submission(state: &State, operator: &Operator, submission: &Submission) -> Result<()> {
    command::check_rights(state, operator, &submission.changes)?;
    command::check_expected(state, &submission.expected)?;
    command::check_changes(state, &submission.changes)?;
    Ok(())
}

/// Builds the entry that follows a configuration.
fn build_entry(state: &State, operator: &Operator, submission: &Submission) -> Entry {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    Entry {
        version: state.version + 1,
        id: submission.id,
        author: operator.name.clone(),
        at_s: now.map_or(0, |now| now.as_secs()),
        changes: submission
            .changes
            .iter()
            .map(|change| with_author(change, operator))
            .collect(),
    }
}

/// Returns the change with the operator as the author of an exception, replacing any author that was submitted.
fn with_author(change: &Change, operator: &Operator) -> Change {
    match change {
        Change::SetException(exception) => Change::SetException(Exception {
            author: operator.name.clone(),
            ..exception.clone()
        }),
        other => other.clone(),
    }
}

/// Returns whether an entry changes a key that the submission changes too.
fn has_common_key(winner: &Entry, submission: &Submission) -> bool {
    let keys: Vec<SmolStr> = winner.changes.iter().map(|change| change.key()).collect();
    submission
        .changes
        .iter()
        .any(|change| keys.contains(&change.key()))
}
