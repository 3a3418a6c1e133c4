//! The commands `table show` and `table history`, which print the table and its last edits.

use crate::cli::call::OperatorClient;
use crate::cli::exit::{CliError, Exit};
use crate::cli::options::{TableHistoryOptions, TableShowOptions};
use crate::cli::render::{columns, format_bytes, or_dash, print, print_line};
use crate::cli::view::json_name;
use crate::prelude::*;
use crate::table::Table;
use crate::table::message::{HistoryLine, Row, RowKey};

/// Prints the table as one host has it.
///
/// # Errors
///
/// Returns why the table cannot be read or printed.
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

/// Prints the last edits, accepted and rejected.
///
/// # Errors
///
/// Returns why the table cannot be read or printed.
pub async fn history(options: &TableHistoryOptions) -> Result<Exit, CliError> {
    let client = OperatorClient::new(&options.site, &options.token_file)?;
    let table: Table = client.get_json("/table").await?;
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
        json_name(&row.urgency),
        row.deadline_ms.to_string(),
        join_or(&row.data_centres, "all"),
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
                format_bytes(model.value.reserved_bytes),
                format_bytes(model.value.checkpoint_bytes),
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
                join_or(&service.value.upstreams, "-"),
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

fn join_or(names: &[Name], empty: &str) -> String {
    if names.is_empty() {
        return empty.to_string();
    }
    names.join(", ")
}
