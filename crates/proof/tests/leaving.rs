//! What replicas state in their answers, that they leave or want no requests for a time, with real processes.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use sardinemux_proof::gateways::caller::Told;
use sardinemux_proof::gateways::check;
use sardinemux_proof::gateways::load::Load;
use sardinemux_proof::gateways::{Fleet, Settings};
use sardinemux_standin::platform;
use sardinemux_standin::replica::{unix_ms, Faults};
use tokio::time;

/// The users' bound on how soon a replica's leaving is heeded, in milliseconds.
const KNOWN_MS: u64 = 2_000;

/// The users' time after a rejection with Retry-After in which requests may still arrive, in milliseconds.
const PAUSE_KNOWN_MS: u64 = 500;

/// The users' number of requests of one gateway that may arrive after that.
const SLIPS_MAX: usize = 2;

async fn start() -> Arc<Fleet> {
    let fleet = Fleet::start(Settings {
        services: 3,
        ..Settings::default()
    });
    Arc::new(fleet.await.unwrap())
}

/// Gateways that read only the store's list go on sending requests to a replica that states in its answers that it leaves.
#[rstest]
#[case::in_touch(false)]
#[case::store_down(true)]
#[tokio::test]
async fn verify_replica_that_states_its_leaving_in_answers_gets_no_work(#[case] is_down: bool) {
    let fleet = start().await;
    let load = Load::start(&fleet, 3, 7);
    time::sleep(Duration::from_secs(1)).await;
    if is_down {
        let faults = platform::Faults {
            is_down,
            ..platform::Faults::default()
        };
        fleet.set_store_faults(faults).await.unwrap();
    }
    let leaving = [0, fleet.settings.engines];
    for index in leaving {
        let faults = Faults {
            is_leaving: true,
            ..Faults::default()
        };
        fleet.set_replica_faults(index, faults).await.unwrap();
    }
    let stated_ms = unix_ms();
    time::sleep(Duration::from_millis(2 * KNOWN_MS)).await;
    let outcomes = load.end().await;
    for index in leaving {
        let stats = fleet.stats(index).await.unwrap();
        let id = &fleet.replicas[index].id;
        assert_eq!(check::left(id, &stats, stated_ms, KNOWN_MS, unix_ms()), []);
    }
    let late = outcomes
        .iter()
        .filter(|outcome| outcome.sent_ms > stated_ms + KNOWN_MS);
    assert!(late.clone().count() > 100);
    assert!(late.clone().all(|outcome| outcome.told == Told::Whole));
}

/// Gateways that do not read a replica's Retry-After go on sending requests to a replica that wants none.
#[tokio::test]
async fn verify_replica_that_states_a_pause_gets_few_requests() {
    let fleet = start().await;
    let load = Load::start(&fleet, 3, 8);
    time::sleep(Duration::from_secs(1)).await;
    let paused = [0, fleet.settings.engines];
    let until_ms = unix_ms() + 4_000;
    for index in paused {
        let faults = Faults {
            pause_until_ms: until_ms,
            ..Faults::default()
        };
        fleet.set_replica_faults(index, faults).await.unwrap();
    }
    time::sleep(Duration::from_secs(6)).await;
    load.end().await;
    for index in paused {
        let stats = fleet.stats(index).await.unwrap();
        let first_ms = stats.refusals_ms.first().unwrap().0;
        let known_ms = first_ms + 2 * PAUSE_KNOWN_MS;
        let late = stats
            .refusals_ms
            .iter()
            .filter(|(at_ms, _)| *at_ms > known_ms);
        assert!(late.count() <= SLIPS_MAX * fleet.gateways.len());
        let served = stats
            .begun_ms
            .iter()
            .filter(|begun_ms| **begun_ms > until_ms);
        assert!(served.count() > 0, "no request after the pause");
    }
}
