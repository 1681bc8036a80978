//! What routers exchange with random peers, and how configuration travels.

use sardinemux_core::config::{Entry, State, Version};
use sardinemux_core::load::Sample;
use sardinemux_core::membership::Member;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A load sample of a router for a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolSample {
    /// The router.
    pub router: SmolStr,
    /// The pool.
    pub pool: SmolStr,
    /// The load.
    pub sample: Sample,
    /// How old it is, in milliseconds.
    pub age_ms: u32,
}

/// One side of an exchange; the answer has the same form.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The version of the sender's configuration.
    pub config: Version,
    /// The sender, and what it has lately learned of others.
    pub members: Vec<Member>,
    /// The sender's load and some that it has heard of.
    pub samples: Vec<PoolSample>,
}

/// What a router with an older configuration is sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// The entries that follow its version.
    Entries(Vec<Entry>),
    /// The whole state, as its version is too old for entries.
    Snapshot(Box<State>),
}
