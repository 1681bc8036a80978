//! The builds at which resumable streams began, so that a stream goes on at its own build at whichever gateway its caller
//! takes it up.
//!
//! The store holds the [`Epoch`] of each pool: the builds at which streams may begin. While that is one build, it is the
//! base, and no stream is recorded: a stream without a record began there. A further build joins the epoch before any
//! stream begins at it. From then on there is no base, and each stream is recorded. Once all builds but one have been absent for
//! longer than a stream can be resumed, that one is the base of the next epoch.
//!
//! A gateway that is lost before it hears of the new build leaves streams without records. The epoch therefore keeps its
//! [former base](Epoch::former_base) until no stream from before the join can be taken up. Meanwhile only one stream in
//! [`RECENT_STREAMS`], chosen by its id, begins at another build, so that all others without a record began at the former base.
//! Afterwards, and where too few targets of the former base are left for that, a stream without a record cannot go on, as its
//! build is not known. As the end of the former base is a write as well, a gateway that reads the epoch needs to know neither when
//! the build joined nor what the others have listed since.
//!
//! The store may come back from an older copy, without a build that has joined since and without the latest records. A gateway
//! that knows more writes both again, and has streams recorded meanwhile. One that may not know of the last join, as it has
//! started or was out of touch, sees from the era in which an epoch was written that it may lack a build. It holds the base
//! in doubt until no stream of the time before can be taken up: a missing record says nothing of where a stream began.
//!
//! Most streams are still taken up then. While a join is so recent that a copy may lack it, only one stream in
//! [`RECENT_STREAMS`], chosen by its id, begins at the new build, and all others at the first build of the epoch. Those can have
//! begun nowhere else.
//!
//! Each change of an epoch is a write under the condition that the epoch is the one that the writer has read, so that a
//! delayed write cannot undo a later one. A gateway that takes up a stream reads the epoch after the request has arrived: no
//! build can have joined after the stream began there.

pub mod command;
pub mod outbox;
pub mod query;

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::hash;
use crate::position::{Era, Position};

/// The delays and lifetimes of epochs and records.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long a new build has been listed before it joins the epoch, in milliseconds: the time in which the streams that
    /// are running elsewhere get their records, and in which all gateways that hear of the list learn of the build.
    pub join_ms: u64,
    /// How recent the last contact with the store, or the reports of others that they do not reach it, must be for a base to be
    /// certain although the epoch cannot be read, in milliseconds: less than `join_ms`.
    pub contact_ms: u64,
    /// The time after the start of a gateway in which no build joins, in milliseconds. Streams that began before without a
    /// record are taken up in this time.
    pub restart_ms: u64,
    /// The share of a pool's slots below which those of the epoch's builds are too few to wait for `restart_ms`.
    pub slots_min: f64,
    /// How long a build has been absent before this gateway begins no stream there without a new write of the epoch, in
    /// milliseconds.
    pub absent_ms: u64,
    /// The longest time from the beginning of a stream in which its caller may take it up, in milliseconds.
    pub stream_ms: u64,
    /// How long other gateways have after a restore of the store to tell what they know of an epoch, before it is written again,
    /// in milliseconds.
    pub confirm_ms: u64,
    /// How long no other build has been listed before streams that can only have begun at a doubtful base go on there, in
    /// milliseconds. Targets write their entries again in this time.
    pub doubt_ms: u64,
    /// How old the copy may be from which the store comes back, in milliseconds.
    pub copy_age_ms: u64,
    /// The share of the open slots below which those of the first build are too few for most streams.
    pub first_slots_min: f64,
    /// The largest number of streams that are kept.
    pub streams_max: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            join_ms: 1_000,
            contact_ms: 700,
            restart_ms: 6_000,
            slots_min: 0.2,
            absent_ms: 10_000,
            stream_ms: 30_000,
            confirm_ms: 1_000,
            doubt_ms: 2_500,
            copy_age_ms: 15_000,
            first_slots_min: 0.5,
            streams_max: 4_096,
        }
    }
}

impl Settings {
    /// Returns how long a build has been absent before it leaves the epoch, in milliseconds: no gateway has begun a stream
    /// there for so long that one can still be taken up.
    pub fn settle_ms(&self) -> u64 {
        self.absent_ms + self.stream_ms
    }

    /// Returns how long streams and their records are kept, in milliseconds. A record is written after its stream has begun.
    pub fn record_ttl_ms(&self) -> u64 {
        2 * self.stream_ms
    }
}

/// The builds of one pool at which streams may begin.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Epoch {
    /// The build at which each stream without a record began; `None` if that is not known.
    pub base: Option<SmolStr>,
    /// The builds at which streams may begin.
    pub builds: Vec<SmolStr>,
    /// The base before other builds joined, at which all streams begin for which [`may_begin_at_recent`] is false. It travels beside
    /// the epoch, as gateways of earlier builds read an epoch without it.
    #[serde(skip)]
    pub former_base: Option<SmolStr>,
}

/// An epoch as it lies in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// The epoch.
    pub epoch: Epoch,
    /// The position at which it was written.
    pub position: Position,
    /// The era in which it was written; `None` if that is not known. Gateways do not tell each other.
    #[serde(skip)]
    pub written: Era,
}

/// A change of an epoch, which takes effect only if the store holds the expected version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Proposal {
    /// The name of the pool.
    pub pool: SmolStr,
    /// The new epoch.
    pub epoch: Epoch,
    /// The position that the epoch must have. Its version is zero if there must be none. The new epoch is written in its era.
    pub expected: Position,
}

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The id of the stream, see [`stream_id`].
    pub stream: u64,
    /// The name of the pool.
    pub pool: SmolStr,
    /// The build of the target that sent the first event.
    pub build: SmolStr,
}

/// The listed targets of one build in a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Presence {
    /// The build.
    pub build: SmolStr,
    /// The slots of those targets that may get new requests.
    pub slots: u32,
}

/// What a gateway that cannot read the store knows of how current its list of targets is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Contact {
    /// Whether the list has been read since the process last stood still.
    pub is_refreshed: bool,
    /// The time since the store, or a gateway that follows it, last answered, in milliseconds.
    pub age_ms: u64,
    /// All other gateways.
    pub witnesses: Vec<Witness>,
}

/// What another gateway has reported of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Witness {
    /// The time since its last report, in milliseconds; `None` if it is silent.
    pub report_age_ms: Option<u64>,
    /// Whether its calls to the store succeed.
    pub is_following: bool,
}

/// What is known of the epoch of a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum Knowledge {
    /// It has not been read.
    #[default]
    None,
    /// The store holds none.
    Absent {
        /// The era in which it holds none.
        era: Era,
        /// Whether there can have been none before, which the store has lost.
        is_first: bool,
    },
    /// The store held this one.
    Stored(Stored),
}

/// When targets of a build were listed.
#[derive(Clone, Copy, Debug)]
struct Sighting {
    /// Since when, without a longer absence, in milliseconds.
    since_ms: u64,
    /// When last, in milliseconds.
    last_ms: u64,
    /// The slots of those that may get new requests.
    slots: u32,
    /// The position of the epoch before the build was absent for longer than [`Settings::absent_ms`]. Streams begin there
    /// again once the epoch has been written anew.
    absent_at: Option<Position>,
}

/// The state of one pool.
#[derive(Clone, Debug, Default)]
struct Pool {
    epoch: Knowledge,
    builds: IndexMap<SmolStr, Sighting>,
    /// When builds other than the first one of the epoch have joined it, as far as known here, in milliseconds.
    joined: IndexMap<SmolStr, u64>,
    /// The only build of the epoch, while that has no base.
    sole: Option<Since>,
    /// The former base of the epoch.
    former_base: Option<Since>,
    /// The epoch of an earlier era of the store, until the store holds it again.
    kept: Option<Epoch>,
    /// The base that the store states and that is not certain.
    doubt: Option<Doubt>,
    /// When an epoch of a later era was read, in milliseconds.
    era_ms: u64,
    /// When the list of targets was last known to be current, in the era of the epoch, in milliseconds.
    current_ms: Option<u64>,
}

/// A build, and since when what is said of it has held as far as known here.
#[derive(Clone, Debug)]
struct Since {
    build: SmolStr,
    since_ms: u64,
}

/// A base that was written in an earlier era of the store and read by a gateway that may not know of the last join of that era, which
/// the store may lack.
#[derive(Clone, Debug)]
struct Doubt {
    base: SmolStr,
    since_ms: u64,
}

/// A stream whose origin is known here.
#[derive(Clone, Debug)]
struct Known {
    origin: Origin,
    at_ms: u64,
    /// Whether this gateway began it.
    is_own: bool,
    /// Whether this gateway began it and has not passed on its record.
    is_pending: bool,
}

/// What one gateway knows of epochs and streams.
#[derive(Clone, Debug, Default)]
pub struct Register {
    settings: Settings,
    pools: IndexMap<SmolStr, Pool>,
    streams: IndexMap<u64, Known>,
    outbox: VecDeque<Origin>,
    /// The number of records that were dropped, as there were too many.
    lost: usize,
    /// When a gateway was last seen to start, in milliseconds.
    restart_ms: u64,
    /// Whether the fleet starts for the first time, so that there was no epoch before.
    is_first_start: bool,
    /// Whether all known gateways begin streams at the former base of an epoch.
    keeps_former_base: bool,
}

impl Register {
    /// Creates an empty register of a gateway that starts at `now_ms`.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::origin::{query, Register, Settings};
    ///
    /// let register = Register::new(Settings::default(), 0);
    /// assert!(query::proposals(&register, 0).is_empty());
    /// ```
    pub fn new(settings: Settings, now_ms: u64) -> Self {
        Self {
            settings,
            restart_ms: now_ms,
            ..Self::default()
        }
    }
}

/// While the store may lose the join of a build, one stream in this number may begin there.
pub const RECENT_STREAMS: u64 = 4;

/// Returns whether a stream may begin at a build whose join the store may still lose.
///
/// # Examples
///
/// ```
/// use sardinemux_core::origin::{may_begin_at_recent, RECENT_STREAMS};
///
/// let allowed = (0..1_000).filter(|stream| may_begin_at_recent(*stream));
/// assert_eq!(allowed.count() as u64, 1_000 / RECENT_STREAMS);
/// ```
pub fn may_begin_at_recent(stream: u64) -> bool {
    stream.is_multiple_of(RECENT_STREAMS)
}

/// Returns the id of the stream that a request of an organisation began. It is the same at all gateways.
///
/// # Examples
///
/// ```
/// use sardinemux_core::origin;
///
/// assert_eq!(origin::stream_id("o1", b"r1"), origin::stream_id("o1", b"r1"));
/// assert_ne!(origin::stream_id("o1", b"r1"), origin::stream_id("o2", b"r1"));
/// ```
pub fn stream_id(organisation: &str, request_id: &[u8]) -> u64 {
    hash::digest(&[b"stream", organisation.as_bytes(), request_id])
}
