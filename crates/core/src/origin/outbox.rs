//! The records that a gateway keeps until the store holds them.
//!
//! The gateway at which a stream began sends its record to the first writer in rank, which confirms that it holds it, and then that it is
//! written. Without a confirmation in time, as the writer was lost, is cut off or does not reach the store, the record goes to the next
//! one that has not got it, and after [`Settings::writers_max`] of them the gateway writes it itself. So a record outlives its writers,
//! and a writer writes what it is sent and never passes it on. Writing a record twice does no harm.

use std::net::SocketAddr;

use indexmap::IndexMap;
use smol_str::SmolStr;

use super::Origin;

/// The times and bounds of an outbox.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long a writer has to confirm that it holds a record, in milliseconds.
    pub held_ms: u64,
    /// How long it then has to confirm that it is written, in milliseconds: longer than most calls to a store that answers late, so
    /// that such a store does not get each record from several gateways.
    pub written_ms: u64,
    /// How long a record is kept after it was sent to a writer of a build that confirms none, in milliseconds: longer than a lost
    /// gateway takes to be known as silent.
    pub unconfirmed_ms: u64,
    /// The number of writers that get a record before its gateway writes it.
    pub writers_max: usize,
    /// How long a write has to be answered before it is repeated, in milliseconds.
    pub write_ms: u64,
    /// The delay before a failed write is repeated, in milliseconds. It doubles with each failure, up to [`write_ms`](Self::write_ms).
    pub retry_ms: u64,
    /// The largest number of records that are kept.
    pub records_max: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            held_ms: 300,
            written_ms: 2_000,
            unconfirmed_ms: 2_000,
            writers_max: 2,
            write_ms: 2_400,
            retry_ms: 300,
            records_max: 4_096,
        }
    }
}

/// A gateway that writes records for others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Writer {
    /// Its name.
    pub name: SmolStr,
    /// Whether its build confirms records.
    pub confirms: bool,
}

/// Where records come from, and who is told once they are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// The streams began here.
    Own,
    /// A gateway of a build that waits for no confirmation.
    Unconfirmed,
    /// A gateway that is told at this address.
    Confirmed(SocketAddr),
}

/// A record that is not known to be written.
#[derive(Clone, Debug)]
struct Record {
    origin: Origin,
    sender: Sender,
    /// When the stream cannot be taken up any more, in milliseconds.
    end_ms: u64,
    /// When something is to be done next, in milliseconds.
    due_ms: u64,
    /// The writers that got it, the latest last.
    writers: Vec<Writer>,
    /// Whether this gateway writes it, as it was sent here or no writer has confirmed it.
    is_written_here: bool,
    /// The number of its writes that have failed.
    failures: u32,
}

/// The records of a gateway that are not known to be written.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    settings: Settings,
    records: IndexMap<u64, Record>,
}

/// What is to be done with the records that are due.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Due {
    /// The records that go to other gateways, by their names.
    pub sent: IndexMap<SmolStr, Vec<Origin>>,
    /// The records to write to the store.
    pub written: Vec<Origin>,
    /// The number of records that were dropped, as their streams cannot be taken up any more.
    pub expired: usize,
}

impl Outbox {
    /// Creates an empty outbox.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::origin::outbox::{Outbox, Sender, Settings, Writer};
    /// use sardinemux_core::origin::Origin;
    ///
    /// let mut outbox = Outbox::new(Settings::default());
    /// let origin = Origin { stream: 7, pool: "p".into(), build: "v1".into() };
    /// outbox.add([origin.clone()], Sender::Own, 30_000, 0);
    /// let writers = [Writer { name: "g1".into(), confirms: true }];
    /// assert_eq!(outbox.take_due(&writers, 75, 0).sent["g1"], [origin.clone()]);
    /// assert_eq!(outbox.take_due(&writers, 75, 300).written, [origin]);
    /// outbox.confirm(&[7]);
    /// assert_eq!(outbox.len(), 0);
    /// ```
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            records: IndexMap::new(),
        }
    }

    /// Returns the number of records that are not known to be written.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether all records are known to be written.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns when something is to be done next, in milliseconds.
    pub fn next_due_ms(&self) -> Option<u64> {
        self.records.values().map(|record| record.due_ms).min()
    }

    /// Adds records of streams that can be taken up for `ttl_ms`. Those of other gateways are written here. Returns the number of records
    /// that were lost, as there are too many: the oldest ones.
    pub fn add(
        &mut self,
        origins: impl IntoIterator<Item = Origin>,
        sender: Sender,
        ttl_ms: u64,
        now_ms: u64,
    ) -> usize {
        for origin in origins {
            let known = self.records.get_mut(&origin.stream);
            // A record that is sent again is not written at once again.
            if let Some(known) = known.filter(|known| known.origin == origin) {
                if sender != Sender::Own {
                    known.sender = sender;
                    known.is_written_here = true;
                }
                continue;
            }
            let record = Record {
                sender,
                end_ms: now_ms + ttl_ms,
                due_ms: now_ms,
                writers: Vec::new(),
                is_written_here: sender != Sender::Own,
                failures: 0,
                origin,
            };
            self.records.insert(record.origin.stream, record);
        }
        let excess = self.records.len().saturating_sub(self.settings.records_max);
        self.records.drain(..excess);
        excess
    }

    /// Records that a writer holds records and has yet to write them.
    pub fn note_held(&mut self, streams: &[u64], now_ms: u64) {
        for stream in streams {
            let record = self.records.get_mut(stream);
            if let Some(record) = record.filter(|record| !record.is_written_here) {
                record.due_ms = now_ms + self.settings.written_ms;
            }
        }
    }

    /// Records that streams have their records in the store. Returns which gateways are to be told of which streams.
    pub fn confirm(&mut self, streams: &[u64]) -> IndexMap<SocketAddr, Vec<u64>> {
        let mut senders: IndexMap<SocketAddr, Vec<u64>> = IndexMap::new();
        for stream in streams {
            let record = self.records.shift_remove(stream);
            if let Some(Sender::Confirmed(address)) = record.map(|record| record.sender) {
                senders.entry(address).or_default().push(*stream);
            }
        }
        senders
    }

    /// Records that a write of records has failed.
    pub fn postpone(&mut self, streams: &[u64], now_ms: u64) {
        let Settings {
            retry_ms, write_ms, ..
        } = self.settings;
        for stream in streams {
            if let Some(record) = self.records.get_mut(stream) {
                let delay_ms = retry_ms << record.failures.min(8);
                record.failures += 1;
                record.due_ms = now_ms + delay_ms.min(write_ms);
            }
        }
    }

    /// Returns what is to be done now, with at most `writes_max` records to write, and expects it to be done. `writers` are the gateways
    /// that come before this one in rank.
    pub fn take_due(&mut self, writers: &[Writer], writes_max: usize, now_ms: u64) -> Due {
        let settings = self.settings;
        let mut due = Due::default();
        self.records.retain(|_, record| {
            let is_expired = record.end_ms <= now_ms;
            due.expired += usize::from(is_expired);
            !is_expired && !is_taken_for_written(record, writers, now_ms)
        });
        for record in self.records.values_mut() {
            let last = record.writers.last();
            let is_orphan = last.is_some_and(|it| !is_in_rank(it, writers));
            if record.due_ms > now_ms && !is_orphan {
                continue;
            }
            match next_writer(record, writers, &settings) {
                Some(writer) => {
                    let sent = due.sent.entry(writer.name.clone()).or_default();
                    sent.push(record.origin.clone());
                    record.due_ms = now_ms
                        + match writer.confirms {
                            true => settings.held_ms,
                            false => settings.unconfirmed_ms,
                        };
                    record.writers.push(writer.clone());
                }
                None if due.written.len() < writes_max => {
                    due.written.push(record.origin.clone());
                    record.writers.clear();
                    record.is_written_here = true;
                    record.due_ms = now_ms + settings.write_ms;
                }
                None => {}
            }
        }
        due
    }
}

/// Returns whether the last writer that got a record confirms none and has lived on for long enough.
fn is_taken_for_written(record: &Record, writers: &[Writer], now_ms: u64) -> bool {
    let last = record.writers.last();
    let is_unconfirmed = last.is_some_and(|it| !it.confirms && is_in_rank(it, writers));
    is_unconfirmed && record.due_ms <= now_ms
}

fn is_in_rank(writer: &Writer, writers: &[Writer]) -> bool {
    writers.iter().any(|it| it.name == writer.name)
}

/// Returns the writer that gets a record next; `None` if this gateway writes it.
fn next_writer<'a>(
    record: &Record,
    writers: &'a [Writer],
    settings: &Settings,
) -> Option<&'a Writer> {
    if record.is_written_here || record.writers.len() >= settings.writers_max {
        return None;
    }
    let is_new = |writer: &&Writer| record.writers.iter().all(|it| it.name != writer.name);
    writers.iter().find(is_new)
}
