//! Output for people: tables of text, byte counts, and writing to standard output.

use crate::cli::exit::{CliError, OutputSnafu};
use snafu::ResultExt;
use std::io::{ErrorKind, Write, stdout};

const COLUMN_SEPARATOR: &str = "  ";

/// Writes a text to standard output. A closed pipe is not an error.
///
/// # Errors
///
/// Returns why the output cannot be written.
pub fn print(text: &str) -> Result<(), CliError> {
    let mut out = stdout().lock();
    match out.write_all(text.as_bytes()).and_then(|()| out.flush()) {
        Err(error) if error.kind() == ErrorKind::BrokenPipe => Ok(()),
        outcome => outcome.context(OutputSnafu),
    }
}

/// Writes a text and a line feed to standard output. A closed pipe is not an error.
///
/// # Errors
///
/// Returns why the output cannot be written.
pub fn print_line(line: &str) -> Result<(), CliError> {
    print(&format!("{line}\n"))
}

/// Formats rows under a header as aligned columns; each row ends with a line feed.
pub fn columns(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = header.iter().map(|cell| cell.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let header: Vec<String> = header.iter().map(|cell| cell.to_string()).collect();
    let lines = std::iter::once(&header).chain(rows);
    lines.map(|row| format_row(row, &widths)).collect()
}

fn format_row(row: &[String], widths: &[usize]) -> String {
    let cells: Vec<String> = row
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    format!("{}\n", cells.join(COLUMN_SEPARATOR).trim_end())
}

/// Formats a byte count for people, in decimal units up to TB with one decimal place.
pub fn format_bytes(count: u64) -> String {
    const UNITS: [&str; 5] = ["B", "kB", "MB", "GB", "TB"];
    let mut value = count as f64;
    let mut unit = 0;
    while value >= 1000.0 && unit + 1 < UNITS.len() {
        value /= 1000.0;
        unit += 1;
    }
    if unit == 0 {
        return format!("{count} B");
    }
    format!("{value:.1} {}", UNITS[unit])
}

/// Formats an optional value; a dash stands for `None`.
pub fn or_dash(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "-".to_string(), |value| value.to_string())
}
