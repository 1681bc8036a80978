//! Clients that respect no limits, and what they do to the processes that serve them.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time;

use crate::process;

/// Stands for the id of the request in the opening of a client.
pub const ID: &str = "{id}";

/// The pause of a client whose connection has ended, before it opens another one.
const PAUSE: Duration = Duration::from_millis(100);

/// The interval at which the memory and the descriptors of processes are read.
const READ_INTERVAL: Duration = Duration::from_millis(20);

/// The bytes of a status line up to the status.
const STATUS_LINE_BYTES: usize = 12;

/// The statuses with which a server says that a request has not run.
const NOT_RUN: [u16; 6] = [408, 413, 421, 429, 431, 503];

/// Numbers the connections of one process.
static NEXT: AtomicU64 = AtomicU64::new(0);

/// What a client sends on each of its connections. Having sent it, it leaves the connection open and sends nothing more.
#[derive(Clone, Debug)]
pub struct Script {
    /// The server's address.
    pub address: SocketAddr,
    /// What is sent first; [`ID`] stands for the id of the request.
    pub opening: String,
    /// What is sent after that, again and again.
    pub piece: Vec<u8>,
    /// How often it is sent.
    pub pieces: usize,
    /// The pause after each piece.
    pub pause: Duration,
}

impl Script {
    /// Returns what a client sends that sends nothing but its opening.
    pub fn new(address: SocketAddr, opening: impl Into<String>) -> Self {
        Self {
            address,
            opening: opening.into(),
            piece: Vec::new(),
            pieces: 0,
            pause: Duration::ZERO,
        }
    }

    /// Returns the script with pieces that follow the opening.
    pub fn with_pieces(self, piece: impl Into<Vec<u8>>, pieces: usize) -> Self {
        Self {
            piece: piece.into(),
            pieces,
            ..self
        }
    }

    /// Returns the script with a pause after each piece.
    pub fn with_pause(self, pause: Duration) -> Self {
        Self { pause, ..self }
    }
}

/// Clients that follow their scripts until this is dropped. A client whose connection ends opens another one.
#[derive(Debug)]
pub struct Crowd {
    clients: Vec<AbortHandle>,
    statuses: Arc<Mutex<IndexMap<String, u16>>>,
}

impl Drop for Crowd {
    fn drop(&mut self) {
        for client in &self.clients {
            client.abort();
        }
    }
}

impl Crowd {
    /// Starts a client for each script.
    pub fn start(scripts: impl IntoIterator<Item = Script>) -> Self {
        let statuses: Arc<Mutex<IndexMap<String, u16>>> = Arc::default();
        let clients = scripts.into_iter().map(|script| {
            let statuses = statuses.clone();
            let client = tokio::spawn(async move {
                loop {
                    let number = NEXT.fetch_add(1, Ordering::Relaxed);
                    let id = format!("crowd{:08x}{number:08x}", std::process::id());
                    if let Some(status) = play(&script, &id).await {
                        statuses.lock().insert(id, status);
                    }
                    time::sleep(PAUSE).await;
                }
            });
            client.abort_handle()
        });
        Self {
            clients: clients.collect(),
            statuses,
        }
    }

    /// Returns the ids of the requests of which a server said that they had not run.
    pub fn not_run(&self) -> Vec<String> {
        let statuses = self.statuses.lock();
        let refused = statuses
            .iter()
            .filter(|(_, status)| NOT_RUN.contains(status));
        refused.map(|(id, _)| id.clone()).collect()
    }
}

/// Follows a script on one connection until the server closes it. Returns the status of the first answer, if there was one.
async fn play(script: &Script, id: &str) -> Option<u16> {
    let stream = TcpStream::connect(script.address).await.ok()?;
    let (reader, writer) = stream.into_split();
    let sending = async {
        // The server may close the connection at any time.
        let _ = send(script, id, writer).await;
        std::future::pending::<()>().await;
    };
    tokio::select! {
        status = receive(reader) => status,
        () = sending => None,
    }
}

async fn send(script: &Script, id: &str, mut writer: OwnedWriteHalf) -> std::io::Result<()> {
    let opening = script.opening.replace(ID, id);
    writer.write_all(opening.as_bytes()).await?;
    for _ in 0..script.pieces {
        writer.write_all(&script.piece).await?;
        if !script.pause.is_zero() {
            time::sleep(script.pause).await;
        }
    }
    // Dropping this half would end the connection.
    std::future::pending().await
}

/// Reads and discards all answers on a connection. Returns the status of the first.
async fn receive(mut reader: OwnedReadHalf) -> Option<u16> {
    let mut line = Vec::new();
    let mut buffer = vec![0; 4 << 10];
    while let Ok(count @ 1..) = reader.read(&mut buffer).await {
        let missing = STATUS_LINE_BYTES - line.len();
        line.extend_from_slice(&buffer[..count.min(missing)]);
    }
    let line = String::from_utf8(line).ok()?;
    line.split(' ').nth(1)?.parse().ok()
}

/// The most that was read of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Peak {
    /// The resident memory, in bytes.
    pub memory_bytes: u64,
    /// The open descriptors.
    pub descriptors: usize,
}

/// Reads the memory and the descriptors of a process until it is dropped.
#[derive(Debug)]
pub struct Watch {
    peak: Arc<Mutex<Peak>>,
    task: AbortHandle,
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Watch {
    /// Begins to read.
    pub fn start(pid: u32) -> Self {
        let peak: Arc<Mutex<Peak>> = Arc::default();
        let read = peak.clone();
        let task = tokio::spawn(async move {
            loop {
                let memory = process::usage_of(pid).map_or(0, |usage| usage.rss_bytes as u64);
                let descriptors = process::open_descriptors(pid).unwrap_or(0);
                {
                    let mut peak = read.lock();
                    peak.memory_bytes = peak.memory_bytes.max(memory);
                    peak.descriptors = peak.descriptors.max(descriptors);
                }
                time::sleep(READ_INTERVAL).await;
            }
        });
        Self {
            peak,
            task: task.abort_handle(),
        }
    }

    /// Returns the most that was read so far.
    pub fn peak(&self) -> Peak {
        *self.peak.lock()
    }
}
