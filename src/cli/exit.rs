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
    /// The command succeeded.
    Done = 0,
    /// An option, a local file or the output cannot be used, or keys cannot be created.
    LocalError = 1,
    /// A settings file is not valid.
    BadSettings = 2,
    /// No host answered.
    Unreachable = 3,
    /// The host refused; the same command will be refused again.
    Refused = 4,
    /// The edit is based on an older version of the table.
    Conflict = 5,
    /// The edit is not yet in force at all hosts, or its answer is lost.
    Pending = 6,
    /// The host is in a state in which it does not serve callers.
    NotServing = 7,
    /// The host refused; the same command may succeed later.
    RetryLater = 8,
    /// The request may have run, but its answer is lost.
    OutcomeUnknown = 9,
    /// A plain service, that is, an upstream that runs no models, answered with an error status.
    ErrorStatus = 10,
    /// A replay ended in another state than the recorded one.
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
        /// The path as it was given.
        path: PathBuf,
        /// What the operating system reports.
        source: std::io::Error,
    },
    /// A file's content cannot be used.
    #[snafu(display("{}: {}", path.display(), why.trim_end()))]
    Content {
        /// The path as it was given.
        path: PathBuf,
        /// What is wrong with the content.
        why: String,
    },
    /// The output cannot be written.
    #[snafu(display("cannot write the output: {source}"))]
    Output {
        /// What the operating system reports.
        source: std::io::Error,
    },
    /// Keys cannot be created.
    #[snafu(display("cannot create keys: {why}"))]
    Keys {
        /// What the cryptographic library reports.
        why: String,
    },
    /// A settings file is not valid.
    #[snafu(display("{source}"))]
    Settings {
        /// Where the file is wrong, and what is allowed.
        source: SettingsError,
    },
    /// An option's value cannot be used.
    #[snafu(display("{option}: {why}"))]
    Option {
        /// The name of the option.
        option: &'static str,
        /// What the option takes, or that it is missing.
        why: String,
    },
    /// A host gave no usable answer, and it does not matter whether the call took effect there, for
    /// example because the call only reads.
    #[snafu(display("{url}: {source}"))]
    Call {
        /// The address of the host, as `http://host:port`.
        url: String,
        /// Why there is no answer.
        source: CallError,
    },
    /// The answer to a request is lost; the request may have run.
    #[snafu(display("{url}: {source}; the request may have run"))]
    AnswerLost {
        /// The address of the host, as `http://host:port`.
        url: String,
        /// Why there is no answer.
        source: CallError,
    },
    /// The answer to an edit is lost; the edit may have been accepted.
    #[snafu(display("{url}: {source}; edit {edit_id} may have been accepted"))]
    EditAnswerLost {
        /// The address of the host, as `http://host:port`.
        url: String,
        /// Why there is no answer.
        source: CallError,
        /// The id with which to repeat the edit.
        edit_id: String,
    },
    /// A host refused the command.
    #[snafu(display("refused ({}): {}", fields.kind, fields.message))]
    Refused {
        /// The error in the host's answer.
        fields: Box<ErrorFields>,
    },
    /// The host is in a state in which it does not serve callers.
    #[snafu(display("{url}: the host is {state}"))]
    NotServing {
        /// The address of the host, as `http://host:port`.
        url: String,
        /// The state in the host's answer, or `unknown`.
        state: String,
    },
}

impl CliError {
    /// Returns the exit code for the error.
    pub fn exit(&self) -> Exit {
        match self {
            Self::File { .. }
            | Self::Content { .. }
            | Self::Output { .. }
            | Self::Keys { .. }
            | Self::Option { .. } => Exit::LocalError,
            Self::Settings { .. } => Exit::BadSettings,
            Self::Call { .. } => Exit::Unreachable,
            Self::AnswerLost { .. } => Exit::OutcomeUnknown,
            Self::EditAnswerLost { .. } => Exit::Pending,
            Self::NotServing { .. } => Exit::NotServing,
            Self::Refused { fields } => refused_exit(fields),
        }
    }

    /// Returns what to do next, in one sentence.
    pub fn advice(&self) -> String {
        match self {
            Self::File { .. } => "check the path and its permissions".to_string(),
            Self::Content { .. } => "correct the file".to_string(),
            Self::Output { .. } => "check that standard output can be written to".to_string(),
            Self::Keys { .. } => "check the names and the directory".to_string(),
            Self::Settings { source } => source.advice().to_string(),
            Self::Option { .. } => "see --help".to_string(),
            Self::Call { .. } => "check the address, or ask another host".to_string(),
            Self::AnswerLost { .. } => ErrorKind::OutcomeUnknown.answer().advice.to_string(),
            Self::EditAnswerLost { edit_id, .. } => {
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
        (Ran::NotRun, true) => Exit::RetryLater,
        (Ran::NotRun, false) => Exit::Refused,
    }
}

fn refused_advice(fields: &ErrorFields) -> String {
    match fields.retry_after_ms {
        Some(retry_after_ms) => format!("{} (retry after {retry_after_ms})", fields.advice),
        None => fields.advice.clone(),
    }
}
