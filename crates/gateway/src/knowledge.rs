//! Following the source: the catalogue, evacuated zones, targets and gateways, through outages.
//!
//! Each topic is listed once and then watched. After an outage the list is read again; targets that it no longer
//! names stay in use for a moment, since entries lapse while the store is away.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use rand::Rng;
use sardinemux_core::catalog::Catalog;
use sardinemux_core::roster::{command, query, Announcement};
use tokio::time;

use crate::prelude::*;
use crate::source::{self, Batch, Entry, Fact, Source, Topic};

/// The first pause after a failed call, in milliseconds; doubled with each further one.
const PAUSE_MS: u64 = 100;

/// The longest pause between calls, in milliseconds: a part of the second or two within which changes must be known.
const PAUSE_MAX_MS: u64 = 800;

/// What was heard of one topic.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The version up to which changes were taken in; none before the first list.
    pub version: Option<u64>,
    /// The version of the newest change.
    pub changed: u64,
    /// When the source last answered.
    pub heard_ms: u64,
    /// Since when the source has given no answer.
    pub lost_since_ms: Option<u64>,
    /// Since when the source has answered without a break.
    pub followed_since_ms: Option<u64>,
    /// Whether another gateway followed the source all through the present outage: the store was there, and this
    /// gateway's path to it was not.
    pub is_own_outage: bool,
    /// Whether the next list is the first after an outage of the store itself.
    pub is_relisting: bool,
    /// The evacuated zones, by key of their entry.
    pub evacuated: IndexMap<SmolStr, SmolStr>,
}

/// Follows one topic for ever.
pub async fn follow(gateway: Arc<Gateway>, source: Arc<Source>, topic: Topic) {
    let mut failures: u32 = 0;
    loop {
        let since = gateway
            .views
            .lock()
            .get(&topic)
            .and_then(|view| view.version);
        let result = match since {
            Some(since) => (source.watch)(topic, since).await,
            None => (source.list)(topic).await,
        };
        count(&gateway, topic, &result);
        match result {
            Ok(batch) => {
                failures = 0;
                note_contact(&gateway, topic);
                apply(&gateway, topic, batch, since.is_none());
            }
            Err(source::Error::Forgotten { since }) => {
                log::info!(topic = topic.name(), since = since; "history is gone, listing anew");
                forget_version(&gateway, topic);
            }
            Err(error) => {
                note_loss(&gateway, topic, &error);
                let pause_ms = pause_ms(failures);
                failures += 1;
                time::sleep(Duration::from_millis(pause_ms)).await;
            }
        }
    }
}

fn pause_ms(failures: u32) -> u64 {
    let most = (PAUSE_MS << failures.min(6)).min(PAUSE_MAX_MS);
    rand::rng().random_range(most / 2..=most)
}

fn count(gateway: &Gateway, topic: Topic, result: &source::Result<Batch>) {
    let outcome = match result {
        Ok(_) => "answered",
        Err(source::Error::Forgotten { .. }) => "forgotten",
        Err(source::Error::Refused { .. }) => "refused",
        Err(source::Error::Unanswered { .. }) => "unanswered",
    };
    let calls = &gateway.metrics.store_calls;
    calls.with_label_values(&[topic.name(), outcome]).inc();
}

/// Notes an answer of the source.
pub fn note_contact(gateway: &Gateway, topic: Topic) {
    let now_ms = gateway.now_ms();
    let mut views = gateway.views.lock();
    let view = views.entry(topic).or_default();
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
}

/// Returns for how long this gateway has followed a topic without a break, in milliseconds.
pub fn followed_ms(view: &View, now_ms: u64) -> u64 {
    let since_ms = view.followed_since_ms;
    since_ms.map_or(0, |since_ms| now_ms.saturating_sub(since_ms))
}

/// Notes for how long another gateway has followed a topic without a break.
pub fn note_follower(view: &mut View, followed_ms: u64, now_ms: u64) {
    if let Some(since_ms) = view.lost_since_ms {
        view.is_own_outage |= followed_ms > now_ms.saturating_sub(since_ms);
    }
}

/// Notes that the source gave no answer.
pub fn note_loss(gateway: &Gateway, topic: Topic, error: &source::Error) {
    let now_ms = gateway.now_ms();
    let mut views = gateway.views.lock();
    let view = views.entry(topic).or_default();
    // The whole list is read on return: what lapsed meanwhile may have left the history.
    view.version = None;
    view.followed_since_ms = None;
    if view.lost_since_ms.is_none() {
        view.lost_since_ms = Some(now_ms);
        log::warn!(topic = topic.name(), error:% = error; "store lost");
    }
}

fn forget_version(gateway: &Gateway, topic: Topic) {
    let mut views = gateway.views.lock();
    views.entry(topic).or_default().version = None;
}

/// Takes in entries; a complete list also removes what it does not name.
pub fn apply(gateway: &Gateway, topic: Topic, batch: Batch, is_complete: bool) {
    let Batch { entries, version } = batch;
    let newest = entries.iter().map(|entry| entry.version).max();
    {
        let mut views = gateway.views.lock();
        let view = views.entry(topic).or_default();
        view.version = Some(view.version.unwrap_or_default().max(version));
        view.changed = view.changed.max(newest.unwrap_or_default());
    }
    match topic {
        Topic::Operators => apply_operators(gateway, entries, is_complete),
        Topic::Targets => apply_targets(gateway, entries, is_complete),
        Topic::Members => apply_members(gateway, entries),
    }
}

fn apply_operators(gateway: &Gateway, entries: Vec<Entry>, is_complete: bool) {
    let mut evacuated = {
        let mut views = gateway.views.lock();
        let view = views.entry(Topic::Operators).or_default();
        if is_complete {
            view.evacuated.clear();
        }
        view.evacuated.clone()
    };
    for entry in entries {
        match entry.fact {
            Some(Fact::Catalog(definition)) => set_catalog(gateway, Catalog::new(definition)),
            Some(Fact::Evacuated(zone)) => {
                evacuated.insert(entry.key, zone);
            }
            Some(Fact::Unreadable(reason)) => {
                log::warn!(key:% = entry.key, version = entry.version, reason:% = reason; "unreadable entry, the former one stays in force");
            }
            Some(Fact::Target(_) | Fact::Member(_)) => {}
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
    *held = Arc::new(catalog);
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

fn apply_targets(gateway: &Gateway, entries: Vec<Entry>, is_complete: bool) {
    let now_ms = gateway.now_ms();
    if is_complete {
        let is_relisting = {
            let mut views = gateway.views.lock();
            let view = views.entry(Topic::Targets).or_default();
            std::mem::take(&mut view.is_relisting)
        };
        let listed = entries
            .iter()
            .filter(|entry| matches!(entry.fact, Some(Fact::Target(_))))
            .map(|entry| entry.key.clone())
            .collect();
        let mut roster = gateway.roster.lock();
        command::keep_listed(&mut roster, &listed, is_relisting, now_ms);
    }
    for entry in entries {
        let mut roster = gateway.roster.lock();
        match entry.fact {
            Some(Fact::Target(announcement)) => announce(&mut roster, announcement, now_ms),
            Some(Fact::Unreadable(reason)) => {
                log::warn!(key:% = entry.key, version = entry.version, reason:% = reason; "unreadable entry names no target");
                command::remove(&mut roster, &entry.key, false, now_ms);
            }
            Some(_) => {}
            None => {
                log::info!(target_id:% = entry.key, version = entry.version; "target is no longer listed");
                command::remove(&mut roster, &entry.key, false, now_ms);
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
    command::announce(roster, announcement, now_ms);
}

fn apply_members(gateway: &Gateway, entries: Vec<Entry>) {
    let now_ms = gateway.now_ms();
    let mut members = gateway.members.lock();
    for entry in entries {
        match entry.fact {
            Some(Fact::Member(member)) if member.name != gateway.settings.name => {
                members.put(member, now_ms);
            }
            Some(Fact::Unreadable(reason)) => {
                log::warn!(key:% = entry.key, reason:% = reason; "unreadable entry names no gateway");
            }
            Some(_) => {}
            None => members.remove(&entry.key),
        }
    }
}
