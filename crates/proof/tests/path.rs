//! The whole path with real processes: callers' input, answers and errors.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use futures_util::future::join_all;
use reqwest::StatusCode;
use rstest::rstest;
use sardinemux_proof::fleet::{Fleet, Settings};
use sardinemux_proof::matrix::{self, Told};
use sardinemux_standin::engine::routes::{ENDLESS_FIELD, FATAL_FIELD, REJECTING_FIELD, REJECTION};
use sardinemux_standin::service::{BROKEN_EVENTS, SWITCHING};
use sardinemux_wire::caller::{ErrorBody, ErrorKind};
use sardinemux_wire::header;
use serde_json::{json, Value};
use tokio::time;

fn small() -> Settings {
    Settings {
        routers: 3,
        engines: 3,
        services: 2,
        ..Settings::default()
    }
}

async fn refusal(request: reqwest::RequestBuilder) -> (StatusCode, ErrorKind) {
    let response = request.send().await.unwrap();
    let status = response.status();
    let body: ErrorBody = response.json().await.unwrap();
    (status, body.error.kind)
}

/// One fleet serves all the cases of this file's first test, as starting one takes seconds.
#[tokio::test]
async fn verify_requests_and_errors_of_callers() {
    let fleet = Fleet::start(small()).await.unwrap();
    for entry in 0..3 {
        assert_eq!(
            matrix::send_chat(&fleet, entry, true, 20).await,
            Told::Completed
        );
        assert_eq!(
            matrix::send_chat(&fleet, entry, false, 20).await,
            Told::Completed
        );
        let attempt = matrix::attempt(&fleet, entry, true).await;
        assert_eq!(attempt.told, [Told::Completed]);
        let attempt = matrix::attempt(&fleet, entry, false).await;
        assert_eq!(attempt.told, [Told::Completed]);
    }

    let entry = fleet.routers[0].entry;
    let chats = format!("http://{entry}/v1/chat/completions");
    let post = |body: Value| {
        fleet
            .client
            .post(&chats)
            .bearer_auth(fleet.key(0))
            .json(&body)
    };
    let message = json!([{"role": "user", "content": "hello"}]);
    let cases = [
        (
            fleet
                .client
                .post(&chats)
                .bearer_auth("wrong")
                .json(&json!({})),
            (StatusCode::UNAUTHORIZED, ErrorKind::Unauthorized),
        ),
        (
            fleet.client.post(&chats).json(&json!({})),
            (StatusCode::UNAUTHORIZED, ErrorKind::Unauthorized),
        ),
        (
            post(json!({"model": "none", "messages": message})),
            (StatusCode::NOT_FOUND, ErrorKind::NotFound),
        ),
        (
            post(json!({"model": "sardine-7b"})),
            (StatusCode::BAD_REQUEST, ErrorKind::Malformed),
        ),
        (
            post(json!({"model": "sardine-7b", "messages": []})),
            (StatusCode::BAD_REQUEST, ErrorKind::Malformed),
        ),
        (
            post(json!({"model": "sardine-7b", "messages": message})).header("X-Class", "urgent"),
            (StatusCode::BAD_REQUEST, ErrorKind::Malformed),
        ),
        (
            post(json!({"model": "sardine-7b", "messages": message}))
                .header("Idempotency-Key", "k"),
            (StatusCode::BAD_REQUEST, ErrorKind::Malformed),
        ),
        (
            post(json!({"model": "sardine-7b", "messages": "x".repeat(2 << 20)})),
            (StatusCode::PAYLOAD_TOO_LARGE, ErrorKind::TooLarge),
        ),
        (
            fleet
                .client
                .post(format!("http://{entry}/services/none/x"))
                .bearer_auth(fleet.key(0)),
            (StatusCode::NOT_FOUND, ErrorKind::NotFound),
        ),
        (
            fleet.client.get(format!("http://{entry}/elsewhere")),
            (StatusCode::NOT_FOUND, ErrorKind::NotFound),
        ),
    ];
    for (request, expected) in cases {
        assert_eq!(refusal(request).await, expected);
    }
    // Nothing of the refused requests reached a target.
    let mut accepted = 0;
    for index in 0..fleet.engines.len() {
        accepted += fleet.engine_stats(index).await.unwrap().accepted;
    }
    assert_eq!(accepted, 6);
}

/// A key names one operation: a repeat gets the recorded answer on any router, another request with
/// the same key is refused.
#[tokio::test]
async fn verify_idempotency_key_is_replayed_anywhere() {
    let fleet = Fleet::start(small()).await.unwrap();
    let send = |entry: usize, operation: &str| {
        let address = fleet.routers[entry].entry;
        fleet
            .client
            .post(format!("http://{address}/services/booking/items"))
            .bearer_auth(fleet.key(0))
            .header("Idempotency-Key", "one key")
            .json(&json!({"operation": operation}))
            .send()
    };
    let first = send(0, "one").await.unwrap().text().await.unwrap();
    for entry in 0..3 {
        let repeat = send(entry, "one").await.unwrap();
        assert_eq!(repeat.headers()["X-Replayed"], "true");
        assert_eq!(repeat.text().await.unwrap(), first);
    }
    let other = send(1, "two").await.unwrap();
    assert_eq!(other.status(), StatusCode::UNPROCESSABLE_ENTITY);
    let runs = matrix::runs(&fleet).await.unwrap();
    assert_eq!(runs.get("one"), Some(&1));
    assert_eq!(runs.get("two"), None);
}

/// An entry that answers "not run" says when to come back, at once.
#[rstest]
#[case::chat(true)]
#[case::service(false)]
#[tokio::test]
async fn verify_refusal_says_when_to_come_back(#[case] is_chat: bool) {
    let fleet = Fleet::start(small()).await.unwrap();
    for zone in ["z1", "z2", "z3"] {
        fleet.set_zone(zone, true).await.unwrap();
    }
    fleet.wait_in_force().await.unwrap();
    let told = match is_chat {
        true => matrix::send_chat(&fleet, 0, true, 4).await,
        false => matrix::send_operation(&fleet, 0, "one", false).await,
    };
    let expected = Told::Refused {
        outcome: sardinemux_core::outcome::Outcome::NotRun,
        has_retry_after: true,
    };
    assert_eq!(told, expected);
}

/// A service's answer that is a stream of events and ends inside an event is not delivered as a complete one.
#[tokio::test]
async fn verify_service_events_that_break_off_are_not_delivered() {
    let fleet = Fleet::start(small()).await.unwrap();
    let entry = fleet.routers[0].entry;
    let url = format!("http://{entry}/services/booking/{BROKEN_EVENTS}");
    let read = fleet.client.get(format!("{url}?operation=one"));
    let operation = json!({"operation": "two"});
    let write = fleet.client.post(&url).json(&operation);
    for request in [read, write] {
        let refused = refusal(request.bearer_auth(fleet.key(0))).await;
        assert_eq!(refused, (StatusCode::BAD_GATEWAY, ErrorKind::TargetFailed));
    }
    let runs = matrix::runs(&fleet).await.unwrap();
    assert_eq!(runs.get("two"), Some(&1));
}

/// A service's answer whose status ends no exchange is not delivered, also to a repeat of its key.
#[tokio::test]
async fn verify_service_answer_without_a_final_status_is_not_delivered() {
    let fleet = Fleet::start(small()).await.unwrap();
    let entry = fleet.routers[0].entry;
    let url = format!("http://{entry}/services/booking/{SWITCHING}");
    let read = fleet.client.get(format!("{url}?operation=one"));
    let write = |operation: &str| {
        let call = fleet.client.post(&url);
        call.json(&json!({"operation": operation}))
    };
    let keyed = || write("three").header("Idempotency-Key", "one key");
    for request in [read, write("two"), keyed(), keyed()] {
        let response = request.bearer_auth(fleet.key(0)).send().await.unwrap();
        let status = response.status();
        let is_failure = status.is_server_error() || status == StatusCode::CONFLICT;
        assert!(is_failure, "{status}");
    }
    let runs = matrix::runs(&fleet).await.unwrap();
    assert_eq!(runs.get("two"), Some(&1));
    assert_eq!(runs.get("three"), Some(&1));
}

/// A chat that crashes each engine that begins to answer it is repeated once.
#[tokio::test]
async fn verify_chat_that_crashes_engines_is_not_sent_to_one_after_the_other() {
    let fleet = Fleet::start(small()).await.unwrap();
    let entry = fleet.routers[0].entry;
    let message = json!([{"role": "user", "content": "hello"}]);
    let body = json!({"model": "sardine-7b", "messages": message, FATAL_FIELD: true});
    let chats = format!("http://{entry}/v1/chat/completions");
    let request = fleet.client.post(&chats).json(&body);
    let refused = refusal(request.bearer_auth(fleet.key(0))).await;
    assert_eq!(refused, (StatusCode::BAD_GATEWAY, ErrorKind::TargetFailed));
    let mut accepted = 0;
    for index in 0..3 {
        accepted += fleet.engine_stats(index).await.unwrap().accepted;
    }
    assert_eq!(accepted, 2);
}

/// The chats of which some must begin at an engine that crashes, before another one rejects them.
const REJECTED_CHATS: usize = 10;

/// How long an engine that crashed is away.
const RESTART: Duration = Duration::from_secs(1);

/// The text of another engine's rejection is no part of an answer that has begun.
#[tokio::test]
async fn verify_rejection_of_another_engine_is_no_part_of_an_answer() {
    let settings = Settings {
        engines: 2,
        ..small()
    };
    let fleet = Fleet::start(settings).await.unwrap();
    let chats = format!("http://{}/v1/chat/completions", fleet.routers[0].entry);
    let mut begun = 0;
    for number in 0..REJECTED_CHATS {
        let message = json!([{"role": "user", "content": format!("hello {number}")}]);
        let rejecting = format!("engine{}", number % 2);
        let body = json!({
            "model": "sardine-7b", "messages": message, "stream": true, REJECTING_FIELD: rejecting,
        });
        let request = fleet.client.post(&chats).bearer_auth(fleet.key(0));
        let response = request.json(&body).send().await.unwrap();
        if response.status() != StatusCode::OK {
            continue;
        }
        begun += 1;
        let text = response.text().await.unwrap();
        assert!(!text.contains(REJECTION), "{text}");
        assert!(!text.contains("[DONE]"), "{text}");
        tokio::time::sleep(RESTART).await;
    }
    assert!(begun > 0);
}

/// The engine that streams a chat is killed. The chat goes on at the other engine of its build, if there is one.
#[rstest]
#[case::none(2)]
#[case::one(4)]
#[tokio::test]
async fn verify_chat_does_not_go_on_at_another_build(#[case] engines: usize) {
    let settings = Settings {
        engines,
        builds: 2,
        engine_arguments: vec!["--token-us".to_owned(), "20000".to_owned()],
        ..small()
    };
    let fleet = Fleet::start(settings).await.unwrap();
    let entry = fleet.routers[0].entry;
    let message = json!([{"role": "user", "content": "hello"}]);
    let body =
        json!({"model": "sardine-7b", "messages": message, "max_tokens": 100, "stream": true});
    let chats = format!("http://{entry}/v1/chat/completions");
    let request = fleet.client.post(&chats).bearer_auth(fleet.key(0));
    let mut response = request.json(&body).send().await.unwrap();
    let target = response.headers()[header::PLACEMENT_HINT].to_str().unwrap();
    let index: usize = target.strip_prefix("engine").unwrap().parse().unwrap();
    let mut text = String::new();
    while !text.contains("content") {
        let chunk = response.chunk().await.unwrap().unwrap();
        text.push_str(std::str::from_utf8(&chunk).unwrap());
    }
    fleet.kill(&format!("engine{index}"));
    while let Ok(Some(chunk)) = response.chunk().await {
        text.push_str(std::str::from_utf8(&chunk).unwrap());
    }
    assert_eq!(text.contains("[DONE]"), engines > 2, "{text}");
    for other in (0..engines).filter(|other| other % 2 != index % 2) {
        assert_eq!(fleet.engine_stats(other).await.unwrap().accepted, 0);
    }
}

/// The memory that a router may use while an engine sends an event without end, in bytes.
const ROUTER_MAX_BYTES: f64 = 200e6;

/// The pause between two samples of the routers' memory.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// An engine sends one event that never ends.
#[tokio::test]
async fn verify_event_without_end_does_not_fill_the_memory() {
    let fleet = Fleet::start(small()).await.unwrap();
    let entry = fleet.routers[0].entry;
    let message = json!([{"role": "user", "content": "hello"}]);
    let body = json!({"model": "sardine-7b", "messages": message, ENDLESS_FIELD: true});
    let chats = format!("http://{entry}/v1/chat/completions");
    let request = fleet.client.post(&chats).json(&body);
    let asked = refusal(request.bearer_auth(fleet.key(0)));
    tokio::pin!(asked);
    let mut most_bytes: f64 = 0.0;
    let refused = loop {
        tokio::select! {
            refused = &mut asked => break refused,
            () = tokio::time::sleep(SAMPLE_INTERVAL) => {
                for index in 0..3 {
                    let usage = fleet.usage(&fleet.routers[index].id);
                    most_bytes = most_bytes.max(usage.map_or(0.0, |usage| usage.rss_bytes));
                }
            }
        }
    };
    assert!(most_bytes <= ROUTER_MAX_BYTES, "{most_bytes} bytes");
    assert_eq!(refused, (StatusCode::BAD_GATEWAY, ErrorKind::TargetFailed));
}

/// The chats that are more than one engine runs and queues, and fewer than two do.
const QUEUED_CHATS: usize = 110;

/// How long the engines take no request, which is less than the longest wait in a queue.
const QUEUED_FOR: Duration = Duration::from_secs(1);

/// A chat is not refused because the queue of one engine is full, while that of another one has room.
#[tokio::test]
async fn verify_chat_is_queued_where_there_is_room() {
    let settings = Settings {
        routers: 1,
        engines: 2,
        services: 0,
        ..small()
    };
    let fleet = Fleet::start(settings).await.unwrap();
    let hang = async |on: bool| {
        for engine in &fleet.engines {
            let path = format!("/standin/hang?on={on}");
            fleet.tell(engine.address, &path).await.unwrap();
        }
    };
    hang(true).await;
    let entry = fleet.routers[0].entry;
    let url = format!("http://{entry}/v1/chat/completions");
    let chats = (0..QUEUED_CHATS).map(|index| {
        let messages = [("user", "hello"), ("assistant", "hello"), ("user", "again")];
        let messages = messages.map(|(role, content)| json!({"role": role, "content": content}));
        let key = index.to_string();
        let chat = json!({"model": "sardine-7b", "messages": messages, "max_tokens": 2, "prompt_cache_key": key});
        let request = fleet.client.post(&url).bearer_auth(fleet.key(0));
        let request = request.header(header::PLACEMENT_HINT, "engine0").json(&chat);
        async move { request.send().await.unwrap().status() }
    });
    let release = async {
        time::sleep(QUEUED_FOR).await;
        hang(false).await;
    };
    let (statuses, ()) = tokio::join!(join_all(chats), release);
    let refused = statuses.iter().filter(|status| **status != StatusCode::OK);
    assert_eq!(refused.count(), 0);
}
