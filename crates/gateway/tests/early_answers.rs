//! Tests of targets that answer before they have read the body of the request, and read on later.

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

use fleet::{catalog_of, Store};
use harness::{announcement, exchange, header, looks_complete, wait_until_serving};
use sardinemux_core::catalog::{Definition, Limits};
use sardinemux_gateway::source::{Fact, Topic};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The size of an upload: more than the sockets between two processes hold.
const UPLOAD_BYTES: usize = 16 << 20;

/// The requests after the upload.
const LOOKUPS: usize = 4;

/// Answers each request on a connection once its head has arrived, until one has a large body, of which nothing more is read.
async fn serve(mut stream: TcpStream) {
    let mut bytes = Vec::new();
    loop {
        while !bytes.windows(4).any(|end| end == b"\r\n\r\n") {
            if stream.read_buf(&mut bytes).await.unwrap_or(0) == 0 {
                return;
            }
        }
        let head = String::from_utf8_lossy(&bytes).into_owned();
        let id = header(&head, "x-id").unwrap_or_default();
        let answer = format!(
            "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\ncontent-length: 6\r\n\r\nanswer"
        );
        stream.write_all(answer.as_bytes()).await.unwrap();
        let length = header(&head, "content-length").map_or(0, |length| length.parse().unwrap());
        if length == UPLOAD_BYTES {
            std::future::pending().await
        }
        bytes.clear();
    }
}

async fn start_target() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    address
}

/// A connection on which the body of an answered request is still being written is reused for the next request, which then
/// waits for the target to read on.
#[tokio::test]
async fn verify_request_does_not_wait_for_an_upload_that_was_answered_early() {
    let address = start_target().await;
    let definition = harness::definition();
    let definition = Definition {
        limits: Limits {
            body_bytes: UPLOAD_BYTES,
            ..definition.limits
        },
        ..definition
    };
    let store = Store::default();
    store.put(Topic::Operators, "config", Some(catalog_of(definition)));
    let target = announcement("t0", &address.to_string());
    store.put(Topic::Targets, "t0", Some(Fact::Target(target)));
    let settings = harness::settings();
    harness::spawn(settings.clone(), store.source(&settings.name));
    wait_until_serving(settings.caller_address, settings.ready_address).await;
    let body = "u".repeat(UPLOAD_BYTES);
    let upload = harness::request("POST", "/unsafe/", "", &body);
    let answer = exchange(settings.caller_address, &upload).await;
    assert!(looks_complete(&answer), "{answer}");
    for _ in 0..LOOKUPS {
        let lookup = harness::request("GET", "/safe/", "", "");
        let answer = exchange(settings.caller_address, &lookup).await;
        assert!(looks_complete(&answer), "{answer}");
    }
}
