//! The division of a target's request rate among the gateways: of a cold target, and of one that states its limit.
//!
//! Such a target fails under more load than it can handle, and all gateways learn of it at about the same moment. So a few
//! gateways, which all of them compute alike from the list of members, divide its limit without messages.

use crate::hash;

/// The fraction of a limit that is used. The rest covers gateways whose lists of live members differ for a while.
pub const USED_FRACTION: f64 = 0.8;

/// The part of a limit, in requests a second, for which one sending gateway is chosen.
const GATEWAY_RATE_PER_S: f64 = 2.0;

/// The further gateways that send to a target which states its limit. Such a limit lasts longer than the warm-up of a cold
/// target, and with a single sender a gateway would often have no target when a whole pool is limited.
const FURTHER_SENDERS: usize = 2;

/// The smallest limit that is divided, in requests a second. A target that states none at all gets a request now and
/// then, as only its answers show when the limit ends.
pub const LIMIT_MIN_PER_S: f64 = 0.1;

/// Returns the requests a second that gateway `me` may send to a cold target whose limit is `limit_per_s`; zero for
/// most gateways of a large fleet.
///
/// `members` names the live gateways; it may include `me`.
///
/// # Examples
///
/// ```
/// use sardinemux_core::rate_share;
///
/// let members = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];
/// let sum: f64 = members
///     .iter()
///     .map(|me| rate_share::cold(10.0, me, members.iter().copied(), "target"))
///     .sum();
/// assert!((sum - 8.0).abs() < 1e-9);
/// ```
pub fn cold<'a>(
    limit_per_s: f64,
    me: &str,
    members: impl Iterator<Item = &'a str>,
    target: &str,
) -> f64 {
    divide(limit_per_s, senders(limit_per_s), me, members, target)
}

/// Returns the requests a second that gateway `me` may send to a target that states the limit `limit_per_s`; zero for
/// most gateways of a large fleet.
///
/// # Examples
///
/// ```
/// use sardinemux_core::rate_share;
///
/// let members = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];
/// let shares = members
///     .iter()
///     .map(|me| rate_share::stated(1.5, me, members.iter().copied(), "target"));
/// let shares: Vec<f64> = shares.filter(|share| *share > 0.0).collect();
/// assert_eq!(shares.len(), 3);
/// assert!(shares.iter().all(|share| (share - 0.4).abs() < 1e-9));
/// ```
pub fn stated<'a>(
    limit_per_s: f64,
    me: &str,
    members: impl Iterator<Item = &'a str>,
    target: &str,
) -> f64 {
    let limit_per_s = limit_per_s.max(LIMIT_MIN_PER_S);
    let senders = senders(limit_per_s).saturating_add(FURTHER_SENDERS);
    divide(limit_per_s, senders, me, members, target)
}

fn senders(limit_per_s: f64) -> usize {
    (limit_per_s / GATEWAY_RATE_PER_S).ceil() as usize
}

fn divide<'a>(
    limit_per_s: f64,
    senders: usize,
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
    let senders = senders.clamp(1, gateways);
    if preceding >= senders {
        return 0.0;
    }
    limit_per_s * USED_FRACTION / senders as f64
}
