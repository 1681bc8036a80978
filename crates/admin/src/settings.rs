//! The settings of the administration API, and their keys in the settings file.

use std::net::SocketAddr;

use sardinemux_host::prelude::*;
use smol_str::SmolStr;

/// The settings of the administration API.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The address at which operators connect.
    pub address: SocketAddr,
    /// The token of the consortium's first operator, who creates the others.
    pub first_operator_token: SmolStr,
    /// The secret that routers and administration programs share.
    pub peer_token: SmolStr,
    /// The addresses of the platform.
    pub platform_addresses: Vec<SocketAddr>,
    /// The timeout of one call to the platform, in milliseconds.
    pub platform_timeout_ms: u64,
}

/// The keys of the settings file, besides those that every program has.
pub const KEYS: [Key; 5] = [
    Key {
        section: "admin",
        name: "address",
        kind: Kind::Address,
        default: None,
        about: "Where operators connect.",
    },
    Key {
        section: "admin",
        name: "first_token",
        kind: Kind::Text,
        default: None,
        about: "The token of the consortium's first operator, who creates the others.",
    },
    Key {
        section: "peer",
        name: "token",
        kind: Kind::Text,
        default: None,
        about: "The secret that the fleet's programs share.",
    },
    Key {
        section: "platform",
        name: "addresses",
        kind: Kind::Addresses,
        default: None,
        about: "The platform's services.",
    },
    Key {
        section: "platform",
        name: "timeout",
        kind: Kind::Time {
            least_ms: 50,
            most_ms: 60_000,
        },
        default: Some("2s"),
        about: "How long the platform may take to answer.",
    },
];

impl Settings {
    /// Reads the settings from the values of the settings file.
    ///
    /// # Errors
    ///
    /// The error that [`Values`] returns for a key that is missing or has a malformed value.
    pub fn new(values: &Values) -> Result<Self> {
        Ok(Self {
            address: values.address("admin", "address")?,
            first_operator_token: values.text("admin", "first_token")?,
            peer_token: values.text("peer", "token")?,
            platform_addresses: values.addresses("platform", "addresses")?,
            platform_timeout_ms: values.number("platform", "timeout")?,
        })
    }
}
