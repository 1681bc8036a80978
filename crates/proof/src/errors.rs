//! The common error type of this crate.

use snafu::Snafu;

/// The result of an operation that may fail with an [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Every way in which a trial can fail to run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A program cannot be started.
    #[snafu(display("{program} cannot be started: {source}"))]
    Start {
        /// The program.
        program: String,
        /// The cause.
        source: std::io::Error,
    },
    /// A file or socket failed.
    #[snafu(display("{what}: {source}"))]
    Io {
        /// What was being done.
        what: String,
        /// The cause.
        source: std::io::Error,
    },
    /// A process cannot be sent a signal.
    #[snafu(display("{name} cannot be sent a signal: {source}"))]
    Signal {
        /// The process.
        name: String,
        /// The cause.
        source: nix::errno::Errno,
    },
    /// Nothing runs under this name.
    #[snafu(display("nothing runs under the name {name}"))]
    NoProcess {
        /// The name.
        name: String,
    },
    /// A state was not reached in time.
    #[snafu(display("not reached in time: {state}"))]
    Late {
        /// The state.
        state: String,
    },
    /// A request cannot be put together.
    #[snafu(display("a request cannot be put together: {source}"))]
    Create {
        /// The cause.
        source: hyper::http::Error,
    },
    /// An exchange broke off.
    #[snafu(display("the exchange with {address} broke off: {source}"))]
    Exchange {
        /// The other end.
        address: std::net::SocketAddr,
        /// The cause.
        source: hyper::Error,
    },
    /// A call failed.
    #[snafu(display("{url} failed: {source}"))]
    Call {
        /// The address.
        url: String,
        /// The cause.
        source: reqwest::Error,
    },
    /// A call was refused.
    #[snafu(display("{url} answered {status}: {body}"))]
    Refused {
        /// The address.
        url: String,
        /// The HTTP status.
        status: u16,
        /// The body.
        body: String,
    },
    /// The load tool failed.
    #[snafu(display("{source}"), context(false))]
    Load {
        /// The cause.
        source: sardinemux_load::errors::Error,
    },
    /// A chart cannot be drawn.
    #[snafu(display("a chart cannot be drawn: {message}"))]
    Chart {
        /// What the library says.
        message: String,
    },
    /// An argument is not allowed.
    #[snafu(display("{name}: {value} is not allowed; allowed is {allowed}"))]
    Argument {
        /// The argument.
        name: &'static str,
        /// The value.
        value: String,
        /// What is allowed.
        allowed: String,
    },
}
