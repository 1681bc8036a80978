//! Tests of targets that turn requests away and state for how long they want none.

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
use harness::mock::{Behaviour, MockTarget};
use harness::{exchange, header, request, settings, spawn, TestGateway};
use rstest::rstest;
use sardinemux_core::roster::query;
use sardinemux_gateway::source::{Fact, Topic};
use tokio::time;

/// The number of requests that are sent in a row.
const REQUESTS: usize = 10;

const PAUSED: &str =
    "HTTP/1.1 503 P\r\nx-not-run: 1\r\nretry-after: 20\r\ncontent-length: 0\r\n\r\n";

const RAN: &str = "HTTP/1.1 503 P\r\nx-id: {id}\r\nx-signature: s\r\nretry-after: 20.5\r\ncontent-length: 1\r\n\r\ne";

const DATE: &str = "HTTP/1.1 503 P\r\nx-not-run: 1\r\nretry-after: Fri, 31 Dec 2100 23:59:59 GMT\r\ncontent-length: 0\r\n\r\n";

const NEGATIVE: &str =
    "HTTP/1.1 503 P\r\nx-not-run: 1\r\nretry-after: -5\r\ncontent-length: 0\r\n\r\n";

const OTHER_STATUS: &str =
    "HTTP/1.1 429 P\r\nx-not-run: 1\r\nretry-after: 20\r\ncontent-length: 0\r\n\r\n";

/// A target that states a pause must get no further request of this gateway, of whatever kind; a value that is no delay
/// changes nothing.
#[rstest]
#[case::rejected("/safe/", PAUSED, 1)]
#[case::rejected_unsafe("/unsafe/", PAUSED, 1)]
#[case::rejected_stream("/resumable/", PAUSED, 1)]
#[case::ran("/unsafe/", RAN, 1)]
#[case::date("/unsafe/", DATE, REQUESTS)]
#[case::negative("/unsafe/", NEGATIVE, REQUESTS)]
#[case::other_status("/unsafe/", OTHER_STATUS, REQUESTS)]
#[tokio::test]
async fn verify_stated_pause_is_kept(
    #[case] path: &str,
    #[case] answer: &'static str,
    #[case] expected: usize,
) {
    let target = MockTarget::start(Behaviour::Raw(answer)).await;
    let gateway = TestGateway::start(&[&target], true).await;
    for _ in 0..REQUESTS {
        let answer = gateway.call("GET", path, "", "").await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    }
    assert_eq!(target.request_count(), expected);
}

/// A caller that no target may serve now is refused at once, with the time after which one may.
#[tokio::test]
async fn verify_caller_is_told_when_a_target_takes_requests_again() {
    let target = MockTarget::start(Behaviour::Raw(PAUSED)).await;
    let gateway = TestGateway::start(&[&target], true).await;
    gateway.call("GET", "/unsafe/", "", "").await;
    let answer = gateway.call("GET", "/unsafe/", "", "").await;
    let delay: f64 = header(&answer, "retry-after").unwrap().parse().unwrap();
    assert!((15.0..=30.0).contains(&delay), "{delay}");
}

/// A pause that is cut to less than the target states has requests return before its end.
#[rstest]
#[case::minutes("90", 90.0)]
#[case::an_hour("3600", 3_600.0)]
#[tokio::test]
async fn verify_long_pause_is_not_cut_short(#[case] stated: &str, #[case] least: f64) {
    let answer = PAUSED.replace("retry-after: 20", &format!("retry-after: {stated}"));
    let target = MockTarget::start(Behaviour::Raw(answer.leak())).await;
    let gateway = TestGateway::start(&[&target], true).await;
    gateway.call("GET", "/unsafe/", "", "").await;
    let answer = gateway.call("GET", "/unsafe/", "", "").await;
    let delay: f64 = header(&answer, "retry-after").unwrap().parse().unwrap();
    // Some time has passed since the target stated it.
    assert!(delay >= least * 0.9, "{delay}");
}

/// Requests go on at other targets, also the one that was turned away.
#[tokio::test]
async fn verify_requests_go_on_at_other_targets() {
    let paused = MockTarget::start(Behaviour::Raw(PAUSED)).await;
    let other = MockTarget::start(Behaviour::Answer).await;
    let gateway = TestGateway::start(&[&paused, &other], true).await;
    for _ in 0..REQUESTS {
        let answer = gateway.call("GET", "/unsafe/", "", "").await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    assert!(paused.request_count() <= 1);
}

/// Requests return one by one after a pause, until the target has accepted one.
#[test]
fn verify_requests_return_gradually_after_a_pause() {
    use sardinemux_core::roster::{command, query, Roster, Shares};
    let mut roster = Roster::default();
    let target = harness::announcement("t0", "127.0.0.1:1");
    let key = command::apply_announcement(&mut roster, target, 0);
    command::note_pause(&mut roster, key, 1_000, 0);
    let shares = Shares::default();
    assert!(!command::start_request(&mut roster, key, shares, 999));
    assert_eq!(query::shortest_pause_ms(&roster, "p", 400), Some(600));
    let mut started = 0;
    for now_ms in (1_000..2_000).step_by(10) {
        started += usize::from(command::start_request(&mut roster, key, shares, now_ms));
    }
    assert_eq!(started, 5);
    command::note_accepted(&mut roster, key, 2_000);
    assert!((0..5).all(|_| command::start_request(&mut roster, key, shares, 2_000)));
}

/// A gateway that drops a pause with the target's entry sends requests again once the entry is back; a later process is free.
#[rstest]
#[case::same_process(1, 1)]
#[case::later_process(2, 2)]
#[tokio::test]
async fn verify_pause_outlives_a_lapse_of_the_entry(
    #[case] lifetime: u64,
    #[case] expected: usize,
) {
    let target = MockTarget::start(Behaviour::Raw(PAUSED)).await;
    let mut announcement = harness::announcement("t0", &target.address.to_string());
    let store = Store::default();
    let catalog = catalog_of(harness::definition());
    store.put(Topic::Operators, "config", Some(catalog));
    store.put(
        Topic::Targets,
        "t0",
        Some(Fact::Target(announcement.clone())),
    );
    let other = harness::announcement("t1", "127.0.0.1:1");
    store.put(Topic::Targets, "t1", Some(Fact::Target(other)));
    let settings = settings();
    let gateway = spawn(settings.clone(), store.source(&settings.name));
    let is_listed = || query::key(&gateway.roster.lock(), "t0").is_some();
    harness::wait_until_serving(settings.caller_address, settings.ready_address).await;
    let call = || async {
        let text = request("GET", "/unsafe/", "", "");
        exchange(settings.caller_address, &text).await
    };
    while target.request_count() == 0 {
        call().await;
    }
    store.put(Topic::Targets, "t0", None);
    while is_listed() {
        time::sleep(Duration::from_millis(5)).await;
    }
    announcement.lifetime = lifetime;
    store.put(Topic::Targets, "t0", Some(Fact::Target(announcement)));
    while !is_listed() {
        time::sleep(Duration::from_millis(5)).await;
    }
    for _ in 0..REQUESTS {
        call().await;
    }
    assert_eq!(target.request_count(), expected);
}
