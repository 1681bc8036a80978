//! How a gateway starts, runs and stops.

use std::time::Duration;

use sardinemux_host::logs;
use snafu::ResultExt;
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::{self, Instant};

use crate::drain::Phase;
use crate::errors::SignalSnafu;
use crate::prelude::*;
use crate::settings::Settings;
use crate::source::{Member, Source, Topic};
use crate::{caller, follow, peers, reports, status};

/// How long a stopping gateway goes on accepting: the balancer asks once a second and needs two misses.
const LEAVE: Duration = Duration::from_millis(2_600);

/// How often a stopping gateway looks whether anything still runs.
const TICK: Duration = Duration::from_millis(50);

/// What is left of the grace period for the exit itself.
const EXIT: Duration = Duration::from_millis(300);

/// The pause before a failed entry into the list of gateways is repeated.
const ENLIST_PAUSE: Duration = Duration::from_secs(1);

/// Reads the settings again.
pub type Reload = Box<dyn Fn() -> Result<Settings> + Send + Sync>;

/// Runs a gateway until it is told to stop and nothing runs any more.
///
/// # Errors
///
/// `Error::Listen` if an address cannot be bound, `Error::Signal` if signals cannot be received.
pub async fn run(gateway: Arc<Gateway>, source: Source, reload: Reload) -> Result<()> {
    let source = Arc::new(source);
    log::info!(
        name:% = gateway.settings.name, zone:% = gateway.settings.zone,
        callers:% = gateway.settings.caller_address;
        "gateway starts"
    );
    for topic in [Topic::Operators, Topic::Targets] {
        tokio::spawn(follow::follow_store(gateway.clone(), source.clone(), topic));
        tokio::spawn(follow::follow_peers(gateway.clone(), topic));
    }
    tokio::spawn(enlist(gateway.clone(), source.clone()));
    let settings = &gateway.settings;
    tokio::try_join!(
        caller::listen(gateway.clone()),
        status::listen(gateway.clone(), settings.ready_address, status::ready),
        status::listen(gateway.clone(), settings.metrics_address, status::metrics),
        status::listen(gateway.clone(), settings.peer_address, peers::answer),
        reports::run(gateway.clone()),
        stop(gateway.clone(), source.clone(), reload),
    )?;
    Ok(())
}

fn member(gateway: &Gateway) -> Member {
    Member {
        name: gateway.settings.name.clone(),
        address: gateway.settings.peer_address,
    }
}

/// Enters this gateway into the list, so that the others find it.
async fn enlist(gateway: Arc<Gateway>, source: Arc<Source>) {
    while let Err(error) = (source.register)(member(&gateway), true).await {
        log::warn!(error:% = error; "not entered into the list of gateways");
        time::sleep(ENLIST_PAUSE).await;
    }
    follow::poll_members(gateway, source).await;
}

/// Waits for a signal to stop, and then until nothing runs; ends the process.
async fn stop(gateway: Arc<Gateway>, source: Arc<Source>, reload: Reload) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context(SignalSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(SignalSnafu)?;
    let mut hangup = signal(SignalKind::hangup()).context(SignalSnafu)?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => match reload() {
                Ok(settings) => gateway.reload(&settings),
                Err(error) => log::error!(error:% = error; "settings not reloaded, the former ones stay"),
            },
        }
    }
    let begun = Instant::now();
    let grace = Duration::from_millis(gateway.bounds.read().grace_ms);
    let last = begun + grace.saturating_sub(EXIT);
    gateway.drain.set(Phase::Leaving);
    log::info!(running = gateway.drain.running(); "gateway stops");
    tokio::spawn(async move {
        if let Err(error) = (source.register)(member(&gateway), false).await {
            log::warn!(error:% = error; "not taken out of the list of gateways");
        }
        time::sleep_until(begun + LEAVE).await;
        gateway.drain.set(Phase::Closing);
        while gateway.drain.running() > 0 && Instant::now() < last {
            time::sleep(TICK).await;
        }
        log::info!(running = gateway.drain.running(); "gateway ends");
        logs::flush();
        std::process::exit(0);
    });
    std::future::pending().await
}
