//! Detection of a suspended process: paused with its instance, stopped by a signal, or starved of CPU time.
//!
//! The state that such a process holds may be out of date, and its monotonic clock may not have counted the pause.
//! Heartbeats are therefore compared on the boot-time clock, which keeps counting while the instance is suspended.

/// The shortest time between two heartbeats that counts as a suspension, in milliseconds.
///
/// It is several periods of the reports that trigger heartbeats, and less than the two seconds within which the
/// departure of a target must be known.
const SUSPENSION_MIN_MS: u64 = 1_250;

/// Detects suspensions of the process from the times of its heartbeats.
#[derive(Clone, Copy, Debug, Default)]
pub struct Detector {
    last_ms: Option<u64>,
}

impl Detector {
    /// Records a heartbeat at `boot_ms`, the time since the start of the machine in milliseconds.
    ///
    /// Returns the time since the previous heartbeat, in milliseconds, if it is long enough to count as a suspension.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::suspension::Detector;
    ///
    /// let mut detector = Detector::default();
    /// assert_eq!(detector.note_heartbeat(9_000), None);
    /// assert_eq!(detector.note_heartbeat(9_250), None);
    /// assert_eq!(detector.note_heartbeat(14_250), Some(5_000));
    /// ```
    pub fn note_heartbeat(&mut self, boot_ms: u64) -> Option<u64> {
        let last_ms = self.last_ms.replace(boot_ms);
        let pause_ms = boot_ms.saturating_sub(last_ms?);
        (pause_ms >= SUSPENSION_MIN_MS).then_some(pause_ms)
    }
}
