//! Tracks what each engine holds, what it is loading or unloading, and which orders may still take
//! effect.
//!
//! An engine accepts an order only if it has accepted exactly as many orders before as the order
//! states. So at most one of two orders with the same number takes effect, and an order without an
//! answer can be sent again unchanged. Until the engine reports that it has accepted more orders
//! than the order states, the model of the order counts as held, and the engine gets no other
//! order.

use crate::entry::platform::ModelRef;
use crate::ordering::copy::{LoadProgress, LoadTime, ModelCopy};
use crate::ordering::engine::Engine;
use crate::ordering::engine_index::{EngineIndex, ServiceIndex};
use crate::ordering::failed_loads::FailedLoads;
use crate::ordering::late_orders::{FormerOrders, LATE_ORDER_MS, LateOrders};
use crate::ordering::message::{Action, EngineReport, Order, OrderAnswer};
use crate::ordering::model_sizes::ModelSizes;
use crate::ordering::published::EngineView;
use crate::prelude::*;
use crate::upstreams::{FormerStart, Lifetime};
use std::cell::Cell;
use std::rc::Rc;

/// How long freed memory stays reserved for the model that it was freed for. The unload waits for
/// running requests.
pub(super) const RESERVATION_MS: Millis = Millis(3_000);
/// The interval at which the report of an engine without a running order is read. A report costs
/// about a sixth of an order.
const IDLE_REPORT_INTERVAL_MS: Millis = Millis(5_000);
/// The shortest average time between one such report and the next, whichever engines they are of.
/// With thousands of engines, each engine's report is therefore read less often than every
/// [`IDLE_REPORT_INTERVAL_MS`].
const MIN_REPORT_SPACING_MS: Millis = Millis(5);
/// For how long an engine is left out after another process answered an order for it, while the list
/// still has it.
const OTHER_LIFETIME_MS: Millis = Millis(1_000);
/// The most models whose last engine's software version is remembered.
const MAX_LAST_VERSIONS: usize = 4_096;

/// The changes of engines since the last call of [`EngineInventory::take_changes`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineChanges {
    /// The new state of engines that may have changed.
    pub views: Vec<EngineView>,
    /// Lifetimes that have ended because the engine was removed or was started again.
    pub gone: Vec<Lifetime>,
}

/// The state of all engines, by name.
#[derive(Clone, Debug, Default)]
pub struct EngineInventory {
    engines: IndexMap<Name, Engine>,
    index: EngineIndex,
    /// Engines whose state may have changed since the last call of
    /// [`EngineInventory::take_changes`].
    changed: IndexSet<Name>,
    gone: Vec<Lifetime>,
    /// Engines that have, or had, memory reserved for a model.
    reserving: IndexSet<Name>,
    needs_engine_list: bool,
    /// The software versions of the engines whose entries state one.
    versions: IndexMap<Name, Name>,
    /// The software version of the engine that held a model and was removed last.
    last_versions: IndexMap<Name, Name>,
    /// The slowness of the engines that are not of mean speed.
    slowness: IndexMap<Name, f64>,
    /// Loads whose engines ended before they were done.
    failed_loads: FailedLoads,
    /// Lifetimes of engines at whose address another process answered an order, with when it did.
    misdirected: IndexMap<Lifetime, Millis>,
    /// The orders that a former holder of the lease may have left; none if there was no holder.
    former_orders: Option<FormerOrders>,
    /// The unanswered orders to engines that are not listed, with the start that each engine had.
    unlisted_late_orders: IndexMap<Name, (Millis, LateOrders)>,
    /// The sizes of the services' models.
    sizes: Rc<IndexMap<Name, ModelSizes>>,
    engines_visited: Cell<u64>,
}

impl EngineInventory {
    /// Changes an engine and keeps the index and the sets of engines up to date.
    fn update<T>(&mut self, id: &str, with: impl FnOnce(&mut Engine) -> T) -> Option<T> {
        let engine = self.engines.get_mut(id)?;
        self.index.remove(engine);
        let former = engine.lifetime();
        let result = with(engine);
        if let Some(sizes) = self.sizes.get(&engine.service) {
            engine.note_sizes(sizes);
        }
        self.index.add(engine);
        if engine.born_at != former.born_at {
            self.gone.push(former);
        }
        match engine.reserved_for.is_some() {
            true => drop(self.reserving.insert(engine.id.clone())),
            false => drop(self.reserving.swap_remove(id)),
        }
        self.changed.insert(engine.id.clone());
        Some(result)
    }

    /// Expects orders of a former holder, which may have the lease until `now`, to take effect late. Each
    /// engine gets an order when it has carried out none of them for `quiet_ms`.
    pub fn expect_former_orders(&mut self, now: Millis, quiet_ms: Millis) {
        self.former_orders = Some(FormerOrders {
            quiet_ms,
            until: now + LATE_ORDER_MS,
            are_void: false,
        });
    }

    fn insert(&mut self, now: Millis, mut engine: Engine) {
        engine.former_orders = self.former_orders.filter(|former| now < former.until);
        if let Some((born_at, mut late_orders)) = self.unlisted_late_orders.swap_remove(&engine.id)
        {
            if born_at != engine.born_at {
                late_orders.begin_lifetime();
            }
            engine.late_orders = late_orders;
        }
        self.index.add(&engine);
        self.engines.insert(engine.id.clone(), engine);
    }

    fn remove(&mut self, now: Millis, id: &str) {
        let Some(mut engine) = self.engines.swap_remove(id) else {
            return;
        };
        let late_orders = engine.take_late_orders(now);
        if !late_orders.is_empty() {
            self.unlisted_late_orders
                .insert(engine.id.clone(), (engine.born_at, late_orders));
        }
        self.index.remove(&engine);
        self.note_lost_models(&engine);
        self.changed.swap_remove(id);
        self.reserving.swap_remove(id);
        self.gone.push(engine.lifetime());
    }

    /// Records the loads that end because their engine does.
    fn note_lost_loads(&mut self, now: Millis, id: &str) {
        let Some(engine) = self.engines.get(id) else {
            return;
        };
        for model in engine.loading_models() {
            self.failed_loads.note_crash(now, model);
        }
    }

    /// Returns whether a model may be loaded now, since not too many engines have crashed while they
    /// loaded it.
    pub fn may_load(&self, now: Millis, model: &str) -> bool {
        self.failed_loads.may_load(now, model)
    }

    /// Sets the engines to those that are listed. The state of a new one is unknown until its
    /// report is read.
    pub fn set_engines(&mut self, now: Millis, engines: impl Iterator<Item = (Lifetime, Name)>) {
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
            self.note_lost_loads(now, id);
            self.remove(now, id);
        }
        self.unlisted_late_orders
            .retain(|_, (_, late_orders)| late_orders.is_pending(now));
        self.misdirected
            .retain(|_, at| now.since(*at) < OTHER_LIFETIME_MS);
        self.needs_engine_list = !self.misdirected.is_empty();
        for (id, (lifetime, service)) in listed {
            if self.misdirected.contains_key(&lifetime) {
                continue;
            }
            match self.engines.get(&id).map(|engine| engine.born_at) {
                // An engine's own report may show a new start before the list does.
                Some(born_at) if born_at >= lifetime.born_at => {}
                Some(_) => {
                    self.note_lost_loads(now, &id);
                    self.update(&id, |engine| {
                        engine.begin_lifetime(now, lifetime.born_at);
                    });
                }
                None => self.insert(now, Engine::new(lifetime, service)),
            }
        }
    }

    /// Sets what is known of earlier starts of the engines, by their present lifetimes. What this
    /// holder has seen itself stays.
    pub fn set_former_starts(&mut self, starts: impl Iterator<Item = (Lifetime, FormerStart)>) {
        for (lifetime, former_start) in starts {
            let engine = self.engines.get_mut(&lifetime.id);
            let engine = engine.filter(|engine| engine.born_at == lifetime.born_at);
            if let Some(engine) =
                engine.filter(|engine| engine.former_start == FormerStart::Unknown)
            {
                engine.former_start = former_start;
            }
        }
    }

    /// Sets the sizes of the services' models. The copies that are known keep theirs.
    pub fn set_sizes(&mut self, sizes: Rc<IndexMap<Name, ModelSizes>>) {
        self.sizes = sizes;
    }

    /// Sets the software versions of the engines.
    pub fn set_versions(&mut self, versions: impl Iterator<Item = (Name, Name)>) {
        self.versions = versions.collect();
    }

    /// Returns the software version of an engine, if its entry states it.
    pub fn version(&self, id: &str) -> Option<&Name> {
        self.versions.get(id)
    }

    /// Sets the slowness of the engines that are not of mean speed.
    pub fn set_slowness(&mut self, slowness: impl Iterator<Item = (Name, f64)>) {
        self.slowness = slowness.collect();
    }

    /// Returns how long an engine takes for its work, relative to the mean of its service, which is 1.
    pub fn slowness(&self, id: &str) -> f64 {
        self.slowness.get(id).copied().unwrap_or(1.0)
    }

    /// Returns whether all engines are of mean speed.
    pub fn is_even(&self) -> bool {
        self.slowness.is_empty()
    }

    /// Returns the software version of the engine that held a model and was removed last.
    pub fn last_version(&self, model: &str) -> Option<&Name> {
        self.last_versions.get(model)
    }

    fn note_lost_models(&mut self, engine: &Engine) {
        let Some(version) = self.versions.get(&engine.id).cloned() else {
            return;
        };
        let held = engine.copies.iter();
        for (model, _) in held.filter(|(_, copy)| **copy == ModelCopy::Held) {
            if self.last_versions.len() >= MAX_LAST_VERSIONS {
                self.last_versions.shift_remove_index(0);
            }
            self.last_versions.insert(model.clone(), version.clone());
        }
    }

    /// Returns whether an engine was dropped that may still be listed, so that
    /// [`EngineInventory::set_engines`] must be called.
    pub fn needs_engine_list(&self) -> bool {
        self.needs_engine_list
    }

    /// Assumes that unloads are done whose time has passed.
    pub fn assume_unloaded(&mut self, now: Millis) {
        let engines = self.engines.values();
        let due = engines.filter(|engine| engine.is_unload_due(now));
        let due: Vec<Name> = due.map(|engine| engine.id.clone()).collect();
        for id in &due {
            self.update(id, Engine::assume_unloaded);
        }
    }

    /// Returns an engine.
    pub fn get(&self, id: &str) -> Option<&Engine> {
        self.engines.get(id)
    }

    /// Returns all engines.
    pub fn iter(&self) -> impl Iterator<Item = &Engine> {
        self.count_visits(self.engines.values())
    }

    fn count_visits<'a>(
        &'a self,
        engines: impl Iterator<Item = &'a Engine>,
    ) -> impl Iterator<Item = &'a Engine> {
        engines.inspect(|_| self.engines_visited.set(self.engines_visited.get() + 1))
    }

    /// Returns how many engines the iterators of this type have returned in total. It measures the
    /// work of planning that the index does not save.
    pub fn engines_visited(&self) -> u64 {
        self.engines_visited.get()
    }

    /// Returns the index of a service; `None` if it has no engines.
    pub fn service_index(&self, service: &str) -> Option<&ServiceIndex> {
        self.index.service(service)
    }

    /// Returns a window of at most `max` consecutive engines, starting at position `from` modulo
    /// their number.
    pub fn window(&self, from: u64, max: usize) -> impl Iterator<Item = &Engine> {
        let count = self.engines.len();
        let start = (from % count.max(1) as u64) as usize;
        let indices = (start..start + max.min(count)).map(move |at| at % count);
        self.count_visits(indices.filter_map(|at| Some(self.engines.get_index(at)?.1)))
    }

    /// Returns the engines with these names; unknown names are left out.
    pub fn by_name<'a>(
        &'a self,
        ids: impl Iterator<Item = &'a Name>,
    ) -> impl Iterator<Item = &'a Engine> {
        self.count_visits(ids.filter_map(|id| self.engines.get(id)))
    }

    /// Returns engines that have changed recently. All those with adapters that are not ready yet
    /// are among them.
    pub fn recently_changed(&self) -> impl Iterator<Item = &Engine> {
        self.by_name(self.changed.iter())
    }

    /// Returns until when orders of a former holder may take effect, if they still may.
    pub fn former_orders_until(&self, now: Millis) -> Option<Millis> {
        let until = self.former_orders?.until;
        (now < until).then_some(until)
    }

    /// Returns the engines on which memory is reserved for a model, with that model.
    pub fn reservations(&self, now: Millis) -> impl Iterator<Item = (&Engine, &Name)> {
        let engines = self.reserving.iter().filter_map(|id| self.engines.get(id));
        engines.filter_map(move |engine| Some((engine, engine.reserved_for(now)?)))
    }

    /// Returns how many loads from the weight store are running.
    pub fn store_loads(&self) -> usize {
        self.index.store_loads()
    }

    /// Returns the engines that are loading from the weight store.
    pub fn loading(&self) -> impl Iterator<Item = &Engine> {
        self.by_name(self.index.loading())
    }

    /// Updates each running load from the weight store with the number of loads that run at the
    /// same time.
    fn update_concurrent_loads(&mut self) {
        let loads = self.store_loads();
        for id in self.index.loading() {
            let Some(engine) = self.engines.get_mut(id) else {
                continue;
            };
            for copy in engine.copies.values_mut() {
                update_concurrency(copy, loads);
            }
        }
    }

    /// Creates an order for an engine and reserves what it needs. `freed_for` is the model to load
    /// next into the memory that the order frees.
    pub fn begin(
        &mut self,
        now: Millis,
        id: &str,
        action: Action,
        model_ref: ModelRef,
        freed_for: Option<Name>,
    ) -> Option<Order> {
        self.update(id, |engine| {
            let order = engine.order(action, model_ref);
            engine.reserved_for = freed_for.map(|model| (model, now + RESERVATION_MS));
            engine.begin(&order);
            order
        })
    }

    /// Sends an engine no order before `until`, and reads its report only if that is awaited.
    pub fn hold_calls(&mut self, id: &str, until: Millis) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.hold_calls(until);
        }
    }

    /// Returns the orders to send now, which are new ones and unanswered ones, and marks them as
    /// being sent.
    pub fn take_due_orders(&mut self, now: Millis) -> Vec<(Name, Order)> {
        let mut due = Vec::new();
        for engine in self.engines.values_mut() {
            if now < engine.backoff_until {
                continue;
            }
            if let Some(pending) = &mut engine.pending
                && !pending.is_sending
            {
                pending.is_sending = true;
                due.push((engine.id.clone(), pending.order.clone()));
            }
        }
        due
    }

    /// Updates an engine from its answer to an order. `load` is the expected time and source of the
    /// load that the order starts.
    pub fn record_answer(
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
            self.note_ended_call(now, id, order, answer);
            return;
        }
        if answer == OrderAnswer::OtherLifetime {
            if let Some(engine) = self.engines.get(id) {
                self.misdirected.insert(engine.lifetime(), now);
            }
            self.remove(now, id);
            self.needs_engine_list = true;
            return;
        }
        self.update(id, |engine| {
            engine.record_answer(now, order, answer, load);
        });
        if matches!(answer, OrderAnswer::Accepted | OrderAnswer::AlreadyDone) {
            self.update_concurrent_loads();
        }
    }

    /// Records the end of a call that sent an order to an earlier start of an engine, or to an engine
    /// that is not listed any more.
    fn note_ended_call(&mut self, now: Millis, id: &str, order: &Order, answer: OrderAnswer) {
        if answer != OrderAnswer::Silent {
            return;
        }
        match self.engines.get_mut(id) {
            Some(engine) => engine.late_orders.note(now, order.clone()),
            None => {
                if let Some((_, late_orders)) = self.unlisted_late_orders.get_mut(id) {
                    late_orders.note(now, order.clone());
                }
            }
        }
    }

    /// Returns the interval at which the report of each engine without a running order is read.
    fn idle_report_interval(&self) -> Millis {
        Millis(MIN_REPORT_SPACING_MS.0 * self.engines.len() as u64).max(IDLE_REPORT_INTERVAL_MS)
    }

    /// Returns the engines whose reports are to be read now: all that have an order whose outcome
    /// is awaited, and at most `max_idle` others.
    pub fn due_reports(&mut self, now: Millis, max_idle: usize) -> Vec<Name> {
        let is_due = |engine: &&Engine| !engine.is_reading_report && now >= engine.next_report_at;
        let due = self.engines.values().filter(is_due);
        let (awaited, idle): (Vec<&Engine>, Vec<&Engine>) =
            due.partition(|engine| engine.awaits_outcome());
        let due = awaited.into_iter().chain(idle.into_iter().take(max_idle));
        let due: Vec<Name> = due.map(|engine| engine.id.clone()).collect();
        for id in &due {
            if let Some(engine) = self.engines.get_mut(id) {
                engine.is_reading_report = true;
            }
        }
        due
    }

    /// Updates an engine from its report; `None` means that the report could not be read. Returns
    /// the loads that the report shows as finished.
    pub fn record_report(
        &mut self,
        now: Millis,
        id: &str,
        report: Option<EngineReport>,
    ) -> Vec<LoadProgress> {
        let Some(report) = report else {
            if let Some(engine) = self.engines.get_mut(id) {
                engine.record_report_failure(now);
            }
            return Vec::new();
        };
        let idle_ms = self.idle_report_interval();
        let loaded = self.update(id, |engine| engine.record_report(now, report, idle_ms));
        let loaded = loaded.unwrap_or_default();
        for load in &loaded {
            self.failed_loads.note_loaded(&load.model);
        }
        loaded
    }

    /// Returns the changes since the last call.
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
            engine.changes_with_time(now)
        });
        changes
    }
}

/// Raises the number of concurrent loads of a copy that is loading from the weight store.
fn update_concurrency(copy: &mut ModelCopy, loads: usize) {
    if let ModelCopy::Loading {
        from_store: true,
        concurrent_loads,
        ..
    } = copy
    {
        *concurrent_loads = loads.max(*concurrent_loads);
    }
}
