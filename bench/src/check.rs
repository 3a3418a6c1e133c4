//! Checks of a history against what must always hold.

use crate::arrivals::CallKind;
use crate::history::{End, HistoryLine};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};

/// Something that must not happen, with where it did.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "violation", rename_all = "snake_case")]
pub enum Violation {
    /// A request has no line.
    MissingEnd {
        /// Which.
        request: u64,
    },
    /// A request has more than one final outcome.
    SecondEnd {
        /// Which.
        request: u64,
    },
    /// Nothing final came in time, and no fault at the host that held the request explains it.
    NoEnd {
        /// Which.
        request: u64,
    },
    /// The final outcome came after the deadline and the margin.
    LateEnd {
        /// Which.
        request: u64,
        /// How long after the deadline.
        late_ms: u64,
    },
    /// Part of an answer came without saying so, from a host that was well.
    BrokenAnswer {
        /// Which.
        request: u64,
        /// What the caller saw.
        why: String,
    },
    /// The answer belongs to another request.
    ForeignAnswer {
        /// Which.
        request: u64,
    },
    /// An operation that may run at most once ran more often.
    RanTwice {
        /// The operation's key.
        operation: String,
        /// How often it ran.
        runs: u64,
    },
    /// An operation ran although its caller was told at every try that nothing did.
    RanAfterNotRun {
        /// The operation's key.
        operation: String,
    },
    /// An operation was answered and did not run.
    AnsweredWithoutRun {
        /// The operation's key.
        operation: String,
    },
    /// An engine held more copies of a model than were decided.
    TooManyCopies {
        /// The engine's place in the site.
        engine: usize,
        /// The model and version.
        model: String,
        /// How many copies at once.
        copies: u64,
    },
    /// An engine held more than its memory.
    Overcommitted {
        /// The engine's place in the site.
        engine: usize,
    },
    /// A host does not serve again after every fault was lifted.
    NotServing {
        /// Its name.
        host: String,
    },
    /// A host's table lacks an edit that was said to be in force.
    EditLost {
        /// The host's name.
        host: String,
        /// The weight that was in force.
        in_force: u64,
        /// The weight that the host has.
        found: u64,
    },
}

/// A time in which a host could not answer: its process was gone or stopped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Disturbance {
    /// The host's address for callers.
    pub host: String,
    /// From when, from the start of the load.
    pub from_ms: u64,
    /// Until when.
    pub until_ms: u64,
}

/// What an engine counted since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct EnginePeaks {
    /// Whether it ever held more than its memory.
    pub overcommitted: bool,
    /// The most copies of each model and version at once.
    pub peak_copies: IndexMap<String, u64>,
}

/// What the services counted: how often each operation ran.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct RunCounts {
    /// By the operation's key.
    pub runs: IndexMap<String, u64>,
}

impl RunCounts {
    /// Adds the counts of another upstream of the same service.
    pub fn add(&mut self, other: Self) {
        for (operation, runs) in other.runs {
            *self.runs.entry(operation).or_insert(0) += runs;
        }
    }
}

/// Checks that each of `requests` requests has exactly one final outcome, before its deadline and a
/// margin, unless a disturbance of the host that held it explains why not.
pub fn check_ends(
    history: &[HistoryLine],
    requests: u64,
    margin_ms: u64,
    disturbances: &[Disturbance],
) -> Vec<Violation> {
    let mut seen = HashSet::new();
    let mut violations = Vec::new();
    for line in history {
        if !seen.insert(line.request) {
            let request = line.request;
            violations.push(Violation::SecondEnd { request });
        }
        if !is_explained(line, disturbances) {
            violations.extend(end_fault(line, margin_ms));
        }
    }
    let missing = (0..requests).filter(|request| !seen.contains(request));
    violations.extend(missing.map(|request| Violation::MissingEnd { request }));
    violations
}

fn end_fault(line: &HistoryLine, margin_ms: u64) -> Option<Violation> {
    let request = line.request;
    match &line.end {
        End::NoEnd => return Some(Violation::NoEnd { request }),
        End::Broken { why } => {
            let why = why.clone();
            return Some(Violation::BrokenAnswer { request, why });
        }
        End::Answered { .. } | End::Refused { .. } | End::NotConnected => {}
    }
    let due_ms = line.asked_ms + line.deadline_ms;
    let late_ms = line.ended_ms.saturating_sub(due_ms);
    (late_ms > margin_ms).then_some(Violation::LateEnd { request, late_ms })
}

/// Tells whether a host that was tried could not answer during the try.
fn is_explained(line: &HistoryLine, disturbances: &[Disturbance]) -> bool {
    line.tries.iter().enumerate().any(|(index, one)| {
        let next = line.tries.get(index + 1);
        let ended_ms = next.map_or(line.ended_ms, |next| next.began_ms);
        disturbances.iter().any(|disturbance| {
            disturbance.host == one.host
                && disturbance.from_ms <= ended_ms
                && one.began_ms <= disturbance.until_ms
        })
    })
}

/// Checks that every answer belongs to its request.
pub fn check_answers(history: &[HistoryLine]) -> Vec<Violation> {
    let is_foreign = |end: &End| {
        matches!(
            end,
            End::Answered {
                status: 200..=299,
                own: false
            }
        )
    };
    history
        .iter()
        .filter(|line| is_foreign(&line.end) || line.tries.iter().any(|one| is_foreign(&one.end)))
        .map(|line| Violation::ForeignAnswer {
            request: line.request,
        })
        .collect()
}

/// Checks the services' counts of operations that may run at most once.
pub fn check_runs(history: &[HistoryLine], counts: &RunCounts) -> Vec<Violation> {
    let twice = counts.runs.iter().filter(|(_, runs)| **runs > 1);
    let mut violations: Vec<Violation> = twice
        .map(|(operation, runs)| Violation::RanTwice {
            operation: operation.clone(),
            runs: *runs,
        })
        .collect();
    let writes = history
        .iter()
        .filter(|line| line.call == CallKind::ServiceWrite);
    for line in writes {
        violations.extend(run_fault(line, counts));
    }
    violations
}

fn run_fault(line: &HistoryLine, counts: &RunCounts) -> Option<Violation> {
    let operation = line.operation.clone()?;
    let ran = counts.runs.contains_key(&operation);
    let told_not_run = !line.tries.is_empty() && line.tries.iter().all(|one| one.end.is_not_run());
    if ran && told_not_run {
        return Some(Violation::RanAfterNotRun { operation });
    }
    (!ran && line.end.is_success()).then_some(Violation::AnsweredWithoutRun { operation })
}

/// Checks what engines counted: memory, and copies of each model against those decided.
pub fn check_engines(peaks: &[EnginePeaks], decided: &HashMap<String, u64>) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (engine, peaks) in peaks.iter().enumerate() {
        if peaks.overcommitted {
            violations.push(Violation::Overcommitted { engine });
        }
        for (model, copies) in &peaks.peak_copies {
            let name = model.split('@').next().unwrap_or(model);
            if *copies > decided.get(name).copied().unwrap_or(0) {
                violations.push(Violation::TooManyCopies {
                    engine,
                    model: model.clone(),
                    copies: *copies,
                });
            }
        }
    }
    violations
}
