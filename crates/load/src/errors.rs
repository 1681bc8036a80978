//! The common error type of this crate.

use snafu::Snafu;

/// The result of an operation that may fail with an [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Every way in which a run can fail to start or its report fail to be written.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The HTTP client cannot be built.
    #[snafu(display("failed to build the HTTP client: {source}"))]
    Client {
        /// The cause.
        source: reqwest::Error,
    },
    /// No workload has this name.
    #[snafu(display("unknown workload {name}; expected couloir or lakeshore"))]
    Workload {
        /// The name that was looked up.
        name: String,
    },
    /// A histogram cannot be created.
    #[snafu(display("failed to create a histogram: {source}"))]
    Histogram {
        /// The cause.
        source: hdrhistogram::CreationError,
    },
    /// The report cannot be written to its file.
    #[snafu(display("failed to write the report to {file}: {source}"))]
    File {
        /// The path of the file.
        file: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The asynchronous runtime cannot be built.
    #[snafu(display("failed to build the asynchronous runtime: {source}"))]
    Runtime {
        /// The cause.
        source: std::io::Error,
    },
}
