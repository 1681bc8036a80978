//! The common error type of this crate, and its representation in a response.

use sardinemux_core::outcome::Outcome;
use sardinemux_host::reply::Reply;
use sardinemux_wire::caller::{ErrorBody, ErrorDetail, ErrorKind};
use snafu::Snafu;

/// The result of an operation that may fail with an [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Every way in which the program or a request of an operator can fail.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The settings, the HTTP client or the HTTP server failed.
    #[snafu(display("{source}"), context(false))]
    Host {
        /// The cause.
        source: sardinemux_host::errors::Error,
    },
    /// A call to the platform failed.
    #[snafu(display("{source}"), context(false))]
    Platform {
        /// The cause.
        source: sardinemux_platform::errors::Error,
    },
    /// A change is invalid, conflicts with the configuration or is not permitted to the operator; or an entry of the
    /// log cannot be applied.
    #[snafu(display("{source}"), context(false))]
    Change {
        /// The cause.
        source: sardinemux_core::errors::Error,
    },
    /// The request has no bearer token, or that of no operator.
    #[snafu(display("the operator's token is missing or not known"))]
    UnknownToken,
    /// The body of the request is not a submission in JSON.
    #[snafu(display("the body is malformed: {source}"))]
    MalformedBody {
        /// The cause.
        source: serde_json::Error,
    },
    /// The body of the request was interrupted or is too large.
    #[snafu(display("the body did not arrive whole, or is over {limit} bytes"))]
    IncompleteBody {
        /// The maximum length of a body, in bytes.
        limit: u64,
    },
    /// No route or object has the requested path.
    #[snafu(display("there is nothing at {path}"))]
    UnknownPath {
        /// The requested path.
        path: String,
    },
    /// The handler of the termination signal cannot be installed.
    #[snafu(display("cannot install the handler of the termination signal: {source}"))]
    Signal {
        /// The cause.
        source: std::io::Error,
    },
}

impl Error {
    /// Returns the HTTP status and the kind that the response states.
    fn status_and_kind(&self) -> (u16, ErrorKind) {
        use sardinemux_core::errors::Error as Core;
        match self {
            Self::Host { .. } | Self::Platform { .. } | Self::Signal { .. } => {
                (503, ErrorKind::Unavailable)
            }
            Self::UnknownToken => (401, ErrorKind::Unauthorized),
            Self::MalformedBody { .. } | Self::IncompleteBody { .. } => (400, ErrorKind::Malformed),
            Self::UnknownPath { .. } => (404, ErrorKind::NotFound),
            Self::Change { source } => match source {
                Core::Forbidden { .. } => (403, ErrorKind::Forbidden),
                Core::Conflict { .. } => (409, ErrorKind::Conflict),
                Core::Unknown { .. } => (404, ErrorKind::NotFound),
                _ => (422, ErrorKind::Invalid),
            },
        }
    }

    /// Builds the response to the operator. It always states that nothing was run, although a submission may already be
    /// accepted when a call to the platform fails.
    pub fn to_reply(&self) -> Reply {
        let (status, kind) = self.status_and_kind();
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
