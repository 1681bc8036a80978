//! What the administration API says to routers and asks of them.

use indexmap::IndexMap;
use reqwest::Client;
use sardinemux_core::config::{Entry, Version};
use sardinemux_platform::client::Platform;
use sardinemux_wire::admin::{FleetLoad, RouterVersion, TargetLoad};
use sardinemux_wire::gossip::Update;
use sardinemux_wire::platform::Role;
use sardinemux_wire::{codec, header};
use serde::{de::DeserializeOwned, Serialize};
use smol_str::SmolStr;

use crate::errors::Result;

/// A router as the platform lists it.
#[derive(Clone, Debug)]
pub struct Listed {
    /// Its name.
    pub id: SmolStr,
    /// Its address for peers.
    pub address: SmolStr,
}

/// Calls to routers.
pub struct Fleet {
    /// The HTTP client.
    pub client: Client,
    /// The secret that routers and administration programs share.
    pub token: SmolStr,
}

impl Fleet {
    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        router: &Listed,
        path: &str,
        question: &Q,
    ) -> Option<A> {
        let body = codec::encode(question).ok()?;
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
        codec::decode(&response.bytes().await.ok()?).ok()
    }

    /// Sends an entry to every router; one that misses it learns it from its peers or the log.
    pub async fn push(&self, routers: &[Listed], entry: &Entry) {
        let update = Update::Entries(vec![entry.clone()]);
        let pushes = routers
            .iter()
            .map(|router| self.call::<_, Version>(router, "/peer/config/push", &update));
        futures_util::future::join_all(pushes).await;
    }

    /// Asks every router which version it has in force.
    pub async fn versions(&self, routers: &[Listed]) -> Vec<RouterVersion> {
        let answers = routers.iter().map(|router| async {
            RouterVersion {
                router: router.id.clone(),
                version: self.call(router, "/peer/version", &()).await,
            }
        });
        futures_util::future::join_all(answers).await
    }

    /// Asks every router what runs on its targets.
    pub async fn load(&self, routers: &[Listed]) -> FleetLoad {
        let answers = routers
            .iter()
            .map(|router| self.call::<_, Vec<TargetLoad>>(router, "/peer/load", &()));
        let answers = futures_util::future::join_all(answers).await;
        let mut sums: IndexMap<SmolStr, TargetLoad> = IndexMap::new();
        let mut silent_routers = Vec::new();
        for (router, answer) in routers.iter().zip(answers) {
            let Some(targets) = answer else {
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

/// Returns the listed routers.
///
/// # Errors
///
/// `Error::Platform` if the store does not answer.
pub async fn routers(platform: &Platform) -> Result<Vec<Listed>> {
    let instances = platform.read_instances().await?;
    let routers = instances
        .into_iter()
        .filter_map(|instance| match instance.role {
            Role::Router(address) => Some(Listed {
                id: instance.id,
                address,
            }),
            Role::Target(_) => None,
        });
    Ok(routers.collect())
}
