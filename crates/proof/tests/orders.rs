//! Orders to engines by one lease holder, with holders that are paused.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use rstest::rstest;
use sardinemux_core::config::{Change, ChangeId, Duty};
use sardinemux_proof::client::{self, until};
use sardinemux_proof::fleet::{Fleet, Settings, FIRST_TOKEN};
use sardinemux_wire::admin::{Submission, Verdict};
use sardinemux_wire::target::{DutyState, Order};

/// Some rounds of the program that gives orders.
const ROUNDS: Duration = Duration::from_secs(4);

fn duty(version: &str) -> Duty {
    Duty {
        model: "sardine-7b".into(),
        version: version.into(),
        ..Duty::default()
    }
}

async fn state(fleet: &Fleet) -> DutyState {
    let url = format!("http://{}/duty", fleet.engines[0].address);
    client::json(&url, fleet.client.get(&url)).await.unwrap()
}

/// Changes the engine's duty through one administration program and waits until it is taken up.
async fn change(fleet: &Fleet, admin: usize, version: &str) {
    let submission = Submission {
        id: ChangeId::new_v4(),
        expected: Vec::new(),
        dry_run: false,
        changes: vec![Change::SetDuty {
            engine: "engine0".into(),
            duty: duty(version),
        }],
    };
    let verdict = fleet.submit_to(admin, FIRST_TOKEN, &submission).await;
    assert!(
        matches!(verdict, Ok(Verdict::Accepted { .. })),
        "{verdict:?}"
    );
    until(&format!("the duty {version}"), || async {
        let state = state(fleet).await;
        state.duty == duty(version) && !state.is_loading
    })
    .await
    .unwrap();
}

/// Whichever program holds the lease is paused past it; the other one takes over with a higher number,
/// and the paused one does no harm when it goes on, also to an engine that ignores the number.
#[rstest]
#[case::engine_checks_numbers(&[])]
#[case::engine_ignores_numbers(&["--ignores-numbers"])]
#[tokio::test]
async fn verify_paused_holder_does_no_harm(#[case] arguments: &[&str]) {
    let mut engine_arguments = vec!["--warm".to_owned()];
    engine_arguments.extend(arguments.iter().map(|argument| (*argument).to_owned()));
    let settings = Settings {
        routers: 1,
        zones: 1,
        engines: 1,
        services: 1,
        admins: 2,
        list_lag_ms: 200,
        engine_arguments,
        ..Settings::default()
    };
    let fleet = Fleet::start(settings).await.unwrap();
    change(&fleet, 0, "v1").await;
    for (paused, other, version) in [("admin0", 1, "v2"), ("admin1", 0, "v3")] {
        fleet.freeze(paused).unwrap();
        change(&fleet, other, version).await;
        fleet.thaw(paused).unwrap();
        tokio::time::sleep(ROUNDS).await;
        assert_eq!(state(&fleet).await.duty, duty(version));
    }
    let url = format!("http://{}/standin/orders", fleet.engines[0].address);
    let orders: Vec<Order> = client::json(&url, fleet.client.get(&url)).await.unwrap();
    let numbers: Vec<u64> = orders.iter().map(|order| order.number).collect();
    assert!(numbers.is_sorted(), "{numbers:?}");
    assert!(numbers.last() > numbers.first(), "{numbers:?}");
}
