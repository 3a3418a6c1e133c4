//! The command `load`, which prints how requests were served, by route, rank and organisation.

use crate::cli::exit::{CliError, Exit, FileSnafu};
use crate::cli::logs::{read_input, warn_of_skipped};
use crate::cli::options::LoadOptions;
use crate::cli::render::{columns, or_dash, print};
use crate::logs::LogLines;
use crate::logs::load::{self, Inversion, LoadTables, RouteKey, Tally};
use crate::prelude::*;
use snafu::ResultExt;
use std::fs::File;
use std::io::{BufRead, BufReader, Read};
use std::path::Path;

/// The longest text of metrics that is read of one file.
const MAX_METRICS_BYTES: u64 = 16 << 20;
/// What a file of metrics begins with.
const METRICS_STARTS: [&[u8]; 2] = [b"# ", b"mangovale_"];

/// Reads log lines or metrics of hosts and prints the tables.
///
/// # Errors
///
/// Returns why an input cannot be read or the output cannot be written.
pub fn load(options: &LoadOptions) -> Result<Exit, CliError> {
    let mut lines = LogLines::default();
    let mut tables = LoadTables::default();
    for path in &options.files {
        let file = File::open(path).context(FileSnafu { path })?;
        let mut input = BufReader::new(file);
        match has_metrics(&mut input).context(FileSnafu { path })? {
            true => tables.add_metrics(&read_metrics(input, path)?),
            false => read_input(&mut lines, &mut input, path, load::is_relevant)?,
        }
    }
    lines.sort();
    warn_of_skipped(&lines);
    tables.add_lines(&lines.lines);
    tables.finish();
    let inversions = tables.inversions();
    match options.json {
        true => print(&json(&tables, &inversions))?,
        false => print(&text(&tables, &inversions))?,
    }
    Ok(Exit::Done)
}

fn has_metrics(input: &mut impl BufRead) -> std::io::Result<bool> {
    let start = input.fill_buf()?;
    Ok(METRICS_STARTS.iter().any(|known| start.starts_with(known)))
}

fn read_metrics(input: impl Read, path: &Path) -> Result<String, CliError> {
    let mut text = String::new();
    let mut bounded = input.take(MAX_METRICS_BYTES);
    bounded
        .read_to_string(&mut text)
        .context(FileSnafu { path })?;
    Ok(text)
}

fn json(tables: &LoadTables, inversions: &[Inversion]) -> String {
    let routes = tables.routes.iter();
    let routes = routes.map(|(key, tally)| serde_json::json!({ "by": key, "requests": tally }));
    let organisations = tables.organisations.iter();
    let organisations = organisations
        .map(|(name, tally)| serde_json::json!({ "organisation": name, "requests": tally }));
    let inversions = inversions
        .iter()
        .map(|found| serde_json::json!({ "inversion": found }));
    let objects = routes.chain(organisations).chain(inversions);
    objects.map(|object| object.to_string() + "\n").collect()
}

fn text(tables: &LoadTables, inversions: &[Inversion]) -> String {
    let route = |(key, tally): (&RouteKey, &Tally)| {
        let cells = [&key.service, &key.rank, &key.route];
        with_tally(cells.map(|cell| cell.to_string()).to_vec(), tally)
    };
    let organisation = |(name, tally): (&Name, &Tally)| with_tally(vec![name.to_string()], tally);
    let routes: Vec<_> = tables.routes.iter().map(route).collect();
    let organisations: Vec<_> = tables.organisations.iter().map(organisation).collect();
    let tables = [
        columns(&header(&["service", "rank", "route"]), &routes),
        columns(&header(&["organisation"]), &organisations),
    ];
    let inversions: String = inversions.iter().map(inversion).collect();
    tables.join("\n") + inversions.as_str()
}

fn header<'a>(keys: &[&'a str]) -> Vec<&'a str> {
    let tally = [
        "asked",
        "in time",
        "late",
        "refused",
        "failed",
        "left",
        "refused again",
        "median wait ms",
        "99% wait ms",
    ];
    [keys, &tally].concat()
}

fn with_tally(mut cells: Vec<String>, tally: &Tally) -> Vec<String> {
    let counts = [
        tally.asked,
        tally.in_time,
        tally.late,
        tally.refused,
        tally.failed,
        tally.left,
    ];
    cells.extend(counts.map(|count| count.to_string()));
    let optional = [tally.refused_again, tally.median_wait_ms, tally.p99_wait_ms];
    cells.extend(optional.map(or_dash));
    cells
}

fn inversion(found: &Inversion) -> String {
    let Inversion {
        service,
        rank,
        in_time_percent,
        other_rank,
        other_in_time_percent,
    } = found;
    format!(
        "\npriority inversion at service {service}: rank {rank} has {in_time_percent:.1}% in time, rank {other_rank} has {other_in_time_percent:.1}%\n"
    )
}
