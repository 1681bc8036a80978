//! Whether a request leaves its availability zone.
//!
//! A request stays in its zone if the price of its bytes between zones, for all requests with its prompt that are expected soon, exceeds
//! the price of bringing the prompt's cache into the zone once. A share of the requests leaves all the same while the zone's targets
//! are busy and those of others are less so.

use std::collections::VecDeque;

use indexmap::IndexMap;
use smol_str::SmolStr;

/// The costs by which the decision is made, in one unit of the operator's choice.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Costs {
    /// The cost of a gigabyte between zones. Zero leaves placement as it is without this decision.
    pub crossing_per_gb: f64,
    /// The cost of reading 1,000 tokens of a prompt.
    pub read_per_1000_tokens: f64,
    /// The cost of fetching a gigabyte of cache from another target, besides that of its crossing.
    pub fetch_per_gb: f64,
    /// The size of the cache of one token, in bytes.
    pub cache_bytes_per_token: f64,
}

const GIGABYTE: f64 = 1e9;

impl Costs {
    /// Returns whether requests are placed by their zone at all.
    pub fn is_active(self) -> bool {
        self.crossing_per_gb > 0.0
    }
}

/// Where the cache of a request's prompt is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cache {
    /// At a target of the zone.
    Here,
    /// At a target of another zone.
    Elsewhere,
    /// Nowhere, as far as is known, or the request has no prompt.
    Nowhere,
}

/// What is known of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The bytes of the request and its answer.
    pub bytes: f64,
    /// The tokens of the prompt.
    pub tokens: u64,
    /// The requests with the same prompt that the zone gets in the next [`HORIZON_MS`].
    pub requests: f64,
    /// Where the cache of the prompt is.
    pub cache: Cache,
}

/// The time for which the cache of a prompt is expected to be of use in a zone, in milliseconds.
pub const HORIZON_MS: u64 = 10_000;

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// To a target of its zone, if one is not busy.
    Stay,
    /// To any zone, as the cache of its prompt is elsewhere and bringing it into the zone costs more.
    FollowCache,
    /// To another zone, as its own is busy.
    Spill,
}

/// Decides where a request goes. `spills` says whether it was drawn by [`Spill::draw`] to leave a busy zone.
///
/// # Examples
///
/// ```
/// use sardinemux_core::crossing::{self, Cache, Choice, Costs, Estimate};
///
/// let costs = Costs { crossing_per_gb: 0.01, read_per_1000_tokens: 1e-6, fetch_per_gb: 0.01, cache_bytes_per_token: 2e3 };
/// let estimate = Estimate { bytes: 12_000.0, tokens: 11_800, requests: 500.0, cache: Cache::Elsewhere };
/// assert_eq!(crossing::decide(costs, estimate, false), Choice::Stay);
/// let rare = Estimate { requests: 1.0, ..estimate };
/// assert_eq!(crossing::decide(costs, rare, false), Choice::FollowCache);
/// assert_eq!(crossing::decide(costs, estimate, true), Choice::Spill);
/// ```
pub fn decide(costs: Costs, estimate: Estimate, spills: bool) -> Choice {
    if spills {
        return Choice::Spill;
    }
    // Once the zone has the cache, the price of bringing it there is zero, so that the choice does not flap.
    if estimate.cache != Cache::Elsewhere {
        return Choice::Stay;
    }
    let tokens = estimate.tokens as f64;
    let read = tokens / 1_000.0 * costs.read_per_1000_tokens;
    let gigabytes = tokens * costs.cache_bytes_per_token / GIGABYTE;
    let fetch = gigabytes * (costs.fetch_per_gb + costs.crossing_per_gb);
    let crossing = estimate.bytes * estimate.requests / GIGABYTE * costs.crossing_per_gb;
    match crossing > read.min(fetch) {
        true => Choice::Stay,
        false => Choice::FollowCache,
    }
}

/// The load of the eligible targets of some zones.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pressure {
    /// The requests in flight.
    pub load: f64,
    /// The slots, each divided by the factor of the time that work takes there.
    pub slots: f64,
}

/// The time between two updates of a share, in milliseconds.
const PERIOD_MS: u64 = 500;

/// The load by slot from which requests are expected to wait, as arrivals vary.
const BUSY: f64 = 0.8;

/// The smallest difference between loads by slot for which requests leave: a smaller one is due to chance.
const MARGIN_MIN: f64 = 0.05;

/// The part of the way to the new share that one update goes. The loads that show what a change has done are up to 2 s old, which are
/// four updates, so that a share is to change little in that time.
const GAIN: f64 = 0.2;

/// The difference for which a share is left as it is, so that it does not follow chance.
const DEAD_BAND: f64 = 0.02;

/// The number of updates for which a demand must last to count: as long as the loads of others may be old, since a surge of all zones
/// would otherwise look like one of this zone.
const LASTING: usize = 5;

/// The shares of the requests that leave a busy zone, by the zone that they go to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Spill {
    shares: IndexMap<SmolStr, f64>,
    demands: VecDeque<f64>,
    updated_ms: Option<u64>,
}

impl Spill {
    /// Returns the share that leaves, from 0 to 1.
    pub fn share(&self) -> f64 {
        self.shares.values().sum()
    }

    /// Returns the share that goes to a zone.
    pub fn share_to(&self, zone: &str) -> f64 {
        self.shares.get(zone).copied().unwrap_or_default()
    }

    /// Returns the zone to which a request goes, if it leaves; `draw` is a random number from 0 to 1.
    pub fn draw(&self, draw: f64) -> Option<SmolStr> {
        let mut sum = 0.0;
        let mut shares = self.shares.iter();
        let drawn = shares.find(|(_, share)| {
            sum += **share;
            draw < sum
        });
        drawn.map(|(zone, _)| zone.clone())
    }

    /// Returns whether the shares are to be updated.
    pub fn is_due(&self, now_ms: u64) -> bool {
        self.updated_ms
            .is_none_or(|at_ms| now_ms.saturating_sub(at_ms) >= PERIOD_MS)
    }

    /// Updates the shares. `demand` is the number of requests in flight of the zone's callers, wherever they are, `home_slots` are the
    /// slots of the zone, and `hop` is the round trip between zones as a share of the latency objective, by which another zone must be
    /// better.
    ///
    /// The shares level the loads by slot of the zone and of those that are less loaded, down to where the zone is no longer busy
    /// (water-filling). The demand does not depend on the shares and is known without delay: shares that followed the late load of the
    /// zone itself would swing, as a backlog goes on to grow meanwhile.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::crossing::{Pressure, Spill};
    ///
    /// let mut spill = Spill::default();
    /// let others = [("z2".into(), Pressure { load: 20.0, slots: 64.0 }), ("z3".into(), Pressure { load: 95.0, slots: 64.0 })];
    /// for round in 0..20 {
    ///     spill.update(90.0, 64.0, &others, 0.02, round * 500);
    /// }
    /// assert!(spill.share_to("z2") > 0.0);
    /// assert_eq!(spill.share_to("z3"), 0.0);
    /// ```
    pub fn update(
        &mut self,
        demand: f64,
        home_slots: f64,
        others: &[(SmolStr, Pressure)],
        hop: f64,
        now_ms: u64,
    ) {
        self.updated_ms = Some(now_ms);
        self.demands.push_back(demand);
        if self.demands.len() > LASTING {
            self.demands.pop_front();
        }
        self.shares
            .retain(|zone, _| others.iter().any(|(other, _)| other == zone));
        let is_known = self.demands.len() == LASTING;
        let lasting = self.demands.iter().copied().fold(f64::INFINITY, f64::min);
        if !is_known || home_slots <= 0.0 || lasting <= 0.0 {
            self.shares.clear();
            return;
        }
        let margin = hop.max(MARGIN_MIN);
        let bases = others.iter().map(|(zone, pressure)| Pressure {
            load: (pressure.load - self.share_to(zone) * demand).max(0.0),
            ..*pressure
        });
        let bases: Vec<Pressure> = bases.collect();
        for ((zone, _), wanted) in others.iter().zip(fill(lasting, home_slots, &bases, margin)) {
            let share = self.shares.entry(zone.clone()).or_default();
            let change = wanted - *share;
            if change.abs() >= DEAD_BAND {
                *share += GAIN * change;
            } else if wanted <= 0.0 {
                *share = 0.0;
            }
        }
    }
}

/// Returns the shares of a demand that level the loads by slot, for each other zone with the load that it has without them.
fn fill(demand: f64, home_slots: f64, others: &[Pressure], margin: f64) -> Vec<f64> {
    let waiting = demand - BUSY * home_slots;
    if waiting <= 0.0 {
        return vec![0.0; others.len()];
    }
    let poured =
        |level: f64, other: &Pressure| ((level - margin) * other.slots - other.load).max(0.0);
    let (mut low, mut high) = (0.0, demand / home_slots);
    // 40 halvings find the level exactly enough for any number of slots.
    for _ in 0..40 {
        let level = (low + high) / 2.0;
        let sum: f64 = others.iter().map(|other| poured(level, other)).sum();
        match level * home_slots + sum < demand {
            true => low = level,
            false => high = level,
        }
    }
    let amounts: Vec<f64> = others.iter().map(|other| poured(high, other)).collect();
    let sum: f64 = amounts.iter().sum();
    let scale = if sum > waiting { waiting / sum } else { 1.0 };
    amounts.iter().map(|it| it * scale / demand).collect()
}

/// The largest number of prompts that are counted.
const PROMPTS_MAX: usize = 4_096;

/// The recent requests by prompt, in order of use with the latest last.
#[derive(Clone, Debug, Default)]
pub struct Recent {
    counts: IndexMap<u64, (f64, u64)>,
}

impl Recent {
    /// Counts a request with a prompt, and returns the number of them that is expected in the next [`HORIZON_MS`].
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::crossing::Recent;
    ///
    /// let mut recent = Recent::default();
    /// recent.note(7, 0);
    /// assert!(recent.note(7, 0) > 1.9);
    /// assert!(recent.note(7, 60_000) < 1.1);
    /// ```
    pub fn note(&mut self, prompt: u64, now_ms: u64) -> f64 {
        let known = self.counts.shift_remove(&prompt);
        let left = known.map_or(0.0, |(count, at_ms)| {
            let age = now_ms.saturating_sub(at_ms) as f64 / HORIZON_MS as f64;
            count * (-age).exp()
        });
        self.counts.insert(prompt, (left + 1.0, now_ms));
        if self.counts.len() > PROMPTS_MAX {
            self.counts.drain(..PROMPTS_MAX / 8);
        }
        left + 1.0
    }
}
