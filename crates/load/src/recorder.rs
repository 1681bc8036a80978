//! The counts and latency histograms of a run, as observed by its callers.

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use parking_lot::Mutex;
use snafu::ResultExt;

use crate::errors::{HistogramSnafu, Result};
use crate::profile::Kind;

/// The longest duration that a histogram records, in microseconds.
const DURATION_MAX_US: u64 = 600_000_000;

/// The final status of a request, as its caller observes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The answer was complete and correct.
    Completed,
    /// The request was refused with the outcome "not run".
    NotRun,
    /// The request failed or timed out, so that it may have run.
    Unknown,
    /// The answer ended early without reporting an error, or its content was wrong.
    CutOrWrong,
    /// The connection to the entry failed on sending, or while the answer to a chat was streamed.
    TransportError,
}

/// What the caller of an operation that must not run twice has been told about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The status of its last request.
    pub status: Status,
    /// Whether one of its requests may have run. It is kept only for operations with an idempotency key.
    pub may_have_run: bool,
}

/// The counts over all sessions.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Requests that were sent.
    pub sent: u64,
    /// Requests with a complete and correct answer.
    pub completed: u64,
    /// The sum of the weights of these requests, by their kinds.
    pub completed_weighted: u64,
    /// Requests that were refused with the outcome "not run".
    pub refused_not_run: u64,
    /// Requests that failed or timed out and may have run.
    pub refused_unknown: u64,
    /// Answers that ended early without reporting an error, or whose content was wrong.
    pub cut_or_wrong: u64,
    /// Requests whose connection to the entry failed.
    pub transport_errors: u64,
    /// Prompt tokens of the chats whose answer reported its usage.
    pub prompt_tokens: u64,
    /// The prompt tokens among these that were served from a prefix cache.
    pub cached_tokens: u64,
    /// Operations that must not run twice, by their identifier.
    pub operations: IndexMap<String, Observation>,
    /// Requests that were answered with an error, by its reason, or by its message where it states none.
    pub refusals: IndexMap<String, u64>,
    /// Completed requests, by the name of their kind.
    pub completed_by_kind: IndexMap<&'static str, u64>,
}

/// Collects the counts and latencies that callers observe.
pub struct Recorder {
    /// The counts.
    pub counts: Mutex<Counts>,
    /// The time to first token of all chat turns, in microseconds.
    pub ttft_us: Mutex<Histogram<u64>>,
    /// The time to first token of the other organisations for turns sent during the surge.
    pub others_ttft_in_surge_us: Mutex<Histogram<u64>>,
    /// The time to first token of the other organisations for turns sent before or after the surge.
    pub others_ttft_outside_surge_us: Mutex<Histogram<u64>>,
    /// The inter-token latency, in microseconds.
    pub itl_us: Mutex<Histogram<u64>>,
}

fn create_histogram() -> Result<Mutex<Histogram<u64>>> {
    let histogram = Histogram::new_with_bounds(1, DURATION_MAX_US, 3).context(HistogramSnafu)?;
    Ok(Mutex::new(histogram))
}

impl Recorder {
    /// Creates a recorder without counts.
    ///
    /// # Errors
    ///
    /// `Error::Histogram` if a histogram cannot be created.
    pub fn new() -> Result<Self> {
        Ok(Self {
            counts: Mutex::default(),
            ttft_us: create_histogram()?,
            others_ttft_in_surge_us: create_histogram()?,
            others_ttft_outside_surge_us: create_histogram()?,
            itl_us: create_histogram()?,
        })
    }

    /// Counts a request that is about to be sent.
    pub fn record_sent(&self) {
        self.counts.lock().sent += 1;
    }

    /// Stores the final observation of an operation that must not run twice.
    pub fn record_operation(&self, operation: String, observation: Observation) {
        self.counts.lock().operations.insert(operation, observation);
    }

    /// Counts a request that was answered with an error under the reason of the error.
    pub fn record_refusal(&self, reason: &str) {
        let mut counts = self.counts.lock();
        *counts.refusals.entry(reason.to_owned()).or_default() += 1;
    }

    /// Counts a finished request under its status.
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

/// Records a duration. One that exceeds the range of the histogram is recorded as its upper bound.
pub fn record_duration(histogram: &Mutex<Histogram<u64>>, microseconds: u128) {
    histogram.lock().saturating_record(microseconds as u64);
}
