//! Queries of a roster.

use indexmap::IndexMap;
use smol_str::SmolStr;

use super::{Announcement, BrittleNotice, Condition, LimitNotice, Roster, Settings};
use crate::collection::Number;
use crate::crossing::Pressure;
use crate::hash;
use crate::leaving;
use crate::origin::Presence;
use crate::speed::{self, Source};
use crate::target::{Key, Target};

/// The criteria by which a target is chosen for a request.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// The name of the pool.
    pub pool: &'a str,
    /// The id of the shared prompt part whose cache is looked for, if there is one.
    pub subject: Option<u64>,
    /// The availability zone to prefer if there is no subject.
    pub zone: &'a str,
    /// The targets that the request was already sent to.
    pub tried: &'a [Key],
    /// The builds of which the target must be; `None` if any will do.
    pub builds: Option<&'a [SmolStr]>,
    /// The targets of which it must be one; `None` if any will do.
    pub only: Option<&'a [Key]>,
}

impl Criteria<'_> {
    /// Returns whether the request may go to a target, apart from its state.
    fn admits(&self, key: Key, target: &Target) -> bool {
        self.builds.is_none_or(|it| it.contains(&target.build))
            && self.only.is_none_or(|it| it.contains(&key))
    }
}

/// Added to the load of a target in another availability zone, for requests without a subject.
///
/// A hop between zones costs less than half the time that one request ahead adds.
const OTHER_ZONE_LOAD: f64 = 0.5;

/// Returns whether the roster contains no target.
pub fn is_empty(roster: &Roster) -> bool {
    roster.table.is_empty()
}

/// Returns the target with this key.
pub fn target(roster: &Roster, key: Key) -> Option<&Target> {
    roster.table.get(key)
}

/// Returns the key of the target with this id.
pub fn key(roster: &Roster, id: &str) -> Option<Key> {
    roster.table.key(id)
}

/// Returns the id of the target with this key, which may have been removed.
pub fn id(roster: &Roster, key: Key) -> Option<&SmolStr> {
    let listed = roster.table.get(key).map(|target| &target.id);
    let mut removed = roster.removed.iter();
    listed.or_else(|| removed.find(|(_, it)| it.key == key).map(|(id, _)| id))
}

/// Returns the lifetime of a target's process.
pub fn lifetime(roster: &Roster, key: Key) -> Option<u64> {
    roster
        .conditions
        .get(&key)
        .map(|condition| condition.lifetime)
}

/// Returns whether a target stated in an answer that it leaves.
pub fn has_stated_leaving(roster: &Roster, key: Key) -> bool {
    let target = roster.table.get(key);
    let lifetime = lifetime(roster, key);
    target
        .zip(lifetime)
        .is_some_and(|(target, lifetime)| roster.leaving.contains(&target.id, lifetime))
}

/// Returns the statements of targets that they leave, of which the other routers are told.
pub fn leaving_notices(roster: &Roster, now_ms: u64) -> Vec<leaving::Notice> {
    roster.leaving.notices(now_ms)
}

/// Returns whether a target may get new requests: it is listed or may still be listed again, it is not leaving, its
/// availability zone is not evacuated, and no other process has its address.
pub fn is_eligible(roster: &Roster, key: Key, now_ms: u64) -> bool {
    let Some(target) = roster.table.get(key) else {
        return false;
    };
    let Some(condition) = roster.conditions.get(&key) else {
        return false;
    };
    let is_expired = condition
        .absence
        .is_some_and(|absence| now_ms >= absence.until_ms);
    !target.leaving
        && !has_stated_leaving(roster, key)
        && !condition.is_address_taken
        && !is_expired
        && now_ms >= condition.restored_until_ms
        && !roster.evacuated.contains(&target.zone)
}

/// Returns whether a target wants no requests of this router now.
pub fn is_paused(roster: &Roster, key: Key, now_ms: u64) -> bool {
    pause_ms(roster, key, now_ms).is_some()
}

/// Returns the rest of the time in which a target wants no requests of this router, in milliseconds.
pub fn pause_ms(roster: &Roster, key: Key, now_ms: u64) -> Option<u64> {
    let pause = roster.conditions.get(&key)?.pause?;
    let left_ms = pause.until_ms.saturating_sub(now_ms);
    (left_ms > 0).then_some(left_ms)
}

/// Returns the shortest time until a target of a pool takes requests of this router again, in milliseconds; `None` unless all
/// eligible ones want none.
pub fn shortest_pause_ms(roster: &Roster, pool: &str, now_ms: u64) -> Option<u64> {
    let pauses = eligible(roster, pool, now_ms).into_iter();
    let pauses: Option<Vec<u64>> = pauses.map(|key| pause_ms(roster, key, now_ms)).collect();
    pauses?.into_iter().min()
}

/// Returns whether a target is in backoff after transport errors, so that it is used last.
pub fn is_in_backoff(roster: &Roster, key: Key, now_ms: u64) -> bool {
    let condition = roster.conditions.get(&key);
    condition.is_some_and(|condition| now_ms < condition.backoff_until_ms)
}

/// Returns a target's error rate at `now_ms`. It decays with time, so that a target that is not used is tried again.
pub(crate) fn error_rate(condition: &Condition, settings: Settings, now_ms: u64) -> f64 {
    let age_ms = now_ms.saturating_sub(condition.error_rate_at_ms) as f64;
    condition.error_rate * (-age_ms / settings.error_half_life_ms).exp2()
}

/// Returns whether a target fails clearly more often than the others of its pool, whatever its health check reports.
///
/// It is compared with twice the mean error rate of the others, as errors that are due to the requests themselves
/// occur on every target.
pub fn is_outlier(roster: &Roster, key: Key, now_ms: u64) -> bool {
    let settings = roster.settings;
    let rate = |key: Key| {
        let condition = roster.conditions.get(&key);
        condition.map_or(0.0, |condition| error_rate(condition, settings, now_ms))
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

/// Returns whether a target is cold, so that it gets only a limited rate of requests.
pub fn is_cold(roster: &Roster, key: Key, now_ms: u64) -> bool {
    let condition = roster.conditions.get(&key);
    condition.is_some_and(|condition| now_ms < condition.cold_until_ms)
}

/// Returns the limit that a target states, in requests a second from all routers together; `None` if it states none.
pub fn stated_limit(roster: &Roster, key: Key, now_ms: u64) -> Option<f64> {
    let statement = roster.conditions.get(&key)?.statement?;
    let age_ms = statement.age_ms(now_ms);
    let is_valid = age_ms < roster.settings.limit_ttl_ms;
    statement.per_s.filter(|_| is_valid)
}

/// The age of a statement, in milliseconds, from which a target that states a limit is chosen like any other, if this
/// router has a share of the limit: only its answers show when the limit ends.
const STATEMENT_REFRESH_MS: u64 = 2_000;

/// Returns whether a target states a limit and has done so recently.
fn is_limited(roster: &Roster, key: Key, now_ms: u64) -> bool {
    let condition = roster.conditions.get(&key);
    let statement = condition.and_then(|condition| condition.statement);
    statement.is_some_and(|statement| {
        let age_ms = statement.age_ms(now_ms);
        statement.per_s.is_some() && age_ms < STATEMENT_REFRESH_MS
    })
}

/// How long a pool counts as brittle without a further answer of its targets, in milliseconds: each answer repeats the statement.
const BRITTLE_TTL_MS: i64 = 10_000;

/// Returns whether the targets of a pool state that they are brittle.
pub fn is_brittle(roster: &Roster, pool: &str, now_ms: u64) -> bool {
    let known = roster.brittle.get(pool);
    known.is_some_and(|known| {
        known.rejections_per_s.is_some() && now_ms as i64 - known.at_ms < BRITTLE_TTL_MS
    })
}

/// Returns the recent statements of brittleness that this router got from targets.
pub fn brittle_notices(roster: &Roster, now_ms: u64) -> Vec<BrittleNotice> {
    let notices = roster.brittle.iter().filter_map(|(pool, known)| {
        let age_ms = (now_ms as i64 - known.at_ms).max(0) as u64;
        let is_news = known.is_own && age_ms < STATEMENT_NEWS_MS;
        is_news.then(|| BrittleNotice {
            pool: pool.clone(),
            rejections_per_s: known.rejections_per_s,
            age_ms: age_ms as u32,
        })
    });
    notices.collect()
}

/// Returns the ids and slots of the targets of a pool that may get new requests.
pub fn slots(roster: &Roster, pool: &str, now_ms: u64) -> Vec<(SmolStr, u32)> {
    let targets = roster.table.iter_pool(pool);
    let eligible = targets.filter(|(key, _)| is_eligible(roster, *key, now_ms));
    eligible
        .map(|(_, target)| (target.id.clone(), target.slots))
        .collect()
}

/// How long a router tells the others of a statement, in milliseconds: the routers that send to a target renew it sooner.
const STATEMENT_NEWS_MS: u64 = 5_000;

/// Returns the recent statements of limits that this router got from targets.
pub fn limit_notices(roster: &Roster, now_ms: u64) -> Vec<LimitNotice> {
    let notices = roster.table.iter().filter_map(|(key, target)| {
        let statement = roster.conditions.get(&key)?.statement?;
        let age_ms = statement.age_ms(now_ms);
        let is_news = statement.is_own && age_ms < STATEMENT_NEWS_MS;
        is_news.then(|| LimitNotice {
            target: target.id.clone(),
            per_s: statement.per_s,
            age_ms: age_ms as u32,
        })
    });
    notices.collect()
}

/// Returns the number of requests on a target: those of this router and of others.
///
/// Those of others are the sum of their reports or, where none reports any, what the target's last answer showed if it
/// is recent.
pub fn load(roster: &Roster, key: Key, now_ms: u64) -> u32 {
    let Some(condition) = roster.conditions.get(&key) else {
        return 0;
    };
    let id = roster.table.get(key).map(|target| target.id.as_str());
    let reported = id.map_or(0, |id| roster.reported.running(Number::of(id), now_ms));
    let is_fresh =
        |at_ms: u64| now_ms.saturating_sub(at_ms) < roster.settings.report_ttl_ms && reported == 0;
    let stated = condition
        .remote_load
        .filter(|remote| is_fresh(remote.at_ms))
        .map_or(0, |remote| remote.running);
    condition.running.saturating_add(reported.max(stated))
}

/// Returns how long work on a target is expected to take now, compared with what is usual: 1 if nothing else is known.
pub fn speed(roster: &Roster, key: Key, now_ms: u64) -> f64 {
    let estimate = roster.conditions.get(&key).and_then(|it| it.speed.as_ref());
    estimate.map_or(1.0, |estimate| estimate.factor(now_ms))
}

/// How long targets count as stating their speed without a further statement, in milliseconds.
const SPEED_TTL_MS: u64 = 10_000;

/// Returns whether a target has stated its speed recently, to this router or another one.
pub fn states_speed(roster: &Roster, now_ms: u64) -> bool {
    let stated_ms = roster.speed_stated_ms;
    stated_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < SPEED_TTL_MS)
}

/// Returns whether a target has stated its speed to this router.
pub fn target_states_speed(roster: &Roster, key: Key) -> bool {
    let condition = roster.conditions.get(&key);
    condition.is_some_and(|condition| condition.states_speed)
}

/// Returns the samples of speeds from `sources` that this router has learnt since `since_ms`, and of which others should know.
pub fn speed_notices(
    roster: &Roster,
    sources: &[Source],
    since_ms: u64,
    now_ms: u64,
) -> Vec<speed::Notice> {
    let notices = roster.table.iter().filter_map(|(key, target)| {
        let estimate = roster.conditions.get(&key)?.speed?;
        let number = Number::of(&target.id);
        speed::notice(number, &estimate, sources, since_ms, now_ms)
    });
    notices.collect()
}

/// Returns the number of eligible targets that are slow now.
pub fn slow_targets(roster: &Roster, now_ms: u64) -> usize {
    let eligible = roster
        .table
        .iter()
        .filter(|(key, _)| is_eligible(roster, *key, now_ms));
    eligible
        .filter(|(key, _)| speed(roster, *key, now_ms) >= speed::SLOW)
        .count()
}

/// Returns the number of requests that this router has in flight, by target id, on at most `limit` targets.
///
/// The busiest targets come first, as their load matters most to other routers. Idle targets are left out.
pub fn running(roster: &Roster, limit: usize) -> IndexMap<SmolStr, u32> {
    let busy = roster.table.iter().filter_map(|(key, target)| {
        let running = roster.conditions.get(&key)?.running;
        (running > 0).then(|| (target.id.clone(), running))
    });
    let mut busy: IndexMap<SmolStr, u32> = busy.collect();
    busy.sort_by(|_, left, _, right| right.cmp(left));
    busy.truncate(limit);
    busy
}

/// Returns the requests of this router and of the others of its zone, by target: what a collector sends to those of other zones.
pub fn zone_sum(roster: &Roster, zone: &str) -> Vec<(Number, u32)> {
    sum_with(roster, |number| {
        roster.reported.running_in_zone(zone, number)
    })
}

/// Returns the requests of all routers, by target: what a collector sends to the routers of its zone. Sums over all zones that
/// other collectors sent are left out, so that no sum comes back to its sender.
pub fn fleet_sum(roster: &Roster, now_ms: u64) -> Vec<(Number, u32)> {
    sum_with(roster, |number| {
        roster.reported.running_by_zone(number, now_ms)
    })
}

/// Returns the targets of a pool with the requests that this router has in flight on each.
pub fn running_in_pool<'a>(
    roster: &'a Roster,
    pool: &'a str,
) -> impl Iterator<Item = (&'a Target, u32)> + 'a {
    let targets = roster.table.iter_pool(pool);
    targets.filter_map(|(key, target)| {
        let condition = roster.conditions.get(&key)?;
        Some((target, condition.running))
    })
}

fn sum_with(roster: &Roster, others: impl Fn(Number) -> u32) -> Vec<(Number, u32)> {
    let sums = roster.table.iter().filter_map(|(key, target)| {
        let number = Number::of(&target.id);
        let running = roster.conditions.get(&key)?.running;
        let sum = running.saturating_add(others(number));
        (sum > 0).then_some((number, sum))
    });
    sums.collect()
}

/// An eligible target with its load and its score for the request.
struct Candidate {
    key: Key,
    load: f64,
    score: f64,
    is_limited: bool,
    /// The expected factor of the time of work; 1 in a roster without statements of speeds.
    speed: f64,
    slots: f64,
}

/// Returns the targets for a request, best first.
///
/// With a subject, the targets below the load bound `load_multiple * mean + load_slack` come first, in rendezvous
/// order, so that all routers send a subject to the same target until it is busy. The targets above the bound follow,
/// least loaded first. Without a subject, the least loaded targets come first, with a small penalty for other
/// availability zones. In both cases, targets that are in backoff or outliers come after all others.
///
/// Where targets state their speeds, slow targets follow the others below the bound, also in rendezvous order: the requests of a
/// subject whose home is slow go to the next one in its order, which fetches the cache once and keeps it, while the subjects of
/// the slow target are spread over all others. Loads are then compared as expected completions, `(load + 1) * speed / slots`.
/// Counts alone decide whether a target is above the bound.
///
/// Targets that state a limit count as above the bound, so that a subject does not alternate between such a target and
/// another one, which costs a transfer of its cache each time. They are left out of the mean.
///
/// The load bound handles many subjects of unequal popularity, one of which may suddenly become hot. Source:
/// Mirrokni, Thorup and Zadimoghaddam, "Consistent hashing with bounded loads", SODA 2018.
pub fn rank_targets(roster: &Roster, criteria: Criteria<'_>, now_ms: u64) -> Vec<Key> {
    let ranked = rank_candidates(roster, criteria, now_ms).into_iter();
    ranked.map(|(key, _)| key).collect()
}

/// Returns the targets for a request as [`rank_targets`] does, except that those of a zone come first among the targets that are
/// neither busy nor deferred.
pub fn rank_by_zone(roster: &Roster, criteria: Criteria<'_>, zone: &str, now_ms: u64) -> Vec<Key> {
    let ranked = rank_candidates(roster, criteria, now_ms);
    let is_preferred = |(key, is_free): &(Key, bool)| {
        let target = roster.table.get(*key);
        *is_free && target.is_some_and(|target| target.zone == zone)
    };
    let (first, rest): (Vec<_>, Vec<_>) = ranked.into_iter().partition(is_preferred);
    first.into_iter().chain(rest).map(|(key, _)| key).collect()
}

/// Returns the loads of a pool's eligible targets by zone.
pub fn pressures(roster: &Roster, pool: &str, now_ms: u64) -> IndexMap<SmolStr, Pressure> {
    let mut found: IndexMap<SmolStr, Pressure> = IndexMap::new();
    for (key, target) in roster.table.iter_pool(pool) {
        if !is_eligible(roster, key, now_ms) || is_paused(roster, key, now_ms) {
            continue;
        }
        let zone = found.entry(target.zone.clone()).or_default();
        zone.load += f64::from(load(roster, key, now_ms));
        zone.slots += f64::from(target.slots) / speed(roster, key, now_ms);
    }
    found
}

/// Returns the targets for a request, best first, each with whether it is neither busy nor deferred.
fn rank_candidates(roster: &Roster, criteria: Criteria<'_>, now_ms: u64) -> Vec<(Key, bool)> {
    let is_uneven = states_speed(roster, now_ms);
    let mut candidates: Vec<Candidate> = roster
        .table
        .iter_pool(criteria.pool)
        .filter(|(key, _)| is_eligible(roster, *key, now_ms) && !criteria.tried.contains(key))
        .filter(|(key, _)| !is_paused(roster, *key, now_ms))
        .filter(|(key, target)| criteria.admits(*key, target))
        .map(|(key, target)| Candidate {
            key,
            load: f64::from(load(roster, key, now_ms)),
            score: score(target, criteria),
            is_limited: is_limited(roster, key, now_ms),
            speed: if is_uneven {
                speed(roster, key, now_ms)
            } else {
                1.0
            },
            slots: f64::from(target.slots.max(1)),
        })
        .collect();
    let bound = load_bound(roster, criteria, now_ms);
    // The few targets that are chosen beforehand get no more than the bound, since others can serve the request.
    if criteria.only.is_some() {
        candidates.retain(|candidate| candidate.load < bound);
    }
    let slots = candidates.iter().map(|candidate| candidate.slots);
    let mean_slots = slots.sum::<f64>() / candidates.len().max(1) as f64;
    // The expected completion, in times that one request takes on a usual target of mean size.
    let completion = |candidate: &Candidate| {
        let size = if is_uneven {
            candidate.slots / mean_slots
        } else {
            1.0
        };
        (candidate.load + 1.0) * candidate.speed / size
    };
    let sort_key = |candidate: &Candidate| {
        let is_deferred = is_in_backoff(roster, candidate.key, now_ms)
            || is_outlier(roster, candidate.key, now_ms);
        let is_over = candidate.is_limited || candidate.load >= bound;
        let is_slow = candidate.speed >= speed::SLOW;
        match criteria.subject {
            Some(_) if !is_over => (is_deferred, is_over, is_slow, -candidate.score),
            Some(_) => (is_deferred, is_over, false, completion(candidate)),
            None => {
                let is_over = is_uneven && is_over;
                let cost = completion(candidate) + candidate.score;
                (is_deferred, is_over, false, cost)
            }
        }
    };
    candidates.sort_by(|left, right| {
        let (left, right) = (sort_key(left), sort_key(right));
        (left.0, left.1, left.2)
            .cmp(&(right.0, right.1, right.2))
            .then(left.3.total_cmp(&right.3))
    });
    candidates
        .into_iter()
        .map(|candidate| {
            let (is_deferred, is_over, ..) = sort_key(&candidate);
            let is_slow = candidate.speed >= speed::SLOW;
            (candidate.key, !is_deferred && !is_over && !is_slow)
        })
        .collect()
}

/// Returns the load from which a target of a pool counts as busy: `max(load_multiple * mean, eligible_mean) + load_slack`.
///
/// The mean is that of all listed targets, as the deployment's bound is judged by it. While many of them get no requests, it falls
/// below the mean of the eligible ones, which some of these exceed however requests are placed.
fn load_bound(roster: &Roster, criteria: Criteria<'_>, now_ms: u64) -> f64 {
    let mut all = Mean::default();
    let mut eligible = Mean::default();
    for (key, target) in roster.table.iter_pool(criteria.pool) {
        if is_limited(roster, key, now_ms) {
            continue;
        }
        let load = f64::from(load(roster, key, now_ms));
        all.add(load);
        // Few chosen targets must not set the bound for themselves.
        let is_counted = match criteria.only {
            Some(_) => !criteria.admits(key, target),
            None => criteria.admits(key, target),
        };
        if is_eligible(roster, key, now_ms) && is_counted {
            eligible.add(load);
        }
    }
    let Settings {
        load_multiple,
        load_slack,
        ..
    } = roster.settings;
    (load_multiple * all.value()).max(eligible.value()) + load_slack
}

/// The mean of some loads.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    sum: f64,
    count: u32,
}

impl Mean {
    fn add(&mut self, load: f64) {
        self.sum += load;
        self.count += 1;
    }

    fn value(self) -> f64 {
        self.sum / f64::from(self.count.max(1))
    }
}

/// Returns the rendezvous score of a target (the highest is the best) or, without a subject, the penalty for its zone.
fn score(target: &Target, criteria: Criteria<'_>) -> f64 {
    match criteria.subject {
        Some(subject) => {
            let hash = hash::digest(&[&subject.to_le_bytes(), target.id.as_bytes()]);
            hash::rendezvous_score(hash, f64::from(target.slots.max(1)))
        }
        None if target.zone == criteria.zone => 0.0,
        None => OTHER_ZONE_LOAD,
    }
}

/// Returns the target that most likely caches a subject: the first in rendezvous order, whatever its load.
///
/// Cold targets, those in backoff and `except` are left out; eligibility is not checked.
pub fn home_target(
    roster: &Roster,
    pool: &str,
    subject: u64,
    except: Key,
    now_ms: u64,
) -> Option<Key> {
    let criteria = Criteria {
        pool,
        subject: Some(subject),
        zone: "",
        tried: &[],
        builds: None,
        only: None,
    };
    roster
        .table
        .iter_pool(pool)
        .filter(|(key, _)| *key != except)
        .filter(|(key, _)| !is_cold(roster, *key, now_ms) && !is_in_backoff(roster, *key, now_ms))
        .max_by(|(_, left), (_, right)| score(left, criteria).total_cmp(&score(right, criteria)))
        .map(|(key, _)| key)
}

/// Returns the targets of a pool that may get new requests.
pub fn eligible(roster: &Roster, pool: &str, now_ms: u64) -> Vec<Key> {
    let targets = roster.table.iter_pool(pool).map(|(key, _)| key);
    targets
        .filter(|key| is_eligible(roster, *key, now_ms))
        .collect()
}

/// Returns the builds of which targets of a pool are listed, with the slots of the eligible ones.
pub fn builds(roster: &Roster, pool: &str, now_ms: u64) -> Vec<Presence> {
    let mut found: Vec<Presence> = Vec::new();
    for (key, target) in roster.table.iter_pool(pool) {
        let slots = match is_eligible(roster, key, now_ms) {
            true => target.slots,
            false => 0,
        };
        match found.iter_mut().find(|it| it.build == target.build) {
            Some(presence) => presence.slots += slots,
            None => found.push(Presence {
                build: target.build.clone(),
                slots,
            }),
        }
    }
    found
}

/// Returns the announcements of all targets, with the time that each stays cold from `now_ms` on.
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
