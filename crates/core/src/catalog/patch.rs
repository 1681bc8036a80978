//! Patches: the differences between two versions of the catalogue.
//!
//! New versions may follow each other quickly, each with a change of one route among hundreds, and the gateway that
//! reads the store relays each version to every gateway of its zone over a link of low bandwidth. A gateway that has an
//! earlier version therefore receives only what has changed since then.

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{Definition, Limits, Organisation, Pool, Route};

/// The changes that update a definition of version `since`, or of a later version, to `version`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Patch {
    /// The earliest version that the patch can be applied to.
    pub since: u64,
    /// The version that results from the patch.
    pub version: u64,
    /// The routes that were added or changed.
    pub routes: Vec<Route>,
    /// The names of the routes that were removed.
    pub dropped_routes: Vec<SmolStr>,
    /// The organisations that were added or changed.
    pub organisations: Vec<Organisation>,
    /// The names of the organisations that were removed.
    pub dropped_organisations: Vec<SmolStr>,
    /// All pools, changed or not, as there are only a few.
    pub pools: Vec<Pool>,
    /// The limits of callers' connections, changed or not.
    pub limits: Limits,
}

impl Patch {
    /// Returns the definition that results from the patch; nothing if the version of `base` is before `since`.
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
    let remaining = merged
        .into_iter()
        .filter(|(name, _)| !dropped.contains(name));
    remaining.map(|(_, item)| item.clone()).collect()
}

/// The version at which each route or organisation last changed, by name. Removed ones are included.
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

    /// Returns the current items that changed after version `since`, and the names of those that were removed since.
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

/// The number of names in a [`History`] beyond which it starts anew, so that gateways with an earlier version receive
/// the complete catalogue. A name takes about 50 bytes.
const TRACKED_NAMES_MAX: usize = 4_096;

/// The same as a multiple of the names in the catalogue, if that is more: an update of all of them must not start the history anew.
const TRACKED_SHARE_MAX: usize = 2;

/// The versions at which routes and organisations of the catalogue last changed, from which patches are built.
#[derive(Clone, Debug, Default)]
pub struct History {
    oldest_version: u64,
    routes: Revisions,
    organisations: Revisions,
}

impl History {
    /// Records the differences between a definition and the one that replaces it.
    ///
    /// Starts anew at `current` if there is no previous definition, or if too many names are recorded already.
    pub fn record(&mut self, previous: &Definition, current: &Definition) {
        let version = current.version;
        let names = current.routes.len() + current.organisations.len();
        let tracked_max = TRACKED_NAMES_MAX.max(TRACKED_SHARE_MAX * names);
        let is_full = self.routes.0.len() + self.organisations.0.len() > tracked_max;
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

    /// Returns the patch from version `since` to `current`; nothing if the changes since that version are not recorded.
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
