//! Orders without an answer never exceed the memory or the adapter slots of an engine that starts
//! again under its name, whoever sent them and whichever start they were meant for.

use super::fake_engine::{FakeEngine, spec};
use crate::desired::EngineSpec;
use crate::entry::platform::ModelRef;
use crate::ordering::copy::LoadTime;
use crate::ordering::demand::RequestCounts;
use crate::ordering::demand_totals::DemandTotals;
use crate::ordering::engine_inventory::EngineInventory;
use crate::ordering::host_reports::HostReport;
use crate::ordering::message::{Action, EngineReport, Order, OrderAnswer};
use crate::ordering::planner::{Planner, load_time};
use crate::ordering::store_load_limiter::StoreLoadLimiter;
use crate::prelude::*;
use crate::upstreams::{FormerStart, HeldModel, Lifetime};

const ENGINE: &str = "e0";
const ENGINE_LEASE_MS: Millis = Millis(3_000);
/// How long after it was sent an order without an answer may be carried out.
const MAX_LATE_MS: Millis = Millis(12_000);
const CALL_TIMEOUT_MS: Millis = Millis(500);
const START: Millis = Millis(1_000_000);
const SIZES_MB: [f64; 6] = [100.0, 100.0, 60.0, 60.0, 40.0, 40.0];
const CAPACITY_MB: f64 = 170.0;

fn model(name: &str) -> ModelRef {
    ModelRef {
        model: name.into(),
        adapter: None,
    }
}

fn lifetime(born_at: Millis) -> Lifetime {
    Lifetime {
        id: ENGINE.into(),
        born_at,
    }
}

fn report(born_at: Millis, order_count: u64, models: &[&str]) -> EngineReport {
    let held = |name: &&str| HeldModel {
        name: Name::from(*name),
        adapters: Vec::new(),
    };
    EngineReport {
        born_at,
        order_count,
        models: models.iter().map(held).collect(),
        ..EngineReport::default()
    }
}

/// Lists the only engine with a start.
fn list(inventory: &mut EngineInventory, now: Millis, born_at: Millis) {
    let engines = [(lifetime(born_at), Name::from("s"))];
    inventory.set_engines(now, engines.into_iter());
}

/// An order on its way, with the number of its sender's holding.
struct Flight {
    order: Order,
    sent_at: Millis,
    arrives_at: Millis,
    holding: u64,
    is_answered: bool,
}

/// One engine, and the hosts that hold the lease in turn. They know of its starts from the list.
struct World {
    now: Millis,
    random: fastrand::Rng,
    spec: EngineSpec,
    engine: FakeEngine,
    /// The start in the entry of the engine, if it has one.
    listed: Option<Millis>,
    newest_listed: Millis,
    /// What the hosts know of earlier starts.
    former_start: FormerStart,
    inventory: EngineInventory,
    demand: DemandTotals,
    limiter: StoreLoadLimiter,
    holding: u64,
    flights: Vec<Flight>,
    restarts: usize,
    takeovers: usize,
    /// The orders that took effect at a later start than they were meant for.
    effects_at_later_starts: usize,
}

impl World {
    fn new(seed: u64) -> Self {
        let spec = spec(CAPACITY_MB, &SIZES_MB);
        let mut engine = FakeEngine::new(spec.clone(), &["m0"]);
        engine.born_at = START;
        Self {
            now: START,
            random: fastrand::Rng::with_seed(seed),
            spec,
            engine,
            listed: Some(START),
            newest_listed: START,
            former_start: FormerStart::None,
            inventory: EngineInventory::default(),
            demand: DemandTotals::default(),
            limiter: StoreLoadLimiter::new(Millis(900_000), None),
            holding: 0,
            flights: Vec::new(),
            restarts: 0,
            takeovers: 0,
            effects_at_later_starts: 0,
        }
    }

    fn happens(&mut self, one_in: u32) -> bool {
        self.random.u32(..one_in) == 0
    }

    fn tick(&mut self) {
        self.now += Millis(self.random.u64(50..=400));
        self.deliver();
        self.time_out();
        if self.happens(40) {
            // The clock of the engine may have been set back since its last start.
            let is_set_back = self.happens(8);
            let earlier = Millis(self.engine.born_at.0 - 500);
            self.engine
                .restart(if is_set_back { earlier } else { self.now });
            self.restarts += 1;
        }
        if self.happens(3) {
            self.update_list();
        }
        if self.happens(60) {
            self.listed = None;
        }
        if self.happens(60) {
            self.take_over();
        }
        if !self.happens(4) {
            let report = self.engine.report(self.now);
            self.inventory.record_report(self.now, ENGINE, Some(report));
        }
        self.request();
        self.plan();
        self.send();
    }

    fn take_over(&mut self) {
        self.holding += 1;
        self.takeovers += 1;
        self.inventory = EngineInventory::default();
        self.inventory
            .expect_former_orders(self.now, ENGINE_LEASE_MS);
    }

    /// Makes the list show the engine's present start. A start earlier than a listed one is taken for
    /// an old entry.
    fn update_list(&mut self) {
        let born_at = self.engine.born_at;
        if born_at > self.newest_listed {
            let list_as_of = self.now;
            self.former_start = FormerStart::Known { list_as_of };
            self.newest_listed = born_at;
        }
        self.listed = Some(self.newest_listed);
    }

    fn request(&mut self) {
        let count = RequestCounts {
            asked: 1,
            waiting: self.random.u32(..=2),
            tokens: 1_000,
            ..RequestCounts::default()
        };
        let ask = ModelRef {
            model: format!("m{}", self.random.usize(..SIZES_MB.len())).into(),
            adapter: self.happens(3).then(|| "a1".into()),
        };
        let report = HostReport {
            demand: vec![(ask, count)],
            ..HostReport::default()
        };
        self.demand.record(self.now, 1, report);
    }

    fn plan(&mut self) {
        let listed = self.listed.map(|born_at| (lifetime(born_at), "s".into()));
        self.inventory.set_engines(self.now, listed.into_iter());
        let start = self
            .listed
            .map(|born_at| (lifetime(born_at), self.former_start));
        self.inventory.set_former_starts(start.into_iter());
        self.inventory.assume_unloaded(self.now);
        for _ in 0..4 {
            let planner = Planner {
                now: self.now,
                service: "s",
                spec: &self.spec,
                inventory: &self.inventory,
                demand: &self.demand,
                excluded: &IndexSet::new(),
            };
            let Some(planned) = planner.next(&mut self.limiter) else {
                break;
            };
            self.inventory.begin(
                self.now,
                &planned.engine,
                planned.action,
                planned.model_ref,
                planned.freed_for,
            );
        }
    }

    fn send(&mut self) {
        for (_, order) in self.inventory.take_due_orders(self.now) {
            let is_late = self.happens(3);
            let takes_ms = match is_late {
                true => self.random.u64(2_000..=MAX_LATE_MS.0),
                false => 1,
            };
            self.flights.push(Flight {
                order,
                sent_at: self.now,
                arrives_at: self.now + Millis(takes_ms),
                holding: self.holding,
                is_answered: !is_late,
            });
        }
    }

    /// Lets the orders reach the engine that are due.
    fn deliver(&mut self) {
        let now = self.now;
        let due = self
            .flights
            .extract_if(.., |flight| now >= flight.arrives_at);
        for flight in due.collect::<Vec<_>>() {
            let answer = self.engine.order(now, &flight.order);
            let is_to_former_start = flight.order.born_at != self.engine.born_at;
            self.effects_at_later_starts +=
                usize::from(answer == OrderAnswer::Accepted && is_to_former_start);
            if flight.is_answered && flight.holding == self.holding {
                self.record_answer(&flight.order, answer);
            }
        }
    }

    /// Lets the holder give up calls without an answer.
    fn time_out(&mut self) {
        let (now, holding) = (self.now, self.holding);
        let has_ended = |flight: &&Flight| {
            let waits_ms = now.since(flight.sent_at);
            flight.holding == holding && !flight.is_answered && waits_ms >= CALL_TIMEOUT_MS
        };
        let ended = self.flights.iter().filter(has_ended);
        // Ends of the same call again change nothing.
        let ended: Vec<Order> = ended
            .filter(|flight| now.since(flight.sent_at) < CALL_TIMEOUT_MS + Millis(400))
            .map(|flight| flight.order.clone())
            .collect();
        for order in ended {
            self.record_answer(&order, OrderAnswer::Silent);
        }
    }

    fn record_answer(&mut self, order: &Order, answer: OrderAnswer) {
        let load = load_time(&self.spec, &self.inventory, ENGINE, &order.ask);
        self.inventory
            .record_answer(self.now, ENGINE, order, answer, load);
    }
}

/// Guards against a late order to an earlier start that overfills an engine: of this holder or a former
/// one, one of several, after the entry lapsed, or for an adapter.
#[test]
fn late_orders_to_earlier_starts_never_exceed_the_capacity() {
    let (mut restarts, mut takeovers, mut effects) = (0, 0, 0);
    for seed in 0..400 {
        let mut world = World::new(seed);
        for _ in 0..400 {
            world.tick();
        }
        restarts += world.restarts;
        takeovers += world.takeovers;
        effects += world.effects_at_later_starts;
    }
    // Checks that the runs contain restarts, takeovers, and late orders that took effect.
    assert!(restarts > 2_000 && takeovers > 2_000);
    assert!(
        effects > 200,
        "{effects} orders took effect at a later start"
    );
}

/// Guards against a former holder's late order that overfills an engine, since the next holder has
/// loaded models at the engine's new start and so made the order's count true.
#[test]
fn an_engine_that_started_again_gets_no_order_while_a_former_holders_may_take_effect() {
    let mut inventory = EngineInventory::default();
    inventory.expect_former_orders(START, ENGINE_LEASE_MS);
    list(&mut inventory, START, START - Millis(60_000));
    let born_at = START + Millis(1_000);
    list(&mut inventory, born_at, born_at);
    inventory.record_report(born_at, ENGINE, Some(report(born_at, 0, &[])));
    let is_free = |at: Millis| inventory.get(ENGINE).expect("it is listed").is_free(at);
    assert!(!is_free(START + ENGINE_LEASE_MS + Millis(2_000)));
    assert!(!is_free(START + MAX_LATE_MS));
    assert!(is_free(START + MAX_LATE_MS + Millis(1_000)));
}

/// Guards against a wait at engines that started for the first time, after each loss of a holder.
#[test]
fn an_engine_under_a_new_name_is_ordered_soon_after_a_holder_is_lost() {
    let mut inventory = EngineInventory::default();
    let lost_at = START + Millis(1_000);
    inventory.expect_former_orders(lost_at, ENGINE_LEASE_MS);
    list(&mut inventory, lost_at, START);
    inventory.set_former_starts([(lifetime(START), FormerStart::None)].into_iter());
    inventory.record_report(lost_at, ENGINE, Some(report(START, 0, &[])));
    let engine = inventory.get(ENGINE).expect("it is listed");
    let now = lost_at + ENGINE_LEASE_MS;
    assert!(engine.is_free(now));
    assert_eq!(engine.used_mb(now, &spec(CAPACITY_MB, &SIZES_MB)), 0.0);
}

/// Guards against a former holder's late order that overfills an engine whose earlier starts the next
/// holder cannot know, since it started after them.
#[test]
fn room_for_the_largest_model_is_left_where_earlier_starts_are_unknown() {
    let spec = spec(CAPACITY_MB, &SIZES_MB);
    let mut inventory = EngineInventory::default();
    let lost_at = START + Millis(1_000);
    inventory.expect_former_orders(lost_at, ENGINE_LEASE_MS);
    list(&mut inventory, lost_at, START);
    inventory.record_report(lost_at, ENGINE, Some(report(START, 0, &["m4"])));
    let engine = inventory.get(ENGINE).expect("it is listed");
    assert!(engine.is_free(lost_at + ENGINE_LEASE_MS));
    assert_eq!(engine.used_mb(lost_at + MAX_LATE_MS, &spec), 140.0);
    assert_eq!(engine.used_adapter_slots(lost_at + MAX_LATE_MS), 1);
    let after = lost_at + MAX_LATE_MS + Millis(1_000);
    assert_eq!(engine.used_mb(after, &spec), 40.0);
    assert_eq!(engine.used_adapter_slots(after), 0);
}

/// Guards against a wait without end: an order of this holder that may come true at the engine's new
/// start keeps its memory until the engine has accepted more orders than it names.
#[test]
fn a_late_order_keeps_its_memory_until_the_engine_has_counted_another() {
    let spec = spec(CAPACITY_MB, &SIZES_MB);
    let mut inventory = EngineInventory::default();
    list(&mut inventory, START, START);
    inventory.record_report(START, ENGINE, Some(report(START, 0, &[])));
    let order = inventory.begin(START, ENGINE, Action::Load, model("m0"), None);
    inventory.take_due_orders(START);
    let order = order.expect("a listed engine");
    let (silent, load) = (OrderAnswer::Silent, LoadTime::default());
    inventory.record_answer(START, ENGINE, &order, silent, load);
    let born_at = START + Millis(500);
    inventory.record_report(born_at, ENGINE, Some(report(born_at, 0, &[])));
    let used_mb = |inventory: &EngineInventory, at| {
        let engine = inventory.get(ENGINE).expect("it is listed");
        engine.used_mb(at, &spec)
    };
    assert_eq!(used_mb(&inventory, START + MAX_LATE_MS), 100.0);
    inventory.record_report(born_at, ENGINE, Some(report(born_at, 1, &["m4"])));
    assert_eq!(used_mb(&inventory, START + MAX_LATE_MS), 40.0);
}
