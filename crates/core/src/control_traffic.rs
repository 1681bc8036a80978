//! The rate limit of a router's control traffic.

/// The purpose of a control message. The most urgent variant comes first; each may use bytes that are reserved against
/// the variants after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// Configuration changes, and messages that correctness depends on.
    Config,
    /// Evacuated availability zones and leaving targets.
    Leaving,
    /// Membership gossip between routers.
    Membership,
    /// Load samples and load reports.
    Load,
}

impl Purpose {
    /// Returns the fraction of the bucket's capacity that this purpose must leave to more urgent ones.
    fn reserved_ratio(self) -> f64 {
        match self {
            Self::Config => 0.0,
            Self::Leaving => 0.1,
            Self::Membership => 0.25,
            Self::Load => 0.5,
        }
    }
}

/// A token bucket whose tokens are bytes. Its capacity is `BURST_S` seconds of the rate.
#[derive(Clone, Debug)]
pub struct Budget {
    bytes_per_s: f64,
    available_bytes: f64,
    refilled_at_ms: u64,
}

/// The capacity of the bucket, in seconds of its rate.
const BURST_S: f64 = 4.0;

impl Budget {
    /// Creates a full bucket.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::control_traffic::{Budget, Purpose};
    ///
    /// let mut budget = Budget::new(1_000, 0);
    /// assert!(budget.try_withdraw(Purpose::Load, 2_000, 0));
    /// assert!(!budget.try_withdraw(Purpose::Load, 1, 0));
    /// assert!(budget.try_withdraw(Purpose::Config, 2_000, 0));
    /// ```
    pub fn new(bytes_per_s: u32, now_ms: u64) -> Self {
        let bytes_per_s = f64::from(bytes_per_s);
        Self {
            bytes_per_s,
            available_bytes: bytes_per_s * BURST_S,
            refilled_at_ms: now_ms,
        }
    }

    /// Withdraws bytes and returns `true`, or returns `false` and withdraws nothing if this would use up bytes that are
    /// reserved for more urgent purposes.
    pub fn try_withdraw(&mut self, purpose: Purpose, bytes: usize, now_ms: u64) -> bool {
        self.refill(now_ms);
        let capacity_bytes = self.bytes_per_s * BURST_S;
        let bytes = bytes as f64;
        if self.available_bytes - bytes < capacity_bytes * purpose.reserved_ratio() {
            return false;
        }
        self.available_bytes -= bytes;
        true
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_s = now_ms.saturating_sub(self.refilled_at_ms) as f64 / 1_000.0;
        self.refilled_at_ms = self.refilled_at_ms.max(now_ms);
        let capacity_bytes = self.bytes_per_s * BURST_S;
        self.available_bytes =
            (self.available_bytes + elapsed_s * self.bytes_per_s).min(capacity_bytes);
    }
}
