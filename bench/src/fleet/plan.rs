//! What the orderer's plan looks at, and how long it takes.

use crate::fleet::world::{SERVICE, World, engine_id, model};
use mangovale::entry::platform::ModelRef;
use mangovale::ordering::copy::LoadTime;
use mangovale::ordering::demand::RequestCounts;
use mangovale::ordering::demand_totals::DemandTotals;
use mangovale::ordering::engine_inventory::EngineInventory;
use mangovale::ordering::host_reports::HostReport;
use mangovale::ordering::message::{EngineReport, OrderAnswer};
use mangovale::ordering::planner::Planner;
use mangovale::ordering::store_load_limiter::StoreLoadLimiter;
use mangovale::prelude::*;
use serde::Serialize;
use std::time::Instant;

const NOW: Millis = Millis(1_000_000);
/// Models that callers wait for at once.
const WAITED_FOR: usize = 8;
/// How often a question is repeated to be timed.
const REPEATS: u32 = 20;

/// The plan of a site in which every model is loaded, and then some that few engines hold are lost.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Plan {
    /// Engines looked at by a question that finds nothing to order.
    pub idle_looks: u64,
    /// Its time in microseconds.
    pub idle_us: f64,
    /// Engines looked at for each order, when callers wait for models that no engine holds.
    pub order_looks: f64,
    /// Its time in microseconds.
    pub order_us: f64,
    /// How many orders were made.
    pub orders: usize,
}

struct Site<'a> {
    world: &'a World,
    ledger: EngineInventory,
    book: DemandTotals,
    ceiling: StoreLoadLimiter,
}

/// Measures the plan.
pub fn measure(world: &World) -> Plan {
    let mut site = Site::new(world);
    let before = site.ledger.engines_visited();
    site.next();
    let idle_looks = site.ledger.engines_visited() - before;
    let began = Instant::now();
    (0..REPEATS).for_each(|_| drop(site.next()));
    let idle_us = began.elapsed().as_secs_f64() * 1e6 / f64::from(REPEATS);
    site.lose_models();
    let before = site.ledger.engines_visited();
    let began = Instant::now();
    let orders = site.order_all();
    let took_us = began.elapsed().as_secs_f64() * 1e6;
    let each = |sum: f64| sum / orders.max(1) as f64;
    Plan {
        idle_looks,
        idle_us,
        order_looks: each((site.ledger.engines_visited() - before) as f64),
        order_us: each(took_us),
        orders,
    }
}

impl<'a> Site<'a> {
    fn new(world: &'a World) -> Self {
        let mut ledger = EngineInventory::default();
        ledger.set_engines(NOW, world.engines());
        for engine in world.upstreams.iter() {
            let report = EngineReport {
                born_at: engine.entry.born_at,
                models: engine.entry.models.clone(),
                ..EngineReport::default()
            };
            ledger.record_report(NOW, &engine.entry.id, Some(report));
        }
        Self {
            world,
            ledger,
            book: DemandTotals::default(),
            ceiling: StoreLoadLimiter::new(Millis::ZERO, Some(WAITED_FOR)),
        }
    }

    fn next(&mut self) -> Option<mangovale::ordering::planner::PlannedOrder> {
        let unusable = IndexSet::new();
        let planner = Planner {
            now: NOW,
            service: SERVICE,
            spec: &self.world.spec,
            inventory: &self.ledger,
            demand: &self.book,
            excluded: &unusable,
        };
        planner.next(&mut self.ceiling)
    }

    /// Lets the engines lose models that no others hold, for which callers then wait.
    fn lose_models(&mut self) {
        let last = self.world.size.models;
        for n in 0..WAITED_FOR {
            let id = engine_id(n);
            let Some(engine) = self.world.upstreams.get(&id) else {
                continue;
            };
            let report = EngineReport {
                born_at: engine.entry.born_at + Millis(1),
                ..EngineReport::default()
            };
            self.ledger.record_report(NOW, &id, Some(report));
        }
        let waiting = RequestCounts {
            asked: 1,
            waiting: 1,
            ..RequestCounts::default()
        };
        let lost = (0..last).map(model).filter(|model| {
            let census = self.ledger.service_index(SERVICE);
            let holders = census.and_then(|census| census.model(model));
            holders.is_none_or(|holders| holders.copies() == 0)
        });
        let asks = lost.map(|model| ModelRef {
            model,
            adapter: None,
        });
        let report = HostReport {
            demand: asks.map(|ask| (ask, waiting)).collect(),
            ..HostReport::default()
        };
        self.book.record(NOW, 1, report);
    }

    /// Makes orders until there is none, with engines that accept each.
    fn order_all(&mut self) -> usize {
        let mut orders = 0;
        while let Some(planned) = self.next() {
            let order = self.ledger.begin(
                NOW,
                &planned.engine,
                planned.action,
                planned.model_ref,
                planned.freed_for,
            );
            let Some(order) = order else { break };
            let load = LoadTime {
                takes_ms: Millis(13_200),
                from_store: true,
            };
            self.ledger.take_due_orders(NOW);
            self.ledger
                .record_answer(NOW, &planned.engine, &order, OrderAnswer::Accepted, load);
            orders += 1;
            if orders >= WAITED_FOR {
                break;
            }
        }
        orders
    }
}
