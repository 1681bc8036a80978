//! A load on all gateways of a fleet: callers that keep their connections, and requests of all kinds.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time;

use super::caller::{Caller, Outcome, Told, KINDS};
use super::operator::KEY;
use super::Fleet;

/// The events of a stream, as the replicas' stand-in has them where nothing else is set.
pub const EVENTS: u64 = 20;

/// The shared prompt parts.
const SUBJECTS: u64 = 8;

/// The pause of a caller between two requests, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..40;

/// The pause of a caller that reached no gateway.
const UNREACHED: Duration = Duration::from_millis(100);

/// A load that runs.
#[derive(Debug)]
pub struct Load {
    ends: watch::Sender<bool>,
    callers: Vec<JoinHandle<Vec<Outcome>>>,
}

impl Load {
    /// Starts some callers at each gateway.
    pub fn start(fleet: &Arc<Fleet>, callers: usize, seed: u64) -> Self {
        let ends = watch::Sender::new(false);
        let mut tasks = Vec::new();
        for (index, gateway) in fleet.gateways.iter().enumerate() {
            for number in 0..callers {
                let seed = seed ^ ((index * callers + number) as u64) << 32;
                let caller = Caller::new(index, gateway.callers, KEY, EVENTS);
                tasks.push(tokio::spawn(call(caller, seed, ends.subscribe())));
            }
        }
        Self {
            ends,
            callers: tasks,
        }
    }

    /// Lets every caller end its last request, and returns what became of all.
    pub async fn end(self) -> Vec<Outcome> {
        self.ends.send_replace(true);
        let mut outcomes = Vec::new();
        for caller in self.callers {
            // A caller that panicked shows in the test's output.
            outcomes.extend(caller.await.unwrap_or_default());
        }
        outcomes
    }
}

async fn call(mut caller: Caller, seed: u64, ends: watch::Receiver<bool>) -> Vec<Outcome> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut outcomes = Vec::new();
    while !*ends.borrow() {
        let Some(kind) = KINDS.choose(&mut random) else {
            break;
        };
        let subject = random.random_range(0..SUBJECTS);
        let outcome = caller.call(*kind, subject).await;
        let is_unreached = outcome.told == Told::Unreached;
        outcomes.push(outcome);
        let pause = match is_unreached {
            true => UNREACHED,
            false => Duration::from_millis(random.random_range(PAUSE_MS)),
        };
        time::sleep(pause).await;
    }
    outcomes
}
