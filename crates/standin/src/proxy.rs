//! A TCP proxy that injects faults into the connections between two processes.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use rocket::data::ToByteUnit;
use rocket::http::{ContentType, Status};
use rocket::{get, post, routes, Data, State};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::time;

use crate::errors::{ListenSnafu, Result};
use crate::serve;

/// The fault that a port of the proxy injects into its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// All data is forwarded.
    #[default]
    None,
    /// Each chunk of data is forwarded after a delay.
    Delay {
        /// The delay, in milliseconds.
        ms: u64,
    },
    /// Open connections are closed; new ones are accepted and closed at once.
    Cut,
    /// Data of connections that are open now is discarded until they close; new connections work.
    SilenceOpen,
    /// New connections are accepted, but never forwarded; open ones work.
    SilenceNew,
    /// Requests are forwarded, but a connection is closed when the next bytes of an answer arrive, without forwarding
    /// them.
    LoseAnswer,
    /// Connections are closed after a number of bytes of answers, counted since each was opened.
    Truncate {
        /// The number of bytes that are forwarded.
        bytes: u64,
    },
    /// Data of answers on two connections is exchanged.
    Cross,
}

/// How the connections from one address are cut, at all ports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Isolation {
    /// They are not.
    #[default]
    None,
    /// Nothing is forwarded any more, and new connections are accepted.
    Silent,
    /// Open connections are reset, and so are new ones.
    Reset,
    /// Open connections work, and new ones are reset.
    New,
}

/// The isolation of each address, which its connections follow.
type Clients = Mutex<IndexMap<IpAddr, watch::Sender<Isolation>>>;

/// A listening address and the address that its connections are forwarded to.
#[derive(Clone, Copy, Debug)]
pub struct Pair {
    /// The address that the proxy listens on.
    pub listen: SocketAddr,
    /// The address that the proxy connects to.
    pub upstream: SocketAddr,
}

/// The settings of a proxy.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The address of the HTTP server by which faults are set and byte counts are read.
    pub control: SocketAddr,
    /// The forwarded ports.
    pub pairs: Vec<Pair>,
    /// Whether connections that a fault ends are reset rather than closed, so that an answer which the end of its
    /// connection marks as complete does not seem to be complete.
    pub resets: bool,
}

/// The traffic of one port.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bytes {
    /// The bytes forwarded from callers.
    pub up: u64,
    /// The bytes forwarded to callers.
    pub down: u64,
    /// The connections that were accepted.
    pub connections: u64,
}

/// The data of a connection that waits for an exchange, and where to send what it gets in return.
type Exchange = (Vec<u8>, oneshot::Sender<Vec<u8>>);

/// One forwarded port, its fault and its traffic.
struct Port {
    pair: Pair,
    resets: bool,
    fault: watch::Sender<Fault>,
    clients: Arc<Clients>,
    up: AtomicU64,
    down: AtomicU64,
    connections: AtomicU64,
    pending_exchange: Mutex<Option<Exchange>>,
}

/// The forwarded ports by their numbers.
struct Proxy {
    ports: IndexMap<u16, Arc<Port>>,
    clients: Arc<Clients>,
}

/// The time for which data of an answer waits for an exchange with another connection.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// The greatest size of a chunk, in bytes.
const READ_BYTES: usize = 16 * 1024;

async fn accept_connections(port: Arc<Port>) -> Result<()> {
    let address = port.pair.listen;
    let listener = TcpListener::bind(address).await.context(ListenSnafu {
        address: address.to_string(),
    })?;
    loop {
        let Ok((client, address)) = listener.accept().await else {
            continue;
        };
        port.connections.fetch_add(1, Ordering::Relaxed);
        let port = port.clone();
        let isolation = subscribe(&port.clients, address.ip());
        tokio::spawn(async move { handle_connection(port, client, isolation).await });
    }
}

/// How long a connection on which nothing is forwarded stays open, so that its other end runs into a timeout first.
const SILENCE: Duration = Duration::from_secs(600);

fn subscribe(clients: &Clients, address: IpAddr) -> watch::Receiver<Isolation> {
    let mut clients = clients.lock();
    let isolation = clients.entry(address).or_default();
    isolation.subscribe()
}

async fn handle_connection(
    port: Arc<Port>,
    mut client: TcpStream,
    mut isolation: watch::Receiver<Isolation>,
) {
    let fault = *port.fault.borrow();
    let isolated = *isolation.borrow_and_update();
    if fault == Fault::SilenceNew || isolated == Isolation::Silent {
        time::sleep(SILENCE).await;
        return;
    }
    if isolated != Isolation::None {
        // If this fails, the connection has already ended.
        let _ = client.set_zero_linger();
        return;
    }
    if fault == Fault::Cut {
        return;
    }
    let Ok(mut server) = TcpStream::connect(port.pair.upstream).await else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let faults = port.fault.subscribe();
    let end = {
        let (client_read, client_write) = client.split();
        let (server_read, server_write) = server.split();
        tokio::select! {
            end = forward_up(&port, client_read, server_write) => end,
            end = forward_down(&port, server_read, client_write) => end,
            () = wait_for_cut(faults) => End::Harmed,
            end = wait_for_isolation(isolation) => end,
        }
    };
    if end == End::Silent {
        time::sleep(SILENCE).await;
    }
    if end == End::Reset || end == End::Harmed && port.resets {
        // If this fails, the connection has already ended.
        let _ = client.set_zero_linger();
    }
}

/// How one direction of a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// By itself, with all of its data forwarded.
    Unharmed,
    /// By a fault, or after one had discarded data.
    Harmed,
    /// By a fault that resets connections.
    Reset,
    /// Not at all, but nothing is forwarded any more.
    Silent,
}

/// Waits until open connections from an address are cut, and returns how.
async fn wait_for_isolation(mut isolation: watch::Receiver<Isolation>) -> End {
    loop {
        if isolation.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
        match *isolation.borrow() {
            Isolation::Silent => return End::Silent,
            Isolation::Reset => return End::Reset,
            Isolation::None | Isolation::New => {}
        }
    }
}

/// Waits until the fault is set to `Fault::Cut`.
async fn wait_for_cut(mut faults: watch::Receiver<Fault>) {
    loop {
        if faults.changed().await.is_err() {
            return;
        }
        if *faults.borrow() == Fault::Cut {
            return;
        }
    }
}

/// Reads one direction of a connection. Once `Fault::SilenceOpen` is set, it discards all further data.
struct Reader<'a> {
    from: ReadHalf<'a>,
    faults: watch::Receiver<Fault>,
    is_silent: bool,
    buffer: Vec<u8>,
}

impl<'a> Reader<'a> {
    fn new(port: &Port, from: ReadHalf<'a>) -> Self {
        Self {
            from,
            faults: port.fault.subscribe(),
            is_silent: false,
            buffer: vec![0; READ_BYTES],
        }
    }

    /// Returns how the connection ended, if it ends now without a further fault.
    fn end(&self) -> End {
        match self.is_silent {
            true => End::Harmed,
            false => End::Unharmed,
        }
    }

    /// Reads a chunk into the buffer and returns its length in bytes, or `None` at the end of the connection.
    async fn read_chunk(&mut self, port: &Port) -> Option<usize> {
        loop {
            let count = tokio::select! {
                count = self.from.read(&mut self.buffer) => count.unwrap_or(0),
                _ = self.faults.changed() => {
                    self.is_silent |= *self.faults.borrow() == Fault::SilenceOpen;
                    continue;
                }
            };
            if count == 0 {
                return None;
            }
            if !self.is_silent {
                apply_delay(port).await;
                return Some(count);
            }
        }
    }
}

async fn forward_up(port: &Port, from: ReadHalf<'_>, mut to: WriteHalf<'_>) -> End {
    let mut reader = Reader::new(port, from);
    loop {
        let Some(count) = reader.read_chunk(port).await else {
            return reader.end();
        };
        port.up.fetch_add(count as u64, Ordering::Relaxed);
        if to.write_all(&reader.buffer[..count]).await.is_err() {
            return reader.end();
        }
    }
}

async fn forward_down(port: &Port, from: ReadHalf<'_>, mut to: WriteHalf<'_>) -> End {
    let mut reader = Reader::new(port, from);
    let mut forwarded = 0;
    loop {
        let Some(count) = reader.read_chunk(port).await else {
            return reader.end();
        };
        let mut data = reader.buffer[..count].to_vec();
        let fault = *port.fault.borrow();
        match fault {
            Fault::LoseAnswer => return End::Harmed,
            Fault::Cross => data = exchange_data(port, data).await,
            Fault::Truncate { bytes } => {
                let left = bytes.saturating_sub(forwarded) as usize;
                data.truncate(left);
            }
            _ => {}
        }
        forwarded += data.len() as u64;
        port.down.fetch_add(data.len() as u64, Ordering::Relaxed);
        let is_cut = matches!(fault, Fault::Truncate { bytes } if forwarded >= bytes);
        if to.write_all(&data).await.is_err() || is_cut {
            return End::Harmed;
        }
    }
}

async fn apply_delay(port: &Port) {
    let fault = *port.fault.borrow();
    if let Fault::Delay { ms } = fault {
        time::sleep(Duration::from_millis(ms)).await;
    }
}

/// Exchanges a chunk with the next other connection that has one; returns the own chunk if none has in time.
async fn exchange_data(port: &Port, data: Vec<u8>) -> Vec<u8> {
    let waiting = port.pending_exchange.lock().take();
    if let Some((theirs, sender)) = waiting {
        return match sender.send(data) {
            Ok(()) => theirs,
            Err(data) => data,
        };
    }
    let (sender, receiver) = oneshot::channel();
    let own = data.clone();
    *port.pending_exchange.lock() = Some((data, sender));
    match time::timeout(EXCHANGE_TIMEOUT, receiver).await {
        Ok(Ok(theirs)) => theirs,
        _ => {
            port.pending_exchange.lock().take();
            own
        }
    }
}

#[post("/standin/faults?<port>", data = "<data>")]
async fn set_fault(proxy: &State<Arc<Proxy>>, port: u16, data: Data<'_>) -> Status {
    let Ok(body) = data.open(4.kibibytes()).into_bytes().await else {
        return Status::BadRequest;
    };
    let (Some(port), Ok(fault)) = (proxy.ports.get(&port), serde_json::from_slice(&body)) else {
        return Status::BadRequest;
    };
    port.fault.send_replace(fault);
    Status::Ok
}

#[post("/standin/isolation?<client>", data = "<data>")]
async fn set_isolation(proxy: &State<Arc<Proxy>>, client: &str, data: Data<'_>) -> Status {
    let Ok(body) = data.open(4.kibibytes()).into_bytes().await else {
        return Status::BadRequest;
    };
    let (Ok(client), Ok(isolation)) = (client.parse(), serde_json::from_slice(&body)) else {
        return Status::BadRequest;
    };
    let mut clients = proxy.clients.lock();
    clients.entry(client).or_default().send_replace(isolation);
    Status::Ok
}

#[get("/standin/bytes?<port>")]
fn get_bytes(proxy: &State<Arc<Proxy>>, port: u16) -> Option<(ContentType, String)> {
    let port = proxy.ports.get(&port)?;
    let bytes = Bytes {
        up: port.up.load(Ordering::Relaxed),
        down: port.down.load(Ordering::Relaxed),
        connections: port.connections.load(Ordering::Relaxed),
    };
    let text = serde_json::to_string(&bytes).ok()?;
    Some((ContentType::JSON, text))
}

/// Forwards the ports and serves the control address until the process ends.
///
/// # Errors
///
/// `Error::Listen` or `Error::Host` if a port cannot be listened on.
pub async fn run(settings: Settings) -> Result<()> {
    let clients = Arc::new(Clients::default());
    let ports: IndexMap<u16, Arc<Port>> = settings
        .pairs
        .iter()
        .map(|pair| {
            let port = Port {
                pair: *pair,
                resets: settings.resets,
                fault: watch::Sender::new(Fault::None),
                clients: clients.clone(),
                up: AtomicU64::new(0),
                down: AtomicU64::new(0),
                connections: AtomicU64::new(0),
                pending_exchange: Mutex::new(None),
            };
            (pair.listen.port(), Arc::new(port))
        })
        .collect();
    for port in ports.values() {
        let port = port.clone();
        tokio::spawn(async move {
            if let Err(error) = accept_connections(port).await {
                log::error!("{error}");
                std::process::exit(1);
            }
        });
    }
    let proxy = Arc::new(Proxy { ports, clients });
    let server = serve::build(
        settings.control,
        routes![set_fault, set_isolation, get_bytes],
    )
    .manage(proxy);
    serve::launch(server).await
}
