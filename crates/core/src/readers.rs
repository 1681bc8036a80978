//! Which gateways read the store, and whom the others follow.
//!
//! Load it answers: a change of one row that every gateway of a large fleet would read by itself. One gateway of each
//! availability zone reads; all reckon alike which one, so that no message is needed to agree.

use crate::hash;

/// What is known of another gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
    /// Whether it follows the store itself.
    pub is_following: bool,
    /// The version of the newest entry that it knows.
    pub newest: u64,
}

fn rank(name: &str) -> u64 {
    hash::of(&[b"reader", name.as_bytes()])
}

/// Returns whether a gateway is the one of its zone that reads the store. `peers` are those that were heard lately.
///
/// # Examples
///
/// ```
/// use sardinemux_core::readers;
///
/// assert!(readers::is_reader("g1", "z1", std::iter::empty()));
/// ```
pub fn is_reader<'a>(name: &str, zone: &str, mut peers: impl Iterator<Item = Peer<'a>>) -> bool {
    let mine = rank(name);
    peers.all(|peer| peer.zone != zone || rank(peer.name) > mine)
}

/// Returns the peer to follow: one that follows the store itself, of the own zone if possible.
pub fn best<'a>(zone: &str, peers: impl Iterator<Item = Peer<'a>>) -> Option<Peer<'a>> {
    let readers = peers.filter(|peer| peer.is_following);
    readers.min_by_key(|peer| (peer.zone != zone, rank(peer.name)))
}

/// Returns the peer that follows the store and knows the most, if that is more than `newest`. The path of a gateway to
/// the store, or of the one that it follows, may have fallen silent without a reset.
pub fn ahead<'a>(newest: u64, peers: impl Iterator<Item = Peer<'a>>) -> Option<Peer<'a>> {
    let readers = peers.filter(|peer| peer.is_following && peer.newest > newest);
    readers.max_by_key(|peer| peer.newest)
}
