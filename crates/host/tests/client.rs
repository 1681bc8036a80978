//! Tests of the HTTP client.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::io::{Read, Write};
use std::net::TcpListener;

use rstest::rstest;
use sardinemux_host::client;
use sardinemux_host::errors::Error;

/// A body without end is not read on, whatever its framing.
#[rstest]
#[case::chunks("transfer-encoding: chunked\r\n\r\n", "4\r\naaaa\r\n")]
#[case::connection("connection: close\r\n\r\n", "aaaa")]
#[tokio::test]
async fn verify_body_without_end_is_not_read_on(#[case] rest: &str, #[case] piece: &str) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}/", listener.local_addr().unwrap());
    let begin = format!("HTTP/1.1 200 OK\r\n{rest}");
    let pieces = piece.repeat(1_000);
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 4_096];
        assert!(stream.read(&mut request).unwrap() > 0);
        stream.write_all(begin.as_bytes()).unwrap();
        while stream.write_all(pieces.as_bytes()).is_ok() {}
    });
    let client = client::build(client::Settings::default()).unwrap();
    let answer = client.get(url).send().await.unwrap();
    let read = client::read_body(answer, 100_000).await;
    assert!(
        matches!(read, Err(Error::Oversized { limit: 100_000 })),
        "{read:?}"
    );
    // The connection is closed by a task of this runtime, which must not be blocked.
    tokio::task::spawn_blocking(move || server.join())
        .await
        .unwrap()
        .unwrap();
}
