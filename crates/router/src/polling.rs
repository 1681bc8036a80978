//! Periodic reads of the platform's instance list, and of the load reports and cache events of targets.

use std::time::Duration;

use sardinemux_core::admission::{command, Report};
use sardinemux_core::control_traffic::Purpose;
use sardinemux_core::membership::{self, Member};
use sardinemux_core::target::{Kind, Table, Target};
use sardinemux_host::client;
use sardinemux_platform::client::Traffic;
use sardinemux_wire::platform::{Instance, Role};
use sardinemux_wire::target::{CacheChange, CacheEvents, Load};
use tokio::time;

use crate::peer_client::{REQUEST_OVERHEAD_BYTES, RESPONSE_OVERHEAD_BYTES};
use crate::prelude::*;
use crate::settings::Policy;

/// The minimum pause between two rounds of load reports, in milliseconds.
const REPORT_PERIOD_MIN_MS: u64 = 1_000;

/// The pause for each polled target, in milliseconds, which bounds the reports per second regardless of the number of
/// targets.
const REPORT_PERIOD_PER_TARGET_MS: u64 = 200;

/// How many times the cache events of a target are read after a takeover. Later, the owner has recorded which chats its
/// target has served, and an eviction shows in the token usage of a response.
const EVENT_READS_MAX: u32 = 3;

/// The bytes of one report with its request that are withdrawn from the control traffic budget.
const REPORT_BYTES: usize = REQUEST_OVERHEAD_BYTES + RESPONSE_OVERHEAD_BYTES + 64;

/// Reads the instance list periodically, until the program ends. Pauses are randomised between half and one and a half
/// periods.
pub async fn poll_instance_list(router: Arc<Router>) {
    let mut last_traffic = Traffic::default();
    loop {
        match router.platform.poll_instances().await {
            Ok(Some(instances)) => apply_instance_list(&router, instances),
            Ok(None) => record_platform_contact(&router),
            Err(error) => log::warn!(
                "the instance list could not be read, retrying after the list period: {error}"
            ),
        }
        record_platform_traffic(&router, &mut last_traffic);
        let period_ms = router.settings.list_period_ms;
        let pause_ms = rand::random_range(period_ms / 2..=period_ms * 3 / 2);
        time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Adds the bytes exchanged with the platform since the last call to the metric of control traffic.
fn record_platform_traffic(router: &Router, last_traffic: &mut Traffic) {
    let now = router.platform.traffic();
    let sent = now.sent - last_traffic.sent;
    let received = now.received - last_traffic.received;
    router
        .metrics
        .record_control_bytes("platform", sent as usize, received as usize);
    *last_traffic = now;
}

fn record_platform_contact(router: &Router) {
    let now_ms = router.now_ms();
    membership::command::note_platform_contact(&mut router.view.lock(), now_ms);
}

/// Applies a new instance list: puts the listed targets into the target table, removes those that are not listed, and
/// merges the listed routers into the membership view.
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
        let Role::Router(address) = instance.role else {
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
    let unlisted: Vec<SmolStr> = table
        .iter()
        .map(|(_, target)| target.id.clone())
        .filter(|id| !listed.contains(id))
        .collect();
    for id in unlisted {
        table.remove(&id);
    }
    record_platform_contact(router);
    membership::command::merge_list(&mut router.view.lock(), routers, now_ms);
    *router.targets.write() = Arc::new(table);
    router.recompute_owners();
}

/// The largest load report or list of cache events that is read, in bytes.
const REPORT_MAX_BYTES: usize = 1 << 20;

/// Reads the load reports and cache events of targets periodically, until the program ends.
pub async fn poll_targets(router: Arc<Router>) {
    loop {
        let targets = polled_targets(&router);
        let reads = targets.iter().map(|target| read_report(&router, target));
        futures_util::future::join_all(reads).await;
        let event_targets = take_event_targets(&router);
        let reads = event_targets
            .iter()
            .map(|target| read_events(&router, target));
        futures_util::future::join_all(reads).await;
        let pause_ms = REPORT_PERIOD_MIN_MS.max(targets.len() as u64 * REPORT_PERIOD_PER_TARGET_MS);
        time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Returns the engines whose load reports are read: those that this router owns, or all of them for
/// `Policy::LeastLoaded`.
fn polled_targets(router: &Router) -> Vec<Target> {
    if router.settings.policy == Policy::LeastLoaded {
        let targets = router.targets();
        let engines = targets
            .iter()
            .filter(|(_, target)| target.kind == Kind::Engine);
        return engines.map(|(_, target)| target.clone()).collect();
    }
    router
        .target_states
        .lock()
        .values()
        .filter(|state| state.is_owned && state.target.kind == Kind::Engine)
        .map(|state| state.target.clone())
        .collect()
}

/// Returns the owned engines whose cache events were read fewer than [`EVENT_READS_MAX`] times since their takeover,
/// and counts one more read for each.
fn take_event_targets(router: &Router) -> Vec<Target> {
    router
        .target_states
        .lock()
        .values_mut()
        .filter(|state| state.is_owned && state.target.kind == Kind::Engine)
        .filter(|state| state.event_reads < EVENT_READS_MAX)
        .map(|state| {
            state.event_reads += 1;
            state.target.clone()
        })
        .collect()
}

/// Fetches and decodes a JSON document. Returns `None` if the control traffic budget does not cover the exchange, or if
/// the request or the decoding fails.
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
    let bytes = client::read_body(response, REPORT_MAX_BYTES).await.ok()?;
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
    if let Some(state) = router.target_states.lock().get_mut(&target.id) {
        let report = Report {
            running: load.running,
            incarnation: load.incarnation,
        };
        command::apply_report(&mut state.controller, report, now_ms);
    }
}

async fn read_events(router: &Router, target: &Target) {
    let after = {
        let states = router.target_states.lock();
        states.get(&target.id).map_or(0, |state| state.event_cursor)
    };
    let url = format!("http://{}/cache/events?after={after}", target.address);
    let Some(events) = fetch_json::<CacheEvents>(router, url).await else {
        return;
    };
    let mut states = router.target_states.lock();
    let Some(state) = states.get_mut(&target.id) else {
        return;
    };
    if state.events_incarnation != events.incarnation {
        state.events_incarnation = events.incarnation;
        state.event_cursor = 0;
    }
    for event in events.events {
        state.event_cursor = state.event_cursor.max(event.sequence);
        let Ok(chat) = u64::from_str_radix(&event.prompt_cache_key, 16) else {
            continue;
        };
        match event.change {
            CacheChange::Stored => command::add_chat(&mut state.controller, chat),
            CacheChange::Evicted => command::remove_chat(&mut state.controller, chat),
        }
    }
}
