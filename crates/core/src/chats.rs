//! The chats that a target has served lately, in bounded memory.

use indexmap::IndexSet;

/// The recent chats of one target, in two generations: when the younger is full, the older one is
/// dropped whole. A chat is kept for at least half of the capacity's worth of newer ones.
#[derive(Clone, Debug)]
pub struct Chats {
    capacity: usize,
    young: IndexSet<u64>,
    old: IndexSet<u64>,
}

impl Chats {
    /// Creates an empty table.
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

    /// Notes that the target has served a chat.
    pub fn put(&mut self, chat: u64) {
        if self.young.len() >= self.capacity / 2 {
            self.old = std::mem::take(&mut self.young);
        }
        self.old.swap_remove(&chat);
        self.young.insert(chat);
    }

    /// Notes that the target has dropped a chat from its cache.
    pub fn remove(&mut self, chat: u64) {
        self.young.swap_remove(&chat);
        self.old.swap_remove(&chat);
    }

    /// Forgets every chat, as after a restart of the target.
    pub fn clear(&mut self) {
        self.young.clear();
        self.old.clear();
    }

    /// Returns whether the target has served the chat lately.
    pub fn contains(&self, chat: u64) -> bool {
        self.young.contains(&chat) || self.old.contains(&chat)
    }

    /// Returns the chats, from the oldest generation to the youngest.
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
