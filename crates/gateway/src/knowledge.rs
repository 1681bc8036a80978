//! What a gateway believes of the catalogue, evacuated zones, targets and gateways, and how words of the store and of
//! other gateways change it, through outages.
//!
//! After an outage the list is read again; targets that it no longer names stay in use for a moment, since entries
//! lapse while the store is away.

use indexmap::{IndexMap, IndexSet};
use sardinemux_core::catalog::Catalog;
use sardinemux_core::readers::ReaderState;
use sardinemux_core::roster::{command, query, Announcement};

use crate::prelude::*;
use crate::relay::{Log, Update};
use crate::source::{self, Batch, Entry, Fact, Topic};

/// What was heard of one topic.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Everything that was heard.
    pub log: Log,
    /// The version from which the store is to be watched; none if the whole list is to be read.
    pub(crate) store_since: Option<u64>,
    /// Since when the store has answered without a break.
    pub(crate) followed_since_ms: Option<u64>,
    /// Since when the store has given no answer.
    pub(crate) lost_since_ms: Option<u64>,
    /// Whether another gateway followed the store all through the present outage: the store was there, and this
    /// gateway's path to it was not.
    is_own_outage: bool,
    /// Whether the next list is the first after an outage of the store itself.
    is_relisting: bool,
    /// When another gateway that follows the store last answered, or the store itself.
    pub(crate) heard_ms: u64,
    /// How often the process had stood still when what is known was last asked for.
    pub(crate) confirmed: u64,
    /// The evacuated zones, by key of their entry.
    pub evacuated: IndexMap<SmolStr, SmolStr>,
}

impl View {
    /// Returns how this gateway stands to the store.
    pub fn standing(&self) -> ReaderState {
        match (self.followed_since_ms, self.lost_since_ms) {
            (Some(_), _) => ReaderState::Following,
            (None, Some(_)) => ReaderState::Failing,
            (None, None) => ReaderState::Idle,
        }
    }

    /// Returns whether this gateway follows the store itself.
    pub fn is_following(&self) -> bool {
        self.standing() == ReaderState::Following
    }
}

pub(crate) fn with_view<T>(
    gateway: &Gateway,
    topic: Topic,
    action: impl FnOnce(&mut View) -> T,
) -> T {
    action(gateway.views.lock().entry(topic).or_default())
}

/// Notes an answer of the store.
pub fn note_contact(gateway: &Gateway, topic: Topic) {
    let now_ms = gateway.now_ms();
    with_view(gateway, topic, |view| {
        view.heard_ms = now_ms;
        view.followed_since_ms.get_or_insert(now_ms);
        if let Some(since_ms) = view.lost_since_ms.take() {
            view.is_relisting = !view.is_own_outage;
            let away_ms = now_ms.saturating_sub(since_ms);
            log::info!(
                topic = topic.name(), away_ms = away_ms, is_own_outage = view.is_own_outage;
                "store regained"
            );
        }
        view.is_own_outage = false;
    });
}

pub(crate) fn confirm(gateway: &Gateway, topic: Topic, asked: u64) {
    with_view(gateway, topic, |view| view.confirmed = asked);
}

/// Returns whether the operators' entries and the targets were asked for after the process stood still `wakes` times.
pub fn is_confirmed(gateway: &Gateway, wakes: u64) -> bool {
    let is_confirmed = |topic: Topic| with_view(gateway, topic, |view| view.confirmed >= wakes);
    is_confirmed(Topic::Operators) && is_confirmed(Topic::Targets)
}

/// Forgets how far the store was followed, so that its lists are read again.
pub fn doubt(gateway: &Gateway) {
    for topic in [Topic::Operators, Topic::Targets] {
        with_view(gateway, topic, |view| {
            view.store_since = None;
            view.followed_since_ms = None;
        });
    }
}

/// Returns whether this gateway reads the store, or tries to.
pub fn is_reading(gateway: &Gateway) -> bool {
    let views = gateway.views.lock();
    views
        .values()
        .any(|view| view.standing() != ReaderState::Idle)
}

/// Returns for how long this gateway has followed a topic at the store without a break, in milliseconds.
pub fn followed_ms(view: &View, now_ms: u64) -> u64 {
    let since_ms = view.followed_since_ms;
    since_ms.map_or(0, |since_ms| now_ms.saturating_sub(since_ms))
}

/// Notes for how long another gateway has followed a topic at the store without a break.
pub fn note_follower(view: &mut View, followed_ms: u64, now_ms: u64) {
    if let Some(since_ms) = view.lost_since_ms {
        view.is_own_outage |= followed_ms > now_ms.saturating_sub(since_ms);
    }
}

/// Notes that the store gave no answer.
pub fn note_loss(gateway: &Gateway, topic: Topic, error: &source::Error) {
    let now_ms = gateway.now_ms();
    with_view(gateway, topic, |view| {
        // The whole list is read on return: what lapsed meanwhile may have left the history.
        view.store_since = None;
        view.followed_since_ms = None;
        if view.lost_since_ms.is_none() {
            view.lost_since_ms = Some(now_ms);
            log::warn!(topic = topic.name(), error:% = error; "store lost");
        }
    });
}

pub(crate) fn forget_version(gateway: &Gateway, topic: Topic) {
    with_view(gateway, topic, |view| view.store_since = None);
}

/// Takes in what the store said; a complete list also removes what it does not name.
pub fn apply_store(gateway: &Gateway, topic: Topic, batch: Batch, is_complete: bool) {
    let news = with_view(gateway, topic, |view| {
        view.store_since = Some(batch.version);
        let may_return = is_complete && std::mem::take(&mut view.is_relisting);
        view.log.apply(&batch, is_complete, may_return)
    });
    apply(gateway, topic, news);
}

/// Takes in what another gateway said.
pub fn take_news(gateway: &Gateway, topic: Topic, news: Update) {
    let Update {
        is_following,
        is_complete,
        mut batch,
    } = news;
    if !complete(gateway, &mut batch) {
        return;
    }
    let now_ms = gateway.now_ms();
    let news = with_view(gateway, topic, |view| {
        if is_following {
            view.heard_ms = now_ms;
        }
        view.log.apply(&batch, is_complete, false)
    });
    apply(gateway, topic, news);
}

fn apply(gateway: &Gateway, topic: Topic, news: Vec<Entry>) {
    match topic {
        Topic::Operators => apply_operators(gateway, news),
        Topic::Targets => apply_targets(gateway, news),
        Topic::Members => apply_members(gateway, news),
    }
}

fn apply_operators(gateway: &Gateway, entries: Vec<Entry>) {
    let mut evacuated = with_view(gateway, Topic::Operators, |view| view.evacuated.clone());
    for entry in entries {
        match entry.fact {
            Some(Fact::Catalog(definition)) => set_catalog(gateway, Catalog::new(definition)),
            Some(Fact::Evacuated(zone)) => {
                evacuated.insert(entry.key, zone);
            }
            Some(Fact::Unreadable(reason)) => {
                log::warn!(key:% = entry.key, version = entry.version, reason:% = reason; "unreadable entry, the former one stays in force");
            }
            Some(Fact::Patch(_) | Fact::Target(_) | Fact::Member(_)) => {}
            None => {
                evacuated.shift_remove(&entry.key);
            }
        }
    }
    set_evacuated(gateway, evacuated);
}

/// Puts a catalogue in force, unless one as new is.
pub fn set_catalog(gateway: &Gateway, catalog: Catalog) {
    let mut held = gateway.catalog.write();
    if catalog.version() <= held.version() {
        return;
    }
    log::info!(
        version = catalog.version(), former = held.version(),
        routes = catalog.definition().routes.len();
        "catalogue in force"
    );
    gateway
        .metrics
        .catalog_version
        .set(catalog.version() as i64);
    let mut history = gateway.history.lock();
    history.record(held.definition(), catalog.definition());
    *held = Arc::new(catalog);
}

/// Puts what changed of the catalogue in place of the whole, for a gateway that has version `held` in force.
pub fn shorten(gateway: &Gateway, batch: &mut Batch, held: u64) {
    let catalog = gateway.catalog();
    for entry in &mut batch.entries {
        let is_present = match &entry.fact {
            Some(Fact::Catalog(definition)) => definition.version == catalog.version(),
            _ => false,
        };
        let patch = match is_present {
            true => gateway
                .history
                .lock()
                .patch_since(held, catalog.definition()),
            false => None,
        };
        if let Some(patch) = patch {
            entry.fact = Some(Fact::Patch(Arc::new(patch)));
        }
    }
}

/// Puts the whole catalogue in place of what changed; drops what does not fit the version in force, so that the
/// whole is asked for next.
fn complete(gateway: &Gateway, batch: &mut Batch) -> bool {
    let catalog = gateway.catalog();
    let mut is_whole = true;
    batch.entries.retain_mut(|entry| {
        let Some(Fact::Patch(patch)) = &entry.fact else {
            return true;
        };
        let definition = patch.apply(catalog.definition());
        if definition.is_none() {
            log::warn!(
                version = patch.version, since = patch.since, held = catalog.version();
                "a change of the catalogue does not fit the version in force"
            );
        }
        is_whole &= definition.is_some();
        entry.fact = definition.map(|definition| Fact::Catalog(Arc::new(definition)));
        entry.fact.is_some()
    });
    is_whole
}

fn set_evacuated(gateway: &Gateway, evacuated: IndexMap<SmolStr, SmolStr>) {
    let zones: IndexSet<SmolStr> = evacuated.values().cloned().collect();
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

fn apply_targets(gateway: &Gateway, entries: Vec<Entry>) {
    let now_ms = gateway.now_ms();
    for entry in entries {
        let mut roster = gateway.roster.lock();
        match entry.fact {
            Some(Fact::Target(announcement)) => announce(&mut roster, announcement, now_ms),
            Some(Fact::Unreadable(reason)) => {
                log::warn!(key:% = entry.key, version = entry.version, reason:% = reason; "unreadable entry names no target");
                command::remove_target(&mut roster, &entry.key, false, now_ms);
            }
            Some(_) => {}
            None => {
                log::info!(target_id:% = entry.key, version = entry.version, may_return = entry.may_return; "target is no longer listed");
                command::remove_target(&mut roster, &entry.key, entry.may_return, now_ms);
            }
        }
    }
}

fn announce(roster: &mut sardinemux_core::roster::Roster, announcement: Announcement, now_ms: u64) {
    let target = &announcement.target;
    let known = query::key(roster, &target.id).and_then(|key| query::target(roster, key));
    if known != Some(target) {
        log::info!(
            target_id:% = target.id, pool:% = target.pool, zone:% = target.zone,
            address:% = target.address, lifetime = announcement.lifetime,
            cold_ms = announcement.cold_ms, is_leaving = target.leaving;
            "target announced"
        );
    }
    command::apply_announcement(roster, announcement, now_ms);
}

pub(crate) fn apply_members(gateway: &Gateway, entries: Vec<Entry>) {
    let mut members = gateway.members.lock();
    for entry in entries {
        match entry.fact {
            Some(Fact::Member(member)) if member.name != gateway.settings.name => {
                members.put(member);
            }
            Some(Fact::Unreadable(reason)) => {
                log::warn!(key:% = entry.key, reason:% = reason; "unreadable entry names no gateway");
            }
            Some(_) => {}
            None => members.remove(&entry.key),
        }
    }
}
