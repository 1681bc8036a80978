//! The catalogue of routes, pools, organisations and limits, and the look-ups that serve a request.
//!
//! A [`Definition`] is the catalogue as operators write it and as gateways exchange it; a [`Catalog`] adds the indexes
//! for the look-ups.

pub mod check;
pub mod patch;

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The kind of a route's requests: whether they may run more than once, and whether the response is a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A request may run any number of times.
    Safe,
    /// A request may run at most once.
    #[default]
    Unsafe,
    /// The response is a stream of events. A request may run at most once unless its stream is resumable.
    Stream {
        /// Whether another target may continue the stream after the last delivered event.
        is_resumable: bool,
    },
}

impl Kind {
    /// Returns whether a request may be sent to another target although it may have run already.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::catalog::Kind;
    ///
    /// assert!(Kind::Safe.is_repeatable());
    /// assert!(!Kind::Stream { is_resumable: false }.is_repeatable());
    /// ```
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Safe => true,
            Self::Unsafe => false,
            Self::Stream { is_resumable } => is_resumable,
        }
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// The share of a route's requests that one pool receives.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The name of the pool.
    pub pool: SmolStr,
    /// The weight relative to the other shares of the route.
    pub weight: u32,
}

/// A route: how requests with one host and path prefix are served.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name of the route, unique within a catalogue.
    pub name: SmolStr,
    /// The host name that callers address.
    pub host: SmolStr,
    /// The path prefix, which starts and ends with a slash.
    pub prefix: SmolStr,
    /// The kind of the requests.
    pub kind: Kind,
    /// The timeout for the final answer to the caller, in milliseconds.
    pub timeout_ms: u64,
    /// The latency objective, in milliseconds: to the first event of a stream, otherwise to the complete response.
    pub objective_ms: u64,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The pools that serve the route, of which at least one has a positive weight.
    pub shares: Vec<Share>,
    /// The maximum number of targets on which one request may run.
    pub attempts_max: u32,
    /// Whether callers may use the route without a key.
    pub is_public: bool,
}

/// The properties that all model engines of a pool share.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// The number of requests that one engine runs concurrently.
    pub slots: u32,
    /// The capacity of one engine's KV cache, in tokens.
    pub cache_tokens: u64,
}

/// A pool of interchangeable targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// The name of the pool.
    pub name: SmolStr,
    /// The maximum number of connections that one target accepts from all gateways together.
    pub connections_max: u32,
    /// How long a target stays cold after its start, in milliseconds.
    pub cold_ms: u64,
    /// The maximum request rate of a cold target from all gateways together, in requests per second; zero for no limit.
    pub cold_per_s: f64,
    /// The properties of the engines; none unless the targets are model engines.
    pub engine: Option<Engine>,
}

/// A customer whose callers authenticate with keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// The name of the organisation.
    pub name: SmolStr,
    /// The valid keys.
    pub keys: Vec<SmolStr>,
    /// The priority of the organisation's requests, which overrides that of the route.
    pub priority: Option<u8>,
}

/// The limits that apply to each connection of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// The maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// The timeout for a request's body to arrive completely, in milliseconds.
    pub read_ms: u64,
    /// The timeout of an idle connection, in milliseconds: until the next request's head has arrived completely.
    pub idle_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16_384,
            body_bytes: 4 << 20,
            read_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}

/// One version of the catalogue, as operators write it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Definition {
    /// The version, which grows with each change; zero if no catalogue is known yet.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The pools.
    pub pools: Vec<Pool>,
    /// The organisations. If there are none, callers need no key on any route.
    pub organisations: Vec<Organisation>,
    /// The limits of callers' connections.
    pub limits: Limits,
}

/// A catalogue definition with the indexes for look-ups.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    definition: Arc<Definition>,
    hosts: IndexMap<SmolStr, IndexMap<SmolStr, usize>>,
    keys: IndexMap<SmolStr, usize>,
    pools: IndexMap<SmolStr, usize>,
}

impl Catalog {
    /// Creates a catalogue and builds the indexes of its definition.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::catalog::{Catalog, Definition};
    ///
    /// let catalog = Catalog::new(Definition::default().into());
    /// assert!(catalog.route("example.org", "/a/b").is_none());
    /// ```
    pub fn new(definition: Arc<Definition>) -> Self {
        let mut hosts: IndexMap<SmolStr, IndexMap<SmolStr, usize>> = IndexMap::new();
        for (index, route) in definition.routes.iter().enumerate() {
            let prefixes = hosts.entry(route.host.clone()).or_default();
            prefixes.insert(route.prefix.clone(), index);
        }
        let mut keys = IndexMap::new();
        for (index, organisation) in definition.organisations.iter().enumerate() {
            keys.extend(organisation.keys.iter().map(|key| (key.clone(), index)));
        }
        let pools = definition.pools.iter().enumerate();
        let pools = pools.map(|(index, pool)| (pool.name.clone(), index));
        Self {
            pools: pools.collect(),
            definition,
            hosts,
            keys,
        }
    }

    /// Returns the definition that the indexes refer to.
    pub fn definition(&self) -> &Arc<Definition> {
        &self.definition
    }

    /// Returns the version; zero if no catalogue is known yet.
    pub fn version(&self) -> u64 {
        self.definition.version
    }

    /// Returns the limits of callers' connections.
    pub fn limits(&self) -> Limits {
        self.definition.limits
    }

    /// Returns whether callers of routes that are not public need a key.
    pub fn needs_keys(&self) -> bool {
        !self.definition.organisations.is_empty()
    }

    /// Returns the route of a host with the longest prefix that matches a path; nothing if none matches.
    ///
    /// As prefixes end with a slash, it suffices to look up the path up to each of its slashes, from the last to the
    /// first.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let prefixes = self.hosts.get(host)?;
        let mut rest = path;
        loop {
            let slash = rest.rfind('/')?;
            if let Some(index) = prefixes.get(&rest[..=slash]) {
                return self.definition.routes.get(*index);
            }
            rest = &rest[..slash];
        }
    }

    /// Returns the organisation that a key belongs to; nothing if the key is unknown.
    pub fn organisation_by_key(&self, key: &str) -> Option<&Organisation> {
        self.definition.organisations.get(*self.keys.get(key)?)
    }

    /// Returns the pool with a name; nothing if there is none.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.definition.pools.get(*self.pools.get(name)?)
    }
}

/// Selects the pool for a request from the shares of its route, by a number such as a hash of the request id.
///
/// Numbers that are spread evenly select the pools in proportion to their weights. Returns nothing if the weights add
/// up to zero.
///
/// # Examples
///
/// ```
/// use sardinemux_core::catalog::{self, Share};
///
/// let shares = [
///     Share { pool: "a".into(), weight: 9 },
///     Share { pool: "b".into(), weight: 1 },
/// ];
/// assert_eq!(catalog::select_pool(&shares, 8).unwrap(), "a");
/// assert_eq!(catalog::select_pool(&shares, 9).unwrap(), "b");
/// ```
pub fn select_pool(shares: &[Share], number: u64) -> Option<&SmolStr> {
    let total: u64 = shares.iter().map(|share| u64::from(share.weight)).sum();
    let mut remaining = number.checked_rem(total)?;
    for share in shares {
        let weight = u64::from(share.weight);
        if remaining < weight {
            return Some(&share.pool);
        }
        remaining -= weight;
    }
    None
}
