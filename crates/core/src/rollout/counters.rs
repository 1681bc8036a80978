//! What gateways count of the requests of a pool during a rollout, by route and build.
//!
//! Counts are cumulative since the gateway learned of the order, so that a lost message is made up by the next one.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::Side;
use crate::hash;

/// The number of classes of times. The class `n` holds the times from 2^(n / 2) ms to 2^((n + 1) / 2) ms; the last one all longer ones.
pub const CLASSES: usize = 28;

/// The time for which sums are kept, in milliseconds.
const HISTORY_MS: u64 = 8_000;

/// A distribution of times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Histogram(pub [u32; CLASSES]);

/// Returns the class of a time in milliseconds.
fn class(ms: f64) -> usize {
    let class = 2.0 * ms.max(1.0).log2();
    (class as usize).min(CLASSES - 1)
}

impl Histogram {
    /// Adds a time in milliseconds.
    pub fn add(&mut self, ms: f64) {
        self.0[class(ms)] += 1;
    }

    /// Returns the number of times.
    pub fn total(&self) -> u32 {
        self.0.iter().sum()
    }

    /// Returns the number of times in `first` and all higher classes.
    pub fn at_least(&self, first: usize) -> u32 {
        self.0.iter().skip(first).sum()
    }

    /// Returns the class that holds a quantile, from 0 to 1; `None` if there are no times.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::rollout::counters::Histogram;
    ///
    /// let mut times = Histogram::default();
    /// for ms in [1.0, 1.0, 1.0, 64.0] {
    ///     times.add(ms);
    /// }
    /// assert_eq!(times.quantile(0.5), Some(0));
    /// assert_eq!(times.quantile(1.0), Some(12));
    /// ```
    pub fn quantile(&self, quantile: f64) -> Option<usize> {
        let total = self.total();
        let rank = (f64::from(total) * quantile).ceil().max(1.0) as u32;
        let mut below = 0;
        (total > 0).then(|| {
            let found = self.0.iter().position(|count| {
                below += count;
                below >= rank
            });
            found.unwrap_or(CLASSES - 1)
        })
    }

    fn combine(&mut self, other: &Self, operation: impl Fn(u32, u32) -> u32) {
        for (own, other) in self.0.iter_mut().zip(other.0) {
            *own = operation(*own, other);
        }
    }
}

/// The requests of one route at one build.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// The requests that were sent.
    pub sent: u32,
    /// The requests that failed at a target: a server error, a broken connection or answer, or none in time.
    pub failed: u32,
    /// The times to the first byte of the answers.
    pub first: Histogram,
    /// The mean times between the events of streams.
    pub pace: Histogram,
}

impl Count {
    /// Adds another count.
    pub fn add(&mut self, other: &Self) {
        self.combine(other, u32::saturating_add);
    }

    /// Returns what has been added since an earlier state of this count.
    pub fn since(&self, earlier: &Self) -> Self {
        let mut difference = *self;
        difference.combine(earlier, u32::saturating_sub);
        difference
    }

    fn combine(&mut self, other: &Self, operation: impl Fn(u32, u32) -> u32 + Copy) {
        self.sent = operation(self.sent, other.sent);
        self.failed = operation(self.failed, other.failed);
        self.first.combine(&other.first, operation);
        self.pace.combine(&other.pace, operation);
    }
}

/// Identifies what is counted together: the hash of a route's name, and the side.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The hash of the name of the route.
    pub route: u32,
    /// The build.
    pub side: Side,
}

impl Key {
    /// Returns the key of a route at one side.
    pub fn new(route: &str, side: Side) -> Self {
        let route = hash::digest(&[b"route", route.as_bytes()]) as u32;
        Self { route, side }
    }
}

/// The targets at which requests were sent or failed: sets of 64 hashed ids.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spread {
    /// The targets to which requests were sent.
    pub tried: u64,
    /// The targets at which some failed.
    pub failing: u64,
}

impl Spread {
    /// Returns the set that holds one target.
    pub fn bit(target: &str) -> u64 {
        1 << (hash::digest(&[b"spread", target.as_bytes()]) % 64)
    }

    /// Adds the targets of another spread.
    pub fn add(&mut self, other: &Self) {
        self.tried |= other.tried;
        self.failing |= other.failing;
    }
}

/// What one gateway has counted at one side.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// The requests in flight.
    pub in_flight: u32,
    /// The targets.
    pub spread: Spread,
}

/// What one gateway has counted, or a part of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// The former build and the new one.
    pub presence: [Presence; 2],
    /// The counts that the message holds, by route and side. Those that it does not hold stay as they were.
    pub counts: Vec<(Key, Count)>,
}

impl Tally {
    /// Returns the presence at a side.
    pub fn at(&self, side: Side) -> &Presence {
        &self.presence[side as usize]
    }

    /// Returns the presence at a side.
    pub fn at_mut(&mut self, side: Side) -> &mut Presence {
        &mut self.presence[side as usize]
    }
}

impl Default for Key {
    fn default() -> Self {
        Self {
            route: 0,
            side: Side::Former,
        }
    }
}

/// Identifies one process of a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Process {
    /// The name of the gateway.
    pub gateway: SmolStr,
    /// A random number that is drawn at its start.
    pub start: u32,
}

#[derive(Clone, Debug, Default)]
struct Source {
    presence: [Presence; 2],
    counts: IndexMap<Key, Count>,
    received_ms: u64,
}

/// The sums of all gateways.
pub type Sums = IndexMap<Key, Count>;

/// What a decider has received from all gateways.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    sources: IndexMap<Process, Source>,
    /// The sums at past moments, oldest first.
    history: VecDeque<(u64, Sums)>,
}

impl Ledger {
    /// Records what a gateway has counted.
    pub fn note(&mut self, process: Process, tally: &Tally, now_ms: u64) {
        let source = self.sources.entry(process).or_default();
        source.presence = tally.presence;
        source.received_ms = now_ms;
        for (key, count) in &tally.counts {
            let known = source.counts.entry(*key).or_default();
            // Messages may overtake each other.
            if count.sent >= known.sent {
                *known = *count;
            }
        }
    }

    /// Returns the sums of all gateways.
    pub fn sums(&self) -> Sums {
        let mut sums = Sums::new();
        for source in self.sources.values() {
            for (key, count) in &source.counts {
                sums.entry(*key).or_default().add(count);
            }
        }
        sums
    }

    /// Keeps the present sums for later comparisons.
    pub fn record(&mut self, now_ms: u64) {
        let sums = self.sums();
        self.history.push_back((now_ms, sums));
        while self
            .history
            .front()
            .is_some_and(|(at_ms, _)| at_ms + HISTORY_MS < now_ms)
        {
            self.history.pop_front();
        }
    }

    /// Returns what all gateways have counted in the last `window_ms`, as far as that is known.
    pub fn recent(&self, window_ms: u64, now_ms: u64) -> Sums {
        let Some(begin_ms) = now_ms.checked_sub(window_ms) else {
            return self.sums();
        };
        let mut before = self.history.iter().rev();
        let base = before.find(|(at_ms, _)| *at_ms <= begin_ms);
        let mut sums = self.sums();
        if let Some((_, base)) = base {
            for (key, count) in &mut sums {
                let earlier = base.get(key).copied().unwrap_or_default();
                *count = count.since(&earlier);
            }
        }
        sums
    }

    /// Returns the number of requests that were sent to a side.
    pub fn sent(&self, side: Side) -> u64 {
        let counts = self
            .sources
            .values()
            .flat_map(|source| source.counts.iter());
        let counts = counts.filter(|(key, _)| key.side == side);
        counts.map(|(_, count)| u64::from(count.sent)).sum()
    }

    /// Returns the requests in flight at a side, as the gateways from which a report was received since `since_ms` report them.
    pub fn in_flight(&self, side: Side, since_ms: u64) -> u32 {
        let sources = self.sources.values();
        let recent = sources.filter(|source| source.received_ms >= since_ms);
        recent
            .map(|source| source.presence[side as usize].in_flight)
            .sum()
    }

    /// Returns the targets of a side, as all gateways report them.
    pub fn spread(&self, side: Side) -> Spread {
        let mut spread = Spread::default();
        for source in self.sources.values() {
            spread.add(&source.presence[side as usize].spread);
        }
        spread
    }
}
