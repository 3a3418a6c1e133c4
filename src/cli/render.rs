//! Output for people: columns of text.

use crate::cli::exit::{CliError, OutputSnafu};
use snafu::ResultExt;
use std::io::{ErrorKind, Write, stdout};

const GAP: &str = "  ";

/// Writes a text to standard output. A reader that went away is no error.
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

/// Writes a line to standard output.
///
/// # Errors
///
/// Returns why the output cannot be written.
pub fn print_line(line: &str) -> Result<(), CliError> {
    print(&format!("{line}\n"))
}

/// Lays rows out under a header.
pub fn columns(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = header.iter().map(|cell| cell.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let header: Vec<String> = header.iter().map(|cell| cell.to_string()).collect();
    let lines = std::iter::once(&header).chain(rows);
    lines.map(|row| line(row, &widths)).collect()
}

fn line(row: &[String], widths: &[usize]) -> String {
    let cells: Vec<String> = row
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    format!("{}\n", cells.join(GAP).trim_end())
}

/// Writes a count of bytes for people.
pub fn bytes(count: u64) -> String {
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

/// Writes an optional value, or a dash.
pub fn or_dash(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "-".to_string(), |value| value.to_string())
}
