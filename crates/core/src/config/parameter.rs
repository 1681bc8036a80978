//! The parameters that operators set, with their units, ranges and built-in values.

use serde::{Deserialize, Serialize};

/// One parameter of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Parameter {
    /// The load bound, as a multiple of the pool's mean.
    LoadMultiple,
    /// The requests that a cold target bears at once.
    ColdLimit,
    /// The healthy completions at a limit before a cold target's limit doubles.
    ColdCompletions,
    /// The most requests that wait for one target.
    QueueLength,
    /// The longest wait in a queue, in milliseconds.
    QueueWaitMs,
    /// The most requests of one organisation at one entry.
    OrganisationRequests,
    /// The longest silence of a target before its first byte, in milliseconds.
    FirstByteMs,
    /// The longest silence between two parts of a streamed answer, in milliseconds.
    BetweenPartsMs,
}

/// Every parameter.
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

/// The range and the built-in value of a parameter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Range {
    /// The smallest allowed value.
    pub min: f64,
    /// The largest allowed value.
    pub max: f64,
    /// The value where no default is set.
    pub built_in: f64,
}

const fn range(min: f64, max: f64, built_in: f64) -> Range {
    Range { min, max, built_in }
}

impl Parameter {
    /// Returns the name that operators use.
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

    /// Returns the parameter of a name.
    pub fn parse(name: &str) -> Option<Self> {
        ALL.into_iter().find(|parameter| parameter.name() == name)
    }

    /// Returns the range and the built-in value.
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
