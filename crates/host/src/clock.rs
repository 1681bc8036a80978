//! The monotonic clock of a process.

use std::time::{Duration, Instant};

use nix::time::{clock_gettime, ClockId};

/// Counts milliseconds since the process began; never set back, and never compared between instances.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            start: Instant::now(),
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
        self.start.elapsed().as_millis() as u64
    }

    /// Returns the milliseconds since the instance was started, the time that it was suspended included; nothing where
    /// the kernel does not tell.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_host::clock::Clock;
    ///
    /// assert!(Clock::default().boot_ms() <= Clock::default().boot_ms());
    /// ```
    pub fn boot_ms(&self) -> Option<u64> {
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME).ok()?;
        Some(Duration::from(time).as_millis() as u64)
    }
}
