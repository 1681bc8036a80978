//! Tests of requests that go through another gateway, which has another version of the catalogue in force.

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
use harness::mock::{Behaviour, MockTarget};
use harness::{announcement, exchange, header, looks_complete, wait_until_serving};
use rstest::rstest;
use sardinemux_core::catalog::{Definition, Organisation, Share};
use sardinemux_gateway::prelude::*;
use sardinemux_gateway::settings::Settings;
use sardinemux_gateway::source::{Fact, Member, Topic};
use tokio::net::TcpSocket;
use tokio::time;

/// The time limit for what must happen in the end. It ends a hanging test; no result depends on it.
const TIME_MAX: Duration = Duration::from_secs(20);

/// Returns a version of the catalogue in which all routes lead to `pool`, and the key belongs to `organisation`.
fn definition(version: u64, pool: &str, organisation: &str) -> Definition {
    let mut definition = harness::definition();
    definition.version = version;
    let mut other = definition.pools[0].clone();
    other.name = "q".into();
    definition.pools.push(other);
    for route in &mut definition.routes {
        route.shares = vec![Share {
            pool: pool.into(),
            weight: 1,
        }];
    }
    definition.organisations = vec![Organisation {
        name: organisation.into(),
        keys: vec!["k1".into()],
        priority: None,
    }];
    definition
}

/// A gateway with a store of its own, and the targets of the pools `p` and `q` in its list.
struct Instance {
    settings: Settings,
    store: Store,
    gateway: Arc<Gateway>,
}

impl Instance {
    async fn start(
        name: &str,
        definition: Definition,
        targets: [SocketAddr; 2],
        others: &[&Settings],
    ) -> Self {
        // Each gateway reads its own store, as the only one of its zone.
        let settings = Settings {
            name: name.into(),
            zone: name.into(),
            ..harness::settings()
        };
        let store = Store::default();
        store.put(Topic::Operators, "config", Some(catalog_of(definition)));
        for (pool, address) in ["p", "q"].into_iter().zip(targets) {
            for index in 0..3 {
                let id = format!("{pool}{index}");
                let mut target = announcement(&id, &address.to_string());
                target.target.pool = pool.into();
                store.put(Topic::Targets, &id, Some(Fact::Target(target)));
            }
        }
        for other in others {
            let member = Member {
                name: other.name.clone(),
                address: other.peer_address,
            };
            store.put(Topic::Members, &other.name, Some(Fact::Member(member)));
        }
        let gateway = harness::spawn(settings.clone(), store.source(&settings.name));
        wait_until_serving(settings.caller_address, settings.ready_address).await;
        Self {
            settings,
            store,
            gateway,
        }
    }
}

/// Returns a request that another gateway passes on, with these headers besides.
fn passed_on(path: &str, headers: &str) -> String {
    let headers = format!("x-hop: 7\r\nx-hop-runs: 2\r\n{headers}");
    harness::request("POST", path, &headers, "p")
}

fn assert_not_run(answer: &str) {
    assert_eq!(header(answer, "x-hop").as_deref(), Some("7"), "{answer}");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert_eq!(
        header(answer, "x-hop-arrived").as_deref(),
        Some("0"),
        "{answer}"
    );
}

/// A gateway that is behind looks the request up in its former catalogue, and has it run as no later one allows.
#[rstest]
#[case::moved("x-hop-pool: q\r\nx-hop-catalog: 2\r\n")]
#[case::same_pool("x-hop-pool: p\r\nx-hop-catalog: 2\r\n")]
#[case::sender_of_the_former_build("x-hop-pool: q\r\n")]
#[tokio::test]
async fn verify_gateway_that_is_behind_does_not_serve_by_its_former_catalog(
    #[case] headers: &str,
    #[values("/safe/", "/unsafe/", "/stream/", "/resumable/")] path: &str,
) {
    let targets = [
        MockTarget::start(Behaviour::Answer).await,
        MockTarget::start(Behaviour::Answer).await,
    ];
    let addresses = [targets[0].address, targets[1].address];
    let other = Instance::start("g1", definition(1, "p", "o1"), addresses, &[]).await;
    let answer = exchange(other.settings.peer_address, &passed_on(path, headers)).await;
    assert_not_run(&answer);
    assert_eq!(
        targets.each_ref().map(MockTarget::request_count),
        [0, 0],
        "{answer}"
    );
}

/// A gateway that is ahead serves a request by the catalogue that it has in force, as the former one no longer counts.
#[rstest]
#[case::moved("x-hop-pool: p\r\nx-hop-catalog: 1\r\n")]
#[case::current("x-hop-pool: q\r\nx-hop-catalog: 2\r\n")]
#[tokio::test]
async fn verify_gateway_that_is_ahead_serves_by_its_later_catalog(#[case] headers: &str) {
    let targets = [
        MockTarget::start(Behaviour::Answer).await,
        MockTarget::start(Behaviour::Answer).await,
    ];
    let addresses = [targets[0].address, targets[1].address];
    let other = Instance::start("g1", definition(2, "q", "o2"), addresses, &[]).await;
    let request = passed_on("/unsafe/", headers);
    let answer = exchange(other.settings.peer_address, &request).await;
    assert!(looks_complete(&answer), "{answer}");
    assert_eq!(targets.each_ref().map(MockTarget::request_count), [0, 1]);
    let seen = targets[1].observed.lock().requests[0].clone();
    assert_eq!(header(&seen, "x-organisation").as_deref(), Some("o2"));
    assert_eq!(header(&seen, "x-hop-catalog"), None, "{seen}");
}

/// A stream that has begun in a pool goes on in another one whose build has the same name.
#[tokio::test]
async fn verify_stream_does_not_go_on_in_another_pool() {
    let targets = [
        MockTarget::start(Behaviour::Stream).await,
        MockTarget::start(Behaviour::Stream).await,
    ];
    let addresses = [targets[0].address, targets[1].address];
    let other = Instance::start("g1", definition(2, "q", "o1"), addresses, &[]).await;
    let headers = "x-hop-pool: p\r\nx-hop-catalog: 1\r\nx-hop-build: v1\r\nx-resumes: r1\r\nlast-event-id: 2\r\n";
    let request = passed_on("/resumable/", headers);
    let answer = exchange(other.settings.peer_address, &request).await;
    assert_not_run(&answer);
    assert_eq!(targets.each_ref().map(MockTarget::request_count), [0, 0]);
}

/// After each change, requests of a gateway without paths run in the former pool, or not at all, until the other gateway has the change.
#[tokio::test]
async fn verify_change_is_in_force_over_another_gateway() {
    const CHANGES: u64 = 12;
    let targets = [
        MockTarget::start(Behaviour::Answer).await,
        MockTarget::start(Behaviour::Answer).await,
    ];
    let reached = targets.each_ref().map(|target| target.address);
    let refusing = TcpSocket::new_v4().unwrap();
    refusing.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let unreached = [refusing.local_addr().unwrap(); 2];
    let other = Instance::start("g1", definition(1, "p", "o1"), reached, &[]).await;
    let others = [&other.settings];
    let entry = Instance::start("g0", definition(1, "p", "o1"), unreached, &others).await;
    let mut number = 0;
    let mut call = async || {
        number += 1;
        let text = harness::request("POST", "/unsafe/", "", "p");
        let text = text.replace("x-id: r1", &format!("x-id: r{number}"));
        exchange(entry.settings.caller_address, &text).await
    };
    for version in 2..2 + CHANGES {
        let index = (version % 2) as usize;
        let pool = ["q", "p"][index];
        let change = catalog_of(definition(version, pool, pool));
        entry
            .store
            .put(Topic::Operators, "config", Some(change.clone()));
        while entry.gateway.catalog().version() < version {
            time::sleep(Duration::from_millis(1)).await;
        }
        // The first calls in a pool find out that its paths are lost.
        let expected = &targets[1 - index];
        let former = &targets[index];
        let ran_before = former.request_count();
        let begun = time::Instant::now();
        while !looks_complete(&call().await) {
            assert!(version < 4, "version {version} is not served");
            assert!(begun.elapsed() < TIME_MAX, "no request is served");
        }
        assert_eq!(former.request_count(), ran_before, "version {version}");
        let seen = expected.observed.lock().requests.last().cloned().unwrap();
        assert_eq!(header(&seen, "x-organisation").as_deref(), Some(pool));
        other.store.put(Topic::Operators, "config", Some(change));
    }
}

/// A caller that has seen a change through another gateway sees it come back older, as its own gateway decides by the former
/// catalogue once it need not pass requests on.
#[tokio::test]
async fn verify_change_seen_through_another_gateway_does_not_come_back_older() {
    const CHANGES: u64 = 8;
    let targets = [
        MockTarget::start(Behaviour::Answer).await,
        MockTarget::start(Behaviour::Answer).await,
    ];
    let reached = targets.each_ref().map(|target| target.address);
    let refusing = TcpSocket::new_v4().unwrap();
    refusing.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    // The entry reaches the targets of `q` only, which serve the safe route.
    let entered = [refusing.local_addr().unwrap(), reached[1]];
    let of = |version: u64| {
        let mut definition = definition(version, "p", &format!("o{version}"));
        definition.routes[0].shares[0].pool = "q".into();
        definition
    };
    let other = Instance::start("g1", of(1), reached, &[]).await;
    let entry = Instance::start("g0", of(1), entered, &[&other.settings]).await;
    let mut number = 0;
    let mut call = async |path: &str| {
        number += 1;
        let text = harness::request("POST", path, "", "p");
        let text = text.replace("x-id: r1", &format!("x-id: r{number}"));
        exchange(entry.settings.caller_address, &text).await
    };
    let organisation = |target: &MockTarget| {
        let seen = target.observed.lock().requests.last().cloned();
        seen.and_then(|seen| header(&seen, "x-organisation"))
    };
    while !looks_complete(&call("/unsafe/").await) {}
    for version in 2..2 + CHANGES {
        let change = catalog_of(of(version));
        other.store.put(Topic::Operators, "config", Some(change));
        while other.gateway.catalog().version() < version {
            time::sleep(Duration::from_millis(1)).await;
        }
        let expected = Some(format!("o{version}"));
        assert!(looks_complete(&call("/unsafe/").await));
        assert_eq!(organisation(&targets[0]), expected);
        let answer = call("/safe/").await;
        assert!(looks_complete(&answer), "{answer}");
        assert_eq!(organisation(&targets[1]), expected, "version {version}");
    }
}
