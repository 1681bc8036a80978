//! The gateway's promises when the store comes back from a copy that is some seconds old, with real processes.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use sardinemux_platform::store::Change;
use sardinemux_proof::gateways::caller::{Caller, Kind, Told};
use sardinemux_proof::gateways::check;
use sardinemux_proof::gateways::load::{Load, EVENTS};
use sardinemux_proof::gateways::operator::{Desired, KEY, REVOKED_KEY};
use sardinemux_proof::gateways::{Fleet, Settings};
use sardinemux_standin::proxy::Fault;
use sardinemux_standin::replica::unix_ms;
use tokio::time;

/// The users' bound on how soon a change, or a replica's leaving, is known everywhere, in milliseconds.
const KNOWN_MS: u64 = 2_000;

/// The age of the copy from which the store comes back.
const AGE: Duration = Duration::from_millis(800);

/// The number of writes before a restore that the copy lacks.
const LOST_WRITES: usize = 20;

const WITHOUT_SECOND_KEY: Desired = Desired {
    has_second_key: false,
    spare_routes: 50,
    timeout_ms: 4_000,
};

async fn start() -> Arc<Fleet> {
    let fleet = Fleet::start(Settings {
        services: 3,
        ..Settings::default()
    });
    Arc::new(fleet.await.unwrap())
}

/// Makes changes that the copy will lack, so that their versions are given out again.
async fn write_much(fleet: &Fleet, leaving: usize) {
    time::sleep(2 * AGE).await;
    for _ in 0..LOST_WRITES / 2 {
        fleet.configure(&Desired::default()).await.unwrap();
        fleet.list(leaving, false).await.unwrap();
    }
    for gateway in 0..fleet.gateways.len() {
        fleet.wait_in_force(gateway).await.unwrap();
    }
}

async fn set_store_paths(fleet: &Fleet, fault: Fault) {
    for gateway in &fleet.gateways {
        fleet.set_fault(gateway.store, fault).await.unwrap();
    }
}

async fn store_version(fleet: &Fleet) -> u64 {
    let page = fleet.store.read_table("op").await.unwrap();
    page.rows
        .iter()
        .map(|row| row.position.version)
        .max()
        .unwrap()
}

/// Lets the store come back from a copy. Operators and replicas write again.
async fn restore(fleet: &Fleet) {
    fleet.restore_store(AGE).await.unwrap();
    fleet.configure(&Desired::default()).await.unwrap();
    for index in 0..fleet.replicas.len() {
        fleet.list(index, false).await.unwrap();
    }
}

/// Makes changes of another table until the store is past a version.
async fn pass(fleet: &Fleet, version: u64) {
    for _ in 0..version {
        let change = Change {
            table: "other",
            key: "k",
            expected_version: None,
            value: Some(b"1"),
        };
        fleet.store.write_row(change).await.unwrap();
        let page = fleet.store.read_table("other").await.unwrap();
        if page.rows[0].position.version > version {
            return;
        }
    }
}

async fn assert_no_late_work(fleet: &Fleet, leaving: usize, confirmed_ms: u64) {
    let stats = fleet.stats(leaving).await.unwrap();
    let id = &fleet.replicas[leaving].id;
    let late = check::left(id, &stats, confirmed_ms, KNOWN_MS, unix_ms());
    assert_eq!(late, []);
}

async fn assert_revoked(fleet: &Fleet) {
    for (index, gateway) in fleet.gateways.iter().enumerate() {
        let mut caller = Caller::new(index, gateway.callers, REVOKED_KEY, EVENTS);
        let outcome = caller.call(Kind::Read, 0).await;
        assert_eq!(
            outcome.told,
            Told::Failed { status: 401 },
            "gateway {index}"
        );
        let mut caller = Caller::new(index, gateway.callers, KEY, EVENTS);
        assert_eq!(caller.call(Kind::Read, 0).await.told, Told::Whole);
    }
}

/// Gateways that compare versions of a former life of the store with new ones skip what is written after a restore.
#[rstest]
#[case::once(1, false)]
#[case::twice(2, false)]
#[case::unseen(1, true)]
#[case::twice_unseen(2, true)]
#[tokio::test]
async fn verify_change_after_a_restore_is_in_force_in_time(
    #[case] restores: usize,
    #[case] is_unseen: bool,
) {
    let fleet = start().await;
    let leaving = fleet.settings.engines;
    let load = Load::start(&fleet, 2, 5);
    for _ in 1..restores {
        write_much(&fleet, leaving).await;
        restore(&fleet).await;
    }
    write_much(&fleet, leaving).await;
    let before = store_version(&fleet).await;
    if is_unseen {
        set_store_paths(&fleet, Fault::Cut).await;
    }
    restore(&fleet).await;
    fleet.configure(&WITHOUT_SECOND_KEY).await.unwrap();
    fleet.list(leaving, true).await.unwrap();
    if is_unseen {
        pass(&fleet, before).await;
        set_store_paths(&fleet, Fault::None).await;
    }
    let confirmed_ms = unix_ms();
    time::sleep(Duration::from_millis(KNOWN_MS)).await;
    assert_revoked(&fleet).await;
    time::sleep(Duration::from_millis(KNOWN_MS)).await;
    let outcomes = load.end().await;
    assert_no_late_work(&fleet, leaving, confirmed_ms).await;
    assert!(outcomes.iter().any(|outcome| outcome.told == Told::Whole));
}

/// Brings changes in force that the copy will lack: a key that is revoked, a replica that leaves, a zone that is evacuated.
async fn withdraw(fleet: &Fleet, leaving: usize) {
    fleet.configure(&WITHOUT_SECOND_KEY).await.unwrap();
    fleet.list(leaving, true).await.unwrap();
    fleet.evacuate("z1", true).await.unwrap();
}

/// Gateways that take a copy for the newest state let a key, a leaving replica or an evacuated zone come back.
#[tokio::test]
async fn verify_restore_takes_nothing_back() {
    let fleet = start().await;
    let leaving = fleet.settings.engines;
    time::sleep(2 * AGE).await;
    withdraw(&fleet, leaving).await;
    time::sleep(Duration::from_millis(KNOWN_MS)).await;
    let load = Load::start(&fleet, 2, 6);
    time::sleep(Duration::from_millis(500)).await;
    let known_ms = unix_ms();
    let age = Duration::from_millis(KNOWN_MS + 500) + AGE;
    fleet.restore_store(age).await.unwrap();
    time::sleep(Duration::from_millis(1_000)).await;
    assert_revoked(&fleet).await;
    // What operators and replicas wrote is written again.
    withdraw(&fleet, leaving).await;
    time::sleep(Duration::from_millis(KNOWN_MS)).await;
    assert_revoked(&fleet).await;
    let outcomes = load.end().await;
    for index in 0..fleet.replicas.len() {
        if fleet.replicas[index].zone != "z1" && index != leaving {
            continue;
        }
        let stats = fleet.stats(index).await.unwrap();
        let id = &fleet.replicas[index].id;
        assert_eq!(check::left(id, &stats, known_ms, 0, unix_ms()), [], "{id}");
    }
    assert!(outcomes.iter().any(|outcome| outcome.told == Told::Whole));
}

/// A gateway that starts after a restore and believes the copy puts an older catalogue in force.
#[tokio::test]
async fn verify_gateway_that_starts_after_a_restore_has_the_newest_catalogue() {
    let fleet = start().await;
    time::sleep(2 * AGE).await;
    fleet.configure(&WITHOUT_SECOND_KEY).await.unwrap();
    time::sleep(Duration::from_millis(KNOWN_MS)).await;
    let age = Duration::from_millis(KNOWN_MS) + AGE;
    fleet.restore_store(age).await.unwrap();
    time::sleep(Duration::from_millis(1_500)).await;
    let first = &fleet.gateways[0].name;
    fleet.kill(first);
    fleet.start_gateway(0).unwrap();
    time::sleep(Duration::from_millis(KNOWN_MS)).await;
    fleet.wait_ready().await.unwrap();
    assert_revoked(&fleet).await;
}

/// Gateways that are all killed after a restore know nothing of the time before: what operators write then must be in force in time.
#[tokio::test]
async fn verify_change_after_a_restore_and_the_end_of_all_gateways_is_in_force_in_time() {
    let fleet = start().await;
    let leaving = fleet.settings.engines;
    write_much(&fleet, leaving).await;
    fleet.restore_store(AGE).await.unwrap();
    for gateway in &fleet.gateways {
        fleet.kill(&gateway.name);
    }
    for index in 0..fleet.gateways.len() {
        fleet.start_gateway(index).unwrap();
    }
    fleet.wait_ready().await.unwrap();
    let load = Load::start(&fleet, 2, 9);
    fleet.configure(&WITHOUT_SECOND_KEY).await.unwrap();
    let confirmed_ms = fleet.list(leaving, true).await.unwrap();
    time::sleep(Duration::from_millis(KNOWN_MS)).await;
    assert_revoked(&fleet).await;
    time::sleep(Duration::from_millis(KNOWN_MS)).await;
    let outcomes = load.end().await;
    assert_no_late_work(&fleet, leaving, confirmed_ms).await;
    assert!(outcomes.iter().any(|outcome| outcome.told == Told::Whole));
}

/// Gateways that are cut off from the store get what is written after a restore from the others, and hold back none of them.
#[tokio::test]
async fn verify_change_after_a_restore_reaches_gateways_that_are_cut_off() {
    let fleet = start().await;
    let leaving = fleet.settings.engines;
    write_much(&fleet, leaving).await;
    let load = Load::start(&fleet, 2, 10);
    for gateway in fleet.gateways.iter().step_by(2) {
        fleet.set_fault(gateway.store, Fault::Cut).await.unwrap();
    }
    restore(&fleet).await;
    fleet.configure(&WITHOUT_SECOND_KEY).await.unwrap();
    let confirmed_ms = fleet.list(leaving, true).await.unwrap();
    time::sleep(Duration::from_millis(KNOWN_MS)).await;
    assert_revoked(&fleet).await;
    time::sleep(Duration::from_millis(KNOWN_MS)).await;
    let outcomes = load.end().await;
    assert_no_late_work(&fleet, leaving, confirmed_ms).await;
    assert!(outcomes.iter().any(|outcome| outcome.told == Told::Whole));
}
