//! Uses free memory before models are requested.

use crate::entry::platform::ModelRef;
use crate::ordering::engine_index::ServiceIndex;
use crate::ordering::message::Action;
use crate::ordering::planner::{
    Need, Needs, PlannedOrder, Planner, RECENT_REQUEST_MS, prompt_speed,
};
use crate::ordering::store_load_limiter::StoreLoadLimiter;
use crate::prelude::*;

/// The fraction of an engine's time that a model's prompts must take on each engine that holds it
/// before it gets another copy in free memory. Two prompts of some 9,000 tokens that are read in a
/// row delay the streams on the same engine for half a second. At a twentieth of the time, one
/// prompt in fifty coincides with another.
const EXTRA_COPY_PROMPT_SHARE: f64 = 0.05;
/// The most missing models that are considered in one call of [`Planner::next`].
const MAX_MISSING: usize = 64;

impl Planner<'_> {
    /// Loads models that no engine holds into free memory, before they are requested.
    pub(super) fn fill_free_memory(
        &self,
        index: &ServiceIndex,
        needs: &Needs<'_>,
        limiter: &mut StoreLoadLimiter,
    ) -> Option<PlannedOrder> {
        let is_missing = |model: &Name| needs.get(model).is_some_and(|need| need.copies == 0);
        let models = self.spec.models.iter();
        let missing = models.filter(|(model, _)| is_missing(model));
        let has_requests = self.demand.had_requests_within(self.now, RECENT_REQUEST_MS);
        for (model, spec) in missing.take(MAX_MISSING) {
            let candidate = self
                .candidates(index, model)
                .filter(|engine| self.has_room(engine, spec.weights_mb))
                // The engine with the least free memory is used, to keep room for the largest
                // models.
                .max_by(|a, b| self.used_mb(a).total_cmp(&self.used_mb(b)));
            let Some(engine) = candidate else { continue };
            let is_cached = engine.cached_models.contains(model);
            if !is_cached
                && !limiter.admits_unrequested(
                    self.now,
                    self.spec.loads_per_s,
                    self.inventory.store_loads(),
                    has_requests,
                )
            {
                return None;
            }
            return Some(PlannedOrder {
                engine: engine.id.clone(),
                action: Action::Load,
                model_ref: ModelRef {
                    model: model.clone(),
                    adapter: None,
                },
                freed_for: None,
                why: "its memory is free and no engine holds the model",
            });
        }
        None
    }

    /// Gives a busy model another copy where memory is free and its weights are cached. The load
    /// costs one order, and the copy is the first to be unloaded. Prompts that are spread over more
    /// engines coincide less often.
    pub(super) fn extra_copy_order(
        &self,
        index: &ServiceIndex,
        needs: &Needs<'_>,
    ) -> Option<PlannedOrder> {
        let busy = needs.values().filter(|need| {
            let spec = self.spec.models.get(need.model);
            let share = spec.map_or(0.0, |spec| need.demand.tokens_per_s / prompt_speed(spec));
            need.target > 0
                && need.copies > 0
                && share > EXTRA_COPY_PROMPT_SHARE * need.copies as f64
        });
        let mut busy: Vec<&Need<'_>> = busy.collect();
        let tokens_per_copy = |need: &Need<'_>| need.demand.tokens_per_s / need.copies as f64;
        busy.sort_by(|a, b| tokens_per_copy(b).total_cmp(&tokens_per_copy(a)));
        busy.into_iter()
            .find_map(|need| self.place_extra_copy(index, need, needs))
    }

    /// Chooses the engine for another copy of a busy model.
    fn place_extra_copy(
        &self,
        index: &ServiceIndex,
        need: &Need<'_>,
        needs: &Needs<'_>,
    ) -> Option<PlannedOrder> {
        let spec = self.spec.models.get(need.model)?;
        let tokens_per_copy = need.demand.tokens_per_s / need.copies as f64;
        let candidates = self
            .engines_caching(index, need.model)
            .filter(|engine| self.is_available(engine))
            .filter(|engine| !engine.copies.contains_key(need.model))
            .filter(|engine| self.has_room(engine, spec.weights_mb))
            .map(|engine| {
                let prompt_demand = self.prompt_demand_at(engine, needs);
                let cost = prompt_demand + self.blocked_adapters_cost(engine);
                (
                    cost,
                    self.slowness_cost(engine, need, prompt_demand),
                    engine,
                )
            })
            // An engine that already reads as many prompt tokens takes no work off the others.
            .filter(|(cost, ..)| *cost < tokens_per_copy)
            .map(|(cost, slowness_cost, engine)| (cost + slowness_cost, engine));
        let (_, engine) = candidates.min_by(|(a, _), (b, _)| a.total_cmp(b))?;
        Some(PlannedOrder {
            engine: engine.id.clone(),
            action: Action::Load,
            model_ref: ModelRef {
                model: need.model.clone(),
                adapter: None,
            },
            freed_for: None,
            why: "its memory is free and callers ask for the model",
        })
    }
}
