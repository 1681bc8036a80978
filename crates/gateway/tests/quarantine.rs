//! Tests of prompt parts and of requests under which engines crash, in a fleet of gateways.

#![expect(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a test fails by panicking"
)]

#[path = "support/engines.rs"]
mod engines;
#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/harness.rs"]
mod harness;
#[path = "support/peer.rs"]
mod peer;

use std::net::SocketAddr;
use std::time::Duration;

use engines::{Engines, FATAL_BODY, FATAL_PART};
use fleet::{catalog_of, Store};
use harness::{exchange, looks_complete, wait_until_serving};
use peer::Peer;
use rstest::rstest;
use sardinemux_core::collection::Role;
use sardinemux_core::hash;
use sardinemux_core::quarantine::{Notice, Suspicion};
use sardinemux_gateway::settings::Settings;
use sardinemux_gateway::source::Topic;
use sardinemux_gateway::supplement::Supplement;
use tokio::time;

/// The number of crashes after which the users' bound applies.
const CRASHES: usize = 5;

/// The users' bound on the requests with a fatal part that reach engines later than [`STABLE_WINDOW`] after the last of
/// [`CRASHES`] crashes.
const ARRIVALS_MAX: usize = 3;

/// The users' time for the gateways to agree.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// The time between two fatal requests, more than a moment in which crashes have a common cause.
const CRASH_INTERVAL: Duration = Duration::from_millis(150);

/// Starts gateways of one store, and returns the addresses of their servers for callers.
async fn start_gateways(store: &Store, names: &[&str]) -> Vec<SocketAddr> {
    store.put(
        Topic::Operators,
        "config",
        Some(catalog_of(harness::definition())),
    );
    let mut addresses = Vec::new();
    for name in names {
        let settings = Settings {
            name: (*name).into(),
            ..harness::settings()
        };
        let (caller, ready) = (settings.caller_address, settings.ready_address);
        let source = store.source(&settings.name);
        harness::spawn(settings, source);
        wait_until_serving(caller, ready).await;
        addresses.push(caller);
    }
    addresses
}

/// Sends a request whose prompt has a common first part, the given one and one of its own.
async fn ask(address: SocketAddr, path: &str, part: &str, number: usize) -> String {
    let headers = format!("x-prompt: common:10,{part},own{number}:10\r\n");
    exchange(address, &harness::request("POST", path, &headers, "p")).await
}

/// One part of a prompt crashes each engine that begins to answer it.
#[rstest]
#[case::stream("/stream/")]
#[case::resumable("/resumable/")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_part_that_crashes_engines_is_not_sent_to_one_after_the_other(#[case] path: &str) {
    let store = Store::default();
    let engines = Engines::start(&store, 4).await;
    let gateways = start_gateways(&store, &["g0", "g1", "g2"]).await;
    for number in 0..9 {
        let answer = ask(gateways[number % 3], path, "sound:10", number).await;
        assert!(looks_complete(&answer), "{answer}");
    }
    for number in 10..30 {
        if engines.crashes() >= CRASHES {
            break;
        }
        ask(gateways[number % 3], path, FATAL_PART, number).await;
    }
    time::sleep(STABLE_WINDOW).await;
    let known = engines.fatal_arrivals();
    for number in 30..45 {
        ask(gateways[number % 3], path, FATAL_PART, number).await;
    }
    let later = engines.fatal_arrivals() - known;
    assert!(later <= ARRIVALS_MAX, "{later} requests reached engines");
    for number in 50..59 {
        let answer = ask(gateways[number % 3], path, "sound:10", number).await;
        assert!(looks_complete(&answer), "{answer}");
    }
}

/// The number of crashes under one request after which the users' bound applies.
const REQUEST_CRASHES: usize = 3;

/// A request crashes each engine that begins to run it, and comes again at any gateway.
#[rstest]
#[case::safe("GET", "/safe/a?b=c")]
#[case::unsafe_request("POST", "/unsafe/")]
#[case::stream("POST", "/stream/")]
#[case::resumable("POST", "/resumable/")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_request_that_crashes_engines_is_not_sent_to_one_after_the_other(
    #[case] method: &str,
    #[case] path: &str,
) {
    let store = Store::default();
    let engines = Engines::start(&store, 4).await;
    let gateways = start_gateways(&store, &["g0", "g1", "g2"]).await;
    let ask = async |number: usize, body: &str| {
        let request = harness::request(method, path, "", body);
        exchange(gateways[number % 3], &request).await
    };
    for number in 0..9 {
        let answer = ask(number, &format!("sound {number}")).await;
        assert!(looks_complete(&answer), "{answer}");
    }
    for number in 0..30 {
        if engines.crashes() >= REQUEST_CRASHES {
            break;
        }
        ask(number, FATAL_BODY).await;
    }
    time::sleep(STABLE_WINDOW).await;
    let known = engines.fatal_arrivals();
    for number in 0..15 {
        ask(number, FATAL_BODY).await;
    }
    let later = engines.fatal_arrivals() - known;
    assert!(later <= ARRIVALS_MAX, "{later} requests reached engines");
    for number in 0..9 {
        let answer = ask(number, &format!("sound {number}")).await;
        assert!(looks_complete(&answer), "{answer}");
    }
}

/// All gateways are killed and start again after they have found the part.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_restarted_gateways_do_not_learn_a_fatal_part_again() {
    let store = Store::default();
    let engines = Engines::start(&store, 4).await;
    let former = start_gateways(&store, &["a0", "a1"]).await;
    let mut number = 0;
    while store.count(Topic::Quarantine) == 0 {
        ask(former[number % 2], "/stream/", FATAL_PART, number).await;
        // Crashes of one moment count as one.
        time::sleep(CRASH_INTERVAL).await;
        number += 1;
        assert!(number < 100, "the part is not recorded");
    }
    let known = engines.fatal_arrivals();
    // The former gateways are not listed any more, so that the new ones learn nothing from them.
    for name in ["a0", "a1"] {
        store.put(Topic::Members, name, None);
    }
    let gateways = start_gateways(&store, &["b0", "b1"]).await;
    for number in number..number + 10 {
        let answer = ask(gateways[number % 2], "/stream/", FATAL_PART, number).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(
            harness::header(&answer, "retry-after").is_some(),
            "{answer}"
        );
    }
    assert_eq!(engines.fatal_arrivals(), known);
    let answer = ask(gateways[0], "/stream/", "sound:10", number + 10).await;
    assert!(looks_complete(&answer), "{answer}");
}

async fn wait_for_count(store: &Store, count: usize) {
    let until = time::Instant::now() + Duration::from_secs(20);
    while store.count(Topic::Quarantine) != count {
        assert!(time::Instant::now() < until);
        time::sleep(Duration::from_millis(50)).await;
    }
}

/// The two gateways that record changes of a part are lost, and count as live for a moment.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_hold_and_release_are_recorded_where_the_recorders_were_just_lost() {
    let store = Store::default();
    let _engines = Engines::start(&store, 1).await;
    store.put(
        Topic::Operators,
        "config",
        Some(catalog_of(harness::definition())),
    );
    let settings = Settings {
        name: "g0".into(),
        ..harness::settings()
    };
    let address = settings.peer_address;
    harness::spawn(settings.clone(), store.source(&settings.name));
    wait_until_serving(settings.caller_address, settings.ready_address).await;
    let peers = [
        Peer::join_as("p1", Some(Role::Member), address).await,
        Peer::join_as("p2", Some(Role::Member), address).await,
    ];
    let score = |name: &str, part: u64| hash::digest(&[name.as_bytes(), &part.to_le_bytes()]);
    let is_theirs = |part: &u64| {
        let own = score("g0", *part);
        ["p1", "p2"].iter().all(|name| score(name, *part) > own)
    };
    let part = (1..).find(is_theirs).unwrap();
    let accusations = (1..=4).map(|crash| (crash, crash as u32 * 1_000, Suspicion::Begun));
    let held = Notice {
        part,
        depth: 0,
        accusations: accusations.collect(),
        cleared_age_ms: None,
        hold: None,
    };
    let released = Notice {
        accusations: Vec::new(),
        cleared_age_ms: Some(0),
        ..held.clone()
    };
    for (notice, count) in [(held, 1), (released, 0)] {
        for peer in &peers {
            peer.report().await;
        }
        peers[0].send(&Supplement::Quarantine(vec![notice])).await;
        wait_for_count(&store, count).await;
    }
}

/// The engine that last processed a prefix crashes, and the list still contains it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_prefix_is_not_fetched_from_a_crashed_engine() {
    let store = Store::default();
    let engines = Engines::start(&store, 3).await;
    let gateway = start_gateways(&store, &["g0"]).await[0];
    let ask = |parts: String| async move {
        let headers = format!("x-prompt: {parts}\r\n");
        let request = harness::request("POST", "/resumable/", &headers, "p");
        exchange(gateway, &request).await
    };
    let answer = ask("common:10,prefix:10,own1:10".into()).await;
    assert!(looks_complete(&answer), "{answer}");
    ask(format!("{FATAL_PART},prefix:10,own2:10")).await;
    assert_eq!(engines.crashes(), 1);
    let answer = ask("common:10,prefix:10,own3:10".into()).await;
    assert!(looks_complete(&answer), "{answer}");
    assert_eq!(engines.dead_sources(), 0);
}
