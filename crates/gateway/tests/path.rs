//! Tests of the path of a request from a caller through the gateway to targets, most of which are faulty.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "support/harness.rs"]
mod harness;

use std::io::ErrorKind;
use std::time::Duration;

use harness::mock::{Behaviour, MockTarget};
use harness::{exchange, header, request, TestGateway};
use rstest::rstest;
use sardinemux_gateway::drain::Phase;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

#[tokio::test]
async fn verify_request_and_answer_are_passed_on_unchanged() {
    let target = MockTarget::start(Behaviour::Answer).await;
    let gateway = TestGateway::start(&[&target], true).await;
    let headers = "x-hold: mine\r\nx-organisation: forged\r\nx-other: kept\r\n";
    let answer = gateway
        .call("POST", "/unsafe/a%20b?c=d&e", headers, "body")
        .await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.ends_with("\r\n\r\nanswer"), "{answer}");
    assert_eq!(header(&answer, "x-signature").as_deref(), Some("s"));
    let seen = target.observed.lock().requests[0].clone();
    assert!(
        seen.starts_with("POST /unsafe/a%20b?c=d&e HTTP/1.1"),
        "{seen}"
    );
    assert!(seen.ends_with("\r\n\r\nbody"), "{seen}");
    assert_eq!(header(&seen, "x-expect").as_deref(), Some("t0"));
    assert_eq!(header(&seen, "x-organisation").as_deref(), Some("o1"));
    assert_eq!(header(&seen, "x-other").as_deref(), Some("kept"));
    assert_eq!(header(&seen, "x-hold"), None);
    assert_eq!(header(&seen, "x-key"), None);
    let remaining_ms: u64 = header(&seen, "x-deadline").unwrap().parse().unwrap();
    assert!(remaining_ms <= harness::TIMEOUT_MS);
}

/// A request that is not repeatable and has reached a target is sent to another only if the first stated that it did
/// not run the request. The status 503 with `Retry-After`, which promises "not run" to the caller, is sent only if that
/// is certain.
#[rstest]
#[case::reset(Behaviour::Reset, "502", 1)]
#[case::crossed(Behaviour::Cross, "502", 1)]
#[case::truncated(Behaviour::Truncate, "502", 1)]
#[case::crossed_rejection(Behaviour::CrossRejection, "502", 1)]
#[case::own_error(Behaviour::Fail, "500", 1)]
#[case::silent(Behaviour::Hang, "504", 1)]
#[case::turned_away(Behaviour::Reject, "503", 2)]
#[tokio::test]
async fn verify_unsafe_request_runs_at_most_once(
    #[case] act: Behaviour,
    #[case] status: &str,
    #[case] arrivals: usize,
) {
    let targets = [MockTarget::start(act).await, MockTarget::start(act).await];
    let gateway = TestGateway::start(&[&targets[0], &targets[1]], true).await;
    let answer = gateway.call("POST", "/unsafe/", "", "pay").await;
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status}")),
        "{answer}"
    );
    let arrived: usize = targets.iter().map(MockTarget::request_count).sum();
    assert_eq!(arrived, arrivals);
    let has_retry_after = status == "503";
    assert_eq!(header(&answer, "retry-after").is_some(), has_retry_after);
}

/// A safe request that fails on one target is answered by another.
#[rstest]
#[case::reset(Behaviour::Reset)]
#[case::crossed(Behaviour::Cross)]
#[case::truncated(Behaviour::Truncate)]
#[case::own_error(Behaviour::Fail)]
#[case::silent(Behaviour::Hang)]
#[case::turned_away(Behaviour::Reject)]
#[tokio::test]
async fn verify_safe_request_is_tried_elsewhere(#[case] act: Behaviour) {
    let (faulty, healthy) = (
        MockTarget::start(act).await,
        MockTarget::start(Behaviour::Answer).await,
    );
    let gateway = TestGateway::start(&[&faulty, &healthy], true).await;
    for _ in 0..4 {
        let answer = gateway.call("GET", "/safe/", "", "").await;
        assert!(answer.ends_with("\r\n\r\nanswer"), "{answer}");
    }
}

/// Most targets of a pool have crashed at once and are still listed. A request is sent to the remaining target, even if
/// it is not repeatable, since it reached none of the crashed ones.
#[rstest]
#[case::safe("GET", "/safe/")]
#[case::unsafe_request("POST", "/unsafe/")]
#[tokio::test]
async fn verify_request_passes_over_crashed_targets(#[case] method: &str, #[case] path: &str) {
    let crashed: Vec<MockTarget> = (0..8).map(|_| MockTarget::crashed()).collect();
    let alive = MockTarget::start(Behaviour::Answer).await;
    let targets: Vec<&MockTarget> = crashed.iter().chain([&alive]).collect();
    let gateway = TestGateway::start(&targets, true).await;
    let answer = gateway.call(method, path, "", "").await;
    assert!(answer.ends_with("\r\n\r\nanswer"), "{answer}");
    assert_eq!(alive.request_count(), 1);
}

/// A target of another test at the address of a crashed one would answer in its place.
#[tokio::test]
async fn verify_address_of_a_crashed_target_is_not_taken_by_another_one() {
    let crashed = MockTarget::crashed();
    assert!(TcpListener::bind(crashed.address).await.is_err());
    let refused = TcpStream::connect(crashed.address).await.unwrap_err();
    assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
}

/// The server error of a target is delivered if the retry fails as well.
#[tokio::test]
async fn verify_own_error_is_delivered() {
    let targets = [
        MockTarget::start(Behaviour::Fail).await,
        MockTarget::start(Behaviour::Fail).await,
    ];
    let gateway = TestGateway::start(&[&targets[0], &targets[1]], true).await;
    let answer = gateway.call("GET", "/safe/", "", "").await;
    assert!(answer.starts_with("HTTP/1.1 500"), "{answer}");
    assert!(answer.ends_with("failed"), "{answer}");
}

fn event_ids(answer: &str) -> Vec<u32> {
    let ids = answer.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.trim().parse().unwrap()).collect()
}

/// A stream that is not resumable is forwarded as it arrives. An event out of order may belong to another stream: the
/// answer ends before it, without the last chunk, so that it does not look complete.
#[rstest]
#[case::in_order(Behaviour::Stream, &[1, 2, 3, 4], true)]
#[case::one_is_missing(Behaviour::SkipEvent, &[1], false)]
#[case::one_comes_twice(Behaviour::RepeatEvent, &[1, 2], false)]
#[tokio::test]
async fn verify_stream_with_events_out_of_order_does_not_look_complete(
    #[case] act: Behaviour,
    #[case] expected: &[u32],
    #[case] is_complete: bool,
) {
    let target = MockTarget::start(act).await;
    let gateway = TestGateway::start(&[&target], true).await;
    let answer = gateway.call("POST", "/stream/", "", "p").await;
    assert_eq!(event_ids(&answer), expected, "{answer}");
    assert_eq!(answer.ends_with("0\r\n\r\n"), is_complete, "{answer}");
}

/// A resumable stream continues on another target after the last complete event, and no event is delivered twice.
#[rstest]
#[case::resumes(Behaviour::Stream)]
#[case::replays(Behaviour::Replay)]
#[tokio::test]
async fn verify_stream_is_resumed_after_last_event(#[case] act: Behaviour) {
    let faulty = MockTarget::start(Behaviour::BreakStream).await;
    let healthy = MockTarget::start(act).await;
    let gateway = TestGateway::start(&[&faulty, &healthy], true).await;
    for _ in 0..4 {
        let answer = gateway.call("POST", "/resumable/", "", "p").await;
        assert_eq!(event_ids(&answer), [1, 2, 3, 4], "{answer}");
        assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
    }
    let resumed = healthy.observed.lock().requests.clone();
    let resumed = resumed
        .iter()
        .filter_map(|seen| header(seen, "last-event-id"));
    assert!(resumed.clone().count() > 0);
    assert!(resumed.clone().all(|last| last == "2"));
}

/// A stream that is not resumable runs on one target. If it breaks off, the answer ends without the last chunk.
#[tokio::test]
async fn verify_broken_stream_does_not_look_complete() {
    let targets = [
        MockTarget::start(Behaviour::BreakStream).await,
        MockTarget::start(Behaviour::BreakStream).await,
    ];
    let gateway = TestGateway::start(&[&targets[0], &targets[1]], true).await;
    let answer = gateway.call("POST", "/stream/", "", "p").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
    let arrived: usize = targets.iter().map(MockTarget::request_count).sum();
    assert_eq!(arrived, 1);
}

/// The request of a caller that disconnects is cancelled on its target.
#[rstest]
#[case::unsafe_request("/unsafe/")]
#[case::stream("/stream/")]
#[tokio::test]
async fn verify_leaving_caller_frees_the_target(#[case] path: &str) {
    let target = MockTarget::start(Behaviour::Hang).await;
    let gateway = TestGateway::start(&[&target], true).await;
    let mut caller = TcpStream::connect(gateway.caller_address).await.unwrap();
    caller
        .write_all(request("POST", path, "", "p").as_bytes())
        .await
        .unwrap();
    while target.request_count() == 0 {
        time::sleep(Duration::from_millis(5)).await;
    }
    drop(caller);
    let freed = async {
        while target.observed.lock().disconnects == 0 {
            time::sleep(Duration::from_millis(5)).await;
        }
    };
    // The target must be free within half a second.
    time::timeout(Duration::from_millis(500), freed)
        .await
        .unwrap();
}

#[rstest]
#[case::unknown_route(
    "POST /nowhere/ HTTP/1.1\r\nhost: test.example\r\nx-id: r\r\nx-key: k1\r\n\r\n",
    "404"
)]
#[case::unknown_host(
    "GET /safe/ HTTP/1.1\r\nhost: other.example\r\nx-id: r\r\nx-key: k1\r\n\r\n",
    "404"
)]
#[case::unknown_key(
    "GET /safe/ HTTP/1.1\r\nhost: test.example\r\nx-id: r\r\nx-key: no\r\n\r\n",
    "401"
)]
#[case::no_key("GET /safe/ HTTP/1.1\r\nhost: test.example\r\nx-id: r\r\n\r\n", "401")]
#[case::no_id(
    "GET /safe/ HTTP/1.1\r\nhost: test.example\r\nx-key: k1\r\n\r\n",
    "400"
)]
#[case::no_host("GET /safe/ HTTP/1.1\r\nx-id: r\r\nx-key: k1\r\n\r\n", "400")]
#[case::two_framings("POST /safe/ HTTP/1.1\r\nhost: test.example\r\nx-id: r\r\nx-key: k1\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n", "400")]
#[case::two_lengths("POST /safe/ HTTP/1.1\r\nhost: test.example\r\nx-id: r\r\nx-key: k1\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nabcde", "400")]
#[case::no_http("what is this\r\n\r\n", "400")]
#[tokio::test]
async fn verify_improper_request_reaches_no_target(#[case] sent: &str, #[case] status: &str) {
    let target = MockTarget::start(Behaviour::Answer).await;
    let gateway = TestGateway::start(&[&target], true).await;
    let answer = exchange(gateway.caller_address, sent).await;
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status}")),
        "{answer}"
    );
    assert_eq!(target.request_count(), 0);
}

#[tokio::test]
async fn verify_large_body_is_refused() {
    let target = MockTarget::start(Behaviour::Answer).await;
    let gateway = TestGateway::start(&[&target], true).await;
    let answer = gateway.call("POST", "/safe/", "", &"x".repeat(1_001)).await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert_eq!(target.request_count(), 0);
}

/// A gateway without a catalogue is not ready, and answers with 503 and `Retry-After`.
#[tokio::test]
async fn verify_gateway_without_catalogue_is_not_ready() {
    let target = MockTarget::start(Behaviour::Answer).await;
    let gateway = TestGateway::start(&[&target], false).await;
    assert!(!gateway.is_ready().await);
    let answer = gateway.call("GET", "/safe/", "", "").await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(header(&answer, "retry-after").is_some());
}

/// A gateway that is leaving still serves callers. Once it closes its connections, it accepts no new ones, whose
/// requests would be cut off when the process exits.
#[tokio::test]
async fn verify_closing_gateway_takes_no_new_caller() {
    let settings = harness::settings();
    let target = MockTarget::start(Behaviour::Answer).await;
    let announcement = harness::announcement("t0", &target.address.to_string());
    let source = harness::source(vec![announcement], true);
    let gateway = harness::spawn(settings.clone(), source);
    while !gateway.is_ready() {
        time::sleep(Duration::from_millis(5)).await;
    }
    let request = request("GET", "/safe/", "", "");
    gateway.drain.set_phase(Phase::Leaving);
    let answer = exchange(settings.caller_address, &request).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    gateway.drain.set_phase(Phase::Closing);
    let closed = async {
        while TcpStream::connect(settings.caller_address).await.is_ok() {
            time::sleep(Duration::from_millis(5)).await;
        }
    };
    time::timeout(Duration::from_secs(5), closed).await.unwrap();
}

/// A target that writes an earlier refusal once more has other requests said not to have run, or sent to a second target.
#[rstest]
#[case::of_a_request("HTTP/1.1 503 F\r\nx-id: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\nHTTP/1.1 503 F\r\nx-id: {id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n")]
#[case::of_a_status_check("HTTP/1.1 503 F\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\nHTTP/1.1 503 F\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n")]
#[case::after_an_answer("HTTP/1.1 200 O\r\nx-id: {id}\r\nx-signature: s\r\ncontent-length: 6\r\n\r\nanswerHTTP/1.1 503 F\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n")]
#[tokio::test]
async fn verify_refusal_that_is_written_again_refuses_no_other_request(
    #[case] answer: &'static str,
) {
    let faulty = MockTarget::start(Behaviour::Raw(answer)).await;
    let gateway = TestGateway::start(&[&faulty], true).await;
    let has_run = answer.starts_with("HTTP/1.1 200");
    for number in 0..8 {
        let sent = faulty.request_count();
        let (method, path) = [("GET", "/safe/"), ("POST", "/unsafe/")][number % 2];
        let told = gateway.call(method, path, "", "").await;
        let arrived = faulty.request_count() - sent;
        let expected = if has_run { "200" } else { "503" };
        assert!(told.starts_with(&format!("HTTP/1.1 {expected}")), "{told}");
        assert_eq!(arrived, 1, "{told}");
    }
}

/// A stated time that cannot be added to the clock would end the task that does so, and the answer with it.
#[tokio::test]
async fn verify_odd_keep_alive_ends_no_answer() {
    let answer = "HTTP/1.1 200 O\r\nx-id: {id}\r\nx-signature: s\r\nx-cold: 18446744073709551615\r\nkeep-alive: timeout=18446744073709551615\r\ncontent-length: 6\r\n\r\nanswer";
    let target = MockTarget::start(Behaviour::Raw(answer)).await;
    let gateway = TestGateway::start(&[&target], true).await;
    let answer = gateway.call("POST", "/unsafe/", "", "").await;
    assert!(answer.ends_with("answer"), "{answer}");
}
