//! The owner's book of one target: what runs on it, what waits for it and how much it may carry.
//!
//! Three limits hold at once: what the target bears (its slots, less while it is cold), the load
//! bound over the pool's mean, and what an earlier owner may still have in flight.

pub mod command;
pub mod query;

use indexmap::IndexMap;

use crate::chats::Chats;
use crate::fairness::{Flow, Queue, Ticket};
use crate::warmup;

/// Limits of one target.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// The load bound, as a multiple of the mean.
    pub load_multiple: f64,
    /// The cold start.
    pub warmup: warmup::Settings,
    /// The most requests that wait.
    pub queue_max: usize,
    /// How long a new owner that got no answer admits nothing, in milliseconds. It must be longer than a
    /// router that is cut off goes on, and than a rumour takes to reach the former owner.
    pub takeover_ms: u64,
    /// Whether the target reports its load.
    pub has_reports: bool,
    /// How far a report lags at most, in milliseconds.
    pub report_lag_ms: u64,
    /// The recent chats that are remembered.
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

/// What a request asks of a target.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// Whose work it is.
    pub flow: Flow,
    /// The estimated tokens, prompt and answer.
    pub tokens: u64,
}

/// What a target says of itself, late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// The requests that run on it, whoever sent them.
    pub running: u32,
    /// Which incarnation speaks.
    pub incarnation: u64,
}

/// What is known of the work that an earlier owner has in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FormerOwner {
    /// There is no earlier owner, or all its work has ended.
    None,
    /// It has not answered; until it has stopped for certain, it may fill the target by itself.
    Unanswered { since_ms: u64 },
    /// It has answered and sends no more.
    Answered { running: u32 },
    /// It has stopped for certain; the target's reports show what it may have left behind.
    Draining { running_max: u32, since_ms: u64 },
}

/// The owner's book of one target.
#[derive(Clone, Debug)]
pub struct Controller {
    pub(crate) settings: Settings,
    pub(crate) slots: u32,
    pub(crate) warmup: warmup::State,
    pub(crate) running: IndexMap<Ticket, u64>,
    pub(crate) running_tokens: u64,
    pub(crate) waiting: IndexMap<Ticket, Demand>,
    pub(crate) queue: Queue,
    pub(crate) chats: Chats,
    pub(crate) former_owner: FormerOwner,
    pub(crate) report: Option<Report>,
    pub(crate) foreign_running: u32,
    pub(crate) peak: u32,
    pub(crate) previous_peak: u32,
    pub(crate) trough: u32,
    pub(crate) previous_trough: u32,
    pub(crate) is_closed: bool,
    pub(crate) next_ticket: u64,
}

impl Controller {
    /// Opens the book of a target of which nothing is known.
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
