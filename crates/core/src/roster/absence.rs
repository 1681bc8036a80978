//! Targets that stay in use for a time although the platform's list lacks them.
//!
//! The entries of live targets may expire while the store is away, and are written again soon after its return. The failed calls of a
//! router do not show whether the store was away or only its own path was cut, and in a cut the targets that the next list lacks have
//! left. Three rules tell them apart:
//!
//! - An outage takes the entries of most targets, so that targets of a pool stay in use only if the list lacks at least
//!   [`Settings::lapse_share`] of those that were in use.
//! - They stay until the smaller of `max(list, last failed call + retry delay) + rewrite_ms` and `list + relist_ms`.
//! - They are removed as soon as another router is known to have followed the store for [`Settings::relist_ms`].

use indexmap::{IndexMap, IndexSet};
use smol_str::SmolStr;

use super::{query, Roster, Settings};
use crate::readers::RETRY_DELAY_MAX_MS;

/// Why a target stays in use that the list lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Its entry may have expired during an outage of the store.
    Outage,
    /// The store may have come back from an older copy.
    Restore,
}

/// The state of a target that stays in use although the list lacks it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Absence {
    /// Why it stays in use.
    pub cause: Cause,
    /// When it is removed unless it is listed again, in milliseconds.
    pub until_ms: u64,
}

impl Absence {
    /// Returns the absence from a list that was read at `now_ms`, after calls that failed up to `failed_ms`; `None` if the calls of
    /// another router failed.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::roster::absence::Absence;
    /// use sardinemux_core::roster::Settings;
    ///
    /// let absence = Absence::after_outage(&Settings::default(), Some(9_300), 10_000);
    /// assert_eq!(absence.until_ms, 12_100);
    /// ```
    pub fn after_outage(settings: &Settings, failed_ms: Option<u64>, now_ms: u64) -> Self {
        let return_ms = failed_ms.map_or(now_ms, |failed_ms| failed_ms + RETRY_DELAY_MAX_MS);
        let until_ms = return_ms.max(now_ms) + settings.rewrite_ms;
        Self {
            cause: Cause::Outage,
            until_ms: until_ms.min(now_ms + settings.relist_ms),
        }
    }

    /// Returns the absence from the first list of a store that may have come back from an older copy.
    pub fn after_restore(settings: &Settings, now_ms: u64) -> Self {
        Self {
            cause: Cause::Restore,
            until_ms: now_ms + settings.relist_ms,
        }
    }
}

/// Returns whether the store was available to another router that has followed it for `followed_ms` without a failed call: for longer
/// than entries take to return, or than the outage that this router has seen, if one lasts.
///
/// # Examples
///
/// ```
/// use sardinemux_core::roster::{absence, Settings};
///
/// let settings = Settings::default();
/// assert!(absence::is_store_proven(&settings, settings.relist_ms, None));
/// assert!(absence::is_store_proven(&settings, 900, Some(800)));
/// assert!(!absence::is_store_proven(&settings, 700, Some(800)));
/// ```
pub fn is_store_proven(settings: &Settings, followed_ms: u64, outage_ms: Option<u64>) -> bool {
    followed_ms >= settings.relist_ms || outage_ms.is_some_and(|outage_ms| followed_ms > outage_ms)
}

/// Returns those of the `unlisted` targets whose entries may have expired during an outage of the store: the targets of the pools that
/// lack [`Settings::lapse_share`] of their targets or more.
///
/// # Examples
///
/// ```
/// use indexmap::IndexSet;
/// use sardinemux_core::roster::{absence, Roster};
///
/// let unlisted = IndexSet::from(["e1".into()]);
/// assert!(absence::find_lapsed(&Roster::default(), &unlisted).is_empty());
/// ```
pub fn find_lapsed(roster: &Roster, unlisted: &IndexSet<SmolStr>) -> IndexSet<SmolStr> {
    let in_use = || {
        let targets = roster.table.iter().filter(|(key, target)| {
            let condition = roster.conditions.get(key);
            let is_absent = condition.is_some_and(|condition| condition.absence.is_some());
            !target.leaving && !query::has_stated_leaving(roster, *key) && !is_absent
        });
        targets.map(|(_, target)| target)
    };
    let mut pools: IndexMap<&str, (usize, usize)> = IndexMap::new();
    for target in in_use() {
        let (missing, all) = pools.entry(&target.pool).or_default();
        *missing += usize::from(unlisted.contains(&target.id));
        *all += 1;
    }
    let has_lapsed = |pool: &str| {
        let counts = pools.get(pool);
        counts.is_some_and(|(missing, all)| {
            *missing as f64 >= roster.settings.lapse_share * *all as f64
        })
    };
    let lapsed = in_use()
        .filter(|target| unlisted.contains(&target.id) && has_lapsed(&target.pool))
        .map(|target| target.id.clone());
    lapsed.collect()
}
