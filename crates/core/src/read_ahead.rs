//! The bytes that a gateway reads from callers' connections behind the requests which it serves.
//!
//! Each connection may have [`OWN_BYTES`] of them, and more as long as all connections together have no more than the [`Budget`]
//! beyond that. A connection at its limit is not read on, so that its caller is held up.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// The number of bytes that each connection may have.
pub const OWN_BYTES: usize = 64 << 10;

/// The largest number of bytes that a connection may have, unless one request may be longer.
pub const LARGEST_BYTES: usize = 1 << 20;

/// The default number of bytes that all connections together may have beyond [`OWN_BYTES`] each.
const SHARED_BYTES: usize = 8 << 20;

/// The bytes that all connections together may have beyond [`OWN_BYTES`] each.
#[derive(Debug)]
pub struct Budget {
    limit: usize,
    used: AtomicUsize,
}

impl Default for Budget {
    fn default() -> Self {
        Self::new(SHARED_BYTES)
    }
}

impl Budget {
    /// Creates a budget of a number of bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            used: AtomicUsize::new(0),
        }
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    fn try_take(&self, bytes: usize) -> bool {
        let take = |used: usize| Some(used + bytes).filter(|used| *used <= self.limit);
        let taken = self
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        taken.is_ok()
    }

    fn give_back(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// The part of the budget that one connection has taken. Dropping it gives that back.
///
/// # Examples
///
/// ```
/// use sardinemux_core::read_ahead::{Budget, Share, OWN_BYTES};
///
/// let budget = std::sync::Arc::new(Budget::new(1_000));
/// let mut share = Share::new(budget.clone(), 2 * OWN_BYTES);
/// assert!(share.try_grow(OWN_BYTES + 1_000));
/// assert!(!share.try_grow(OWN_BYTES + 1_001));
/// assert_eq!(budget.used(), 1_000);
/// share.shrink(0);
/// assert_eq!(budget.used(), 0);
/// ```
#[derive(Debug)]
pub struct Share {
    budget: Arc<Budget>,
    largest: usize,
    taken: usize,
}

impl Share {
    /// Creates the share of a connection that may have `largest` bytes, and [`LARGEST_BYTES`] at least.
    pub fn new(budget: Arc<Budget>, largest: usize) -> Self {
        Self {
            budget,
            largest: largest.max(LARGEST_BYTES),
            taken: 0,
        }
    }

    /// Returns whether the connection may have a number of bytes, and takes what it lacks for them from the budget.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let lacking = bytes.saturating_sub(OWN_BYTES).saturating_sub(self.taken);
        let may_grow = bytes <= self.largest && (lacking == 0 || self.budget.try_take(lacking));
        if may_grow {
            self.taken += lacking;
        }
        may_grow
    }

    /// Gives back what the connection does not need for a number of bytes.
    pub fn shrink(&mut self, bytes: usize) {
        let needed = bytes.saturating_sub(OWN_BYTES);
        let unused = self.taken.saturating_sub(needed);
        self.taken -= unused;
        self.budget.give_back(unused);
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.budget.give_back(self.taken);
    }
}
