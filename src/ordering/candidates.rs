//! Selects the engines that a plan considers.
//!
//! A site may have thousands of similar engines. A plan that compared all of them for each order
//! would take longer than the orders themselves.

use crate::ordering::engine::Engine;
use crate::ordering::engine_index::{Holders, ServiceIndex};
use crate::ordering::planner::Planner;
use crate::prelude::*;
use crate::rendezvous;

/// The most engines that are compared for one load, in addition to those that have the weights
/// cached. The best of some hundred similar engines is nearly as good as the best of thousands.
const MAX_CANDIDATES: usize = 512;

impl Planner<'_> {
    /// Returns the engines of the service that are leaving or cannot be reached.
    pub(super) fn excluded_engines(&self) -> impl Iterator<Item = &Engine> {
        let engines = self.excluded.iter().filter_map(|id| self.inventory.get(id));
        engines.filter(|engine| &*engine.service == self.service)
    }

    /// Returns whether an engine may receive orders.
    pub(super) fn is_eligible(&self, engine: &Engine) -> bool {
        &*engine.service == self.service && !self.excluded.contains(&engine.id)
    }

    /// Returns whether an engine accepts an order now and reserves no memory for a certain model.
    pub(super) fn is_available(&self, engine: &Engine) -> bool {
        engine.is_free(self.now) && engine.reserved_for(self.now).is_none()
    }

    /// Returns the engines that hold a model or will hold it.
    pub(super) fn holders<'b>(
        &'b self,
        index: &'b ServiceIndex,
        model: &str,
    ) -> impl Iterator<Item = &'b Engine> {
        let holders = index.model(model).into_iter();
        self.eligible(holders.flat_map(Holders::engines))
    }

    /// Returns the engines that have a model's weights cached in memory or on disk.
    pub(super) fn engines_caching<'b>(
        &'b self,
        index: &'b ServiceIndex,
        model: &str,
    ) -> impl Iterator<Item = &'b Engine> {
        let holders = index.model(model).into_iter();
        self.eligible(holders.flat_map(Holders::cached))
    }

    fn eligible<'b>(
        &'b self,
        ids: impl Iterator<Item = &'b Name>,
    ) -> impl Iterator<Item = &'b Engine> {
        let engines = self.inventory.by_name(ids);
        engines.filter(|engine| self.is_eligible(engine))
    }

    /// Returns the available engines that are compared for a load of a model. At a small site these
    /// are all engines; at a large one, those that have the weights cached and a window of others
    /// that changes with each call.
    pub(super) fn candidates<'b>(
        &'b self,
        index: &'b ServiceIndex,
        model: &'b Name,
    ) -> impl Iterator<Item = &'b Engine> {
        let cached = self
            .engines_caching(index, model)
            .filter(move |_| index.engines() > MAX_CANDIDATES);
        let from = rendezvous::score(model.as_bytes(), self.now.0);
        let others = self.inventory.window(from, MAX_CANDIDATES);
        let all = cached.chain(others.filter(|engine| self.is_eligible(engine)));
        all.filter(|engine| self.is_available(engine))
    }
}
