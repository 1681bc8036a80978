//! The share of the new build over the time of a rollout.
//!
//! With the ramp `R`, the new build is a canary until `CANARY_PART * R`. Until then it gets at most `USED_PART` of the exposure that a bad
//! build is allowed. From then on its share doubles each `DOUBLING_PART * R` until it is 1. A build that turns bad later than all evidence
//! could show still gets about the allowed exposure until `R`:
//!
//! `USED_PART * exposure_share * CANARY_PART + (1 - CANARY_PART) <= exposure_share * (1 + USED_PART)`, with the default share.
//!
//! The rest of the ramp is left for the requests that are in flight at the former build.

use super::Settings;

/// The part of the ramp in which the new build is a canary. Builds that turn bad late, or under load, are found out in this time.
const CANARY_PART: f64 = 0.9;

/// The part of the ramp in which the share doubles after that.
const DOUBLING_PART: f64 = 0.005;

/// The part of the allowed exposure that is used.
const USED_PART: f64 = 0.4;

/// The largest share of a canary, whatever the slack allows.
const CANARY_SHARE_MAX: f64 = 0.25;

/// The smallest number of targets that get requests. A verdict needs failures at several targets.
const TARGETS_MIN: u32 = 3;

/// The load of a canary target, as a multiple of that of a target of the former build. A build may be bad only under more load than usual, which
/// the traffic may bring later.
const CANARY_LOAD: f64 = 1.5;

/// The time from which the counts of all gateways show the rate of requests, in milliseconds. Counts reach the decider up to half a second late.
/// A rate that seems too low makes the slack seem large in proportion.
const RATE_KNOWN_MS: u64 = 1_000;

/// What the share depends on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Progress {
    /// The time since the rollout began, in milliseconds.
    pub elapsed_ms: u64,
    /// The time over which the traffic moves, in milliseconds.
    pub ramp_ms: u64,
    /// The requests that were sent to the new build.
    pub new: u64,
    /// The requests that were sent to both builds.
    pub all: u64,
}

/// Returns the share of the new build, from 0 to 1.
///
/// # Examples
///
/// ```
/// use sardinemux_core::rollout::plan::{self, Progress};
/// use sardinemux_core::rollout::Settings;
///
/// let at = |elapsed_ms, new, all| {
///     let progress = Progress { elapsed_ms, ramp_ms: 12_000, new, all };
///     plan::share(Settings::default(), progress)
/// };
/// assert!(at(1_000, 5, 300) < 0.1);
/// assert_eq!(at(3_000, 150, 900), 0.0);
/// assert_eq!(at(11_200, 150, 3_300), 1.0);
/// ```
pub fn share(settings: Settings, progress: Progress) -> f64 {
    let Progress {
        elapsed_ms,
        ramp_ms,
        new,
        all,
    } = progress;
    let position = elapsed_ms as f64 / ramp_ms.max(1) as f64;
    let allowed = USED_PART * (settings.exposure_share * all as f64 + settings.exposure_slack);
    let canary_position = (position / CANARY_PART).min(1.0);
    // The slack is used up evenly, so that a build which turns bad late has not got all of it at once.
    let slack = USED_PART * settings.exposure_slack;
    let expected_all = all as f64 / canary_position.max(f64::EPSILON);
    let slack_share = match elapsed_ms < RATE_KNOWN_MS {
        true => 0.0,
        false => slack / expected_all.max(1.0),
    };
    let canary = USED_PART * settings.exposure_share + slack_share;
    let canary = canary.min(CANARY_SHARE_MAX);
    if position < CANARY_PART {
        return match (new as f64) < allowed {
            true => canary,
            false => 0.0,
        };
    }
    let doublings = (position - CANARY_PART) / DOUBLING_PART;
    (canary * doublings.exp2()).min(1.0)
}

/// Returns the number of targets of the new build that get requests, so that each has somewhat more load than a target of the former build.
///
/// # Examples
///
/// ```
/// use sardinemux_core::rollout::plan;
///
/// assert_eq!(plan::targets(0.1, 90, 90), 6);
/// assert_eq!(plan::targets(0.01, 90, 90), 3);
/// assert_eq!(plan::targets(1.0, 90, 60), 60);
/// ```
pub fn targets(share: f64, former: u32, new: u32) -> u32 {
    let loaded = (share * f64::from(former) / CANARY_LOAD).ceil() as u32;
    match share >= 1.0 {
        true => new,
        false => loaded.max(TARGETS_MIN).min(new),
    }
}
