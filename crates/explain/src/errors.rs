//! The common error type of this crate.

use std::io;

use snafu::Snafu;

/// The result of an operation that may fail with an [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Every way in which a story cannot be told.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// A file cannot be read.
    #[snafu(display("{file} cannot be read: {source}"))]
    Read {
        /// The file.
        file: String,
        /// The cause.
        source: io::Error,
    },
    /// The story cannot be written.
    #[snafu(display("the story cannot be written: {source}"))]
    Write {
        /// The cause.
        source: io::Error,
    },
    /// No line is about the request.
    #[snafu(display("no line is about request {id}; it may not have reached a gateway, or its lines were left out"))]
    NotFound {
        /// The request.
        id: String,
    },
}
