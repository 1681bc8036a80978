//! The Rocket HTTP server, without the defaults that would abort running requests.

use std::net::SocketAddr;

use rocket::config::{Config, Ident, Shutdown};
use rocket::shield::Shield;
use rocket::{Build, Ignite, Rocket};

use crate::errors::{Error, Result};

/// The address and the keep-alive time of a server.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The address to listen on.
    pub address: SocketAddr,
    /// How long an idle connection is kept open, in seconds.
    pub keep_alive_s: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            keep_alive_s: 30,
        }
    }
}

/// How long Rocket waits for running requests at shutdown before it aborts them, in seconds. A program shuts Rocket
/// down only once no request is running, so this limit is never reached.
const SHUTDOWN_GRACE_S: u32 = 3_600;

/// Creates a server.
///
/// Rocket's signal handling is off, because a signal starts the graceful shutdown of the program. Its logger is off
/// too, and it runs on the worker threads of the program's runtime.
pub fn build(settings: Settings) -> Rocket<Build> {
    let shutdown = Shutdown {
        ctrlc: false,
        signals: std::collections::HashSet::new(),
        grace: SHUTDOWN_GRACE_S,
        mercy: SHUTDOWN_GRACE_S,
        force: false,
        ..Shutdown::default()
    };
    let config = Config {
        address: settings.address.ip(),
        port: settings.address.port(),
        keep_alive: settings.keep_alive_s,
        log_level: rocket::config::LogLevel::Off,
        cli_colors: false,
        ident: Ident::none(),
        shutdown,
        ..Config::release_default()
    };
    // An empty shield omits the default security headers: they are meant for browsers and would only add traffic.
    rocket::custom(config).attach(Shield::new())
}

/// Checks the routes and the configuration of a server.
///
/// # Errors
///
/// `Error::Server` if routes collide or the configuration is not valid.
pub async fn ignite(server: Rocket<Build>) -> Result<Rocket<Ignite>> {
    server.ignite().await.map_err(|error| convert_error(&error))
}

/// Serves requests until the server is shut down.
///
/// # Errors
///
/// `Error::Server` if the server cannot listen on its address or fails.
pub async fn launch(server: Rocket<Ignite>) -> Result<()> {
    let result = server.launch().await;
    result.map(|_| ()).map_err(|error| convert_error(&error))
}

/// Converts an error of Rocket. Such an error panics when it is dropped before its kind was read or it was printed.
fn convert_error(error: &rocket::Error) -> Error {
    let message = error.kind().to_string();
    Error::Server { message }
}
