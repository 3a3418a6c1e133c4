//! Prints the table and its history.

use crate::cli::call::OperatorClient;
use crate::cli::exit::{CliError, Exit};
use crate::cli::options::{TableHistoryOptions, TableShowOptions};
use crate::cli::render::{bytes, columns, or_dash, print, print_line};
use crate::cli::view::text_of;
use crate::prelude::*;
use crate::table::Table;
use crate::table::message::{HistoryLine, Row, RowKey};

/// Prints the table.
///
/// # Errors
///
/// Returns why it cannot be read.
pub async fn show(options: &TableShowOptions) -> Result<Exit, CliError> {
    let client = OperatorClient::new(&options.site, &options.token_file)?;
    let text = client.get("/table").await?;
    if options.json {
        print_line(&text)?;
        return Ok(Exit::Done);
    }
    let table: Table = client.decode(&text)?;
    print(&table_text(&table))?;
    Ok(Exit::Done)
}

/// Prints the last edits.
///
/// # Errors
///
/// Returns why they cannot be read.
pub async fn history(options: &TableHistoryOptions) -> Result<Exit, CliError> {
    let client = OperatorClient::new(&options.site, &options.token_file)?;
    let table: Table = client.read("/table").await?;
    if options.json {
        print_line(&serde_json::to_string(&table.history).unwrap_or_default())?;
        return Ok(Exit::Done);
    }
    let rows: Vec<Vec<String>> = table.history.iter().map(history_row).collect();
    let header = ["VERSION", "EDIT", "OPERATOR", "CHANGES", "OUTCOME"];
    print(&columns(&header, &rows))?;
    Ok(Exit::Done)
}

fn history_row(line: &HistoryLine) -> Vec<String> {
    let outcome = match &line.rejected {
        None => "accepted".to_string(),
        Some(rejection) => {
            format!(
                "rejected: {}",
                serde_json::to_string(rejection).unwrap_or_default()
            )
        }
    };
    vec![
        line.offset.to_string(),
        line.edit_id.to_string(),
        line.operator.to_string(),
        line.changes.to_string(),
        outcome,
    ]
}

fn table_text(table: &Table) -> String {
    let store = &table.store.value;
    format!(
        "table version {} (weight store: {} loads at once, {} a second)\n\n{}\n{}\n{}\n{}",
        table.version,
        store.parallel_loads,
        store.loads_per_s,
        row_lines(table),
        model_lines(table),
        service_lines(table),
        brand_lines(table),
    )
}

fn row_lines(table: &Table) -> String {
    let rows: Vec<Vec<String>> = table
        .rows
        .iter()
        .map(|(key, row)| row_cells(key, &row.value, row.version))
        .collect();
    let header = [
        "BRAND",
        "MODEL OR SERVICE",
        "WEIGHT",
        "REQUESTS/S",
        "AT ONCE",
        "COPIES",
        "URGENCY",
        "DEADLINE",
        "DATA CENTRES",
        "CHANGED",
    ];
    columns(&header, &rows)
}

fn row_cells(key: &RowKey, row: &Row, version: Offset) -> Vec<String> {
    vec![
        key.brand.to_string(),
        key.model.to_string(),
        row.weight.to_string(),
        or_dash(row.requests_per_s),
        or_dash(row.concurrent_requests),
        row.copies.to_string(),
        text_of(&row.urgency),
        row.deadline_ms.to_string(),
        list(&row.data_centres, "all"),
        version.to_string(),
    ]
}

fn model_lines(table: &Table) -> String {
    let rows: Vec<Vec<String>> = table
        .models
        .iter()
        .map(|(name, model)| {
            vec![
                name.to_string(),
                model.value.version.to_string(),
                bytes(model.value.reserved_bytes),
                bytes(model.value.checkpoint_bytes),
                or_dash(model.value.base.as_ref()),
                model.version.to_string(),
            ]
        })
        .collect();
    let header = [
        "MODEL",
        "VERSION",
        "RESERVED",
        "CHECKPOINT",
        "BASE",
        "CHANGED",
    ];
    columns(&header, &rows)
}

fn service_lines(table: &Table) -> String {
    let rows: Vec<Vec<String>> = table
        .services
        .iter()
        .map(|(name, service)| {
            vec![
                name.to_string(),
                list(&service.value.upstreams, "-"),
                service.version.to_string(),
            ]
        })
        .collect();
    columns(&["SERVICE", "UPSTREAMS", "CHANGED"], &rows)
}

fn brand_lines(table: &Table) -> String {
    let rows: Vec<Vec<String>> = table
        .brands
        .iter()
        .map(|(name, brand)| {
            vec![
                name.to_string(),
                brand.value.key_sha256.len().to_string(),
                brand.version.to_string(),
            ]
        })
        .collect();
    columns(&["BRAND", "KEYS", "CHANGED"], &rows)
}

fn list(names: &[Name], empty: &str) -> String {
    if names.is_empty() {
        return empty.to_string();
    }
    names.join(", ")
}
