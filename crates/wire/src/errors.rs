//! The common error type of this crate.

use snafu::Snafu;

/// The result of an operation that may fail with an [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Every way in which a message can fail to be encoded or decoded.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A message cannot be encoded.
    #[snafu(display("cannot encode a message as MessagePack: {source}"))]
    Encode {
        /// The cause.
        source: rmp_serde::encode::Error,
    },
    /// The bytes are not a message of the expected type.
    #[snafu(display("cannot decode a message of {length} bytes: {source}"))]
    Decode {
        /// The length of the input, in bytes.
        length: usize,
        /// The cause.
        source: rmp_serde::decode::Error,
    },
    /// A message is longer than the limit, or states such a length.
    #[snafu(display("a message of {length} bytes exceeds the limit of {limit} bytes"))]
    TooLarge {
        /// The length of the message, in bytes.
        length: usize,
        /// The limit, in bytes.
        limit: usize,
    },
    /// The body of a caller's request is not valid JSON or lacks a field.
    #[snafu(display("the body is malformed: {source}"))]
    Body {
        /// The cause.
        source: serde_json::Error,
    },
}
