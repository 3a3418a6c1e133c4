//! Models of which engine after engine crashes while it loads them.

use crate::prelude::*;

/// Loads in a row that must have ended with a crash of their engine before the next one waits.
const MIN_FAILURES: u32 = 3;
/// How long the load after the last of these waits; doubled with each further one.
const FIRST_PAUSE_MS: Millis = Millis(10_000);
/// The longest pause.
const MAX_PAUSE_MS: Millis = Millis(600_000);
/// The most models that are remembered.
const MAX_MODELS: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct Failures {
    /// The loads in a row that ended with a crash.
    count: u32,
    last_at: Millis,
}

/// Loads that ended with a crash of their engine, since the last one that succeeded.
#[derive(Clone, Debug, Default)]
pub struct FailedLoads {
    models: IndexMap<Name, Failures>,
}

impl FailedLoads {
    /// Records that an engine crashed while it loaded a model.
    pub fn note_crash(&mut self, now: Millis, model: &Name) {
        if self.models.len() >= MAX_MODELS && !self.models.contains_key(model) {
            self.models.shift_remove_index(0);
        }
        let failures = self.models.entry(model.clone()).or_insert(Failures {
            count: 0,
            last_at: now,
        });
        failures.count = failures.count.saturating_add(1);
        failures.last_at = now;
    }

    /// Records that an engine has loaded a model.
    pub fn note_loaded(&mut self, model: &str) {
        self.models.shift_remove(model);
    }

    /// Returns whether a model may be loaded now. Each engine that loads it may crash, so after some
    /// crashes there are long pauses between loads.
    pub fn may_load(&self, now: Millis, model: &str) -> bool {
        let Some(failures) = self.models.get(model) else {
            return true;
        };
        let Some(further) = failures.count.checked_sub(MIN_FAILURES) else {
            return true;
        };
        let pause_ms = Millis(FIRST_PAUSE_MS.0 << further.min(16)).min(MAX_PAUSE_MS);
        now.since(failures.last_at) >= pause_ms
    }
}
