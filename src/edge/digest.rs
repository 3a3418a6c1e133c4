//! SHA-256 as hex digits.

use ring::digest::{Context, SHA256};
use std::fmt::Write;
use std::sync::Arc;

/// Returns SHA-256 over the parts, as 64 hex digits. Each part is preceded by its length.
pub fn sha256_of_parts(parts: &[&[u8]]) -> Arc<str> {
    let mut context = Context::new(&SHA256);
    for part in parts {
        context.update(&(part.len() as u64).to_le_bytes());
        context.update(part);
    }
    to_hex(context.finish().as_ref())
}

/// Returns SHA-256 of a text, as 64 hex digits.
pub fn sha256(text: &str) -> Arc<str> {
    to_hex(ring::digest::digest(&SHA256, text.as_bytes()).as_ref())
}

fn to_hex(bytes: &[u8]) -> Arc<str> {
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        let _ = write!(text, "{byte:02x}");
    }
    text.into()
}
