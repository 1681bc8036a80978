//! Tests of targets whose answers end in the middle of the head.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "support/harness.rs"]
mod harness;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use harness::mock::read_request;
use harness::{
    announcement, definition, header, looks_complete, request, settings, source_of, spawn,
    wait_until_serving,
};
use rstest::rstest;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

const STREAM: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";

const LENGTH: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\ncontent-length: 6\r\n\r\n";

const CONNECTION: &str =
    "HTTP/1.0 200 OK\r\nx-id: {id}\r\nx-signature: s\r\ncontent-type: text/event-stream\r\n\r\n";

const INFORMATIONAL: &str = "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\ncontent-length: 6\r\n\r\n";

const WHOLE: &str = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\ncontent-type: text/event-stream\r\ncontent-length: 20\r\n\r\nid: 1\ndata: answer\n\n";

/// How the connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Close,
    Reset,
}

/// A target that answers each request with a longer part of a head, in two pieces, and ends the connection. With `is_kept`, it
/// answers every second request, and keeps the connection.
async fn start_target(
    head: &'static str,
    end: End,
    is_kept: bool,
) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let sent = Arc::new(AtomicUsize::new(0));
    let counter = sent.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, head, end, is_kept, counter.clone()));
        }
    });
    (address, sent)
}

async fn serve(
    mut stream: TcpStream,
    head: &'static str,
    end: End,
    is_kept: bool,
    sent: Arc<AtomicUsize>,
) {
    let mut is_first = is_kept;
    while let Some(request) = read_request(&mut stream).await {
        let Some(id) = header(&request, "x-id") else {
            return;
        };
        if is_first {
            stream
                .write_all(WHOLE.replace("{id}", &id).as_bytes())
                .await
                .unwrap();
            is_first = false;
            continue;
        }
        let head = head.replace("{id}", &id);
        let count = sent.fetch_add(1, Ordering::SeqCst) % head.len();
        let (first, second) = head[..count].split_at(count / 2);
        stream.write_all(first.as_bytes()).await.unwrap();
        time::sleep(Duration::from_millis(1)).await;
        stream.write_all(second.as_bytes()).await.unwrap();
        if end == End::Reset {
            time::sleep(Duration::from_millis(1)).await;
            let socket = SockRef::from(&stream);
            socket.set_linger(Some(Duration::ZERO)).unwrap();
        }
        return;
    }
}

/// An answer whose head stops half-way has no body, and must not look like a whole one with an empty or short body.
#[rstest]
#[tokio::test]
async fn verify_answer_whose_head_stops_half_way_does_not_look_complete(
    #[values(STREAM, LENGTH, CONNECTION, INFORMATIONAL)] head: &'static str,
    #[values(End::Close, End::Reset)] end: End,
    #[values("/safe/", "/unsafe/", "/stream/", "/resumable/")] path: &str,
    #[values("HTTP/1.1", "HTTP/1.0")] version: &str,
) {
    let (address, sent) = start_target(head, end, false).await;
    verify_incomplete(address, &sent, head.len(), path, version).await;
}

/// The same on a connection over which an earlier answer was sound.
#[rstest]
#[tokio::test]
async fn verify_half_a_head_after_a_sound_answer_does_not_look_complete(
    #[values(STREAM, LENGTH, CONNECTION)] head: &'static str,
    #[values("/safe/", "/resumable/")] path: &str,
) {
    let (address, sent) = start_target(head, End::Close, true).await;
    verify_incomplete(address, &sent, head.len(), path, "HTTP/1.1").await;
}

async fn verify_incomplete(
    address: SocketAddr,
    sent: &AtomicUsize,
    parts: usize,
    path: &str,
    version: &str,
) {
    let settings = settings();
    let targets = vec![announcement("t0", &address.to_string())];
    spawn(settings.clone(), source_of(targets, Some(definition())));
    wait_until_serving(settings.caller_address, settings.ready_address).await;
    let mut tried = 0;
    while sent.load(Ordering::SeqCst) < parts {
        tried += 1;
        assert!(tried < 20 * parts, "the target gets no requests");
        let before = sent.load(Ordering::SeqCst);
        let text = request("POST", path, "", "p").replace("HTTP/1.1", version);
        let mut caller = TcpStream::connect(settings.caller_address).await.unwrap();
        caller.write_all(text.as_bytes()).await.unwrap();
        let mut bytes = Vec::new();
        // A reset connection ends the answer, as a closed one does.
        let _ = caller.read_to_end(&mut bytes).await;
        let answer = String::from_utf8(bytes).unwrap();
        let is_sound = looks_complete(&answer) && answer.contains("data: answer");
        let has_failed = sent.load(Ordering::SeqCst) > before && !is_sound;
        assert!(!has_failed || !looks_complete(&answer), "{answer:?}");
        assert!(is_sound || !answer.contains("200 OK"), "{answer:?}");
    }
}
