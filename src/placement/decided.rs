//! How many copies of each model the table asks for.

use crate::prelude::*;
use crate::table::Table;

/// The counts of all models, made anew when the table changes. A base is needed beside each adapter.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DecidedCopies {
    version: Offset,
    counts: IndexMap<Name, u32>,
}

impl DecidedCopies {
    /// Follows the table.
    pub fn refresh(&mut self, table: &Table) {
        if self.version == table.version {
            return;
        }
        self.version = table.version;
        self.counts.clear();
        for (key, row) in &table.rows {
            let copies = row.value.copies;
            self.raise(&key.model, copies);
            if let Some(base) = table.model(&key.model).and_then(|spec| spec.base.as_ref()) {
                self.raise(base, copies);
            }
        }
    }

    /// Returns the count of a model.
    pub fn of(&self, model: &str) -> u32 {
        self.counts.get(model).copied().unwrap_or(0)
    }

    fn raise(&mut self, model: &Name, copies: u32) {
        let count = self.counts.entry(model.clone()).or_default();
        *count = copies.max(*count);
    }
}

/// Derived from the table, so that it makes no difference between two states.
impl PartialEq for DecidedCopies {
    fn eq(&self, _other: &Self) -> bool {
        true
    }
}
