//! The parameters that operators can set, with their units, ranges and built-in values.

use serde::{Deserialize, Serialize};

/// A tunable parameter of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Parameter {
    /// The upper bound on the load of a target, as a multiple of the mean load of its pool.
    LoadMultiple,
    /// The initial concurrency limit of a cold target.
    ColdLimit,
    /// The number of healthy completions after which the concurrency limit of a cold target doubles.
    ColdCompletions,
    /// The maximum number of requests in the queue of one target.
    QueueLength,
    /// The maximum time that a request waits in a target's queue, in milliseconds.
    QueueWaitMs,
    /// The maximum number of concurrent requests of one organisation that one router accepts from callers.
    OrganisationRequests,
    /// The timeout for the first byte of a target's response, in milliseconds.
    FirstByteMs,
    /// The timeout between two parts of a target's streamed response, in milliseconds.
    BetweenPartsMs,
}

/// All parameters, in the order in which they are declared.
pub const ALL: [Parameter; 8] = [
    Parameter::LoadMultiple,
    Parameter::ColdLimit,
    Parameter::ColdCompletions,
    Parameter::QueueLength,
    Parameter::QueueWaitMs,
    Parameter::OrganisationRequests,
    Parameter::FirstByteMs,
    Parameter::BetweenPartsMs,
];

/// The allowed range and the built-in value of a parameter, both in its unit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Range {
    /// The smallest allowed value, inclusive.
    pub min: f64,
    /// The largest allowed value, inclusive.
    pub max: f64,
    /// The value that applies if operators have set neither a default nor an exception.
    pub built_in: f64,
}

const fn range(min: f64, max: f64, built_in: f64) -> Range {
    Range { min, max, built_in }
}

impl Parameter {
    /// Returns the name of the parameter in configuration keys and operator commands.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::config::Parameter;
    ///
    /// assert_eq!(Parameter::parse("cold_limit"), Some(Parameter::ColdLimit));
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            Self::LoadMultiple => "load_multiple",
            Self::ColdLimit => "cold_limit",
            Self::ColdCompletions => "cold_completions",
            Self::QueueLength => "queue_length",
            Self::QueueWaitMs => "queue_wait_ms",
            Self::OrganisationRequests => "organisation_requests",
            Self::FirstByteMs => "first_byte_ms",
            Self::BetweenPartsMs => "between_parts_ms",
        }
    }

    /// Returns the parameter with a name; nothing if there is none.
    pub fn parse(name: &str) -> Option<Self> {
        ALL.into_iter().find(|parameter| parameter.name() == name)
    }

    /// Returns the allowed range and the built-in value of the parameter.
    pub fn range(self) -> Range {
        match self {
            Self::LoadMultiple => range(1.0, 10.0, 1.25),
            Self::ColdLimit => range(1.0, 1_000.0, 2.0),
            Self::ColdCompletions => range(1.0, 100_000.0, 8.0),
            Self::QueueLength => range(0.0, 10_000.0, 64.0),
            Self::QueueWaitMs => range(0.0, 600_000.0, 5_000.0),
            Self::OrganisationRequests => range(1.0, 100_000.0, 512.0),
            Self::FirstByteMs => range(10.0, 600_000.0, 10_000.0),
            Self::BetweenPartsMs => range(10.0, 600_000.0, 5_000.0),
        }
    }
}
