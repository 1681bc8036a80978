//! Noticing that a process stood still: suspended with its instance, stopped by a signal, or starved.
//!
//! What such a process believed before may have changed meanwhile, and its own steady clock may not have counted the
//! time. So beats are compared by a clock that does.

/// A pause between two beats that counts as having stood still, in milliseconds: several periods of the reports
/// that drive the beats, and less than the two seconds within which a leaving target must be known.
const SUSPENSION_MIN_MS: u64 = 1_250;

/// The beats of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Detector {
    last_ms: Option<u64>,
}

impl Detector {
    /// Notes a beat, and returns the pause before it, in milliseconds, if the process stood still.
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
