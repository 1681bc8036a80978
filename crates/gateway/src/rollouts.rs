//! Rollouts: which build a request goes to, what gateways count of both builds, and what they tell each other.
//!
//! Decisions are made in [`sardinemux_core::rollout`]. The task of the decider is in [`decider`].

pub mod decider;

use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use sardinemux_core::hash;
use sardinemux_core::rollout::counters::{Count, Key, Ledger, Process, Spread, Tally};
use sardinemux_core::rollout::{self, Directive, Order, Side, State};
use sardinemux_core::roster::query;
use sardinemux_core::target;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::prelude::*;
use crate::supplement::{self, Supplement};

/// How long a directive holds without a further one, in milliseconds. After that no request goes to a new build that may be bad.
const DIRECTIVE_TTL_MS: u64 = 2_000;

/// How long gateways tell each other of a final directive after they have learned of it, in milliseconds. A gateway that starts later
/// asks the store.
const FINAL_NEWS_MS: u64 = 10_000;

/// The time after which an unchanged directive is sent again, in milliseconds. 32 recipients every 250 ms would get more than 10 KB a second.
const NEWS_INTERVAL_MS: u64 = 500;

/// The change of the share that is sent without that delay, as a part of the share.
const SHARE_CHANGE: f64 = 0.1;

/// The largest number of counts in one tally. One takes up to 60 bytes beside its zeros.
const COUNTS_MAX: usize = 8;

/// The largest number of routes that are counted by themselves in a rollout. The requests of further ones are counted together.
const ROUTES_MAX: usize = 48;

/// A rollout as this gateway knows it.
#[derive(Debug)]
struct Rollout {
    order: Order,
    /// When this gateway learned of the order, in milliseconds.
    since_ms: u64,
    directive: Option<Directive>,
    /// When the directive was received or made, in milliseconds.
    received_ms: u64,
    /// The number of suspensions of the process when the directive was received.
    suspensions: u64,
    /// The directive that was sent last with the reports, and when, in milliseconds.
    sent: Option<(Directive, u64)>,
    /// Whether the order has been removed.
    is_withdrawn: bool,
    /// The builds whose rollout was replaced or rolled back before. They get no requests.
    rejected: Vec<SmolStr>,
    /// The builds that served before the rollout was complete. They get no requests afterwards.
    replaced: Vec<SmolStr>,
    counts: IndexMap<Key, Count>,
    spreads: [Spread; 2],
    /// What all gateways have counted. Only the deciders receive that.
    ledger: Ledger,
}

/// The rollouts that this gateway knows of, by pool.
#[derive(Debug)]
pub struct Rollouts {
    known: Mutex<IndexMap<SmolStr, Rollout>>,
    /// Distinguishes the process from an earlier one of the same name.
    start: u32,
    /// Wakes the decider when there is an order or a final directive.
    change: Notify,
    /// Wakes the task that reads entries that an earlier build could not decode.
    unknown: Notify,
    /// Wakes the task that sends reports when all gateways must learn of a directive at once.
    urgent: Notify,
}

impl Default for Rollouts {
    fn default() -> Self {
        Self {
            known: Mutex::default(),
            start: rand::random(),
            change: Notify::new(),
            unknown: Notify::new(),
            urgent: Notify::new(),
        }
    }
}

impl Rollouts {
    /// Waits until all gateways must learn of a directive at once.
    pub async fn wait_for_urgent(&self) {
        self.urgent.notified().await;
    }
}

/// What gateways tell each other of a rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// The name of the pool.
    pub pool: SmolStr,
    /// The build to which the traffic moves.
    pub build: SmolStr,
    /// The latest directive.
    pub directive: Directive,
}

/// What a gateway has counted of a rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// The name of the pool.
    pub pool: SmolStr,
    /// The build to which the traffic moves.
    pub build: SmolStr,
    /// The process that has counted.
    pub process: Process,
    /// Its counts.
    pub tally: Tally,
}

/// The part of a request in a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Its pool has no rollout in force.
    None,
    /// It goes to the former builds.
    Former,
    /// It goes to the new build.
    New,
}

impl Choice {
    /// Returns the name of the choice in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Former => "former",
            Self::New => "new",
        }
    }
}

/// What restricts the targets of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Restriction {
    /// The builds that the request may go to; `None` for all.
    pub builds: Option<Vec<SmolStr>>,
    /// The targets that it may go to; `None` for all.
    pub targets: Option<Vec<target::Key>>,
}

/// Records the order of an operator. One for another build replaces the former order of the pool, whose build gets no more requests unless its
/// rollout was complete.
pub fn note_order(gateway: &Gateway, order: Order) {
    let now_ms = gateway.now_ms();
    let mut known = gateway.rollouts.known.lock();
    let former = known.get_mut(&order.pool);
    if let Some(former) = former.filter(|former| former.order.build == order.build) {
        former.is_withdrawn = false;
        former.order = order;
        return;
    }
    let rejected = known.swap_remove(&order.pool).map(|former| {
        let mut rejected = former.rejected;
        let is_complete = former.directive.map(|it| it.state) == Some(State::Complete);
        if !is_complete {
            rejected.push(former.order.build);
        }
        rejected.retain(|build| *build != order.build);
        rejected
    });
    log::info!(pool:% = order.pool, build:% = order.build, ramp_ms = order.ramp_ms; "rollout ordered");
    let rollout = Rollout {
        since_ms: now_ms,
        directive: None,
        received_ms: now_ms,
        suspensions: *gateway.suspensions.borrow(),
        sent: None,
        is_withdrawn: false,
        rejected: rejected.unwrap_or_default(),
        replaced: Vec::new(),
        counts: IndexMap::new(),
        spreads: Default::default(),
        ledger: Ledger::default(),
        order,
    };
    known.insert(rollout.order.pool.clone(), rollout);
    drop(known);
    gateway.rollouts.change.notify_one();
}

/// Records that the order of a pool was removed. The rollout ends by a roll-back, unless it was complete.
pub fn note_withdrawal(gateway: &Gateway, pool: &str) {
    let mut known = gateway.rollouts.known.lock();
    let Some(rollout) = known.get_mut(pool) else {
        return;
    };
    log::info!(pool:% = pool, build:% = rollout.order.build; "the order of a rollout was removed");
    rollout.is_withdrawn = true;
    drop(known);
    gateway.rollouts.change.notify_one();
}

/// Records that an entry of the operators has a key that the gateway which read it does not know. It may be the order of a rollout.
pub fn note_unknown(gateway: &Gateway) {
    gateway.rollouts.unknown.notify_one();
}

/// Returns whether any rollout is known.
pub fn is_idle(gateway: &Gateway) -> bool {
    gateway.rollouts.known.lock().is_empty()
}

impl Rollout {
    fn side(&self, build: &str) -> Side {
        match build == self.order.build {
            true => Side::New,
            false => Side::Former,
        }
    }

    /// Returns whether a build gets no requests: its rollout was replaced, withdrawn or rolled back, or another one has replaced it.
    fn is_excluded(&self, build: &str) -> bool {
        let is_bad = self.state() == State::RolledBack && build == self.order.build;
        let mut excluded = self.rejected.iter().chain(&self.replaced);
        is_bad || excluded.any(|it| it == build)
    }

    fn state(&self) -> State {
        self.directive.map_or(State::Active, |it| it.state)
    }

    /// Returns whether a directive must be sent with the next reports.
    fn is_due(&self, directive: &Directive, now_ms: u64) -> bool {
        self.sent.is_none_or(|(sent, at_ms)| {
            let change = (directive.share - sent.share).abs();
            now_ms.saturating_sub(at_ms) >= NEWS_INTERVAL_MS
                || (directive.state, directive.is_stored) != (sent.state, sent.is_stored)
                || change > SHARE_CHANGE * sent.share
        })
    }

    /// Returns the share of the new build that this gateway may send now.
    fn share(&self, suspensions: u64, now_ms: u64) -> f64 {
        let Some(directive) = self.directive else {
            return 0.0;
        };
        let is_recent = self.suspensions == suspensions
            && now_ms.saturating_sub(self.received_ms) < DIRECTIVE_TTL_MS;
        match directive.state {
            State::Complete => 1.0,
            State::RolledBack => 0.0,
            // With all traffic at the new build, it counts as sound, and the former targets may end at any moment.
            State::Active if directive.share >= 1.0 || is_recent => directive.share,
            State::Active => 0.0,
        }
    }

    fn set_directive(
        &mut self,
        directive: Directive,
        listed: Vec<SmolStr>,
        suspensions: u64,
        now_ms: u64,
    ) {
        if directive.state == State::Complete {
            self.replaced = listed;
            self.replaced.retain(|build| *build != self.order.build);
        }
        self.directive = Some(directive);
        self.received_ms = now_ms;
        self.suspensions = suspensions;
    }

    fn count(&mut self, route: &str, side: Side) -> &mut Count {
        let key = Key::new(route, side);
        let has_room = self.counts.len() < ROUTES_MAX || self.counts.contains_key(&key);
        let key = match has_room {
            true => key,
            false => Key { route: 0, side },
        };
        self.counts.entry(key).or_default()
    }
}

/// Returns the builds of which targets of a pool are listed.
fn listed_builds(gateway: &Gateway, pool: &str) -> Vec<(SmolStr, u32)> {
    let now_ms = gateway.now_ms();
    let present = query::builds(&gateway.roster.lock(), pool, now_ms);
    present.into_iter().map(|it| (it.build, it.slots)).collect()
}

/// Chooses the side of a request from the hash of its id.
///
/// Without a former target, there is no other choice than the new build, unless it was rolled back.
pub fn choose(gateway: &Gateway, pool: &str, id: &[u8]) -> Choice {
    if is_idle(gateway) {
        return Choice::None;
    }
    let listed = listed_builds(gateway, pool);
    let now_ms = gateway.now_ms();
    let suspensions = *gateway.suspensions.borrow();
    let known = gateway.rollouts.known.lock();
    let Some(rollout) = known.get(pool) else {
        return Choice::None;
    };
    let has_side = |side: Side| {
        let mut present = listed.iter();
        present.any(|(build, slots)| *slots > 0 && rollout.side(build) == side)
    };
    let state = rollout.state();
    let hash = hash::digest(&[b"rollout", id]);
    let share = rollout.share(suspensions, now_ms);
    match rollout::choose_side(hash, share) {
        Side::New if has_side(Side::New) => Choice::New,
        Side::Former if !has_side(Side::Former) && state != State::RolledBack => Choice::New,
        _ if state == State::Complete && has_side(Side::New) => Choice::New,
        _ => Choice::Former,
    }
}

/// Returns what a choice allows, within the builds that the request is bound to already.
pub fn restrict(
    gateway: &Gateway,
    pool: &str,
    choice: Choice,
    bound: Option<&[SmolStr]>,
) -> Restriction {
    let listed = match is_idle(gateway) {
        true => Vec::new(),
        false => listed_builds(gateway, pool),
    };
    let known = gateway.rollouts.known.lock();
    let Some(rollout) = known.get(pool) else {
        return Restriction {
            builds: bound.map(<[SmolStr]>::to_vec),
            targets: None,
        };
    };
    if choice == Choice::None {
        let is_allowed = |build: &&SmolStr| !rollout.is_excluded(build);
        let bound = bound.map(|bound| bound.iter().filter(is_allowed).cloned().collect());
        let listed = listed.iter().map(|(build, _)| build);
        return Restriction {
            builds: bound.or_else(|| Some(listed.filter(is_allowed).cloned().collect())),
            targets: None,
        };
    }
    let is_allowed = |build: &SmolStr| {
        let side = match rollout.side(build) {
            Side::New => choice == Choice::New,
            // A build that came after the rollout serves beside the new one.
            Side::Former => choice == Choice::Former || rollout.state() == State::Complete,
        };
        let is_bound = bound.is_none_or(|bound| bound.contains(build));
        side && is_bound && !rollout.is_excluded(build)
    };
    let builds = listed.into_iter().map(|(build, _)| build);
    let builds = builds.filter(is_allowed).collect();
    let is_canary = choice == Choice::New && rollout.state() == State::Active;
    let canaries = rollout.directive.filter(|it| is_canary && it.share < 1.0);
    let build = rollout.order.build.clone();
    drop(known);
    Restriction {
        builds: Some(builds),
        targets: canaries.map(|it| canary_targets(gateway, pool, &build, it.targets)),
    }
}

/// Returns the targets of a new build that get requests while it is a canary: the first ones in an order that all gateways share. They are taken
/// from the availability zones in turn, so that a sick zone has no larger part of them than of the former build's targets.
fn canary_targets(gateway: &Gateway, pool: &str, build: &str, count: u32) -> Vec<target::Key> {
    let now_ms = gateway.now_ms();
    let roster = gateway.roster.lock();
    let eligible = query::eligible(&roster, pool, now_ms).into_iter();
    let found = eligible.filter_map(|key| {
        let target = query::target(&roster, key).filter(|target| target.build == build)?;
        let position = hash::digest(&[b"canary", target.id.as_bytes()]);
        Some((position, key, target.zone.clone()))
    });
    let mut found: Vec<(u64, target::Key, SmolStr)> = found.collect();
    found.sort_unstable_by_key(|(position, _, _)| *position);
    let mut taken: IndexMap<SmolStr, u32> = IndexMap::new();
    let turns = found.into_iter().map(|(position, key, zone)| {
        let turn = taken.entry(zone).or_default();
        *turn += 1;
        (*turn, position, key)
    });
    let mut turns: Vec<(u32, u64, target::Key)> = turns.collect();
    turns.sort_unstable_by_key(|(turn, position, _)| (*turn, *position));
    turns.truncate(count as usize);
    turns.into_iter().map(|(_, _, key)| key).collect()
}

/// Returns whether requests may go to a build of a pool now. One that was rolled back, replaced or withdrawn gets none, also if a stream began
/// there.
pub fn is_allowed(gateway: &Gateway, pool: &str, build: &str) -> bool {
    let known = gateway.rollouts.known.lock();
    known
        .get(pool)
        .is_none_or(|rollout| !rollout.is_excluded(build))
}

/// Returns the side for a request that has found no target at its own: the former builds unless the rollout is complete, and the new one
/// otherwise. Returns `None` if the side stays.
pub fn other_choice(gateway: &Gateway, pool: &str, choice: Choice) -> Option<Choice> {
    let known = gateway.rollouts.known.lock();
    let state = known.get(pool)?.state();
    match (choice, state) {
        (Choice::New, State::Active | State::RolledBack) => Some(Choice::Former),
        (Choice::Former, State::Complete) => Some(Choice::New),
        _ => None,
    }
}

/// What happened to a request at a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// It was sent.
    Sent,
    /// The head of an answer without a server error came after this time.
    Answered(Duration),
    /// The target failed: a server error, a broken connection or answer, or none in time.
    Failed,
    /// A stream ended, with this mean time between two events.
    Paced(Duration),
}

/// Counts what happened to a request of a pool at a target. Does nothing without a rollout of the pool.
pub fn record(gateway: &Gateway, pool: &str, route: &str, target: (&str, &str), event: Event) {
    let mut known = gateway.rollouts.known.lock();
    let Some(rollout) = known.get_mut(pool) else {
        return;
    };
    if rollout.state().is_final() {
        return;
    }
    let (id, build) = target;
    let side = rollout.side(build);
    let count = rollout.count(route, side);
    match event {
        Event::Sent => count.sent += 1,
        Event::Answered(time) => count.first.add(time.as_secs_f64() * 1e3),
        Event::Failed => count.failed += 1,
        Event::Paced(time) => count.pace.add(time.as_secs_f64() * 1e3),
    }
    let spread = &mut rollout.spreads[side as usize];
    let bit = Spread::bit(id);
    match event {
        Event::Failed => spread.failing |= bit,
        _ => spread.tried |= bit,
    }
}

fn presence_of(gateway: &Gateway, pool: &str, build: &str) -> [u32; 2] {
    let roster = gateway.roster.lock();
    let mut in_flight = [0; 2];
    for (target, running) in query::running_in_pool(&roster, pool) {
        let side = match target.build == build {
            true => Side::New,
            false => Side::Former,
        };
        in_flight[side as usize] += running;
    }
    in_flight
}

/// Returns what this gateway has counted of each active rollout, in parts that fit into a datagram.
fn observations(gateway: &Gateway) -> Vec<Observation> {
    let process = Process {
        gateway: gateway.settings.name.clone(),
        start: gateway.rollouts.start,
    };
    let pools: Vec<(SmolStr, SmolStr)> = {
        let known = gateway.rollouts.known.lock();
        let active = known.iter().filter(|(_, it)| !it.state().is_final());
        active
            .map(|(pool, it)| (pool.clone(), it.order.build.clone()))
            .collect()
    };
    let mut found = Vec::new();
    for (pool, build) in pools {
        let in_flight = presence_of(gateway, &pool, &build);
        let known = gateway.rollouts.known.lock();
        let Some(rollout) = known.get(&pool) else {
            continue;
        };
        let mut base = Tally::default();
        for side in [Side::Former, Side::New] {
            base.at_mut(side).in_flight = in_flight[side as usize];
            base.at_mut(side).spread = rollout.spreads[side as usize];
        }
        let counts: Vec<(Key, Count)> = rollout.counts.iter().map(|it| (*it.0, *it.1)).collect();
        let parts = counts.chunks(COUNTS_MAX).map(<[_]>::to_vec);
        let parts: Vec<Vec<(Key, Count)>> = parts.collect();
        let parts = match parts.is_empty() {
            true => vec![Vec::new()],
            false => parts,
        };
        found.extend(parts.into_iter().map(|counts| Observation {
            pool: pool.clone(),
            build: build.clone(),
            process: process.clone(),
            tally: Tally {
                counts,
                ..base.clone()
            },
        }));
    }
    found
}

/// Returns the datagrams that tell others of the latest directives with the reports, and records that they are sent. A directive that has hardly
/// changed is sent less often.
pub fn take_news(gateway: &Gateway) -> Vec<Vec<u8>> {
    if is_idle(gateway) {
        return Vec::new();
    }
    let now_ms = gateway.now_ms();
    let is_due = {
        let mut known = gateway.rollouts.known.lock();
        let due = known.values_mut().filter_map(|rollout| {
            let directive = rollout.directive.filter(|it| rollout.is_due(it, now_ms))?;
            rollout.sent = Some((directive, now_ms));
            Some(())
        });
        due.count() > 0
    };
    match is_due {
        true => news(gateway),
        false => Vec::new(),
    }
}

/// Returns the datagrams that tell others of the latest directives.
pub fn news(gateway: &Gateway) -> Vec<Vec<u8>> {
    if is_idle(gateway) {
        return Vec::new();
    }
    let now_ms = gateway.now_ms();
    let known = gateway.rollouts.known.lock();
    let news = known.iter().filter_map(|(pool, rollout)| {
        let directive = rollout.directive?;
        let ttl_ms = match directive.state.is_final() {
            true => FINAL_NEWS_MS,
            false => DIRECTIVE_TTL_MS,
        };
        let is_recent = now_ms.saturating_sub(rollout.received_ms) < ttl_ms;
        is_recent.then(|| News {
            pool: pool.clone(),
            build: rollout.order.build.clone(),
            directive,
        })
    });
    let news: Vec<News> = news.collect();
    drop(known);
    supplement::split(&news, Supplement::Rollouts)
}

/// Applies what another gateway tells of rollouts. A rollout whose order is not known here yet is ignored: the next message comes soon.
pub fn receive_news(gateway: &Gateway, news: Vec<News>) {
    for News {
        pool,
        build,
        directive,
    } in news
    {
        apply_directive(gateway, &pool, &build, directive);
    }
}

/// Puts a directive in force if it replaces the known one. Returns whether it does.
fn apply_directive(gateway: &Gateway, pool: &str, build: &str, directive: Directive) -> bool {
    let now_ms = gateway.now_ms();
    let suspensions = *gateway.suspensions.borrow();
    let listed = listed_builds(gateway, pool);
    let mut known = gateway.rollouts.known.lock();
    let rollout = known
        .get_mut(pool)
        .filter(|rollout| rollout.order.build == build);
    let Some(rollout) = rollout else {
        return false;
    };
    let is_new = rollout
        .directive
        .is_none_or(|known| directive.replaces(&known));
    if !is_new {
        return false;
    }
    let former = rollout.directive.map(|it| it.state);
    let listed = listed.into_iter().map(|(build, _)| build).collect();
    rollout.set_directive(directive, listed, suspensions, now_ms);
    drop(known);
    gateway
        .metrics
        .rollout_share
        .with_label_values(&[pool])
        .set(directive.share);
    if former != Some(directive.state) {
        log::info!(
            pool:% = pool, build:% = build, state = directive.state.name(), elapsed_ms = directive.elapsed_ms;
            "state of a rollout"
        );
        gateway.rollouts.change.notify_one();
    }
    true
}

/// Records what a gateway has counted. Only deciders get that.
pub fn receive_observation(gateway: &Gateway, observation: Observation) {
    let now_ms = gateway.now_ms();
    let mut known = gateway.rollouts.known.lock();
    let rollout = known
        .get_mut(&observation.pool)
        .filter(|rollout| rollout.order.build == observation.build);
    if let Some(rollout) = rollout {
        rollout
            .ledger
            .note(observation.process, &observation.tally, now_ms);
    }
}
