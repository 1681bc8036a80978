//! Tests of the queries between gateways over a path that exchanges the answers of two connections.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "support/harness.rs"]
mod harness;

use std::net::SocketAddr;
use std::time::Duration;

use harness::{announcement, dialect, settings};
use sardinemux_gateway::peers::{self, Scope};
use sardinemux_gateway::prelude::*;
use sardinemux_gateway::source::Topic;
use tokio::io::{self, AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

/// The greatest size of a message in these tests, in bytes.
const MESSAGE_BYTES: usize = 64 * 1024;

/// Accepts a connection and forwards one request. Returns the connection, that of the server, and the server's answer.
async fn forward_request(
    listener: &TcpListener,
    server: SocketAddr,
) -> (TcpStream, TcpStream, Vec<u8>) {
    let (mut client, _) = listener.accept().await.unwrap();
    let mut server = TcpStream::connect(server).await.unwrap();
    let mut bytes = vec![0; MESSAGE_BYTES];
    let count = client.read(&mut bytes).await.unwrap();
    server.write_all(&bytes[..count]).await.unwrap();
    let count = server.read(&mut bytes).await.unwrap();
    bytes.truncate(count);
    (client, server, bytes)
}

/// Exchanges the first answers of the first two connections, and forwards all other bytes unchanged.
async fn exchange_first_answers(listener: TcpListener, server: SocketAddr) {
    let mut first = forward_request(&listener, server).await;
    let mut second = forward_request(&listener, server).await;
    first.0.write_all(&second.2).await.unwrap();
    second.0.write_all(&first.2).await.unwrap();
    for (mut client, mut server, _) in [first, second] {
        tokio::spawn(async move { io::copy_bidirectional(&mut client, &mut server).await });
    }
    loop {
        let (mut client, _) = listener.accept().await.unwrap();
        let mut server = TcpStream::connect(server).await.unwrap();
        tokio::spawn(async move { io::copy_bidirectional(&mut client, &mut server).await });
    }
}

/// An answer to the query for another topic is an error. Taken for the own one, an empty list would remove every target,
/// and one of targets would pass for the operators' entries.
#[tokio::test]
async fn verify_exchanged_answer_of_a_gateway_is_not_applied() {
    let target = announcement("e1", "127.0.0.1:1");
    let peer = harness::spawn(settings(), harness::source(vec![target], true));
    while !peer.can_serve() {
        time::sleep(Duration::from_millis(10)).await;
    }
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(exchange_first_answers(listener, peer.settings.peer_address));
    let follower = Gateway::new(settings(), dialect()).unwrap();
    let fetch = |topic| peers::fetch_update(&follower, address, topic, Scope::Whole);
    let (operators, targets) = tokio::join!(fetch(Topic::Operators), fetch(Topic::Targets));
    operators.unwrap_err();
    targets.unwrap_err();
    for topic in [Topic::Operators, Topic::Targets] {
        let update = fetch(topic).await.unwrap();
        assert!(update.is_complete);
        assert_eq!(update.batch.entries.len(), 1);
    }
}
