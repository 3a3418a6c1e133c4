//! Tests of the planner and its estimates.

mod adapters;
mod copies;
mod failed_loads;
mod memory;
mod slowness;
mod waits;

use super::fake_engine::{spec, unknown_start};
use crate::desired::EngineSpec;
use crate::entry::platform::ModelRef;
use crate::ordering::copy::LoadTime;
use crate::ordering::demand::RequestCounts;
use crate::ordering::demand_totals::DemandTotals;
use crate::ordering::engine_inventory::EngineInventory;
use crate::ordering::estimates::OrderTiming;
use crate::ordering::host_reports::HostReport;
use crate::ordering::message::{Action, EngineReport, OrderAnswer};
use crate::ordering::planner::{PlannedOrder, Planner, load_time};
use crate::ordering::store_load_limiter::StoreLoadLimiter;
use crate::prelude::*;
use crate::routing::pick::UpstreamLoad;
use crate::upstreams::{HeldModel, Lifetime};

const NOW: Millis = Millis(1_000_000);
/// An orderer that may send orders, and a weight store that serves one load at a time.
const TIMING: OrderTiming = OrderTiming {
    store_loads_at_once: 1,
    orders_in_ms: Millis::ZERO,
};

fn model(name: &str) -> ModelRef {
    ModelRef {
        model: name.into(),
        adapter: None,
    }
}

fn adapter(name: &str, adapter: &str) -> ModelRef {
    ModelRef {
        model: name.into(),
        adapter: Some(adapter.into()),
    }
}

/// A site of engines `e0`, `e1` and so on that hold the given models.
struct Site {
    spec: EngineSpec,
    inventory: EngineInventory,
    demand: DemandTotals,
    limiter: StoreLoadLimiter,
}

impl Site {
    fn new(spec: EngineSpec, engines: &[&[&str]]) -> Self {
        let mut inventory = EngineInventory::default();
        let id = |n: usize| Name::from(format!("e{n}"));
        inventory.set_engines(
            NOW,
            (0..engines.len()).map(|n| (unknown_start(id(n)), Name::from("s"))),
        );
        for (n, models) in engines.iter().enumerate() {
            let held = |name: &&str| HeldModel {
                name: Name::from(*name),
                adapters: Vec::new(),
            };
            let report = EngineReport {
                models: models.iter().map(held).collect(),
                ..EngineReport::default()
            };
            inventory.record_report(NOW, &id(n), Some(report));
        }
        Self {
            spec,
            inventory,
            demand: DemandTotals::default(),
            limiter: StoreLoadLimiter::new(Millis(0), None),
        }
    }

    /// Reports for an engine without models that it caches a model's weights on disk.
    fn set_cached(&mut self, engine: usize, model: &str) {
        let report = EngineReport {
            at_hand: Some(vec![model.into()]),
            ..EngineReport::default()
        };
        let id = Name::from(format!("e{engine}"));
        self.inventory.record_report(NOW, &id, Some(report));
    }

    fn report(
        &mut self,
        host: u64,
        at: Millis,
        demand: Vec<(ModelRef, RequestCounts)>,
        work: Vec<(Name, UpstreamLoad)>,
    ) {
        let report = HostReport {
            demand,
            work,
            ..HostReport::default()
        };
        self.demand.record(at, host, report);
    }

    fn request(&mut self, host: u64, at: Millis, counts: &[(ModelRef, RequestCounts)]) {
        self.report(host, at, counts.to_vec(), Vec::new());
    }

    fn next(&mut self, now: Millis) -> Option<PlannedOrder> {
        let excluded = IndexSet::new();
        let planner = planner(now, &self.spec, &self.inventory, &self.demand, &excluded);
        planner.next(&mut self.limiter)
    }

    fn ready_in_ms(&self, now: Millis, timing: OrderTiming) -> Vec<(ModelRef, Millis)> {
        let excluded = IndexSet::new();
        planner(now, &self.spec, &self.inventory, &self.demand, &excluded).ready_in_ms(timing)
    }

    /// Sends planned orders until there are none. The engines accept every order and do not finish
    /// any.
    fn plan_all(&mut self) -> Vec<PlannedOrder> {
        let mut all = Vec::new();
        while let Some(planned) = self.next(NOW) {
            let PlannedOrder {
                engine,
                action,
                model_ref,
                freed_for,
                ..
            } = planned.clone();
            let order = self
                .inventory
                .begin(NOW, &engine, action, model_ref, freed_for)
                .expect("a known engine");
            self.inventory.take_due_orders(NOW);
            let load = LoadTime {
                takes_ms: Millis(6_000),
                from_store: true,
            };
            self.inventory
                .record_answer(NOW, &engine, &order, OrderAnswer::Accepted, load);
            all.push(planned);
            assert!(all.len() < 100, "the planner did not stop");
        }
        all
    }
}

fn planner<'a>(
    now: Millis,
    spec: &'a EngineSpec,
    inventory: &'a EngineInventory,
    demand: &'a DemandTotals,
    excluded: &'a IndexSet<Name>,
) -> Planner<'a> {
    Planner {
        now,
        service: "s",
        spec,
        inventory,
        demand,
        excluded,
    }
}

fn waiting(requests: u32) -> RequestCounts {
    RequestCounts {
        asked: requests,
        long: 0,
        waiting: requests,
        running: 0,
        tokens: u64::from(requests) * 1_000,
    }
}
