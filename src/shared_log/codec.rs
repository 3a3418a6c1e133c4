//! Encoding and decoding of the log's records, with their format version.
//!
//! Each record has a format number. A record without a readable number, or one of a known format
//! that cannot be decoded, is skipped at every host. A record of a newer format may have effects
//! that this release does not know, so a host stops applying the log before it.

use crate::prelude::*;
use snafu::Snafu;

/// The newest record format that this release writes and applies.
///
/// A new kind of record, or a new field that changes the effect of a record, needs the next number.
pub const RECORD_FORMAT: u32 = 1;

/// Why a record on the log cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum DecodeError {
    /// The record has a newer format than [`RECORD_FORMAT`].
    #[snafu(display("format {format} is newer than {RECORD_FORMAT}"))]
    Newer {
        /// The format of the record.
        format: u32,
    },
    /// The record is invalid in every release, so that all hosts skip it.
    #[snafu(display("{why}"))]
    Undecodable {
        /// The error of the JSON parser.
        why: String,
    },
}

/// The encoding of a record.
#[derive(Serialize)]
struct VersionedRecord<'a> {
    format: u32,
    #[serde(flatten)]
    record: &'a Record,
}

/// The field that the encodings of all formats have in common.
#[derive(Deserialize)]
struct Envelope {
    format: u32,
}

/// Encodes a record as JSON, with its format number.
///
/// # Errors
///
/// Returns the error of the JSON serialiser.
pub fn encode(record: &Record) -> Result<String, serde_json::Error> {
    serde_json::to_string(&VersionedRecord {
        format: RECORD_FORMAT,
        record,
    })
}

/// Decodes a record.
///
/// # Errors
///
/// Returns [`DecodeError::Newer`] for a newer format, which a host must not skip, and
/// [`DecodeError::Undecodable`] for an invalid record, which every host skips.
pub fn decode(text: &str) -> Result<Record, DecodeError> {
    let envelope: Envelope = serde_json::from_str(text).map_err(undecodable)?;
    if envelope.format > RECORD_FORMAT {
        return Err(DecodeError::Newer {
            format: envelope.format,
        });
    }
    serde_json::from_str(text).map_err(undecodable)
}

fn undecodable(error: serde_json::Error) -> DecodeError {
    DecodeError::Undecodable {
        why: error.to_string(),
    }
}
