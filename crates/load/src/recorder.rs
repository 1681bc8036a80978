//! What callers have seen, counted.

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use parking_lot::Mutex;
use snafu::ResultExt;

use crate::errors::{HistogramSnafu, Result};
use crate::profile::Kind;

/// The longest time that is recorded, in microseconds.
const DURATION_MAX_US: u64 = 600_000_000;

/// How a request ended, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The whole and right answer.
    Completed,
    /// Refused, and said not to have run.
    NotRun,
    /// Given up, and said that it may have run.
    Unknown,
    /// An answer that ended short without saying so, or with the wrong content.
    CutOrWrong,
    /// The connection to the entry failed.
    TransportError,
}

/// The last word on an operation that must not repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// How its last request ended.
    pub status: Status,
    /// Whether an earlier request of it may have run.
    pub may_have_run: bool,
}

/// Counts that are added up over all sessions.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Requests that were sent.
    pub sent: u64,
    /// Requests with a whole and right answer.
    pub completed: u64,
    /// The same, weighted by kind.
    pub completed_weighted: u64,
    /// Requests that were refused and said not to have run.
    pub refused_not_run: u64,
    /// Requests that were given up and may have run.
    pub refused_unknown: u64,
    /// Answers that were cut without a word, or wrong.
    pub cut_or_wrong: u64,
    /// Requests whose connection to the entry failed.
    pub transport_errors: u64,
    /// Tokens of the prompts of completed chats.
    pub prompt_tokens: u64,
    /// Tokens of those that were cached.
    pub cached_tokens: u64,
    /// Operations that must not repeat, by name.
    pub operations: IndexMap<String, Observation>,
    /// Requests that were refused or given up, by reason.
    pub refusals: IndexMap<String, u64>,
    /// Completed requests by kind.
    pub completed_by_kind: IndexMap<&'static str, u64>,
}

/// What callers have seen, counted.
pub struct Recorder {
    /// The counts.
    pub counts: Mutex<Counts>,
    /// The time to the first token of chats, in microseconds.
    pub ttft_us: Mutex<Histogram<u64>>,
    /// The same for organisations other than the largest, while it surges.
    pub others_ttft_in_surge_us: Mutex<Histogram<u64>>,
    /// The same, while it does not.
    pub others_ttft_outside_surge_us: Mutex<Histogram<u64>>,
    /// The time between tokens, in microseconds.
    pub itl_us: Mutex<Histogram<u64>>,
}

fn create_histogram() -> Result<Mutex<Histogram<u64>>> {
    let histogram = Histogram::new_with_bounds(1, DURATION_MAX_US, 3).context(HistogramSnafu)?;
    Ok(Mutex::new(histogram))
}

impl Recorder {
    /// Creates an empty tally.
    ///
    /// # Errors
    ///
    /// `Error::Histogram` if a histogram cannot be made.
    pub fn new() -> Result<Self> {
        Ok(Self {
            counts: Mutex::default(),
            ttft_us: create_histogram()?,
            others_ttft_in_surge_us: create_histogram()?,
            others_ttft_outside_surge_us: create_histogram()?,
            itl_us: create_histogram()?,
        })
    }

    /// Notes a request that is being sent.
    pub fn record_sent(&self) {
        self.counts.lock().sent += 1;
    }

    /// Notes the last word on an operation that must not repeat.
    pub fn record_operation(&self, operation: String, observation: Observation) {
        self.counts.lock().operations.insert(operation, observation);
    }

    /// Notes why a request was refused or given up.
    pub fn record_refusal(&self, reason: &str) {
        let mut counts = self.counts.lock();
        *counts.refusals.entry(reason.to_owned()).or_default() += 1;
    }

    /// Notes how a request ended.
    pub fn record_status(&self, kind: &Kind, status: Status) {
        let mut counts = self.counts.lock();
        match status {
            Status::Completed => {
                counts.completed += 1;
                counts.completed_weighted += kind.weight;
                *counts.completed_by_kind.entry(kind.name).or_default() += 1;
            }
            Status::NotRun => counts.refused_not_run += 1,
            Status::Unknown => counts.refused_unknown += 1,
            Status::CutOrWrong => counts.cut_or_wrong += 1,
            Status::TransportError => counts.transport_errors += 1,
        }
    }
}

/// Records a time; one that is longer than the histogram's bound counts as the bound.
pub fn record_duration(histogram: &Mutex<Histogram<u64>>, microseconds: u128) {
    histogram.lock().saturating_record(microseconds as u64);
}
