//! Which adapters engines are told to bring, and which make way.
//!
//! Answers the pattern of many adapters of a few busy models: an engine has places for some, brings one in a few
//! milliseconds, and callers wait for it; but only an orderer brings it, and a site may lack one for seconds.

use crate::entry::platform::ModelAsk;
use crate::ordering::census::ServiceCensus;
use crate::ordering::message::Action;
use crate::ordering::planner::{Planned, Planner};
use crate::prelude::*;
use crate::routing::roles::short_prompt_copies;

/// Adapters that are brought ahead at once, over all engines: half of what the smallest weight store fetches at full
/// speed, so that those that callers wait for are not slowed.
const AHEAD_AT_ONCE: usize = 4;
/// Places of each engine that are kept for adapters that callers wait for.
const PLACES_KEPT_FREE: usize = 1;

/// On how many engines that are not to be used each adapter is.
#[derive(Default)]
struct UnusedAdapters<'a>(IndexMap<&'a ModelAsk, usize>);

impl UnusedAdapters<'_> {
    /// Tells whether an engine that is to be used has an adapter, or is bringing it.
    fn is_held_elsewhere(&self, census: &ServiceCensus, ask: &ModelAsk) -> bool {
        let unused = self.0.get(ask).copied().unwrap_or_default();
        census.adapter(ask) > unused
    }
}

impl Planner<'_> {
    /// Brings an adapter that callers wait for to an engine with its model; when the engine's places are taken, the one
    /// that was asked for longest ago makes way.
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

    /// Places one adapter; `separate` are the models whose copies are kept apart for long and for short prompts.
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
            true => short_prompt_copies(&ask.model, holders().map(|engine| &engine.id)),
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

    /// Fills free places with adapters that no engine holds, before anyone asks for them, those asked for most first: an
    /// adapter that is there needs no orderer, which a site may lack for seconds.
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
