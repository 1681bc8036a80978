//! The connections of clients at all ports, and how one gives way when there is no connection or no memory left for another.

use std::net::IpAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, AtomicU8, AtomicUsize, Ordering};
use std::sync::Weak;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use indexmap::IndexMap;
use nix::sys::resource::{getrlimit, Resource};
use parking_lot::Mutex;
use sardinemux_core::intake::{self, Holding, Phase, Port, PROGRESS_BYTES};
use sardinemux_core::memory::{Class, Share};
use tokio::sync::Notify;
use tokio::time;

use crate::prelude::*;
use crate::settings::Clients;

/// The ports, in the order of the registers.
const PORTS: [Port; 4] = [Port::Callers, Port::Peers, Port::Ready, Port::Metrics];

/// How often memory is asked for again while bodies give theirs back, and the pause before that.
const ROOM_TRIES: usize = 5;
const ROOM_PAUSE: Duration = Duration::from_millis(2);

/// The descriptors that are assumed if the system does not tell the limit.
const DESCRIPTORS: usize = 1_024;

const PHASES: [Phase; 5] = [
    Phase::Silent,
    Phase::Idle,
    Phase::Head,
    Phase::Body,
    Phase::Serving,
];

/// One connection, as far as others may take its place.
#[derive(Debug)]
pub struct Connection {
    address: IpAddr,
    phase: AtomicU8,
    since_ms: AtomicU64,
    bytes: AtomicUsize,
    /// The bytes of the body at its last progress.
    marked_bytes: AtomicUsize,
    closing: Notify,
    giving_room: Notify,
}

impl Connection {
    fn set(&self, phase: Phase, bytes: usize, now_ms: u64) {
        self.bytes.store(bytes, Ordering::Relaxed);
        self.marked_bytes.store(bytes, Ordering::Relaxed);
        self.since_ms.store(now_ms, Ordering::Relaxed);
        self.phase.store(phase as u8, Ordering::Relaxed);
    }

    fn phase(&self) -> Phase {
        PHASES[usize::from(self.phase.load(Ordering::Relaxed)) % PHASES.len()]
    }

    fn holding(&self) -> Holding {
        Holding {
            phase: self.phase(),
            since_ms: self.since_ms.load(Ordering::Relaxed),
            bytes: self.bytes.load(Ordering::Relaxed),
        }
    }

    /// Notes that bytes arrived: the first of a head, unless a request is served.
    pub fn note_read(&self, now_ms: u64) {
        if matches!(self.phase(), Phase::Silent | Phase::Idle) {
            self.set(Phase::Head, 0, now_ms);
        }
    }

    /// Notes that a request is served.
    pub fn note_serving(&self, now_ms: u64) {
        self.set(Phase::Serving, 0, now_ms);
    }

    /// Notes that all requests have been answered.
    pub fn note_idle(&self, now_ms: u64) {
        self.set(Phase::Idle, 0, now_ms);
    }

    /// Notes that a body begins to arrive.
    pub fn note_body(&self, now_ms: u64) {
        self.set(Phase::Body, 0, now_ms);
    }

    /// Notes how much of a body has arrived.
    pub fn note_progress(&self, bytes: usize, now_ms: u64) {
        self.bytes.store(bytes, Ordering::Relaxed);
        let marked = self.marked_bytes.load(Ordering::Relaxed);
        if bytes >= marked.saturating_add(PROGRESS_BYTES) {
            self.marked_bytes.store(bytes, Ordering::Relaxed);
            self.since_ms.store(now_ms, Ordering::Relaxed);
        }
    }

    /// Waits until the connection gives way to another one. Returns whether it may be closed at once: an answer that is being sent is
    /// not cut off.
    pub async fn wait_for_closing(&self) -> bool {
        self.closing.notified().await;
        !matches!(self.phase(), Phase::Serving | Phase::Idle)
    }

    /// Waits until the body that arrives gives its memory back.
    pub async fn wait_for_giving_room(&self) {
        self.giving_room.notified().await;
    }
}

/// Removes a connection from the register when it is dropped.
#[derive(Debug)]
pub struct Entry {
    /// The connection.
    pub connection: Arc<Connection>,
    number: u64,
    register: Weak<Mutex<Register>>,
}

impl Drop for Entry {
    fn drop(&mut self) {
        if let Some(register) = self.register.upgrade() {
            register.lock().connections.swap_remove(&self.number);
        }
    }
}

#[derive(Debug, Default)]
struct Register {
    next: u64,
    connections: IndexMap<u64, Arc<Connection>>,
}

/// Why a connection is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, snafu::Snafu)]
pub enum Refusal {
    /// All are in use, and none gives way.
    #[snafu(display("connections"))]
    Connections,
    /// Its address has as many as it may have.
    #[snafu(display("address"))]
    Address,
}

/// The connections of all clients.
#[derive(Debug)]
pub struct Intake {
    registers: [Arc<Mutex<Register>>; 4],
    limits: [usize; 4],
    settings: Clients,
}

/// Returns the descriptors that the process may have open.
fn descriptors() -> usize {
    let limit = getrlimit(Resource::RLIMIT_NOFILE);
    limit.map_or(DESCRIPTORS, |(soft, _)| {
        usize::try_from(soft).unwrap_or(usize::MAX)
    })
}

impl Intake {
    /// Creates the register of a process with these settings.
    pub fn new(settings: Clients) -> Self {
        let descriptors = descriptors();
        let limits = PORTS.map(|port| match (port, settings.connections) {
            (Port::Callers, set @ 1..) => set.min(descriptors),
            _ => port.connections_max(descriptors),
        });
        Self {
            registers: Default::default(),
            limits,
            settings,
        }
    }

    /// Returns the number of connections at a port.
    pub fn open(&self, port: Port) -> usize {
        self.registers[port as usize].lock().connections.len()
    }

    /// Accepts a connection. If there is no room for it, another one gives way and is closed soon.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if it is to be closed.
    pub fn admit(
        &self,
        port: Port,
        address: IpAddr,
        now_ms: u64,
    ) -> std::result::Result<(Entry, bool), Refusal> {
        let register = &self.registers[port as usize];
        let mut locked = register.lock();
        let address_max = self.settings.connections_per_address;
        if port == Port::Callers && address_max > 0 {
            let connections = locked.connections.values();
            if connections.filter(|it| it.address == address).count() >= address_max {
                return Err(Refusal::Address);
            }
        }
        let is_full = locked.connections.len() >= self.limits[port as usize];
        if is_full {
            let holdings = locked.connections.iter();
            let holdings = holdings.map(|(number, it)| (*number, it.holding()));
            let stall_ms = self.settings.stall_ms;
            let number = intake::choose_connection(holdings, now_ms, stall_ms);
            let closed = number.and_then(|number| locked.connections.swap_remove(&number));
            closed.ok_or(Refusal::Connections)?.closing.notify_one();
        }
        let connection = Arc::new(Connection {
            address,
            phase: AtomicU8::new(Phase::Silent as u8),
            since_ms: AtomicU64::new(now_ms),
            bytes: AtomicUsize::new(0),
            marked_bytes: AtomicUsize::new(0),
            closing: Notify::new(),
            giving_room: Notify::new(),
        });
        let number = locked.next;
        locked.next += 1;
        locked.connections.insert(number, connection.clone());
        let entry = Entry {
            connection,
            number,
            register: Arc::downgrade(register),
        };
        Ok((entry, is_full))
    }

    /// Asks bodies without progress to give back `bytes`. Returns how many do.
    fn ask_for_room(&self, bytes: usize, now_ms: u64) -> usize {
        let mut all: Vec<Arc<Connection>> = Vec::new();
        for register in &self.registers {
            all.extend(register.lock().connections.values().cloned());
        }
        let holdings = all.iter().map(|it| (it.clone(), it.holding()));
        let chosen = intake::choose_bodies(holdings, bytes, now_ms, self.settings.stall_ms);
        for connection in &chosen {
            // It is not asked again.
            connection.set(Phase::Serving, 0, now_ms);
            connection.giving_room.notify_one();
        }
        chosen.len()
    }
}

/// Accepts a connection and counts it. Returns `None` if it is to be closed.
pub async fn admit(gateway: &Gateway, port: Port, address: IpAddr) -> Option<Entry> {
    match gateway.intake.admit(port, address, gateway.now_ms()) {
        Ok((entry, false)) => Some(entry),
        Ok((entry, true)) => {
            gateway.metrics.count_client_closed("gives way");
            log::warn!(port:? = port; "a connection gives way to another one");
            // The other one is closed before the next is accepted.
            tokio::task::yield_now().await;
            Some(entry)
        }
        Err(refusal) => {
            gateway.metrics.count_client_closed("refused");
            log::warn!(port:? = port, client:% = address, limit:% = refusal; "too many connections; closing one that was just accepted");
            None
        }
    }
}

/// Waits until `grow` succeeds, while bodies without progress give their memory back. Returns `false` if there are too few.
pub async fn try_with_room(
    gateway: &Gateway,
    bytes: usize,
    mut grow: impl FnMut() -> bool,
) -> bool {
    for _ in 0..ROOM_TRIES {
        if grow() {
            return true;
        }
        let asked = gateway.intake.ask_for_room(bytes, gateway.now_ms());
        if asked == 0 {
            return false;
        }
        gateway.metrics.count_client_closed("body");
        log::warn!(bodies = asked; "bodies without progress give their memory back");
        time::sleep(ROOM_PAUSE).await;
    }
    grow()
}

/// Takes memory, for which bodies without progress give way.
pub async fn try_take(gateway: &Gateway, class: Class, bytes: usize) -> Option<Share> {
    let mut share = Share::new(gateway.memory.clone(), class);
    let is_held = try_with_room(gateway, bytes, || share.try_resize(bytes)).await;
    is_held.then_some(share)
}

/// Notes that a connection is idle when it is dropped, which is when the answer has been sent.
#[derive(Debug)]
pub struct Idle {
    gateway: Arc<Gateway>,
    connection: Arc<Connection>,
}

impl Idle {
    /// Notes that a request is served on the connection.
    pub fn after_request(gateway: Arc<Gateway>, connection: Arc<Connection>) -> Self {
        connection.note_serving(gateway.now_ms());
        Self {
            gateway,
            connection,
        }
    }
}

impl Drop for Idle {
    fn drop(&mut self) {
        self.connection.note_idle(self.gateway.now_ms());
    }
}

/// A body that keeps something until it has been sent.
#[derive(Debug)]
pub struct Kept<B> {
    inner: B,
    _kept: Idle,
}

impl<B> Kept<B> {
    /// Wraps a body.
    pub fn new(inner: B, kept: Idle) -> Self {
        Self { inner, _kept: kept }
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for Kept<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, B::Error>>> {
        Pin::new(&mut self.inner).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
