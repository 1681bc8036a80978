//! A whole fleet on the loopback interface.

mod administration;
mod layout;
mod processes;
mod surroundings;

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::AtomicU64;

use futures_util::future::join_all;
use indexmap::IndexMap;
use parking_lot::Mutex;
use reqwest::Client;
use sardinemux_core::target::Target;
use sardinemux_load::profile;
use smol_str::SmolStr;
use snafu::ResultExt;

use crate::client::until;
use crate::errors::{CallSnafu, Result};
use crate::process::Process;

/// The token of the consortium's first operator.
pub const FIRST_TOKEN: &str = "first-operator";

/// The secret of the fleet's programs.
const PEER_TOKEN: &str = "peer-secret";

/// The region of a fleet.
const REGION: &str = "north";

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The workload whose organisations and service exist.
    pub workload: String,
    /// The organisations.
    pub organisations: usize,
    /// The routers.
    pub routers: usize,
    /// The availability zones.
    pub zones: usize,
    /// The engines.
    pub engines: usize,
    /// The builds of the engines, which engines have in turn.
    pub builds: usize,
    /// The engines that one process serves; only whole processes can be killed.
    pub engines_per_process: usize,
    /// The service instances.
    pub services: usize,
    /// The administration programs.
    pub admins: usize,
    /// The routers' policy.
    pub policy: String,
    /// Mechanisms that are switched off.
    pub without: Vec<String>,
    /// Whether everything goes through a fault-injecting proxy.
    pub has_proxy: bool,
    /// How far the instance list lags, in milliseconds.
    pub list_lag_ms: u64,
    /// Further lines of the routers' settings, as (section, key, value).
    pub router_settings: Vec<(&'static str, &'static str, String)>,
    /// The descriptors that a router or an administration program may have open; `None` for as many as this process.
    pub open_files: Option<u64>,
    /// Further arguments of the engines.
    pub engine_arguments: Vec<String>,
    /// Further arguments of the services.
    pub service_arguments: Vec<String>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            workload: "couloir".to_owned(),
            organisations: 10,
            routers: 8,
            zones: 3,
            engines: 10,
            builds: 1,
            engines_per_process: 1,
            services: 3,
            admins: 1,
            policy: "owner".to_owned(),
            without: Vec::new(),
            has_proxy: false,
            list_lag_ms: 1_000,
            router_settings: Vec::new(),
            open_files: None,
            engine_arguments: vec!["--warm".to_owned()],
            service_arguments: Vec::new(),
        }
    }
}

/// A router with its addresses.
#[derive(Clone, Debug)]
pub struct RouterPlace {
    /// Its name.
    pub id: String,
    /// Its availability zone.
    pub zone: String,
    /// Where callers connect.
    pub entry: SocketAddr,
    /// Where it listens for other routers.
    pub peer: SocketAddr,
    /// The address that others are told: the proxy's, if there is one.
    pub listed: SocketAddr,
    /// Where it reaches the platform.
    pub platform: SocketAddr,
}

/// A target with its addresses.
#[derive(Clone, Debug)]
pub struct TargetPlace {
    /// The target as it is listed.
    pub target: Target,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A whole fleet.
pub struct Fleet {
    /// What it is made of.
    pub settings: Settings,
    /// The HTTP client of the trial.
    pub client: Client,
    /// The routers.
    pub routers: Vec<RouterPlace>,
    /// The engines.
    pub engines: Vec<TargetPlace>,
    /// The service instances.
    pub services: Vec<TargetPlace>,
    /// The administration programs.
    pub admins: Vec<SocketAddr>,
    /// The platform.
    pub platform: SocketAddr,
    proxy: Option<SocketAddr>,
    processes: Mutex<IndexMap<String, Process>>,
    version: AtomicU64,
    folder: PathBuf,
}

impl Fleet {
    /// Starts a fleet and waits until every router is ready.
    ///
    /// # Errors
    ///
    /// What went wrong at the start.
    pub async fn start(settings: Settings) -> Result<Self> {
        let fleet = Self::lay_out(settings)?;
        fleet.start_standins()?;
        let platform = fleet.platform;
        fleet.wait_for(platform).await?;
        fleet.list_all().await?;
        for index in 0..fleet.admins.len() {
            fleet.start_admin(index)?;
        }
        for admin in fleet.admins.clone() {
            fleet.wait_for(admin).await?;
        }
        for index in 0..fleet.routers.len() {
            fleet.start_router(index)?;
        }
        fleet.submit(fleet.organisations()).await?;
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    async fn wait_for(&self, address: SocketAddr) -> Result<()> {
        let url = format!("http://{address}/");
        until(&format!("an answer of {address}"), || async {
            self.client.get(&url).send().await.is_ok()
        })
        .await
    }

    /// Waits until every router that runs is ready.
    ///
    /// # Errors
    ///
    /// `Error::Late` if one is not.
    pub async fn wait_ready(&self) -> Result<()> {
        for router in &self.routers {
            let is_running = self.processes.lock().contains_key(&router.id);
            if is_running {
                self.wait_router_ready(router).await?;
            }
        }
        self.wait_met().await
    }

    /// Waits until a router is ready.
    ///
    /// # Errors
    ///
    /// `Error::Late` if it is not.
    pub async fn wait_router_ready(&self, router: &RouterPlace) -> Result<()> {
        let url = format!("http://{}/health/ready", router.entry);
        until(&format!("readiness of {}", router.id), || async {
            let answer = self.client.get(&url).send().await;
            answer.is_ok_and(|answer| answer.status().is_success())
        })
        .await
    }

    /// Waits until every target has exactly one owner, as the routers themselves count.
    async fn wait_met(&self) -> Result<()> {
        let targets = (self.engines.len() + self.services.len()) as f64;
        until("one owner for each target", || async {
            let counts = self.routers.iter().map(|router| async {
                let metric = self.metric(router, "sardinemux_owned_targets").await;
                metric.unwrap_or(0.0)
            });
            let sum: f64 = join_all(counts).await.into_iter().sum();
            sum == targets
        })
        .await
    }

    /// Returns the sum of a router's metric over its labels.
    ///
    /// # Errors
    ///
    /// `Error::Call` if the router does not answer.
    pub async fn metric(&self, router: &RouterPlace, name: &str) -> Result<f64> {
        let url = format!("http://{}/metrics", router.peer);
        let response = self.client.get(&url).send().await;
        let response = response.context(CallSnafu { url: url.clone() })?;
        let text = response.text().await;
        let text = text.context(CallSnafu { url })?;
        let values = text
            .lines()
            .filter(|line| line.starts_with(name))
            .filter_map(|line| line.rsplit_once(' ')?.1.parse::<f64>().ok());
        Ok(values.sum())
    }

    /// Returns the settings of a load on this fleet.
    pub fn load(&self) -> sardinemux_load::run::Settings {
        let text = |addresses: Vec<SocketAddr>| {
            let addresses = addresses.iter().map(SocketAddr::to_string);
            addresses.collect::<Vec<String>>()
        };
        sardinemux_load::run::Settings {
            workload: self.settings.workload.clone(),
            policy: self.settings.policy.clone(),
            organisations: self.settings.organisations,
            entries: text(self.routers.iter().map(|router| router.entry).collect()),
            routers: text(self.routers.iter().map(|router| router.peer).collect()),
            engines: text(self.engines.iter().map(|place| place.address).collect()),
            services: text(self.services.iter().map(|place| place.address).collect()),
            ..sardinemux_load::run::Settings::default()
        }
    }

    /// Returns the bearer key of an organisation.
    pub fn key(&self, index: usize) -> SmolStr {
        let name = profile::organisation_name(&self.settings.workload, index);
        profile::organisation_key(&name).into()
    }

    /// Returns the folder of the logs.
    pub fn folder(&self) -> &PathBuf {
        &self.folder
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.processes.lock().clear();
        // Logs are kept only for a run that failed.
        if !std::thread::panicking() && std::env::var_os("SARDINEMUX_KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
