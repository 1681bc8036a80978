//! The budget of retries that one process may make, and the backoff before each retry.

use rand::Rng;

/// The bounds of retries and backoff.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The retries that each first attempt adds to the budget.
    pub ratio: f64,
    /// The largest number of retries that the budget holds.
    pub balance_max: f64,
    /// The upper bound of the first backoff, in milliseconds; it doubles with each retry.
    pub backoff_base_ms: u64,
    /// The upper bound of any backoff, in milliseconds.
    pub backoff_max_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            balance_max: 50.0,
            backoff_base_ms: 20,
            backoff_max_ms: 1_000,
        }
    }
}

/// The retries that one process may still make.
///
/// Once the saved balance is used up, retries multiply the load by at most `1 + ratio`, even while a whole availability
/// zone fails.
#[derive(Clone, Debug)]
pub struct Budget {
    settings: Settings,
    balance: f64,
}

impl Budget {
    /// Creates a full budget.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::retry::{Budget, Settings};
    ///
    /// let mut budget = Budget::new(Settings { balance_max: 1.0, ..Settings::default() });
    /// assert!(budget.try_withdraw());
    /// assert!(!budget.try_withdraw());
    /// ```
    pub fn new(settings: Settings) -> Self {
        Self {
            balance: settings.balance_max,
            settings,
        }
    }

    /// Replaces the bounds, for example when the number of processes that share them changes. A balance above the
    /// new maximum is cut to it.
    pub fn update_settings(&mut self, settings: Settings) {
        self.settings = settings;
        self.balance = self.balance.min(settings.balance_max);
    }

    /// Adds the share of a retry that a first attempt earns.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.settings.ratio).min(self.settings.balance_max);
    }

    /// Withdraws one retry and returns `true`, or returns `false` if less than one is left.
    pub fn try_withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Returns the backoff before a retry, in milliseconds: exponential, with full jitter. Retries are counted from 0.
    ///
    /// Source: Brooker, "Exponential backoff and jitter", AWS Architecture Blog, 2015.
    pub fn backoff_ms(&self, retry: u32, random: &mut impl Rng) -> u64 {
        let longest_ms = self
            .settings
            .backoff_base_ms
            .saturating_mul(1 << retry.min(16))
            .min(self.settings.backoff_max_ms);
        random.random_range(0..=longest_ms)
    }
}
