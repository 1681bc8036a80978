//! Whether a gateway can connect to the targets of a pool itself, and through which gateway it serves if it cannot.
//!
//! A failed connection is evidence against the target as much as against the path to it. Once connections to several targets of a
//! pool have failed in a row, and none was made to any of them since, the gateway takes its paths to the pool for lost, and
//! another gateway sends its requests. Where connections are made and nothing comes back over new ones, as behind a proxy, that
//! raises a suspicion, since the targets may only be slow; it becomes a loss unless a target answers a status request. An
//! answer over a new connection shows that the paths are back. Gateways tell each other of which pools they have lost the paths.

pub mod command;
pub mod query;

use indexmap::{IndexMap, IndexSet};
use smol_str::SmolStr;

use crate::target::Key;

/// The thresholds and lifetimes of the evidence.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The number of targets to which connections have failed after which the paths to their pool are lost; all of them in a
    /// smaller pool.
    pub failures_min: usize,
    /// The number of targets of a pool for which one more failure is needed: where a part of a large pool has crashed, several
    /// failures in a row are likely.
    pub targets_per_failure: usize,
    /// How long a failed connection counts, in milliseconds.
    pub failure_ttl_ms: u64,
    /// The time without an answer of any target of the pool after which one that is silent raises a suspicion, in milliseconds.
    pub quiet_ms: u64,
    /// How long a notice of another gateway counts, in milliseconds.
    pub notice_ttl_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            failures_min: 3,
            targets_per_failure: 20,
            failure_ttl_ms: 3_000,
            quiet_ms: 1_000,
            notice_ttl_ms: 1_500,
        }
    }
}

/// What failed on the way to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection was made.
    Connection,
    /// A new connection was made, and was silent or closed before the first byte of an answer.
    Exchange,
}

/// What a failure shows about the paths to a pool, together with those before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// Nothing new.
    None,
    /// They may be lost: status requests are to be sent to targets.
    Suspected,
    /// They are lost from now on.
    Lost,
}

/// Whether the paths to a pool can be used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Open,
    Suspected,
    Lost,
}

/// The paths of this gateway to the targets of one pool.
#[derive(Clone, Debug, Default)]
struct Paths {
    /// What failed last on the way to each target, and when, in milliseconds. A connection that is made clears the failed
    /// connections, and an answer over a new one clears all.
    failed: IndexMap<Key, (Failure, u64)>,
    /// When a target answered last, over any connection, in milliseconds.
    answered_ms: u64,
    state: State,
}

/// The pools to which another gateway has lost its paths.
#[derive(Clone, Debug)]
struct Notice {
    lost: IndexSet<SmolStr>,
    at_ms: u64,
}

/// What a gateway knows of its own paths and those of others.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    settings: Settings,
    pools: IndexMap<SmolStr, Paths>,
    notices: IndexMap<SmolStr, Notice>,
}

impl Reach {
    /// Creates the state of a gateway that has made no connection.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::reach::{query, Reach, Settings};
    ///
    /// let reach = Reach::new(Settings::default());
    /// assert!(!query::is_lost(&reach, "pool"));
    /// ```
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }
}

/// Another gateway through which requests may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The name of the gateway.
    pub name: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
    /// The version of the catalogue that it has last reported to have in force; zero if it has reported none.
    pub catalog: u64,
    /// Whether it compares the versions of catalogues, and serves nothing by an earlier one than that of the sender.
    pub compares_catalogs: bool,
}

/// What a gateway is searched for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Search<'a> {
    /// The pool of the request.
    pub pool: &'a str,
    /// The availability zone of the gateway that searches.
    pub zone: &'a str,
    /// The version of the catalogue in which that one has looked the request up.
    pub catalog: u64,
    /// The names of the gateways that have been tried.
    pub tried: &'a [SmolStr],
}
