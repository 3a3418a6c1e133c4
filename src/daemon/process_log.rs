//! The text log of a process: its destination and the format of its lines. It is not the shared
//! log.

use crate::prelude::*;
use crate::settings::{LogFormat, LogLevel, LogSettings};
use log::LevelFilter;
use log4rs::append::Append;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Config, Logger, Root};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;
use snafu::{ResultExt, Snafu};
use std::path::PathBuf;

const TEXT_LINE: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {m}{n}";
const APPENDER: &str = "log";
/// The `log` target of all log events.
pub const LOG_TARGET: &str = "mangovale";

/// Why the text log cannot be set up.
#[derive(Debug, Snafu)]
pub enum ProcessLogError {
    /// The log file cannot be opened.
    #[snafu(display("cannot write the log file {}: {source}", path.display()))]
    File {
        /// The path of the log file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The logging library rejects the configuration, for example since it is set up already.
    #[snafu(display("cannot set up the log: {why}"))]
    Setup {
        /// The message of the logging library.
        why: String,
    },
}

impl ProcessLogError {
    /// Returns advice to the operator on how to remove the cause, in one sentence.
    pub fn advice(&self) -> &'static str {
        match self {
            Self::File { .. } => "check log.file, its directory and its permissions",
            Self::Setup { .. } => "report this with the message above",
        }
    }
}

/// Sets up the text log of the process. Of other libraries, only errors are logged.
///
/// # Errors
///
/// Returns an error if the log file cannot be opened or a log is set up already.
pub fn start(settings: &LogSettings) -> Result<(), ProcessLogError> {
    let events = Logger::builder().build(LOG_TARGET, level(settings.level));
    let others = Root::builder().appender(APPENDER).build(LevelFilter::Error);
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, appender(settings)?))
        .logger(events)
        .build(others)
        .map_err(setup_error)?;
    log4rs::init_config(config).map_err(setup_error)?;
    Ok(())
}

fn appender(settings: &LogSettings) -> Result<Box<dyn Append>, ProcessLogError> {
    let encoder = encoder(settings.format);
    match &settings.file {
        None => {
            let appender = ConsoleAppender::builder().target(Target::Stderr);
            Ok(Box::new(appender.encoder(encoder).build()))
        }
        Some(path) => {
            let appender = FileAppender::builder().encoder(encoder).build(path);
            Ok(Box::new(appender.context(FileSnafu { path })?))
        }
    }
}

fn encoder(format: LogFormat) -> Box<dyn Encode> {
    match format {
        LogFormat::Text => Box::new(PatternEncoder::new(TEXT_LINE)),
        LogFormat::Json => Box::new(JsonEncoder::new()),
    }
}

fn level(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    }
}

fn setup_error(error: impl std::fmt::Display) -> ProcessLogError {
    ProcessLogError::Setup {
        why: error.to_string(),
    }
}

/// Installs a panic hook that writes a log event and aborts the process, whichever task or thread
/// panics.
///
/// A process that lost one of its tasks would answer some calls and not others. After an abort the
/// platform starts a new process, and the other hosts take over its orders.
pub fn abort_on_panic() {
    std::panic::set_hook(Box::new(|panic| {
        LogEvent::Panicked.write(&panic.to_string().replace('\n', " "));
        log::logger().flush();
        std::process::abort();
    }));
}
