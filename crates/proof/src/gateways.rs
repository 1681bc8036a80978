//! A fleet of gateways on the loopback interface: the real `sardinemux-front` processes before replicas and a store that
//! speak the users' platform's protocol, with a fault-injecting proxy between them.

pub mod added;
pub mod caller;
pub mod check;
pub mod departure;
pub mod layout;
pub mod load;
pub mod movement;
pub mod operator;

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use parking_lot::Mutex;
use reqwest::Client;
use sardinemux_platform::store::Store;
use sardinemux_standin::platform;
use sardinemux_standin::proxy::{Fault, Isolation};
use sardinemux_standin::replica::{Faults, Stats};
use serde::de::DeserializeOwned;
use snafu::{OptionExt, ResultExt};

use crate::client::{self, until};
use crate::errors::{IoSnafu, NoProcessSnafu, Result};
use crate::process::{Process, Usage};
pub use layout::{GatewayPlace, ReplicaPlace, Settings};

/// The pool of the replicas that stream.
pub const ENGINES: &str = "engines";

/// The pool of the replicas of a plain service.
pub const SERVICES: &str = "services";

/// How long a brittle replica works on a request, in milliseconds.
const BRITTLE_WORK_MS: u64 = 400;

/// How long a gateway has for the answer with its metrics.
const METRIC_TIMEOUT: Duration = Duration::from_secs(2);

/// The body of requests under which replicas crash.
pub const FATAL_BODY: &str = "fatal";

/// A fleet of gateways.
pub struct Fleet {
    /// What it is made of.
    pub settings: Settings,
    /// The gateways.
    pub gateways: Vec<GatewayPlace>,
    /// The replicas, those that stream first.
    pub replicas: Vec<ReplicaPlace>,
    /// The store, past the proxy.
    pub store: Store,
    store_address: SocketAddr,
    proxy: SocketAddr,
    client: Client,
    processes: Mutex<IndexMap<String, Process>>,
    version: AtomicU64,
    /// What operators and replicas last wrote, by table and key.
    written: Mutex<IndexMap<(String, String), Option<String>>>,
    /// The start of each replica's present process, as its entry states it.
    births: Mutex<IndexMap<usize, u64>>,
    /// The pool to which the routes of the plain service lead. It is held while a desired state is written, so that versions are
    /// written in order.
    service_pool: tokio::sync::Mutex<&'static str>,
    /// The gateways that run the earlier build.
    former: Mutex<IndexSet<usize>>,
    folder: PathBuf,
    keeps_logs: AtomicBool,
}

impl Fleet {
    /// Starts a fleet and waits until every gateway is ready.
    ///
    /// # Errors
    ///
    /// What went wrong at the start.
    pub async fn start(settings: Settings) -> Result<Self> {
        let fleet = Self::lay_out(settings)?;
        if let Err(error) = fleet.start_all().await {
            eprintln!(
                "logs of a fleet that did not start: {}",
                fleet.keep_logs().display()
            );
            return Err(error);
        }
        Ok(fleet)
    }

    async fn start_all(&self) -> Result<()> {
        let address = self.store_address.to_string();
        let arguments = ["platform", "--address", &address, "--list-lag-ms", "0"];
        self.start_standin("platform", &arguments, &[])?;
        let mut pairs = Vec::new();
        for (listen, upstream) in self.proxy_pairs() {
            pairs.extend(["--pair".to_owned(), format!("{listen}={upstream}")]);
        }
        let control = self.proxy.to_string();
        if self.settings.unframed_percent > 0 {
            pairs.push("--reset".to_owned());
        }
        self.start_standin("proxy", &["proxy", "--control", &control], &pairs)?;
        for index in 0..self.replicas.len() {
            self.start_replica(index)?;
        }
        until("an answer of the store", || async {
            self.store.read_table("op").await.is_ok()
        })
        .await?;
        for index in 0..self.replicas.len() {
            self.list(index, false).await?;
        }
        self.configure(&operator::Desired::default()).await?;
        for index in 0..self.gateways.len() {
            self.start_gateway(index)?;
        }
        self.wait_ready().await
    }

    fn proxy_pairs(&self) -> impl Iterator<Item = (SocketAddr, SocketAddr)> + '_ {
        let gateways = self.gateways.iter();
        let stores = gateways.map(|gateway| (gateway.store, self.store_address));
        let replicas = self.replicas.iter();
        let replicas = replicas.filter(|replica| replica.listed != replica.address);
        stores.chain(replicas.map(|replica| (replica.listed, replica.address)))
    }

    fn start_process(&self, name: &str, program: &str, arguments: Vec<String>) -> Result<()> {
        let process = Process::start(name, program, &arguments, &self.folder)?;
        self.processes.lock().insert(name.to_owned(), process);
        Ok(())
    }

    fn start_standin(&self, name: &str, arguments: &[&str], more: &[String]) -> Result<()> {
        let arguments = arguments.iter().map(|argument| (*argument).to_owned());
        let all = arguments.chain(more.iter().cloned()).collect();
        self.start_process(name, "sardinemux-standin", all)
    }

    /// Starts a replica's process.
    ///
    /// # Errors
    ///
    /// `Error::Start` if the binary is missing.
    pub fn start_replica(&self, index: usize) -> Result<()> {
        let ReplicaPlace {
            id,
            address,
            pool,
            build,
            ..
        } = &self.replicas[index];
        let may_crash = self.settings.has_fatal_requests && *pool == SERVICES;
        let fatal_body = if may_crash { FATAL_BODY } else { "" };
        let address = address.to_string();
        let unframed_percent = self.settings.unframed_percent.to_string();
        let break_percent = self.settings.break_percent.to_string();
        let pause_percent = self.settings.pause_percent.to_string();
        let arguments = [
            "replica",
            "--address",
            &address,
            "--id",
            id,
            "--build",
            build,
            "--unframed-percent",
            &unframed_percent,
            "--break-percent",
            &break_percent,
            "--pause-percent",
            &pause_percent,
            "--fatal-body",
            fatal_body,
        ];
        let mut more = self.settings.replica_arguments.clone();
        let brittle = self.settings.brittle;
        if brittle > 0 && *pool == SERVICES {
            let arguments = format!("--brittle {brittle} --queue 24 --work-ms {BRITTLE_WORK_MS}");
            more.extend(arguments.split(' ').map(str::to_owned));
        }
        self.start_standin(id, &arguments, &more)
    }

    /// Writes a gateway's settings and returns the file.
    ///
    /// # Errors
    ///
    /// `Error::Io` if they cannot be written.
    pub fn write_settings(&self, index: usize, grace_ms: u64) -> Result<String> {
        let place = &self.gateways[index];
        // Earlier builds do not know the setting.
        let memory = match &self.settings.former_program {
            None => format!("memory_mb = {}\n", self.settings.memory_mb),
            Some(_) => String::new(),
        };
        let text = format!(
            "[program]\nthreads = 1\n\n[instance]\nname = {}\nzone = {}\ncallers = {}\nready = {}\n\
             metrics = {}\npeers = {}\nsource = {}:0\n{memory}\n[store]\naddress = {}\n\n[limits]\ngrace = {grace_ms}ms\n\
             retry_extra = 60\n",
            place.name, place.zone, place.callers, place.ready, place.metrics, place.peers, place.source, place.store,
        );
        let file = self.folder.join(format!("{}.ini", place.name));
        let what = file.display().to_string();
        fs::write(&file, text).context(IoSnafu { what: what.clone() })?;
        Ok(what)
    }

    /// Starts a gateway's process.
    ///
    /// # Errors
    ///
    /// `Error::Start` if the binary is missing, `Error::Io` if its settings cannot be written.
    pub fn start_gateway(&self, index: usize) -> Result<()> {
        let file = self.write_settings(index, 8_000)?;
        let arguments = vec!["--settings".to_owned(), file];
        let former = self.settings.former_program.as_deref();
        let former = former.filter(|_| self.former.lock().contains(&index));
        let program = former.unwrap_or("sardinemux-front");
        let name = &self.gateways[index].name;
        let open_files = self.settings.open_files;
        let process = Process::start_limited(name, program, &arguments, &self.folder, open_files)?;
        self.processes.lock().insert(name.clone(), process);
        Ok(())
    }

    /// Changes the build that a gateway runs from its next start on, where there is an earlier one.
    pub fn change_build(&self, index: usize) {
        let mut former = self.former.lock();
        if !former.shift_remove(&index) && self.settings.former_program.is_some() {
            former.insert(index);
        }
    }

    /// Returns whether a gateway says that it is ready.
    pub async fn is_ready(&self, index: usize) -> bool {
        let url = format!("http://{}/v1/ready", self.gateways[index].ready);
        let answer = self.client.get(&url).send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }

    /// Waits until every gateway that runs is ready.
    ///
    /// # Errors
    ///
    /// `Error::Late` if one is not.
    pub async fn wait_ready(&self) -> Result<()> {
        for (index, gateway) in self.gateways.iter().enumerate() {
            let is_running = self.processes.lock().contains_key(&gateway.name);
            if is_running {
                until(&format!("readiness of {}", gateway.name), || {
                    self.is_ready(index)
                })
                .await?;
            }
        }
        Ok(())
    }

    /// Sends a signal, or does something else, to a process.
    ///
    /// # Errors
    ///
    /// `Error::NoProcess` if there is none, or the action's error.
    pub fn signal(&self, name: &str, send: impl Fn(&Process) -> Result<()>) -> Result<()> {
        let processes = self.processes.lock();
        send(processes.get(name).context(NoProcessSnafu { name })?)
    }

    /// Returns what a process has used; `None` if it does not run.
    pub fn usage(&self, name: &str) -> Option<Usage> {
        self.processes.lock().get(name)?.usage()
    }

    /// Returns the id of a process; `None` if it does not run.
    pub fn process_id(&self, name: &str) -> Option<u32> {
        self.processes.lock().get_mut(name)?.id()
    }

    /// Returns the value of a metric without labels; `None` if the gateway does not answer in time or does not have it.
    pub async fn metric(&self, address: SocketAddr, name: &str) -> Option<f64> {
        let url = format!("http://{address}/metrics");
        let request = self.client.get(&url).timeout(METRIC_TIMEOUT);
        let text = request.send().await.ok()?.text().await.ok()?;
        let mut lines = text.lines().filter_map(|line| line.strip_prefix(name));
        lines.find_map(|value| value.strip_prefix(' ')?.parse().ok())
    }

    /// Asks a process to end gracefully, and waits until it has.
    ///
    /// # Errors
    ///
    /// `Error::NoProcess` if there is none, `Error::Late` if it goes on.
    pub async fn terminate(&self, name: &str) -> Result<()> {
        self.signal(name, Process::terminate)?;
        let process = self.processes.lock().shift_remove(name);
        process.context(NoProcessSnafu { name })?.ended().await
    }

    /// Kills a process.
    pub fn kill(&self, name: &str) {
        self.processes.lock().shift_remove(name);
    }

    /// Sets what the proxy does to connections to an address.
    ///
    /// # Errors
    ///
    /// As for [`client::post`].
    pub async fn set_fault(&self, listen: SocketAddr, fault: Fault) -> Result<()> {
        let url = format!(
            "http://{}/standin/faults?port={}",
            self.proxy,
            listen.port()
        );
        client::post(&self.client, &url, &fault).await
    }

    /// Sets how the paths of a gateway to all replicas are cut.
    ///
    /// # Errors
    ///
    /// As for [`client::post`].
    pub async fn isolate(&self, gateway: usize, isolation: Isolation) -> Result<()> {
        let source = self.gateways[gateway].source;
        let url = format!("http://{}/standin/isolation?client={source}", self.proxy);
        client::post(&self.client, &url, &isolation).await
    }

    /// Sets what is wrong with the store.
    ///
    /// # Errors
    ///
    /// As for [`client::post`].
    pub async fn set_store_faults(&self, faults: platform::Faults) -> Result<()> {
        let url = format!("http://{}/standin/faults", self.store_address);
        client::post(&self.client, &url, &faults).await
    }

    /// Lets the store forget its history.
    ///
    /// # Errors
    ///
    /// As for [`client::send`].
    pub async fn forget_history(&self) -> Result<()> {
        let url = format!("http://{}/standin/forget", self.store_address);
        client::send(&url, self.client.post(&url)).await
    }

    /// Lets the store come back from a copy that is `age` old.
    ///
    /// # Errors
    ///
    /// As for [`client::send`].
    pub async fn restore_store(&self, age: Duration) -> Result<()> {
        let age_ms = age.as_millis();
        let url = format!(
            "http://{}/standin/restore?age_ms={age_ms}",
            self.store_address
        );
        client::send(&url, self.client.post(&url)).await
    }

    /// Sets what is wrong with a replica.
    ///
    /// # Errors
    ///
    /// As for [`client::post`].
    pub async fn set_replica_faults(&self, index: usize, faults: Faults) -> Result<()> {
        let url = format!("http://{}/standin/faults", self.replicas[index].address);
        client::post(&self.client, &url, &faults).await
    }

    async fn read<T: DeserializeOwned>(&self, url: &str) -> Result<T> {
        client::json(url, self.client.get(url)).await
    }

    /// Returns what a replica has counted.
    ///
    /// # Errors
    ///
    /// As for [`client::json`].
    pub async fn stats(&self, index: usize) -> Result<Stats> {
        let url = format!("http://{}/standin/stats", self.replicas[index].address);
        self.read(&url).await
    }

    /// Returns what a replica has counted. One that has crashed answers once it is back.
    ///
    /// # Errors
    ///
    /// `Error::Late` if it does not come back, else as for [`client::json`].
    pub async fn stats_once_back(&self, index: usize) -> Result<Stats> {
        until("an answer of a replica", || async {
            self.stats(index).await.is_ok()
        })
        .await?;
        self.stats(index).await
    }

    /// Returns the calls that the store has answered.
    ///
    /// # Errors
    ///
    /// As for [`client::json`].
    pub async fn store_stats(&self) -> Result<platform::Stats> {
        let url = format!("http://{}/standin/stats", self.store_address);
        self.read(&url).await
    }

    /// Keeps the logs when the fleet ends, and returns their folder.
    pub fn keep_logs(&self) -> &PathBuf {
        self.keeps_logs.store(true, Ordering::SeqCst);
        &self.folder
    }

    /// Returns the folder of the logs.
    pub fn folder(&self) -> &PathBuf {
        &self.folder
    }

    /// Returns the number of the next version of the desired state.
    fn next_version(&self) -> u64 {
        self.version.fetch_add(3, Ordering::SeqCst) + 3
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.processes.lock().clear();
        // Logs are kept only for a run that failed.
        let keeps_logs = self.keeps_logs.load(Ordering::SeqCst)
            || std::thread::panicking()
            || std::env::var_os("SARDINEMUX_KEEP_LOGS").is_some();
        if !keeps_logs {
            // A folder that cannot be removed is left to the system's own tidying.
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
