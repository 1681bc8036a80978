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
struct Held {
    number: u64,
    since_ms: u64,
}

#[derive(Clone, Debug)]
struct Seen {
    row: Row,
    since_ms: u64,
}

/// One process's part in a lease.
#[derive(Clone, Debug)]
pub struct Keeper {
    me: SmolStr,
    settings: Settings,
    held: Option<Held>,
    seen: Option<Seen>,
}

impl Keeper {
    /// Creates the part of a process that holds nothing; its name must be its own alone.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::lease::{Keeper, Settings};
    ///
    /// let mut keeper = Keeper::new("a".into(), Settings::default());
    /// let row = keeper.next(None, 0);
    /// assert!(row.is_some() && !keeper.is_held(0));
    /// if let Some(row) = row {
    ///     keeper.note_written(&row, 0);
    /// }
    /// assert!(keeper.is_held(3_999) && !keeper.is_held(4_000));
    /// ```
    pub fn new(me: SmolStr, settings: Settings) -> Self {
        Self {
            me,
            settings,
            held: None,
            seen: None,
        }
    }

    /// Takes the row in as it was read, and returns the row to write on the condition that it has not
    /// changed, if one is to be written.
    pub fn next(&mut self, row: Option<&Row>, now_ms: u64) -> Option<Row> {
        let Some(row) = row else {
            return Some(self.row(1, 0));
        };
        if row.holder == self.me {
            return Some(self.row(row.number, row.renewals + 1));
        }
        self.held = None;
        let is_new = self.seen.as_ref().is_none_or(|seen| seen.row != *row);
        if is_new {
            self.seen = Some(Seen {
                row: row.clone(),
                since_ms: now_ms,
            });
        }
        let since_ms = self.seen.as_ref().map_or(now_ms, |seen| seen.since_ms);
        let is_lapsed = now_ms.saturating_sub(since_ms) > self.settings.lease_ms;
        is_lapsed.then(|| self.row(row.number + 1, 0))
    }

    fn row(&self, number: u64, renewals: u64) -> Row {
        Row {
            holder: self.me.clone(),
            number,
            renewals,
        }
    }

    /// Notes that a row was written; `began_ms` is the time before the write began.
    pub fn note_written(&mut self, row: &Row, began_ms: u64) {
        self.held = Some(Held {
            number: row.number,
            since_ms: began_ms,
        });
    }

    /// Returns whether the lease is held for long enough for one more order.
    pub fn is_held(&self, now_ms: u64) -> bool {
        self.number(now_ms).is_some()
    }

    /// Returns the fencing number, if the lease is held for long enough for one more order.
    pub fn number(&self, now_ms: u64) -> Option<u64> {
        let held = self.held?;
        let holds_ms = self.settings.lease_ms - self.settings.margin_ms;
        (now_ms.saturating_sub(held.since_ms) < holds_ms).then_some(held.number)
    }
}
