//! Rollback of an edit that turns out to be invalid after some of its changes were applied.
//!
//! The order of the entries is restored too, because it is part of checkpoints, which must be equal
//! at all hosts.

use crate::prelude::*;
use crate::table::message::{Brand, Change, Model, Row, RowKey, Service, StoreLimits};
use crate::table::{Table, Versioned};
use std::hash::Hash;

/// The previous values of all entries that an edit changes.
pub struct PreviousEntries {
    rows: PreviousValues<RowKey, Row>,
    models: PreviousValues<Name, Model>,
    services: PreviousValues<Name, Service>,
    brands: PreviousValues<Name, Brand>,
    store: Versioned<StoreLimits>,
    removed: IndexMap<Name, Offset>,
}

/// The previous values of entries with their positions, or `None` for those that did not exist.
struct PreviousValues<K, T>(IndexMap<K, Option<(usize, Versioned<T>)>>);

impl<K: Clone + Eq + Hash, T: Clone> PreviousValues<K, T> {
    fn new() -> Self {
        Self(IndexMap::new())
    }

    fn save(&mut self, entries: &IndexMap<K, Versioned<T>>, key: &K) {
        let previous = entries.get_full(key);
        let previous = previous.map(|(position, _, entry)| (position, entry.clone()));
        self.0.entry(key.clone()).or_insert(previous);
    }

    /// Removes all changed entries, then inserts the previous ones in the order of their positions,
    /// so that each position is valid when its entry is inserted.
    fn restore(self, entries: &mut IndexMap<K, Versioned<T>>) {
        for key in self.0.keys() {
            entries.shift_remove(key);
        }
        let existing = |(key, previous): (K, Option<(usize, Versioned<T>)>)| {
            previous.map(|(position, entry)| (position, key, entry))
        };
        let mut previous: Vec<_> = self.0.into_iter().filter_map(existing).collect();
        previous.sort_by_key(|(position, _, _)| *position);
        for (position, key, entry) in previous {
            entries.shift_insert(position, key, entry);
        }
    }
}

impl PreviousEntries {
    /// Saves all entries that `changes` would change.
    pub fn of(table: &Table, changes: &[Change]) -> Self {
        let mut previous = Self {
            rows: PreviousValues::new(),
            models: PreviousValues::new(),
            services: PreviousValues::new(),
            brands: PreviousValues::new(),
            store: table.store.clone(),
            removed: table.removed.clone(),
        };
        for change in changes {
            previous.save(table, change);
        }
        previous
    }

    fn save(&mut self, table: &Table, change: &Change) {
        match change {
            Change::PutRow { key, .. } | Change::RemoveRow { key } => {
                self.rows.save(&table.rows, key);
            }
            Change::PutModel { name, .. } | Change::RemoveModel { name } => {
                self.models.save(&table.models, name);
            }
            Change::PutService { name, .. } | Change::RemoveService { name } => {
                self.services.save(&table.services, name);
            }
            Change::PutBrand { name, .. } | Change::RemoveBrand { name } => {
                self.brands.save(&table.brands, name);
            }
            Change::SetStore { .. } => {}
        }
    }

    /// Restores the saved entries.
    pub fn restore(self, table: &mut Table) {
        self.rows.restore(&mut table.rows);
        self.models.restore(&mut table.models);
        self.services.restore(&mut table.services);
        self.brands.restore(&mut table.brands);
        table.store = self.store;
        table.removed = self.removed;
    }
}
