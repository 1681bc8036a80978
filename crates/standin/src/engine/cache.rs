//! The prefix cache of a stand-in engine and its cache events.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use sardinemux_wire::target::{CacheChange, CacheEvent};
use smol_str::SmolStr;

use super::Settings;

/// The greatest number of events that are kept for readers; the oldest are dropped first.
const EVENTS_MAX: usize = 4_096;

/// A cached prompt.
#[derive(Debug)]
struct Prefix {
    tokens: u64,
    prompt_cache_key: SmolStr,
}

/// A cache event that is published when it is due.
#[derive(Debug)]
struct DelayedEvent {
    event: CacheEvent,
    due: Instant,
}

/// A cache of prompt prefixes that is limited in tokens and evicts the prefix that was stored the longest ago.
#[derive(Debug)]
pub struct Cache {
    capacity_tokens: u64,
    used_tokens: u64,
    prefixes: IndexMap<u64, Prefix>,
    events: VecDeque<DelayedEvent>,
    sequence: u64,
    event_lag: Duration,
    event_loss_interval: u64,
}

impl Cache {
    /// Creates an empty cache.
    pub fn new(settings: &Settings) -> Self {
        Self {
            capacity_tokens: settings.cache_tokens,
            used_tokens: 0,
            prefixes: IndexMap::new(),
            events: VecDeque::new(),
            sequence: 0,
            event_lag: Duration::from_millis(settings.event_lag_ms),
            event_loss_interval: settings.event_loss_interval.max(2),
        }
    }

    /// Returns the number of leading messages of a prompt that are cached: the position of the last cached prefix, plus
    /// one.
    pub fn count_cached(&self, prefixes: &[u64]) -> usize {
        let is_cached = |prefix: &u64| self.prefixes.contains_key(prefix);
        prefixes
            .iter()
            .rposition(is_cached)
            .map_or(0, |index| index + 1)
    }

    /// Stores the last prefix, which is the whole prompt of `tokens` tokens, in place of its shorter prefixes. Other
    /// prefixes are evicted, oldest first, until the cache is within its capacity.
    pub fn store(&mut self, prompt_cache_key: &SmolStr, prefixes: &[u64], tokens: u64) {
        let Some((whole, shorter)) = prefixes.split_last() else {
            return;
        };
        for prefix in shorter {
            if let Some(old) = self.prefixes.shift_remove(prefix) {
                self.used_tokens -= old.tokens;
            }
        }
        if let Some(old) = self.prefixes.shift_remove(whole) {
            self.used_tokens -= old.tokens;
        }
        let prompt_cache_key = prompt_cache_key.clone();
        self.publish_event(prompt_cache_key.clone(), CacheChange::Stored);
        self.prefixes.insert(
            *whole,
            Prefix {
                tokens,
                prompt_cache_key,
            },
        );
        self.used_tokens += tokens;
        while self.used_tokens > self.capacity_tokens {
            let Some((_, old)) = self.prefixes.shift_remove_index(0) else {
                return;
            };
            self.used_tokens -= old.tokens;
            self.publish_event(old.prompt_cache_key, CacheChange::Evicted);
        }
    }

    /// Removes all prefixes and events and restarts the sequence numbers, without publishing an event.
    pub fn clear(&mut self) {
        self.prefixes.clear();
        self.used_tokens = 0;
        self.events.clear();
        self.sequence = 0;
    }

    /// Assigns the next sequence number to an event and schedules it, except for those that are lost on purpose: their
    /// readers see a gap in the numbers.
    fn publish_event(&mut self, prompt_cache_key: SmolStr, change: CacheChange) {
        self.sequence += 1;
        if self.sequence.is_multiple_of(self.event_loss_interval) {
            return;
        }
        let event = CacheEvent {
            sequence: self.sequence,
            prompt_cache_key,
            change,
        };
        let due = Instant::now() + self.event_lag;
        self.events.push_back(DelayedEvent { event, due });
        if self.events.len() > EVENTS_MAX {
            self.events.pop_front();
        }
    }

    /// Returns the published events whose sequence number is greater than `after`.
    pub fn events_after(&self, after: u64) -> Vec<CacheEvent> {
        let now = Instant::now();
        self.events
            .iter()
            .filter(|delayed| delayed.event.sequence > after && delayed.due <= now)
            .map(|delayed| delayed.event.clone())
            .collect()
    }
}
