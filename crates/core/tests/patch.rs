//! Tests of the patches by which gateways receive changes of the catalogue.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use proptest::prelude::*;
use sardinemux_core::catalog::patch::{fingerprint, Held, History};
use sardinemux_core::catalog::{Definition, Organisation, Route};

fn definition(version: u64, routes: &[(u8, u64)], organisations: &[(u8, u8)]) -> Definition {
    let routes = routes.iter().map(|(name, timeout_ms)| Route {
        name: format!("r{name}").into(),
        timeout_ms: *timeout_ms,
        ..Route::default()
    });
    let organisations = organisations.iter().map(|(name, key)| Organisation {
        name: format!("o{name}").into(),
        keys: vec![format!("k{key}").into()],
        priority: None,
    });
    Definition {
        version,
        routes: routes.collect(),
        organisations: organisations.collect(),
        ..Definition::default()
    }
}

fn held(definition: &Definition) -> Held {
    Held {
        version: definition.version,
        fingerprint: fingerprint(definition),
    }
}

/// What a gateway of an earlier build tells of the version that it holds.
fn unnamed(version: u64) -> Held {
    Held {
        version,
        fingerprint: None,
    }
}

/// Sorts routes and organisations by name, as their order carries no meaning.
fn sorted(mut definition: Definition) -> Definition {
    definition
        .routes
        .sort_by(|left, right| left.name.cmp(&right.name));
    definition
        .organisations
        .sort_by(|left, right| left.name.cmp(&right.name));
    definition
}

fn versions() -> impl Strategy<Value = Vec<Definition>> {
    let routes = prop::collection::btree_map(0..6_u8, 0..3_u64, 0..6);
    let organisations = prop::collection::btree_map(0..4_u8, 0..3_u8, 0..4);
    let versions = prop::collection::vec((routes, organisations), 2..8);
    versions.prop_map(|versions| {
        let versions = versions.into_iter().enumerate();
        let versions = versions.map(|(index, (routes, organisations))| {
            let routes: Vec<_> = routes.into_iter().collect();
            let organisations: Vec<_> = organisations.into_iter().collect();
            definition(10 + 3 * index as u64, &routes, &organisations)
        });
        versions.collect()
    })
}

proptest! {
    /// A patch from any recorded version leads to the newest one, also when it is applied to a later version that the
    /// gateway has received in the meantime. It is not applicable to an earlier version.
    #[test]
    fn verify_any_version_is_brought_up_to_date(versions in versions()) {
        let mut history = History::default();
        history.record(&Definition::default(), &versions[0]);
        for pair in versions.windows(2) {
            history.record(&pair[0], &pair[1]);
        }
        let newest = versions.last().unwrap();
        for (index, oldest) in versions.iter().enumerate() {
            let patch = history.patch_since(held(oldest), newest).unwrap();
            for base in &versions[index..] {
                let result = patch.apply(base).unwrap();
                prop_assert!(patch.leads_to(&result));
                prop_assert_eq!(sorted(result), sorted(newest.clone()));
            }
            for older in &versions[..index] {
                prop_assert!(patch.apply(older).is_none());
            }
        }
    }

    /// What changed in a version that the sender has skipped and back since would stay in force.
    #[test]
    fn verify_patch_is_given_only_for_what_both_have_held(
        versions in versions(),
        skipped in prop::collection::vec(any::<bool>(), 8),
    ) {
        let newest = versions.last().unwrap();
        let is_held = |index: usize| index == 0 || index + 1 == versions.len() || !skipped[index];
        let mut history = History::default();
        let mut previous = Definition::default();
        for (_, version) in versions.iter().enumerate().filter(|(index, _)| is_held(*index)) {
            history.record(&previous, version);
            previous = version.clone();
        }
        for (index, base) in versions.iter().enumerate() {
            for peer in [held(base), unnamed(base.version)] {
                let patch = history.patch_since(peer, newest);
                prop_assert_eq!(patch.is_some(), is_held(index));
                // A receiver that goes on to a version which the sender has skipped must notice.
                for (patch, later) in patch.iter().flat_map(|it| versions[index..].iter().map(move |later| (it, later))) {
                    let result = patch.apply(later).unwrap();
                    prop_assert_eq!(patch.leads_to(&result), sorted(result.clone()) == sorted(newest.clone()));
                }
            }
        }
    }

    /// A version that is given out again with other contents after a restore of the store is not the one that was held.
    #[test]
    fn verify_fingerprint_tells_contents_apart(versions in versions()) {
        for left in &versions {
            for right in &versions {
                let right = Definition { version: left.version, ..right.clone() };
                let is_same = sorted(left.clone()) == sorted(right.clone());
                prop_assert_eq!(fingerprint(left) == fingerprint(&right), is_same);
                let mut history = History::default();
                history.record(&Definition::default(), left);
                prop_assert_eq!(history.patch_since(held(&right), left).is_some(), is_same);
            }
        }
    }
}

/// Guards against patches that grow with the catalogue: of 200 routes, one changes and one is removed.
#[test]
fn verify_patch_contains_only_changes() {
    let routes: Vec<(u8, u64)> = (0..200).map(|name| (name, 1)).collect();
    let previous = definition(4, &routes, &[(1, 1), (2, 2)]);
    let mut changed = routes.clone();
    changed[7].1 = 2;
    changed.remove(9);
    let current = definition(6, &changed, &[(1, 1)]);
    let mut history = History::default();
    history.record(&Definition::default(), &previous);
    history.record(&previous, &current);
    let patch = history.patch_since(held(&previous), &current).unwrap();
    assert_eq!(patch.routes.len(), 1);
    assert_eq!(patch.dropped_routes, ["r9"]);
    assert!(patch.organisations.is_empty());
    assert_eq!(patch.dropped_organisations, ["o2"]);
}

/// There is no patch from version 0, from a version before the first recorded one, or from one after the newest. The
/// receiver gets the complete catalogue instead.
#[test]
fn verify_unknown_version_gets_no_patch() {
    let current = definition(9, &[(1, 1)], &[]);
    let mut history = History::default();
    history.record(&Definition::default(), &current);
    assert!(history.patch_since(unnamed(0), &current).is_none());
    assert!(history.patch_since(unnamed(8), &current).is_none());
    assert!(history.patch_since(unnamed(10), &current).is_none());
    assert!(history
        .patch_since(unnamed(9), &current)
        .unwrap()
        .routes
        .is_empty());
}

/// A catalogue with more names than a history usually keeps goes to each gateway as a whole at each change.
#[test]
fn verify_change_of_a_large_catalog_is_small() {
    let of = |version, count: u16, timeout_ms| {
        let routes = (0..count).map(|index| Route {
            name: format!("r{index}").into(),
            timeout_ms: if index == 0 { timeout_ms } else { 1 },
            ..Route::default()
        });
        Definition {
            version,
            routes: routes.collect(),
            ..Definition::default()
        }
    };
    let versions = [
        of(1, 240, 1),
        of(2, 1_640, 1),
        of(3, 4_640, 1),
        of(4, 4_640, 2),
    ];
    let mut history = History::default();
    history.record(&Definition::default(), &versions[0]);
    for pair in versions.windows(2) {
        history.record(&pair[0], &pair[1]);
    }
    let patch = history
        .patch_since(held(&versions[2]), &versions[3])
        .unwrap();
    assert_eq!(patch.routes.len(), 1);
}
