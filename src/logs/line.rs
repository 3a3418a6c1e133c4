//! One line of an entry host's log, and reading many.

use crate::prelude::*;
use snafu::{OptionExt, ResultExt, Snafu};
use std::io::BufRead;

/// The longest line; one that is longer is passed over.
const MAX_LINE_BYTES: usize = 1 << 20;
/// Most lines that are kept at once; what comes after them is refused, so that a whole day's logs are cut up before.
const MAX_LINES: usize = 20_000_000;

/// What the questions need of a line; the rest stays in its text.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct LogLine {
    /// When it was written.
    pub at_unix_ms: Millis,
    /// The event's number.
    pub event: u16,
    /// The event's name.
    pub name: Name,
    /// The host that wrote it: what stands before the line, else the name of its file.
    #[serde(skip, default = "unnamed")]
    pub host: Name,
    /// The whole line.
    #[serde(skip, default = "unnamed")]
    pub text: Name,
    /// The request.
    #[serde(default)]
    pub request: Option<Name>,
    /// The organisation of the request.
    #[serde(default)]
    pub organisation: Option<Name>,
    /// The status that the caller got.
    #[serde(default)]
    pub status: Option<u16>,
    /// Why.
    #[serde(default)]
    pub why: Option<Name>,
    /// The length of the request's prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// The version of the desired state.
    #[serde(default)]
    pub version: Option<u64>,
    /// The host that orders.
    #[serde(default)]
    pub orderer: Option<Name>,
}

fn unnamed() -> Name {
    "".into()
}

/// Why a line cannot be used.
#[derive(Debug, Snafu)]
pub enum LineError {
    /// It has no object.
    #[snafu(display("there is no JSON object in it"))]
    NoObject,
    /// Its object is none of an event.
    #[snafu(display("it is no event: {source}"))]
    NoEvent {
        /// Why.
        source: serde_json::Error,
    },
}

/// Why lines cannot be read.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// The input failed.
    #[snafu(display("{source}"))]
    Input {
        /// Why.
        source: std::io::Error,
    },
    /// There are too many.
    #[snafu(display("there are more than {MAX_LINES} lines"))]
    TooMany,
}

impl LogLine {
    /// Reads a line. A collector may have put something before the object, whose last part names the host; else `source` does.
    ///
    /// # Errors
    ///
    /// Returns why it is no event.
    pub fn read(text: &str, source: &Name) -> Result<Self, LineError> {
        let start = text.find('{').context(NoObjectSnafu)?;
        let (before, object) = text.split_at(start);
        let line: Self = serde_json::from_str(object).context(NoEventSnafu)?;
        let host = before.split_whitespace().next_back();
        Ok(Self {
            host: host.map_or_else(|| source.clone(), Name::from),
            text: object.trim_end().into(),
            ..line
        })
    }

    /// Tells whether it says how a request ended.
    pub fn is_end(&self) -> bool {
        let ends = [
            LogEvent::RequestRefused,
            LogEvent::RequestAnswered,
            LogEvent::RequestFailed,
            LogEvent::CallerGone,
        ];
        ends.iter().any(|event| self.is(*event))
    }

    /// Tells whether it is of an event.
    pub fn is(&self, event: LogEvent) -> bool {
        self.event == event as u16
    }
}

/// Lines of all hosts, and how much of the input was none.
#[derive(Debug, Default)]
pub struct Lines {
    /// The lines; in the order of their times once all were read.
    pub lines: Vec<LogLine>,
    /// Lines that are no event, or too long.
    pub passed_over: usize,
}

impl Lines {
    /// Reads an input to its end, and keeps the lines that are wanted.
    ///
    /// # Errors
    ///
    /// Returns why it cannot be read.
    pub fn read(
        &mut self,
        input: &mut impl BufRead,
        source: &Name,
        wants: impl Fn(&LogLine) -> bool,
    ) -> Result<(), ReadError> {
        let mut bytes = Vec::new();
        while read_line(input, &mut bytes).context(InputSnafu)? {
            let text = String::from_utf8_lossy(&bytes);
            if text.trim().is_empty() {
                continue;
            }
            match LogLine::read(&text, source) {
                Ok(line) if wants(&line) => self.lines.push(line),
                Ok(_) => {}
                Err(_) => self.passed_over += 1,
            }
            if self.lines.len() > MAX_LINES {
                return TooManySnafu.fail();
            }
        }
        Ok(())
    }

    /// Puts the lines in the order of their times.
    pub fn sort(&mut self) {
        self.lines.sort_by_key(|line| line.at_unix_ms);
    }
}

/// Reads a line without its end, cut at the longest one's length. Returns false at the end of the input.
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
        let taken = &buffer[..end.unwrap_or(buffer.len())];
        let room = MAX_LINE_BYTES.saturating_sub(line.len());
        line.extend_from_slice(&taken[..taken.len().min(room)]);
        let used = end.map_or(buffer.len(), |end| end + 1);
        input.consume(used);
        if end.is_some() {
            return Ok(true);
        }
    }
}
