//! The common error type of this crate.

use std::io;

use snafu::Snafu;

/// The result of an operation that may fail with an [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Every way in which printing the timeline of a request can fail.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// A file cannot be read.
    #[snafu(display("{file} cannot be read: {source}"))]
    Read {
        /// The path of the file, or `-` for standard input.
        file: String,
        /// The cause.
        source: io::Error,
    },
    /// The timeline cannot be written to standard output.
    #[snafu(display("the timeline cannot be written: {source}"))]
    Write {
        /// The cause.
        source: io::Error,
    },
    /// No log line names the request.
    #[snafu(display("no log line is about request {id}; perhaps it reached no gateway, or its lines were left out"))]
    NotFound {
        /// The id of the request.
        id: String,
    },
}
