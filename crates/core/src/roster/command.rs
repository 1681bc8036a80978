//! What changes a roster.

use indexmap::{IndexMap, IndexSet};
use smol_str::SmolStr;

use super::{query, Announcement, Condition, Evidence, RemoteLoad, Report, Roster};
use crate::pace::Pace;
use crate::target::Key;

/// Takes in what a target says of itself. A new lifetime starts from nothing.
///
/// # Examples
///
/// ```
/// use sardinemux_core::roster::{command, query, Announcement, Roster, Settings};
/// use sardinemux_core::target::{Kind, Target};
///
/// let mut roster = Roster::new(Settings::default());
/// let target = Target {
///     id: "e1".into(),
///     kind: Kind::Engine,
///     pool: "model".into(),
///     address: "127.0.0.1:1".into(),
///     zone: "z1".into(),
///     region: "r1".into(),
///     slots: 8,
///     leaving: false,
/// };
/// let announcement = Announcement { target, lifetime: 1, cold_ms: 0 };
/// let key = command::apply_announcement(&mut roster, announcement, 0);
/// assert!(query::is_eligible(&roster, key, 0));
/// ```
pub fn apply_announcement(roster: &mut Roster, announcement: Announcement, now_ms: u64) -> Key {
    let Announcement {
        target,
        lifetime,
        cold_ms,
    } = announcement;
    if let Some(known_key) = roster.table.key(&target.id) {
        let known_lifetime = roster
            .conditions
            .get(&known_key)
            .map(|known| known.lifetime);
        if known_lifetime != Some(lifetime) {
            drop_target(roster, &target.id);
        }
    }
    let key = roster.table.put(target);
    let condition = roster.conditions.entry(key).or_default();
    condition.lifetime = lifetime;
    condition.missing_since_ms = None;
    if cold_ms > 0 {
        condition.cold_until_ms = condition.cold_until_ms.max(now_ms + cold_ms);
    }
    key
}

/// Forgets a target that the platform's list no longer names. While the list is being filled again after
/// an outage (`is_relisting`), the target stays in use for a while.
pub fn remove_target(roster: &mut Roster, id: &str, is_relisting: bool, now_ms: u64) {
    if !is_relisting {
        drop_target(roster, id);
        return;
    }
    let key = roster.table.key(id);
    if let Some(condition) = key.and_then(|key| roster.conditions.get_mut(&key)) {
        condition.missing_since_ms.get_or_insert(now_ms);
    }
}

fn drop_target(roster: &mut Roster, id: &str) {
    let Some(key) = roster.table.key(id) else {
        return;
    };
    roster.table.remove(id);
    roster.conditions.swap_remove(&key);
}

/// Takes in a complete list: every target that it does not name is removed.
pub fn retain_listed(
    roster: &mut Roster,
    listed: &IndexSet<SmolStr>,
    is_relisting: bool,
    now_ms: u64,
) {
    let unlisted: Vec<SmolStr> = roster
        .table
        .iter()
        .filter(|(_, target)| !listed.contains(&target.id))
        .map(|(_, target)| target.id.clone())
        .collect();
    for id in unlisted {
        remove_target(roster, &id, is_relisting, now_ms);
    }
}

/// Sets the availability zones that get no new work. A zone that comes back is taken to be cold for
/// `cold_ms`, since its targets may have expired their caches meanwhile.
pub fn set_evacuated(
    roster: &mut Roster,
    evacuated: IndexSet<SmolStr>,
    cold_ms: impl Fn(&str) -> u64,
    now_ms: u64,
) {
    let restored: IndexSet<SmolStr> = roster
        .evacuated
        .difference(&evacuated)
        .map(SmolStr::clone)
        .collect();
    for (key, target) in roster.table.iter() {
        if !restored.contains(&target.zone) {
            continue;
        }
        if let Some(condition) = roster.conditions.get_mut(&key) {
            condition.cold_until_ms = condition
                .cold_until_ms
                .max(now_ms + cold_ms(target.pool.as_str()));
        }
    }
    roster.evacuated = evacuated;
}

/// Notes that a target says it is cold for a while.
pub fn note_cold(roster: &mut Roster, key: Key, cold_ms: u64, now_ms: u64) {
    if let Some(condition) = roster.conditions.get_mut(&key) {
        condition.cold_until_ms = condition.cold_until_ms.max(now_ms + cold_ms);
    }
}

/// Starts a request on a target. Returns whether it may be sent: a cold target takes only what `cold_per_s`,
/// this router's share of its bound, lets pass.
pub fn start_request(roster: &mut Roster, key: Key, cold_per_s: f64, now_ms: u64) -> bool {
    let Some(condition) = roster.conditions.get_mut(&key) else {
        return false;
    };
    if now_ms < condition.cold_until_ms {
        if cold_per_s <= 0.0 {
            return false;
        }
        let limiter = condition
            .cold_limiter
            .get_or_insert_with(|| Pace::new(cold_per_s, 1.0, now_ms));
        if !limiter.take(now_ms) {
            return false;
        }
    } else {
        condition.cold_limiter = None;
    }
    condition.running += 1;
    true
}

/// Ends a request on a target and takes in what it tells.
pub fn finish_request(roster: &mut Roster, key: Key, evidence: Evidence, now_ms: u64) {
    let settings = roster.settings;
    let Some(condition) = roster.conditions.get_mut(&key) else {
        return;
    };
    condition.running = condition.running.saturating_sub(1);
    let is_error = matches!(evidence, Evidence::ServerError | Evidence::TransportError);
    if evidence != Evidence::Inconclusive {
        let rate = query::error_rate(condition, settings, now_ms);
        let sample = f64::from(u8::from(is_error));
        condition.error_rate = rate + settings.error_weight * (sample - rate);
        condition.error_rate_at_ms = now_ms;
    }
    match evidence {
        Evidence::Inconclusive => {}
        Evidence::Healthy | Evidence::ServerError => condition.transport_errors = 0,
        Evidence::AddressTaken => condition.is_address_taken = true,
        Evidence::TransportError => {
            let backoff_ms = settings.backoff_ms << condition.transport_errors.min(8);
            condition.transport_errors += 1;
            condition.backoff_until_ms = now_ms + backoff_ms.min(settings.backoff_max_ms);
        }
    }
}

/// Takes in the load that a target states in an answer: everything on it, of all routers.
pub fn note_load(roster: &mut Roster, key: Key, running: u32, now_ms: u64) {
    if let Some(condition) = roster.conditions.get_mut(&key) {
        let running = running.saturating_sub(condition.running);
        condition.remote_load = Some(RemoteLoad {
            running,
            at_ms: now_ms,
        });
    }
}

/// Takes in what another router has in flight.
pub fn note_report(
    roster: &mut Roster,
    router: SmolStr,
    running: IndexMap<SmolStr, u32>,
    now_ms: u64,
) {
    let at_ms = now_ms;
    roster.reports.insert(router, Report { running, at_ms });
}

/// Sets the multiple of its pool's mean load that a target may carry.
pub fn set_load_multiple(roster: &mut Roster, load_multiple: f64) {
    roster.settings.load_multiple = load_multiple;
}

/// Sets how long a report of another router counts, in milliseconds.
pub fn set_report_ttl_ms(roster: &mut Roster, ttl_ms: u64) {
    roster.settings.report_ttl_ms = ttl_ms;
}

/// Forgets what other routers said of their work, as it may be old.
pub fn clear_reports(roster: &mut Roster) {
    roster.reports.clear();
}

/// Drops what is too old to count: reports, and targets that were not listed again in time. Returns the
/// targets that were dropped.
pub fn remove_expired(roster: &mut Roster, now_ms: u64) -> Vec<SmolStr> {
    let settings = roster.settings;
    roster
        .reports
        .retain(|_, report| now_ms.saturating_sub(report.at_ms) < settings.report_ttl_ms);
    let is_expired = |condition: &Condition| {
        let since_ms = condition.missing_since_ms;
        since_ms.is_some_and(|since_ms| now_ms.saturating_sub(since_ms) >= settings.relist_ms)
    };
    let expired: Vec<SmolStr> = roster
        .table
        .iter()
        .filter(|(key, _)| roster.conditions.get(key).is_some_and(is_expired))
        .map(|(_, target)| target.id.clone())
        .collect();
    for id in &expired {
        drop_target(roster, id);
    }
    expired
}
