//! The bytes that one process holds for its peers, and how all holders share one bound.
//!
//! A holder is whatever a peer may make grow: the body of a request or an answer, an event that has not ended, a head. With
//! `free` bytes left of the budget, a holder may have `n` bytes as long as
//!
//! `n <= max(free, SMALL_BYTES)` and the budget is not exceeded,
//!
//! so that the largest holders are the first that may not grow, and room for small ones is always left: `k` holders that
//! grow without end get a share of `1 / (k + 1)` of the budget each. The last [`RESERVE_DIVISOR`]th of the budget is for
//! essential holders, such as connections, on which other requests are refused. Source: Choudhury and Hahne, "Dynamic queue length
//! thresholds for shared-memory packet switches", IEEE/ACM Transactions on Networking, 1998, with the factor 1.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// The number of bytes that a holder may have as long as the budget lasts.
pub const SMALL_BYTES: usize = 64 << 10;

/// The part of a process's memory that holders may have, as a fraction. The rest is for the state of the process, the
/// buffers of its connections and what the allocator cannot reuse.
const HELD_SHARE: (usize, usize) = (2, 3);

/// The budget divided by this is reserved for essential holders.
pub const RESERVE_DIVISOR: usize = 32;

/// The bytes that all holders together may have.
#[derive(Debug)]
pub struct Budget {
    limit: usize,
    used: AtomicUsize,
}

impl Budget {
    /// Creates a budget of a number of bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            used: AtomicUsize::new(0),
        }
    }

    /// Creates the budget of a process that may have this much memory, in bytes.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::memory::Budget;
    ///
    /// assert!(Budget::of_process(960).has_room(620));
    /// assert!(!Budget::of_process(960).has_room(621));
    /// ```
    pub fn of_process(memory_bytes: usize) -> Self {
        let (part, whole) = HELD_SHARE;
        Self::new(memory_bytes / whole * part)
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Returns whether a new holder of this many bytes is allowed now.
    pub fn has_room(&self, bytes: usize) -> bool {
        self.allows(self.used(), bytes, bytes, self.reserve())
    }

    fn reserve(&self) -> usize {
        self.limit / RESERVE_DIVISOR
    }

    /// Returns whether a holder may grow by `more` bytes, to `size`, while `used` bytes are in use, if it leaves the reserve.
    fn allows(&self, used: usize, more: usize, size: usize, reserve: usize) -> bool {
        let taken = used.saturating_add(more).saturating_add(reserve);
        let free = self.limit.checked_sub(taken);
        free.is_some_and(|free| size <= free.max(SMALL_BYTES))
    }

    fn try_take(&self, more: usize, size: usize, reserve: usize) -> bool {
        let take = |used| {
            let is_allowed = self.allows(used, more, size, reserve);
            is_allowed.then(|| used + more)
        };
        let taken = self
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        taken.is_ok()
    }

    fn give_back(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// What one holder has of the budget. Dropping it gives that back.
#[derive(Debug)]
pub struct Share {
    budget: Arc<Budget>,
    size: usize,
    /// What it leaves of the budget.
    reserve: usize,
}

impl Share {
    /// Creates the share of a holder that has nothing yet.
    pub fn new(budget: Arc<Budget>) -> Self {
        let reserve = budget.reserve();
        Self {
            budget,
            size: 0,
            reserve,
        }
    }

    /// Creates the share of an essential holder, which may use up the reserve.
    pub fn essential(budget: Arc<Budget>) -> Self {
        Self {
            budget,
            size: 0,
            reserve: 0,
        }
    }

    /// Returns the number of bytes.
    pub fn size(&self) -> usize {
        self.size
    }

    /// Sets the size, and returns `true`, or returns `false` without a change if the holder may not have so many bytes. It
    /// may always shrink.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::sync::Arc;
    /// use sardinemux_core::memory::{Budget, Share, SMALL_BYTES};
    ///
    /// let budget = Arc::new(Budget::new(11 * SMALL_BYTES));
    /// let mut endless = Share::new(budget.clone());
    /// assert!(endless.try_resize(5 * SMALL_BYTES));
    /// assert!(!endless.try_resize(6 * SMALL_BYTES));
    /// assert!(Share::new(budget.clone()).try_resize(2 * SMALL_BYTES));
    /// drop(endless);
    /// assert_eq!(budget.used(), 0);
    /// ```
    pub fn try_resize(&mut self, size: usize) -> bool {
        match size.checked_sub(self.size) {
            Some(more) if more > 0 && !self.budget.try_take(more, size, self.reserve) => {
                return false
            }
            Some(_) => {}
            None => self.budget.give_back(self.size - size),
        }
        self.size = size;
        true
    }

    /// Moves `bytes` of the share, which has at least as many, to a share of its own.
    pub fn split_off(&mut self, bytes: usize) -> Self {
        let size = bytes.min(self.size);
        self.size -= size;
        Self {
            budget: self.budget.clone(),
            size,
            reserve: self.reserve,
        }
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.budget.give_back(self.size);
    }
}
