//! Tests of the configuration: order of entries, atomicity, permissions, exceptions and conflicts.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use proptest::prelude::*;
use rstest::rstest;
use sardinemux_core::config::command::{self, Expected};
use sardinemux_core::config::query::{self, Subject};
use sardinemux_core::config::{
    Change, ChangeId, Entry, Exception, Operator, Organisation, Parameter, Scope, State, Stop,
    StopKind, EXCEPTIONS_MAX,
};
use sardinemux_core::errors::Error;

fn entry(version: u64, changes: Vec<Change>) -> Entry {
    Entry {
        version,
        id: ChangeId::from_u128(u128::from(version)),
        author: "ada".into(),
        at_s: 0,
        changes,
    }
}

fn set_default(value: f64) -> Change {
    Change::SetDefault {
        parameter: Parameter::ColdLimit,
        value,
    }
}

fn exception(scope: Scope, name: &str, value: f64, reason: &str) -> Change {
    Change::SetException(Exception {
        scope,
        name: name.into(),
        parameter: Parameter::ColdLimit,
        value,
        reason: reason.into(),
        author: "ada".into(),
    })
}

fn organisation(name: &str, member: &str) -> Change {
    Change::SetOrganisation(Organisation {
        name: name.into(),
        member: member.into(),
        weight: 1.0,
        key_digests: vec![query::digest(name)],
    })
}

fn operator(member: Option<&str>) -> Operator {
    Operator {
        name: "op".into(),
        member: member.map(Into::into),
        token_digest: query::digest("token"),
    }
}

#[rstest]
#[case::range(set_default(0.0))]
#[case::not_a_number(set_default(f64::NAN))]
#[case::no_reason(exception(Scope::Zone, "z1", 2.0, " "))]
#[case::no_name(exception(Scope::Zone, "", 2.0, "because"))]
#[case::unknown(Change::RemoveOrganisation { name: "none".into() })]
#[case::unknown_stop(Change::EndStop { kind: StopKind::Zone, name: "z1".into() })]
fn verify_invalid_change_set_is_not_applied(#[case] invalid: Change) {
    let mut state = State::default();
    command::apply(&mut state, &entry(1, vec![set_default(3.0)])).unwrap();
    let before = state.clone();
    assert!(command::apply(&mut state, &entry(2, vec![set_default(4.0), invalid])).is_err());
    assert_eq!(state, before);
}

#[test]
fn verify_narrowest_exception_wins() {
    let mut state = State::default();
    let changes = vec![
        set_default(3.0),
        exception(Scope::Zone, "z1", 4.0, "small instances"),
        exception(Scope::Engine, "e1", 5.0, "large instance"),
    ];
    command::apply(&mut state, &entry(1, changes)).unwrap();
    let value = |engine, zone| {
        let subject = Subject {
            engine,
            zone,
            ..Subject::default()
        };
        query::effective_value(&state, Parameter::ColdLimit, subject)
    };
    assert_eq!(value("e2", "z2"), 3.0);
    assert_eq!(value("e2", "z1"), 4.0);
    assert_eq!(value("e1", "z1"), 5.0);
}

#[test]
fn verify_exceptions_are_capped() {
    let mut state = State::default();
    let all: Vec<Change> = (0..EXCEPTIONS_MAX)
        .map(|index| exception(Scope::Engine, &format!("e{index}"), 2.0, "because"))
        .collect();
    command::apply(&mut state, &entry(1, all)).unwrap();
    let one_more = entry(2, vec![exception(Scope::Engine, "more", 2.0, "because")]);
    assert!(matches!(
        command::apply(&mut state, &one_more),
        Err(Error::TooMany { .. })
    ));
    let changed = entry(2, vec![exception(Scope::Engine, "e0", 3.0, "because")]);
    assert!(command::apply(&mut state, &changed).is_ok());
}

#[test]
fn verify_removed_key_is_invalid() {
    let mut state = State::default();
    command::apply(&mut state, &entry(1, vec![organisation("o", "m")])).unwrap();
    assert!(query::organisation_by_key(&state, "o").is_some());
    let without_key = Change::SetOrganisation(Organisation {
        name: "o".into(),
        member: "m".into(),
        weight: 1.0,
        key_digests: Vec::new(),
    });
    command::apply(&mut state, &entry(2, vec![without_key])).unwrap();
    assert!(query::organisation_by_key(&state, "o").is_none());
}

#[test]
fn verify_conflict_names_the_key() {
    let mut state = State::default();
    command::apply(&mut state, &entry(1, vec![set_default(3.0)])).unwrap();
    let read_before = Expected {
        key: "default/cold_limit".into(),
        version: 0,
    };
    let read_after = Expected {
        version: 1,
        ..read_before.clone()
    };
    assert!(matches!(
        command::check_expected(&state, &[read_before]),
        Err(Error::Conflict { found: 1, .. })
    ));
    assert!(command::check_expected(&state, &[read_after]).is_ok());
}

#[rstest]
#[case::own(Some("m1"), organisation("o1", "m1"), true)]
#[case::new_own(Some("m1"), organisation("new", "m1"), true)]
#[case::others(Some("m1"), organisation("o2", "m2"), false)]
#[case::taken_over(Some("m1"), organisation("o2", "m1"), false)]
#[case::others_removed(Some("m1"), Change::RemoveOrganisation { name: "o2".into() }, false)]
#[case::others_exception(Some("m1"), exception(Scope::Organisation, "o2", 2.0, "r"), false)]
#[case::shared(Some("m1"), set_default(2.0), true)]
#[case::shared_zone(
    Some("m1"),
    Change::BeginStop(Stop { kind: StopKind::Zone, name: "z1".into(), reason: "r".into() }),
    true
)]
#[case::consortium(None, organisation("o2", "m2"), true)]
#[case::promotion(Some("m1"), Change::SetOperator(operator(None)), false)]
fn verify_rights(#[case] member: Option<&str>, #[case] change: Change, #[case] is_allowed: bool) {
    let mut state = State::default();
    let changes = vec![organisation("o1", "m1"), organisation("o2", "m2")];
    command::apply(&mut state, &entry(1, changes)).unwrap();
    let result = command::check_rights(&state, &operator(member), &[change]);
    assert_eq!(result.is_ok(), is_allowed);
}

proptest! {
    /// Entries that arrive late, twice or out of order never decrease the version, and routers with the same version
    /// have the same state.
    #[test]
    fn verify_version_never_goes_back(order in proptest::collection::vec(1u64..12, 1..80)) {
        let log: Vec<Entry> = (1..12)
            .map(|version| entry(version, vec![set_default(1.0 + version as f64)]))
            .collect();
        let mut state = State::default();
        for version in order {
            let before = state.version;
            let result = command::apply(&mut state, &log[version as usize - 1]);
            prop_assert_eq!(result.is_ok(), version == before + 1);
            prop_assert!(state.version >= before);
        }
        let mut expected = State::default();
        for entry in &log[..state.version as usize] {
            command::apply(&mut expected, entry).unwrap();
        }
        prop_assert_eq!(state, expected);
    }
}
