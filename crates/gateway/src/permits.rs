//! Permits: what gateways ask of the dispatcher of a pool, and what a dispatcher answers. It decides in
//! [`sardinemux_core::permits`].

mod dispatch;
mod ranking;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use sardinemux_core::collection::Number;
use sardinemux_core::hash;
use sardinemux_core::permits::{self, Decision, Dispatcher, End, Request, Ticket};
use sardinemux_core::roster::query;
use sardinemux_core::target::Key;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, Notify};
use tokio::time::{self, Instant};

use crate::prelude::*;
use crate::request::Inbound;
use crate::settings;
use crate::supplement::{self, Supplement};

pub use self::dispatch::{receive_requests, run};
use self::ranking::{first, with_ranking, Ranking, Silence, SILENT_MISSES};

/// The time within which a dispatcher answers, before the next one is asked: four times the largest round trip between zones.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);

/// The time for which a decision is waited for after its time-out: after a lack of CPU time, it may lie unread in the socket.
const UNREAD_GRACE: Duration = Duration::from_millis(3);

/// The interval at which a request that waits asks again, so that the loss of its dispatcher or of the grant is noticed.
const REPEAT_INTERVAL: Duration = Duration::from_millis(150);

/// The largest number of dispatchers that are asked for one permit.
const ASKED_MAX: usize = 2;

/// Requests for permits and ends of requests of one gateway, for one pool.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Requests {
    /// The name of the pool.
    pub pool: SmolStr,
    /// The requests.
    pub requests: Vec<Request>,
    /// The ends.
    pub ends: Vec<(Ticket, End)>,
}

/// The decisions of a dispatcher about requests of the recipient, by the numbers of the requests. A dispatcher sends one for each request
/// of its pool, so that it names neither itself nor the pool.
pub type Decisions = Vec<(u64, Decision)>;

/// The requests for permits of this gateway, and its queues as a dispatcher.
#[derive(Debug)]
pub struct Permits {
    next: AtomicU64,
    /// The requests that wait for a decision, by number.
    pending: Mutex<IndexMap<u64, mpsc::UnboundedSender<Decision>>>,
    rankings: Mutex<IndexMap<SmolStr, Ranking>>,
    /// The dispatchers that have not answered lately, by name.
    silent: Mutex<IndexMap<SmolStr, Silence>>,
    dispatchers: Mutex<IndexMap<SmolStr, Dispatcher>>,
    /// Whether this gateway was the first dispatcher of a pool when that was last checked.
    leads: Mutex<IndexMap<SmolStr, bool>>,
    outgoing: Mutex<Vec<(SocketAddr, Supplement)>>,
    wake: Notify,
    /// Wakes the task of the dispatcher once a request waits.
    queued: Notify,
}

impl Default for Permits {
    fn default() -> Self {
        Self {
            next: AtomicU64::new(rand::random()),
            pending: Mutex::default(),
            rankings: Mutex::default(),
            silent: Mutex::default(),
            dispatchers: Mutex::default(),
            leads: Mutex::default(),
            outgoing: Mutex::default(),
            wake: Notify::new(),
            queued: Notify::new(),
        }
    }
}

impl Permits {
    /// Waits until there are datagrams to send.
    pub async fn wait_for_datagrams(&self) {
        self.wake.notified().await;
    }

    fn send(&self, address: SocketAddr, supplement: Supplement) {
        self.outgoing.lock().push((address, supplement));
        self.wake.notify_one();
    }
}

/// What came of a request for a permit.
#[derive(Debug)]
pub enum Outcome {
    /// The request may be sent to this target.
    Granted(Key, Permit),
    /// It cannot be served in time. The caller may return after this time.
    Refused(Duration),
    /// No dispatcher has decided, so that this gateway does.
    Alone,
}

/// A permit, which is returned when it is dropped. Before it is granted, dropping it withdraws the request for it.
#[derive(Debug)]
pub struct Permit {
    gateway: Arc<Gateway>,
    pool: SmolStr,
    dispatcher: SmolStr,
    number: u64,
    end: End,
    is_held: bool,
}

impl Permit {
    /// Records that the target completed the request.
    pub fn set_completed(&mut self, time_ms: u64) {
        self.end = End::Completed(u32::try_from(time_ms).unwrap_or(u32::MAX));
    }

    /// Records that the target rejected the request, as it is full.
    pub fn set_rejected(&mut self) {
        self.end = End::Rejected;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.gateway
            .permits
            .pending
            .lock()
            .swap_remove(&self.number);
        if self.is_held {
            send_end(
                &self.gateway,
                &self.pool,
                &self.dispatcher,
                self.number,
                self.end,
            );
        }
    }
}

/// Returns whether this gateway takes part in permits.
pub fn is_on(gateway: &Gateway) -> bool {
    match gateway.settings.permits {
        settings::Permits::Off => false,
        settings::Permits::Auto => {
            let now_ms = gateway.now_ms();
            query::states_speed(&gateway.roster.lock(), now_ms)
        }
        settings::Permits::On => true,
    }
}

/// Returns whether requests of a pool need permits: it is plain, and its slots are few for the number of gateways.
pub fn applies(gateway: &Gateway, pool: &str) -> bool {
    if !is_on(gateway) {
        return false;
    }
    let catalog = gateway.catalog();
    if catalog.pool(pool).is_none_or(|it| it.engine.is_some()) {
        return false;
    }
    let now_ms = gateway.now_ms();
    let slots: u32 = {
        let roster = gateway.roster.lock();
        if query::is_brittle(&roster, pool, now_ms) {
            return false;
        }
        let slots = query::slots(&roster, pool, now_ms).into_iter();
        slots.map(|(_, slots)| slots).sum()
    };
    with_ranking(gateway, pool, |ranking| {
        permits::is_scarce(slots, ranking.gateways)
    })
}

/// Asks for a permit for a request and waits for it. `usable` are the targets that the request may be sent to.
pub async fn obtain(gateway: &Arc<Gateway>, inbound: &Inbound, usable: &[Key]) -> Outcome {
    let outcome = obtain_from_any(gateway, inbound, usable).await;
    let label = match &outcome {
        Outcome::Granted(..) => "granted",
        Outcome::Refused(_) => "refused",
        Outcome::Alone => "alone",
    };
    let counts = &gateway.metrics.permits;
    counts
        .with_label_values(&[inbound.pool.as_str(), label])
        .inc();
    outcome
}

async fn obtain_from_any(gateway: &Arc<Gateway>, inbound: &Inbound, usable: &[Key]) -> Outcome {
    let mut asked: Vec<SmolStr> = Vec::new();
    while asked.len() < ASKED_MAX {
        let Some(dispatcher) = first(gateway, &inbound.pool, &asked) else {
            break;
        };
        let decided = obtain_from(gateway, inbound, usable, &dispatcher).await;
        {
            let now_ms = gateway.now_ms();
            let mut silent = gateway.permits.silent.lock();
            match &decided {
                Some(Decided::Outcome(_)) => {
                    silent.swap_remove(&dispatcher);
                }
                Some(Decided::Moved) => {
                    let silence = silent.entry(dispatcher.clone()).or_default();
                    silence.note(SILENT_MISSES, now_ms);
                }
                None => silent
                    .entry(dispatcher.clone())
                    .or_default()
                    .note(1, now_ms),
            }
        }
        match decided {
            Some(Decided::Outcome(outcome)) => return outcome,
            Some(Decided::Moved) => {}
            None => {
                log::info!(pool:% = inbound.pool, dispatcher:% = dispatcher; "no answer to a request for a permit");
            }
        }
        asked.push(dispatcher);
    }
    Outcome::Alone
}

/// What came of a request to one dispatcher.
enum Decided {
    Outcome(Outcome),
    /// Another gateway has replaced the dispatcher.
    Moved,
}

/// Asks one dispatcher. Returns `None` if it does not answer in time.
async fn obtain_from(
    gateway: &Arc<Gateway>,
    inbound: &Inbound,
    usable: &[Key],
    dispatcher: &SmolStr,
) -> Option<Decided> {
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let number = gateway.permits.next.fetch_add(1, Ordering::Relaxed);
    gateway.permits.pending.lock().insert(number, sender);
    let mut permit = Permit {
        gateway: gateway.clone(),
        pool: inbound.pool.clone(),
        dispatcher: dispatcher.clone(),
        number,
        end: End::Other,
        is_held: true,
    };
    loop {
        if inbound.remaining().is_zero() {
            return Some(Decided::Outcome(Outcome::Refused(ANSWER_TIMEOUT)));
        }
        ask(gateway, inbound, usable, dispatcher, number);
        let mut limit = Instant::now() + ANSWER_TIMEOUT;
        let mut is_acknowledged = false;
        while let Some(decision) = next_decision(&mut receiver, limit).await {
            permit.is_held = matches!(decision, Decision::Queued | Decision::Granted(_));
            let outcome = match decision {
                Decision::Queued => {
                    is_acknowledged = true;
                    limit = (Instant::now() + REPEAT_INTERVAL).min(inbound.deadline);
                    continue;
                }
                Decision::Granted(target) => match usable_key(gateway, usable, target) {
                    Some(key) => Outcome::Granted(key, permit),
                    None => Outcome::Alone,
                },
                Decision::Refused(return_ms) => {
                    Outcome::Refused(Duration::from_millis(u64::from(return_ms)))
                }
                Decision::Declined => Outcome::Alone,
                Decision::Moved => return Some(Decided::Moved),
            };
            return Some(Decided::Outcome(outcome));
        }
        if !is_acknowledged {
            return None;
        }
    }
}

/// Returns the next decision, or `None` if there is none until the limit.
async fn next_decision(
    receiver: &mut mpsc::UnboundedReceiver<Decision>,
    limit: Instant,
) -> Option<Decision> {
    if let Ok(decision) = time::timeout_at(limit, receiver.recv()).await {
        return decision;
    }
    let unread = time::timeout(UNREAD_GRACE, receiver.recv()).await;
    unread.ok().flatten()
}

fn usable_key(gateway: &Gateway, usable: &[Key], target: Number) -> Option<Key> {
    let roster = gateway.roster.lock();
    let is_target = |key: &Key| query::id(&roster, *key).is_some_and(|id| Number::of(id) == target);
    usable.iter().copied().find(is_target)
}

/// Returns the numbers of the eligible targets of a pool that a request may not be sent to.
fn avoided(gateway: &Gateway, pool: &str, usable: &[Key]) -> Vec<Number> {
    let now_ms = gateway.now_ms();
    let roster = gateway.roster.lock();
    let keys = query::eligible(&roster, pool, now_ms).into_iter();
    // A target in backoff is not known to the dispatcher to be so before its own requests fail.
    let avoided =
        keys.filter(|key| !usable.contains(key) || query::is_in_backoff(&roster, *key, now_ms));
    avoided
        .filter_map(|key| query::id(&roster, key).map(|id| Number::of(id)))
        .collect()
}

fn ask(gateway: &Gateway, inbound: &Inbound, usable: &[Key], dispatcher: &str, number: u64) {
    let left_ms = inbound.remaining().as_millis();
    let objective = Duration::from_millis(inbound.route.objective_ms);
    let objective_ms = objective
        .saturating_sub(inbound.received_at.elapsed())
        .as_millis();
    let request = Request {
        ticket: ticket(gateway, number),
        route: hash::digest(&[inbound.route.name.as_bytes()]) as u32,
        organisation: inbound.organisation.clone().unwrap_or_default(),
        priority: inbound.priority,
        zone: gateway.settings.zone.clone(),
        content: inbound.content,
        left_ms: u32::try_from(left_ms).unwrap_or(u32::MAX),
        objective_ms: u32::try_from(objective_ms).unwrap_or(u32::MAX),
        avoided: avoided(gateway, &inbound.pool, usable),
    };
    let requests = Requests {
        pool: inbound.pool.clone(),
        requests: vec![request],
        ends: Vec::new(),
    };
    send_requests(gateway, dispatcher, requests);
}

fn ticket(gateway: &Gateway, number: u64) -> Ticket {
    Ticket {
        gateway: gateway.settings.name.clone(),
        number,
    }
}

fn send_end(gateway: &Gateway, pool: &SmolStr, dispatcher: &str, number: u64, end: End) {
    let requests = Requests {
        pool: pool.clone(),
        requests: Vec::new(),
        ends: vec![(ticket(gateway, number), end)],
    };
    send_requests(gateway, dispatcher, requests);
}

fn send_requests(gateway: &Gateway, dispatcher: &str, requests: Requests) {
    if gateway.settings.name == dispatcher {
        receive_requests(gateway, requests);
        return;
    }
    let address = gateway.members.lock().address(dispatcher);
    if let Some(address) = address {
        let supplement = Supplement::PermitRequests(requests);
        gateway.permits.send(address, supplement);
    }
}

/// Applies the decisions of a dispatcher. Those about requests that no longer wait are ignored: the dispatcher was told of their end.
pub fn receive_decisions(gateway: &Gateway, decisions: &Decisions) {
    let pending = gateway.permits.pending.lock();
    for (number, decision) in decisions {
        if let Some(sender) = pending.get(number) {
            // The request may have been given up in this moment.
            let _ = sender.send(*decision);
        }
    }
}

/// Returns the datagrams that are to be sent.
pub fn take_datagrams(gateway: &Gateway) -> Vec<(SocketAddr, Vec<u8>)> {
    let outgoing = std::mem::take(&mut *gateway.permits.outgoing.lock());
    let datagrams = outgoing
        .into_iter()
        .filter_map(|(address, supplement)| Some((address, supplement::encode(&supplement)?)));
    datagrams.collect()
}

/// Drops what a dispatcher has granted, after the process stood still. The gateways ask again, and reports show what runs.
pub fn forget_all(gateway: &Gateway) {
    gateway.permits.dispatchers.lock().clear();
}
