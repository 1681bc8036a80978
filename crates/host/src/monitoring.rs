//! Metrics and health checks of a program: `/metrics`, `/health/live` and `/health/ready`.

use prometheus::{Encoder, Registry, TextEncoder};
use rocket::{Request, Route};

use crate::body;
use crate::reply::Reply;

/// The type of the text that the health routes return.
const TEXT: &str = "text/plain; charset=utf-8";

/// The state that the health and metrics routes read.
pub struct Monitor {
    /// The registry of the metrics.
    pub registry: Registry,
    /// Returns whether the program accepts work.
    pub is_ready: Box<dyn Fn() -> bool + Send + Sync>,
}

/// Returns the routes; the server must manage a [`Monitor`].
pub fn routes() -> Vec<Route> {
    vec![
        body::get_route("/health/live", reply_live),
        body::get_route("/health/ready", reply_ready),
        body::get_route("/metrics", reply_metrics),
    ]
}

/// Replies that the program runs.
pub fn reply_live(_request: &Request<'_>) -> Reply {
    Reply::buffered(200, TEXT, b"live\n".to_vec())
}

/// Replies whether the program accepts work.
pub fn reply_readiness(is_ready: bool) -> Reply {
    match is_ready {
        true => Reply::buffered(200, TEXT, b"ready\n".to_vec()),
        false => Reply::buffered(503, TEXT, b"not ready\n".to_vec()),
    }
}

fn reply_ready(request: &Request<'_>) -> Reply {
    let monitor = request.rocket().state::<Monitor>();
    reply_readiness(monitor.is_some_and(|monitor| (monitor.is_ready)()))
}

fn reply_metrics(request: &Request<'_>) -> Reply {
    let monitor = request.rocket().state::<Monitor>();
    let families = monitor.map(|monitor| monitor.registry.gather());
    let mut text = Vec::new();
    let encoded = TextEncoder::new().encode(&families.unwrap_or_default(), &mut text);
    let (status, text) = match encoded {
        Ok(()) => (200, text),
        Err(_) => (500, Vec::new()),
    };
    Reply::buffered(status, "application/octet-stream", text)
}
