//! SHA-256 digests as hex text.

use ring::digest::{Context, SHA256};
use std::fmt::Write;
use std::sync::Arc;

/// Returns SHA-256 of the parts, as 64 lower-case hex digits.
///
/// Each part is hashed after its length, so that different divisions of the same bytes
/// have different digests.
pub fn sha256_of_parts(parts: &[&[u8]]) -> Arc<str> {
    let mut context = Context::new(&SHA256);
    for part in parts {
        context.update(&(part.len() as u64).to_le_bytes());
        context.update(part);
    }
    to_hex(context.finish().as_ref())
}

/// Returns SHA-256 of a text, as 64 lower-case hex digits.
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
