//! Asking anew after this process stood still, before acting on what it believed.

use std::time::Duration;

use sardinemux_core::roster::command;
use tokio::time;

use crate::prelude::*;
use crate::replication;

/// How long a request waits until what was believed before is confirmed. Beyond it, serving on old knowledge
/// is better than refusing: the store may be away just now.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(400);

/// How often a waiting request looks.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Notes that the process runs, and asks everything anew if it stood still before.
pub fn note_heartbeat(gateway: &Gateway) {
    let Some(boot_ms) = gateway.clock.boot_ms() else {
        return;
    };
    let pause_ms = gateway.pulse.lock().note_heartbeat(boot_ms);
    if let Some(pause_ms) = pause_ms {
        log::warn!(pause_ms = pause_ms; "the process stood still, asking anew");
        invalidate_state(gateway);
    }
}

/// Gives up kept connections and old reports, and has the store or another gateway asked for everything.
pub fn invalidate_state(gateway: &Gateway) {
    gateway.shelf.lock().clear();
    command::clear_reports(&mut gateway.roster.lock());
    replication::invalidate_versions(gateway);
    gateway.wakes.send_modify(|count| *count += 1);
}

/// Waits until what is known was heard after the process last stood still.
pub async fn wait_for_refresh(gateway: &Gateway) {
    note_heartbeat(gateway);
    let suspensions = *gateway.wakes.borrow();
    if replication::is_refreshed(gateway, suspensions) {
        return;
    }
    let refresh = async {
        while !replication::is_refreshed(gateway, suspensions) {
            time::sleep(POLL_INTERVAL).await;
        }
    };
    if time::timeout(REFRESH_TIMEOUT, refresh).await.is_err() {
        log::warn!(waited_ms = REFRESH_TIMEOUT.as_millis() as u64; "serving on what was known before the process stood still");
    }
}
