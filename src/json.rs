//! Decodes JSON that other programs write, row by row where it has rows.

use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use std::fmt;

/// A row of a list, still encoded. It is decoded for itself, so that a row that cannot be decoded
/// leaves the others.
pub type RawRow = Box<RawValue>;

/// The longest error about a row, since it may quote arbitrary text.
const MAX_ERROR_CHARS: usize = 160;

/// Decodes a document. Bytes that are no UTF-8 are replaced by U+FFFD, so that they spoil only the row
/// that holds them.
///
/// # Errors
///
/// Returns the error of the JSON parser.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> serde_json::Result<T> {
    serde_json::from_str(&String::from_utf8_lossy(bytes))
}

/// Decodes a row.
///
/// # Errors
///
/// Returns a short description of the error.
pub fn decode_row<T: DeserializeOwned>(row: &RawValue) -> Result<T, String> {
    serde_json::from_str(row.get()).map_err(|error| shorten(&error))
}

/// Returns an error as a text of bounded length without control characters.
pub fn shorten(error: &impl fmt::Display) -> String {
    escape(&error.to_string(), MAX_ERROR_CHARS)
}

/// Returns a text of another program for a log line: at most its first `max_chars` characters, with
/// escapes for all that are not printable ASCII.
pub fn escape(text: &str, max_chars: usize) -> String {
    let mut cut = text.chars();
    let mut escaped: String = cut
        .by_ref()
        .take(max_chars)
        .flat_map(char::escape_default)
        .collect();
    if cut.next().is_some() {
        escaped.push_str("...");
    }
    escaped
}
