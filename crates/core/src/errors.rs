//! The common error type of this crate.

use smol_str::SmolStr;
use snafu::Snafu;

use crate::config::Version;

/// The result of an operation that may fail with an [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Every way in which a command of this crate can fail. A command that fails changes nothing.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A log entry does not follow the version that is held.
    #[snafu(display("entry {found} does not follow version {held}"))]
    OutOfOrder {
        /// The version that is held.
        held: Version,
        /// The version of the entry.
        found: Version,
    },
    /// Another change of the same key was accepted first.
    #[snafu(display("{key} was changed at version {found}, not at {expected}"))]
    Conflict {
        /// The key that both changes name.
        key: SmolStr,
        /// The version that the caller had read.
        expected: Version,
        /// The version at which the key was last changed.
        found: Version,
    },
    /// A value lies outside its range.
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
    /// A name is empty or a reason is missing.
    #[snafu(display("{name} must not be empty"))]
    Empty {
        /// What is empty.
        name: SmolStr,
    },
    /// The list of exceptions is at its cap.
    #[snafu(display("there are {limit} exceptions already, which is the cap"))]
    TooMany {
        /// The cap.
        limit: usize,
    },
    /// A name is not known.
    #[snafu(display("there is no {kind} {name}"))]
    Unknown {
        /// The kind of thing that is named.
        kind: SmolStr,
        /// The name.
        name: SmolStr,
    },
    /// An operator may not make this change.
    #[snafu(display("{operator} may not change {key}"))]
    Forbidden {
        /// The operator.
        operator: SmolStr,
        /// The key of the change.
        key: SmolStr,
    },
    /// A frame is not the next one of its stream.
    #[snafu(display("expected frame {expected}, found {found}"))]
    Sequence {
        /// The sequence number or offset that was due.
        expected: u64,
        /// The one that came.
        found: u64,
    },
    /// A frame belongs to another request.
    #[snafu(display("a frame of another request arrived"))]
    RequestMismatch,
    /// A stream ended before its stated total.
    #[snafu(display("the stream ended at {found} of {expected}"))]
    Truncated {
        /// The total that the end mark states.
        expected: u64,
        /// What had arrived.
        found: u64,
    },
    /// A message is larger than what is put together.
    #[snafu(display("{found} bytes where at most {limit} are taken"))]
    Oversized {
        /// The largest size, in bytes.
        limit: u64,
        /// What had arrived, in bytes.
        found: u64,
    },
}
