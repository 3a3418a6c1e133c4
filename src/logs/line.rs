//! Parses the log lines of entry hosts and reads them from files.

use crate::prelude::*;
use serde::Deserializer;
use snafu::{OptionExt, ResultExt, Snafu};
use std::io::BufRead;

/// The longest line that is read. A longer one is cut off, and skipped because its JSON object is
/// incomplete.
const MAX_LINE_BYTES: usize = 1 << 20;
/// The most lines that are kept in memory. More is an error, so that the logs of a whole day have
/// to be split first.
const MAX_LINES: usize = 20_000_000;

/// The fields of a log line that the questions need; all others are only in its text.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct LogLine {
    /// When the line was written.
    pub at_unix_ms: Millis,
    /// The number of the event, as in [`LogEvent`].
    pub event: u16,
    /// The name of the event, as in [`LogEvent`].
    pub name: Name,
    /// The host that wrote the line: the last word before the JSON object, or the name of the file
    /// without its extension if there is none.
    #[serde(skip, default = "unnamed")]
    pub host: Name,
    /// The JSON object as it was read.
    #[serde(skip, default = "unnamed")]
    pub text: Name,
    /// The id of the request that the event is about.
    #[serde(default)]
    pub request: Option<Name>,
    /// The organisation that sent the request.
    #[serde(default)]
    pub organisation: Option<Name>,
    /// The digest that is equal for repeats of the request.
    #[serde(default)]
    pub digest: Option<Name>,
    /// The name of the request's route.
    #[serde(default)]
    pub route: Option<Name>,
    /// The service that was drawn from the route.
    #[serde(default)]
    pub service: Option<Name>,
    /// The priority of the request; 0 is the most urgent.
    #[serde(default)]
    pub rank: Option<u8>,
    /// Whether the whole answer met the goals of the route.
    #[serde(default)]
    pub in_time: Option<bool>,
    /// Whether another host handed the request to the one that wrote the line.
    #[serde(default)]
    pub handed: bool,
    /// How long the request waited for an upstream that could take it.
    #[serde(default)]
    pub waited_ms: Millis,
    /// How long its long prompt waited until its engine read no other one.
    #[serde(default)]
    pub turn_ms: Millis,
    /// How long it waited because its organisation's rate limit was reached.
    #[serde(default)]
    pub limit_wait_ms: Millis,
    /// The HTTP status of the answer to the caller.
    #[serde(default)]
    pub status: Option<u16>,
    /// The cause of the event, such as an error kind.
    #[serde(default)]
    pub why: Option<Name>,
    /// The length of the request's prompt in tokens; 0 if the line does not give it.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// The version of the desired state that the host put in force. Lines about streams have the
    /// version of an upstream's software instead, which is a text and is not kept.
    #[serde(default, deserialize_with = "number_if_any")]
    pub version: Option<u64>,
    /// The host that is the orderer.
    #[serde(default)]
    pub orderer: Option<Name>,
}

fn unnamed() -> Name {
    "".into()
}

/// Reads a field that is a number in some lines and something else in others.
fn number_if_any<'de, D: Deserializer<'de>>(input: D) -> Result<Option<u64>, D::Error> {
    Ok(serde_json::Value::deserialize(input)?.as_u64())
}

/// Why a line cannot be parsed.
#[derive(Debug, Snafu)]
pub enum LineError {
    /// The line contains no JSON object.
    #[snafu(display("the line contains no JSON object"))]
    NoJsonObject,
    /// The JSON object is not a log event.
    #[snafu(display("the JSON object is not a log event: {source}"))]
    NotAnEvent {
        /// What the JSON parser reports.
        source: serde_json::Error,
    },
}

impl LineError {
    /// Returns whether the JSON object ends too early.
    pub fn is_cut_off(&self) -> bool {
        matches!(self, Self::NotAnEvent { source } if source.is_eof())
    }
}

/// Why an input cannot be read.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// Reading from the input failed.
    #[snafu(display("{source}"))]
    Input {
        /// What the operating system reports.
        source: std::io::Error,
    },
    /// The input has more lines of interest than are kept in memory.
    #[snafu(display("there are more than {MAX_LINES} lines"))]
    TooManyLines,
}

impl LogLine {
    /// Parses a line. If a log collector has put text before the JSON object, the last word of that
    /// text is the host's name; otherwise `source` is.
    ///
    /// # Errors
    ///
    /// Returns why the line is not a log event.
    pub fn parse(text: &str, source: &Name) -> Result<Self, LineError> {
        let start = text.find('{').context(NoJsonObjectSnafu)?;
        let (before, object) = text.split_at(start);
        let line: Self = serde_json::from_str(object).context(NotAnEventSnafu)?;
        let host = before.split_whitespace().next_back();
        Ok(Self {
            host: host.map_or_else(|| source.clone(), Name::from),
            text: object.trim_end().into(),
            ..line
        })
    }

    /// Returns whether the line says how a request ended.
    pub fn is_request_end(&self) -> bool {
        let ends = [
            LogEvent::RequestRefused,
            LogEvent::RequestAnswered,
            LogEvent::RequestFailed,
            LogEvent::CallerGone,
        ];
        ends.iter().any(|event| self.is(*event))
    }

    /// Returns whether the line is of the given event.
    pub fn is(&self, event: LogEvent) -> bool {
        self.event == event as u16
    }
}

/// The log lines of all inputs, and how many lines were skipped.
#[derive(Debug, Default)]
pub struct LogLines {
    /// The lines that were kept; in the order of their times after [`LogLines::sort`].
    pub lines: Vec<LogLine>,
    /// The lines that were not a log event, or too long.
    pub skipped: usize,
}

impl LogLines {
    /// Reads an input to its end, and keeps the lines for which `is_relevant` returns true.
    ///
    /// # Errors
    ///
    /// Returns why the input cannot be read, or that it has too many such lines.
    pub fn read(
        &mut self,
        input: &mut impl BufRead,
        source: &Name,
        is_relevant: impl Fn(&LogLine) -> bool,
    ) -> Result<(), ReadError> {
        for_each_line(input, source, |_, line| {
            match line {
                Ok(line) if is_relevant(&line) => self.lines.push(line),
                Ok(_) => {}
                Err(_) => self.skipped += 1,
            }
            match self.lines.len() > MAX_LINES {
                true => TooManyLinesSnafu.fail(),
                false => Ok(()),
            }
        })
    }

    /// Sorts the lines by time; lines of the same millisecond keep their order.
    pub fn sort(&mut self) {
        self.lines.sort_by_key(|line| line.at_unix_ms);
    }
}

/// Reads an input to its end, and calls `take` with the number, from 1 on, and the outcome of parsing
/// of each line that is not blank.
///
/// # Errors
///
/// Returns why the input cannot be read, or the first error of `take`.
pub fn for_each_line(
    input: &mut impl BufRead,
    source: &Name,
    mut take: impl FnMut(usize, Result<LogLine, LineError>) -> Result<(), ReadError>,
) -> Result<(), ReadError> {
    let mut bytes = Vec::new();
    let mut number = 0;
    while read_line(input, &mut bytes).context(InputSnafu)? {
        number += 1;
        let text = String::from_utf8_lossy(&bytes);
        if !text.trim().is_empty() {
            take(number, LogLine::parse(&text, source))?;
        }
    }
    Ok(())
}

/// Reads a line without its line feed into `line`, cut off at [`MAX_LINE_BYTES`]. Returns false at
/// the end of the input.
fn read_line(input: &mut impl BufRead, line: &mut Vec<u8>) -> std::io::Result<bool> {
    line.clear();
    let mut has_read = false;
    loop {
        let buffer = input.fill_buf()?;
        if buffer.is_empty() {
            return Ok(has_read);
        }
        has_read = true;
        let end = buffer.iter().position(|byte| *byte == b'\n');
        let piece = &buffer[..end.unwrap_or(buffer.len())];
        let remaining_bytes = MAX_LINE_BYTES.saturating_sub(line.len());
        line.extend_from_slice(&piece[..piece.len().min(remaining_bytes)]);
        let consumed_bytes = end.map_or(buffer.len(), |end| end + 1);
        input.consume(consumed_bytes);
        if end.is_some() {
            return Ok(true);
        }
    }
}
