//! Tests of rollouts: several gateways move requests between mock targets of two builds by the orders in a fake store.

#![expect(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a test fails by panicking"
)]

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/harness.rs"]
mod harness;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use fleet::{catalog_of, Fleet, Store};
use harness::mock::{Behaviour, MockTarget};
use harness::{announcement, exchange, looks_complete, wait_until_serving};
use rstest::rstest;
use sardinemux_core::rollout::counters::{Count, Histogram, Key, Process, Tally, CLASSES};
use sardinemux_core::rollout::{Order, Side, State, Status};
use sardinemux_gateway::rollouts::decider::encode_parts;
use sardinemux_gateway::rollouts::Observation;
use sardinemux_gateway::settings::Settings;
use sardinemux_gateway::source::{Fact, Topic};
use tokio::runtime::Runtime;
use tokio::time;

/// The time limit for what gateways do by themselves. It ends a failing test; no result depends on it.
const PATIENCE: Duration = Duration::from_secs(40);

/// The time over which the traffic moves, in milliseconds.
const RAMP_MS: u64 = 5_000;

/// The largest size of a datagram between gateways, in bytes.
const DATAGRAM_MAX_BYTES: usize = 1_400;

const GATEWAYS: usize = 3;
const TARGETS: usize = 4;

/// A fleet before targets of two builds, with callers that send requests all the time.
struct Stage {
    store: Store,
    former: Vec<MockTarget>,
    new: Vec<MockTarget>,
    fleet: Fleet,
    /// Whether the callers have ended.
    is_over: Arc<AtomicBool>,
    /// The number of answers that were no complete success.
    failures: Arc<AtomicUsize>,
}

async fn add_targets(store: &Store, build: &str, behaviour: Behaviour) -> Vec<MockTarget> {
    let mut targets = Vec::new();
    for index in 0..TARGETS {
        let target = MockTarget::start(behaviour).await;
        let id = format!("{build}-{index}");
        let mut announcement = announcement(&id, &target.address.to_string());
        announcement.target.build = build.into();
        store.put(Topic::Targets, &id, Some(Fact::Target(announcement)));
        targets.push(target);
    }
    targets
}

fn order(store: &Store, build: &str) {
    let order = Order {
        pool: "p".into(),
        build: build.into(),
        ramp_ms: RAMP_MS,
    };
    store.put(Topic::Operators, "rollout/p", Some(Fact::Rollout(order)));
}

async fn call(callers: SocketAddr, id: &str, headers: &str) -> String {
    let path = if headers.is_empty() {
        "/safe/"
    } else {
        "/resumable/"
    };
    let request = harness::request("POST", path, headers, "p");
    let request = request.replace("x-id: r1", &format!("x-id: {id}"));
    exchange(callers, &request).await
}

fn requests(targets: &[MockTarget]) -> usize {
    targets.iter().map(MockTarget::request_count).sum()
}

impl Stage {
    async fn start(behaviour: Behaviour) -> Self {
        let store = Store::default();
        store.put(
            Topic::Operators,
            "config",
            Some(catalog_of(harness::definition())),
        );
        let former = add_targets(&store, "v1", Behaviour::Answer).await;
        let fleet = Fleet::start_before(store.clone(), GATEWAYS, 1).await;
        // The order comes first, as targets that are listed without one get requests.
        order(&store, "v2");
        time::sleep(Duration::from_millis(500)).await;
        let new = add_targets(&store, "v2", behaviour).await;
        let stage = Self {
            store,
            former,
            new,
            fleet,
            is_over: Arc::default(),
            failures: Arc::default(),
        };
        stage.send_requests();
        stage
    }

    fn send_requests(&self) {
        for (index, callers) in self.fleet.callers.iter().enumerate() {
            let (callers, is_over) = (*callers, self.is_over.clone());
            let failures = self.failures.clone();
            tokio::spawn(async move {
                for number in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                    let (id, failures) = (format!("r{index}-{number}"), failures.clone());
                    tokio::spawn(async move {
                        let answer = call(callers, &id, "").await;
                        let is_failure = usize::from(!looks_complete(&answer));
                        failures.fetch_add(is_failure, Ordering::Relaxed);
                    });
                    time::sleep(Duration::from_millis(15)).await;
                }
            });
        }
    }

    async fn wait_for(&self, state: State) {
        wait_for_status(&self.store, "v2", state).await;
    }

    /// Lets what is on its way arrive: a second after a final state is known, requests no longer change their side.
    async fn settle(&self) {
        time::sleep(Duration::from_secs(1)).await;
    }
}

async fn wait_for_status(store: &Store, build: &str, state: State) {
    let status = Status {
        build: build.into(),
        state,
    };
    let reached = async {
        while store.statuses().last() != Some(&status) {
            time::sleep(Duration::from_millis(20)).await;
        }
    };
    let reached = time::timeout(PATIENCE, reached).await;
    assert!(
        reached.is_ok(),
        "no {status:?} in time: {:?}",
        store.statuses()
    );
}

/// Guards against a sound build that is not completed, and against requests at the former build after that.
#[tokio::test(flavor = "multi_thread")]
async fn verify_sound_build_is_completed() {
    let stage = Stage::start(Behaviour::Answer).await;
    stage.wait_for(State::Complete).await;
    let before = requests(&stage.former);
    stage.settle().await;
    assert_eq!(requests(&stage.former), before);
    assert!(requests(&stage.new) > 0);
    let states: Vec<State> = stage.store.statuses().iter().map(|it| it.state).collect();
    assert_eq!(states, [State::Active, State::Complete]);
    assert_eq!(stage.failures.load(Ordering::Relaxed), 0);
}

/// Guards against a bad build that stays in service, and against requests there after it was rolled back, by old gateways, new ones and
/// streams that are resumed.
#[rstest]
#[case(Behaviour::Fail)]
#[case(Behaviour::PauseAnswer(400))]
#[tokio::test(flavor = "multi_thread")]
async fn verify_bad_build_is_rolled_back(#[case] behaviour: Behaviour) {
    let stage = Stage::start(behaviour).await;
    stage.wait_for(State::RolledBack).await;
    stage.settle().await;
    let before = requests(&stage.new);
    let late = Settings {
        name: "late".into(),
        ..harness::settings()
    };
    let (callers, ready) = (late.caller_address, late.ready_address);
    let source = stage.store.source(&late.name);
    harness::spawn(late, source);
    wait_until_serving(callers, ready).await;
    for number in 0..100 {
        let answer = call(callers, &format!("late-{number}"), "").await;
        assert!(looks_complete(&answer), "{answer}");
    }
    stage.settle().await;
    assert_eq!(requests(&stage.new), before);
    let states: Vec<State> = stage.store.statuses().iter().map(|it| it.state).collect();
    assert_eq!(states, [State::Active, State::RolledBack]);
}

/// Guards against a roll-back that waits for the store, and against a status that is lost when the store was away.
#[tokio::test(flavor = "multi_thread")]
async fn verify_roll_back_does_not_wait_for_the_store() {
    let stage = Stage::start(Behaviour::Fail).await;
    stage.wait_for(State::Active).await;
    stage.store.reject_statuses(true);
    let quiet = async {
        loop {
            let before = requests(&stage.new);
            stage.settle().await;
            if before > 0 && requests(&stage.new) == before {
                return;
            }
        }
    };
    assert!(time::timeout(PATIENCE, quiet).await.is_ok());
    assert_eq!(stage.store.statuses().len(), 1);
    stage.store.reject_statuses(false);
    stage.wait_for(State::RolledBack).await;
}

/// Guards against an order that is removed and leaves the new build in service.
#[tokio::test(flavor = "multi_thread")]
async fn verify_withdrawn_order_is_rolled_back() {
    let stage = Stage::start(Behaviour::Answer).await;
    stage.wait_for(State::Active).await;
    stage.store.put(Topic::Operators, "rollout/p", None);
    stage.wait_for(State::RolledBack).await;
    stage.settle().await;
    let before = requests(&stage.new);
    // The same order again changes nothing after its end.
    order(&stage.store, "v2");
    stage.settle().await;
    assert_eq!(requests(&stage.new), before);
    assert_eq!(stage.store.statuses().len(), 2);
}

/// Guards against a replaced order whose status stays active, and against requests at its build.
#[tokio::test(flavor = "multi_thread")]
async fn verify_replaced_order_is_rolled_back_first() {
    let stage = Stage::start(Behaviour::Answer).await;
    stage.wait_for(State::Active).await;
    order(&stage.store, "v3");
    stage.wait_for(State::RolledBack).await;
    stage.settle().await;
    let before = requests(&stage.new);
    add_targets(&stage.store, "v3", Behaviour::Answer).await;
    wait_for_status(&stage.store, "v3", State::Complete).await;
    assert_eq!(requests(&stage.new), before);
}

/// Guards against malformed orders, and orders for unknown pools and builds, that change anything.
#[tokio::test(flavor = "multi_thread")]
async fn verify_orders_without_effect_change_nothing() {
    let store = Store::default();
    store.put(
        Topic::Operators,
        "config",
        Some(catalog_of(harness::definition())),
    );
    let former = add_targets(&store, "v1", Behaviour::Answer).await;
    let fleet = Fleet::start_before(store.clone(), GATEWAYS, 1).await;
    let unreadable = Fact::Unreadable("no ramp".into());
    store.put(Topic::Operators, "rollout/q", Some(unreadable));
    time::sleep(Duration::from_secs(1)).await;
    assert_eq!(store.status_calls(), 0, "a call without an order");
    order(&store, "v9");
    for number in 0..50 {
        let answer = call(fleet.callers[0], &format!("r{number}"), "").await;
        assert!(looks_complete(&answer), "{answer}");
        time::sleep(Duration::from_millis(20)).await;
    }
    assert!(store.statuses().is_empty());
    assert_eq!(requests(&former), 50);
}

/// Guards against a fleet that never learns of an order, as gateways of an earlier build read the store for it.
#[tokio::test(flavor = "multi_thread")]
async fn verify_order_that_the_reader_cannot_decode_is_carried_out() {
    let store = Store::default();
    store.put(
        Topic::Operators,
        "config",
        Some(catalog_of(harness::definition())),
    );
    let _former = add_targets(&store, "v1", Behaviour::Answer).await;
    let _new = add_targets(&store, "v2", Behaviour::Answer).await;
    let _fleet = Fleet::start_before(store.clone(), GATEWAYS, 1).await;
    store.hide_orders_from_watches();
    order(&store, "v2");
    wait_for_status(&store, "v2", State::Complete).await;
}

/// Guards against a rollout that nobody ends once its decider has stopped. Gateways of a fleet rank by their names, so that each is stopped
/// in one case.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn verify_rollout_ends_without_its_decider(#[values(0, 1, 2)] stopped: usize) {
    let store = Store::default();
    store.put(
        Topic::Operators,
        "config",
        Some(catalog_of(harness::definition())),
    );
    let _former = add_targets(&store, "v1", Behaviour::Answer).await;
    let _new = add_targets(&store, "v2", Behaviour::Answer).await;
    let mut runtimes = Vec::new();
    for index in 0..GATEWAYS {
        let settings = Settings {
            name: format!("g{index}").into(),
            ..harness::settings()
        };
        let (callers, ready) = (settings.caller_address, settings.ready_address);
        let runtime = Runtime::new().unwrap();
        let source = store.source(&settings.name);
        let handle = runtime.handle().clone();
        handle.spawn(async move {
            harness::spawn(settings, source);
        });
        wait_until_serving(callers, ready).await;
        runtimes.push(runtime);
    }
    order(&store, "v2");
    wait_for_status(&store, "v2", State::Active).await;
    runtimes.remove(stopped).shutdown_background();
    wait_for_status(&store, "v2", State::Complete).await;
    let states: Vec<State> = store.statuses().iter().map(|it| it.state).collect();
    assert_eq!(states, [State::Active, State::Complete]);
    for runtime in runtimes {
        runtime.shutdown_background();
    }
}

/// Guards against a caller who takes up a stream of a build that was rolled back and reaches it again. Before the roll-back, it does.
#[tokio::test(flavor = "multi_thread")]
async fn verify_stream_of_a_rolled_back_build_is_refused() {
    let store = Store::default();
    store.put(
        Topic::Operators,
        "config",
        Some(catalog_of(harness::definition())),
    );
    let former = add_targets(&store, "v1", Behaviour::Answer).await;
    let breaking = MockTarget::start(Behaviour::BreakStream).await;
    let mut listed = announcement("v2-stream", &breaking.address.to_string());
    listed.target.build = "v2".into();
    store.put(Topic::Targets, "v2-stream", Some(Fact::Target(listed)));
    let fleet = Fleet::start_before(store.clone(), GATEWAYS, 1).await;
    let callers = fleet.callers[0];
    let mut number = 0;
    while breaking.request_count() == 0 {
        number += 1;
        call(callers, &format!("s{number}"), "x-begins: 1\r\n").await;
        assert!(number < 1_000, "no stream began at the new build");
    }
    let headers = format!("last-event-id: 2\r\nx-resumes: s{number}\r\n");
    let begun = breaking.request_count();
    call(callers, "again-1", &headers).await;
    assert!(
        breaking.request_count() > begun,
        "the stream went on nowhere"
    );
    order(&store, "v2");
    let new = add_targets(&store, "v2", Behaviour::Fail).await;
    let stage = Stage {
        store,
        former,
        new,
        fleet,
        is_over: Arc::default(),
        failures: Arc::default(),
    };
    stage.send_requests();
    stage.wait_for(State::RolledBack).await;
    stage.settle().await;
    let before = breaking.request_count() + requests(&stage.new);
    let answer = call(callers, "again-2", &headers).await;
    assert!(!looks_complete(&answer), "{answer}");
    assert_eq!(breaking.request_count() + requests(&stage.new), before);
}

/// Guards against datagrams that are too large for a path between gateways.
#[test]
fn verify_observations_fit_into_datagrams() {
    let full = Histogram([u32::MAX; CLASSES]);
    let count = Count {
        sent: u32::MAX,
        failed: u32::MAX,
        first: full,
        pace: full,
    };
    let keys = (0..48).map(|index| Key::new(&format!("route{index}"), Side::New));
    let observation = Observation {
        pool: "a-pool-with-a-long-name".into(),
        build: "a-build-with-a-long-name".into(),
        process: Process {
            gateway: "a-gateway-with-a-long-name".into(),
            start: u32::MAX,
        },
        tally: Tally {
            counts: keys.map(|key| (key, count)).collect(),
            ..Tally::default()
        },
    };
    let parts = encode_parts(observation);
    assert!(parts.len() > 1);
    for part in parts {
        assert!(part.len() <= DATAGRAM_MAX_BYTES, "{}", part.len());
    }
}
