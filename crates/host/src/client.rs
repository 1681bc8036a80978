//! HTTP clients, one a purpose, so that a stuck pool of one cannot stop another.
//!
//! None follows redirects, which may send a body twice; none takes a proxy from the environment;
//! none repeats a request of its own accord.

use std::time::Duration;

use reqwest::Client;
use snafu::ResultExt;

use crate::errors::{ClientSnafu, Result};

/// Limits of a client.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long a connection may take to be made, in milliseconds.
    pub connect_timeout_ms: u64,
    /// How long a whole exchange may take, in milliseconds; none for streams, which have their
    /// own deadlines between parts.
    pub total_timeout_ms: Option<u64>,
    /// How long an idle connection is kept, in milliseconds; 0 keeps none.
    pub idle_timeout_ms: u64,
    /// The idle connections that are kept for one peer.
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
/// `Error::Client` if the library refuses the settings.
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
