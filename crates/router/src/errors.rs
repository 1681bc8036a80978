//! The common error type of this crate.

use snafu::Snafu;

/// The result of an operation that may fail with an [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Every way in which a router can fail to start, to reach a peer or the platform, or to apply its configuration.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// An HTTP client or server, the settings or another part of the host library failed.
    #[snafu(display("{source}"), context(false))]
    Host {
        /// The cause.
        source: sardinemux_host::errors::Error,
    },
    /// A request to the platform's services failed.
    #[snafu(display("{source}"), context(false))]
    Platform {
        /// The cause.
        source: sardinemux_platform::errors::Error,
    },
    /// A message cannot be encoded or decoded.
    #[snafu(display("{source}"), context(false))]
    Wire {
        /// The cause.
        source: sardinemux_wire::errors::Error,
    },
    /// A metric cannot be registered.
    #[snafu(display("cannot register a metric: {source}"), context(false))]
    Metric {
        /// The cause.
        source: prometheus::Error,
    },
    /// The handler of a termination signal cannot be installed.
    #[snafu(display("cannot install a signal handler: {source}"))]
    Signal {
        /// The cause.
        source: std::io::Error,
    },
    /// The request to a peer failed before its whole response was read.
    #[snafu(display("the request to the peer failed: {source}"))]
    Peer {
        /// The cause.
        source: reqwest::Error,
    },
    /// The answer of a peer broke off or is too long.
    #[snafu(display("cannot read the answer of a peer: {source}"))]
    Body {
        /// The cause.
        source: sardinemux_host::errors::Error,
    },
    /// A peer responded with an HTTP status other than success.
    #[snafu(display("the peer responded with HTTP status {status}"))]
    Status {
        /// The HTTP status code.
        status: u16,
    },
    /// A peer's response does not match the request that it was received for.
    #[snafu(display("the peer's response belongs to another request"))]
    Crossed,
    /// An entry of the configuration log cannot be applied.
    #[snafu(
        display("cannot apply an entry of the configuration log: {source}"),
        context(false)
    )]
    Config {
        /// The cause.
        source: sardinemux_core::errors::Error,
    },
}

impl Error {
    /// Returns whether the peer's host refused the connection, so that nothing was sent and no process listens at the
    /// peer's address.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Peer { source } if is_connection_refused(source))
    }
}

/// Returns whether an error or one of its sources is a refused connection.
fn is_connection_refused(error: &(dyn std::error::Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(error) = cause {
        let io = error.downcast_ref::<std::io::Error>();
        if io.is_some_and(|io| io.kind() == std::io::ErrorKind::ConnectionRefused) {
            return true;
        }
        cause = error.source();
    }
    false
}
