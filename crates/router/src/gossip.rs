//! Gossip with random peers: membership rumours, load samples and the version of the configuration.

use std::time::Duration;

use rand::seq::{IndexedRandom, IteratorRandom};
use sardinemux_core::control_traffic::Purpose;
use sardinemux_core::load::Source;
use sardinemux_core::membership::command::Merge;
use sardinemux_core::membership::{command, query, Member, State};
use sardinemux_wire::gossip::{Message, PoolSample};
use tokio::time;

use crate::config_sync;
use crate::owner::admission;
use crate::peer_client::{self, REQUEST_OVERHEAD_BYTES, RESPONSE_OVERHEAD_BYTES};
use crate::prelude::*;

/// The greatest number of membership rumours in one message.
const RUMOURS_MAX: usize = 8;

/// The greatest number of other routers' load samples in one message.
const SAMPLES_MAX: usize = 6;

/// The greatest size of one exchange, withdrawn from the control traffic budget beforehand.
const EXCHANGE_BYTES: usize = REQUEST_OVERHEAD_BYTES + RESPONSE_OVERHEAD_BYTES + 1_200;

/// Exchanges messages with a random peer once per period, if the control traffic budget allows. Never returns.
///
/// The period varies at random between half and one and a half times the configured one.
pub async fn run(router: Arc<Router>) {
    loop {
        let period_ms = router.settings.gossip_period_ms;
        let pause_ms = rand::random_range(period_ms / 2..=period_ms * 3 / 2);
        time::sleep(Duration::from_millis(pause_ms)).await;
        expire_state(&router);
        let Some(peer) = random_peer(&router) else {
            continue;
        };
        let now_ms = router.now_ms();
        let is_within_budget =
            router
                .control_budget
                .lock()
                .try_withdraw(Purpose::Membership, EXCHANGE_BYTES, now_ms);
        if !is_within_budget {
            router.metrics.control_skipped.inc();
            continue;
        }
        let router = router.clone();
        tokio::spawn(async move { exchange(&router, &peer).await });
    }
}

fn random_peer(router: &Router) -> Option<Member> {
    let view = router.view.lock();
    let peers = query::peers(&view);
    peers.choose(&mut rand::rng()).map(|peer| (*peer).clone())
}

/// Removes expired samples and request ids, and applies the timeouts of the membership protocol.
fn expire_state(router: &Router) {
    let now_ms = router.now_ms();
    router.samples.lock().remove_expired(now_ms);
    router.fence.lock().remove_expired(now_ms);
    let merge = command::apply_timeouts(&mut router.view.lock(), now_ms);
    if merge != Merge::Unchanged {
        router.recompute_owners();
    }
}

/// Exchanges messages with a peer. A peer that fails to answer two attempts in a row becomes suspect.
pub async fn exchange(router: &Arc<Router>, peer: &Member) {
    for _ in 0..2 {
        let message = build_message(router, Some(peer));
        if let Ok(answer) = peer_client::exchange_gossip(router, peer, &message).await {
            handle_message(router, answer);
            return;
        }
    }
    let now_ms = router.now_ms();
    let merge = command::suspect(&mut router.view.lock(), &peer.id, now_ms);
    if merge != Merge::Unchanged {
        log::warn!(peer:% = peer.id; "peer did not answer two gossip messages; marked as suspect");
        router.recompute_owners();
    }
}

/// Exchanges messages with all live and suspected peers at once. Used when this router begins to stop, so that they
/// learn of it without waiting for the gossip to spread.
pub async fn announce(router: &Arc<Router>) {
    let peers: Vec<Member> = query::peers(&router.view.lock())
        .into_iter()
        .filter(|peer| peer.state <= State::Suspect)
        .cloned()
        .collect();
    let exchanges = peers.iter().map(|peer| exchange(router, peer));
    futures_util::future::join_all(exchanges).await;
}

/// Builds a message for a peer. If this router does not regard that peer as alive, the message includes its entry for
/// the peer, so that the peer can refute it.
pub fn build_message(router: &Router, peer: Option<&Member>) -> Message {
    let mut members = {
        let mut view = router.view.lock();
        let mut members = command::take_rumours(&mut view, RUMOURS_MAX);
        let known_entry = peer.and_then(|peer| query::member(&view, &peer.id));
        members.extend(
            known_entry
                .filter(|member| member.state > State::Alive)
                .cloned(),
        );
        members
    };
    members.dedup();
    Message {
        config: router.config.read().version,
        members,
        samples: collect_samples(router),
    }
}

/// Collects the samples for a message: this router's own of every pool, and a random choice of other routers' fresh
/// ones.
fn collect_samples(router: &Router) -> Vec<PoolSample> {
    let me = &router.settings.id;
    let own = admission::own_samples(router).into_iter();
    let mut samples: Vec<PoolSample> = own
        .map(|(pool, sample)| PoolSample {
            router: me.clone(),
            pool,
            sample,
            age_ms: 0,
        })
        .collect();
    let now_ms = router.now_ms();
    let stored = router.samples.lock();
    let others = stored
        .iter_fresh(now_ms)
        .map(|(source, sample, age_ms)| PoolSample {
            router: source.router.clone(),
            pool: source.pool.clone(),
            sample,
            age_ms: age_ms as u32,
        });
    samples.extend(others.choose_multiple(&mut rand::rng(), SAMPLES_MAX));
    samples
}

/// Handles a received message, whose first member is the sender. Pulls the configuration from the sender if its version
/// is newer.
pub fn handle_message(router: &Arc<Router>, message: Message) {
    let Message {
        config,
        members,
        samples,
    } = message;
    let mut members = members.into_iter();
    let Some(sender) = members.next() else {
        return;
    };
    note_contact(router, sender.clone());
    merge_rumours(router, members.collect());
    record_samples(router, samples);
    if config > router.config.read().version {
        let router = router.clone();
        tokio::spawn(async move { config_sync::pull_update(&router, &sender).await });
    }
}

/// Records that a router sent a message or an answer, with its own membership entry.
pub fn note_contact(router: &Router, member: Member) {
    let now_ms = router.now_ms();
    let merge = command::note_contact(&mut router.view.lock(), member, now_ms);
    if merge != Merge::Unchanged {
        router.recompute_owners();
    }
}

/// Merges membership entries of other routers that were received second-hand.
pub fn merge_rumours(router: &Router, members: Vec<Member>) {
    let now_ms = router.now_ms();
    let mut is_changed = false;
    {
        let mut view = router.view.lock();
        for member in members {
            is_changed |= command::merge(&mut view, member, now_ms) == Merge::Changed;
        }
    }
    if is_changed {
        router.recompute_owners();
    }
}

/// Stores received load samples, dated back by their age. Those of this router itself are ignored.
fn record_samples(router: &Router, samples: Vec<PoolSample>) {
    let now_ms = router.now_ms();
    let mut stored = router.samples.lock();
    for sample in samples {
        if sample.router == router.settings.id {
            continue;
        }
        let source = Source {
            router: sample.router,
            pool: sample.pool,
        };
        stored.put(source, sample.sample, sample.age_ms, now_ms);
    }
}
