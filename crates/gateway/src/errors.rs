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
    /// The settings are missing or invalid.
    #[snafu(display("{source}"), context(false))]
    Settings {
        /// The cause.
        source: sardinemux_host::errors::Error,
    },
    /// An address cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The handler of a signal cannot be installed.
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
    /// A connection cannot be established.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Connect {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// A connection was not established, or a response not received, within the time limit.
    #[snafu(display("{address} did not answer within {limit_ms} ms"))]
    Timeout {
        /// The address.
        address: SocketAddr,
        /// The time limit, in milliseconds.
        limit_ms: u64,
    },
    /// A connection failed during the handshake or an HTTP exchange.
    #[snafu(display("HTTP exchange with {address} failed: {source}"))]
    Exchange {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: hyper::Error,
    },
    /// The body of a response exceeds the limit.
    #[snafu(display("{address} sent a response body of more than {limit} bytes"))]
    Oversized {
        /// The address.
        address: SocketAddr,
        /// The largest accepted size, in bytes.
        limit: usize,
    },
    /// A message from another gateway cannot be decoded.
    #[snafu(display("cannot decode a message from {address}: {source}"))]
    Decode {
        /// The sender.
        address: SocketAddr,
        /// The cause.
        source: rmp_serde::decode::Error,
    },
    /// A compressed message from another gateway cannot be read.
    #[snafu(display("cannot decompress a message from {address}: {source}"))]
    Decompress {
        /// The sender.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// An answer of another gateway is that to another query.
    #[snafu(display("{address} sent the answer to another query"))]
    Mismatch {
        /// The sender.
        address: SocketAddr,
    },
    /// A message to another gateway cannot be encoded.
    #[snafu(display("cannot encode a message: {source}"))]
    Encode {
        /// The cause.
        source: rmp_serde::encode::Error,
    },
    /// A message to another gateway cannot be compressed.
    #[snafu(display("cannot compress a message: {source}"))]
    Compress {
        /// The cause.
        source: std::io::Error,
    },
    /// A request to another gateway cannot be built.
    #[snafu(display("cannot build a request: {source}"))]
    Build {
        /// The cause.
        source: hyper::http::Error,
    },
}
