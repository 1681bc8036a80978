//! Tests of gateways that obtain permits for the targets of a pool of few slots.

#![expect(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a test fails by panicking"
)]

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/harness.rs"]
mod harness;
#[path = "support/peer.rs"]
mod peer;

use std::sync::Arc;
use std::time::Duration;

use fleet::{catalog_of, Store};
use harness::mock::{Behaviour, MockTarget};
use harness::{announcement, exchange, looks_complete, source, wait_until_serving};
use peer::Peer;
use rstest::rstest;
use sardinemux_core::collection::{Number, Role};
use sardinemux_core::permits::Decision;
use sardinemux_core::roster::{command, query};
use sardinemux_gateway::permits;
use sardinemux_gateway::prelude::Gateway;
use sardinemux_gateway::settings::{Permits, Settings};
use sardinemux_gateway::source::{Fact, Topic};
use sardinemux_gateway::supplement::{self, Supplement};
use tokio::time;

/// The time within which gateways get to know each other, and requests are answered.
const TIMEOUT: Duration = Duration::from_secs(20);

/// The number of gateways: twice that is more than the slots of the target.
const GATEWAYS: usize = 6;

fn settings(name: &str) -> Settings {
    Settings {
        name: name.into(),
        permits: Permits::On,
        ..harness::settings()
    }
}

fn count(gateway: &Gateway, outcome: &str) -> u64 {
    let counts = &gateway.metrics.permits;
    counts.with_label_values(&["p", outcome]).get()
}

/// Starts gateways that share one target, and waits until all of them know each other.
async fn start(target: &MockTarget) -> Vec<Arc<Gateway>> {
    let store = Store::default();
    let definition = harness::definition();
    store.put(Topic::Operators, "config", Some(catalog_of(definition)));
    let entry = announcement("t0", &target.address.to_string());
    store.put(Topic::Targets, "t0", Some(Fact::Target(entry)));
    let mut gateways = Vec::new();
    for index in 0..GATEWAYS {
        let settings = settings(&format!("g{index}"));
        let source = store.source(&settings.name);
        gateways.push(harness::spawn(settings, source));
    }
    for gateway in &gateways {
        let settings = &gateway.settings;
        wait_until_serving(settings.caller_address, settings.ready_address).await;
    }
    let is_complete = |gateway: &Arc<Gateway>| {
        let now_ms = gateway.now_ms();
        gateway.members.lock().dispatchers(now_ms).count() + 1 == GATEWAYS
    };
    let complete = async {
        while !gateways.iter().all(is_complete) {
            time::sleep(Duration::from_millis(10)).await;
        }
    };
    time::timeout(TIMEOUT, complete).await.unwrap();
    gateways
}

/// Requests of several gateways reach the target together, as none knows of those of the others: at most its 8 slots and as many
/// queue places may be in use, and each request is served by a permit.
#[tokio::test]
async fn verify_requests_of_all_gateways_are_sent_by_permits() {
    const SERVICE: Duration = Duration::from_millis(40);
    const CAPACITY_MAX: usize = 16;
    let target = MockTarget::start(Behaviour::PauseAnswer(SERVICE.as_millis() as u64)).await;
    let gateways = start(&target).await;
    let calls = (0..60).map(|index: usize| {
        let address = gateways[index % GATEWAYS].settings.caller_address;
        let request = harness::request("POST", "/unsafe/", "", &format!("b{index}"));
        tokio::spawn(async move { exchange(address, &request).await })
    });
    let calls: Vec<_> = calls.collect();
    for call in calls {
        let answer = call.await.unwrap();
        assert!(looks_complete(&answer), "{answer}");
    }
    let granted: u64 = gateways.iter().map(|it| count(it, "granted")).sum();
    assert_eq!(granted, 60);
    // Each arrival beyond the capacity follows the end of an earlier one.
    let arrivals = target.observed.lock().arrivals.clone();
    for pair in arrivals.windows(CAPACITY_MAX + 1) {
        let elapsed = pair[CAPACITY_MAX].duration_since(pair[0]);
        assert!(elapsed >= SERVICE, "{elapsed:?}");
    }
}

/// A caller waits until its time-out although its request cannot be served before.
#[tokio::test]
async fn verify_request_that_cannot_be_served_in_time_is_refused_at_once() {
    let target = MockTarget::start(Behaviour::Hang).await;
    let gateways = start(&target).await;
    let address = gateways[0].settings.caller_address;
    let calls = (0..80).map(|index| {
        let request = harness::request(
            "POST",
            "/unsafe/",
            "x-deadline: 300\r\n",
            &format!("b{index}"),
        );
        tokio::spawn(async move { exchange(address, &request).await })
    });
    let calls: Vec<_> = calls.collect();
    let mut refused = 0;
    for call in calls {
        let answer = call.await.unwrap();
        if answer.starts_with("HTTP/1.1 503") {
            assert!(
                harness::header(&answer, "retry-after").is_some(),
                "{answer}"
            );
            refused += 1;
        }
    }
    assert_eq!(refused, 80 - target.request_count());
    assert!(count(&gateways[0], "refused") > 0);
}

/// The dispatcher does not answer, or answers that it has queued a request and then falls silent. Requests that must not repeat are
/// served all the same, and once.
#[rstest]
#[case::at_once(false)]
#[case::halfway(true)]
#[tokio::test]
async fn verify_request_is_served_without_its_dispatcher(#[case] acknowledges: bool) {
    let target = MockTarget::start(Behaviour::Answer).await;
    let settings = Settings {
        link_mbps: 0,
        ..settings("g1")
    };
    let targets = vec![announcement("t0", &target.address.to_string())];
    let gateway = harness::spawn(settings.clone(), source(targets, true));
    wait_until_serving(settings.caller_address, settings.ready_address).await;
    let mut peers = Vec::new();
    for name in ["p1", "p2", "p3", "p4", "p5"] {
        peers.push(Peer::join_as(name, Some(Role::Member), settings.peer_address).await);
    }
    let mut asked = 0;
    let request = harness::request("POST", "/unsafe/", "", "b");
    let call = tokio::spawn(async move { exchange(settings.caller_address, &request).await });
    let receive = async {
        while !call.is_finished() {
            for peer in &peers {
                peer.report().await;
                let next = time::timeout(Duration::from_millis(2), peer.next()).await;
                let Ok(Some(Supplement::PermitRequests(received))) = next else {
                    continue;
                };
                asked += received.requests.len();
                if acknowledges && asked == 1 {
                    peer.acknowledge(&received).await;
                }
            }
        }
    };
    time::timeout(TIMEOUT, receive).await.unwrap();
    let answer = call.await.unwrap();
    assert!(looks_complete(&answer), "{answer}");
    assert!(asked >= 2, "{asked}");
    assert_eq!(count(&gateway, "alone"), 1);
    assert_eq!(target.request_count(), 1);
}

/// Gateways ask for permits where these are off, or where the slots are many for the gateways.
#[rstest]
#[case::off(Permits::Off, 6)]
#[case::automatic(Permits::Auto, 6)]
#[case::few_gateways(Permits::On, 1)]
#[tokio::test]
async fn verify_nothing_is_sent_where_permits_do_not_apply(
    #[case] permits: Permits,
    #[case] others: usize,
) {
    let target = MockTarget::start(Behaviour::Answer).await;
    let settings = Settings {
        link_mbps: 0,
        permits,
        ..settings("g1")
    };
    let targets = vec![announcement("t0", &target.address.to_string())];
    let gateway = harness::spawn(settings.clone(), source(targets, true));
    wait_until_serving(settings.caller_address, settings.ready_address).await;
    let mut peers = Vec::new();
    for name in ["p1", "p2", "p3", "p4", "p5", "p6"]
        .into_iter()
        .take(others)
    {
        peers.push(Peer::join_as(name, Some(Role::Member), settings.peer_address).await);
    }
    let request = harness::request("POST", "/unsafe/", "", "b");
    let answer = exchange(settings.caller_address, &request).await;
    assert!(looks_complete(&answer), "{answer}");
    for peer in &peers {
        while let Ok(next) = time::timeout(Duration::from_millis(50), peer.next()).await {
            assert!(!matches!(next, Some(Supplement::PermitRequests(_))));
        }
    }
    let outcomes = ["granted", "refused", "alone"];
    assert_eq!(outcomes.map(|it| count(&gateway, it)), [0, 0, 0]);
}

/// The decisions that a dispatcher sends for some 200 requests a second take more than their part of 10 KB a second.
#[test]
fn verify_datagram_of_a_grant_is_small() {
    let grant = vec![(u64::MAX, Decision::Granted(Number(u32::MAX)))];
    let bytes = supplement::encode(&Supplement::PermitDecisions(grant)).unwrap();
    assert!(bytes.len() <= 25, "{}", bytes.len());
}

/// Permits that are automatic stay off although targets state their speed, or stay on after they have ceased to.
#[tokio::test]
async fn verify_automatic_permits_follow_the_statements_of_targets() {
    let settings = Settings {
        permits: Permits::Auto,
        ..settings("g1")
    };
    let gateway = Gateway::new(settings, harness::dialect()).unwrap();
    assert!(!permits::is_on(&gateway));
    let now_ms = gateway.now_ms();
    command::note_speed_stated(&mut gateway.roster.lock(), now_ms);
    assert!(permits::is_on(&gateway));
    assert!(!query::states_speed(
        &gateway.roster.lock(),
        now_ms + 60_000
    ));
}
