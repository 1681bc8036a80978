//! The settings of a gateway and the keys of its settings file.

use std::net::{IpAddr, SocketAddr};

use sardinemux_core::crossing;
use sardinemux_core::rollout;
use sardinemux_host::prelude::*;
use smol_str::SmolStr;

/// The settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of the instance.
    pub name: SmolStr,
    /// The availability zone.
    pub zone: SmolStr,
    /// The address on which callers connect.
    pub caller_address: SocketAddr,
    /// The address on which the load balancer probes the readiness.
    pub ready_address: SocketAddr,
    /// The address on which metrics are served.
    pub metrics_address: SocketAddr,
    /// The address on which other gateways connect, over TCP and UDP.
    pub peer_address: SocketAddr,
    /// Gateways that get reports while no other gateway is known, for example because the store is unreachable. Only
    /// their IP addresses are used; the port is that of `peer_address`.
    pub seeds: Vec<SocketAddr>,
    /// The address from which targets are connected to, on an instance with several; `None` for the system's choice.
    pub source_address: Option<IpAddr>,
    /// The bandwidth of the instance's network link, in Mbit/s. In each availability zone, the gateway with the widest
    /// link reads the store for the others.
    pub link_mbps: u32,
    /// The memory that the process may have, in bytes. What it holds for others is bounded by a part of that.
    pub memory_bytes: usize,
    /// The address of the store.
    pub store_address: SocketAddr,
    /// The time for which a starting gateway waits for reports of others before it reads the store, in milliseconds.
    /// It is of use where many gateways start long before callers arrive: few of them then read the store. When all
    /// gateways have lost their state at once, callers wait for it.
    pub discovery_ms: u64,
    /// Whether the whole fleet starts for the first time. Otherwise the store may have lost what was written before.
    pub is_first_start: bool,
    /// Whether a dispatcher grants permits for pools of few slots.
    pub permits: Permits,
    /// The limits of clients.
    pub clients: Clients,
    /// The bounds of the deployment, which may change while the process runs.
    pub bounds: Bounds,
}

/// When a dispatcher grants permits for pools of few slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Permits {
    /// Never.
    #[default]
    Off,
    /// While targets of the deployment state their speed.
    Auto,
    /// Always.
    On,
}

impl Permits {
    fn parse(text: &str) -> Self {
        match text {
            "on" => Self::On,
            "auto" => Self::Auto,
            _ => Self::Off,
        }
    }
}

/// The limits of clients, which none reaches by default that sends sound requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Clients {
    /// The connections of all callers; 0 for two fifths of the descriptors that the process may have open.
    pub connections: usize,
    /// The connections of one address of callers; 0 for no limit, as all callers may come from few addresses.
    pub connections_per_address: usize,
    /// The time without progress after which a head or body gives way to others, in milliseconds.
    pub stall_ms: u64,
}

impl Default for Clients {
    fn default() -> Self {
        Self {
            connections: 0,
            connections_per_address: 0,
            // A lost segment is sent again within this time.
            stall_ms: 1_000,
        }
    }
}

/// The bounds of a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The time within which a stopping process exits, in milliseconds.
    pub grace_ms: u64,
    /// The number of retries that each request adds to the retry budget, for all gateways together.
    pub retry_ratio: f64,
    /// The largest balance of the retry budget, for all gateways together.
    pub retry_extra: f64,
    /// The largest load of a target, as a multiple of the mean load of its pool.
    pub load_multiple: f64,
    /// The bounds of rollouts.
    pub rollout: rollout::Settings,
    /// The costs of traffic between zones.
    pub crossing: crossing::Costs,
}

/// The longest grace period that can be set, in milliseconds.
const GRACE_MAX_MS: u64 = 600_000;

/// The longest discovery time that can be set, in milliseconds.
const DISCOVERY_MAX_MS: u64 = 10_000;

/// The largest memory that can be set, in megabytes.
const MEMORY_MAX_MB: u32 = 1_000_000;

/// The largest cost that can be set, in the operator's unit.
const COST_MAX: u32 = 1_000_000;
/// The largest limit of clients that can be set.
const CLIENTS_MAX: u32 = 1_000_000;

/// The longest time without progress that can be set, in milliseconds.
const STALL_MAX_MS: u64 = 60_000;

/// The value of `[store] start` at the first start of the whole fleet.
const FIRST_START: &str = "first";

/// The bytes of a megabyte.
const MEGABYTE: f64 = 1e6;

/// The keys of the settings file.
pub const KEYS: [Key; 28] = [
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
        "source",
        Kind::Addresses,
        Some(""),
        "Where connections to targets come from, on an instance with several addresses; only its IP number is used.",
    ),
    Key::new(
        "instance",
        "link_mbps",
        Kind::Fraction { most: 1_000_000 },
        Some("1000"),
        "The bandwidth of the instance's link, in Mbit/s.",
    ),
    Key::new(
        "instance",
        "memory_mb",
        Kind::Fraction {
            most: MEMORY_MAX_MB,
        },
        Some("256"),
        "The memory that the process may have, in megabytes.",
    ),
    Key::new(
        "clients",
        "connections",
        Kind::Fraction { most: CLIENTS_MAX },
        Some("0"),
        "The connections of all callers; 0 for two fifths of the descriptors.",
    ),
    Key::new(
        "clients",
        "connections_per_address",
        Kind::Fraction { most: CLIENTS_MAX },
        Some("0"),
        "The connections of callers of one address; 0 for no limit.",
    ),
    Key::new(
        "clients",
        "stall",
        Kind::time(1, STALL_MAX_MS),
        Some("1s"),
        "How long a head or body may make no progress before it gives way to others.",
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
        "store",
        "start",
        Kind::Choice(&[FIRST_START, "again"]),
        Some("again"),
        "Whether the whole fleet starts for the first time, so that the store cannot have lost anything.",
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
    Key::new(
        "rollout",
        "exposure_share",
        Kind::Fraction { most: 1 },
        Some("0.1"),
        "The largest share of a pool's requests that a bad build may get during its rollout.",
    ),
    Key::new(
        "rollout",
        "exposure_slack",
        Kind::Fraction { most: 1_000_000 },
        Some("50"),
        "The requests that a bad build may get beyond that share.",
    ),
    Key::new(
        "zones",
        "crossing_cost_per_gb",
        Kind::Fraction { most: COST_MAX },
        Some("0"),
        "The cost of a gigabyte between zones; zero places requests without regard to it.",
    ),
    Key::new(
        "zones",
        "read_cost_per_1000_tokens",
        Kind::Fraction { most: COST_MAX },
        Some("0"),
        "The cost of reading 1,000 tokens of a prompt, in the same unit.",
    ),
    Key::new(
        "zones",
        "fetch_cost_per_gb",
        Kind::Fraction { most: COST_MAX },
        Some("0"),
        "The cost of fetching a gigabyte of cache from another target, in the same unit.",
    ),
    Key::new(
        "zones",
        "cache_bytes_per_token",
        Kind::Fraction { most: 1_000_000_000 },
        Some("0"),
        "The size of the cache of one token, in bytes.",
    ),
    Key::new(
        "admission",
        "permits",
        Kind::Choice(&["off", "auto", "on"]),
        Some("off"),
        "Whether one gateway grants permits for pools of few slots; auto: while targets state their speed.",
    ),
    Key::new(
        "admission",
        "contracts",
        Kind::Words,
        Some(""),
        "What the platform states of the deployment's load; the platform's program reads it.",
    ),
];

impl Settings {
    /// Creates the settings from validated values.
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
            source_address: values
                .addresses("instance", "source")?
                .first()
                .map(SocketAddr::ip),
            link_mbps: values.fraction("instance", "link_mbps")? as u32,
            memory_bytes: (values.fraction("instance", "memory_mb")? * MEGABYTE) as usize,
            store_address: values.address("store", "address")?,
            discovery_ms: values.number("store", "listen")?,
            is_first_start: values.text("store", "start")? == FIRST_START,
            permits: Permits::parse(&values.text("admission", "permits")?),
            clients: Clients {
                connections: values.fraction("clients", "connections")? as usize,
                connections_per_address: values.fraction("clients", "connections_per_address")?
                    as usize,
                stall_ms: values.number("clients", "stall")?,
            },
            bounds: Bounds {
                grace_ms: values.number("limits", "grace")?,
                retry_ratio: values.fraction("limits", "retry_ratio")?,
                retry_extra: values.fraction("limits", "retry_extra")?,
                load_multiple: values.fraction("limits", "load_multiple")?,
                rollout: rollout::Settings {
                    exposure_share: values.fraction("rollout", "exposure_share")?,
                    exposure_slack: values.fraction("rollout", "exposure_slack")?,
                },
                crossing: crossing::Costs {
                    crossing_per_gb: values.fraction("zones", "crossing_cost_per_gb")?,
                    read_per_1000_tokens: values.fraction("zones", "read_cost_per_1000_tokens")?,
                    fetch_per_gb: values.fraction("zones", "fetch_cost_per_gb")?,
                    cache_bytes_per_token: values.fraction("zones", "cache_bytes_per_token")?,
                },
            },
        })
    }

    /// Returns the settings with those cleared that may change while the process runs.
    pub fn without_reloadable(&self) -> Self {
        Self {
            seeds: Vec::new(),
            bounds: Bounds {
                grace_ms: 0,
                retry_ratio: 0.0,
                retry_extra: 0.0,
                load_multiple: 0.0,
                rollout: rollout::Settings::default(),
                crossing: crossing::Costs::default(),
            },
            ..self.clone()
        }
    }
}
