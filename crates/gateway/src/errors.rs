//! The common error type of this crate.

use std::io;
use std::net::SocketAddr;

use snafu::Snafu;

/// The result of an operation that may fail with an [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Every way in which the gateway can fail to start, or to reach another process.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A setting is wrong.
    #[snafu(display("{source}"), context(false))]
    Settings {
        /// The cause.
        source: sardinemux_host::errors::Error,
    },
    /// An address cannot be listened on.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// A signal cannot be received.
    #[snafu(display("cannot receive signals: {source}"))]
    Signal {
        /// The cause.
        source: io::Error,
    },
    /// A metric cannot be registered.
    #[snafu(display("cannot register a metric: {source}"))]
    Metric {
        /// The cause.
        source: prometheus::Error,
    },
    /// No connection was made.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Connect {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// A connection was not made, or a call not answered, in time.
    #[snafu(display("{address} did not answer within {limit_ms} ms"))]
    Timeout {
        /// The address.
        address: SocketAddr,
        /// The time limit, in milliseconds.
        limit_ms: u64,
    },
    /// An exchange broke off.
    #[snafu(display("the exchange with {address} broke off: {source}"))]
    Exchange {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: hyper::Error,
    },
    /// An answer is larger than what is taken.
    #[snafu(display("{address} answered with more than {limit} bytes"))]
    Oversized {
        /// The address.
        address: SocketAddr,
        /// The largest size, in bytes.
        limit: usize,
    },
    /// A message of another gateway cannot be read.
    #[snafu(display("a message from {address} cannot be read: {source}"))]
    Decode {
        /// The sender.
        address: SocketAddr,
        /// The cause.
        source: rmp_serde::decode::Error,
    },
    /// A message cannot be written.
    #[snafu(display("a message cannot be encoded: {source}"))]
    Encode {
        /// The cause.
        source: rmp_serde::encode::Error,
    },
    /// A request cannot be put together.
    #[snafu(display("a request cannot be put together: {source}"))]
    Build {
        /// The cause.
        source: hyper::http::Error,
    },
}
