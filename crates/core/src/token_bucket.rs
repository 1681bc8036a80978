//! A token bucket that limits requests a second.

/// A token bucket that starts full; a request takes one token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    refill_per_s: f64,
    burst: f64,
    available: f64,
    refilled_ms: u64,
}

impl TokenBucket {
    /// Creates a bucket that allows `burst` requests at once and `refill_per_s` a second after that.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::token_bucket::TokenBucket;
    ///
    /// let mut bucket = TokenBucket::new(2.0, 1.0, 0);
    /// assert!(bucket.try_take(0));
    /// assert!(!bucket.try_take(499));
    /// assert!(bucket.try_take(500));
    /// ```
    pub fn new(refill_per_s: f64, burst: f64, now_ms: u64) -> Self {
        Self {
            refill_per_s,
            burst,
            available: burst,
            refilled_ms: now_ms,
        }
    }

    /// Creates a bucket without tokens.
    pub fn empty(refill_per_s: f64, burst: f64, now_ms: u64) -> Self {
        Self {
            available: 0.0,
            ..Self::new(refill_per_s, burst, now_ms)
        }
    }

    /// Changes the number of requests a second. Tokens that were added before are kept.
    pub fn set_rate(&mut self, refill_per_s: f64, now_ms: u64) {
        self.refill(now_ms);
        self.refill_per_s = refill_per_s;
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_s = now_ms.saturating_sub(self.refilled_ms) as f64 / 1_000.0;
        self.refilled_ms = self.refilled_ms.max(now_ms);
        self.available = (self.available + elapsed_s * self.refill_per_s).min(self.burst);
    }

    /// Takes the token of one request, and returns whether there was one.
    pub fn try_take(&mut self, now_ms: u64) -> bool {
        self.refill(now_ms);
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
