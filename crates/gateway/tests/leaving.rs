//! Tests of targets that state in their answers that they leave.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "support/harness.rs"]
mod harness;

use std::time::{Duration, Instant};

use harness::mock::{Behaviour, MockTarget};
use harness::{announcement, entry, exchange, request, settings, source_of, spawn, TestGateway};
use rstest::rstest;
use sardinemux_core::leaving::Notice;
use sardinemux_core::roster::{command, query, Announcement};
use sardinemux_core::target::Key;
use sardinemux_gateway::prelude::*;
use sardinemux_gateway::replication;
use sardinemux_gateway::source::{Batch, Topic};
use sardinemux_gateway::supplement::Supplement;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

#[path = "support/peer.rs"]
mod peer;

use peer::Peer;

/// The number of requests that are sent in a row.
const REQUESTS: usize = 12;

const WHOLE: &str =
    "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\nx-leaving: 1\r\ncontent-length: 1\r\n\r\na";

const FAILED: &str =
    "HTTP/1.1 500 E\r\nx-id: {id}\r\nx-signature: s\r\nx-leaving: 1\r\ncontent-length: 1\r\n\r\ne";

const UNSIGNED: &str = "HTTP/1.1 404 E\r\nx-id: {id}\r\nx-leaving: 1\r\ncontent-length: 0\r\n\r\n";

const REJECTED: &str =
    "HTTP/1.1 503 Full\r\nx-not-run: 1\r\nx-leaving: 1\r\ncontent-length: 0\r\n\r\n";

const STREAM: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\nx-leaving: 1\r\ncontent-type: text/event-stream\r\ncontent-length: 15\r\n\r\nid: 1\ndata: x\n\n";

const CROSSED: &str = "HTTP/1.1 200 OK\r\nx-id: other\r\nx-signature: s\r\nx-leaving: 1\r\ncontent-length: 1\r\n\r\na";

const TAKEN: &str =
    "HTTP/1.1 421 M\r\nx-instance: other\r\nx-leaving: 1\r\ncontent-length: 0\r\n\r\n";

const OWN_REJECTION: &str =
    "HTTP/1.1 421 M\r\nx-instance: {own}\r\nx-leaving: 1\r\ncontent-length: 0\r\n\r\n";

const ODD_VALUE: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\nx-leaving: soon\r\ncontent-length: 1\r\n\r\na";

/// Starts a gateway with one target.
async fn start(target: &MockTarget) -> (Arc<Gateway>, TestGateway) {
    let settings = settings();
    let test = TestGateway {
        caller_address: settings.caller_address,
        ready_address: settings.ready_address,
    };
    let target = announcement("t0", &target.address.to_string());
    let gateway = spawn(
        settings,
        source_of(vec![target], Some(harness::definition())),
    );
    harness::wait_until_serving(test.caller_address, test.ready_address).await;
    (gateway, test)
}

fn key(gateway: &Gateway) -> Key {
    query::key(&gateway.roster.lock(), "t0").unwrap()
}

fn is_eligible(gateway: &Gateway) -> bool {
    let key = key(gateway);
    query::is_eligible(&gateway.roster.lock(), key, gateway.now_ms())
}

/// A target that states in any answer of its own that it leaves must get no further request.
#[rstest]
#[case::whole("/safe/", WHOLE, false)]
#[case::failed("/unsafe/", FAILED, false)]
#[case::unsigned("/unsafe/", UNSIGNED, false)]
#[case::rejected("/unsafe/", REJECTED, false)]
#[case::stream("/stream/", STREAM, false)]
#[case::resumable("/resumable/", STREAM, false)]
#[case::own_rejection("/unsafe/", OWN_REJECTION, false)]
#[case::answer_to_another_request("/unsafe/", CROSSED, true)]
#[case::odd_value("/safe/", ODD_VALUE, true)]
#[tokio::test]
async fn verify_statement_in_an_answer_ends_requests(
    #[case] path: &str,
    #[case] answer: &'static str,
    #[case] expected: bool,
) {
    let target = MockTarget::start(Behaviour::Raw(answer)).await;
    let (gateway, test) = start(&target).await;
    let answer = test.call("GET", path, "", "").await;
    assert!(!answer.contains("x-leaving"), "{answer}");
    assert_eq!(is_eligible(&gateway), expected);
    if !expected {
        let sent = target.request_count();
        let answer = test.call("GET", path, "", "").await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert_eq!(target.request_count(), sent);
    }
}

/// A process that took over the address of a target says nothing about that target.
#[tokio::test]
async fn verify_statement_of_another_process_at_the_address_marks_no_target() {
    let target = MockTarget::start(Behaviour::Raw(TAKEN)).await;
    let (gateway, test) = start(&target).await;
    test.call("GET", "/unsafe/", "", "").await;
    let key = key(&gateway);
    assert!(!query::has_stated_leaving(&gateway.roster.lock(), key));
}

/// Requests go on at the other targets of the pool.
#[tokio::test]
async fn verify_requests_move_on_to_other_targets() {
    let leaving = MockTarget::start(Behaviour::Raw(WHOLE)).await;
    let other = MockTarget::start(Behaviour::Answer).await;
    let gateway = TestGateway::start(&[&leaving, &other], true).await;
    for _ in 0..REQUESTS {
        let request = request("GET", "/safe/", "", "");
        let answer = exchange(gateway.caller_address, &request).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    assert!(leaving.request_count() <= 1);
    assert!(other.request_count() >= REQUESTS - 1);
}

fn apply(gateway: &Gateway, announcement: Announcement, version: u64) {
    let batch = Batch {
        entries: vec![entry(announcement, version)],
        position: version.into(),
    };
    replication::apply_store_batch(gateway, Topic::Targets, batch, false);
}

/// The list's `ready` puts no target back that has stated its leaving, a later process with its id is free, and an answer
/// of the former process that arrives late does not mark the later one.
#[tokio::test]
async fn verify_statement_counts_for_the_process_that_made_it() {
    let gateway = Gateway::new(settings(), harness::dialect()).unwrap();
    let former = announcement("t0", "127.0.0.1:1");
    apply(&gateway, former.clone(), 1);
    let former_key = key(&gateway);
    assert!(command::note_leaving(
        &mut gateway.roster.lock(),
        former_key,
        0
    ));
    apply(&gateway, former.clone(), 2);
    assert!(!is_eligible(&gateway));
    let later = Announcement {
        lifetime: 2,
        ..former
    };
    apply(&gateway, later, 3);
    assert!(is_eligible(&gateway));
    assert!(!command::note_leaving(
        &mut gateway.roster.lock(),
        former_key,
        0
    ));
    assert!(is_eligible(&gateway));
}

/// A gateway that has had no answer of a leaving target is told by others.
#[tokio::test]
async fn verify_other_gateways_are_told() {
    let target = MockTarget::start(Behaviour::Answer).await;
    let (gateway, _) = start(&target).await;
    let peer = Peer::join(gateway.settings.peer_address).await;
    let notice = Notice {
        target: "t0".into(),
        lifetime: 1,
        age_ms: 10,
    };
    peer.send(&Supplement::Leaving(vec![notice])).await;
    while is_eligible(&gateway) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Accepts connections, resets those with requests, and rejects status checks as a target that leaves.
async fn serve_status_only(listener: TcpListener) {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut bytes = [0; 4_096];
        let count = stream.read(&mut bytes).await.unwrap_or_default();
        if bytes[..count].starts_with(b"GET /status ") {
            let answer = OWN_REJECTION.replace("{own}", "t0");
            stream.write_all(answer.as_bytes()).await.unwrap();
        } else {
            stream.set_zero_linger().unwrap();
        }
    }
}

/// A gateway that checks whether its paths are lost reads the statement in the answer to the check.
#[tokio::test]
async fn verify_statement_in_a_status_check_ends_requests() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(serve_status_only(listener));
    let settings = settings();
    let (caller, ready) = (settings.caller_address, settings.ready_address);
    let target = announcement("t0", &address.to_string());
    let source = source_of(vec![target], Some(harness::definition()));
    let gateway = spawn(settings, source);
    harness::wait_until_serving(caller, ready).await;
    let request = request("POST", "/unsafe/", "", "");
    let until = Instant::now() + Duration::from_secs(10);
    while is_eligible(&gateway) {
        assert!(Instant::now() < until, "the statement was not read");
        exchange(caller, &request).await;
    }
}
