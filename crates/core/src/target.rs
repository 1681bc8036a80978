//! Targets: the engines and plain services that requests are routed to, in a table with stable keys.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Identifies one target within one process. A key is never reused for another target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub u32);

/// The kind of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model engine with continuous batching and a cache of prompt prefixes.
    Engine,
    /// A plain service.
    Service,
}

/// One engine or service instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// The name in the platform's instance list.
    pub id: SmolStr,
    /// The kind of the target.
    pub kind: Kind,
    /// The model or the service that the target provides; targets of one pool are interchangeable.
    pub pool: SmolStr,
    /// The address, as `ip:port`.
    pub address: SmolStr,
    /// The availability zone.
    pub zone: SmolStr,
    /// The region.
    pub region: SmolStr,
    /// The number of requests that the target serves concurrently when warm.
    pub slots: u32,
    /// Whether the platform reports that the target is leaving.
    pub leaving: bool,
    /// The version of the target's software; empty if it is not stated. Targets of several builds may serve in one pool.
    #[serde(default)]
    pub build: SmolStr,
}

/// All known targets.
#[derive(Clone, Debug, Default)]
pub struct Table {
    keys: IndexMap<SmolStr, Key>,
    targets: IndexMap<Key, Target>,
    next_key: u32,
}

impl Table {
    /// Adds a target or replaces the one with the same id, and returns its key.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::target::{Kind, Table, Target};
    ///
    /// let mut table = Table::default();
    /// let engine = Target {
    ///     id: "e1".into(),
    ///     kind: Kind::Engine,
    ///     pool: "model".into(),
    ///     address: "127.0.0.1:1".into(),
    ///     zone: "z1".into(),
    ///     region: "r1".into(),
    ///     slots: 8,
    ///     leaving: false,
    ///     build: "v1".into(),
    /// };
    /// let key = table.put(engine.clone());
    /// assert_eq!(table.put(engine), key);
    /// assert_eq!(table.iter_pool("model").count(), 1);
    /// ```
    pub fn put(&mut self, target: Target) -> Key {
        let next = Key(self.next_key);
        let key = *self.keys.entry(target.id.clone()).or_insert(next);
        if key == next {
            self.next_key += 1;
        }
        self.targets.insert(key, target);
        key
    }

    /// Adds a target that was removed before under the key that it had then.
    ///
    /// # Examples
    ///
    /// ```
    /// use sardinemux_core::target::{Kind, Table, Target};
    ///
    /// let mut table = Table::default();
    /// let engine = Target {
    ///     id: "e1".into(),
    ///     kind: Kind::Engine,
    ///     pool: "model".into(),
    ///     address: "127.0.0.1:1".into(),
    ///     zone: "z1".into(),
    ///     region: "r1".into(),
    ///     slots: 8,
    ///     leaving: false,
    ///     build: "v1".into(),
    /// };
    /// let key = table.put(engine.clone());
    /// table.remove("e1");
    /// table.restore(key, engine);
    /// assert_eq!(table.key("e1"), Some(key));
    /// ```
    pub fn restore(&mut self, key: Key, target: Target) {
        self.keys.insert(target.id.clone(), key);
        self.targets.insert(key, target);
    }

    /// Removes and returns a target. If its id is put again, it gets a new key.
    pub fn remove(&mut self, id: &str) -> Option<Target> {
        let key = self.keys.swap_remove(id)?;
        self.targets.swap_remove(&key)
    }

    /// Returns the key of the target with the given id.
    pub fn key(&self, id: &str) -> Option<Key> {
        self.keys.get(id).copied()
    }

    /// Returns the target with the given key.
    pub fn get(&self, key: Key) -> Option<&Target> {
        self.targets.get(&key)
    }

    /// Returns the targets of a pool with their keys.
    pub fn iter_pool<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = (Key, &'a Target)> + 'a {
        self.iter().filter(move |(_, target)| target.pool == pool)
    }

    /// Returns all targets with their keys.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &Target)> {
        self.targets.iter().map(|(key, target)| (*key, target))
    }

    /// Returns the number of targets.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns whether the table has no targets.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }
}
