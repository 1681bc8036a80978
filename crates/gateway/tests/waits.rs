//! Tests of callers that leave while their request waits for something other than a target's answer.

#![expect(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a test fails by panicking"
)]

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/harness.rs"]
mod harness;

use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::Duration;

use fleet::{catalog_of, Store};
use futures_util::future::{self, FutureExt};
use harness::mock::{Behaviour, MockTarget};
use harness::{announcement, header, settings, spawn, wait_until_serving};
use parking_lot::Mutex;
use rstest::rstest;
use sardinemux_core::catalog::Definition;
use sardinemux_gateway::prelude::*;
use sardinemux_gateway::settings::Settings;
use sardinemux_gateway::source::{Fact, Member, Source, Topic};
use sardinemux_gateway::suspension;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::{runtime, time};

/// The time after which the caller leaves, which is shorter than each of the waits.
const LEAVES_AFTER: Duration = Duration::from_millis(150);

/// A time after which each of the waits has ended, and the request has been sent.
const SETTLED: Duration = Duration::from_millis(1_500);

/// What the caller does while its request waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Caller {
    Stays,
    Leaves,
    /// Leaves behind a second request.
    LeavesBehindBytes,
}

impl Caller {
    /// Sends a request, and returns once everything that it leads to has happened.
    async fn call(self, address: SocketAddr, path: &str, id: &str) {
        let text = harness::request("POST", path, "", "p").replace("connection: close\r\n", "");
        let mut request = text.replace("x-id: r1", &format!("x-id: {id}"));
        if self == Self::LeavesBehindBytes {
            request.push_str(&text.replace("x-id: r1", "x-id: next"));
        }
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        time::sleep(LEAVES_AFTER).await;
        let kept = (self == Self::Stays).then_some(stream);
        time::sleep(SETTLED).await;
        drop(kept);
    }

    /// Returns the number of requests that a target gets.
    fn expected(self) -> usize {
        usize::from(self == Self::Stays)
    }
}

fn store_with(definition: Definition, targets: &[(SocketAddr, u32)]) -> Store {
    let store = Store::default();
    store.put(Topic::Operators, "config", Some(catalog_of(definition)));
    for (index, (address, slots)) in targets.iter().enumerate() {
        let id = format!("t{index}");
        let mut target = announcement(&id, &address.to_string());
        target.target.slots = *slots;
        store.put(Topic::Targets, &id, Some(Fact::Target(target)));
    }
    store
}

async fn start(settings: &Settings, source: Source) -> Arc<Gateway> {
    let gateway = spawn(settings.clone(), source);
    wait_until_serving(settings.caller_address, settings.ready_address).await;
    gateway
}

/// A request that waits for the refresh after a standstill is sent although its caller has left.
#[rstest]
#[tokio::test]
async fn verify_request_that_waits_for_the_refresh_ends_with_its_caller(
    #[values(Caller::Stays, Caller::Leaves, Caller::LeavesBehindBytes)] caller: Caller,
    #[values("/safe/", "/unsafe/")] path: &str,
) {
    let target = MockTarget::start(Behaviour::Answer).await;
    let store = store_with(harness::definition(), &[(target.address, 8)]);
    let settings = settings();
    let gateway = start(&settings, store.source(&settings.name)).await;
    store.reject_all();
    suspension::invalidate_state(&gateway);
    caller.call(settings.caller_address, path, "r1").await;
    assert_eq!(target.request_count(), caller.expected());
}

/// A request that waits for a build to join is sent although its caller has left.
#[rstest]
#[tokio::test]
async fn verify_request_that_waits_for_a_build_ends_with_its_caller(
    #[values(Caller::Stays, Caller::Leaves, Caller::LeavesBehindBytes)] caller: Caller,
) {
    let target = MockTarget::start(Behaviour::Stream).await;
    let store = store_with(harness::definition(), &[(target.address, 8)]);
    let settings = settings();
    let mut source = store.source(&settings.name);
    source.advance_builds = Box::new(|_| future::pending().boxed());
    start(&settings, source).await;
    caller
        .call(settings.caller_address, "/resumable/", "r1")
        .await;
    assert_eq!(target.request_count(), caller.expected());
}

/// A target with one slot that states that it is brittle, and never answers a request with the id `holds`.
struct Busy {
    address: SocketAddr,
    ids: Arc<Mutex<Vec<String>>>,
}

impl Busy {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let ids = Arc::new(Mutex::new(Vec::new()));
        let seen = ids.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve_busy(stream, seen.clone()));
            }
        });
        Self { address, ids }
    }

    fn count(&self, id: &str) -> usize {
        self.ids.lock().iter().filter(|seen| *seen == id).count()
    }
}

async fn serve_busy(mut stream: TcpStream, seen: Arc<Mutex<Vec<String>>>) {
    let mut bytes = vec![0; 4_096];
    while let Ok(count @ 1..) = stream.read(&mut bytes).await {
        let text = String::from_utf8_lossy(&bytes[..count]).into_owned();
        let id = header(&text, "x-id").unwrap_or_default();
        seen.lock().push(id.clone());
        if id == "holds" {
            continue;
        }
        let answer = format!(
            "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\nx-brittle: 3\r\ncontent-length: 1\r\n\r\na"
        );
        stream.write_all(answer.as_bytes()).await.unwrap();
    }
}

/// A request that waits for a slot is sent although its caller has left.
#[rstest]
#[tokio::test]
async fn verify_request_that_waits_for_a_slot_ends_with_its_caller(
    #[values(Caller::Stays, Caller::Leaves, Caller::LeavesBehindBytes)] caller: Caller,
) {
    let target = Busy::start().await;
    let mut definition = harness::definition();
    for route in &mut definition.routes {
        route.objective_ms = 4 * SETTLED.as_millis() as u64;
        route.timeout_ms = 4 * SETTLED.as_millis() as u64;
    }
    let store = store_with(definition, &[(target.address, 1)]);
    let settings = settings();
    start(&settings, store.source(&settings.name)).await;
    let address = settings.caller_address;
    let text = harness::request("POST", "/unsafe/", "", "p");
    harness::exchange(address, &text.replace("x-id: r1", "x-id: first")).await;
    let mut holder = TcpStream::connect(address).await.unwrap();
    let holds = text.replace("x-id: r1", "x-id: holds");
    holder.write_all(holds.as_bytes()).await.unwrap();
    while target.count("holds") == 0 {
        time::sleep(Duration::from_millis(5)).await;
    }
    let free = async {
        time::sleep(2 * LEAVES_AFTER).await;
        assert_eq!(
            target.count("waits"),
            0,
            "the request has not waited for a slot"
        );
        drop(holder);
    };
    tokio::join!(caller.call(address, "/unsafe/", "waits"), free);
    assert_eq!(target.count("waits"), caller.expected());
}

/// A gateway that stood still sends a request of another gateway whose caller has left meanwhile.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn verify_other_gateway_that_stood_still_sends_nothing_for_a_caller_that_has_left(
    #[values(Caller::Stays, Caller::Leaves, Caller::LeavesBehindBytes)] caller: Caller,
    #[values("/safe/", "/unsafe/")] path: &str,
) {
    let target = MockTarget::start(Behaviour::Answer).await;
    let named = |name: &str| Settings {
        name: name.into(),
        ..settings()
    };
    let (entry, other) = (named("g1"), named("g2"));
    let mut definition = harness::definition();
    for route in &mut definition.routes {
        route.timeout_ms = 4 * SETTLED.as_millis() as u64;
    }
    let store = store_with(definition.clone(), &[(target.address, 8)]);
    let source = store.source(&other.name);
    let (freeze, frozen) = mpsc::channel::<mpsc::Receiver<()>>();
    let copy = other.clone();
    std::thread::spawn(move || {
        let runtime = runtime::Builder::new_current_thread().enable_all().build();
        runtime.unwrap().block_on(async move {
            spawn(copy, source);
            loop {
                time::sleep(Duration::from_millis(2)).await;
                // The whole gateway stands still until the sender is dropped.
                if let Ok(until) = frozen.try_recv() {
                    let _ = until.recv();
                }
            }
        });
    });
    wait_until_serving(other.caller_address, other.ready_address).await;
    let refusing = TcpSocket::new_v4().unwrap();
    refusing.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let refused = refusing.local_addr().unwrap();
    let store = store_with(definition, &[(refused, 8), (refused, 8), (refused, 8)]);
    let member = Member {
        name: other.name.clone(),
        address: other.peer_address,
    };
    store.put(Topic::Members, &other.name, Some(Fact::Member(member)));
    start(&entry, store.source(&entry.name)).await;
    let text = harness::request("POST", path, "", "p");
    while target.request_count() == 0 {
        harness::exchange(entry.caller_address, &text).await;
        time::sleep(Duration::from_millis(50)).await;
    }
    let before = target.request_count();
    let (thaw, until) = mpsc::channel();
    freeze.send(until).unwrap();
    time::sleep(Duration::from_millis(20)).await;
    let thaw = async {
        time::sleep(2 * LEAVES_AFTER).await;
        drop(thaw);
    };
    tokio::join!(caller.call(entry.caller_address, path, "r1"), thaw);
    assert_eq!(target.request_count() - before, caller.expected());
}
