//! Which gateway is the dispatcher of a pool, and which of them have fallen silent.

use sardinemux_core::collection::Candidate;
use sardinemux_core::permits;

use crate::drain::Phase;
use crate::prelude::*;

/// How long a dispatcher that has not answered is passed over, in milliseconds. Reports show its loss after seconds only.
const SILENT_MS: u64 = 1_000;

/// The number of requests in a row without an answer after which a dispatcher is passed over. One datagram may be lost, and two
/// dispatchers know less of each other than one knows.
pub(super) const SILENT_MISSES: u32 = 2;

/// How long the ranking of the dispatchers of a pool is used, in milliseconds: less than the interval of reports.
const RANKING_MS: u64 = 100;

/// The number of dispatchers that are kept of a ranking: those that are asked, and as many that may be silent.
const RANKED_MAX: usize = 4;

/// The first gateways in the order of dispatchers of a pool.
#[derive(Clone, Debug)]
pub(super) struct Ranking {
    /// When it was made, in milliseconds.
    at_ms: u64,
    /// The number of gateways that take part.
    pub gateways: usize,
    first: Vec<SmolStr>,
}

/// The silence of a dispatcher.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Silence {
    /// The number of requests in a row without an answer.
    misses: u32,
    /// Until when it is passed over, in milliseconds.
    until_ms: u64,
}

impl Silence {
    /// Counts requests that were not answered.
    pub fn note(&mut self, misses: u32, now_ms: u64) {
        self.misses = self.misses.saturating_add(misses);
        if self.misses >= SILENT_MISSES {
            self.until_ms = now_ms + SILENT_MS;
        }
    }
}

/// Calls `action` with the ranking of a pool, which is renewed several times a second: it takes some 50 microseconds with 390 gateways.
pub(super) fn with_ranking<T>(
    gateway: &Gateway,
    pool: &str,
    action: impl FnOnce(&Ranking) -> T,
) -> T {
    let now_ms = gateway.now_ms();
    let is_fresh = |it: &Ranking| now_ms.saturating_sub(it.at_ms) < RANKING_MS;
    if let Some(known) = gateway.permits.rankings.lock().get(pool) {
        if is_fresh(known) {
            return action(known);
        }
    }
    let mut first = ranked(gateway, pool);
    let ranking = Ranking {
        at_ms: now_ms,
        gateways: first.len().max(1),
        first: {
            first.truncate(RANKED_MAX);
            first
        },
    };
    let result = action(&ranking);
    gateway.permits.rankings.lock().insert(pool.into(), ranking);
    result
}

/// Returns the names of the gateways that may be the dispatcher of a pool, the first one first. This one is none while it stops.
pub(super) fn ranked(gateway: &Gateway, pool: &str) -> Vec<SmolStr> {
    let settings = &gateway.settings;
    let is_serving = gateway.drain.phase() == Phase::Serving;
    let me = is_serving.then_some(Candidate {
        name: &settings.name,
        zone: &settings.zone,
        link_mbps: settings.link_mbps,
    });
    let members = gateway.members.lock();
    let found = permits::rank(pool, members.dispatchers(gateway.now_ms()).chain(me));
    found.into_iter().map(SmolStr::from).collect()
}

/// Returns the dispatcher of a pool: the first one, without those that have not answered lately or were asked for this request.
pub(super) fn first(gateway: &Gateway, pool: &str, asked: &[SmolStr]) -> Option<SmolStr> {
    let now_ms = gateway.now_ms();
    let mut names = with_ranking(gateway, pool, |it| it.first.clone()).into_iter();
    let silent = gateway.permits.silent.lock();
    names.find(|name| {
        let is_silent = silent.get(name).is_some_and(|it| now_ms < it.until_ms);
        !is_silent && !asked.contains(name)
    })
}
