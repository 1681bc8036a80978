//! The memory that gateways take, and the longest time for which one works without a pause.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::task::AbortHandle;
use tokio::time;

use crate::gateways::check::Breach;
use crate::gateways::Fleet;

/// The interval at which the memory of the processes is read.
const MEMORY_INTERVAL: Duration = Duration::from_millis(20);

/// How often the memory is read until gateways are asked for their busy times.
const READINGS: usize = 25;

/// The users' time beyond a route's time-out within which a request must be answered: no process may work for so long without
/// a pause.
const BUSY_MAX_MS: u64 = 500;

/// The bytes of a megabyte.
const MEGABYTE: f64 = 1e6;

/// The most that was read of a gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Peak {
    /// The memory, in megabytes.
    pub memory_mb: u64,
    /// The longest busy time, in milliseconds.
    pub busy_ms: u64,
}

/// Reads the memory and the busy times of all gateways until it is dropped.
#[derive(Debug)]
pub struct Watch {
    peaks: Arc<Mutex<IndexMap<String, Peak>>>,
    task: AbortHandle,
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Watch {
    /// Begins to read.
    pub fn start(fleet: &Arc<Fleet>) -> Self {
        let peaks: Arc<Mutex<IndexMap<String, Peak>>> = Arc::default();
        let (fleet, read) = (fleet.clone(), peaks.clone());
        let task = tokio::spawn(async move {
            loop {
                for _ in 0..READINGS {
                    read_memory(&fleet, &read);
                    time::sleep(MEMORY_INTERVAL).await;
                }
                read_busy_times(&fleet, &read).await;
            }
        });
        Self {
            peaks,
            task: task.abort_handle(),
        }
    }

    /// Returns the most that was read of each gateway.
    pub async fn peaks(&self, fleet: &Fleet) -> IndexMap<String, Peak> {
        read_memory(fleet, &self.peaks);
        read_busy_times(fleet, &self.peaks).await;
        self.peaks.lock().clone()
    }

    /// Returns the gateways that took too much memory, or worked for too long without a pause.
    pub async fn find_breaches(&self, fleet: &Fleet) -> Vec<Breach> {
        let bound_mb = fleet.settings.memory_mb;
        let peaks = self.peaks(fleet).await.into_iter();
        let breaches = peaks.flat_map(|(name, peak)| {
            let overfull = (peak.memory_mb > bound_mb).then(|| Breach::Overfull {
                name: name.clone(),
                most_mb: peak.memory_mb,
                bound_mb,
            });
            let busy_ms = peak.busy_ms;
            let busy = (busy_ms > BUSY_MAX_MS).then_some(Breach::Busy { name, busy_ms });
            overfull.into_iter().chain(busy)
        });
        breaches.collect()
    }
}

fn read_memory(fleet: &Fleet, peaks: &Mutex<IndexMap<String, Peak>>) {
    for gateway in &fleet.gateways {
        if let Some(usage) = fleet.usage(&gateway.name) {
            let mut peaks = peaks.lock();
            let peak = peaks.entry(gateway.name.clone()).or_default();
            let memory_mb = (usage.rss_bytes / MEGABYTE).ceil() as u64;
            peak.memory_mb = peak.memory_mb.max(memory_mb);
        }
    }
}

async fn read_busy_times(fleet: &Fleet, peaks: &Mutex<IndexMap<String, Peak>>) {
    let readings = fleet.gateways.iter().map(|gateway| async {
        let name = "gateway_longest_busy_seconds";
        if let Some(seconds) = fleet.metric(gateway.metrics, name).await {
            let mut peaks = peaks.lock();
            let peak = peaks.entry(gateway.name.clone()).or_default();
            peak.busy_ms = peak.busy_ms.max((seconds * 1e3) as u64);
        }
    });
    join_all(readings).await;
}
