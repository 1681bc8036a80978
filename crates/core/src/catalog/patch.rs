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
    /// The names of the routes that are removed.
    pub dropped_routes: Vec<SmolStr>,
    /// The organisations that are new or changed.
    pub organisations: Vec<Organisation>,
    /// The names of the organisations that are removed.
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
    /// let base = Definition { version: 3, ..Definition::default() };
    /// assert_eq!(patch.apply(&base).unwrap().version, 5);
    /// assert!(patch.apply(&Definition::default()).is_none());
    /// ```
    pub fn apply(&self, base: &Definition) -> Option<Definition> {
        if base.version < self.since {
            return None;
        }
        Some(Definition {
            version: self.version,
            routes: merge(&base.routes, &self.routes, &self.dropped_routes, |route| {
                &route.name
            }),
            pools: self.pools.clone(),
            organisations: merge(
                &base.organisations,
                &self.organisations,
                &self.dropped_organisations,
                |organisation| &organisation.name,
            ),
            limits: self.limits,
        })
    }
}

fn merge<T: Clone>(
    base: &[T],
    changed: &[T],
    dropped: &[SmolStr],
    name: impl Fn(&T) -> &SmolStr,
) -> Vec<T> {
    let mut merged: IndexMap<&SmolStr, &T> = base.iter().map(|item| (name(item), item)).collect();
    merged.extend(changed.iter().map(|item| (name(item), item)));
    let dropped: IndexSet<&SmolStr> = dropped.iter().collect();
    let kept = merged
        .into_iter()
        .filter(|(name, _)| !dropped.contains(name));
    kept.map(|(_, item)| item.clone()).collect()
}

/// The version at which each name changed last, dropped ones included.
#[derive(Clone, Debug, Default)]
struct Revisions(IndexMap<SmolStr, u64>);

impl Revisions {
    fn record<T: PartialEq>(
        &mut self,
        previous: &[T],
        current: &[T],
        version: u64,
        name: impl Fn(&T) -> &SmolStr,
    ) {
        let previous: IndexMap<&SmolStr, &T> =
            previous.iter().map(|item| (name(item), item)).collect();
        let mut removed: IndexSet<&SmolStr> = previous.keys().copied().collect();
        for item in current {
            removed.swap_remove(name(item));
            if previous.get(name(item)) != Some(&item) {
                self.0.insert(name(item).clone(), version);
            }
        }
        let removed = removed.into_iter().map(|name| (name.clone(), version));
        self.0.extend(removed);
    }

    /// Splits what changed after a version into the present items and the names that are removed.
    fn collect_since<T: Clone>(
        &self,
        since: u64,
        current: &[T],
        name: impl Fn(&T) -> &SmolStr,
    ) -> (Vec<T>, Vec<SmolStr>) {
        let changed = self.0.iter().filter(|(_, version)| **version > since);
        let mut names: IndexSet<&SmolStr> = changed.map(|(name, _)| name).collect();
        let items = current.iter().filter(|item| names.contains(name(item)));
        let items: Vec<T> = items.cloned().collect();
        for item in &items {
            names.swap_remove(name(item));
        }
        (items, names.into_iter().cloned().collect())
    }
}

/// The names whose changes are remembered; beyond that, whoever is behind gets the whole catalogue. A name takes
/// some 50 bytes.
const TRACKED_NAMES_MAX: usize = 4_096;

/// Remembers when each part of the catalogue changed.
#[derive(Clone, Debug, Default)]
pub struct History {
    oldest_version: u64,
    routes: Revisions,
    organisations: Revisions,
}

impl History {
    /// Notes that `present` follows `former`.
    pub fn record(&mut self, previous: &Definition, current: &Definition) {
        let version = current.version;
        let is_full = self.routes.0.len() + self.organisations.0.len() > TRACKED_NAMES_MAX;
        if previous.version == 0 || is_full {
            *self = Self {
                oldest_version: version,
                ..Self::default()
            };
            return;
        }
        self.routes
            .record(&previous.routes, &current.routes, version, |route| {
                &route.name
            });
        self.organisations.record(
            &previous.organisations,
            &current.organisations,
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
    /// history.record(&Definition::default(), &version(4));
    /// history.record(&version(4), &version(7));
    /// assert_eq!(history.patch_since(4, &version(7)).unwrap().version, 7);
    /// assert!(history.patch_since(3, &version(7)).is_none());
    /// ```
    pub fn patch_since(&self, since: u64, current: &Definition) -> Option<Patch> {
        if since < self.oldest_version || since > current.version || since == 0 {
            return None;
        }
        let (routes, dropped_routes) = self
            .routes
            .collect_since(since, &current.routes, |route| &route.name);
        let organisations = &current.organisations;
        let (organisations, dropped_organisations) =
            self.organisations
                .collect_since(since, organisations, |organisation| &organisation.name);
        Some(Patch {
            since,
            version: current.version,
            routes,
            dropped_routes,
            organisations,
            dropped_organisations,
            pools: current.pools.clone(),
            limits: current.limits,
        })
    }
}
