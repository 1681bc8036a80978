//! Queries of what a gateway knows of paths.

use rand::seq::IndexedRandom;
use rand::Rng;
use smol_str::SmolStr;

use super::{Candidate, Reach, Search, State};

/// Returns whether this gateway has lost its paths to the targets of a pool.
pub fn is_lost(reach: &Reach, pool: &str) -> bool {
    reach
        .pools
        .get(pool)
        .is_some_and(|paths| paths.state == State::Lost)
}

/// Returns the pools to which this gateway has lost its paths.
pub fn lost_pools(reach: &Reach) -> Vec<SmolStr> {
    let lost = reach
        .pools
        .iter()
        .filter(|(_, paths)| paths.state == State::Lost);
    lost.map(|(name, _)| name.clone()).collect()
}

/// The largest number of gateways without paths for each other one of their availability zone, for which these serve. Where more
/// have lost their paths, requests go to all zones, so that the few that are left do not serve for their whole zone.
const LOST_PER_NEAR_MAX: usize = 3;

/// Returns the gateway through which a request is sent: one that has not stated that it has lost its paths, in the availability
/// zone of the searching one if enough are left there, and drawn at random, so that several gateways without paths do not load one.
/// Left out are those that have been tried, and those that may serve the request by an earlier catalogue.
///
/// # Examples
///
/// ```
/// use sardinemux_core::reach::{query, Candidate, Reach, Search};
///
/// let candidate = |name, zone| Candidate { name, zone, catalog: 6, compares_catalogs: true };
/// let candidates = [candidate("g1", "z2"), candidate("g2", "z1")];
/// let search = Search { pool: "pool", zone: "z1", catalog: 7, tried: &[] };
/// let choose = |candidates: &[Candidate<'static>]| {
///     query::choose_gateway(&Reach::default(), search, candidates, 0, &mut rand::rng())
/// };
/// assert_eq!(choose(&candidates), Some("g2"));
/// let former = candidates.map(|it| Candidate { compares_catalogs: false, ..it });
/// assert_eq!(choose(&former), None);
/// ```
pub fn choose_gateway<'a>(
    reach: &Reach,
    search: Search<'_>,
    candidates: &[Candidate<'a>],
    now_ms: u64,
    random: &mut impl Rng,
) -> Option<&'a str> {
    let ttl_ms = reach.settings.notice_ttl_ms;
    let has_lost = |name: &str| {
        let notice = reach.notices.get(name);
        notice.is_some_and(|notice| {
            now_ms.saturating_sub(notice.at_ms) < ttl_ms && notice.lost.contains(search.pool)
        })
    };
    let is_tried = |name: &str| search.tried.iter().any(|tried| tried == name);
    let is_open = |it: &&Candidate<'a>| {
        let may_serve = it.compares_catalogs || it.catalog >= search.catalog;
        may_serve && !has_lost(it.name) && !is_tried(it.name)
    };
    let open: Vec<&Candidate<'a>> = candidates.iter().filter(is_open).collect();
    let near: Vec<_> = open.iter().filter(|it| it.zone == search.zone).collect();
    let is_lost_near = |it: &&Candidate<'a>| it.zone == search.zone && has_lost(it.name);
    let lost_near = 1 + candidates.iter().filter(is_lost_near).count();
    let chosen = match lost_near <= LOST_PER_NEAR_MAX * near.len() {
        true => near.choose(random).map(|chosen| **chosen),
        false => open.choose(random).copied(),
    };
    chosen.map(|chosen| chosen.name)
}
