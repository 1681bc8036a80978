//! The division of a cold target's request rate among the gateways.
//!
//! A cold target fails under more load than it can handle, and all gateways learn of it at the same moment. So a few
//! gateways, which all of them compute alike from the list of members, divide its rate limit without messages.

use crate::hash;

/// The fraction of a cold target's rate limit that is used. The rest covers gateways whose lists of live members
/// differ for a while.
pub const USED_FRACTION: f64 = 0.8;

/// The part of a cold target's rate limit, in requests a second, for which one sending gateway is chosen.
const GATEWAY_RATE_PER_S: f64 = 2.0;

/// Returns the requests a second that gateway `me` may send to a cold target whose limit is `limit_per_s`; zero for
/// most gateways of a large fleet.
///
/// `members` names the live gateways; it may include `me`.
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
    let score = |member: &str| hash::digest(&[member.as_bytes(), target.as_bytes()]);
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
