//! Graceful shutdown: a counter of the requests that still run and a flag that the process is stopping. The process
//! ends only after no request has run for a while.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

/// The running requests and the stopping flag of one process. Clones share the same state.
#[derive(Clone, Debug, Default)]
pub struct Drain {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    running: AtomicUsize,
    is_stopping: AtomicBool,
}

/// A running request; dropping the guard removes it from the count.
#[derive(Debug)]
pub struct Guard {
    inner: Arc<Inner>,
}

impl Drain {
    /// Adds one running request, which counts until the guard is dropped.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_router::drain::Drain;
    ///
    /// let drain = Drain::default();
    /// let guard = drain.track_request();
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

    /// Sets the stopping flag, and returns whether it was clear before.
    pub fn begin(&self) -> bool {
        !self.inner.is_stopping.swap(true, Ordering::SeqCst)
    }

    /// Returns whether the stopping flag is set.
    pub fn is_stopping(&self) -> bool {
        self.inner.is_stopping.load(Ordering::SeqCst)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.inner.running.fetch_sub(1, Ordering::SeqCst);
    }
}
