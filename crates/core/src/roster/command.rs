//! Commands that change a roster.

use indexmap::{IndexMap, IndexSet};
use smol_str::SmolStr;

use super::absence::{Absence, Cause};
use super::{
    query, Announcement, BrittleNotice, Brittleness, Condition, Evidence, LimitNotice, Pause,
    RemoteLoad, Removed, Report, Roster, Shares, Statement,
};
use crate::collection::{Number, Part};
use crate::leaving;
use crate::speed::{self, Estimate, Stated};
use crate::target::{Key, Target};
use crate::token_bucket::TokenBucket;

/// The longest time for which a target counts as cold without a further statement, in milliseconds.
const COLD_MS_MAX: u64 = 3_600_000;

/// Adds or updates a target from its announcement, and returns its key. A new lifetime discards all earlier state; a target that
/// was removed and returns with the same lifetime has the same key and condition as before.
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
///     build: "v1".into(),
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
            drop_target(roster, &target.id, now_ms);
        }
    }
    let key = put_target(roster, target, lifetime);
    let condition = roster.conditions.entry(key).or_default();
    condition.lifetime = lifetime;
    condition.absence = None;
    condition.restored_until_ms = 0;
    if cold_ms > 0 {
        condition.cold_until_ms = condition
            .cold_until_ms
            .max(now_ms + cold_ms.min(COLD_MS_MAX));
    }
    key
}

/// Adds a target to the table, under its former key if the same process was removed before.
fn put_target(roster: &mut Roster, target: Target, lifetime: u64) -> Key {
    let removed = roster.removed.get(&target.id).copied();
    let returning = removed.filter(|removed| removed.lifetime == lifetime);
    let key = returning.map(|removed| removed.key);
    let condition = key.and_then(|key| roster.conditions.get_mut(&key));
    let Some((key, condition)) = key.zip(condition) else {
        return roster.table.put(target);
    };
    condition.is_address_taken = false;
    roster.removed.shift_remove(&target.id);
    roster.table.restore(key, target);
    key
}

/// The largest number of removed targets that are kept.
const REMOVED_MAX: usize = 4_096;

/// How long the condition of a removed target is kept at least, in milliseconds. A pause keeps it until the pause is over.
const REMOVED_TTL_MS: u64 = 60_000;

/// Applies the announcement of a target from the first list of an older copy of the platform's store, which may lack what the
/// target has written since. Nothing that was known before is taken back:
///
/// - a target that was listed as leaving stays so until it is announced anew,
/// - an earlier process does not replace a later one, which stays in use like one that is not listed after an outage,
/// - a process that was removed stays unused for the time that
///   [`Settings::restored_ms`](super::Settings::restored_ms) states.
///
/// # Examples
///
/// ```
/// use sardinemux_core::roster::{command, query, Announcement, Roster};
/// use sardinemux_core::target::{Kind, Target};
///
/// let mut roster = Roster::default();
/// let target = Target {
///     id: "e1".into(),
///     kind: Kind::Engine,
///     pool: "model".into(),
///     address: "127.0.0.1:1".into(),
///     zone: "z1".into(),
///     region: "r1".into(),
///     slots: 8,
///     leaving: true,
///     build: "v1".into(),
/// };
/// let leaving = Announcement { target, lifetime: 1, cold_ms: 0 };
/// let key = command::apply_announcement(&mut roster, leaving.clone(), 0);
/// let mut restored = leaving;
/// restored.target.leaving = false;
/// command::apply_restored(&mut roster, restored, 0);
/// assert!(!query::is_eligible(&roster, key, 0));
/// ```
pub fn apply_restored(roster: &mut Roster, announcement: Announcement, now_ms: u64) {
    let mut announcement = announcement;
    let id = announcement.target.id.clone();
    let Some(key) = query::key(roster, &id) else {
        let removed = roster.removed.get(&id).copied();
        let was_removed = removed.is_some_and(|it| announcement.lifetime <= it.lifetime);
        let key = apply_announcement(roster, announcement, now_ms);
        let restored_ms = roster.settings.restored_ms;
        if let Some(condition) = roster.conditions.get_mut(&key).filter(|_| was_removed) {
            condition.restored_until_ms = now_ms + restored_ms;
        }
        return;
    };
    let lifetime = query::lifetime(roster, key).unwrap_or_default();
    if announcement.lifetime < lifetime {
        let absence = Absence::after_restore(&roster.settings, now_ms);
        remove_target(roster, &id, Some(absence), now_ms);
        return;
    }
    let was_leaving = query::target(roster, key).is_some_and(|target| target.leaving);
    announcement.target.leaving |= was_leaving && announcement.lifetime == lifetime;
    apply_announcement(roster, announcement, now_ms);
}

/// Removes a target that the platform's list no longer contains. With an `absence`, it stays in use for the time stated there.
pub fn remove_target(roster: &mut Roster, id: &str, absence: Option<Absence>, now_ms: u64) {
    let Some(absence) = absence else {
        drop_target(roster, id, now_ms);
        return;
    };
    let key = roster.table.key(id);
    if let Some(condition) = key.and_then(|key| roster.conditions.get_mut(&key)) {
        condition.absence.get_or_insert(absence);
    }
}

/// Removes the targets that stay in use after an outage of the platform's store, as that was available. Returns their ids.
pub fn remove_lapsed(roster: &mut Roster, now_ms: u64) -> Vec<SmolStr> {
    drop_absent(roster, |absence| absence.cause == Cause::Outage, now_ms)
}

/// Removes the unlisted targets that still are in use and are `selected`. Returns their ids.
fn drop_absent(
    roster: &mut Roster,
    selected: impl Fn(Absence) -> bool,
    now_ms: u64,
) -> Vec<SmolStr> {
    let is_selected = |condition: &Condition| condition.absence.is_some_and(&selected);
    let found = roster
        .table
        .iter()
        .filter(|(key, _)| roster.conditions.get(key).is_some_and(is_selected))
        .map(|(_, target)| target.id.clone());
    let found: Vec<SmolStr> = found.collect();
    for id in &found {
        drop_target(roster, id, now_ms);
    }
    found
}

fn drop_target(roster: &mut Roster, id: &str, now_ms: u64) {
    let Some(key) = roster.table.key(id) else {
        return;
    };
    roster.table.remove(id);
    let Some(lifetime) = query::lifetime(roster, key) else {
        return;
    };
    if roster.removed.len() >= REMOVED_MAX {
        forget_removed(roster, 0);
    }
    if let Some(index) = roster.removed.get_index_of(id) {
        forget_removed(roster, index);
    }
    let removed = Removed {
        key,
        lifetime,
        at_ms: now_ms,
    };
    roster.removed.insert(id.into(), removed);
}

/// Discards a removed target and its condition.
fn forget_removed(roster: &mut Roster, index: usize) {
    if let Some((_, removed)) = roster.removed.shift_remove_index(index) {
        roster.conditions.swap_remove(&removed.key);
    }
}

/// Sets the availability zones that get no new requests.
///
/// The targets of a zone that is no longer evacuated count as cold for the `cold_ms` of their pool, since they may have
/// lost their caches meanwhile.
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
                .max(now_ms + cold_ms(target.pool.as_str()).min(COLD_MS_MAX));
        }
    }
    roster.evacuated = evacuated;
}

/// Records that a target stated that it is cold for `cold_ms`.
pub fn note_cold(roster: &mut Roster, key: Key, cold_ms: u64, now_ms: u64) {
    if let Some(condition) = roster.conditions.get_mut(&key) {
        condition.cold_until_ms = condition
            .cold_until_ms
            .max(now_ms + cold_ms.min(COLD_MS_MAX));
    }
}

/// Counts a request as started on a target, and returns whether it may be sent.
///
/// A target that is cold or states a limit gets at most this router's share of the limit, and of the smaller one if
/// both hold. An unknown target gets none.
pub fn start_request(roster: &mut Roster, key: Key, shares: Shares, now_ms: u64) -> bool {
    let Some(condition) = roster.conditions.get_mut(&key) else {
        return false;
    };
    if condition
        .pause
        .is_some_and(|pause| now_ms < pause.until_ms.max(pause.next_ms))
    {
        return false;
    }
    if let Some(in_flight_max) = shares.in_flight_max {
        if condition.running >= in_flight_max || now_ms < condition.rejected_until_ms {
            return false;
        }
    }
    let is_cold = now_ms < condition.cold_until_ms;
    let cold_per_s = is_cold.then_some(shares.cold_per_s);
    let rates = cold_per_s.into_iter().chain(shares.stated_per_s);
    let Some(per_s) = rates.reduce(f64::min) else {
        condition.limiter = None;
        begin_request(condition, now_ms);
        return true;
    };
    if per_s <= 0.0 {
        condition.limiter = None;
        return false;
    }
    // A stated limit lasts, so that a router which gets a share of it begins without a token: whoever had the share before
    // may just have used one.
    let limiter = condition.limiter.get_or_insert_with(|| match is_cold {
        true => TokenBucket::new(per_s, 1.0, now_ms),
        false => TokenBucket::empty(per_s, 1.0, now_ms),
    });
    limiter.set_rate(per_s, now_ms);
    let is_admitted = limiter.try_take(now_ms);
    if is_admitted {
        begin_request(condition, now_ms);
    }
    is_admitted
}

/// The time between two requests to a target after a pause, until it has accepted one, in milliseconds.
const PAUSE_TRIAL_MS: u64 = 200;

fn begin_request(condition: &mut Condition, now_ms: u64) {
    condition.running += 1;
    if let Some(pause) = &mut condition.pause {
        pause.next_ms = now_ms + PAUSE_TRIAL_MS;
    }
}

/// Records that a target wants no requests of this router for a time. It lasts at least as long as what the target stated before,
/// as answers to requests that were in flight together come in any order.
///
/// # Examples
///
/// ```
/// use sardinemux_core::roster::{command, query, Roster};
/// use sardinemux_core::target::Key;
///
/// let mut roster = Roster::default();
/// command::note_pause(&mut roster, Key(0), 2_000, 0);
/// assert!(!query::is_paused(&roster, Key(0), 0));
/// ```
pub fn note_pause(roster: &mut Roster, key: Key, pause_ms: u64, now_ms: u64) {
    if let Some(condition) = roster.conditions.get_mut(&key) {
        let known_ms = condition.pause.map_or(0, |pause| pause.until_ms);
        condition.pause = Some(Pause {
            until_ms: known_ms.max(now_ms + pause_ms),
            next_ms: 0,
        });
    }
}

/// Records that a target accepted a request of this router, which ends the return after a pause that is over.
pub fn note_accepted(roster: &mut Roster, key: Key, now_ms: u64) {
    if let Some(condition) = roster.conditions.get_mut(&key) {
        condition.pause = condition.pause.filter(|pause| now_ms < pause.until_ms);
    }
}

/// Records what a target stated of its limit in the answer to a request that was sent at `sent_ms`; `per_s` is `None` if
/// it stated none. Returns whether a limit began or ended.
///
/// Answers may overtake each other, so only the answer to a request that was sent after the last statement ends it.
pub fn note_limit(
    roster: &mut Roster,
    key: Key,
    per_s: Option<f64>,
    sent_ms: u64,
    now_ms: u64,
) -> bool {
    let Some(condition) = roster.conditions.get_mut(&key) else {
        return false;
    };
    let known = condition.statement;
    let was_limited = known.is_some_and(|known| known.per_s.is_some());
    let is_change = per_s.is_some() != was_limited;
    let is_late = known.is_some_and(|known| sent_ms as i64 <= known.at_ms);
    if per_s.is_none() && (!was_limited || is_late) {
        return false;
    }
    condition.statement = Some(Statement {
        per_s,
        at_ms: now_ms as i64,
        is_own: true,
    });
    is_change
}

/// Records that a target stated in an answer that it leaves. Returns whether that was news; an answer of a process that has
/// been replaced is none.
///
/// # Examples
///
/// ```
/// use sardinemux_core::roster::{command, Roster};
/// use sardinemux_core::target::Key;
///
/// let mut roster = Roster::default();
/// assert!(!command::note_leaving(&mut roster, Key(7), 0));
/// ```
pub fn note_leaving(roster: &mut Roster, key: Key, now_ms: u64) -> bool {
    let id = query::id(roster, key).cloned();
    let Some((id, lifetime)) = id.zip(query::lifetime(roster, key)) else {
        return false;
    };
    roster.leaving.note(&id, lifetime, now_ms)
}

/// Takes over the statements of targets that they leave, which another router knows. Returns the ids of the targets of which
/// that was news.
pub fn merge_leaving(
    roster: &mut Roster,
    notices: &[leaving::Notice],
    now_ms: u64,
) -> Vec<SmolStr> {
    roster.leaving.merge(notices, now_ms)
}

/// How long a brittle target that has rejected a request gets none from this router, in milliseconds.
const REJECTION_PAUSE_MS: u64 = 1_000;

/// Records that a target rejected a request for want of room.
pub fn note_rejection(roster: &mut Roster, key: Key, now_ms: u64) {
    if let Some(condition) = roster.conditions.get_mut(&key) {
        condition.rejected_until_ms = now_ms + REJECTION_PAUSE_MS;
    }
}

/// Records what a target stated of its brittleness in the answer to a request that was sent at `sent_ms`, for its whole pool;
/// `rejections_per_s` is `None` if it stated none. Returns whether the pool became brittle or ceased to be.
pub fn note_brittle(
    roster: &mut Roster,
    key: Key,
    rejections_per_s: Option<f64>,
    sent_ms: u64,
    now_ms: u64,
) -> bool {
    let Some(pool) = roster.table.get(key).map(|target| target.pool.clone()) else {
        return false;
    };
    let known = roster.brittle.get(&pool).copied();
    let was_brittle = known.is_some_and(|known| known.rejections_per_s.is_some());
    let is_late = known.is_some_and(|known| sent_ms as i64 <= known.at_ms);
    if rejections_per_s.is_none() && (!was_brittle || is_late) {
        return false;
    }
    let brittleness = Brittleness {
        rejections_per_s,
        at_ms: now_ms as i64,
        is_own: true,
    };
    roster.brittle.insert(pool, brittleness);
    rejections_per_s.is_some() != was_brittle
}

/// Takes over the statements of brittleness that another router got, where they are newer than the known ones.
pub fn merge_brittle(roster: &mut Roster, notices: &[BrittleNotice], now_ms: u64) {
    for notice in notices {
        let at_ms = now_ms as i64 - i64::from(notice.age_ms);
        let known = roster.brittle.get(&notice.pool);
        if known.is_none_or(|known| at_ms > known.at_ms) {
            let brittleness = Brittleness {
                rejections_per_s: notice.rejections_per_s,
                at_ms,
                is_own: false,
            };
            roster.brittle.insert(notice.pool.clone(), brittleness);
        }
    }
}

/// Takes over the statements of targets that another router got, where they are newer than the known ones.
pub fn merge_limits(roster: &mut Roster, notices: &[LimitNotice], now_ms: u64) {
    for notice in notices {
        let key = roster.table.key(&notice.target);
        let Some(condition) = key.and_then(|key| roster.conditions.get_mut(&key)) else {
            continue;
        };
        let at_ms = now_ms as i64 - i64::from(notice.age_ms);
        let is_newer = condition.statement.is_none_or(|known| at_ms > known.at_ms);
        let is_valid = notice
            .per_s
            .is_none_or(|per_s| per_s.is_finite() && per_s >= 0.0);
        if is_newer && is_valid {
            condition.statement = Some(Statement {
                per_s: notice.per_s,
                at_ms,
                is_own: false,
            });
        }
    }
}

/// Counts a request on a target as ended, and updates the target's error rate and backoff from its result.
pub fn finish_request(roster: &mut Roster, key: Key, evidence: Evidence, now_ms: u64) {
    if let Some(condition) = roster.conditions.get_mut(&key) {
        condition.running = condition.running.saturating_sub(1);
    }
    note_evidence(roster, key, evidence, now_ms);
}

/// Updates a target's error rate and backoff from the result of a request.
pub fn note_evidence(roster: &mut Roster, key: Key, evidence: Evidence, now_ms: u64) {
    let settings = roster.settings;
    let Some(condition) = roster.conditions.get_mut(&key) else {
        return;
    };
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

/// Records that a target is silent in the middle of an answer. It is used last for a moment, but need not be faulty.
pub fn note_silence(roster: &mut Roster, key: Key, now_ms: u64) {
    let backoff_ms = roster.settings.backoff_ms;
    if let Some(condition) = roster.conditions.get_mut(&key) {
        condition.backoff_until_ms = condition.backoff_until_ms.max(now_ms + backoff_ms);
    }
}

/// Records the load that a target stated in an answer: the number of its requests from all routers.
pub fn note_load(roster: &mut Roster, key: Key, running: u32, now_ms: u64) {
    if let Some(condition) = roster.conditions.get_mut(&key) {
        let running = running.saturating_sub(condition.running);
        condition.remote_load = Some(RemoteLoad {
            running,
            at_ms: now_ms,
        });
    }
}

/// Records what a target stated of its speed in an answer. What is missing or unusable counts as usual. Returns whether the target
/// ought to have stated it and this was not returned before, so that it is logged once for each process.
///
/// # Examples
///
/// ```
/// use sardinemux_core::roster::{command, query, Roster};
/// use sardinemux_core::speed::Stated;
/// use sardinemux_core::target::Key;
///
/// let mut roster = Roster::default();
/// assert!(!command::note_speed(&mut roster, Key(0), Stated::Factor(2.5), 0));
/// assert_eq!(query::speed(&roster, Key(0), 0), 1.0);
/// ```
pub fn note_speed(roster: &mut Roster, key: Key, stated: Stated, now_ms: u64) -> bool {
    let Some(condition) = roster.conditions.get_mut(&key) else {
        return false;
    };
    let factor = match stated {
        Stated::Factor(factor) => factor,
        Stated::Absent if !condition.states_speed => return false,
        Stated::Absent | Stated::Invalid => 1.0,
    };
    let is_sound = matches!(stated, Stated::Factor(_));
    if is_sound {
        condition.states_speed = true;
        roster.speed_stated_ms = Some(now_ms);
    }
    put_speed(
        condition,
        Estimate::new(factor, speed::Source::Own, 0, now_ms),
    );
    !is_sound && !std::mem::replace(&mut condition.is_speed_reported, true)
}

/// Records the speed that was learnt from the answers of a target which states none.
pub fn note_learnt_speed(roster: &mut Roster, key: Key, factor: f64, now_ms: u64) {
    let condition = roster.conditions.get_mut(&key);
    if let Some(condition) = condition.filter(|it| !it.states_speed) {
        put_speed(
            condition,
            Estimate::new(factor, speed::Source::Learnt, 0, now_ms),
        );
    }
}

fn put_speed(condition: &mut Condition, estimate: Estimate) -> bool {
    match &mut condition.speed {
        Some(known) => known.update(estimate),
        None => {
            condition.speed = Some(estimate);
            true
        }
    }
}

/// Takes over samples of speeds that another router sent, where they are later than the known ones. Returns the number of them.
pub fn merge_speeds(
    roster: &mut Roster,
    notices: &[speed::Notice],
    source: speed::Source,
    now_ms: u64,
) -> usize {
    if notices.is_empty() {
        return 0;
    }
    roster.speed_stated_ms = Some(now_ms);
    let mut news = 0;
    let notices: IndexMap<Number, &speed::Notice> =
        notices.iter().map(|it| (it.target, it)).collect();
    for (key, target) in roster.table.iter() {
        let notice = notices
            .get(&Number::of(&target.id))
            .filter(|it| it.percent > 0);
        let Some((notice, condition)) = notice.zip(roster.conditions.get_mut(&key)) else {
            continue;
        };
        let factor = f64::from(notice.percent) / 100.0;
        let estimate = Estimate::new(factor, source, u64::from(notice.age_ms), now_ms);
        news += usize::from(put_speed(condition, estimate));
    }
    news
}

/// Records the requests that another router reports to have in flight.
pub fn note_report(roster: &mut Roster, router: SmolStr, report: Report, now_ms: u64) {
    roster.reported.put(router, report, now_ms);
}

/// Records a part of the sum of the requests of a zone, which its collector `sender` sent.
pub fn note_zone_part(
    roster: &mut Roster,
    sender: SmolStr,
    zone: SmolStr,
    part: Part,
    now_ms: u64,
) {
    roster.reported.add_zone_part(sender, zone, part, now_ms);
}

/// Records a part of the sum of the requests of all routers, which a collector of the own zone sent.
pub fn note_fleet_part(roster: &mut Roster, sender: SmolStr, part: Part, now_ms: u64) {
    roster.reported.add_fleet_part(sender, part, now_ms);
}

/// Records what this router reported of its own requests, which the sums of collectors contain.
pub fn note_own_report(roster: &mut Roster, running: &IndexMap<SmolStr, u32>) {
    roster.reported.set_own(running);
}

/// Sets the multiple of the mean load up to which a target is preferred for the prompts that it caches.
pub fn set_load_multiple(roster: &mut Roster, load_multiple: f64) {
    roster.settings.load_multiple = load_multiple;
}

/// Sets how long a report of another router is valid, in milliseconds.
pub fn set_report_ttl_ms(roster: &mut Roster, ttl_ms: u64) {
    roster.settings.report_ttl_ms = ttl_ms;
}

/// Removes the reports of all other routers, which may be out of date.
pub fn clear_reports(roster: &mut Roster) {
    roster.reported.clear();
}

/// Removes expired reports, and the targets that were not listed again in time. Returns the ids of these targets.
pub fn remove_expired(roster: &mut Roster, now_ms: u64) -> Vec<SmolStr> {
    let settings = roster.settings;
    let oldest_ms = (now_ms + 1).saturating_sub(settings.report_ttl_ms);
    roster.reported.remove_older_than(oldest_ms);
    let expired = drop_absent(roster, |absence| now_ms >= absence.until_ms, now_ms);
    remove_expired_conditions(roster, now_ms);
    let Roster {
        table,
        conditions,
        leaving,
        ..
    } = roster;
    let is_listed = |id: &str, lifetime: u64| {
        let condition = table.key(id).and_then(|key| conditions.get(&key));
        condition.is_some_and(|condition| condition.lifetime == lifetime)
    };
    leaving.remove_expired(is_listed, now_ms);
    expired
}

/// Removes the conditions of targets that were removed long ago. Their lifetimes are kept.
fn remove_expired_conditions(roster: &mut Roster, now_ms: u64) {
    let Roster {
        removed,
        conditions,
        ..
    } = roster;
    for target in removed.values() {
        let pause = conditions.get(&target.key).and_then(|known| known.pause);
        let pause_end_ms = pause.map_or(0, |pause| pause.until_ms);
        if now_ms >= pause_end_ms.max(target.at_ms + REMOVED_TTL_MS) {
            conditions.swap_remove(&target.key);
        }
    }
}

/// Records that a target has stated how long work takes on it at present.
pub fn note_speed_stated(roster: &mut Roster, now_ms: u64) {
    roster.speed_stated_ms = Some(now_ms);
}
