//! A lease on a duty that must have one holder, kept in one row of the platform's table.
//!
//! No two instances' clocks are compared. A holder counts its own time from before it began to write
//! the renewal; a challenger takes the row over once it has seen it unchanged for longer than the lease
//! on its own clock. Each new holder has a higher fencing number.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The process that holds the lease.
    pub holder: SmolStr,
    /// The fencing number: each new holder has a higher one.
    pub number: u64,
    /// Raised by each renewal.
    pub renewals: u64,
}

/// Times of a lease.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long a renewal holds, in milliseconds.
    pub lease_ms: u64,
    /// How much earlier a holder stops, in milliseconds: the longest that one order takes.
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

#[derive(Clone, Copy, Debug)]
struct Grant {
    number: u64,
    since_ms: u64,
}

#[derive(Clone, Debug)]
struct Observation {
    row: Row,
    since_ms: u64,
}

/// One process's part in a lease.
#[derive(Clone, Debug)]
pub struct Participant {
    name: SmolStr,
    settings: Settings,
    grant: Option<Grant>,
    observation: Option<Observation>,
}

impl Participant {
    /// Creates the part of a process that holds nothing; its name must be its own alone.
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

    /// Takes the row in as it was read, and returns the row to write on the condition that it has not
    /// changed, if one is to be written.
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

    /// Notes that a row was written; `began_ms` is the time before the write began.
    pub fn note_write(&mut self, row: &Row, began_ms: u64) {
        self.grant = Some(Grant {
            number: row.number,
            since_ms: began_ms,
        });
    }

    /// Returns whether the lease is held for long enough for one more order.
    pub fn is_holder(&self, now_ms: u64) -> bool {
        self.fencing_number(now_ms).is_some()
    }

    /// Returns the fencing number, if the lease is held for long enough for one more order.
    pub fn fencing_number(&self, now_ms: u64) -> Option<u64> {
        let grant = self.grant?;
        let usable_ms = self.settings.lease_ms - self.settings.margin_ms;
        (now_ms.saturating_sub(grant.since_ms) < usable_ms).then_some(grant.number)
    }
}
