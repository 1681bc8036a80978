//! The instances that the platform lists, the rows of its table, and the keys under which sardinemux stores data there.

use sardinemux_core::target::{Kind, Target};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// How a target is addressed, what it serves and how many requests it serves at once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The kind of target.
    pub kind: Kind,
    /// The pool: the name of the model or the service.
    pub pool: SmolStr,
    /// The address, as `ip:port`.
    pub address: SmolStr,
    /// The number of requests that the target serves at once when it is warm.
    pub slots: u32,
    /// The version of the target's software; empty if it is not stated.
    #[serde(default)]
    pub build: SmolStr,
}

/// The role of an instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// A router, with the address at which other routers reach it.
    Router(SmolStr),
    /// An engine or a plain service.
    Target(Endpoint),
}

/// One instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// The id of the instance.
    pub id: SmolStr,
    /// The availability zone of the instance.
    pub zone: SmolStr,
    /// The region of the instance.
    pub region: SmolStr,
    /// Whether the platform reports that the instance is leaving.
    pub leaving: bool,
    /// The role of the instance.
    #[serde(rename = "part")]
    pub role: Role,
}

impl Instance {
    /// Creates the instance that lists a target.
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
                build: target.build,
            }),
        }
    }

    /// Returns the target that the instance lists, or `None` for a router.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_wire::platform::{Instance, Role};
    ///
    /// let router = Instance {
    ///     id: "r1".into(),
    ///     zone: "z1".into(),
    ///     region: "north".into(),
    ///     leaving: false,
    ///     role: Role::Router("127.0.0.1:1".into()),
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
            build: offered.build.clone(),
        })
    }
}

/// One row of the platform's table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    pub key: SmolStr,
    /// The version of the store at which the row last changed.
    pub version: u64,
    /// The value.
    pub value: serde_json::Value,
}

/// Returns the table key of an entry of the configuration log. The version is padded with zeros, so that the keys sort
/// in the order of the versions.
///
/// # Examples
///
/// ```
/// assert_eq!(sardinemux_wire::platform::log_key(7), "config/log/00000000000000000007");
/// ```
pub fn log_key(version: u64) -> SmolStr {
    format!("{LOG_PREFIX}{version:020}").into()
}

/// The prefix of the table keys of the configuration log.
pub const LOG_PREFIX: &str = "config/log/";

/// The name of the object that holds a snapshot of the configuration.
pub const SNAPSHOT_OBJECT: &str = "config-snapshot";

/// The prefix of the table keys of the idempotency ledger.
pub const LEDGER_PREFIX: &str = "ledger/";

/// The table key of the lease whose holder sends orders to engines.
pub const ORDERS_LEASE: &str = "lease/orders";
