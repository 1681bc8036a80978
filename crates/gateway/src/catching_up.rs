//! Waiting for a later catalogue before a request is looked up. Decisions are made in [`sardinemux_core::passage`].

use std::time::Duration;

use tokio::time;

use crate::prelude::*;

/// How long a request waits for a later catalogue before it is refused. Another gateway is tried then.
const TIMEOUT: Duration = Duration::from_millis(300);

/// The interval at which a waiting request checks for that.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until `is_behind` no longer holds. Returns `false` if it still does after [`TIMEOUT`].
pub async fn wait_while(is_behind: impl Fn() -> bool) -> bool {
    let caught_up = async {
        while is_behind() {
            time::sleep(POLL_INTERVAL).await;
        }
    };
    time::timeout(TIMEOUT, caught_up).await.is_ok()
}

/// Records that another gateway has a version of the catalogue in force, and has this one get it if that is later.
pub fn note_holder(gateway: &Gateway, name: &str, version: u64) {
    if gateway.members.lock().note_catalog(name, version) {
        gateway.later_catalog.notify_waiters();
    }
}

/// Records by which version of the catalogue another gateway has served a request that was passed on to it.
pub fn note_seen(gateway: &Gateway, name: &str, version: u64) {
    if version <= gateway.catalog.read().version() {
        return;
    }
    let now_ms = gateway.now_ms();
    gateway.seen_catalog.lock().note(version, now_ms);
    note_holder(gateway, name, version);
}

/// Waits until the catalogue in force is not earlier than one that callers may have seen. Returns `false` if it still is.
pub async fn wait_for_seen(gateway: &Gateway) -> bool {
    wait_while(|| {
        let own = gateway.catalog.read().version();
        let seen = *gateway.seen_catalog.lock();
        seen.is_ahead(own, gateway.now_ms())
    })
    .await
}
