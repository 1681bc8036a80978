//! A lease that gives a task to one process at a time, stored in one row of the platform's table.
//!
//! The clocks of two instances are never compared. The holder measures the age of its lease on its own clock, starting
//! before it writes a renewal. Another process takes the lease over once its own clock shows that the row has not
//! changed for longer than the lease lasts. Each new holder gets a higher fencing number.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The stored row of the lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The unique name of the process that holds the lease.
    pub holder: SmolStr,
    /// The fencing number, which increases with each new holder.
    pub number: u64,
    /// The number of renewals by this holder, so that each renewal changes the row.
    pub renewals: u64,
}

/// The durations of a lease.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long the lease lasts after each write, in milliseconds.
    pub lease_ms: u64,
    /// How long before the lease ends its holder stops acting on it, in milliseconds: the longest that one order takes.
    pub margin_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease_ms: 6_000,
            margin_ms: 2_000,
        }
    }
}

/// The lease as this process last wrote it.
#[derive(Clone, Copy, Debug)]
struct Grant {
    number: u64,
    /// When the write began, in milliseconds of this process's own clock.
    since_ms: u64,
}

/// The row of another holder, and since when it has been read unchanged.
#[derive(Clone, Debug)]
struct Observation {
    row: Row,
    since_ms: u64,
}

/// A process that holds the lease or tries to obtain it.
#[derive(Clone, Debug)]
pub struct Participant {
    name: SmolStr,
    settings: Settings,
    grant: Option<Grant>,
    observation: Option<Observation>,
}

impl Participant {
    /// Creates a participant that does not hold the lease.
    ///
    /// The name must be unique among the participants: a row that bears it is taken for this process's own.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::lease::{Participant, Settings};
    ///
    /// let mut participant = Participant::new("a".into(), Settings::default());
    /// let row = participant.next_row(None, 0);
    /// assert!(row.is_some() && !participant.is_holder(0));
    /// if let Some(row) = row {
    ///     participant.note_write(&row, 0);
    /// }
    /// assert!(participant.is_holder(3_999) && !participant.is_holder(4_000));
    /// ```
    pub fn new(name: SmolStr, settings: Settings) -> Self {
        Self {
            name,
            settings,
            grant: None,
            observation: None,
        }
    }

    /// Evaluates the row as it was read at `now_ms` (`None` if there is none yet), and returns the row to write.
    ///
    /// The returned row renews this process's own lease, or takes over one that is absent or has expired. It may be
    /// written only on the condition that the stored row has not changed since it was read. Returns `None` while
    /// another process holds the lease.
    pub fn next_row(&mut self, row: Option<&Row>, now_ms: u64) -> Option<Row> {
        let Some(row) = row else {
            return Some(self.new_row(1, 0));
        };
        if row.holder == self.name {
            return Some(self.new_row(row.number, row.renewals + 1));
        }
        self.grant = None;
        let is_new = self
            .observation
            .as_ref()
            .is_none_or(|observation| observation.row != *row);
        if is_new {
            self.observation = Some(Observation {
                row: row.clone(),
                since_ms: now_ms,
            });
        }
        let since_ms = self
            .observation
            .as_ref()
            .map_or(now_ms, |observation| observation.since_ms);
        let is_lapsed = now_ms.saturating_sub(since_ms) > self.settings.lease_ms;
        is_lapsed.then(|| self.new_row(row.number + 1, 0))
    }

    fn new_row(&self, number: u64, renewals: u64) -> Row {
        Row {
            holder: self.name.clone(),
            number,
            renewals,
        }
    }

    /// Records that the row was written. The lease counts from `began_ms`, which must precede the start of the write.
    pub fn note_write(&mut self, row: &Row, began_ms: u64) {
        self.grant = Some(Grant {
            number: row.number,
            since_ms: began_ms,
        });
    }

    /// Returns whether this process holds the lease for longer than the margin, which is enough for one more order.
    pub fn is_holder(&self, now_ms: u64) -> bool {
        self.fencing_number(now_ms).is_some()
    }

    /// Returns the fencing number, if this process holds the lease for longer than the margin.
    pub fn fencing_number(&self, now_ms: u64) -> Option<u64> {
        let grant = self.grant?;
        let usable_ms = self.settings.lease_ms - self.settings.margin_ms;
        (now_ms.saturating_sub(grant.since_ms) < usable_ms).then_some(grant.number)
    }
}
