//! Who ordered loads, and from when to when.

use crate::logs::LogLine;
use crate::prelude::*;

/// A time in which a host ordered.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Holding {
    /// The host.
    pub host: Name,
    /// When it took the lease.
    pub from_unix_ms: Millis,
    /// When it gave it up or lost it, and why; nothing when no line says so.
    pub until: Option<HoldingEnd>,
    /// How long nobody had ordered before it, as far as the lines say.
    pub gap_ms: Option<Millis>,
    /// Hosts that wrote meanwhile that another host orders than before.
    pub heard_by: usize,
}

/// The end of a holding.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct HoldingEnd {
    /// When.
    pub at_unix_ms: Millis,
    /// Why.
    pub why: Name,
}

/// Tells whether a line says something of who orders.
pub fn wants(line: &LogLine) -> bool {
    let events = [
        LogEvent::LeaseTaken,
        LogEvent::LeaseEnded,
        LogEvent::OrdererChanged,
    ];
    events.iter().any(|event| line.is(*event))
}

/// Returns the holdings in the order of their times, from lines in that order.
pub fn holdings(lines: &[LogLine]) -> Vec<Holding> {
    let mut holdings: Vec<Holding> = Vec::new();
    let mut heard: IndexSet<Name> = IndexSet::new();
    for line in lines {
        if line.is(LogEvent::LeaseTaken) {
            let last_end = holdings.last().and_then(|last| last.until.as_ref());
            heard.clear();
            holdings.push(Holding {
                host: line.host.clone(),
                from_unix_ms: line.at_unix_ms,
                until: None,
                gap_ms: last_end.map(|end| line.at_unix_ms.since(end.at_unix_ms)),
                heard_by: 0,
            });
        } else if line.is(LogEvent::LeaseEnded) {
            end(&mut holdings, line);
        } else if let Some(last) = holdings.last_mut() {
            heard.insert(line.host.clone());
            last.heard_by = heard.len();
        }
    }
    holdings
}

fn end(holdings: &mut [Holding], line: &LogLine) {
    let mut own = holdings.iter_mut().rev();
    let open = own.find(|holding| holding.host == line.host && holding.until.is_none());
    if let Some(open) = open {
        open.until = Some(HoldingEnd {
            at_unix_ms: line.at_unix_ms,
            why: line.why.clone().unwrap_or_else(|| "".into()),
        });
    }
}
