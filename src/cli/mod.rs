//! The command-line tool: one module a command.

pub mod call;
pub mod exit;
pub mod keys;
pub mod options;
pub mod send;
pub mod table;

use crate::cli::call::OperatorClient;
use crate::cli::exit::{CliError, Exit};
use crate::cli::options::{Command, Options};

/// Carries out a command and returns the exit code.
///
/// # Errors
///
/// Returns what went wrong, for one line on standard error.
pub fn run(options: Options) -> Result<Exit, CliError> {
    match options.command {
        Command::Keys(keys) => keys::make(&keys),
        Command::Table(command) => smol::block_on(table::run(&command.action)),
        Command::Dump(options) => smol::block_on(print(&options.site, "/dump")),
        Command::Hosts(options) => smol::block_on(print(&options.site, "/hosts")),
        Command::Placements(options) => smol::block_on(print(&options.site, "/placements")),
        Command::Send(options) => smol::block_on(send::send(&options)),
    }
}

async fn print(site: &options::Site, path: &str) -> Result<Exit, CliError> {
    let client = OperatorClient::new(site)?;
    println!("{}", client.get(path).await?);
    Ok(Exit::Done)
}
