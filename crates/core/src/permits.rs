//! Permits for the targets of a pool that has few slots for many gateways.
//!
//! One gateway, the *dispatcher* of the pool, grants a permit for each request before it is sent, and keeps the queue of the requests
//! that wait. Without it, no gateway knows of the requests that others have begun in the last 0.1 s, so that requests meet full
//! targets, or wait in the queue of one while another is idle.

pub mod backlog;
pub mod command;
mod timing;

use std::cmp::Reverse;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::collection::{Candidate, Number};
use crate::hash;

use self::backlog::Backlog;
use self::timing::Timing;

/// The time from the end of a request until the next one arrives at the target, in milliseconds: the datagrams of the end and of the
/// grant, and the request itself, between zones that are up to 1.4 ms apart, and the work of gateways with an eighth of a core.
pub const TRIP_MS: u64 = 10;

/// The time for which a target has requests in its own queue, in milliseconds, so that no slot is idle while the end of one request and the
/// grant of the next are on their way. Gateways with an eighth of a core take some tens of milliseconds for both under load.
pub const AHEAD_MS: u64 = 40;

/// The multiple of the mean time of requests after which a permit whose end was not heard no longer takes room. The reports of the
/// gateways show what still runs by then.
const OVERDUE_MULTIPLE: f64 = 6.0;

/// Added to that time, in milliseconds: reports and sums are up to 250 ms old.
const OVERDUE_SLACK_MS: f64 = 250.0;

/// The share of slots by which a target in another availability zone counts as busier, as a hop costs up to 3 ms.
const OTHER_ZONE_LOAD: f64 = 0.5;

/// Identifies a request of a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// The name of the gateway.
    pub gateway: SmolStr,
    /// Its number of the request, which begins at random with each process.
    pub number: u64,
}

/// A request for a permit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The request.
    pub ticket: Ticket,
    /// A hash of the name of its route.
    pub route: u32,
    /// The organisation; empty if there is none.
    pub organisation: SmolStr,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The availability zone of the gateway.
    pub zone: SmolStr,
    /// The digest of what the caller sent, equal for its repeats.
    pub content: u64,
    /// The time until the request must have been answered, in milliseconds.
    pub left_ms: u32,
    /// The rest of the time of its latency objective, in milliseconds.
    pub objective_ms: u32,
    /// The targets that the gateway has tried or cannot use.
    pub avoided: Vec<Number>,
}

/// How a request with a permit ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The target completed it in this time, in milliseconds.
    #[serde(rename = "C")]
    Completed(u32),
    /// The target rejected it, as it is full.
    #[serde(rename = "F")]
    Rejected,
    /// It failed, was given up, or its permit was not used.
    #[serde(rename = "O")]
    Other,
}

/// What becomes of a request. The names are short in datagrams, of which a dispatcher sends one for each request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Decision {
    /// It may be sent to a target.
    #[serde(rename = "G")]
    Granted(Number),
    /// It waits.
    #[serde(rename = "Q")]
    Queued,
    /// It cannot be served in time. The caller may return after this time, in milliseconds.
    #[serde(rename = "R")]
    Refused(u32),
    /// The dispatcher knows of no target for it, so that its gateway decides.
    #[serde(rename = "D")]
    Declined,
    /// The dispatcher stops or another one has replaced it, so that the gateway asks again.
    #[serde(rename = "M")]
    Moved,
}

/// A decision about a request that was waiting.
pub type Notice = (Ticket, Decision);

/// A target as the dispatcher sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Destination {
    /// The number of the target.
    pub number: Number,
    /// Its availability zone.
    pub zone: SmolStr,
    /// The number of requests that it serves concurrently.
    pub slots: u32,
    /// The requests on it that reports and sums show.
    pub reported: u32,
    /// Whether it may get requests.
    pub is_usable: bool,
}

/// A granted permit that has not been returned.
#[derive(Clone, Debug)]
struct Permit {
    target: Number,
    route: u32,
    /// When it was granted, in milliseconds.
    at_ms: u64,
    /// When the request is at its deadline, in milliseconds.
    expires_ms: u64,
}

/// What the dispatcher has granted of one target.
#[derive(Clone, Copy, Debug, Default)]
struct Granted {
    running: u32,
    /// The greatest number since `peak_ms`, and in the interval before: reports are older than the grants.
    peak: u32,
    former_peak: u32,
    peak_ms: u64,
    /// Until when a target that has rejected a request gets none, in milliseconds.
    full_until_ms: u64,
}

/// The interval over which the peak of the grants is kept, in milliseconds: the usual greatest age of reports and sums.
const PEAK_MS: u64 = 250;

impl Granted {
    fn roll(&mut self, now_ms: u64) {
        if now_ms.saturating_sub(self.peak_ms) >= PEAK_MS {
            self.former_peak = self.peak;
            self.peak = self.running;
            self.peak_ms = now_ms;
        }
        self.peak = self.peak.max(self.running);
    }
}

/// The permits and the queue of one pool.
#[derive(Clone, Debug, Default)]
pub struct Dispatcher {
    permits: IndexMap<Ticket, Permit>,
    granted: IndexMap<Number, Granted>,
    backlog: Backlog,
    timing: Timing,
    /// When the caller that was refused last may return, in milliseconds.
    return_ms: u64,
}

impl Dispatcher {
    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.backlog.len()
    }

    /// Returns the number of permits that have been granted for a target and not returned.
    pub fn granted(&self, target: Number) -> u32 {
        self.granted.get(&target).map_or(0, |it| it.running)
    }

    /// Returns the names of the gateways that hold permits or wait.
    pub fn gateways(&self) -> Vec<SmolStr> {
        let holders = self.permits.keys().map(|ticket| &ticket.gateway);
        let mut names: Vec<SmolStr> = holders.chain(self.backlog.gateways()).cloned().collect();
        names.sort();
        names.dedup();
        names
    }

    /// Returns the number of requests that a target may have: its slots, and as many places of its queue as it finishes within
    /// [`AHEAD_MS`], so that no slot waits for a grant: `slots + ceil(slots * AHEAD_MS / time)`, at most twice the slots.
    pub fn capacity(&self, destination: &Destination) -> u32 {
        let slots = destination.slots.max(1);
        let ahead = f64::from(slots) * AHEAD_MS as f64 / self.timing.time_ms(None).max(1.0);
        slots + (ahead.ceil() as u32).clamp(1, slots)
    }

    /// Returns the requests on a target: those with permits, and those that reports show beyond the permits.
    fn load(&self, destination: &Destination) -> u32 {
        let known = self.granted.get(&destination.number).copied();
        let Granted {
            running,
            peak,
            former_peak,
            ..
        } = known.unwrap_or_default();
        let foreign = destination.reported.saturating_sub(peak.max(former_peak));
        running + foreign
    }

    /// Returns the number of requests for which there is room now.
    fn free(&self, destinations: &[Destination]) -> u32 {
        let usable = destinations
            .iter()
            .filter(|destination| destination.is_usable);
        usable
            .map(|destination| {
                self.capacity(destination)
                    .saturating_sub(self.load(destination))
            })
            .sum()
    }

    /// Returns the target with room where a request is served first, by `(load + 1) * speed / slots`.
    fn choose(
        &self,
        request: &Request,
        destinations: &[Destination],
        now_ms: u64,
    ) -> Option<Number> {
        let open = destinations.iter().filter(|destination| {
            let known = self.granted.get(&destination.number);
            destination.is_usable
                && !request.avoided.contains(&destination.number)
                && known.is_none_or(|it| now_ms >= it.full_until_ms)
                && self.load(destination) < self.capacity(destination)
        });
        let cost = |destination: &Destination| {
            let speed = self.timing.speed(destination.number, now_ms);
            let slots = f64::from(destination.slots.max(1));
            let distance = match destination.zone == request.zone {
                true => 0.0,
                false => OTHER_ZONE_LOAD,
            };
            (f64::from(self.load(destination)) + 1.0 + distance) * speed / slots
        };
        let best = open.min_by(|left, right| cost(left).total_cmp(&cost(right)));
        best.map(|destination| destination.number)
    }

    /// Returns the requests a millisecond that the targets complete while they have no room, by Little's law:
    /// `sum(capacity) / time`.
    fn drain_per_ms(&self, destinations: &[Destination]) -> f64 {
        let usable = destinations
            .iter()
            .filter(|destination| destination.is_usable);
        let room: u32 = usable.map(|destination| self.capacity(destination)).sum();
        f64::from(room) / self.timing.time_ms(None).max(1.0)
    }
}

/// Returns the names of the gateways that may be the dispatcher of a pool, in the order in which they are asked: widest link first.
///
/// # Examples
///
/// ```
/// use sardinemux_core::collection::Candidate;
/// use sardinemux_core::permits;
///
/// let gateway = |name, link_mbps| Candidate { name, zone: "z", link_mbps };
/// let ranked = permits::rank("pool", [gateway("a", 10), gateway("b", 200)].into_iter());
/// assert_eq!(ranked, ["b", "a"]);
/// ```
pub fn rank<'a>(pool: &str, gateways: impl Iterator<Item = Candidate<'a>>) -> Vec<&'a str> {
    let mut found: Vec<Candidate<'a>> = gateways.collect();
    found.sort_by_cached_key(|it| {
        let score = hash::digest(&[b"dispatcher", pool.as_bytes(), it.name.as_bytes()]);
        (Reverse(it.link_mbps), score)
    });
    found.into_iter().map(|it| it.name).collect()
}

/// Returns whether a pool has so few slots that no gateway can decide by its own requests: fewer than twice the gateways.
///
/// # Examples
///
/// ```
/// use sardinemux_core::permits;
///
/// assert!(permits::is_scarce(18, 23));
/// assert!(!permits::is_scarce(18, 9));
/// ```
pub fn is_scarce(slots: u32, gateways: usize) -> bool {
    slots > 0 && u64::from(slots) < 2 * gateways as u64
}
