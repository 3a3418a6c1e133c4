//! Why a ready copy is to go whatever the demand for it.

use crate::placement::copies::{Copy, CopyState};
use crate::placement::decided::DecidedCopies;
use crate::prelude::*;
use crate::table::Table;

/// Why a copy is to go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetireReason {
    /// The table has another version of the model, or no model.
    OldVersion,
    /// The table asks for fewer copies.
    Surplus,
    /// A row allows the model in other data centres only.
    DataCentre,
    /// The upstream is leaving.
    UpstreamLeaving,
    /// The engine no longer reports it.
    Missing,
}

/// Returns why a copy is to go by the table, if it is.
pub fn retired_by_table(
    copy: &Copy,
    decided: &DecidedCopies,
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
    (copy.load.copy_index >= decided.of(&copy.load.model)).then_some(RetireReason::Surplus)
}
