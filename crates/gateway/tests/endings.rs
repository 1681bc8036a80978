//! Tests of the ends of answers: which ones count as complete, by framing and content.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "support/harness.rs"]
mod harness;

use harness::mock::{Behaviour, Ending, Framing, MockTarget, Script};
use harness::{exchange, header, looks_complete, request, TestGateway};
use rstest::rstest;

/// Two events.
const WHOLE: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// Two events and a part of the third.
const PART: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda";

/// A stream whose target closes or resets the connection inside an event.
#[rstest]
#[case::closed_without_framing(Framing::Connection, Ending::Close)]
#[case::reset_without_framing(Framing::Connection, Ending::Reset)]
#[case::closed_before_the_last_chunk(Framing::Chunks, Ending::Close)]
#[case::reset_before_the_last_chunk(Framing::Chunks, Ending::Reset)]
#[case::closed_before_its_length(Framing::Length(60), Ending::Close)]
#[case::reset_before_its_length(Framing::Length(60), Ending::Reset)]
#[tokio::test]
async fn verify_stream_that_breaks_off_inside_an_event_does_not_look_complete(
    #[case] framing: Framing,
    #[case] ending: Ending,
) {
    let script = Script {
        framing,
        ending,
        body: PART,
        ..Script::default()
    };
    let target = MockTarget::start(Behaviour::Send(script)).await;
    let gateway = TestGateway::start(&[&target], true).await;
    let answer = gateway.call("POST", "/stream/", "", "p").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(!looks_complete(&answer), "{answer}");
}

/// A stream that ends after an event is complete with each framing.
#[rstest]
#[case::close(Framing::Connection)]
#[case::last_chunk(Framing::Chunks)]
#[case::length(Framing::Length(WHOLE.len()))]
#[tokio::test]
async fn verify_stream_that_ends_after_an_event_is_complete(#[case] framing: Framing) {
    let script = Script {
        framing,
        body: WHOLE,
        ending: Ending::Finish,
        ..Script::default()
    };
    let target = MockTarget::start(Behaviour::Send(script)).await;
    let gateway = TestGateway::start(&[&target], true).await;
    let answer = gateway.call("POST", "/stream/", "", "p").await;
    assert!(looks_complete(&answer), "{answer}");
    assert!(answer.contains(WHOLE), "{answer}");
}

/// A streaming route answers with events even if the head states no media type, or one with parameters or capitals.
#[rstest]
#[case::no_media_type(None)]
#[case::capitals(Some("Text/Event-Stream"))]
#[case::parameters(Some("text/event-stream; charset=utf-8"))]
#[tokio::test]
async fn verify_stream_without_a_plain_media_type_does_not_look_complete_when_cut(
    #[case] media_type: Option<&'static str>,
) {
    let script = Script {
        media_type,
        body: PART,
        ..Script::default()
    };
    let target = MockTarget::start(Behaviour::Send(script)).await;
    let gateway = TestGateway::start(&[&target], true).await;
    let answer = gateway.call("POST", "/stream/", "", "p").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(!looks_complete(&answer), "{answer}");
}

/// A buffered answer that is a stream of events is checked like one that is forwarded as it arrives.
#[rstest]
#[case::safe("GET", "/safe/", PART)]
#[case::unsafe_request("POST", "/unsafe/", PART)]
#[case::before_the_first_event("POST", "/unsafe/", "")]
#[tokio::test]
async fn verify_buffered_events_that_break_off_are_not_delivered(
    #[case] method: &str,
    #[case] path: &str,
    #[case] body: &'static str,
) {
    let script = Script {
        body,
        ..Script::default()
    };
    let target = MockTarget::start(Behaviour::Send(script)).await;
    let gateway = TestGateway::start(&[&target], true).await;
    let answer = gateway.call(method, path, "", "").await;
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
}

/// A connection that ends before any event is no evidence of an empty stream.
#[rstest]
#[case::after_the_head("")]
#[case::after_a_comment(": a\n\n")]
#[tokio::test]
async fn verify_stream_that_closes_before_its_first_event_does_not_look_complete(
    #[case] body: &'static str,
) {
    let script = Script {
        body,
        ..Script::default()
    };
    let target = MockTarget::start(Behaviour::Send(script)).await;
    let gateway = TestGateway::start(&[&target], true).await;
    let answer = gateway.call("POST", "/stream/", "", "p").await;
    assert!(!looks_complete(&answer), "{answer}");
}

/// Chunks do not exist in HTTP/1.0, so that an answer of unknown length would end with the connection.
#[rstest]
#[case::stream("/stream/")]
#[case::resumable("/resumable/")]
#[tokio::test]
async fn verify_broken_stream_does_not_look_complete_to_a_caller_without_chunks(
    #[case] path: &str,
) {
    let script = Script {
        framing: Framing::Chunks,
        ending: Ending::Reset,
        body: PART,
        ..Script::default()
    };
    let target = MockTarget::start(Behaviour::Send(script)).await;
    let gateway = TestGateway::start(&[&target], true).await;
    let request = request("POST", path, "", "p").replace("HTTP/1.1", "HTTP/1.0");
    let answer = exchange(gateway.caller_address, &request).await;
    assert!(!looks_complete(&answer), "{answer}");
}

/// A whole stream is delivered with its length instead.
#[tokio::test]
async fn verify_whole_stream_reaches_a_caller_without_chunks() {
    let target = MockTarget::start(Behaviour::Stream).await;
    let gateway = TestGateway::start(&[&target], true).await;
    let request = request("POST", "/stream/", "", "p").replace("HTTP/1.1", "HTTP/1.0");
    let answer = exchange(gateway.caller_address, &request).await;
    assert!(header(&answer, "content-length").is_some(), "{answer}");
    assert!(looks_complete(&answer), "{answer}");
    assert!(answer.ends_with("id: 4\ndata: x\n\n"), "{answer}");
}

/// A resumable stream that its connection ends inside an event is resumed, and the rest of that event is not delivered.
#[rstest]
#[case::lf("id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\nda")]
#[case::crlf("id: 1\r\ndata: x\r\n\r\nid: 2\r\ndata: x\r\n\r\nid: 3\r\n")]
#[case::cr("id: 1\rdata: x\r\rid: 2\rdata: x\r\rid: 3\rdata: x\r")]
#[tokio::test]
async fn verify_stream_that_closes_inside_an_event_is_resumed(#[case] body: &'static str) {
    let script = Script {
        body,
        ..Script::default()
    };
    let faulty = MockTarget::start(Behaviour::Send(script)).await;
    let healthy = MockTarget::start(Behaviour::Stream).await;
    let gateway = TestGateway::start(&[&faulty, &healthy], true).await;
    for _ in 0..4 {
        let answer = gateway.call("POST", "/resumable/", "", "p").await;
        assert!(looks_complete(&answer), "{answer}");
        let ids = answer
            .split(['\r', '\n'])
            .filter_map(|line| line.strip_prefix("id: "));
        assert_eq!(ids.collect::<Vec<_>>(), ["1", "2", "3", "4"], "{answer}");
    }
    let resumed = healthy.observed.lock().requests.clone();
    assert!(resumed
        .iter()
        .any(|seen| header(seen, "last-event-id").as_deref() == Some("2")));
}

/// Comments of a target that breaks off before its next event would come between the events of another one.
#[tokio::test]
async fn verify_comments_before_a_break_are_not_joined_with_another_answer() {
    let script = Script {
        body: "id: 1\ndata: x\n\n: noise\n\n\n\n: noise\n\nid: 2\nda",
        ..Script::default()
    };
    let faulty = MockTarget::start(Behaviour::Send(script)).await;
    let healthy = MockTarget::start(Behaviour::Stream).await;
    let gateway = TestGateway::start(&[&faulty, &healthy], true).await;
    for _ in 0..4 {
        let answer = gateway.call("POST", "/resumable/", "", "p").await;
        assert!(looks_complete(&answer), "{answer}");
        assert!(!answer.contains("noise"), "{answer}");
    }
    assert!(healthy.request_count() >= 4);
}

/// Comments of a whole answer are delivered where they stand.
#[rstest]
#[case::once("/stream/")]
#[case::resumable("/resumable/")]
#[tokio::test]
async fn verify_comments_of_a_whole_stream_are_delivered(#[case] path: &str) {
    let script = Script {
        framing: Framing::Chunks,
        ending: Ending::Finish,
        body: "id: 1\ndata: a\n\n: between\n\nid: 2\ndata: b\n\n: last\n\n",
        ..Script::default()
    };
    let target = MockTarget::start(Behaviour::Send(script)).await;
    let gateway = TestGateway::start(&[&target], true).await;
    let answer = gateway.call("POST", path, "", "p").await;
    assert!(looks_complete(&answer), "{answer}");
    let order = ["id: 1", ": between", "id: 2", ": last"];
    let found = order.map(|part| answer.find(part).unwrap());
    assert!(found.is_sorted(), "{answer}");
}

/// Lines may end with LF, CRLF or CR. The order of events is checked with each of them.
#[rstest]
#[case::lf("id: 1\ndata: a\n\nid: 3\ndata: c\n\n")]
#[case::crlf("id: 1\r\ndata: a\r\n\r\nid: 3\r\ndata: c\r\n\r\n")]
#[case::cr("id: 1\rdata: a\r\rid: 3\rdata: c\r\r")]
#[case::mixed("id: 1\rdata: a\n\r\nid: 3\r\ndata: c\n\r")]
#[tokio::test]
async fn verify_missing_event_ends_the_stream_with_any_line_end(#[case] body: &'static str) {
    let script = Script {
        framing: Framing::Chunks,
        ending: Ending::Finish,
        body,
        ..Script::default()
    };
    let target = MockTarget::start(Behaviour::Send(script)).await;
    let gateway = TestGateway::start(&[&target], true).await;
    let answer = gateway.call("POST", "/stream/", "", "p").await;
    assert!(!looks_complete(&answer), "{answer}");
    assert!(!answer.contains("id: 3"), "{answer}");
}

/// An event that comes twice in one answer has taken the place of another, also where a resumed answer may begin with
/// events that the caller has.
#[tokio::test]
async fn verify_resumable_stream_whose_last_event_was_replaced_is_resumed() {
    let script = Script {
        framing: Framing::Chunks,
        ending: Ending::Finish,
        body: "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 2\ndata: x\n\n",
        ..Script::default()
    };
    let faulty = MockTarget::start(Behaviour::Send(script)).await;
    let healthy = MockTarget::start(Behaviour::Replay).await;
    let gateway = TestGateway::start(&[&faulty, &healthy], true).await;
    for _ in 0..4 {
        let answer = gateway.call("POST", "/resumable/", "", "p").await;
        let ids = answer.lines().filter_map(|line| line.strip_prefix("id: "));
        assert_eq!(ids.collect::<Vec<_>>(), ["1", "2", "3", "4"], "{answer}");
        assert!(looks_complete(&answer), "{answer}");
    }
}

/// A body in a transfer coding other than chunks is not the body that the target encoded.
#[rstest]
#[case::coded(Framing::Coding("gzip"))]
#[case::coded_twice(Framing::Coding("gzip, identity"))]
#[tokio::test]
async fn verify_answer_in_another_transfer_coding_is_not_delivered(
    #[case] framing: Framing,
    #[values("/unsafe/", "/stream/")] path: &str,
) {
    let script = Script {
        framing,
        body: WHOLE,
        ..Script::default()
    };
    let target = MockTarget::start(Behaviour::Send(script)).await;
    let gateway = TestGateway::start(&[&target], true).await;
    let answer = gateway.call("POST", path, "", "").await;
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
}

/// Bytes of another answer between, before or instead of the numbered events of a stream.
#[rstest]
#[case::between("id: 1\ndata: a\n\nHTTP/1.0 200 OK\r\nx-id: r2\r\n\r\nid: 2\ndata: b\n\n")]
#[case::before("HTTP/1.0 200 OK\r\nx-id: r2\r\n\r\nid: 2\ndata: b\n\n")]
#[case::instead_of_the_last("id: 1\ndata: a\n\nHTTP/1.0 200 OK\r\nx-id: r2\r\n\r\n")]
#[tokio::test]
async fn verify_stream_with_bytes_of_another_answer_does_not_look_complete(
    #[case] body: &'static str,
    #[values(Framing::Connection, Framing::Chunks)] framing: Framing,
) {
    let script = Script {
        framing,
        ending: Ending::Finish,
        body,
        ..Script::default()
    };
    let target = MockTarget::start(Behaviour::Send(script)).await;
    let gateway = TestGateway::start(&[&target], true).await;
    let answer = gateway.call("POST", "/stream/", "", "p").await;
    assert!(!looks_complete(&answer), "{answer}");
}

/// Bytes that are no event are not forwarded as the first one, also if the rest of the stream is late.
#[tokio::test]
async fn verify_bytes_of_another_answer_are_not_forwarded() {
    let script = Script {
        body: "HTTP/1.0 200 OK\r\nx-id: r2\r\n\r\n",
        ending: Ending::Hold,
        ..Script::default()
    };
    let target = MockTarget::start(Behaviour::Send(script)).await;
    let gateway = TestGateway::start(&[&target], true).await;
    let answer = gateway.call("POST", "/stream/", "", "p").await;
    assert!(!answer.contains("HTTP/1.0"), "{answer}");
    assert!(!looks_complete(&answer), "{answer}");
}

/// A stream whose first event has been replaced by a later one of another stream.
#[rstest]
#[case::once("/stream/")]
#[case::resumable("/resumable/")]
#[tokio::test]
async fn verify_stream_that_lacks_its_first_events_does_not_look_complete(#[case] path: &str) {
    let script = Script {
        framing: Framing::Chunks,
        ending: Ending::Finish,
        body: "id: 3\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n",
        ..Script::default()
    };
    let faulty = MockTarget::start(Behaviour::Send(script)).await;
    let healthy = MockTarget::start(Behaviour::Stream).await;
    let gateway = TestGateway::start(&[&faulty, &healthy], true).await;
    for _ in 0..4 {
        let answer = gateway.call("POST", path, "", "p").await;
        let ids = answer.lines().filter_map(|line| line.strip_prefix("id: "));
        let is_whole = ids.collect::<Vec<_>>() == ["1", "2", "3", "4"];
        assert_eq!(looks_complete(&answer), is_whole, "{answer}");
    }
}

/// A caller that states its last event gets the events after it, also where the gateway does not resume the stream.
#[rstest]
#[case::once("/stream/")]
#[case::resumable("/resumable/")]
#[tokio::test]
async fn verify_stream_begins_after_the_last_event_of_its_caller(#[case] path: &str) {
    let target = MockTarget::start(Behaviour::Stream).await;
    let gateway = TestGateway::start(&[&target], true).await;
    let answer = gateway
        .call("POST", path, "last-event-id: 2\r\n", "p")
        .await;
    assert!(looks_complete(&answer), "{answer}");
    let ids = answer.lines().filter_map(|line| line.strip_prefix("id: "));
    assert_eq!(ids.collect::<Vec<_>>(), ["3", "4"], "{answer}");
}

/// The events of a resumable stream are numbered, so that nothing else can take their place.
#[tokio::test]
async fn verify_resumable_stream_of_unnumbered_bytes_is_resumed() {
    let script = Script {
        body: "HTTP/1.0 200 OK\r\nx-id: r2\r\n\r\n",
        ..Script::default()
    };
    let faulty = MockTarget::start(Behaviour::Send(script)).await;
    let healthy = MockTarget::start(Behaviour::Stream).await;
    let gateway = TestGateway::start(&[&faulty, &healthy], true).await;
    for _ in 0..4 {
        let answer = gateway.call("POST", "/resumable/", "", "p").await;
        assert!(looks_complete(&answer), "{answer}");
        assert!(!answer.contains("HTTP/1.0"), "{answer}");
        assert!(
            answer.contains("id: 1") && answer.contains("id: 4"),
            "{answer}"
        );
    }
}

/// Comments have no numbers, a byte order mark may precede the first one, and a stream that must not be resumed needs none.
#[rstest]
#[case::comments(": a\n\nid: 1\ndata: a\n\n: b\n\nid: 2\ndata: b\n\n: c\n\n")]
#[case::byte_order_mark("\u{feff}id: 1\ndata: a\n\nid: 2\ndata: b\n\n")]
#[case::no_numbers("data: a\n\ndata: b\n\n")]
#[tokio::test]
async fn verify_stream_with_comments_or_without_numbers_is_complete(#[case] body: &'static str) {
    let script = Script {
        body,
        ..Script::default()
    };
    let target = MockTarget::start(Behaviour::Send(script)).await;
    let gateway = TestGateway::start(&[&target], true).await;
    let answer = gateway.call("POST", "/stream/", "", "p").await;
    assert!(looks_complete(&answer), "{answer}");
    assert!(answer.contains(body), "{answer}");
}

/// A stream that breaks off right after its first events is cut with its head and these events, not before them. The HTTP
/// library drops what it has not flushed when a body ends with an error.
#[tokio::test]
async fn verify_stream_that_breaks_off_at_once_is_not_cut_without_an_answer() {
    let script = Script {
        framing: Framing::Chunks,
        body: "id: 1\ndata: a\n\nid: 3\ndata: c\n\n",
        ending: Ending::Finish,
        ..Script::default()
    };
    let target = MockTarget::start(Behaviour::Send(script)).await;
    let gateway = TestGateway::start(&[&target], true).await;
    let answer = gateway.call("POST", "/stream/", "", "p").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    assert!(answer.contains("id: 1\n"), "{answer:?}");
    assert!(!looks_complete(&answer), "{answer:?}");
}

/// The text of another target's error, or its head, is no part of a stream that has begun.
#[rstest]
#[case::server_error(
    "HTTP/1.1 500 E\r\nx-id: {id}\r\nx-signature: s\r\ncontent-length: 5\r\n\r\nOUCH!"
)]
#[case::unavailable(
    "HTTP/1.1 503 E\r\nx-id: {id}\r\nx-not-run: 1\r\ncontent-length: 5\r\n\r\nOUCH!"
)]
#[case::not_found(
    "HTTP/1.1 404 E\r\nx-id: {id}\r\nx-signature: s\r\ncontent-length: 5\r\n\r\nOUCH!"
)]
#[case::too_many(
    "HTTP/1.1 429 E\r\nx-id: {id}\r\nx-signature: s\r\ncontent-length: 5\r\n\r\nOUCH!"
)]
#[case::until_close(
    "HTTP/1.0 500 E\r\nx-id: {id}\r\nx-signature: s\r\nconnection: close\r\n\r\nOUCH!"
)]
#[case::page("HTTP/1.1 200 O\r\nx-id: {id}\r\nx-signature: s\r\ncontent-type: text/html\r\ncontent-length: 12\r\n\r\n<p>OUCH!</p>")]
#[case::json("HTTP/1.1 200 O\r\nx-id: {id}\r\nx-signature: s\r\ncontent-type: application/json\r\ncontent-length: 12\r\n\r\n{\"e\":\"OUCH\"}")]
#[case::error_as_event("HTTP/1.1 200 O\r\nx-id: {id}\r\nx-signature: s\r\ncontent-type: text/event-stream\r\ncontent-length: 13\r\n\r\ndata: OUCH!\n\n")]
#[case::head_in_the_body("HTTP/1.1 200 O\r\nx-id: {id}\r\nx-signature: s\r\ncontent-type: text/event-stream\r\ncontent-length: 54\r\n\r\nid: 3\ndata: x\n\nHTTP/1.1 500 E\r\ncontent-length: 5\r\n\r\nOUCH")]
#[case::wrong_event("HTTP/1.1 200 O\r\nx-id: {id}\r\nx-signature: s\r\ncontent-type: text/event-stream\r\ncontent-length: 19\r\n\r\nid: 7\ndata: OUCH!\n\n")]
#[tokio::test]
async fn verify_error_of_the_next_target_is_no_part_of_a_stream(#[case] error: &'static str) {
    let first = MockTarget::start(Behaviour::BreakStream).await;
    let next = MockTarget::start(Behaviour::Raw(error)).await;
    let gateway = TestGateway::start(&[&first, &next], true).await;
    for _ in 0..4 {
        let answer = gateway.call("POST", "/resumable/", "", "p").await;
        let has_begun = answer.contains("data: a");
        assert!(!has_begun || !answer.contains("OUCH"), "{answer}");
        assert!(!has_begun || !answer.contains("HTTP/1.1 500"), "{answer}");
        assert!(!has_begun || !looks_complete(&answer), "{answer}");
    }
}
