//! Limits on the attempts at one request, and the `Retry-After` delay of a refused caller.
//!
//! The limits keep a request from visiting a whole pool when single targets, or all of them, fail, hang or reject
//! requests.

use rand::Rng;

use crate::catalog::Route;
use crate::outcome::Outcome;

/// The largest number of rejections after which a request is still sent to another target.
const REJECTIONS_MAX: u32 = 4;

/// The largest number of failures to send after which a request is still sent to another target. When a part of a pool
/// crashes, several targets in a row may be unreachable before the platform removes them from its list. A refused
/// connection costs a round trip of about 6 ms, so this many still leave time within an objective of 100 ms.
const SEND_FAILURES_MAX: u32 = 12;

/// The time without a first byte after which a repeatable request is sent to another target, as a multiple of the
/// latency objective of its route.
const FIRST_BYTE_OBJECTIVES: u64 = 2;

/// The smallest first-byte timeout, in milliseconds.
const FIRST_BYTE_TIMEOUT_MIN_MS: u64 = 400;

/// The shortest time without an event after which callers give up a stream, in milliseconds.
const CALLER_PATIENCE_MIN_MS: u64 = 2_000;

/// Callers wait for the next event of a stream for at least this multiple of the latency objective of its route.
const CALLER_PATIENCE_OBJECTIVES: u64 = 4;

/// The smallest `Retry-After` delay, in milliseconds.
pub const RETRY_AFTER_MIN_MS: u64 = 150;

/// The largest `Retry-After` delay, in milliseconds.
pub const RETRY_AFTER_MAX_MS: u64 = 1_200;

/// The remaining time of a caller, divided by this, is the largest `Retry-After` delay that it is given. Callers wait
/// for at most a third of their remaining time.
const RETRY_AFTER_DIVISOR: u64 = 4;

/// The number of targets on which an answer breaks off before its first part after which the request is not sent again:
/// it may be the cause.
pub const EARLY_BREAKS_MAX: u32 = 2;

/// The attempts at one request so far, counted by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    /// The number of targets on which the request ran or may have run.
    pub possible_runs: u32,
    /// The number of targets that received the request and provably did not run it.
    pub rejections: u32,
    /// The number of targets that the request did not reach, for example because the connection was refused.
    pub send_failures: u32,
}

impl Attempts {
    /// Returns whether the request may be sent to another target after an attempt that provably did not run it.
    pub fn may_try_next_target(&self) -> bool {
        self.rejections <= REJECTIONS_MAX && self.send_failures <= SEND_FAILURES_MAX
    }

    /// Returns whether a request that may have run may be sent again: it must be repeatable, and its route must allow
    /// another attempt.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::attempts::Attempts;
    /// use sardinemux_core::catalog::{Kind, Route};
    ///
    /// let route = Route { kind: Kind::Safe, attempts_max: 2, ..Route::default() };
    /// assert!(Attempts { possible_runs: 1, ..Attempts::default() }.may_run_again(&route));
    /// assert!(!Attempts { possible_runs: 2, ..Attempts::default() }.may_run_again(&route));
    /// ```
    pub fn may_run_again(&self, route: &Route) -> bool {
        route.kind.is_repeatable() && self.possible_runs < route.attempts_max
    }

    /// Returns whether any target may have received the request.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::attempts::Attempts;
    ///
    /// assert!(!Attempts { send_failures: 1, ..Attempts::default() }.has_arrived());
    /// assert!(Attempts { rejections: 1, ..Attempts::default() }.has_arrived());
    /// ```
    pub fn has_arrived(&self) -> bool {
        self.possible_runs > 0 || self.rejections > 0
    }

    /// Returns the outcome to report if no further target is tried.
    pub fn outcome(&self) -> Outcome {
        match self.possible_runs {
            0 => Outcome::NotRun,
            _ => Outcome::Unknown,
        }
    }

    /// Returns the first-byte timeout of the next attempt, in milliseconds. Returns `None` if no other target may be
    /// tried after that attempt, so that only the deadline of the request bounds it.
    pub fn first_byte_timeout_ms(&self, route: &Route) -> Option<u64> {
        let has_another = self.possible_runs + 1 < route.attempts_max;
        let timeout_ms =
            (route.objective_ms * FIRST_BYTE_OBJECTIVES).max(FIRST_BYTE_TIMEOUT_MIN_MS);
        (route.kind.is_repeatable() && has_another).then_some(timeout_ms)
    }
}

/// Returns the time without data, in milliseconds, after which another target is asked for the rest of a resumable stream.
///
/// A sound target may be silent for a second and more, so that this is as long as callers' patience allows: three
/// quarters of the time after which they give up.
///
/// # Examples
///
/// ```
/// use sardinemux_core::attempts;
/// use sardinemux_core::catalog::Route;
///
/// let route = Route { objective_ms: 1_000, ..Route::default() };
/// assert_eq!(attempts::chunk_timeout_ms(&route), 3_000);
/// ```
pub fn chunk_timeout_ms(route: &Route) -> u64 {
    let patience_ms = route.objective_ms * CALLER_PATIENCE_OBJECTIVES;
    patience_ms.max(CALLER_PATIENCE_MIN_MS) * 3 / 4
}

/// Returns the `Retry-After` delay, in milliseconds, of a refused caller whose deadline is `left_ms` away.
///
/// The delay is drawn at random, so that callers that were refused together do not return together. It is at least
/// [`RETRY_AFTER_MIN_MS`], even if less time is left.
///
/// # Examples
///
/// ```
/// use sardinemux_core::attempts;
///
/// assert!(attempts::retry_after_ms(1_000, &mut rand::rng()) <= 250);
/// ```
pub fn retry_after_ms(left_ms: u64, random: &mut impl Rng) -> u64 {
    let longest_ms = (left_ms / RETRY_AFTER_DIVISOR).clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
    random.random_range(RETRY_AFTER_MIN_MS..=longest_ms)
}
