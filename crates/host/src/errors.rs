//! The common error type of this crate.

use snafu::Snafu;

/// The result of an operation that may fail with an [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Every way in which a program can fail to start, or to reach another one.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The settings file cannot be read as INI.
    #[snafu(display("{file}: cannot be read: {source}"))]
    File {
        /// The file.
        file: Box<str>,
        /// The cause.
        source: ini::Error,
    },
    /// The settings file names a section that does not exist.
    #[snafu(display("{file}: there is no section [{section}]; allowed are {allowed}"))]
    Section {
        /// The file.
        file: Box<str>,
        /// The section.
        section: Box<str>,
        /// The sections that exist.
        allowed: Box<str>,
    },
    /// The settings file names a key that does not exist.
    #[snafu(display(
        "{file}: [{section}] has no key {key} (value {value}); allowed are {allowed}"
    ))]
    Key {
        /// The file.
        file: Box<str>,
        /// The section.
        section: Box<str>,
        /// The key.
        key: Box<str>,
        /// The value.
        value: Box<str>,
        /// The keys of the section.
        allowed: Box<str>,
    },
    /// A value has the wrong form, unit or range.
    #[snafu(display("{file}: [{section}] {key} = {value}; allowed is {allowed}"))]
    Value {
        /// The file.
        file: Box<str>,
        /// The section.
        section: Box<str>,
        /// The key.
        key: Box<str>,
        /// The value.
        value: Box<str>,
        /// What is allowed.
        allowed: Box<str>,
    },
    /// A key without a default is missing.
    #[snafu(display("{file}: [{section}] {key} is missing; allowed is {allowed}"))]
    Missing {
        /// The file.
        file: Box<str>,
        /// The section.
        section: Box<str>,
        /// The key.
        key: Box<str>,
        /// What is allowed.
        allowed: Box<str>,
    },
    /// An HTTP client cannot be built.
    #[snafu(display("an HTTP client cannot be built: {source}"))]
    Client {
        /// The cause.
        source: reqwest::Error,
    },
    /// The HTTP server cannot listen or has failed.
    #[snafu(display("the HTTP server failed: {message}"))]
    Server {
        /// What the server says.
        message: String,
    },
    /// The asynchronous runtime cannot be built.
    #[snafu(display("the runtime cannot be built: {source}"))]
    Runtime {
        /// The cause.
        source: std::io::Error,
    },
    /// A metric cannot be registered.
    #[snafu(display("a metric cannot be registered: {source}"))]
    Metric {
        /// The cause.
        source: prometheus::Error,
    },
    /// A message cannot be read or written.
    #[snafu(display("{source}"))]
    Wire {
        /// The cause.
        source: sardinemux_wire::errors::Error,
    },
}
