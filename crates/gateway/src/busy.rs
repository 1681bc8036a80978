//! How late the tasks of the process run, and the longest time for which it has worked without letting its other tasks go on. A peer
//! whose bytes are processed for so long holds up all others.
//!
//! A tick that comes late by `d` while the process has used `c` of processor time since the one before shows a busy time of
//! `min(d, c)`: a process that waited for a processor, or was suspended, has used none.

use std::time::{Duration, Instant};

use sardinemux_host::clock::Clock;

/// The delay from which on a tick is logged.
const LOGGED_MIN: Duration = Duration::from_millis(250);

/// The last tick, the longest busy time and the longest delay so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Meter {
    last: Option<(Instant, Duration)>,
    longest: Duration,
    latest: Duration,
}

impl Meter {
    /// Records a tick of a task whose ticks are `interval` apart, and logs a long delay. Does nothing on a machine that
    /// does not count processor time.
    pub fn note_tick(&mut self, clock: &Clock, interval: Duration) {
        let Some(used) = clock.processor_time() else {
            return;
        };
        let (late, busy) = self.note(Instant::now(), used, interval);
        if busy >= LOGGED_MIN {
            log::warn!(busy_ms = busy.as_millis() as u64; "the process has worked for long without a pause");
        } else if late >= LOGGED_MIN {
            log::warn!(late_ms = late.as_millis() as u64, busy_ms = busy.as_millis() as u64; "the process runs late");
        }
    }

    /// Records a tick at a time, with the processor time that the process has used. Returns its delay, and the busy time since
    /// the last one.
    fn note(&mut self, at: Instant, used: Duration, interval: Duration) -> (Duration, Duration) {
        let Some((last_at, last_used)) = self.last.replace((at, used)) else {
            return Default::default();
        };
        let late = at.duration_since(last_at).saturating_sub(interval);
        let busy = late.min(used.saturating_sub(last_used));
        self.longest = self.longest.max(busy);
        self.latest = self.latest.max(late);
        (late, busy)
    }

    /// Returns the longest delay so far.
    pub fn latest(&self) -> Duration {
        self.latest
    }

    /// Returns the longest busy time so far.
    pub fn longest(&self) -> Duration {
        self.longest
    }
}
