//! The slots of the batch of a stand-in engine: requests without a slot wait by priority.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::oneshot;

/// A request that waits for a slot. The heap yields the smallest priority value first, then the earliest arrival.
#[derive(Debug)]
struct Waiter {
    rank: Reverse<(u8, u64)>,
    sender: oneshot::Sender<Slot>,
}

impl PartialEq for Waiter {
    fn eq(&self, other: &Self) -> bool {
        self.rank == other.rank
    }
}

impl Eq for Waiter {}

impl PartialOrd for Waiter {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Waiter {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.rank.cmp(&other.rank)
    }
}

#[derive(Debug, Default)]
struct State {
    busy: u32,
    next_sequence: u64,
    waiting: BinaryHeap<Waiter>,
}

/// The slots of a batch; clones share them.
#[derive(Clone, Debug)]
pub struct Slots {
    count: u32,
    state: Arc<Mutex<State>>,
}

/// An acquired slot. Dropping it passes it to the next waiter, or frees it if there is none.
#[derive(Debug)]
pub struct Slot {
    state: Arc<Mutex<State>>,
}

impl Slots {
    /// Creates a number of free slots, at least one.
    pub fn new(count: u32) -> Self {
        Self {
            count: count.max(1),
            state: Arc::default(),
        }
    }

    /// Acquires a slot, waiting until one is free; smaller priority values come first.
    pub async fn acquire(&self, priority: u8) -> Slot {
        let new_slot = || Slot {
            state: self.state.clone(),
        };
        let receiver = {
            let mut state = self.state.lock();
            if state.busy < self.count {
                state.busy += 1;
                drop(state);
                return new_slot();
            }
            let (sender, receiver) = oneshot::channel();
            let rank = Reverse((priority, state.next_sequence));
            state.next_sequence += 1;
            state.waiting.push(Waiter { rank, sender });
            receiver
        };
        // The sender is in the state, which `self` keeps alive, and leaves it only to send a slot: this cannot fail.
        receiver.await.unwrap_or_else(|_| new_slot())
    }

    /// Returns the fraction of the slots that are acquired, from 0 to 1.
    pub fn occupancy(&self) -> f64 {
        f64::from(self.state.lock().busy) / f64::from(self.count)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let waiter = {
            let mut state = self.state.lock();
            let waiter = state.waiting.pop();
            if waiter.is_none() {
                state.busy -= 1;
            }
            waiter
        };
        if let Some(waiter) = waiter {
            // If the waiter has given up, sending fails and drops the slot, which passes it to the next waiter.
            let _ = waiter.sender.send(Slot {
                state: self.state.clone(),
            });
        }
    }
}
