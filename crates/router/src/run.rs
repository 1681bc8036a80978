//! The life cycle of the router process: startup, background tasks and graceful shutdown.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rocket::Shutdown;
use sardinemux_core::membership;
use sardinemux_host::monitoring::{self, Monitor};
use sardinemux_host::prelude::Values;
use sardinemux_host::server;
use snafu::ResultExt;
use tokio::signal::unix::{signal, SignalKind};
use tokio::time;

use crate::errors::SignalSnafu;
use crate::owner::takeover;
use crate::prelude::*;
use crate::settings::Settings;
use crate::{config_sync, entry, gossip, peer, polling};

/// The interval at which the shutdown flag and the number of running requests are polled.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How long no request must have run before the servers shut down.
const QUIET_PERIOD: Duration = Duration::from_millis(300);

/// How long the servers may take to close idle connections before the process exits anyway.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Runs a router until it is shut down and its last request has finished. Exits the process if the servers have not
/// closed within `CLOSE_TIMEOUT` by then.
///
/// # Errors
///
/// `Error::Host` if the settings are incomplete, an HTTP client cannot be built or a server cannot listen;
/// `Error::Metric` if a metric cannot be registered.
pub async fn run(values: Values) -> Result<()> {
    let settings = Settings::new(&values)?;
    let router = Arc::new(Router::new(settings, new_boot_number())?);
    spawn_tasks(&router);

    let entry_server = server::ignite(entry::build_server(router.clone())).await?;
    let peer_server = server::ignite(peer_server(router.clone())).await?;
    let shutdowns = [entry_server.shutdown(), peer_server.shutdown()];
    let stopping = tokio::spawn(shut_down(router.clone(), shutdowns));
    log::info!(
        "router {} accepts callers at {} and peers at {}",
        router.settings.id,
        router.settings.entry_address,
        router.settings.peer_address
    );
    let served = tokio::try_join!(server::launch(entry_server), server::launch(peer_server));
    stopping.abort();
    served?;
    Ok(())
}

/// Returns a number that distinguishes this process from earlier ones of the same instance. It is the wall clock in
/// milliseconds, and is compared only with the numbers of processes of the same instance.
fn new_boot_number() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(1, |elapsed| elapsed.as_millis() as u64)
}

fn spawn_tasks(router: &Arc<Router>) {
    tokio::spawn(polling::poll_instance_list(router.clone()));
    tokio::spawn(polling::poll_targets(router.clone()));
    tokio::spawn(gossip::run(router.clone()));
    tokio::spawn(config_sync::run(router.clone()));
    tokio::spawn(takeover::run(router.clone()));
}

fn peer_server(router: Arc<Router>) -> rocket::Rocket<rocket::Build> {
    let settings = server::Settings {
        address: router.settings.peer_address,
        ..server::Settings::default()
    };
    let ready = router.clone();
    server::build(settings)
        .manage(Monitor {
            registry: router.metrics.registry.clone(),
            is_ready: Box::new(move || ready.is_ready()),
        })
        .manage(router)
        .mount("/", peer::routes())
        .mount("/", monitoring::routes())
}

/// Waits until a signal or the configuration begins the shutdown, drains the running requests and closes the servers.
/// A second signal skips the drain. Exits the process if the servers do not close within [`CLOSE_TIMEOUT`].
///
/// # Errors
///
/// `Error::Signal` if a signal handler cannot be installed.
async fn shut_down(router: Arc<Router>, shutdowns: [Shutdown; 2]) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context(SignalSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(SignalSnafu)?;
    let mut ticks = time::interval(DRAIN_POLL_INTERVAL);
    while !router.drain.is_stopping() {
        tokio::select! {
            _ = terminate.recv() => { router.drain.begin(); }
            _ = interrupt.recv() => { router.drain.begin(); }
            _ = ticks.tick() => {}
        }
    }
    log::info!(
        "graceful shutdown begins with {} running requests",
        router.drain.running()
    );
    tokio::select! {
        () = drain_requests(&router) => {}
        _ = terminate.recv() => log::warn!("second signal: shutting down without waiting for running requests"),
        _ = interrupt.recv() => log::warn!("second signal: shutting down without waiting for running requests"),
    }
    for shutdown in shutdowns {
        shutdown.notify();
    }
    time::sleep(CLOSE_TIMEOUT).await;
    // Only idle connections are left, which a server may hold open for longer.
    std::process::exit(0);
}

/// Leaves the membership, which gives up all owned targets, announces this to the peers, and waits until no request has
/// run for [`QUIET_PERIOD`] and the minimum drain time has passed.
async fn drain_requests(router: &Arc<Router>) {
    let begin = time::Instant::now();
    membership::command::leave(&mut router.view.lock());
    router.recompute_owners();
    gossip::announce(router).await;
    let min_duration = Duration::from_millis(router.settings.drain_min_ms);
    let mut quiet_since = time::Instant::now();
    while begin.elapsed() < min_duration || quiet_since.elapsed() < QUIET_PERIOD {
        time::sleep(DRAIN_POLL_INTERVAL).await;
        if router.drain.running() > 0 {
            quiet_since = time::Instant::now();
        }
    }
}
