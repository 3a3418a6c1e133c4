//! Accounts for engines that work at different speeds in the places of copies.
//!
//! Handles machines that differ or are shared with others: busy models belong on the fast ones. The
//! number of copies does not follow the speed, because further copies of a busy model displace the
//! only copies of rare ones.

use crate::ordering::engine::Engine;
use crate::ordering::planner::{Need, Planner};

impl Planner<'_> {
    /// Returns the cost of the slowness of an engine for one more copy of a model, in prompt tokens
    /// per second: what an engine of mean speed would read in the additional time. It is negative for
    /// a fast engine.
    pub(super) fn slowness_cost(&self, engine: &Engine, need: &Need<'_>, read: f64) -> f64 {
        let own = need.demand.tokens_per_s / (need.copies + 1) as f64;
        (read + own) * (self.inventory.slowness(&engine.id) - 1.0)
    }
}
