//! Rollouts: the traffic of a pool moves step by step to targets of another build.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The order of an operator to move the traffic of a pool to targets of another build.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The name of the pool.
    pub pool: SmolStr,
    /// The build to which the traffic moves.
    pub build: SmolStr,
    /// The time over which the traffic moves, in milliseconds.
    pub ramp_ms: u64,
}

/// The state of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The traffic moves.
    Active,
    /// The new build has all traffic, and the former one has no request in flight.
    Complete,
    /// The former build has all traffic again.
    RolledBack,
}

impl State {
    /// Returns whether the rollout has ended. Such a state never changes again.
    pub fn is_final(self) -> bool {
        self != Self::Active
    }

    /// Returns the name of the state in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Active => "active",
            Self::Complete => "complete",
            Self::RolledBack => "rolled_back",
        }
    }
}

/// What the store holds of the rollout of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The build to which the traffic moves.
    pub build: SmolStr,
    /// The state.
    pub state: State,
}
