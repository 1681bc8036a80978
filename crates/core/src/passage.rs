//! Requests that a gateway passes on to another one, which may have another version of the catalogue in force.
//!
//! A request is served by the catalogue in which its gateway has looked it up, or by a later one. A gateway that has an earlier one
//! refuses it, or waits until it has caught up. One that has a later one looks it up anew, and states that in its answer. From then
//! on, callers of the gateway that has passed the request on may have seen that catalogue, so that this gateway catches up before it
//! serves further requests by its own.

use smol_str::SmolStr;

use crate::catalog::Share;

/// What a gateway states of a request that it passes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Passage<'a> {
    /// The version of the catalogue in which it has looked the request up; `None` if its build does not state that.
    pub catalog: Option<u64>,
    /// The pool in which the request is to run.
    pub pool: &'a str,
    /// Whether events of its stream have been delivered, so that it can only go on where it began.
    pub has_begun: bool,
}

/// Returns whether a gateway with a catalogue of version `own` is behind the gateway that passes a request on.
///
/// # Examples
///
/// ```
/// use sardinemux_core::passage::{self, Passage};
///
/// let passage = Passage { catalog: Some(7), pool: "p", has_begun: false };
/// assert!(passage::is_behind(passage, 6));
/// assert!(!passage::is_behind(passage, 8));
/// ```
pub fn is_behind(passage: Passage<'_>, own: u64) -> bool {
    passage.catalog.is_some_and(|stated| stated > own)
}

/// Returns the pool in which a request runs at a gateway that is not behind; `None` if it must not run there.
///
/// `shares` are those of the route in the gateway's own catalogue, and `selected` is the pool that it selects from them. That one
/// replaces a pool which the later catalogue has taken from the route, unless the stream has begun there.
///
/// # Examples
///
/// ```
/// use sardinemux_core::catalog::Share;
/// use sardinemux_core::passage::{self, Passage};
///
/// let shares = [Share { pool: "q".into(), weight: 1 }];
/// let passage = Passage { catalog: Some(7), pool: "p", has_begun: false };
/// assert_eq!(passage::select_pool(passage, &shares, &"q".into()).unwrap(), "q");
/// let begun = Passage { has_begun: true, ..passage };
/// assert!(passage::select_pool(begun, &shares, &"q".into()).is_none());
/// ```
pub fn select_pool(passage: Passage<'_>, shares: &[Share], selected: &SmolStr) -> Option<SmolStr> {
    let mut routed = shares.iter().filter(|share| share.weight > 0);
    let stated = routed.find(|share| share.pool == passage.pool);
    let may_change = passage.catalog.is_some() && !passage.has_begun;
    match stated {
        Some(share) => Some(share.pool.clone()),
        None => may_change.then(|| selected.clone()),
    }
}

/// How long a gateway catches up with a catalogue that callers may have seen, in milliseconds. After that, the gateway which had it
/// is taken to be lost with it.
const SEEN_MS: u64 = 2_000;

/// The latest catalogue by which another gateway has served a request that was passed on to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// Its version.
    pub catalog: u64,
    /// When the first answer stated it, in milliseconds.
    pub at_ms: u64,
}

impl Seen {
    /// Records the version that an answer states.
    pub fn note(&mut self, catalog: u64, now_ms: u64) {
        if catalog > self.catalog {
            *self = Self {
                catalog,
                at_ms: now_ms,
            };
        }
    }

    /// Returns whether a gateway with a catalogue of version `own` must catch up before it serves a request.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::passage::Seen;
    ///
    /// let mut seen = Seen::default();
    /// assert!(!seen.is_ahead(0, 5_000));
    /// seen.note(7, 5_000);
    /// assert!(seen.is_ahead(6, 6_000));
    /// assert!(!seen.is_ahead(7, 6_000));
    /// assert!(!seen.is_ahead(6, 7_000));
    /// ```
    pub fn is_ahead(&self, own: u64, now_ms: u64) -> bool {
        self.catalog > own && now_ms.saturating_sub(self.at_ms) < SEEN_MS
    }
}
