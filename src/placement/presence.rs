//! Which ready copies the engines still report.
//!
//! Reports lag, so that a copy which no report has shown yet is given longer than one that was shown
//! and then no more. A copy that is missing is unloaded by an ordinary order: only the engine's own
//! answer to it frees the memory.

use crate::placement::copies::{CopyState, Placement};
use crate::placement::message::EngineReport;
use crate::prelude::*;

/// How long a copy that was reported before may be missing.
pub const MISSING_MS: Millis = Millis(1_500);
/// How long a copy that was never reported may be missing.
pub const NEVER_REPORTED_MS: Millis = Millis(30_000);

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct View {
    was_reported: bool,
    missing_since: Option<Millis>,
}

/// What the engines' reports say of ready copies, by copy.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Presence {
    views: IndexMap<Offset, View>,
}

impl Presence {
    /// Takes an engine's report.
    pub fn on_report(
        &mut self,
        now: Millis,
        upstream: &str,
        report: &EngineReport,
        placement: &Placement,
    ) {
        for (id, copy) in placement.copies_on(upstream) {
            if copy.state != CopyState::Ready {
                self.views.swap_remove(id);
                continue;
            }
            let view = self.views.entry(*id).or_default();
            if report.copies.iter().any(|reported| reported.order == *id) {
                view.was_reported = true;
                view.missing_since = None;
            } else {
                view.missing_since.get_or_insert(now);
            }
        }
    }

    /// Tells whether a copy has been missing for too long.
    pub fn is_missing(&self, now: Millis, copy: Offset) -> bool {
        let Some(view) = self.views.get(&copy) else {
            return false;
        };
        let bound_ms = if view.was_reported {
            MISSING_MS
        } else {
            NEVER_REPORTED_MS
        };
        view.missing_since
            .is_some_and(|since| now.since(since) >= bound_ms)
    }

    /// Forgets copies that are gone.
    pub fn retain(&mut self, placement: &Placement) {
        self.views.retain(|id, _| placement.copies.contains_key(id));
    }
}
