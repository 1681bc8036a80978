//! What can be asked of a roster.

use indexmap::IndexMap;
use smol_str::SmolStr;

use super::{Announcement, Condition, Roster, Settings};
use crate::hash;
use crate::target::{Key, Target};

/// What a request looks for.
#[derive(Clone, Copy, Debug)]
pub struct Wish<'a> {
    /// The pool.
    pub pool: &'a str,
    /// The shared prompt part by which it is placed, if it has one.
    pub subject: Option<u64>,
    /// The availability zone to prefer where nothing else decides.
    pub zone: &'a str,
    /// Targets that were tried already.
    pub tried: &'a [Key],
}

/// Added to the load of a target in another availability zone, for requests that have no cache to look for:
/// a hop costs less than half a request's wait.
const OTHER_ZONE_LOAD: f64 = 0.5;

/// Returns whether no target is known.
pub fn is_empty(roster: &Roster) -> bool {
    roster.table.is_empty()
}

/// Returns a target.
pub fn target(roster: &Roster, key: Key) -> Option<&Target> {
    roster.table.get(key)
}

/// Returns the key of a target.
pub fn key(roster: &Roster, id: &str) -> Option<Key> {
    roster.table.key(id)
}

/// Returns whether a target may get new work: it is not leaving, its zone is not evacuated and its address
/// is its own.
pub fn is_eligible(roster: &Roster, key: Key, now_ms: u64) -> bool {
    let Some(target) = roster.table.get(key) else {
        return false;
    };
    let Some(condition) = roster.conditions.get(&key) else {
        return false;
    };
    let is_lost = condition
        .missing_since_ms
        .is_some_and(|since_ms| now_ms.saturating_sub(since_ms) >= roster.settings.relist_ms);
    !target.leaving
        && !condition.is_displaced
        && !is_lost
        && !roster.evacuated.contains(&target.zone)
}

/// Returns whether a target rests after failures.
pub fn rests(roster: &Roster, key: Key, now_ms: u64) -> bool {
    let condition = roster.conditions.get(&key);
    condition.is_some_and(|condition| now_ms < condition.rests_until_ms)
}

/// Returns a target's error rate, which halves with time: what is not tried is not known to fail.
pub(crate) fn decayed(condition: &Condition, settings: Settings, now_ms: u64) -> f64 {
    let age_ms = now_ms.saturating_sub(condition.error_at_ms) as f64;
    condition.error_rate * (-age_ms / settings.error_half_ms).exp2()
}

/// Returns whether a target fails clearly more often than the others of its pool, whatever its status check says.
///
/// The others' rate counts twice, as errors that belong to the requests show everywhere.
pub fn is_grey(roster: &Roster, key: Key, now_ms: u64) -> bool {
    let settings = roster.settings;
    let rate = |key: Key| {
        let condition = roster.conditions.get(&key);
        condition.map_or(0.0, |condition| decayed(condition, settings, now_ms))
    };
    let own = rate(key);
    if own <= settings.error_excess {
        return false;
    }
    let Some(pool) = roster.table.get(key).map(|target| &target.pool) else {
        return false;
    };
    let others = roster
        .table
        .iter_pool(pool)
        .filter(|(other, _)| *other != key);
    let rates: Vec<f64> = others.map(|(other, _)| rate(other)).collect();
    let mean = rates.iter().sum::<f64>() / rates.len().max(1) as f64;
    own > 2.0 * mean + settings.error_excess
}

/// Returns whether a target is cold.
pub fn is_cold(roster: &Roster, key: Key, now_ms: u64) -> bool {
    let condition = roster.conditions.get(&key);
    condition.is_some_and(|condition| now_ms < condition.cold_until_ms)
}

/// Returns the requests on a target: this router's, and the most that reports or answers show of others.
pub fn load(roster: &Roster, key: Key, now_ms: u64) -> u32 {
    let Some(condition) = roster.conditions.get(&key) else {
        return 0;
    };
    let id = roster.table.get(key).map(|target| target.id.as_str());
    let reported: u32 = roster
        .reports
        .values()
        .filter_map(|report| report.running.get(id?))
        .sum();
    let is_fresh =
        |at_ms: u64| now_ms.saturating_sub(at_ms) < roster.settings.report_ms && reported == 0;
    let stated = condition
        .foreign
        .filter(|foreign| is_fresh(foreign.at_ms))
        .map_or(0, |foreign| foreign.running);
    condition.running + reported.max(stated)
}

/// Returns what this router has in flight, by target, for at most `most` targets: the busiest, whose load matters
/// most to others. Targets without work are left out.
pub fn running(roster: &Roster, most: usize) -> IndexMap<SmolStr, u32> {
    let busy = roster.table.iter().filter_map(|(key, target)| {
        let running = roster.conditions.get(&key)?.running;
        (running > 0).then(|| (target.id.clone(), running))
    });
    let mut busy: IndexMap<SmolStr, u32> = busy.collect();
    busy.sort_by(|_, left, _, right| right.cmp(left));
    busy.truncate(most);
    busy
}

struct Candidate {
    key: Key,
    load: f64,
    score: f64,
}

/// Returns the targets for a request, best first.
///
/// With a subject: rendezvous order among targets under the load bound `multiple * mean + slack`, so that all
/// routers send one subject to one target until it is busy; then the others, least loaded first. Without a
/// subject: least loaded first, own zone before others. Resting and grey targets come last.
///
/// Load it answers: many subjects of unequal weight, one of them suddenly hot. Source: Mirrokni, Thorup and
/// Zadimoghaddam, "Consistent hashing with bounded loads", SODA 2018.
pub fn rank(roster: &Roster, wish: Wish<'_>, now_ms: u64) -> Vec<Key> {
    let mut candidates: Vec<Candidate> = roster
        .table
        .iter_pool(wish.pool)
        .filter(|(key, _)| is_eligible(roster, *key, now_ms) && !wish.tried.contains(key))
        .map(|(key, target)| Candidate {
            key,
            load: f64::from(load(roster, key, now_ms)),
            score: score(target, wish),
        })
        .collect();
    let sum: f64 = candidates.iter().map(|candidate| candidate.load).sum();
    let mean = sum / candidates.len().max(1) as f64;
    let bound = roster.settings.load_multiple * mean + roster.settings.load_slack;
    let place = |candidate: &Candidate| {
        let rests = rests(roster, candidate.key, now_ms) || is_grey(roster, candidate.key, now_ms);
        let is_over = candidate.load >= bound;
        match wish.subject {
            Some(_) if !is_over => (rests, is_over, -candidate.score),
            Some(_) => (rests, is_over, candidate.load),
            None => (rests, false, candidate.load + candidate.score),
        }
    };
    candidates.sort_by(|left, right| {
        let (left, right) = (place(left), place(right));
        (left.0, left.1)
            .cmp(&(right.0, right.1))
            .then(left.2.total_cmp(&right.2))
    });
    candidates
        .into_iter()
        .map(|candidate| candidate.key)
        .collect()
}

fn score(target: &Target, wish: Wish<'_>) -> f64 {
    match wish.subject {
        Some(subject) => {
            let hash = hash::digest(&[&subject.to_le_bytes(), target.id.as_bytes()]);
            hash::rendezvous_score(hash, f64::from(target.slots.max(1)))
        }
        None if target.zone == wish.zone => 0.0,
        None => OTHER_ZONE_LOAD,
    }
}

/// Returns the target that most likely caches a subject: the first in rendezvous order, whatever its load.
pub fn home(roster: &Roster, pool: &str, subject: u64, except: Key, now_ms: u64) -> Option<Key> {
    let wish = Wish {
        pool,
        subject: Some(subject),
        zone: "",
        tried: &[],
    };
    roster
        .table
        .iter_pool(pool)
        .filter(|(key, _)| *key != except)
        .filter(|(key, _)| !is_cold(roster, *key, now_ms) && !rests(roster, *key, now_ms))
        .max_by(|(_, left), (_, right)| score(left, wish).total_cmp(&score(right, wish)))
        .map(|(key, _)| key)
}

/// Returns what targets said of themselves, with the time that they stay cold from now on.
pub fn announcements(roster: &Roster, now_ms: u64) -> impl Iterator<Item = Announcement> + '_ {
    roster.table.iter().filter_map(move |(key, target)| {
        let condition = roster.conditions.get(&key)?;
        Some(Announcement {
            target: target.clone(),
            lifetime: condition.lifetime,
            cold_ms: condition.cold_until_ms.saturating_sub(now_ms),
        })
    })
}
