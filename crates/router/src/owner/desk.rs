//! The owner's desks: a target's book with the requests that wait for their turn.

use indexmap::IndexMap;
use sardinemux_core::admission::{self, command, query, Controller};
use sardinemux_core::config::{self, Parameter};
use sardinemux_core::fairness::Ticket;
use sardinemux_core::load::Sample;
use sardinemux_core::membership::{self, Member};
use sardinemux_core::ownership;
use sardinemux_core::target::{Kind, Table, Target};
use sardinemux_core::warmup::{self, Observation};
use sardinemux_wire::admin::TargetLoad;
use tokio::sync::oneshot;

use crate::prelude::*;

/// What a waiting request is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// It is its turn.
    Go,
    /// It will not run here.
    Refused(Reason),
}

/// The book of one target, with what the router needs around it.
pub struct Desk {
    /// The target.
    pub target: Target,
    /// The book.
    pub book: Controller,
    /// Whether this router owns the target; it may still have work on one that it owned.
    pub is_owned: bool,
    /// The earlier owner that has to be asked.
    pub former: Option<Member>,
    /// The times that cache events were read since the target was taken over.
    pub event_reads: u32,
    /// The number of the last cache event that was read.
    pub events_after: u64,
    /// The incarnation whose cache events are being read.
    pub events_incarnation: u64,
    waiters: IndexMap<Ticket, oneshot::Sender<Start>>,
    usual_ms: f64,
}

/// The longest time after which a refused caller is told to come back, in milliseconds.
const RETRY_MAX_MS: f64 = 30_000.0;

/// The shortest such time, in milliseconds.
const RETRY_MIN_MS: f64 = 200.0;

/// The time that a request is taken to need before one has ended, in milliseconds.
const USUAL_MS: f64 = 1_000.0;

/// The weight of the newest duration in the usual one.
const SMOOTHING: f64 = 0.1;

/// A load multiple that bounds nothing, for trials without the bound.
const NO_BOUND: f64 = 1e6;

impl Desk {
    fn new(target: Target, settings: admission::Settings) -> Self {
        Self {
            book: Controller::new(settings, target.slots),
            target,
            is_owned: false,
            former: None,
            event_reads: 0,
            events_after: 0,
            events_incarnation: 0,
            waiters: IndexMap::new(),
            usual_ms: USUAL_MS,
        }
    }

    /// Returns when a refused caller may find room, in milliseconds: the time that the queue
    /// needs at the usual pace.
    pub fn retry_after_ms(&self) -> u64 {
        let ahead = query::queue_length(&self.book) as f64 + 1.0;
        let width = f64::from(query::in_flight(&self.book).max(1));
        (ahead * self.usual_ms / width).clamp(RETRY_MIN_MS, RETRY_MAX_MS) as u64
    }

    /// Adds a waiting request.
    pub fn add_waiter(&mut self, ticket: Ticket) -> oneshot::Receiver<Start> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.insert(ticket, sender);
        receiver
    }

    /// Tells a waiting request its verdict; returns whether it was still there.
    pub fn release(&mut self, ticket: Ticket, start: Start) -> bool {
        let waiter = self.waiters.swap_remove(&ticket);
        waiter.is_some_and(|waiter| waiter.send(start).is_ok())
    }

    fn close(&mut self, reason: Reason) {
        for ticket in command::close(&mut self.book) {
            self.release(ticket, Start::Refused(reason));
        }
    }
}

/// Returns a target if this router owns it.
pub fn owned(router: &Router, target: &str) -> Option<Target> {
    let owners = router.owners();
    let is_owned = owners
        .get(target)
        .is_some_and(|owner| owner.id == router.settings.id);
    let targets = router.targets();
    let key = targets.key(target).filter(|_| is_owned)?;
    targets.get(key).cloned()
}

/// Returns the sum of the other routers' samples of a pool.
pub fn others(router: &Router, pool: &str, now_ms: u64) -> Sample {
    router.samples.lock().sum(pool, now_ms)
}

/// Returns this router's own sample of a pool.
pub fn own(desks: &IndexMap<SmolStr, Desk>, pool: &str) -> Sample {
    desks
        .values()
        .filter(|desk| desk.target.pool == pool && !query::is_closed(&desk.book))
        .fold(Sample::default(), |sum, desk| {
            sum.plus(Sample {
                targets: 1,
                requests: query::in_flight(&desk.book),
                tokens: query::tokens_in_flight(&desk.book),
            })
        })
}

/// Returns this router's own samples of all pools.
pub fn own_pools(router: &Router) -> IndexMap<SmolStr, Sample> {
    let desks = router.target_states.lock();
    let mut samples = IndexMap::new();
    for desk in desks.values() {
        let pool = desk.target.pool.clone();
        samples
            .entry(pool)
            .or_insert_with_key(|pool| own(&desks, pool));
    }
    samples
}

/// Returns what runs on each target and waits for it.
pub fn load(router: &Router) -> Vec<TargetLoad> {
    let desks = router.target_states.lock();
    desks
        .values()
        .map(|desk| TargetLoad {
            target: desk.target.id.clone(),
            running: query::in_flight(&desk.book),
            waiting: query::queue_length(&desk.book) as u32,
        })
        .collect()
}

/// Returns the limits in force for a target.
fn limits(router: &Router, target: &Target) -> admission::Settings {
    let has = |mechanism| router.settings.is_enabled(mechanism);
    let value = |parameter| router.parameter(parameter, target);
    admission::Settings {
        load_multiple: match has("bound") {
            true => value(Parameter::LoadMultiple),
            false => NO_BOUND,
        },
        warmup: warmup::Settings {
            cold_limit: match has("cold") {
                true => value(Parameter::ColdLimit) as u32,
                false => target.slots,
            },
            completions_per_doubling: value(Parameter::ColdCompletions) as u32,
            ..warmup::Settings::default()
        },
        queue_max: value(Parameter::QueueLength) as usize,
        takeover_ms: router.settings.takeover_wait_ms,
        has_reports: target.kind == Kind::Engine,
        ..admission::Settings::default()
    }
}

/// Opens, closes and drops desks after a change of owners, targets or configuration.
pub fn refresh(
    router: &Router,
    targets: &Table,
    former: &IndexMap<SmolStr, Member>,
    owners: &IndexMap<SmolStr, Member>,
) {
    let me = &router.settings.id;
    let config = router.config();
    let now_ms = router.now_ms();
    let mine: Vec<Target> = targets
        .iter()
        .filter(|(_, target)| owners.get(&target.id).is_some_and(|owner| owner.id == *me))
        .map(|(_, target)| target.clone())
        .collect();
    let earlier: IndexMap<SmolStr, Member> = mine
        .iter()
        .filter_map(|target| Some((target.id.clone(), earlier_owner(router, target, former)?)))
        .collect();
    let mut desks = router.target_states.lock();
    for desk in desks.values_mut() {
        let is_mine = owners
            .get(&desk.target.id)
            .is_some_and(|owner| owner.id == *me);
        if !is_mine && desk.is_owned {
            desk.is_owned = false;
            desk.close(Reason::NotOwner);
        }
    }
    for target in mine {
        let limits = limits(router, &target);
        let desk = desks
            .entry(target.id.clone())
            .or_insert_with(|| Desk::new(target.clone(), limits));
        command::set_settings(&mut desk.book, limits);
        if !desk.is_owned {
            desk.is_owned = true;
            desk.event_reads = 0;
            desk.former = earlier.get(&target.id).cloned();
            if desk.former.is_some() && router.settings.is_enabled("takeover") {
                command::begin_takeover(&mut desk.book, now_ms);
            }
        }
        match config::query::is_eligible(&config, &target) {
            true => command::open(&mut desk.book),
            false => desk.close(Reason::Leaving),
        }
        desk.target = target;
    }
    desks.retain(|_, desk| desk.is_owned || query::in_flight(&desk.book) > 0);
    let owned = desks.values().filter(|desk| desk.is_owned).count();
    router.metrics.owned_targets.set(owned as i64);
}

/// Returns the router that owned a target before this one: as this router saw it, or, if it saw
/// itself as the owner from the start, as the others saw it without this one.
fn earlier_owner(
    router: &Router,
    target: &Target,
    former: &IndexMap<SmolStr, Member>,
) -> Option<Member> {
    let me = &router.settings.id;
    if let Some(owner) = former.get(&target.id).filter(|owner| owner.id != *me) {
        return Some(owner.clone());
    }
    let view = router.view.lock();
    let rest = membership::query::owners(&view).filter(|member| member.id != *me);
    ownership::owner(rest, target).cloned()
}

/// Notes the end of a request and starts those whose turn it is.
pub fn finish(
    router: &Router,
    target: &SmolStr,
    ticket: Ticket,
    evidence: Observation,
    duration_ms: u64,
) {
    {
        let mut desks = router.target_states.lock();
        let Some(desk) = desks.get_mut(target) else {
            return;
        };
        command::finish(&mut desk.book, ticket, evidence);
        desk.usual_ms += SMOOTHING * (duration_ms as f64 - desk.usual_ms);
        if !desk.is_owned && query::in_flight(&desk.book) == 0 {
            desks.swap_remove(target);
            return;
        }
    }
    start_waiting(router, target);
}

/// Starts the waiting requests of a target for which there is room.
pub fn start_waiting(router: &Router, target: &SmolStr) {
    let now_ms = router.now_ms();
    let Some(pool) = pool_with_queue(router, target) else {
        return;
    };
    let others = others(router, &pool, now_ms);
    let mut desks = router.target_states.lock();
    loop {
        let mean = others.plus(own(&desks, &pool)).mean();
        let Some(desk) = desks.get_mut(target) else {
            return;
        };
        let Some(ticket) = command::start_next(&mut desk.book, mean) else {
            return;
        };
        if !desk.release(ticket, Start::Go) {
            command::finish(&mut desk.book, ticket, Observation::None);
        }
    }
}

fn pool_with_queue(router: &Router, target: &SmolStr) -> Option<SmolStr> {
    let desks = router.target_states.lock();
    let desk = desks.get(target)?;
    let has_queue = query::queue_length(&desk.book) > 0;
    has_queue.then(|| desk.target.pool.clone())
}

/// Starts waiting requests everywhere; the mean may have risen elsewhere meanwhile.
pub fn start_all(router: &Router) {
    let waiting: Vec<SmolStr> = router
        .target_states
        .lock()
        .iter()
        .filter(|(_, desk)| query::queue_length(&desk.book) > 0)
        .map(|(id, _)| id.clone())
        .collect();
    for target in waiting {
        start_waiting(router, &target);
    }
}

/// Takes a request out of the queue; if its turn came meanwhile, gives the turn back. Returns when
/// the caller may come back, in milliseconds.
pub fn withdraw(
    router: &Router,
    target: &SmolStr,
    ticket: Ticket,
    mut start: oneshot::Receiver<Start>,
) -> u64 {
    let retry_after_ms = {
        let mut desks = router.target_states.lock();
        let Some(desk) = desks.get_mut(target) else {
            return RETRY_MIN_MS as u64;
        };
        desk.waiters.swap_remove(&ticket);
        command::cancel_waiting(&mut desk.book, ticket);
        if start.try_recv() == Ok(Start::Go) {
            command::finish(&mut desk.book, ticket, Observation::None);
        }
        desk.retry_after_ms()
    };
    start_waiting(router, target);
    retry_after_ms
}

/// Notes that a target has the cache of a chat.
pub fn note_chat(router: &Router, target: &SmolStr, chat: u64) {
    if let Some(desk) = router.target_states.lock().get_mut(target) {
        command::add_chat(&mut desk.book, chat);
    }
}

/// Notes which incarnation of a target answered.
pub fn note_incarnation(router: &Router, target: &SmolStr, incarnation: u64) {
    if let Some(desk) = router.target_states.lock().get_mut(target) {
        command::set_incarnation(&mut desk.book, incarnation);
    }
}

/// Notes that a target refused or cut a connection, before the request's permit is given back.
pub fn note_lost(router: &Router, target: &SmolStr) {
    if let Some(desk) = router.target_states.lock().get_mut(target) {
        command::record_connection_loss(&mut desk.book);
    }
}

/// Returns the load of a target relative to what it bears, as far as this router can tell: its
/// own books, or what its owner's samples say.
pub fn relative_load(router: &Router, target: &Target, owner: &str) -> f64 {
    if owner == router.settings.id {
        let desks = router.target_states.lock();
        return desks.get(&target.id).map_or(0.0, |desk| {
            f64::from(query::in_flight(&desk.book))
                / f64::from(query::warmup_limit(&desk.book).max(1))
        });
    }
    let samples = router.samples.lock();
    let load = samples.router_load(owner, &target.pool).unwrap_or(0.0);
    load / f64::from(target.slots.max(1))
}
