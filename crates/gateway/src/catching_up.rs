//! Waiting for a later catalogue before a request is looked up.

use std::time::Duration;

use tokio::time;

/// How long a request waits for a later catalogue before it is refused. Another gateway is tried then.
const TIMEOUT: Duration = Duration::from_millis(300);

/// The interval at which a waiting request checks for that.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until `is_behind` no longer holds. Returns `false` if it still does after 300 ms.
pub async fn wait_while(is_behind: impl Fn() -> bool) -> bool {
    let caught_up = async {
        while is_behind() {
            time::sleep(POLL_INTERVAL).await;
        }
    };
    time::timeout(TIMEOUT, caught_up).await.is_ok()
}
