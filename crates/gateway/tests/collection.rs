//! Tests of the sums of requests in flight that gateways collect and send to each other.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "support/harness.rs"]
mod harness;
#[path = "support/peer.rs"]
mod peer;

use std::time::Duration;

use harness::mock::{Behaviour, MockTarget};
use harness::{announcement, exchange, looks_complete, settings, source, wait_until_serving};
use peer::Peer;
use rstest::rstest;
use sardinemux_core::collection::{self, Message, Number, Role};
use sardinemux_gateway::supplement::Supplement;
use tokio::time;

/// The time within which a gateway sends what a test waits for.
const TIMEOUT: Duration = Duration::from_secs(10);

fn sum(gateway: &str, zone: Option<&str>, target: &str, count: u32, round: u64) -> Supplement {
    let parts = collection::split(vec![(Number::of(target), count)], round);
    Supplement::Sum(Message {
        gateway: gateway.into(),
        zone: zone.map(Into::into),
        part: parts[0].clone(),
    })
}

/// A target has many requests of gateways that have not reported to this one, and gets still more of it.
#[rstest]
#[case::all_zones(None)]
#[case::other_zone(Some("z9"))]
#[tokio::test]
async fn verify_sum_of_a_collector_counts_towards_the_load(#[case] zone: Option<&str>) {
    let mut settings = settings();
    settings.name = "g1".into();
    let busy = MockTarget::start(Behaviour::Answer).await;
    let idle = MockTarget::start(Behaviour::Answer).await;
    let targets = vec![
        announcement("busy", &busy.address.to_string()),
        announcement("idle", &idle.address.to_string()),
    ];
    harness::spawn(settings.clone(), source(targets, true));
    wait_until_serving(settings.caller_address, settings.ready_address).await;
    let peer = Peer::join_as("peer", Some(Role::Collector), settings.peer_address).await;
    for round in 1..=20 {
        peer.report().await;
        peer.send(&sum("peer", zone, "busy", 50, round)).await;
        time::sleep(Duration::from_millis(10)).await;
        let request = harness::request("POST", "/unsafe/", "", "p");
        let answer = exchange(settings.caller_address, &request).await;
        assert!(looks_complete(&answer), "{answer}");
    }
    assert_eq!((busy.request_count(), idle.request_count()), (0, 20));
}

/// The gateways of a zone do not learn of the requests of the others from their collector.
#[tokio::test]
async fn verify_collector_sends_the_sum_to_its_zone() {
    let settings = settings();
    let targets = vec![announcement("t0", "127.0.0.1:9")];
    let gateway = harness::spawn(settings.clone(), source(targets, true));
    wait_until_serving(settings.caller_address, settings.ready_address).await;
    // The gateway has the widest link, and one of the peers is the second collector.
    let mut peers = Vec::new();
    for name in ["p1", "p2", "p3"] {
        peers.push(Peer::join_as(name, Some(Role::Member), settings.peer_address).await);
    }
    let receive = async {
        loop {
            for peer in &peers {
                peer.report_running([("t0".into(), 3)].into_iter().collect())
                    .await;
            }
            for peer in &peers {
                let next = time::timeout(Duration::from_millis(20), peer.next()).await;
                if let Ok(Some(Supplement::Sum(message))) = next {
                    if message.part.running == [(Number::of("t0"), 9)] {
                        return message;
                    }
                }
            }
        }
    };
    let message = time::timeout(TIMEOUT, receive).await.unwrap();
    assert_eq!((message.gateway.as_str(), message.zone), ("g1", None));
    assert_eq!(gateway.metrics.is_collector.get(), 1);
}

/// A gateway of an earlier build logs each sum that it cannot read.
#[tokio::test]
async fn verify_gateway_of_an_earlier_build_gets_no_sums() {
    let settings = settings();
    harness::spawn(settings.clone(), source(Vec::new(), true));
    let former = Peer::join(settings.peer_address).await;
    let member = Peer::join_as("p1", Some(Role::Member), settings.peer_address).await;
    let other = Peer::join_as("p2", Some(Role::Member), settings.peer_address).await;
    let mut sums = 0;
    let receive = async {
        while sums < 5 {
            for (index, peer) in [&former, &member, &other].into_iter().enumerate() {
                peer.report().await;
                let next = time::timeout(Duration::from_millis(20), peer.next()).await;
                let is_sum = matches!(next, Ok(Some(Supplement::Sum(_))));
                assert!(!is_sum || index > 0);
                sums += usize::from(is_sum);
            }
        }
    };
    time::timeout(TIMEOUT, receive).await.unwrap();
}
