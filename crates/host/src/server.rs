//! The HTTP server of every program: Rocket, without the defaults that would cut a request off.

use std::net::SocketAddr;

use rocket::config::{Config, Ident, Shutdown};
use rocket::shield::Shield;
use rocket::{Build, Ignite, Rocket};

use crate::errors::{Error, Result};

/// Limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The address to listen on.
    pub address: SocketAddr,
    /// How long an idle connection is kept, in seconds.
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

/// Rocket waits this long for running requests before it cuts them, in seconds. A program asks
/// Rocket to stop only once nothing runs, so this is never reached.
const SHUTDOWN_GRACE_S: u32 = 3_600;

/// Creates a server.
///
/// Rocket's own signal handling is off: a signal begins a graceful shutdown of the program. Its
/// own logger is off too, and worker threads come from the program's runtime.
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
    // The shield's headers are for browsers; here they would only cost control traffic.
    rocket::custom(config).attach(Shield::new())
}

/// Checks a server's routes.
///
/// # Errors
///
/// `Error::Server` if routes collide.
pub async fn ignite(server: Rocket<Build>) -> Result<Rocket<Ignite>> {
    server.ignite().await.map_err(|error| convert_error(&error))
}

/// Serves until the server is told to stop.
///
/// # Errors
///
/// `Error::Server` if it cannot listen.
pub async fn launch(server: Rocket<Ignite>) -> Result<()> {
    let result = server.launch().await;
    result.map(|_| ()).map_err(|error| convert_error(&error))
}

/// Rocket's error panics when it is dropped without having been looked at; printing marks it so.
fn convert_error(error: &rocket::Error) -> Error {
    let message = error.kind().to_string();
    Error::Server { message }
}
