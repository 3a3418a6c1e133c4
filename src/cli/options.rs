//! The raw command line.

use argh::{FromArgValue, FromArgs};
use std::path::PathBuf;

/// Operate a mangovale site.
#[derive(FromArgs, Debug)]
pub struct Options {
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// The commands.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Command {
    /// Makes keys.
    Keys(KeysOptions),
    /// Reads and edits the table.
    Table(TableOptions),
    /// Prints a process's state.
    Dump(DumpOptions),
    /// Prints the hosts.
    Hosts(HostsOptions),
    /// Prints the copies.
    Placements(PlacementsOptions),
    /// Sends one request.
    Send(SendOptions),
}

/// Where a site's operator interface is, and the token for it.
#[derive(Debug, Clone)]
pub struct Site {
    /// The address, as `http://host:port`.
    pub url: String,
    /// The file with the operator's token.
    pub token_file: PathBuf,
}

impl FromArgValue for Site {
    fn from_arg_value(value: &str) -> Result<Self, String> {
        let (url, token_file) = value
            .split_once(',')
            .ok_or("takes http://host:port,TOKEN_FILE")?;
        Ok(Self {
            url: url.to_string(),
            token_file: token_file.into(),
        })
    }
}

/// Make the fleet's key, a certificate for each host, and an operator's token.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "keys")]
pub struct KeysOptions {
    /// the directory to write to; an existing fleet key there is used again
    #[argh(option, short = 'd')]
    pub directory: PathBuf,
    /// a host to make a certificate for; may be given many times
    #[argh(option)]
    pub host: Vec<String>,
    /// an operator to make a token for; may be given many times
    #[argh(option)]
    pub operator: Vec<String>,
}

/// Read and edit the table.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "table")]
pub struct TableOptions {
    /// what to do with the table
    #[argh(subcommand)]
    pub action: TableAction,
}

/// The commands on the table.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum TableAction {
    /// Prints the table.
    Show(TableShowOptions),
    /// Edits the table.
    Edit(TableEditOptions),
}

/// Print the table as one host has it.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "show")]
pub struct TableShowOptions {
    /// the operator interface and the token, as http://host:port,TOKEN_FILE
    #[argh(option)]
    pub site: Site,
}

/// Edit the table from a file of changes.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "edit")]
pub struct TableEditOptions {
    /// the operator interface and the token, as http://host:port,TOKEN_FILE
    #[argh(option)]
    pub site: Site,
    /// the file of changes (TOML)
    #[argh(positional)]
    pub file: PathBuf,
}

/// Print the state of the process at an operator interface.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "dump")]
pub struct DumpOptions {
    /// the operator interface and the token, as http://host:port,TOKEN_FILE
    #[argh(option)]
    pub site: Site,
}

/// Print the hosts as one host knows them.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "hosts")]
pub struct HostsOptions {
    /// the operator interface and the token, as http://host:port,TOKEN_FILE
    #[argh(option)]
    pub site: Site,
}

/// Print the copies of models as one host knows them.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "placements")]
pub struct PlacementsOptions {
    /// the operator interface and the token, as http://host:port,TOKEN_FILE
    #[argh(option)]
    pub site: Site,
}

/// Send one chat request and print the streamed answer.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "send")]
pub struct SendOptions {
    /// a host's caller interface, as http://host:port; may be given many times
    #[argh(option)]
    pub host: Vec<String>,
    /// the brand's API key
    #[argh(option)]
    pub key: String,
    /// the model
    #[argh(option)]
    pub model: String,
    /// the deadline in milliseconds
    #[argh(option)]
    pub deadline_ms: Option<u64>,
    /// the message
    #[argh(positional)]
    pub message: String,
}
