//! The common error type of this crate.

use smol_str::SmolStr;
use snafu::Snafu;

use crate::config::Version;

/// The result of an operation that may fail with an [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Every way in which an operation of this crate can fail. An operation that fails changes nothing.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The version of a log entry does not directly follow that of the configuration.
    #[snafu(display("entry {found} does not follow version {held}"))]
    OutOfOrder {
        /// The version of the configuration.
        held: Version,
        /// The version of the entry.
        found: Version,
    },
    /// The key was changed after the caller had read it.
    #[snafu(display("{key} was changed at version {found}, not at {expected}"))]
    Conflict {
        /// The key of the change.
        key: SmolStr,
        /// The version of the key that the caller had read; 0 if never changed.
        expected: Version,
        /// The version at which the key was last changed; 0 if never.
        found: Version,
    },
    /// A value lies outside its allowed range.
    #[snafu(display("{name} is {value}; it must lie between {least} and {most}"))]
    Range {
        /// The name of the value.
        name: SmolStr,
        /// The value.
        value: f64,
        /// The smallest allowed value.
        least: f64,
        /// The largest allowed value.
        most: f64,
    },
    /// A required text or list is empty.
    #[snafu(display("{name} must not be empty"))]
    Empty {
        /// The name of the field that is empty.
        name: SmolStr,
    },
    /// The change would exceed the greatest number of exceptions.
    #[snafu(display("there are {limit} exceptions already, which is the cap"))]
    TooMany {
        /// The greatest number of exceptions.
        limit: usize,
    },
    /// The configuration has no object of this kind and name.
    #[snafu(display("there is no {kind} {name}"))]
    Unknown {
        /// The kind of the object.
        kind: SmolStr,
        /// The name of the object.
        name: SmolStr,
    },
    /// The operator may not make this change.
    #[snafu(display("{operator} may not change {key}"))]
    Forbidden {
        /// The name of the operator.
        operator: SmolStr,
        /// The key of the change.
        key: SmolStr,
    },
    /// A part of a streamed answer leaves a gap after the part before, or overlaps with it.
    #[snafu(display("the next part should start at offset {expected}, but starts at {found}"))]
    Sequence {
        /// The offset at which the next part must start, in the units of the stream.
        expected: u64,
        /// The offset at which the received part starts.
        found: u64,
    },
    /// A part of a streamed answer carries the id of another request.
    #[snafu(display("received a part of another request's answer"))]
    RequestMismatch,
    /// The length of a streamed answer differs from the total that its end states.
    #[snafu(display("the stream ended after {found} units; its end states {expected}"))]
    LengthMismatch {
        /// The total that the end of the stream states.
        expected: u64,
        /// The length that was received.
        found: u64,
    },
    /// The data that is not yet split into events exceeds the largest size that is buffered.
    #[snafu(display("{found} bytes of unsplit events exceed the limit of {limit} bytes"))]
    Oversized {
        /// The largest size, in bytes.
        limit: u64,
        /// The size of the buffered data and the piece that was to be added, in bytes.
        found: u64,
    },
}
