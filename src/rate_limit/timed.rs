//! A bounded table of entries that end at known times.

use crate::prelude::*;
use std::collections::BTreeSet;

/// Entries by key, each with the time at which it ends.
#[derive(Clone, Debug)]
pub struct Timed<T> {
    entries: IndexMap<u64, (Millis, T)>,
    by_end: BTreeSet<(Millis, u64)>,
}

impl<T> Default for Timed<T> {
    fn default() -> Self {
        Self {
            entries: IndexMap::new(),
            by_end: BTreeSet::new(),
        }
    }
}

impl<T> Timed<T> {
    /// Adds an entry, and returns the one that had its key.
    pub fn insert(&mut self, key: u64, until: Millis, value: T) -> Option<T> {
        let former = self.remove(key);
        self.entries.insert(key, (until, value));
        self.by_end.insert((until, key));
        former
    }

    /// Returns the entry with this key unless it has ended.
    pub fn get(&self, now: Millis, key: u64) -> Option<&T> {
        let (until, value) = self.entries.get(&key)?;
        (now < *until).then_some(value)
    }

    /// Removes the entry with this key and returns it.
    pub fn remove(&mut self, key: u64) -> Option<T> {
        let (until, value) = self.entries.swap_remove(&key)?;
        self.by_end.remove(&(until, key));
        Some(value)
    }

    /// Removes the entry that ends first and returns it.
    pub fn pop_first(&mut self) -> Option<T> {
        let (_, key) = self.by_end.pop_first()?;
        self.entries.swap_remove(&key).map(|(_, value)| value)
    }

    /// Returns the key of an entry that has ended.
    pub fn first_ended_key(&self, now: Millis) -> Option<u64> {
        let (until, key) = self.by_end.first()?;
        (*until <= now).then_some(*key)
    }

    /// Returns the key of the entry that ends first.
    pub fn first_key(&self) -> Option<u64> {
        self.by_end.first().map(|(_, key)| *key)
    }

    /// Iterates over the entries that end from `from` to `to`.
    pub fn ending(&self, from: Millis, to: Millis) -> impl Iterator<Item = &T> {
        let keys = self.by_end.range((from, 0)..=(to, u64::MAX));
        keys.filter_map(|(_, key)| self.entries.get(key).map(|(_, value)| value))
    }

    /// Returns the number of entries, including those that have ended and were not removed yet.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
