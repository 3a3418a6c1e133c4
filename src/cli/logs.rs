//! Answers questions from the log lines of many hosts.

use crate::cli::exit::{CliError, Exit, FileSnafu};
use crate::cli::options::{LogsOptions, LogsQuestion};
use crate::cli::render::{columns, print};
use crate::logs::{Lines, LogLine, ReadError, leases, organisations, refusals, spread};
use crate::prelude::*;
use snafu::ResultExt;
use std::fs::File;
use std::io::{BufRead, BufReader, stdin};
use std::path::{Path, PathBuf};

/// Reads the lines and answers the question.
///
/// # Errors
///
/// Returns why a file cannot be read.
pub fn logs(options: &LogsOptions) -> Result<Exit, CliError> {
    let question = &options.question;
    let lines = read(&options.files(), |line| wants(question, line))?;
    if lines.passed_over > 0 {
        eprintln!(
            "mangovale: {} lines are no event of an entry host",
            lines.passed_over
        );
    }
    match question {
        LogsQuestion::Request(_) => print(&story(&lines.lines))?,
        LogsQuestion::Leases(_) => answer(
            options.json,
            &leases::holdings(&lines.lines),
            &LEASE_COLUMNS,
            lease_row,
        )?,
        LogsQuestion::Refusals(question) => {
            let span_ms = Millis(u64::from(question.seconds) * 1_000);
            let spans = refusals::spans(&lines.lines, span_ms);
            answer(options.json, &spans, &REFUSAL_COLUMNS, refusal_row)?;
        }
        LogsQuestion::Organisations(_) => {
            let asked: Vec<_> = organisations::asked(&lines.lines).into_iter().collect();
            answer(
                options.json,
                &asked,
                &ORGANISATION_COLUMNS,
                organisation_row,
            )?;
        }
        LogsQuestion::Spread(_) => answer(
            options.json,
            &spread::spreads(&lines.lines),
            &SPREAD_COLUMNS,
            spread_row,
        )?,
    }
    Ok(Exit::Done)
}

fn wants(question: &LogsQuestion, line: &LogLine) -> bool {
    match question {
        LogsQuestion::Request(question) => line.request.as_deref() == Some(&*question.id),
        LogsQuestion::Leases(_) => leases::wants(line),
        LogsQuestion::Refusals(_) | LogsQuestion::Organisations(_) => line.is_end(),
        LogsQuestion::Spread(_) => spread::wants(line),
    }
}

/// Reads all files; without one, standard input.
fn read(files: &[PathBuf], wants: impl Fn(&LogLine) -> bool) -> Result<Lines, CliError> {
    let mut lines = Lines::default();
    if files.is_empty() {
        let input = Path::new("standard input");
        read_one(&mut lines, &mut stdin().lock(), input, &wants)?;
    }
    for path in files {
        let file = File::open(path).context(FileSnafu { path })?;
        read_one(&mut lines, &mut BufReader::new(file), path, &wants)?;
    }
    lines.sort();
    Ok(lines)
}

fn read_one(
    lines: &mut Lines,
    input: &mut impl BufRead,
    path: &Path,
    wants: impl Fn(&LogLine) -> bool,
) -> Result<(), CliError> {
    let name = path.file_stem().unwrap_or(path.as_os_str());
    let source: Name = name.to_string_lossy().into();
    let path = path.to_owned();
    match lines.read(input, &source, wants) {
        Ok(()) => Ok(()),
        Err(ReadError::Input { source }) => Err(CliError::File { path, source }),
        Err(error @ ReadError::TooMany) => Err(CliError::Content {
            path,
            why: format!("{error}; give the files of a shorter time"),
        }),
    }
}

fn answer<T: Serialize>(
    is_json: bool,
    found: &[T],
    header: &[&str],
    row: impl Fn(&T) -> Vec<String>,
) -> Result<(), CliError> {
    if is_json {
        let lines = found
            .iter()
            .map(|found| serde_json::json!(found).to_string() + "\n");
        return print(&lines.collect::<String>());
    }
    let rows: Vec<Vec<String>> = found.iter().map(row).collect();
    print(&columns(header, &rows))
}

/// Returns a request's lines, each with its host, by the time since the first.
fn story(lines: &[LogLine]) -> String {
    let first_at = lines.first().map_or(Millis::ZERO, |first| first.at_unix_ms);
    let line = |line: &LogLine| {
        let after = line.at_unix_ms.since(first_at);
        format!("{:>8} ms  {}  {}\n", after.0, line.host, line.text)
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

fn lease_row(holding: &leases::Holding) -> Vec<String> {
    let held = holding.until.as_ref();
    let held_ms = held.map(|end| end.at_unix_ms.since(holding.from_unix_ms).0);
    vec![
        holding.from_unix_ms.0.to_string(),
        holding.host.to_string(),
        or_dash(held_ms),
        or_dash(held.map(|end| &*end.why)),
        or_dash(holding.gap_ms.map(|gap| gap.0)),
        holding.heard_by.to_string(),
    ]
}

const REFUSAL_COLUMNS: [&str; 3] = ["from", "answered", "not answered, by cause"];

fn refusal_row(span: &refusals::Span) -> Vec<String> {
    let causes = span.causes.iter();
    let causes: Vec<String> = causes
        .map(|(cause, count)| format!("{count} x {cause}"))
        .collect();
    vec![
        span.from_unix_ms.0.to_string(),
        span.answered.to_string(),
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

fn organisation_row((name, asked): &(Name, organisations::Asked)) -> Vec<String> {
    vec![
        name.to_string(),
        asked.answered.to_string(),
        asked.prompt_tokens.to_string(),
        asked.limited.to_string(),
        asked.others.to_string(),
        asked.hosts.to_string(),
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
