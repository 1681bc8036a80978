//! The targets as one router knows them: which it may use, what runs on each, and how they behave.
//!
//! Every router keeps a roster of its own. What other routers have in flight comes from their reports, and,
//! where those are missing, from the load that targets state in their answers.

pub mod command;
pub mod query;

use indexmap::{IndexMap, IndexSet};
use smol_str::SmolStr;

use crate::target::{self, Key, Target};
use crate::token_bucket::TokenBucket;

/// The bounds that a router keeps.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// A target takes new work up to this multiple of its pool's mean load. Below the deployment's own
    /// bound, as reports of other routers are a moment old.
    pub load_multiple: f64,
    /// Requests that a target may have beyond the multiple, so that an idle pool can start.
    pub load_slack: f64,
    /// How long a target that vanished while the platform's list was away stays in use, in milliseconds
    /// after the list's return. Live targets are listed again within two seconds.
    pub relist_ms: u64,
    /// How long a target rests after its first failure, in milliseconds; doubled with each further one.
    pub rest_ms: u64,
    /// The longest rest of a failing target, in milliseconds.
    pub rest_max_ms: u64,
    /// How much of a target's error rate one answer decides: gateways see a target less than once a second, so a
    /// few answers must tell.
    pub error_weight: f64,
    /// The time in which a target's error rate halves, in milliseconds, so that it is tried again.
    pub error_half_ms: f64,
    /// A target whose error rate exceeds twice that of its pool by this much is used last.
    pub error_excess: f64,
    /// A router's report counts for this long, in milliseconds: several periods, as datagrams get lost.
    pub report_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            load_multiple: 1.4,
            load_slack: 2.0,
            relist_ms: 2_500,
            rest_ms: 400,
            rest_max_ms: 4_000,
            error_weight: 0.3,
            error_half_ms: 3_000.0,
            error_excess: 0.25,
            report_ms: 1_500,
        }
    }
}

/// What a target says of itself in the platform's list.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Announcement {
    /// The target.
    pub target: Target,
    /// Tells the process from an earlier one of the same name.
    pub lifetime: u64,
    /// How long it stays cold, in milliseconds.
    pub cold_ms: u64,
}

/// How a request went, as far as it tells of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// The target answered as it should.
    Healthy,
    /// The target answered with an error of its own.
    Failed,
    /// Nothing can be learned: the caller left, or the target was merely full.
    Nothing,
    /// No connection, silence, a cut or an answer that is none.
    Faulty,
    /// Another process has the target's address.
    Displaced,
}

/// What is known of one target besides its announcement.
#[derive(Clone, Debug, Default)]
pub struct Condition {
    pub(crate) lifetime: u64,
    pub(crate) cold_until_ms: u64,
    pub(crate) cold_pace: Option<TokenBucket>,
    pub(crate) missing_since_ms: Option<u64>,
    pub(crate) is_displaced: bool,
    pub(crate) running: u32,
    pub(crate) foreign: Option<Foreign>,
    pub(crate) error_rate: f64,
    pub(crate) error_at_ms: u64,
    pub(crate) faults: u32,
    pub(crate) rests_until_ms: u64,
}

/// The requests of others on a target, as its last answer showed them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Foreign {
    pub(crate) running: u32,
    pub(crate) at_ms: u64,
}

/// What another router has in flight.
#[derive(Clone, Debug, Default)]
pub(crate) struct Report {
    pub(crate) running: IndexMap<SmolStr, u32>,
    pub(crate) at_ms: u64,
}

/// All targets that a router knows.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    pub(crate) settings: Settings,
    pub(crate) table: target::Table,
    pub(crate) conditions: IndexMap<Key, Condition>,
    pub(crate) evacuated: IndexSet<SmolStr>,
    pub(crate) reports: IndexMap<SmolStr, Report>,
}

impl Roster {
    /// Creates an empty roster.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::roster::{query, Roster, Settings};
    ///
    /// let roster = Roster::new(Settings::default());
    /// assert!(query::is_empty(&roster));
    /// ```
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }
}
