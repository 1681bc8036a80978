//! Connections to targets: how they are made, kept and closed.
//!
//! A connection carries one request at a time. One on which anything unexpected happened is closed at once; that
//! also cancels the target's work.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use sardinemux_core::target::Key;
use snafu::ResultExt;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{self, Instant};

use crate::errors::{ConnectSnafu, ExchangeSnafu, TimeoutSnafu};
use crate::prelude::*;

/// How long a connection may take to be made. Zones are about a millisecond apart; beyond this, another target
/// is sooner.
pub const CONNECT: Duration = Duration::from_millis(400);

/// How long sent bytes may stay without an acknowledgement before the connection counts as dead: longer than one
/// retransmission after a lost packet, shorter than callers wait.
pub const UNACKNOWLEDGED: Duration = Duration::from_millis(2_500);

/// The idle time before, and between, keep-alive probes.
const PROBE: Duration = Duration::from_secs(1);

/// Probes without an answer that make a connection count as dead.
const PROBES: u32 = 2;

/// How long a target keeps an idle connection at least, where it does not say.
const IDLE: Duration = Duration::from_secs(2);

/// Connections are given up this much sooner than targets say they close them.
const IDLE_MARGIN: Duration = Duration::from_millis(1_500);

/// The most idle connections that are kept for one target.
const IDLE_MAX: usize = 8;

/// Returns how many idle connections one of some gateways keeps for a target that accepts `connections_max` from all
/// of them: its part of a half.
///
/// # Examples
///
/// ```
/// use sardinemux_gateway::connections;
///
/// assert_eq!(connections::idle_max(680, 87), 3);
/// assert_eq!(connections::idle_max(370, 9), 8);
/// assert_eq!(connections::idle_max(10, 87), 1);
/// ```
pub fn idle_max(connections_max: u32, gateways: usize) -> usize {
    (connections_max as usize / 2 / gateways.max(1)).clamp(1, IDLE_MAX)
}

/// Sets the options that reveal a connection which has gone silent.
pub fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE)
        .with_interval(PROBE)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}

/// Ends the task that drives a connection, and with it the connection, when dropped.
#[derive(Debug)]
struct Driver(AbortHandle);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An open connection; dropping it closes it.
#[derive(Debug)]
pub struct Link {
    /// Sends requests.
    pub sender: SendRequest<Full<Bytes>>,
    _driver: Driver,
}

/// Opens a connection.
///
/// # Errors
///
/// `Error::Connect`, `Error::Timeout` or `Error::Exchange`; nothing was sent in any of them.
pub async fn open(address: SocketAddr) -> Result<Link> {
    let limit_ms = CONNECT.as_millis() as u64;
    let connecting = time::timeout(CONNECT, TcpStream::connect(address));
    let connected = connecting.await.ok();
    let connected = snafu::OptionExt::context(connected, TimeoutSnafu { address, limit_ms })?;
    let stream = connected.context(ConnectSnafu { address })?;
    set_options(&stream).context(ConnectSnafu { address })?;
    let shaken = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = shaken.context(ExchangeSnafu { address })?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(address:% = address, error:% = error; "connection ended");
        }
    });
    Ok(Link {
        sender,
        _driver: Driver(task.abort_handle()),
    })
}

/// Returns a kept connection once it takes the next request; nothing if it has been closed.
pub async fn reuse(kept: Option<Link>) -> Option<Link> {
    let mut link = kept?;
    link.sender.ready().await.ok()?;
    Some(link)
}

#[derive(Debug)]
struct Idle {
    link: Link,
    until: Instant,
}

/// Idle connections by target.
#[derive(Debug, Default)]
pub struct Shelf {
    idle: IndexMap<Key, Vec<Idle>>,
}

impl Shelf {
    /// Takes out an idle connection that its target surely still holds open.
    pub fn take(&mut self, key: Key) -> Option<Link> {
        let now = Instant::now();
        let links = self.idle.get_mut(&key)?;
        links.retain(|idle| idle.until > now && !idle.link.sender.is_closed());
        links.pop().map(|idle| idle.link)
    }

    /// Keeps a connection whose last answer came whole, up to `most`. `keep` is the time that the target stated.
    pub fn put(&mut self, key: Key, link: Link, keep: Option<Duration>, most: usize) {
        let keep = keep.map_or(IDLE, |keep| keep.saturating_sub(IDLE_MARGIN));
        let links = self.idle.entry(key).or_default();
        if keep.is_zero() || links.len() >= most || link.sender.is_closed() {
            return;
        }
        let until = Instant::now() + keep;
        links.push(Idle { link, until });
    }

    /// Closes all connections.
    pub fn clear(&mut self) {
        self.idle.clear();
    }

    /// Closes the connections that are kept no longer, and those of targets that are gone.
    pub fn tidy(&mut self, is_known: impl Fn(Key) -> bool) {
        let now = Instant::now();
        self.idle.retain(|key, links| {
            links.retain(|idle| idle.until > now && !idle.link.sender.is_closed());
            is_known(*key) && !links.is_empty()
        });
    }
}
