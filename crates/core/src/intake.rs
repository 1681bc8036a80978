//! Which client gives way when a process has no connection or no memory left for another one.
//!
//! Who holds most for the least progress gives way first. A request that is being served never does.

/// The descriptors that stay free of clients, as fractions of all: requests in flight take one more each for their target, and the store,
/// idle connections to targets and files take some.
const CALLER_SHARE: (usize, usize) = (2, 5);

/// The share of the connections of other gateways: each of up to 390 keeps one or two.
const PEER_SHARE: (usize, usize) = (1, 8);

/// The shares of the readiness checks and of the metrics, which one or two clients ask for.
const CHECK_SHARE: (usize, usize) = (1, 32);

/// The least number of connections at any port.
const CONNECTIONS_MIN: usize = 16;

/// The bytes of a body that count as progress. Single bytes do not, so that a trickle cannot hold its room.
pub const PROGRESS_BYTES: usize = 1 << 10;

/// A port at which clients connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Port {
    /// Of callers.
    Callers,
    /// Of other gateways.
    Peers,
    /// Of readiness checks.
    Ready,
    /// Of metrics.
    Metrics,
}

impl Port {
    /// Returns the number of connections that the port may have if the process may have this many descriptors open.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::intake::Port;
    ///
    /// assert_eq!(Port::Callers.connections_max(4_100), 1_640);
    /// assert_eq!(Port::Ready.connections_max(100), 16);
    /// ```
    pub fn connections_max(self, descriptors: usize) -> usize {
        let (part, whole) = match self {
            Self::Callers => CALLER_SHARE,
            Self::Peers => PEER_SHARE,
            Self::Ready | Self::Metrics => CHECK_SHARE,
        };
        (descriptors.saturating_mul(part) / whole).max(CONNECTIONS_MIN)
    }
}

/// What a connection is occupied with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Nothing has arrived on it yet.
    Silent,
    /// It is between two requests.
    Idle,
    /// A head arrives.
    Head,
    /// A body arrives.
    Body,
    /// A request is served.
    Serving,
}

/// What a connection holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holding {
    /// What it is occupied with.
    pub phase: Phase,
    /// Since when, or for a body, since when it has made no progress, in milliseconds.
    pub since_ms: u64,
    /// The bytes of its body so far.
    pub bytes: usize,
}

impl Holding {
    /// Returns how much is held for how long, and nothing if the time is below `stall_ms`.
    fn burden(&self, now_ms: u64, stall_ms: u64) -> Option<u128> {
        let stalled_ms = now_ms.saturating_sub(self.since_ms);
        let burden = (self.bytes as u128 + 1) * u128::from(stalled_ms);
        (stalled_ms >= stall_ms).then_some(burden)
    }

    /// Returns the rank in which a connection gives way to another one, the first highest; `None` if it does not.
    fn connection_rank(&self, now_ms: u64, stall_ms: u64) -> Option<(u8, u128)> {
        match self.phase {
            Phase::Silent => Some((2, self.burden(now_ms, 0)?)),
            Phase::Head | Phase::Body => Some((1, self.burden(now_ms, stall_ms)?)),
            Phase::Idle => Some((0, self.burden(now_ms, 0)?)),
            Phase::Serving => None,
        }
    }
}

/// Returns the key of the connection that gives way to another one: one that has sent nothing, then a head or a body without progress
/// for `stall_ms`, then an idle one.
///
/// # Examples
///
/// ```
/// use sardinemux_core::intake::{choose_connection, Holding, Phase};
///
/// let holding = |phase, since_ms| Holding { phase, since_ms, bytes: 0 };
/// let all = [(1, holding(Phase::Idle, 0)), (2, holding(Phase::Silent, 9)), (3, holding(Phase::Serving, 0))];
/// assert_eq!(choose_connection(all, 10, 1_000), Some(2));
/// assert_eq!(choose_connection([all[2]], 10, 1_000), None);
/// ```
pub fn choose_connection<K>(
    holdings: impl IntoIterator<Item = (K, Holding)>,
    now_ms: u64,
    stall_ms: u64,
) -> Option<K> {
    let ranked = holdings.into_iter().filter_map(|(key, holding)| {
        let rank = holding.connection_rank(now_ms, stall_ms)?;
        Some((rank, key))
    });
    ranked.max_by_key(|(rank, _)| *rank).map(|(_, key)| key)
}

/// Returns the keys of the bodies that give their room back so that `bytes` are free: those with the largest product of size and time
/// without progress. None of them has made progress for `stall_ms`.
///
/// # Examples
///
/// ```
/// use sardinemux_core::intake::{choose_bodies, Holding, Phase};
///
/// let body = |since_ms, bytes| Holding { phase: Phase::Body, since_ms, bytes };
/// let all = [(1, body(0, 500)), (2, body(0, 900)), (3, body(1_900, 9_000))];
/// assert_eq!(choose_bodies(all, 600, 2_000, 1_000), [2]);
/// assert_eq!(choose_bodies(all, 5_000, 2_000, 1_000), [2, 1]);
/// ```
pub fn choose_bodies<K>(
    holdings: impl IntoIterator<Item = (K, Holding)>,
    bytes: usize,
    now_ms: u64,
    stall_ms: u64,
) -> Vec<K> {
    let bodies = holdings.into_iter().filter_map(|(key, holding)| {
        let is_body = holding.phase == Phase::Body && holding.bytes > 0;
        let burden = holding.burden(now_ms, stall_ms).filter(|_| is_body)?;
        Some((burden, holding.bytes, key))
    });
    let mut bodies: Vec<_> = bodies.collect();
    bodies.sort_by_key(|(burden, _, _)| std::cmp::Reverse(*burden));
    let mut freed = 0;
    let chosen = bodies.into_iter().take_while(|(_, size, _)| {
        let is_needed = freed < bytes;
        freed += size;
        is_needed
    });
    chosen.map(|(_, _, key)| key).collect()
}
