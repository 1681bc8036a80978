//! The state that all tasks of a gateway share, and the order in which it is locked.
//!
//! Lock order: `catalog`, `history`, `roster`, `members`, `views`, then the others, of which no two are held together.
//! No lock is held across an `await` or a blocking call.

use std::net::SocketAddr;

use indexmap::IndexMap;
use parking_lot::{Mutex, RwLock};
use sardinemux_core::catalog::patch::History;
use sardinemux_core::catalog::Catalog;
use sardinemux_core::memory;
use sardinemux_core::passage::Seen;
use sardinemux_core::position::Era;
use sardinemux_core::prompt::Holders;
use sardinemux_core::reach::{self, Reach};
use sardinemux_core::read_ahead;
use sardinemux_core::readers::KnownEra;
use sardinemux_core::reports;
use sardinemux_core::retry::{self, Budget};
use sardinemux_core::roster::{self, Roster, Shares};
use sardinemux_core::suspension::Detector;
use sardinemux_core::target::Key;
use sardinemux_core::{rate_share, roster::query, slot_share};
use sardinemux_host::clock::Clock;
use tokio::sync::{watch, Notify};

use crate::busy::Meter;
use crate::connections::{self, IdlePool};
use crate::dialect::Dialect;
use crate::drain::{Drain, Phase};
use crate::intake::Intake;
use crate::members::Members;
use crate::metrics::Metrics;
use crate::origins::Origins;
use crate::permits::Permits;
use crate::prelude::*;
use crate::quarantine::{Alarm, Quarantine};
use crate::replication::View;
use crate::rollouts::Rollouts;
use crate::settings::{Bounds, Settings};
use crate::source::Topic;
use crate::speeds::Speeds;
use crate::uplink::Uplink;
use crate::zones::Zones;

/// The share of the deployment's retry budget that the gateways use. The rest is a margin: arrivals are counted at the
/// targets in sliding windows, and the number of gateways changes.
const RETRY_SHARE: f64 = 0.75;

/// The share of the deployment's load bound up to which a target is chosen. The rest is a margin for the age of the
/// reports.
const LOAD_SHARE: f64 = 0.7;

/// The state that the tasks of a gateway share.
#[derive(Debug)]
pub struct Gateway {
    /// The settings at the start; `bounds` and `seeds` hold the ones in force.
    pub settings: Settings,
    /// The names of the headers.
    pub dialect: Dialect,
    /// The clock that all times in milliseconds come from.
    pub clock: Clock,
    /// The catalogue in force.
    pub catalog: RwLock<Arc<Catalog>>,
    /// Wakes the task that follows other gateways once one of them has shown that it has a later catalogue.
    pub later_catalog: Notify,
    /// The catalogue that callers may have seen through another gateway.
    pub seen_catalog: Mutex<Seen>,
    /// The changes between recent versions of the catalogue.
    pub history: Mutex<History>,
    /// The targets and their load.
    pub roster: Mutex<Roster>,
    /// Wakes the task that tells collectors of requests that have begun.
    pub load_change: Notify,
    /// The other gateways.
    pub members: Mutex<Members>,
    /// The received entries of each topic.
    pub views: Mutex<IndexMap<Topic, View>>,
    /// The target that last processed each shared prompt prefix.
    pub holders: Mutex<Holders>,
    /// The retry budget of each pool.
    pub retry_budgets: Mutex<IndexMap<SmolStr, Budget>>,
    /// The evidence against prompt parts under which targets crash.
    pub quarantine: Mutex<Quarantine>,
    /// Wakes the task that sends reports when there are urgent notices.
    pub quarantine_alarm: Alarm,
    /// Where resumable streams began.
    pub origins: Origins,
    /// The rollouts of builds.
    pub rollouts: Rollouts,
    /// What is known of the speeds of targets besides the roster.
    pub speeds: Speeds,
    /// What is known of the requests of the availability zone.
    pub zones: Zones,
    /// Requests for permits, and the queues of the pools of which this gateway is the dispatcher.
    pub permits: Permits,
    /// The paths of this gateway and others to targets.
    pub reach: Mutex<Reach>,
    /// Idle connections to other gateways, for requests that these send to targets.
    pub idle_hops: Mutex<IdlePool<SocketAddr>>,
    /// Idle connections to targets.
    pub idle_connections: Mutex<IdlePool>,
    /// The latest era of the store that is known here.
    pub era: watch::Sender<KnownEra>,
    /// Detects that the process was suspended.
    pub suspension_detector: Mutex<Detector>,
    /// The number of detected suspensions of the process.
    pub suspensions: watch::Sender<u64>,
    /// The bounds of the deployment in force.
    pub bounds: RwLock<Bounds>,
    /// The addresses that get reports while no other gateway is known.
    pub seeds: RwLock<Vec<SocketAddr>>,
    /// The bytes that are read from callers' connections behind the requests that are served.
    pub read_ahead: Arc<read_ahead::Budget>,
    /// The memory that everything which is held for callers, targets and other gateways shares.
    pub memory: Arc<memory::Budget>,
    /// The connections of all clients.
    pub intake: Intake,
    /// The longest time for which the process has worked without a pause.
    pub busy: Mutex<Meter>,
    /// The large updates that are sent to other gateways.
    pub uplink: Arc<Uplink>,
    /// The running requests and the phase of a stop.
    pub drain: Arc<Drain>,
    /// The metrics.
    pub metrics: Metrics,
}

impl Gateway {
    /// Creates the state of a gateway without catalogue, targets or other gateways.
    ///
    /// # Errors
    ///
    /// `Error::Metric` if a metric cannot be registered.
    pub fn new(settings: Settings, dialect: Dialect) -> Result<Self> {
        let roster = roster::Settings {
            load_multiple: settings.bounds.load_multiple * LOAD_SHARE,
            ..roster::Settings::default()
        };
        Ok(Self {
            dialect,
            clock: Clock::default(),
            catalog: RwLock::default(),
            later_catalog: Notify::new(),
            seen_catalog: Mutex::default(),
            history: Mutex::default(),
            roster: Mutex::new(Roster::new(roster)),
            load_change: Notify::new(),
            members: Mutex::new(Members::new(settings.zone.clone())),
            views: Mutex::default(),
            holders: Mutex::default(),
            retry_budgets: Mutex::default(),
            quarantine: Mutex::default(),
            quarantine_alarm: Alarm::default(),
            origins: Origins::default(),
            rollouts: Rollouts::default(),
            speeds: Speeds::default(),
            zones: Zones::default(),
            permits: Permits::default(),
            reach: Mutex::default(),
            idle_hops: Mutex::default(),
            idle_connections: Mutex::default(),
            era: watch::Sender::new(KnownEra::default()),
            suspension_detector: Mutex::default(),
            suspensions: watch::Sender::new(0),
            bounds: RwLock::new(settings.bounds),
            seeds: RwLock::new(settings.seeds.clone()),
            read_ahead: Arc::default(),
            memory: Arc::new(memory::Budget::of_process(settings.memory_bytes)),
            intake: Intake::new(settings.clients),
            uplink: Arc::new(Uplink::new(settings.link_mbps)),
            busy: Mutex::default(),
            drain: Arc::default(),
            metrics: Metrics::new()?,
            settings,
        })
    }

    /// Applies the settings that may change while the process runs: the bounds and the seeds.
    pub fn apply_settings(&self, settings: &Settings) {
        let load_multiple = settings.bounds.load_multiple * LOAD_SHARE;
        roster::command::set_load_multiple(&mut self.roster.lock(), load_multiple);
        *self.bounds.write() = settings.bounds;
        *self.seeds.write() = settings.seeds.clone();
        let bounds = settings.bounds;
        log::info!(
            grace_ms = bounds.grace_ms, retry_ratio = bounds.retry_ratio, retry_extra = bounds.retry_extra,
            load_multiple = bounds.load_multiple, seeds = settings.seeds.len();
            "settings reloaded"
        );
        if settings.without_reloadable() != self.settings.without_reloadable() {
            log::warn!(
                "settings other than bounds and seeds changed; they take effect at the next start"
            );
        }
    }

    /// Records that another gateway has a version of the catalogue in force, and has this one get it if that is later.
    pub fn note_catalog_holder(&self, name: &str, version: u64) {
        if self.members.lock().note_catalog(name, version) {
            self.later_catalog.notify_waiters();
        }
    }

    /// Records by which version of the catalogue another gateway has served a request that was passed on to it.
    pub fn note_seen_catalog(&self, name: &str, version: u64) {
        if version <= self.catalog.read().version() {
            return;
        }
        self.seen_catalog.lock().note(version, self.now_ms());
        self.note_catalog_holder(name, version);
    }

    /// Returns whether callers may have seen a later catalogue than the one in force.
    pub fn is_behind_seen_catalog(&self) -> bool {
        let own = self.catalog.read().version();
        let seen = *self.seen_catalog.lock();
        seen.is_ahead(own, self.now_ms())
    }

    /// Returns the time since the start of the process, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Records an era of the store that an answer of the store, or another gateway, has stated. Earlier ones are ignored.
    pub fn note_era(&self, era: Era) {
        let since_ms = self.now_ms();
        let is_news = self.era.send_if_modified(|known| {
            let is_news = era > known.era;
            if is_news {
                log::warn!(era:? = era, former:? = known.era; "the store states a new era; versions of the former one no longer count");
                *known = KnownEra { era, since_ms };
            }
            is_news
        });
        if is_news {
            self.metrics.store_era.set(era.map_or(0, i64::from));
        }
    }

    /// Returns the catalogue in force.
    pub fn catalog(&self) -> Arc<Catalog> {
        self.catalog.read().clone()
    }

    /// Returns whether requests can be served: a catalogue is in force and at least one target is known.
    pub fn can_serve(&self) -> bool {
        self.catalog.read().version() > 0 && !query::is_empty(&self.roster.lock())
    }

    /// Returns whether the load balancer may send requests to this gateway.
    pub fn is_ready(&self) -> bool {
        self.can_serve() && self.drain.phase() == Phase::Serving
    }

    /// Returns the shares of this gateway in the rate limits of a target: that of its pool for cold targets, and the one
    /// that the target states, if any.
    pub fn rate_shares(&self, pool: &str, target: &str, stated_limit: Option<f64>) -> Shares {
        let per_s = self
            .catalog()
            .pool(pool)
            .map_or(0.0, |pool| pool.cold_per_s);
        let in_flight_max = self.slot_share(pool, target);
        let members = self.members.lock();
        let me = &self.settings.name;
        Shares {
            in_flight_max,
            cold_per_s: rate_share::cold(per_s, me, members.names(), target),
            stated_per_s: stated_limit
                .map(|limit| rate_share::stated(limit, me, members.names(), target)),
        }
    }

    /// Returns the number of requests that this gateway may have in flight on a target while its pool is brittle.
    fn slot_share(&self, pool: &str, target: &str) -> Option<u32> {
        let now_ms = self.now_ms();
        let slots = {
            let roster = self.roster.lock();
            if !query::is_brittle(&roster, pool, now_ms) {
                return None;
            }
            query::slots(&roster, pool, now_ms)
        };
        let members = self.members.lock();
        let me = &self.settings.name;
        Some(slot_share::of(pool, me, members.names(), &slots, target))
    }

    /// Returns the largest number of idle connections to a target that this gateway keeps open.
    pub fn idle_connections_max(&self, key: Key) -> usize {
        let pool = query::target(&self.roster.lock(), key).map(|target| target.pool.clone());
        let catalog = self.catalog();
        let pool = pool.as_ref().and_then(|pool| catalog.pool(pool));
        let gateways = self.members.lock().names().count() + 1;
        pool.map_or(1, |pool| {
            connections::idle_max(pool.connections_max, gateways)
        })
    }

    /// Adds the share of a retry that a first attempt earns to the budget of a pool.
    pub fn deposit_retry(&self, pool: &SmolStr) {
        self.with_retry_budget(pool, Budget::deposit);
    }

    /// Withdraws one retry from the budget of a pool and returns `true`, or returns `false` if less than one is left.
    pub fn try_withdraw_retry(&self, pool: &SmolStr) -> bool {
        self.with_retry_budget(pool, Budget::try_withdraw)
    }

    /// Calls `action` with the budget of a pool, whose bounds follow the settings and the number of gateways.
    fn with_retry_budget<T>(&self, pool: &SmolStr, action: impl FnOnce(&mut Budget) -> T) -> T {
        let gateways = (self.members.lock().names().count() + 1) as f64;
        let bounds = *self.bounds.read();
        let settings = retry::Settings {
            ratio: bounds.retry_ratio * RETRY_SHARE,
            balance_max: (bounds.retry_extra * RETRY_SHARE / gateways).max(1.0),
            ..retry::Settings::default()
        };
        let mut budgets = self.retry_budgets.lock();
        let budget = budgets
            .entry(pool.clone())
            .or_insert_with(|| Budget::new(settings));
        budget.update_settings(settings);
        action(budget)
    }

    /// Removes expired reports, expired targets and the idle connections to targets that are no longer known. The time
    /// for which reports are valid follows the number of gateways.
    pub fn remove_expired(&self) {
        let now_ms = self.now_ms();
        let others = self.members.lock().names().count();
        let mut roster = self.roster.lock();
        roster::command::set_report_ttl_ms(&mut roster, reports::validity_ms(others));
        for id in roster::command::remove_expired(&mut roster, now_ms) {
            log::info!(target_id:% = id; "target was not listed again and is forgotten");
        }
        let is_known = |key: Key| query::target(&roster, key).is_some();
        self.idle_connections.lock().prune(is_known);
        drop(roster);
        crate::replication::remove_unconfirmed(self);
        crate::replication::settle_removals(self, now_ms);
        self.idle_hops.lock().prune(|_| true);
        let catalog = self.catalog();
        let mut reach = self.reach.lock();
        reach::command::set_notice_ttl_ms(&mut reach, reports::validity_ms(others));
        reach::command::remove_expired(&mut reach, |pool| catalog.pool(pool).is_some(), now_ms);
    }
}
