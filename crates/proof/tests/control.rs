//! Configuration and administration, with real processes.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use futures_util::future::join_all;
use sardinemux_core::config::command::Expected;
use sardinemux_core::config::{
    query, Change, ChangeId, Entry, Operator, Organisation, Parameter, Stop, StopKind,
};
use sardinemux_core::outcome::Outcome;
use sardinemux_proof::client::{self, until};
use sardinemux_proof::fleet::{Fleet, Settings, FIRST_TOKEN};
use sardinemux_proof::matrix::{self, Told};
use sardinemux_standin::platform::Faults;
use sardinemux_standin::proxy::Fault;
use sardinemux_wire::admin::{Rollout, Submission, Verdict};
use sardinemux_wire::caller::{ErrorBody, ErrorKind};
use serde_json::{json, Value};

fn small() -> Settings {
    Settings {
        routers: 3,
        engines: 3,
        services: 2,
        list_lag_ms: 300,
        ..Settings::default()
    }
}

fn submission(changes: Vec<Change>) -> Submission {
    Submission {
        id: ChangeId::new_v4(),
        expected: Vec::new(),
        dry_run: false,
        changes,
    }
}

fn cold_limit(value: f64) -> Change {
    Change::SetDefault {
        parameter: Parameter::ColdLimit,
        value,
    }
}

fn accepted(verdict: Verdict) -> Entry {
    match verdict {
        Verdict::Accepted { entry } => entry,
        other => panic!("{other:?}"),
    }
}

async fn refusal(fleet: &Fleet, token: &str, body: Value) -> (u16, ErrorKind) {
    let url = format!("http://{}/v1/changes", fleet.admins[0]);
    let request = fleet.client.post(url).bearer_auth(token).json(&body);
    let response = request.send().await.unwrap();
    let status = response.status().as_u16();
    let body: ErrorBody = response.json().await.unwrap();
    (status, body.error.kind)
}

#[tokio::test]
async fn verify_bad_submissions_change_nothing() {
    let fleet = Fleet::start(small()).await.unwrap();
    let operator = Change::SetOperator(Operator {
        name: "op".into(),
        member: Some("lakeshore".into()),
        token_digest: query::digest("op-token"),
    });
    let version = accepted(fleet.submit(vec![operator]).await.unwrap()).version;
    let body = |changes: Vec<Change>| serde_json::to_value(submission(changes)).unwrap();
    let stop = |reason: &str| {
        Change::BeginStop(Stop {
            kind: StopKind::Zone,
            name: "z1".into(),
            reason: reason.into(),
        })
    };
    let foreign = Change::RemoveOrganisation {
        name: "couloir-0".into(),
    };
    let cases = [
        (
            "wrong",
            body(vec![cold_limit(3.0)]),
            (401, ErrorKind::Unauthorized),
        ),
        ("op-token", body(vec![foreign]), (403, ErrorKind::Forbidden)),
        (
            FIRST_TOKEN,
            body(vec![cold_limit(0.0)]),
            (422, ErrorKind::Invalid),
        ),
        (FIRST_TOKEN, body(vec![stop("")]), (422, ErrorKind::Invalid)),
        (FIRST_TOKEN, body(Vec::new()), (422, ErrorKind::Invalid)),
        (
            FIRST_TOKEN,
            json!({"id": "x", "changes": []}),
            (400, ErrorKind::Malformed),
        ),
        (
            FIRST_TOKEN,
            json!({"id": ChangeId::nil(), "changes": [], "more": 1}),
            (400, ErrorKind::Malformed),
        ),
    ];
    for (token, body, expected) in cases {
        assert_eq!(refusal(&fleet, token, body).await, expected);
    }
    let stale = Submission {
        expected: vec![Expected {
            key: "organisation/couloir-0".into(),
            version: 0,
        }],
        ..submission(vec![cold_limit(3.0)])
    };
    let stale = serde_json::to_value(stale).unwrap();
    assert_eq!(
        refusal(&fleet, FIRST_TOKEN, stale).await,
        (409, ErrorKind::Conflict)
    );
    let dry = Submission {
        dry_run: true,
        ..submission(vec![cold_limit(3.0)])
    };
    let verdict = fleet.submit_to(0, "op-token", &dry).await.unwrap();
    assert_eq!(verdict, Verdict::Valid { version });
    let force: Rollout = fleet.read("/v1/force").await.unwrap();
    assert_eq!(force.version, version);
}

/// Operators who race get one winner; the others learn who it was. A submission that is sent again
/// has no further effect.
#[tokio::test]
async fn verify_racing_operators_get_one_winner() {
    let settings = Settings {
        admins: 3,
        ..small()
    };
    let fleet = Fleet::start(settings).await.unwrap();
    for round in 0..5 {
        let submissions: Vec<Submission> = (0..3)
            .map(|index| submission(vec![cold_limit(2.0 + f64::from(index))]))
            .collect();
        let races = submissions
            .iter()
            .enumerate()
            .map(|(admin, submission)| race(&fleet, admin, submission));
        let verdicts = join_all(races).await;
        let winners: Vec<Entry> = verdicts
            .iter()
            .filter_map(|verdict| match verdict {
                Verdict::Accepted { entry } => Some(entry.clone()),
                Verdict::NotAccepted { winner } => {
                    assert!(winner.is_some(), "round {round}: {verdict:?}");
                    None
                }
                other => panic!("round {round}: {other:?}"),
            })
            .collect();
        // Those that did not overlap were accepted one after the other, in one order for all.
        assert!(!winners.is_empty());
        let again = fleet.submit_to(0, FIRST_TOKEN, &submissions[0]).await;
        if let Some(first) = winners.iter().find(|entry| entry.id == submissions[0].id) {
            assert_eq!(accepted(again.unwrap()).version, first.version);
        }
    }
    let history: Vec<Entry> = fleet.read("/v1/history").await.unwrap();
    let versions: Vec<u64> = history.iter().map(|entry| entry.version).collect();
    assert_eq!(versions, (1..=history.len() as u64).collect::<Vec<u64>>());
    fleet.wait_in_force().await.unwrap();
}

/// Submits to one of the racing programs; a verdict against it is an answer too.
async fn race(fleet: &Fleet, admin: usize, submission: &Submission) -> Verdict {
    let url = format!("http://{}/v1/changes", fleet.admins[admin]);
    let request = fleet.client.post(url).bearer_auth(FIRST_TOKEN);
    let response = request.json(submission).send().await.unwrap();
    response.json().await.unwrap()
}

/// The table's answer is lost after the write has taken effect: the change is accepted once.
#[tokio::test]
async fn verify_lost_answer_of_the_table_is_resolved() {
    let fleet = Fleet::start(small()).await.unwrap();
    let before: Rollout = fleet.read("/v1/force").await.unwrap();
    let faults = Faults {
        lose_answers: 2,
        ..Faults::default()
    };
    fleet.platform_faults(faults).await.unwrap();
    let entry = accepted(fleet.submit(vec![cold_limit(4.0)]).await.unwrap());
    assert_eq!(entry.version, before.version + 1);
    fleet.platform_faults(Faults::default()).await.unwrap();
    fleet.wait_in_force().await.unwrap();
    let history: Vec<Entry> = fleet.read("/v1/history").await.unwrap();
    assert_eq!(history.len() as u64, entry.version);
}

/// The platform goes down right after a change was accepted: the change is in force everywhere, and a
/// router that starts meanwhile learns it from its peers.
#[tokio::test]
async fn verify_accepted_change_is_in_force_during_an_outage() {
    let settings = Settings {
        has_proxy: true,
        ..small()
    };
    let fleet = Fleet::start(settings).await.unwrap();
    // One router misses the push.
    let missed = fleet.routers[2].listed;
    fleet.fault(missed, Fault::SilenceNew).await.unwrap();
    let entry = accepted(fleet.submit(vec![cold_limit(5.0)]).await.unwrap());
    let down = Faults {
        is_down: true,
        ..Faults::default()
    };
    fleet.platform_faults(down).await.unwrap();
    fleet.fault(missed, Fault::None).await.unwrap();
    let has_version = |index: usize, version: u64| {
        let router = fleet.routers[index].clone();
        let fleet = &fleet;
        async move {
            let held = fleet.metric(&router, "sardinemux_config_version").await;
            held.is_ok_and(|held| held >= version as f64)
        }
    };
    for index in 0..3 {
        until("the version in force", || has_version(index, entry.version))
            .await
            .unwrap();
    }
    // A router is replaced while the store is down: it is ready with that version, not an older one.
    fleet.kill("router1");
    fleet.start_router(1).unwrap();
    let replaced = fleet.routers[1].clone();
    fleet.wait_router_ready(&replaced).await.unwrap();
    assert!(has_version(1, entry.version).await);
}

/// A router that has no configuration and finds neither store nor peers is not ready.
#[tokio::test]
async fn verify_router_without_configuration_takes_no_work() {
    let settings = Settings {
        routers: 1,
        zones: 1,
        ..small()
    };
    let fleet = Fleet::start(settings).await.unwrap();
    let down = Faults {
        is_down: true,
        ..Faults::default()
    };
    fleet.platform_faults(down).await.unwrap();
    fleet.kill("router0");
    fleet.start_router(0).unwrap();
    let router = fleet.routers[0].clone();
    let url = format!("http://{}/health/live", router.entry);
    until("a live router", || async {
        fleet.client.get(&url).send().await.is_ok()
    })
    .await
    .unwrap();
    let told = matrix::send_chat(&fleet, 0, true, 2).await;
    let not_run = Told::Refused {
        outcome: Outcome::NotRun,
        has_retry_after: true,
    };
    assert_eq!(told, not_run);
    let ready = format!("http://{}/health/ready", router.entry);
    let status = fleet.client.get(&ready).send().await.unwrap().status();
    assert_eq!(status.as_u16(), 503);
    fleet.platform_faults(Faults::default()).await.unwrap();
    fleet.wait_router_ready(&router).await.unwrap();
}

/// A key of an organisation works on every router once its change is in force, and no more once it was
/// taken away.
#[tokio::test]
async fn verify_keys_follow_the_configuration() {
    let fleet = Fleet::start(small()).await.unwrap();
    let status = |entry: usize, key: &str| {
        let address = fleet.routers[entry].entry;
        let url = format!("http://{address}/services/booking/items?operation=x");
        let request = fleet.client.get(url).bearer_auth(key);
        async move { request.send().await.unwrap().status().as_u16() }
    };
    let organisation = |keys: &[&str]| {
        Change::SetOrganisation(Organisation {
            name: "new".into(),
            member: "couloir".into(),
            weight: 1.0,
            key_digests: keys.iter().map(|key| query::digest(key)).collect(),
        })
    };
    for (keys, expected) in [(["k"].as_slice(), 200), (&[], 401)] {
        fleet.submit(vec![organisation(keys)]).await.unwrap();
        fleet.wait_in_force().await.unwrap();
        for entry in 0..3 {
            assert_eq!(status(entry, "k").await, expected);
        }
    }
}

/// The document that the API serves describes each route that answers, and no other.
#[tokio::test]
async fn verify_description_matches_the_server() {
    let fleet = Fleet::start(small()).await.unwrap();
    let document: Value = fleet.read("/v1/openapi.json").await.unwrap();
    for (path, methods) in document["paths"].as_object().unwrap() {
        for method in methods.as_object().unwrap().keys() {
            let path = path.replace("{id}", &ChangeId::nil().to_string());
            let url = format!("http://{}{path}?from=0&to=1", fleet.admins[0]);
            let method = reqwest::Method::from_bytes(method.to_uppercase().as_bytes()).unwrap();
            let request = fleet.client.request(method, &url).bearer_auth(FIRST_TOKEN);
            let status = request.send().await.unwrap().status();
            assert_ne!(status.as_u16(), 404, "{url}");
        }
    }
    let url = format!("http://{}/v1/elsewhere", fleet.admins[0]);
    let request = fleet.client.get(&url).bearer_auth(FIRST_TOKEN);
    let refused: sardinemux_proof::errors::Result<Value> = client::json(&url, request).await;
    assert!(refused.is_err());
}
