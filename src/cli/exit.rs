//! Exit codes and errors of the command-line tool.

use crate::edge::http::CallError;
use crate::error::ErrorKind;
use snafu::Snafu;
use std::path::PathBuf;
use std::process::ExitCode;

/// The tool's exit codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// It is done.
    Done = 0,
    /// Something local went wrong.
    Failed = 1,
    /// No host answered.
    Unreachable = 3,
    /// The site refused.
    Refused = 4,
    /// The edit is based on an older table.
    Conflict = 5,
    /// The edit is not yet in force everywhere.
    Pending = 6,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CliError {
    /// A file cannot be read or written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A file's content cannot be used.
    #[snafu(display("{}: {why}", path.display()))]
    Content {
        /// The file.
        path: PathBuf,
        /// Why.
        why: String,
    },
    /// Keys cannot be made.
    #[snafu(display("cannot make keys: {why}"))]
    Keys {
        /// Why.
        why: String,
    },
    /// An option's value cannot be used.
    #[snafu(display("{option}: {why}"))]
    Option {
        /// The option.
        option: &'static str,
        /// What it takes.
        why: String,
    },
    /// A host does not answer.
    #[snafu(display("{url}: {source}"))]
    Call {
        /// The address.
        url: String,
        /// Why.
        source: CallError,
    },
    /// The site refused.
    #[snafu(display("refused ({kind}): {message}{}", advice_text(advice)))]
    Refused {
        /// The kind of error, as its JSON name.
        kind: String,
        /// What happened.
        message: String,
        /// What to do.
        advice: String,
    },
}

fn advice_text(advice: &str) -> String {
    if advice.is_empty() {
        String::new()
    } else {
        format!("; {advice}")
    }
}

impl CliError {
    /// Returns the exit code of the error.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Call { .. } => Exit::Unreachable,
            Self::Refused { kind, .. } if *kind == kind_name(ErrorKind::EditConflict) => {
                Exit::Conflict
            }
            Self::Refused { kind, .. } if *kind == kind_name(ErrorKind::EditPending) => {
                Exit::Pending
            }
            Self::Refused { .. } => Exit::Refused,
            Self::File { .. } | Self::Content { .. } | Self::Keys { .. } | Self::Option { .. } => {
                Exit::Failed
            }
        }
    }
}

fn kind_name(kind: ErrorKind) -> String {
    let value = serde_json::to_value(kind).unwrap_or_default();
    value.as_str().unwrap_or_default().to_string()
}
