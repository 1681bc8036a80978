//! The processes of a fleet: how they are started, stopped and killed.

use std::fs;
use std::net::SocketAddr;

use indexmap::IndexMap;
use snafu::{OptionExt, ResultExt};

use super::{Fleet, FIRST_TOKEN, PEER_TOKEN, REGION};
use crate::errors::{IoSnafu, NoProcessSnafu, Result};
use crate::process::{Process, Usage};

impl Fleet {
    pub(super) fn start_process(
        &self,
        name: &str,
        program: &str,
        arguments: Vec<String>,
    ) -> Result<()> {
        let process = Process::start(name, program, &arguments, &self.folder)?;
        self.processes.lock().insert(name.to_owned(), process);
        Ok(())
    }

    /// Starts one of the project's servers, with the limit of open descriptors that the settings give.
    fn start_limited(&self, name: &str, program: &str, arguments: Vec<String>) -> Result<()> {
        let open_files = self.settings.open_files;
        let process = Process::start_limited(name, program, &arguments, &self.folder, open_files)?;
        self.processes.lock().insert(name.to_owned(), process);
        Ok(())
    }

    /// Returns the id of a process; `None` if it does not run.
    pub fn process_id(&self, name: &str) -> Option<u32> {
        self.processes.lock().get_mut(name)?.id()
    }

    pub(super) fn start_standin(
        &self,
        name: &str,
        arguments: &[&str],
        more: &[String],
    ) -> Result<()> {
        let mut all: Vec<String> = arguments.iter().map(|part| (*part).to_owned()).collect();
        all.extend_from_slice(more);
        self.start_process(name, "sardinemux-standin", all)
    }

    pub(super) fn start_standins(&self) -> Result<()> {
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

    pub(super) fn proxy_pairs(&self) -> Vec<(String, SocketAddr)> {
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

    pub(super) fn settings_file(
        &self,
        name: &str,
        lines: &[(&str, &str, String)],
    ) -> Result<String> {
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

    pub(super) fn start_admin(&self, index: usize) -> Result<()> {
        let name = format!("admin{index}");
        let lines = [
            ("admin", "address", self.admins[index].to_string()),
            ("admin", "first_token", FIRST_TOKEN.to_owned()),
            ("peer", "token", PEER_TOKEN.to_owned()),
            ("platform", "addresses", self.platform.to_string()),
        ];
        let file = self.settings_file(&name, &lines)?;
        let arguments = vec!["--settings".to_owned(), file];
        self.start_limited(&name, "sardinemux-admin", arguments)
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
        self.start_limited(&place.id, "sardinemux-router", arguments)
    }

    pub(super) fn signal(&self, name: &str, send: impl Fn(&Process) -> Result<()>) -> Result<()> {
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
}
