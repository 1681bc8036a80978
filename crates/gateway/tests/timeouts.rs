//! Tests of requests whose target does not answer before the time-out of their route.

#![expect(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a test fails by panicking"
)]

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/harness.rs"]
mod harness;

use std::time::Duration;

use fleet::{catalog_of, Store};
use futures_util::future::{self, FutureExt};
use harness::mock::{Behaviour, MockTarget};
use harness::{announcement, exchange, looks_complete, settings, wait_until_serving};
use rstest::rstest;
use sardinemux_core::catalog::Definition;
use sardinemux_gateway::source::{Fact, Topic};
use tokio::time;

/// The time-out of the routes, in milliseconds.
const TIMEOUT_MS: u64 = 700;

/// A shorter time that a caller has, in milliseconds.
const SHORT_MS: u64 = 300;

/// The users' time after the time-out within which a request has its final answer.
const ANSWERED: Duration = Duration::from_millis(500);

/// How long a target pauses in the middle of an answer, in milliseconds.
const PAUSE_MS: u64 = 5_000;

fn definition(version: u64, timeout_ms: u64) -> Definition {
    let mut definition = harness::definition();
    definition.version = version;
    for route in &mut definition.routes {
        route.timeout_ms = timeout_ms;
    }
    definition
}

/// A request that waits for a build to join is answered later than its caller has time.
#[tokio::test]
async fn verify_request_that_waits_for_a_build_is_answered_at_its_timeout() {
    let target = MockTarget::start(Behaviour::Stream).await;
    let store = Store::default();
    let change = catalog_of(definition(1, TIMEOUT_MS));
    store.put(Topic::Operators, "config", Some(change));
    let target = announcement("t0", &target.address.to_string());
    store.put(Topic::Targets, "t0", Some(Fact::Target(target)));
    let settings = settings();
    let mut source = store.source(&settings.name);
    source.advance_builds = Box::new(|_| future::pending().boxed());
    harness::spawn(settings.clone(), source);
    wait_until_serving(settings.caller_address, settings.ready_address).await;
    let headers = format!("x-deadline: {SHORT_MS}\r\n");
    let request = harness::request("POST", "/resumable/", &headers, "p");
    let limit = Duration::from_millis(SHORT_MS) + ANSWERED;
    let answer = time::timeout(limit, exchange(settings.caller_address, &request)).await;
    assert!(answer.unwrap().starts_with("HTTP/1.1 503"));
}

/// A request that is not answered at the time-out of its route keeps its caller waiting.
#[rstest]
#[tokio::test]
async fn verify_request_is_answered_at_the_timeout_of_its_route(
    #[values("/safe/", "/unsafe/", "/stream/", "/resumable/")] path: &str,
    #[values(
        Behaviour::Hang,
        Behaviour::PauseAnswer(PAUSE_MS),
        Behaviour::PauseStream(PAUSE_MS)
    )]
    behaviour: Behaviour,
    #[values(false, true)] is_passed_on: bool,
    #[values(TIMEOUT_MS, 4 * TIMEOUT_MS)] former_ms: u64,
) {
    let targets = [
        MockTarget::start(behaviour).await,
        MockTarget::start(behaviour).await,
    ];
    let store = Store::default();
    let former = catalog_of(definition(1, former_ms));
    store.put(Topic::Operators, "config", Some(former));
    for (index, target) in targets.iter().enumerate() {
        let id = format!("t{index}");
        let target = announcement(&id, &target.address.to_string());
        store.put(Topic::Targets, &id, Some(Fact::Target(target)));
    }
    let settings = settings();
    let gateway = harness::spawn(settings.clone(), store.source(&settings.name));
    wait_until_serving(settings.caller_address, settings.ready_address).await;
    let change = catalog_of(definition(2, TIMEOUT_MS));
    store.put(Topic::Operators, "config", Some(change));
    while gateway.catalog().version() < 2 {
        time::sleep(Duration::from_millis(5)).await;
    }
    let (address, headers) = match is_passed_on {
        true => (settings.peer_address, "x-hop: 7\r\nx-hop-pool: p\r\n"),
        false => (settings.caller_address, ""),
    };
    let request = harness::request("POST", path, headers, "p");
    let limit = Duration::from_millis(TIMEOUT_MS) + ANSWERED;
    let answer = time::timeout(limit, exchange(address, &request)).await;
    assert!(!looks_complete(&answer.unwrap()));
}
