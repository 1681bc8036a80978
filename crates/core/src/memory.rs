//! The bytes that one process holds for its peers, and how all holders share one bound.
//!
//! A holder is whatever a peer may make grow: the body of a request or an answer, an event that has not ended, a head. With
//! `free` bytes left of the budget beyond what its [`Class`] leaves to others, a holder may have `n` bytes as long as
//!
//! `n <= max(free, exempt)` and the budget is not exceeded,
//!
//! so that the largest holders are the first that may not grow: `k` holders that grow without end get a share of
//! `1 / (k + 1)` of the budget each. Answers and what is read ahead are never exempt, since endless ones that begin anew would together take the last
//! bytes, and requests would be refused. Source: Choudhury and Hahne, "Dynamic queue length thresholds for shared-memory packet
//! switches", IEEE/ACM Transactions on Networking, 1998, with the factor 1.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// The number of bytes that a holder may have as long as the budget lasts, unless it is an answer.
pub const SMALL_BYTES: usize = 64 << 10;

/// The part of a process's memory that holders may have, as a fraction. The rest is for the state of the process, the
/// buffers of its connections and what the allocator cannot reuse.
const HELD_SHARE: (usize, usize) = (2, 3);

/// What a holder is. Each class leaves a part of the budget to those before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// A connection, on which requests are refused, or the head of a request.
    Connection,
    /// A request without its body.
    Request,
    /// The body of a request.
    Body,
    /// An answer or a part of one.
    Answer,
    /// What is read ahead behind a request that is being served. Requests are served without it, only their callers' leaving is noticed
    /// later, so that it leaves most room: each of its connections needs some for its next request.
    ReadAhead,
}

impl Class {
    /// The parts of the budget that each class leaves to others, as divisors of the budget.
    const LEFT_DIVISORS: [Option<usize>; 5] = [None, Some(32), Some(16), Some(8), Some(4)];

    /// Returns how much of a budget of `limit` bytes is left to others.
    fn left(self, limit: usize) -> usize {
        Self::LEFT_DIVISORS[self as usize].map_or(0, |divisor| limit / divisor)
    }

    /// Returns the number of bytes that a holder may have whatever others have.
    fn exempt(self) -> usize {
        match self {
            Self::Answer | Self::ReadAhead => 0,
            Self::Connection | Self::Request | Self::Body => SMALL_BYTES,
        }
    }
}

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
    /// assert_eq!(Budget::of_process(960).limit(), 640);
    /// ```
    pub fn of_process(memory_bytes: usize) -> Self {
        let (part, whole) = HELD_SHARE;
        Self::new(memory_bytes / whole * part)
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes that may be in use.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns whether a new holder of this many bytes is allowed now.
    pub fn has_room(&self, class: Class, bytes: usize) -> bool {
        self.allows(class, self.used(), bytes, bytes)
    }

    /// Returns whether a holder may grow by `more` bytes, to `size`, while `used` bytes are in use.
    fn allows(&self, class: Class, used: usize, more: usize, size: usize) -> bool {
        let taken = used.saturating_add(more);
        let free = self.limit.checked_sub(taken);
        let free = free.and_then(|free| free.checked_sub(class.left(self.limit)));
        free.is_some_and(|free| size <= free.max(class.exempt()))
    }

    fn try_take(&self, class: Class, more: usize, size: usize) -> bool {
        let take = |used| {
            let is_allowed = self.allows(class, used, more, size);
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
    class: Class,
    size: usize,
}

impl Share {
    /// Creates the share of a holder that has nothing yet.
    pub fn new(budget: Arc<Budget>, class: Class) -> Self {
        Self {
            budget,
            class,
            size: 0,
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
    /// use sardinemux_core::memory::{Budget, Class, Share};
    ///
    /// let budget = Arc::new(Budget::new(1_600));
    /// let mut endless = Share::new(budget.clone(), Class::Answer);
    /// assert!(endless.try_resize(700));
    /// assert!(!endless.try_resize(701));
    /// assert!(Share::new(budget.clone(), Class::Answer).try_resize(350));
    /// drop(endless);
    /// assert_eq!(budget.used(), 0);
    /// ```
    pub fn try_resize(&mut self, size: usize) -> bool {
        match size.checked_sub(self.size) {
            Some(more) if more > 0 && !self.budget.try_take(self.class, more, size) => {
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
            class: self.class,
            size,
        }
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.budget.give_back(self.size);
    }
}
