//! The common error type of this crate.

use snafu::Snafu;

/// The result of an operation that may fail with an [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Every way in which a run can fail to start or to be written down.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The HTTP client cannot be built.
    #[snafu(display("the HTTP client cannot be built: {source}"))]
    Client {
        /// The cause.
        source: reqwest::Error,
    },
    /// There is no such workload.
    #[snafu(display("there is no workload {name}; allowed are couloir and lakeshore"))]
    Workload {
        /// The name.
        name: String,
    },
    /// A histogram cannot be made.
    #[snafu(display("a histogram cannot be made: {source}"))]
    Histogram {
        /// The cause.
        source: hdrhistogram::CreationError,
    },
    /// The report cannot be written.
    #[snafu(display("{file}: cannot be written: {source}"))]
    File {
        /// The file.
        file: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The runtime cannot be built.
    #[snafu(display("the runtime cannot be built: {source}"))]
    Runtime {
        /// The cause.
        source: std::io::Error,
    },
}
