//! The reasons to unload a ready copy regardless of the demand for it.

use crate::placement::configured::ConfiguredCopies;
use crate::placement::copies::{Copy, CopyState};
use crate::prelude::*;
use crate::table::Table;

/// The reason to unload a copy. Written to the log line of the unload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetireReason {
    /// The table has another version of the model, or no longer has the model.
    OldVersion,
    /// The table now configures fewer copies of the model.
    Surplus,
    /// A row of the table allows the model in other data centres only.
    DataCentre,
    /// The upstream that holds the copy is leaving.
    UpstreamLeaving,
    /// The engine's reports do not list the copy, or no longer do.
    Missing,
}

/// Returns the reason in the table to unload a copy: [`RetireReason::OldVersion`],
/// [`RetireReason::Surplus`], or `None` if there is none or the copy is not ready.
pub fn retired_by_table(
    copy: &Copy,
    configured: &ConfiguredCopies,
    table: &Table,
) -> Option<RetireReason> {
    if copy.state != CopyState::Ready {
        return None;
    }
    let is_current = table
        .model(&copy.load.model)
        .is_some_and(|model| model.version == copy.load.version);
    if !is_current {
        return Some(RetireReason::OldVersion);
    }
    (copy.load.copy_index >= configured.of(&copy.load.model)).then_some(RetireReason::Surplus)
}
