//! What the product keeps in the platform's store: instances and rows, and the keys of each.

use sardinemux_core::target::{Kind, Target};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// What a target offers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// What it is.
    pub kind: Kind,
    /// The model or the service.
    pub pool: SmolStr,
    /// The address, as `ip:port`.
    pub address: SmolStr,
    /// The number of requests that it bears at once when warm.
    pub slots: u32,
}

/// The part that an instance plays.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// A router of this system, with its address for other routers.
    Router(SmolStr),
    /// An engine or a plain service.
    Target(Endpoint),
}

/// One instance of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// Its name.
    pub id: SmolStr,
    /// Its availability zone.
    pub zone: SmolStr,
    /// Its region.
    pub region: SmolStr,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The part that it plays.
    #[serde(rename = "part")]
    pub role: Role,
}

impl Instance {
    /// Lists a target.
    pub fn from_target(target: Target) -> Self {
        Self {
            id: target.id,
            zone: target.zone,
            region: target.region,
            leaving: target.leaving,
            role: Role::Target(Endpoint {
                kind: target.kind,
                pool: target.pool,
                address: target.address,
                slots: target.slots,
            }),
        }
    }

    /// Returns the target that the instance is, if it is one.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_wire::platform::{Instance, Part};
    ///
    /// let router = Instance {
    ///     id: "r1".into(),
    ///     zone: "z1".into(),
    ///     region: "north".into(),
    ///     leaving: false,
    ///     part: Part::Router("127.0.0.1:1".into()),
    /// };
    /// assert!(router.target().is_none());
    /// ```
    pub fn target(&self) -> Option<Target> {
        let Role::Target(offered) = &self.role else {
            return None;
        };
        Some(Target {
            id: self.id.clone(),
            kind: offered.kind,
            pool: offered.pool.clone(),
            address: offered.address.clone(),
            zone: self.zone.clone(),
            region: self.region.clone(),
            slots: offered.slots,
            leaving: self.leaving,
        })
    }
}

/// One row of the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    pub key: SmolStr,
    /// The version of the store at which it changed.
    pub version: u64,
    /// The value.
    pub value: serde_json::Value,
}

/// The table key of an entry of the configuration log; the digits sort as the numbers do.
///
/// # Examples
///
/// ```
/// assert_eq!(sardinemux_wire::platform::log_key(7), "config/log/00000000000000000007");
/// ```
pub fn log_key(version: u64) -> SmolStr {
    format!("{LOG_PREFIX}{version:020}").into()
}

/// The beginning of the table keys of the configuration log.
pub const LOG_PREFIX: &str = "config/log/";

/// The object that holds a snapshot of the configuration.
pub const SNAPSHOT_OBJECT: &str = "config-snapshot";

/// The beginning of the table keys of the idempotency ledger.
pub const LEDGER_PREFIX: &str = "ledger/";

/// The table key of the lease on giving orders to engines.
pub const ORDERS_LEASE: &str = "lease/orders";
