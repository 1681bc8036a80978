//! Tests of refusals that are decided before the body of the request has arrived.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "support/harness.rs"]
mod harness;

use std::time::Duration;

use harness::mock::{Behaviour, MockTarget};
use harness::{request, TestGateway};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time;

/// The number of requests of each kind, each on a connection of its own.
const REQUESTS: usize = 20;

/// The number of pieces in which the body follows the head.
const PIECES: usize = 4;

/// The pause before each piece, in milliseconds.
const PAUSE_MS: u64 = 5;

/// What a caller got that stops at the first write that fails.
#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    Status(String),
    BrokenWrite(usize),
    Nothing,
}

/// Sends a head and then the body in pieces, and returns what came back.
async fn send_in_pieces(stream: &mut TcpStream, head: &str, body: &str) -> Outcome {
    stream.write_all(head.as_bytes()).await.unwrap();
    for (index, piece) in body
        .as_bytes()
        .chunks((body.len() / PIECES).max(1))
        .enumerate()
    {
        time::sleep(Duration::from_millis(PAUSE_MS)).await;
        if stream.write_all(piece).await.is_err() {
            return Outcome::BrokenWrite(index);
        }
    }
    let mut bytes = vec![0; 4_096];
    match stream.read(&mut bytes).await {
        Ok(count) if count >= 12 => {
            Outcome::Status(String::from_utf8_lossy(&bytes[9..12]).into_owned())
        }
        _ => Outcome::Nothing,
    }
}

/// A caller that sends its whole request reads the refusal, and none of its writes fails.
#[rstest]
#[case::unknown_route("/none/", "x-key: k1", 800, "404")]
#[case::unknown_key("/unsafe/", "x-key: none", 800, "401")]
#[case::no_id("/unsafe/", "x-id-missing: 1", 800, "400")]
#[case::too_large("/unsafe/", "x-key: k1", 40_000, "413")]
#[case::not_ready("/unsafe/", "x-key: k1", 800, "503")]
#[tokio::test]
async fn verify_refusal_is_read_by_a_caller_that_still_sends(
    #[case] path: &str,
    #[case] header: &str,
    #[case] length: usize,
    #[case] status: &str,
    #[values(false, true)] is_chunked: bool,
) {
    let target = MockTarget::start(Behaviour::Answer).await;
    let gateway = match status {
        "503" => TestGateway::start(&[], false).await,
        _ => TestGateway::start(&[&target], true).await,
    };
    let body = "b".repeat(length);
    let framing = match is_chunked {
        true => "transfer-encoding: chunked".to_owned(),
        false => format!("content-length: {length}"),
    };
    let encoded = match is_chunked {
        true => format!("{length:x}\r\n{body}\r\n0\r\n\r\n"),
        false => body,
    };
    let id = match status {
        "400" => "",
        _ => "x-id: r1\r\n",
    };
    let head =
        format!("POST {path} HTTP/1.1\r\nhost: test.example\r\n{id}{header}\r\n{framing}\r\n\r\n");
    for _ in 0..REQUESTS {
        let mut stream = TcpStream::connect(gateway.caller_address).await.unwrap();
        if status != "503" {
            // The refused request is the second one on its connection.
            let first = request("GET", "/safe/", "", "").replace("connection: close\r\n", "");
            let outcome = send_in_pieces(&mut stream, &first, "").await;
            assert_eq!(outcome, Outcome::Status("200".into()));
        }
        let outcome = send_in_pieces(&mut stream, &head, &encoded).await;
        assert_eq!(outcome, Outcome::Status(status.into()));
    }
    assert!(target
        .observed
        .lock()
        .requests
        .iter()
        .all(|seen| seen.starts_with("GET")));
}

/// A caller that waits to be told to send its body gets the refusal instead.
#[tokio::test]
async fn verify_refused_caller_is_not_told_to_send_its_body() {
    let gateway = TestGateway::start(&[], false).await;
    let mut stream = TcpStream::connect(gateway.caller_address).await.unwrap();
    let head = "POST /unsafe/ HTTP/1.1\r\nhost: test.example\r\nx-id: r1\r\nx-key: k1\r\n\
                expect: 100-continue\r\ncontent-length: 800\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
}

/// What a refused caller sends without end is not read for ever.
#[tokio::test]
async fn verify_body_without_end_of_a_refused_caller_is_not_read_on() {
    let gateway = TestGateway::start(&[], false).await;
    let mut stream = TcpStream::connect(gateway.caller_address).await.unwrap();
    let head = "POST /unsafe/ HTTP/1.1\r\nhost: test.example\r\nx-id: r1\r\nx-key: k1\r\n\
                transfer-encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    let chunk = format!("10000\r\n{}\r\n", "b".repeat(1 << 16));
    while stream.write_all(chunk.as_bytes()).await.is_ok() {}
}

/// A caller that was told to send its body reads the refusal of that body. Only the length of a chunked one is not known before.
#[tokio::test]
async fn verify_refusal_is_read_by_a_caller_that_was_told_to_send() {
    let target = MockTarget::start(Behaviour::Answer).await;
    let gateway = TestGateway::start(&[&target], true).await;
    let head = "POST /unsafe/ HTTP/1.1\r\nhost: test.example\r\nx-id: r1\r\nx-key: k1\r\n\
                expect: 100-continue\r\ntransfer-encoding: chunked\r\n\r\n";
    let body = format!("{:x}\r\n{}\r\n0\r\n\r\n", 40_000, "b".repeat(40_000));
    for _ in 0..REQUESTS {
        let mut stream = TcpStream::connect(gateway.caller_address).await.unwrap();
        stream.write_all(head.as_bytes()).await.unwrap();
        let mut bytes = [0; 25];
        stream.read_exact(&mut bytes).await.unwrap();
        assert_eq!(&bytes, b"HTTP/1.1 100 Continue\r\n\r\n");
        let outcome = send_in_pieces(&mut stream, "", &body).await;
        assert_eq!(outcome, Outcome::Status("413".into()));
    }
}

/// A caller whose body is too large by its stated length is not told to send it, and one that sends it all the same reads the refusal.
#[rstest]
#[case::waits("expect: 100-continue\r\n", "")]
#[case::sends("", "b")]
#[tokio::test]
async fn verify_body_that_is_too_large_by_its_length_is_refused_unread(
    #[case] expect: &str,
    #[case] byte: &str,
) {
    let target = MockTarget::start(Behaviour::Answer).await;
    let gateway = TestGateway::start(&[&target], true).await;
    let head = format!(
        "POST /unsafe/ HTTP/1.1\r\nhost: test.example\r\nx-id: r1\r\nx-key: k1\r\n{expect}\
         content-length: 40000\r\n\r\n"
    );
    for _ in 0..REQUESTS {
        let mut stream = TcpStream::connect(gateway.caller_address).await.unwrap();
        let outcome = send_in_pieces(&mut stream, &head, &byte.repeat(40_000)).await;
        assert_eq!(outcome, Outcome::Status("413".into()));
    }
    assert!(target.observed.lock().requests.is_empty());
}

/// A caller that announces that it waits and then sends its body all the same reads the refusal.
#[tokio::test]
async fn verify_refusal_is_read_by_a_caller_that_does_not_wait_to_be_told() {
    let gateway = TestGateway::start(&[], false).await;
    let head = "POST /unsafe/ HTTP/1.1\r\nhost: test.example\r\nx-id: r1\r\nx-key: k1\r\n\
                expect: 100-continue\r\ncontent-length: 800\r\n\r\n";
    for _ in 0..REQUESTS {
        let mut stream = TcpStream::connect(gateway.caller_address).await.unwrap();
        let outcome = send_in_pieces(&mut stream, head, &"b".repeat(800)).await;
        assert_eq!(outcome, Outcome::Status("503".into()));
    }
}
