//! Graceful shutdown: running requests are counted, and the process ends once none is left or the grace period is over.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use tokio::sync::watch;

/// The phase of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The process accepts connections and requests.
    Serving,
    /// The process reports that it is not ready, but still accepts connections and requests: the load balancer removes
    /// it only after two failed readiness checks. Each response closes its connection.
    Leaving,
    /// The process accepts no further connections. Idle connections are closed, and busy ones after their response.
    Closing,
}

/// The number of running requests, and the current phase.
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

/// Counts one running request until it is dropped.
#[derive(Debug)]
pub struct Guard(Arc<Drain>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Drain {
    /// Counts one more running request.
    pub fn guard(self: &Arc<Self>) -> Guard {
        self.running.fetch_add(1, Ordering::Relaxed);
        Guard(self.clone())
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.load(Ordering::Relaxed)
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Sets the phase, and notifies all subscribers.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Returns a receiver that is notified of changes of the phase.
    pub fn subscribe(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }
}
