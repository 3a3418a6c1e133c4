//! The command-line tool: one module a command, or a few that are alike.

pub mod call;
pub mod diff;
pub mod edit;
pub mod exit;
pub mod keys;
pub mod logs;
pub mod options;
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

/// Carries out a command and returns the exit code.
///
/// # Errors
///
/// Returns what went wrong, for standard error.
pub fn run(options: Options) -> Result<Exit, CliError> {
    match options.command {
        Command::Keys(options) => keys::keys(&options),
        Command::CheckSettings(options) => view::check_settings(&options),
        Command::Health(options) => wait(view::health(&options)),
        Command::Table(options) => match options.action {
            TableAction::Show(options) => wait(table::show(&options)),
            TableAction::Edit(options) => wait(edit::edit(&options)),
            TableAction::History(options) => wait(table::history(&options)),
        },
        Command::Hosts(options) => wait(view::hosts(&options)),
        Command::Placements(options) => wait(view::placements(&options)),
        Command::Send(options) => wait(send::send(&options)),
        Command::Dump(options) => wait(view::dump(&options)),
        Command::Trace(options) => wait(view::trace(&options)),
        Command::Replay(options) => replay::replay(&options),
        Command::Errors(options) => view::errors(&options),
        Command::Logs(options) => logs::logs(&options),
    }
}

fn wait(command: impl Future<Output = Result<Exit, CliError>>) -> Result<Exit, CliError> {
    smol::block_on(command)
}
