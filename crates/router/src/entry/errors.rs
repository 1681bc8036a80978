//! Why a caller does not get an answer, and what became of the request.

use sardinemux_core::outcome::{Outcome, Reason};
use sardinemux_wire::caller::{ErrorBody, ErrorDetail, ErrorKind};
use smol_str::SmolStr;
use snafu::Snafu;

/// Why a caller does not get an answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Failure {
    /// The bearer key is missing or not known.
    #[snafu(display("the bearer key is missing or not known"))]
    Unauthorized,
    /// There is no such path.
    #[snafu(display("there is nothing at {path}"))]
    Path {
        /// The path.
        path: String,
    },
    /// The body is malformed.
    #[snafu(display("{source}"))]
    Body {
        /// The cause.
        source: sardinemux_wire::errors::Error,
    },
    /// The body could not be read.
    #[snafu(display("the body did not arrive whole"))]
    Unread,
    /// The chat has no messages.
    #[snafu(display("messages must not be empty"))]
    NoMessages,
    /// A header has a value that is not allowed.
    #[snafu(display("{name}: {value} is not allowed; {allowed}"))]
    Header {
        /// The header.
        name: &'static str,
        /// The value.
        value: String,
        /// What is allowed.
        allowed: &'static str,
    },
    /// The body is too large.
    #[snafu(display("the body is over {limit} bytes"))]
    TooLarge {
        /// The limit.
        limit: u64,
    },
    /// There is no such model or service.
    #[snafu(display("there is no {kind} {name}"))]
    NoPool {
        /// `model` or `service`.
        kind: &'static str,
        /// The name.
        name: SmolStr,
    },
    /// The organisation, or the entry as a whole, is over its bound.
    #[snafu(display("too many requests are running; come back in {retry_after_ms} ms"))]
    Busy {
        /// When to come back.
        retry_after_ms: u64,
    },
    /// The request was given up.
    #[snafu(display("the request was given up: {}", reason.name()))]
    GivenUp {
        /// Whether it may have run.
        outcome: Outcome,
        /// Why.
        reason: Reason,
        /// When to come back.
        retry_after_ms: u64,
    },
    /// The idempotency key was used for another request.
    #[snafu(display("the idempotency key was used for another request"))]
    KeyReused,
    /// A request with this idempotency key is running.
    #[snafu(display("a request with this idempotency key is running"))]
    StillRunning,
    /// A request with this idempotency key may or may not have run.
    #[snafu(display("an earlier request with this idempotency key may or may not have run"))]
    EarlierUnknown,
}

/// When to come back after "still running", in milliseconds.
const STILL_RUNNING_MS: u64 = 1_000;

/// When to come back to a router that has just started or is cut off, in milliseconds.
const NOT_READY_MS: u64 = 1_000;

impl Failure {
    /// Returns the failure of a router that cannot serve.
    pub fn not_ready() -> Self {
        Self::GivenUp {
            outcome: Outcome::NotRun,
            reason: Reason::NotReady,
            retry_after_ms: NOT_READY_MS,
        }
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> u16 {
        match self {
            Self::Unauthorized => 401,
            Self::Path { .. } | Self::NoPool { .. } => 404,
            Self::Body { .. } | Self::Unread | Self::NoMessages | Self::Header { .. } => 400,
            Self::TooLarge { .. } => 413,
            Self::Busy { .. } => 429,
            Self::GivenUp { outcome, .. } => match outcome {
                Outcome::NotRun => 503,
                _ => 502,
            },
            Self::KeyReused => 422,
            Self::StillRunning | Self::EarlierUnknown => 409,
        }
    }

    /// Returns whether the request may have run.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::GivenUp { outcome, .. } => *outcome,
            Self::StillRunning | Self::EarlierUnknown => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    /// Returns when the caller may come back, in milliseconds.
    pub fn retry_after_ms(&self) -> Option<u64> {
        match self {
            Self::Busy { retry_after_ms } | Self::GivenUp { retry_after_ms, .. } => {
                Some(*retry_after_ms)
            }
            Self::StillRunning => Some(STILL_RUNNING_MS),
            _ => None,
        }
    }

    fn kind(&self) -> ErrorKind {
        match self {
            Self::Unauthorized => ErrorKind::Unauthorized,
            Self::Path { .. } | Self::NoPool { .. } => ErrorKind::NotFound,
            Self::Body { .. } | Self::Unread | Self::NoMessages | Self::Header { .. } => {
                ErrorKind::Malformed
            }
            Self::TooLarge { .. } => ErrorKind::TooLarge,
            Self::Busy { .. } => ErrorKind::TooMany,
            Self::GivenUp { outcome, .. } => match outcome {
                Outcome::NotRun => ErrorKind::Unavailable,
                _ => ErrorKind::TargetFailed,
            },
            Self::KeyReused => ErrorKind::KeyReused,
            Self::StillRunning => ErrorKind::StillRunning,
            Self::EarlierUnknown => ErrorKind::OutcomeUnknown,
        }
    }

    /// Returns the body that the caller is sent.
    pub fn body(&self) -> ErrorBody {
        let reason = match self {
            Self::GivenUp { reason, .. } => Some(*reason),
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
