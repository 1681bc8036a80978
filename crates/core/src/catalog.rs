//! The operators' routes, pools, organisations and limits, and the look-ups that each request makes.
//!
//! A [`Definition`] is what operators write and peers pass on; a [`Catalog`] is the same with its indexes.

pub mod patch;

use std::sync::Arc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// May run any number of times.
    Safe,
    /// May run at most once.
    #[default]
    Unsafe,
    /// Answered by a stream of events; runs at most once unless it can be resumed.
    Stream {
        /// Whether another target may continue after the last delivered event.
        is_resumable: bool,
    },
}

impl Kind {
    /// Returns whether a request may be dispatched again although it may have run.
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

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// One pool's part of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The pool.
    pub pool: SmolStr,
    /// The weight against the route's other shares.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name, unique within a catalogue.
    pub name: SmolStr,
    /// The host that callers address.
    pub host: SmolStr,
    /// The beginning of the path; it starts and ends with a slash.
    pub prefix: SmolStr,
    /// What may be repeated.
    pub kind: Kind,
    /// The longest time to a final answer, in milliseconds.
    pub timeout_ms: u64,
    /// The latency objective, in milliseconds: to the first event of a stream, else to the whole answer.
    pub objective_ms: u64,
    /// The rank; 0 is the most urgent.
    pub priority: u8,
    /// The pools that serve it; at least one with a weight.
    pub shares: Vec<Share>,
    /// The most targets on which one request may run.
    pub attempts_max: u32,
    /// Whether callers need no key.
    pub is_public: bool,
}

/// What engines of a pool have in common.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// The requests that one engine runs at once.
    pub slots: u32,
    /// The tokens that one engine's KV cache holds.
    pub cache_tokens: u64,
}

/// A pool of interchangeable targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// The name.
    pub name: SmolStr,
    /// The connections that one target accepts from all routers together.
    pub connections_max: u32,
    /// How long a target stays cold after its start, in milliseconds.
    pub cold_ms: u64,
    /// The requests a second that a cold target bears; zero for no limit.
    pub cold_per_s: f64,
    /// Set for model engines.
    pub engine: Option<Engine>,
}

/// A customer whose callers authenticate with keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// The name.
    pub name: SmolStr,
    /// The keys in force.
    pub keys: Vec<SmolStr>,
    /// A rank that takes precedence over that of the route.
    pub priority: Option<u8>,
}

/// What a caller's connection may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The largest head of a request, in bytes.
    pub head_bytes: usize,
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// The longest time in which a body must arrive, in milliseconds.
    pub read_ms: u64,
    /// How long a connection may stay idle, in milliseconds.
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
    /// Grows with each change; zero where there is none yet.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The pools.
    pub pools: Vec<Pool>,
    /// The organisations; where there are none, callers need no key.
    pub organisations: Vec<Organisation>,
    /// The limits of callers' connections.
    pub limits: Limits,
}

/// A catalogue with its indexes.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    definition: Arc<Definition>,
    hosts: IndexMap<SmolStr, IndexMap<SmolStr, usize>>,
    keys: IndexMap<SmolStr, usize>,
    pools: IndexMap<SmolStr, usize>,
}

impl Catalog {
    /// Builds the indexes of a definition.
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

    /// Returns the definition.
    pub fn definition(&self) -> &Arc<Definition> {
        &self.definition
    }

    /// Returns the version; zero where there is no catalogue yet.
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

    /// Returns the route with the longest prefix of the path, among those of the host.
    ///
    /// Prefixes end with a slash, so one look-up for each slash of the path finds it, longest first.
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

    /// Returns the organisation that holds a key.
    pub fn organisation_by_key(&self, key: &str) -> Option<&Organisation> {
        self.definition.organisations.get(*self.keys.get(key)?)
    }

    /// Returns a pool.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.definition.pools.get(*self.pools.get(name)?)
    }
}

/// Returns the pool of a route that a number falls to, in proportion to the weights.
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
