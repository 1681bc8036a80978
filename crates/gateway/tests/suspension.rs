//! Tests of a gateway after a suspension of its process, and after a change of its settings.

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
use harness::{settings, spawn};
use sardinemux_core::roster::query;
use sardinemux_gateway::prelude::*;
use sardinemux_gateway::settings::{Bounds, Settings};
use sardinemux_gateway::source::{Fact, Topic};
use sardinemux_gateway::suspension;
use tokio::time;

async fn wait_for(condition: impl Fn() -> bool) {
    while !condition() {
        time::sleep(Duration::from_millis(5)).await;
    }
}

/// A target is removed from the store while the process is suspended, and the pending watch does not return. Requests
/// right after the suspension must wait for a new read, and not be sent to that target.
#[tokio::test]
async fn verify_gateway_that_stood_still_asks_before_it_sends() {
    let targets = [
        MockTarget::start(Behaviour::Answer).await,
        MockTarget::start(Behaviour::Answer).await,
    ];
    let store = Store::default();
    store.put(
        Topic::Operators,
        "config",
        Some(catalog_of(harness::definition())),
    );
    for (index, target) in targets.iter().enumerate() {
        let id = format!("t{index}");
        let announcement = harness::announcement(&id, &target.address.to_string());
        store.put(Topic::Targets, &id, Some(Fact::Target(announcement)));
    }
    let settings = settings();
    let gateway = spawn(settings.clone(), store.source(&settings.name));
    wait_for(|| gateway.is_ready()).await;
    wait_for(|| query::key(&gateway.roster.lock(), "t1").is_some()).await;
    store.hang_watches();
    store.put(Topic::Targets, "t0", None);
    suspension::invalidate_state(&gateway);
    for _ in 0..8 {
        let request = harness::request("GET", "/safe/", "", "");
        let answer = harness::exchange(settings.caller_address, &request).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    assert_eq!(targets[0].request_count(), 0);
    assert_eq!(targets[1].request_count(), 8);
}

/// A reload of the settings changes the bounds and the seeds, but neither the name nor the addresses.
#[tokio::test]
async fn verify_bounds_change_while_the_gateway_runs() {
    let former = settings();
    let gateway = Gateway::new(former.clone(), harness::dialect()).unwrap();
    let changed = Settings {
        name: "another".into(),
        seeds: vec!["127.0.0.1:9".parse().unwrap()],
        bounds: Bounds {
            grace_ms: 3_000,
            retry_extra: 0.0,
            retry_ratio: 0.0,
            ..former.bounds
        },
        ..former.clone()
    };
    let pool = SmolStr::from("p");
    assert!(gateway.try_withdraw_retry(&pool));
    gateway.apply_settings(&changed);
    assert_eq!(gateway.bounds.read().grace_ms, 3_000);
    assert_eq!(gateway.seeds.read().len(), 1);
    assert_eq!(gateway.settings.name, former.name);
    // Each gateway always has one retry; the balance from the previous bounds is dropped.
    assert!(gateway.try_withdraw_retry(&pool));
    assert!(!gateway.try_withdraw_retry(&pool));
}
