//! When a repeatable request may be tried again.

use rand::Rng;

/// Bounds of the retries.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Retries that each first attempt earns.
    pub earned: f64,
    /// The most retries that can be saved up.
    pub saved_max: f64,
    /// The longest first pause, in milliseconds.
    pub pause_ms: u64,
    /// The longest pause, in milliseconds.
    pub pause_max_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            earned: 0.2,
            saved_max: 50.0,
            pause_ms: 20,
            pause_max_ms: 1_000,
        }
    }
}

/// The retries that a router still has: a dying zone cannot multiply the load by more than
/// `1 + earned` for long.
#[derive(Clone, Debug)]
pub struct Budget {
    settings: Settings,
    saved: f64,
}

impl Budget {
    /// Creates a full budget.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::retry::{Budget, Settings};
    ///
    /// let mut budget = Budget::new(Settings { saved_max: 1.0, ..Settings::default() });
    /// assert!(budget.spend());
    /// assert!(!budget.spend());
    /// ```
    pub fn new(settings: Settings) -> Self {
        Self {
            saved: settings.saved_max,
            settings,
        }
    }

    /// Takes other bounds, as the number of routers that share them changes.
    pub fn adjust(&mut self, settings: Settings) {
        self.settings = settings;
        self.saved = self.saved.min(settings.saved_max);
    }

    /// Notes a first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.settings.earned).min(self.settings.saved_max);
    }

    /// Takes one retry out of the budget and returns whether there was one.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    /// Returns the pause before the given retry, counted from 0: exponential, with full jitter.
    ///
    /// Source: Brooker, "Exponential backoff and jitter", AWS Architecture Blog, 2015.
    pub fn pause_ms(&self, retry: u32, random: &mut impl Rng) -> u64 {
        let longest = self
            .settings
            .pause_ms
            .saturating_mul(1 << retry.min(16))
            .min(self.settings.pause_max_ms);
        random.random_range(0..=longest)
    }
}
