//! The quarantine of prompt parts and of whole requests under which targets crash: the evidence that this gateway observes,
//! its exchange with the other gateways, and what lasts in the store.
//!
//! Decisions are made in [`sardinemux_core::quarantine`].

use std::cmp::Reverse;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use rand::seq::IndexedRandom;
use rand::Rng;
use sardinemux_core::hash;
use sardinemux_core::quarantine::exchange::{self, Outbox, FANOUT};
use sardinemux_core::quarantine::{
    self, command, query, Admission, Changes, Notice, Register, Settings, Subject, Suspicion,
    COLLECTORS,
};
use sardinemux_core::reports;
use sardinemux_core::roster;
use sardinemux_core::target::Key;
use tokio::sync::{mpsc, Notify};
use tokio::time;

use crate::connections::{self, CONNECT_TIMEOUT};
use crate::prelude::*;
use crate::request::Inbound;
use crate::source::{Entry, Fact, Held, Source, Topic};
use crate::supplement::{self, Supplement};
use crate::suspension;

/// The number of events after which an answer clears the parts of its prompt.
pub const CLEARING_EVENTS: u64 = 2;

/// The number of gateways that record a held part in the store, in case one of them cannot reach it.
const RECORDERS: usize = 2;

/// The delay before a failed call to the store is repeated.
const STORE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The largest number of changes that wait to be recorded in the store.
const RECORDS_MAX: usize = 256;

/// How long after lost recorders are known as silent the others look for changes that these have not recorded, in milliseconds: some
/// rounds of reports.
const RECORD_MARGIN_MS: u64 = 1_000;

/// The largest addition to the `Retry-After` delay of a refused request, as a part of it, so that callers that were
/// refused together do not return together.
const RETRY_AFTER_SPREAD: f64 = 0.25;

/// The time of the evidence when the instance boots, in milliseconds: ages in notices reach back this far at most.
const BOOT_MS: u64 = u32::MAX as u64;

/// The evidence of this gateway, and what it has yet to send.
#[derive(Debug)]
pub struct Quarantine {
    register: Register,
    outbox: Outbox,
    /// The parts of which notices are to be sent at once.
    urgent: Vec<u64>,
    /// The contents of which the collectors are to be told at once.
    urgent_contents: Vec<u64>,
    /// The latest changes of holds by their parts, while this gateway may have to record them in place of one that was lost.
    unrecorded: IndexMap<u64, Unrecorded>,
    records: mpsc::Sender<Record>,
    receiver: Option<mpsc::Receiver<Record>>,
}

/// A change of a hold that this gateway has not recorded.
#[derive(Clone, Copy, Debug)]
struct Unrecorded {
    is_held: bool,
    /// When any recorder that was lost before the change is known as silent, in milliseconds.
    end_ms: u64,
}

/// A change to be recorded in the store.
type Record = (Held, bool);

impl Default for Quarantine {
    fn default() -> Self {
        let (records, receiver) = mpsc::channel(RECORDS_MAX);
        Self {
            register: Register::new(Settings::default()),
            outbox: Outbox::default(),
            urgent: Vec::new(),
            urgent_contents: Vec::new(),
            unrecorded: IndexMap::new(),
            records,
            receiver: Some(receiver),
        }
    }
}

/// Wakes the task that sends reports when there are urgent notices.
#[derive(Debug, Default)]
pub struct Alarm(Notify);

impl Alarm {
    /// Waits for urgent notices.
    pub async fn wait(&self) {
        self.0.notified().await;
    }
}

/// Returns the time by which evidence is dated, in milliseconds. It has counted long before this process began, so that the
/// evidence of others can be dated back, and counts while the instance is suspended, as the clocks of the others do.
fn evidence_ms(gateway: &Gateway) -> u64 {
    let boot_ms = gateway.clock.boot_ms();
    BOOT_MS + boot_ms.unwrap_or_else(|| gateway.now_ms())
}

fn subject(inbound: &Inbound) -> Subject {
    let shared = inbound.prompt.shared().iter();
    Subject {
        parts: shared.map(|part| part.id).collect(),
        content: Some(inbound.content),
    }
}

/// Returns the position of this gateway in an order of all live gateways that differs from part to part.
fn rank(gateway: &Gateway, part: u64) -> usize {
    let score = |name: &str| hash::digest(&[name.as_bytes(), &part.to_le_bytes()]);
    let own = score(&gateway.settings.name);
    let members = gateway.members.lock();
    let others = members.iter_recent(Topic::Operators, gateway.now_ms());
    others.filter(|peer| score(peer.name) > own).count()
}

/// Returns the addresses of the other gateways among those that collect the evidence against a content.
fn collectors(gateway: &Gateway, content: u64) -> Vec<SocketAddr> {
    let score = |name: &str| hash::digest(&[name.as_bytes(), &content.to_le_bytes()]);
    let own = (score(&gateway.settings.name), None);
    let members = gateway.members.lock();
    let others = members.iter_recent(Topic::Operators, gateway.now_ms());
    let others = others.map(|peer| (score(peer.name), members.address(peer.name)));
    let mut ranked: Vec<_> = others.chain([own]).collect();
    ranked.sort_by_key(|(score, _)| Reverse(*score));
    let collectors = ranked.into_iter().take(COLLECTORS);
    collectors.filter_map(|(_, address)| address).collect()
}

/// Decides on a request before it is first sent.
pub fn admit(gateway: &Gateway, inbound: &Inbound) -> Admission {
    let subject = subject(inbound);
    if query::held_part(&gateway.quarantine.lock().register, &subject).is_none() {
        return Admission::Free;
    }
    let keys = subject.keys().map(|(key, _)| key);
    let ranks: IndexMap<u64, usize> = keys.map(|key| (key, rank(gateway, key))).collect();
    let now_ms = evidence_ms(gateway);
    let admission = {
        let mut quarantine = gateway.quarantine.lock();
        let rank = |part: u64| ranks.get(&part).copied().unwrap_or(usize::MAX);
        command::admit(&mut quarantine.register, &subject, rank, now_ms)
    };
    match admission {
        Admission::Free => {}
        Admission::Trial { part } => {
            log::warn!(request_id:% = inbound.id_text(), part:% = Hex(part); "trying a held prompt part");
            gateway
                .metrics
                .quarantined
                .with_label_values(&["trial"])
                .inc();
            let changes = Changes {
                news: vec![part],
                ..Changes::default()
            };
            publish(gateway, &changes);
            record(gateway, part, true);
        }
        Admission::Refused { part, .. } => {
            log::info!(request_id:% = inbound.id_text(), part:% = Hex(part); "refused for a held prompt part");
            gateway
                .metrics
                .quarantined
                .with_label_values(&["refused"])
                .inc();
        }
    }
    admission
}

/// Returns whether a part of the prompt is held, so that the request must not be sent again.
pub fn is_held(gateway: &Gateway, inbound: &Inbound) -> bool {
    let subject = subject(inbound);
    query::held_part(&gateway.quarantine.lock().register, &subject).is_some()
}

/// Returns the `Retry-After` delay of a refused request.
pub fn retry_after(next_trial_ms: u64) -> Duration {
    let spread = 1.0 + rand::rng().random_range(0.0..RETRY_AFTER_SPREAD);
    Duration::from_millis(next_trial_ms.max(1_000)).mul_f64(spread)
}

/// Clears a request whose answer has gone on past its beginning.
pub fn clear(gateway: &Gateway, inbound: &Inbound) {
    let subject = subject(inbound);
    let now_ms = evidence_ms(gateway);
    let changes = {
        let mut quarantine = gateway.quarantine.lock();
        command::clear(&mut quarantine.register, &subject, now_ms)
    };
    publish(gateway, &changes);
}

/// Finds out whether a target crashed whose connection closed during a request, and accuses the request if so.
/// Returns whether the request may be sent to another target.
///
/// `suspensions` is the number of suspensions of this process before the request was sent: a process that was suspended
/// cannot tell a crash from what happened meanwhile.
pub async fn investigate(
    gateway: Arc<Gateway>,
    inbound: Arc<Inbound>,
    key: Key,
    suspicion: Suspicion,
    suspensions: u64,
) -> bool {
    let subject = subject(&inbound);
    let Some((target_id, lifetime)) = find_crashed(&gateway, key, suspensions).await else {
        return true;
    };
    gateway.holders.lock().remove_target(key);
    let crash = quarantine::crash_id(&target_id, lifetime);
    let now_ms = evidence_ms(&gateway);
    let (changes, is_cleared) = {
        let mut quarantine = gateway.quarantine.lock();
        let register = &mut quarantine.register;
        let changes = command::accuse(register, crash, &subject, suspicion, now_ms);
        (changes, query::is_cleared(register, &subject, now_ms))
    };
    gateway.metrics.suspected_crashes.inc();
    log::warn!(
        request_id:% = inbound.id_text(), target_id:% = target_id, lifetime = lifetime, prompt:% = inbound.prompt,
        content:% = Hex(inbound.content), has_begun = suspicion == Suspicion::Begun, is_cleared = is_cleared;
        "target crashed during a request"
    );
    publish(&gateway, &changes);
    is_cleared || suspicion == Suspicion::Waiting || subject.parts.is_empty()
}

/// Returns the id and lifetime of a target if it has ended without notice: it is listed, is not leaving, and refuses
/// connections.
async fn find_crashed(gateway: &Gateway, key: Key, suspensions: u64) -> Option<(SmolStr, u64)> {
    let (target, lifetime) = {
        let roster = gateway.roster.lock();
        let target = roster::query::target(&roster, key)?.clone();
        (target, roster::query::lifetime(&roster, key)?)
    };
    let address: SocketAddr = target.address.parse().ok()?;
    if target.leaving {
        return None;
    }
    let source = gateway.settings.source_address;
    let connecting = time::timeout(CONNECT_TIMEOUT, connections::connect(address, source));
    let error = connecting.await.ok()?.err()?;
    suspension::note_heartbeat(gateway);
    let was_suspended = *gateway.suspensions.borrow() != suspensions;
    let is_refused = error.kind() == ErrorKind::ConnectionRefused;
    (is_refused && !was_suspended).then_some((target.id, lifetime))
}

/// Sends what this gateway has observed to all others.
fn publish(gateway: &Gateway, changes: &Changes) {
    send_to_all(gateway, &changes.news);
    forward(gateway, changes);
}

/// Includes notices of these parts in the next reports to each other gateway.
fn send_to_all(gateway: &Gateway, parts: &[u64]) {
    if parts.is_empty() {
        return;
    }
    let peers = gateway.members.lock().names().count();
    let rounds = reports::rounds_per_turn(peers);
    gateway.quarantine.lock().outbox.push(parts, rounds);
}

/// Sends news to a few other gateways and what is held now to all, logs the changes of holds, and has them recorded in the
/// store.
fn forward(gateway: &Gateway, changes: &Changes) {
    send_to_all(gateway, &changes.held);
    for part in &changes.held {
        log::warn!(part:% = Hex(*part); "prompt part held: targets crash under it");
        record(gateway, *part, true);
    }
    for part in &changes.released {
        log::warn!(part:% = Hex(*part); "prompt part released: an answer went on past its beginning");
        record(gateway, *part, false);
    }
    if changes.news.is_empty() && changes.contents.is_empty() {
        return;
    }
    let held = {
        let mut quarantine = gateway.quarantine.lock();
        quarantine.urgent.extend(&changes.news);
        quarantine.urgent_contents.extend(&changes.contents);
        query::held_count(&quarantine.register)
    };
    gateway.metrics.held_parts.set(held as i64);
    gateway.quarantine_alarm.0.notify_one();
}

/// Has the state of a held part recorded in the store, by this gateway if it is one of those that do so, or becomes one as others turn
/// out to be lost.
fn record(gateway: &Gateway, part: u64, is_held: bool) {
    let peers = gateway.members.lock().names().count();
    let silence_ms = reports::silence_timeout_ms(peers, false);
    let change = Unrecorded {
        is_held,
        end_ms: gateway.now_ms() + silence_ms + RECORD_MARGIN_MS,
    };
    let lost = {
        let unrecorded = &mut gateway.quarantine.lock().unrecorded;
        unrecorded.shift_remove(&part);
        unrecorded.insert(part, change);
        let excess = unrecorded.len().saturating_sub(RECORDS_MAX);
        unrecorded.drain(..excess).count()
    };
    if lost > 0 {
        gateway.metrics.lost_holds.inc_by(lost as u64);
        log::error!(changes = lost; "too many changes of held prompt parts are not recorded in the store; the oldest are dropped");
    }
    record_due(gateway);
}

/// Records the changes that fall to this gateway by now.
fn record_due(gateway: &Gateway) {
    let changes = gateway.quarantine.lock().unrecorded.clone();
    if changes.is_empty() {
        return;
    }
    let own = changes
        .keys()
        .filter(|part| rank(gateway, **part) < RECORDERS);
    let own: Vec<u64> = own.copied().collect();
    let now_ms = gateway.now_ms();
    let mut quarantine = gateway.quarantine.lock();
    for part in own {
        let Some(change) = quarantine.unrecorded.get(&part).copied() else {
            continue;
        };
        let trials = query::trials(&quarantine.register, part).unwrap_or_default();
        let record = (Held { part, trials }, change.is_held);
        // While the channel is full, the change stays for the next round.
        if quarantine.records.try_send(record).is_ok() {
            quarantine.unrecorded.shift_remove(&part);
        }
    }
    let is_awaited = |change: &Unrecorded| now_ms < change.end_ms;
    quarantine.unrecorded.retain(|_, it| is_awaited(it));
}

/// Has all held parts recorded again, which a store that came back from an older copy may lack.
pub fn record_again(gateway: &Gateway) {
    let held = query::held(&gateway.quarantine.lock().register);
    for part in held {
        record(gateway, part, true);
    }
}

/// Returns the notices to send at once, each group with the gateways that get it.
pub fn take_urgent(gateway: &Gateway) -> Vec<(Vec<Vec<u8>>, Vec<SocketAddr>)> {
    let now_ms = evidence_ms(gateway);
    let (messages, contents) = {
        let mut quarantine = gateway.quarantine.lock();
        let mut parts = std::mem::take(&mut quarantine.urgent);
        parts.sort_unstable();
        parts.dedup();
        let contents = std::mem::take(&mut quarantine.urgent_contents);
        let register = &quarantine.register;
        let contents = contents.into_iter().filter_map(|content| {
            let notice = exchange::content_message(register, content, now_ms)?;
            Some((content, notice))
        });
        let contents: Vec<(u64, Notice)> = contents.collect();
        (exchange::messages(register, &parts, now_ms), contents)
    };
    let recent = gateway.members.lock().recent_addresses(gateway.now_ms());
    let recipients = recent.choose_multiple(&mut rand::rng(), FANOUT);
    let mut groups = vec![(encode(messages), recipients.copied().collect())];
    for (content, notice) in contents {
        groups.push((encode(vec![vec![notice]]), collectors(gateway, content)));
    }
    groups
}

/// Returns the notices of a round of reports, and records what has come to fall to this gateway.
pub fn next_round(gateway: &Gateway, round: u64) -> Vec<Vec<u8>> {
    record_due(gateway);
    let peers = gateway.members.lock().names().count();
    let now_ms = evidence_ms(gateway);
    let mut quarantine = gateway.quarantine.lock();
    let Quarantine {
        register, outbox, ..
    } = &mut *quarantine;
    command::remove_expired(register, now_ms);
    let phase = hash::digest(&[gateway.settings.name.as_bytes()]) % 1_024;
    let messages = outbox.next_round(
        register,
        round + phase,
        reports::rounds_per_turn(peers),
        now_ms,
    );
    drop(quarantine);
    encode(messages)
}

fn encode(messages: Vec<Vec<Notice>>) -> Vec<Vec<u8>> {
    let messages = messages.into_iter();
    messages
        .flat_map(|notices| supplement::split(&notices, Supplement::Quarantine))
        .collect()
}

/// Merges the notices of another gateway.
pub fn receive(gateway: &Gateway, notices: &[Notice]) {
    let now_ms = evidence_ms(gateway);
    let changes = {
        let mut quarantine = gateway.quarantine.lock();
        command::merge(&mut quarantine.register, notices, now_ms)
    };
    forward(gateway, &changes);
}

/// Holds the parts that are recorded in the store.
pub fn restore(gateway: &Gateway, entries: Vec<Entry>) {
    let now_ms = evidence_ms(gateway);
    for entry in entries {
        match entry.fact {
            Some(Fact::Held(Held { part, trials })) => {
                let register = &mut gateway.quarantine.lock().register;
                if command::restore(register, part, trials, now_ms) {
                    log::info!(part:% = Hex(part), trials = trials; "prompt part held: recorded in the store");
                }
            }
            Some(Fact::Unreadable(reason)) => {
                log::warn!(key:% = entry.key, reason:% = reason; "cannot decode the entry of a held prompt part; ignoring it");
            }
            _ => {}
        }
    }
}

/// Reads the held parts from the store once, and then records changes there. Never returns.
pub async fn follow_store(gateway: Arc<Gateway>, source: Arc<Source>) {
    let records = gateway.quarantine.lock().receiver.take();
    let Some(mut records) = records else {
        return;
    };
    loop {
        match (source.list)(Topic::Quarantine).await {
            Ok(batch) => {
                restore(&gateway, batch.entries);
                break;
            }
            Err(error) => {
                log::warn!(error:% = error; "cannot read the held prompt parts from the store; retrying");
                time::sleep(STORE_RETRY_DELAY).await;
            }
        }
    }
    while let Some((held, is_held)) = records.recv().await {
        while let Err(error) = (source.hold)(held, is_held).await {
            log::warn!(part:% = Hex(held.part), error:% = error; "cannot record a held prompt part in the store; retrying");
            time::sleep(STORE_RETRY_DELAY).await;
        }
    }
}

/// Formats a part or content as in the other log lines.
pub struct Hex(pub u64);

impl std::fmt::Display for Hex {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
