//! Selects the engines that a plan considers.
//!
//! A site may have thousands of similar engines. A plan that compared all of them for each order
//! would take longer than the orders themselves.

use crate::ordering::census::{Holders, ServiceCensus};
use crate::ordering::engine::Engine;
use crate::ordering::planner::Planner;
use crate::prelude::*;
use crate::rendezvous;

/// The most engines that are compared for one load, in addition to those that have the weights
/// cached. The best of some hundred similar engines is nearly as good as the best of thousands.
const MOST_CANDIDATES: usize = 512;

impl Planner<'_> {
    /// Returns the engines of the service that are leaving or cannot be reached.
    pub(super) fn unused_engines(&self) -> impl Iterator<Item = &Engine> {
        let engines = self.unusable.iter().filter_map(|id| self.ledger.get(id));
        engines.filter(|engine| &*engine.service == self.service)
    }

    /// Returns whether an engine may receive orders.
    pub(super) fn is_used(&self, engine: &Engine) -> bool {
        &*engine.service == self.service && !self.unusable.contains(&engine.id)
    }

    /// Returns whether an engine accepts an order now and reserves no memory for a certain model.
    pub(super) fn is_open(&self, engine: &Engine) -> bool {
        engine.is_free(self.now) && engine.intended(self.now).is_none()
    }

    /// Returns the engines that hold a model or will hold it.
    pub(super) fn holders<'b>(
        &'b self,
        census: &'b ServiceCensus,
        model: &str,
    ) -> impl Iterator<Item = &'b Engine> {
        let holders = census.model(model).into_iter();
        self.used(holders.flat_map(Holders::engines))
    }

    /// Returns the engines that have a model's weights cached in memory or on disk.
    pub(super) fn having_at_hand<'b>(
        &'b self,
        census: &'b ServiceCensus,
        model: &str,
    ) -> impl Iterator<Item = &'b Engine> {
        let holders = census.model(model).into_iter();
        self.used(holders.flat_map(Holders::at_hand))
    }

    fn used<'b>(&'b self, ids: impl Iterator<Item = &'b Name>) -> impl Iterator<Item = &'b Engine> {
        let engines = self.ledger.named(ids);
        engines.filter(|engine| self.is_used(engine))
    }

    /// Returns the available engines that are compared for a load of a model. At a small site these
    /// are all engines; at a large one, those that have the weights cached and a window of others
    /// that changes with each call.
    pub(super) fn candidates<'b>(
        &'b self,
        census: &'b ServiceCensus,
        model: &'b Name,
    ) -> impl Iterator<Item = &'b Engine> {
        let at_hand = self
            .having_at_hand(census, model)
            .filter(move |_| census.engines() > MOST_CANDIDATES);
        let from = rendezvous::score(model.as_bytes(), self.now.0);
        let some = self.ledger.some(from, MOST_CANDIDATES);
        let all = at_hand.chain(some.filter(|engine| self.is_used(engine)));
        all.filter(|engine| self.is_open(engine))
    }
}
