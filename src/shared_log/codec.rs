//! How records become texts on the log, and which texts a release may skip.
//!
//! Each text carries the number of its format. A text without a readable number, or one of a known
//! format that does not decode, is skipped at every host. A text of a newer format may mean something
//! that this release cannot apply, so the fold stops before it.

use crate::prelude::*;
use snafu::Snafu;

/// The newest record format that this release writes and applies.
///
/// Any new kind of record, and any new field that changes what a record does, takes the next number.
pub const RECORD_FORMAT: u32 = 1;

/// Why a text is not a record of this release.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum DecodeError {
    /// A newer release wrote it.
    #[snafu(display("format {format} is newer than {RECORD_FORMAT}"))]
    Newer {
        /// Its format.
        format: u32,
    },
    /// No release can apply it.
    #[snafu(display("{why}"))]
    Garbage {
        /// Why.
        why: String,
    },
}

#[derive(Serialize)]
struct Outgoing<'a> {
    format: u32,
    #[serde(flatten)]
    record: &'a Record,
}

#[derive(Deserialize)]
struct Envelope {
    format: u32,
}

/// Writes a record as the text that the log keeps.
///
/// # Errors
///
/// Returns the encoder's error.
pub fn encode(record: &Record) -> Result<String, serde_json::Error> {
    serde_json::to_string(&Outgoing {
        format: RECORD_FORMAT,
        record,
    })
}

/// Reads a record from its text.
///
/// # Errors
///
/// Tells a newer release's record, which must not be skipped, from garbage, which is.
pub fn decode(text: &str) -> Result<Record, DecodeError> {
    let envelope: Envelope = serde_json::from_str(text).map_err(garbage)?;
    if envelope.format > RECORD_FORMAT {
        return Err(DecodeError::Newer {
            format: envelope.format,
        });
    }
    serde_json::from_str(text).map_err(garbage)
}

fn garbage(error: serde_json::Error) -> DecodeError {
    DecodeError::Garbage {
        why: error.to_string(),
    }
}
