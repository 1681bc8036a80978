//! The admission state of the targets that this router owns: each target's admission controller, and the channels to
//! the requests in its queue.

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

/// The decision on a request in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is admitted and counts as in flight.
    Admitted,
    /// The request will not run on this target.
    Refused(Reason),
}

/// The admission state of one target, from when this router owns it until its last request here has ended.
pub struct TargetState {
    /// The target.
    pub target: Target,
    /// The admission controller.
    pub controller: Controller,
    /// Whether this router owns the target. After it has lost it, requests that it admitted may still run.
    pub is_owned: bool,
    /// The former owner, while it still has to be queried about its requests in flight.
    pub former_owner: Option<Member>,
    /// The number of times that the target's cache events have been read since this router became the owner.
    pub event_reads: u32,
    /// The sequence number of the last cache event that was read.
    pub event_cursor: u64,
    /// The incarnation of the target that `event_cursor` belongs to.
    pub events_incarnation: u64,
    waiters: IndexMap<Ticket, oneshot::Sender<Decision>>,
    smoothed_duration_ms: f64,
}

/// The longest retry delay in a refusal, in milliseconds.
const RETRY_MAX_MS: f64 = 30_000.0;

/// The shortest retry delay in a refusal, in milliseconds.
const RETRY_MIN_MS: f64 = 200.0;

/// The assumed duration of a request before the first one has ended, in milliseconds.
const INITIAL_DURATION_MS: f64 = 1_000.0;

/// The weight of the newest request in the exponential moving average of the duration.
const SMOOTHING_FACTOR: f64 = 0.1;

/// A load multiple that no load reaches, for trials in which the load bound is switched off.
const UNBOUNDED_LOAD_MULTIPLE: f64 = 1e6;

impl TargetState {
    fn new(target: Target, settings: admission::Settings) -> Self {
        Self {
            controller: Controller::new(settings, target.slots),
            target,
            is_owned: false,
            former_owner: None,
            event_reads: 0,
            event_cursor: 0,
            events_incarnation: 0,
            waiters: IndexMap::new(),
            smoothed_duration_ms: INITIAL_DURATION_MS,
        }
    }

    /// Returns the retry delay for a refused caller, in milliseconds: the estimated time in which the queue empties at
    /// the present concurrency and the average duration.
    pub fn retry_after_ms(&self) -> u64 {
        let requests_ahead = query::queue_length(&self.controller) as f64 + 1.0;
        let concurrency = f64::from(query::in_flight(&self.controller).max(1));
        (requests_ahead * self.smoothed_duration_ms / concurrency).clamp(RETRY_MIN_MS, RETRY_MAX_MS)
            as u64
    }

    /// Adds a request in the queue, and returns the receiver of the decision on it.
    pub fn add_waiter(&mut self, ticket: Ticket) -> oneshot::Receiver<Decision> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.insert(ticket, sender);
        receiver
    }

    /// Sends a decision to a request in the queue, and returns whether the request was still waiting for it.
    pub fn notify_waiter(&mut self, ticket: Ticket, decision: Decision) -> bool {
        let waiter = self.waiters.swap_remove(&ticket);
        waiter.is_some_and(|waiter| waiter.send(decision).is_ok())
    }

    /// Stops admitting requests, and refuses all those in the queue.
    fn close(&mut self, reason: Reason) {
        for ticket in command::close(&mut self.controller) {
            self.notify_waiter(ticket, Decision::Refused(reason));
        }
    }
}

/// Returns a target if this router owns it and the target is listed.
pub fn find_owned(router: &Router, target: &str) -> Option<Target> {
    let owners = router.owners();
    let is_owned = owners
        .get(target)
        .is_some_and(|owner| owner.id == router.settings.id);
    let targets = router.targets();
    let key = targets.key(target).filter(|_| is_owned)?;
    targets.get(key).cloned()
}

/// Returns the sum of the other routers' load samples of a pool.
pub fn peer_sample(router: &Router, pool: &str, now_ms: u64) -> Sample {
    router.samples.lock().sum(pool, now_ms)
}

/// Returns this router's own load sample of a pool, over the targets that are open for admission.
pub fn own_sample(states: &IndexMap<SmolStr, TargetState>, pool: &str) -> Sample {
    states
        .values()
        .filter(|state| state.target.pool == pool && !query::is_closed(&state.controller))
        .fold(Sample::default(), |sum, state| {
            sum.plus(Sample {
                targets: 1,
                requests: query::in_flight(&state.controller),
                tokens: query::tokens_in_flight(&state.controller),
            })
        })
}

/// Returns this router's own load samples of all pools in which it has targets.
pub fn own_samples(router: &Router) -> IndexMap<SmolStr, Sample> {
    let states = router.target_states.lock();
    let mut samples = IndexMap::new();
    for state in states.values() {
        let pool = state.target.pool.clone();
        samples
            .entry(pool)
            .or_insert_with_key(|pool| own_sample(&states, pool));
    }
    samples
}

/// Returns the number of requests that run on each target and that wait for it.
pub fn target_loads(router: &Router) -> Vec<TargetLoad> {
    let states = router.target_states.lock();
    states
        .values()
        .map(|state| TargetLoad {
            target: state.target.id.clone(),
            running: query::in_flight(&state.controller),
            waiting: query::queue_length(&state.controller) as u32,
        })
        .collect()
}

/// Returns the admission settings in force for a target. A mechanism that is switched off in the router's settings gets
/// a value without effect.
fn admission_settings(router: &Router, target: &Target) -> admission::Settings {
    let has = |mechanism| router.settings.is_enabled(mechanism);
    let value = |parameter| router.parameter(parameter, target);
    admission::Settings {
        load_multiple: match has("bound") {
            true => value(Parameter::LoadMultiple),
            false => UNBOUNDED_LOAD_MULTIPLE,
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

/// Creates, updates, closes and removes the states of targets after a change of owners, targets or configuration.
///
/// A target that this router no longer owns is closed, and its state is removed once none of its requests is in flight.
pub fn refresh(
    router: &Router,
    targets: &Table,
    previous_owners: &IndexMap<SmolStr, Member>,
    owners: &IndexMap<SmolStr, Member>,
) {
    let me = &router.settings.id;
    let config = router.config();
    let now_ms = router.now_ms();
    let owned_targets: Vec<Target> = targets
        .iter()
        .filter(|(_, target)| owners.get(&target.id).is_some_and(|owner| owner.id == *me))
        .map(|(_, target)| target.clone())
        .collect();
    let former_owners: IndexMap<SmolStr, Member> = owned_targets
        .iter()
        .filter_map(|target| {
            Some((
                target.id.clone(),
                find_former_owner(router, target, previous_owners)?,
            ))
        })
        .collect();
    let mut states = router.target_states.lock();
    for state in states.values_mut() {
        let is_owner = owners
            .get(&state.target.id)
            .is_some_and(|owner| owner.id == *me);
        if !is_owner && state.is_owned {
            state.is_owned = false;
            state.close(Reason::NotOwner);
        }
    }
    for target in owned_targets {
        let settings = admission_settings(router, &target);
        let state = states
            .entry(target.id.clone())
            .or_insert_with(|| TargetState::new(target.clone(), settings));
        command::set_settings(&mut state.controller, settings);
        if !state.is_owned {
            state.is_owned = true;
            state.event_reads = 0;
            state.former_owner = former_owners.get(&target.id).cloned();
            if state.former_owner.is_some() && router.settings.is_enabled("takeover") {
                command::begin_takeover(&mut state.controller, now_ms);
            }
        }
        match config::query::is_eligible(&config, &target) {
            true => command::open(&mut state.controller),
            false => state.close(Reason::Leaving),
        }
        state.target = target;
    }
    states.retain(|_, state| state.is_owned || query::in_flight(&state.controller) > 0);
    let owned = states.values().filter(|state| state.is_owned).count();
    router.metrics.owned_targets.set(owned as i64);
}

/// Returns the router that owned a target before this one: the previous owner in this router's own table or, if that
/// names none or this router itself, the router that would own the target without this one, which is the owner that the
/// others computed before this router joined.
fn find_former_owner(
    router: &Router,
    target: &Target,
    previous_owners: &IndexMap<SmolStr, Member>,
) -> Option<Member> {
    let me = &router.settings.id;
    if let Some(owner) = previous_owners
        .get(&target.id)
        .filter(|owner| owner.id != *me)
    {
        return Some(owner.clone());
    }
    let view = router.view.lock();
    let rest = membership::query::owners(&view).filter(|member| member.id != *me);
    ownership::owner(rest, target).cloned()
}

/// Records the end of a request, and starts requests in the target's queue for which there is now room.
pub fn finish_request(
    router: &Router,
    target: &SmolStr,
    ticket: Ticket,
    observation: Observation,
    duration_ms: u64,
) {
    {
        let mut states = router.target_states.lock();
        let Some(state) = states.get_mut(target) else {
            return;
        };
        command::finish(&mut state.controller, ticket, observation);
        state.smoothed_duration_ms +=
            SMOOTHING_FACTOR * (duration_ms as f64 - state.smoothed_duration_ms);
        if !state.is_owned && query::in_flight(&state.controller) == 0 {
            states.swap_remove(target);
            return;
        }
    }
    start_waiting(router, target);
}

/// Starts as many requests in the target's queue as the limits admit.
pub fn start_waiting(router: &Router, target: &SmolStr) {
    let now_ms = router.now_ms();
    let Some(pool) = pool_with_queue(router, target) else {
        return;
    };
    let others = peer_sample(router, &pool, now_ms);
    let mut states = router.target_states.lock();
    loop {
        let mean = others.plus(own_sample(&states, &pool)).mean();
        let Some(state) = states.get_mut(target) else {
            return;
        };
        let Some(ticket) = command::start_next(&mut state.controller, mean) else {
            return;
        };
        if !state.notify_waiter(ticket, Decision::Admitted) {
            command::finish(&mut state.controller, ticket, Observation::None);
        }
    }
}

/// Returns the pool of a target if requests wait in its queue.
fn pool_with_queue(router: &Router, target: &SmolStr) -> Option<SmolStr> {
    let states = router.target_states.lock();
    let state = states.get(target)?;
    let has_queue = query::queue_length(&state.controller) > 0;
    has_queue.then(|| state.target.pool.clone())
}

/// Starts requests in the queues of all targets as the limits admit. The load bound follows the mean load of all
/// routers, so that it may have risen without a request having ended here.
pub fn start_all_waiting(router: &Router) {
    let waiting: Vec<SmolStr> = router
        .target_states
        .lock()
        .iter()
        .filter(|(_, state)| query::queue_length(&state.controller) > 0)
        .map(|(id, _)| id.clone())
        .collect();
    for target in waiting {
        start_waiting(router, &target);
    }
}

/// Removes a request from the queue. If it was admitted in the meantime, it is finished without having run. Returns the
/// retry delay for the caller, in milliseconds.
pub fn cancel_waiting(
    router: &Router,
    target: &SmolStr,
    ticket: Ticket,
    mut receiver: oneshot::Receiver<Decision>,
) -> u64 {
    let retry_after_ms = {
        let mut states = router.target_states.lock();
        let Some(state) = states.get_mut(target) else {
            return RETRY_MIN_MS as u64;
        };
        state.waiters.swap_remove(&ticket);
        command::cancel_waiting(&mut state.controller, ticket);
        if receiver.try_recv() == Ok(Decision::Admitted) {
            command::finish(&mut state.controller, ticket, Observation::None);
        }
        state.retry_after_ms()
    };
    start_waiting(router, target);
    retry_after_ms
}

/// Records that a target probably has the prompt prefix of a chat cached.
pub fn add_chat(router: &Router, target: &SmolStr, chat: u64) {
    if let Some(state) = router.target_states.lock().get_mut(target) {
        command::add_chat(&mut state.controller, chat);
    }
}

/// Records the incarnation of a target that responded.
pub fn set_incarnation(router: &Router, target: &SmolStr, incarnation: u64) {
    if let Some(state) = router.target_states.lock().get_mut(target) {
        command::set_incarnation(&mut state.controller, incarnation);
    }
}

/// Records that a target refused or closed a connection. Called before the request's permit is dropped.
pub fn record_connection_loss(router: &Router, target: &SmolStr) {
    if let Some(state) = router.target_states.lock().get_mut(target) {
        command::record_connection_loss(&mut state.controller);
    }
}

/// Returns the load of a target relative to its capacity. For an own target, this is the requests in flight divided by
/// the warm-up limit; for another one, the load in its owner's last sample of the pool divided by the slots.
pub fn relative_load(router: &Router, target: &Target, owner: &str) -> f64 {
    if owner == router.settings.id {
        let states = router.target_states.lock();
        return states.get(&target.id).map_or(0.0, |state| {
            f64::from(query::in_flight(&state.controller))
                / f64::from(query::warmup_limit(&state.controller).max(1))
        });
    }
    let samples = router.samples.lock();
    let load = samples.router_load(owner, &target.pool).unwrap_or(0.0);
    load / f64::from(target.slots.max(1))
}
