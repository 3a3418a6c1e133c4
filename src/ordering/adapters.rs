//! Chooses which adapters engines load and which they unload.
//!
//! A few busy models may have many adapters. An engine has slots for some of them and loads one in
//! a few milliseconds while its callers wait. Only an orderer can request that, and a site may be
//! without an orderer for seconds.

use crate::entry::platform::ModelAsk;
use crate::ordering::census::ServiceCensus;
use crate::ordering::message::Action;
use crate::ordering::planner::{Planned, Planner};
use crate::prelude::*;
use crate::routing::roles::short_copies;

/// The most adapters that are prefetched concurrently over all engines. This is half of what the
/// smallest weight store fetches at full speed, so that adapters that callers wait for are not
/// slowed.
const AHEAD_AT_ONCE: usize = 4;
/// Adapter slots of each engine that prefetching leaves free for adapters that callers wait for.
const PLACES_KEPT_FREE: usize = 1;

/// The number of excluded engines that hold each adapter.
#[derive(Default)]
struct UnusedAdapters<'a>(IndexMap<&'a ModelAsk, usize>);

impl UnusedAdapters<'_> {
    /// Returns whether an engine that is not excluded has an adapter or is loading it.
    fn is_held_elsewhere(&self, census: &ServiceCensus, ask: &ModelAsk) -> bool {
        let unused = self.0.get(ask).copied().unwrap_or_default();
        census.adapter(ask) > unused
    }
}

impl Planner<'_> {
    /// Loads an adapter that callers wait for on an engine that holds its model. If all slots are
    /// taken, the least recently requested adapter is unloaded first.
    pub(super) fn adapter_order(&self, census: &ServiceCensus) -> Option<Planned> {
        let mut waiting: Vec<_> = self
            .book
            .iter()
            .filter(|(ask, asked)| ask.adapter.is_some() && asked.waiting > 0)
            .collect();
        if waiting.is_empty() {
            return None;
        }
        let unused = self.unused_adapters();
        waiting.retain(|(ask, _)| !unused.is_held_elsewhere(census, ask));
        waiting.sort_by_key(|(_, asked)| std::cmp::Reverse(asked.waiting));
        let separate = self.book.separate(self.now);
        waiting
            .into_iter()
            .find_map(|(ask, _)| self.place_adapter(census, ask, &separate))
    }

    fn unused_adapters(&self) -> UnusedAdapters<'_> {
        let mut unused = UnusedAdapters::default();
        for ask in self
            .unused_engines()
            .flat_map(|engine| engine.adapters.keys())
        {
            *unused.0.entry(ask).or_default() += 1;
        }
        unused
    }

    /// Chooses the engine for one adapter. `separate` are the models that use separate copies for
    /// long and for short prompts.
    fn place_adapter(
        &self,
        census: &ServiceCensus,
        ask: &ModelAsk,
        separate: &[Name],
    ) -> Option<Planned> {
        let spec = self.spec.models.get(&ask.model)?;
        let places = self.spec.adapter_slots as usize;
        let holders = || {
            self.holders(census, &ask.model)
                .filter(|engine| engine.holds_model(&ask.model))
        };
        let holding = || holders().filter(|engine| engine.is_free(self.now));
        let for_short = match separate.contains(&ask.model) {
            true => short_copies(&ask.model, holders().map(|engine| &engine.id)),
            false => Vec::new(),
        };
        let with_place = holding()
            .filter(|engine| engine.adapter_places(self.now) < places)
            .filter(|engine| self.has_room(engine, spec.adapter_mb))
            // Most requests for adapters have short prompts.
            .min_by_key(|engine| (!for_short.contains(&&engine.id), engine.adapters.len()));
        if let Some(engine) = with_place {
            return Some(Planned {
                engine: engine.id.clone(),
                action: Action::Load,
                ask: ask.clone(),
                makes_way_for: None,
                why: "callers wait for the adapter",
            });
        }
        let victims = holding().filter_map(|engine| {
            let unused = engine
                .adapters
                .iter()
                .filter(|(_, ready_at)| **ready_at != Millis::NEVER);
            let unused = unused.map(|(other, _)| (other, self.book.asked(other)));
            let unused = unused.filter(|(_, asked)| asked.running == 0 && asked.waiting == 0);
            let oldest = unused.min_by_key(|(_, asked)| asked.last_at)?;
            Some((oldest.1.last_at, engine, oldest.0))
        });
        let (_, engine, victim) = victims.min_by_key(|(last_at, ..)| *last_at)?;
        Some(Planned {
            engine: engine.id.clone(),
            action: Action::Unload,
            ask: victim.clone(),
            makes_way_for: None,
            why: "another adapter needs its place",
        })
    }

    /// Loads adapters that no engine holds into free slots before they are requested, the most
    /// requested ones first. An adapter that is loaded can be used without an orderer, which a site
    /// may lack for seconds.
    pub(super) fn adapter_ahead(&self, census: &ServiceCensus) -> Option<Planned> {
        let models = self.spec.models.iter();
        let missing = models.flat_map(|(model, spec)| {
            spec.adapters.iter().map(|adapter| ModelAsk {
                model: model.clone(),
                adapter: Some(adapter.clone()),
            })
        });
        let unused = self.unused_adapters();
        let mut missing: Vec<(f64, ModelAsk)> = missing
            .filter(|ask| !unused.is_held_elsewhere(census, ask))
            .map(|ask| (self.book.asked(&ask).per_s(self.now), ask))
            .collect();
        if missing.is_empty() {
            return None;
        }
        let unsettled = self.ledger.unsettled();
        let unsettled = unsettled.filter(|engine| self.is_used(engine));
        let adapters = unsettled.flat_map(|engine| engine.adapters.values());
        let on_their_way = adapters.filter(|ready_at| **ready_at > self.now);
        if on_their_way.count() >= AHEAD_AT_ONCE {
            return None;
        }
        missing.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        missing
            .into_iter()
            .find_map(|(_, ask)| self.place_ahead(census, ask))
    }

    fn place_ahead(&self, census: &ServiceCensus, ask: ModelAsk) -> Option<Planned> {
        let adapter_mb = self.spec.models.get(&ask.model)?.adapter_mb;
        let places = (self.spec.adapter_slots as usize).saturating_sub(PLACES_KEPT_FREE);
        let engine = self
            .holders(census, &ask.model)
            .filter(|engine| engine.is_free(self.now) && engine.holds_model(&ask.model))
            .filter(|engine| engine.adapter_places(self.now) < places)
            .filter(|engine| self.has_room(engine, adapter_mb))
            .min_by_key(|engine| engine.adapters.len())?;
        Some(Planned {
            engine: engine.id.clone(),
            action: Action::Load,
            ask,
            makes_way_for: None,
            why: "a place for adapters is free and no engine holds this one",
        })
    }
}
