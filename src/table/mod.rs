//! The table that operators edit: brands, models, services, and rows that say what a brand may use.
//!
//! It is part of the shared state, so it is the same at all hosts that have applied the same
//! records.

pub mod message;
pub mod pending_edits;
mod rollback;

#[cfg(test)]
mod tests;

use crate::prelude::*;
use message::{Brand, Change, Edit, HistoryLine, Model, Row, RowKey, Service, StoreLimits};
use rollback::PreviousEntries;
use std::collections::VecDeque;

/// Most edits in the history, and most removals that are remembered to detect conflicts.
pub const MAX_HISTORY_LINES: usize = 1024;
/// Most changes in one edit.
pub const MAX_CHANGES: usize = 4096;
/// Most entries in each of the maps of brands, models, services and rows.
pub const MAX_ENTRIES: usize = 400_000;

/// An entry of the table with the version that last changed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Versioned<T> {
    /// The offset of the edit that last changed the entry.
    pub version: Offset,
    /// The content of the entry.
    pub value: T,
}

/// The table in the shared state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// The offset of the last accepted edit.
    pub version: Offset,
    /// The brands by name.
    pub brands: IndexMap<Name, Versioned<Brand>>,
    /// The models and adapters by name.
    pub models: IndexMap<Name, Versioned<Model>>,
    /// The plain services by name.
    pub services: IndexMap<Name, Versioned<Service>>,
    /// The rows by brand and model or service.
    #[serde(with = "row_list")]
    pub rows: IndexMap<RowKey, Versioned<Row>>,
    /// The limits on loads from the weight store.
    pub store: Versioned<StoreLimits>,
    /// The offsets of the latest removals of entries, by [`change_name`], to detect conflicts.
    removed: IndexMap<Name, Offset>,
    /// The latest accepted and rejected edits, oldest first.
    pub history: VecDeque<HistoryLine>,
}

impl Default for Versioned<StoreLimits> {
    fn default() -> Self {
        Self {
            version: Offset(0),
            value: StoreLimits::default(),
        }
    }
}

impl Table {
    /// Applies all changes of an edit, or none of them, and adds it to the history.
    ///
    /// # Errors
    ///
    /// Returns why the edit was rejected; only the history is changed then. A repeated edit id is
    /// rejected without an entry in the history.
    pub fn apply_edit(&mut self, offset: Offset, edit: &Edit) -> Result<(), Rejection> {
        if self.find_edit(&edit.edit_id).is_some() {
            return Err(Rejection::EditRepeated);
        }
        let outcome = self.try_edit(offset, edit);
        self.add_to_history(offset, edit, outcome.clone().err());
        outcome
    }

    /// Returns the edit with this id from the history.
    pub fn find_edit(&self, edit_id: &str) -> Option<&HistoryLine> {
        self.history
            .iter()
            .rev()
            .find(|line| &*line.edit_id == edit_id)
    }

    /// Returns the name of the brand that has an API key with this SHA-256 digest, in hex digits.
    pub fn brand_of_key(&self, key_sha256: &str) -> Option<&Name> {
        self.brands
            .iter()
            .find(|(_, brand)| {
                brand
                    .value
                    .key_sha256
                    .iter()
                    .any(|hash| &**hash == key_sha256)
            })
            .map(|(name, _)| name)
    }

    /// Returns the row of a brand and a model or service.
    pub fn row(&self, key: &RowKey) -> Option<&Row> {
        self.rows.get(key).map(|row| &row.value)
    }

    /// Returns a model or adapter by name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.get(name).map(|model| &model.value)
    }

    /// Returns a plain service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name).map(|service| &service.value)
    }

    /// Returns the highest number of copies of a model that any of its rows asks for; 0 if none.
    pub fn copies_allowed(&self, model: &str) -> u32 {
        self.rows
            .iter()
            .filter(|(key, _)| &*key.model == model)
            .map(|(_, row)| row.value.copies)
            .max()
            .unwrap_or(0)
    }

    fn try_edit(&mut self, offset: Offset, edit: &Edit) -> Result<(), Rejection> {
        if edit.changes.is_empty() {
            return Err(invalid("the edit has no changes"));
        }
        if edit.changes.len() > MAX_CHANGES {
            return Err(invalid(format!(
                "more than {MAX_CHANGES} changes in one edit"
            )));
        }
        for change in &edit.changes {
            self.check_conflict(edit.base_version, change)?;
        }
        let previous = PreviousEntries::of(self, &edit.changes);
        let outcome = self.apply_changes(offset, &edit.changes);
        match outcome {
            Ok(()) => self.version = offset,
            Err(_) => previous.restore(self),
        }
        outcome
    }

    fn apply_changes(&mut self, offset: Offset, changes: &[Change]) -> Result<(), Rejection> {
        for change in changes {
            self.apply_change(offset, change)?;
        }
        for change in changes {
            self.check_references(change)?;
        }
        Ok(())
    }

    fn check_conflict(&self, base: Offset, change: &Change) -> Result<(), Rejection> {
        let name = change_name(change);
        let present = match change {
            Change::PutRow { key, .. } | Change::RemoveRow { key } => {
                self.rows.get(key).map(|row| row.version)
            }
            Change::PutModel { name, .. } | Change::RemoveModel { name } => {
                self.models.get(name).map(|model| model.version)
            }
            Change::PutService { name, .. } | Change::RemoveService { name } => {
                self.services.get(name).map(|service| service.version)
            }
            Change::PutBrand { name, .. } | Change::RemoveBrand { name } => {
                self.brands.get(name).map(|brand| brand.version)
            }
            Change::SetStore { .. } => Some(self.store.version),
        };
        let changed_at = present.max(self.removed.get(&*name).copied());
        if changed_at.is_some_and(|version| version > base) {
            return Err(Rejection::EditConflict { what: name });
        }
        Ok(())
    }

    fn apply_change(&mut self, version: Offset, change: &Change) -> Result<(), Rejection> {
        match change {
            Change::PutRow { key, row } => {
                check_row(key, row)?;
                put_entry(&mut self.rows, key.clone(), row.clone(), version)
            }
            Change::PutModel { name, model } => {
                check_model(name, model)?;
                put_entry(&mut self.models, name.clone(), model.clone(), version)
            }
            Change::PutService { name, service } => {
                check_name(name)?;
                put_entry(&mut self.services, name.clone(), service.clone(), version)
            }
            Change::PutBrand { name, brand } => {
                check_brand(name, brand)?;
                put_entry(&mut self.brands, name.clone(), brand.clone(), version)
            }
            Change::SetStore { limits } => {
                check_store(limits)?;
                self.store = Versioned {
                    version,
                    value: *limits,
                };
                Ok(())
            }
            Change::RemoveRow { key } => self.remove_entry(version, change, |table| {
                table.rows.shift_remove(key).is_some()
            }),
            Change::RemoveModel { name } => self.remove_entry(version, change, |table| {
                table.models.shift_remove(name).is_some()
            }),
            Change::RemoveService { name } => self.remove_entry(version, change, |table| {
                table.services.shift_remove(name).is_some()
            }),
            Change::RemoveBrand { name } => self.remove_entry(version, change, |table| {
                table.brands.shift_remove(name).is_some()
            }),
        }
    }

    fn remove_entry(
        &mut self,
        version: Offset,
        change: &Change,
        remove: impl FnOnce(&mut Self) -> bool,
    ) -> Result<(), Rejection> {
        let what = change_name(change);
        if !remove(self) {
            return Err(invalid(format!("{what} does not exist")));
        }
        self.removed.insert(what.into(), version);
        if self.removed.len() > MAX_HISTORY_LINES {
            self.removed.shift_remove_index(0);
        }
        Ok(())
    }

    fn check_references(&self, change: &Change) -> Result<(), Rejection> {
        match change {
            Change::PutRow { key, .. } => self.check_row_references(key),
            Change::PutModel { name, model } => match &model.base {
                Some(base) if self.model(base).is_none() => Err(invalid(format!(
                    "model {name}: its base {base} does not exist"
                ))),
                _ => Ok(()),
            },
            Change::RemoveModel { name } => self.check_unused(name),
            Change::RemoveService { name } => self.check_unused(name),
            Change::RemoveBrand { name } => match self.rows.keys().find(|key| key.brand == *name) {
                Some(key) => Err(invalid(format!(
                    "brand {name} still has a row for {}",
                    key.model
                ))),
                None => Ok(()),
            },
            _ => Ok(()),
        }
    }

    fn check_row_references(&self, key: &RowKey) -> Result<(), Rejection> {
        if !self.brands.contains_key(&key.brand) {
            return Err(invalid(format!("brand {} does not exist", key.brand)));
        }
        if self.model(&key.model).is_none() && self.service(&key.model).is_none() {
            return Err(invalid(format!(
                "no model or service is named {}",
                key.model
            )));
        }
        Ok(())
    }

    fn check_unused(&self, name: &str) -> Result<(), Rejection> {
        if let Some(key) = self.rows.keys().find(|key| &*key.model == name) {
            return Err(invalid(format!(
                "{name} is still in a row of brand {}",
                key.brand
            )));
        }
        let adapter = self
            .models
            .iter()
            .find(|(_, model)| model.value.base.as_deref() == Some(name));
        match adapter {
            Some((adapter, _)) => Err(invalid(format!("{name} is still the base of {adapter}"))),
            None => Ok(()),
        }
    }

    fn add_to_history(&mut self, offset: Offset, edit: &Edit, rejected: Option<Rejection>) {
        self.history.push_back(HistoryLine {
            offset,
            edit_id: edit.edit_id.clone(),
            operator: edit.operator.clone(),
            changes: edit.changes.len() as u32,
            rejected,
        });
        while self.history.len() > MAX_HISTORY_LINES {
            self.history.pop_front();
        }
    }
}

/// Returns the kind and name of the entry that a change concerns, as in `row BRAND/MODEL`. It is
/// used in messages, and as the key of removed entries.
pub fn change_name(change: &Change) -> String {
    match change {
        Change::PutRow { key, .. } | Change::RemoveRow { key } => {
            format!("row {}/{}", key.brand, key.model)
        }
        Change::PutModel { name, .. } | Change::RemoveModel { name } => format!("model {name}"),
        Change::PutService { name, .. } | Change::RemoveService { name } => {
            format!("service {name}")
        }
        Change::PutBrand { name, .. } | Change::RemoveBrand { name } => format!("brand {name}"),
        Change::SetStore { .. } => "store limits".to_string(),
    }
}

fn put_entry<K: std::hash::Hash + Eq, T>(
    entries: &mut IndexMap<K, Versioned<T>>,
    key: K,
    value: T,
    version: Offset,
) -> Result<(), Rejection> {
    if entries.len() >= MAX_ENTRIES && !entries.contains_key(&key) {
        return Err(Rejection::Full);
    }
    entries.insert(key, Versioned { version, value });
    Ok(())
}

fn check_row(key: &RowKey, row: &Row) -> Result<(), Rejection> {
    if row.weight == 0 {
        return Err(invalid(format!(
            "row {}/{}: weight must be 1 or more",
            key.brand, key.model
        )));
    }
    if row.deadline_ms == Millis::ZERO {
        return Err(invalid(format!(
            "row {}/{}: deadline_ms must be above 0",
            key.brand, key.model
        )));
    }
    Ok(())
}

fn check_model(name: &str, model: &Model) -> Result<(), Rejection> {
    check_name(name)?;
    if model.reserved_bytes == 0 {
        return Err(invalid(format!(
            "model {name}: reserved_bytes must be above 0"
        )));
    }
    if model.base.as_deref() == Some(name) {
        return Err(invalid(format!("model {name} cannot be its own base")));
    }
    Ok(())
}

fn check_brand(name: &str, brand: &Brand) -> Result<(), Rejection> {
    check_name(name)?;
    let is_hash = |hash: &Name| hash.len() == 64 && hash.bytes().all(|b| b.is_ascii_hexdigit());
    if !brand.key_sha256.iter().all(is_hash) {
        return Err(invalid(format!(
            "brand {name}: key_sha256 takes 64 hex digits each"
        )));
    }
    Ok(())
}

fn check_store(limits: &StoreLimits) -> Result<(), Rejection> {
    if limits.parallel_loads == 0 || limits.loads_per_s == 0 {
        return Err(invalid("store limits must be 1 or more"));
    }
    Ok(())
}

fn check_name(name: &str) -> Result<(), Rejection> {
    const MAX_NAME_BYTES: usize = 128;
    if name.is_empty() || name.len() > MAX_NAME_BYTES || name.contains(char::is_whitespace) {
        return Err(invalid(format!(
            "names take 1 to {MAX_NAME_BYTES} bytes without white space, not {name:?}"
        )));
    }
    Ok(())
}

fn invalid(why: impl Into<String>) -> Rejection {
    Rejection::EditInvalid { why: why.into() }
}

/// Serialises the rows as a list, because keys of JSON objects must be strings.
mod row_list {
    use super::*;
    use serde::{Deserializer, Serializer};

    #[derive(Serialize, Deserialize)]
    struct RowEntry {
        key: RowKey,
        row: Versioned<Row>,
    }

    pub fn serialize<S: Serializer>(
        rows: &IndexMap<RowKey, Versioned<Row>>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(rows.iter().map(|(key, row)| RowEntry {
            key: key.clone(),
            row: row.clone(),
        }))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<IndexMap<RowKey, Versioned<Row>>, D::Error> {
        let lines = Vec::<RowEntry>::deserialize(deserializer)?;
        Ok(lines.into_iter().map(|line| (line.key, line.row)).collect())
    }
}
