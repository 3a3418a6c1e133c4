//! The runs that callers can resume or cancel.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::Serialize;

use crate::engine::Engine;
use crate::engine::run::Run;
use crate::error::Refusal;
use crate::http::Answer;

/// How many runs are held at once.
const MAX_HELD_RUNS: usize = 16_384;

/// Runs by the identity that callers gave them.
#[derive(Debug, Default)]
pub struct HeldRuns {
    runs: IndexMap<Arc<str>, Arc<Run>>,
    next_local_id: u64,
}

/// The answer to a cancellation.
#[derive(Debug, Serialize)]
struct Cancelled {
    cancelled: bool,
}

impl HeldRuns {
    /// Makes an identity for a request without one.
    pub fn local_id(&mut self) -> Arc<str> {
        let local_id = format!("local-{}", self.next_local_id);
        self.next_local_id += 1;
        local_id.into()
    }

    /// Holds a run; a later one of the same identity takes the place of the former.
    ///
    /// # Errors
    ///
    /// Refuses when too many runs are held.
    pub fn hold(&mut self, run: &Arc<Run>) -> Result<(), Refusal> {
        if self.runs.len() >= MAX_HELD_RUNS {
            return Err(Refusal::Busy);
        }
        self.runs
            .insert(Arc::clone(&run.request_id), Arc::clone(run));
        Ok(())
    }

    /// Finds a held run.
    pub fn find(&self, request_id: &str) -> Option<Arc<Run>> {
        self.runs.get(request_id).cloned()
    }

    /// Forgets a run, unless a later one has taken its place.
    pub fn forget(&mut self, run: &Arc<Run>) {
        let held = self.runs.get(&run.request_id);
        if held.is_some_and(|held| Arc::ptr_eq(held, run)) {
            self.runs.swap_remove(&run.request_id);
        }
    }
}

/// Stops a run; an unknown or ended one is no error.
pub fn cancel(engine: &Engine, request_id: &str) -> Answer {
    let run = engine.held_runs().find(request_id);
    let cancelled = run.is_some_and(|run| run.stop());
    Answer::ok(&Cancelled { cancelled })
}
