//! The common error type of this crate.

use snafu::Snafu;

/// The result of an operation that may fail with an [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Every way in which a stand-in can fail to start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The HTTP server or another service of the host crate failed.
    #[snafu(display("{source}"), context(false))]
    Host {
        /// The cause.
        source: sardinemux_host::errors::Error,
    },
    /// A stand-in cannot listen on its address.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address to listen on.
        address: String,
        /// The cause.
        source: std::io::Error,
    },
    /// An argument of the command line is malformed.
    #[snafu(display("invalid value {value:?} for --{name}: expected {allowed}"))]
    Argument {
        /// The name of the argument, without the leading dashes.
        name: &'static str,
        /// The value.
        value: String,
        /// The allowed form.
        allowed: &'static str,
    },
}
