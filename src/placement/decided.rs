//! How many copies of each model the table asks for, and where they may be.

use crate::prelude::*;
use crate::table::Table;

/// The counts of all models, made anew when the table changes. A base is needed beside each adapter.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DecidedCopies {
    version: Offset,
    counts: IndexMap<Name, u32>,
    /// The data centres of the targets that are not allowed everywhere.
    places: IndexMap<Name, Vec<Name>>,
}

impl DecidedCopies {
    /// Follows the table.
    pub fn refresh(&mut self, table: &Table) {
        if self.version == table.version {
            return;
        }
        self.version = table.version;
        self.counts.clear();
        self.places.clear();
        for (key, row) in &table.rows {
            let copies = row.value.copies;
            let places = &row.value.data_centres;
            self.raise(&key.model, copies);
            self.restrict(&key.model, places);
            if let Some(base) = table.model(&key.model).and_then(|spec| spec.base.as_ref()) {
                self.raise(base, copies);
                self.restrict(base, places);
            }
        }
    }

    /// Returns the count of a model.
    pub fn of(&self, model: &str) -> u32 {
        self.counts.get(model).copied().unwrap_or(0)
    }

    /// Returns the data centres in which a model or service may run; all when there are none.
    ///
    /// Rows of several brands share copies, so a copy stands where all of them allow it.
    pub fn places_of(&self, target: &str) -> Places<'_> {
        Places(self.places.get(target).map(Vec::as_slice))
    }

    fn restrict(&mut self, target: &Name, places: &[Name]) {
        if places.is_empty() {
            return;
        }
        match self.places.get_mut(target) {
            Some(allowed) => allowed.retain(|place| places.contains(place)),
            None => {
                self.places.insert(target.clone(), places.to_vec());
            }
        }
    }

    fn raise(&mut self, model: &Name, copies: u32) {
        let count = self.counts.entry(model.clone()).or_default();
        *count = copies.max(*count);
    }
}

/// Where a model or service may run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Places<'a>(Option<&'a [Name]>);

impl Places<'_> {
    /// Tells whether a data centre is allowed.
    pub fn allow(&self, data_centre: &Name) -> bool {
        self.0.is_none_or(|places| places.contains(data_centre))
    }
}

/// Derived from the table, so that it makes no difference between two states.
impl PartialEq for DecidedCopies {
    fn eq(&self, _other: &Self) -> bool {
        true
    }
}
