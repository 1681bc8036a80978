//! The exchange with random peers: membership, load samples and the version of the configuration.

use std::time::Duration;

use rand::seq::{IndexedRandom, IteratorRandom};
use sardinemux_core::control_traffic::Purpose;
use sardinemux_core::load::Source;
use sardinemux_core::membership::command::Merge;
use sardinemux_core::membership::{command, query, Member, State};
use sardinemux_wire::gossip::{Message, PoolSample};
use tokio::time;

use crate::configure;
use crate::owner::desk;
use crate::peer_client::{self, REQUEST_OVERHEAD_BYTES, RESPONSE_OVERHEAD_BYTES};
use crate::prelude::*;

/// The rumours in one message.
const RUMOURS_MAX: usize = 8;

/// The samples of other routers in one message.
const SAMPLES_MAX: usize = 6;

/// The bytes that an exchange takes at most, for the budget.
const EXCHANGE_BYTES: usize = REQUEST_OVERHEAD_BYTES + RESPONSE_OVERHEAD_BYTES + 1_200;

/// Exchanges messages with a random peer each period, until the program ends.
pub async fn run(router: Arc<Router>) {
    loop {
        let period_ms = router.settings.gossip_period_ms;
        let pause_ms = rand::random_range(period_ms / 2..=period_ms * 3 / 2);
        time::sleep(Duration::from_millis(pause_ms)).await;
        age(&router);
        let Some(peer) = random_peer(&router) else {
            continue;
        };
        let now_ms = router.now_ms();
        let may_spend =
            router
                .control_budget
                .lock()
                .try_withdraw(Purpose::Membership, EXCHANGE_BYTES, now_ms);
        if !may_spend {
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

fn age(router: &Router) {
    let now_ms = router.now_ms();
    router.samples.lock().remove_expired(now_ms);
    router.fence.lock().remove_expired(now_ms);
    let merge = command::apply_timeouts(&mut router.view.lock(), now_ms);
    if merge != Merge::Unchanged {
        router.recompute_owners();
    }
}

/// Exchanges messages with one peer; one that does not answer twice is suspected.
pub async fn exchange(router: &Arc<Router>, peer: &Member) {
    for _ in 0..2 {
        let message = message(router, Some(peer));
        if let Ok(answer) = peer_client::exchange_gossip(router, peer, &message).await {
            absorb(router, answer);
            return;
        }
    }
    let now_ms = router.now_ms();
    let merge = command::suspect(&mut router.view.lock(), &peer.id, now_ms);
    if merge != Merge::Unchanged {
        log::warn!(peer:% = peer.id; "peer does not answer, suspected");
        router.recompute_owners();
    }
}

/// Tells every known peer at once, as when this router begins to stop.
pub async fn announce(router: &Arc<Router>) {
    let peers: Vec<Member> = query::peers(&router.view.lock())
        .into_iter()
        .filter(|peer| peer.state <= State::Suspect)
        .cloned()
        .collect();
    let told = peers.iter().map(|peer| exchange(router, peer));
    futures_util::future::join_all(told).await;
}

/// Writes a message for a peer. What is wrongly believed of the peer goes along, so that it can
/// refute it.
pub fn message(router: &Router, peer: Option<&Member>) -> Message {
    let mut members = {
        let mut view = router.view.lock();
        let mut members = command::take_rumours(&mut view, RUMOURS_MAX);
        let believed = peer.and_then(|peer| query::member(&view, &peer.id));
        members.extend(
            believed
                .filter(|member| member.state > State::Alive)
                .cloned(),
        );
        members
    };
    members.dedup();
    Message {
        config: router.config.read().version,
        members,
        samples: samples(router),
    }
}

fn samples(router: &Router) -> Vec<PoolSample> {
    let me = &router.settings.id;
    let own = desk::own_pools(router).into_iter();
    let mut samples: Vec<PoolSample> = own
        .map(|(pool, sample)| PoolSample {
            router: me.clone(),
            pool,
            sample,
            age_ms: 0,
        })
        .collect();
    let now_ms = router.now_ms();
    let held = router.samples.lock();
    let others = held
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

/// Takes a message in; its first member is the sender.
pub fn absorb(router: &Arc<Router>, message: Message) {
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
    note_rumours(router, members.collect());
    note_samples(router, samples);
    if config > router.config.read().version {
        let router = router.clone();
        tokio::spawn(async move { configure::pull(&router, &sender).await });
    }
}

/// Notes that a router spoke.
pub fn note_contact(router: &Router, member: Member) {
    let now_ms = router.now_ms();
    let merge = command::note_contact(&mut router.view.lock(), member, now_ms);
    if merge != Merge::Unchanged {
        router.recompute_owners();
    }
}

/// Notes what is said of other routers.
pub fn note_rumours(router: &Router, members: Vec<Member>) {
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

fn note_samples(router: &Router, samples: Vec<PoolSample>) {
    let now_ms = router.now_ms();
    let mut held = router.samples.lock();
    for sample in samples {
        if sample.router == router.settings.id {
            continue;
        }
        let source = Source {
            router: sample.router,
            pool: sample.pool,
        };
        let at_ms = now_ms.saturating_sub(u64::from(sample.age_ms));
        held.put(source, sample.sample, at_ms);
    }
}
