//! The warm-up state of a target: the number of concurrent requests that it handles, which is low while it is cold
//! and doubles as requests complete healthily.

/// The parameters of the warm-up.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The number of concurrent requests on a cold target.
    pub cold_limit: u32,
    /// The healthy completions after which the limit doubles.
    pub completions_per_doubling: u32,
    /// The multiple of the usual first-token time per token above which a completion counts as a latency jump.
    pub jump_factor: f64,
    /// The number of consecutive latency jumps after which the target counts as cold.
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

/// What the end of a request shows about its target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// The request completed.
    Completed {
        /// The time to the first token, in milliseconds.
        first_token_ms: f64,
        /// The prompt tokens that were not cached and had to be computed.
        computed_tokens: u32,
    },
    /// The connection was refused or closed early: the target may have restarted.
    ConnectionLost,
    /// Nothing can be concluded, for example because the caller disconnected.
    None,
}

/// First-token times are compared per computed token. This many tokens are added to each prompt for the part of the
/// time that does not depend on its length.
const FIXED_COST_TOKENS: f64 = 64.0;

/// The weight of the newest observation in the exponential moving average of the first-token time per token.
const SMOOTHING_FACTOR: f64 = 0.1;

/// The warm-up state of one target.
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
    /// Creates the state of a target of which nothing is known: the target counts as cold.
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

    /// Returns the number of concurrent requests that the target handles.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns whether the target handles as many concurrent requests as it has slots.
    pub fn is_warm(&self) -> bool {
        self.limit >= self.slots
    }

    /// Returns how long the target needs to compute this many prompt tokens, in milliseconds, or zero if no request
    /// has completed since it counted as cold.
    pub fn prefill_ms(&self, tokens: u64) -> f64 {
        self.smoothed_token_ms.unwrap_or(0.0) * tokens as f64
    }

    /// Falls back to the cold limit and forgets the usual latency.
    pub fn reset(&mut self) {
        self.limit = self.settings.cold_limit.min(self.slots);
        self.healthy_completions = 0;
        self.smoothed_token_ms = None;
        self.consecutive_jumps = 0;
    }

    /// Sets the incarnation of the target that responded, and resets the state if it differs from the known one.
    pub fn set_incarnation(&mut self, incarnation: u64) {
        if self.incarnation.is_some_and(|known| known != incarnation) {
            self.reset();
        }
        self.incarnation = Some(incarnation);
    }

    /// Raises the limit to what a former owner or the target's load report shows that the target handles.
    pub fn raise_to(&mut self, shown_limit: u32) {
        self.limit = self.limit.max(shown_limit.min(self.slots));
    }

    /// Updates the state from what the end of a request shows.
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
