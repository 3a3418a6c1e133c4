//! Chooses the next order of the orderer.
//!
//! A site has many models, of which few are busy at a time, and the busy ones change every few
//! seconds. The engines together hold most models but not all. A load from the weight store takes
//! longer than most callers wait; a load from an engine's own disk takes about half a second.
//! Therefore free memory is filled before models are requested, a model that is requested again is
//! loaded where its weights are cached, and the models with the least demand are unloaded to make
//! room for it.
//!
//! Engines may work at different speeds. Models with demand are loaded on fast engines where the other
//! costs are equal.

use crate::desired::{EngineSpec, ModelSpec};
use crate::entry::platform::ModelRef;
use crate::ordering::copy::{LoadTime, ModelCopy};
use crate::ordering::demand_totals::{DemandTotals, ModelDemand};
use crate::ordering::engine::Engine;
use crate::ordering::engine_index::{Holders, ServiceIndex};
use crate::ordering::engine_inventory::EngineInventory;
use crate::ordering::message::Action;
use crate::ordering::store_load_limiter::StoreLoadLimiter;
use crate::prelude::*;

/// The prompt tokens per second that an engine reads for a large model, as stated for the engines.
/// Smaller models are read faster, in inverse proportion to their weights.
const LARGE_MODEL_PROMPT_TOKENS_PER_S: f64 = 38_000.0;
/// The weights of a model that is read at that speed, in megabytes.
const LARGE_MODEL_MB: f64 = 34_000.0;
/// The fraction of an engine's time that a model's prompts may take on each engine that holds it
/// before it gets another copy. Above this fraction, waits grow steeply with random arrivals.
const MAX_PROMPT_SHARE: f64 = 0.35;
/// The fraction of an engine's slots that one model's requests may take on each engine that holds
/// it before it gets another copy. Above this fraction, clustered arrivals find all slots taken.
/// With 24 slots, first events came late from 28 requests at an engine on, and demand keeps growing
/// during a load of a second or more.
const MAX_SLOT_SHARE: f64 = 0.6;
/// The largest fraction of all engines that hold the same model because of demand.
const MAX_COPIES_SHARE: f64 = 0.5;
/// A model is loaded, or gets another copy, only if it was requested within this time.
pub(super) const RECENT_REQUEST_MS: Millis = Millis(2_500);
/// A model with at least this many megabytes of weights, and with enough long and below_target
/// prompts, gets a copy for each kind. Prompts of smaller models are read so fast that streams are
/// seldom late.
const MIN_SEPARATE_MB: f64 = 20_000.0;
/// How long a loaded model is kept at least, because callers return within seconds.
const MIN_RESIDENCY_MS: Millis = Millis(3_000);
/// How long a model must be without requests before it may be unloaded for a requested one.
const MIN_IDLE_MS: Millis = Millis(1_500);
/// The cost of a load on an engine, in prompt tokens per second, for each model on it with adapters
/// in demand. The engine loads no adapters during the load of a model.
const BLOCKED_ADAPTERS_COST: f64 = 2_000.0;
/// The additional cost of a load from the weight store over one from the engine's disk, in prompt
/// tokens per second of the models that are unloaded.
const STORE_LOAD_COST: f64 = 4_000.0;

/// The additional cost of a model's first copy on an engine of another software version than the one
/// that held it last, where interrupted streams of it cannot go on.
const OTHER_VERSION_COST: f64 = 4_000.0;

/// The cost of the unload of a model that is not in the desired state, in prompt tokens per second, for
/// each request that runs on it.
const UNLISTED_REQUEST_COST: f64 = 1_000.0;

/// If the engines' memory is at least this many times the weights of all models, each model is
/// loaded on at least two engines.
const AMPLE_MEMORY_FACTOR: f64 = 16.0;
/// The most models without requests that are considered in one call of [`Planner::next`].
const MAX_UNREQUESTED: usize = 4;

/// An order that the planner wants to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedOrder {
    /// The name of the engine.
    pub engine: Name,
    /// The operation.
    pub action: Action,
    /// The model or adapter to load or unload.
    pub model_ref: ModelRef,
    /// For an unload: the model to load next into the freed memory.
    pub freed_for: Option<Name>,
    /// The reason, written to the log.
    pub why: &'static str,
}

/// The inputs of a plan for one service.
pub struct Planner<'a> {
    /// The current time.
    pub now: Millis,
    /// The service whose engines are planned.
    pub service: &'a str,
    /// The capacity of the service's engines and the models that they may hold.
    pub spec: &'a EngineSpec,
    /// The state of the engines.
    pub inventory: &'a EngineInventory,
    /// The demand of all hosts.
    pub demand: &'a DemandTotals,
    /// Engines that are leaving or cannot be reached.
    pub excluded: &'a IndexSet<Name>,
}

/// A model with its demand and the number of its copies.
#[derive(Clone, Copy)]
pub(super) struct Need<'a> {
    pub(super) model: &'a Name,
    pub(super) demand: ModelDemand,
    /// The number of engines that hold the model or will hold it.
    pub(super) copies: usize,
    /// The number of engines that hold the model now.
    held: usize,
    /// The number of engines that should hold the model.
    pub(super) target: usize,
}

impl Need<'_> {
    /// Returns whether the model has requests.
    fn is_requested(&self) -> bool {
        self.demand.waiting > 0 || self.demand.last_request_at.is_some()
    }
}

/// The needs of all models of the service.
pub(super) type Needs<'a> = IndexMap<&'a Name, Need<'a>>;

impl Planner<'_> {
    /// Returns the order to send next; `None` if there is none now.
    pub fn next(&self, limiter: &mut StoreLoadLimiter) -> Option<PlannedOrder> {
        let index = self.inventory.service_index(self.service)?;
        if let Some(order) = self.requested_adapter_order(index) {
            return Some(order);
        }
        let needs = self.needs(index);
        self.model_order(index, &needs, limiter)
            .or_else(|| self.fill_free_memory(index, &needs, limiter))
            .or_else(|| self.extra_copy_order(index, &needs))
            .or_else(|| self.prefetch_order(index))
    }

    /// Returns the memory that is in use on an engine, in megabytes.
    pub(super) fn used_mb(&self, engine: &Engine) -> f64 {
        engine.used_mb(self.now, self.spec)
    }

    /// Returns whether an engine has free memory for weights of this size.
    pub(super) fn has_room(&self, engine: &Engine, weights_mb: f64) -> bool {
        self.used_mb(engine) + weights_mb <= self.spec.weights_mb
    }

    /// Returns the order for the neediest model with too few copies, if one can be placed. A model
    /// without any copy comes first, then the one with the most waiting requests.
    fn model_order(
        &self,
        index: &ServiceIndex,
        needs: &Needs<'_>,
        limiter: &mut StoreLoadLimiter,
    ) -> Option<PlannedOrder> {
        if let Some(order) = self.continue_reserved(needs, limiter) {
            return Some(order);
        }
        let below_target = needs.values().filter(|need| need.copies < need.target);
        let mut below_target: Vec<Need<'_>> = below_target.copied().collect();
        below_target.sort_by(|a, b| {
            let key = |need: &Need<'_>| (need.copies == 0, need.demand.waiting);
            let by_waiting = key(b).cmp(&key(a));
            by_waiting.then(b.demand.tokens_per_s.total_cmp(&a.demand.tokens_per_s))
        });
        let mut unrequested = 0;
        let mut tried = below_target.into_iter().filter(|need| {
            unrequested += usize::from(!need.is_requested());
            need.is_requested() || unrequested <= MAX_UNREQUESTED
        });
        tried.find_map(|need| self.place_model(index, &need, needs, limiter))
    }

    /// Continues where memory was freed for a model: loads the model, or frees more memory.
    fn continue_reserved(
        &self,
        needs: &Needs<'_>,
        limiter: &mut StoreLoadLimiter,
    ) -> Option<PlannedOrder> {
        let mut reservations = self.inventory.reservations(self.now);
        reservations.find_map(|(engine, model)| {
            let need = Need {
                copies: 0,
                ..*needs.get(model)?
            };
            if !self.is_eligible(engine) || !engine.is_free(self.now) {
                return None;
            }
            let may_use_store = self.may_use_store(&need, limiter);
            self.place_on(&need, needs, std::iter::once(engine), may_use_store)
        })
    }

    /// Returns the demand and the number of copies of each model. Copies on excluded engines do not
    /// count; copies with reserved memory do.
    fn needs(&self, index: &ServiceIndex) -> Needs<'_> {
        let demands = self.demand.model_demands(self.now);
        let excluded: Vec<&Engine> = self.excluded_engines().collect();
        let engines = index.engines() - excluded.len();
        let most = (engines as f64 * MAX_COPIES_SHARE) as usize;
        let least = self.min_copies(engines);
        let models = self.spec.models.iter();
        let need = models.map(|(model, spec)| {
            let demand = demands.get(model).copied().unwrap_or_default();
            let holders = index.model(model);
            let need = Need {
                model,
                demand,
                copies: holders.map_or(0, Holders::copies),
                held: holders.map_or(0, Holders::held),
                target: self.target_copies(spec, &demand, most.max(1)).max(least),
            };
            (model, need)
        });
        let mut needs: Needs<'_> = need.collect();
        for engine in excluded {
            for (model, copy) in &engine.copies {
                if let Some(need) = needs.get_mut(model) {
                    need.copies -= usize::from(*copy != ModelCopy::Unloading);
                    need.held -= usize::from(*copy == ModelCopy::Held);
                }
            }
        }
        for (engine, model) in self.inventory.reservations(self.now) {
            let is_new = !engine.copies.contains_key(model);
            let is_eligible = self.is_eligible(engine);
            if let Some(need) = needs.get_mut(model).filter(|_| is_new && is_eligible) {
                need.copies += 1;
            }
        }
        needs
    }

    /// Returns how many engines should hold a model without requests. If an engine is lost, its
    /// models take the time of a load to return. So where the memory exceeds the weights of all
    /// models many times over, each model is on two engines.
    fn min_copies(&self, engines: usize) -> usize {
        let all_mb: f64 = self.spec.models.values().map(|spec| spec.weights_mb).sum();
        match engines as f64 * self.spec.weights_mb >= all_mb * AMPLE_MEMORY_FACTOR {
            true => 2,
            false => 0,
        }
    }

    /// Returns how many engines should hold a model because of its demand.
    fn target_copies(&self, spec: &ModelSpec, demand: &ModelDemand, most: usize) -> usize {
        let requested_recently = demand
            .last_request_at
            .is_some_and(|at| self.now.since(at) < RECENT_REQUEST_MS);
        if demand.waiting == 0 && !requested_recently {
            return 0;
        }
        let for_prompts =
            (demand.tokens_per_s / prompt_speed(spec) / MAX_PROMPT_SHARE).ceil() as usize;
        let has_separate_copies =
            spec.weights_mb >= MIN_SEPARATE_MB && demand.needs_separate_copies();
        let for_prompt_lengths = 1 + usize::from(has_separate_copies);
        for_prompts
            .max(self.copies_for_slots(demand.running))
            .max(for_prompt_lengths)
            .min(most)
    }

    /// Returns how many engines a model needs so that none of them runs out of slots. `running`
    /// includes the requests that wait for the model itself.
    fn copies_for_slots(&self, running: u32) -> usize {
        let slots = f64::from(self.spec.slots.max(1)) * MAX_SLOT_SHARE;
        (f64::from(running) / slots).ceil() as usize
    }

    /// Chooses the engine for another copy of a model by the least cost: the demand of unloaded
    /// models, cached weights before the weight store, and the engine's other work.
    fn place_model(
        &self,
        index: &ServiceIndex,
        need: &Need<'_>,
        needs: &Needs<'_>,
        limiter: &mut StoreLoadLimiter,
    ) -> Option<PlannedOrder> {
        // Another copy helps only on an engine with free slots.
        let has_slots =
            |engine: &&Engine| need.copies == 0 || self.used_slots(engine) < MAX_SLOT_SHARE;
        let may_use_store = self.may_use_store(need, limiter);
        if may_use_store {
            let engines = self.candidates(index, need.model).filter(has_slots);
            return self.place_on(need, needs, engines, may_use_store);
        }
        let engines = self
            .engines_caching(index, need.model)
            .filter(|engine| self.is_available(engine))
            .filter(has_slots);
        self.place_on(need, needs, engines, may_use_store)
    }

    /// Returns whether a model may be loaded from the weight store now.
    fn may_use_store(&self, need: &Need<'_>, limiter: &mut StoreLoadLimiter) -> bool {
        let (rate, loads) = (self.spec.loads_per_s, self.inventory.store_loads());
        match need.is_requested() {
            true => limiter.admits(self.now, rate, loads),
            false => {
                let has_requests = self.demand.had_requests_within(self.now, RECENT_REQUEST_MS);
                limiter.admits_unrequested(self.now, rate, loads, has_requests)
            }
        }
    }

    /// Returns the fraction of an engine's slots that are taken, according to the hosts' reports.
    fn used_slots(&self, engine: &Engine) -> f64 {
        let running = f64::from(self.demand.running_at(&engine.id));
        running / f64::from(self.spec.slots.max(1))
    }

    /// Returns the order for another copy of a model on the engine with the least cost: the load,
    /// or the first unload that makes room for it.
    fn place_on<'b>(
        &self,
        need: &Need<'_>,
        needs: &Needs<'_>,
        engines: impl Iterator<Item = &'b Engine>,
        may_use_store: bool,
    ) -> Option<PlannedOrder> {
        if !self.inventory.may_load(self.now, need.model) {
            return None;
        }
        let spec = self.spec.models.get(need.model)?;
        let lost_version = match need.copies {
            0 => self.lost_version(need.model),
            _ => None,
        };
        let candidates = engines
            .filter(|engine| !engine.copies.contains_key(need.model))
            .filter(|engine| may_use_store || engine.cached_models.contains(need.model))
            .filter_map(|engine| {
                let added_mb = match engine.may_load_late(self.now, need.model) {
                    true => 0.0,
                    false => spec.weights_mb,
                };
                let missing_mb = self.used_mb(engine) + added_mb - self.spec.weights_mb;
                let (victims, lost_demand) =
                    self.choose_victims(engine, missing_mb, need, needs)?;
                let store_cost = match engine.cached_models.contains(need.model) {
                    true => 0.0,
                    false => STORE_LOAD_COST,
                };
                let prompt_demand = self.prompt_demand_at(engine, needs);
                let version_cost = match lost_version {
                    Some(lost) if self.inventory.version(&engine.id) != Some(lost) => {
                        OTHER_VERSION_COST
                    }
                    Some(_) | None => 0.0,
                };
                let cost = lost_demand
                    + store_cost
                    + prompt_demand
                    + version_cost
                    + self.blocked_adapters_cost(engine)
                    + self.slowness_cost(engine, need, prompt_demand);
                Some((cost, engine, victims))
            });
        let (_, engine, victims) = candidates.min_by(|(a, ..), (b, ..)| a.total_cmp(b))?;
        let model = |model: &Name| ModelRef {
            model: model.clone(),
            adapter: None,
        };
        let engine = engine.id.clone();
        Some(match victims.first() {
            Some(victim) => PlannedOrder {
                engine,
                action: Action::Unload,
                model_ref: model(victim),
                freed_for: Some(need.model.clone()),
                why: "a model that callers ask for needs its memory",
            },
            None => PlannedOrder {
                engine,
                action: Action::Load,
                model_ref: model(need.model),
                freed_for: None,
                why: "callers ask for the model",
            },
        })
    }

    /// Returns the software version of the engine that held a model last and serves no more.
    fn lost_version(&self, model: &Name) -> Option<&Name> {
        let mut lost = self
            .excluded_engines()
            .filter(|engine| engine.copies.get(model) == Some(&ModelCopy::Held));
        match lost.next() {
            Some(engine) => self.inventory.version(&engine.id),
            None => self.inventory.last_version(model),
        }
    }

    /// Chooses the models to unload from an engine, those of the least value first. Models without
    /// a [`Planner::value`] stay. Returns the models and the lost demand in prompt tokens per
    /// second; `None` if they do not free enough memory.
    fn choose_victims(
        &self,
        engine: &Engine,
        missing_mb: f64,
        need: &Need<'_>,
        needs: &Needs<'_>,
    ) -> Option<(Vec<Name>, f64)> {
        if missing_mb <= 0.0 {
            return Some((Vec::new(), 0.0));
        }
        if missing_mb == f64::INFINITY {
            return Some((self.unknown_victims(engine)?, 0.0));
        }
        let held = engine
            .copies
            .iter()
            // The memory of a model that a late order may load again does not become free.
            .filter(|(model, copy)| {
                **copy == ModelCopy::Held && !engine.may_load_late(self.now, model)
            })
            .filter(|(model, _)| !engine.refuses_to_unload(model));
        let mut candidates: Vec<(f64, &Name)> = held
            .filter(|(model, _)| {
                let loaded_at = engine.loaded_at.get(*model);
                loaded_at.is_none_or(|at| self.now.since(*at) >= MIN_RESIDENCY_MS)
            })
            .filter_map(|(model, _)| {
                let value = match needs.get(model) {
                    Some(held) => self.value(engine, held, need)?,
                    None => self.value_of_unlisted(model),
                };
                Some((value, model))
            })
            .collect();
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (mut freed_mb, mut lost_demand, mut victims) = (0.0, 0.0, Vec::new());
        for (value, model) in candidates {
            let adapters = engine.adapters_of(model).count() as f64;
            let size = engine.size_of(model, self.spec);
            freed_mb += size.map_or(0.0, |size| size.weights_mb + adapters * size.adapter_mb);
            lost_demand += value.max(0.0);
            victims.push(model.clone());
            if freed_mb >= missing_mb {
                return Some((victims, lost_demand));
            }
        }
        None
    }

    /// Returns the models to unload before it is known how much memory an engine has: those of unknown
    /// size. None if one of them must stay.
    fn unknown_victims(&self, engine: &Engine) -> Option<Vec<Name>> {
        let unknown = engine.copies_of_unknown_size(self.spec);
        let victims = unknown.map(|(model, copy)| {
            let may_go = *copy == ModelCopy::Held && !engine.refuses_to_unload(model);
            may_go.then(|| model.clone())
        });
        let victims: Vec<Name> = victims.collect::<Option<_>>()?;
        (!victims.is_empty()).then_some(victims)
    }

    /// Returns the value of a copy of a model that is not in the desired state. Without running requests
    /// it is below that of any other. An unload waits for those that run.
    fn value_of_unlisted(&self, model: &Name) -> f64 {
        let demands = self.demand.iter();
        let of_model = demands.filter(|(ask, _)| ask.model == *model);
        match of_model.map(|(_, demand)| demand.running).sum::<u32>() {
            0 => -1.0,
            running => f64::from(running) * UNLISTED_REQUEST_COST,
        }
    }

    /// Returns the value of a model's copy on an engine in prompt tokens per second; `None` if it
    /// must stay.
    fn value(&self, engine: &Engine, held: &Need<'_>, need: &Need<'_>) -> Option<f64> {
        let demand = &held.demand;
        let copies = held.held.max(1);
        let is_idle = demand.waiting == 0
            && demand.running == 0
            && demand
                .last_request_at
                .is_none_or(|at| self.now.since(at) >= MIN_IDLE_MS);
        // A model in use stays, because its unload waits for running requests and the engine
        // refuses requests for it meanwhile. It may go if other engines hold it too, the new model
        // is on no engine, and nothing runs on this engine.
        let is_surplus = copies > 2 && need.copies == 0 && self.demand.running_at(&engine.id) == 0;
        // A copy beyond what the demand needs serves few requests, which other copies can take.
        let exceeds_demand = copies > held.target.max(1) && demand.running as usize <= copies;
        let may_be_unloaded = is_idle || is_surplus || exceeds_demand;
        may_be_unloaded.then(|| demand.tokens_per_s / copies as f64)
    }

    /// Returns the cost of a load on an engine because it delays adapters there. Only models with
    /// an adapter that gets more than 0.05 requests per second count.
    pub(super) fn blocked_adapters_cost(&self, engine: &Engine) -> f64 {
        let in_demand = engine.copies.keys().filter(|model| {
            let demands = self.demand.iter();
            demands
                .filter(|(model_ref, _)| model_ref.adapter.is_some() && model_ref.model == **model)
                .any(|(_, demand)| demand.requests_per_s(self.now) > 0.05)
        });
        in_demand.count() as f64 * BLOCKED_ADAPTERS_COST
    }

    /// Returns the prompt tokens per second that an engine is expected to read for the models on
    /// it.
    pub(super) fn prompt_demand_at(&self, engine: &Engine, needs: &Needs<'_>) -> f64 {
        let needs = engine.copies.keys().filter_map(|model| needs.get(model));
        let shares = needs.map(|need| need.demand.tokens_per_s / need.copies.max(1) as f64);
        shares.sum()
    }

    /// Returns how long the load of a planned order takes, and where the weights come from.
    pub fn load_time(&self, planned: &PlannedOrder) -> LoadTime {
        load_time(
            self.spec,
            self.inventory,
            &planned.engine,
            &planned.model_ref,
        )
    }
}

/// Returns the prompt tokens per second that an engine reads for a model.
pub(super) fn prompt_speed(spec: &ModelSpec) -> f64 {
    LARGE_MODEL_PROMPT_TOKENS_PER_S * LARGE_MODEL_MB / spec.weights_mb.max(1.0)
}

/// Returns how long the load of a model on an engine takes, and where the weights come from. An
/// adapter takes the default, zero.
pub fn load_time(
    spec: &EngineSpec,
    inventory: &EngineInventory,
    engine: &str,
    model_ref: &ModelRef,
) -> LoadTime {
    let (Some(model), None) = (spec.models.get(&model_ref.model), &model_ref.adapter) else {
        return LoadTime::default();
    };
    let is_cached = inventory
        .get(engine)
        .is_some_and(|engine| engine.cached_models.contains(&model_ref.model));
    LoadTime {
        takes_ms: if is_cached {
            model.from_disk_ms
        } else {
            model.load_ms
        },
        from_store: !is_cached,
    }
}
