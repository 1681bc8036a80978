//! HTTP/1.1 connections to targets and other servers, and the pool of idle connections to targets.
//!
//! A connection carries one request at a time. After anything unexpected it is closed at once and not reused, which
//! also makes the target cancel its work.

mod head_limit;

use std::hash::Hash;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::client::conn::TrySendError;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use sardinemux_core::target::Key;
use snafu::ResultExt;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::{self, Instant};

pub use self::head_limit::HEAD_MAX_BYTES;
use self::head_limit::{Allowance, LimitedStream};
use crate::errors::{ConnectSnafu, ExchangeSnafu, TimeoutSnafu};
use crate::prelude::*;
use crate::whole::Whole;

/// The time limit of a connection attempt. Availability zones are about a millisecond apart, so after this time another
/// target is faster.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The time that sent bytes may remain unacknowledged before the connection is considered dead (`TCP_USER_TIMEOUT`). It
/// is longer than one retransmission after a lost packet, and shorter than callers wait.
pub const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The idle time before the first TCP keep-alive probe, and between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The number of unanswered keep-alive probes after which a connection is considered dead.
const KEEPALIVE_PROBES_MAX: u32 = 2;

/// How long an idle connection is kept if the target states no timeout. Targets keep it open for at least this long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// How much earlier an idle connection is given up than the target has stated, so that no request is sent on a
/// connection that the target is closing.
const IDLE_MARGIN: Duration = Duration::from_millis(1_500);

/// The largest read buffer of a connection, in bytes: also the largest head of an answer, and the largest part of its body
/// that is read at once.
const READ_BUFFER_MAX_BYTES: usize = 32 << 10;

/// The largest number of idle connections that are kept to one target.
pub const IDLE_CONNECTIONS_MAX: usize = 8;

/// Returns the number of idle connections that each of `gateways` gateways keeps to a target that accepts
/// `connections_max` connections from all of them: an equal share of half of these.
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
    (connections_max as usize / 2 / gateways.max(1)).clamp(1, IDLE_CONNECTIONS_MAX)
}

/// Sets the socket options that detect a dead peer, and disables the delay of small packets.
///
/// # Errors
///
/// If the operating system refuses one of the options.
pub fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES_MAX);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}

/// Aborts the task that drives a connection when dropped, which closes the connection.
#[derive(Debug)]
struct Driver(AbortHandle);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An open connection. Dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Whole>,
    allowance: Allowance,
    driver: Driver,
}

impl Connection {
    /// Closes the connection.
    pub fn close(&self) {
        self.driver.0.abort();
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// The library's error, which holds the request if nothing of it was sent. More than [`HEAD_MAX_BYTES`] before the
    /// end of the head break the connection off.
    pub async fn send(
        &mut self,
        request: Request<Whole>,
    ) -> std::result::Result<Response<Incoming>, TrySendError<Request<Whole>>> {
        self.allowance.await_head();
        let response = self.sender.try_send_request(request).await?;
        self.allowance.note_head();
        Ok(response)
    }

    fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// Connects to a server, from the address `source` if one is given.
///
/// # Errors
///
/// If no connection can be made, or `source` is no address of this machine.
pub async fn connect(address: SocketAddr, source: Option<IpAddr>) -> std::io::Result<TcpStream> {
    let Some(source) = source else {
        return TcpStream::connect(address).await;
    };
    let socket = match source {
        IpAddr::V4(_) => TcpSocket::new_v4()?,
        IpAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(address).await
}

/// Opens a connection, from the address `source` if one is given.
///
/// # Errors
///
/// `Error::Connect`, `Error::Timeout` or `Error::Exchange`; nothing was sent in any of them.
pub async fn open(address: SocketAddr, source: Option<IpAddr>) -> Result<Connection> {
    let limit_ms = CONNECT_TIMEOUT.as_millis() as u64;
    let connecting = time::timeout(CONNECT_TIMEOUT, connect(address, source));
    let connected = connecting.await.ok();
    let connected = snafu::OptionExt::context(connected, TimeoutSnafu { address, limit_ms })?;
    let stream = connected.context(ConnectSnafu { address })?;
    set_options(&stream).context(ConnectSnafu { address })?;
    let allowance = Allowance::default();
    let stream = LimitedStream::new(stream, allowance.clone());
    let handshake = http1::Builder::new()
        .max_buf_size(READ_BUFFER_MAX_BYTES)
        .handshake(TokioIo::new(stream))
        .await;
    let (sender, connection) = handshake.context(ExchangeSnafu { address })?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(address:% = address, error:% = error; "connection to a server ended with an error");
        }
    });
    Ok(Connection {
        sender,
        allowance,
        driver: Driver(task.abort_handle()),
    })
}

/// Returns an idle connection once it is ready for the next request, or `None` if it has been closed.
pub async fn reuse(idle: Option<Connection>) -> Option<Connection> {
    let mut connection = idle?;
    connection.sender.ready().await.ok()?;
    Some(connection)
}

/// An idle connection and the time until which it may be reused.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    expires_at: Instant,
}

/// Idle connections by target, or by whatever else they lead to.
#[derive(Debug)]
pub struct IdlePool<K = Key> {
    idle: IndexMap<K, Vec<Idle>>,
}

impl<K> Default for IdlePool<K> {
    fn default() -> Self {
        Self {
            idle: IndexMap::new(),
        }
    }
}

impl<K: Copy + Eq + Hash> IdlePool<K> {
    /// Removes and returns an idle connection that the target still keeps open, and that can take a request at once. A target
    /// that answers early may still be reading the request before.
    pub fn take(&mut self, key: K) -> Option<Connection> {
        let now = Instant::now();
        let connections = self.idle.get_mut(&key)?;
        connections.retain(|idle| idle.expires_at > now && !idle.connection.is_closed());
        let is_ready = |idle: &Idle| idle.connection.sender.is_ready();
        let index = connections.iter().rposition(is_ready)?;
        Some(connections.remove(index).connection)
    }

    /// Adds a connection whose last answer was complete, unless the target already has `idle_max` idle connections.
    /// `stated` is the idle timeout that the target stated, if it did.
    pub fn put(
        &mut self,
        key: K,
        connection: Connection,
        stated: Option<Duration>,
        idle_max: usize,
    ) {
        let timeout = stated.map_or(IDLE_TIMEOUT, |stated| stated.saturating_sub(IDLE_MARGIN));
        let connections = self.idle.entry(key).or_default();
        if timeout.is_zero() || connections.len() >= idle_max || connection.is_closed() {
            return;
        }
        let expires_at = Instant::now() + timeout;
        connections.push(Idle {
            connection,
            expires_at,
        });
    }

    /// Closes the connections to one target.
    pub fn remove(&mut self, key: K) {
        self.idle.swap_remove(&key);
    }

    /// Closes all connections.
    pub fn clear(&mut self) {
        self.idle.clear();
    }

    /// Closes the connections that have expired, and those to targets that `is_known` does not confirm.
    pub fn prune(&mut self, is_known: impl Fn(K) -> bool) {
        let now = Instant::now();
        self.idle.retain(|key, connections| {
            connections.retain(|idle| idle.expires_at > now && !idle.connection.is_closed());
            is_known(*key) && !connections.is_empty()
        });
    }
}
