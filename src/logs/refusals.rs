//! The number of requests that were not answered, by cause and time interval.

use crate::logs::LogLine;
use crate::prelude::*;

/// The requests that ended in one interval of time.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Interval {
    /// The beginning of the interval, a multiple of its length.
    pub from_unix_ms: Millis,
    /// The number of requests that were answered.
    pub answered: usize,
    /// The number of requests that were not answered, by cause; the most frequent cause first.
    pub causes: IndexMap<Cause, usize>,
}

/// Why a request was not answered.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(into = "String")]
pub struct Cause {
    /// The HTTP status of the answer to the caller; 0 if the line gives none, as when the caller
    /// disconnected.
    pub status: u16,
    /// The cause as the log line gives it, such as an error kind.
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

/// Counts the requests that ended, by intervals of `interval_ms`, in the order of time. Intervals
/// in which no request ended are left out.
pub fn count_by_interval(lines: &[LogLine], interval_ms: Millis) -> Vec<Interval> {
    let interval_ms = interval_ms.0.max(1);
    let mut intervals: IndexMap<u64, Interval> = IndexMap::new();
    for line in lines.iter().filter(|line| line.is_request_end()) {
        let index = line.at_unix_ms.0 / interval_ms;
        let interval = intervals.entry(index).or_insert_with(|| Interval {
            from_unix_ms: Millis(index * interval_ms),
            answered: 0,
            causes: IndexMap::new(),
        });
        match line.is(LogEvent::RequestAnswered) {
            true => interval.answered += 1,
            false => *interval.causes.entry(cause(line)).or_default() += 1,
        }
    }
    intervals.sort_unstable_keys();
    intervals.into_values().map(sort_causes).collect()
}

fn sort_causes(mut interval: Interval) -> Interval {
    interval
        .causes
        .sort_by(|a, most, b, more| more.cmp(most).then_with(|| a.cmp(b)));
    interval
}

fn cause(line: &LogLine) -> Cause {
    let caller_gone = line.is(LogEvent::CallerGone);
    Cause {
        status: line.status.unwrap_or(0),
        why: match (&line.why, caller_gone) {
            (Some(why), _) => why.clone(),
            (None, true) => "caller gone".into(),
            (None, false) => "not said".into(),
        },
    }
}
