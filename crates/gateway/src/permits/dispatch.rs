//! The dispatcher of a pool: applies requests and ends, sends its decisions, and looks at the queue while requests wait.

use std::time::Duration;

use indexmap::IndexMap;
use sardinemux_core::collection::Number;
use sardinemux_core::permits::{command, Destination, Dispatcher, Notice};
use sardinemux_core::roster::query;
use tokio::time;

use super::ranking::ranked;
use super::{receive_decisions, Decisions, Requests};
use crate::drain::Phase;
use crate::prelude::*;
use crate::supplement::Supplement;

/// The interval at which a dispatcher looks at its queues while requests wait.
const TICK: Duration = Duration::from_millis(10);

/// The number of ticks after which a dispatcher looks for gateways that have lapsed.
const TICKS_PER_CHECK: u64 = 20;

/// The largest number of decisions in a datagram. One takes up to 18 bytes.
const DECISIONS_MAX: usize = 40;

/// Returns the targets of a pool as this gateway sees them.
fn destinations(gateway: &Gateway, pool: &str) -> Vec<Destination> {
    let now_ms = gateway.now_ms();
    let roster = gateway.roster.lock();
    let keys = query::eligible(&roster, pool, now_ms).into_iter();
    let destinations = keys.filter_map(|key| {
        let target = query::target(&roster, key)?;
        let is_usable = !query::is_paused(&roster, key, now_ms)
            && !query::is_in_backoff(&roster, key, now_ms)
            && !query::is_outlier(&roster, key, now_ms)
            && !query::is_cold(&roster, key, now_ms)
            && query::stated_limit(&roster, key, now_ms).is_none();
        Some(Destination {
            number: Number::of(&target.id),
            zone: target.zone.clone(),
            slots: target.slots,
            reported: query::load(&roster, key, now_ms),
            is_usable,
        })
    });
    destinations.collect()
}

/// Applies requests and ends to the queue of their pool.
pub fn receive_requests(gateway: &Gateway, received: Requests) {
    let Requests {
        pool,
        requests,
        ends,
    } = received;
    if !super::is_on(gateway) || gateway.catalog().pool(&pool).is_none() {
        return;
    }
    let destinations = destinations(gateway, &pool);
    let now_ms = gateway.now_ms();
    let is_serving = gateway.drain.phase() == Phase::Serving;
    let (notices, waiting) = {
        let mut dispatchers = gateway.permits.dispatchers.lock();
        let dispatcher = dispatchers.entry(pool.clone()).or_insert_with(|| {
            log::info!(pool:% = pool; "granting permits for the targets of a pool");
            Dispatcher::default()
        });
        let mut notices = Vec::new();
        for (ticket, end) in ends {
            notices.extend(command::finish(
                dispatcher,
                &ticket,
                end,
                &destinations,
                now_ms,
            ));
        }
        for request in requests {
            notices.extend(command::request(dispatcher, request, &destinations, now_ms));
        }
        if !is_serving {
            notices.extend(command::dismiss(dispatcher));
        }
        (notices, dispatcher.waiting())
    };
    if waiting > 0 {
        gateway.permits.queued.notify_one();
    }
    notify(gateway, notices);
}

/// Sends decisions to the gateways of the requests.
fn notify(gateway: &Gateway, notices: Vec<Notice>) {
    let mut by_gateway: IndexMap<SmolStr, Decisions> = IndexMap::new();
    for (ticket, decision) in notices {
        let decisions = by_gateway.entry(ticket.gateway).or_default();
        decisions.push((ticket.number, decision));
    }
    for (recipient, all) in by_gateway {
        if recipient == gateway.settings.name {
            receive_decisions(gateway, &all);
            continue;
        }
        let address = gateway.members.lock().address(&recipient);
        let Some(address) = address else {
            continue;
        };
        for decisions in all.chunks(DECISIONS_MAX) {
            let supplement = Supplement::PermitDecisions(decisions.to_vec());
            gateway.permits.send(address, supplement);
        }
    }
}

/// Looks at the queues while requests wait, until the process exits.
pub async fn run(gateway: Arc<Gateway>) {
    let mut ticks: u64 = 0;
    loop {
        if gateway.metrics.permit_queue.get() == 0 {
            gateway.permits.queued.notified().await;
        }
        time::sleep(TICK).await;
        ticks += 1;
        let checks = ticks.is_multiple_of(TICKS_PER_CHECK);
        let pools: Vec<SmolStr> = gateway.permits.dispatchers.lock().keys().cloned().collect();
        let waiting: usize = pools.iter().map(|pool| tick(&gateway, pool, checks)).sum();
        gateway.metrics.permit_queue.set(waiting as i64);
    }
}

/// Looks at the queue of a pool, and returns its length.
fn tick(gateway: &Gateway, pool: &SmolStr, checks: bool) -> usize {
    let destinations = destinations(gateway, pool);
    let now_ms = gateway.now_ms();
    let live = match checks {
        true => ranked(gateway, pool),
        false => Vec::new(),
    };
    let is_serving = gateway.drain.phase() == Phase::Serving;
    let has_lost_place = checks && has_lost_place(gateway, pool, &live);
    let (notices, waiting) = {
        let mut dispatchers = gateway.permits.dispatchers.lock();
        let Some(dispatcher) = dispatchers.get_mut(pool) else {
            return 0;
        };
        let mut notices = command::expire(dispatcher, &destinations, now_ms);
        if checks && is_serving {
            let gateways = dispatcher.gateways().into_iter();
            for lapsed in gateways.filter(|it| !live.contains(it)) {
                notices.extend(command::forget(dispatcher, &lapsed, &destinations, now_ms));
            }
        }
        if !is_serving || has_lost_place {
            notices.extend(command::dismiss(dispatcher));
        }
        (notices, dispatcher.waiting())
    };
    notify(gateway, notices);
    waiting
}

/// Returns whether this gateway was the first dispatcher of a pool and another one is now. One that is asked instead of a silent first
/// one cannot be replaced.
fn has_lost_place(gateway: &Gateway, pool: &SmolStr, ranked: &[SmolStr]) -> bool {
    let leads = ranked.first() == Some(&gateway.settings.name);
    let led = gateway.permits.leads.lock().insert(pool.clone(), leads);
    let has_lost_place = led == Some(true) && !leads;
    if has_lost_place {
        log::info!(pool:% = pool; "another gateway grants permits for a pool");
    }
    has_lost_place
}
