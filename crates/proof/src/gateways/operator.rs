//! What operators and replicas write into the store: the desired state, the list of replicas, evacuated zones.

use std::time::Duration;

use sardinemux_platform::store::Change;
use sardinemux_standin::replica::{id_after, unix_ms};
use serde_json::{json, Value};

use super::layout::SERVICE_POOLS;
use super::{Fleet, ENGINES, SERVICES};
use crate::errors::{Error, Result};

/// The host that callers address.
pub const HOST: &str = "test.example";

/// The key that is always allowed.
pub const KEY: &str = "key-kept";

/// The key that is taken away.
pub const REVOKED_KEY: &str = "key-revoked";

/// The organisation that holds the keys.
const ORGANISATION: &str = "o1";

/// The pause before a write that failed is repeated.
const PAUSE: Duration = Duration::from_millis(50);

/// What the operators want.
#[derive(Clone, Copy, Debug)]
pub struct Desired {
    /// Whether the second key is allowed.
    pub has_second_key: bool,
    /// Routes that nobody uses, so that the state is of a real size.
    pub spare_routes: usize,
    /// The time-out of the routes, in milliseconds.
    pub timeout_ms: u64,
}

impl Default for Desired {
    fn default() -> Self {
        Self {
            has_second_key: true,
            spare_routes: 50,
            timeout_ms: 4_000,
        }
    }
}

fn route(name: &str, kind: &str, pool: &str, timeout_ms: u64) -> Value {
    let resumes = name == "stream-again";
    json!({
        "Name": name, "Host": HOST, "PathPrefix": format!("/{name}/"), "Kind": kind,
        "TimeoutMs": timeout_ms, "TargetLatencyMs": 300, "Priority": 1, "Service": pool,
        "MaxAttempts": 2, "Public": false, "SessionAffinity": pool == ENGINES,
        "StreamResume": resumes, "GapTargetMs": 600,
    })
}

fn service(name: &str, cold_per_s: f64) -> Value {
    json!({
        "Name": name, "HealthPath": "/health", "MaxConnections": 200, "Protocol": "h1", "Tls": false,
        "ColdStartS": 2.0, "ColdPerS": cold_per_s,
    })
}

impl Fleet {
    /// Writes a row, again until the store takes it; returns when it did, in Unix milliseconds.
    async fn write(&self, table: &str, key: &str, value: Option<Value>) -> Result<u64> {
        let value = value.map(|value| value.to_string());
        let id = (table.to_owned(), key.to_owned());
        self.written.lock().insert(id, value.clone());
        self.write_value(table, key, value).await
    }

    /// Writes again what operators and replicas have written, after the store came back from an older copy.
    ///
    /// # Errors
    ///
    /// Never; the writes are repeated until they are taken.
    pub async fn write_again(&self) -> Result<()> {
        let written = self.written.lock().clone();
        for (table, key) in written.into_keys() {
            // A later write may have come in the meantime.
            let latest = self
                .written
                .lock()
                .get(&(table.clone(), key.clone()))
                .cloned();
            self.write_value(&table, &key, latest.flatten()).await?;
        }
        Ok(())
    }

    async fn write_value(&self, table: &str, key: &str, value: Option<String>) -> Result<u64> {
        loop {
            let change = Change {
                table,
                key,
                expected_version: None,
                value: value.as_deref().map(str::as_bytes),
            };
            match self.store.write_row(change).await {
                Ok(_) => return Ok(unix_ms()),
                Err(error) => {
                    log::debug!("{key} was not written: {error}");
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }

    /// Writes the next version of the desired state; returns when the store took it, in Unix milliseconds.
    ///
    /// # Errors
    ///
    /// Never; the write is repeated until it is taken.
    pub async fn configure(&self, desired: &Desired) -> Result<u64> {
        let pool = self.service_pool.lock().await;
        self.write_desired(desired, *pool).await
    }

    /// Writes the next version of the desired state, in which the routes of the plain service lead to a pool.
    pub(super) async fn write_desired(&self, desired: &Desired, pool: &str) -> Result<u64> {
        let timeout_ms = desired.timeout_ms;
        let mut routes = vec![
            route("read", "safe", pool, timeout_ms),
            route("write", "unsafe", pool, timeout_ms),
            route("stream-once", "streaming", ENGINES, timeout_ms),
            route("stream-again", "streaming", ENGINES, timeout_ms),
        ];
        routes.extend((0..desired.spare_routes).map(|index| {
            let name = format!("spare-{index}");
            route(&name, "safe", SERVICES, timeout_ms)
        }));
        let mut keys = vec![KEY];
        if desired.has_second_key {
            keys.push(REVOKED_KEY);
        }
        let mut services = vec![service(ENGINES, 10.0)];
        services.extend(SERVICE_POOLS.iter().map(|pool| service(pool, 0.0)));
        let state = json!({
            "Version": self.next_version(), "Routes": routes,
            "Services": services,
            "Limits": {"MaxHeaderBytes": 16_384, "MaxBodyBytes": self.settings.body_max_bytes,
                "HeaderTimeoutMs": 3_000,
                "IdleTimeoutMs": 15_000},
            "Tenants": [{"Name": ORGANISATION, "ApiKeys": keys}],
        });
        self.write("op", "config", Some(state)).await
    }

    /// Lists a replica as ready or as draining; returns when the store took it, in Unix milliseconds.
    ///
    /// # Errors
    ///
    /// Never; the write is repeated until it is taken.
    pub async fn list(&self, index: usize, is_draining: bool) -> Result<u64> {
        let state = match is_draining {
            true => "draining",
            false => "ready",
        };
        let row = self.row(index, state, 0);
        self.write("servers", &self.replicas[index].id, Some(row))
            .await
    }

    /// Replaces the entry of a replica after its latest crash.
    ///
    /// # Errors
    ///
    /// Never; the writes are repeated until they are taken.
    pub async fn replace(&self, index: usize, crashes: usize) -> Result<u64> {
        let id = &self.replicas[index].id;
        for former in 0..crashes {
            self.write("servers", &id_after(id, former), None).await?;
        }
        let row = self.row(index, "ready", crashes);
        self.write("servers", &id_after(id, crashes), Some(row))
            .await
    }

    fn row(&self, index: usize, state: &str, crashes: usize) -> Value {
        let place = &self.replicas[index];
        let birth = self.births.lock().get(&index).copied().unwrap_or_default();
        json!({
            "Service": place.pool, "Address": place.listed.to_string(), "Zone": place.zone, "Version": place.build, "Slots": 8,
            "State": state, "ColdLeftMs": 0, "CallSeq": 0, "born": crashes as u64 + 1 + birth,
        })
    }

    /// Lists a replica as a later process with the same id; returns when the store took it, in Unix milliseconds.
    ///
    /// # Errors
    ///
    /// Never; the write is repeated until it is taken.
    pub async fn list_reborn(&self, index: usize) -> Result<u64> {
        *self.births.lock().entry(index).or_default() += 1;
        self.list(index, false).await
    }

    /// Takes a replica off the list; returns when the store took it, in Unix milliseconds.
    ///
    /// # Errors
    ///
    /// Never; the write is repeated until it is taken.
    pub async fn unlist(&self, index: usize) -> Result<u64> {
        self.write("servers", &self.replicas[index].id, None).await
    }

    /// Evacuates a zone or takes it back; returns when the store took it, in Unix milliseconds.
    ///
    /// # Errors
    ///
    /// Never; the write is repeated until it is taken.
    pub async fn evacuate(&self, zone: &str, is_out: bool) -> Result<u64> {
        let key = format!("evacuate/{zone}");
        self.write("op", &key, is_out.then(|| json!({}))).await
    }

    /// Waits until a gateway has a version of the desired state in force.
    ///
    /// # Errors
    ///
    /// `Error::Late` if it has not for a long time.
    pub async fn wait_in_force(&self, index: usize) -> Result<()> {
        let version = self.version.load(std::sync::atomic::Ordering::SeqCst);
        let line = format!("gateway_catalog_version {version}\n");
        let url = format!("http://{}/metrics", self.gateways[index].metrics);
        crate::client::until("a version in force", || async {
            let Ok(answer) = self.client.get(&url).send().await else {
                return false;
            };
            answer.text().await.is_ok_and(|text| text.contains(&line))
        })
        .await
        .map_err(|_| Error::Late {
            state: format!("version {version} at gateway {index}"),
        })
    }
}
