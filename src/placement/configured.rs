//! How many copies of each model the table configures, and in which data centres they may run.

use crate::prelude::*;
use crate::table::Table;

/// The configured number of copies and the allowed data centres of each model, rebuilt when the
/// table changes.
///
/// An adapter needs its base model on the same engine, so a base model has at least as many copies
/// as each of its adapters, and its data centres are restricted by their rows too.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ConfiguredCopies {
    version: Offset,
    counts: IndexMap<Name, u32>,
    /// The allowed data centres of the models and services that are not allowed in all.
    places: IndexMap<Name, Vec<Name>>,
}

impl ConfiguredCopies {
    /// Rebuilds the counts and data centres if the table's version has changed.
    pub fn refresh(&mut self, table: &Table) {
        if self.version == table.version {
            return;
        }
        self.version = table.version;
        self.counts.clear();
        self.places.clear();
        for (key, row) in &table.rows {
            let copies = row.value.copies;
            let data_centres = &row.value.data_centres;
            self.raise_count(&key.model, copies);
            self.restrict_data_centres(&key.model, data_centres);
            if let Some(base) = table.model(&key.model).and_then(|spec| spec.base.as_ref()) {
                self.raise_count(base, copies);
                self.restrict_data_centres(base, data_centres);
            }
        }
    }

    /// Returns the configured number of copies of a model; 0 if no row names it.
    pub fn of(&self, model: &str) -> u32 {
        self.counts.get(model).copied().unwrap_or(0)
    }

    /// Returns the data centres in which a model or service may run.
    ///
    /// The rows of several brands share the copies of a model, so only the data centres that all of
    /// these rows allow are allowed. A row that lists no data centre allows all.
    pub fn data_centres_of(&self, target: &str) -> AllowedDataCentres<'_> {
        AllowedDataCentres(self.places.get(target).map(Vec::as_slice))
    }

    fn restrict_data_centres(&mut self, target: &Name, data_centres: &[Name]) {
        if data_centres.is_empty() {
            return;
        }
        match self.places.get_mut(target) {
            Some(allowed) => allowed.retain(|data_centre| data_centres.contains(data_centre)),
            None => {
                self.places.insert(target.clone(), data_centres.to_vec());
            }
        }
    }

    fn raise_count(&mut self, model: &Name, copies: u32) {
        let count = self.counts.entry(model.clone()).or_default();
        *count = copies.max(*count);
    }
}

/// The data centres in which a model or service may run; `None` stands for all.
#[derive(Clone, Copy, Debug, Default)]
pub struct AllowedDataCentres<'a>(Option<&'a [Name]>);

impl AllowedDataCentres<'_> {
    /// Returns whether a data centre is allowed.
    pub fn allow(&self, data_centre: &Name) -> bool {
        self.0.is_none_or(|allowed| allowed.contains(data_centre))
    }
}

/// Always equal: the counts are derived from the table, so they must not make two states that are
/// otherwise equal differ.
impl PartialEq for ConfiguredCopies {
    fn eq(&self, _other: &Self) -> bool {
        true
    }
}
