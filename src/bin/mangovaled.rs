//! The daemon: reads its settings and runs until it is stopped.

use argh::FromArgs;
use log::LevelFilter;
use log4rs::append::Append;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::pattern::PatternEncoder;
use mangovale::daemon::run::run;
use mangovale::settings::{LogLevel, LogSettings, Settings};
use std::path::PathBuf;
use std::process::ExitCode;

const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {m}{n}";
const APPENDER: &str = "log";

/// Exit codes of the daemon.
#[derive(Clone, Copy)]
enum Exit {
    Stopped = 0,
    CannotRun = 1,
    BadSettings = 2,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Serve rarely used models: one entry host of a mangovale site.
#[derive(FromArgs)]
struct Options {
    /// the settings file (TOML)
    #[argh(option, short = 's')]
    settings: PathBuf,

    /// only check the settings file
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let options: Options = argh::from_env();
    serve(&options).into()
}

fn serve(options: &Options) -> Exit {
    let settings = match Settings::read(&options.settings) {
        Ok(settings) => settings,
        Err(error) => return fail(Exit::BadSettings, &error),
    };
    if options.check {
        println!("{}: the settings are valid", options.settings.display());
        return Exit::Stopped;
    }
    if let Err(error) = start_log(&settings.log) {
        return fail(Exit::CannotRun, &error);
    }
    match run(settings) {
        Ok(()) => Exit::Stopped,
        Err(error) => fail(Exit::CannotRun, &error),
    }
}

fn fail(exit: Exit, error: &dyn std::fmt::Display) -> Exit {
    eprintln!("mangovaled: {error}");
    exit
}

fn start_log(settings: &LogSettings) -> Result<(), String> {
    let encoder = || Box::new(PatternEncoder::new(PATTERN));
    let appender: Box<dyn Append> = match &settings.file {
        None => Box::new(
            ConsoleAppender::builder()
                .target(Target::Stderr)
                .encoder(encoder())
                .build(),
        ),
        Some(path) => {
            let appender = FileAppender::builder().encoder(encoder()).build(path);
            let why = |error| format!("cannot write the log file {}: {error}", path.display());
            Box::new(appender.map_err(why)?)
        }
    };
    let config = Config::builder()
        .appender(Appender::builder().build(APPENDER, appender))
        .logger(log4rs::config::Logger::builder().build("mangovale", level(settings.level)))
        .build(Root::builder().appender(APPENDER).build(LevelFilter::Error))
        .map_err(|error| error.to_string())?;
    log4rs::init_config(config)
        .map(|_| ())
        .map_err(|error| error.to_string())
}

fn level(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    }
}
