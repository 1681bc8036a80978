//! Planned stops and graceful shutdown, with real processes.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use futures_util::future::join_all;
use rstest::rstest;
use sardinemux_core::config::{Change, Stop, StopKind};
use sardinemux_load::run::{self, Settings as Load};
use sardinemux_proof::client::until;
use sardinemux_proof::fleet::{Fleet, Settings};
use sardinemux_proof::matrix::{self, Told};
use sardinemux_proof::scenario;
use sardinemux_wire::admin::FleetLoad;

/// The chats that run at once while a target leaves: so many that, of three engines, each gets some.
const LONG_CHATS: usize = 12;

fn small() -> Settings {
    Settings {
        routers: 3,
        engines: 3,
        services: 2,
        list_lag_ms: 300,
        ..Settings::default()
    }
}

/// A zone that is taken out, a target that is stopped and one that the platform lists as leaving get
/// no new work, and the API says when they are empty. Work that runs goes on to its end.
#[rstest]
#[case::zone("zone")]
#[case::planned_stop("stop")]
#[case::listed_as_leaving("leaving")]
#[tokio::test]
async fn verify_leaving_target_gets_no_new_work(#[case] how: &str) {
    let fleet = Fleet::start(small()).await.unwrap();
    // Chats are placed at random, and an engine that was just taken over rests: it must have served
    // one before the test can count on it.
    until("a chat served by the engine", || async {
        matrix::send_chat(&fleet, 0, true, 2).await;
        fleet
            .engine_stats(0)
            .await
            .is_ok_and(|stats| stats.completed > 0)
    })
    .await
    .unwrap();
    let long: Vec<_> = (0..LONG_CHATS)
        .map(|_| matrix::send_chat(&fleet, 0, true, 200))
        .collect();
    let long = join_all(long);
    let leaving = async {
        until("work on the engine", || async {
            fleet
                .engine_stats(0)
                .await
                .is_ok_and(|stats| stats.running > 0)
        })
        .await
        .unwrap();
        let stop = |kind, name: &str| {
            vec![Change::BeginStop(Stop {
                kind,
                name: name.into(),
                reason: "a test".into(),
            })]
        };
        match how {
            "zone" => drop(fleet.submit(stop(StopKind::Zone, "z1")).await.unwrap()),
            "stop" => drop(
                fleet
                    .submit(stop(StopKind::Target, "engine0"))
                    .await
                    .unwrap(),
            ),
            _ => fleet.list_leaving("engine0", true).await.unwrap(),
        }
        fleet.wait_in_force().await.unwrap();
        until("an empty target", || async {
            let load: FleetLoad = fleet.read("/v1/load").await.unwrap();
            let engine = load.targets.iter().find(|load| load.target == "engine0");
            load.silent_routers.is_empty() && engine.is_none_or(|load| load.running == 0)
        })
        .await
        .unwrap();
    };
    let (told, ()) = tokio::join!(long, leaving);
    assert!(told.iter().all(|told| *told == Told::Completed), "{told:?}");
    // A list that lags has arrived once no router takes the engine for eligible.
    tokio::time::sleep(Duration::from_secs(4)).await;
    let before = fleet.engine_stats(0).await.unwrap().accepted;
    for index in 0..30 {
        let told = matrix::send_chat(&fleet, index % 3, true, 2).await;
        assert_eq!(told, Told::Completed);
    }
    let after = fleet.engine_stats(0).await.unwrap().accepted;
    assert_eq!(after, before);
}

/// Replacing every router gracefully, and taking a zone out and bringing it back, cuts nothing off.
#[rstest]
#[case::rolling_restart("rolling")]
#[case::zone("zone")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn verify_planned_stop_under_load_cuts_off_nothing(#[case] how: &str) {
    let settings = Settings {
        routers: 4,
        engines: 6,
        ..small()
    };
    let fleet = Fleet::start(settings).await.unwrap();
    let load = Load {
        duration: Duration::from_secs(30),
        sessions: 40,
        ..fleet.load()
    };
    let loading = tokio::spawn(run::run(load));
    match how {
        "rolling" => scenario::rolling(&fleet).await.unwrap(),
        _ => {
            tokio::time::sleep(Duration::from_secs(5)).await;
            fleet.set_zone("z1", true).await.unwrap();
            fleet.wait_in_force().await.unwrap();
            tokio::time::sleep(Duration::from_secs(5)).await;
            fleet.set_zone("z1", false).await.unwrap();
        }
    }
    let report = loading.await.unwrap().unwrap();
    assert!(report.has_no_violation(), "{report:#?}");
    assert_eq!(report.refused_unknown, 0, "{report:#?}");
    assert!(report.completed > 0);
}

/// A planned stop of a router by order ends its process once nothing runs on it.
#[tokio::test]
async fn verify_router_stops_by_order() {
    let fleet = Fleet::start(small()).await.unwrap();
    let long = matrix::send_chat(&fleet, 1, true, 200);
    let stop = async {
        let change = Change::BeginStop(Stop {
            kind: StopKind::Router,
            name: "router1".into(),
            reason: "a test".into(),
        });
        fleet.submit(vec![change]).await.unwrap();
        fleet.ended("router1").await.unwrap();
    };
    let (told, ()) = tokio::join!(long, stop);
    assert_eq!(told, Told::Completed);
    assert_eq!(matrix::send_chat(&fleet, 0, true, 4).await, Told::Completed);
}
