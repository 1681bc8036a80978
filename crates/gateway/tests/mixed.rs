//! Tests of targets in trouble whose answers must not reach callers: parts of bodies that look whole, and statuses that are none.

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
use harness::{announcement, header, looks_complete, wait_until_serving};
use rstest::rstest;
use sardinemux_core::catalog::Definition;
use sardinemux_gateway::settings::Settings;
use sardinemux_gateway::source::{Fact, Topic};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

/// The size of an upload, in bytes: more than the buffers of sockets on the loopback interface hold.
const UPLOAD_BYTES: usize = 6_000_000;

const UPLOADS: usize = 12;

/// The time limit for an exchange. It ends a hanging test; no result depends on it.
const TIME_MAX: Duration = Duration::from_secs(20);

/// How a target ends its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Close,
    Reset,
}

/// What a target sends once it has the head of a request.
#[derive(Clone, Copy, Debug)]
struct Script {
    status: &'static str,
    headers: &'static str,
    body: &'static str,
    /// The time before the end of the connection, in milliseconds.
    pause_ms: u64,
    /// How much of the body of the request it reads before, in bytes.
    reads: usize,
    end: End,
}

async fn serve(mut stream: TcpStream, script: Script) -> Option<()> {
    let mut bytes = Vec::new();
    let mut chunk = vec![0; 65_536];
    let head = loop {
        let count = stream.read(&mut chunk).await.ok().filter(|it| *it > 0)?;
        bytes.extend_from_slice(&chunk[..count]);
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if text.contains("\r\n\r\n") {
            break text;
        }
    };
    let id = header(&head, "x-id")?;
    let Script {
        status,
        headers,
        body,
        ..
    } = script;
    let answer =
        format!("HTTP/1.1 {status} S\r\nx-id: {id}\r\nx-signature: s\r\n{headers}\r\n{body}");
    stream.write_all(answer.as_bytes()).await.ok()?;
    let mut left = script.reads;
    while left > 0 {
        let count = stream.read(&mut chunk).await.ok().filter(|it| *it > 0)?;
        left = left.saturating_sub(count);
    }
    time::sleep(Duration::from_millis(script.pause_ms)).await;
    if script.end == End::Reset {
        stream.set_zero_linger().ok()?;
    }
    Some(())
}

async fn start_target(script: Script) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, script));
        }
    });
    address
}

async fn start_gateway(script: Script) -> Settings {
    let mut definition = harness::definition();
    definition = Definition {
        limits: sardinemux_core::catalog::Limits {
            body_bytes: 2 * UPLOAD_BYTES,
            ..definition.limits
        },
        ..definition
    };
    let store = Store::default();
    store.put(Topic::Operators, "config", Some(catalog_of(definition)));
    for index in 0..2 {
        let address = start_target(script).await.to_string();
        let id = format!("t{index}");
        let target = announcement(&id, &address);
        store.put(Topic::Targets, &id, Some(Fact::Target(target)));
    }
    let settings = harness::settings();
    harness::spawn(settings.clone(), store.source(&settings.name));
    wait_until_serving(settings.caller_address, settings.ready_address).await;
    settings
}

/// Sends a request and returns what comes back, also while the request is still being written.
async fn exchange(address: SocketAddr, request: Vec<u8>) -> String {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut reader, mut writer) = stream.into_split();
    let writing = tokio::spawn(async move {
        let _ = writer.write_all(&request).await;
        writer
    });
    let mut bytes = Vec::new();
    // A reset connection ends the answer, as a closed one does.
    let _ = time::timeout(TIME_MAX, reader.read_to_end(&mut bytes)).await;
    writing.abort();
    String::from_utf8_lossy(&bytes).into_owned()
}

async fn call(settings: &Settings, path: &str, is_passed_on: bool, body: &str) -> String {
    let (address, headers) = match is_passed_on {
        true => (settings.peer_address, "x-hop: 7\r\nx-hop-pool: p\r\n"),
        false => (settings.caller_address, ""),
    };
    let request = harness::request("POST", path, headers, body);
    exchange(address, request.into_bytes()).await
}

/// A part of a body that has no length looks whole, as the connection broke while the request was being written.
#[rstest]
#[tokio::test]
async fn verify_part_of_an_answer_to_an_upload_does_not_look_complete(
    #[values("/safe/", "/unsafe/", "/stream/", "/resumable/")] path: &str,
    #[values(false, true)] is_passed_on: bool,
    #[values(
        ("", "part"),
        ("content-type: text/event-stream\r\n", "id: 1\ndata: x\n\n"),
        ("content-type: text/event-stream\r\n", "data: x\n\n"),
        ("transfer-encoding: chunked\r\n", "4\r\npart\r\n"),
        ("content-length: 9\r\n", "part")
    )]
    answer: (&'static str, &'static str),
    #[values((0, 0), (5, 0), (5, 300_000))] timing: (u64, usize),
) {
    let (headers, body) = answer;
    let script = Script {
        status: "200",
        headers,
        body,
        pause_ms: timing.0,
        reads: timing.1,
        end: End::Reset,
    };
    let settings = start_gateway(script).await;
    let upload = "u".repeat(UPLOAD_BYTES);
    for _ in 0..UPLOADS {
        let answer = call(&settings, path, is_passed_on, &upload).await;
        assert!(!looks_complete(&answer), "{answer:?}");
    }
}

/// An answer with a status that is none, or that ends no exchange, reaches the caller as an answer.
#[rstest]
#[tokio::test]
async fn verify_answer_without_a_valid_status_does_not_reach_the_caller(
    #[values("/safe/", "/unsafe/", "/stream/", "/resumable/")] path: &str,
    #[values(false, true)] is_passed_on: bool,
    #[values("000", "099", "101", "600", "999", "20", "2000", "abc", "-200")] status: &'static str,
) {
    let script = Script {
        status,
        headers: "content-length: 6\r\n",
        body: "answer",
        pause_ms: 20,
        reads: 0,
        end: End::Close,
    };
    let settings = start_gateway(script).await;
    for body in ["", "p"] {
        let answer = call(&settings, path, is_passed_on, body).await;
        let own = answer.split(' ').nth(1).unwrap_or_default().to_owned();
        assert!(["502", "503", "504"].contains(&own.as_str()), "{answer:?}");
        assert!(header(&answer, "x-signature").is_none(), "{answer:?}");
    }
}
