//! Tests of the sizes of datagrams where names are long.

#![expect(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a test fails by panicking"
)]

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/harness.rs"]
mod harness;
#[path = "support/peer.rs"]
mod peer;

use std::collections::BTreeSet;
use std::fmt::Debug;
use std::time::Duration;

use fleet::{catalog_of, Store};
use harness::{announcement, wait_until_serving};
use peer::Peer;
use rstest::rstest;
use sardinemux_core::collection::Role;
use sardinemux_core::origin::{Epoch, Origin};
use sardinemux_core::rollout::{Directive, State};
use sardinemux_gateway::datagram::SENT_MAX_BYTES;
use sardinemux_gateway::members::Standing;
use sardinemux_gateway::reports::{self, Report};
use sardinemux_gateway::rollouts::News;
use sardinemux_gateway::settings::Settings;
use sardinemux_gateway::source::{Fact, Member, Topic};
use sardinemux_gateway::supplement::{self, Supplement};
use smol_str::SmolStr;
use tokio::time;

/// The time limit for what a gateway does by itself. It ends a failing test; no result depends on it.
const PATIENCE: Duration = Duration::from_secs(20);

/// Returns a name of 60 characters.
fn long(kind: &str, number: usize) -> SmolStr {
    format!("{kind}-{number:0>width$}", width = 59 - kind.len()).into()
}

fn origin(number: usize) -> Origin {
    Origin {
        stream: number as u64,
        pool: long("pool", number),
        build: long("build", number),
    }
}

fn news(number: usize) -> News {
    News {
        pool: long("pool", number),
        build: long("build", number),
        directive: Directive {
            term: 1,
            state: State::Active,
            share: 0.5,
            is_stored: false,
            elapsed_ms: 1_000,
            targets: 4,
        },
    }
}

fn origins_in(supplement: Supplement) -> Vec<Origin> {
    match supplement {
        Supplement::Records(origins) | Supplement::Origins(origins) => origins,
        other => panic!("{other:?}"),
    }
}

fn news_in(supplement: Supplement) -> Vec<News> {
    match supplement {
        Supplement::Rollouts(news) => news,
        other => panic!("{other:?}"),
    }
}

/// A datagram with more than a receiver reads is dropped as a whole.
#[rstest]
#[case::records(origin, Supplement::Records, origins_in)]
#[case::records_of_the_former_build(origin, Supplement::Origins, origins_in)]
#[case::rollouts(news, Supplement::Rollouts, news_in)]
fn verify_items_with_long_names_fit_into_datagrams<T: Clone + PartialEq + Debug>(
    #[case] item: fn(usize) -> T,
    #[case] wrap: fn(Vec<T>) -> Supplement,
    #[case] unwrap: fn(Supplement) -> Vec<T>,
) {
    let items: Vec<T> = (0..100).map(item).collect();
    let datagrams = supplement::split(&items, wrap);
    assert!(datagrams.iter().all(|bytes| bytes.len() <= SENT_MAX_BYTES));
    let read = datagrams
        .iter()
        .map(|bytes| supplement::decode(bytes).unwrap().0);
    assert_eq!(read.flat_map(unwrap).collect::<Vec<T>>(), items);
}

/// A gateway whose reports are too large is silent for all others.
#[test]
fn verify_report_with_long_names_is_sent_with_the_busiest_targets() {
    let running = (0..64).map(|number| (long("target", number), 100 - number as u32));
    let report = Report {
        member: Member {
            name: long("gateway", 0),
            address: "127.0.0.1:1".parse().unwrap(),
        },
        is_stopping: false,
        zone: long("zone", 0),
        followed_ms: 0,
        link_mbps: 1,
        operators: Standing::default(),
        targets: Standing::default(),
        running: running.collect(),
        catalog: 1,
        compares_catalogs: true,
        learns_catalogs: true,
        checks_patches: true,
        role: Role::Member,
        takes_permits: true,
        keeps_former_base: true,
        confirms_records: true,
    };
    let (sent, bytes) = reports::encode_fitting(report.clone()).unwrap();
    assert!(bytes.len() <= SENT_MAX_BYTES);
    assert_eq!(reports::decode(&bytes).unwrap().running, sent.running);
    assert!(sent.running.len() >= 15);
    let busiest = report.running.iter().take(sent.running.len());
    assert!(sent.running.iter().eq(busiest));
}

async fn start(store: &Store, settings: &Settings) {
    store.put(
        Topic::Operators,
        "config",
        Some(catalog_of(harness::definition())),
    );
    let target = announcement("t0", "127.0.0.1:1");
    store.put(Topic::Targets, "t0", Some(Fact::Target(target)));
    harness::spawn(settings.clone(), store.source(&settings.name));
    wait_until_serving(settings.caller_address, settings.ready_address).await;
}

/// Another gateway reads no more of a datagram than its buffer holds.
#[tokio::test]
async fn verify_epochs_with_long_names_are_told_in_datagrams_that_can_be_read() {
    let store = Store::default();
    let pools: BTreeSet<SmolStr> = (0..20).map(|number| long("pool", number)).collect();
    for pool in &pools {
        let epoch = Epoch {
            base: None,
            builds: vec![long("build", 1), long("build", 2)],
            ..Epoch::default()
        };
        let written = store.era();
        store.put(Topic::Builds, pool, Some(Fact::Builds { epoch, written }));
    }
    let settings = harness::settings();
    start(&store, &settings).await;
    let peer = Peer::join_as("peer", Some(Role::Member), settings.peer_address).await;
    let until = time::Instant::now() + PATIENCE;
    let mut told = BTreeSet::new();
    while !pools.is_subset(&told) {
        peer.report().await;
        let received = time::timeout_at(until, peer.next()).await.unwrap();
        if let Some(Supplement::Builds { epochs, .. }) = received {
            told.extend(epochs.into_iter().map(|(pool, _)| pool));
        }
    }
}

/// Gateways of the former build send up to 40 records, whatever their size.
#[tokio::test]
async fn verify_large_datagram_of_the_former_build_is_read() {
    let store = Store::default();
    let settings = harness::settings();
    start(&store, &settings).await;
    let peer = Peer::join(settings.peer_address).await;
    let records = (0..40).map(origin).collect();
    peer.send(&Supplement::Origins(records)).await;
    let until = time::Instant::now() + PATIENCE;
    while store.count(Topic::Origins) < 40 {
        assert!(time::Instant::now() < until);
        time::sleep(Duration::from_millis(50)).await;
    }
}
