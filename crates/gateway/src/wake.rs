//! Asking anew after this process stood still, before acting on what it believed.

use std::time::Duration;

use sardinemux_core::roster::command;
use tokio::time;

use crate::knowledge;
use crate::prelude::*;

/// How long a request waits until what was believed before is confirmed. Beyond it, serving on old knowledge
/// is better than refusing: the store may be away just now.
const CONFIRM: Duration = Duration::from_millis(400);

/// How often a waiting request looks.
const LOOK: Duration = Duration::from_millis(10);

/// Notes that the process runs, and asks everything anew if it stood still before.
pub fn beat(gateway: &Gateway) {
    let Some(boot_ms) = gateway.clock.boot_ms() else {
        return;
    };
    let pause_ms = gateway.suspension_detector.lock().note_heartbeat(boot_ms);
    if let Some(pause_ms) = pause_ms {
        log::warn!(pause_ms = pause_ms; "the process stood still, asking anew");
        wake(gateway);
    }
}

/// Gives up kept connections and old reports, and has the store or another gateway asked for everything.
pub fn wake(gateway: &Gateway) {
    gateway.idle_connections.lock().clear();
    command::clear_reports(&mut gateway.roster.lock());
    knowledge::doubt(gateway);
    gateway.suspensions.send_modify(|wakes| *wakes += 1);
}

/// Waits until what is known was heard after the process last stood still.
pub async fn confirmed(gateway: &Gateway) {
    beat(gateway);
    let wakes = *gateway.suspensions.borrow();
    if knowledge::is_confirmed(gateway, wakes) {
        return;
    }
    let confirming = async {
        while !knowledge::is_confirmed(gateway, wakes) {
            time::sleep(LOOK).await;
        }
    };
    if time::timeout(CONFIRM, confirming).await.is_err() {
        log::warn!(waited_ms = CONFIRM.as_millis() as u64; "serving on what was known before the process stood still");
    }
}
