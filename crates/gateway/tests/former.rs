//! Tests of what gateways exchange with those of an earlier build, whose messages have no appendix and whose positions no era.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "support/harness.rs"]
mod harness;

use std::time::Duration;

use bytes::Bytes;
use harness::{announcement, settings};
use hyper::Request;
use indexmap::IndexMap;
use rstest::rstest;
use sardinemux_core::catalog::Catalog;
use sardinemux_core::collection::Role;
use sardinemux_core::origin::{Epoch, Stored};
use sardinemux_core::position::Position;
use sardinemux_core::readers::ReaderState;
use sardinemux_gateway::client::{Client, Limits, Progress};
use sardinemux_gateway::members::Standing;
use sardinemux_gateway::peers::{self, Scope};
use sardinemux_gateway::prelude::*;
use sardinemux_gateway::replication;
use sardinemux_gateway::reports::{self, Report};
use sardinemux_gateway::source::{Fact, Member, Topic};
use sardinemux_gateway::supplement::{self, Supplement};
use serde::{Deserialize, Serialize};
use tokio::time;

/// The messages as the earlier build declares them, in the order of their fields.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct FormerReport {
    member: Member,
    is_stopping: bool,
    zone: SmolStr,
    followed_ms: u64,
    link_mbps: u32,
    operators: (ReaderState, u64),
    targets: (ReaderState, u64),
    running: IndexMap<SmolStr, u32>,
}

#[derive(Debug, Serialize, Deserialize)]
struct FormerQuery {
    topic: Topic,
    since: Option<u64>,
    catalog: u64,
    waits: bool,
    id: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct FormerEntry {
    key: SmolStr,
    fact: Option<Fact>,
    version: u64,
    may_return: bool,
}

#[derive(Debug, Serialize, Deserialize)]
struct FormerBatch {
    entries: Vec<FormerEntry>,
    version: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct FormerUpdate {
    is_following: bool,
    is_complete: bool,
    batch: FormerBatch,
}

#[derive(Debug, Serialize, Deserialize)]
struct FormerAnswer {
    id: u64,
    update: FormerUpdate,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct FormerStored {
    epoch: Epoch,
    version: u64,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum FormerSupplement {
    Builds {
        uptime_ms: u64,
        epochs: Vec<(SmolStr, FormerStored)>,
    },
}

fn member() -> Member {
    Member {
        name: "g1".into(),
        address: "127.0.0.1:7".parse().unwrap(),
    }
}

fn report(member: Member) -> Report {
    Report {
        member,
        is_stopping: false,
        zone: "z1".into(),
        followed_ms: 5,
        link_mbps: 9,
        operators: Standing::default(),
        targets: Standing::default(),
        running: IndexMap::new(),
        catalog: 44,
        compares_catalogs: true,
        learns_catalogs: true,
        checks_patches: true,
        role: Role::Collector,
        takes_permits: true,
        keeps_former_base: true,
        confirms_records: true,
    }
}

/// A report that either build cannot read leaves its gateway unknown to the others.
#[test]
fn verify_reports_are_read_by_either_build() {
    let standing = |era, version| Standing {
        state: ReaderState::Following,
        newest: Position::new(era, version),
    };
    let report = Report {
        operators: standing(Some(3), 120),
        targets: standing(Some(2), 7),
        running: [("t0".into(), 4)].into_iter().collect(),
        ..report(member())
    };
    let bytes = reports::encode(&report).unwrap();
    let read = reports::decode(&bytes).unwrap();
    assert!(
        read.takes_permits
            && read.checks_patches
            && read.keeps_former_base
            && read.confirms_records
    );
    assert_eq!(read.operators, report.operators);
    assert_eq!(read.targets, report.targets);
    assert_eq!((read.catalog, read.role), (44, Role::Collector));
    let former: FormerReport = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(former.operators, (ReaderState::Following, 120));
    assert_eq!(former.running, report.running);
    let read = reports::decode(&rmp_serde::to_vec(&former).unwrap()).unwrap();
    assert_eq!(read.operators, standing(None, 120));
    assert_eq!((read.catalog, read.role), (0, Role::None));
    assert!(!read.checks_patches && !read.keeps_former_base && !read.confirms_records);
    assert_eq!(read.running, report.running);
}

/// The same for the builds of pools.
#[test]
fn verify_epochs_are_read_by_either_build() {
    let epoch = Epoch {
        base: None,
        builds: vec!["v1".into(), "v2".into()],
        former_base: Some("v1".into()),
    };
    let stored = Stored {
        epoch: epoch.clone(),
        position: Position::new(Some(3), 9),
        written: Some(3),
    };
    let supplement = Supplement::Builds {
        uptime_ms: 1,
        epochs: vec![("p".into(), stored)],
    };
    let bytes = supplement::encode_in_era(&supplement, Some(3)).unwrap();
    let (read, era) = supplement::decode(&bytes).unwrap();
    assert_eq!(era, Some(3));
    let Supplement::Builds { epochs, .. } = read else {
        panic!("{read:?}");
    };
    assert_eq!(epochs[0].1.epoch, epoch);
    let epoch = Epoch {
        former_base: None,
        ..epoch
    };
    let former: FormerSupplement = rmp_serde::from_slice(&bytes[1..]).unwrap();
    let version = 9;
    let epochs = vec![("p".into(), FormerStored { epoch, version })];
    assert_eq!(
        former,
        FormerSupplement::Builds {
            uptime_ms: 1,
            epochs
        }
    );
    let mut bytes = vec![bytes[0]];
    bytes.extend(rmp_serde::to_vec(&former).unwrap());
    let (read, era) = supplement::decode(&bytes).unwrap();
    assert!(matches!(read, Supplement::Builds { epochs, .. } if epochs.len() == 1));
    assert_eq!(era, None);
}

/// A gateway of the earlier build gets the entries that it asks for, whole and as changes.
#[tokio::test]
async fn verify_query_of_the_earlier_build_is_answered() {
    let target = announcement("t0", "127.0.0.1:1");
    let gateway = harness::spawn(settings(), harness::source(vec![target], true));
    while !gateway.can_serve() {
        time::sleep(Duration::from_millis(10)).await;
    }
    let address = gateway.settings.peer_address;
    let client = Client::new(address);
    for (since, expected) in [(None, 1), (Some(0), 1), (Some(1), 0)] {
        let query = FormerQuery {
            topic: Topic::Targets,
            since,
            catalog: 0,
            waits: false,
            id: 7,
        };
        let body = Bytes::from(rmp_serde::to_vec(&query).unwrap());
        let request = Request::post("/news")
            .header("host", address.to_string())
            .body(body.into())
            .unwrap();
        let reply = client
            .call(
                request,
                Limits::within(Duration::from_secs(5)),
                &Progress::default(),
            )
            .await
            .unwrap();
        let answer: FormerAnswer = rmp_serde::from_slice(reply.response().body()).unwrap();
        assert_eq!(answer.id, 7);
        assert_eq!(answer.update.batch.entries.len(), expected, "{since:?}");
        reply.accept();
    }
}

/// A gateway of an earlier build gives patches for versions that it has never held.
#[rstest]
#[case::same_build(true)]
#[case::earlier_build(false)]
#[tokio::test]
async fn verify_patches_are_taken_only_from_gateways_that_check_them(#[case] checks_patches: bool) {
    let sender = harness::spawn(settings(), harness::source(Vec::new(), true));
    while sender.catalog().version() == 0 {
        time::sleep(Duration::from_millis(10)).await;
    }
    let follower = Gateway::new(settings(), harness::dialect()).unwrap();
    replication::set_catalog(&follower, Catalog::new(harness::definition().into()));
    let address = sender.settings.peer_address;
    let name = "g1".into();
    let report = Report {
        checks_patches,
        ..report(Member { name, address })
    };
    follower.members.lock().apply_report(&report, 0);
    let scope = Scope::Changes { waits: false };
    let progress = Progress::default();
    let update = peers::fetch_update(&follower, address, Topic::Operators, scope, &progress);
    let update = update.await.unwrap();
    let fact = update.batch.entries[0].fact.as_ref().unwrap();
    assert_eq!(matches!(fact, Fact::Patch(_)), checks_patches);
    assert_eq!(matches!(fact, Fact::Catalog(_)), !checks_patches);
    assert!(update.holdings.is_some());
    replication::apply_peer_batch(&follower, Topic::Operators, update);
    let view = follower.views.lock()[&Topic::Operators].clone();
    assert!(view.since().is_some() && !view.is_whole_due());
}
