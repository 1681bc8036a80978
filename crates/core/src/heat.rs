//! How much a target can bear while it is cold, and how that grows on evidence.

/// Limits of the cold start.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The requests that a cold target bears at once.
    pub cold_limit: u32,
    /// The healthy completions at the cold limit before the limit grows.
    pub completions: u32,
    /// A first-token time this many times the usual one counts as a jump.
    pub jump_factor: f64,
    /// The number of jumps in a row that show a cold target.
    pub jumps: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            cold_limit: 2,
            completions: 8,
            jump_factor: 6.0,
            jumps: 3,
        }
    }
}

/// What a finished request tells of its target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Evidence {
    /// It completed; the time to the first token, and the prompt tokens that were not cached.
    Completed {
        /// Milliseconds to the first token.
        first_token_ms: f64,
        /// Prompt tokens that had to be computed.
        computed_tokens: u32,
    },
    /// The connection was refused or cut: the target may have restarted.
    Lost,
    /// Nothing can be told, for example as the caller left.
    Nothing,
}

/// The first-token time is compared per computed token; this many are added for the fixed part.
const FIXED_TOKENS: f64 = 64.0;

/// The weight of the newest observation in the usual first-token time.
const SMOOTHING: f64 = 0.1;

/// How warm a target is.
#[derive(Clone, Debug)]
pub struct Heat {
    settings: Settings,
    limit: u32,
    slots: u32,
    completions: u32,
    incarnation: Option<u64>,
    usual_ms: Option<f64>,
    jumps: u32,
}

impl Heat {
    /// Creates the state of a target of which nothing is known: it counts as cold.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::heat::{Evidence, Heat, Settings};
    ///
    /// let settings = Settings { cold_limit: 2, completions: 2, ..Settings::default() };
    /// let mut heat = Heat::new(settings, 8);
    /// assert_eq!(heat.limit(), 2);
    /// let healthy = Evidence::Completed { first_token_ms: 50.0, computed_tokens: 10 };
    /// heat.observe(healthy);
    /// heat.observe(healthy);
    /// assert_eq!(heat.limit(), 4);
    /// heat.observe(Evidence::Lost);
    /// assert_eq!(heat.limit(), 2);
    /// ```
    pub fn new(settings: Settings, slots: u32) -> Self {
        Self {
            limit: settings.cold_limit.min(slots.max(1)),
            slots: slots.max(1),
            settings,
            completions: 0,
            incarnation: None,
            usual_ms: None,
            jumps: 0,
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
    pub fn compute_ms(&self, tokens: u64) -> f64 {
        self.usual_ms.unwrap_or(0.0) * tokens as f64
    }

    /// Falls back to the cold limit.
    pub fn reset(&mut self) {
        self.limit = self.settings.cold_limit.min(self.slots);
        self.completions = 0;
        self.usual_ms = None;
        self.jumps = 0;
    }

    /// Notes which incarnation of the target spoke, and falls back if it is another one.
    pub fn note_incarnation(&mut self, incarnation: u64) {
        if self.incarnation.is_some_and(|known| known != incarnation) {
            self.reset();
        }
        self.incarnation = Some(incarnation);
    }

    /// Takes over what an earlier owner, or the target's own report, shows that it bears.
    pub fn raise_to(&mut self, borne: u32) {
        self.limit = self.limit.max(borne.min(self.slots));
    }

    /// Takes in what a finished request tells.
    pub fn observe(&mut self, evidence: Evidence) {
        match evidence {
            Evidence::Nothing => {}
            Evidence::Lost => self.reset(),
            Evidence::Completed {
                first_token_ms,
                computed_tokens,
            } => self.observe_completion(first_token_ms, computed_tokens),
        }
    }

    fn observe_completion(&mut self, first_token_ms: f64, computed_tokens: u32) {
        let pace_ms = first_token_ms / (f64::from(computed_tokens) + FIXED_TOKENS);
        let usual_ms = self.usual_ms.unwrap_or(pace_ms);
        if pace_ms > usual_ms * self.settings.jump_factor {
            self.jumps += 1;
            if self.jumps >= self.settings.jumps {
                self.reset();
            }
            return;
        }
        self.jumps = 0;
        self.usual_ms = Some(usual_ms + SMOOTHING * (pace_ms - usual_ms));
        self.grow();
    }

    fn grow(&mut self) {
        if self.is_warm() {
            return;
        }
        self.completions += 1;
        if self.completions >= self.settings.completions {
            self.completions = 0;
            self.limit = (self.limit * 2).min(self.slots);
        }
    }
}
