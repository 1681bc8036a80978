//! Which gateways read the store, and whom the others follow.
//!
//! Load it answers: a change of one row that every gateway of a large fleet would read by itself, and a store that
//! turns some gateways away while it serves others. One gateway of each availability zone reads a topic; all reckon
//! alike which one, so that no message is needed to agree. A gateway that the store turns away says so, and the
//! next one takes over.

use std::cmp::Reverse;

use rand::seq::IndexedRandom;
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::hash;

/// How long a gateway that hears nobody who follows the store waits before it reads by itself, in milliseconds: the
/// time in which a silent reader's successor shows itself.
const FALLBACK_DELAY_MS: u64 = 1_200;

/// The spread of that wait over the gateways, in milliseconds, so that they do not all read at once.
const FALLBACK_SPREAD_MS: u64 = 800;

/// The first pause after a failed call, in milliseconds; doubled with each further one.
const RETRY_DELAY_MS: u64 = 100;

/// The longest pause between calls, in milliseconds: a part of the two seconds within which changes must be known.
const RETRY_DELAY_MAX_MS: u64 = 800;

/// The readers of one availability zone that may try in vain at the full rate. With more of them, each tries less
/// often, so that an outage of the store is not met with a call of every gateway.
const FULL_RATE_READERS: u64 = 2;

/// How a gateway stands to the store, for one topic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReaderState {
    /// It does not read the store.
    #[default]
    Idle,
    /// The store answers it.
    Following,
    /// It tries to read the store, in vain.
    #[serde(rename = "lost")]
    Failing,
}

/// What is known of a gateway, for one topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
    /// The bandwidth of its link, in Mbit/s: a reader passes every change on to its whole zone.
    pub link_mbps: u32,
    /// How it stands to the store.
    pub state: ReaderState,
    /// The version of the newest entry that it knows.
    pub newest_version: u64,
}

impl Peer<'_> {
    fn rank(&self) -> (Reverse<u32>, u64) {
        let spread = hash::digest(&[b"reader", self.name.as_bytes()]);
        (Reverse(self.link_mbps), spread)
    }
}

/// Returns whether gateway `me` is the one of its zone that reads the store: every one that ranks before it has lost
/// the store. `peers` are the others that were heard lately.
///
/// # Examples
///
/// ```
/// use sardinemux_core::readers::{self, Peer, ReaderState};
///
/// let peer = |name, link_mbps, state| Peer { name, zone: "z1", link_mbps, state, newest_version: 0 };
/// let me = peer("g1", 100, ReaderState::Idle);
/// assert!(!readers::is_reader(me, [peer("g2", 200, ReaderState::Idle)].into_iter()));
/// assert!(readers::is_reader(me, [peer("g2", 200, ReaderState::Failing)].into_iter()));
/// ```
pub fn is_reader<'a>(me: Peer<'_>, mut peers: impl Iterator<Item = Peer<'a>>) -> bool {
    peers.all(|peer| {
        peer.zone != me.zone || peer.state == ReaderState::Failing || peer.rank() > me.rank()
    })
}

/// Returns whether gateway `me` must read the store although another one ranks before it: nobody else follows the
/// store, and it has waited for `waited_ms` since somebody last did. One that reads already goes on until a better one
/// follows the store.
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

/// Returns the peer to follow: one that follows the store itself, of the own zone if possible.
pub fn choose_reader<'a>(zone: &str, peers: impl Iterator<Item = Peer<'a>>) -> Option<Peer<'a>> {
    let readers = peers.filter(|peer| peer.state == ReaderState::Following);
    readers.min_by_key(|peer| (peer.zone != zone, peer.rank()))
}

/// Returns a peer to ask for the whole of a topic: at random among those that know the newest entry, whether they read
/// the store or not, of the own zone if possible. Whoever has heard it can tell it, so that after the loss of all the
/// many gateways of a zone do not wait for the link of one.
///
/// # Examples
///
/// ```
/// use sardinemux_core::readers::{self, Peer, ReaderState};
///
/// let peer = |name, newest_version| {
///     Peer { name, zone: "z1", link_mbps: 10, state: ReaderState::Idle, newest_version }
/// };
/// let peers = [peer("g1", 7), peer("g2", 0)];
/// let informed = readers::choose_snapshot_peer("z1", peers.into_iter(), &mut rand::rng());
/// assert_eq!(informed.unwrap().name, "g1");
/// assert!(readers::choose_snapshot_peer("z1", std::iter::empty(), &mut rand::rng()).is_none());
/// ```
pub fn choose_snapshot_peer<'a>(
    zone: &str,
    peers: impl Iterator<Item = Peer<'a>>,
    random: &mut impl Rng,
) -> Option<Peer<'a>> {
    let known: Vec<Peer<'a>> = peers.filter(|peer| peer.newest_version > 0).collect();
    let newest = known.iter().map(|peer| peer.newest_version).max()?;
    let rank = |peer: &Peer<'a>| (peer.newest_version < newest, peer.zone != zone);
    let best = known.iter().map(rank).min()?;
    let best: Vec<&Peer<'a>> = known.iter().filter(|peer| rank(peer) == best).collect();
    best.choose(random).map(|peer| **peer)
}

/// How far gateway `me` is with a topic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// The version of the newest entry that it knows.
    pub newest_version: u64,
    /// The version of the store up to which it knows every entry.
    pub complete_version: u64,
}

/// Returns the peer that knows the most, if that is more than `progress`. The path of a gateway to the store, or of the
/// one that it follows, may have fallen silent without a reset, and a reader may have lost the store right after it
/// read a change.
pub fn find_newer_peer<'a>(
    progress: Progress,
    peers: impl Iterator<Item = Peer<'a>>,
) -> Option<Peer<'a>> {
    let knows_more = |peer: &Peer<'_>| match peer.state {
        ReaderState::Following => peer.newest_version > progress.newest_version,
        ReaderState::Idle | ReaderState::Failing => peer.newest_version > progress.complete_version,
    };
    peers
        .filter(knows_more)
        .max_by_key(|peer| peer.newest_version)
}

/// Returns the pause after some failed calls in a row, in milliseconds, at random, while `lost` gateways of the
/// zone, this one among them, try in vain.
///
/// # Examples
///
/// ```
/// use sardinemux_core::readers;
///
/// assert!(readers::retry_delay_ms(1, 1, &mut rand::rng()) <= 200);
/// assert!(readers::retry_delay_ms(9, 20, &mut rand::rng()) >= 4_000);
/// ```
pub fn retry_delay_ms(failures: u32, lost: usize, random: &mut impl Rng) -> u64 {
    let most = (RETRY_DELAY_MS << failures.min(6)).min(RETRY_DELAY_MAX_MS);
    let crowd = (lost as u64).div_ceil(FULL_RATE_READERS).max(1);
    let most = most * crowd;
    random.random_range(most / 2..=most)
}
