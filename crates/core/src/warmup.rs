//! How much a target can bear while it is cold, and how that grows on evidence.

/// Limits of the cold start.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The requests that a cold target bears at once.
    pub cold_limit: u32,
    /// The healthy completions at the cold limit before the limit grows.
    pub completions_per_doubling: u32,
    /// A first-token time this many times the usual one counts as a jump.
    pub jump_factor: f64,
    /// The number of jumps in a row that show a cold target.
    pub jumps_to_reset: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            cold_limit: 2,
            completions_per_doubling: 8,
            jump_factor: 6.0,
            jumps_to_reset: 3,
        }
    }
}

/// What a finished request tells of its target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// It completed; the time to the first token, and the prompt tokens that were not cached.
    Completed {
        /// Milliseconds to the first token.
        first_token_ms: f64,
        /// Prompt tokens that had to be computed.
        computed_tokens: u32,
    },
    /// The connection was refused or cut: the target may have restarted.
    ConnectionLost,
    /// Nothing can be told, for example as the caller left.
    None,
}

/// The first-token time is compared per computed token; this many are added for the fixed part.
const FIXED_COST_TOKENS: f64 = 64.0;

/// The weight of the newest observation in the usual first-token time.
const SMOOTHING_FACTOR: f64 = 0.1;

/// How warm a target is.
#[derive(Clone, Debug)]
pub struct State {
    settings: Settings,
    limit: u32,
    slots: u32,
    healthy_completions: u32,
    incarnation: Option<u64>,
    smoothed_token_ms: Option<f64>,
    consecutive_jumps: u32,
}

impl State {
    /// Creates the state of a target of which nothing is known: it counts as cold.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::warmup::{Observation, Settings, State};
    ///
    /// let settings = Settings { cold_limit: 2, completions_per_doubling: 2, ..Settings::default() };
    /// let mut warmup = State::new(settings, 8);
    /// assert_eq!(warmup.limit(), 2);
    /// let healthy = Observation::Completed { first_token_ms: 50.0, computed_tokens: 10 };
    /// warmup.observe(healthy);
    /// warmup.observe(healthy);
    /// assert_eq!(warmup.limit(), 4);
    /// warmup.observe(Observation::ConnectionLost);
    /// assert_eq!(warmup.limit(), 2);
    /// ```
    pub fn new(settings: Settings, slots: u32) -> Self {
        Self {
            limit: settings.cold_limit.min(slots.max(1)),
            slots: slots.max(1),
            settings,
            healthy_completions: 0,
            incarnation: None,
            smoothed_token_ms: None,
            consecutive_jumps: 0,
        }
    }

    /// Returns the requests that the target bears at once.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns whether the target bears its full number of requests.
    pub fn is_warm(&self) -> bool {
        self.limit >= self.slots
    }

    /// Returns how long the target needs to compute this many prompt tokens, in milliseconds; zero
    /// where that is not known.
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        self.smoothed_token_ms.unwrap_or(0.0) * tokens as f64
    }

    /// Falls back to the cold limit.
    pub fn reset(&mut self) {
        self.limit = self.settings.cold_limit.min(self.slots);
        self.healthy_completions = 0;
        self.smoothed_token_ms = None;
        self.consecutive_jumps = 0;
    }

    /// Notes which incarnation of the target spoke, and falls back if it is another one.
    pub fn set_incarnation(&mut self, incarnation: u64) {
        if self.incarnation.is_some_and(|known| known != incarnation) {
            self.reset();
        }
        self.incarnation = Some(incarnation);
    }

    /// Takes over what an earlier owner, or the target's own report, shows that it bears.
    pub fn raise_to(&mut self, shown_limit: u32) {
        self.limit = self.limit.max(shown_limit.min(self.slots));
    }

    /// Takes in what a finished request tells.
    pub fn observe(&mut self, observation: Observation) {
        match observation {
            Observation::None => {}
            Observation::ConnectionLost => self.reset(),
            Observation::Completed {
                first_token_ms,
                computed_tokens,
            } => self.observe_completion(first_token_ms, computed_tokens),
        }
    }

    fn observe_completion(&mut self, first_token_ms: f64, computed_tokens: u32) {
        let token_ms = first_token_ms / (f64::from(computed_tokens) + FIXED_COST_TOKENS);
        let smoothed_token_ms = self.smoothed_token_ms.unwrap_or(token_ms);
        if token_ms > smoothed_token_ms * self.settings.jump_factor {
            self.consecutive_jumps += 1;
            if self.consecutive_jumps >= self.settings.jumps_to_reset {
                self.reset();
            }
            return;
        }
        self.consecutive_jumps = 0;
        self.smoothed_token_ms =
            Some(smoothed_token_ms + SMOOTHING_FACTOR * (token_ms - smoothed_token_ms));
        self.count_completion();
    }

    fn count_completion(&mut self) {
        if self.is_warm() {
            return;
        }
        self.healthy_completions += 1;
        if self.healthy_completions >= self.settings.completions_per_doubling {
            self.healthy_completions = 0;
            self.limit = (self.limit * 2).min(self.slots);
        }
    }
}
