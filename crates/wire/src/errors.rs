//! The common error type of this crate.

use snafu::Snafu;

/// The result of an operation that may fail with an [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Every way in which a message can fail to be read or written.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A message could not be encoded.
    #[snafu(display("a message could not be encoded"))]
    Encode {
        /// The cause.
        source: rmp_serde::encode::Error,
    },
    /// The bytes are not a message.
    #[snafu(display("{length} bytes are not a message"))]
    Decode {
        /// The number of bytes.
        length: usize,
        /// The cause.
        source: rmp_serde::decode::Error,
    },
    /// A message states a length over the limit.
    #[snafu(display("a message of {length} bytes is over the limit of {limit}"))]
    TooLarge {
        /// The stated length.
        length: usize,
        /// The limit.
        limit: usize,
    },
    /// A caller's body is not what it must be.
    #[snafu(display("the body is malformed: {source}"))]
    Body {
        /// The cause.
        source: serde_json::Error,
    },
}
