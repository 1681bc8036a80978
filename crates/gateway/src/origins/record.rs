//! The records of streams: gateways send them to those of the gateways that read the store which are first in rank, and keep them
//! until they are confirmed. Writers write them there in batches, and remove them once no caller can take up the streams any more.
//!
//! Decisions are made in [`sardinemux_core::origin::outbox`].

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::Mutex;
use sardinemux_core::origin::outbox::{Outbox, Sender, Writer};
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

/// The longest time without a check whether the writer of a record was lost.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The largest number of records in one write. With the removals beside them, it fits into a transaction of 100 entries.
const RECORDS_MAX: usize = 75;

/// The largest number of removals in one write.
const REMOVALS_MAX: usize = 25;

/// The largest number of writes that have not been answered. One whose answer is lost holds up no other.
const WRITES_MAX: usize = 16;

/// The delay before the records of other processes are listed again.
const ADOPTION_RETRY_DELAY: Duration = Duration::from_secs(5);

/// The records that are not known to be written, and what is to be sent to other gateways.
#[derive(Debug, Default)]
pub(super) struct Records {
    outbox: Mutex<Outbox>,
    outgoing: Mutex<Vec<(SocketAddr, Vec<u8>)>>,
    /// Wakes the task that sends datagrams.
    pub(super) alarm: Notify,
    /// Wakes the task that passes records on or writes them.
    pub(super) queued: Notify,
}

/// Takes the datagrams that are to be sent to other gateways.
pub fn take_datagrams(gateway: &Gateway) -> Vec<(SocketAddr, Vec<u8>)> {
    std::mem::take(&mut *gateway.origins.records.outgoing.lock())
}

fn send<T: Clone>(
    gateway: &Gateway,
    address: SocketAddr,
    items: &[T],
    supplement: impl Fn(Vec<T>) -> Supplement,
) {
    let datagrams = supplement::split(items, supplement).into_iter();
    let records = &gateway.origins.records;
    let addressed = datagrams.map(|bytes| (address, bytes));
    records.outgoing.lock().extend(addressed);
    records.alarm.notify_one();
}

/// Queues the records of another gateway for the store.
pub fn receive(gateway: &Gateway, origins: Vec<Origin>, sender: Sender) {
    if let Sender::Confirmed(address) = sender {
        let streams: Vec<u64> = origins.iter().map(|origin| origin.stream).collect();
        send(gateway, address, &streams, Supplement::Held);
    }
    let ttl_ms = query::record_ttl_ms(&gateway.origins.register.lock());
    let now_ms = gateway.now_ms();
    let lost = {
        let mut outbox = gateway.origins.records.outbox.lock();
        outbox.add(origins, sender, ttl_ms, now_ms)
    };
    note_lost(gateway, lost);
    gateway.origins.records.queued.notify_one();
}

/// Notes which records another gateway holds, or has written.
pub fn receive_confirmation(gateway: &Gateway, streams: &[u64], is_written: bool) {
    let now_ms = gateway.now_ms();
    let mut outbox = gateway.origins.records.outbox.lock();
    match is_written {
        true => drop(outbox.confirm(streams)),
        false => outbox.note_held(streams, now_ms),
    }
}

fn count(gateway: &Gateway, outcome: &str, records: usize) {
    let counter = &gateway.metrics.stream_records;
    counter.with_label_values(&[outcome]).inc_by(records as u64);
}

/// Logs and counts records that were dropped.
fn note_lost(gateway: &Gateway, lost: usize) {
    if lost == 0 {
        return;
    }
    count(gateway, "lost", lost);
    log::error!(records = lost; "too many records of streams are not written; the oldest are dropped, and their streams may be refused");
}

/// Returns the gateways that write the records of this one: those that read the store and come before it in rank.
fn writers(gateway: &Gateway) -> Vec<Writer> {
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
    let ranked = readers::rank_readers(peers.chain([me])).into_iter();
    let before = ranked.take_while(|name| settings.name != *name);
    let writer = |name: &str| Writer {
        name: name.into(),
        confirms: members.confirms_records(name),
    };
    before.map(writer).collect()
}

/// Moves the records of streams that have begun here, and need one, to the outbox.
fn collect_own(gateway: &Gateway) {
    let (records, lost, stream_ms) = {
        let mut register = gateway.origins.register.lock();
        let records = command::take_records(&mut register, usize::MAX);
        let lost = command::take_lost(&mut register);
        (records, lost, query::stream_ms(&register))
    };
    let now_ms = gateway.now_ms();
    let dropped = {
        let mut outbox = gateway.origins.records.outbox.lock();
        outbox.add(records, Sender::Own, stream_ms, now_ms)
    };
    note_lost(gateway, lost + dropped);
}

/// Sends records to the gateway that writes them.
fn send_records(gateway: &Gateway, writer: &str, records: &[Origin]) {
    let (address, confirms) = {
        let members = gateway.members.lock();
        (members.address(writer), members.confirms_records(writer))
    };
    // One that is not known any more does not confirm them.
    let Some(address) = address else { return };
    count(gateway, "sent", records.len());
    match confirms {
        true => send(gateway, address, records, Supplement::Records),
        false => send(gateway, address, records, Supplement::Origins),
    }
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
        wait_for_due(&gateway, last_write).await;
        collect_own(&gateway);
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let records_max = match last_write.elapsed() >= WRITE_INTERVAL {
            true => RECORDS_MAX,
            false => 0,
        };
        let writers = writers(&gateway);
        let now_ms = gateway.now_ms();
        let due = {
            let mut outbox = gateway.origins.records.outbox.lock();
            outbox.take_due(&writers, records_max, now_ms)
        };
        for (writer, records) in &due.sent {
            send_records(&gateway, writer, records);
        }
        if due.expired > 0 {
            count(&gateway, "expired", due.expired);
            log::warn!(records = due.expired; "records of streams were not written while the streams could be taken up; dropped");
        }
        let records = due.written;
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

/// Waits until records are due, and until they may be written.
async fn wait_for_due(gateway: &Gateway, last_write: Instant) {
    let records = &gateway.origins.records;
    let queued = records.queued.notified();
    let next_due_ms = records.outbox.lock().next_due_ms();
    let due_in = next_due_ms.map_or(REMOVAL_INTERVAL, |due_ms| {
        let due_in = Duration::from_millis(due_ms.saturating_sub(gateway.now_ms()));
        let pause = WRITE_INTERVAL.saturating_sub(last_write.elapsed());
        due_in.max(pause).min(CHECK_INTERVAL)
    });
    // Both ends of the wait lead to the same check.
    let _ = time::timeout(due_in, queued).await;
}

/// Writes records to the store and removes others, and tells those who sent the records.
async fn write(
    gateway: Arc<Gateway>,
    source: Arc<Source>,
    written: Written,
    records: Vec<Origin>,
    removals: Vec<u64>,
) {
    let streams: Vec<u64> = records.iter().map(|origin| origin.stream).collect();
    match (source.record_origins)(records, removals.clone()).await {
        Ok(()) => {
            count(&gateway, "written", streams.len());
            let now = Instant::now();
            written
                .lock()
                .extend(streams.iter().map(|stream| (now, *stream)));
            let senders = gateway.origins.records.outbox.lock().confirm(&streams);
            for (sender, streams) in senders {
                send(&gateway, sender, &streams, Supplement::Written);
            }
        }
        Err(error) => {
            log::warn!(
                records = streams.len(), error:% = error;
                "cannot record where streams began in the store; retrying"
            );
            let now = Instant::now();
            let removals = removals.into_iter().map(|stream| (now, stream));
            written.lock().extend(removals);
            let now_ms = gateway.now_ms();
            let mut outbox = gateway.origins.records.outbox.lock();
            outbox.postpone(&streams, now_ms);
        }
    }
    // There may be more than one write holds.
    gateway.origins.records.queued.notify_one();
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
