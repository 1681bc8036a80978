//! The bytes a second that a router may spend on control traffic.

/// What a control message is for; an earlier variant may use what a later one may not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// Configuration changes.
    Config,
    /// Availability zones and leaving targets.
    Leaving,
    /// Membership of routers.
    Membership,
    /// Load samples and reports.
    Load,
}

impl Purpose {
    /// Returns the part of the saved bytes that must be left over for more urgent purposes.
    fn reserved_ratio(self) -> f64 {
        match self {
            Self::Config => 0.0,
            Self::Leaving => 0.1,
            Self::Membership => 0.25,
            Self::Load => 0.5,
        }
    }
}

/// A token bucket of bytes.
#[derive(Clone, Debug)]
pub struct Budget {
    bytes_per_s: f64,
    available_bytes: f64,
    refilled_at_ms: u64,
}

/// The seconds for which unused bytes are saved up.
const BURST_S: f64 = 4.0;

impl Budget {
    /// Creates a full budget.
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

    /// Takes bytes out of the budget and returns whether this purpose may have them.
    pub fn try_withdraw(&mut self, purpose: Purpose, bytes: usize, now_ms: u64) -> bool {
        self.refill(now_ms);
        let most = self.bytes_per_s * BURST_S;
        let bytes = bytes as f64;
        if self.available_bytes - bytes < most * purpose.reserved_ratio() {
            return false;
        }
        self.available_bytes -= bytes;
        true
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_s = now_ms.saturating_sub(self.refilled_at_ms) as f64 / 1_000.0;
        self.refilled_at_ms = self.refilled_at_ms.max(now_ms);
        let most = self.bytes_per_s * BURST_S;
        self.available_bytes = (self.available_bytes + elapsed_s * self.bytes_per_s).min(most);
    }
}
