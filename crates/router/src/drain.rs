//! Graceful shutdown: what runs is counted, and the program ends only when nothing does.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

/// Counts what runs, and says whether the program is stopping.
#[derive(Clone, Debug, Default)]
pub struct Drain {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    running: AtomicUsize,
    is_stopping: AtomicBool,
}

/// Counts one running request until it is dropped.
#[derive(Debug)]
pub struct Guard {
    inner: Arc<Inner>,
}

impl Drain {
    /// Counts one more running request.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_router::drain::Drain;
    ///
    /// let drain = Drain::default();
    /// let guard = drain.guard();
    /// assert_eq!(drain.running(), 1);
    /// drop(guard);
    /// assert_eq!(drain.running(), 0);
    /// ```
    pub fn track_request(&self) -> Guard {
        self.inner.running.fetch_add(1, Ordering::SeqCst);
        Guard {
            inner: self.inner.clone(),
        }
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.inner.running.load(Ordering::SeqCst)
    }

    /// Begins to stop; returns whether this is the first time.
    pub fn begin(&self) -> bool {
        !self.inner.is_stopping.swap(true, Ordering::SeqCst)
    }

    /// Returns whether the program is stopping.
    pub fn is_stopping(&self) -> bool {
        self.inner.is_stopping.load(Ordering::SeqCst)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.inner.running.fetch_sub(1, Ordering::SeqCst);
    }
}
