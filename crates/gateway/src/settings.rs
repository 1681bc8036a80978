//! The settings of a gateway.

use std::net::SocketAddr;

use sardinemux_host::prelude::*;
use smol_str::SmolStr;

/// The settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of the instance.
    pub name: SmolStr,
    /// The availability zone.
    pub zone: SmolStr,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where the balancer asks for readiness.
    pub ready_address: SocketAddr,
    /// Where metrics are shown.
    pub metrics_address: SocketAddr,
    /// Where other gateways connect, over TCP and UDP.
    pub peer_address: SocketAddr,
    /// Other gateways to ask while the store cannot be reached; their port is that of `peer_address`.
    pub seeds: Vec<SocketAddr>,
    /// The bandwidth of the instance's link, in Mbit/s; the widest link of a zone reads the store for the others.
    pub link_mbps: u32,
    /// The store.
    pub store_address: SocketAddr,
    /// How long a starting gateway listens for others before it reads the store, in milliseconds. Worth it where many
    /// start long before callers come; after the loss of all, callers wait.
    pub discovery_ms: u64,
    /// Bounds that may change while the process runs.
    pub bounds: Bounds,
}

/// Bounds of a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// How long a stopping process may live, in milliseconds.
    pub grace_ms: u64,
    /// Retries that each request earns, for all gateways together.
    pub retry_ratio: f64,
    /// Retries that may be saved up beyond the ratio, for all gateways together.
    pub retry_extra: f64,
    /// The most that a target may carry, as a multiple of its pool's mean load.
    pub load_multiple: f64,
}

/// The longest grace period that can be set, in milliseconds.
const GRACE_MAX_MS: u64 = 600_000;

/// The longest time for which a starting gateway may listen, in milliseconds.
const DISCOVERY_MAX_MS: u64 = 10_000;

/// The keys of the settings file.
pub const KEYS: [Key; 14] = [
    Key::new(
        "instance",
        "name",
        Kind::Text,
        None,
        "The name of the instance.",
    ),
    Key::new(
        "instance",
        "zone",
        Kind::Text,
        None,
        "The availability zone.",
    ),
    Key::new(
        "instance",
        "callers",
        Kind::Address,
        None,
        "Where callers connect.",
    ),
    Key::new(
        "instance",
        "ready",
        Kind::Address,
        None,
        "Where the balancer asks for readiness.",
    ),
    Key::new(
        "instance",
        "metrics",
        Kind::Address,
        None,
        "Where metrics are shown.",
    ),
    Key::new(
        "instance",
        "peers",
        Kind::Address,
        None,
        "Where other gateways connect.",
    ),
    Key::new(
        "instance",
        "seeds",
        Kind::Addresses,
        Some(""),
        "Gateways to ask while the store is away; only their IP numbers are used.",
    ),
    Key::new(
        "instance",
        "link_mbps",
        Kind::Fraction { most: 1_000_000 },
        Some("1000"),
        "The bandwidth of the instance's link, in Mbit/s.",
    ),
    Key::new("store", "address", Kind::Address, None, "The store."),
    Key::new(
        "store",
        "listen",
        Kind::time(0, DISCOVERY_MAX_MS),
        Some("0ms"),
        "How long a starting gateway listens for others before it reads the store.",
    ),
    Key::new(
        "limits",
        "grace",
        Kind::time(1, GRACE_MAX_MS),
        Some("8s"),
        "How long a stopping process may live.",
    ),
    Key::new(
        "limits",
        "retry_ratio",
        Kind::Fraction { most: 10 },
        Some("0.2"),
        "Retries that each request earns.",
    ),
    Key::new(
        "limits",
        "retry_extra",
        Kind::Fraction { most: 1_000_000 },
        Some("20"),
        "Retries that may be saved up beyond the ratio, for all gateways together.",
    ),
    Key::new(
        "limits",
        "load_multiple",
        Kind::Fraction { most: 1_000 },
        Some("2"),
        "The most that a target may carry, as a multiple of its pool's mean load.",
    ),
];

impl Settings {
    /// Takes the settings out of checked values.
    ///
    /// # Errors
    ///
    /// As for [`Values::address`].
    pub fn new(values: &Values) -> Result<Self> {
        Ok(Self {
            name: values.text("instance", "name")?,
            zone: values.text("instance", "zone")?,
            caller_address: values.address("instance", "callers")?,
            ready_address: values.address("instance", "ready")?,
            metrics_address: values.address("instance", "metrics")?,
            peer_address: values.address("instance", "peers")?,
            seeds: values.addresses("instance", "seeds")?,
            link_mbps: values.fraction("instance", "link_mbps")? as u32,
            store_address: values.address("store", "address")?,
            discovery_ms: values.number("store", "listen")?,
            bounds: Bounds {
                grace_ms: values.number("limits", "grace")?,
                retry_ratio: values.fraction("limits", "retry_ratio")?,
                retry_extra: values.fraction("limits", "retry_extra")?,
                load_multiple: values.fraction("limits", "load_multiple")?,
            },
        })
    }

    /// Returns the settings without those that may change while the process runs.
    pub fn without_reloadable(&self) -> Self {
        Self {
            seeds: Vec::new(),
            bounds: Bounds {
                grace_ms: 0,
                retry_ratio: 0.0,
                retry_extra: 0.0,
                load_multiple: 0.0,
            },
            ..self.clone()
        }
    }
}
