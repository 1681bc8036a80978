//! The chats that a target has served recently, in bounded memory.

use indexmap::IndexSet;

/// The recent chats of one target, in two generations. Each holds half of the capacity; when the young
/// generation is full, it replaces the old one. A chat is kept until at least half of the capacity in
/// other chats has been added after it.
#[derive(Clone, Debug)]
pub struct Chats {
    capacity: usize,
    young: IndexSet<u64>,
    old: IndexSet<u64>,
}

impl Chats {
    /// Creates an empty table. The capacity is raised to 2 if it is smaller.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::chats::Chats;
    ///
    /// let mut chats = Chats::new(4);
    /// for chat in 0..100 {
    ///     chats.put(chat);
    /// }
    /// assert!(chats.contains(99));
    /// assert!(!chats.contains(0));
    /// assert!(chats.len() <= 4);
    /// ```
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(2),
            young: IndexSet::new(),
            old: IndexSet::new(),
        }
    }

    /// Adds a chat that the target has served.
    pub fn put(&mut self, chat: u64) {
        if self.young.len() >= self.capacity / 2 {
            self.old = std::mem::take(&mut self.young);
        }
        self.old.swap_remove(&chat);
        self.young.insert(chat);
    }

    /// Removes a chat that the target has evicted from its cache.
    pub fn remove(&mut self, chat: u64) {
        self.young.swap_remove(&chat);
        self.old.swap_remove(&chat);
    }

    /// Removes all chats, for example after a restart of the target.
    pub fn clear(&mut self) {
        self.young.clear();
        self.old.clear();
    }

    /// Returns whether the target has served the chat recently.
    pub fn contains(&self, chat: u64) -> bool {
        self.young.contains(&chat) || self.old.contains(&chat)
    }

    /// Returns the chats of the old generation, then those of the young one.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = u64> + '_ {
        self.old.iter().chain(&self.young).copied()
    }

    /// Returns the number of chats in the table.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
