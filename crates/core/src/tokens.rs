//! The tokens of requests in flight on a target, against its memory.
//!
//! A target crashes when the requests that it holds exceed its memory. A router knows the tokens of its own requests, and only the
//! number of those of others; it takes these to have the mean number of tokens of its own ones, as callers are spread over routers.

/// The share of a target's memory up to which prompts are counted as fitting. The rest is for answers, whose length is not known
/// beforehand, and for requests of others that have begun in the last fraction of a second.
const USABLE_SHARE: f64 = 0.85;

/// The weight of one request in the mean number of tokens. The mean spans some twenty requests, hence all kinds that are common.
const MEAN_WEIGHT: f64 = 0.05;

/// The tokens that one request needs, and the memory of each target of its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Need {
    /// The tokens of the prompt.
    pub tokens: u64,
    /// The memory of a target, in tokens.
    pub capacity: u64,
}

impl Need {
    /// Returns whether a target that holds nothing else could hold the request.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::tokens::Need;
    ///
    /// let need = Need { tokens: 5_000, capacity: 20_000 };
    /// assert!(need.is_possible());
    /// assert!(need.fits(12_000.0));
    /// assert!(!need.fits(12_001.0));
    /// ```
    pub fn is_possible(self) -> bool {
        self.tokens <= self.capacity
    }

    /// Returns whether a target that holds `held` tokens has room for the request.
    pub fn fits(self, held: f64) -> bool {
        held + self.tokens as f64 <= USABLE_SHARE * self.capacity as f64
    }
}

/// The mean number of tokens of the requests of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Mean {
    tokens: Option<f64>,
}

impl Mean {
    /// Adds a request.
    pub fn add(&mut self, tokens: u64) {
        let sample = tokens as f64;
        let mean = self.tokens.unwrap_or(sample);
        self.tokens = Some(mean + MEAN_WEIGHT * (sample - mean));
    }

    /// Returns the mean; zero before the first request.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::tokens::Mean;
    ///
    /// let mut mean = Mean::default();
    /// assert_eq!(mean.value(), 0.0);
    /// mean.add(400);
    /// mean.add(500);
    /// assert_eq!(mean.value(), 405.0);
    /// ```
    pub fn value(self) -> f64 {
        self.tokens.unwrap_or_default()
    }
}
