//! The failures that callers receive, with their HTTP status, error kind and request outcome.

use sardinemux_core::outcome::{Outcome, Reason};
use sardinemux_wire::caller::{ErrorBody, ErrorDetail, ErrorKind};
use smol_str::SmolStr;
use snafu::Snafu;

/// Why a request of a caller is not answered. The display text is the message in the response body.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Failure {
    /// The bearer key is missing or belongs to no organisation.
    #[snafu(display("the bearer key is missing or not known"))]
    Unauthorized,
    /// No route serves the path.
    #[snafu(display("there is nothing at {path}"))]
    UnknownPath {
        /// The path.
        path: String,
    },
    /// The body of a chat request cannot be parsed.
    #[snafu(display("{source}"))]
    MalformedBody {
        /// The parser error.
        source: sardinemux_wire::errors::Error,
    },
    /// The body could not be read, or did not arrive completely within the timeout.
    #[snafu(display("the body did not arrive whole"))]
    IncompleteBody,
    /// The message list of a chat request is empty.
    #[snafu(display("messages must not be empty"))]
    NoMessages,
    /// A header has a value that is not allowed, or is not allowed at all on this path.
    #[snafu(display("{name}: {value} is not allowed; {allowed}"))]
    InvalidHeader {
        /// The name of the header.
        name: &'static str,
        /// The received value; a long one may be truncated.
        value: String,
        /// The rule that the value breaks, as shown in the message.
        allowed: &'static str,
    },
    /// The body exceeds the size limit.
    #[snafu(display("the body is over {limit} bytes"))]
    BodyTooLarge {
        /// The limit in bytes.
        limit: u64,
    },
    /// No target serves a model or service of this name.
    #[snafu(display("there is no {kind} {name}"))]
    UnknownPool {
        /// The kind of the pool: `model` or `service`.
        kind: &'static str,
        /// The requested name.
        name: SmolStr,
    },
    /// The organisation, or the entry as a whole, has reached its limit on concurrent requests.
    #[snafu(display("too many requests are running; come back in {retry_after_ms} ms"))]
    Busy {
        /// The delay after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The request was not completed, and no further attempt is made.
    #[snafu(display("the request was given up: {}", reason.name()))]
    NotCompleted {
        /// Whether the request may have run.
        outcome: Outcome,
        /// The reason of the last attempt, or why there was none.
        reason: Reason,
        /// The delay after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The idempotency key was used for another request.
    #[snafu(display("the idempotency key was used for another request"))]
    KeyReused,
    /// An earlier request with this idempotency key is still running.
    #[snafu(display("a request with this idempotency key is running"))]
    StillRunning,
    /// An earlier request with this idempotency key may or may not have run, which cannot be determined any more.
    #[snafu(display("an earlier request with this idempotency key may or may not have run"))]
    OutcomeUnknown,
}

/// The retry delay for [`Failure::StillRunning`], in milliseconds.
const STILL_RUNNING_RETRY_MS: u64 = 1_000;

/// The retry delay for a router that has just started or is cut off, in milliseconds.
const NOT_READY_RETRY_MS: u64 = 1_000;

impl Failure {
    /// Returns the failure of a router that cannot serve callers; the request was not dispatched.
    pub fn not_ready() -> Self {
        Self::NotCompleted {
            outcome: Outcome::NotRun,
            reason: Reason::NotReady,
            retry_after_ms: NOT_READY_RETRY_MS,
        }
    }

    /// Returns the HTTP status of the response.
    pub fn status(&self) -> u16 {
        match self {
            Self::Unauthorized => 401,
            Self::UnknownPath { .. } | Self::UnknownPool { .. } => 404,
            Self::MalformedBody { .. }
            | Self::IncompleteBody
            | Self::NoMessages
            | Self::InvalidHeader { .. } => 400,
            Self::BodyTooLarge { .. } => 413,
            Self::Busy { .. } => 429,
            Self::NotCompleted { outcome, .. } => match outcome {
                Outcome::NotRun => 503,
                _ => 502,
            },
            Self::KeyReused => 422,
            Self::StillRunning | Self::OutcomeUnknown => 409,
        }
    }

    /// Returns the outcome that the caller is told: the request did not run, or may have run.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::NotCompleted { outcome, .. } => *outcome,
            Self::StillRunning | Self::OutcomeUnknown => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    /// Returns the delay after which the caller may retry, in milliseconds; nothing if no delay is suggested.
    pub fn retry_after_ms(&self) -> Option<u64> {
        match self {
            Self::Busy { retry_after_ms } | Self::NotCompleted { retry_after_ms, .. } => {
                Some(*retry_after_ms)
            }
            Self::StillRunning => Some(STILL_RUNNING_RETRY_MS),
            _ => None,
        }
    }

    fn kind(&self) -> ErrorKind {
        match self {
            Self::Unauthorized => ErrorKind::Unauthorized,
            Self::UnknownPath { .. } | Self::UnknownPool { .. } => ErrorKind::NotFound,
            Self::MalformedBody { .. }
            | Self::IncompleteBody
            | Self::NoMessages
            | Self::InvalidHeader { .. } => ErrorKind::Malformed,
            Self::BodyTooLarge { .. } => ErrorKind::TooLarge,
            Self::Busy { .. } => ErrorKind::TooMany,
            Self::NotCompleted { outcome, .. } => match outcome {
                Outcome::NotRun => ErrorKind::Unavailable,
                _ => ErrorKind::TargetFailed,
            },
            Self::KeyReused => ErrorKind::KeyReused,
            Self::StillRunning => ErrorKind::StillRunning,
            Self::OutcomeUnknown => ErrorKind::OutcomeUnknown,
        }
    }

    /// Returns the JSON body of the response.
    pub fn body(&self) -> ErrorBody {
        let reason = match self {
            Self::NotCompleted { reason, .. } => Some(*reason),
            Self::Busy { .. } => Some(Reason::Busy),
            _ => None,
        };
        ErrorBody {
            error: ErrorDetail {
                kind: self.kind(),
                message: self.to_string(),
                outcome: self.outcome(),
                reason,
                retry_after_ms: self.retry_after_ms(),
            },
        }
    }
}
