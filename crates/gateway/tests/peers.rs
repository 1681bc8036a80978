//! Tests of the queries between gateways over paths that exchange the answers of two connections, or let few bytes pass.

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

use fleet::{catalog, catalog_of, Store};
use harness::{announcement, definition, dialect, settings};
use rstest::rstest;
use sardinemux_gateway::client::Progress;
use sardinemux_gateway::peers::{self, Scope};
use sardinemux_gateway::prelude::*;
use sardinemux_gateway::source::{Fact, Topic};
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
    let progress = Progress::default();
    let fetch = |topic| peers::fetch_update(&follower, address, topic, Scope::Whole, &progress);
    let (operators, targets) = tokio::join!(fetch(Topic::Operators), fetch(Topic::Targets));
    operators.unwrap_err();
    targets.unwrap_err();
    for topic in [Topic::Operators, Topic::Targets] {
        let update = fetch(topic).await.unwrap();
        assert!(update.is_complete);
        assert_eq!(update.batch.entries.len(), 1);
    }
}

/// The number of routes of a large catalogue.
const ROUTES: usize = 1_400;

/// The number of pieces in which an answer passes a narrow link.
const PIECES: usize = 20;

/// The users' bound on the time until a change is in force.
const PROPAGATION_MAX: Duration = Duration::from_secs(2);

/// Returns a gateway that has the large catalogue of version 2 and no history of changes, as it has started after the last one.
async fn start_with_large_catalog() -> Arc<Gateway> {
    let store = Store::default();
    store.put(Topic::Operators, "config", Some(catalog(1)));
    let mut definition = definition();
    definition.version = 2;
    let first = definition.routes[0].clone();
    definition.routes = (0..ROUTES)
        .map(|index| {
            let mut route = first.clone();
            route.name = format!("r{index}").into();
            route.prefix = format!("/r{index}/").into();
            route
        })
        .collect();
    store.put(Topic::Operators, "config", Some(catalog_of(definition)));
    let target = announcement("t0", "127.0.0.1:1");
    store.put(Topic::Targets, "t0", Some(Fact::Target(target)));
    let peer = harness::spawn(settings(), store.source(&"g2".into()));
    while !peer.can_serve() {
        time::sleep(Duration::from_millis(10)).await;
    }
    peer
}

/// Returns a gateway that has version 1 of the catalogue.
async fn start_follower() -> Arc<Gateway> {
    let store = Store::default();
    store.put(Topic::Operators, "config", Some(catalog(1)));
    let follower = harness::spawn(settings(), store.source(&"g1".into()));
    while follower.catalog().version() == 0 {
        time::sleep(Duration::from_millis(10)).await;
    }
    follower
}

/// Forwards a query, and passes this many of the pieces of the answer on, one each `interval`.
async fn forward_slowly(
    listener: TcpListener,
    server: SocketAddr,
    pieces: usize,
    interval: Duration,
) {
    let (mut client, _) = listener.accept().await.unwrap();
    let mut server = TcpStream::connect(server).await.unwrap();
    let mut bytes = vec![0; MESSAGE_BYTES];
    let count = client.read(&mut bytes).await.unwrap();
    server.write_all(&bytes[..count]).await.unwrap();
    let mut answer = Vec::new();
    // The server closes the connection when it has been idle; the answer has come by then.
    let _ = time::timeout(Duration::from_millis(200), server.read_to_end(&mut answer)).await;
    for piece in answer.chunks(answer.len().div_ceil(PIECES)).take(pieces) {
        if client.write_all(piece).await.is_err() {
            return;
        }
        time::sleep(interval).await;
    }
    std::future::pending().await
}

/// A gateway that gives up an answer which is still arriving asks for it again and again, and never has the change in force.
#[rstest]
#[case::wide(Duration::from_millis(5))]
#[case::narrow(Duration::from_millis(70))]
#[tokio::test]
async fn verify_large_catalog_over_a_narrow_link_is_received(#[case] interval: Duration) {
    let (peer, follower) = tokio::join!(start_with_large_catalog(), start_follower());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = peer.settings.peer_address;
    tokio::spawn(forward_slowly(listener, server, PIECES, interval));
    let scope = Scope::Changes { waits: true };
    let progress = Progress::default();
    let update = peers::fetch_update(&follower, address, Topic::Operators, scope, &progress).await;
    let entries = update.unwrap().batch.entries;
    assert!(
        matches!(&entries[..], [entry] if matches!(&entry.fact, Some(Fact::Catalog(it)) if it.routes.len() == ROUTES))
    );
}

/// A gateway that waits for the rest of an answer that does not come has no change in force meanwhile.
#[rstest]
#[case::before_the_head(0)]
#[case::behind_the_head(1)]
#[case::half_way(PIECES / 2)]
#[tokio::test]
async fn verify_gateway_whose_answer_stops_is_given_up(#[case] pieces: usize) {
    let (peer, follower) = tokio::join!(start_with_large_catalog(), start_follower());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = peer.settings.peer_address;
    tokio::spawn(forward_slowly(listener, server, pieces, Duration::ZERO));
    let scope = Scope::Changes { waits: true };
    let progress = Progress::default();
    let fetch = peers::fetch_update(&follower, address, Topic::Operators, scope, &progress);
    let update = time::timeout(PROPAGATION_MAX, fetch).await.unwrap();
    update.unwrap_err();
}
