//! The periods in which hosts held the lease that makes a host the orderer.

use crate::logs::LogLine;
use crate::prelude::*;

/// A period in which one host held the lease.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LeasePeriod {
    /// The host that held the lease.
    pub host: Name,
    /// When the host took the lease.
    pub from_unix_ms: Millis,
    /// When the host gave up or lost the lease, and why; `None` if no line says so.
    pub until: Option<LeaseEnd>,
    /// How long no host had held the lease before; `None` if the lines do not say when the previous
    /// period ended.
    pub gap_ms: Option<Millis>,
    /// The number of hosts that logged a change of the orderer before the next period began.
    pub heard_by: usize,
}

/// The end of a lease period.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LeaseEnd {
    /// When the lease ended.
    pub at_unix_ms: Millis,
    /// Why it ended, as the log line gives it; empty if it gives no reason.
    pub why: Name,
}

/// Returns whether a line is about the lease or a change of the orderer.
pub fn is_relevant(line: &LogLine) -> bool {
    let events = [
        LogEvent::LeaseTaken,
        LogEvent::LeaseEnded,
        LogEvent::OrdererChanged,
    ];
    events.iter().any(|event| line.is(*event))
}

/// Returns the lease periods in the order of their beginnings. The lines must be sorted by time.
pub fn lease_periods(lines: &[LogLine]) -> Vec<LeasePeriod> {
    let mut periods: Vec<LeasePeriod> = Vec::new();
    let mut observers: IndexSet<Name> = IndexSet::new();
    for line in lines {
        if line.is(LogEvent::LeaseTaken) {
            let last_end = periods.last().and_then(|last| last.until.as_ref());
            observers.clear();
            periods.push(LeasePeriod {
                host: line.host.clone(),
                from_unix_ms: line.at_unix_ms,
                until: None,
                gap_ms: last_end.map(|end| line.at_unix_ms.since(end.at_unix_ms)),
                heard_by: 0,
            });
        } else if line.is(LogEvent::LeaseEnded) {
            end_period(&mut periods, line);
        } else if let Some(last) = periods.last_mut() {
            observers.insert(line.host.clone());
            last.heard_by = observers.len();
        }
    }
    periods
}

/// Ends the newest period of the line's host that has no end yet.
fn end_period(periods: &mut [LeasePeriod], line: &LogLine) {
    let mut newest_first = periods.iter_mut().rev();
    let open = newest_first.find(|period| period.host == line.host && period.until.is_none());
    if let Some(open) = open {
        open.until = Some(LeaseEnd {
            at_unix_ms: line.at_unix_ms,
            why: line.why.clone().unwrap_or_else(|| "".into()),
        });
    }
}
