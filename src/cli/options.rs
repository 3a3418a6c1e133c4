//! The options as they stand on the command line. They are checked in [`crate::cli::site`], in
//! [`crate::cli::request`] and in the commands themselves. The doc comments of the options are the
//! help texts that `--help` prints.

use argh::FromArgs;
use std::path::PathBuf;

/// Operate a mangovale site.
#[derive(FromArgs, Debug)]
#[argh(
    note = "The operator interface and the token also come from MANGOVALE_SITE and MANGOVALE_TOKEN_FILE.",
    note = "Exit codes: 0 done, 1 options or a local file, 2 bad settings, 3 no host answered, 4 refused, 5 edit conflict, 6 edit pending, 7 not serving, 8 refused for now, 9 may have run, 10 error status of a service, 11 the replay differs."
)]
pub struct Options {
    /// the command to run
    #[argh(subcommand)]
    pub command: Command,
}

/// The commands of the tool.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Command {
    /// Creates keys, certificates and tokens.
    Keys(KeysOptions),
    /// Checks a daemon's settings file.
    CheckSettings(CheckSettingsOptions),
    /// Prints whether a host serves callers.
    Health(HealthOptions),
    /// Reads and edits the table.
    Table(TableOptions),
    /// Prints the hosts of the site.
    Hosts(HostsOptions),
    /// Prints upstreams and the copies of models on them.
    Placements(PlacementsOptions),
    /// Sends one request as a caller.
    Send(SendOptions),
    /// Prints the state of a daemon.
    Dump(DumpOptions),
    /// Prints the recorded inputs of a daemon.
    Trace(TraceOptions),
    /// Replays the recorded inputs of a daemon.
    Replay(ReplayOptions),
    /// Prints the error kinds with their statuses and advice.
    Errors(ErrorsOptions),
    /// Answers a question from the log lines of many hosts.
    Logs(LogsOptions),
    /// Prints how requests were served, by route, rank and organisation.
    Load(LoadOptions),
}

/// Create the fleet's key, certificates for hosts, tokens for operators, and API keys for brands.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "keys",
    example = "{command_name} --directory keys --host entry-1 --host entry-2 --operator asha --brand north-firm",
    note = "An existing fleet key in the directory is used again; delete it to create a new one."
)]
pub struct KeysOptions {
    /// the directory to write to
    #[argh(option, short = 'd')]
    pub directory: PathBuf,
    /// a host to create a certificate for; may be given many times
    #[argh(option)]
    pub host: Vec<String>,
    /// an operator to create a token for; may be given many times
    #[argh(option)]
    pub operator: Vec<String>,
    /// a brand to create an API key for; may be given many times
    #[argh(option)]
    pub brand: Vec<String>,
}

/// Check a daemon's settings file without starting the daemon.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "check-settings",
    example = "{command_name} entry-1.toml"
)]
pub struct CheckSettingsOptions {
    /// the settings file
    #[argh(positional)]
    pub file: PathBuf,
}

/// Print whether a host serves callers; exits with 0 when it does.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "health",
    example = "{command_name} --host http://10.0.0.1:7000",
    note = "Asks the caller interface and needs no credential."
)]
pub struct HealthOptions {
    /// the host's caller interface, as http://host:port
    #[argh(option)]
    pub host: String,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
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
    /// Prints the table as one host has it.
    Show(TableShowOptions),
    /// Edits the table from a file of changes.
    Edit(TableEditOptions),
    /// Prints the last edits, accepted and rejected.
    History(TableHistoryOptions),
}

/// Print the table as one host has it.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "show",
    example = "{command_name} --site http://10.0.0.1:7002 --token-file asha.token"
)]
pub struct TableShowOptions {
    /// the operator interface, as http://host:port
    #[argh(option)]
    pub site: Option<String>,
    /// the file with the operator's token
    #[argh(option)]
    pub token_file: Option<PathBuf>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Edit the table from a file of changes, all of them or none.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "edit",
    example = "{command_name} --dry-run edit.toml",
    example = "{command_name} --edit-id weights-2026-12 edit.toml",
    note = "The file holds operator = \"NAME\" and [[changes]] tables: put_row, remove_row, put_model, remove_model, put_service, remove_service, put_brand, remove_brand, set_store.",
    note = "Repeat an edit whose outcome is unknown with the same --edit-id: it takes effect only once, and the answer is the same."
)]
pub struct TableEditOptions {
    /// the operator interface, as http://host:port
    #[argh(option)]
    pub site: Option<String>,
    /// the file with the operator's token
    #[argh(option)]
    pub token_file: Option<PathBuf>,
    /// the id of the edit, in place of the file's; generated when both are absent
    #[argh(option)]
    pub edit_id: Option<String>,
    /// the table version that the edit is based on, in place of the file's; the present one when
    /// both are absent
    #[argh(option)]
    pub base_version: Option<u64>,
    /// only show what would change
    #[argh(switch)]
    pub dry_run: bool,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// the file of changes (TOML)
    #[argh(positional)]
    pub file: PathBuf,
}

/// Print the last edits, accepted and rejected.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "history", example = "{command_name} --json")]
pub struct TableHistoryOptions {
    /// the operator interface, as http://host:port
    #[argh(option)]
    pub site: Option<String>,
    /// the file with the operator's token
    #[argh(option)]
    pub token_file: Option<PathBuf>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Print the hosts as one host knows them.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "hosts",
    example = "{command_name} --site http://10.0.0.1:7002"
)]
pub struct HostsOptions {
    /// the operator interface, as http://host:port
    #[argh(option)]
    pub site: Option<String>,
    /// the file with the operator's token
    #[argh(option)]
    pub token_file: Option<PathBuf>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Print the upstreams and the copies of models as one host knows them.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "placements",
    example = "{command_name} --site http://10.0.0.1:7002"
)]
pub struct PlacementsOptions {
    /// the operator interface, as http://host:port
    #[argh(option)]
    pub site: Option<String>,
    /// the file with the operator's token
    #[argh(option)]
    pub token_file: Option<PathBuf>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Send one request, and print its answer as it arrives.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "send",
    example = "{command_name} --host http://10.0.0.1:7000 --entry --key-file brand.key --model portfolio-review \"Please assess my case.\"",
    example = "{command_name} --host http://10.0.0.1:7000 --key-file brand.key --service booking --method POST --path /slots --body '{{\"slot\": 4}}' --idempotency-key b-17",
    note = "Tries the next host when the request certainly did not run at this one. A request that may have run is not sent again."
)]
pub struct SendOptions {
    /// a host's caller interface, as http://host:port; may be given many times
    #[argh(option)]
    pub host: Vec<String>,
    /// ask the given hosts first which hosts to use
    #[argh(switch)]
    pub entry: bool,
    /// the brand's API key
    #[argh(option)]
    pub key: Option<String>,
    /// the file with the brand's API key
    #[argh(option)]
    pub key_file: Option<PathBuf>,
    /// the model, for a chat request
    #[argh(option)]
    pub model: Option<String>,
    /// the plain service, for any other call
    #[argh(option)]
    pub service: Option<String>,
    /// the path at the service; / when absent
    #[argh(option)]
    pub path: Option<String>,
    /// the method of the call to the service; POST with a body, else GET
    #[argh(option)]
    pub method: Option<String>,
    /// the body of the call to the service, or @FILE
    #[argh(option)]
    pub body: Option<String>,
    /// the idempotency key of an operation that may run at most once
    #[argh(option)]
    pub idempotency_key: Option<String>,
    /// the request's deadline in milliseconds from now
    #[argh(option)]
    pub deadline_ms: Option<u64>,
    /// print one JSON object after the whole answer
    #[argh(switch)]
    pub json: bool,
    /// the message, for a chat request
    #[argh(positional)]
    pub message: Option<String>,
}

/// Print the state of the process at an operator interface.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "dump",
    example = "{command_name} --site http://10.0.0.1:7002 > entry-1.json"
)]
pub struct DumpOptions {
    /// the operator interface, as http://host:port
    #[argh(option)]
    pub site: Option<String>,
    /// the file with the operator's token
    #[argh(option)]
    pub token_file: Option<PathBuf>,
    /// print JSON on one line
    #[argh(switch)]
    pub json: bool,
}

/// Print the last recorded inputs of the process at an operator interface, for `replay`.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "trace",
    example = "{command_name} --site http://10.0.0.1:7002 > entry-1.trace"
)]
pub struct TraceOptions {
    /// the operator interface, as http://host:port
    #[argh(option)]
    pub site: Option<String>,
    /// the file with the operator's token
    #[argh(option)]
    pub token_file: Option<PathBuf>,
}

/// Replay a trace, and print the effects of each event.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "replay",
    example = "{command_name} entry-1.trace",
    note = "Use the release that wrote the trace; exits with 11 when the state at the end differs."
)]
pub struct ReplayOptions {
    /// print one JSON object per line, with all fields of the effects
    #[argh(switch)]
    pub json: bool,
    /// the trace file
    #[argh(positional)]
    pub file: PathBuf,
}

/// Print the table of error kinds.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "errors", example = "{command_name}")]
pub struct ErrorsOptions {
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Answer a question from the log lines of many entry hosts.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "logs",
    example = "{command_name} refusals entry-1.log entry-2.log",
    note = "The host of a line is the last word before its JSON object, or else the name of its file. Without files, standard input is read."
)]
pub struct LogsOptions {
    /// print one JSON object per line
    #[argh(switch)]
    pub json: bool,
    /// the question to answer
    #[argh(subcommand)]
    pub question: LogsQuestion,
}

/// The questions that `logs` answers.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum LogsQuestion {
    /// All lines about one request.
    Request(RequestQuestion),
    /// Which hosts were the orderer, and when.
    Leases(LeasesQuestion),
    /// Who ordered an engine, and which orders got no answer.
    Orders(OrdersQuestion),
    /// Requests that were not answered, by cause.
    Refusals(RefusalsQuestion),
    /// Requests by organisation and outcome.
    Organisations(OrganisationsQuestion),
    /// How long desired states take to reach all hosts.
    Spread(SpreadQuestion),
}

/// Print all lines about a request, in order of time.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "request")]
pub struct RequestQuestion {
    /// the request's id
    #[argh(positional)]
    pub id: String,
    /// the log files
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Print which hosts held the orderer's lease, from when to when.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "leases")]
pub struct LeasesQuestion {
    /// the log files
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Print the orders to an engine from all hosts, in order of time: who sent them under which fencing
/// token, when they were written, how long the sender might still order then, and which got no
/// answer. Where there are orders to several engines, print a line for each engine.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "orders",
    example = "{command_name} --engine i-566307b832 --at 1771376924000 entry-1.log entry-2.log",
    note = "Times are by the clock of the host that wrote the line. At most 2000 lines of an engine are kept, and lines of 4096 engines."
)]
pub struct OrdersQuestion {
    /// the id of the engine, all by default
    #[argh(option)]
    pub engine: Option<String>,
    /// the time to look around, in Unix milliseconds, all by default
    #[argh(option)]
    pub at: Option<u64>,
    /// how many milliseconds before and after that time, 15000 by default; an order may be carried
    /// out up to 12000 after it was written
    #[argh(option)]
    pub around_ms: Option<u64>,
    /// the log files
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Print the number of requests that were not answered, by time and cause.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "refusals")]
pub struct RefusalsQuestion {
    /// the seconds that one row covers, 1 by default
    #[argh(option, default = "1")]
    pub seconds: u32,
    /// the log files
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Print each organisation's number of requests, by how they ended.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "organisations")]
pub struct OrganisationsQuestion {
    /// the log files
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Print how long each desired state took to reach all hosts.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "spread")]
pub struct SpreadQuestion {
    /// the log files
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Print how requests were served, by route and rank and by organisation, and name services of which
/// a more urgent rank is served in time less often than a less urgent one.
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "load",
    example = "{command_name} entry-1.log entry-2.log",
    example = "{command_name} entry-1.metrics entry-2.metrics",
    note = "A file has log lines or the text of the metrics endpoint. Metrics name no service, no wait, and not who was refused again."
)]
pub struct LoadOptions {
    /// print one JSON object per line
    #[argh(switch)]
    pub json: bool,
    /// the files, of one host each
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}
