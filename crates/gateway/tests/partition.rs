//! Tests of gateways that are cut off from all targets, while callers, the store and other gateways reach them.

#![expect(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a test fails by panicking"
)]

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/harness.rs"]
mod harness;
#[path = "support/peer.rs"]
mod peer;

use std::net::SocketAddr;
use std::time::Duration;

use fleet::{catalog_of, Store};
use harness::mock::{Behaviour, Ending, Framing, MockTarget, Script};
use harness::{announcement, exchange, header, looks_complete, wait_until_serving};
use peer::Peer;
use rstest::rstest;
use sardinemux_core::catalog::Definition;
use sardinemux_core::collection::Role;
use sardinemux_core::roster::Announcement;
use sardinemux_gateway::settings::Settings;
use sardinemux_gateway::source::{Fact, Member, Topic};
use socket2::{Domain, Socket, Type};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinSet;
use tokio::time;

/// The users' time in which a gateway may find out that it is cut off.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

const TARGETS: usize = 4;

/// The memory of a gateway that may not hold an answer of this size, and of one that may.
const SMALL_MEMORY_BYTES: usize = 2 << 20;
const LARGE_MEMORY_BYTES: usize = 256 << 20;

/// The time between two requests while the gateway finds out.
const CALL_INTERVAL: Duration = Duration::from_millis(150);

fn definition() -> Definition {
    let mut definition = harness::definition();
    for route in &mut definition.routes {
        route.timeout_ms = 8_000;
    }
    definition
}

/// How a path to a target is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cut {
    Refused,
    Silent,
    /// Connections are made, as by a proxy, and nothing comes back.
    Held,
    /// Connections are made, and reset.
    Reset,
}

/// An address behind a cut path, and what keeps it so.
struct DeadEnd {
    address: SocketAddr,
    _refusing: Option<TcpSocket>,
    _silent: Option<(Socket, TcpStream)>,
    _accepting: Option<MockTarget>,
}

impl DeadEnd {
    async fn new(cut: Cut) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        if cut == Cut::Refused {
            let socket = TcpSocket::new_v4().unwrap();
            socket.bind(any).unwrap();
            return Self {
                address: socket.local_addr().unwrap(),
                _refusing: Some(socket),
                _silent: None,
                _accepting: None,
            };
        }
        if cut == Cut::Held || cut == Cut::Reset {
            let behaviour = match cut {
                Cut::Held => Behaviour::Hang,
                _ => Behaviour::Reset,
            };
            let target = MockTarget::start(behaviour).await;
            return Self {
                address: target.address,
                _refusing: None,
                _silent: None,
                _accepting: Some(target),
            };
        }
        // The queue of new connections is full, so that further ones hang.
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&any.into()).unwrap();
        socket.listen(0).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        let filler = TcpStream::connect(address).await.unwrap();
        Self {
            address,
            _refusing: None,
            _silent: Some((socket, filler)),
            _accepting: None,
        }
    }
}

/// Starts a gateway that has the targets at these addresses in its list, and knows the other gateways.
async fn start_gateway(settings: &Settings, targets: &[SocketAddr], others: &[&Settings]) {
    let listed = targets.iter().enumerate();
    let listed = listed
        .map(|(index, address)| announcement(&format!("t{index}"), &address.to_string()))
        .collect();
    start_gateway_of(definition(), settings, listed, others).await;
}

/// Starts a gateway with a catalogue and a list of targets, which knows the other gateways.
async fn start_gateway_of(
    definition: Definition,
    settings: &Settings,
    targets: Vec<Announcement>,
    others: &[&Settings],
) {
    let store = Store::default();
    store.put(Topic::Operators, "config", Some(catalog_of(definition)));
    for target in targets {
        let id = target.target.id.clone();
        store.put(Topic::Targets, &id, Some(Fact::Target(target)));
    }
    for other in others {
        let member = Member {
            name: other.name.clone(),
            address: other.peer_address,
        };
        store.put(Topic::Members, &other.name, Some(Fact::Member(member)));
    }
    harness::spawn(settings.clone(), store.source(&settings.name));
    wait_until_serving(settings.caller_address, settings.ready_address).await;
}

fn named(name: &str) -> Settings {
    Settings {
        name: name.into(),
        ..harness::settings()
    }
}

async fn call(address: SocketAddr, path: &str, number: usize) -> String {
    let request = harness::request("POST", path, "x-deadline: 1500\r\n", "p");
    exchange(
        address,
        &request.replace("x-id: r1", &format!("x-id: r{number}")),
    )
    .await
}

#[rstest]
#[case::safe("/safe/", Cut::Refused)]
#[case::unsafe_refused("/unsafe/", Cut::Refused)]
#[case::unsafe_silent("/unsafe/", Cut::Silent)]
#[case::stream("/stream/", Cut::Silent)]
#[case::resumable("/resumable/", Cut::Silent)]
#[case::safe_held("/safe/", Cut::Held)]
#[case::unsafe_held("/unsafe/", Cut::Held)]
#[case::stream_held("/stream/", Cut::Held)]
#[case::resumable_held("/resumable/", Cut::Held)]
#[case::safe_reset("/safe/", Cut::Reset)]
#[case::unsafe_reset("/unsafe/", Cut::Reset)]
#[tokio::test]
async fn verify_gateway_that_reaches_no_target_serves_through_another(
    #[case] path: &str,
    #[case] cut: Cut,
) {
    let behaviour = match path {
        "/stream/" | "/resumable/" => Behaviour::Stream,
        _ => Behaviour::Answer,
    };
    let mut targets = Vec::new();
    let mut dead_ends = Vec::new();
    for _ in 0..TARGETS {
        targets.push(MockTarget::start(behaviour).await);
        dead_ends.push(DeadEnd::new(cut).await);
    }
    let reached: Vec<SocketAddr> = targets.iter().map(|target| target.address).collect();
    let unreached: Vec<SocketAddr> = dead_ends.iter().map(|dead_end| dead_end.address).collect();
    let (cut_off, other) = (named("g0"), named("g1"));
    start_gateway(&other, &reached, &[&cut_off]).await;
    start_gateway(&cut_off, &unreached, &[&other]).await;
    let begun = time::Instant::now();
    let mut number = 0;
    let mut calls = JoinSet::new();
    while begun.elapsed() < STABLE_WINDOW {
        number += 1;
        let (address, path) = (cut_off.caller_address, path.to_owned());
        calls.spawn(async move { call(address, &path, number).await });
        time::sleep(CALL_INTERVAL).await;
    }
    calls.join_all().await;
    let ran_before: usize = targets.iter().map(MockTarget::request_count).sum();
    for extra in 1..=10 {
        let answer = call(cut_off.caller_address, path, number + extra).await;
        assert!(looks_complete(&answer), "{answer}");
        assert!(answer.contains(&format!("x-id: r{}", number + extra)));
    }
    let ran: usize = targets.iter().map(MockTarget::request_count).sum();
    assert_eq!(ran - ran_before, 10);
}

/// A gateway that reaches neither targets nor the others goes on trying after the deadline of a request.
#[rstest]
#[tokio::test]
async fn verify_request_is_answered_in_time_if_no_other_gateway_is_reached(
    #[values("/safe/", "/unsafe/", "/stream/", "/resumable/")] path: &str,
) {
    const TIMEOUT_MS: u64 = 500;
    const ANSWERED_MS: u64 = 500;
    let mut unreached = Vec::new();
    let mut silent = Vec::new();
    for _ in 0..TARGETS {
        unreached.push(DeadEnd::new(Cut::Refused).await);
        silent.push(DeadEnd::new(Cut::Silent).await);
    }
    let mut definition = definition();
    for route in &mut definition.routes {
        route.timeout_ms = TIMEOUT_MS;
    }
    let listed = unreached.iter().enumerate();
    let listed = listed
        .map(|(index, target)| announcement(&format!("t{index}"), &target.address.to_string()));
    let settings = named("g0");
    start_gateway_of(definition, &settings, listed.collect(), &[]).await;
    let mut peers = Vec::new();
    for name in ["g1", "g2", "g3"] {
        let peer = Peer::join_as(name, Some(Role::None), settings.peer_address).await;
        peers.push(peer);
    }
    let report = async {
        loop {
            for (peer, dead_end) in peers.iter().zip(&silent) {
                peer.report_at(dead_end.address, Default::default()).await;
            }
            time::sleep(Duration::from_millis(50)).await;
        }
    };
    let calls = async {
        let begun = time::Instant::now();
        while begun.elapsed() < STABLE_WINDOW {
            call(settings.caller_address, path, 1).await;
        }
        let limit = Duration::from_millis(TIMEOUT_MS + ANSWERED_MS);
        let answer = time::timeout(limit, call(settings.caller_address, path, 2)).await;
        assert!(answer.unwrap().starts_with("HTTP/1.1 503"));
    };
    tokio::select! {
        () = calls => {}
        () = report => {}
    }
}

/// Two gateways that reach no target do not send a request back and forth.
#[tokio::test]
async fn verify_request_of_two_gateways_that_reach_no_target_is_refused() {
    let mut dead_ends = Vec::new();
    for _ in 0..TARGETS {
        dead_ends.push(DeadEnd::new(Cut::Refused).await);
    }
    let unreached: Vec<SocketAddr> = dead_ends.iter().map(|dead_end| dead_end.address).collect();
    let (first, second) = (named("g0"), named("g1"));
    start_gateway(&first, &unreached, &[&second]).await;
    start_gateway(&second, &unreached, &[&first]).await;
    for number in 0..10 {
        let answer = call(first.caller_address, "/unsafe/", number).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    }
}

const LEAVING: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\nx-leaving: 1\r\ncontent-length: 6\r\n\r\nanswer";

/// A target that states in an answer to another gateway that it leaves gets no request of the gateway that has lost its paths.
#[tokio::test]
async fn verify_statement_in_an_answer_through_another_gateway_ends_requests() {
    let leaving = MockTarget::start(Behaviour::Raw(LEAVING)).await;
    let mut reached = vec![leaving.address];
    let mut unreached = Vec::new();
    let (mut targets, mut dead_ends) = (Vec::new(), Vec::new());
    for _ in 1..TARGETS {
        let target = MockTarget::start(Behaviour::Answer).await;
        reached.push(target.address);
        targets.push(target);
    }
    for _ in 0..TARGETS {
        let dead_end = DeadEnd::new(Cut::Refused).await;
        unreached.push(dead_end.address);
        dead_ends.push(dead_end);
    }
    let (cut_off, other) = (named("g0"), named("g1"));
    start_gateway(&other, &reached, &[&cut_off]).await;
    start_gateway(&cut_off, &unreached, &[&other]).await;
    let mut served = 0;
    for number in 0..60 {
        let answer = call(cut_off.caller_address, "/unsafe/", number).await;
        assert!(!answer.contains("x-leaving"), "{answer}");
        served += usize::from(looks_complete(&answer));
    }
    assert!(served >= 40, "{served}");
    assert_eq!(leaving.request_count(), 1);
}

/// A request that targets behind several other gateways reject draws on the budget of its own gateway for each of these gateways.
#[rstest]
#[case::plain("/safe/")]
#[case::unsafe_requests("/unsafe/")]
#[tokio::test]
async fn verify_rejections_over_other_gateways_draw_on_the_budget(#[case] path: &str) {
    const REQUESTS: usize = 20;
    let target = MockTarget::start(Behaviour::Reject).await;
    let dead_end = DeadEnd::new(Cut::Refused).await;
    let without_budget = |name: &str| {
        let mut settings = named(name);
        settings.bounds.retry_ratio = 0.0;
        settings.bounds.retry_extra = 0.0;
        settings
    };
    let others: Vec<Settings> = ["g1", "g2", "g3"].map(without_budget).into();
    let cut_off = without_budget("g0");
    for other in &others {
        start_gateway(other, &[target.address; TARGETS], &[&cut_off]).await;
    }
    let others: Vec<&Settings> = others.iter().collect();
    start_gateway(&cut_off, &[dead_end.address; TARGETS], &others).await;
    let mut number = 0;
    while target.request_count() < TARGETS {
        number += 1;
        call(cut_off.caller_address, path, number).await;
    }
    let before = target.request_count();
    for _ in 0..REQUESTS {
        number += 1;
        let answer = call(cut_off.caller_address, path, number).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    }
    // Each gateway has one repeat that it need not earn.
    let arrived = target.request_count() - before;
    assert!(arrived <= REQUESTS + others.len() + 1, "{arrived}");
}

/// A stream through another gateway that its target stops at its time limit, where only the close of the target's connection
/// marks the end.
#[rstest]
#[case::stream("/stream/")]
#[case::resumable("/resumable/")]
#[tokio::test]
async fn verify_stream_through_another_gateway_that_stops_at_its_limit_does_not_look_complete(
    #[case] path: &str,
) {
    let script = Script {
        body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
        ending: Ending::CloseAtLimit,
        ..Script::default()
    };
    let target = MockTarget::start(Behaviour::Send(script)).await;
    let dead_end = DeadEnd::new(Cut::Refused).await;
    let (cut_off, other) = (named("g0"), named("g1"));
    start_gateway(&other, &[target.address; TARGETS], &[&cut_off]).await;
    start_gateway(&cut_off, &[dead_end.address; TARGETS], &[&other]).await;
    let mut calls = JoinSet::new();
    for number in 0..20 {
        let (address, path) = (cut_off.caller_address, path.to_owned());
        calls.spawn(async move { call(address, &path, number).await });
        time::sleep(CALL_INTERVAL).await;
    }
    let answers = calls.join_all().await;
    assert!(answers.iter().any(|answer| answer.contains("id: 2")));
    for answer in answers {
        assert!(!looks_complete(&answer), "{answer}");
    }
}

/// A plain answer through another gateway that its target stops at its time limit, where only the close of the target's
/// connection marks the end.
#[rstest]
#[case::safe("/safe/")]
#[case::unsafe_requests("/unsafe/")]
#[tokio::test]
async fn verify_plain_answer_through_another_gateway_that_stops_at_its_limit_is_not_delivered(
    #[case] path: &str,
) {
    let script = Script {
        media_type: Some("text/plain"),
        body: "the first half",
        ending: Ending::CloseAtLimit,
        ..Script::default()
    };
    let target = MockTarget::start(Behaviour::Send(script)).await;
    let dead_end = DeadEnd::new(Cut::Refused).await;
    let (cut_off, other) = (named("g0"), named("g1"));
    start_gateway(&other, &[target.address; TARGETS], &[&cut_off]).await;
    start_gateway(&cut_off, &[dead_end.address; TARGETS], &[&other]).await;
    let mut calls = JoinSet::new();
    for number in 0..20 {
        let (address, path) = (cut_off.caller_address, path.to_owned());
        calls.spawn(async move { call(address, &path, number).await });
        time::sleep(CALL_INTERVAL).await;
    }
    for answer in calls.join_all().await {
        assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    assert!(target.request_count() > 0);
}

/// A stream that another gateway passes on is bound to the build in the head of its answer, so that the events of a second
/// target are taken for those of another build, at which the stream then goes on.
#[tokio::test]
async fn verify_stream_through_another_gateway_has_the_build_of_its_first_event() {
    const REQUESTS: usize = 40;
    let broken = Script {
        framing: Framing::Chunks,
        ending: Ending::Reset,
        ..Script::default()
    };
    let before_events = MockTarget::start(Behaviour::Send(broken)).await;
    let in_events = MockTarget::start(Behaviour::BreakStream).await;
    let whole = MockTarget::start(Behaviour::Stream).await;
    let list = |id: &str, address: SocketAddr, build: &str| {
        let mut announcement = announcement(id, &address.to_string());
        announcement.target.build = build.into();
        announcement
    };
    let reached = vec![
        list("t0", before_events.address, "v1"),
        list("t1", in_events.address, "v2"),
        list("t2", whole.address, "v1"),
    ];
    let dead_end = DeadEnd::new(Cut::Refused).await;
    let unreached = reached
        .iter()
        .map(|target| list(&target.target.id, dead_end.address, &target.target.build));
    let unreached = unreached.collect();
    let mut definition = definition();
    for route in &mut definition.routes {
        route.attempts_max = 8;
    }
    let (cut_off, other) = (named("g0"), named("g1"));
    start_gateway_of(definition.clone(), &other, reached, &[&cut_off]).await;
    start_gateway_of(definition, &cut_off, unreached, &[&other]).await;
    let mut calls = JoinSet::new();
    for number in 0..REQUESTS {
        let address = cut_off.caller_address;
        calls.spawn(async move { call(address, "/resumable/", number).await });
        time::sleep(CALL_INTERVAL / 3).await;
    }
    let answers = calls.join_all().await;
    assert!(before_events.request_count() > 0);
    assert!(answers.iter().any(|answer| answer.contains("data: x")));
    let broken = answers.iter().filter(|answer| answer.contains("data: a"));
    let broken: Vec<String> = broken
        .map(|answer| header(answer, "x-id").unwrap())
        .collect();
    assert!(!broken.is_empty());
    for id in broken {
        let headers = format!("last-event-id: 2\r\nx-resumes: {id}\r\n");
        let request = harness::request("POST", "/resumable/", &headers, "p");
        let request = request.replace("x-id: r1", &format!("x-id: {id}-again"));
        let rest = exchange(cut_off.caller_address, &request).await;
        assert!(!rest.contains("data: x"), "{id}: {rest}");
    }
}

/// An answer through another gateway may take the memory of either gateway.
#[rstest]
#[case::first(SMALL_MEMORY_BYTES, LARGE_MEMORY_BYTES)]
#[case::second(LARGE_MEMORY_BYTES, SMALL_MEMORY_BYTES)]
#[tokio::test]
async fn verify_answer_through_another_gateway_does_not_take_the_memory_of_either(
    #[case] first_bytes: usize,
    #[case] second_bytes: usize,
) {
    let script = Script {
        media_type: Some("text/plain"),
        body: Box::leak("a".repeat(SMALL_MEMORY_BYTES).into_boxed_str()),
        framing: Framing::Length(SMALL_MEMORY_BYTES),
        ending: Ending::Finish,
    };
    let target = MockTarget::start(Behaviour::Send(script)).await;
    let dead_end = DeadEnd::new(Cut::Refused).await;
    let with_memory = |name: &str, memory_bytes: usize| Settings {
        memory_bytes,
        ..named(name)
    };
    let (cut_off, other) = (
        with_memory("g0", first_bytes),
        with_memory("g1", second_bytes),
    );
    start_gateway(&other, &[target.address; TARGETS], &[&cut_off]).await;
    start_gateway(&cut_off, &[dead_end.address; TARGETS], &[&other]).await;
    for number in 0..10 {
        let answer = call(cut_off.caller_address, "/unsafe/", number).await;
        assert!(!answer.starts_with("HTTP/1.1 200"), "{}", answer.len());
    }
    assert!(target.request_count() > 0);
}
