//! Routes that move between pools, and the requests that run in a pool from which their route has moved away.

use indexmap::IndexMap;
use sardinemux_standin::replica::{unix_ms, Stats};

use super::caller::{Kind, Outcome};
use super::check::Breach;
use super::layout::{ReplicaPlace, SERVICE_POOLS};
use super::operator::Desired;
use super::Fleet;
use crate::errors::Result;

/// The time after a gateway has shown a version in which it may still serve by an earlier one, in milliseconds.
const SHOWN_MS: u64 = 250;

/// A version of the desired state that moves the routes of the plain service to another pool; times in Unix milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    /// The pool to which the routes move.
    pub pool: &'static str,
    /// When the operators began to write it.
    pub begun_ms: u64,
    /// When the store took it.
    pub confirmed_ms: u64,
}

impl Fleet {
    /// Moves the routes of the plain service to the next pool.
    ///
    /// # Errors
    ///
    /// Never; the write is repeated until it is taken.
    pub async fn move_routes(&self) -> Result<Move> {
        let mut pool = self.service_pool.lock().await;
        let begun_ms = unix_ms();
        let index = SERVICE_POOLS.iter().position(|it| *it == *pool);
        let next = (index.unwrap_or_default() + 1) % SERVICE_POOLS.len();
        *pool = SERVICE_POOLS[next];
        let confirmed_ms = self.write_desired(&Desired::default(), *pool).await?;
        Ok(Move {
            pool: *pool,
            begun_ms,
            confirmed_ms,
        })
    }
}

/// Returns the requests that ran neither in the pool of the latest move nor in that of a later one: later than `bound_ms` after its
/// confirmation, or after their gateway had shown it. `runs` are the pools in which each request ran. `is_excused` states whether a
/// gateway was started or stood still between two times.
pub fn former(
    outcomes: &[Outcome],
    runs: &IndexMap<&str, Vec<&'static str>>,
    moves: &[Move],
    bound_ms: u64,
    is_excused: impl Fn(usize, u64, u64) -> bool,
) -> Vec<Breach> {
    let mut moves = moves.to_vec();
    moves.sort_by_key(|it| it.begun_ms);
    let ends = moves.iter().skip(1).map(|next| next.begun_ms);
    let ends: Vec<u64> = ends.chain([u64::MAX]).collect();
    let mut breaches = Vec::new();
    for (index, (latest, until_ms)) in moves.iter().zip(ends).enumerate() {
        let is_concerned = |it: &&Outcome| {
            matches!(it.kind, Kind::Read | Kind::Write)
                && (latest.begun_ms..until_ms).contains(&it.sent_ms)
        };
        let concerned: Vec<&Outcome> = outcomes.iter().filter(is_concerned).collect();
        let mut shown_ms: IndexMap<usize, u64> = IndexMap::new();
        for outcome in &concerned {
            let pools = runs.get(outcome.id.as_str());
            if pools.is_some_and(|pools| pools.contains(&latest.pool)) {
                let at_ms = outcome.sent_ms + outcome.took_ms;
                let shown = shown_ms.entry(outcome.gateway).or_insert(at_ms);
                *shown = at_ms.min(*shown);
            }
        }
        for outcome in concerned {
            let ended_ms = outcome.sent_ms + outcome.took_ms;
            let later = moves[index..].iter().filter(|it| it.begun_ms <= ended_ms);
            let allowed: Vec<&str> = later.map(|it| it.pool).collect();
            let pools = runs.get(outcome.id.as_str()).into_iter().flatten();
            let Some(pool) = pools.copied().find(|pool| !allowed.contains(pool)) else {
                continue;
            };
            let shown = shown_ms.get(&outcome.gateway).map(|at_ms| at_ms + SHOWN_MS);
            let due = Some(latest.confirmed_ms + bound_ms);
            let is_after = |since: Option<u64>| {
                since.is_some_and(|since_ms| {
                    outcome.sent_ms > since_ms
                        && !is_excused(outcome.gateway, latest.begun_ms, outcome.sent_ms)
                })
            };
            if is_after(shown) || is_after(due) {
                breaches.push(Breach::Former {
                    id: outcome.id.clone(),
                    gateway: outcome.gateway,
                    pool: pool.to_owned(),
                    is_shown: is_after(shown),
                });
            }
        }
    }
    breaches
}

/// Returns the pools in which each request ran.
pub fn pools<'a>(
    replicas: &[ReplicaPlace],
    stats: &'a [Stats],
) -> IndexMap<&'a str, Vec<&'static str>> {
    let mut pools: IndexMap<&str, Vec<&'static str>> = IndexMap::new();
    for (place, stats) in replicas.iter().zip(stats) {
        for id in stats.runs.keys() {
            pools.entry(id).or_default().push(place.pool);
        }
    }
    pools
}
