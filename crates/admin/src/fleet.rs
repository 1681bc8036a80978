//! The client with which the administration API calls the routers of the fleet.

use indexmap::IndexMap;
use reqwest::Client;
use sardinemux_core::config::{Entry, Version};
use sardinemux_host::client;
use sardinemux_platform::client::Platform;
use sardinemux_wire::admin::{FleetLoad, RouterVersion, TargetLoad};
use sardinemux_wire::codec::{self, MESSAGE_MAX_BYTES};
use sardinemux_wire::gossip::Update;
use sardinemux_wire::header;
use sardinemux_wire::platform::Role;
use serde::{de::DeserializeOwned, Serialize};
use smol_str::SmolStr;

use crate::errors::Result;

/// A router in the platform's list of instances.
#[derive(Clone, Debug)]
pub struct Router {
    /// The id of its instance.
    pub id: SmolStr,
    /// The address at which it serves its peers.
    pub address: SmolStr,
}

/// A client of the routers' peer endpoints.
pub struct Fleet {
    /// The HTTP client.
    pub client: Client,
    /// The secret that routers and administration programs share.
    pub token: SmolStr,
}

impl Fleet {
    /// Calls one router. Returns `None` if it does not answer, answers with an error status or sends a malformed body.
    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        router: &Router,
        path: &str,
        request: &Q,
    ) -> Option<A> {
        let body = codec::encode(request).ok()?;
        let response = self
            .client
            .post(format!("http://{}{path}", router.address))
            .header(header::PEER_TOKEN, self.token.as_str())
            .body(body)
            .send()
            .await
            .ok()?;
        if !response.status().is_success() {
            return None;
        }
        let body = client::read_body(response, MESSAGE_MAX_BYTES).await.ok()?;
        codec::decode(&body).ok()
    }

    /// Sends an entry to every router. A failed call is not repeated, as the router obtains the entry from its peers or
    /// from the log.
    pub async fn push_entry(&self, routers: &[Router], entry: &Entry) {
        let update = Update::Entries(vec![entry.clone()]);
        let pushes = routers
            .iter()
            .map(|router| self.call::<_, Version>(router, "/peer/config/push", &update));
        futures_util::future::join_all(pushes).await;
    }

    /// Reads from every router the version of the configuration that it applies.
    pub async fn read_versions(&self, routers: &[Router]) -> Vec<RouterVersion> {
        let responses = routers.iter().map(|router| async {
            RouterVersion {
                router: router.id.clone(),
                version: self.call(router, "/peer/version", &()).await,
            }
        });
        futures_util::future::join_all(responses).await
    }

    /// Reads from every router the requests on its targets, and sums them by target.
    pub async fn read_load(&self, routers: &[Router]) -> FleetLoad {
        let responses = routers
            .iter()
            .map(|router| self.call::<_, Vec<TargetLoad>>(router, "/peer/load", &()));
        let responses = futures_util::future::join_all(responses).await;
        let mut sums: IndexMap<SmolStr, TargetLoad> = IndexMap::new();
        let mut silent_routers = Vec::new();
        for (router, response) in routers.iter().zip(responses) {
            let Some(targets) = response else {
                silent_routers.push(router.id.clone());
                continue;
            };
            for load in targets {
                let sum = sums
                    .entry(load.target.clone())
                    .or_insert_with(|| TargetLoad {
                        running: 0,
                        waiting: 0,
                        ..load.clone()
                    });
                sum.running += load.running;
                sum.waiting += load.waiting;
            }
        }
        FleetLoad {
            targets: sums.into_values().collect(),
            silent_routers,
        }
    }
}

/// Returns the routers in the platform's list of instances.
///
/// # Errors
///
/// `Error::Platform` if the platform cannot be read.
pub async fn list_routers(platform: &Platform) -> Result<Vec<Router>> {
    let instances = platform.read_instances().await?;
    let routers = instances
        .into_iter()
        .filter_map(|instance| match instance.role {
            Role::Router(address) => Some(Router {
                id: instance.id,
                address,
            }),
            Role::Target(_) => None,
        });
    Ok(routers.collect())
}
