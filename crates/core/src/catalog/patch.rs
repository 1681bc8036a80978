//! Patches: the differences between two versions of the catalogue.
//!
//! New versions may follow each other quickly, each with a change of one route among hundreds, and the gateway that
//! reads the store relays each version to every gateway of its zone over a link of low bandwidth. A gateway that has an
//! earlier version therefore receives only what has changed since then.
//!
//! A patch is right only for a version that its sender has held: from the differences between two versions, nothing can be told of one
//! between them that the sender has skipped. Gateways therefore build patches for such versions alone, and compare [`fingerprint`]s of
//! what they start from and of what results.

use std::collections::VecDeque;
use std::slice;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{Definition, Limits, Organisation, Pool, Route};
use crate::hash;

/// Identifies the contents of a definition, whatever the order of its routes, pools and organisations. `None` if they cannot be encoded,
/// so that there are no patches from or to that definition.
///
/// # Examples
///
/// ```
/// use sardinemux_core::catalog::patch::fingerprint;
/// use sardinemux_core::catalog::Definition;
///
/// let version = |version| Definition { version, ..Definition::default() };
/// assert_eq!(fingerprint(&version(1)), fingerprint(&version(1)));
/// assert_ne!(fingerprint(&version(1)), fingerprint(&version(2)));
/// ```
pub fn fingerprint(definition: &Definition) -> Option<u64> {
    let parts = [
        definition.version,
        sum(b"route", &definition.routes)?,
        sum(b"pool", &definition.pools)?,
        sum(b"organisation", &definition.organisations)?,
        sum(b"limits", slice::from_ref(&definition.limits))?,
    ];
    let parts = parts.map(u64::to_le_bytes);
    let parts: Vec<&[u8]> = parts.iter().map(|part| &part[..]).collect();
    Some(hash::digest(&parts))
}

/// Returns the sum of the hashes of items, which does not depend on their order.
fn sum<T: Serialize>(kind: &[u8], items: &[T]) -> Option<u64> {
    items.iter().try_fold(0_u64, |sum, item| {
        let bytes = rmp_serde::to_vec(item).ok()?;
        Some(sum.wrapping_add(hash::digest(&[kind, &bytes])))
    })
}

/// A version of the catalogue that a gateway holds or has held.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Held {
    /// The version; zero if it holds none.
    pub version: u64,
    /// The [`fingerprint`]; `None` if it is not known.
    pub fingerprint: Option<u64>,
}

/// The changes that update a definition of version `since`, or of a later version that the sender has held as well, to `version`.
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
    /// The fingerprint of the definition that results. Gateways tell it beside the patch.
    #[serde(skip)]
    pub result: Option<u64>,
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

    /// Returns whether a definition is the one to which the sender meant the patch to lead.
    pub fn leads_to(&self, definition: &Definition) -> bool {
        self.result.is_some() && self.result == fingerprint(definition)
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

/// The number of versions for which a [`History`] has patches.
const HELD_MAX: usize = 1_024;

/// The versions at which routes and organisations of the catalogue last changed, from which patches are built.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The versions that were held since it began, oldest first.
    held: VecDeque<Held>,
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
        let held = Held {
            version,
            fingerprint: fingerprint(current),
        };
        if previous.version == 0 || is_full {
            *self = Self {
                held: VecDeque::from([held]),
                ..Self::default()
            };
            return;
        }
        self.held.push_back(held);
        if self.held.len() > HELD_MAX {
            self.held.pop_front();
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

    /// Returns the version that is held now.
    pub fn latest(&self) -> Held {
        self.held.back().copied().unwrap_or_default()
    }

    /// Returns the patch from the version that a peer holds to `current`; nothing if that version was not held here, or `current` is not
    /// the one that is held now. A peer that tells no fingerprint is taken to hold the same under a version.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::catalog::patch::{Held, History};
    /// use sardinemux_core::catalog::Definition;
    ///
    /// let version = |version| Definition { version, ..Definition::default() };
    /// let mut history = History::default();
    /// history.record(&Definition::default(), &version(4));
    /// history.record(&version(4), &version(7));
    /// let held = |version| Held { version, fingerprint: None };
    /// assert_eq!(history.patch_since(held(4), &version(7)).unwrap().version, 7);
    /// assert!(history.patch_since(held(5), &version(7)).is_none());
    /// ```
    pub fn patch_since(&self, peer: Held, current: &Definition) -> Option<Patch> {
        let is_same = |own: &&Held| {
            let is_known = own.fingerprint.is_some() && peer.fingerprint.is_some();
            own.version == peer.version && (!is_known || own.fingerprint == peer.fingerprint)
        };
        let since = self.held.iter().find(is_same)?.version;
        let latest = self.latest();
        if latest.version != current.version {
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
            result: latest.fingerprint,
        })
    }
}
