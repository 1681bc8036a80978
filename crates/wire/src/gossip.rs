//! The gossip that routers exchange with random peers, and the updates by which they receive configuration.

use sardinemux_core::config::{Entry, State, Version};
use sardinemux_core::load::Sample;
use sardinemux_core::membership::Member;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The load on the targets of one pool that one router owns.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolSample {
    /// The id of the router.
    pub router: SmolStr,
    /// The name of the pool.
    pub pool: SmolStr,
    /// The load on these targets.
    pub sample: Sample,
    /// The age of the sample, in milliseconds.
    pub age_ms: u32,
}

/// A gossip message; the answer to it has the same type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The version of the sender's configuration.
    pub config: Version,
    /// The membership entry of the sender, then those of other routers that it learned recently.
    pub members: Vec<Member>,
    /// The samples of the sender, and some that it received from other routers.
    pub samples: Vec<PoolSample>,
}

/// An update for a router that has an older version of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// The log entries that follow the router's version.
    Entries(Vec<Entry>),
    /// The whole state, for a version that is too old to be updated by entries.
    Snapshot(Box<State>),
}
