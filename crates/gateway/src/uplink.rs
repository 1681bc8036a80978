//! Sends large updates to other gateways, a few at a time and in paced parts. Decisions are made in [`sardinemux_core::uplink`].

use std::sync::Arc;
use std::time::Duration;

use async_stream::stream;
use bytes::Bytes;
use futures_util::Stream;
use parking_lot::Mutex;
use sardinemux_core::uplink::{self, Pacer, PART_BYTES};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::{self, Instant};

/// The longest time for which a transfer keeps others waiting. A receiver that reads no longer does not end its transfer.
const TRANSFER_MAX: Duration = Duration::from_secs(2);

/// The transfers of large updates.
#[derive(Debug)]
pub struct Uplink {
    slots: Arc<Semaphore>,
    pacer: Mutex<Pacer>,
    /// When the process began, from which the pacer counts.
    begin: Instant,
    received: Notify,
}

/// The right to send a large update. It ends when it is dropped, and after two seconds.
#[derive(Debug)]
pub struct Transfer {
    _permit: Arc<Mutex<Option<OwnedSemaphorePermit>>>,
}

impl Uplink {
    /// Creates the transfers of a gateway with a link of `link_mbps` Mbit/s.
    pub fn new(link_mbps: u32) -> Self {
        Self {
            slots: Arc::new(Semaphore::new(uplink::transfers_max(link_mbps))),
            pacer: Mutex::new(Pacer::new(link_mbps)),
            begin: Instant::now(),
            received: Notify::new(),
        }
    }

    /// Records that this gateway has received a large update, which it can send on.
    pub fn note_received(&self) {
        self.received.notify_one();
    }

    /// Waits until a large update has been received.
    pub async fn wait_for_update(&self) {
        self.received.notified().await;
    }

    /// Waits for the right to send a large update. Returns `None` if there is none until `until`.
    pub async fn begin(&self, until: Instant) -> Option<Transfer> {
        let slot = time::timeout_at(until, self.slots.clone().acquire_owned()).await;
        // The semaphore is never closed.
        let permit = Arc::new(Mutex::new(slot.ok()?.ok()));
        let held = Arc::downgrade(&permit);
        tokio::spawn(async move {
            time::sleep(TRANSFER_MAX).await;
            if let Some(permit) = held.upgrade() {
                permit.lock().take();
            }
        });
        Some(Transfer { _permit: permit })
    }
}

/// Returns the parts of an update, each when it may be sent, and ends the transfer behind the last one.
pub fn pace(
    uplink: Arc<Uplink>,
    mut update: Bytes,
    transfer: Transfer,
) -> impl Stream<Item = Bytes> {
    stream! {
        while !update.is_empty() {
            let part = update.split_to(update.len().min(PART_BYTES));
            let now_ms = uplink.begin.elapsed().as_millis() as u64;
            let at_ms = uplink.pacer.lock().schedule(part.len(), now_ms);
            time::sleep(Duration::from_millis(at_ms.saturating_sub(now_ms))).await;
            yield part;
        }
        drop(transfer);
    }
}
