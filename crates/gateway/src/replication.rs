//! The replica of the store's topics that a gateway holds, and how it applies entries from the store and from other
//! gateways.
//!
//! After an outage of the store, a gateway reads the complete list again. Entries of live targets may have expired
//! during the outage, so that the targets of a pool that lacks most of them stay in use for a short time
//! ([`absence`]).

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use parking_lot::MutexGuard;
use sardinemux_core::catalog::patch::Held;
use sardinemux_core::catalog::Catalog;
use sardinemux_core::position::Position;
use sardinemux_core::readers::ReaderState;
use sardinemux_core::rollout::Order;
use sardinemux_core::roster::absence::{self, Absence};
use sardinemux_core::roster::{self, command, query, Announcement, Roster};

use crate::prelude::*;
use crate::relay::{Change, Holdings, Log, Update};
use crate::rollouts;
use crate::source::{self, Batch, Entry, Fact, Topic, UNKNOWN_KEY};

/// The time between two requests for complete lists because of differences, in milliseconds.
const WHOLE_INTERVAL_MS: u64 = 2_000;

/// What a gateway of an earlier build gets in place of the order of a rollout. It may pass that on to one of this build.
const HIDDEN_ROLLOUT: &str = "the order of a rollout, which this build does not know";

/// How long it is assumed that the store is available after another gateway has reported so, in milliseconds: several periods of
/// reports.
const PROOF_TTL_MS: u64 = 1_500;

/// How long an evacuation stays in force that a store which came back from an older copy lacks, in milliseconds: the time in
/// which operators write again what the copy lacks.
const RESTORED_MS: u64 = 4_000;

/// The replica of one topic, and the state of this gateway as a reader of the store for it.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The entries received so far.
    pub log: Log,
    /// The position after which the store is watched for changes; `None` if the complete list must be read.
    pub(crate) watch_position: Option<Position>,
    /// Since when every call to the store has succeeded, in milliseconds; `None` if the store is not followed.
    pub(crate) following_since_ms: Option<u64>,
    /// Since when calls to the store have failed, in milliseconds, up to the next success; `None` otherwise.
    pub(crate) failing_since_ms: Option<u64>,
    /// Whether the pending call to the store is overdue. It may still succeed, but until then the entries may be out of
    /// date, and another gateway must read the store.
    is_overdue: bool,
    /// When a call to the store last failed, in milliseconds.
    failed_ms: Option<u64>,
    /// When another gateway last reported that it has followed the store for longer than entries take to return, or than the
    /// current outage, in milliseconds. The store was available then, and only the path of this gateway to it has failed.
    proven_ms: Option<u64>,
    /// Whether the next complete list is the first after an outage that may be one of the store itself.
    is_relisting: bool,
    /// Until when removals may be undone as entries may have expired, in milliseconds; `None` if there are none.
    undoable_until_ms: Option<u64>,
    /// When the store, or another gateway that follows it, last answered, in milliseconds.
    pub(crate) last_contact_ms: u64,
    /// The number of suspensions of the process before the last successful call to the store, or to a gateway that
    /// follows it. If there have been more since then, the entries may be out of date.
    pub(crate) refreshed_suspensions: u64,
    /// Whether the complete list is to be requested from another gateway, as changes cannot be relied on.
    is_whole_due: bool,
    /// When a complete list was last requested for that reason, in milliseconds.
    whole_ms: Option<u64>,
    /// The pools whose rollout is ordered, by the key of their entry.
    pub(crate) ordered: IndexMap<SmolStr, SmolStr>,
    /// The evacuated availability zones, by the key of their entry.
    pub evacuated: IndexMap<SmolStr, Evacuation>,
}

/// An availability zone that is evacuated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evacuation {
    /// The name of the zone.
    pub zone: SmolStr,
    /// Since when the entry is missing from a store that came back from an older copy, in milliseconds.
    pub missing_since_ms: Option<u64>,
}

impl View {
    /// Returns the state of this gateway as a reader of the store.
    pub fn reader_state(&self) -> ReaderState {
        match (self.following_since_ms, self.failing_since_ms) {
            _ if self.is_overdue => ReaderState::Failing,
            (Some(_), _) => ReaderState::Following,
            (None, Some(_)) => ReaderState::Failing,
            (None, None) => ReaderState::Idle,
        }
    }

    /// Returns the position after which another gateway is asked for changes; `None` if the complete list is.
    pub fn since(&self) -> Option<Position> {
        let has_base = self.log.has_snapshot() && !self.is_whole_due;
        has_base.then(|| self.log.position())
    }

    /// Returns whether another gateway is asked for all entries as they are, as changes have not led to what it holds.
    pub fn is_whole_due(&self) -> bool {
        self.is_whole_due
    }

    /// Returns whether another gateway has lately been known to follow the store.
    fn is_store_proven(&self, now_ms: u64) -> bool {
        let is_recent = |at_ms| now_ms.saturating_sub(at_ms) < PROOF_TTL_MS;
        self.proven_ms.is_some_and(is_recent)
    }

    /// Returns whether this gateway reads the store, and its calls succeed.
    pub fn is_following(&self) -> bool {
        self.reader_state() == ReaderState::Following
    }
}

/// Calls `action` with the replica of a topic, under its lock.
pub(crate) fn with_view<T>(
    gateway: &Gateway,
    topic: Topic,
    action: impl FnOnce(&mut View) -> T,
) -> T {
    action(gateway.views.lock().entry(topic).or_default())
}

/// Records a successful call to the store for a topic.
pub fn note_store_success(gateway: &Gateway, topic: Topic) {
    let now_ms = gateway.now_ms();
    with_view(gateway, topic, |view| {
        view.last_contact_ms = now_ms;
        view.is_overdue = false;
        view.following_since_ms.get_or_insert(now_ms);
        if let Some(since_ms) = view.failing_since_ms.take() {
            let is_own_outage = view.is_store_proven(now_ms);
            view.is_relisting = !is_own_outage;
            let away_ms = now_ms.saturating_sub(since_ms);
            log::info!(
                topic = topic.name(), away_ms = away_ms, is_own_outage = is_own_outage;
                "store regained"
            );
        }
    });
}

/// Records that a topic was read by a call that began after `suspensions` suspensions of the process.
pub(crate) fn note_refresh(gateway: &Gateway, topic: Topic, suspensions: u64) {
    with_view(gateway, topic, |view| {
        view.refreshed_suspensions = suspensions
    });
}

/// Returns whether the topics of operators and targets have been read since the process was suspended for the
/// `suspensions`th time.
pub fn is_refreshed(gateway: &Gateway, suspensions: u64) -> bool {
    let is_topic_refreshed = |topic: Topic| {
        with_view(gateway, topic, |view| {
            view.refreshed_suspensions >= suspensions
        })
    };
    is_topic_refreshed(Topic::Operators) && is_topic_refreshed(Topic::Targets)
}

/// Invalidates the positions up to which the store was read, so that the complete lists are read again.
pub fn invalidate_versions(gateway: &Gateway) {
    for topic in [Topic::Operators, Topic::Targets] {
        with_view(gateway, topic, |view| {
            view.watch_position = None;
            view.following_since_ms = None;
        });
    }
}

/// Returns whether this gateway reads any topic from the store, or tries to.
pub fn is_store_reader(gateway: &Gateway) -> bool {
    let views = gateway.views.lock();
    views
        .values()
        .any(|view| view.reader_state() != ReaderState::Idle)
}

/// Returns for how long this gateway has followed the store without a failed call, in milliseconds; zero if it is not
/// following it.
pub fn following_ms(view: &View, now_ms: u64) -> u64 {
    let since_ms = view.following_since_ms;
    since_ms.map_or(0, |since_ms| now_ms.saturating_sub(since_ms))
}

/// Applies the report of another gateway that it has followed the store for `followed_ms` without a failed call. Targets that stay
/// in use as their entries may have expired are removed if that shows that the store was available.
pub fn apply_followed_time(gateway: &Gateway, followed_ms: u64) {
    let now_ms = gateway.now_ms();
    let ends = with_view(gateway, Topic::Targets, |view| {
        note_peer_following(view, followed_ms, now_ms);
        view.undoable_until_ms.is_some() && view.is_store_proven(now_ms)
    });
    if ends {
        remove_lapsed(gateway);
    }
}

/// Records for how long another gateway has followed the store without a failed call, in milliseconds. This tells an
/// outage of the store from a failed connection of this gateway.
pub fn note_peer_following(view: &mut View, followed_ms: u64, now_ms: u64) {
    let outage_ms = view.failing_since_ms.map(|it| now_ms.saturating_sub(it));
    if absence::is_store_proven(&roster::Settings::default(), followed_ms, outage_ms) {
        view.proven_ms = Some(now_ms);
    }
}

/// Removes the targets that stay in use as their entries may have expired. The followers of this gateway are told no more that they
/// may return.
fn remove_lapsed(gateway: &Gateway) {
    let now_ms = gateway.now_ms();
    let mut roster = gateway.roster.lock();
    let removed = command::remove_lapsed(&mut roster, now_ms);
    with_view(gateway, Topic::Targets, |view| {
        view.log.settle(|key| removed.contains(key));
    });
    for id in removed {
        log::info!(target_id:% = id; "target has left, as the store was available to others");
    }
}

/// Marks the removals of targets as final once the time is over in which entries that have expired return.
pub fn settle_removals(gateway: &Gateway, now_ms: u64) {
    with_view(gateway, Topic::Targets, |view| {
        if view.undoable_until_ms.is_some_and(|it| now_ms >= it) {
            view.undoable_until_ms = None;
            view.log.settle(|_| true);
        }
    });
}

/// Records that the pending call to the store for a topic has not been answered within `limit`.
///
/// Unlike a failed call this is no outage: if the answer comes, the topic is watched on from where it is.
pub(crate) fn note_store_delay(gateway: &Gateway, topic: Topic, limit: Duration) {
    with_view(gateway, topic, |view| {
        view.is_overdue = true;
        view.following_since_ms = None;
    });
    log::info!(
        topic = topic.name(), limit_ms = limit.as_millis() as u64;
        "the store has not answered in time; leaving the topic to other gateways until it answers"
    );
}

/// Resets the state of this gateway as a reader of the store for a topic to idle.
pub(crate) fn clear_reader_state(gateway: &Gateway, topic: Topic) {
    with_view(gateway, topic, |view| {
        view.is_overdue = false;
        view.following_since_ms = None;
        view.failing_since_ms = None;
        view.watch_position = None;
    });
}

/// Records a failed call to the store for a topic.
pub fn note_store_failure(gateway: &Gateway, topic: Topic, error: &source::Error) {
    let now_ms = gateway.now_ms();
    with_view(gateway, topic, |view| {
        // The complete list is read once the store is back: its history may lack entries that expired meanwhile.
        view.watch_position = None;
        view.is_overdue = false;
        view.following_since_ms = None;
        view.failed_ms = Some(now_ms);
        if view.failing_since_ms.is_none() {
            view.failing_since_ms = Some(now_ms);
            log::warn!(topic = topic.name(), error:% = error; "store lost");
        }
    });
}

/// Resets the watched position of a topic, so that the complete list is read next.
pub(crate) fn reset_watch_position(gateway: &Gateway, topic: Topic) {
    with_view(gateway, topic, |view| view.watch_position = None);
}

/// Applies entries from the store. If `is_complete`, entries that the batch lacks are removed.
///
/// A gateway without any entry of the topic ignores a complete list without entries, and reads the list again. If an
/// exchanged answer passed for that list, the changes since its version would leave out the entries.
pub fn apply_store_batch(gateway: &Gateway, topic: Topic, batch: Batch, is_complete: bool) {
    let roster = lock_roster(gateway, topic);
    let (changes, failed_ms) = with_view(gateway, topic, |view| {
        if is_complete && batch.entries.is_empty() && view.log.is_empty() {
            return (Vec::new(), None);
        }
        view.watch_position = Some(batch.position);
        let may_return = is_complete && std::mem::take(&mut view.is_relisting);
        let mut changes = view.log.apply(&batch, is_complete, may_return);
        if let Some(roster) = &roster {
            settle_left(roster, view, &mut changes, gateway.now_ms());
        }
        (changes, view.failed_ms)
    });
    drop(roster);
    apply_changes(gateway, topic, changes, failed_ms);
}

/// Locks the roster if the entries of `topic` change it. It is locked before the views are.
fn lock_roster(gateway: &Gateway, topic: Topic) -> Option<MutexGuard<'_, Roster>> {
    (topic == Topic::Targets).then(|| gateway.roster.lock())
}

/// Marks those removals among `changes` as final whose targets have left, although the store may have been away.
fn settle_left(roster: &Roster, view: &mut View, changes: &mut [Change], now_ms: u64) {
    let is_doubtful = |change: &Change| change.entry.may_return && !change.is_restored;
    let unlisted = changes.iter().filter(|change| is_doubtful(change));
    let unlisted: IndexSet<SmolStr> = unlisted.map(|change| change.entry.key.clone()).collect();
    let lapsed = match view.is_store_proven(now_ms) {
        true => IndexSet::new(),
        false => absence::find_lapsed(roster, &unlisted),
    };
    let left = |key: &SmolStr| unlisted.contains(key) && !lapsed.contains(key);
    view.log.settle(left);
    for change in changes.iter_mut() {
        change.entry.may_return &= !left(&change.entry.key);
    }
    if changes.iter().any(|change| change.entry.may_return) {
        view.undoable_until_ms = Some(now_ms + roster::Settings::default().relist_ms);
    }
}

/// Applies entries from another gateway.
///
/// Nothing is applied if the batch holds a patch that does not lead from the catalogue in force to that of the sender. The complete list
/// is requested next then, and also if the list still differs from that of the sender.
pub fn apply_peer_batch(gateway: &Gateway, topic: Topic, news: Update) {
    let Update {
        is_following,
        is_complete,
        mut batch,
        holdings,
    } = news;
    if !resolve_patches(gateway, &mut batch) {
        with_view(gateway, topic, |view| view.is_whole_due = true);
        return;
    }
    let now_ms = gateway.now_ms();
    gateway.note_era(batch.position.era);
    let roster = lock_roster(gateway, topic);
    let (changes, differs) = with_view(gateway, topic, |view| {
        if is_following {
            view.last_contact_ms = now_ms;
        }
        let mut changes = view.log.apply(&batch, is_complete, false);
        if let Some(roster) = &roster {
            settle_left(roster, view, &mut changes, now_ms);
        }
        view.is_whole_due &= !is_complete;
        (changes, note_differences(view, holdings, now_ms))
    });
    drop(roster);
    if differs {
        log::warn!(
            topic = topic.name(), version = batch.position.version;
            "the list differs from that of the gateway that has sent its changes; requesting the complete list"
        );
        gateway.metrics.differing_lists.inc();
    }
    apply_changes(gateway, topic, changes, None);
}

/// Has the complete list requested if the list differs from what another gateway holds. Returns whether it does.
fn note_differences(view: &mut View, holdings: Option<Holdings>, now_ms: u64) -> bool {
    let is_recent = |at_ms| now_ms.saturating_sub(at_ms) < WHOLE_INTERVAL_MS;
    let differs = holdings.is_some_and(|holdings| view.log.differs_from(holdings));
    if !differs || view.whole_ms.is_some_and(is_recent) {
        return false;
    }
    view.is_whole_due = true;
    view.whole_ms = Some(now_ms);
    true
}

/// Applies the changes of a log. `failed_ms` is the time of the last call to the store that failed, if this gateway has read them there.
fn apply_changes(gateway: &Gateway, topic: Topic, changes: Vec<Change>, failed_ms: Option<u64>) {
    let restored = changes.iter().filter(|change| change.is_restored).count();
    let counter = &gateway.metrics.restored_entries;
    counter
        .with_label_values(&[topic.name()])
        .inc_by(restored as u64);
    if restored > 0 {
        log::warn!(
            topic = topic.name(), entries = restored;
            "the store may have come back from an older copy; nothing that was known before is taken back"
        );
    }
    match topic {
        Topic::Operators => apply_operators(gateway, changes),
        Topic::Targets => apply_targets(gateway, changes, failed_ms),
        // The others are read on demand, and are not relayed.
        Topic::Members | Topic::Quarantine | Topic::Builds | Topic::Origins => {}
    }
}

fn apply_operators(gateway: &Gateway, changes: Vec<Change>) {
    let now_ms = gateway.now_ms();
    let mut evacuated = with_view(gateway, Topic::Operators, |view| view.evacuated.clone());
    for Change { entry, is_restored } in changes {
        match entry.fact {
            Some(Fact::Catalog(definition)) => set_catalog(gateway, Catalog::new(definition)),
            Some(Fact::Evacuated(zone)) => {
                let missing_since_ms = None;
                let evacuation = Evacuation {
                    zone,
                    missing_since_ms,
                };
                evacuated.insert(entry.key, evacuation);
            }
            Some(Fact::Rollout(order)) => apply_order(gateway, entry.key, order),
            Some(Fact::Unreadable(reason)) => {
                log::warn!(
                    key:% = entry.key, version = entry.position.version, reason:% = reason;
                    "cannot decode an entry of the operators; the previous one stays in force"
                );
                if reason == UNKNOWN_KEY || reason == HIDDEN_ROLLOUT {
                    rollouts::note_unknown(gateway);
                }
            }
            Some(_) => {}
            // An older copy of the store may lack the evacuation. Operators write it again then.
            None if is_restored => {
                if let Some(evacuation) = evacuated.get_mut(&entry.key) {
                    evacuation.missing_since_ms.get_or_insert(now_ms);
                }
            }
            None => {
                evacuated.shift_remove(&entry.key);
                let pool = with_view(gateway, Topic::Operators, |view| {
                    view.ordered.shift_remove(&entry.key)
                });
                if let Some(pool) = pool {
                    rollouts::note_withdrawal(gateway, &pool);
                }
            }
        }
    }
    set_evacuated(gateway, evacuated);
}

fn apply_order(gateway: &Gateway, key: SmolStr, order: Order) {
    with_view(gateway, Topic::Operators, |view| {
        view.ordered.insert(key, order.pool.clone());
    });
    rollouts::note_order(gateway, order);
}

/// Puts the orders of rollouts in a list of the store in force. The reader of the other entries, of an earlier build, could not decode them.
pub fn apply_orders(gateway: &Gateway, batch: Batch) {
    for entry in batch.entries {
        if let Some(Fact::Rollout(order)) = entry.fact {
            apply_order(gateway, entry.key, order);
        }
    }
}

/// Ends the evacuations that a store which came back from an older copy lacks, and that operators have not written again.
pub fn remove_unconfirmed(gateway: &Gateway) {
    let now_ms = gateway.now_ms();
    let mut evacuated = with_view(gateway, Topic::Operators, |view| view.evacuated.clone());
    let is_expired = |evacuation: &Evacuation| {
        let since_ms = evacuation.missing_since_ms;
        since_ms.is_some_and(|since_ms| now_ms.saturating_sub(since_ms) >= RESTORED_MS)
    };
    if evacuated.values().any(is_expired) {
        evacuated.retain(|_, evacuation| !is_expired(evacuation));
        set_evacuated(gateway, evacuated);
    }
}

/// Puts a catalogue in force, unless the version in force is the same or newer.
pub fn set_catalog(gateway: &Gateway, catalog: Catalog) {
    let mut current = gateway.catalog.write();
    if catalog.version() <= current.version() {
        return;
    }
    log::info!(
        version = catalog.version(), former = current.version(),
        routes = catalog.definition().routes.len();
        "catalogue in force"
    );
    gateway
        .metrics
        .catalog_version
        .set(catalog.version() as i64);
    let mut history = gateway.history.lock();
    history.record(current.definition(), catalog.definition());
    *current = Arc::new(catalog);
}

/// Replaces the catalogue in a batch by a patch, for a gateway that has the catalogue `peer` in force.
///
/// The complete catalogue stays where it is not the one in force here, or where that of the peer was never in force here.
pub fn substitute_patches(gateway: &Gateway, batch: &mut Batch, peer: Held) {
    let catalog = gateway.catalog();
    for entry in &mut batch.entries {
        let is_current = match &entry.fact {
            Some(Fact::Catalog(definition)) => definition.version == catalog.version(),
            _ => false,
        };
        let patch = match is_current {
            true => gateway
                .history
                .lock()
                .patch_since(peer, catalog.definition()),
            false => None,
        };
        if let Some(patch) = patch {
            entry.fact = Some(Fact::Patch(Arc::new(patch)));
        }
    }
}

/// Replaces the orders of rollouts in a batch for a gateway of an earlier build, which would otherwise reject the whole batch.
pub fn hide_rollouts(batch: &mut Batch) {
    for entry in &mut batch.entries {
        if matches!(entry.fact, Some(Fact::Rollout(_))) {
            entry.fact = Some(Fact::Unreadable(HIDDEN_ROLLOUT.into()));
        }
    }
}

/// Replaces each catalogue patch in a batch by the catalogue that results from it.
///
/// Returns `false` if a patch does not lead from the version in force to that of its sender.
fn resolve_patches(gateway: &Gateway, batch: &mut Batch) -> bool {
    let catalog = gateway.catalog();
    let mut is_resolved = true;
    batch.entries.retain_mut(|entry| {
        let Some(Fact::Patch(patch)) = &entry.fact else {
            return true;
        };
        let definition = patch.apply(catalog.definition());
        let definition = definition.filter(|definition| patch.leads_to(definition));
        if definition.is_none() {
            log::warn!(
                version = patch.version, since = patch.since, held = catalog.version();
                "a catalogue patch does not lead from the version in force to that of its sender; requesting the complete list"
            );
        }
        is_resolved &= definition.is_some();
        entry.fact = definition.map(|definition| Fact::Catalog(Arc::new(definition)));
        entry.fact.is_some()
    });
    is_resolved
}

fn set_evacuated(gateway: &Gateway, evacuated: IndexMap<SmolStr, Evacuation>) {
    let zones = evacuated.values().map(|evacuation| &evacuation.zone);
    let zones: IndexSet<SmolStr> = zones.cloned().collect();
    let catalog = gateway.catalog();
    let cold_ms = |pool: &str| catalog.pool(pool).map_or(0, |pool| pool.cold_ms);
    let now_ms = gateway.now_ms();
    let mut roster = gateway.roster.lock();
    let mut views = gateway.views.lock();
    let view = views.entry(Topic::Operators).or_default();
    if view.evacuated != evacuated {
        let names: Vec<&str> = zones.iter().map(SmolStr::as_str).collect();
        log::info!(zones:% = names.join(","); "evacuated zones");
    }
    view.evacuated = evacuated;
    command::set_evacuated(&mut roster, zones, cold_ms, now_ms);
}

fn apply_targets(gateway: &Gateway, changes: Vec<Change>, failed_ms: Option<u64>) {
    let now_ms = gateway.now_ms();
    for Change { entry, is_restored } in changes {
        let mut roster = gateway.roster.lock();
        match entry.fact {
            Some(Fact::Target(announcement)) => {
                apply_announcement(&mut roster, announcement, is_restored, now_ms)
            }
            Some(Fact::Unreadable(reason)) => {
                log::warn!(
                    key:% = entry.key, version = entry.position.version, reason:% = reason;
                    "cannot decode the entry of a target; removing the target"
                );
                command::remove_target(&mut roster, &entry.key, None, now_ms);
            }
            Some(_) => {}
            None => {
                log::info!(
                    target_id:% = entry.key, version = entry.position.version, may_return = entry.may_return;
                    "target is no longer listed"
                );
                let settings = roster::Settings::default();
                let absence = match is_restored {
                    true => Absence::after_restore(&settings, now_ms),
                    false => Absence::after_outage(&settings, failed_ms, now_ms),
                };
                let absence = entry.may_return.then_some(absence);
                command::remove_target(&mut roster, &entry.key, absence, now_ms);
            }
        }
    }
}

fn apply_announcement(
    roster: &mut Roster,
    announcement: Announcement,
    is_restored: bool,
    now_ms: u64,
) {
    let target = announcement.target.clone();
    let is_known =
        query::key(roster, &target.id).and_then(|key| query::target(roster, key)) == Some(&target);
    let (lifetime, cold_ms) = (announcement.lifetime, announcement.cold_ms);
    match is_restored {
        true => command::apply_restored(roster, announcement, now_ms),
        false => {
            command::apply_announcement(roster, announcement, now_ms);
        }
    }
    if is_known {
        return;
    }
    let key = query::key(roster, &target.id);
    let pause_ms = key.and_then(|key| query::pause_ms(roster, key, now_ms));
    log::info!(
        target_id:% = target.id, pool:% = target.pool, zone:% = target.zone,
        address:% = target.address, build:% = target.build, lifetime = lifetime,
        cold_ms = cold_ms, pause_ms = pause_ms.unwrap_or_default(), is_leaving = target.leaving, is_restored = is_restored;
        "target announced"
    );
}

pub(crate) fn apply_members(gateway: &Gateway, entries: Vec<Entry>) {
    let mut members = gateway.members.lock();
    for entry in entries {
        match entry.fact {
            Some(Fact::Member(member)) if member.name != gateway.settings.name => {
                members.upsert(member);
            }
            Some(Fact::Unreadable(reason)) => {
                log::warn!(key:% = entry.key, reason:% = reason; "cannot decode the entry of a gateway; ignoring it");
            }
            Some(_) => {}
            None => members.remove(&entry.key),
        }
    }
}
