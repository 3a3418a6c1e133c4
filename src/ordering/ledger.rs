//! What each engine holds, what is on its way to it, and what may still become of unanswered orders.
//!
//! An engine takes an order only if it has accepted exactly as many as the order says. So of two orders with the
//! same number at most one takes effect, and an order without an answer is sent again unchanged: until the engine's
//! report shows a higher number, its model counts as held, and no other order to that engine is made.

use crate::entry::platform::ModelRef;
use crate::ordering::census::{Census, ServiceCensus};
use crate::ordering::copy::{Copy, LoadTime, Loaded};
use crate::ordering::engine::Engine;
use crate::ordering::message::{Action, EngineReport, Order, OrderAnswer};
use crate::ordering::published::EngineView;
use crate::prelude::*;
use crate::upstreams::Lifetime;
use std::cell::Cell;

/// How long freed memory is kept for the model that it was freed for: the unload waits for what runs.
pub(super) const INTENDED_MS: Millis = Millis(3_000);
/// How often the report of an engine is read of which no order is under way; a report costs about a sixth of an order.
const IDLE_REPORT_MS: Millis = Millis(5_000);
/// The least time between two such reports over all engines: where there are thousands, each is asked less often.
const EACH_REPORT_MS: Millis = Millis(5);

/// What changed on the engines since it was asked for last.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineChanges {
    /// What engines hold now that may hold other things than before.
    pub views: Vec<EngineView>,
    /// Starts that are over.
    pub gone: Vec<Lifetime>,
}

/// The engines by lifetime.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    engines: IndexMap<Name, Engine>,
    census: Census,
    /// Engines that may hold other things than when [`Ledger::take_changes`] was called last.
    changed: IndexSet<Name>,
    gone: Vec<Lifetime>,
    /// Engines that free memory for a model, or did.
    intending: IndexSet<Name>,
    lacks_engines: bool,
    looked_at: Cell<u64>,
}

impl Ledger {
    /// Changes an engine; what is counted of the engines stays true.
    fn change<T>(&mut self, id: &str, with: impl FnOnce(&mut Engine) -> T) -> Option<T> {
        let engine = self.engines.get_mut(id)?;
        self.census.remove(engine);
        let former = engine.lifetime();
        let result = with(engine);
        self.census.add(engine);
        if engine.born_at != former.born_at {
            self.gone.push(former);
        }
        match engine.intended.is_some() {
            true => drop(self.intending.insert(engine.id.clone())),
            false => drop(self.intending.swap_remove(id)),
        }
        self.changed.insert(engine.id.clone());
        Some(result)
    }

    fn insert(&mut self, engine: Engine) {
        self.census.add(&engine);
        self.engines.insert(engine.id.clone(), engine);
    }

    fn remove(&mut self, id: &str) {
        let Some(engine) = self.engines.swap_remove(id) else {
            return;
        };
        self.census.remove(&engine);
        self.changed.swap_remove(id);
        self.intending.swap_remove(id);
        self.gone.push(engine.lifetime());
    }

    /// Takes which engines there are; new ones are unknown until their report is read.
    pub fn take_engines(&mut self, now: Millis, engines: impl Iterator<Item = (Lifetime, Name)>) {
        let listed: IndexMap<Name, (Lifetime, Name)> = engines
            .map(|(lifetime, service)| (lifetime.id.clone(), (lifetime, service)))
            .collect();
        let unlisted: Vec<Name> = self
            .engines
            .keys()
            .filter(|id| !listed.contains_key(*id))
            .cloned()
            .collect();
        for id in &unlisted {
            self.remove(id);
        }
        self.lacks_engines = false;
        for (id, (lifetime, service)) in listed {
            match self.engines.get(&id).map(|engine| engine.born_at) {
                // An engine's own report may tell of a new start before the list does.
                Some(born_at) if born_at >= lifetime.born_at => {}
                Some(_) => drop(self.change(&id, |engine| {
                    engine.begin_lifetime(now, lifetime.born_at);
                })),
                None => self.insert(Engine::new(lifetime, service)),
            }
        }
    }

    /// Tells whether an engine was dropped that may be listed, so that [`Ledger::take_engines`] is to be called.
    pub fn lacks_engines(&self) -> bool {
        self.lacks_engines
    }

    /// Takes unloads for done that should be.
    pub fn assume_unloaded(&mut self, now: Millis) {
        let engines = self.engines.values();
        let due = engines.filter(|engine| engine.is_unload_due(now));
        let due: Vec<Name> = due.map(|engine| engine.id.clone()).collect();
        for id in &due {
            self.change(id, Engine::assume_unloaded);
        }
    }

    /// Returns an engine.
    pub fn get(&self, id: &str) -> Option<&Engine> {
        self.engines.get(id)
    }

    /// Returns every engine.
    pub fn iter(&self) -> impl Iterator<Item = &Engine> {
        self.counted(self.engines.values())
    }

    fn counted<'a>(
        &'a self,
        engines: impl Iterator<Item = &'a Engine>,
    ) -> impl Iterator<Item = &'a Engine> {
        engines.inspect(|_| self.looked_at.set(self.looked_at.get() + 1))
    }

    /// Returns how many engines were given out, which is what plans cost beyond what is kept counted.
    pub fn looked_at(&self) -> u64 {
        self.looked_at.get()
    }

    /// Returns how many engines of a service hold what; nothing when there are none.
    pub fn census(&self, service: &str) -> Option<&ServiceCensus> {
        self.census.of(service)
    }

    /// Returns some engines that follow each other, or all when there are no more than `most`; `from` chooses the first.
    pub fn some(&self, from: u64, most: usize) -> impl Iterator<Item = &Engine> {
        let count = self.engines.len();
        let first = (from % count.max(1) as u64) as usize;
        let places = (first..first + most.min(count)).map(move |at| at % count);
        self.counted(places.filter_map(|at| Some(self.engines.get_index(at)?.1)))
    }

    /// Returns the engines of these names.
    pub fn named<'a>(
        &'a self,
        ids: impl Iterator<Item = &'a Name>,
    ) -> impl Iterator<Item = &'a Engine> {
        self.counted(ids.filter_map(|id| self.engines.get(id)))
    }

    /// Returns the engines that have adapters which are not ready yet, and perhaps others.
    pub fn unsettled(&self) -> impl Iterator<Item = &Engine> {
        self.named(self.changed.iter())
    }

    /// Returns the engines that free memory for a model, with the model.
    pub fn intending(&self, now: Millis) -> impl Iterator<Item = (&Engine, &Name)> {
        let engines = self.intending.iter().filter_map(|id| self.engines.get(id));
        engines.filter_map(move |engine| Some((engine, engine.intended(now)?)))
    }

    /// Returns how many loads from the weight store are under way.
    pub fn store_loads(&self) -> usize {
        self.census.store_loads()
    }

    /// Returns the engines with loads from the weight store.
    pub fn loading(&self) -> impl Iterator<Item = &Engine> {
        self.named(self.census.loading())
    }

    /// Notes at each load under way how many run beside it.
    fn count_store_loads(&mut self) {
        let loads = self.store_loads();
        for id in self.census.loading() {
            let Some(engine) = self.engines.get_mut(id) else {
                continue;
            };
            for copy in engine.copies.values_mut() {
                note_beside(copy, loads);
            }
        }
    }

    /// Makes an order that is to be sent; the caller sends it and tells the answer. `makes_way_for` is the model that
    /// is to be loaded next in the memory that it frees.
    pub fn begin(
        &mut self,
        now: Millis,
        id: &str,
        action: Action,
        ask: ModelRef,
        makes_way_for: Option<Name>,
    ) -> Option<Order> {
        self.change(id, |engine| {
            let order = engine.order(action, ask);
            engine.intended = makes_way_for.map(|model| (model, now + INTENDED_MS));
            engine.begin(&order);
            order
        })
    }

    /// Returns the orders that are to be sent now, new ones and unanswered ones, and counts them as sent.
    pub fn due(&mut self, now: Millis) -> Vec<(Name, Order)> {
        let mut due = Vec::new();
        for engine in self.engines.values_mut() {
            if now < engine.rests_until {
                continue;
            }
            if let Some(pending) = &mut engine.pending
                && !pending.in_call
            {
                pending.in_call = true;
                due.push((engine.id.clone(), pending.order.clone()));
            }
        }
        due
    }

    /// Takes the answer to an order. `load` is how long a load that it began should take, and from where.
    pub fn take_answer(
        &mut self,
        now: Millis,
        id: &str,
        order: &Order,
        answer: OrderAnswer,
        load: LoadTime,
    ) {
        let engine = self.engines.get(id);
        let is_pending = engine
            .and_then(|engine| engine.pending.as_ref())
            .is_some_and(|pending| pending.order == *order);
        if !is_pending {
            return;
        }
        if answer == OrderAnswer::OtherLifetime {
            self.remove(id);
            self.lacks_engines = true;
            return;
        }
        self.change(id, |engine| {
            engine.take_answer(now, order, answer, load);
        });
        if matches!(answer, OrderAnswer::Accepted | OrderAnswer::AlreadyDone) {
            self.count_store_loads();
        }
    }

    fn idle_report_ms(&self) -> Millis {
        Millis(EACH_REPORT_MS.0 * self.engines.len() as u64).max(IDLE_REPORT_MS)
    }

    /// Returns the engines whose reports are to be read now: all that an order's outcome is waited for of, and `idle_most`
    /// others.
    pub fn due_reports(&mut self, now: Millis, idle_most: usize) -> Vec<Name> {
        let is_due = |engine: &&Engine| !engine.in_report && now >= engine.report_at;
        let due = self.engines.values().filter(is_due);
        let (waited_for, idle): (Vec<&Engine>, Vec<&Engine>) =
            due.partition(|engine| engine.is_waited_for());
        let due = waited_for
            .into_iter()
            .chain(idle.into_iter().take(idle_most));
        let due: Vec<Name> = due.map(|engine| engine.id.clone()).collect();
        for id in &due {
            if let Some(engine) = self.engines.get_mut(id) {
                engine.in_report = true;
            }
        }
        due
    }

    /// Takes an engine's report, or that there is none.
    pub fn take_report(
        &mut self,
        now: Millis,
        id: &str,
        report: Option<EngineReport>,
    ) -> Vec<Loaded> {
        let Some(report) = report else {
            if let Some(engine) = self.engines.get_mut(id) {
                engine.note_unreported(now);
            }
            return Vec::new();
        };
        let idle_ms = self.idle_report_ms();
        let loaded = self.change(id, |engine| engine.take_report(now, report, idle_ms));
        loaded.unwrap_or_default()
    }

    /// Returns what changed on the engines since the last call.
    pub fn take_changes(&mut self, now: Millis) -> EngineChanges {
        let mut changes = EngineChanges {
            views: Vec::new(),
            gone: std::mem::take(&mut self.gone),
        };
        let Self {
            engines, changed, ..
        } = self;
        changed.retain(|id| {
            let Some(engine) = engines.get(id) else {
                return false;
            };
            if engine.is_known {
                changes.views.push(engine.view(now));
            }
            engine.will_change(now)
        });
        changes
    }
}

fn note_beside(copy: &mut Copy, loads: usize) {
    if let Copy::Loading {
        from_store: true,
        beside,
        ..
    } = copy
    {
        *beside = loads.max(*beside);
    }
}
