//! What operators send to the administration API and receive from it.

use sardinemux_core::config::command::Expected;
use sardinemux_core::config::{Change, ChangeId, Entry, Version};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The body of `POST /v1/changes`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// The operator's name for this change; submitting it again has no further effect.
    pub id: ChangeId,
    /// The versions of the keys that the operator had read; none means "whatever they are".
    #[serde(default)]
    pub expected: Vec<Expected>,
    /// Check only, and change nothing.
    #[serde(default)]
    pub dry_run: bool,
    /// The changes, which take effect together or not at all.
    pub changes: Vec<Change>,
}

/// What became of a submission.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verdict", rename_all = "snake_case")]
pub enum Verdict {
    /// It is durably written, and in force within seconds.
    Accepted {
        /// The entry.
        entry: Entry,
    },
    /// It would be accepted; nothing was changed.
    Valid {
        /// The version against which it was checked.
        version: Version,
    },
    /// It was not accepted, and will not be under this id.
    NotAccepted {
        /// The conflicting entry, if that is why.
        winner: Option<Entry>,
    },
    /// It cannot be known yet; ask again with the id.
    Unknown {
        /// The id.
        id: ChangeId,
        /// The version that it was written as; ask with it.
        attempted: Version,
    },
}

/// The version and the position of the changes between two versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// The key.
    pub key: SmolStr,
    /// The version at which it was changed.
    pub version: Version,
    /// The change.
    pub change: Change,
}

/// What still runs on a target, as its routers say.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// The target.
    pub target: SmolStr,
    /// The requests in flight.
    pub running: u32,
    /// The requests that wait.
    pub waiting: u32,
}

/// The answer to `GET /v1/load`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetLoad {
    /// The targets, each with the sum over the routers that answered.
    pub targets: Vec<TargetLoad>,
    /// The routers that did not answer; with any of them missing, a target that shows nothing
    /// may still have work.
    pub silent_routers: Vec<SmolStr>,
}

/// What version a router has in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouterVersion {
    /// The router.
    pub router: SmolStr,
    /// Its version, if it answered.
    pub version: Option<Version>,
}

/// The answer to `GET /v1/force`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// The newest accepted version.
    pub version: Version,
    /// Every listed router with its version.
    pub routers: Vec<RouterVersion>,
}
