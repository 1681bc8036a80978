//! What changed between versions of the catalogue.
//!
//! Load it answers: versions in quick succession, each with a change of one route among hundreds, which a reader passes
//! on to every gateway of its zone over a narrow link. A gateway that has an earlier version is told only what
//! changed since then.

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{Definition, Limits, Organisation, Pool, Route};

/// What brings a definition of version `since`, or of a later one, to `version`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Patch {
    /// The earliest version that can be brought up to date.
    pub since: u64,
    /// The version that results.
    pub version: u64,
    /// The routes that are new or changed.
    pub routes: Vec<Route>,
    /// The names of the routes that are gone.
    pub dropped_routes: Vec<SmolStr>,
    /// The organisations that are new or changed.
    pub organisations: Vec<Organisation>,
    /// The names of the organisations that are gone.
    pub dropped_organisations: Vec<SmolStr>,
    /// All pools; there are few.
    pub pools: Vec<Pool>,
    /// The limits.
    pub limits: Limits,
}

impl Patch {
    /// Returns the definition that results; nothing if `held` is too old for this patch.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::catalog::patch::Patch;
    /// use sardinemux_core::catalog::Definition;
    ///
    /// let patch = Patch { since: 3, version: 5, ..Patch::default() };
    /// let held = Definition { version: 3, ..Definition::default() };
    /// assert_eq!(patch.apply(&held).unwrap().version, 5);
    /// assert!(patch.apply(&Definition::default()).is_none());
    /// ```
    pub fn apply(&self, held: &Definition) -> Option<Definition> {
        if held.version < self.since {
            return None;
        }
        Some(Definition {
            version: self.version,
            routes: merge(&held.routes, &self.routes, &self.dropped_routes, |route| {
                &route.name
            }),
            pools: self.pools.clone(),
            organisations: merge(
                &held.organisations,
                &self.organisations,
                &self.dropped_organisations,
                |organisation| &organisation.name,
            ),
            limits: self.limits,
        })
    }
}

fn merge<T: Clone>(
    held: &[T],
    changed: &[T],
    dropped: &[SmolStr],
    name: impl Fn(&T) -> &SmolStr,
) -> Vec<T> {
    let mut merged: IndexMap<&SmolStr, &T> = held.iter().map(|item| (name(item), item)).collect();
    merged.extend(changed.iter().map(|item| (name(item), item)));
    let dropped: IndexSet<&SmolStr> = dropped.iter().collect();
    let kept = merged
        .into_iter()
        .filter(|(name, _)| !dropped.contains(name));
    kept.map(|(_, item)| item.clone()).collect()
}

/// The version at which each name changed last, dropped ones included.
#[derive(Clone, Debug, Default)]
struct Changes(IndexMap<SmolStr, u64>);

impl Changes {
    fn note<T: PartialEq>(
        &mut self,
        former: &[T],
        present: &[T],
        version: u64,
        name: impl Fn(&T) -> &SmolStr,
    ) {
        let former: IndexMap<&SmolStr, &T> = former.iter().map(|item| (name(item), item)).collect();
        let mut gone: IndexSet<&SmolStr> = former.keys().copied().collect();
        for item in present {
            gone.swap_remove(name(item));
            if former.get(name(item)) != Some(&item) {
                self.0.insert(name(item).clone(), version);
            }
        }
        let gone = gone.into_iter().map(|name| (name.clone(), version));
        self.0.extend(gone);
    }

    /// Splits what changed after a version into the present items and the names that are gone.
    fn since<T: Clone>(
        &self,
        since: u64,
        present: &[T],
        name: impl Fn(&T) -> &SmolStr,
    ) -> (Vec<T>, Vec<SmolStr>) {
        let changed = self.0.iter().filter(|(_, version)| **version > since);
        let mut names: IndexSet<&SmolStr> = changed.map(|(name, _)| name).collect();
        let items = present.iter().filter(|item| names.contains(name(item)));
        let items: Vec<T> = items.cloned().collect();
        for item in &items {
            names.swap_remove(name(item));
        }
        (items, names.into_iter().cloned().collect())
    }
}

/// The names whose changes are remembered; beyond that, whoever is behind gets the whole catalogue. A name takes
/// some 50 bytes.
const NAMES_MAX: usize = 4_096;

/// Remembers when each part of the catalogue changed.
#[derive(Clone, Debug, Default)]
pub struct History {
    since: u64,
    routes: Changes,
    organisations: Changes,
}

impl History {
    /// Notes that `present` follows `former`.
    pub fn note(&mut self, former: &Definition, present: &Definition) {
        let version = present.version;
        let is_full = self.routes.0.len() + self.organisations.0.len() > NAMES_MAX;
        if former.version == 0 || is_full {
            *self = Self {
                since: version,
                ..Self::default()
            };
            return;
        }
        self.routes
            .note(&former.routes, &present.routes, version, |route| {
                &route.name
            });
        self.organisations.note(
            &former.organisations,
            &present.organisations,
            version,
            |organisation| &organisation.name,
        );
    }

    /// Returns what brings a version up to `present`; nothing if the changes since then are not known.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::catalog::patch::History;
    /// use sardinemux_core::catalog::Definition;
    ///
    /// let version = |version| Definition { version, ..Definition::default() };
    /// let mut history = History::default();
    /// history.note(&Definition::default(), &version(4));
    /// history.note(&version(4), &version(7));
    /// assert_eq!(history.patch(4, &version(7)).unwrap().version, 7);
    /// assert!(history.patch(3, &version(7)).is_none());
    /// ```
    pub fn patch(&self, since: u64, present: &Definition) -> Option<Patch> {
        if since < self.since || since > present.version || since == 0 {
            return None;
        }
        let (routes, dropped_routes) = self
            .routes
            .since(since, &present.routes, |route| &route.name);
        let organisations = &present.organisations;
        let (organisations, dropped_organisations) =
            self.organisations
                .since(since, organisations, |organisation| &organisation.name);
        Some(Patch {
            since,
            version: present.version,
            routes,
            dropped_routes,
            organisations,
            dropped_organisations,
            pools: present.pools.clone(),
            limits: present.limits,
        })
    }
}
