//! The process's own log: where it goes and which form its lines have.

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
/// The target of all log events.
pub const LOG_TARGET: &str = "mangovale";

/// Why the log cannot be written.
#[derive(Debug, Snafu)]
pub enum ProcessLogError {
    /// The file cannot be opened.
    #[snafu(display("cannot write the log file {}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The parts do not fit together.
    #[snafu(display("cannot set up the log: {why}"))]
    Setup {
        /// Why.
        why: String,
    },
}

impl ProcessLogError {
    /// Returns what to do next, in one sentence.
    pub fn advice(&self) -> &'static str {
        match self {
            Self::File { .. } => "check log.file, its directory and its permissions",
            Self::Setup { .. } => "report this with the message above",
        }
    }
}

/// Starts the process's log.
///
/// # Errors
///
/// Returns why the log cannot be written.
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

/// Makes a panic in any task or thread end the process, with a log event.
///
/// A process that lost one of its tasks would answer some calls and not others; the platform starts
/// a new one instead, and the other hosts take its orders over.
pub fn abort_on_panic() {
    std::panic::set_hook(Box::new(|panic| {
        LogEvent::Panicked.write(&panic.to_string().replace('\n', " "));
        log::logger().flush();
        std::process::abort();
    }));
}
