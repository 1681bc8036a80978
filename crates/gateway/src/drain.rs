//! Graceful shutdown: running requests are counted, and the process ends once none is left or the grace period is over.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use tokio::sync::watch;
use tokio::time::{self, Instant};

/// The phase of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The process accepts connections and requests.
    Serving,
    /// The process reports that it is not ready, but still accepts connections and requests: the load balancer removes
    /// it only after two failed readiness checks. Each response closes its connection.
    Leaving,
    /// The process accepts no further connections. Idle connections are closed, and busy ones after their response. Requests that
    /// arrive on these are refused, as they might be cut off at the end of the grace period.
    Closing,
}

/// The last times in a grace period at which something may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// When a request may last be sent to a target. A later one might be cut off.
    pub send: Instant,
    /// When requests that are still running are answered with a failure, as the process is about to end.
    pub answer: Instant,
}

/// The number of running requests, and the current phase.
#[derive(Debug)]
pub struct Drain {
    running: AtomicUsize,
    phase: watch::Sender<Phase>,
    limits: watch::Sender<Option<Limits>>,
}

impl Default for Drain {
    fn default() -> Self {
        Self {
            running: AtomicUsize::new(0),
            phase: watch::Sender::new(Phase::Serving),
            limits: watch::Sender::new(None),
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

    /// Sets the limits of the grace period, which has begun.
    pub fn set_limits(&self, limits: Limits) {
        self.limits.send_replace(Some(limits));
    }

    /// Returns whether requests may be sent to targets.
    pub fn may_send(&self) -> bool {
        let limits = *self.limits.borrow();
        limits.is_none_or(|limits| Instant::now() < limits.send)
    }

    /// Waits until running requests must be answered.
    pub async fn wait_for_answer_limit(&self) {
        let mut limits = self.limits.subscribe();
        // The sender exists as long as this value, so that waiting cannot fail.
        let known = limits.wait_for(Option::is_some).await;
        let answer = known.ok().and_then(|limits| limits.map(|it| it.answer));
        if let Some(answer) = answer {
            time::sleep_until(answer).await;
        }
    }

    /// Returns a receiver that is notified of changes of the phase.
    pub fn subscribe(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }
}
