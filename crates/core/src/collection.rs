//! The collection of the requests that gateways have in flight, by availability zone.
//!
//! A gateway reports to the others in turn, so that in a large fleet its last report is seconds old, and many requests for the same
//! prompt reach the same target before any gateway knows of them. Two gateways of each zone, its *collectors*, get a report from each
//! gateway of their zone as soon as it has sent a request. Ten times a second they exchange the sums of their zones, and send the sum
//! over all zones to the gateways of their own. So what a gateway knows is a fraction of a second old in a fleet of any size, and a
//! gateway that is no collector sends two reports a request for that, and receives twenty sums a second.

use std::cmp::Reverse;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::hash;

/// The number of collectors of an availability zone. The second one bridges the time in which the loss of the first is noticed.
const COLLECTORS: usize = 2;

/// The largest number of targets in one part of a sum, so that the part fits into a datagram beside the names of its sender and zone.
const PART_TARGETS_MAX: usize = 100;

/// The largest number of parts of a sum. Targets beyond them are left out.
const PARTS_MAX: u16 = 128;

/// The time between two sums of a collector, in milliseconds.
pub const PERIOD_MS: u64 = 100;

/// The time after the beginning of a request within which its gateway reports it to the collectors, in milliseconds, so that
/// requests that begin together need one report.
pub const NOTICE_MS: u64 = 20;

/// How long a sum is valid, in milliseconds: several periods, as datagrams get lost.
const SUM_TTL_MS: u64 = 6 * PERIOD_MS;

/// What a gateway does for the collection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// It does not know of collectors.
    #[default]
    None,
    /// It reports to collectors.
    Member,
    /// It collects the reports of its zone.
    Collector,
}

/// A gateway that may collect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The name of the gateway.
    pub name: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
    /// The bandwidth of its network link, in Mbit/s. A collector sends to its whole zone, so the widest link is preferred.
    pub link_mbps: u32,
}

/// Returns the names of the collectors of a zone, which all gateways with the same list of live gateways compute alike.
///
/// # Examples
///
/// ```
/// use sardinemux_core::collection::{self, Candidate};
///
/// let gateway = |name, zone, link_mbps| Candidate { name, zone, link_mbps };
/// let gateways = [gateway("a", "z1", 10), gateway("b", "z1", 200), gateway("c", "z1", 90), gateway("d", "z2", 900)];
/// assert_eq!(collection::collectors("z1", gateways.into_iter()), ["b", "c"]);
/// ```
pub fn collectors<'a>(zone: &str, gateways: impl Iterator<Item = Candidate<'a>>) -> Vec<&'a str> {
    let mut found: Vec<Candidate<'a>> = gateways.filter(|it| it.zone == zone).collect();
    found.sort_by_cached_key(|it| {
        let name_hash = hash::digest(&[b"collector", it.name.as_bytes()]);
        (Reverse(it.link_mbps), name_hash)
    });
    found
        .into_iter()
        .take(COLLECTORS)
        .map(|it| it.name)
        .collect()
}

/// Identifies a target in a sum: a hash of its id, which is shorter. Two targets with the same number share their sum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Number(pub u32);

impl Number {
    /// Returns the number of the target with this id.
    pub fn of(target: &str) -> Self {
        Self(hash::digest(&[b"target", target.as_bytes()]) as u32)
    }
}

/// A part of a sum, as it is sent in one datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The sender's number of the sum.
    pub round: u64,
    /// The index of this part.
    pub index: u16,
    /// The number of parts of the sum.
    pub count: u16,
    /// The requests in flight, by target. Targets without any are left out.
    pub running: Vec<(Number, u32)>,
}

/// A part of a sum with its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The name of the collector that sends it.
    pub gateway: SmolStr,
    /// The availability zone whose requests are summed up; `None` for those of all zones.
    pub zone: Option<SmolStr>,
    /// The part.
    pub part: Part,
}

/// Divides a sum into parts; one without requests has one empty part.
///
/// # Examples
///
/// ```
/// use sardinemux_core::collection::{self, Number};
///
/// let running = (0..130).map(|number| (Number(number), 1)).collect();
/// let parts = collection::split(running, 7);
/// assert_eq!(parts.len(), 2);
/// assert_eq!(collection::split(Vec::new(), 8)[0].count, 1);
/// ```
pub fn split(running: Vec<(Number, u32)>, round: u64) -> Vec<Part> {
    let count = running
        .len()
        .div_ceil(PART_TARGETS_MAX)
        .clamp(1, usize::from(PARTS_MAX));
    let part = |index: usize| Part {
        round,
        index: index as u16,
        count: count as u16,
        running: running
            .iter()
            .copied()
            .skip(index * PART_TARGETS_MAX)
            .take(PART_TARGETS_MAX)
            .collect(),
    };
    (0..count).map(part).collect()
}

/// The latest sum of one sender, which is put together from its parts.
#[derive(Clone, Debug, Default)]
pub struct Sum {
    running: IndexMap<Number, u32>,
    /// When the last part of the sum was received, in milliseconds; `None` before the first sum is complete.
    completed_ms: Option<u64>,
    round: u64,
    /// The parts of a later sum that is not complete.
    parts: IndexMap<u16, Vec<(Number, u32)>>,
}

impl Sum {
    /// Adds a part. Those of a former sum are ignored, unless the sender has begun anew, and so are those that no sum has.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::collection::{self, Number, Sum};
    ///
    /// let mut sum = Sum::default();
    /// let running = (0..130).map(|number| (Number(number), 1)).collect();
    /// let parts = collection::split(running, 7);
    /// sum.add(parts[0].clone(), 0);
    /// assert!(!sum.is_valid(0));
    /// sum.add(parts[1].clone(), 0);
    /// assert!(sum.is_valid(0));
    /// assert_eq!(sum.running(Number(129)), 1);
    /// ```
    pub fn add(&mut self, part: Part, now_ms: u64) {
        if part.index >= part.count || part.count > PARTS_MAX {
            return;
        }
        let is_later = part.round > self.round || !self.is_valid(now_ms);
        if part.round != self.round {
            if !is_later {
                return;
            }
            self.parts.clear();
            self.round = part.round;
        }
        self.parts.insert(part.index, part.running);
        if self.parts.len() >= usize::from(part.count) {
            self.running = self
                .parts
                .drain(..)
                .flat_map(|(_, running)| running)
                .collect();
            self.completed_ms = Some(now_ms);
        }
    }

    /// Returns whether the sum is complete and recent.
    pub fn is_valid(&self, now_ms: u64) -> bool {
        let completed_ms = self.completed_ms;
        completed_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < SUM_TTL_MS)
    }

    /// Returns when the sum was completed, in milliseconds, if it is recent.
    pub fn valid_since_ms(&self, now_ms: u64) -> Option<u64> {
        self.completed_ms.filter(|_| self.is_valid(now_ms))
    }

    /// Returns the requests on a target.
    pub fn running(&self, target: Number) -> u32 {
        self.running.get(&target).copied().unwrap_or_default()
    }
}
