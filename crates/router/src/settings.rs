//! The settings of a router process.

use std::net::SocketAddr;

use sardinemux_host::prelude::*;
use smol_str::SmolStr;

/// The policy by which a router chooses targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Admission by the owner router of each target. The other policies are baselines for measurements.
    Owner,
    /// Rendezvous hashing without a load bound; a baseline for measurements.
    Hash,
    /// The target with the lowest load in its last report, which lags behind; a baseline for measurements.
    LeastLoaded,
}

/// The settings of a router, as read from its settings file.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The id of this router in the platform's instance list.
    pub id: SmolStr,
    /// The availability zone of this router.
    pub zone: SmolStr,
    /// The region of this router.
    pub region: SmolStr,
    /// The address on which callers connect.
    pub entry_address: SocketAddr,
    /// The address on which other routers and administration programs connect, and which serves health and metrics.
    pub peer_address: SocketAddr,
    /// The peer address that this router advertises to other routers.
    pub advertised_address: SocketAddr,
    /// The secret token that routers and administration programs share.
    pub peer_token: SmolStr,
    /// The addresses of the platform's services.
    pub platform: Vec<SocketAddr>,
    /// The timeout of a request to the platform, in milliseconds.
    pub platform_timeout_ms: u64,
    /// The mean time between two reads of the instance list, in milliseconds.
    pub list_period_ms: u64,
    /// The mean time between two reads of the configuration log, in milliseconds.
    pub config_period_ms: u64,
    /// The policy by which targets are chosen.
    pub policy: Policy,
    /// The maximum number of concurrent requests at this entry.
    pub requests_max: u32,
    /// The maximum size of a caller's request body, in bytes.
    pub body_max_bytes: u64,
    /// The maximum duration of a request, in milliseconds.
    pub request_timeout_ms: u64,
    /// The mean time between two gossip exchanges with a random peer, in milliseconds.
    pub gossip_period_ms: u64,
    /// How long a peer may send no frame before a forwarded request fails, in milliseconds.
    pub silence_timeout_ms: u64,
    /// How long a suspected router keeps its targets before it counts as dead, in milliseconds.
    pub suspicion_timeout_ms: u64,
    /// How long a new owner admits no requests while the former owner does not respond, in milliseconds.
    pub takeover_wait_ms: u64,
    /// The rate limit of control traffic, in bytes per second.
    pub control_bytes_per_s: u32,
    /// The minimum duration of a graceful shutdown, in milliseconds.
    pub drain_min_ms: u64,
    /// The names of disabled mechanisms, for tests that show which failures each mechanism prevents.
    pub disabled_mechanisms: Vec<SmolStr>,
}

/// The mechanisms that a test can disable; `nothing` disables none.
const MECHANISMS: [&str; 8] = [
    "nothing", "fence", "ledger", "bound", "cold", "takeover", "familiar", "order",
];

/// The values of the setting `routing.policy`.
const POLICIES: [&str; 3] = ["owner", "hash", "least_loaded"];

/// The definitions of all keys of a router's settings file.
pub const KEYS: [Key; 23] = [
    Key::new(
        "instance",
        "id",
        Kind::Text,
        None,
        "The name in the instance list.",
    ),
    Key::new(
        "instance",
        "zone",
        Kind::Text,
        None,
        "The availability zone.",
    ),
    Key::new("instance", "region", Kind::Text, None, "The region."),
    Key::new(
        "entry",
        "address",
        Kind::Address,
        None,
        "Where callers connect.",
    ),
    Key::new(
        "entry",
        "requests_max",
        Kind::Count {
            least: 1,
            most: 1_000_000,
        },
        Some("2048"),
        "The most requests at this entry.",
    ),
    Key::new(
        "entry",
        "body_max",
        Kind::Size {
            least: 1_024,
            most: 8 << 20,
        },
        Some("1MiB"),
        "The largest body of a caller.",
    ),
    Key::new(
        "entry",
        "request_time",
        Kind::time(100, 3_600_000),
        Some("120s"),
        "The longest time for a request.",
    ),
    Key::new(
        "peer",
        "address",
        Kind::Address,
        None,
        "Where other routers connect.",
    ),
    Key::new(
        "peer",
        "advertise",
        Kind::Addresses,
        Some(""),
        "The address that other routers are told, if it differs.",
    ),
    Key::new(
        "peer",
        "token",
        Kind::Text,
        None,
        "The secret that the fleet's programs share.",
    ),
    Key::new(
        "peer",
        "gossip_period",
        Kind::time(50, 60_000),
        Some("1s"),
        "The time between two exchanges with a random peer.",
    ),
    Key::new(
        "peer",
        "silence",
        Kind::time(100, 60_000),
        Some("2500ms"),
        "A router that says nothing for this long counts as silent.",
    ),
    Key::new(
        "peer",
        "suspect",
        Kind::time(100, 60_000),
        Some("2s"),
        "How long a suspected router stays an owner.",
    ),
    Key::new(
        "peer",
        "takeover",
        Kind::time(100, 60_000),
        Some("4s"),
        "How long a new owner without an answer from the former one admits nothing.",
    ),
    Key::new(
        "peer",
        "control_bytes",
        Kind::Count {
            least: 500,
            most: 10_000_000,
        },
        Some("10000"),
        "Control bytes a second.",
    ),
    Key::new(
        "platform",
        "addresses",
        Kind::Addresses,
        None,
        "The platform's services.",
    ),
    Key::new(
        "platform",
        "timeout",
        Kind::time(50, 60_000),
        Some("1s"),
        "How long the platform may take to answer.",
    ),
    Key::new(
        "platform",
        "list_period",
        Kind::time(100, 600_000),
        Some("2s"),
        "The time between two reads of the instance list.",
    ),
    Key::new(
        "platform",
        "config_period",
        Kind::time(100, 3_600_000),
        Some("4s"),
        "The mean time between two reads of the configuration log.",
    ),
    Key::new(
        "routing",
        "policy",
        Kind::Choice(&POLICIES),
        Some("owner"),
        "How targets are chosen; all but owner are baselines for measurements.",
    ),
    Key::new(
        "shutdown",
        "drain",
        Kind::time(0, 600_000),
        Some("3s"),
        "The shortest time between the start of a graceful shutdown and its end.",
    ),
    Key::new(
        "test",
        "without_first",
        Kind::Choice(&MECHANISMS),
        Some("nothing"),
        "A mechanism that is switched off, to show what it is for.",
    ),
    Key::new(
        "test",
        "without_second",
        Kind::Choice(&MECHANISMS),
        Some("nothing"),
        "A second mechanism that is switched off.",
    ),
];

impl Settings {
    /// Creates the settings from validated values.
    ///
    /// # Errors
    ///
    /// The error of [`Values`] for a key that is missing or malformed.
    pub fn new(values: &Values) -> Result<Self> {
        let policy = match values.text("routing", "policy")?.as_str() {
            "hash" => Policy::Hash,
            "least_loaded" => Policy::LeastLoaded,
            _ => Policy::Owner,
        };
        let peer_address = values.address("peer", "address")?;
        let advertised = values.addresses("peer", "advertise")?;
        Ok(Self {
            id: values.text("instance", "id")?,
            zone: values.text("instance", "zone")?,
            region: values.text("instance", "region")?,
            entry_address: values.address("entry", "address")?,
            peer_address,
            advertised_address: advertised.first().copied().unwrap_or(peer_address),
            peer_token: values.text("peer", "token")?,
            platform: values.addresses("platform", "addresses")?,
            platform_timeout_ms: values.number("platform", "timeout")?,
            list_period_ms: values.number("platform", "list_period")?,
            config_period_ms: values.number("platform", "config_period")?,
            policy,
            requests_max: values.number("entry", "requests_max")? as u32,
            body_max_bytes: values.number("entry", "body_max")?,
            request_timeout_ms: values.number("entry", "request_time")?,
            gossip_period_ms: values.number("peer", "gossip_period")?,
            silence_timeout_ms: values.number("peer", "silence")?,
            suspicion_timeout_ms: values.number("peer", "suspect")?,
            takeover_wait_ms: values.number("peer", "takeover")?,
            control_bytes_per_s: values.number("peer", "control_bytes")? as u32,
            drain_min_ms: values.number("shutdown", "drain")?,
            disabled_mechanisms: vec![
                values.text("test", "without_first")?,
                values.text("test", "without_second")?,
            ],
        })
    }

    /// Returns whether a mechanism is enabled.
    pub fn is_enabled(&self, mechanism: &str) -> bool {
        !self
            .disabled_mechanisms
            .iter()
            .any(|name| name == mechanism)
    }
}
