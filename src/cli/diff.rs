//! Compares the entries that an edit touches with the present table, one line for each change.

use crate::prelude::*;
use crate::table::Table;
use crate::table::message::{Change, Edit};
use serde_json::Value;

/// How an edit changes one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DiffKind {
    /// The entry is new.
    Added,
    /// The entry exists and some of its fields change.
    Changed,
    /// The entry is removed.
    Removed,
    /// The entry stays as it is, or does not exist before and after.
    Unchanged,
}

/// The difference of one entry.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DiffLine {
    /// How the entry changes.
    pub kind: DiffKind,
    /// The kind and name of the entry, such as `row north-firm / portfolio-review`.
    pub entry: String,
    /// The fields that differ, such as `weight 1 -> 3`; empty for an entry that is removed or
    /// unchanged.
    pub fields: Vec<String>,
}

impl DiffLine {
    /// Formats the line for people.
    pub fn text(&self) -> String {
        let sign = match self.kind {
            DiffKind::Added => '+',
            DiffKind::Changed => '~',
            DiffKind::Removed => '-',
            DiffKind::Unchanged => '=',
        };
        if self.fields.is_empty() {
            return format!("{sign} {}", self.entry);
        }
        format!("{sign} {}: {}", self.entry, self.fields.join(", "))
    }
}

/// Returns one line for each change of the edit. Each is compared with `table` as it is, without
/// the other changes.
pub fn diff(table: &Table, edit: &Edit) -> Vec<DiffLine> {
    edit.changes
        .iter()
        .map(|change| diff_change(table, change))
        .collect()
}

fn diff_change(table: &Table, change: &Change) -> DiffLine {
    match change {
        Change::PutRow { key, row } => diff_line(row_label(change), table.row(key), Some(row)),
        Change::RemoveRow { key } => diff_line(row_label(change), table.row(key), None),
        Change::PutModel { name, model } => {
            diff_line(format!("model {name}"), table.model(name), Some(model))
        }
        Change::RemoveModel { name } => diff_line(format!("model {name}"), table.model(name), None),
        Change::PutService { name, service } => diff_line(
            format!("service {name}"),
            table.service(name),
            Some(service),
        ),
        Change::RemoveService { name } => {
            diff_line(format!("service {name}"), table.service(name), None)
        }
        Change::PutBrand { name, brand } => {
            let before = table.brands.get(name).map(|brand| &brand.value);
            diff_line(format!("brand {name}"), before, Some(brand))
        }
        Change::RemoveBrand { name } => {
            let before = table.brands.get(name).map(|brand| &brand.value);
            diff_line(format!("brand {name}"), before, None)
        }
        Change::SetStore { limits } => diff_line(
            "weight store".to_string(),
            Some(&table.store.value),
            Some(limits),
        ),
    }
}

fn row_label(change: &Change) -> String {
    match change {
        Change::PutRow { key, .. } | Change::RemoveRow { key } => {
            format!("row {} / {}", key.brand, key.model)
        }
        _ => String::new(),
    }
}

fn diff_line<T: Serialize + PartialEq>(
    entry: String,
    before: Option<&T>,
    after: Option<&T>,
) -> DiffLine {
    let kind = match (before, after) {
        (None, Some(_)) => DiffKind::Added,
        (Some(before), Some(after)) if before == after => DiffKind::Unchanged,
        (Some(_), Some(_)) => DiffKind::Changed,
        (Some(_), None) => DiffKind::Removed,
        (None, None) => DiffKind::Unchanged,
    };
    let fields = match kind {
        DiffKind::Added | DiffKind::Changed => changed_fields(before, after),
        DiffKind::Removed | DiffKind::Unchanged => Vec::new(),
    };
    DiffLine {
        kind,
        entry,
        fields,
    }
}

fn changed_fields<T: Serialize>(before: Option<&T>, after: Option<&T>) -> Vec<String> {
    let (before, after) = (fields(before), fields(after));
    let names: IndexSet<&String> = before.keys().chain(after.keys()).collect();
    names
        .into_iter()
        .filter(|name| before.get(*name) != after.get(*name))
        .map(|name| field_text(name, before.get(name), after.get(name)))
        .collect()
}

fn fields<T: Serialize>(entry: Option<&T>) -> IndexMap<String, Value> {
    match entry.map(serde_json::to_value) {
        Some(Ok(Value::Object(fields))) => fields.into_iter().collect(),
        _ => IndexMap::new(),
    }
}

fn field_text(name: &str, before: Option<&Value>, after: Option<&Value>) -> String {
    match (before, after) {
        (Some(before), Some(after)) => format!("{name} {before} -> {after}"),
        (Some(before), None) => format!("{name} {before} -> none"),
        (None, Some(after)) => format!("{name} {after}"),
        (None, None) => name.to_string(),
    }
}
