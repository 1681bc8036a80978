//! Stopping without cutting a request off.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use tokio::sync::watch;

/// How far a process has stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It takes work.
    Serving,
    /// It says that it is not ready and takes what still comes; the balancer needs two misses to notice.
    Leaving,
    /// Idle connections are closed, and busy ones after their answer.
    Closing,
}

/// Counts what runs, and tells connections of the phase.
#[derive(Debug)]
pub struct Drain {
    running: AtomicUsize,
    phase: watch::Sender<Phase>,
}

impl Default for Drain {
    fn default() -> Self {
        Self {
            running: AtomicUsize::new(0),
            phase: watch::Sender::new(Phase::Serving),
        }
    }
}

/// One running request; counted until dropped.
#[derive(Debug)]
pub struct Guard(Arc<Drain>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Drain {
    /// Counts a request.
    pub fn guard(self: &Arc<Self>) -> Guard {
        self.running.fetch_add(1, Ordering::Relaxed);
        Guard(self.clone())
    }

    /// Returns the requests that run.
    pub fn running(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    /// Returns the phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Moves on to a phase.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Returns a handle that tells of changes.
    pub fn subscribe(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }
}
