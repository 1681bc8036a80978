//! The targets that one router knows: their eligibility for new requests, their load and their failures.
//!
//! Each router keeps its own roster. The requests that other routers have in flight are known from their reports or,
//! where those are missing, from the load that targets state in their answers.

pub mod absence;
pub mod command;
pub mod query;
mod reported;
pub mod room;

use indexmap::{IndexMap, IndexSet};
use smol_str::SmolStr;

use self::absence::Absence;
use crate::leaving;
use crate::speed;
use crate::target::{self, Key, Target};
use crate::token_bucket::TokenBucket;
use crate::tokens;

pub use self::reported::{Report, Reported};

/// The limits, weights and lifetimes by which a router chooses among targets.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The load up to which a target is preferred for the prompts that it caches, as a multiple of the mean load of the
    /// pool's eligible targets. It is set below the deployment's bound, as reports of other routers are slightly old.
    pub load_multiple: f64,
    /// The number of requests added to the multiple, so that the bound of an idle pool is not zero.
    pub load_slack: f64,
    /// The longest time for which a target stays in use that the platform's list lacks after an outage, in milliseconds.
    pub relist_ms: u64,
    /// The time after the return of the platform's store in which live targets write their entries again, in milliseconds.
    pub rewrite_ms: u64,
    /// The share of a pool's targets that the list lacks after an outage in which their entries have expired, from 0 to 1. Fewer
    /// have left.
    pub lapse_share: f64,
    /// How long a target stays unused that an older copy of the list brings back, unless it is announced anew, in
    /// milliseconds. A live target writes its entry every second or so, and the entry of a dead one expires in this time.
    pub restored_ms: u64,
    /// How long a target is in backoff after a transport error, in milliseconds; doubled with each consecutive one.
    pub backoff_ms: u64,
    /// The longest backoff of a target, in milliseconds.
    pub backoff_max_ms: u64,
    /// The weight of one request in the moving average of a target's error rate. It is large, since a gateway uses a
    /// target less than once a second and must find a failing one after a few requests.
    pub error_weight: f64,
    /// The half-life of a target's error rate, in milliseconds, so that a failing target is tried again.
    pub error_half_life_ms: f64,
    /// A target whose error rate exceeds twice the mean of the others in its pool by more than this is an outlier and
    /// is used last.
    pub error_excess: f64,
    /// How long a report of another router is valid, in milliseconds: several periods, as datagrams get lost.
    pub report_ttl_ms: u64,
    /// How long a stated limit holds without a further answer of the target, in milliseconds. The routers that send to
    /// the target renew it, or learn of its end.
    pub limit_ttl_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            load_multiple: 1.4,
            load_slack: 2.0,
            relist_ms: 2_500,
            rewrite_ms: 2_000,
            lapse_share: 0.5,
            restored_ms: 4_000,
            backoff_ms: 400,
            backoff_max_ms: 4_000,
            error_weight: 0.3,
            error_half_life_ms: 3_000.0,
            error_excess: 0.25,
            report_ttl_ms: 1_500,
            limit_ttl_ms: 60_000,
        }
    }
}

/// The entry of a target in the platform's list.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Announcement {
    /// The target.
    pub target: Target,
    /// Distinguishes the process from an earlier one with the same id.
    pub lifetime: u64,
    /// How long the target stays cold, in milliseconds.
    pub cold_ms: u64,
}

/// The result of a request, as evidence of the target's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// The target answered without an error of its own.
    Healthy,
    /// The target answered with a server error.
    ServerError,
    /// The result says nothing about the target's health: the caller left, or the target was only full.
    Inconclusive,
    /// No connection could be made, no answer came in time, or the answer was cut off or invalid.
    TransportError,
    /// Another process answered at the target's address.
    AddressTaken,
}

/// The state of one target besides its description in the table.
#[derive(Clone, Debug, Default)]
pub struct Condition {
    pub(crate) lifetime: u64,
    pub(crate) cold_until_ms: u64,
    /// Limits the requests of this router to the target while it is cold or states a limit.
    pub(crate) limiter: Option<TokenBucket>,
    /// What the target last stated of its limit, if it ever stated one.
    pub(crate) statement: Option<Statement>,
    /// The pause that the target asked this router for, if any.
    pub(crate) pause: Option<Pause>,
    /// Until when a brittle target gets no request, as it has rejected one, in milliseconds.
    pub(crate) rejected_until_ms: u64,
    /// Until when the target gets no request, as only an older copy of the list has it, in milliseconds.
    pub(crate) restored_until_ms: u64,
    /// Until when the target stays in use although it is no longer listed.
    pub(crate) absence: Option<Absence>,
    /// Whether another process answered at the target's address.
    pub(crate) is_address_taken: bool,
    /// The requests that this router has in flight on the target.
    pub(crate) running: u32,
    pub(crate) remote_load: Option<RemoteLoad>,
    /// The moving average of errors, from 0 to 1, as of `error_rate_at_ms`.
    pub(crate) error_rate: f64,
    pub(crate) error_rate_at_ms: u64,
    /// The consecutive transport errors.
    pub(crate) transport_errors: u32,
    pub(crate) backoff_until_ms: u64,
    /// The tokens of the requests that this router has in flight on the target.
    pub(crate) tokens: u64,
    /// The latest sample of how long work takes on the target.
    pub(crate) speed: Option<speed::Estimate>,
    /// Whether the process of the target has stated its speed.
    pub(crate) states_speed: bool,
    /// Whether a missing or unusable statement of the speed has been logged.
    pub(crate) is_speed_reported: bool,
}

/// A target that is no longer listed. Its process may still run, as entries expire while the list cannot be written, so that its
/// condition is kept for a time, under its key.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Removed {
    pub(crate) key: Key,
    pub(crate) lifetime: u64,
    /// When it was removed, in milliseconds.
    pub(crate) at_ms: u64,
}

/// A time in which a target wants no requests of this router, and the return of requests after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Pause {
    /// The end of the time, in milliseconds.
    pub(crate) until_ms: u64,
    /// From when the next request may be sent, in milliseconds. Few are sent until the target has accepted one.
    pub(crate) next_ms: u64,
}

/// What a target stated of the requests a second that it takes from all routers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Statement {
    /// The limit, in requests a second; `None` once the target has stopped stating one.
    pub(crate) per_s: Option<f64>,
    /// When the target stated it, in milliseconds; negative if this process began later.
    pub(crate) at_ms: i64,
    /// Whether this router got the answer, so that it tells the others.
    pub(crate) is_own: bool,
}

impl Statement {
    pub(crate) fn age_ms(self, now_ms: u64) -> u64 {
        (now_ms as i64 - self.at_ms).max(0) as u64
    }
}

/// A statement of a target's limit, as routers exchange it, with its age, since clocks of instances are not compared.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LimitNotice {
    /// The id of the target.
    pub target: SmolStr,
    /// The limit, in requests a second; `None` once the target has stopped stating one.
    pub per_s: Option<f64>,
    /// The time since the target stated it, in milliseconds.
    pub age_ms: u32,
}

/// The shares of this router in the rate limits of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Shares {
    /// In requests a second while the target is cold.
    pub cold_per_s: f64,
    /// In requests a second while the target states a limit; `None` if it states none.
    pub stated_per_s: Option<f64>,
    /// The number of requests in flight while the target states that it is brittle; `None` if it does not.
    pub in_flight_max: Option<u32>,
}

/// What the targets of a pool stated of their brittleness.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Brittleness {
    /// The number of requests a second above which a target that rejects them falls over; `None` once targets have stopped
    /// stating one.
    pub(crate) rejections_per_s: Option<f64>,
    /// When a target stated it, in milliseconds; negative if this process began later.
    pub(crate) at_ms: i64,
    /// Whether this router got the answer, so that it tells the others.
    pub(crate) is_own: bool,
}

/// A statement of brittleness, as routers exchange it, with its age, since clocks of instances are not compared.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct BrittleNotice {
    /// The name of the pool.
    pub pool: SmolStr,
    /// The number of requests a second above which a target that rejects them falls over; `None` once targets have stopped
    /// stating one.
    pub rejections_per_s: Option<f64>,
    /// The time since a target stated it, in milliseconds.
    pub age_ms: u32,
}

/// The requests of other routers on a target, computed from the load that the target last stated.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RemoteLoad {
    pub(crate) running: u32,
    pub(crate) at_ms: u64,
}

/// All targets that one router knows.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    pub(crate) settings: Settings,
    pub(crate) table: target::Table,
    pub(crate) conditions: IndexMap<Key, Condition>,
    pub(crate) evacuated: IndexSet<SmolStr>,
    pub(crate) reported: Reported,
    pub(crate) brittle: IndexMap<SmolStr, Brittleness>,
    pub(crate) leaving: leaving::Register,
    /// The targets that were removed last, by id, oldest first.
    pub(crate) removed: IndexMap<SmolStr, Removed>,
    /// When a target last stated its speed to this router or another one, in milliseconds.
    pub(crate) speed_stated_ms: Option<u64>,
    /// The mean number of tokens of this router's requests, by pool.
    pub(crate) mean_tokens: IndexMap<SmolStr, tokens::Mean>,
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
