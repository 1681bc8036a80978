//! Tests of targets that send bytes without end: in a head, in a body, or in a stream.

#![expect(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a test fails by panicking"
)]

#[path = "support/endless.rs"]
mod endless;
#[path = "support/harness.rs"]
mod harness;

use std::sync::atomic::Ordering;
use std::time::Duration;

use endless::{EndlessTarget, Script};
use harness::{announcement, exchange, looks_complete, request, wait_until_serving, TIMEOUT_MS};
use rstest::rstest;
use tokio::time;

/// The bytes of one answer that a gateway and the sockets before it may hold, when it is not forwarded.
const HELD_MAX_BYTES: usize = 24 << 20;

/// A hanging test ends after this time; no result depends on it.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

const HEAD: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\n";

/// Starts a gateway before an endless target, sends a request, and returns the answer and the bytes that the target could
/// send until its connection was closed.
async fn ask(path: &str, begin: &'static str, piece: &'static str) -> (String, usize) {
    let mut target = EndlessTarget::start(Script { begin, piece }).await;
    let announcement = announcement("t0", &target.address.to_string());
    let settings = harness::settings();
    let (caller, ready) = (settings.caller_address, settings.ready_address);
    harness::spawn(settings, harness::source(vec![announcement], true));
    wait_until_serving(caller, ready).await;
    let request = request("POST", path, "", "p");
    let asked = async {
        let answer = exchange(caller, &request).await;
        target.wait_until_closed().await;
        answer
    };
    let answer = time::timeout(TEST_TIMEOUT, asked).await;
    let answer = answer.expect("the answer did not end");
    (answer, target.most_accepted.load(Ordering::SeqCst))
}

/// Returns whether an answer states a failure of a request that may have run.
fn is_failure(answer: &str) -> bool {
    answer.starts_with("HTTP/1.1 502") || answer.starts_with("HTTP/1.1 504")
}

/// A head that never ends is no answer, and no more of it is read than heads may have.
#[rstest]
#[case::status_line("HTTP/1.1 200 O", "K")]
#[case::header_value("HTTP/1.1 200 OK\r\nx-a: ", "a")]
#[case::headers("HTTP/1.1 200 OK\r\n", "x-a: a\r\n")]
#[case::informational("", "HTTP/1.1 103 Early Hints\r\n\r\n")]
#[case::no_http("", "\u{0}\u{1}")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_head_without_end_is_not_read_on(
    #[case] begin: &'static str,
    #[case] piece: &'static str,
    #[values("/unsafe/", "/stream/")] path: &str,
) {
    let (answer, accepted) = ask(path, begin, piece).await;
    assert!(is_failure(&answer), "{}", &answer[..answer.len().min(200)]);
    assert!(accepted <= HELD_MAX_BYTES, "{accepted} bytes were read");
}

/// A body that is buffered, and never ends, is not delivered.
#[rstest]
#[case::length("content-length: 99999999999\r\n\r\n", "a")]
#[case::chunks("transfer-encoding: chunked\r\n\r\n", "4\r\naaaa\r\n")]
#[case::chunk_extension("transfer-encoding: chunked\r\n\r\n4;", "a")]
#[case::trailers("transfer-encoding: chunked\r\n\r\n0\r\n", "x-a: a\r\n")]
#[case::connection("\r\n", "a")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_body_without_end_is_not_buffered_on(
    #[case] rest: &'static str,
    #[case] piece: &'static str,
) {
    let begin = Box::leak(format!("{HEAD}{rest}").into_boxed_str());
    let (answer, accepted) = ask("/unsafe/", begin, piece).await;
    assert!(is_failure(&answer), "{}", &answer[..answer.len().min(200)]);
    assert!(accepted <= HELD_MAX_BYTES, "{accepted} bytes were read");
}

/// A stream that never ends is broken off at the time limit of its route at the latest.
#[rstest]
#[case::one_event("data: ", "a")]
#[case::comments("", ": a\n\n")]
#[case::unnumbered_events("", "data: a\n\n")]
#[case::no_event("", "a\n\n")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_stream_without_end_is_broken_off(
    #[case] first: &'static str,
    #[case] piece: &'static str,
    #[values("/stream/", "/resumable/")] path: &str,
) {
    let head = format!("{HEAD}content-type: text/event-stream\r\n\r\n{first}");
    let begin = Box::leak(head.into_boxed_str());
    let sent_at = time::Instant::now();
    let (answer, _) = ask(path, begin, piece).await;
    assert!(!looks_complete(&answer));
    assert!(sent_at.elapsed() < Duration::from_millis(TIMEOUT_MS) + TEST_TIMEOUT / 2);
}
