//! How the administration API starts, runs and stops.

use std::sync::Arc;

use prometheus::Registry;
use sardinemux_host::monitoring::{self, Monitor};
use sardinemux_host::prelude::Values;
use sardinemux_host::{client, server};
use sardinemux_platform::client::Platform;
use snafu::ResultExt;
use tokio::signal::unix::{signal, SignalKind};

use crate::errors::{Result, SignalSnafu};
use crate::fleet::Fleet;
use crate::log::Log;
use crate::orders;
use crate::routes::{self, Admin};
use crate::settings::Settings;

/// Serves the administration API until a signal comes; requests that run end first.
///
/// # Errors
///
/// `Error::Host` if the settings are incomplete or the server cannot listen.
pub async fn run(values: Values) -> Result<()> {
    let settings = Settings::new(&values)?;
    let platform = Platform::new(settings.platform.clone(), settings.platform_timeout_ms);
    let admin = Arc::new(Admin {
        log: Log::new(platform),
        fleet: Fleet {
            client: client::build(client::Settings::default())?,
            token: settings.peer_token.clone(),
        },
        settings,
    });
    tokio::spawn(orders::run(admin.clone()));
    let server_settings = server::Settings {
        address: admin.settings.address,
        ..server::Settings::default()
    };
    let registry = Registry::new();
    let server = server::build(server_settings)
        .manage(Monitor {
            registry,
            is_ready: Box::new(|| true),
        })
        .manage(admin)
        .mount("/", routes::routes())
        .mount("/", monitoring::routes())
        .register("/", routes::catch_all());
    let server = server::ignite(server).await?;
    let shutdown = server.shutdown();
    let mut terminate = signal(SignalKind::terminate()).context(SignalSnafu)?;
    tokio::spawn(async move {
        terminate.recv().await;
        shutdown.notify();
    });
    server::launch(server).await?;
    Ok(())
}
