//! The requests and responses of the administration API.

use sardinemux_core::config::command::Expected;
use sardinemux_core::config::{Change, ChangeId, Entry, Version};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The body of `POST /v1/changes`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// The id that the operator gives to the submission. Submitting an accepted id again has no further effect while
    /// the configuration keeps the id among the most recent ones.
    pub id: ChangeId,
    /// The versions of the keys that the operator has read, and on which the submission depends. A key that is not
    /// listed may have any version.
    #[serde(default)]
    pub expected: Vec<Expected>,
    /// Whether the changes are only checked, and nothing is written.
    #[serde(default)]
    pub dry_run: bool,
    /// The changes; either all of them take effect or none.
    pub changes: Vec<Change>,
}

/// The result of a submission.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verdict", rename_all = "snake_case")]
pub enum Verdict {
    /// The changes are durably written; routers apply them within seconds.
    Accepted {
        /// The log entry that holds the changes.
        entry: Entry,
    },
    /// The changes passed the checks of a dry run; nothing was written.
    Valid {
        /// The version of the configuration against which they were checked.
        version: Version,
    },
    /// The changes were not written: the version at which they were attempted belongs to another entry. Also returned
    /// if the log no longer holds the entry of an id that was accepted earlier.
    NotAccepted {
        /// The entry at the attempted version, if it could be read.
        winner: Option<Entry>,
    },
    /// It is not known yet whether the changes were written; the operator queries the result by id.
    Unknown {
        /// The id of the submission.
        id: ChangeId,
        /// The version at which the changes were attempted, which a query by id states too.
        attempted: Version,
    },
}

/// The last change of one key between two versions of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// The key of the configuration.
    pub key: SmolStr,
    /// The version at which the key was changed.
    pub version: Version,
    /// The change.
    pub change: Change,
}

/// The requests on one target, as reported by routers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// The id of the target.
    pub target: SmolStr,
    /// The number of requests in flight.
    pub running: u32,
    /// The number of queued requests.
    pub waiting: u32,
}

/// The response to `GET /v1/load`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetLoad {
    /// The load of each target, summed over the routers that answered.
    pub targets: Vec<TargetLoad>,
    /// The ids of the routers that did not answer. Unless this is empty, a target that shows no requests may still
    /// have some.
    pub silent_routers: Vec<SmolStr>,
}

/// The configuration version that a router applies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouterVersion {
    /// The id of the router.
    pub router: SmolStr,
    /// The version, if the router answered.
    pub version: Option<Version>,
}

/// The rollout state of the configuration: the response to `GET /v1/force`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// The newest accepted version of the configuration.
    pub version: Version,
    /// The version of every listed router.
    pub routers: Vec<RouterVersion>,
}
