//! The task by which one gateway decides the rollout of a pool: it states the share of the new build, judges the build, and writes the
//! status that operators read.
//!
//! The live gateways are ranked by a hash of their name and the pool. The first one decides; each further one takes over once it has heard no
//! directive for a time that grows with its rank. Several deciders at once do no harm: directives of a later term replace earlier ones, and the
//! status is written under a condition.

use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use sardinemux_core::position::{Era, Position};
use sardinemux_core::rollout::plan::{self, Progress};
use sardinemux_core::rollout::verdict::{self, Evidence};
use sardinemux_core::rollout::{Directive, Side, State, Status};
use sardinemux_core::{hash, roster::query};
use tokio::time;

use super::{
    apply_directive, listed_builds, observations, receive_observation, Observation, Rollout,
};
use crate::datagram;
use crate::prelude::*;
use crate::replication;
use crate::source::{Source, StatusProposal, StoredStatus, Topic};
use crate::supplement::{self, Supplement};

/// The interval at which rollouts are decided.
const DECISION_INTERVAL: Duration = Duration::from_millis(100);

/// The time between two sums that are kept for comparisons, in milliseconds.
const RECORD_INTERVAL_MS: u64 = 500;

/// The time between two directives without a change of the state, in milliseconds.
const DIRECTIVE_INTERVAL_MS: u64 = 250;

/// The number of gateways that receive what the others count. The second one can take over without delay.
const DECIDERS: usize = 2;

/// How long the gateway of each further rank waits for a directive before it decides, in milliseconds.
const TAKEOVER_MS: u64 = 1_500;

/// The time in which a decider that takes over collects counts before it changes the share, in milliseconds: all gateways send theirs meanwhile.
const COLLECTION_MS: u64 = 750;

/// The shortest time between the moment at which all requests go to the new build and the end of the rollout, in milliseconds: all gateways
/// have learned of the share by then.
const DRAIN_MIN_MS: u64 = 750;

/// How long a rollout waits beyond its ramp for requests in flight at the former build, in milliseconds.
const DRAIN_EXTRA_MS: u64 = 2_000;

/// How old the report of a gateway may be that counts for the requests in flight, in milliseconds.
const REPORT_TTL_MS: u64 = 1_500;

/// The delay before a failed call to the store is repeated, in milliseconds.
const STORE_RETRY_MS: u64 = 300;

/// How long a gateway that does not decide waits for the first directive before it reads the status itself, in milliseconds. Directives of an
/// active rollout reach all gateways sooner.
const LOOK_UP_MS: u64 = 2_000;

/// The time between two such reads, in milliseconds.
const LOOK_UP_INTERVAL_MS: u64 = 10_000;

/// The time over which gateways spread the reads of entries that an earlier build could not decode, in milliseconds.
const READ_SPREAD_MS: u64 = 1_000;

/// What this gateway does as a decider of one rollout.
#[derive(Clone, Debug, Default)]
struct Decision {
    build: SmolStr,
    /// The term in which this gateway decides; `None` if another one does.
    term: Option<u32>,
    /// When the term began, in milliseconds.
    began_ms: u64,
    recorded_ms: u64,
    /// When all requests went to the new build, in milliseconds.
    full_since_ms: Option<u64>,
    /// The position of the status in the store, once it has been read.
    position: Option<Position>,
    /// The status that the store holds, as far as that is known, and the era in which it was read or written.
    stored: Option<(Status, Era)>,
    /// The state of which all gateways have been notified at once.
    announced: Option<State>,
    /// When the store may be called again, in milliseconds.
    store_retry_ms: u64,
}

/// Decides the rollouts of which this gateway is the decider. Never returns.
pub async fn run(gateway: Arc<Gateway>, source: Arc<Source>) {
    let mut decisions: IndexMap<SmolStr, Decision> = IndexMap::new();
    loop {
        if super::is_idle(&gateway) {
            gateway.rollouts.change.notified().await;
        }
        // Both ends of the wait lead to the same check.
        let _ = time::timeout(DECISION_INTERVAL, gateway.rollouts.change.notified()).await;
        let pools: Vec<SmolStr> = gateway.rollouts.known.lock().keys().cloned().collect();
        for pool in pools {
            let decision = decisions.entry(pool.clone()).or_default();
            decide(&gateway, &source, &pool, decision).await;
        }
    }
}

/// Reads the orders of rollouts from the store after a gateway of an earlier build has passed on an entry with a key that it does not know.
/// Never returns.
pub async fn read_unknown(gateway: Arc<Gateway>, source: Arc<Source>) {
    loop {
        gateway.rollouts.unknown.notified().await;
        loop {
            // All gateways of a fleet may get the entry at once.
            let delay_ms = rand::random_range(0..READ_SPREAD_MS);
            time::sleep(Duration::from_millis(delay_ms)).await;
            let listed = (source.list)(Topic::Operators).await;
            count_call(&gateway, "list", listed.is_ok());
            match listed {
                Ok(batch) => {
                    replication::apply_orders(&gateway, batch);
                    break;
                }
                Err(error) => {
                    log::warn!(error:% = error; "cannot read the orders of rollouts; retrying");
                }
            }
        }
    }
}

/// Calls `action` with the rollout of a pool, under the lock of all rollouts.
fn with_rollout<T>(
    gateway: &Gateway,
    pool: &str,
    action: impl FnOnce(&mut Rollout) -> T,
) -> Option<T> {
    gateway.rollouts.known.lock().get_mut(pool).map(action)
}

/// Returns the names of the live gateways in the order in which they decide the rollout of a pool.
fn ranked(gateway: &Gateway, pool: &str) -> Vec<SmolStr> {
    let now_ms = gateway.now_ms();
    let score = |name: &str| hash::digest(&[b"rollout", name.as_bytes(), pool.as_bytes()]);
    let members = gateway.members.lock();
    let live = members.iter_recent(Topic::Targets, now_ms);
    let mut names: Vec<SmolStr> = live.map(|peer| peer.name.into()).collect();
    names.push(gateway.settings.name.clone());
    names.sort_by_cached_key(|name| score(name));
    names
}

/// Returns the datagrams by which this gateway tells the deciders what it has counted, with their recipients. What it has counted itself as a
/// decider is recorded at once.
pub fn datagrams(gateway: &Gateway) -> Vec<(SocketAddr, Vec<u8>)> {
    if super::is_idle(gateway) {
        return Vec::new();
    }
    let mut found = Vec::new();
    for observation in observations(gateway) {
        let mut deciders = ranked(gateway, &observation.pool);
        deciders.truncate(DECIDERS);
        let is_decider = deciders.contains(&gateway.settings.name);
        let addresses: Vec<SocketAddr> = {
            let members = gateway.members.lock();
            let addresses = deciders.iter().filter_map(|name| members.address(name));
            addresses.collect()
        };
        for bytes in encode_parts(observation.clone()) {
            found.extend(addresses.iter().map(|address| (*address, bytes.clone())));
        }
        if is_decider {
            receive_observation(gateway, observation);
        }
    }
    found
}

/// Encodes an observation as datagrams, which are halved until each has the size that may be sent.
pub fn encode_parts(observation: Observation) -> Vec<Vec<u8>> {
    let mut left = vec![observation];
    let mut parts = Vec::new();
    while let Some(mut whole) = left.pop() {
        let encoded = supplement::encode(&Supplement::Observation(Box::new(whole.clone())));
        let Some(bytes) = encoded else {
            continue;
        };
        let count = whole.tally.counts.len();
        if bytes.len() <= datagram::SENT_MAX_BYTES || count < 2 {
            parts.push(bytes);
            continue;
        }
        let counts = whole.tally.counts.split_off(count / 2);
        let mut rest = whole.clone();
        rest.tally.counts = counts;
        left.extend([whole, rest]);
    }
    parts
}

async fn decide(gateway: &Gateway, source: &Source, pool: &SmolStr, decision: &mut Decision) {
    let now_ms = gateway.now_ms();
    let names = ranked(gateway, pool);
    let own = &gateway.settings.name;
    let rank = names
        .iter()
        .position(|name| name == own)
        .unwrap_or_default();
    let known = with_rollout(gateway, pool, |rollout| {
        if decision.build != rollout.order.build {
            *decision = Decision {
                build: rollout.order.build.clone(),
                ..Decision::default()
            };
        }
        let is_due = now_ms.saturating_sub(decision.recorded_ms) >= RECORD_INTERVAL_MS;
        if rank < DECIDERS && is_due && !rollout.state().is_final() {
            decision.recorded_ms = now_ms;
            rollout.ledger.record(now_ms);
        }
        (rollout.directive, rollout.received_ms)
    });
    let Some((directive, received_ms)) = known else {
        return;
    };
    let known_term = directive.map_or(0, |it| it.term);
    decision.term = decision.term.filter(|term| *term >= known_term);
    let silent_ms = now_ms.saturating_sub(received_ms);
    // The first one also checks what the store holds once it has come back from an older copy.
    let is_settled = directive.is_some_and(|it| it.state.is_final() && it.is_stored);
    let is_first = rank == 0 || !is_settled && silent_ms >= rank as u64 * TAKEOVER_MS;
    if decision.term.is_none() && is_first {
        decision.term = Some(known_term + 1);
        decision.began_ms = now_ms;
        log::info!(pool:% = pool, build:% = decision.build, term = known_term + 1, rank = rank; "deciding a rollout");
    }
    let Some(term) = decision.term else {
        if directive.is_none() && silent_ms >= LOOK_UP_MS {
            look_up(gateway, source, pool, decision).await;
        }
        return;
    };
    if let Some(last) = directive.filter(|last| last.state.is_final()) {
        if confirm(gateway, source, pool, decision, last).await && !last.is_stored {
            let stored = Directive {
                is_stored: true,
                ..last
            };
            apply_directive(gateway, pool, &decision.build, stored);
        }
        return;
    }
    if !begin(gateway, source, pool, decision).await {
        return;
    }
    let Some(next) = next_directive(gateway, pool, decision, term) else {
        return;
    };
    let stated = match next.state {
        // Nothing may be in flight at the former build when the store holds this, so that it is stated only afterwards.
        State::Complete => {
            // The other decider may have ended the rollout since the status was read last.
            decision.position = None;
            if read(gateway, source, pool, decision).await && adopt(gateway, pool, decision) {
                return;
            }
            let is_written = decision.position.is_some()
                && write(gateway, source, pool, decision, State::Complete).await;
            // While the store does not answer, directives of the active rollout go on, so that no other gateway takes over.
            match is_written {
                true => Directive {
                    is_stored: true,
                    ..next
                },
                false => Directive {
                    state: State::Active,
                    ..next
                },
            }
        }
        State::Active | State::RolledBack => next,
    };
    apply_directive(gateway, pool, &decision.build, stated);
    let is_urgent = stated.state.is_final() || stated.share >= 1.0;
    if is_urgent && decision.announced.replace(stated.state) != Some(stated.state) {
        gateway.rollouts.urgent.notify_one();
    }
}

/// Reads the status from the store, and writes that the rollout is active unless it has ended. Returns whether the rollout may go on.
async fn begin(
    gateway: &Gateway,
    source: &Source,
    pool: &SmolStr,
    decision: &mut Decision,
) -> bool {
    let is_begun = |decision: &Decision| {
        let stored = decision.stored.as_ref();
        stored.is_some_and(|(status, _)| {
            status.build == decision.build && status.state == State::Active
        })
    };
    if is_begun(decision) {
        return true;
    }
    let has_targets = has_targets(gateway, pool, &decision.build);
    // Without targets, the status is read once: an order that was replaced is rolled back at once.
    if !has_targets && decision.position.is_some() {
        return false;
    }
    if !read(gateway, source, pool, decision).await {
        return false;
    }
    let former = decision.stored.as_ref().map(|(status, _)| status.clone());
    if adopt(gateway, pool, decision) {
        return false;
    }
    match former {
        Some(status) if status.build == decision.build => true,
        // An order that replaces another one ends that rollout first.
        Some(status) if status.state == State::Active => {
            let ended = Status {
                state: State::RolledBack,
                ..status
            };
            write_status(gateway, source, pool, decision, ended).await;
            false
        }
        _ if !has_targets => {
            log::warn!(pool:% = pool, build:% = decision.build; "a rollout waits: no target of the pool announces the build");
            false
        }
        _ => write(gateway, source, pool, decision, State::Active).await,
    }
}

/// Returns whether targets of a build are listed in a pool.
fn has_targets(gateway: &Gateway, pool: &str, build: &str) -> bool {
    let listed = listed_builds(gateway, pool);
    listed.iter().any(|(it, _)| it == build)
}

/// Takes over the final status of the store, if a gateway that does not decide has received nothing of an ordered rollout. A gateway that starts
/// after the end of a rollout gets no directive from others.
async fn look_up(gateway: &Gateway, source: &Source, pool: &SmolStr, decision: &mut Decision) {
    if !has_targets(gateway, pool, &decision.build) || !read(gateway, source, pool, decision).await
    {
        return;
    }
    decision.store_retry_ms = gateway.now_ms() + LOOK_UP_INTERVAL_MS;
    adopt(gateway, pool, decision);
}

/// Puts the final state in force that the store holds of the rollout. Returns whether there is one.
fn adopt(gateway: &Gateway, pool: &str, decision: &Decision) -> bool {
    let stored = decision.stored.as_ref().map(|(status, _)| status);
    let ended = stored.filter(|it| it.build == decision.build && it.state.is_final());
    let Some(status) = ended else {
        return false;
    };
    let directive = Directive {
        term: decision.term.unwrap_or_default(),
        elapsed_ms: 0,
        state: status.state,
        share: f64::from(u8::from(status.state == State::Complete)),
        targets: 0,
        is_stored: true,
    };
    apply_directive(gateway, pool, &decision.build, directive);
    true
}

/// Returns the next directive of a rollout that is active; `None` if it is not due.
fn next_directive(
    gateway: &Gateway,
    pool: &SmolStr,
    decision: &mut Decision,
    term: u32,
) -> Option<Directive> {
    let now_ms = gateway.now_ms();
    let listed = listed_targets(gateway, pool, &decision.build);
    with_rollout(gateway, pool, |rollout| {
        let last = rollout.directive;
        let since_last_ms = now_ms.saturating_sub(rollout.received_ms);
        let elapsed_ms = match last {
            Some(last) => last.elapsed_ms + since_last_ms,
            None => now_ms.saturating_sub(rollout.since_ms),
        };
        let mut next = Directive {
            term,
            elapsed_ms,
            state: State::Active,
            share: 0.0,
            targets: 0,
            is_stored: false,
        };
        let evidence = verdict::judge(&rollout.ledger, now_ms);
        if evidence.is_some() || rollout.is_withdrawn {
            log_verdict(pool, rollout, evidence, elapsed_ms);
            next.state = State::RolledBack;
            return Some(next);
        }
        let is_collecting = now_ms.saturating_sub(decision.began_ms) < COLLECTION_MS;
        let is_due =
            last.is_none_or(|last| last.term != term) || since_last_ms >= DIRECTIVE_INTERVAL_MS;
        if !is_due {
            return None;
        }
        let new = rollout.ledger.sent(Side::New);
        let progress = Progress {
            elapsed_ms,
            ramp_ms: rollout.order.ramp_ms,
            new,
            all: new + rollout.ledger.sent(Side::Former),
        };
        let settings = gateway.bounds.read().rollout;
        next.share = match is_collecting {
            true => last.map_or(0.0, |last| last.share),
            false => plan::share(settings, progress),
        };
        let (former, fresh) = listed;
        next.targets = plan::targets(next.share, former, fresh);
        if next.share < 1.0 {
            decision.full_since_ms = None;
            return Some(next);
        }
        let full_since_ms = *decision.full_since_ms.get_or_insert(now_ms);
        let full_ms = now_ms.saturating_sub(full_since_ms);
        let since_ms = now_ms.saturating_sub(REPORT_TTL_MS);
        let is_drained = rollout.ledger.in_flight(Side::Former, since_ms) == 0;
        let is_over = elapsed_ms >= rollout.order.ramp_ms + DRAIN_EXTRA_MS;
        if full_ms >= DRAIN_MIN_MS && (is_drained || is_over) {
            next.state = State::Complete;
        }
        Some(next)
    })
    .flatten()
}

/// Returns the number of eligible targets of all former builds, and of the new one.
fn listed_targets(gateway: &Gateway, pool: &str, build: &str) -> (u32, u32) {
    let now_ms = gateway.now_ms();
    let roster = gateway.roster.lock();
    let eligible = query::eligible(&roster, pool, now_ms);
    let is_new = |key: &sardinemux_core::target::Key| {
        query::target(&roster, *key).is_some_and(|target| target.build == build)
    };
    let new = eligible.iter().filter(|key| is_new(key)).count() as u32;
    (eligible.len() as u32 - new, new)
}

fn log_verdict(pool: &str, rollout: &Rollout, evidence: Option<Evidence>, elapsed_ms: u64) {
    let build = &rollout.order.build;
    let new = rollout.ledger.sent(Side::New);
    let former = rollout.ledger.sent(Side::Former);
    let Some(evidence) = evidence else {
        log::warn!(pool:% = pool, build:% = build, elapsed_ms = elapsed_ms, new = new, former = former; "rolling back a build, as its order was removed");
        return;
    };
    log::warn!(
        pool:% = pool, build:% = build, elapsed_ms = elapsed_ms, new = new, former = former,
        fault = evidence.fault.name(), route = evidence.route, window_ms = evidence.window_ms,
        bad = evidence.new.0, of = evidence.new.1, former_bad = evidence.former.0, former_of = evidence.former.1;
        "rolling back a bad build"
    );
}

/// Makes sure that the store holds the final state of a rollout, also after the store has come back from an older copy. Returns whether it does.
async fn confirm(
    gateway: &Gateway,
    source: &Source,
    pool: &SmolStr,
    decision: &mut Decision,
    last: Directive,
) -> bool {
    let state = last.state;
    let era = gateway.era.borrow().era;
    let is_confirmed = |decision: &Decision| {
        let stored = decision.stored.as_ref();
        stored.is_some_and(|(status, written)| {
            status.build == decision.build && status.state == state && *written == era
        })
    };
    if is_confirmed(decision) {
        return true;
    }
    if !read(gateway, source, pool, decision).await {
        return false;
    }
    if is_confirmed(decision) {
        return true;
    }
    // Another decider may have written the other final state first. Operators act on what the store holds, so that it prevails.
    if !last.is_stored && adopt(gateway, pool, decision) {
        return false;
    }
    write(gateway, source, pool, decision, state).await
}

async fn write(
    gateway: &Gateway,
    source: &Source,
    pool: &SmolStr,
    decision: &mut Decision,
    state: State,
) -> bool {
    let status = Status {
        build: decision.build.clone(),
        state,
    };
    write_status(gateway, source, pool, decision, status).await
}

/// Writes a status if the store still holds the one that was read last. Returns whether it was written.
async fn write_status(
    gateway: &Gateway,
    source: &Source,
    pool: &SmolStr,
    decision: &mut Decision,
    status: Status,
) -> bool {
    if decision.position.is_none() && !read(gateway, source, pool, decision).await {
        return false;
    }
    let proposal = StatusProposal {
        pool: pool.clone(),
        status: status.clone(),
        expected: decision.position.unwrap_or_default(),
    };
    // The position of what is written is not known, and after a failure it is open what the store holds.
    decision.position = None;
    let written = (source.write_status)(proposal).await;
    count_call(gateway, "write", written.is_ok());
    gateway.note_era((source.era)());
    match written {
        Ok(true) => {
            log::info!(pool:% = pool, build:% = status.build, state = status.state.name(); "status of a rollout written");
            decision.stored = Some((status, gateway.era.borrow().era));
            true
        }
        Ok(false) => {
            log::info!(pool:% = pool, build:% = status.build; "the status of a rollout was changed by another gateway; reading it again");
            decision.stored = None;
            false
        }
        Err(error) => {
            log::warn!(pool:% = pool, state = status.state.name(), error:% = error; "cannot write the status of a rollout; retrying");
            decision.stored = None;
            time::sleep(Duration::from_millis(STORE_RETRY_MS)).await;
            false
        }
    }
}

/// Reads the status of a rollout. Returns whether the store answered.
async fn read(gateway: &Gateway, source: &Source, pool: &SmolStr, decision: &mut Decision) -> bool {
    let now_ms = gateway.now_ms();
    if now_ms < decision.store_retry_ms {
        return false;
    }
    let found = (source.read_status)(pool.clone()).await;
    count_call(gateway, "read", found.is_ok());
    gateway.note_era((source.era)());
    match found {
        Ok(StoredStatus { status, position }) => {
            decision.position = Some(position);
            decision.stored = status.map(|status| (status, position.era));
            true
        }
        Err(error) => {
            decision.store_retry_ms = now_ms + STORE_RETRY_MS;
            log::warn!(pool:% = pool, error:% = error; "cannot read the status of a rollout; retrying");
            false
        }
    }
}

fn count_call(gateway: &Gateway, call: &str, is_answered: bool) {
    let outcome = match is_answered {
        true => "answered",
        false => "failed",
    };
    let calls = &gateway.metrics.rollout_calls;
    calls.with_label_values(&[call, outcome]).inc();
}
