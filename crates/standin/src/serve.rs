//! How stand-ins serve HTTP.

use std::net::SocketAddr;

use prometheus::Registry;
use rocket::{Build, Rocket, Route};
use sardinemux_host::monitoring::{self, Monitor};
use sardinemux_host::server;

use crate::errors::Result;

/// Creates a server with some routes, and those that every program has.
pub fn build(address: SocketAddr, routes: Vec<Route>) -> Rocket<Build> {
    let settings = server::Settings {
        address,
        ..server::Settings::default()
    };
    server::build(settings)
        .manage(Monitor {
            registry: Registry::new(),
            is_ready: Box::new(|| true),
        })
        .mount("/", monitoring::routes())
        .mount("/", routes)
}

/// Serves until the process ends.
///
/// # Errors
///
/// `Error::Host` if the port cannot be listened on.
pub async fn launch(server: Rocket<Build>) -> Result<()> {
    let server = server::ignite(server).await?;
    Ok(server::launch(server).await?)
}
