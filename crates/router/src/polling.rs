//! What a router reads of its surroundings: the instance list, and its targets' reports and events.

use std::time::Duration;

use sardinemux_core::admission::{command, Report};
use sardinemux_core::control_traffic::Purpose;
use sardinemux_core::membership::{self, Member};
use sardinemux_core::target::{Kind, Table, Target};
use sardinemux_platform::services::Traffic;
use sardinemux_wire::platform::{Instance, Part};
use sardinemux_wire::target::{CacheChange, CacheEvents, Load};
use tokio::time;

use crate::peer_client::{REQUEST_OVERHEAD_BYTES, RESPONSE_OVERHEAD_BYTES};
use crate::prelude::*;
use crate::settings::Policy;

/// The shortest time between two rounds of reports.
const REPORT_PERIOD_MIN_MS: u64 = 1_000;

/// The time that one target adds to a round of reports, so that many targets cost no more a second.
const REPORT_PERIOD_PER_TARGET_MS: u64 = 200;

/// The times that cache events are read after a take-over. Later on the owner knows what its target
/// has served, and an eviction shows in the usage of the answer.
const EVENT_READS_MAX: u32 = 3;

/// The bytes of a report with its request, for the budget.
const REPORT_BYTES: usize = REQUEST_OVERHEAD_BYTES + RESPONSE_OVERHEAD_BYTES + 64;

/// Reads the instance list, until the program ends.
pub async fn poll_instance_list(router: Arc<Router>) {
    let mut counted = Traffic::default();
    loop {
        match router.platform.changed_instances().await {
            Ok(Some(instances)) => apply_instance_list(&router, instances),
            Ok(None) => record_platform_contact(&router),
            Err(error) => log::warn!("the instance list cannot be read: {error}"),
        }
        record_platform_traffic(&router, &mut counted);
        let period_ms = router.settings.list_period_ms;
        let pause_ms = rand::random_range(period_ms / 2..=period_ms * 3 / 2);
        time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Counts what crossed the sockets to the platform as control traffic.
fn record_platform_traffic(router: &Router, counted: &mut Traffic) {
    let now = router.platform.traffic();
    let sent = now.sent - counted.sent;
    let received = now.received - counted.received;
    router
        .metrics
        .record_control_bytes("platform", sent as usize, received as usize);
    *counted = now;
}

fn record_platform_contact(router: &Router) {
    let now_ms = router.now_ms();
    membership::command::note_platform_contact(&mut router.view.lock(), now_ms);
}

/// Takes the instance list in.
pub fn apply_instance_list(router: &Router, instances: Vec<Instance>) {
    let now_ms = router.now_ms();
    let mut routers = Vec::new();
    let mut table: Table = router.targets().as_ref().clone();
    let mut listed = Vec::new();
    for instance in instances {
        if let Some(target) = instance.target() {
            listed.push(target.id.clone());
            table.put(target);
            continue;
        }
        let Part::Router(address) = instance.part else {
            continue;
        };
        routers.push(Member {
            id: instance.id,
            address,
            zone: instance.zone,
            region: instance.region,
            boot: 0,
            epoch: 0,
            state: match instance.leaving {
                true => membership::State::Leaving,
                false => membership::State::Alive,
            },
        });
    }
    let gone: Vec<SmolStr> = table
        .iter()
        .map(|(_, target)| target.id.clone())
        .filter(|id| !listed.contains(id))
        .collect();
    for id in gone {
        table.remove(&id);
    }
    record_platform_contact(router);
    membership::command::merge_list(&mut router.view.lock(), routers, now_ms);
    *router.targets.write() = Arc::new(table);
    router.recompute_owners();
}

/// Reads the reports and cache events of targets, until the program ends.
pub async fn poll_targets(router: Arc<Router>) {
    loop {
        let targets = polled_targets(&router);
        let reads = targets.iter().map(|target| read_report(&router, target));
        futures_util::future::join_all(reads).await;
        let learning = take_event_targets(&router);
        let reads = learning.iter().map(|target| read_events(&router, target));
        futures_util::future::join_all(reads).await;
        let pause_ms = REPORT_PERIOD_MIN_MS.max(targets.len() as u64 * REPORT_PERIOD_PER_TARGET_MS);
        time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Returns the engines whose reports are read: the owned ones, or all for the baseline.
fn polled_targets(router: &Router) -> Vec<Target> {
    if router.settings.policy == Policy::LeastLoaded {
        let targets = router.targets();
        let engines = targets
            .iter()
            .filter(|(_, target)| target.kind == Kind::Engine);
        return engines.map(|(_, target)| target.clone()).collect();
    }
    router
        .desks
        .lock()
        .values()
        .filter(|desk| desk.is_owned && desk.target.kind == Kind::Engine)
        .map(|desk| desk.target.clone())
        .collect()
}

/// Returns the engines that this router has taken over and not yet learned about.
fn take_event_targets(router: &Router) -> Vec<Target> {
    router
        .desks
        .lock()
        .values_mut()
        .filter(|desk| desk.is_owned && desk.target.kind == Kind::Engine)
        .filter(|desk| desk.event_reads < EVENT_READS_MAX)
        .map(|desk| {
            desk.event_reads += 1;
            desk.target.clone()
        })
        .collect()
}

async fn fetch_json<T: serde::de::DeserializeOwned>(router: &Router, url: String) -> Option<T> {
    let now_ms = router.now_ms();
    let may_spend = router
        .control_budget
        .lock()
        .try_withdraw(Purpose::Load, REPORT_BYTES, now_ms);
    if !may_spend {
        router.metrics.control_skipped.inc();
        return None;
    }
    let response = router.clients.report.get(url).send().await.ok()?;
    let bytes = response.bytes().await.ok()?;
    router.metrics.record_control_bytes(
        "reports",
        REQUEST_OVERHEAD_BYTES,
        RESPONSE_OVERHEAD_BYTES + bytes.len(),
    );
    serde_json::from_slice(&bytes).ok()
}

async fn read_report(router: &Router, target: &Target) {
    let url = format!("http://{}/load", target.address);
    let Some(load) = fetch_json::<Load>(router, url).await else {
        return;
    };
    let now_ms = router.now_ms();
    router.reports.lock().insert(target.id.clone(), load);
    if let Some(desk) = router.desks.lock().get_mut(&target.id) {
        let report = Report {
            running: load.running,
            incarnation: load.incarnation,
        };
        command::apply_report(&mut desk.book, report, now_ms);
    }
}

async fn read_events(router: &Router, target: &Target) {
    let after = {
        let desks = router.desks.lock();
        desks.get(&target.id).map_or(0, |desk| desk.events_after)
    };
    let url = format!("http://{}/cache/events?after={after}", target.address);
    let Some(events) = fetch_json::<CacheEvents>(router, url).await else {
        return;
    };
    let mut desks = router.desks.lock();
    let Some(desk) = desks.get_mut(&target.id) else {
        return;
    };
    if desk.events_incarnation != events.incarnation {
        desk.events_incarnation = events.incarnation;
        desk.events_after = 0;
    }
    for event in events.events {
        desk.events_after = desk.events_after.max(event.sequence);
        let Ok(chat) = u64::from_str_radix(&event.prompt_cache_key, 16) else {
            continue;
        };
        match event.change {
            CacheChange::Stored => command::add_chat(&mut desk.book, chat),
            CacheChange::Evicted => command::remove_chat(&mut desk.book, chat),
        }
    }
}
