//! Tests of answers that targets end as their time is over, where nothing but the end of the connection marks the end of an
//! answer.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "support/harness.rs"]
mod harness;

use harness::mock::{Behaviour, Ending, Framing, MockTarget, Script};
use harness::{exchange, looks_complete, request, TestGateway};
use rstest::rstest;

/// Two events.
const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// The header of a caller that waits for a shorter time than its route allows.
const SHORT: &str = "x-deadline: 600\r\n";

fn script(media_type: &'static str, ending: Ending) -> Script {
    Script {
        media_type: Some(media_type),
        body: EVENTS,
        ending,
        ..Script::default()
    }
}

/// A target that stops at the limit of the route or of the caller closes its connection between two events.
#[rstest]
#[case::stream("/stream/", "text/event-stream")]
#[case::resumable("/resumable/", "text/event-stream")]
#[case::no_events("/stream/", "application/octet-stream")]
#[tokio::test]
async fn verify_stream_that_stops_at_its_limit_does_not_look_complete(
    #[case] path: &str,
    #[case] media_type: &'static str,
    #[values("", SHORT)] headers: &str,
) {
    let script = script(media_type, Ending::CloseAtLimit);
    let target = MockTarget::start(Behaviour::Send(script)).await;
    let gateway = TestGateway::start(&[&target], true).await;
    for _ in 0..3 {
        let answer = gateway.call("POST", path, headers, "p").await;
        assert!(answer.contains("id: 2"), "{answer}");
        assert!(!looks_complete(&answer), "{answer}");
    }
}

/// A buffered answer would be delivered with the length of its beginning.
#[rstest]
#[case::safe("GET", "/safe/", "text/plain")]
#[case::unsafe_request("POST", "/unsafe/", "text/plain")]
#[case::buffered_events("POST", "/unsafe/", "text/event-stream")]
#[tokio::test]
async fn verify_answer_that_stops_at_its_limit_is_not_delivered(
    #[case] method: &str,
    #[case] path: &str,
    #[case] media_type: &'static str,
    #[values("", SHORT)] headers: &str,
) {
    let script = script(media_type, Ending::CloseAtLimit);
    let target = MockTarget::start(Behaviour::Send(script)).await;
    let gateway = TestGateway::start(&[&target], true).await;
    for _ in 0..3 {
        let answer = gateway.call(method, path, headers, "").await;
        assert!(answer.starts_with("HTTP/1.1 504"), "{answer}");
    }
}

/// The end of a stream that is buffered for a caller without chunks would be marked by its length.
#[tokio::test]
async fn verify_stream_that_stops_at_its_limit_does_not_look_complete_without_chunks() {
    let script = script("text/event-stream", Ending::CloseAtLimit);
    let target = MockTarget::start(Behaviour::Send(script)).await;
    let gateway = TestGateway::start(&[&target], true).await;
    let request = request("POST", "/stream/", SHORT, "p").replace("HTTP/1.1", "HTTP/1.0");
    let answer = exchange(gateway.caller_address, &request).await;
    assert!(!looks_complete(&answer), "{answer}");
}

/// A stream that broke off goes on at another target, which stops at the same limit.
#[tokio::test]
async fn verify_resumed_stream_that_stops_at_its_limit_does_not_look_complete() {
    let resumed = Script {
        body: "id: 3\ndata: c\n\n",
        ending: Ending::CloseAtLimit,
        ..Script::default()
    };
    let faulty = MockTarget::start(Behaviour::BreakStream).await;
    let slow = MockTarget::start(Behaviour::Send(resumed)).await;
    let gateway = TestGateway::start(&[&faulty, &slow], true).await;
    let mut is_resumed = false;
    for _ in 0..6 {
        let answer = gateway.call("POST", "/resumable/", SHORT, "p").await;
        is_resumed |= answer.contains("id: 3");
        assert!(!looks_complete(&answer), "{answer}");
    }
    assert!(is_resumed);
}

/// An answer that ends well before its limit is complete, also if that limit is short or the end is not marked otherwise.
#[rstest]
#[case::stream("/stream/", "text/event-stream")]
#[case::resumable("/resumable/", "text/event-stream")]
#[case::plain("/unsafe/", "text/plain")]
#[tokio::test]
async fn verify_answer_that_ends_before_its_limit_is_complete(
    #[case] path: &str,
    #[case] media_type: &'static str,
    #[values(Framing::Connection, Framing::Chunks)] framing: Framing,
) {
    let script = Script {
        framing,
        ..script(media_type, Ending::Finish)
    };
    let target = MockTarget::start(Behaviour::Send(script)).await;
    let gateway = TestGateway::start(&[&target], true).await;
    let answer = gateway.call("POST", path, SHORT, "p").await;
    assert!(looks_complete(&answer), "{answer}");
    assert!(answer.contains("id: 2"), "{answer}");
}
