//! Whom a gateway follows: the store while it is its turn to read, else another gateway that reads.

use std::net::SocketAddr;
use std::time::Duration;

use sardinemux_core::readers::{self, Peer, Progress, ReaderState};
use tokio::time;

use crate::peers;
use crate::prelude::*;
use crate::replication::{
    self, apply_peer_batch, apply_store_batch, note_refresh, note_store_failure,
    note_store_success, reset_watch_version, with_view,
};
use crate::source::{self, Batch, Source, Topic};

/// The pause before the list of gateways is read again after a failure.
const MEMBERS_RETRY_DELAY: Duration = Duration::from_millis(800);

/// How often a gateway that follows nobody looks for one to follow.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The shortest time between two reads of the store. Changes come in bursts, each call is priced, and the bounds
/// are seconds.
const READ_INTERVAL_MIN: Duration = Duration::from_millis(150);

/// The time between two reads of the list of gateways; reports tell of changes between them.
const MEMBERS_POLL_INTERVAL: Duration = Duration::from_secs(30);

/// Follows one topic at the store for ever, while it is this gateway's turn to.
pub async fn follow_store(gateway: Arc<Gateway>, source: Arc<Source>, topic: Topic) {
    let mut failures: u32 = 0;
    let mut suspensions = gateway.wakes.subscribe();
    loop {
        if !should_read_store(&gateway, topic) {
            clear_reader_state(&gateway, topic);
            time::sleep(POLL_INTERVAL).await;
            continue;
        }
        let since = watch_version(&gateway, topic);
        let suspension_count = *suspensions.borrow_and_update();
        let call = match since {
            Some(since) => (source.watch)(topic, since),
            None => (source.list)(topic),
        };
        let result = tokio::select! {
            result = call => result,
            // The sender lives as long as the gateway. What was asked before is asked anew.
            _ = suspensions.changed() => continue,
        };
        count_call(&gateway, topic, &result);
        let pause = match result {
            Ok(batch) => {
                failures = 0;
                note_store_success(&gateway, topic);
                note_refresh(&gateway, topic, suspension_count);
                let is_quiet = batch.entries.is_empty();
                apply_store_batch(&gateway, topic, batch, since.is_none());
                match is_quiet {
                    true => Duration::ZERO,
                    false => READ_INTERVAL_MIN,
                }
            }
            Err(source::Error::Expired { since }) => {
                log::info!(topic = topic.name(), since = since; "history is gone, listing anew");
                reset_watch_version(&gateway, topic);
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

/// Follows one topic at other gateways for ever, while this one does not follow the store.
pub async fn follow_peers(gateway: Arc<Gateway>, topic: Topic) {
    let mut excluded = None;
    let mut suspensions = gateway.wakes.subscribe();
    loop {
        let Some(address) = choose_peer(&gateway, topic, excluded) else {
            excluded = None;
            time::sleep(POLL_INTERVAL).await;
            continue;
        };
        let suspension_count = *suspensions.borrow_and_update();
        let waits = with_view(&gateway, topic, |view| {
            view.refreshed_suspensions == suspension_count
        });
        let call = peers::news(&gateway, address, topic, waits);
        let result = tokio::select! {
            result = call => result,
            _ = suspensions.changed() => continue,
        };
        match result {
            Ok(news) => {
                if news.is_following {
                    note_refresh(&gateway, topic, suspension_count);
                }
                excluded = (!news.is_following).then_some(address);
                apply_peer_batch(&gateway, topic, news);
            }
            Err(error) => {
                log::info!(peer:% = address, topic = topic.name(), error:% = error; "a gateway told nothing");
                gateway.members.lock().mark_silent(address);
                excluded = Some(address);
            }
        }
    }
}

/// Returns the gateway to ask for news: at first any that knows the whole, then one that is ahead, or, for a gateway
/// that does not follow the store, one that does.
fn choose_peer(
    gateway: &Gateway,
    topic: Topic,
    excluded: Option<SocketAddr>,
) -> Option<SocketAddr> {
    let now_ms = gateway.now_ms();
    let (is_following, is_filled, progress) = with_view(gateway, topic, |view| {
        let progress = Progress {
            newest_version: view.log.newest(),
            complete_version: view.log.version(),
        };
        (view.is_following(), view.log.is_filled(), progress)
    });
    let zone = &gateway.settings.zone;
    let members = gateway.members.lock();
    let peers = || {
        let recent = members.iter_recent(topic, now_ms);
        recent.filter(|peer| members.address(peer.name) != excluded)
    };
    if !is_filled {
        let snapshot_peer = readers::choose_snapshot_peer(zone, peers(), &mut rand::rng());
        return members.address(snapshot_peer?.name);
    }
    let chosen = readers::find_newer_peer(progress, peers()).or_else(|| match is_following {
        true => None,
        false => readers::choose_reader(zone, peers()),
    });
    members.address(chosen?.name)
}

/// Reads the list of gateways now and then, after this one is in it: of any two, the later reader finds the other.
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
                log::warn!(error:% = error; "the list of gateways was not read");
                MEMBERS_RETRY_DELAY
            }
        };
        time::sleep(pause).await;
    }
}

/// Returns whether this gateway is to read the store now.
fn should_read_store(gateway: &Gateway, topic: Topic) -> bool {
    let now_ms = gateway.now_ms();
    if now_ms < gateway.settings.listen_ms {
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
        newest_version: 0,
    };
    let members = gateway.members.lock();
    let peers = || members.iter_recent(topic, now_ms);
    let waited_ms = now_ms.saturating_sub(heard_ms);
    readers::is_reader(me, peers()) || readers::is_fallback_reader(me, peers(), waited_ms)
}

/// Returns how many gateways of the zone try to read the store in vain, this one among them.
fn count_failing_readers(gateway: &Gateway, topic: Topic) -> usize {
    let members = gateway.members.lock();
    let peers = members.iter_recent(topic, gateway.now_ms());
    let failing = peers
        .filter(|peer| peer.zone == gateway.settings.zone && peer.state == ReaderState::Failing);
    1 + failing.count()
}

fn clear_reader_state(gateway: &Gateway, topic: Topic) {
    with_view(gateway, topic, |view| {
        view.following_since_ms = None;
        view.failing_since_ms = None;
        view.watch_version = None;
    });
}

fn watch_version(gateway: &Gateway, topic: Topic) -> Option<u64> {
    with_view(gateway, topic, |view| view.watch_version)
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
