//! Memory and adapter slots are never exceeded, whichever answers are lost and whichever orders
//! take effect late.

use super::fake_engine::{FakeEngine, spec};
use crate::entry::platform::ModelRef;
use crate::ordering::copy::LoadTime;
use crate::ordering::demand::RequestCounts;
use crate::ordering::demand_totals::DemandTotals;
use crate::ordering::engine_index::EngineIndex;
use crate::ordering::engine_inventory::EngineInventory;
use crate::ordering::host_reports::HostReport;
use crate::ordering::message::{Action, EngineReport, Order, OrderAnswer};
use crate::ordering::planner::{Planner, load_time};
use crate::ordering::store_load_limiter::StoreLoadLimiter;
use crate::prelude::*;
use crate::test_support::run_seeded;
use crate::upstreams::Lifetime;

const SIZES_MB: [f64; 6] = [100.0, 100.0, 60.0, 60.0, 40.0, 40.0];
const CAPACITY_MB: f64 = 170.0;

fn ask(u: &mut arbtest::arbitrary::Unstructured<'_>) -> arbtest::arbitrary::Result<ModelRef> {
    let model = u.choose_index(SIZES_MB.len())?;
    let adapter = u.int_in_range(0..=8u8)?;
    Ok(ModelRef {
        model: format!("m{model}").into(),
        adapter: (adapter > 3).then(|| format!("a{adapter}").into()),
    })
}

struct World {
    now: Millis,
    engines: IndexMap<Name, FakeEngine>,
    /// The engines' starts according to the list, which lags.
    listed: IndexMap<Name, Millis>,
    inventory: EngineInventory,
    demand: DemandTotals,
    limiter: StoreLoadLimiter,
    /// Orders on their way to an engine, each with whether its sender still waits for the answer.
    in_flight: Vec<(Name, Order, bool)>,
    /// The engines' state as a host knows it that receives changes only.
    published: IndexMap<Lifetime, IndexSet<ModelRef>>,
}

impl World {
    fn new() -> Self {
        let spec = spec(CAPACITY_MB, &SIZES_MB);
        let engine = |n: usize| {
            (
                Name::from(format!("e{n}")),
                FakeEngine::new(spec.clone(), &["m0"]),
            )
        };
        Self {
            now: Millis(1_000_000),
            engines: (0..3).map(engine).collect(),
            listed: (0..3)
                .map(|n| (format!("e{n}").into(), Millis::ZERO))
                .collect(),
            inventory: EngineInventory::default(),
            demand: DemandTotals::default(),
            limiter: StoreLoadLimiter::new(Millis(900_000), None),
            in_flight: Vec::new(),
            published: IndexMap::new(),
        }
    }

    /// Compares the index with a full count over all engines, and the state that hosts were sent
    /// with that of the engines.
    fn check_derived_state(&mut self) {
        let mut index = EngineIndex::default();
        for engine in self.inventory.iter() {
            index.add(engine);
        }
        assert_eq!(self.inventory.service_index("s"), index.service("s"));
        assert_eq!(self.inventory.store_loads(), index.store_loads());
        let loading = self.inventory.loading().map(|engine| &engine.id);
        let counted: IndexSet<&Name> = index.loading().collect();
        assert_eq!(loading.collect::<IndexSet<_>>(), counted);
        let changes = self.inventory.take_changes(self.now);
        for engine in &changes.gone {
            self.published.swap_remove(engine);
        }
        for view in changes.views {
            self.published
                .insert(view.engine, view.held.into_iter().collect());
        }
        let known = self.inventory.iter().filter(|engine| engine.is_known);
        let views = known.map(|engine| engine.view(self.now));
        let held: IndexMap<Lifetime, IndexSet<ModelRef>> = views
            .map(|view| (view.engine, view.held.into_iter().collect()))
            .collect();
        assert_eq!(self.published, held);
    }

    fn plan(&mut self) {
        let listed = self.listed.iter().map(|(id, born_at)| {
            let lifetime = Lifetime {
                id: id.clone(),
                born_at: *born_at,
            };
            (lifetime, Name::from("s"))
        });
        self.inventory.set_engines(self.now, listed);
        self.inventory.assume_unloaded(self.now);
        let spec = spec(CAPACITY_MB, &SIZES_MB);
        for _ in 0..8 {
            let planner = Planner {
                now: self.now,
                service: "s",
                spec: &spec,
                inventory: &self.inventory,
                demand: &self.demand,
                excluded: &IndexSet::new(),
            };
            let Some(planned) = planner.next(&mut self.limiter) else {
                break;
            };
            let (now, engine) = (self.now, planned.engine);
            self.inventory.begin(
                now,
                &engine,
                planned.action,
                planned.model_ref,
                planned.freed_for,
            );
        }
        for (id, order) in self.inventory.take_due_orders(self.now) {
            self.in_flight.push((id, order, true));
        }
    }

    fn deliver(&mut self, index: usize, is_answered: bool) {
        let (id, order, sender_waits) = self.in_flight.remove(index);
        let answer = self.engines[&id].order(self.now, &order);
        if sender_waits {
            let answer = if is_answered {
                answer
            } else {
                OrderAnswer::Silent
            };
            self.record_answer(&id, &order, answer);
        }
    }

    /// Lets the sender of an order time out while the order is still on its way.
    fn time_out(&mut self, index: usize) {
        let (id, order, sender_waits) = self.in_flight[index].clone();
        self.in_flight[index].2 = false;
        if sender_waits {
            self.record_answer(&id, &order, OrderAnswer::Silent);
        }
    }

    fn record_answer(&mut self, id: &Name, order: &Order, answer: OrderAnswer) {
        let spec = spec(CAPACITY_MB, &SIZES_MB);
        let load = load_time(&spec, &self.inventory, id, &order.ask);
        self.inventory
            .record_answer(self.now, id, order, answer, load);
    }

    fn report(&mut self, engine: usize) {
        let id = self
            .engines
            .get_index(engine)
            .expect("a fake engine")
            .0
            .clone();
        let report = self.engines[engine].report(self.now);
        self.inventory.record_report(self.now, &id, Some(report));
    }

    fn step(
        &mut self,
        u: &mut arbtest::arbitrary::Unstructured<'_>,
    ) -> arbtest::arbitrary::Result<()> {
        match u.int_in_range(0..=11u8)? {
            0..=2 => self.plan(),
            3..=5 if !self.in_flight.is_empty() => {
                let index = u.choose_index(self.in_flight.len())?;
                let is_answered = u.ratio(3, 4)?;
                self.deliver(index, is_answered);
            }
            6 if !self.in_flight.is_empty() => {
                let index = u.choose_index(self.in_flight.len())?;
                self.time_out(index);
            }
            7..=8 => {
                let engine = u.choose_index(self.engines.len())?;
                self.report(engine);
            }
            9 => {
                // A new holder of the lease does not know its predecessor's orders.
                if u.ratio(1, 10)? {
                    self.inventory = EngineInventory::default();
                    self.published.clear();
                    self.in_flight
                        .iter_mut()
                        .for_each(|flight| flight.2 = false);
                }
            }
            10 => {
                let count = RequestCounts {
                    asked: 1,
                    long: 0,
                    waiting: u.int_in_range(0..=2u32)?,
                    running: 0,
                    tokens: 1_000,
                };
                let report = HostReport {
                    demand: vec![(ask(u)?, count)],
                    ..HostReport::default()
                };
                self.demand
                    .record(self.now, u.int_in_range(0..=3u64)?, report);
            }
            _ => self.now += Millis(u.int_in_range(1..=900u64)?),
        }
        self.check_derived_state();
        Ok(())
    }

    fn loads(&self) -> usize {
        self.engines.values().map(|engine| engine.loads).sum()
    }

    fn restart(&mut self, engine: usize, later_by_ms: Millis) {
        let id = self
            .engines
            .get_index(engine)
            .expect("a fake engine")
            .0
            .clone();
        let born_at = self.engines[engine].born_at + later_by_ms;
        self.engines[engine].restart(born_at);
        // Of the calls on their way, only the newest may still be carried out: the earlier ones
        // ended before it started.
        let newest = self.in_flight.iter().rposition(|(to, ..)| *to == id);
        let mut at = 0;
        self.in_flight.retain(|(to, ..)| {
            let stays = *to != id || Some(at) == newest;
            at += 1;
            stays
        });
    }

    fn update_list(&mut self, engine: usize) {
        let (id, engine) = self.engines.get_index(engine).expect("a fake engine");
        self.listed.insert(id.clone(), engine.born_at);
    }

    fn report_late(&mut self, engine: usize, report: EngineReport) {
        let id = self
            .engines
            .get_index(engine)
            .expect("a fake engine")
            .0
            .clone();
        let known = self.inventory.get(&id).map(|engine| engine.born_at);
        self.inventory.record_report(self.now, &id, Some(report));
        let after = self.inventory.get(&id).map(|engine| engine.born_at);
        assert!(after >= known, "an outdated report replaced a newer start");
    }
}

fn drive(u: &mut arbtest::arbitrary::Unstructured<'_>) -> arbtest::arbitrary::Result<usize> {
    let mut world = World::new();
    for _ in 0..u.int_in_range(0..=400u16)? {
        world.step(u)?;
    }
    Ok(world.loads())
}

/// As [`drive`], with engines that restart under their names one millisecond or more after their
/// previous start. The list and outdated reports show it late.
fn drive_restarts(
    u: &mut arbtest::arbitrary::Unstructured<'_>,
) -> arbtest::arbitrary::Result<(usize, usize)> {
    let mut world = World::new();
    let (mut restarts, mut old_reports) = (0, Vec::new());
    for _ in 0..u.int_in_range(0..=400u16)? {
        let engine = u.choose_index(world.engines.len())?;
        match u.int_in_range(0..=19u8)? {
            0 => {
                world.restart(engine, Millis(u.int_in_range(1..=3u64)?));
                restarts += 1;
            }
            1 => world.update_list(engine),
            2 => old_reports.push((engine, world.engines[engine].report(world.now))),
            3 if !old_reports.is_empty() => {
                let (engine, report) = old_reports.swap_remove(u.choose_index(old_reports.len())?);
                world.report_late(engine, report);
            }
            _ => world.step(u)?,
        }
    }
    Ok((restarts, world.loads()))
}

#[test]
fn orders_never_exceed_the_capacity_of_engines() {
    let loads: usize = run_seeded(2_000, drive).into_iter().sum();
    // Checks that the generated interleavings contain loads.
    assert!(loads > 2_000, "{loads} loads");
}

#[test]
fn orders_never_exceed_the_capacity_of_restarted_engines() {
    let (restarts, loads): (Vec<usize>, Vec<usize>) =
        run_seeded(2_000, drive_restarts).into_iter().unzip();
    assert!(restarts.iter().sum::<usize>() > 1_000);
    assert!(loads.iter().sum::<usize>() > 1_000);
}

/// Regression test: the number of report calls grew with the number of engines.
#[test]
fn reports_of_idle_engines_are_spread_and_do_not_delay_awaited_ones() {
    let engines = 2_000;
    let now = Millis(1_000_000);
    let id = |n: usize| Name::from(format!("e{n}"));
    let start = |n: usize| Lifetime {
        id: id(n),
        born_at: Millis::ZERO,
    };
    let mut inventory = EngineInventory::default();
    inventory.set_engines(now, (0..engines).map(|n| (start(n), Name::from("s"))));
    assert_eq!(
        inventory.due_reports(now, 100).len(),
        100,
        "at most as many as asked for"
    );
    assert_eq!(inventory.due_reports(now, engines).len(), engines - 100);
    for n in 0..engines {
        inventory.record_report(now, &id(n), Some(EngineReport::default()));
    }
    let later = now + Millis(5_000);
    assert!(inventory.due_reports(later, engines).is_empty());
    let ask = ModelRef {
        model: "m0".into(),
        adapter: None,
    };
    let order = inventory.begin(later, &id(7), Action::Load, ask, None);
    let order = order.expect("a known engine");
    inventory.take_due_orders(later);
    let load = LoadTime::default();
    inventory.record_answer(later, &id(7), &order, OrderAnswer::Silent, load);
    assert_eq!(inventory.due_reports(later, 0), [id(7)]);
    let after = now + Millis(10_000);
    assert_eq!(inventory.due_reports(after, engines).len(), engines - 1);
}
