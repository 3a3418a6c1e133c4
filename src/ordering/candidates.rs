//! Which engines a plan looks at.
//!
//! Answers the pattern of thousands of engines that are like each other: a plan that weighs all of them for each order takes
//! longer than the orders themselves.

use crate::ordering::census::{Holders, ServiceCensus};
use crate::ordering::engine::Engine;
use crate::ordering::planner::Planner;
use crate::prelude::*;
use crate::rendezvous;

/// Most engines among which a place is looked for, besides those that have the weights at hand: the best of some hundred
/// that are like each other is nearly as good as the best of thousands.
const MOST_CANDIDATES: usize = 512;

impl Planner<'_> {
    /// Returns the engines that are leaving or cannot be reached.
    pub(super) fn unused_engines(&self) -> impl Iterator<Item = &Engine> {
        let engines = self.unusable.iter().filter_map(|id| self.ledger.get(id));
        engines.filter(|engine| &*engine.service == self.service)
    }

    /// Tells whether an engine may get orders.
    pub(super) fn is_used(&self, engine: &Engine) -> bool {
        &*engine.service == self.service && !self.unusable.contains(&engine.id)
    }

    /// Tells whether an engine takes an order now for whatever model is best there.
    pub(super) fn is_open(&self, engine: &Engine) -> bool {
        engine.is_free(self.now) && engine.intended(self.now).is_none()
    }

    /// Returns the engines that hold a model, or will.
    pub(super) fn holders<'b>(
        &'b self,
        census: &'b ServiceCensus,
        model: &str,
    ) -> impl Iterator<Item = &'b Engine> {
        let holders = census.model(model).into_iter();
        self.used(holders.flat_map(Holders::engines))
    }

    /// Returns the engines that have a model's weights at hand.
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

    /// Returns the open engines among which a place for a model is looked for: all in a small site, in a large one those that
    /// have its weights at hand and some others, other ones each time.
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
