//! A whole fleet on the loopback interface.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use futures_util::future::join_all;
use indexmap::IndexMap;
use parking_lot::Mutex;
use reqwest::Client;
use sardinemux_core::config::{query, Change, ChangeId, Organisation, Stop, StopKind};
use sardinemux_core::target::{Kind, Target};
use sardinemux_load::profile;
use sardinemux_standin::{engine, platform, proxy};
use sardinemux_wire::admin::{Force, Submission, Verdict};
use sardinemux_wire::platform::{Instance, Part};
use serde::de::DeserializeOwned;
use smol_str::SmolStr;
use snafu::{OptionExt, ResultExt};

use crate::client::{self, until};
use crate::errors::{IoSnafu, NoProcessSnafu, Result};
use crate::ports;
use crate::process::{Process, Usage};

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
            engines_per_process: 1,
            services: 3,
            admins: 1,
            policy: "owner".to_owned(),
            without: Vec::new(),
            has_proxy: false,
            list_lag_ms: 1_000,
            router_settings: Vec::new(),
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

/// Numbers the fleets of one process.
static FLEETS: AtomicU32 = AtomicU32::new(0);

fn zone(index: usize, zones: usize) -> String {
    format!("z{}", index % zones + 1)
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

    /// Chooses names and addresses.
    fn lay_out(settings: Settings) -> Result<Self> {
        let number = FLEETS.fetch_add(1, Ordering::SeqCst);
        let folder =
            std::env::temp_dir().join(format!("sardinemux-{}-{number}", std::process::id()));
        let what = folder.display().to_string();
        fs::create_dir_all(&folder).context(IoSnafu { what })?;
        let platform = ports::free(1)?[0];
        let has_proxy = settings.has_proxy;
        let proxied = |own: SocketAddr| match has_proxy {
            true => ports::free(1).map(|ports| ports[0]),
            false => Ok(own),
        };
        let mut routers = Vec::new();
        for index in 0..settings.routers {
            let own = ports::free(2)?;
            routers.push(RouterPlace {
                id: format!("router{index}"),
                zone: zone(index, settings.zones),
                entry: own[0],
                peer: own[1],
                listed: proxied(own[1])?,
                platform: proxied(platform)?,
            });
        }
        let mut engines = Vec::new();
        let per_process = settings.engines_per_process.max(1);
        while engines.len() < settings.engines {
            let count = per_process.min(settings.engines - engines.len());
            for own in ports::free(count as u16)? {
                let index = engines.len();
                let target = Target {
                    id: format!("engine{index}").into(),
                    kind: Kind::Engine,
                    pool: "sardine-7b".into(),
                    address: proxied(own)?.to_string().into(),
                    zone: zone(index, settings.zones).into(),
                    region: REGION.into(),
                    slots: 8,
                    leaving: false,
                };
                engines.push(TargetPlace {
                    target,
                    address: own,
                });
            }
        }
        let service = profile::find(&settings.workload)?.service;
        let mut services = Vec::new();
        for index in 0..settings.services {
            let own = ports::free(1)?[0];
            let target = Target {
                id: format!("service{index}").into(),
                kind: Kind::Service,
                pool: service.into(),
                address: proxied(own)?.to_string().into(),
                zone: zone(index, settings.zones).into(),
                region: REGION.into(),
                slots: 32,
                leaving: false,
            };
            services.push(TargetPlace {
                target,
                address: own,
            });
        }
        let proxy = match has_proxy {
            true => Some(ports::free(1)?[0]),
            false => None,
        };
        Ok(Self {
            client: client::build()?,
            admins: ports::free(settings.admins as u16)?,
            routers,
            engines,
            services,
            platform,
            proxy,
            processes: Mutex::default(),
            version: AtomicU64::new(0),
            folder,
            settings,
        })
    }

    fn start_process(&self, name: &str, program: &str, arguments: Vec<String>) -> Result<()> {
        let process = Process::start(name, program, &arguments, &self.folder)?;
        self.processes.lock().insert(name.to_owned(), process);
        Ok(())
    }

    fn start_standin(&self, name: &str, arguments: &[&str], more: &[String]) -> Result<()> {
        let mut all: Vec<String> = arguments.iter().map(|part| (*part).to_owned()).collect();
        all.extend_from_slice(more);
        self.start_process(name, "sardinemux-standin", all)
    }

    fn start_standins(&self) -> Result<()> {
        let platform = self.platform.to_string();
        let lag = self.settings.list_lag_ms.to_string();
        let arguments = ["platform", "--address", &platform, "--list-lag-ms", &lag];
        self.start_standin("platform", &arguments, &[])?;
        let per_process = self.settings.engines_per_process.max(1);
        for index in (0..self.engines.len()).step_by(per_process) {
            self.start_engine(index)?;
        }
        for index in 0..self.services.len() {
            self.start_service(index)?;
        }
        if let Some(control) = self.proxy {
            let mut more = Vec::new();
            for (listen, upstream) in self.proxy_pairs() {
                more.extend(["--pair".to_owned(), format!("{listen}={upstream}")]);
            }
            let control = control.to_string();
            self.start_standin("proxy", &["proxy", "--control", &control], &more)?;
        }
        Ok(())
    }

    fn proxy_pairs(&self) -> Vec<(String, SocketAddr)> {
        let routers = self.routers.iter().flat_map(|router| {
            [
                (router.listed.to_string(), router.peer),
                (router.platform.to_string(), self.platform),
            ]
        });
        let targets = self.engines.iter().chain(&self.services);
        let targets = targets.map(|place| (place.target.address.to_string(), place.address));
        routers.chain(targets).collect()
    }

    /// Starts the process of an engine, and of those that share it.
    ///
    /// # Errors
    ///
    /// `Error::Start` if the binary is missing.
    pub fn start_engine(&self, index: usize) -> Result<()> {
        let per_process = self.settings.engines_per_process.max(1);
        let count = per_process.min(self.engines.len() - index).to_string();
        let address = self.engines[index].address.to_string();
        let arguments = ["engine", "--address", &address, "--count", &count];
        let more = self.settings.engine_arguments.clone();
        self.start_standin(&format!("engine{index}"), &arguments, &more)
    }

    /// Starts the process of a service instance.
    ///
    /// # Errors
    ///
    /// `Error::Start` if the binary is missing.
    pub fn start_service(&self, index: usize) -> Result<()> {
        let address = self.services[index].address.to_string();
        let more = self.settings.service_arguments.clone();
        let name = format!("service{index}");
        self.start_standin(&name, &["service", "--address", &address], &more)
    }

    fn settings_file(&self, name: &str, lines: &[(&str, &str, String)]) -> Result<String> {
        let mut sections: IndexMap<&str, Vec<String>> = IndexMap::new();
        for (section, key, value) in lines {
            let section = sections.entry(section).or_default();
            section.push(format!("{key} = {value}"));
        }
        let text: String = sections
            .into_iter()
            .map(|(section, lines)| format!("[{section}]\n{}\n\n", lines.join("\n")))
            .collect();
        let file = self.folder.join(format!("{name}.ini"));
        let what = file.display().to_string();
        fs::write(&file, text).context(IoSnafu { what: what.clone() })?;
        Ok(what)
    }

    fn start_admin(&self, index: usize) -> Result<()> {
        let name = format!("admin{index}");
        let lines = [
            ("admin", "address", self.admins[index].to_string()),
            ("admin", "first_token", FIRST_TOKEN.to_owned()),
            ("peer", "token", PEER_TOKEN.to_owned()),
            ("platform", "addresses", self.platform.to_string()),
        ];
        let file = self.settings_file(&name, &lines)?;
        let arguments = vec!["--settings".to_owned(), file];
        self.start_process(&name, "sardinemux-admin", arguments)
    }

    /// Starts a router.
    ///
    /// # Errors
    ///
    /// `Error::Start` if the binary is missing, `Error::Io` if its settings cannot be written.
    pub fn start_router(&self, index: usize) -> Result<()> {
        let place = self.routers[index].clone();
        let mut lines = vec![
            ("instance", "id", place.id.clone()),
            ("instance", "zone", place.zone.clone()),
            ("instance", "region", REGION.to_owned()),
            ("entry", "address", place.entry.to_string()),
            ("peer", "address", place.peer.to_string()),
            ("peer", "advertise", place.listed.to_string()),
            ("peer", "token", PEER_TOKEN.to_owned()),
            ("platform", "addresses", place.platform.to_string()),
            ("routing", "policy", self.settings.policy.clone()),
        ];
        for (key, mechanism) in ["without_first", "without_second"]
            .into_iter()
            .zip(&self.settings.without)
        {
            lines.push(("test", key, mechanism.clone()));
        }
        lines.extend(self.settings.router_settings.iter().cloned());
        let file = self.settings_file(&place.id, &lines)?;
        let arguments = vec!["--settings".to_owned(), file];
        self.start_process(&place.id, "sardinemux-router", arguments)
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
        let response = response.context(crate::errors::CallSnafu { url: url.clone() })?;
        let text = response.text().await;
        let text = text.context(crate::errors::CallSnafu { url })?;
        let values = text
            .lines()
            .filter(|line| line.starts_with(name))
            .filter_map(|line| line.rsplit_once(' ')?.1.parse::<f64>().ok());
        Ok(values.sum())
    }

    /// Returns the instance of a router, as the platform lists it.
    pub fn router_instance(&self, index: usize, leaving: bool) -> Instance {
        let router = &self.routers[index];
        Instance {
            id: router.id.as_str().into(),
            zone: router.zone.as_str().into(),
            region: REGION.into(),
            leaving,
            part: Part::Router(router.listed.to_string().into()),
        }
    }

    fn target_instance(place: &TargetPlace, leaving: bool) -> Instance {
        Instance::of_target(Target {
            leaving,
            ..place.target.clone()
        })
    }

    /// Puts instances into the platform's list.
    ///
    /// # Errors
    ///
    /// `Error::Call` or `Error::Refused` if the platform does not take them.
    pub async fn list(&self, instances: &[Instance]) -> Result<()> {
        let url = format!("http://{}/standin/instances", self.platform);
        client::send(&url, self.client.put(&url).json(instances)).await
    }

    /// Marks a target as leaving, or takes the mark off, in the platform's list.
    ///
    /// # Errors
    ///
    /// As for [`Fleet::list`].
    pub async fn list_leaving(&self, target: &str, leaving: bool) -> Result<()> {
        let mut places = self.engines.iter().chain(&self.services);
        let place = places.find(|place| place.target.id == target);
        let place = place.context(NoProcessSnafu { name: target })?;
        self.list(&[Self::target_instance(place, leaving)]).await
    }

    async fn list_all(&self) -> Result<()> {
        let routers = (0..self.routers.len()).map(|index| self.router_instance(index, false));
        let targets = self.engines.iter().chain(&self.services);
        let targets = targets.map(|place| Self::target_instance(place, false));
        let instances: Vec<Instance> = routers.chain(targets).collect();
        self.list(&instances).await
    }

    fn organisations(&self) -> Vec<Change> {
        let member = self.settings.workload.as_str();
        (0..self.settings.organisations)
            .map(|index| {
                let name = profile::organisation(member, index);
                Change::SetOrganisation(Organisation {
                    key_digests: vec![query::digest(&profile::key(&name))],
                    name: name.into(),
                    member: member.into(),
                    weight: 1.0,
                })
            })
            .collect()
    }

    /// Submits changes as the first operator.
    ///
    /// # Errors
    ///
    /// `Error::Refused` if they are not accepted.
    pub async fn submit(&self, changes: Vec<Change>) -> Result<Verdict> {
        let submission = Submission {
            id: ChangeId::new_v4(),
            expected: Vec::new(),
            dry_run: false,
            changes,
        };
        self.submit_to(0, FIRST_TOKEN, &submission).await
    }

    /// Submits a change set to one administration program.
    ///
    /// # Errors
    ///
    /// `Error::Call` if it does not answer, `Error::Refused` if it refuses.
    pub async fn submit_to(
        &self,
        admin: usize,
        token: &str,
        submission: &Submission,
    ) -> Result<Verdict> {
        let url = format!("http://{}/v1/changes", self.admins[admin]);
        let request = self.client.post(&url).bearer_auth(token).json(submission);
        let verdict = client::json(&url, request).await?;
        if let Verdict::Accepted { entry } = &verdict {
            self.version.fetch_max(entry.version, Ordering::SeqCst);
        }
        Ok(verdict)
    }

    /// Returns the newest version that was accepted through this fleet's handle.
    pub fn newest_version(&self) -> u64 {
        self.version.load(Ordering::SeqCst)
    }

    /// Reads something of the administration API as the first operator.
    ///
    /// # Errors
    ///
    /// `Error::Call` or `Error::Refused` if it cannot be read.
    pub async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let url = format!("http://{}{path}", self.admins[0]);
        let request = self.client.get(&url).bearer_auth(FIRST_TOKEN);
        client::json(&url, request).await
    }

    /// Waits until the newest accepted version is in force on every listed router.
    ///
    /// # Errors
    ///
    /// `Error::Late` if it is not.
    pub async fn wait_in_force(&self) -> Result<()> {
        until("the newest version in force everywhere", || async {
            let force = self.read::<Force>("/v1/force").await;
            force.is_ok_and(|force| {
                let mut versions = force.routers.iter().map(|router| router.version);
                versions.all(|version| version >= Some(force.version))
            })
        })
        .await
    }

    /// Takes an availability zone out, or brings it back.
    ///
    /// # Errors
    ///
    /// `Error::Refused` if the change is not accepted.
    pub async fn set_zone(&self, zone: &str, is_out: bool) -> Result<()> {
        let change = match is_out {
            true => Change::BeginStop(Stop {
                kind: StopKind::Zone,
                name: zone.into(),
                reason: "a trial".into(),
            }),
            false => Change::EndStop {
                kind: StopKind::Zone,
                name: zone.into(),
            },
        };
        self.submit(vec![change]).await?;
        Ok(())
    }

    fn signal(&self, name: &str, send: impl Fn(&Process) -> Result<()>) -> Result<()> {
        let processes = self.processes.lock();
        send(processes.get(name).context(NoProcessSnafu { name })?)
    }

    /// Returns what a process has used, if it runs.
    pub fn usage(&self, name: &str) -> Option<Usage> {
        self.processes.lock().get(name)?.usage()
    }

    /// Stops a process where it stands.
    ///
    /// # Errors
    ///
    /// `Error::NoProcess` if there is none, `Error::Signal` if it has ended.
    pub fn freeze(&self, name: &str) -> Result<()> {
        self.signal(name, Process::freeze)
    }

    /// Lets a frozen process go on.
    ///
    /// # Errors
    ///
    /// As for [`Fleet::freeze`].
    pub fn thaw(&self, name: &str) -> Result<()> {
        self.signal(name, Process::thaw)
    }

    /// Asks a process to end gracefully, and waits until it has.
    ///
    /// # Errors
    ///
    /// As for [`Fleet::freeze`], and `Error::Late` if it goes on.
    pub async fn terminate(&self, name: &str) -> Result<()> {
        self.signal(name, Process::terminate)?;
        self.ended(name).await
    }

    /// Waits until a process has ended of its own accord.
    ///
    /// # Errors
    ///
    /// `Error::NoProcess` if there is none, `Error::Late` if it goes on.
    pub async fn ended(&self, name: &str) -> Result<()> {
        let process = self.processes.lock().shift_remove(name);
        process.context(NoProcessSnafu { name })?.ended().await
    }

    /// Kills a process.
    pub fn kill(&self, name: &str) {
        self.processes.lock().shift_remove(name);
    }

    /// Sets the fault of the proxy before an address.
    ///
    /// # Errors
    ///
    /// `Error::Call` or `Error::Refused` if the proxy does not take it.
    pub async fn fault(&self, before: SocketAddr, fault: proxy::Fault) -> Result<()> {
        let control = self.proxy.context(NoProcessSnafu { name: "proxy" })?;
        let port = before.port();
        let url = format!("http://{control}/standin/faults?port={port}");
        client::post(&self.client, &url, &fault).await
    }

    /// Returns the bytes that crossed the proxy before an address.
    ///
    /// # Errors
    ///
    /// `Error::Call` or `Error::Refused` if the proxy does not say.
    pub async fn bytes(&self, before: SocketAddr) -> Result<proxy::Bytes> {
        let control = self.proxy.context(NoProcessSnafu { name: "proxy" })?;
        let port = before.port();
        let url = format!("http://{control}/standin/bytes?port={port}");
        client::json(&url, self.client.get(&url)).await
    }

    /// Sets the faults of the platform.
    ///
    /// # Errors
    ///
    /// `Error::Call` or `Error::Refused` if the platform does not take them.
    pub async fn platform_faults(&self, faults: platform::Faults) -> Result<()> {
        let url = format!("http://{}/standin/faults", self.platform);
        client::post(&self.client, &url, &faults).await
    }

    /// Tells a stand-in something that has no body.
    ///
    /// # Errors
    ///
    /// `Error::Call` or `Error::Refused` if it does not take it.
    pub async fn tell(&self, standin: SocketAddr, path: &str) -> Result<()> {
        let url = format!("http://{standin}{path}");
        client::send(&url, self.client.post(&url)).await
    }

    /// Returns what an engine has counted.
    ///
    /// # Errors
    ///
    /// `Error::Call` or `Error::Refused` if it does not say.
    pub async fn engine_stats(&self, index: usize) -> Result<engine::Stats> {
        let url = format!("http://{}/standin/stats", self.engines[index].address);
        client::json(&url, self.client.get(&url)).await
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
        let name = profile::organisation(&self.settings.workload, index);
        profile::key(&name).into()
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
