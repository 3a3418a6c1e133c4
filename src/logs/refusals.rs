//! Requests that were not answered, by cause over time.

use crate::logs::LogLine;
use crate::prelude::*;

/// Requests that ended in a span of time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Span {
    /// Its beginning.
    pub from_unix_ms: Millis,
    /// Requests that were answered.
    pub answered: usize,
    /// The others by status and cause.
    pub causes: IndexMap<Cause, usize>,
}

/// Why a request was not answered.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(into = "String")]
pub struct Cause {
    /// The status that its caller got; zero when the caller left.
    pub status: u16,
    /// Why.
    pub why: Name,
}

impl std::fmt::Display for Cause {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {}", self.status, self.why)
    }
}

impl From<Cause> for String {
    fn from(cause: Cause) -> Self {
        cause.to_string()
    }
}

/// Returns spans in the order of their times; those in which no request ended are left out.
pub fn spans(lines: &[LogLine], span_ms: Millis) -> Vec<Span> {
    let span_ms = span_ms.0.max(1);
    let mut spans: IndexMap<u64, Span> = IndexMap::new();
    for line in lines.iter().filter(|line| line.is_end()) {
        let nth = line.at_unix_ms.0 / span_ms;
        let span = spans.entry(nth).or_insert_with(|| Span {
            from_unix_ms: Millis(nth * span_ms),
            answered: 0,
            causes: IndexMap::new(),
        });
        match line.is(LogEvent::RequestAnswered) {
            true => span.answered += 1,
            false => *span.causes.entry(cause(line)).or_default() += 1,
        }
    }
    spans.sort_unstable_keys();
    spans.into_values().map(with_most_first).collect()
}

fn with_most_first(mut span: Span) -> Span {
    span.causes
        .sort_by(|a, most, b, more| more.cmp(most).then_with(|| a.cmp(b)));
    span
}

fn cause(line: &LogLine) -> Cause {
    let gone = line.is(LogEvent::CallerGone);
    Cause {
        status: line.status.unwrap_or(0),
        why: match (&line.why, gone) {
            (Some(why), _) => why.clone(),
            (None, true) => "caller gone".into(),
            (None, false) => "not said".into(),
        },
    }
}
