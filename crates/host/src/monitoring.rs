//! Metrics and health checks of a program: `/metrics`, `/health/live` and `/health/ready`.

use prometheus::{Encoder, Registry, TextEncoder};
use rocket::http::Status;
use rocket::{get, routes, Route, State};

/// The state that the health and metrics routes read.
pub struct Monitor {
    /// The registry of the metrics.
    pub registry: Registry,
    /// Returns whether the program accepts work.
    pub is_ready: Box<dyn Fn() -> bool + Send + Sync>,
}

/// Returns the routes; the server must manage a [`Monitor`].
pub fn routes() -> Vec<Route> {
    routes![live, ready, metrics]
}

#[get("/health/live")]
fn live() -> &'static str {
    "live\n"
}

#[get("/health/ready")]
fn ready(observed: &State<Monitor>) -> (Status, &'static str) {
    match (observed.is_ready)() {
        true => (Status::Ok, "ready\n"),
        false => (Status::ServiceUnavailable, "not ready\n"),
    }
}

#[get("/metrics")]
fn metrics(observed: &State<Monitor>) -> (Status, Vec<u8>) {
    let mut text = Vec::new();
    let families = observed.registry.gather();
    match TextEncoder::new().encode(&families, &mut text) {
        Ok(()) => (Status::Ok, text),
        Err(_) => (Status::InternalServerError, Vec::new()),
    }
}
