//! The history of a run: one line for each request, written as JSON lines.

use crate::arrivals::{CallKind, Phase};
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{BufRead, BufReader, BufWriter, Result, Write};
use std::path::Path;

/// One request, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryLine {
    /// Its number in the run.
    pub request: u64,
    /// When it was asked, from the start of the load.
    pub asked_ms: u64,
    /// Why.
    pub phase: Phase,
    /// Who asked.
    pub brand: String,
    /// The model or service.
    pub target: String,
    /// What was called.
    pub call: CallKind,
    /// The key of an operation that may run at most once.
    pub operation: Option<String>,
    /// How long the caller waits.
    pub deadline_ms: u64,
    /// Each try, in their order.
    pub tries: Vec<Try>,
    /// How it ended.
    pub end: End,
    /// When the first byte of the answer came, from the start of the load.
    pub first_byte_ms: Option<u64>,
    /// When it ended, from the start of the load.
    pub ended_ms: u64,
}

/// One try at one host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Try {
    /// The host's address.
    pub host: String,
    /// When it began, from the start of the load.
    pub began_ms: u64,
    /// How it ended.
    pub end: End,
}

/// How a request or a try ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum End {
    /// A whole answer.
    Answered {
        /// The HTTP status.
        status: u16,
        /// Whether it is the answer to this request.
        own: bool,
    },
    /// A refusal.
    Refused {
        /// The kind of error.
        kind: String,
        /// Whether the answer says that nothing was run.
        not_run: bool,
    },
    /// No connection was made.
    NotConnected,
    /// The connection broke, or the answer is not whole and does not say so.
    Broken {
        /// What the caller saw.
        why: String,
    },
    /// Nothing final came in time.
    NoEnd,
}

impl End {
    /// Tells whether this is a whole answer with a success status.
    pub fn is_success(&self) -> bool {
        matches!(
            self,
            Self::Answered {
                status: 200..=299,
                ..
            }
        )
    }

    /// Tells whether the caller knows that nothing was run.
    pub fn is_not_run(&self) -> bool {
        matches!(
            self,
            Self::Refused { not_run: true, .. } | Self::NotConnected
        )
    }

    /// Returns a short name for counts.
    pub fn name(&self) -> &str {
        match self {
            Self::Answered { .. } => "answered",
            Self::Refused { kind, .. } => kind,
            Self::NotConnected => "not_connected",
            Self::Broken { .. } => "broken",
            Self::NoEnd => "no_end",
        }
    }
}

impl HistoryLine {
    /// Tells whether a whole answer came before the deadline.
    pub fn is_good(&self) -> bool {
        self.end.is_success() && self.ended_ms.saturating_sub(self.asked_ms) <= self.deadline_ms
    }

    /// Returns the time from the question to the first byte of an answer.
    pub fn first_byte_after_ms(&self) -> Option<u64> {
        let first_byte_ms = self.first_byte_ms?;
        self.end
            .is_success()
            .then(|| first_byte_ms.saturating_sub(self.asked_ms))
    }
}

/// Writes a history.
///
/// # Errors
///
/// Returns the file system's error.
pub fn write(path: &Path, history: &[HistoryLine]) -> Result<()> {
    let mut file = BufWriter::new(File::create(path)?);
    for line in history {
        serde_json::to_writer(&mut file, line)?;
        file.write_all(b"\n")?;
    }
    file.flush()
}

/// Reads a history.
///
/// # Errors
///
/// Returns the file system's error, or the first line that is not of a history.
pub fn read(path: &Path) -> Result<Vec<HistoryLine>> {
    let file = BufReader::new(File::open(path)?);
    file.lines()
        .map(|line| Ok(serde_json::from_str(&line?)?))
        .collect()
}
