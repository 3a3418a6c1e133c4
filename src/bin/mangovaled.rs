//! The daemon `mangovaled`: reads its settings file and serves until it is stopped.

use argh::FromArgs;
use mangovale::daemon::process_log;
use mangovale::daemon::run::run;
use mangovale::settings::Settings;
use std::path::PathBuf;
use std::process::ExitCode;

/// The exit codes of the daemon.
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

/// Serve rarely used models as one entry host of a mangovale site.
#[derive(FromArgs)]
#[argh(
    example = "{command_name} --settings entry-1.toml --check",
    example = "{command_name} --settings entry-1.toml",
    note = "SIGTERM begins a planned stop. Exit codes: 0 stopped, 1 cannot run, 2 bad settings."
)]
struct Options {
    /// the settings file (TOML)
    #[argh(option, short = 's')]
    settings: PathBuf,

    /// check the settings file and exit
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
        Err(error) => return fail(Exit::BadSettings, &error, error.advice()),
    };
    if options.check {
        println!("{}: the settings are valid", options.settings.display());
        return Exit::Stopped;
    }
    if let Err(error) = process_log::start(&settings.log) {
        return fail(Exit::CannotRun, &error, error.advice());
    }
    process_log::abort_on_panic();
    match run(settings) {
        Ok(()) => Exit::Stopped,
        Err(error) => fail(Exit::CannotRun, &error, error.advice()),
    }
}

fn fail(exit: Exit, error: &dyn std::fmt::Display, advice: &str) -> Exit {
    eprintln!("mangovaled: {error}");
    eprintln!("  next: {advice}");
    exit
}
