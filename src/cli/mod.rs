//! The command-line tool `mangovale`: a module for each command or group of similar commands, and
//! what they share.

pub mod call;
pub mod diff;
pub mod edit;
pub mod exit;
pub mod keys;
pub mod load;
pub mod logs;
pub mod options;
pub mod orders;
pub mod render;
pub mod replay;
pub mod request;
pub mod send;
pub mod site;
pub mod table;
pub mod view;

use crate::cli::exit::{CliError, Exit};
use crate::cli::options::{Command, Options, TableAction};
use std::future::Future;

/// Runs a command and returns the exit code.
///
/// # Errors
///
/// Returns what went wrong; the caller prints it to standard error.
pub fn run(options: Options) -> Result<Exit, CliError> {
    match options.command {
        Command::Keys(options) => keys::keys(&options),
        Command::CheckSettings(options) => view::check_settings(&options),
        Command::Health(options) => block_on(view::health(&options)),
        Command::Table(options) => match options.action {
            TableAction::Show(options) => block_on(table::show(&options)),
            TableAction::Edit(options) => block_on(edit::edit(&options)),
            TableAction::History(options) => block_on(table::history(&options)),
        },
        Command::Hosts(options) => block_on(view::hosts(&options)),
        Command::Placements(options) => block_on(view::placements(&options)),
        Command::Send(options) => block_on(send::send(&options)),
        Command::Dump(options) => block_on(view::dump(&options)),
        Command::Trace(options) => block_on(view::trace(&options)),
        Command::Replay(options) => replay::replay(&options),
        Command::Errors(options) => view::errors(&options),
        Command::Logs(options) => logs::logs(&options),
        Command::Load(options) => load::load(&options),
    }
}

fn block_on(command: impl Future<Output = Result<Exit, CliError>>) -> Result<Exit, CliError> {
    smol::block_on(command)
}
