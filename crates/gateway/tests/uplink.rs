//! Tests of large updates that a gateway sends to others over a narrow link.

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
use futures_util::future;
use harness::{announcement, definition, dialect, settings};
use indexmap::IndexMap;
use parking_lot::Mutex;
use rstest::rstest;
use sardinemux_core::catalog::Definition;
use sardinemux_core::collection::Role;
use sardinemux_core::hash;
use sardinemux_core::readers::ReaderState;
use sardinemux_core::uplink::{self, LARGE_BYTES};
use sardinemux_gateway::client::Progress;
use sardinemux_gateway::members::Standing;
use sardinemux_gateway::peers::{self, Scope};
use sardinemux_gateway::prelude::*;
use sardinemux_gateway::reports::{self, Report};
use sardinemux_gateway::settings::Settings;
use sardinemux_gateway::source::{Fact, Member, Topic};
use tokio::net::{TcpListener, UdpSocket};
use tokio::time;

/// The number of routes of a large catalogue.
const ROUTES: u64 = 3_000;

const FOLLOWERS: usize = 12;

/// The users' bound on the time until a change is in force.
const PROPAGATION_MAX: Duration = Duration::from_secs(2);

/// The time limit for what must happen in the end. It ends a hanging test; no result depends on it.
const TIME_MAX: Duration = Duration::from_secs(30);

fn large_definition(version: u64) -> Definition {
    let mut definition = definition();
    definition.version = version;
    let first = definition.routes[0].clone();
    definition.routes.extend((0..ROUTES).map(|index| {
        // Random names, of which no part can be left out by compression.
        let name = hash::digest(&[&index.to_le_bytes()]);
        let prefix = hash::digest(&[&name.to_le_bytes()]);
        let mut route = first.clone();
        route.name = format!("{name:016x}").into();
        route.prefix = format!("/{prefix:016x}/").into();
        route
    }));
    definition
}

async fn start(settings: &Settings, store: &Store) -> Arc<Gateway> {
    let gateway = harness::spawn(settings.clone(), store.source(&settings.name));
    while !gateway.can_serve() {
        time::sleep(Duration::from_millis(10)).await;
    }
    gateway
}

fn store_of(definition: Definition) -> Store {
    let store = Store::default();
    store.put(Topic::Operators, "config", Some(catalog_of(definition)));
    let target = announcement("t0", "127.0.0.1:1");
    store.put(Topic::Targets, "t0", Some(Fact::Target(target)));
    store
}

/// The size of an answer without entries, in bytes.
const EMPTY_BYTES: u64 = 1_000;

/// Returns the number of answers that are on their way: more than a large update is still to come of them.
fn count_running(answers: &[Mutex<Arc<Progress>>], whole: u64) -> usize {
    let received = answers.iter().map(|answer| answer.lock().received());
    let running = received.filter(|it| *it > EMPTY_BYTES && it + (LARGE_BYTES as u64) < whole);
    running.count()
}

/// A gateway sends a large catalogue to all that ask at once, so that requests wait behind it on the link.
#[rstest]
#[case::narrow(10)]
#[case::wide(40)]
#[tokio::test]
async fn verify_large_updates_are_sent_a_few_at_a_time(#[case] link_mbps: u32) {
    let sender = Settings {
        link_mbps,
        ..settings()
    };
    let sender = start(&sender, &store_of(large_definition(2))).await;
    let address = sender.settings.peer_address;
    let fetch = async |answer: &Mutex<Arc<Progress>>| {
        let follower = Gateway::new(settings(), dialect()).unwrap();
        loop {
            let progress = Arc::new(Progress::default());
            *answer.lock() = progress.clone();
            let topic = Topic::Operators;
            let update = peers::fetch_update(&follower, address, topic, Scope::Whole, &progress);
            if !update.await.unwrap().batch.entries.is_empty() {
                return progress.received();
            }
        }
    };
    let whole = fetch(&Mutex::default()).await;
    let answers: Vec<Mutex<Arc<Progress>>> = (0..FOLLOWERS).map(|_| Mutex::default()).collect();
    let mut most = 0;
    let watch = async {
        loop {
            most = most.max(count_running(&answers, whole));
            time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::select! {
        _ = future::join_all(answers.iter().map(fetch)) => {}
        () = watch => {}
        () = time::sleep(TIME_MAX) => panic!("not all have the update"),
    }
    assert!(most >= 1, "no transfer was seen");
    assert!(most <= uplink::transfers_max(link_mbps), "{most} at once");
}

/// A gateway that reports the newest entries, accepts connections and never answers.
struct Mute {
    address: SocketAddr,
    _listener: TcpListener,
    socket: UdpSocket,
}

impl Mute {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let socket = UdpSocket::bind(address).await.unwrap();
        Self {
            address,
            _listener: listener,
            socket,
        }
    }

    /// Reports at intervals, and never returns.
    async fn report(&self, name: &str, newest: u64, to: SocketAddr) {
        let standing = Standing {
            state: ReaderState::Following,
            newest: newest.into(),
        };
        let report = Report {
            member: Member {
                name: name.into(),
                address: self.address,
            },
            is_stopping: false,
            zone: "z1".into(),
            followed_ms: 0,
            link_mbps: 1_000,
            operators: standing,
            targets: standing,
            running: IndexMap::new(),
            catalog: 0,
            compares_catalogs: true,
            learns_catalogs: true,
            checks_patches: true,
            role: Role::None,
            takes_permits: false,
            keeps_former_base: false,
            confirms_records: false,
        };
        let bytes = reports::encode(&report).unwrap();
        loop {
            self.socket.send_to(&bytes, to).await.unwrap();
            time::sleep(Duration::from_millis(50)).await;
        }
    }
}

/// A change is not in force while gateways that have it do not answer, as each is asked again once another one has been.
#[tokio::test]
async fn verify_change_is_received_beside_gateways_that_do_not_answer() {
    let named = |name: &str, zone: &str| Settings {
        name: name.into(),
        zone: zone.into(),
        ..settings()
    };
    let (holder, follower) = (named("g1", "z2"), named("g2", "z1"));
    let store = store_of(definition());
    let holder = start(&holder, &store).await;
    let own = store_of(definition());
    let member = Member {
        name: holder.settings.name.clone(),
        address: holder.settings.peer_address,
    };
    own.put(
        Topic::Members,
        &member.name,
        Some(Fact::Member(member.clone())),
    );
    let follower = start(&follower, &own).await;
    let mutes = [Mute::start().await, Mute::start().await];
    let to = follower.settings.peer_address;
    let reports = mutes.iter().enumerate();
    let reports = reports.map(|(index, mute)| async move {
        mute.report(&format!("mute{index}"), 100, to).await;
    });
    let change = async {
        own.silence_readers(Topic::Operators, 9);
        // The reports of the mute ones have made the follower leave the store to them.
        time::sleep(Duration::from_millis(1_500)).await;
        let mut definition = definition();
        definition.version = 2;
        store.put(Topic::Operators, "config", Some(catalog_of(definition)));
        let in_force = async {
            while follower.catalog().version() < 2 {
                time::sleep(Duration::from_millis(5)).await;
            }
        };
        time::timeout(PROPAGATION_MAX, in_force).await.unwrap();
    };
    tokio::select! {
        _ = future::join_all(reports) => {}
        () = change => {}
    }
}
