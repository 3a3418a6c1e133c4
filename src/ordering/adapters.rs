//! Chooses which adapters engines load and which they unload.
//!
//! A few busy models may have many adapters. An engine has slots for some of them and loads one in
//! a few milliseconds while its callers wait. Only an orderer can request that, and a site may be
//! without an orderer for seconds.

use crate::entry::platform::ModelRef;
use crate::ordering::engine_index::ServiceIndex;
use crate::ordering::message::Action;
use crate::ordering::planner::{PlannedOrder, Planner};
use crate::prelude::*;
use crate::routing::roles::short_prompt_copies;

/// The most adapters that are prefetched concurrently over all engines. This is half of what the
/// smallest weight store fetches at full speed, so that adapters that callers wait for are not
/// slowed.
const MAX_CONCURRENT_PREFETCHES: usize = 4;
/// Adapter slots of each engine that prefetching leaves free for adapters that callers wait for.
const RESERVED_SLOTS: usize = 1;

/// The number of excluded engines that hold each adapter.
#[derive(Default)]
struct ExcludedAdapters<'a>(IndexMap<&'a ModelRef, usize>);

impl ExcludedAdapters<'_> {
    /// Returns whether an engine that is not excluded has an adapter or is loading it.
    fn is_held_elsewhere(&self, index: &ServiceIndex, model_ref: &ModelRef) -> bool {
        let excluded = self.0.get(model_ref).copied().unwrap_or_default();
        index.adapter(model_ref) > excluded
    }
}

impl Planner<'_> {
    /// Loads an adapter that callers wait for on an engine that holds its model. If all slots are
    /// taken, the least recently requested adapter is unloaded first.
    pub(super) fn requested_adapter_order(&self, index: &ServiceIndex) -> Option<PlannedOrder> {
        let mut waiting: Vec<_> = self
            .demand
            .iter()
            .filter(|(model_ref, demand)| model_ref.adapter.is_some() && demand.waiting > 0)
            .collect();
        if waiting.is_empty() {
            return None;
        }
        let excluded = self.excluded_adapters();
        waiting.retain(|(model_ref, _)| !excluded.is_held_elsewhere(index, model_ref));
        waiting.sort_by_key(|(_, demand)| std::cmp::Reverse(demand.waiting));
        let separate = self.demand.split_models(self.now);
        waiting
            .into_iter()
            .find_map(|(model_ref, _)| self.place_adapter(index, model_ref, &separate))
    }

    /// Counts the adapters on the excluded engines.
    fn excluded_adapters(&self) -> ExcludedAdapters<'_> {
        let mut excluded = ExcludedAdapters::default();
        for model_ref in self
            .excluded_engines()
            .flat_map(|engine| engine.adapters.keys())
        {
            *excluded.0.entry(model_ref).or_default() += 1;
        }
        excluded
    }

    /// Chooses the engine for one adapter. `separate` are the models that use separate copies for
    /// long and for short prompts.
    fn place_adapter(
        &self,
        index: &ServiceIndex,
        model_ref: &ModelRef,
        separate: &[Name],
    ) -> Option<PlannedOrder> {
        let spec = self.spec.models.get(&model_ref.model)?;
        let slots = self.spec.adapter_slots as usize;
        let holders = || {
            self.holders(index, &model_ref.model)
                .filter(|engine| engine.holds_model(&model_ref.model))
        };
        let holding = || holders().filter(|engine| engine.is_free(self.now));
        let for_short = match separate.contains(&model_ref.model) {
            true => short_prompt_copies(&model_ref.model, holders().map(|engine| &engine.id)),
            false => Vec::new(),
        };
        let with_free_slot = holding()
            .filter(|engine| engine.used_adapter_slots(self.now) < slots)
            .filter(|engine| self.has_room(engine, spec.adapter_mb))
            // Most requests for adapters have short prompts.
            .min_by_key(|engine| (!for_short.contains(&&engine.id), engine.adapters.len()));
        if let Some(engine) = with_free_slot {
            return Some(PlannedOrder {
                engine: engine.id.clone(),
                action: Action::Load,
                model_ref: model_ref.clone(),
                freed_for: None,
                why: "callers wait for the adapter",
            });
        }
        let candidates = holding().filter_map(|engine| {
            let idle = engine.adapters.iter().filter(|(other, ready_at)| {
                **ready_at != Millis::NEVER && !engine.refused_unloads.contains(*other)
            });
            let idle = idle.map(|(other, _)| (other, self.demand.demand_for(other)));
            let idle = idle.filter(|(_, demand)| demand.running == 0 && demand.waiting == 0);
            let least_recent = idle.min_by_key(|(_, demand)| demand.last_request_at)?;
            Some((least_recent.1.last_request_at, engine, least_recent.0))
        });
        let (_, engine, least_recent) =
            candidates.min_by_key(|(last_request_at, ..)| *last_request_at)?;
        Some(PlannedOrder {
            engine: engine.id.clone(),
            action: Action::Unload,
            model_ref: least_recent.clone(),
            freed_for: None,
            why: "another adapter needs its place",
        })
    }

    /// Loads adapters that no engine holds into free slots before they are requested, the most
    /// requested ones first. An adapter that is loaded can be used without an orderer, which a site
    /// may lack for seconds.
    pub(super) fn prefetch_order(&self, index: &ServiceIndex) -> Option<PlannedOrder> {
        let models = self.spec.models.iter();
        let missing = models.flat_map(|(model, spec)| {
            spec.adapters.iter().map(|adapter| ModelRef {
                model: model.clone(),
                adapter: Some(adapter.clone()),
            })
        });
        let excluded = self.excluded_adapters();
        let mut missing: Vec<(f64, ModelRef)> = missing
            .filter(|model_ref| !excluded.is_held_elsewhere(index, model_ref))
            .map(|model_ref| {
                (
                    self.demand.demand_for(&model_ref).requests_per_s(self.now),
                    model_ref,
                )
            })
            .collect();
        if missing.is_empty() {
            return None;
        }
        let recently_changed = self.inventory.recently_changed();
        let recently_changed = recently_changed.filter(|engine| self.is_eligible(engine));
        let adapters = recently_changed.flat_map(|engine| engine.adapters.values());
        let loading = adapters.filter(|ready_at| **ready_at > self.now);
        if loading.count() >= MAX_CONCURRENT_PREFETCHES {
            return None;
        }
        missing.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        missing
            .into_iter()
            .find_map(|(_, model_ref)| self.place_prefetch(index, model_ref))
    }

    /// Chooses the engine that prefetches one adapter.
    fn place_prefetch(&self, index: &ServiceIndex, model_ref: ModelRef) -> Option<PlannedOrder> {
        let adapter_mb = self.spec.models.get(&model_ref.model)?.adapter_mb;
        let slots = (self.spec.adapter_slots as usize).saturating_sub(RESERVED_SLOTS);
        let engine = self
            .holders(index, &model_ref.model)
            .filter(|engine| engine.is_free(self.now) && engine.holds_model(&model_ref.model))
            .filter(|engine| engine.used_adapter_slots(self.now) < slots)
            .filter(|engine| self.has_room(engine, adapter_mb))
            .min_by_key(|engine| engine.adapters.len())?;
        Some(PlannedOrder {
            engine: engine.id.clone(),
            action: Action::Load,
            model_ref,
            freed_for: None,
            why: "a place for adapters is free and no engine holds this one",
        })
    }
}
