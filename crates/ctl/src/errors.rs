//! The common error type of this program, with its exit statuses.

use sardinemux_core::config::{ChangeId, Version};
use sardinemux_wire::caller::ErrorDetail;
use snafu::Snafu;

/// The result of an operation that may fail with an [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Every way in which a command can fail.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The runtime cannot be built.
    #[snafu(display("the runtime cannot be built: {source}"))]
    Runtime {
        /// The cause.
        source: std::io::Error,
    },
    /// A file cannot be read.
    #[snafu(display("{file}: cannot be read: {source}"))]
    UnreadableFile {
        /// The file.
        file: String,
        /// The cause.
        source: std::io::Error,
    },
    /// A file or an answer is not what it must be.
    #[snafu(display("{what} is malformed: {source}"))]
    Malformed {
        /// What was read.
        what: String,
        /// The cause.
        source: serde_json::Error,
    },
    /// An argument is not allowed.
    #[snafu(display("{name}: {value} is not allowed; allowed is {allowed}"))]
    InvalidArgument {
        /// The argument.
        name: &'static str,
        /// The value.
        value: String,
        /// What is allowed.
        allowed: String,
    },
    /// The administration API did not answer.
    #[snafu(display("the administration API did not answer: {source}"))]
    Transport {
        /// The cause.
        source: reqwest::Error,
    },
    /// The administration API refused; nothing was changed.
    #[snafu(display("refused ({status}): {}", detail.message))]
    Refused {
        /// The HTTP status.
        status: u16,
        /// What went wrong.
        detail: Box<ErrorDetail>,
    },
    /// Another change was accepted first.
    #[snafu(display("not accepted: {conflict}"))]
    NotAccepted {
        /// What is known of the other change.
        conflict: String,
    },
    /// It cannot be known yet whether the change was accepted.
    #[snafu(display(
        "not known yet; ask again: sardinemux-ctl change {id} --attempted {attempted}"
    ))]
    Unknown {
        /// The change.
        id: ChangeId,
        /// The version that it was written as.
        attempted: Version,
    },
    /// The change is not in force everywhere in time.
    #[snafu(display("version {version} is not in force on: {lagging}"))]
    Lagging {
        /// The version.
        version: Version,
        /// The routers that lag.
        lagging: String,
    },
}

impl Error {
    /// Returns the exit status: 2 for a wrong call, 3 for a refusal, 4 for "not known yet", 5 for
    /// routers that lag, 1 for the rest.
    pub fn exit_status(&self) -> u8 {
        match self {
            Self::InvalidArgument { .. } | Self::UnreadableFile { .. } | Self::Malformed { .. } => {
                2
            }
            Self::Refused { .. } | Self::NotAccepted { .. } => 3,
            Self::Unknown { .. } => 4,
            Self::Lagging { .. } => 5,
            Self::Runtime { .. } | Self::Transport { .. } => 1,
        }
    }
}
