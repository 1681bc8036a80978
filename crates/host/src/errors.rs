//! The common error type of this crate.

use snafu::Snafu;

/// The result of an operation that may fail with an [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Every way in which reading settings, or setting up what a program runs on, can fail.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The settings file cannot be read as INI.
    #[snafu(display("{file}: cannot read the settings: {source}"))]
    File {
        /// The path of the settings file.
        file: Box<str>,
        /// The cause.
        source: ini::Error,
    },
    /// The settings file names a section that does not exist.
    #[snafu(display("{file}: unknown section [{section}]; expected one of: {allowed}"))]
    Section {
        /// The path of the settings file.
        file: Box<str>,
        /// The name of the section.
        section: Box<str>,
        /// The sections that exist.
        allowed: Box<str>,
    },
    /// The settings file names a key that does not exist.
    #[snafu(display(
        "{file}: [{section}] has no key {key} (value {value}); expected one of: {allowed}"
    ))]
    Key {
        /// The path of the settings file.
        file: Box<str>,
        /// The name of the section.
        section: Box<str>,
        /// The name of the key.
        key: Box<str>,
        /// The value.
        value: Box<str>,
        /// The keys of the section.
        allowed: Box<str>,
    },
    /// A value has the wrong form, unit or range.
    #[snafu(display("{file}: [{section}] {key} = {value} is not valid; expected {allowed}"))]
    Value {
        /// The path of the settings file.
        file: Box<str>,
        /// The name of the section.
        section: Box<str>,
        /// The name of the key.
        key: Box<str>,
        /// The value.
        value: Box<str>,
        /// A description of the allowed values.
        allowed: Box<str>,
    },
    /// A key without a default is missing.
    #[snafu(display("{file}: [{section}] {key} is missing; expected {allowed}"))]
    Missing {
        /// The path of the settings file.
        file: Box<str>,
        /// The name of the section.
        section: Box<str>,
        /// The name of the key.
        key: Box<str>,
        /// A description of the allowed values.
        allowed: Box<str>,
    },
    /// An HTTP client cannot be built.
    #[snafu(display("cannot build an HTTP client: {source}"))]
    Client {
        /// The cause.
        source: reqwest::Error,
    },
    /// The HTTP server cannot listen or has failed.
    #[snafu(display("HTTP server failed: {message}"))]
    Server {
        /// The kind of the failure, as Rocket describes it.
        message: String,
    },
    /// The asynchronous runtime cannot be built.
    #[snafu(display("cannot build the asynchronous runtime: {source}"))]
    Runtime {
        /// The cause.
        source: std::io::Error,
    },
    /// A metric cannot be registered.
    #[snafu(display("cannot register a metric: {source}"))]
    Metric {
        /// The cause.
        source: prometheus::Error,
    },
    /// The connection failed before the end of an answer.
    #[snafu(display("the answer broke off: {source}"))]
    Answer {
        /// The cause.
        source: reqwest::Error,
    },
    /// The body of an answer is too long.
    #[snafu(display("the body of the answer has more than {limit} bytes"))]
    Oversized {
        /// The largest accepted number of bytes.
        limit: usize,
    },
    /// A message cannot be decoded or encoded.
    #[snafu(display("{source}"))]
    Wire {
        /// The cause.
        source: sardinemux_wire::errors::Error,
    },
}
