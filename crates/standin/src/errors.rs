//! The common error type of this crate.

use snafu::Snafu;

/// The result of an operation that may fail with an [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Every way in which a stand-in can fail to start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A basic service of the program failed.
    #[snafu(display("{source}"), context(false))]
    Host {
        /// The cause.
        source: sardinemux_host::errors::Error,
    },
    /// A port cannot be listened on.
    #[snafu(display("{address} cannot be listened on: {source}"))]
    Listen {
        /// The address.
        address: String,
        /// The cause.
        source: std::io::Error,
    },
    /// An argument is malformed.
    #[snafu(display("{name}: {value} is malformed; {allowed}"))]
    Argument {
        /// The argument.
        name: &'static str,
        /// The value.
        value: String,
        /// What is allowed.
        allowed: &'static str,
    },
}
