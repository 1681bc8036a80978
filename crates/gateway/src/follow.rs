//! The tasks that keep the replica of a gateway up to date, from the store or from other gateways.
//!
//! In general, one gateway of each availability zone reads a topic from the store, and the others get its entries from
//! that one.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::{self, BoxFuture};
use sardinemux_core::position::Position;
use sardinemux_core::readers::{self, Peer, Progress, ReaderState};
use tokio::time::{self, Instant};

use crate::client;
use crate::peers::{self, Scope};
use crate::prelude::*;
use crate::replication::{
    self, apply_peer_batch, apply_store_batch, note_refresh, note_store_failure,
    note_store_success, reset_watch_position, with_view,
};
use crate::source::{self, Batch, Source, Topic, WATCH_WAIT};

/// The delay before the list of gateways is read again after a failed call.
const MEMBERS_RETRY_DELAY: Duration = Duration::from_millis(800);

/// The interval at which a task that has nothing to read checks again whether to read, and from which gateway.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The delay after a read of the store that returned entries.
///
/// Changes come in bursts and each call to the store is charged for, so the delay collects a burst into fewer calls. It
/// is short compared with the seconds within which a change must be known.
const BATCH_DELAY: Duration = Duration::from_millis(150);

/// The delay before a complete list without entries is read again. A fleet that starts before its first catalogue is
/// written reads at this interval.
const EMPTY_LIST_DELAY: Duration = Duration::from_millis(500);

/// The time without any part of the store's answer, in addition to that of a watch, after which a call is overdue: more than the
/// answer of a store takes that is fifty times slower than usual, and a fraction of the seconds within which a change must be known.
const OVERDUE_TIME: Duration = Duration::from_millis(400);

/// How long another gateway has had newer entries when a query that nothing has come back for is given up for one to that gateway.
const OVERTAKEN_DELAY: Duration = Duration::from_millis(200);

/// The delay after a complete list of another gateway that brought no later catalogue.
const WHOLE_RETRY_DELAY: Duration = Duration::from_millis(250);

/// The time between two reads of the list of gateways. Between them, changes are known from reports.
const MEMBERS_POLL_INTERVAL: Duration = Duration::from_secs(30);

/// Follows one topic at the store whenever this gateway is to read it. Never returns.
pub async fn follow_store(gateway: Arc<Gateway>, source: Arc<Source>, topic: Topic) {
    let mut failures: u32 = 0;
    let mut suspensions = gateway.suspensions.subscribe();
    loop {
        if !should_read_store(&gateway, topic) {
            replication::clear_reader_state(&gateway, topic);
            time::sleep(POLL_INTERVAL).await;
            continue;
        }
        let since = watch_position(&gateway, topic);
        let suspension_count = *suspensions.borrow_and_update();
        let (call, limit) = match since {
            Some(since) => ((source.watch)(topic, since), WATCH_WAIT + OVERDUE_TIME),
            None => ((source.list)(topic), OVERDUE_TIME),
        };
        let result = tokio::select! {
            result = await_answer(&gateway, &source, topic, call, limit) => result,
            // A call that began before a suspension is repeated. The sender lives as long as the gateway, so an error
            // cannot occur here.
            _ = suspensions.changed() => continue,
        };
        count_call(&gateway, topic, &result);
        gateway.note_era((source.era)());
        let pause = match result {
            Ok(batch) => {
                failures = 0;
                note_store_success(&gateway, topic);
                note_refresh(&gateway, topic, suspension_count);
                let is_empty = batch.entries.is_empty();
                apply_store_batch(&gateway, topic, batch, since.is_none());
                match (is_empty, watch_position(&gateway, topic)) {
                    (false, _) => BATCH_DELAY,
                    (true, Some(_)) => Duration::ZERO,
                    (true, None) => EMPTY_LIST_DELAY,
                }
            }
            Err(source::Error::Expired { since }) => {
                log::info!(
                    topic = topic.name(), since = since.version, era:? = since.era;
                    "the store does not have the changes since this version; reading the complete list"
                );
                reset_watch_position(&gateway, topic);
                Duration::ZERO
            }
            Err(error) => {
                note_store_failure(&gateway, topic, &error);
                failures += 1;
                let failing = count_failing_readers(&gateway, topic);
                Duration::from_millis(readers::retry_delay_ms(failures, failing, &mut rand::rng()))
            }
        };
        time::sleep(pause).await;
    }
}

/// Awaits the answer of a call to the store. If nothing of it has come within `limit`, or no further part since, the gateways are
/// told so, and the call continues: a slow store still answers it.
async fn await_answer(
    gateway: &Gateway,
    source: &Source,
    topic: Topic,
    mut call: BoxFuture<'static, source::Result<Batch>>,
    limit: Duration,
) -> source::Result<Batch> {
    let mut received = (source.received)(topic);
    let mut pause = limit;
    loop {
        if let Ok(result) = time::timeout(pause, &mut call).await {
            return result;
        }
        let former = std::mem::replace(&mut received, (source.received)(topic));
        if received == former {
            break;
        }
        pause = OVERDUE_TIME;
    }
    replication::note_store_delay(gateway, topic, limit);
    call.await
}

/// Gets the entries of one topic from other gateways, while there is one to choose. Never returns.
pub async fn follow_peers(gateway: Arc<Gateway>, topic: Topic) {
    // The gateways that have been asked in vain since the last success.
    let mut excluded = Vec::new();
    let mut suspensions = gateway.suspensions.subscribe();
    loop {
        let Some(choice) = choose_peer(&gateway, topic, &excluded) else {
            excluded.clear();
            time::sleep(POLL_INTERVAL).await;
            continue;
        };
        let suspension_count = *suspensions.borrow_and_update();
        let waits = with_view(&gateway, topic, |view| {
            view.refreshed_suspensions == suspension_count
        });
        let scope = match choice.is_whole {
            true => Scope::Whole,
            false => Scope::Changes { waits },
        };
        let address = choice.address;
        let progress = client::Progress::default();
        let call = peers::fetch_update(&gateway, address, topic, scope, &progress);
        let result = tokio::select! {
            result = call => result,
            _ = suspensions.changed() => continue,
            () = gateway.later_catalog.notified(), if topic == Topic::Operators => continue,
            () = wait_until_overtaken(&gateway, topic, &excluded, address, &progress) => {
                log::info!(peer:% = address, topic = topic.name(); "another gateway has newer entries; asking that one");
                excluded.push(address);
                continue;
            }
        };
        match result {
            Ok(news) => {
                if news.is_following {
                    note_refresh(&gateway, topic, suspension_count);
                }
                match news.is_following {
                    true => excluded.clear(),
                    false => excluded.push(address),
                }
                let former = gateway.catalog.read().version();
                apply_peer_batch(&gateway, topic, news);
                let has_later = gateway.catalog.read().version() > former;
                if choice.is_whole && !has_later {
                    // A list that brings nothing is not read again at once.
                    excluded.push(address);
                    time::sleep(WHOLE_RETRY_DELAY).await;
                }
            }
            Err(error) => {
                log::info!(peer:% = address, topic = topic.name(), error:% = error; "a gateway told nothing");
                gateway.members.lock().mark_silent(address);
                excluded.push(address);
            }
        }
    }
}

/// Waits until another gateway has had newer entries for [`OVERTAKEN_DELAY`], while nothing has come from the gateway at `address`: it
/// stands still, or its link is occupied.
async fn wait_until_overtaken(
    gateway: &Gateway,
    topic: Topic,
    excluded: &[SocketAddr],
    address: SocketAddr,
    progress: &client::Progress,
) {
    let excluded = [excluded, &[address]].concat();
    let mut since = None;
    while progress.received() == 0 {
        time::sleep(POLL_INTERVAL).await;
        since =
            newer_address(gateway, topic, &excluded).and(since.or_else(|| Some(Instant::now())));
        if since.is_some_and(|since| since.elapsed() >= OVERTAKEN_DELAY) && progress.received() == 0
        {
            return;
        }
    }
    future::pending().await
}

/// Returns the address of a gateway that has a newer entry than this one, and is not `excluded`.
fn newer_address(gateway: &Gateway, topic: Topic, excluded: &[SocketAddr]) -> Option<SocketAddr> {
    let now_ms = gateway.now_ms();
    let progress = with_view(gateway, topic, |view| {
        let progress = Progress {
            newest: view.log.newest(),
            complete: view.log.position(),
        };
        view.log.has_snapshot().then_some(progress)
    })?;
    let known = *gateway.era.borrow();
    let members = gateway.members.lock();
    let peers = members.iter_in_era(topic, known, now_ms);
    let peers = peers.filter(|peer| !is_excluded(excluded, members.address(peer.name)));
    let zone = &gateway.settings.zone;
    let newer = readers::find_newer_peer(progress, zone, peers, &mut rand::rng())?;
    members.address(newer.name)
}

/// The gateway from which to get entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Choice {
    address: SocketAddr,
    /// Whether to get all entries, also those of positions that this gateway has.
    is_whole: bool,
}

fn is_excluded(excluded: &[SocketAddr], address: Option<SocketAddr>) -> bool {
    address.is_some_and(|address| excluded.contains(&address))
}

/// Chooses the gateway from which to get entries, none of those `excluded`.
///
/// Before the first complete list, this is a gateway that has the newest entry. Later it is one that has a newer entry
/// than this gateway, one that has a later catalogue in force or, if this gateway does not follow the store, one that does.
///
/// A gateway has the newest entry and an earlier catalogue than others if the store came back from an older copy before it read
/// the operators' entries for the first time.
fn choose_peer(gateway: &Gateway, topic: Topic, excluded: &[SocketAddr]) -> Option<Choice> {
    let now_ms = gateway.now_ms();
    let catalog = gateway.catalog.read().version();
    let (is_following, is_filled) = with_view(gateway, topic, |view| {
        (view.is_following(), view.log.has_snapshot())
    });
    if let Some(address) = newer_address(gateway, topic, excluded) {
        let is_whole = false;
        return Some(Choice { address, is_whole });
    }
    let known = *gateway.era.borrow();
    let zone = &gateway.settings.zone;
    let members = gateway.members.lock();
    let peers = || {
        let recent = members.iter_in_era(topic, known, now_ms);
        recent.filter(|peer| !is_excluded(excluded, members.address(peer.name)))
    };
    let choose = |peer: Peer<'_>| {
        let address = members.address(peer.name)?;
        let is_whole = false;
        Some(Choice { address, is_whole })
    };
    if !is_filled {
        return choose(readers::choose_snapshot_peer(
            zone,
            peers(),
            &mut rand::rng(),
        )?);
    }
    let later = members.holder_of_later_catalog(catalog, now_ms);
    if let Some(address) =
        later.filter(|_| topic == Topic::Operators && !is_excluded(excluded, later))
    {
        let is_whole = true;
        return Some(Choice { address, is_whole });
    }
    match is_following {
        true => None,
        false => choose(readers::choose_reader(zone, peers())?),
    }
}

/// Reads the list of gateways at intervals. Never returns.
///
/// It runs once this gateway is registered: of any two gateways, the one that reads the list later finds the other.
pub async fn poll_members(gateway: Arc<Gateway>, source: Arc<Source>) {
    loop {
        let result = (source.list)(Topic::Members).await;
        count_call(&gateway, Topic::Members, &result);
        let pause = match result {
            Ok(batch) => {
                replication::apply_members(&gateway, batch.entries);
                MEMBERS_POLL_INTERVAL
            }
            Err(error) => {
                log::warn!(error:% = error; "cannot read the list of gateways from the store; retrying");
                MEMBERS_RETRY_DELAY
            }
        };
        time::sleep(pause).await;
    }
}

/// Returns whether this gateway is to read a topic from the store now.
fn should_read_store(gateway: &Gateway, topic: Topic) -> bool {
    let now_ms = gateway.now_ms();
    if now_ms < gateway.settings.discovery_ms {
        return false;
    }
    let (standing, heard_ms) = with_view(gateway, topic, |view| {
        (view.reader_state(), view.last_contact_ms)
    });
    let settings = &gateway.settings;
    let me = Peer {
        name: &settings.name,
        zone: &settings.zone,
        link_mbps: settings.link_mbps,
        state: standing,
        newest: Position::default(),
    };
    let known = *gateway.era.borrow();
    let members = gateway.members.lock();
    let peers = || members.iter_in_era(topic, known, now_ms);
    let waited_ms = now_ms.saturating_sub(heard_ms);
    readers::is_reader(me, peers()) || readers::is_fallback_reader(me, peers(), waited_ms)
}

/// Returns the number of gateways of the availability zone whose calls to the store fail, including this one.
fn count_failing_readers(gateway: &Gateway, topic: Topic) -> usize {
    let members = gateway.members.lock();
    let peers = members.iter_recent(topic, gateway.now_ms());
    let failing = peers
        .filter(|peer| peer.zone == gateway.settings.zone && peer.state == ReaderState::Failing);
    1 + failing.count()
}

fn watch_position(gateway: &Gateway, topic: Topic) -> Option<Position> {
    with_view(gateway, topic, |view| view.watch_position)
}

fn count_call(gateway: &Gateway, topic: Topic, result: &source::Result<Batch>) {
    let outcome = match result {
        Ok(_) => "answered",
        Err(source::Error::Expired { .. }) => "forgotten",
        Err(source::Error::Refused { .. }) => "refused",
        Err(source::Error::Unanswered { .. }) => "unanswered",
    };
    let calls = &gateway.metrics.store_calls;
    calls.with_label_values(&[topic.name(), outcome]).inc();
}
