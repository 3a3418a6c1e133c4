//! A fake engine that counts orders as real engines do, accepts an order only after the stated
//! number of others, and panics if it is told to hold more than it can.

use crate::desired::{EngineSpec, ModelSpec};
use crate::entry::platform::ModelRef;
use crate::ordering::message::{Action, EngineReport, Order, OrderAnswer};
use crate::prelude::*;
use crate::upstreams::{HeldModel, Lifetime};

/// Returns the spec of engines with this capacity that may hold models `m0`, `m1` and so on of
/// these sizes.
pub fn spec(capacity_mb: f64, sizes_mb: &[f64]) -> EngineSpec {
    let model = |(n, weights_mb): (usize, &f64)| {
        let model = ModelSpec {
            weights_mb: *weights_mb,
            load_ms: Millis(6_000),
            from_disk_ms: Millis(500),
            adapter_mb: 10.0,
            adapters: Vec::new(),
        };
        (Name::from(format!("m{n}")), model)
    };
    EngineSpec {
        slots: 96,
        kv_tokens: 200_000,
        token_bytes: 0.0,
        link_mbps: 0.0,
        weights_mb: capacity_mb,
        adapter_slots: 3,
        loads_per_s: 50.0,
        models: sizes_mb.iter().enumerate().map(model).collect(),
    }
}

/// Returns the lifetime of an engine that does not report its start.
pub fn unknown_start(id: Name) -> Lifetime {
    Lifetime {
        id,
        born_at: Millis::ZERO,
    }
}

/// A fake engine.
#[derive(Debug)]
pub struct FakeEngine {
    spec: EngineSpec,
    /// The engine's start in Unix time.
    pub born_at: Millis,
    count: u64,
    models: IndexSet<Name>,
    /// The sizes of the copies that were loaded by orders.
    loaded_mb: IndexMap<Name, f64>,
    adapters: IndexSet<ModelRef>,
    /// The adapters that requests use.
    in_use: IndexSet<ModelRef>,
    /// The adapters that are removed once no request uses them.
    leaving: IndexSet<ModelRef>,
    changing: Option<(Order, Millis)>,
    /// The number of model loads that it started.
    pub loads: usize,
}

impl FakeEngine {
    /// Creates an engine that holds some models.
    pub fn new(spec: EngineSpec, models: &[&str]) -> Self {
        Self {
            spec,
            born_at: Millis::ZERO,
            count: 0,
            models: models.iter().map(|model| Name::from(*model)).collect(),
            loaded_mb: IndexMap::new(),
            adapters: IndexSet::new(),
            in_use: IndexSet::new(),
            leaving: IndexSet::new(),
            changing: None,
            loads: 0,
        }
    }

    /// Restarts the engine under the same name. It then holds nothing and has accepted no orders.
    pub fn restart(&mut self, born_at: Millis) {
        let loads = self.loads;
        *self = Self {
            born_at,
            loads,
            ..Self::new(self.spec.clone(), &[])
        };
    }

    /// Answers an order. The engine cannot tell whether the order was meant for its previous start.
    pub fn order(&mut self, now: Millis, order: &Order) -> OrderAnswer {
        self.advance(now);
        if order.after_orders != self.count || self.changing.is_some() {
            return OrderAnswer::Conflict;
        }
        let holds = match &order.ask.adapter {
            Some(_) => self.adapters.contains(&order.ask) && !self.leaving.contains(&order.ask),
            None => self.models.contains(&order.ask.model),
        };
        let is_load = order.action == Action::Load;
        if holds == is_load {
            return OrderAnswer::AlreadyDone;
        }
        if order.ask.adapter.is_some() && is_load && !self.models.contains(&order.ask.model) {
            return OrderAnswer::Invalid;
        }
        self.count += 1;
        match (&order.ask.adapter, order.action) {
            (Some(_), Action::Load) => {
                self.leaving.shift_remove(&order.ask);
                self.adapters.insert(order.ask.clone());
            }
            (Some(_), Action::Unload) if self.in_use.contains(&order.ask) => {
                self.leaving.insert(order.ask.clone());
            }
            (Some(_), Action::Unload) => {
                self.adapters.shift_remove(&order.ask);
                self.check();
                return OrderAnswer::AlreadyDone;
            }
            (None, Action::Load) => {
                self.loads += 1;
                let weights_mb = self.spec.models[&order.ask.model].weights_mb;
                self.loaded_mb.insert(order.ask.model.clone(), weights_mb);
                self.changing = Some((order.clone(), now + Millis(500)));
            }
            (None, Action::Unload) => self.changing = Some((order.clone(), now + Millis(100))),
        }
        self.check();
        OrderAnswer::Accepted
    }

    /// Sets the size that a model has when it is loaded from now on.
    pub fn resize(&mut self, model: &str, weights_mb: f64) {
        for held in &self.models {
            let size = self.spec.models[held].weights_mb;
            self.loaded_mb.entry(held.clone()).or_insert(size);
        }
        self.spec.models[model].weights_mb = weights_mb;
    }

    /// Returns how many orders the engine has accepted since its start.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Begins a request that uses an adapter, if the engine holds it.
    pub fn begin_request(&mut self, ask: &ModelRef) {
        if self.adapters.contains(ask) && !self.leaving.contains(ask) {
            self.in_use.insert(ask.clone());
        }
    }

    /// Ends the requests that use an adapter. One whose unload waited for them is removed, which does
    /// not count as an order.
    pub fn end_requests(&mut self, ask: &ModelRef) {
        self.in_use.shift_remove(ask);
        if self.leaving.shift_remove(ask) {
            self.adapters.shift_remove(ask);
        }
    }

    /// Returns the engine's report.
    pub fn report(&mut self, now: Millis) -> EngineReport {
        self.advance(now);
        let held = |model: &Name| HeldModel {
            name: model.clone(),
            adapters: self
                .adapters
                .iter()
                .filter(|ask| ask.model == *model)
                .filter_map(|ask| ask.adapter.clone())
                .collect(),
        };
        EngineReport {
            born_at: self.born_at,
            order_count: self.count,
            busy: self.changing.is_some(),
            models: self.models.iter().map(held).collect(),
            coming: Vec::new(),
            at_hand: None,
        }
    }

    fn advance(&mut self, now: Millis) {
        if let Some((order, _)) = self.changing.take_if(|(_, at)| now >= *at) {
            match order.action {
                Action::Load => {
                    self.models.insert(order.ask.model.clone());
                }
                Action::Unload => {
                    self.models.shift_remove(&order.ask.model);
                    for adapters in [&mut self.adapters, &mut self.in_use, &mut self.leaving] {
                        adapters.retain(|ask| ask.model != order.ask.model);
                    }
                }
            }
        }
    }

    fn check(&self) {
        let mb = |model: &Name| match self.loaded_mb.get(model) {
            Some(loaded_mb) => *loaded_mb,
            None => self.spec.models[model].weights_mb,
        };
        let coming = self
            .changing
            .iter()
            .filter(|(order, _)| order.action == Action::Load);
        let coming: f64 = coming.map(|(order, _)| mb(&order.ask.model)).sum();
        let models: f64 = self.models.iter().map(mb).sum();
        let adapters: f64 = self
            .adapters
            .iter()
            .map(|ask| self.spec.models[&ask.model].adapter_mb)
            .sum();
        assert!(
            models + coming + adapters <= self.spec.weights_mb,
            "more weights than memory"
        );
        // An adapter whose unload was accepted no longer takes a slot.
        let slots = self.adapters.difference(&self.leaving).count();
        assert!(
            slots <= self.spec.adapter_slots as usize,
            "more adapters than places"
        );
    }
}
