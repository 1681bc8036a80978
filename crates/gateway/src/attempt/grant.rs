//! The time that a request states to its recipient, which stops work at its end.

use std::time::Duration;

use sardinemux_core::ending;
use tokio::time::Instant;

/// The time that a recipient was given, in whole milliseconds, and when.
#[derive(Clone, Copy, Debug)]
pub struct Grant {
    given_at: Instant,
    time: Duration,
}

impl Grant {
    /// Returns the time until a deadline; `None` if less than a millisecond is left.
    pub fn until(deadline: Instant) -> Option<Self> {
        let given_at = Instant::now();
        let left_ms = deadline.saturating_duration_since(given_at).as_millis() as u64;
        (left_ms > 0).then_some(Self {
            given_at,
            time: Duration::from_millis(left_ms),
        })
    }

    /// Returns the time in milliseconds.
    pub fn as_millis(&self) -> u64 {
        self.time.as_millis() as u64
    }

    /// Returns whether the recipient may have stopped work by now because its time is over.
    pub fn may_be_over(&self) -> bool {
        ending::is_forced(self.given_at.elapsed(), self.time)
    }
}
