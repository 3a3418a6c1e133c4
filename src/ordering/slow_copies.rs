//! Accounts for engines that work at different speeds in the number and the places of copies.
//!
//! Handles machines that differ or are shared with others: a model whose copies are on slow engines
//! serves fewer requests with the same number of copies.

use crate::ordering::engine::Engine;
use crate::ordering::engine_index::Holders;
use crate::ordering::planner::{Need, Planner};

impl Planner<'_> {
    /// Returns how many whole copies the slowness of a model's engines takes away: a copy on an engine
    /// that takes twice as long serves half as many requests.
    pub(super) fn copies_lost_to_slowness(&self, holders: Option<&Holders>) -> usize {
        if self.inventory.is_even() {
            return 0;
        }
        let engines = holders.into_iter().flat_map(Holders::engines);
        let included = engines.filter(|engine| !self.excluded.contains(*engine));
        let slowness = included.map(|engine| self.inventory.slowness(engine).max(1.0));
        slowness.map(|slowness| 1.0 - 1.0 / slowness).sum::<f64>() as usize
    }

    /// Returns the cost of the slowness of an engine for one more copy of a model, in prompt tokens
    /// per second: what an engine of mean speed would read in the additional time. It is negative for
    /// a fast engine.
    pub(super) fn slowness_cost(&self, engine: &Engine, need: &Need<'_>, read: f64) -> f64 {
        let own = need.demand.tokens_per_s / (need.copies + 1) as f64;
        (read + own) * (self.inventory.slowness(&engine.id) - 1.0)
    }
}
