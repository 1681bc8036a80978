//! The monotonic clock of a process, and the time since its instance was booted.

use std::time::{Duration, Instant};

use nix::time::{clock_gettime, ClockId};

/// A monotonic clock that counts from its creation. Its times must not be compared between instances.
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
    /// Returns the milliseconds since the clock was created.
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

    /// Returns the milliseconds since the instance was booted, including the time that it was suspended, or `None` if
    /// the kernel has no such clock.
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

    /// Returns the processor time that all threads of the process have used, or `None` if the kernel does not count it.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_host::clock::Clock;
    ///
    /// assert!(Clock::default().processor_time() <= Clock::default().processor_time());
    /// ```
    pub fn processor_time(&self) -> Option<Duration> {
        let time = clock_gettime(ClockId::CLOCK_PROCESS_CPUTIME_ID).ok()?;
        Some(Duration::from(time))
    }
}
