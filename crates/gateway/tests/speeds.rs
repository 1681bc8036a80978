//! Tests of the speeds that targets state, and that gateways tell each other.

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
use sardinemux_core::collection::{Number, Role};
use sardinemux_core::speed::Notice;
use sardinemux_gateway::supplement::Supplement;
use tokio::time;

/// The time within which a gateway sends what a test waits for.
const TIMEOUT: Duration = Duration::from_secs(10);

/// An answer that states a load of 250 percent.
const SLOW: Behaviour = Behaviour::Raw(
    "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\nx-load: 250\r\ncontent-length: 2\r\n\r\nok",
);

/// A target is slow by the answers to other gateways, and gets still more requests of this one.
#[tokio::test]
async fn verify_sample_of_a_collector_moves_requests() {
    let settings = settings();
    let slow = MockTarget::start(Behaviour::Answer).await;
    let usual = MockTarget::start(Behaviour::Answer).await;
    let targets = vec![
        announcement("slow", &slow.address.to_string()),
        announcement("usual", &usual.address.to_string()),
    ];
    let gateway = harness::spawn(settings.clone(), source(targets, true));
    wait_until_serving(settings.caller_address, settings.ready_address).await;
    let peer = Peer::join_as("peer", Some(Role::Collector), settings.peer_address).await;
    let notices = vec![Notice {
        target: Number::of("slow"),
        percent: 400,
        age_ms: 0,
    }];
    let sample = Supplement::Speeds {
        is_sum: true,
        notices,
    };
    for _ in 0..20 {
        peer.report().await;
        peer.send(&sample).await;
        time::sleep(Duration::from_millis(10)).await;
        let request = harness::request("POST", "/unsafe/", "", "p");
        let answer = exchange(settings.caller_address, &request).await;
        assert!(looks_complete(&answer), "{answer}");
    }
    assert_eq!((slow.request_count(), usual.request_count()), (0, 20));
    let samples = &gateway.metrics.speed_samples;
    assert!(samples.with_label_values(&["gateway"]).get() > 0);
}

/// What a target states to one gateway does not reach the others, or disturbs those of an earlier build.
#[tokio::test]
async fn verify_collector_passes_a_sample_on_to_its_zone() {
    let settings = settings();
    let slow = MockTarget::start(SLOW).await;
    let targets = vec![announcement("slow", &slow.address.to_string())];
    harness::spawn(settings.clone(), source(targets, true));
    wait_until_serving(settings.caller_address, settings.ready_address).await;
    let former = Peer::join(settings.peer_address).await;
    let mut peers = Vec::new();
    for name in ["p1", "p2", "p3"] {
        peers.push(Peer::join_as(name, Some(Role::Member), settings.peer_address).await);
    }
    let receive = async {
        loop {
            let request = harness::request("POST", "/unsafe/", "", "p");
            exchange(settings.caller_address, &request).await;
            former.report().await;
            let next = time::timeout(Duration::from_millis(20), former.next()).await;
            assert!(!matches!(next, Ok(Some(Supplement::Speeds { .. }))));
            for peer in &peers {
                peer.report().await;
                let next = time::timeout(Duration::from_millis(20), peer.next()).await;
                if let Ok(Some(Supplement::Speeds { is_sum, notices })) = next {
                    if is_sum {
                        return notices;
                    }
                }
            }
        }
    };
    let notices = time::timeout(TIMEOUT, receive).await.unwrap();
    assert_eq!(notices.len(), 1);
    assert_eq!(
        (notices[0].target, notices[0].percent),
        (Number::of("slow"), 250)
    );
}

/// An absurd figure takes a target out of use, or is taken for the speed.
#[rstest]
#[case::zero(
    "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\nx-load: 0\r\ncontent-length: 2\r\n\r\nok"
)]
#[case::text("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-signature: s\r\nx-load: fast\r\ncontent-length: 2\r\n\r\nok")]
#[tokio::test]
async fn verify_absurd_figure_counts_as_usual(#[case] answer: &'static str) {
    let settings = settings();
    let target = MockTarget::start(Behaviour::Raw(answer)).await;
    let targets = vec![announcement("t0", &target.address.to_string())];
    let gateway = harness::spawn(settings.clone(), source(targets, true));
    wait_until_serving(settings.caller_address, settings.ready_address).await;
    for _ in 0..3 {
        let request = harness::request("POST", "/unsafe/", "", "p");
        let answer = exchange(settings.caller_address, &request).await;
        assert!(looks_complete(&answer), "{answer}");
    }
    let samples = &gateway.metrics.speed_samples;
    assert_eq!(samples.with_label_values(&["invalid"]).get(), 3);
    assert_eq!(gateway.metrics.slow_targets.get(), 0);
}
