//! Tests of where requests run: on routes that have been added, and at addresses that another pool has taken over.

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

use fleet::{catalog_of, Fleet, Store};
use harness::mock::{Behaviour, MockTarget};
use harness::{announcement, exchange, header, looks_complete, settings, wait_until_serving};
use rstest::rstest;
use sardinemux_core::catalog::{Definition, Kind, Share};
use sardinemux_gateway::source::{Fact, Topic};
use tokio::time;

/// The users' bound on the time until a change is in force at all gateways.
const PROPAGATION_MAX: Duration = Duration::from_secs(2);

/// The time before a test for which a fleet runs undisturbed, so that the choice of its readers is stable.
const SETTLING_TIME: Duration = Duration::from_millis(2_500);

/// The number of requests on each route, at each gateway.
const CALLS: usize = 4;

/// Returns a catalogue with the routes of all tests, and `added` ones to pool `q`.
fn definition(version: u64, added: usize) -> Definition {
    let mut definition = harness::definition();
    definition.version = version;
    let mut pool = definition.pools[0].clone();
    pool.name = "q".into();
    definition.pools.push(pool);
    let mut route = definition.routes[0].clone();
    route.shares = vec![Share {
        pool: "q".into(),
        weight: 1,
    }];
    for index in 0..added {
        route.name = format!("added{index}").into();
        route.prefix = format!("/added/{index}/").into();
        route.kind = [Kind::Safe, Kind::Unsafe][index % 2];
        definition.routes.push(route.clone());
    }
    definition
}

fn put_target(store: &Store, id: &str, pool: &str, address: SocketAddr) {
    let mut target = announcement(id, &address.to_string());
    target.target.pool = pool.into();
    store.put(Topic::Targets, id, Some(Fact::Target(target)));
}

async fn count_served(address: SocketAddr, path: &str) -> usize {
    let mut served = 0;
    for _ in 0..CALLS {
        let request = harness::request("POST", path, "", "p");
        served += usize::from(looks_complete(&exchange(address, &request).await));
    }
    served
}

/// A gateway that does not learn of added routes, or of the targets of their pool, serves them less than the first ones.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn verify_added_routes_are_served_like_the_first(
    #[values(1, 1_400)] added: usize,
    #[values(false, true)] are_readers_rejected: bool,
) {
    let (first, other) = tokio::join!(
        MockTarget::start(Behaviour::Answer),
        MockTarget::start(Behaviour::Answer)
    );
    let store = Store::default();
    store.put(
        Topic::Operators,
        "config",
        Some(catalog_of(definition(1, 0))),
    );
    put_target(&store, "t0", "p", first.address);
    let fleet = Fleet::start_before(store, 9, 3).await;
    time::sleep(SETTLING_TIME).await;
    if are_readers_rejected {
        fleet.store.reject_readers(Topic::Operators);
        fleet.store.reject_readers(Topic::Targets);
    }
    let change = catalog_of(definition(2, added));
    fleet.store.put(Topic::Operators, "config", Some(change));
    put_target(&fleet.store, "u0", "q", other.address);
    time::sleep(PROPAGATION_MAX).await;
    let last = format!("/added/{}/", added - 1);
    for address in &fleet.callers {
        let served = count_served(*address, "/safe/").await;
        assert_eq!(served, CALLS, "the first route");
        assert_eq!(count_served(*address, &last).await, served, "{last}");
    }
}

/// A request runs at a target of another pool, which has taken over the address of one that is still listed.
#[rstest]
#[tokio::test]
async fn verify_target_at_a_reused_address_runs_nothing_of_its_former_pool(
    #[values("/safe/", "/unsafe/", "/stream/", "/resumable/")] path: &str,
    #[values(false, true)] is_passed_on: bool,
    #[values(false, true)] is_new_target_listed: bool,
) {
    let reused = MockTarget::start(Behaviour::Named("u0")).await;
    let behaviour = match path {
        "/stream/" | "/resumable/" => Behaviour::Stream,
        _ => Behaviour::Answer,
    };
    let sound = MockTarget::start(behaviour).await;
    let store = Store::default();
    store.put(
        Topic::Operators,
        "config",
        Some(catalog_of(definition(1, 1))),
    );
    put_target(&store, "t0", "p", reused.address);
    put_target(&store, "t1", "p", sound.address);
    if is_new_target_listed {
        put_target(&store, "u0", "q", reused.address);
    }
    let settings = settings();
    harness::spawn(settings.clone(), store.source(&settings.name));
    wait_until_serving(settings.caller_address, settings.ready_address).await;
    let (address, headers) = match is_passed_on {
        true => (settings.peer_address, "x-hop: 7\r\nx-hop-pool: p\r\n"),
        false => (settings.caller_address, ""),
    };
    for _ in 0..CALLS {
        let answer = exchange(address, &harness::request("POST", path, headers, "p")).await;
        assert!(looks_complete(&answer), "{answer}");
    }
    assert_eq!(sound.request_count(), CALLS);
    if is_new_target_listed {
        assert_eq!(
            count_served(settings.caller_address, "/added/0/").await,
            CALLS
        );
    }
    let arrived = reused.observed.lock().requests.clone();
    for request in arrived {
        let is_meant = header(&request, "x-expect").as_deref() == Some("u0");
        assert_eq!(is_meant, request.starts_with("POST /added/0/"), "{request}");
    }
}
