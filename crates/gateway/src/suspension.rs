//! Refresh of a gateway's state after a suspension of its process, before requests are routed by outdated state.

use std::time::Duration;

use sardinemux_core::roster::command;
use tokio::time;

use crate::prelude::*;
use crate::replication;

/// How long a request waits for the refresh. After that, serving it with state that may be outdated is better than
/// refusing it: the store may be unavailable.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(400);

/// The interval at which a waiting request checks whether the state is refreshed.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Records a heartbeat of the process, and invalidates its state if the process was suspended before.
///
/// Does nothing on a machine without a boot-time clock.
pub fn note_heartbeat(gateway: &Gateway) {
    let Some(boot_ms) = gateway.clock.boot_ms() else {
        return;
    };
    let pause_ms = gateway.suspension_detector.lock().note_heartbeat(boot_ms);
    if let Some(pause_ms) = pause_ms {
        log::warn!(pause_ms = pause_ms; "the process stood still, asking anew");
        invalidate_state(gateway);
    }
}

/// Closes idle connections to targets, drops the reports of other gateways, and has the
/// topics of operators and targets read again.
pub fn invalidate_state(gateway: &Gateway) {
    gateway.idle_connections.lock().clear();
    command::clear_reports(&mut gateway.roster.lock());
    let now_ms = gateway.now_ms();
    gateway.members.lock().note_suspension(now_ms);
    replication::invalidate_versions(gateway);
    gateway.suspensions.send_modify(|count| *count += 1);
}

/// Waits until the topics of operators and targets have been read since the last suspension of the process.
///
/// Returns after a timeout without that, and logs a warning.
pub async fn wait_for_refresh(gateway: &Gateway) {
    note_heartbeat(gateway);
    let suspensions = *gateway.suspensions.borrow();
    if replication::is_refreshed(gateway, suspensions) {
        return;
    }
    let refresh = async {
        while !replication::is_refreshed(gateway, suspensions) {
            time::sleep(POLL_INTERVAL).await;
        }
    };
    if time::timeout(REFRESH_TIMEOUT, refresh).await.is_err() {
        log::warn!(
            waited_ms = REFRESH_TIMEOUT.as_millis() as u64;
            "state not refreshed in time after a suspension; serving requests with the previous state"
        );
    }
}
