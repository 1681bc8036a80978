//! Tests of the check of a catalogue, by table.

use rstest::rstest;
use sardinemux_core::catalog::check::{check, check_version, Kind, Settings};
use sardinemux_core::catalog::{
    Definition, Engine, Kind as RouteKind, Limits, Organisation, Pool, Route, Share,
};

fn route() -> Route {
    Route {
        name: "a".into(),
        host: "h.example".into(),
        prefix: "/a/".into(),
        kind: RouteKind::Safe,
        timeout_ms: 800,
        objective_ms: 300,
        priority: 2,
        shares: vec![Share {
            pool: "p".into(),
            weight: 1,
        }],
        attempts_max: 2,
        is_public: false,
    }
}

fn pool() -> Pool {
    Pool {
        name: "p".into(),
        connections_max: 100,
        cold_ms: 3_000,
        cold_per_s: 10.0,
        engine: None,
    }
}

fn organisation() -> Organisation {
    Organisation {
        name: "o".into(),
        keys: vec!["k1".into()],
        priority: None,
    }
}

fn sound() -> Definition {
    Definition {
        version: 7,
        routes: vec![route()],
        pools: vec![pool()],
        organisations: vec![organisation()],
        limits: Limits::default(),
    }
}

/// A check that reports something in a sound catalogue is ignored by its readers.
#[test]
fn verify_sound_catalogue_has_no_findings() {
    assert_eq!(check(&sound(), Settings::default()), []);
}

/// Each fault that an operator can write passes the check.
#[rstest]
#[case::unknown_pool(|it: &mut Definition| it.routes[0].shares[0].pool = "q".into(), Kind::Error, "route a", "no pool q")]
#[case::no_weight(|it: &mut Definition| it.routes[0].shares[0].weight = 0, Kind::Error, "route a", "positive weight")]
#[case::no_attempt(|it: &mut Definition| it.routes[0].attempts_max = 0, Kind::Error, "route a", "no target")]
#[case::no_time(|it: &mut Definition| { it.routes[0].timeout_ms = 0; it.routes[0].objective_ms = 0 }, Kind::Error, "route a", "zero")]
#[case::twice(|it: &mut Definition| { let mut other = route(); other.prefix = "/b/".into(); it.routes.push(other) }, Kind::Error, "route a", "2 entries")]
#[case::hidden(|it: &mut Definition| { let mut other = route(); other.name = "b".into(); it.routes.push(other) }, Kind::Unreachable, "route a", "route b")]
#[case::no_slash(|it: &mut Definition| it.routes[0].prefix = "/a".into(), Kind::Unreachable, "route a", "slashes")]
#[case::host_with_port(|it: &mut Definition| it.routes[0].host = "h.example:80".into(), Kind::Unreachable, "route a", "port")]
#[case::unused_share(|it: &mut Definition| { let mut more = pool(); more.name = "q".into(); it.pools.push(more);
    it.routes[0].shares.push(Share { pool: "q".into(), weight: 0 }) }, Kind::Unreachable, "route a", "weight zero")]
#[case::unused_pool(|it: &mut Definition| { let mut more = pool(); more.name = "q".into(); it.pools.push(more) }, Kind::Unreachable, "pool q", "no route")]
#[case::no_key(|it: &mut Definition| it.organisations[0].keys.clear(), Kind::Unreachable, "organisation o", "no key")]
#[case::key_of_two(|it: &mut Definition| { let mut more = organisation(); more.name = "q".into(); it.organisations.push(more) }, Kind::Error, "organisation o", "organisation q")]
#[case::key_with_a_space(|it: &mut Definition| it.organisations[0].keys[0] = "k 1".into(), Kind::Unreachable, "organisation o", "header")]
#[case::late_objective(|it: &mut Definition| it.routes[0].objective_ms = 900, Kind::Contradiction, "route a", "900")]
#[case::many_attempts(|it: &mut Definition| it.routes[0].attempts_max = 90, Kind::Contradiction, "route a", "89 retries")]
#[case::absurd_priority(|it: &mut Definition| it.routes[0].priority = 77, Kind::Contradiction, "route a", "77")]
#[case::few_connections(|it: &mut Definition| it.pools[0].engine = Some(Engine { slots: 128, cache_tokens: 1 }), Kind::Contradiction, "pool p", "128")]
#[case::never_cold(|it: &mut Definition| it.pools[0].cold_ms = 0, Kind::Contradiction, "pool p", "never cold")]
#[case::no_heads(|it: &mut Definition| it.limits.head_bytes = 0, Kind::Error, "limits", "head_bytes")]
#[case::no_organisation(|it: &mut Definition| it.organisations.clear(), Kind::Contradiction, "limits", "no organisation")]
fn verify_fault_is_reported(
    #[case] change: fn(&mut Definition),
    #[case] kind: Kind,
    #[case] subject: &str,
    #[case] message: &str,
) {
    let mut definition = sound();
    change(&mut definition);
    let findings = check(&definition, Settings::default());
    let found = findings
        .iter()
        .find(|it| it.kind == kind && it.subject == subject && it.message.contains(message));
    assert!(found.is_some(), "{findings:?}");
}

/// A finding that shows a key discloses it to whoever reads the report.
#[test]
fn verify_no_finding_shows_a_key() {
    let mut definition = sound();
    definition.organisations[0].keys = vec!["secret key".into(), "shared".into()];
    let mut other = organisation();
    other.name = "q".into();
    other.keys = vec!["shared".into()];
    definition.organisations.push(other);
    let findings = check(&definition, Settings::default());
    assert_eq!(findings.len(), 2);
    assert!(findings
        .iter()
        .all(|it| !it.message.contains("secret") && !it.message.contains("shared")));
}

/// Gateways ignore a version that is not later, so that an operator takes it for sent.
#[rstest]
#[case(6, false)]
#[case(7, true)]
#[case(8, true)]
fn verify_version_must_rise(#[case] in_force: u64, #[case] is_reported: bool) {
    let former = Definition {
        version: in_force,
        ..sound()
    };
    assert_eq!(check_version(&former, &sound()).is_some(), is_reported);
}
