//! Whether the end of an answer shows that the answer is complete, where nothing but the end of its connection marks it.
//!
//! A request states the time for which its sender waits. A target stops work at the end of that time and closes the
//! connection, which then looks like the end of a complete answer. So an unmarked end counts as forced from
//! `granted - margin` after the request was sent on, where
//!
//! `margin = 1 ms + min(granted / 8, 50 ms)`.
//!
//! The time is stated in whole milliseconds, and the target measures it by a clock of its own and stops between two steps
//! of its work.

use std::time::Duration;

/// The granularity of the stated time.
const GRANULARITY: Duration = Duration::from_millis(1);

/// The granted time divided by this bounds the margin, so that most of a short time remains for complete answers.
const MARGIN_DIVISOR: u32 = 8;

/// The largest margin: more than one step of a target's work.
const MARGIN_MAX: Duration = Duration::from_millis(50);

/// Returns whether an unmarked end may be due to the time limit of the target. `elapsed` is the time since a request was
/// sent that granted the target the time `granted`.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use sardinemux_core::ending;
///
/// let granted = Duration::from_secs(6);
/// assert!(!ending::is_forced(Duration::from_secs(5), granted));
/// assert!(ending::is_forced(Duration::from_millis(5_999), granted));
/// assert!(ending::is_forced(Duration::from_millis(6_001), granted));
/// ```
pub fn is_forced(elapsed: Duration, granted: Duration) -> bool {
    let margin = GRANULARITY + (granted / MARGIN_DIVISOR).min(MARGIN_MAX);
    elapsed + margin >= granted
}
