//! The records of streams: gateways send them to the one of those that read the store which is first in rank. It writes them
//! there in batches, and removes them once no caller can take up the streams any more.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::Mutex;
use sardinemux_core::origin::{command, query, Origin};
use sardinemux_core::position::Position;
use sardinemux_core::readers::{self, Peer};
use tokio::sync::{Notify, Semaphore};
use tokio::time::{self, Instant};

use crate::prelude::*;
use crate::replication::with_view;
use crate::source::{Fact, Source, Topic};
use crate::supplement::{self, Supplement};

/// The shortest time between two writes. A record that has not been written is lost when all gateways are killed.
const WRITE_INTERVAL: Duration = Duration::from_millis(80);

/// The longest time without a check for records to remove.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(1);

/// The largest number of records in one write. With the removals beside them, it fits into a transaction of 100 entries.
const RECORDS_MAX: usize = 75;

/// The largest number of removals in one write.
const REMOVALS_MAX: usize = 25;

/// The largest number of records in a datagram. One takes about 30 bytes.
const DATAGRAM_RECORDS_MAX: usize = 40;

/// The largest number of writes that have not been answered. One whose answer is lost holds up no other.
const WRITES_MAX: usize = 16;

/// The delay before the records of other processes are listed again.
const ADOPTION_RETRY_DELAY: Duration = Duration::from_secs(5);

/// The delay before a failed write is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// The records that wait to be sent to other gateways.
#[derive(Debug, Default)]
pub(super) struct Records {
    outgoing: Mutex<Vec<(SocketAddr, Vec<Origin>)>>,
    /// Wakes the task that sends datagrams.
    pub(super) alarm: Notify,
    /// Wakes the task that passes records on or writes them.
    pub(super) queued: Notify,
}

/// Takes the datagrams that are to be sent to other gateways.
pub fn take_datagrams(gateway: &Gateway) -> Vec<(SocketAddr, Vec<u8>)> {
    let outgoing = std::mem::take(&mut *gateway.origins.records.outgoing.lock());
    let datagrams = outgoing.into_iter().filter_map(|(address, origins)| {
        let bytes = supplement::encode(&Supplement::Origins(origins))?;
        Some((address, bytes))
    });
    datagrams.collect()
}

/// Queues the records of another gateway for the store.
pub fn receive(gateway: &Gateway, origins: Vec<Origin>) {
    command::queue_records(&mut gateway.origins.register.lock(), origins);
    gateway.origins.records.queued.notify_one();
}

/// Returns the address of the gateway that writes the records of this one, or `None` if this gateway writes them itself: it is
/// the first in rank of those that read the store, or knows no other that does.
fn recorder(gateway: &Gateway) -> Option<SocketAddr> {
    let state = with_view(gateway, Topic::Targets, |view| view.reader_state());
    let settings = &gateway.settings;
    let me = Peer {
        name: &settings.name,
        zone: &settings.zone,
        link_mbps: settings.link_mbps,
        state,
        newest: Position::default(),
    };
    let members = gateway.members.lock();
    let peers = members.iter_recent(Topic::Targets, gateway.now_ms());
    let chosen = readers::choose_first_reader(peers.chain([me]))?;
    members.address(chosen.name)
}

/// When the records that this gateway has written or adopted were written, oldest first.
type Written = Arc<Mutex<VecDeque<(Instant, u64)>>>;

/// Passes on the records of streams, or writes them to the store. Never returns.
pub async fn run(gateway: Arc<Gateway>, source: Arc<Source>) {
    let written = Written::default();
    let permits = Arc::new(Semaphore::new(WRITES_MAX));
    let mut has_adopted = false;
    let mut last_write = Instant::now();
    loop {
        let queued = gateway.origins.records.queued.notified();
        // Both ends of the wait lead to the same check.
        let _ = time::timeout(REMOVAL_INTERVAL, queued).await;
        if let Some(address) = recorder(&gateway) {
            send(&gateway, address);
        } else {
            time::sleep_until(last_write + WRITE_INTERVAL).await;
        }
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let records = command::take_records(&mut gateway.origins.register.lock(), RECORDS_MAX);
        let ttl_ms = query::record_ttl_ms(&gateway.origins.register.lock());
        let ttl = Duration::from_millis(ttl_ms);
        let removals = {
            let mut written = written.lock();
            if records.is_empty() && !has_due_removals(&written, ttl) {
                continue;
            }
            take_expired(&mut written, ttl)
        };
        if !has_adopted {
            has_adopted = true;
            tokio::spawn(adopt(source.clone(), written.clone()));
        }
        last_write = Instant::now();
        let writing = write(
            gateway.clone(),
            source.clone(),
            written.clone(),
            records,
            removals,
        );
        tokio::spawn(async move {
            writing.await;
            drop(permit);
        });
    }
}

/// Writes records to the store and removes others. After a failure they are queued again.
async fn write(
    gateway: Arc<Gateway>,
    source: Arc<Source>,
    written: Written,
    records: Vec<Origin>,
    removals: Vec<u64>,
) {
    match (source.record_origins)(records.clone(), removals.clone()).await {
        Ok(()) => {
            let now = Instant::now();
            let streams = records.iter().map(|origin| (now, origin.stream));
            written.lock().extend(streams);
        }
        Err(error) => {
            log::warn!(
                records = records.len(), error:% = error;
                "cannot record where streams began in the store; retrying"
            );
            let now = Instant::now();
            let streams = removals.into_iter().map(|stream| (now, stream));
            written.lock().extend(streams);
            time::sleep(RETRY_DELAY).await;
            command::queue_records(&mut gateway.origins.register.lock(), records);
        }
    }
    // There may be more than one write holds.
    gateway.origins.records.queued.notify_one();
}

/// Sends all records to the gateway that writes them.
fn send(gateway: &Gateway, address: SocketAddr) {
    loop {
        let mut register = gateway.origins.register.lock();
        let records = command::take_records(&mut register, DATAGRAM_RECORDS_MAX);
        drop(register);
        if records.is_empty() {
            return;
        }
        let outgoing = &gateway.origins.records.outgoing;
        outgoing.lock().push((address, records));
        gateway.origins.records.alarm.notify_one();
    }
}

/// Returns whether enough records have expired that their removal is worth a call.
fn has_due_removals(written: &VecDeque<(Instant, u64)>, ttl: Duration) -> bool {
    let due = written.get(REMOVALS_MAX - 1);
    due.is_some_and(|(at, _)| at.elapsed() >= ttl)
}

/// Takes records that have expired, at most as many as one call removes.
fn take_expired(written: &mut VecDeque<(Instant, u64)>, ttl: Duration) -> Vec<u64> {
    let is_expired = |(at, _): &&(Instant, u64)| at.elapsed() >= ttl;
    let expired = written.iter().take_while(is_expired).take(REMOVALS_MAX);
    let count = expired.count();
    written.drain(..count).map(|(_, stream)| stream).collect()
}

/// Takes over the removal of records that other processes have written, as soon as the store lists them.
async fn adopt(source: Arc<Source>, written: Written) {
    loop {
        match (source.list)(Topic::Origins).await {
            Ok(batch) => {
                let now = Instant::now();
                let origins = batch.entries.into_iter().filter_map(|entry| entry.fact);
                let streams = origins.filter_map(|fact| match fact {
                    Fact::Origin(origin) => Some((now, origin.stream)),
                    _ => None,
                });
                written.lock().extend(streams);
                return;
            }
            Err(error) => log::warn!(
                error:% = error;
                "cannot list the records of streams in the store; retrying, old ones are removed later"
            ),
        }
        time::sleep(ADOPTION_RETRY_DELAY).await;
    }
}
