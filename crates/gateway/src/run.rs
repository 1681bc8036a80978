//! The start, the tasks and the graceful stop of a gateway.

use std::time::Duration;

use sardinemux_core::intake::Port;
use sardinemux_host::logs;
use snafu::ResultExt;
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::{self, Instant};

use crate::drain::{Limits, Phase};
use crate::errors::SignalSnafu;
use crate::prelude::*;
use crate::rollouts::decider;
use crate::settings::Settings;
use crate::source::{Member, Source, Topic};
use crate::{
    caller, follow, hop, internal, origins, peers, permits, quarantine, reports, store_writes,
};

/// The time for which a stopping gateway still accepts requests: the load balancer probes it once per second and stops
/// sending requests to it after two failed probes.
const LEAVING_DURATION: Duration = Duration::from_millis(2_600);

/// The interval at which a stopping gateway checks whether requests are still running. Connections that were accepted last have this
/// time to be read.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The grace period divided by this is its last part, in which no request is sent to a target.
const UNSENT_DIVISOR: u32 = 6;

/// The time before the end of the process at which running requests are answered.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// The part of the grace period that is reserved for the exit itself.
const EXIT_MARGIN: Duration = Duration::from_millis(300);

/// The delay before a failed registration in the store's list of gateways is retried.
const REGISTRATION_RETRY_DELAY: Duration = Duration::from_secs(1);

/// A function that reads the settings anew.
pub type Reload = Box<dyn Fn() -> Result<Settings> + Send + Sync>;

/// Runs a gateway until it receives a signal to stop. Then completes the running requests, at most for the grace
/// period, and exits the process.
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
    tokio::spawn(register(gateway.clone(), source.clone()));
    tokio::spawn(quarantine::follow_store(gateway.clone(), source.clone()));
    tokio::spawn(hop::probe(gateway.clone()));
    tokio::spawn(origins::follow(gateway.clone(), source.clone()));
    tokio::spawn(origins::record_streams(gateway.clone(), source.clone()));
    tokio::spawn(decider::read_unknown(gateway.clone(), source.clone()));
    tokio::spawn(decider::run(gateway.clone(), source.clone()));
    tokio::spawn(permits::run(gateway.clone()));
    tokio::spawn(store_writes::run(gateway.clone(), source.clone()));
    let settings = &gateway.settings;
    tokio::try_join!(
        caller::listen(gateway.clone()),
        internal::listen(
            gateway.clone(),
            Port::Ready,
            settings.ready_address,
            internal::serve_readiness
        ),
        internal::listen(
            gateway.clone(),
            Port::Metrics,
            settings.metrics_address,
            internal::serve_metrics
        ),
        internal::listen(
            gateway.clone(),
            Port::Peers,
            settings.peer_address,
            peers::handle_request
        ),
        reports::run(gateway.clone()),
        handle_signals(gateway.clone(), source.clone(), reload),
    )?;
    Ok(())
}

fn own_member(gateway: &Gateway) -> Member {
    Member {
        name: gateway.settings.name.clone(),
        address: gateway.settings.peer_address,
    }
}

/// Registers this gateway in the store's list of gateways, so that the others find it, and then reads that list for as
/// long as the process runs.
async fn register(gateway: Arc<Gateway>, source: Arc<Source>) {
    enlist(&gateway, &source).await;
    follow::poll_members(gateway, source).await;
}

/// Writes the entry of this gateway into the store's list of gateways, again until the store takes it or the gateway stops.
pub(crate) async fn enlist(gateway: &Gateway, source: &Source) {
    while gateway.drain.phase() == Phase::Serving {
        let enlisted = (source.register)(own_member(gateway), true).await;
        gateway.note_era((source.era)());
        let Err(error) = enlisted else {
            return;
        };
        log::warn!(error:% = error; "failed to register in the list of gateways; retrying");
        time::sleep(REGISTRATION_RETRY_DELAY).await;
    }
}

/// Reloads the settings on `SIGHUP`. On `SIGTERM` or `SIGINT`, moves to [`Phase::Leaving`] and, after
/// [`LEAVING_DURATION`], to [`Phase::Closing`]. Exits the process when no request is running or the grace period is
/// about to end.
async fn handle_signals(gateway: Arc<Gateway>, source: Arc<Source>, reload: Reload) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context(SignalSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(SignalSnafu)?;
    let mut hangup = signal(SignalKind::hangup()).context(SignalSnafu)?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => match reload() {
                Ok(settings) => gateway.apply_settings(&settings),
                Err(error) => log::error!(error:% = error; "settings not reloaded; the previous ones stay in force"),
            },
        }
    }
    let stop_begin = Instant::now();
    let grace = Duration::from_millis(gateway.bounds.read().grace_ms);
    let deadline = stop_begin + grace.saturating_sub(EXIT_MARGIN);
    gateway.drain.set_limits(Limits {
        send: stop_begin + (grace - grace / UNSENT_DIVISOR),
        answer: deadline - ANSWER_MARGIN.min(deadline - stop_begin),
    });
    gateway.drain.set_phase(Phase::Leaving);
    log::info!(running = gateway.drain.running(); "gateway stops");
    tokio::spawn(async move {
        if let Err(error) = (source.register)(own_member(&gateway), false).await {
            log::warn!(error:% = error; "failed to deregister from the list of gateways; the stop continues");
        }
        time::sleep_until(stop_begin + LEAVING_DURATION).await;
        gateway.drain.set_phase(Phase::Closing);
        loop {
            time::sleep(DRAIN_POLL_INTERVAL).await;
            if gateway.drain.running() == 0 || Instant::now() >= deadline {
                break;
            }
        }
        log::info!(running = gateway.drain.running(); "gateway ends");
        logs::flush();
        std::process::exit(0);
    });
    std::future::pending().await
}
