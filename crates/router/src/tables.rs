//! The tables that all workers of a router share, and the order in which they are locked.
//!
//! Lock order: `config`, `targets`, `view`, `owners`, `samples`, `desks`, `fence`, and then the rest,
//! of which no two are held together. No lock is held while waiting for anything else.

use std::collections::VecDeque;

use indexmap::IndexMap;
use parking_lot::{Mutex, RwLock};
use reqwest::Client;
use sardinemux_core::config::{self, Entry, State};
use sardinemux_core::control_traffic::Budget;
use sardinemux_core::membership::{self, Member, View};
use sardinemux_core::{fence, idempotency::Nonce, load::Samples, ownership, retry, target};
use sardinemux_host::client;
use sardinemux_host::clock::Clock;
use sardinemux_platform::services::Platform;
use sardinemux_wire::ask::{ClaimStatus, Kept};
use sardinemux_wire::target::Load;

use crate::drain::Drain;
use crate::metrics::Metrics;
use crate::owner::desk::Desk;
use crate::prelude::*;
use crate::settings::Settings;

/// The entries of the configuration log that are kept for peers.
pub const LOG_TAIL_MAX: usize = 1_024;

/// A service's answer, kept for a while in case its delivery to the entry is cut.
#[derive(Clone, Debug)]
pub struct KeptAnswer {
    /// The answer.
    pub answer: Kept,
    /// When it may be dropped.
    pub expires_at_ms: u64,
}

/// HTTP clients, one a purpose.
pub struct Clients {
    /// Gossip, questions and configuration.
    pub control: Client,
    /// Questions after a silence: every one on a connection of its own.
    pub control_unpooled: Client,
    /// Requests to owner routers.
    pub forward: Client,
    /// Requests to targets that may be repeated.
    pub target: Client,
    /// Requests to targets that must not be repeated: never on a used connection.
    pub target_unpooled: Client,
    /// Reports of targets.
    pub report: Client,
}

impl Clients {
    fn new() -> Result<Self> {
        let stream = client::Settings {
            total_ms: None,
            idle_max: 64,
            ..client::Settings::default()
        };
        let fresh = client::Settings {
            idle_ms: 0,
            ..client::Settings::default()
        };
        Ok(Self {
            control: client::build(client::Settings::default())?,
            control_unpooled: client::build(fresh)?,
            forward: client::build(stream)?,
            target: client::build(stream)?,
            target_unpooled: client::build(client::Settings {
                idle_ms: 0,
                ..stream
            })?,
            report: client::build(client::Settings::default())?,
        })
    }
}

/// Everything that the workers of a router share.
pub struct Router {
    /// The settings.
    pub settings: Settings,
    /// The clock.
    pub clock: Clock,
    /// Tells this process from the earlier ones of the instance.
    pub boot: u64,
    /// The configuration in force.
    pub config: RwLock<Arc<State>>,
    /// The newest entries of the configuration log.
    pub log_tail: RwLock<VecDeque<Entry>>,
    /// The targets.
    pub targets: RwLock<Arc<target::Table>>,
    /// The routers.
    pub view: Mutex<View>,
    /// The owner of each target; follows from `view` and `targets`.
    pub owners: RwLock<Arc<IndexMap<SmolStr, Member>>>,
    /// Load samples.
    pub samples: Mutex<Samples>,
    /// The books of the targets that this router owns, or owned a moment ago.
    pub desks: Mutex<IndexMap<SmolStr, Desk>>,
    /// Request ids that this owner has seen.
    pub fence: Mutex<fence::Table>,
    /// Answers of services that are kept for a while.
    pub kept_answers: Mutex<IndexMap<fence::RequestId, KeptAnswer>>,
    /// Claims of idempotency keys that this entry holds.
    pub claims: Mutex<IndexMap<Nonce, ClaimStatus>>,
    /// Requests at this entry, by organisation.
    pub entry_requests: Mutex<IndexMap<SmolStr, u32>>,
    /// Lagging load reports of targets.
    pub reports: Mutex<IndexMap<SmolStr, Load>>,
    /// The retry budget.
    pub retry_budget: Mutex<retry::Budget>,
    /// The control traffic budget.
    pub control_budget: Mutex<Budget>,
    /// Counts what runs.
    pub drain: Drain,
    /// The metrics.
    pub metrics: Metrics,
    /// The HTTP clients.
    pub clients: Clients,
    /// The platform.
    pub platform: Platform,
}

impl Router {
    /// Creates the tables of a router that knows nothing yet.
    ///
    /// # Errors
    ///
    /// `Error::Host` or `Error::Metric` if a client or a metric cannot be made.
    pub fn new(settings: Settings, boot: u64) -> Result<Self> {
        let clock = Clock::default();
        let me = Member {
            id: settings.id.clone(),
            address: settings.advertised_address.to_string().into(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            boot,
            epoch: 0,
            state: membership::State::Alive,
        };
        let membership = membership::Settings {
            suspicion_timeout_ms: settings.suspicion_timeout_ms,
            ..membership::Settings::default()
        };
        Ok(Self {
            platform: Platform::new(settings.platform.clone(), settings.platform_timeout_ms),
            control_budget: Mutex::new(Budget::new(settings.control_bytes_per_s, 0)),
            view: Mutex::new(View::new(me, membership, 0)),
            clock,
            boot,
            config: RwLock::default(),
            log_tail: RwLock::default(),
            targets: RwLock::default(),
            owners: RwLock::default(),
            samples: Mutex::default(),
            desks: Mutex::default(),
            fence: Mutex::new(fence::Table::new(fence::Settings::default())),
            kept_answers: Mutex::default(),
            claims: Mutex::default(),
            entry_requests: Mutex::default(),
            reports: Mutex::default(),
            retry_budget: Mutex::new(retry::Budget::new(retry::Settings::default())),
            drain: Drain::default(),
            metrics: Metrics::new()?,
            clients: Clients::new()?,
            settings,
        })
    }

    /// Returns the milliseconds since this process began.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Arc<State> {
        self.config.read().clone()
    }

    /// Returns the targets.
    pub fn targets(&self) -> Arc<target::Table> {
        self.targets.read().clone()
    }

    /// Returns the owners of the targets.
    pub fn owners(&self) -> Arc<IndexMap<SmolStr, Member>> {
        self.owners.read().clone()
    }

    /// Returns this router as it describes itself.
    pub fn local_member(&self) -> Member {
        membership::query::local_member(&self.view.lock()).clone()
    }

    /// Returns whether this router owns targets: it can serve, and is not stopping.
    pub fn is_ready(&self) -> bool {
        self.can_serve() && !self.drain.is_stopping()
    }

    /// Returns whether this router can serve callers: it has a configuration and targets, and is not cut
    /// off. A router that is stopping still serves what the balancer sends it.
    pub fn can_serve(&self) -> bool {
        let has_config = self.config.read().version > 0;
        let has_targets = !self.targets.read().is_empty();
        has_config && has_targets && !self.is_cut_off()
    }

    /// Returns whether this router has reached neither a peer nor the platform for too long.
    pub fn is_cut_off(&self) -> bool {
        membership::query::is_cut_off(&self.view.lock(), self.now_ms())
    }

    /// Computes the owners anew after a change of routers or targets, and opens or closes books.
    pub fn recompute_owners(&self) {
        let targets = self.targets();
        let former = self.owners();
        let owners = {
            let view = self.view.lock();
            let live: Vec<&Member> = membership::query::owners(&view).collect();
            let owner =
                |target: &target::Target| ownership::owner(live.iter().copied(), target).cloned();
            let owned = targets
                .iter()
                .filter_map(|(_, target)| Some((target.id.clone(), owner(target)?)));
            Arc::new(owned.collect::<IndexMap<SmolStr, Member>>())
        };
        *self.owners.write() = owners.clone();
        crate::owner::desk::refresh(self, &targets, &former, &owners);
    }

    /// Returns the value of a parameter that is in force for a target.
    pub fn parameter(&self, parameter: config::Parameter, target: &target::Target) -> f64 {
        let subject = config::query::Subject::of_target(target);
        config::query::effective_value(&self.config.read(), parameter, subject)
    }
}
