//! The command `logs`, which answers questions from the log lines of many hosts.

use crate::cli::exit::{CliError, Exit, FileSnafu};
use crate::cli::options::{LogsOptions, LogsQuestion};
use crate::cli::render::{columns, print};
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
    let question = &options.question;
    let lines = read_inputs(&options.files(), |line| is_relevant(question, line))?;
    warn_of_skipped(&lines);
    match question {
        LogsQuestion::Request(_) => print(&request_lines(&lines.lines))?,
        LogsQuestion::Leases(_) => print_results(
            options.json,
            &leases::lease_periods(&lines.lines),
            &LEASE_COLUMNS,
            lease_row,
        )?,
        LogsQuestion::Refusals(question) => {
            let interval_ms = Millis(u64::from(question.seconds) * 1_000);
            let intervals = refusals::count_by_interval(&lines.lines, interval_ms);
            print_results(options.json, &intervals, &REFUSAL_COLUMNS, refusal_row)?;
        }
        LogsQuestion::Organisations(_) => {
            let usage: Vec<_> = organisations::usage_by_organisation(&lines.lines)
                .into_iter()
                .collect();
            print_results(
                options.json,
                &usage,
                &ORGANISATION_COLUMNS,
                organisation_row,
            )?;
        }
        LogsQuestion::Spread(_) => print_results(
            options.json,
            &spread::spreads(&lines.lines),
            &SPREAD_COLUMNS,
            spread_row,
        )?,
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

fn is_relevant(question: &LogsQuestion, line: &LogLine) -> bool {
    match question {
        LogsQuestion::Request(question) => line.request.as_deref() == Some(&*question.id),
        LogsQuestion::Leases(_) => leases::is_relevant(line),
        LogsQuestion::Refusals(_) | LogsQuestion::Organisations(_) => line.is_request_end(),
        LogsQuestion::Spread(_) => spread::is_relevant(line),
    }
}

/// Reads the relevant lines of all files, or of standard input if there is no file.
fn read_inputs(
    files: &[PathBuf],
    is_relevant: impl Fn(&LogLine) -> bool,
) -> Result<LogLines, CliError> {
    let mut lines = LogLines::default();
    if files.is_empty() {
        let input = Path::new("standard input");
        read_input(&mut lines, &mut stdin().lock(), input, &is_relevant)?;
    }
    for path in files {
        let file = File::open(path).context(FileSnafu { path })?;
        read_input(&mut lines, &mut BufReader::new(file), path, &is_relevant)?;
    }
    lines.sort();
    Ok(lines)
}

/// Adds the relevant lines of one input; its file name names the host.
///
/// # Errors
///
/// Returns why the input cannot be read, or that it has too many lines.
pub fn read_input(
    lines: &mut LogLines,
    input: &mut impl BufRead,
    path: &Path,
    is_relevant: impl Fn(&LogLine) -> bool,
) -> Result<(), CliError> {
    let name = path.file_stem().unwrap_or(path.as_os_str());
    let source: Name = name.to_string_lossy().into();
    let path = path.to_owned();
    match lines.read(input, &source, is_relevant) {
        Ok(()) => Ok(()),
        Err(ReadError::Input { source }) => Err(CliError::File { path, source }),
        Err(error @ ReadError::TooManyLines) => Err(CliError::Content {
            path,
            why: format!("{error}; give the files of a shorter time"),
        }),
    }
}

fn print_results<T: Serialize>(
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

fn or_dash(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "-".to_string(), |value| value.to_string())
}
