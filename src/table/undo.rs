//! What an edit is about to change, so that a rejected one leaves the table as it was.
//!
//! The order of the sheets is restored too: it goes into checkpoints, which must be equal at all hosts.

use crate::prelude::*;
use crate::table::message::{Brand, Change, Model, Row, RowKey, Service, StoreLimits};
use crate::table::{Table, Versioned};
use std::hash::Hash;

/// The former content of everything that an edit touches.
pub struct Former {
    rows: FormerEntries<RowKey, Row>,
    models: FormerEntries<Name, Model>,
    services: FormerEntries<Name, Service>,
    brands: FormerEntries<Name, Brand>,
    store: Versioned<StoreLimits>,
    removed: IndexMap<Name, Offset>,
}

/// Entries with their places, or nothing for those that did not exist.
struct FormerEntries<K, T>(IndexMap<K, Option<(usize, Versioned<T>)>>);

impl<K: Clone + Eq + Hash, T: Clone> FormerEntries<K, T> {
    fn new() -> Self {
        Self(IndexMap::new())
    }

    fn note(&mut self, sheet: &IndexMap<K, Versioned<T>>, key: &K) {
        let former = sheet.get_full(key);
        let former = former.map(|(place, _, entry)| (place, entry.clone()));
        self.0.entry(key.clone()).or_insert(former);
    }

    /// Takes all touched entries out, then puts the former ones back from the first place on.
    fn restore(self, sheet: &mut IndexMap<K, Versioned<T>>) {
        for key in self.0.keys() {
            sheet.shift_remove(key);
        }
        let existed = |(key, former): (K, Option<(usize, Versioned<T>)>)| {
            former.map(|(place, entry)| (place, key, entry))
        };
        let mut former: Vec<_> = self.0.into_iter().filter_map(existed).collect();
        former.sort_by_key(|(place, _, _)| *place);
        for (place, key, entry) in former {
            sheet.shift_insert(place, key, entry);
        }
    }
}

impl Former {
    /// Takes note of what the changes touch.
    pub fn of(table: &Table, changes: &[Change]) -> Self {
        let mut former = Self {
            rows: FormerEntries::new(),
            models: FormerEntries::new(),
            services: FormerEntries::new(),
            brands: FormerEntries::new(),
            store: table.store.clone(),
            removed: table.removed.clone(),
        };
        for change in changes {
            former.note(table, change);
        }
        former
    }

    fn note(&mut self, table: &Table, change: &Change) {
        match change {
            Change::PutRow { key, .. } | Change::RemoveRow { key } => {
                self.rows.note(&table.rows, key);
            }
            Change::PutModel { name, .. } | Change::RemoveModel { name } => {
                self.models.note(&table.models, name);
            }
            Change::PutService { name, .. } | Change::RemoveService { name } => {
                self.services.note(&table.services, name);
            }
            Change::PutBrand { name, .. } | Change::RemoveBrand { name } => {
                self.brands.note(&table.brands, name);
            }
            Change::SetStore { .. } => {}
        }
    }

    /// Undoes the changes.
    pub fn restore(self, table: &mut Table) {
        self.rows.restore(&mut table.rows);
        self.models.restore(&mut table.models);
        self.services.restore(&mut table.services);
        self.brands.restore(&mut table.brands);
        table.store = self.store;
        table.removed = self.removed;
    }
}
