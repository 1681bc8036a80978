//! The common error type of this program, and the exit statuses.

use sardinemux_core::config::{ChangeId, Version};
use sardinemux_wire::caller::ErrorDetail;
use snafu::Snafu;

/// The result of an operation that may fail with an [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Every way in which a command can fail.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The asynchronous runtime cannot be built.
    #[snafu(display("cannot build the asynchronous runtime: {source}"))]
    Runtime {
        /// The cause.
        source: std::io::Error,
    },
    /// A file cannot be read.
    #[snafu(display("cannot read {file}: {source}"))]
    UnreadableFile {
        /// The path of the file.
        file: String,
        /// The cause.
        source: std::io::Error,
    },
    /// A file or a response cannot be decoded.
    #[snafu(display("cannot decode {what}: {source}"))]
    Malformed {
        /// The file, or the name of what was decoded.
        what: String,
        /// The cause.
        source: serde_json::Error,
    },
    /// A desired state has errors.
    #[snafu(display("the desired state has {count} errors"))]
    Findings {
        /// The number of errors.
        count: usize,
    },
    /// The platform's store cannot be read.
    #[snafu(display("cannot read the store: {source}"))]
    Store {
        /// The cause.
        source: sardinemux_gateway::source::Error,
    },
    /// The platform's store holds no desired state that can be decoded.
    #[snafu(display("the store at {address} holds no desired state that can be decoded"))]
    MissingState {
        /// The address of the store.
        address: std::net::SocketAddr,
    },
    /// An argument has a value that is not allowed.
    #[snafu(display("invalid value {value:?} of the argument {name}; allowed: {allowed}"))]
    InvalidArgument {
        /// The name of the argument.
        name: &'static str,
        /// The value.
        value: String,
        /// The allowed values.
        allowed: String,
    },
    /// The HTTP client cannot be built, or a request to the administration API got no complete response.
    #[snafu(display("the request to the administration API failed: {source}"))]
    Transport {
        /// The cause.
        source: reqwest::Error,
    },
    /// The administration API responded with an error.
    #[snafu(display("the administration API responded with status {status}: {}", detail.message))]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The error in the response.
        detail: Box<ErrorDetail>,
    },
    /// The changes were not accepted, usually because another entry took their version.
    #[snafu(display("the changes were not accepted: {conflict}"))]
    NotAccepted {
        /// A description of the other entry.
        conflict: String,
    },
    /// It is not known yet whether the changes were accepted.
    #[snafu(display(
        "the result is not known yet; query it with: sardinemux-ctl change {id} --attempted {attempted}"
    ))]
    Unknown {
        /// The id of the submission.
        id: ChangeId,
        /// The version at which the changes were attempted.
        attempted: Version,
    },
    /// Not every router applied the version within the time of `--wait`.
    #[snafu(display("the wait ended before these routers applied version {version}: {lagging}"))]
    Lagging {
        /// The version of the changes.
        version: Version,
        /// The ids of the routers that do not apply it yet, separated by commas.
        lagging: String,
    },
}

impl Error {
    /// Returns the exit status: 2 for an invalid argument, an unreadable file, or a file or response that cannot be
    /// decoded; 3 for an error of the API or changes that were not accepted; 4 for a result that is not known yet; 5
    /// for routers that do not apply the version in time; 1 for the rest, a desired state with errors among them.
    pub fn exit_status(&self) -> u8 {
        match self {
            Self::InvalidArgument { .. } | Self::UnreadableFile { .. } | Self::Malformed { .. } => {
                2
            }
            Self::Refused { .. } | Self::NotAccepted { .. } => 3,
            Self::Unknown { .. } => 4,
            Self::Lagging { .. } => 5,
            Self::Runtime { .. }
            | Self::Transport { .. }
            | Self::Store { .. }
            | Self::MissingState { .. }
            | Self::Findings { .. } => 1,
        }
    }
}
