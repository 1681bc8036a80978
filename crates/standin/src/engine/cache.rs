//! The prefix cache of an engine and the events that it publishes.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use sardinemux_wire::target::{CacheChange, CacheEvent};
use smol_str::SmolStr;

use super::Settings;

/// The events that are kept for late readers.
const EVENTS_MAX: usize = 4_096;

#[derive(Debug)]
struct Prefix {
    tokens: u64,
    chat: SmolStr,
}

#[derive(Debug)]
struct Dated {
    event: CacheEvent,
    due: Instant,
}

/// Prompt prefixes in the order of their use, within a bound of tokens.
#[derive(Debug)]
pub struct Cache {
    capacity: u64,
    held: u64,
    prefixes: IndexMap<u64, Prefix>,
    events: VecDeque<Dated>,
    sequence: u64,
    lag: Duration,
    gap: u64,
}

impl Cache {
    /// Creates an empty cache.
    pub fn new(settings: &Settings) -> Self {
        Self {
            capacity: settings.cache_tokens,
            held: 0,
            prefixes: IndexMap::new(),
            events: VecDeque::new(),
            sequence: 0,
            lag: Duration::from_millis(settings.event_lag_ms),
            gap: settings.event_loss_interval.max(2),
        }
    }

    /// Returns how many of the prefixes, from the first, are held.
    pub fn find(&self, prefixes: &[u64]) -> usize {
        let held = |prefix: &u64| self.prefixes.contains_key(prefix);
        prefixes.iter().rposition(held).map_or(0, |index| index + 1)
    }

    /// Holds a chat's whole prompt, in place of its shorter prefixes.
    pub fn store(&mut self, chat: &SmolStr, prefixes: &[u64], tokens: u64) {
        let Some((whole, shorter)) = prefixes.split_last() else {
            return;
        };
        for prefix in shorter {
            if let Some(old) = self.prefixes.shift_remove(prefix) {
                self.held -= old.tokens;
            }
        }
        if let Some(old) = self.prefixes.shift_remove(whole) {
            self.held -= old.tokens;
        }
        let chat = chat.clone();
        self.publish(chat.clone(), CacheChange::Stored);
        self.prefixes.insert(*whole, Prefix { tokens, chat });
        self.held += tokens;
        while self.held > self.capacity {
            let Some((_, old)) = self.prefixes.shift_remove_index(0) else {
                return;
            };
            self.held -= old.tokens;
            self.publish(old.chat, CacheChange::Evicted);
        }
    }

    /// Forgets everything, without an event.
    pub fn clear(&mut self) {
        self.prefixes.clear();
        self.held = 0;
        self.events.clear();
        self.sequence = 0;
    }

    fn publish(&mut self, prompt_cache_key: SmolStr, change: CacheChange) {
        self.sequence += 1;
        if self.sequence.is_multiple_of(self.gap) {
            return;
        }
        let event = CacheEvent {
            sequence: self.sequence,
            prompt_cache_key,
            change,
        };
        let due = Instant::now() + self.lag;
        self.events.push_back(Dated { event, due });
        if self.events.len() > EVENTS_MAX {
            self.events.pop_front();
        }
    }

    /// Returns the published events after a number.
    pub fn events(&self, after: u64) -> Vec<CacheEvent> {
        let now = Instant::now();
        self.events
            .iter()
            .filter(|dated| dated.event.sequence > after && dated.due <= now)
            .map(|dated| dated.event.clone())
            .collect()
    }
}
