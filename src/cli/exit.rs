//! Exit codes and errors of the command-line tool.

use crate::cli::call::ErrorFields;
use crate::edge::http::CallError;
use crate::error::{ErrorKind, Ran};
use crate::settings::SettingsError;
use snafu::Snafu;
use std::path::PathBuf;
use std::process::ExitCode;

/// The tool's exit codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// It is done.
    Done = 0,
    /// An option or a local file cannot be used.
    Failed = 1,
    /// A settings file is not valid.
    BadSettings = 2,
    /// No host answered.
    Unreachable = 3,
    /// The site refused; the same command will be refused again.
    Refused = 4,
    /// The edit is based on an older table.
    Conflict = 5,
    /// The edit is not yet in force everywhere.
    Pending = 6,
    /// The host does not serve.
    NotServing = 7,
    /// The site refused for now; the same command may succeed later.
    Later = 8,
    /// The request may have run; its answer is lost.
    OutcomeUnknown = 9,
    /// A plain service answered with an error status.
    ErrorStatus = 10,
    /// A replay did not come to the recorded state.
    ReplayDiffers = 11,
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
    #[snafu(display("{}: {}", path.display(), why.trim_end()))]
    Content {
        /// The file.
        path: PathBuf,
        /// Why.
        why: String,
    },
    /// The output cannot be written.
    #[snafu(display("cannot write the output: {source}"))]
    Output {
        /// Why.
        source: std::io::Error,
    },
    /// Keys cannot be made.
    #[snafu(display("cannot make keys: {why}"))]
    Keys {
        /// Why.
        why: String,
    },
    /// A settings file is not valid.
    #[snafu(display("{source}"))]
    Settings {
        /// Why.
        source: SettingsError,
    },
    /// An option's value cannot be used.
    #[snafu(display("{option}: {why}"))]
    Option {
        /// The option.
        option: &'static str,
        /// What it takes.
        why: String,
    },
    /// A host does not answer, and nothing depends on whether it got the call.
    #[snafu(display("{url}: {source}"))]
    Call {
        /// The address.
        url: String,
        /// Why.
        source: CallError,
    },
    /// The answer to a request is lost.
    #[snafu(display("{url}: {source}; the request may have run"))]
    Lost {
        /// The address.
        url: String,
        /// Why.
        source: CallError,
    },
    /// The answer to an edit is lost.
    #[snafu(display("{url}: {source}; edit {edit_id} may have been taken"))]
    EditLost {
        /// The address.
        url: String,
        /// Why.
        source: CallError,
        /// The edit.
        edit_id: String,
    },
    /// The site refused.
    #[snafu(display("refused ({}): {}", fields.kind, fields.message))]
    Refused {
        /// The refusal.
        fields: Box<ErrorFields>,
    },
    /// The host does not serve.
    #[snafu(display("{url}: the host is {state}"))]
    NotServing {
        /// The address.
        url: String,
        /// The state that it gave.
        state: String,
    },
}

impl CliError {
    /// Returns the exit code of the error.
    pub fn exit(&self) -> Exit {
        match self {
            Self::File { .. }
            | Self::Content { .. }
            | Self::Output { .. }
            | Self::Keys { .. }
            | Self::Option { .. } => Exit::Failed,
            Self::Settings { .. } => Exit::BadSettings,
            Self::Call { .. } => Exit::Unreachable,
            Self::Lost { .. } => Exit::OutcomeUnknown,
            Self::EditLost { .. } => Exit::Pending,
            Self::NotServing { .. } => Exit::NotServing,
            Self::Refused { fields } => refused_exit(fields),
        }
    }

    /// Returns what to do next, in one sentence.
    pub fn advice(&self) -> String {
        match self {
            Self::File { .. } => "check the path and its permissions".to_string(),
            Self::Content { .. } => "correct the file".to_string(),
            Self::Output { .. } => "check where the output goes".to_string(),
            Self::Keys { .. } => "check the names and the directory".to_string(),
            Self::Settings { source } => source.advice().to_string(),
            Self::Option { .. } => "see --help".to_string(),
            Self::Call { .. } => "check the address, or ask another host".to_string(),
            Self::Lost { .. } => ErrorKind::OutcomeUnknown.answer().advice.to_string(),
            Self::EditLost { edit_id, .. } => {
                format!("repeat the command with --edit-id {edit_id}")
            }
            Self::Refused { fields } => refused_advice(fields),
            Self::NotServing { .. } => "ask another host, or read this host's log".to_string(),
        }
    }
}

fn refused_exit(fields: &ErrorFields) -> Exit {
    if fields.kind == ErrorKind::EditConflict.name() {
        return Exit::Conflict;
    }
    if fields.kind == ErrorKind::EditPending.name() {
        return Exit::Pending;
    }
    match (fields.ran, fields.retryable) {
        (Ran::Unknown, _) => Exit::OutcomeUnknown,
        (Ran::NotRun, true) => Exit::Later,
        (Ran::NotRun, false) => Exit::Refused,
    }
}

fn refused_advice(fields: &ErrorFields) -> String {
    match fields.retry_after_ms {
        Some(retry_after_ms) => format!("{} ({retry_after_ms})", fields.advice),
        None => fields.advice.clone(),
    }
}
