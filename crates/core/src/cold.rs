//! Which routers may send to a cold target, and how much each.
//!
//! A cold target falls over under more than it bears, and all routers learn of it at the same moment. So a few
//! routers, the same in every router's reckoning, share its bound without a message.

use crate::hash;

/// The part of a cold target's bound that is used. The rest covers routers that disagree for a while about
/// who lives.
pub const USED_PART: f64 = 0.8;

/// The requests a second for each router that sends to a cold target.
const PER_ROUTER_S: f64 = 2.0;

/// Returns the requests a second that router `me` may send to a cold target that bears `per_s`; zero for most
/// routers of a large fleet.
///
/// # Examples
///
/// ```
/// use sardinemux_core::cold;
///
/// let members = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];
/// let sum: f64 = members
///     .iter()
///     .map(|me| cold::share(10.0, me, members.iter().copied(), "target"))
///     .sum();
/// assert!((sum - 8.0).abs() < 1e-9);
/// ```
pub fn share<'a>(
    per_s: f64,
    me: &str,
    members: impl Iterator<Item = &'a str>,
    target: &str,
) -> f64 {
    let score = |member: &str| hash::digest(&[member.as_bytes(), target.as_bytes()]);
    let mine = score(me);
    let mut count = 1;
    let mut before = 0;
    for member in members.filter(|member| *member != me) {
        count += 1;
        before += usize::from(score(member) > mine);
    }
    let senders = ((per_s / PER_ROUTER_S).ceil() as usize).clamp(1, count);
    if before >= senders {
        return 0.0;
    }
    per_s * USED_PART / senders as f64
}
