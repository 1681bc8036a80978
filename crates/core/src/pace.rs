//! A bound on requests a second, as a token bucket.

/// A token bucket that starts full.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    per_s: f64,
    burst: f64,
    saved: f64,
    at_ms: u64,
}

impl Pace {
    /// Creates a bucket that lets `burst` requests pass at once and `per_s` a second after that.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::pace::Pace;
    ///
    /// let mut pace = Pace::new(2.0, 1.0, 0);
    /// assert!(pace.take(0));
    /// assert!(!pace.take(499));
    /// assert!(pace.take(500));
    /// ```
    pub fn new(per_s: f64, burst: f64, now_ms: u64) -> Self {
        Self {
            per_s,
            burst,
            saved: burst,
            at_ms: now_ms,
        }
    }

    /// Lets one request pass, if the bound allows it.
    pub fn take(&mut self, now_ms: u64) -> bool {
        let elapsed_s = now_ms.saturating_sub(self.at_ms) as f64 / 1_000.0;
        self.at_ms = self.at_ms.max(now_ms);
        self.saved = (self.saved + elapsed_s * self.per_s).min(self.burst);
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
