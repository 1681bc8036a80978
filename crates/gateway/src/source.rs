//! The interface to the store from which gateways read the entries of operators, targets and other gateways.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use sardinemux_core::catalog::patch::Patch;
use sardinemux_core::catalog::Definition;
use sardinemux_core::origin::{Epoch, Origin, Proposal};
use sardinemux_core::position::{Era, Position};
use sardinemux_core::rollout::{Order, Status};
use sardinemux_core::roster::Announcement;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A part of the store's entries that is listed and watched by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Topic {
    /// The catalogue and the evacuated availability zones.
    Operators,
    /// The targets.
    Targets,
    /// The gateways.
    Members,
    /// The prompt parts that are held.
    Quarantine,
    /// The builds at which the streams of each pool may begin.
    Builds,
    /// The builds at which streams began.
    Origins,
}

impl Topic {
    /// Returns the name of the topic in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Operators => "operators",
            Self::Targets => "targets",
            Self::Members => "members",
            Self::Quarantine => "quarantine",
            Self::Builds => "builds",
            Self::Origins => "origins",
        }
    }
}

/// The entry of one gateway in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The name of its instance.
    pub name: SmolStr,
    /// The address for other gateways, over TCP and UDP.
    pub address: std::net::SocketAddr,
}

/// The entry of a prompt part that is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The id of the part.
    pub part: u64,
    /// The number of trials so far.
    pub trials: u8,
}

/// The decoded value of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fact {
    /// The catalogue in force.
    Catalog(Arc<Definition>),
    /// The changes of the catalogue since the version that the requesting gateway has in force.
    Patch(Arc<Patch>),
    /// An availability zone that is evacuated: it gets no new requests.
    Evacuated(SmolStr),
    /// The order of a rollout. Gateways of earlier builds do not know it, so that it is sent only to those that state that they do.
    Rollout(Order),
    /// A target.
    Target(Announcement),
    /// A gateway.
    Member(Member),
    /// A prompt part that is held.
    Held(Held),
    /// The builds at which the streams of a pool may begin. The key is the name of the pool.
    Builds {
        /// The builds.
        epoch: Epoch,
        /// The era of the store in which they were written, if that is known.
        written: Era,
    },
    /// The build at which a stream began.
    Origin(Origin),
    /// The reason why the value cannot be decoded.
    Unreadable(SmolStr),
}

/// One entry of a topic, or its removal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The key, unique within the topic.
    pub key: SmolStr,
    /// The value; `None` if the entry was removed.
    pub fact: Option<Fact>,
    /// The position at which the entry last changed.
    pub position: Position,
    /// Whether a removal may result from an outage of the store, in which entries of live targets expire. The target
    /// may then be listed again soon.
    pub may_return: bool,
}

/// Entries of one topic up to a position.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The entries, oldest change first.
    pub entries: Vec<Entry>,
    /// The position up to which the batch has every change. All its entries are of the same era.
    pub position: Position,
}

impl Batch {
    /// Returns the batch with its position and those of its entries in another era.
    pub fn in_era(mut self, era: Era) -> Self {
        for entry in &mut self.entries {
            entry.position = entry.position.in_era(era);
        }
        self.position = self.position.in_era(era);
        self
    }
}

/// Every way in which a call to the store can fail.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
pub enum Error {
    /// The store does not have the changes since this position; the complete list must be read. It no longer keeps them, or
    /// is in another era.
    #[snafu(display("the store does not have the changes since version {since}"))]
    Expired {
        /// The requested position.
        since: Position,
    },
    /// The store rejected the call; nothing was written.
    #[snafu(display("the store rejected the call with status {status}"))]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// There was no valid response; a write may have taken effect.
    #[snafu(display("no valid response from the store: {reason}"))]
    Unanswered {
        /// The cause.
        reason: String,
    },
}

/// The result of a call to the store.
pub type Result<T> = std::result::Result<T, Error>;

/// Reads the complete list of a topic.
pub type List = Box<dyn Fn(Topic) -> BoxFuture<'static, Result<Batch>> + Send + Sync>;

/// Waits for changes of a topic after a position.
pub type Watch = Box<dyn Fn(Topic, Position) -> BoxFuture<'static, Result<Batch>> + Send + Sync>;

/// Adds a gateway to the list of gateways (`true`), or removes it (`false`).
pub type Register = Box<dyn Fn(Member, bool) -> BoxFuture<'static, Result<()>> + Send + Sync>;

/// Records that a prompt part is held (`true`), or removes the record (`false`).
pub type Hold = Box<dyn Fn(Held, bool) -> BoxFuture<'static, Result<()>> + Send + Sync>;

/// Writes a change of the builds of a pool if they have the expected version. Returns whether they had.
pub type AdvanceBuilds = Box<dyn Fn(Proposal) -> BoxFuture<'static, Result<bool>> + Send + Sync>;

/// Records where streams began, and removes the records of the streams with these ids.
pub type RecordOrigins =
    Box<dyn Fn(Vec<Origin>, Vec<u64>) -> BoxFuture<'static, Result<()>> + Send + Sync>;

/// Reads the record of a stream, if there is one.
pub type FindOrigin = Box<dyn Fn(u64) -> BoxFuture<'static, Result<Option<Origin>>> + Send + Sync>;

/// The status of a pool's rollout, and the position at which it was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredStatus {
    /// The status; `None` if the store has none, or one that cannot be decoded.
    pub status: Option<Status>,
    /// The position of the entry, with the version zero if there is none.
    pub position: Position,
}

/// A status of a rollout, which is written only if the entry has the expected version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusProposal {
    /// The name of the pool.
    pub pool: SmolStr,
    /// The new status.
    pub status: Status,
    /// The position that the entry must have. Its version is zero if there must be none.
    pub expected: Position,
}

/// The reason for which an adapter cannot decode an entry whose key it does not know. An earlier build states it for entries that a later
/// one can decode.
pub const UNKNOWN_KEY: &str = "no such key is known";

/// Reads the status of a pool's rollout.
pub type ReadStatus =
    Box<dyn Fn(SmolStr) -> BoxFuture<'static, Result<StoredStatus>> + Send + Sync>;

/// Writes the status of a pool's rollout if the entry has the expected version. Returns whether it had.
pub type WriteStatus =
    Box<dyn Fn(StatusProposal) -> BoxFuture<'static, Result<bool>> + Send + Sync>;

/// Returns the number of heads and bytes of answers of the store that have arrived for a topic, so that a slow answer can be told
/// from none.
pub type Received = Box<dyn Fn(Topic) -> u64 + Send + Sync>;

/// Returns the era of the store, as far as its answers have shown it.
pub type CurrentEra = Box<dyn Fn() -> Era + Send + Sync>;

/// How long a watch without changes may take, apart from the time for the store's answer. A shorter wait makes more
/// calls, each of which has a price. A longer one delays the detection of a store that accepts calls and never responds,
/// which must leave time for another reader within the two seconds in which changes must be known.
pub const WATCH_WAIT: Duration = Duration::from_millis(500);

/// The calls to the store that all gateways of a deployment share.
pub struct Source {
    /// Reads the complete list of a topic.
    pub list: List,
    /// Waits for changes; returns an empty batch if there is none within [`WATCH_WAIT`].
    pub watch: Watch,
    /// Adds a gateway to the list of gateways, or removes it.
    pub register: Register,
    /// Records that a prompt part is held, or removes the record.
    pub hold: Hold,
    /// Writes a change of the builds of a pool.
    pub advance_builds: AdvanceBuilds,
    /// Records where streams began.
    pub record_origins: RecordOrigins,
    /// Reads where a stream began.
    pub find_origin: FindOrigin,
    /// Reads the status of a pool's rollout.
    pub read_status: ReadStatus,
    /// Writes the status of a pool's rollout.
    pub write_status: WriteStatus,
    /// Returns the last era that the store has stated in any answer.
    pub era: CurrentEra,
    /// Returns how much of the store's answers for a topic has arrived.
    pub received: Received,
}

impl fmt::Debug for Source {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Source")
    }
}
