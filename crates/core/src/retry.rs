//! When a repeatable request may be tried again.

use rand::Rng;

/// Bounds of the retries.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Retries that each first attempt earns.
    pub ratio: f64,
    /// The most retries that can be saved up.
    pub balance_max: f64,
    /// The longest first pause, in milliseconds.
    pub backoff_base_ms: u64,
    /// The longest pause, in milliseconds.
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

/// The retries that a router still has: a dying zone cannot multiply the load by more than
/// `1 + ratio` for long.
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

    /// Takes other bounds, as the number of routers that share them changes.
    pub fn update_settings(&mut self, settings: Settings) {
        self.settings = settings;
        self.balance = self.balance.min(settings.balance_max);
    }

    /// Notes a first attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.settings.ratio).min(self.settings.balance_max);
    }

    /// Takes one retry out of the budget and returns whether there was one.
    pub fn try_withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Returns the pause before the given retry, counted from 0: exponential, with full jitter.
    ///
    /// Source: Brooker, "Exponential backoff and jitter", AWS Architecture Blog, 2015.
    pub fn backoff_ms(&self, retry: u32, random: &mut impl Rng) -> u64 {
        let longest = self
            .settings
            .backoff_base_ms
            .saturating_mul(1 << retry.min(16))
            .min(self.settings.backoff_max_ms);
        random.random_range(0..=longest)
    }
}
