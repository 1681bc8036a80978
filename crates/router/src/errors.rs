//! The common error type of this crate.

use snafu::Snafu;

/// The result of an operation that may fail with an [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Every way in which a router can fail to start or to reach a peer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A basic service of the program failed.
    #[snafu(display("{source}"), context(false))]
    Host {
        /// The cause.
        source: sardinemux_host::errors::Error,
    },
    /// The platform's store failed.
    #[snafu(display("{source}"), context(false))]
    Platform {
        /// The cause.
        source: sardinemux_platform::errors::Error,
    },
    /// A message cannot be read or written.
    #[snafu(display("{source}"), context(false))]
    Wire {
        /// The cause.
        source: sardinemux_wire::errors::Error,
    },
    /// A metric cannot be registered.
    #[snafu(display("a metric cannot be registered: {source}"), context(false))]
    Metric {
        /// The cause.
        source: prometheus::Error,
    },
    /// A signal handler cannot be set up.
    #[snafu(display("signals cannot be received: {source}"))]
    Signal {
        /// The cause.
        source: std::io::Error,
    },
    /// A peer did not answer.
    #[snafu(display("the peer did not answer: {source}"))]
    Peer {
        /// The cause.
        source: reqwest::Error,
    },
    /// A peer answered with an error.
    #[snafu(display("the peer answered {status}"))]
    Status {
        /// The HTTP status.
        status: u16,
    },
    /// A peer's answer belongs to another question.
    #[snafu(display("the answer belongs to another question"))]
    Crossed,
    /// An entry of the configuration log cannot be applied.
    #[snafu(
        display("the configuration cannot be applied: {source}"),
        context(false)
    )]
    Config {
        /// The cause.
        source: sardinemux_core::errors::Error,
    },
}

impl Error {
    /// Returns whether the peer's instance refused the connection, so that nothing was sent.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Peer { source } if is_connection_refused(source))
    }
}

/// Returns whether the cause of an error is a refused connection: no process listens there.
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
