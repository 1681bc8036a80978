//! Whom a gateway follows: the store while it is its turn to read, else another gateway that reads.

use std::net::SocketAddr;
use std::time::Duration;

use sardinemux_core::readers::{self, Peer, Progress, ReaderState};
use tokio::time;

use crate::knowledge::{
    self, apply_store, confirm, forget_version, note_contact, note_loss, take_news, with_view,
};
use crate::peers;
use crate::prelude::*;
use crate::source::{self, Batch, Source, Topic};

/// The pause before the list of gateways is read again after a failure.
const MEMBERS_RETRY: Duration = Duration::from_millis(800);

/// How often a gateway that follows nobody looks for one to follow.
const LOOK: Duration = Duration::from_millis(50);

/// The shortest time between two reads of the store. Changes come in bursts, each call is priced, and the bounds
/// are seconds.
const READ_PAUSE: Duration = Duration::from_millis(150);

/// The time between two reads of the list of gateways; reports tell of changes between them.
const MEMBERS_PAUSE: Duration = Duration::from_secs(30);

/// Follows one topic at the store for ever, while it is this gateway's turn to.
pub async fn store(gateway: Arc<Gateway>, source: Arc<Source>, topic: Topic) {
    let mut failures: u32 = 0;
    let mut wakes = gateway.suspensions.subscribe();
    loop {
        if !reads_store(&gateway, topic) {
            leave_store(&gateway, topic);
            time::sleep(LOOK).await;
            continue;
        }
        let since = store_since(&gateway, topic);
        let asked = *wakes.borrow_and_update();
        let reading = match since {
            Some(since) => (source.watch)(topic, since),
            None => (source.list)(topic),
        };
        let result = tokio::select! {
            result = reading => result,
            // The sender lives as long as the gateway. What was asked before is asked anew.
            _ = wakes.changed() => continue,
        };
        count(&gateway, topic, &result);
        let pause = match result {
            Ok(batch) => {
                failures = 0;
                note_contact(&gateway, topic);
                confirm(&gateway, topic, asked);
                let is_quiet = batch.entries.is_empty();
                apply_store(&gateway, topic, batch, since.is_none());
                match is_quiet {
                    true => Duration::ZERO,
                    false => READ_PAUSE,
                }
            }
            Err(source::Error::Forgotten { since }) => {
                log::info!(topic = topic.name(), since = since; "history is gone, listing anew");
                forget_version(&gateway, topic);
                Duration::ZERO
            }
            Err(error) => {
                note_loss(&gateway, topic, &error);
                failures += 1;
                let lost = lost_readers(&gateway, topic);
                Duration::from_millis(readers::retry_delay_ms(failures, lost, &mut rand::rng()))
            }
        };
        time::sleep(pause).await;
    }
}

/// Follows one topic at other gateways for ever, while this one does not follow the store.
pub async fn others(gateway: Arc<Gateway>, topic: Topic) {
    let mut avoided = None;
    let mut wakes = gateway.suspensions.subscribe();
    loop {
        let Some(address) = peer_to_follow(&gateway, topic, avoided) else {
            avoided = None;
            time::sleep(LOOK).await;
            continue;
        };
        let asked = *wakes.borrow_and_update();
        let waits = with_view(&gateway, topic, |view| view.confirmed == asked);
        let asking = peers::fetch_update(&gateway, address, topic, waits);
        let result = tokio::select! {
            result = asking => result,
            _ = wakes.changed() => continue,
        };
        match result {
            Ok(news) => {
                if news.is_following {
                    confirm(&gateway, topic, asked);
                }
                avoided = (!news.is_following).then_some(address);
                take_news(&gateway, topic, news);
            }
            Err(error) => {
                log::info!(peer:% = address, topic = topic.name(), error:% = error; "a gateway told nothing");
                gateway.members.lock().doubt(address);
                avoided = Some(address);
            }
        }
    }
}

/// Returns the gateway to ask for news: at first any that knows the whole, then one that is ahead, or, for a gateway
/// that does not follow the store, one that does.
fn peer_to_follow(
    gateway: &Gateway,
    topic: Topic,
    avoided: Option<SocketAddr>,
) -> Option<SocketAddr> {
    let now_ms = gateway.now_ms();
    let (is_following, is_filled, progress) = with_view(gateway, topic, |view| {
        let progress = Progress {
            newest_version: view.log.newest_version(),
            complete_version: view.log.version(),
        };
        (view.is_following(), view.log.has_snapshot(), progress)
    });
    let zone = &gateway.settings.zone;
    let members = gateway.members.lock();
    let peers = || {
        let heard = members.heard(topic, now_ms);
        heard.filter(|peer| members.address(peer.name) != avoided)
    };
    if !is_filled {
        let informed = readers::choose_snapshot_peer(zone, peers(), &mut rand::rng());
        return members.address(informed?.name);
    }
    let chosen = readers::find_newer_peer(progress, peers()).or_else(|| match is_following {
        true => None,
        false => readers::choose_reader(zone, peers()),
    });
    members.address(chosen?.name)
}

/// Reads the list of gateways now and then, after this one is in it: of any two, the later reader finds the other.
pub async fn members(gateway: Arc<Gateway>, source: Arc<Source>) {
    loop {
        let result = (source.list)(Topic::Members).await;
        count(&gateway, Topic::Members, &result);
        let pause = match result {
            Ok(batch) => {
                knowledge::apply_members(&gateway, batch.entries);
                MEMBERS_PAUSE
            }
            Err(error) => {
                log::warn!(error:% = error; "the list of gateways was not read");
                MEMBERS_RETRY
            }
        };
        time::sleep(pause).await;
    }
}

/// Returns whether this gateway is to read the store now.
fn reads_store(gateway: &Gateway, topic: Topic) -> bool {
    let now_ms = gateway.now_ms();
    if now_ms < gateway.settings.discovery_ms {
        return false;
    }
    let (standing, heard_ms) = with_view(gateway, topic, |view| (view.standing(), view.heard_ms));
    let settings = &gateway.settings;
    let me = Peer {
        name: &settings.name,
        zone: &settings.zone,
        link_mbps: settings.link_mbps,
        state: standing,
        newest_version: 0,
    };
    let members = gateway.members.lock();
    let peers = || members.heard(topic, now_ms);
    let waited_ms = now_ms.saturating_sub(heard_ms);
    readers::is_reader(me, peers()) || readers::is_fallback_reader(me, peers(), waited_ms)
}

/// Returns how many gateways of the zone try to read the store in vain, this one among them.
fn lost_readers(gateway: &Gateway, topic: Topic) -> usize {
    let members = gateway.members.lock();
    let peers = members.heard(topic, gateway.now_ms());
    let lost = peers
        .filter(|peer| peer.zone == gateway.settings.zone && peer.state == ReaderState::Failing);
    1 + lost.count()
}

fn leave_store(gateway: &Gateway, topic: Topic) {
    with_view(gateway, topic, |view| {
        view.followed_since_ms = None;
        view.lost_since_ms = None;
        view.store_since = None;
    });
}

fn store_since(gateway: &Gateway, topic: Topic) -> Option<u64> {
    with_view(gateway, topic, |view| view.store_since)
}

fn count(gateway: &Gateway, topic: Topic, result: &source::Result<Batch>) {
    let outcome = match result {
        Ok(_) => "answered",
        Err(source::Error::Forgotten { .. }) => "forgotten",
        Err(source::Error::Refused { .. }) => "refused",
        Err(source::Error::Unanswered { .. }) => "unanswered",
    };
    let calls = &gateway.metrics.store_calls;
    calls.with_label_values(&[topic.name(), outcome]).inc();
}
