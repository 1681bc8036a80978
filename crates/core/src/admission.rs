//! Admission control for one target, kept by the router that owns it: the requests in flight on the target, the
//! queue of those that wait for it, and the limits on both.
//!
//! Three limits hold at once: the target's concurrency limit (its slots, or less while it is cold), the load bound
//! relative to the pool's mean, and the requests that a former owner may still have in flight.

pub mod command;
pub mod query;

use indexmap::IndexMap;

use crate::chats::Chats;
use crate::fairness::{Flow, Queue, Ticket};
use crate::warmup;

/// Limits of one target.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The load bound, as a multiple of the pool's mean load.
    pub load_multiple: f64,
    /// The limits while the target warms up.
    pub warmup: warmup::Settings,
    /// The greatest number of requests that wait.
    pub queue_max: usize,
    /// How long a new owner admits nothing while the former owner has not answered, in milliseconds. It must exceed
    /// both the time for which a partitioned router goes on sending and the time in which gossip about the new
    /// owner reaches the former one.
    pub takeover_ms: u64,
    /// Whether the target publishes load reports.
    pub has_reports: bool,
    /// The greatest age of the figures in a load report when it arrives, in milliseconds.
    pub report_lag_ms: u64,
    /// The greatest number of recent chats that are kept for cache affinity.
    pub chats_max: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            load_multiple: 1.25,
            warmup: warmup::Settings::default(),
            queue_max: 64,
            takeover_ms: 4_000,
            has_reports: true,
            report_lag_ms: 2_000,
            chats_max: 4_096,
        }
    }
}

/// What a request asks of a target: the flow it is queued under and its cost.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The flow that the request belongs to.
    pub flow: Flow,
    /// The estimated tokens of the prompt and the answer together.
    pub tokens: u64,
}

/// A load report of a target. Its figures are up to [`Settings::report_lag_ms`] old.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// The requests that run on the target, whichever router sent them.
    pub running: u32,
    /// The incarnation of the target that sent the report; it changes with every restart.
    pub incarnation: u64,
}

/// What is known of the requests that the former owner of the target has in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FormerOwner {
    /// There is no former owner, or all its requests have ended.
    None,
    /// It has not answered. It may still be admitting requests up to the target's full limit.
    Unanswered { since_ms: u64 },
    /// It has answered and sends no new requests; `running` are still in flight.
    Answered { running: u32 },
    /// It never answered, but has stopped sending by now. At most `running_max` of its requests still run; the
    /// target's load reports lower that bound.
    Draining { running_max: u32, since_ms: u64 },
}

/// The admission state of one target at the router that owns it.
#[derive(Clone, Debug)]
pub struct Controller {
    pub(crate) settings: Settings,
    pub(crate) slots: u32,
    pub(crate) warmup: warmup::State,
    /// The requests in flight, with their estimated tokens.
    pub(crate) running: IndexMap<Ticket, u64>,
    pub(crate) running_tokens: u64,
    pub(crate) waiting: IndexMap<Ticket, Demand>,
    pub(crate) queue: Queue,
    pub(crate) chats: Chats,
    pub(crate) former_owner: FormerOwner,
    pub(crate) report: Option<Report>,
    /// The requests in the last report that are certainly those of other routers.
    pub(crate) foreign_running: u32,
    /// The greatest number of own requests in flight since the last report, and in the interval before it.
    pub(crate) peak: u32,
    pub(crate) previous_peak: u32,
    /// The smallest number of own requests in flight in the same two intervals.
    pub(crate) trough: u32,
    pub(crate) previous_trough: u32,
    pub(crate) is_closed: bool,
    pub(crate) next_ticket: u64,
}

impl Controller {
    /// Creates the controller of a target of which nothing is known: the target counts as cold.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::admission::{query, Controller, Settings};
    /// use sardinemux_core::load::Mean;
    ///
    /// let controller = Controller::new(Settings::default(), 8);
    /// assert_eq!(query::in_flight_limit(&controller, Mean { requests: 9.0, tokens: 0.0 }), 2);
    /// ```
    pub fn new(settings: Settings, slots: u32) -> Self {
        Self {
            warmup: warmup::State::new(settings.warmup, slots),
            chats: Chats::new(settings.chats_max),
            settings,
            slots,
            running: IndexMap::new(),
            running_tokens: 0,
            waiting: IndexMap::new(),
            queue: Queue::default(),
            former_owner: FormerOwner::None,
            report: None,
            foreign_running: 0,
            peak: 0,
            previous_peak: 0,
            trough: 0,
            previous_trough: 0,
            is_closed: false,
            next_ticket: 0,
        }
    }
}
