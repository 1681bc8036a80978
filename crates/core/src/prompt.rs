//! The shared parts of a prompt, and where they are cached.

use indexmap::IndexMap;

use crate::target::Key;

/// One part of a prompt. Equal ids stand for equal tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Names the part.
    pub id: u64,
    /// The tokens of the part.
    pub tokens: u32,
}

/// The parts of a prompt in order; the last one belongs to the request or its session alone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The parts.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// Returns the last part that requests share: an engine that caches it saves all before it too.
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

    /// Returns the tokens of all parts.
    pub fn tokens(&self) -> u64 {
        self.parts.iter().map(|part| u64::from(part.tokens)).sum()
    }
}

/// The subjects whose last holder is remembered. A subject takes some 40 bytes.
pub const HOLDERS_MAX: usize = 4_096;

/// Which target last read each subject, newest last.
#[derive(Clone, Debug, Default)]
pub struct Holders {
    targets: IndexMap<u64, Key>,
}

impl Holders {
    /// Notes that a target has read a subject.
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
    pub fn put(&mut self, subject: u64, key: Key) {
        self.targets.shift_remove(&subject);
        self.targets.insert(subject, key);
        if self.targets.len() > HOLDERS_MAX {
            // Dropping an eighth at once keeps the cost of closing the gap small.
            self.targets.drain(..HOLDERS_MAX / 8);
        }
    }

    /// Returns the target that last read a subject.
    pub fn get(&self, subject: u64) -> Option<Key> {
        self.targets.get(&subject).copied()
    }

    /// Forgets a target whose cache is gone.
    pub fn remove_target(&mut self, key: Key) {
        self.targets.retain(|_, holder| *holder != key);
    }
}
