//! The command `logs`, which answers questions from the log lines of many hosts.

use crate::cli::exit::{CliError, Exit, FileSnafu};
use crate::cli::options::{LogsOptions, LogsQuestion};
use crate::cli::orders::print_orders;
use crate::cli::render::{columns, or_dash, print};
use crate::logs::{LogLine, LogLines, ReadError, leases, organisations, refusals, spread};
use crate::prelude::*;
use snafu::ResultExt;
use std::fs::File;
use std::io::{BufRead, BufReader, stdin};
use std::path::{Path, PathBuf};

/// Reads the log lines that the question needs and prints the answer.
///
/// # Errors
///
/// Returns why an input cannot be read or the output cannot be written.
pub fn logs(options: &LogsOptions) -> Result<Exit, CliError> {
    let is_json = options.json;
    match &options.question {
        LogsQuestion::Request(question) => {
            let is_relevant = |line: &LogLine| line.request.as_deref() == Some(&*question.id);
            let lines = read_inputs(&question.files, is_relevant)?;
            print(&request_lines(&lines))?;
        }
        LogsQuestion::Leases(question) => {
            let lines = read_inputs(&question.files, leases::is_relevant)?;
            let periods = leases::lease_periods(&lines);
            print_results(is_json, &periods, &LEASE_COLUMNS, lease_row)?;
        }
        LogsQuestion::Orders(question) => print_orders(is_json, question)?,
        LogsQuestion::Refusals(question) => {
            let lines = read_inputs(&question.files, LogLine::is_request_end)?;
            let interval_ms = Millis(u64::from(question.seconds) * 1_000);
            let intervals = refusals::count_by_interval(&lines, interval_ms);
            print_results(is_json, &intervals, &REFUSAL_COLUMNS, refusal_row)?;
        }
        LogsQuestion::Organisations(question) => {
            let lines = read_inputs(&question.files, LogLine::is_request_end)?;
            let usage: Vec<_> = organisations::usage_by_organisation(&lines)
                .into_iter()
                .collect();
            print_results(is_json, &usage, &ORGANISATION_COLUMNS, organisation_row)?;
        }
        LogsQuestion::Spread(question) => {
            let lines = read_inputs(&question.files, spread::is_relevant)?;
            let spreads = spread::spreads(&lines);
            print_results(is_json, &spreads, &SPREAD_COLUMNS, spread_row)?;
        }
    }
    Ok(Exit::Done)
}

/// Says on standard error how many lines could not be read, if any.
pub fn warn_of_skipped(lines: &LogLines) {
    if lines.skipped > 0 {
        eprintln!(
            "mangovale: {} lines skipped: too long, or not a log event of an entry host",
            lines.skipped
        );
    }
}

/// Reads the relevant lines of all files, or of standard input if there is no file, and says how
/// many lines could not be read.
fn read_inputs(
    files: &[PathBuf],
    is_relevant: impl Fn(&LogLine) -> bool,
) -> Result<Vec<LogLine>, CliError> {
    let mut lines = LogLines::default();
    for_each_input(files, |input, path| {
        read_input(&mut lines, input, path, &is_relevant)
    })?;
    lines.sort();
    warn_of_skipped(&lines);
    Ok(lines.lines)
}

/// Calls `read` with each file, or with standard input if there is no file.
///
/// # Errors
///
/// Returns why a file cannot be opened, or the first error of `read`.
pub fn for_each_input(
    files: &[PathBuf],
    mut read: impl FnMut(&mut dyn BufRead, &Path) -> Result<(), CliError>,
) -> Result<(), CliError> {
    if files.is_empty() {
        return read(&mut stdin().lock(), Path::new("standard input"));
    }
    for path in files {
        let file = File::open(path).context(FileSnafu { path })?;
        read(&mut BufReader::new(file), path)?;
    }
    Ok(())
}

/// Adds the relevant lines of one input; its file name names the host.
///
/// # Errors
///
/// Returns why the input cannot be read, or that it has too many lines.
pub fn read_input(
    lines: &mut LogLines,
    mut input: &mut (impl BufRead + ?Sized),
    path: &Path,
    is_relevant: impl Fn(&LogLine) -> bool,
) -> Result<(), CliError> {
    let read = lines.read(&mut input, &host_of(path), is_relevant);
    read.map_err(|error| input_error(path, error))
}

/// Returns the name of the host whose lines are in a file.
pub fn host_of(path: &Path) -> Name {
    let name = path.file_stem().unwrap_or(path.as_os_str());
    name.to_string_lossy().into()
}

/// Returns the error for an input that cannot be read.
pub fn input_error(path: &Path, error: ReadError) -> CliError {
    let path = path.to_owned();
    match error {
        ReadError::Input { source } => CliError::File { path, source },
        ReadError::TooManyLines => CliError::Content {
            path,
            why: format!("{error}; give the files of a shorter time"),
        },
    }
}

/// Prints results as one JSON object a line, or as columns of text.
///
/// # Errors
///
/// Returns why the output cannot be written.
pub fn print_results<T: Serialize>(
    is_json: bool,
    results: &[T],
    header: &[&str],
    row: impl Fn(&T) -> Vec<String>,
) -> Result<(), CliError> {
    if is_json {
        let lines = results
            .iter()
            .map(|result| serde_json::json!(result).to_string() + "\n");
        return print(&lines.collect::<String>());
    }
    let rows: Vec<Vec<String>> = results.iter().map(row).collect();
    print(&columns(header, &rows))
}

/// Formats the lines of a request, each with its host and the time since the first line.
fn request_lines(lines: &[LogLine]) -> String {
    let first_at = lines.first().map_or(Millis::ZERO, |first| first.at_unix_ms);
    let line = |line: &LogLine| {
        let elapsed = line.at_unix_ms.since(first_at);
        format!("{:>8} ms  {}  {}\n", elapsed.0, line.host, line.text)
    };
    lines.iter().map(line).collect()
}

const LEASE_COLUMNS: [&str; 6] = [
    "from",
    "host",
    "held ms",
    "ended",
    "nobody before ms",
    "heard by",
];

fn lease_row(period: &leases::LeasePeriod) -> Vec<String> {
    let end = period.until.as_ref();
    let held_ms = end.map(|end| end.at_unix_ms.since(period.from_unix_ms).0);
    vec![
        period.from_unix_ms.0.to_string(),
        period.host.to_string(),
        or_dash(held_ms),
        or_dash(end.map(|end| &*end.why)),
        or_dash(period.gap_ms.map(|gap| gap.0)),
        period.heard_by.to_string(),
    ]
}

const REFUSAL_COLUMNS: [&str; 3] = ["from", "answered", "not answered, by cause"];

fn refusal_row(interval: &refusals::Interval) -> Vec<String> {
    let causes = interval.causes.iter();
    let causes: Vec<String> = causes
        .map(|(cause, count)| format!("{count} x {cause}"))
        .collect();
    vec![
        interval.from_unix_ms.0.to_string(),
        interval.answered.to_string(),
        causes.join(", "),
    ]
}

const ORGANISATION_COLUMNS: [&str; 6] = [
    "organisation",
    "answered",
    "prompt tokens",
    "beyond its limit",
    "others",
    "hosts",
];

fn organisation_row((name, usage): &(Name, organisations::OrganisationUsage)) -> Vec<String> {
    vec![
        name.to_string(),
        usage.answered.to_string(),
        usage.prompt_tokens.to_string(),
        usage.limited.to_string(),
        usage.others.to_string(),
        usage.hosts.to_string(),
    ]
}

const SPREAD_COLUMNS: [&str; 7] = [
    "version",
    "first",
    "half ms",
    "last ms",
    "last host",
    "hosts",
    "lacking",
];

fn spread_row(spread: &spread::Spread) -> Vec<String> {
    vec![
        spread.version.to_string(),
        spread.first_unix_ms.0.to_string(),
        spread.half_ms.0.to_string(),
        spread.last_ms.0.to_string(),
        spread.last_host.to_string(),
        spread.hosts.to_string(),
        spread.lacking.to_string(),
    ]
}
