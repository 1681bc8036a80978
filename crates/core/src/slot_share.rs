//! The division of the slots of a pool's targets among the gateways, while the targets state that they are brittle.
//!
//! A brittle target falls over if it has to reject more than a few requests in a second. A gateway learns of a rejection only
//! afterwards, so that all gateways together send no more requests than the targets run at once. Each gateway computes its
//! part from the lists of targets and members, without messages.

use smol_str::SmolStr;

use crate::hash;

/// The fraction of the slots that is used. The rest covers slots that a target holds for requests which have ended, and gateways
/// whose lists of live members differ for a while.
pub const USED_FRACTION: f64 = 0.75;

/// Returns the number of requests that gateway `me` may have in flight on `target`. `targets` are those of the pool with their
/// slots, `members` the live gateways; it may include `me`.
///
/// The used slots of all targets, in the order of their ids, are dealt to the gateways in turn.
///
/// # Examples
///
/// ```
/// use sardinemux_core::slot_share;
///
/// let members = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];
/// let targets = [("t0".into(), 6), ("t1".into(), 6), ("t2".into(), 6)];
/// let shares = members.iter().map(|me| {
///     slot_share::of("p", me, members.iter().copied(), &targets, "t1")
/// });
/// assert_eq!(shares.sum::<u32>(), 4);
/// ```
pub fn of<'a>(
    pool: &str,
    me: &str,
    members: impl Iterator<Item = &'a str>,
    targets: &[(SmolStr, u32)],
    target: &str,
) -> u32 {
    let (rank, count) = rank(pool, me, members);
    let before = targets.iter().filter(|(id, _)| id.as_str() < target);
    let first: u32 = before.map(|(_, slots)| used(*slots)).sum();
    let found = targets.iter().find(|(id, _)| id == target);
    let end = first + found.map_or(0, |(_, slots)| used(*slots));
    dealt(end, rank, count) - dealt(first, rank, count)
}

/// Returns whether gateway `me` may have requests in flight on any target of the pool. In a fleet with more gateways than used
/// slots, only some have.
///
/// # Examples
///
/// ```
/// use sardinemux_core::slot_share;
///
/// let members: Vec<String> = (0..100).map(|index| format!("g{index}")).collect();
/// let names = || members.iter().map(String::as_str);
/// let targets = [("t0".into(), 6), ("t1".into(), 6), ("t2".into(), 6)];
/// let holders = names().filter(|me| slot_share::has_share("p", me, names(), &targets));
/// assert_eq!(holders.count(), 12);
/// ```
pub fn has_share<'a>(
    pool: &str,
    me: &str,
    members: impl Iterator<Item = &'a str>,
    targets: &[(SmolStr, u32)],
) -> bool {
    let (rank, _) = rank(pool, me, members);
    let total: u32 = targets.iter().map(|(_, slots)| used(*slots)).sum();
    rank < total
}

/// Returns the position of gateway `me` in an order of all gateways that differs from pool to pool, and their number.
fn rank<'a>(pool: &str, me: &str, members: impl Iterator<Item = &'a str>) -> (u32, u32) {
    let score = |name: &str| hash::digest(&[b"slots", pool.as_bytes(), name.as_bytes()]);
    let own = (score(me), me);
    let mut rank = 0;
    let mut count = 1;
    for name in members.filter(|name| *name != me) {
        count += 1;
        rank += u32::from((score(name), name) < own);
    }
    (rank, count)
}

/// Returns the number of slots of a target that are used; at least one.
fn used(slots: u32) -> u32 {
    ((f64::from(slots) * USED_FRACTION) as u32).max(1)
}

/// Returns how many of the first `slots` slots the gateway at `rank` of `count` gateways gets.
fn dealt(slots: u32, rank: u32, count: u32) -> u32 {
    slots / count + u32::from(slots % count > rank)
}
