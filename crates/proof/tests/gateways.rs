//! The gateway's promises on the users' platform, with real processes that are stopped, killed, frozen and cut off.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use rstest::rstest;
use sardinemux_proof::client::until;
use sardinemux_proof::gateways::caller::{Caller, Kind, Outcome, Told};
use sardinemux_proof::gateways::check::{self, Breach};
use sardinemux_proof::gateways::load::{Load, EVENTS};
use sardinemux_proof::gateways::operator::{Desired, KEY, REVOKED_KEY};
use sardinemux_proof::gateways::{Fleet, Settings};
use sardinemux_proof::process::Process;
use sardinemux_standin::proxy::Fault;
use sardinemux_standin::replica::{unix_ms, Stats};
use tokio::time;

/// The users' bound on how soon a change, or a replica's leaving, is known everywhere, in milliseconds.
const KNOWN_MS: u64 = 2_000;

/// How long a load runs before and after what a test does.
const LOADED: Duration = Duration::from_secs(1);

async fn start(settings: Settings) -> Arc<Fleet> {
    Arc::new(Fleet::start(settings).await.unwrap())
}

async fn all_stats(fleet: &Fleet) -> Vec<Stats> {
    let stats = (0..fleet.replicas.len()).map(|index| fleet.stats(index));
    join_all(stats)
        .await
        .into_iter()
        .map(Result::unwrap)
        .collect()
}

fn served(outcomes: &[Outcome]) -> usize {
    let whole = outcomes
        .iter()
        .filter(|outcome| outcome.told == Told::Whole);
    whole.count()
}

/// Gateways that are stopped in turn, each replaced before the next, cut nothing off.
#[tokio::test]
async fn verify_gateways_stop_in_turn_without_cutting_off() {
    let fleet = start(Settings::default()).await;
    let load = Load::start(&fleet, 3, 1);
    time::sleep(LOADED).await;
    for (index, gateway) in fleet.gateways.iter().enumerate() {
        fleet.terminate(&gateway.name).await.unwrap();
        fleet.start_gateway(index).unwrap();
        fleet.wait_ready().await.unwrap();
    }
    time::sleep(LOADED).await;
    let outcomes = load.end().await;
    let stats = all_stats(&fleet).await;
    assert_eq!(check::always(&outcomes, &stats), []);
    assert_eq!(check::planned(&outcomes, &stats), []);
    assert!(served(&outcomes) > 1_000, "{}", served(&outcomes));
}

/// Gateways that are killed break no promise of what they had in hand, and the others serve on.
#[tokio::test]
async fn verify_killed_gateways_break_no_promise() {
    let fleet = start(Settings::default()).await;
    let load = Load::start(&fleet, 3, 2);
    for _ in 0..3 {
        time::sleep(LOADED).await;
        for gateway in &fleet.gateways[..2] {
            fleet.kill(&gateway.name);
        }
        time::sleep(Duration::from_millis(300)).await;
        for index in 0..2 {
            fleet.start_gateway(index).unwrap();
        }
        fleet.wait_ready().await.unwrap();
    }
    let outcomes = load.end().await;
    let stats = all_stats(&fleet).await;
    assert_eq!(check::always(&outcomes, &stats), []);
    let (killed, others): (Vec<Outcome>, Vec<Outcome>) = outcomes
        .into_iter()
        .partition(|outcome| outcome.gateway < 2);
    assert_eq!(check::planned(&others, &stats), []);
    assert!(served(&killed) > 100);
}

/// A replica leaves while a gateway is frozen. When the gateway goes on it asks first: nothing that it takes from
/// then on reaches that replica, which would still serve.
#[tokio::test]
async fn verify_frozen_gateway_sends_nothing_to_what_left() {
    let fleet = start(Settings {
        services: 3,
        ..Settings::default()
    })
    .await;
    let gone = fleet.settings.engines;
    let gateway = fleet.gateways[0].clone();
    let mut caller = Caller::new(0, gateway.callers, KEY, EVENTS);
    for _ in 0..10 {
        caller.call(Kind::Write, 0).await;
    }
    fleet.signal(&gateway.name, Process::freeze).unwrap();
    fleet.unlist(gone).await.unwrap();
    time::sleep(Duration::from_millis(2 * KNOWN_MS)).await;
    let before = fleet.stats(gone).await.unwrap().runs.len();
    fleet.signal(&gateway.name, Process::thaw).unwrap();
    for _ in 0..20 {
        let outcome = caller.call(Kind::Write, 0).await;
        assert_eq!(outcome.told, Told::Whole);
    }
    assert_eq!(fleet.stats(gone).await.unwrap().runs.len(), before);
}

/// What happens to the gateways' paths to the store while something changes there.
#[derive(Clone, Copy, Debug)]
enum Path {
    Sound,
    AllButOneCut,
    FirstSilent,
}

async fn harm(fleet: &Fleet, path: Path) {
    let (first, fault) = match path {
        Path::Sound => return,
        Path::AllButOneCut => (1, Fault::Cut),
        Path::FirstSilent => (0, Fault::SilenceOpen),
    };
    let harmed = match path {
        Path::FirstSilent => &fleet.gateways[..1],
        _ => &fleet.gateways[first..],
    };
    for gateway in harmed {
        fleet.set_fault(gateway.store, fault).await.unwrap();
    }
}

/// A replica that says it is leaving gets no new work after the users' bound, also from gateways that the store does
/// not answer, as the others tell them.
#[rstest]
#[case::sound(Path::Sound)]
#[case::all_but_one_cut(Path::AllButOneCut)]
#[case::first_silent(Path::FirstSilent)]
#[tokio::test]
async fn verify_leaving_replica_gets_no_work(#[case] path: Path) {
    let fleet = start(Settings::default()).await;
    let load = Load::start(&fleet, 2, 3);
    time::sleep(3 * LOADED).await;
    harm(&fleet, path).await;
    let leaving = [0, fleet.settings.engines];
    let mut confirmed = Vec::new();
    for index in leaving {
        confirmed.push(fleet.list(index, true).await.unwrap());
    }
    time::sleep(Duration::from_millis(2 * KNOWN_MS)).await;
    let outcomes = load.end().await;
    let stats = all_stats(&fleet).await;
    assert_eq!(check::always(&outcomes, &stats), []);
    assert_eq!(check::planned(&outcomes, &stats), []);
    for (index, confirmed_ms) in leaving.into_iter().zip(confirmed) {
        let id = &fleet.replicas[index].id;
        let late = check::left(id, &stats[index], confirmed_ms, KNOWN_MS, unix_ms());
        assert_eq!(late, []);
    }
}

/// A key that is taken away is refused at every gateway after the users' bound, also at those that the store does
/// not answer.
#[rstest]
#[case::sound(Path::Sound)]
#[case::all_but_one_cut(Path::AllButOneCut)]
#[case::first_silent(Path::FirstSilent)]
#[tokio::test]
async fn verify_revoked_key_is_refused_everywhere(#[case] path: Path) {
    let fleet = start(Settings::default()).await;
    time::sleep(3 * LOADED).await;
    harm(&fleet, path).await;
    let without = Desired {
        has_second_key: false,
        ..Desired::default()
    };
    let confirmed_ms = fleet.configure(&without).await.unwrap();
    let due_ms = confirmed_ms + KNOWN_MS;
    time::sleep(Duration::from_millis(due_ms.saturating_sub(unix_ms()))).await;
    let mut breaches = Vec::new();
    for (index, gateway) in fleet.gateways.iter().enumerate() {
        let mut caller = Caller::new(index, gateway.callers, REVOKED_KEY, EVENTS);
        let outcome = caller.call(Kind::Read, 0).await;
        if outcome.told != (Told::Failed { status: 401 }) {
            breaches.push(Breach::Revoked { id: outcome.id });
        }
        let mut caller = Caller::new(index, gateway.callers, KEY, EVENTS);
        assert_eq!(caller.call(Kind::Read, 0).await.told, Told::Whole);
    }
    assert_eq!(breaches, []);
}

/// An evacuated zone gets no work, and gets some again once it is taken back.
#[tokio::test]
async fn verify_evacuated_zone_gets_no_work() {
    let fleet = start(Settings::default()).await;
    let load = Load::start(&fleet, 2, 4);
    time::sleep(LOADED).await;
    let confirmed_ms = fleet.evacuate("z1", true).await.unwrap();
    time::sleep(Duration::from_millis(2 * KNOWN_MS)).await;
    let back_ms = unix_ms();
    fleet.evacuate("z1", false).await.unwrap();
    let out: Vec<usize> = (0..fleet.replicas.len())
        .filter(|index| fleet.replicas[*index].zone == "z1")
        .collect();
    for index in &out {
        until("work in the zone again", || async {
            let stats = fleet.stats(*index).await.unwrap();
            stats.begun_ms.iter().any(|begun_ms| *begun_ms > back_ms)
        })
        .await
        .unwrap();
    }
    let outcomes = load.end().await;
    let stats = all_stats(&fleet).await;
    assert_eq!(check::always(&outcomes, &stats), []);
    assert_eq!(check::planned(&outcomes, &stats), []);
    for index in out {
        let id = &fleet.replicas[index].id;
        let late = check::left(id, &stats[index], confirmed_ms, KNOWN_MS, back_ms);
        assert_eq!(late, []);
    }
}

/// Load: thirty prompts at once that share a long part, more than one engine may bear. The part is read a few times at
/// most: it is fetched where others read it.
#[tokio::test]
async fn verify_shared_part_is_fetched_rather_than_read_again() {
    let fleet = start(Settings::default()).await;
    let mut first = Caller::new(0, fleet.gateways[0].callers, KEY, EVENTS);
    assert_eq!(first.call(Kind::StreamOnce, 1).await.told, Told::Whole);
    let calls = (0..30).map(|index| {
        let gateway = index % fleet.gateways.len();
        let mut caller = Caller::new(gateway, fleet.gateways[gateway].callers, KEY, EVENTS);
        async move { caller.call(Kind::StreamOnce, 1).await }
    });
    let outcomes = join_all(calls).await;
    assert_eq!(served(&outcomes), 30);
    let stats = all_stats(&fleet).await;
    let sum = |count: fn(&Stats) -> u64| stats.iter().map(count).sum::<u64>();
    let busy = stats.iter().filter(|stats| !stats.runs.is_empty()).count();
    assert!(busy > 1, "one engine bore everything");
    // Each prompt has 50 tokens of its own, and the shared part has 400.
    let read_again = sum(|stats| stats.read_tokens) - 31 * 50 - 400;
    assert!(
        read_again <= 3 * 400,
        "{read_again} shared tokens were read again"
    );
    assert!(sum(|stats| stats.fetched_tokens) > 0);
}

/// Bounds change at SIGHUP; a file that is not valid changes nothing and ends nothing.
#[tokio::test]
async fn verify_settings_are_read_again() {
    let fleet = start(Settings {
        gateways: 1,
        ..Settings::default()
    })
    .await;
    let name = &fleet.gateways[0].name;
    let log = fleet.folder().join(format!("{name}.log"));
    let has_logged = |text: &str| std::fs::read_to_string(&log).unwrap().contains(text);
    fleet.write_settings(0, 3_210).unwrap();
    fleet.signal(name, Process::hang_up).unwrap();
    until("the new bound in the log", || async {
        has_logged("\"grace_ms\":3210")
    })
    .await
    .unwrap();
    fleet.write_settings(0, 999_999_999).unwrap();
    fleet.signal(name, Process::hang_up).unwrap();
    until("the refusal in the log", || async {
        has_logged("settings not reloaded")
    })
    .await
    .unwrap();
    let mut caller = Caller::new(0, fleet.gateways[0].callers, KEY, EVENTS);
    assert_eq!(caller.call(Kind::Read, 0).await.told, Told::Whole);
}
