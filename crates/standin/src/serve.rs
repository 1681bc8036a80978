//! The HTTP server that the stand-ins share.

use std::net::SocketAddr;

use prometheus::Registry;
use rocket::{Build, Rocket, Route};
use sardinemux_host::monitoring::{self, Monitor};
use sardinemux_host::server;

use crate::errors::Result;

/// Creates a server with the given routes and those for health and metrics, which every program of the workspace has.
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

/// Serves until the server is told to stop.
///
/// # Errors
///
/// `Error::Host` if routes collide or the server cannot listen on its address.
pub async fn launch(server: Rocket<Build>) -> Result<()> {
    let server = server::ignite(server).await?;
    Ok(server::launch(server).await?)
}
