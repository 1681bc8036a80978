//! The shared parts of a prompt, and the targets that cache them.

use std::fmt;

use indexmap::IndexMap;

use crate::target::Key;

/// One part of a prompt. Parts with equal ids have equal tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// The identifier of the part.
    pub id: u64,
    /// The number of tokens of the part.
    pub tokens: u32,
}

/// The parts of a prompt in order. The last one is not shared: it belongs to one request or session.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The parts.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// Returns the id of the last shared part, which identifies the shared prefix: an engine that
    /// caches this part also caches all parts before it. For a prompt of one part, it is the id of
    /// that part.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::prompt::{Part, Prompt};
    ///
    /// let part = |id| Part { id, tokens: 100 };
    /// let prompt = Prompt { parts: vec![part(1), part(2), part(3)] };
    /// assert_eq!(prompt.prefix_id(), Some(2));
    /// assert_eq!(prompt.tokens(), 300);
    /// ```
    pub fn prefix_id(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(2);
        let index = shared.unwrap_or(0);
        self.parts.get(index).map(|part| part.id)
    }

    /// Returns the parts that other prompts may share: all but the last.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::prompt::{Part, Prompt};
    ///
    /// let part = |id| Part { id, tokens: 100 };
    /// let prompt = Prompt { parts: vec![part(1), part(2), part(3)] };
    /// assert_eq!(prompt.shared(), &[part(1), part(2)]);
    /// assert!(Prompt::default().shared().is_empty());
    /// ```
    pub fn shared(&self) -> &[Part] {
        let last = self.parts.len().saturating_sub(1);
        &self.parts[..last]
    }

    /// Returns the number of tokens of all parts.
    pub fn tokens(&self) -> u64 {
        self.parts.iter().map(|part| u64::from(part.tokens)).sum()
    }
}

/// Formats the ids of the shared parts in hexadecimal, separated by commas, for log lines.
impl fmt::Display for Prompt {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, part) in self.shared().iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(formatter, "{separator}{:016x}", part.id)?;
        }
        Ok(())
    }
}

/// The largest number of prefixes whose last holder is stored. A prefix takes about 40 bytes.
pub const HOLDERS_MAX: usize = 4_096;

/// The target that last processed each prompt prefix, in order of use with the latest last.
#[derive(Clone, Debug, Default)]
pub struct Holders {
    targets: IndexMap<u64, Key>,
}

impl Holders {
    /// Records that a target has processed a prefix.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::prompt::Holders;
    /// use sardinemux_core::target::Key;
    ///
    /// let mut holders = Holders::default();
    /// holders.put(7, Key(1));
    /// assert_eq!(holders.get(7), Some(Key(1)));
    /// ```
    pub fn put(&mut self, prefix_id: u64, key: Key) {
        self.targets.shift_remove(&prefix_id);
        self.targets.insert(prefix_id, key);
        if self.targets.len() > HOLDERS_MAX {
            // Removing the oldest entries moves all others, so an eighth is removed at once.
            self.targets.drain(..HOLDERS_MAX / 8);
        }
    }

    /// Returns the target that last processed a prefix.
    pub fn get(&self, prefix_id: u64) -> Option<Key> {
        self.targets.get(&prefix_id).copied()
    }

    /// Removes a target that has lost its cache.
    pub fn remove_target(&mut self, key: Key) {
        self.targets.retain(|_, holder| *holder != key);
    }
}
