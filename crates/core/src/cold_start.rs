//! Which routers may send to a cold target, and how much each.
//!
//! A cold target falls over under more than it bears, and all routers learn of it at the same moment. So a few
//! routers, the same in every router's reckoning, share its bound without a message.

use crate::hash;

/// The part of a cold target's bound that is used. The rest covers routers that disagree for a while about
/// who lives.
pub const USED_FRACTION: f64 = 0.8;

/// The requests a second for each router that sends to a cold target.
const GATEWAY_RATE_PER_S: f64 = 2.0;

/// Returns the requests a second that router `me` may send to a cold target that bears `limit_per_s`; zero for most
/// routers of a large fleet.
///
/// # Examples
///
/// ```
/// use sardinemux_core::cold_start;
///
/// let members = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];
/// let sum: f64 = members
///     .iter()
///     .map(|me| cold_start::rate_share(10.0, me, members.iter().copied(), "target"))
///     .sum();
/// assert!((sum - 8.0).abs() < 1e-9);
/// ```
pub fn rate_share<'a>(
    limit_per_s: f64,
    me: &str,
    members: impl Iterator<Item = &'a str>,
    target: &str,
) -> f64 {
    let score = |member: &str| hash::of(&[member.as_bytes(), target.as_bytes()]);
    let own_score = score(me);
    let mut gateways = 1;
    let mut preceding = 0;
    for member in members.filter(|member| *member != me) {
        gateways += 1;
        preceding += usize::from(score(member) > own_score);
    }
    let senders = ((limit_per_s / GATEWAY_RATE_PER_S).ceil() as usize).clamp(1, gateways);
    if preceding >= senders {
        return 0.0;
    }
    limit_per_s * USED_FRACTION / senders as f64
}
