//! The settings of a gateway.

use std::net::SocketAddr;

use sardinemux_host::prelude::*;
use smol_str::SmolStr;

/// The settings of a gateway.
#[derive(Clone, Debug)]
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
    /// The store.
    pub store_address: SocketAddr,
    /// How long a stopping process may live, in milliseconds.
    pub grace_ms: u64,
    /// Retries that each request earns, for all gateways together.
    pub retry_ratio: f64,
    /// Retries that may be saved up beyond the ratio, for all gateways together.
    pub retry_extra: f64,
    /// The most that a target may carry, as a multiple of its pool's mean load.
    pub load_multiple: f64,
}

const MINUTE_MS: u64 = 60_000;

const fn time(
    section: &'static str,
    name: &'static str,
    default: &'static str,
    about: &'static str,
) -> Key {
    Key {
        section,
        name,
        kind: Kind::Time {
            least_ms: 1,
            most_ms: 10 * MINUTE_MS,
        },
        default: Some(default),
        about,
    }
}

const fn required(
    section: &'static str,
    name: &'static str,
    kind: Kind,
    about: &'static str,
) -> Key {
    Key {
        section,
        name,
        kind,
        default: None,
        about,
    }
}

/// The keys of the settings file.
pub const KEYS: [Key; 12] = [
    required("instance", "name", Kind::Text, "The name of the instance."),
    required("instance", "zone", Kind::Text, "The availability zone."),
    required(
        "instance",
        "callers",
        Kind::Address,
        "Where callers connect.",
    ),
    required(
        "instance",
        "ready",
        Kind::Address,
        "Where the balancer asks for readiness.",
    ),
    required(
        "instance",
        "metrics",
        Kind::Address,
        "Where metrics are shown.",
    ),
    required(
        "instance",
        "peers",
        Kind::Address,
        "Where other gateways connect.",
    ),
    Key {
        section: "instance",
        name: "seeds",
        kind: Kind::Addresses,
        default: Some(""),
        about: "Gateways to ask while the store is away; only their IP numbers are used.",
    },
    required("store", "address", Kind::Address, "The store."),
    time(
        "limits",
        "grace",
        "8s",
        "How long a stopping process may live.",
    ),
    Key {
        section: "limits",
        name: "retry_ratio",
        kind: Kind::Fraction { most: 10 },
        default: Some("0.2"),
        about: "Retries that each request earns.",
    },
    Key {
        section: "limits",
        name: "retry_extra",
        kind: Kind::Fraction { most: 1_000_000 },
        default: Some("20"),
        about: "Retries that may be saved up beyond the ratio, for all gateways together.",
    },
    Key {
        section: "limits",
        name: "load_multiple",
        kind: Kind::Fraction { most: 1_000 },
        default: Some("2"),
        about: "The most that a target may carry, as a multiple of its pool's mean load.",
    },
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
            store_address: values.address("store", "address")?,
            grace_ms: values.number("limits", "grace")?,
            retry_ratio: values.fraction("limits", "retry_ratio")?,
            retry_extra: values.fraction("limits", "retry_extra")?,
            load_multiple: values.fraction("limits", "load_multiple")?,
        })
    }
}
