//! The common error type of this crate, and how an operator is told.

use sardinemux_core::outcome::Outcome;
use sardinemux_host::reply::Reply;
use sardinemux_wire::caller::{ErrorBody, ErrorDetail, ErrorKind};
use snafu::Snafu;

/// The result of an operation that may fail with an [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Every way in which an operator's request can fail; nothing was changed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A basic service of the program failed.
    #[snafu(display("{source}"), context(false))]
    Host {
        /// The cause.
        source: sardinemux_host::errors::Error,
    },
    /// The platform's store failed.
    #[snafu(display("{source}"), context(false))]
    Platform {
        /// The cause.
        source: sardinemux_platform::errors::Error,
    },
    /// A change is not valid or not allowed.
    #[snafu(display("{source}"), context(false))]
    Change {
        /// The cause.
        source: sardinemux_core::errors::Error,
    },
    /// The token is missing or not known.
    #[snafu(display("the operator's token is missing or not known"))]
    Token,
    /// The body is malformed.
    #[snafu(display("the body is malformed: {source}"))]
    Body {
        /// The cause.
        source: serde_json::Error,
    },
    /// The body did not arrive whole.
    #[snafu(display("the body did not arrive whole, or is over {limit} bytes"))]
    Unread {
        /// The limit.
        limit: u64,
    },
    /// There is no such path.
    #[snafu(display("there is nothing at {path}"))]
    Path {
        /// The path.
        path: String,
    },
    /// Signals cannot be received.
    #[snafu(display("signals cannot be received: {source}"))]
    Signal {
        /// The cause.
        source: std::io::Error,
    },
}

impl Error {
    fn kind(&self) -> (u16, ErrorKind) {
        use sardinemux_core::errors::Error as Core;
        match self {
            Self::Host { .. } | Self::Platform { .. } | Self::Signal { .. } => {
                (503, ErrorKind::Unavailable)
            }
            Self::Token => (401, ErrorKind::Unauthorized),
            Self::Body { .. } | Self::Unread { .. } => (400, ErrorKind::Malformed),
            Self::Path { .. } => (404, ErrorKind::NotFound),
            Self::Change { source } => match source {
                Core::Forbidden { .. } => (403, ErrorKind::Forbidden),
                Core::Conflict { .. } => (409, ErrorKind::Conflict),
                Core::Unknown { .. } => (404, ErrorKind::NotFound),
                _ => (422, ErrorKind::Invalid),
            },
        }
    }

    /// Returns what the operator is told.
    pub fn reply(&self) -> Reply {
        let (status, kind) = self.kind();
        let body = ErrorBody {
            error: ErrorDetail {
                kind,
                message: self.to_string(),
                outcome: Outcome::NotRun,
                reason: None,
                retry_after_ms: None,
            },
        };
        Reply::json(status, &body)
    }
}
