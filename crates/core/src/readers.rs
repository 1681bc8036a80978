//! The choice of the gateways that read the store, and of the peers from which the others get its entries.
//!
//! This bounds the load on the store in a large fleet, where otherwise every gateway would read each changed row, and
//! tolerates a store that rejects some gateways while it serves others. One gateway of each availability zone reads a
//! topic. All gateways compute the same choice from the reports that they exchange anyway, so that no further messages
//! are needed to agree. A gateway that the store rejects reports this, and the next one in rank takes over.

use std::cmp::Reverse;

use rand::seq::IndexedRandom;
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::hash;
use crate::position::{Era, Position};

/// The delay before a gateway reads the store as a fallback when no peer reports that it follows the store, in
/// milliseconds: the time in which the successor of a silent reader reports itself.
const FALLBACK_DELAY_MS: u64 = 1_200;

/// The range over which that delay is spread among the gateways, in milliseconds, so that they do not all read at once.
const FALLBACK_SPREAD_MS: u64 = 800;

/// The shortest delay after a first failed call, in milliseconds; doubled with each further failed call in a row.
const RETRY_DELAY_MS: u64 = 100;

/// The longest delay while at most two readers of an availability zone fail, in milliseconds: a part of the two seconds within which
/// changes must be known.
pub const RETRY_DELAY_MAX_MS: u64 = 800;

/// The number of failing readers of one availability zone that retry at the full rate. With more of them, each retries
/// less often, so that the rate of calls during an outage of the store does not grow with the number of gateways.
const FULL_RATE_READERS: u64 = 2;

/// The state of a gateway as a reader of the store, for one topic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReaderState {
    /// The gateway does not read the store.
    #[default]
    Idle,
    /// The gateway reads the store, and its calls succeed.
    Following,
    /// The gateway tries to read the store, and its calls fail.
    #[serde(rename = "lost")]
    Failing,
}

/// The reported state of a gateway, for one topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer<'a> {
    /// The name of the gateway.
    pub name: &'a str,
    /// The availability zone of the gateway.
    pub zone: &'a str,
    /// The bandwidth of its network link, in Mbit/s. A reader sends every change to its whole zone, so the widest link
    /// is preferred.
    pub link_mbps: u32,
    /// Its state as a reader of the store.
    pub state: ReaderState,
    /// The position of the newest entry that it has. Its era is that of the last complete list.
    pub newest: Position,
}

impl Peer<'_> {
    /// Returns the sort key for the choice of a reader: the widest link first, then a hash of the name.
    fn rank(&self) -> (Reverse<u32>, u64) {
        let name_hash = hash::digest(&[b"reader", self.name.as_bytes()]);
        (Reverse(self.link_mbps), name_hash)
    }
}

/// The time after a gateway has learned of an era of the store in which its peers learn of it too and report that, in
/// milliseconds: three rounds of reports.
const ERA_NOTICE_MS: u64 = 750;

/// The latest era of the store that a gateway knows of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KnownEra {
    /// The era.
    pub era: Era,
    /// Since when it is known, in milliseconds.
    pub since_ms: u64,
}

impl KnownEra {
    /// Returns whether a peer that reported at `reported_ms` to be at a position may have reached this era. One that has not holds
    /// entries of a former era, or is of a build that states none, and does not read on behalf of others that know of this era.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::position::Position;
    /// use sardinemux_core::readers::KnownEra;
    ///
    /// let known = KnownEra { era: Some(2), since_ms: 1_000 };
    /// assert!(known.includes(Position::new(Some(2), 5), 9_000));
    /// assert!(known.includes(Position::new(Some(1), 5), 900));
    /// assert!(!known.includes(Position::new(Some(1), 5), 9_000));
    /// ```
    pub fn includes(self, newest: Position, reported_ms: u64) -> bool {
        newest.era >= self.era || reported_ms < self.since_ms + ERA_NOTICE_MS
    }
}

/// Returns whether gateway `me` is the reader of its availability zone: every gateway of the zone that ranks before it
/// fails to read the store. `peers` are the other gateways whose reports are recent.
///
/// # Examples
///
/// ```
/// use sardinemux_core::position::Position;
/// use sardinemux_core::readers::{self, Peer, ReaderState};
///
/// let peer = |name, link_mbps, state| Peer { name, zone: "z1", link_mbps, state, newest: Position::default() };
/// let me = peer("g1", 100, ReaderState::Idle);
/// assert!(!readers::is_reader(me, [peer("g2", 200, ReaderState::Idle)].into_iter()));
/// assert!(readers::is_reader(me, [peer("g2", 200, ReaderState::Failing)].into_iter()));
/// ```
pub fn is_reader<'a>(me: Peer<'_>, mut peers: impl Iterator<Item = Peer<'a>>) -> bool {
    peers.all(|peer| {
        peer.zone != me.zone || peer.state == ReaderState::Failing || peer.rank() > me.rank()
    })
}

/// Returns whether gateway `me` reads the store although it is not the reader of its availability zone.
///
/// This is so if no peer follows the store and `waited_ms`, the time since one last did, has reached the fallback delay
/// of this gateway. A gateway that already follows the store continues until one that ranks before it does so too.
pub fn is_fallback_reader<'a>(
    me: Peer<'_>,
    mut peers: impl Iterator<Item = Peer<'a>>,
    waited_ms: u64,
) -> bool {
    let is_following = |peer: &Peer<'_>| peer.state == ReaderState::Following;
    if is_following(&me) {
        return peers.all(|peer| !is_following(&peer) || peer.rank() > me.rank());
    }
    let spread_ms = hash::digest(&[b"alone", me.name.as_bytes()]) % FALLBACK_SPREAD_MS;
    waited_ms >= FALLBACK_DELAY_MS + spread_ms && !peers.any(|peer| is_following(&peer))
}

/// The factor by which the link of a reader is narrower than that of the widest one if the followers of its zone prefer a reader
/// elsewhere.
const NARROW_FACTOR: u32 = 10;

/// Returns the peer from which to get changes: the first in rank that follows the store, in availability zone `zone` if
/// there is one whose link is not far narrower than that of a reader elsewhere.
///
/// A reader behind such a link sends a large change to its zone in seconds, one behind a wide link in a fraction of a second.
///
/// # Examples
///
/// ```
/// use sardinemux_core::readers::{self, Peer, ReaderState};
///
/// let reader = |name, zone, link_mbps| {
///     Peer { name, zone, link_mbps, state: ReaderState::Following, newest: 1.into() }
/// };
/// let near = reader("near", "z1", 100);
/// let choose = |far| readers::choose_reader("z1", [near, far].into_iter()).unwrap().name;
/// assert_eq!(choose(reader("far", "z2", 200)), "near");
/// assert_eq!(choose(reader("far", "z2", 1_000)), "far");
/// ```
pub fn choose_reader<'a>(zone: &str, peers: impl Iterator<Item = Peer<'a>>) -> Option<Peer<'a>> {
    let readers = peers.filter(|peer| peer.state == ReaderState::Following);
    let readers: Vec<Peer<'a>> = readers.collect();
    let widest_mbps = readers.iter().map(|peer| peer.link_mbps).max()?;
    let is_narrow = |peer: &Peer<'_>| peer.link_mbps.saturating_mul(NARROW_FACTOR) <= widest_mbps;
    let preference = |peer: &Peer<'a>| (is_narrow(peer), peer.zone != zone, peer.rank());
    readers.into_iter().min_by_key(preference)
}

/// Returns the names of the gateways that follow the store, in whatever availability zone, by their rank.
///
/// # Examples
///
/// ```
/// use sardinemux_core::readers::{self, Peer, ReaderState};
///
/// let peer = |name, link_mbps, state| {
///     Peer { name, zone: "z1", link_mbps, state, newest: 1.into() }
/// };
/// let peers = [
///     peer("g1", 10, ReaderState::Following),
///     peer("g2", 100, ReaderState::Following),
///     peer("g3", 100, ReaderState::Idle),
/// ];
/// assert_eq!(readers::rank_readers(peers.into_iter()), ["g2", "g1"]);
/// ```
pub fn rank_readers<'a>(gateways: impl Iterator<Item = Peer<'a>>) -> Vec<&'a str> {
    let readers = gateways.filter(|peer| peer.state == ReaderState::Following);
    let mut readers: Vec<Peer<'a>> = readers.collect();
    readers.sort_by_key(Peer::rank);
    readers.into_iter().map(|peer| peer.name).collect()
}

/// Returns a peer to ask for the complete snapshot of a topic, or `None` if no peer has an entry.
///
/// The peer is chosen at random among those that have the newest entry, in availability zone `zone` if there are any,
/// whether they read the store or not. So when all gateways have lost their state, the many gateways of a zone do not
/// share the link of one.
///
/// # Examples
///
/// ```
/// use sardinemux_core::readers::{self, Peer, ReaderState};
///
/// let peer = |name, version: u64| {
///     Peer { name, zone: "z1", link_mbps: 10, state: ReaderState::Idle, newest: version.into() }
/// };
/// let peers = [peer("g1", 7), peer("g2", 0)];
/// let peer = readers::choose_snapshot_peer("z1", peers.into_iter(), &mut rand::rng());
/// assert_eq!(peer.unwrap().name, "g1");
/// assert!(readers::choose_snapshot_peer("z1", std::iter::empty(), &mut rand::rng()).is_none());
/// ```
pub fn choose_snapshot_peer<'a>(
    zone: &str,
    peers: impl Iterator<Item = Peer<'a>>,
    random: &mut impl Rng,
) -> Option<Peer<'a>> {
    let known: Vec<Peer<'a>> = peers.filter(|peer| peer.newest.version > 0).collect();
    let newest = known.iter().map(|peer| peer.newest).max()?;
    let rank = |peer: &Peer<'a>| (peer.newest < newest, peer.zone != zone);
    let best = known.iter().map(rank).min()?;
    let best: Vec<&Peer<'a>> = known.iter().filter(|peer| rank(peer) == best).collect();
    best.choose(random).map(|peer| **peer)
}

/// The positions up to which a gateway has the entries of a topic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// The position of the newest entry that the gateway has.
    pub newest: Position,
    /// The position up to which the gateway has every entry.
    pub complete: Position,
}

/// Returns a peer with the newest entry, if it is newer than `progress`: one whose link is not far narrower than that of others, in
/// availability zone `zone` if there is one. Among several it is chosen at random, so that followers do not share the link of one.
///
/// A peer that follows the store is compared with the newest entry, any other peer with the position up to which all
/// entries are present. Such a peer exists if the connection of this gateway to the store, or that of the gateway that
/// it gets changes from, has stalled without a reset, or if a reader lost the store right after it read a change.
pub fn find_newer_peer<'a>(
    progress: Progress,
    zone: &str,
    peers: impl Iterator<Item = Peer<'a>>,
    random: &mut impl Rng,
) -> Option<Peer<'a>> {
    let is_newer = |peer: &Peer<'_>| match peer.state {
        ReaderState::Following => peer.newest > progress.newest,
        ReaderState::Idle | ReaderState::Failing => peer.newest > progress.complete,
    };
    let newer: Vec<Peer<'a>> = peers.filter(is_newer).collect();
    let newest = newer.iter().map(|peer| peer.newest).max()?;
    let widest_mbps = newer.iter().map(|peer| peer.link_mbps).max()?;
    let rank = |peer: &Peer<'a>| {
        let is_narrow = peer.link_mbps.saturating_mul(NARROW_FACTOR) <= widest_mbps;
        (peer.newest < newest, is_narrow, peer.zone != zone)
    };
    let best = newer.iter().map(rank).min()?;
    let best: Vec<Peer<'a>> = newer.into_iter().filter(|it| rank(it) == best).collect();
    best.choose(random).copied()
}

/// Returns a random delay before the next call to the store, in milliseconds, after `failures` failed calls in a row.
/// `failing` is the number of gateways of the availability zone, including this one, whose calls fail.
///
/// # Examples
///
/// ```
/// use sardinemux_core::readers;
///
/// assert!(readers::retry_delay_ms(1, 1, &mut rand::rng()) <= 200);
/// assert!(readers::retry_delay_ms(9, 20, &mut rand::rng()) >= 4_000);
/// ```
pub fn retry_delay_ms(failures: u32, failing: usize, random: &mut impl Rng) -> u64 {
    let max_ms = (RETRY_DELAY_MS << failures.min(6)).min(RETRY_DELAY_MAX_MS);
    let factor = (failing as u64).div_ceil(FULL_RATE_READERS).max(1);
    let max_ms = max_ms * factor;
    random.random_range(max_ms / 2..=max_ms)
}
