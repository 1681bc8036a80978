//! Where the gateway learns what operators, targets and other gateways say.

use std::fmt;
use std::sync::Arc;

use futures_util::future::BoxFuture;
use sardinemux_core::catalog::patch::Patch;
use sardinemux_core::catalog::Definition;
use sardinemux_core::roster::Announcement;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The kinds of facts; each has a history of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Topic {
    /// The catalogue and the evacuated availability zones.
    Operators,
    /// The targets.
    Targets,
    /// The gateways.
    Members,
}

impl Topic {
    /// Returns the name that logs and metrics use.
    pub fn name(self) -> &'static str {
        match self {
            Self::Operators => "operators",
            Self::Targets => "targets",
            Self::Members => "members",
        }
    }
}

/// One gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The name of its instance.
    pub name: SmolStr,
    /// Where other gateways reach it, over TCP and UDP.
    pub address: std::net::SocketAddr,
}

/// What one entry says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fact {
    /// The catalogue in force.
    Catalog(Arc<Definition>),
    /// What changed of the catalogue since a version that the asker said it has.
    Patch(Arc<Patch>),
    /// An availability zone that gets no new work.
    Evacuated(SmolStr),
    /// A target.
    Target(Announcement),
    /// A gateway.
    Member(Member),
    /// An entry that says nothing usable, with the reason.
    Unreadable(SmolStr),
}

/// One entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Names the entry within its topic.
    pub key: SmolStr,
    /// What it says; nothing if it was removed.
    pub fact: Option<Fact>,
    /// The version of the store at which it changed.
    pub version: u64,
    /// Set on a removal that may be a lapse of the store's own outage: the target may be listed again soon.
    pub may_return: bool,
}

/// Entries of one topic up to a version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The entries, oldest change first.
    pub entries: Vec<Entry>,
    /// The version of the store up to which they are complete.
    pub version: u64,
}

/// Why the source gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
pub enum Error {
    /// Changes since that version are no longer kept; the whole list must be read.
    #[snafu(display("the history since version {since} is gone"))]
    Expired {
        /// The version that was asked for.
        since: u64,
    },
    /// Nothing was done.
    #[snafu(display("turned away with status {status}"))]
    Refused {
        /// The status.
        status: u16,
    },
    /// There was no readable answer; a write may have been done.
    #[snafu(display("no answer: {reason}"))]
    Unanswered {
        /// The cause.
        reason: String,
    },
}

/// The result of a call to the source.
pub type Result<T> = std::result::Result<T, Error>;

/// Reads a whole topic.
pub type List = Box<dyn Fn(Topic) -> BoxFuture<'static, Result<Batch>> + Send + Sync>;

/// Waits for changes of a topic since a version.
pub type Watch = Box<dyn Fn(Topic, u64) -> BoxFuture<'static, Result<Batch>> + Send + Sync>;

/// Enters a gateway into the members, or takes it out.
pub type Register = Box<dyn Fn(Member, bool) -> BoxFuture<'static, Result<()>> + Send + Sync>;

/// The store that all gateways of a deployment share.
pub struct Source {
    /// Reads a whole topic.
    pub list: List,
    /// Waits for changes; returns without any after a while.
    pub watch: Watch,
    /// Enters a gateway (`true`) or takes it out.
    pub register: Register,
}

impl fmt::Debug for Source {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Source")
    }
}
