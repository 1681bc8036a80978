//! The monotonic clock of a process.

use std::time::Instant;

/// Counts milliseconds since the process began; never set back, and never compared between instances.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    begin: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            begin: Instant::now(),
        }
    }
}

impl Clock {
    /// Returns the milliseconds since the process began.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_host::clock::Clock;
    ///
    /// let clock = Clock::default();
    /// assert!(clock.now_ms() <= clock.now_ms());
    /// ```
    pub fn now_ms(&self) -> u64 {
        self.begin.elapsed().as_millis() as u64
    }
}
