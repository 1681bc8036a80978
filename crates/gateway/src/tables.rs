//! The tables that all tasks of a gateway share, and the order in which they are locked.
//!
//! Lock order: `catalog`, `history`, `roster`, `members`, `views`, and then the rest, of which no two are held together. No lock
//! is held while waiting for anything else.

use std::net::SocketAddr;

use indexmap::IndexMap;
use parking_lot::{Mutex, RwLock};
use sardinemux_core::catalog::patch::History;
use sardinemux_core::catalog::Catalog;
use sardinemux_core::prompt::Holders;
use sardinemux_core::reports;
use sardinemux_core::retry::{self, Budget};
use sardinemux_core::roster::{self, Roster};
use sardinemux_core::suspension::Detector;
use sardinemux_core::target::Key;
use sardinemux_core::{cold_start, roster::query};
use sardinemux_host::clock::Clock;
use tokio::sync::watch;

use crate::connections::{self, Shelf};
use crate::dialect::Dialect;
use crate::drain::{Drain, Phase};
use crate::members::Members;
use crate::metrics::Metrics;
use crate::prelude::*;
use crate::replication::View;
use crate::settings::{Bounds, Settings};
use crate::source::Topic;

/// The part of the deployment's retry budget that is used: arrivals are counted at the targets, in windows that
/// slide, and gateways come and go.
const RETRY_PART: f64 = 0.75;

/// The part of the deployment's load bound up to which a target is chosen, as reports are a moment old.
const LOAD_PART: f64 = 0.7;

/// Everything that the tasks of a gateway share.
#[derive(Debug)]
pub struct Gateway {
    /// The settings.
    pub settings: Settings,
    /// The names of the headers.
    pub dialect: Dialect,
    /// The clock.
    pub clock: Clock,
    /// The catalogue in force.
    pub catalog: RwLock<Arc<Catalog>>,
    /// What changed between the versions of the catalogue.
    pub history: Mutex<History>,
    /// The targets.
    pub roster: Mutex<Roster>,
    /// The other gateways.
    pub members: Mutex<Members>,
    /// What was heard of each topic.
    pub views: Mutex<IndexMap<Topic, View>>,
    /// Which target last read each shared prompt part.
    pub holders: Mutex<Holders>,
    /// The retry budget of each pool.
    pub retries: Mutex<IndexMap<SmolStr, Budget>>,
    /// Idle connections to targets.
    pub shelf: Mutex<Shelf>,
    /// Notices that the process stood still.
    pub pulse: Mutex<Detector>,
    /// How often the process stood still.
    pub wakes: watch::Sender<u64>,
    /// The bounds in force.
    pub bounds: RwLock<Bounds>,
    /// Other gateways to ask while no gateway is known.
    pub seeds: RwLock<Vec<SocketAddr>>,
    /// Counts what runs.
    pub drain: Arc<Drain>,
    /// The metrics.
    pub metrics: Metrics,
}

impl Gateway {
    /// Creates the tables of a gateway that knows nothing yet.
    ///
    /// # Errors
    ///
    /// `Error::Metric` if a metric cannot be made.
    pub fn new(settings: Settings, dialect: Dialect) -> Result<Self> {
        let roster = roster::Settings {
            load_multiple: settings.bounds.load_multiple * LOAD_PART,
            ..roster::Settings::default()
        };
        Ok(Self {
            dialect,
            clock: Clock::default(),
            catalog: RwLock::default(),
            history: Mutex::default(),
            roster: Mutex::new(Roster::new(roster)),
            members: Mutex::new(Members::new(settings.zone.clone())),
            views: Mutex::default(),
            holders: Mutex::default(),
            retries: Mutex::default(),
            shelf: Mutex::default(),
            pulse: Mutex::default(),
            wakes: watch::Sender::new(0),
            bounds: RwLock::new(settings.bounds),
            seeds: RwLock::new(settings.seeds.clone()),
            drain: Arc::default(),
            metrics: Metrics::new()?,
            settings,
        })
    }

    /// Puts settings in force that may change while the process runs: bounds and seeds.
    pub fn reload(&self, settings: &Settings) {
        let load_multiple = settings.bounds.load_multiple * LOAD_PART;
        roster::command::set_load_multiple(&mut self.roster.lock(), load_multiple);
        *self.bounds.write() = settings.bounds;
        *self.seeds.write() = settings.seeds.clone();
        let bounds = settings.bounds;
        log::info!(
            grace_ms = bounds.grace_ms, retry_ratio = bounds.retry_ratio, retry_extra = bounds.retry_extra,
            load_multiple = bounds.load_multiple, seeds = settings.seeds.len();
            "settings reloaded"
        );
        if settings.fixed() != self.settings.fixed() {
            log::warn!("a setting that names addresses or the instance changed; it takes effect at the next start");
        }
    }

    /// Returns the milliseconds since this process began.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Returns the catalogue in force.
    pub fn catalog(&self) -> Arc<Catalog> {
        self.catalog.read().clone()
    }

    /// Returns whether callers can be served: there is a catalogue and a target.
    pub fn can_serve(&self) -> bool {
        self.catalog.read().version() > 0 && !query::is_empty(&self.roster.lock())
    }

    /// Returns whether the balancer should send callers here.
    pub fn is_ready(&self) -> bool {
        self.can_serve() && self.drain.phase() == Phase::Serving
    }

    /// Returns the requests a second that this gateway may send to a target while it is cold.
    pub fn cold_per_s(&self, pool: &str, target: &str) -> f64 {
        let per_s = self
            .catalog()
            .pool(pool)
            .map_or(0.0, |pool| pool.cold_per_s);
        let members = self.members.lock();
        cold_start::rate_share(per_s, &self.settings.name, members.names(), target)
    }

    /// Returns how many idle connections to a target are kept.
    pub fn idle_max(&self, key: Key) -> usize {
        let pool = query::target(&self.roster.lock(), key).map(|target| target.pool.clone());
        let catalog = self.catalog();
        let pool = pool.as_ref().and_then(|pool| catalog.pool(pool));
        let gateways = self.members.lock().names().count() + 1;
        pool.map_or(1, |pool| {
            connections::idle_max(pool.connections_max, gateways)
        })
    }

    /// Notes a first attempt at a pool, which earns a part of a retry.
    pub fn earn_retry(&self, pool: &SmolStr) {
        self.with_budget(pool, Budget::deposit);
    }

    /// Takes one retry out of a pool's budget and returns whether there was one.
    pub fn spend_retry(&self, pool: &SmolStr) -> bool {
        self.with_budget(pool, Budget::try_withdraw)
    }

    fn with_budget<T>(&self, pool: &SmolStr, action: impl FnOnce(&mut Budget) -> T) -> T {
        let gateways = (self.members.lock().names().count() + 1) as f64;
        let bounds = *self.bounds.read();
        let settings = retry::Settings {
            ratio: bounds.retry_ratio * RETRY_PART,
            balance_max: (bounds.retry_extra * RETRY_PART / gateways).max(1.0),
            ..retry::Settings::default()
        };
        let mut retries = self.retries.lock();
        let budget = retries
            .entry(pool.clone())
            .or_insert_with(|| Budget::new(settings));
        budget.update_settings(settings);
        action(budget)
    }

    /// Drops what is too old to count.
    pub fn tidy(&self) {
        let now_ms = self.now_ms();
        let others = self.members.lock().names().count();
        let mut roster = self.roster.lock();
        roster::command::set_report_ttl_ms(&mut roster, reports::validity_ms(others));
        for id in roster::command::remove_expired(&mut roster, now_ms) {
            log::info!(target_id:% = id; "target was not listed again and is forgotten");
        }
        let is_known = |key: Key| query::target(&roster, key).is_some();
        self.shelf.lock().tidy(is_known);
    }
}
