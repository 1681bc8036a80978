//! HTTP clients. Each purpose has a client of its own, so that an exhausted connection pool blocks only that purpose.
//!
//! A client does not follow redirects, which may send a body twice, takes no proxy from the environment, and never
//! retries a request by itself.

use std::time::Duration;

use reqwest::{Client, Response};
use snafu::{ensure, ResultExt};

use crate::errors::{AnswerSnafu, ClientSnafu, OversizedSnafu, Result};

/// The timeouts and the connection pool of a client.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The timeout for establishing a connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// The timeout for a whole exchange, in milliseconds; `None` for streams, which have their own timeouts between
    /// parts.
    pub total_timeout_ms: Option<u64>,
    /// How long an idle connection is kept for reuse, in milliseconds; 0 disables reuse.
    pub idle_timeout_ms: u64,
    /// The greatest number of idle connections to one host.
    pub idle_connections_max: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 1_000,
            total_timeout_ms: Some(2_000),
            idle_timeout_ms: 2_000,
            idle_connections_max: 4,
        }
    }
}

/// Builds a client.
///
/// # Errors
///
/// `Error::Client` if the HTTP library rejects the settings.
///
/// # Examples
///
/// ```
/// use sardinemux_host::client;
///
/// assert!(client::build(client::Settings::default()).is_ok());
/// ```
pub fn build(settings: Settings) -> Result<Client> {
    let mut builder = Client::builder()
        .redirect(reqwest::redirect::Policy::none())
        .no_proxy()
        .http1_only()
        .retry(reqwest::retry::never())
        .tcp_nodelay(true)
        .tcp_keepalive(Duration::from_secs(5))
        .connect_timeout(Duration::from_millis(settings.connect_timeout_ms))
        .pool_idle_timeout(Duration::from_millis(settings.idle_timeout_ms))
        .pool_max_idle_per_host(match settings.idle_timeout_ms {
            0 => 0,
            _ => settings.idle_connections_max,
        });
    if let Some(timeout_ms) = settings.total_timeout_ms {
        builder = builder.timeout(Duration::from_millis(timeout_ms));
    }
    builder.build().context(ClientSnafu)
}

/// Reads the body of an answer, of at most `limit` bytes.
///
/// # Errors
///
/// `Error::Oversized` if the body is longer, `Error::Answer` if the connection fails before its end.
pub async fn read_body(mut answer: Response, limit: usize) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    while let Some(chunk) = answer.chunk().await.context(AnswerSnafu)? {
        ensure!(body.len() + chunk.len() <= limit, OversizedSnafu { limit });
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}
