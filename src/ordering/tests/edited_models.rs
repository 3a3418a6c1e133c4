//! Engines keep what they hold when the operator takes models out of the desired state or states other
//! sizes, and are not ordered over their memory.

use super::fake_engine::{FakeEngine, spec, unknown_start};
use crate::desired::EngineSpec;
use crate::entry::platform::ModelRef;
use crate::ordering::copy::LoadTime;
use crate::ordering::demand::RequestCounts;
use crate::ordering::demand_totals::DemandTotals;
use crate::ordering::engine_inventory::EngineInventory;
use crate::ordering::host_reports::HostReport;
use crate::ordering::message::{Action, EngineReport, OrderAnswer};
use crate::ordering::model_sizes::ModelSizes;
use crate::ordering::planner::{PlannedOrder, Planner, load_time};
use crate::ordering::store_load_limiter::StoreLoadLimiter;
use crate::prelude::*;
use crate::upstreams::HeldModel;
use std::rc::Rc;

const ENGINE: &str = "e0";
const NOW: Millis = Millis(1_000_000);

fn without(spec: &EngineSpec, model: &str) -> EngineSpec {
    let mut spec = spec.clone();
    spec.models.shift_remove(model);
    spec
}

fn ask(model: &str, adapter: Option<&str>) -> ModelRef {
    ModelRef {
        model: model.into(),
        adapter: adapter.map(Name::from),
    }
}

/// The holder of the lease, one engine, and the desired state in force.
struct Site {
    now: Millis,
    spec: EngineSpec,
    sizes: ModelSizes,
    inventory: EngineInventory,
    demand: DemandTotals,
    limiter: StoreLoadLimiter,
}

impl Site {
    fn new(spec: EngineSpec) -> Self {
        let mut site = Self {
            now: NOW,
            spec: spec.clone(),
            sizes: ModelSizes::default(),
            inventory: EngineInventory::default(),
            demand: DemandTotals::default(),
            limiter: StoreLoadLimiter::new(Millis::ZERO, None),
        };
        site.edit(spec);
        site
    }

    fn edit(&mut self, spec: EngineSpec) {
        self.sizes.note_spec(&spec);
        self.spec = spec;
        let sizes = [(Name::from("s"), self.sizes.clone())];
        let sizes = sizes.into_iter().collect();
        self.inventory.set_sizes(Rc::new(sizes));
    }

    /// Lets another host order. One that has just started knows the present desired state only.
    fn take_over(&mut self, has_just_started: bool) {
        if has_just_started {
            self.sizes = ModelSizes::default();
        }
        self.inventory = EngineInventory::default();
        self.edit(self.spec.clone());
    }

    fn list(&mut self) {
        let engines = [(unknown_start(ENGINE.into()), Name::from("s"))];
        self.inventory.set_engines(self.now, engines.into_iter());
    }

    /// Reads a report of an engine that holds these models, each with some adapters.
    fn report(&mut self, models: &[(&str, &[&str])]) {
        self.list();
        let held = |(name, adapters): &(&str, &[&str])| HeldModel {
            name: Name::from(*name),
            adapters: adapters.iter().map(|name| Name::from(*name)).collect(),
        };
        let report = EngineReport {
            models: models.iter().map(held).collect(),
            ..EngineReport::default()
        };
        self.inventory.record_report(self.now, ENGINE, Some(report));
    }

    fn request(&mut self, ask: ModelRef, waiting: u32, running: u32) {
        let count = RequestCounts {
            asked: 1,
            waiting,
            running,
            tokens: 1_000,
            ..RequestCounts::default()
        };
        let report = HostReport {
            demand: vec![(ask, count)],
            ..HostReport::default()
        };
        self.demand.record(self.now, 1, report);
    }

    fn next(&mut self) -> Option<PlannedOrder> {
        let planner = Planner {
            now: self.now,
            service: "s",
            spec: &self.spec,
            inventory: &self.inventory,
            demand: &self.demand,
            excluded: &IndexSet::new(),
        };
        planner.next(&mut self.limiter)
    }

    fn next_order(&mut self) -> Option<(Action, ModelRef)> {
        let planned = self.next()?;
        Some((planned.action, planned.model_ref))
    }

    /// Sends the next order and records the engine's answer to it.
    fn answer_next(&mut self, answer: OrderAnswer) -> Option<(Action, ModelRef)> {
        let planned = self.next()?;
        let (action, ask) = (planned.action, planned.model_ref.clone());
        let order = self.inventory.begin(
            self.now,
            &planned.engine,
            action,
            ask.clone(),
            planned.freed_for,
        );
        self.inventory.take_due_orders(self.now);
        let order = order.expect("a listed engine");
        let load = LoadTime::default();
        self.inventory
            .record_answer(self.now, ENGINE, &order, answer, load);
        Some((action, ask))
    }
}

/// Guards against a load over the memory of an engine that holds a model which has left the desired
/// state.
#[test]
fn a_model_that_left_the_desired_state_is_unloaded_before_another_is_loaded() {
    let full = spec(100.0, &[45.0, 45.0, 40.0]);
    let mut site = Site::new(full.clone());
    site.report(&[("m0", &[]), ("m1", &[])]);
    site.edit(without(&full, "m1"));
    site.request(ask("m2", None), 1, 0);
    let unload = (Action::Unload, ask("m1", None));
    assert_eq!(site.next_order(), Some(unload));
}

/// Guards against the same at a host that has started since and knows no size of the model.
#[test]
fn a_model_of_unknown_size_is_unloaded_before_another_is_loaded() {
    let mut site = Site::new(spec(100.0, &[45.0, 10.0, 10.0]));
    site.report(&[("m0", &[]), ("former", &["a1"])]);
    let engine = site.inventory.get(ENGINE).expect("it is listed");
    assert_eq!(engine.used_mb(NOW, &site.spec), f64::INFINITY);
    site.request(ask("m2", None), 1, 0);
    let unload = (Action::Unload, ask("former", None));
    assert_eq!(site.next_order(), Some(unload));
}

/// Guards against orders without end to an engine that cannot unload a model which no desired state
/// has had, or an adapter of it.
#[test]
fn an_unload_that_the_engine_refuses_as_invalid_is_not_ordered_again() {
    let mut site = Site::new(spec(100.0, &[45.0, 10.0]));
    site.report(&[("m0", &[]), ("foreign", &["a1"])]);
    site.request(ask("m1", None), 1, 0);
    let unload = (Action::Unload, ask("foreign", None));
    assert_eq!(site.answer_next(OrderAnswer::Invalid), Some(unload));
    for _ in 0..20 {
        site.now += Millis(500);
        site.report(&[("m0", &[]), ("foreign", &["a1"])]);
        site.request(ask("m1", None), 1, 0);
        assert_eq!(site.next_order(), None);
    }
    // Once the engine does not hold it any more, there is room.
    site.report(&[("m0", &[])]);
    assert_eq!(site.next_order(), Some((Action::Load, ask("m1", None))));
}

/// Guards against the same for an adapter, whose slot another one needs.
#[test]
fn an_adapter_that_the_engine_cannot_unload_is_not_ordered_again() {
    let mut site = Site::new(spec(1_000.0, &[100.0]));
    let held: &[(&str, &[&str])] = &[("m0", &["x", "y", "z"])];
    site.report(held);
    site.request(ask("m0", Some("a1")), 1, 0);
    let mut refused = IndexSet::new();
    for _ in 0..20 {
        if let Some((action, ask)) = site.answer_next(OrderAnswer::Invalid) {
            assert_eq!(action, Action::Unload);
            assert!(refused.insert(ask));
        }
        site.now += Millis(500);
        site.report(held);
        site.request(ask("m0", Some("a1")), 1, 0);
    }
    assert_eq!(refused.len(), 3);
}

/// Guards against a size that a later version states lower: a copy that was loaded before takes what it
/// took.
#[test]
fn a_copy_keeps_the_size_that_was_stated_when_it_was_loaded() {
    let mut site = Site::new(spec(100.0, &[60.0, 50.0]));
    site.report(&[("m0", &[])]);
    site.edit(spec(100.0, &[30.0, 50.0]));
    for has_new_holder in [false, true] {
        if has_new_holder {
            site.take_over(false);
            site.report(&[("m0", &[])]);
        }
        site.now += Millis(10_000);
        site.request(ask("m1", None), 1, 0);
        let unload = (Action::Unload, ask("m0", None));
        assert_eq!(site.next_order(), Some(unload));
    }
    site.report(&[]);
    site.request(ask("m0", None), 1, 0);
    let load = Some((Action::Load, ask("m0", None)));
    assert_eq!(site.answer_next(OrderAnswer::Accepted), load);
    let engine = site.inventory.get(ENGINE).expect("it is listed");
    assert_eq!(engine.used_mb(site.now, &site.spec), 30.0);
}

/// Guards against an idle model of the desired state that is unloaded in place of one which is not in it,
/// and against the unload of one on which requests run while an idle one is there.
#[test]
fn a_model_without_a_place_in_the_desired_state_is_unloaded_first_unless_requests_run_on_it() {
    let full = spec(100.0, &[45.0, 45.0, 40.0]);
    let mut site = Site::new(full.clone());
    site.report(&[("m0", &[]), ("m1", &[])]);
    site.edit(without(&full, "m1"));
    site.request(ask("m2", None), 1, 0);
    assert_eq!(site.next_order(), Some((Action::Unload, ask("m1", None))));
    site.request(ask("m1", None), 0, 3);
    assert_eq!(site.next_order(), Some((Action::Unload, ask("m0", None))));
}

/// Guards against orders over the memory whichever models leave the desired state, shrink and come back,
/// and whichever host orders.
#[test]
fn no_edit_of_the_models_leads_to_orders_over_the_memory() {
    let sizes_mb = [60.0, 50.0, 40.0, 40.0, 30.0, 20.0];
    let mut loads = 0;
    for seed in 0..300 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut stated = spec(150.0, &sizes_mb);
        let mut engine = FakeEngine::new(stated.clone(), &["m0", "m1"]);
        let mut site = Site::new(stated.clone());
        // A host that starts after a model has shrunk cannot know what its copies take.
        let mut may_shrink = random.bool();
        let mut has_shrunk = false;
        for _ in 0..300 {
            site.now += Millis(random.u64(20..=700));
            match random.u8(..40) {
                0..=2 => {
                    let left = random.usize(..sizes_mb.len());
                    site.edit(without(&stated, &format!("m{left}")));
                }
                3 => site.edit(stated.clone()),
                4 if may_shrink => {
                    has_shrunk = true;
                    let shrunk = format!("m{}", random.usize(..sizes_mb.len()));
                    let size = &mut stated.models[&*shrunk];
                    size.weights_mb /= 2.0;
                    engine.resize(&shrunk, size.weights_mb);
                    site.edit(stated.clone());
                }
                5 => {
                    may_shrink &= has_shrunk;
                    site.take_over(!has_shrunk);
                }
                _ => {}
            }
            site.list();
            let report = engine.report(site.now);
            site.inventory.record_report(site.now, ENGINE, Some(report));
            let model = format!("m{}", random.usize(..sizes_mb.len()));
            let (waiting, running) = (random.u32(..=1), random.u32(..=1));
            site.request(ask(&model, None), waiting, running);
            let Some(planned) = site.next() else { continue };
            let model_ref = planned.model_ref;
            let order = site.inventory.begin(
                site.now,
                ENGINE,
                planned.action,
                model_ref,
                planned.freed_for,
            );
            site.inventory.take_due_orders(site.now);
            let order = order.expect("a listed engine");
            let answer = engine.order(site.now, &order);
            let load = load_time(&site.spec, &site.inventory, ENGINE, &order.ask);
            site.inventory
                .record_answer(site.now, ENGINE, &order, answer, load);
        }
        loads += engine.loads;
    }
    assert!(loads > 3_000, "{loads} loads");
}
