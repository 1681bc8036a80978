//! What surrounds a fleet: the instance list, the faults of the network and the platform, the engines.

use std::net::SocketAddr;

use sardinemux_core::target::Target;
use sardinemux_standin::{engine, platform, proxy};
use sardinemux_wire::platform::{Instance, Role};
use snafu::OptionExt;

use super::{Fleet, TargetPlace, REGION};
use crate::client;
use crate::errors::{NoProcessSnafu, Result};

impl Fleet {
    /// Returns the instance of a router, as the platform lists it.
    pub fn router_instance(&self, index: usize, leaving: bool) -> Instance {
        let router = &self.routers[index];
        Instance {
            id: router.id.as_str().into(),
            zone: router.zone.as_str().into(),
            region: REGION.into(),
            leaving,
            role: Role::Router(router.listed.to_string().into()),
        }
    }

    pub(super) fn target_instance(place: &TargetPlace, leaving: bool) -> Instance {
        Instance::from_target(Target {
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

    pub(super) async fn list_all(&self) -> Result<()> {
        let routers = (0..self.routers.len()).map(|index| self.router_instance(index, false));
        let targets = self.engines.iter().chain(&self.services);
        let targets = targets.map(|place| Self::target_instance(place, false));
        let instances: Vec<Instance> = routers.chain(targets).collect();
        self.list(&instances).await
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
}
