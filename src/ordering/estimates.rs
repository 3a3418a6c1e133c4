//! Predicts when a model or adapter that callers wait for will be ready.
//!
//! Callers that cannot be served in time are refused immediately and told when to retry. The
//! prediction therefore includes the queue at the weight store, loads that slow each other, and
//! loads that take longer than stated.

use crate::entry::platform::ModelRef;
use crate::ordering::copy::ModelCopy;
use crate::ordering::engine::Engine;
use crate::ordering::engine_index::ServiceIndex;
use crate::ordering::planner::Planner;
use crate::prelude::*;

/// The time from the decision to load an adapter until it can run: the order, the fetch and the
/// notification of hosts.
const ADAPTER_READY_MS: Millis = Millis(30);
/// An overdue load is expected to take its time so far divided by this in addition. A load that
/// waits for others has no predictable end, and callers are told to retry then.
const OVERDUE_DIVISOR: u64 = 4;
/// The time until an engine that unloads a model accepts orders again: the unload and its report.
const UNLOAD_AND_REPORT_MS: Millis = Millis(550);
/// The time after a load from memory or disk until the report shows its end.
const REPORT_LAG_MS: Millis = Millis(250);

/// The most engines that are looked at to tell whether all wait for a former holder's orders.
const MAX_WAITING_ENGINES: usize = 64;

/// What the predictions assume about the orderer and the weight store.
#[derive(Clone, Copy, Debug)]
pub struct OrderTiming {
    /// How many concurrent loads the weight store serves at full speed.
    pub store_loads_at_once: usize,
    /// How long until orders may be sent. A new orderer waits until its predecessor's orders can no
    /// longer take effect.
    pub orders_in_ms: Millis,
}

/// Models that callers wait for and that no engine holds or will hold, with the number of waiting
/// requests.
type LoadQueue<'a> = IndexMap<&'a Name, u32>;

impl Planner<'_> {
    /// Returns the expected time until each model or adapter that callers wait for is ready. Those
    /// without a prediction are left out.
    pub fn ready_in_ms(&self, timing: OrderTiming) -> Vec<(ModelRef, Millis)> {
        let Some(index) = self.inventory.service_index(self.service) else {
            return Vec::new();
        };
        let requested = || {
            let waiting = self.demand.iter().filter(|(_, demand)| demand.waiting > 0);
            waiting.filter(|(model_ref, _)| self.spec.models.contains_key(&model_ref.model))
        };
        let mut queue = LoadQueue::new();
        for (model_ref, demand) in requested() {
            *queue.entry(&model_ref.model).or_default() += demand.waiting;
        }
        queue.retain(|model, _| !self.will_be_held(index, model));
        requested()
            .filter_map(|(model_ref, _)| {
                Some((
                    model_ref.clone(),
                    self.ready_in(index, model_ref, timing, &queue)?,
                ))
            })
            .collect()
    }

    /// Returns whether a model is on an engine, is being loaded, or has memory reserved.
    fn will_be_held(&self, index: &ServiceIndex, model: &str) -> bool {
        let mut reservations = self.inventory.reservations(self.now);
        self.holders(index, model).next().is_some()
            || reservations
                .any(|(engine, reserved_for)| self.is_eligible(engine) && &**reserved_for == model)
    }

    /// Returns how long until a model or adapter is ready; `None` if that is unknown.
    fn ready_in(
        &self,
        index: &ServiceIndex,
        model_ref: &ModelRef,
        timing: OrderTiming,
        queue: &LoadQueue<'_>,
    ) -> Option<Millis> {
        let max_store_loads = timing.store_loads_at_once;
        let adapter_ms = match &model_ref.adapter {
            Some(_) => ADAPTER_READY_MS.max(timing.orders_in_ms),
            None => Millis::ZERO,
        };
        let model_in = |engine: &Engine| match engine.copies.get(&model_ref.model)? {
            ModelCopy::Held if engine.is_busy() && model_ref.adapter.is_some() => {
                Some(self.free_in_ms(engine, max_store_loads))
            }
            ModelCopy::Held => Some(Millis::ZERO),
            copy => self.remaining_load_ms(&model_ref.model, copy, max_store_loads),
        };
        let soonest = self
            .holders(index, &model_ref.model)
            .filter_map(model_in)
            .min();
        let model_ms = match soonest {
            Some(in_ms) => in_ms,
            // An engine that has not reported yet may hold the model.
            None if self.has_unreported(index) => return None,
            None => {
                timing.orders_in_ms
                    + self.new_load_ms(index, &model_ref.model, max_store_loads, queue)
            }
        };
        Some(model_ms + adapter_ms)
    }

    /// Returns whether any engine that is not excluded has not reported yet.
    fn has_unreported(&self, index: &ServiceIndex) -> bool {
        let excluded = self.excluded_engines().filter(|engine| !engine.is_known);
        index.unreported() > excluded.count()
    }

    /// Returns the remaining time of a load; `None` if the copy is not being loaded or its order
    /// may not have taken effect. Loads from the weight store beyond the number that it serves at
    /// full speed slow each other in proportion. A load that is overdue nevertheless is expected to
    /// take a quarter of its time so far in addition.
    fn remaining_load_ms(
        &self,
        model: &str,
        copy: &ModelCopy,
        store_loads_at_once: usize,
    ) -> Option<Millis> {
        let ModelCopy::Loading {
            since,
            ready_at,
            from_store,
            concurrent_loads,
        } = *copy
        else {
            return None;
        };
        if ready_at == Millis::NEVER {
            return None;
        }
        let slowed_by = (concurrent_loads as f64 / store_loads_at_once.max(1) as f64).max(1.0);
        let stated_ms = self.spec.models.get(model).map(|spec| spec.load_ms);
        let ready_at = match stated_ms {
            Some(stated_ms) if from_store => {
                since + Millis((stated_ms.0 as f64 * slowed_by) as u64)
            }
            _ => ready_at,
        };
        let left_ms = match ready_at > self.now {
            true => ready_at - self.now,
            false => Millis(self.now.since(since).0 / OVERDUE_DIVISOR),
        };
        Some(left_ms + REPORT_LAG_MS)
    }

    /// Returns how long until an engine accepts orders again.
    fn free_in_ms(&self, engine: &Engine, store_loads_at_once: usize) -> Millis {
        let ends = engine
            .copies
            .iter()
            .filter_map(|(model, copy)| self.remaining_load_ms(model, copy, store_loads_at_once));
        ends.max().unwrap_or(UNLOAD_AND_REPORT_MS)
    }

    /// Returns the time until a load that has not started will be done, including the wait at the
    /// weight store.
    fn new_load_ms(
        &self,
        index: &ServiceIndex,
        model: &Name,
        store_loads_at_once: usize,
        queue: &LoadQueue<'_>,
    ) -> Millis {
        let Some(spec) = self.spec.models.get(model) else {
            return Millis::NEVER;
        };
        let is_cached = self
            .engines_caching(index, model)
            .any(|engine| !engine.is_busy());
        let load_ms = match is_cached {
            true => spec.from_disk_ms + REPORT_LAG_MS + REPORT_LAG_MS,
            false => {
                let turn_ms = self.store_wait_ms(model, spec.load_ms, store_loads_at_once, queue);
                turn_ms + spec.load_ms + REPORT_LAG_MS
            }
        };
        self.former_orders_ms() + load_ms
    }

    /// Returns how long all engines wait for a former holder's orders to earlier starts.
    fn former_orders_ms(&self) -> Millis {
        let Some(until) = self.inventory.former_orders_until(self.now) else {
            return Millis::ZERO;
        };
        let mut engines = self.inventory.window(0, MAX_WAITING_ENGINES);
        let all_wait = engines.all(|engine| !self.is_eligible(engine) || engine.waits(self.now));
        match all_wait {
            true => until.since(self.now),
            false => Millis::ZERO,
        }
    }

    /// Returns how long until a load may start at the weight store: a running load must end, and
    /// models with more waiting requests are loaded first.
    fn store_wait_ms(
        &self,
        model: &Name,
        load_ms: Millis,
        store_loads_at_once: usize,
        queue: &LoadQueue<'_>,
    ) -> Millis {
        let loading = self.inventory.loading();
        let mut ends: Vec<Millis> = loading
            .filter(|engine| self.is_eligible(engine))
            .flat_map(|engine| engine.copies.iter())
            .filter(|(_, copy)| copy.is_loading_from_store())
            .filter_map(|(other, copy)| self.remaining_load_ms(other, copy, store_loads_at_once))
            .collect();
        ends.sort_unstable();
        let own_waiting = queue.get(model).copied().unwrap_or_default();
        let ahead = queue
            .values()
            .filter(|waiting| **waiting > own_waiting)
            .count();
        let max_store_loads = store_loads_at_once.max(1);
        let free = max_store_loads.saturating_sub(ends.len());
        if ahead < free {
            return Millis::ZERO;
        }
        let position = ahead - free;
        let first_ms = ends.first().copied().unwrap_or(load_ms);
        first_ms + Millis(load_ms.0 * (position / max_store_loads) as u64)
    }
}
