//! The state that all tasks of a router share, and the order in which its locks are taken.
//!
//! The lock order is `config`, `targets`, `view`, `owners`, `samples`, `target_states`, `fence`, and then any of the
//! others, of which no two are held at once. No lock is held across an `await`.

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
use sardinemux_platform::client::Platform;
use sardinemux_wire::peer::{ClaimStatus, ServiceAnswer};
use sardinemux_wire::target::Load;

use crate::drain::Drain;
use crate::metrics::Metrics;
use crate::owner::admission::TargetState;
use crate::prelude::*;
use crate::settings::Settings;

/// The maximum number of entries of the configuration log that are kept for peers.
pub const LOG_TAIL_MAX: usize = 1_024;

/// The response of a service, kept for a while in case the connection to the entry breaks before it is delivered.
#[derive(Clone, Debug)]
pub struct KeptAnswer {
    /// The response.
    pub answer: ServiceAnswer,
    /// The time on the router's clock after which it may be dropped, in milliseconds.
    pub expires_at_ms: u64,
}

/// The HTTP clients. Each purpose has its own, so that an exhausted connection pool delays no other purpose.
pub struct Clients {
    /// Control messages: gossip, handover and configuration.
    pub control: Client,
    /// Outcome and claim queries to a peer that fell silent: each on a new connection.
    pub control_unpooled: Client,
    /// Forwarded requests to owner routers.
    pub forward: Client,
    /// Requests to targets that are safe to repeat.
    pub target: Client,
    /// Requests to targets that must not be repeated, each on a new connection.
    pub target_unpooled: Client,
    /// Load reports and cache events of targets.
    pub report: Client,
}

impl Clients {
    fn new() -> Result<Self> {
        let stream = client::Settings {
            total_timeout_ms: None,
            idle_connections_max: 64,
            ..client::Settings::default()
        };
        let fresh = client::Settings {
            idle_timeout_ms: 0,
            ..client::Settings::default()
        };
        Ok(Self {
            control: client::build(client::Settings::default())?,
            control_unpooled: client::build(fresh)?,
            forward: client::build(stream)?,
            target: client::build(stream)?,
            target_unpooled: client::build(client::Settings {
                idle_timeout_ms: 0,
                ..stream
            })?,
            report: client::build(client::Settings::default())?,
        })
    }
}

/// The state that all tasks of a router share.
pub struct Router {
    /// The settings.
    pub settings: Settings,
    /// The monotonic clock of this process.
    pub clock: Clock,
    /// The boot number, which distinguishes this process from earlier ones of the same instance.
    pub boot: u64,
    /// The configuration in force.
    pub config: RwLock<Arc<State>>,
    /// The newest entries of the configuration log.
    pub log_tail: RwLock<VecDeque<Entry>>,
    /// The targets of the last instance list.
    pub targets: RwLock<Arc<target::Table>>,
    /// The membership view of all routers.
    pub view: Mutex<View>,
    /// The owner of each target, by target id; computed from `view` and `targets`.
    pub owners: RwLock<Arc<IndexMap<SmolStr, Member>>>,
    /// The load samples of other routers.
    pub samples: Mutex<Samples>,
    /// The admission state of each target that this router owns, or no longer owns but still runs requests on.
    pub target_states: Mutex<IndexMap<SmolStr, TargetState>>,
    /// The ids of the requests that this owner has received or fenced.
    pub fence: Mutex<fence::Table>,
    /// Responses of services that are kept until they expire, by request id.
    pub kept_answers: Mutex<IndexMap<fence::RequestId, KeptAnswer>>,
    /// The status of each claim in the idempotency ledger that this entry holds.
    pub claims: Mutex<IndexMap<Nonce, ClaimStatus>>,
    /// The number of running requests at this entry, by organisation.
    pub entry_requests: Mutex<IndexMap<SmolStr, u32>>,
    /// The last load report of each polled target, by target id.
    pub reports: Mutex<IndexMap<SmolStr, Load>>,
    /// The retry budget.
    pub retry_budget: Mutex<retry::Budget>,
    /// The rate limit of control traffic.
    pub control_budget: Mutex<Budget>,
    /// The count of running requests and the shutdown flag.
    pub drain: Drain,
    /// The metrics.
    pub metrics: Metrics,
    /// The HTTP clients.
    pub clients: Clients,
    /// The client of the platform's services.
    pub platform: Platform,
}

impl Router {
    /// Creates the state of a router without a configuration, targets or peers.
    ///
    /// # Errors
    ///
    /// `Error::Host` if an HTTP client cannot be built, `Error::Metric` if a metric cannot be registered.
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
            target_states: Mutex::default(),
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

    /// Returns the milliseconds since this process started.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Arc<State> {
        self.config.read().clone()
    }

    /// Returns the targets of the last instance list.
    pub fn targets(&self) -> Arc<target::Table> {
        self.targets.read().clone()
    }

    /// Returns the owner of each target, by target id.
    pub fn owners(&self) -> Arc<IndexMap<SmolStr, Member>> {
        self.owners.read().clone()
    }

    /// Returns the membership entry of this router.
    pub fn local_member(&self) -> Member {
        membership::query::local_member(&self.view.lock()).clone()
    }

    /// Returns whether this router may admit requests to its targets: it can serve, and is not shutting down.
    pub fn is_ready(&self) -> bool {
        self.can_serve() && !self.drain.is_stopping()
    }

    /// Returns whether this router can serve callers: it has a configuration and targets, and is not cut off. A router
    /// that is shutting down still serves the requests that the load balancer sends to it.
    pub fn can_serve(&self) -> bool {
        let has_config = self.config.read().version > 0;
        let has_targets = !self.targets.read().is_empty();
        has_config && has_targets && !self.is_cut_off()
    }

    /// Returns whether this router has peers, but has had no contact with them or the platform for longer than the
    /// membership settings allow.
    pub fn is_cut_off(&self) -> bool {
        membership::query::is_cut_off(&self.view.lock(), self.now_ms())
    }

    /// Recomputes the owner of each target after a change of routers, targets or configuration, and opens or closes
    /// admission to the targets of this router.
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
        crate::owner::admission::refresh(self, &targets, &former, &owners);
    }

    /// Returns the value of a configuration parameter that is in force for a target.
    pub fn parameter(&self, parameter: config::Parameter, target: &target::Target) -> f64 {
        let subject = config::query::Subject::of_target(target);
        config::query::effective_value(&self.config.read(), parameter, subject)
    }
}
