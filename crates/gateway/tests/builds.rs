//! Tests of streams in pools whose targets are of several builds: a stream goes on only at the build that began it.

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
use std::time::Duration;

use fleet::{catalog_of, Store};
use harness::mock::{Behaviour, MockTarget};
use harness::{announcement, exchange, header, looks_complete, wait_until_serving};
use rstest::rstest;
use sardinemux_core::catalog::Definition;
use sardinemux_core::origin::{self, Epoch};
use sardinemux_core::roster::Announcement;
use sardinemux_gateway::settings::Settings;
use sardinemux_gateway::source::{Fact, Member, Topic};
use sardinemux_gateway::suspension;
use tokio::runtime::Runtime;
use tokio::time;

/// The time limit for what gateways do by themselves. It ends a failing test; no result depends on it.
const PATIENCE: Duration = Duration::from_secs(20);

/// The number of streams at each build before the store loses one: more than the users allow to go on at another build.
const LOST_STREAMS: usize = 3;

fn definition() -> Definition {
    let mut definition = harness::definition();
    for route in &mut definition.routes {
        route.timeout_ms = 8_000;
    }
    definition
}

/// Returns the announcement of a target with this build. Gateways prefer those of the near zone.
fn listed(id: &str, target: &MockTarget, build: &str, is_near: bool) -> Announcement {
    let mut announcement = announcement(id, &target.address.to_string());
    announcement.target.build = build.into();
    announcement.target.zone = if is_near { "z1" } else { "z2" }.into();
    announcement
}

fn put(store: &Store, announcement: Announcement) {
    let id = announcement.target.id.clone();
    store.put(Topic::Targets, &id, Some(Fact::Target(announcement)));
}

/// Returns the number of requests for the rest of a stream that a target got.
fn resumptions(target: &MockTarget) -> usize {
    let observed = target.observed.lock();
    let resumed = observed
        .requests
        .iter()
        .filter(|request| header(request, "last-event-id").is_some());
    resumed.count()
}

/// A gateway in a runtime of its own, so that it can be killed.
struct Gateway {
    callers: SocketAddr,
    runtime: Runtime,
}

impl Gateway {
    async fn start(store: &Store, name: &str) -> Self {
        Self::start_in(store, name, "z1").await
    }

    async fn start_in(store: &Store, name: &str, zone: &str) -> Self {
        let settings = Settings {
            name: name.into(),
            zone: zone.into(),
            ..harness::settings()
        };
        let (callers, ready) = (settings.caller_address, settings.ready_address);
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        let source = store.source(&settings.name);
        runtime.block_on_outside(async move {
            harness::spawn(settings, source);
        });
        wait_until_serving(callers, ready).await;
        Self { callers, runtime }
    }

    fn kill(self) {
        self.runtime.shutdown_background();
    }

    /// Sends a request for a stream under an id.
    async fn stream(&self, id: &str, headers: &str) -> String {
        let request = harness::request("POST", "/resumable/", headers, "p");
        exchange(
            self.callers,
            &request.replace("x-id: r1", &format!("x-id: {id}")),
        )
        .await
    }

    /// Waits until a stream has begun at a target, which shows that its build has joined.
    async fn wait_for_join(&self, target: &MockTarget) {
        let until = time::Instant::now() + PATIENCE;
        for number in 0.. {
            self.stream(&format!("n{number}"), "").await;
            if target.request_count() > 0 {
                return;
            }
            assert!(time::Instant::now() < until);
        }
    }

    /// Takes up the stream that the request `id` began, after its second event, and again as long as it is refused.
    async fn take_up(&self, id: &str) -> String {
        let headers = format!("last-event-id: 2\r\nx-resumes: {id}\r\n");
        let until = time::Instant::now() + PATIENCE;
        loop {
            let answer = self.stream(&format!("{id}-again"), &headers).await;
            if looks_complete(&answer) || time::Instant::now() >= until {
                return answer;
            }
            time::sleep(Duration::from_millis(100)).await;
        }
    }
}

/// Runs a future on a runtime from within another one.
trait Outside {
    fn block_on_outside(&self, future: impl std::future::Future<Output = ()> + Send + 'static);
}

impl Outside for Runtime {
    fn block_on_outside(&self, future: impl std::future::Future<Output = ()> + Send + 'static) {
        let handle = self.handle().clone();
        std::thread::spawn(move || handle.block_on(future))
            .join()
            .unwrap();
    }
}

#[rstest]
#[case::broken(Behaviour::BreakStream)]
#[case::silent(Behaviour::PauseStream(60_000))]
#[tokio::test]
async fn verify_stream_is_not_resumed_at_another_build(#[case] behaviour: Behaviour) {
    let first = MockTarget::start(behaviour).await;
    let other = MockTarget::start(Behaviour::Stream).await;
    let same = MockTarget::start(Behaviour::Stream).await;
    let targets = vec![
        listed("t0", &first, "v1", true),
        listed("t1", &other, "v2", true),
        listed("t2", &same, "v1", false),
    ];
    let settings = harness::settings();
    harness::spawn(
        settings.clone(),
        harness::source_of(targets, Some(definition())),
    );
    wait_until_serving(settings.caller_address, settings.ready_address).await;
    let mut begun = 0;
    while begun == 0 {
        let request = harness::request("POST", "/resumable/", "", "p");
        let answer = exchange(settings.caller_address, &request).await;
        assert!(looks_complete(&answer), "{answer}");
        begun = first.request_count();
    }
    assert_eq!(resumptions(&other), 0);
    assert!(resumptions(&same) > 0);
}

#[tokio::test]
async fn verify_stream_whose_build_has_left_is_not_resumed() {
    let first = MockTarget::start(Behaviour::BreakStream).await;
    let other = MockTarget::start(Behaviour::Stream).await;
    let store = Store::default();
    store.put(Topic::Operators, "config", Some(catalog_of(definition())));
    put(&store, listed("t0", &first, "v1", true));
    let gateway = Gateway::start(&store, "g0").await;
    let answer = gateway.stream("r1", "").await;
    assert!(!looks_complete(&answer), "{answer}");
    store.put(Topic::Targets, "t0", None);
    put(&store, listed("t1", &other, "v2", true));
    let headers = "last-event-id: 2\r\nx-resumes: r1\r\n";
    let until = time::Instant::now() + PATIENCE;
    // A new stream begins once the gateway has followed the change of the targets.
    while !looks_complete(&gateway.stream("r2", "").await) {
        assert!(time::Instant::now() < until);
        let answer = gateway.stream("r3", headers).await;
        assert!(!looks_complete(&answer), "{answer}");
    }
    let answer = gateway.stream("r4", headers).await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert_eq!(resumptions(&other), 0);
    gateway.kill();
}

/// The new build appears while no gateway is alive that has seen the streams begin.
#[tokio::test]
async fn verify_stream_goes_on_at_its_build_after_all_gateways_were_killed() {
    let first = MockTarget::start(Behaviour::BreakStream).await;
    let same = MockTarget::start(Behaviour::Stream).await;
    let other = MockTarget::start(Behaviour::Stream).await;
    let store = Store::default();
    store.put(Topic::Operators, "config", Some(catalog_of(definition())));
    put(&store, listed("t0", &first, "v1", true));
    let gateway = Gateway::start(&store, "g0").await;
    for number in 0..4 {
        let answer = gateway.stream(&format!("r{number}"), "").await;
        assert!(!looks_complete(&answer), "{answer}");
    }
    gateway.kill();
    store.put(Topic::Targets, "t0", None);
    put(&store, listed("t1", &other, "v2", true));
    put(&store, listed("t2", &same, "v1", false));
    let gateway = Gateway::start(&store, "g1").await;
    for number in 0..4 {
        let answer = gateway.take_up(&format!("r{number}")).await;
        assert!(looks_complete(&answer), "{answer}");
    }
    assert_eq!(resumptions(&other), 0);
    assert_eq!(resumptions(&same), 4);
    gateway.kill();
}

/// Streams of both builds are running when all gateways are killed.
#[rstest]
#[case::sound_store(false)]
#[case::lost_answer_of_the_store(true)]
#[tokio::test]
async fn verify_streams_of_two_builds_go_on_at_theirs_after_all_gateways_were_killed(
    #[case] loses_answer: bool,
) {
    let breaking = [
        MockTarget::start(Behaviour::BreakStream).await,
        MockTarget::start(Behaviour::BreakStream).await,
    ];
    let store = Store::default();
    store.put(Topic::Operators, "config", Some(catalog_of(definition())));
    put(&store, listed("t0", &breaking[0], "v1", true));
    put(&store, listed("t1", &breaking[1], "v2", true));
    let gateway = Gateway::start(&store, "g0").await;
    if loses_answer {
        store.lose_answer_of_record();
    }
    let until = time::Instant::now() + PATIENCE;
    let mut begun: Vec<(String, usize)> = Vec::new();
    for (build, target) in breaking.iter().enumerate() {
        let mut count = 0;
        while count < 3 {
            assert!(
                time::Instant::now() < until,
                "no stream began at build {build}"
            );
            let before = target.request_count();
            let id = format!("r{}", begun.len());
            gateway.stream(&id, "").await;
            match target.request_count() > before {
                true => {
                    begun.push((id, build));
                    count += 1;
                }
                false => time::sleep(Duration::from_millis(50)).await,
            }
            // The other target is preferred next, as this one is in backoff.
            time::sleep(Duration::from_millis(50)).await;
        }
    }
    // What a gateway records is in the store a moment later.
    time::sleep(Duration::from_secs(1)).await;
    gateway.kill();
    let sound = [
        MockTarget::start(Behaviour::Stream).await,
        MockTarget::start(Behaviour::Stream).await,
    ];
    for (index, (target, build)) in sound.iter().zip(["v1", "v2"]).enumerate() {
        store.put(Topic::Targets, &format!("t{index}"), None);
        put(
            &store,
            listed(&format!("t{}", index + 2), target, build, true),
        );
    }
    let gateway = Gateway::start(&store, "g1").await;
    for (id, build) in &begun {
        let before = resumptions(&sound[*build]);
        let answer = gateway.take_up(id).await;
        assert!(looks_complete(&answer), "{answer}");
        assert_eq!(resumptions(&sound[*build]), before + 1, "{id}");
    }
    gateway.kill();
}

/// The gateway of the streams is lost before the other build is listed.
#[tokio::test]
async fn verify_streams_of_a_lost_gateway_go_on_after_another_build_has_joined() {
    let first = MockTarget::start(Behaviour::BreakStream).await;
    let same = MockTarget::start(Behaviour::Stream).await;
    let other = MockTarget::start(Behaviour::Stream).await;
    let store = Store::default();
    store.put(Topic::Operators, "config", Some(catalog_of(definition())));
    put(&store, listed("t0", &first, "v1", true));
    let lost = Gateway::start(&store, "g0").await;
    let gateway = Gateway::start(&store, "g1").await;
    let ids: Vec<String> = (0..16).map(|number| format!("r{number}")).collect();
    for id in &ids {
        let answer = lost.stream(id, "").await;
        assert!(!looks_complete(&answer), "{answer}");
    }
    lost.kill();
    store.put(Topic::Targets, "t0", None);
    put(&store, listed("t1", &same, "v1", false));
    put(&store, listed("t2", &other, "v2", true));
    gateway.wait_for_join(&other).await;
    let is_lasting = |id: &&String| {
        let stream = origin::stream_id("o1", id.as_bytes());
        !origin::may_begin_at_recent(stream)
    };
    let (lasting, recent): (Vec<_>, Vec<_>) = ids.iter().partition(is_lasting);
    assert!(lasting.len() > LOST_STREAMS && !recent.is_empty());
    let before = resumptions(&same);
    for id in &lasting {
        let answer = gateway.take_up(id).await;
        assert!(looks_complete(&answer), "{id}: {answer}");
    }
    for id in recent {
        let headers = format!("last-event-id: 2\r\nx-resumes: {id}\r\n");
        let answer = gateway.stream(&format!("{id}-again"), &headers).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{id}: {answer}");
    }
    assert_eq!(resumptions(&same), before + lasting.len());
    assert_eq!(resumptions(&other), 0);
    gateway.kill();
}

/// One of the gateways writes the records; which one depends on the names. Each reads the store for its zone, so that none notices at once that another is gone.
#[rstest]
#[case::first(0)]
#[case::second(1)]
#[case::third(2)]
#[tokio::test]
async fn verify_records_are_not_lost_with_a_gateway_that_was_just_killed(#[case] lost: usize) {
    let first = MockTarget::start(Behaviour::BreakStream).await;
    let same = MockTarget::start(Behaviour::Stream).await;
    let other = MockTarget::start(Behaviour::Stream).await;
    let store = Store::default();
    store.put(Topic::Operators, "config", Some(catalog_of(definition())));
    put(&store, listed("t0", &first, "v1", true));
    let zones = ["z0", "z1", "z2"];
    let mut gateways = Vec::new();
    for zone in zones {
        gateways.push(Gateway::start_in(&store, &format!("g-{zone}"), zone).await);
    }
    gateways.rotate_left(lost);
    let [begun_in, taken_up_in] = [1, 2].map(|index| zones[(lost + index) % zones.len()]);
    let taking_up = gateways.pop().unwrap();
    let begun_at = gateways.pop().unwrap();
    // The gateways agree on the one that writes.
    time::sleep(Duration::from_millis(1_500)).await;
    let ids: Vec<String> = (0..16).map(|number| format!("r{number}")).collect();
    for id in &ids {
        let answer = begun_at.stream(id, "").await;
        assert!(!looks_complete(&answer), "{answer}");
    }
    gateways.pop().unwrap().kill();
    store.put(Topic::Targets, "t0", None);
    for (id, target, build, zone) in [
        ("t1", &same, "v1", begun_in),
        ("t2", &other, "v2", taken_up_in),
    ] {
        let mut announcement = listed(id, target, build, true);
        announcement.target.zone = zone.into();
        put(&store, announcement);
    }
    taking_up.wait_for_join(&other).await;
    begun_at.kill();
    for id in &ids {
        let answer = taking_up.take_up(id).await;
        assert!(looks_complete(&answer), "{id}: {answer}");
    }
    assert_eq!(resumptions(&other), 0);
    taking_up.kill();
}

/// How a gateway is out of step while a target of another build joins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OutOfStep {
    /// It has stood still.
    StoodStill,
    /// It is cut off from the store and from most gateways, of which it hears one that is cut off as well.
    CutOff,
}

/// A gateway that takes its list of targets for current goes on with a stream of a build that has joined meanwhile at the former one.
#[rstest]
#[case::stood_still(OutOfStep::StoodStill)]
#[case::cut_off(OutOfStep::CutOff)]
#[tokio::test]
async fn verify_gateway_out_of_step_does_not_resume_at_the_former_build(
    #[case] out_of_step: OutOfStep,
) {
    let former = MockTarget::start(Behaviour::Stream).await;
    let store = Store::default();
    store.put(Topic::Operators, "config", Some(catalog_of(definition())));
    put(&store, listed("t0", &former, "v1", true));
    if out_of_step == OutOfStep::CutOff {
        let other = Member {
            name: "g2".into(),
            address: harness::find_free_addresses(1)[0],
        };
        store.put(Topic::Members, "g2", Some(Fact::Member(other)));
    }
    let names: &[&str] = match out_of_step {
        OutOfStep::StoodStill => &["g0"],
        OutOfStep::CutOff => &["g0", "g1"],
    };
    let settings = names.iter().map(|name| Settings {
        name: (*name).into(),
        ..harness::settings()
    });
    let settings: Vec<Settings> = settings.collect();
    let mut gateways = Vec::new();
    for settings in &settings {
        gateways.push(harness::spawn(
            settings.clone(),
            store.source(&settings.name),
        ));
        wait_until_serving(settings.caller_address, settings.ready_address).await;
    }
    let call = |headers: &str| {
        let request = harness::request("POST", "/resumable/", headers, "p");
        let address = settings[0].caller_address;
        async move { exchange(address, &request).await }
    };
    // The first stream begins once the epoch has a base, and it is read again for the second one.
    for headers in ["", "last-event-id: 2\r\nx-resumes: s0\r\n"] {
        let answer = call(headers).await;
        assert!(looks_complete(&answer), "{answer}");
    }
    let begun = former.request_count();
    store.reject_all();
    // What the gateways have read stays recent.
    time::sleep(Duration::from_millis(50)).await;
    let other = MockTarget::start(Behaviour::Stream).await;
    put(&store, listed("t1", &other, "v2", true));
    let epoch = Epoch {
        base: None,
        builds: vec!["v1".into(), "v2".into()],
        ..Epoch::default()
    };
    let joined = Fact::Builds {
        epoch,
        written: None,
    };
    store.put(Topic::Builds, "p", Some(joined));
    match out_of_step {
        OutOfStep::StoodStill => suspension::invalidate_state(&gateways[0]),
        OutOfStep::CutOff => time::sleep(Duration::from_secs(2)).await,
    }
    for number in 1..5 {
        let headers = format!("last-event-id: 2\r\nx-resumes: s{number}\r\n");
        let answer = call(&headers).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    }
    assert_eq!(former.request_count(), begun);
}

/// Without a record, a stream at a build whose join the store has lost looks like one that began at the base.
#[tokio::test]
async fn verify_stream_at_a_build_that_the_store_lost_does_not_go_on_at_the_base() {
    let former = MockTarget::start(Behaviour::Stream).await;
    let other = MockTarget::start(Behaviour::Stream).await;
    let store = Store::default();
    store.begin_era();
    store.put(Topic::Operators, "config", Some(catalog_of(definition())));
    put(&store, listed("t0", &former, "v1", false));
    let base = Fact::Builds {
        epoch: Epoch {
            base: Some("v1".into()),
            builds: vec!["v1".into()],
            ..Epoch::default()
        },
        written: store.era(),
    };
    store.put(Topic::Builds, "p", Some(base));
    let copy = store.copy();
    put(&store, listed("t1", &other, "v2", true));
    let gateway = Gateway::start(&store, "g0").await;
    let until = time::Instant::now() + PATIENCE;
    let mut begun = [Vec::new(), Vec::new()];
    for number in 0.. {
        assert!(time::Instant::now() < until, "{begun:?}");
        if begun.iter().all(|ids| ids.len() >= LOST_STREAMS) {
            break;
        }
        let before = [former.request_count(), other.request_count()];
        let id = format!("r{number}");
        // A stream that may begin at either build begins at the target of the near zone.
        gateway.stream(&id, "").await;
        if other.request_count() > before[1] {
            begun[1].push(id);
        } else if former.request_count() > before[0] {
            begun[0].push(id);
        }
    }
    store.restore(copy);
    gateway.kill();
    let before = former.request_count();
    let gateway = Gateway::start(&store, "g1").await;
    let is_lasting = |id: &&String| {
        let stream = origin::stream_id("o1", id.as_bytes());
        !origin::may_begin_at_recent(stream)
    };
    let lasting = begun[0].iter().filter(is_lasting);
    let lasting: Vec<&String> = lasting.rev().take(LOST_STREAMS).collect();
    assert_eq!(lasting.len(), LOST_STREAMS);
    for id in &lasting {
        let answer = gateway.take_up(id).await;
        assert!(looks_complete(&answer), "{id}: {answer}");
    }
    for id in &begun[1] {
        let headers = format!("last-event-id: 2\r\nx-resumes: {id}\r\n");
        let answer = gateway.stream(&format!("{id}-again"), &headers).await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{id}: {answer}");
    }
    assert_eq!(former.request_count(), before + lasting.len());
    gateway.kill();
}
