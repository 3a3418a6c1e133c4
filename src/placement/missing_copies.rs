//! Detects ready copies that their engines do not report.
//!
//! Reports lag behind the log, so a copy that no report has listed yet may be missing for longer
//! than one that was listed before. A missing copy is unloaded by an ordinary order, since only the
//! engine's own answer to an order frees the memory.

use crate::placement::copies::{CopyState, Placement};
use crate::placement::message::EngineReport;
use crate::prelude::*;

/// How long a copy that was reported before may be absent from its engine's reports.
pub const MISSING_MS: Millis = Millis(1_500);
/// How long a copy that was never reported may be absent from its engine's reports.
pub const NEVER_REPORTED_MS: Millis = Millis(30_000);

/// What the reports of its engine have shown of a copy.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct CopyReports {
    was_reported: bool,
    /// When the first report without the copy arrived since the last one that listed it.
    missing_since: Option<Millis>,
}

/// For each ready copy, by id, whether and since when its engine's reports do not list it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct MissingCopyDetector {
    views: IndexMap<Offset, CopyReports>,
}

impl MissingCopyDetector {
    /// Updates the copies on an upstream from its report, which arrived at `now`.
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
            let reports = self.views.entry(*id).or_default();
            if report.copies.iter().any(|reported| reported.order == *id) {
                reports.was_reported = true;
                reports.missing_since = None;
            } else {
                reports.missing_since.get_or_insert(now);
            }
        }
    }

    /// Returns whether a copy has been absent from its engine's reports for too long.
    pub fn is_missing(&self, now: Millis, copy: Offset) -> bool {
        let Some(reports) = self.views.get(&copy) else {
            return false;
        };
        let bound_ms = if reports.was_reported {
            MISSING_MS
        } else {
            NEVER_REPORTED_MS
        };
        reports
            .missing_since
            .is_some_and(|since| now.since(since) >= bound_ms)
    }

    /// Removes the copies that no longer exist.
    pub fn retain(&mut self, placement: &Placement) {
        self.views.retain(|id, _| placement.copies.contains_key(id));
    }
}
