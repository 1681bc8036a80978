//! How often one request may be sent, and what its caller is told when nothing more may be tried.
//!
//! Load it answers: targets that fail, hang or turn requests away, alone or all at once.

use rand::Rng;

use crate::catalog::Route;
use crate::outcome::Outcome;

/// The targets that may turn one request away before its caller is told to come back.
const REJECTIONS_MAX: u32 = 4;

/// The targets to which no connection is made before the caller is told to come back. Each that refuses costs a round
/// trip of some 6 ms, so that this many still leave time within an objective of 100 ms; when a part of a pool
/// crashes, several in a row may be gone before the platform's list says so.
const SEND_FAILURES_MAX: u32 = 12;

/// A repeatable request is tried elsewhere after this multiple of its objective without a first byte.
const FIRST_BYTE_OBJECTIVES: u64 = 2;

/// The shortest time that a target is given for its first byte, in milliseconds.
const FIRST_BYTE_TIMEOUT_MIN_MS: u64 = 400;

/// The shortest time after which a refused caller is asked to come back, in milliseconds.
pub const RETRY_AFTER_MIN_MS: u64 = 150;

/// The longest time after which a refused caller is asked to come back, in milliseconds.
pub const RETRY_AFTER_MAX_MS: u64 = 1_200;

/// The part of the remaining time after which a refused caller is asked to come back at the latest; callers wait
/// for a third of it at most.
const RETRY_AFTER_DIVISOR: u64 = 4;

/// The attempts at one request so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    /// The targets on which it may have run.
    pub possible_runs: u32,
    /// The targets that received it and provably did not run it.
    pub rejections: u32,
    /// The targets to which no connection was made.
    pub send_failures: u32,
}

impl Attempts {
    /// Returns whether the request may be sent again after "not run".
    pub fn may_try_next_target(&self) -> bool {
        self.rejections <= REJECTIONS_MAX && self.send_failures <= SEND_FAILURES_MAX
    }

    /// Returns whether a request that may have run may run once more.
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

    /// Returns what may be said of the request if nothing more is tried.
    pub fn outcome(&self) -> Outcome {
        match self.possible_runs {
            0 => Outcome::NotRun,
            _ => Outcome::Unknown,
        }
    }

    /// Returns how long a target may take to its first byte, in milliseconds, where it need not be the last one that
    /// is tried; nothing where it must be waited for.
    pub fn first_byte_timeout_ms(&self, route: &Route) -> Option<u64> {
        let has_another = self.possible_runs + 1 < route.attempts_max;
        let patience_ms =
            (route.objective_ms * FIRST_BYTE_OBJECTIVES).max(FIRST_BYTE_TIMEOUT_MIN_MS);
        (route.kind.is_repeatable() && has_another).then_some(patience_ms)
    }
}

/// Returns when a refused caller that has some time left should come back, in milliseconds: at random, so that those
/// who were refused together do not return together.
///
/// # Examples
///
/// ```
/// use sardinemux_core::attempts;
///
/// assert!(attempts::retry_after_ms(1_000, &mut rand::rng()) <= 250);
/// ```
pub fn retry_after_ms(left_ms: u64, random: &mut impl Rng) -> u64 {
    let most_ms = (left_ms / RETRY_AFTER_DIVISOR).clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
    random.random_range(RETRY_AFTER_MIN_MS..=most_ms)
}
