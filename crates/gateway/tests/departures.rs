//! Tests of callers that close their connection while their request is served, with bytes behind the request or without.

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
use std::time::Duration;

use fleet::{catalog_of, Store};
use harness::mock::{Behaviour, Ending, Framing, MockTarget, Script};
use harness::{announcement, request, settings, source_of, spawn, wait_until_serving, TestGateway};
use rstest::rstest;
use sardinemux_gateway::settings::Settings;
use sardinemux_gateway::source::{Fact, Member, Topic};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::runtime;
use tokio::time;

/// The users' time after a caller's close in which work for it may go on.
const FREED: Duration = Duration::from_millis(500);

/// The time after which a target rejects or answers a request whose caller is gone by then, in milliseconds.
const LATE_MS: u64 = 300;

/// A time after which everything that a request leads to has happened.
const SETTLED: Duration = Duration::from_millis(3 * LATE_MS);

/// A number of bytes that is more than a gateway reads ahead, and that the buffers of sockets hold.
const MANY_BYTES: usize = 100_000;

/// A number of bytes that the buffers of sockets do not hold beside what a gateway reads ahead of every connection.
const MORE_BYTES: usize = 700_000;

/// What a caller has written behind its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behind {
    Nothing,
    EmptyLine,
    Request,
    ManyBytes,
    MoreBytes,
}

/// Returns a request that leaves its connection open, and the bytes behind it.
fn text(method: &str, path: &str, behind: Behind) -> String {
    let text = request(method, path, "", "p").replace("connection: close\r\n", "");
    let next = text.replace("x-id: r1", "x-id: r2");
    match behind {
        Behind::Nothing => text,
        Behind::EmptyLine => text + "\r\n",
        Behind::Request => text + &next,
        Behind::ManyBytes => text + &next + &"x".repeat(MANY_BYTES),
        Behind::MoreBytes => text + &next + &"x".repeat(MORE_BYTES),
    }
}

/// Sends a request whose caller leaves once the target has it.
async fn send_and_leave(address: SocketAddr, target: &MockTarget, path: &str, behind: Behind) {
    let mut caller = TcpStream::connect(address).await.unwrap();
    let text = text("POST", path, behind);
    // Not all of it may be taken before the caller leaves.
    tokio::select! {
        () = arrival_at(target) => {}
        () = async {
            caller.write_all(text.as_bytes()).await.unwrap();
            std::future::pending().await
        } => {}
    }
}

async fn arrival_at(target: &MockTarget) {
    while target.request_count() == 0 {
        time::sleep(Duration::from_millis(5)).await;
    }
}

async fn verify_freed(target: &MockTarget) {
    let freed = async {
        while target.observed.lock().disconnects == 0 {
            time::sleep(Duration::from_millis(5)).await;
        }
    };
    time::timeout(FREED, freed).await.unwrap();
}

/// A gateway that reads nothing behind a request does not notice that its caller leaves, and the target works on.
#[rstest]
#[tokio::test]
async fn verify_caller_that_leaves_behind_further_bytes_frees_the_target(
    #[values("/safe/", "/unsafe/", "/stream/", "/resumable/")] path: &str,
    #[values(
        Behind::Nothing,
        Behind::EmptyLine,
        Behind::Request,
        Behind::ManyBytes,
        Behind::MoreBytes
    )]
    behind: Behind,
) {
    let target = MockTarget::start(Behaviour::Hang).await;
    let gateway = TestGateway::start(&[&target], true).await;
    send_and_leave(gateway.caller_address, &target, path, behind).await;
    verify_freed(&target).await;
    assert_eq!(target.request_count(), 1);
}

const BEGUN_STREAM: Script = Script {
    framing: Framing::Chunks,
    media_type: Some("text/event-stream"),
    body: "id: 1\ndata: x\n\n",
    ending: Ending::Hold,
};

const BEGUN_ANSWER: Script = Script {
    framing: Framing::Length(100),
    media_type: Some("text/plain"),
    body: "the first part",
    ending: Ending::Hold,
};

/// A target goes on with an answer of which its caller has read the first part and left.
#[rstest]
#[case::plain("/safe/", BEGUN_ANSWER)]
#[case::unsafe_request("/unsafe/", BEGUN_ANSWER)]
#[case::stream("/stream/", BEGUN_STREAM)]
#[case::resumable("/resumable/", BEGUN_STREAM)]
#[tokio::test]
async fn verify_caller_that_leaves_an_answer_half_way_frees_the_target(
    #[case] path: &str,
    #[case] script: Script,
    #[values(Behind::Nothing, Behind::Request, Behind::MoreBytes)] behind: Behind,
) {
    let target = MockTarget::start(Behaviour::Send(script)).await;
    let gateway = TestGateway::start(&[&target], true).await;
    let mut caller = TcpStream::connect(gateway.caller_address).await.unwrap();
    let text = text("POST", path, behind);
    // Not all of it may be taken before the caller leaves.
    let sending = time::timeout(Duration::from_millis(LATE_MS / 3), async {
        caller.write_all(text.as_bytes()).await.unwrap();
        std::future::pending::<()>().await;
    });
    sending.await.unwrap_err();
    assert_eq!(target.observed.lock().disconnects, 0);
    drop(caller);
    verify_freed(&target).await;
    assert_eq!(target.request_count(), 1);
}

/// A gateway that does not notice that its caller has left sends the request on to another target, or the next request after it.
#[rstest]
#[case::rejected(Behaviour::LateReject(LATE_MS), Behind::EmptyLine)]
#[case::rejected_many(Behaviour::LateReject(LATE_MS), Behind::ManyBytes)]
#[case::rejected_more(Behaviour::LateReject(LATE_MS), Behind::MoreBytes)]
#[case::answered(Behaviour::PauseAnswer(LATE_MS), Behind::Request)]
#[tokio::test]
async fn verify_nothing_is_sent_on_for_a_caller_that_has_left(
    #[case] behaviour: Behaviour,
    #[case] behind: Behind,
    #[values("/safe/", "/unsafe/")] path: &str,
) {
    let targets = [
        MockTarget::start(behaviour).await,
        MockTarget::start(behaviour).await,
    ];
    let gateway = TestGateway::start(&[&targets[0], &targets[1]], true).await;
    let mut caller = TcpStream::connect(gateway.caller_address).await.unwrap();
    let count = || targets[0].request_count() + targets[1].request_count();
    let text = text("POST", path, behind);
    // Not all of it may be taken before the caller leaves.
    let sending = time::timeout(Duration::from_millis(LATE_MS / 3), async {
        caller.write_all(text.as_bytes()).await.unwrap();
        std::future::pending::<()>().await;
    });
    sending.await.unwrap_err();
    assert_eq!(count(), 1);
    drop(caller);
    time::sleep(SETTLED).await;
    assert_eq!(count(), 1);
}

/// A caller that leaves its gateway also leaves the one through which its request went.
#[rstest]
#[case::nothing(Behind::Nothing)]
#[case::empty_line(Behind::EmptyLine)]
#[case::next(Behind::Request)]
#[case::more(Behind::MoreBytes)]
#[tokio::test]
async fn verify_caller_that_leaves_frees_the_target_of_another_gateway(
    #[case] behind: Behind,
    #[values("/unsafe/", "/resumable/")] path: &str,
) {
    let refusing = TcpSocket::new_v4().unwrap();
    refusing.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let refused = refusing.local_addr().unwrap();
    let target = MockTarget::start(Behaviour::Hang).await;
    let other = named("g2");
    start_gateway(&other, &[target.address], &[]).await;
    let entry = named("g1");
    start_gateway(&entry, &[refused, refused, refused], &[&other]).await;
    let probe = request("GET", path, "x-deadline: 200\r\n", "");
    while target.request_count() == 0 {
        harness::exchange(entry.caller_address, &probe).await;
        time::sleep(Duration::from_millis(100)).await;
    }
    while target.observed.lock().disconnects == 0 {
        time::sleep(Duration::from_millis(5)).await;
    }
    *target.observed.lock() = Default::default();
    send_and_leave(entry.caller_address, &target, path, behind).await;
    verify_freed(&target).await;
}

fn named(name: &str) -> Settings {
    Settings {
        name: name.into(),
        ..settings()
    }
}

async fn start_gateway(settings: &Settings, targets: &[SocketAddr], others: &[&Settings]) {
    let store = Store::default();
    let catalog = catalog_of(harness::definition());
    store.put(Topic::Operators, "config", Some(catalog));
    for (index, address) in targets.iter().enumerate() {
        let id = format!("t{index}");
        let target = announcement(&id, &address.to_string());
        store.put(Topic::Targets, &id, Some(Fact::Target(target)));
    }
    for other in others {
        let member = Member {
            name: other.name.clone(),
            address: other.peer_address,
        };
        store.put(Topic::Members, &other.name, Some(Fact::Member(member)));
    }
    spawn(settings.clone(), store.source(&settings.name));
    wait_until_serving(settings.caller_address, settings.ready_address).await;
}

/// A gateway that stood still finds the close behind the request, and sends nothing.
#[rstest]
#[case::nothing(Behind::Nothing)]
#[case::empty_line(Behind::EmptyLine)]
#[case::next(Behind::Request)]
#[tokio::test(flavor = "multi_thread")]
async fn verify_gateway_that_stood_still_sends_nothing_for_a_caller_that_has_left(
    #[case] behind: Behind,
    #[values("/safe/", "/unsafe/")] path: &str,
    #[values(true, false)] is_connected: bool,
) {
    let target = MockTarget::start(Behaviour::Answer).await;
    let settings = settings();
    let listed = vec![announcement("t0", &target.address.to_string())];
    let source = source_of(listed, Some(harness::definition()));
    let (freeze, frozen) = std::sync::mpsc::channel::<std::sync::mpsc::Receiver<()>>();
    let copy = settings.clone();
    std::thread::spawn(move || {
        let runtime = runtime::Builder::new_current_thread().enable_all().build();
        runtime.unwrap().block_on(async move {
            spawn(copy, source);
            loop {
                time::sleep(Duration::from_millis(5)).await;
                // The whole gateway stands still until the sender is dropped.
                if let Ok(until) = frozen.try_recv() {
                    let _ = until.recv();
                }
            }
        });
    });
    wait_until_serving(settings.caller_address, settings.ready_address).await;
    let mut caller = None;
    if is_connected {
        caller = Some(TcpStream::connect(settings.caller_address).await.unwrap());
        time::sleep(Duration::from_millis(50)).await;
    }
    let (thaw, until) = std::sync::mpsc::channel();
    freeze.send(until).unwrap();
    time::sleep(Duration::from_millis(50)).await;
    let mut caller = match caller {
        Some(caller) => caller,
        None => TcpStream::connect(settings.caller_address).await.unwrap(),
    };
    let text = text("POST", path, behind);
    caller.write_all(text.as_bytes()).await.unwrap();
    drop(caller);
    time::sleep(Duration::from_millis(50)).await;
    drop(thaw);
    time::sleep(SETTLED).await;
    assert_eq!(target.request_count(), 0);
}

/// Requests that a caller sends before it has the answer to the first one are answered in order, also where they are more than
/// a gateway reads ahead.
#[rstest]
#[case::small(10)]
#[case::large(MANY_BYTES)]
#[tokio::test]
async fn verify_requests_that_are_sent_ahead_are_answered_in_order(#[case] body_bytes: usize) {
    const REQUESTS: usize = 4;
    let target = MockTarget::start(Behaviour::PauseAnswer(50)).await;
    let mut definition = harness::definition();
    definition.limits.body_bytes = MANY_BYTES;
    let gateway = TestGateway::start_with(&[&target], Some(definition), settings()).await;
    let caller = TcpStream::connect(gateway.caller_address).await.unwrap();
    let (mut reader, mut writer) = caller.into_split();
    let body = "b".repeat(body_bytes);
    let sending = tokio::spawn(async move {
        for number in 0..REQUESTS {
            let mut text = request("POST", "/unsafe/", "", &body);
            text = text.replace("x-id: r1", &format!("x-id: r{number}"));
            if number + 1 < REQUESTS {
                text = text.replace("connection: close\r\n", "");
            }
            writer.write_all(text.as_bytes()).await.unwrap();
        }
        writer
    });
    let mut answers = String::new();
    reader.read_to_string(&mut answers).await.unwrap();
    drop(sending.await.unwrap());
    let ids = answers
        .lines()
        .filter_map(|line| line.strip_prefix("x-id: "));
    let expected: Vec<String> = (0..REQUESTS).map(|number| format!("r{number}")).collect();
    assert_eq!(ids.collect::<Vec<_>>(), expected, "{answers}");
    assert_eq!(answers.matches("HTTP/1.1 200").count(), REQUESTS);
}
