//! What changes a roster.

use indexmap::{IndexMap, IndexSet};
use smol_str::SmolStr;

use super::{query, Announcement, Condition, Evidence, Foreign, Report, Roster};
use crate::target::Key;
use crate::token_bucket::TokenBucket;

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
/// let key = command::announce(&mut roster, announcement, 0);
/// assert!(query::is_eligible(&roster, key, 0));
/// ```
pub fn announce(roster: &mut Roster, announcement: Announcement, now_ms: u64) -> Key {
    let Announcement {
        target,
        lifetime,
        cold_ms,
    } = announcement;
    if let Some(old) = roster.table.key(&target.id) {
        let known = roster.conditions.get(&old).map(|known| known.lifetime);
        if known != Some(lifetime) {
            forget(roster, &target.id);
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
pub fn remove(roster: &mut Roster, id: &str, is_relisting: bool, now_ms: u64) {
    if !is_relisting {
        forget(roster, id);
        return;
    }
    let key = roster.table.key(id);
    if let Some(condition) = key.and_then(|key| roster.conditions.get_mut(&key)) {
        condition.missing_since_ms.get_or_insert(now_ms);
    }
}

fn forget(roster: &mut Roster, id: &str) {
    let Some(key) = roster.table.key(id) else {
        return;
    };
    roster.table.remove(id);
    roster.conditions.swap_remove(&key);
}

/// Takes in a complete list: every target that it does not name is removed.
pub fn keep_listed(
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
        remove(roster, &id, is_relisting, now_ms);
    }
}

/// Sets the availability zones that get no new work. A zone that comes back is taken to be cold for
/// `cold_ms`, since its targets may have lost their caches meanwhile.
pub fn set_evacuated(
    roster: &mut Roster,
    evacuated: IndexSet<SmolStr>,
    cold_ms: impl Fn(&str) -> u64,
    now_ms: u64,
) {
    let returned: IndexSet<SmolStr> = roster
        .evacuated
        .difference(&evacuated)
        .map(SmolStr::clone)
        .collect();
    for (key, target) in roster.table.iter() {
        if !returned.contains(&target.zone) {
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
pub fn start(roster: &mut Roster, key: Key, cold_per_s: f64, now_ms: u64) -> bool {
    let Some(condition) = roster.conditions.get_mut(&key) else {
        return false;
    };
    if now_ms < condition.cold_until_ms {
        if cold_per_s <= 0.0 {
            return false;
        }
        let pace = condition
            .cold_pace
            .get_or_insert_with(|| TokenBucket::new(cold_per_s, 1.0, now_ms));
        if !pace.try_take(now_ms) {
            return false;
        }
    } else {
        condition.cold_pace = None;
    }
    condition.running += 1;
    true
}

/// Ends a request on a target and takes in what it tells.
pub fn finish(roster: &mut Roster, key: Key, evidence: Evidence, now_ms: u64) {
    let settings = roster.settings;
    let Some(condition) = roster.conditions.get_mut(&key) else {
        return;
    };
    condition.running = condition.running.saturating_sub(1);
    let is_error = matches!(evidence, Evidence::Failed | Evidence::Faulty);
    if evidence != Evidence::Nothing {
        let rate = query::decayed(condition, settings, now_ms);
        let sample = f64::from(u8::from(is_error));
        condition.error_rate = rate + settings.error_weight * (sample - rate);
        condition.error_at_ms = now_ms;
    }
    match evidence {
        Evidence::Nothing => {}
        Evidence::Healthy | Evidence::Failed => condition.faults = 0,
        Evidence::Displaced => condition.is_displaced = true,
        Evidence::Faulty => {
            let rest_ms = settings.rest_ms << condition.faults.min(8);
            condition.faults += 1;
            condition.rests_until_ms = now_ms + rest_ms.min(settings.rest_max_ms);
        }
    }
}

/// Takes in the load that a target states in an answer: everything on it, of all routers.
pub fn note_load(roster: &mut Roster, key: Key, running: u32, now_ms: u64) {
    if let Some(condition) = roster.conditions.get_mut(&key) {
        let running = running.saturating_sub(condition.running);
        condition.foreign = Some(Foreign {
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
pub fn set_report_ms(roster: &mut Roster, report_ms: u64) {
    roster.settings.report_ms = report_ms;
}

/// Forgets what other routers said of their work, as it may be old.
pub fn forget_reports(roster: &mut Roster) {
    roster.reports.clear();
}

/// Drops what is too old to count: reports, and targets that were not listed again in time. Returns the
/// targets that were dropped.
pub fn age(roster: &mut Roster, now_ms: u64) -> Vec<SmolStr> {
    let settings = roster.settings;
    roster
        .reports
        .retain(|_, report| now_ms.saturating_sub(report.at_ms) < settings.report_ms);
    let is_lost = |condition: &Condition| {
        let since_ms = condition.missing_since_ms;
        since_ms.is_some_and(|since_ms| now_ms.saturating_sub(since_ms) >= settings.relist_ms)
    };
    let lost: Vec<SmolStr> = roster
        .table
        .iter()
        .filter(|(key, _)| roster.conditions.get(key).is_some_and(is_lost))
        .map(|(_, target)| target.id.clone())
        .collect();
    for id in &lost {
        forget(roster, id);
    }
    lost
}
