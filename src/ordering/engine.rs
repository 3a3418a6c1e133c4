//! One engine as the orderer knows it: what it holds, what it is loading or unloading, and its
//! unanswered order.

use crate::entry::platform::ModelRef;
use crate::ordering::copy::{LoadProgress, ModelCopy};
use crate::ordering::late_orders::{FormerOrders, LateOrders};
use crate::ordering::message::{EngineReport, Order};
use crate::ordering::model_sizes::ModelSize;
use crate::ordering::published::EngineView;
use crate::prelude::*;
use crate::upstreams::{FormerStart, HeldModel, Lifetime};

/// The interval at which an engine's report is read while the outcome of an order is awaited.
pub(super) const BUSY_REPORT_INTERVAL_MS: Millis = Millis(250);
/// The back-off of an engine after an order that was not answered or not sent, and the wait for the
/// next report after a failed one.
pub(super) const BACKOFF_MS: Millis = Millis(400);
/// The largest age of the state that a report shows. Reports lag by some hundred milliseconds.
pub(super) const MAX_REPORT_LAG_MS: Millis = Millis(2_000);

/// An order whose outcome is not known yet.
#[derive(Clone, Debug)]
pub struct PendingOrder {
    /// The order.
    pub order: Order,
    /// Whether a call that sends it is running.
    pub is_sending: bool,
    /// Whether a call got no answer, so that the order may still take effect later.
    pub may_take_effect: bool,
}

/// The state of one engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// The engine's name.
    pub id: Name,
    /// The engine's start in Unix time, to which all other fields belong; zero if the engine does
    /// not report it.
    pub born_at: Millis,
    /// The service that the engine belongs to.
    pub service: Name,
    /// The models on the engine, including those that are being loaded or unloaded.
    pub copies: IndexMap<Name, ModelCopy>,
    /// The adapters on the engine, with the time from which each can run; [`Millis::NEVER`] if the
    /// order that loads it is not answered.
    pub adapters: IndexMap<ModelRef, Millis>,
    /// The sizes of the copies, as far as they are known.
    pub(super) sizes: IndexMap<Name, ModelSize>,
    /// The size of the largest model that the desired states of this process's life had.
    pub(super) largest_mb: f64,
    /// Models and adapters whose unload this start of the engine has refused as invalid.
    pub(super) refused_unloads: IndexSet<ModelRef>,
    /// When this host's orders finished loading models.
    pub loaded_at: IndexMap<Name, Millis>,
    /// Models whose weights the engine has cached in memory or on disk.
    pub cached_models: IndexSet<Name>,
    /// The order whose outcome is not known yet.
    pub pending: Option<PendingOrder>,
    /// The orders of this holder that had no answer.
    pub(super) late_orders: LateOrders,
    /// The model that memory is being freed for, and until when that memory is reserved.
    pub(super) reserved_for: Option<(Name, Millis)>,
    /// Whether a report was read since this host became the orderer.
    pub is_known: bool,
    /// Whether a call for the report is running.
    pub is_reading_report: bool,
    /// The number of orders that the engine has accepted since its start. It is never higher than the
    /// engine's own: an order of a former holder would otherwise be refused now and take effect later.
    pub(super) order_count: u64,
    /// When a report first showed `order_count`, unless this holder's own orders led to it.
    pub(super) counted_at: Option<Millis>,
    /// The orders that a former holder may have left; none where there was no such holder.
    pub(super) former_orders: Option<FormerOrders>,
    /// What is known of earlier starts of the engine.
    pub(super) former_start: FormerStart,
    /// Adapters that this holder loaded and that stay until this holder unloads them.
    pub(super) own_adapters: IndexSet<ModelRef>,
    /// Adapters that were in use when their unload was accepted, and that reports may list until their
    /// requests end.
    pub(super) leaving_adapters: IndexSet<ModelRef>,
    /// Until when a report may be from before an unload of which it is unknown whether it counted.
    pub(super) uncounted_until: Option<Millis>,
    /// Since when reports show a lower order count than is known here.
    lower_count_since: Option<Millis>,
    /// Whether the state is uncertain after a refused order, until a report is read.
    pub(super) needs_report: bool,
    /// When the current unload of a model should be done.
    pub(super) unload_done_at: Option<Millis>,
    /// Until when the engine gets no order.
    pub(super) backoff_until: Millis,
    /// When the report is to be read next.
    pub next_report_at: Millis,
    /// Whether the engine was last known or assumed to be carrying out an order.
    pub(super) was_busy: bool,
}

impl Engine {
    pub(super) fn new(lifetime: Lifetime, service: Name) -> Self {
        Self {
            id: lifetime.id,
            born_at: lifetime.born_at,
            service,
            copies: IndexMap::new(),
            adapters: IndexMap::new(),
            sizes: IndexMap::new(),
            largest_mb: 0.0,
            refused_unloads: IndexSet::new(),
            loaded_at: IndexMap::new(),
            cached_models: IndexSet::new(),
            pending: None,
            late_orders: LateOrders::default(),
            reserved_for: None,
            is_known: false,
            is_reading_report: false,
            order_count: 0,
            counted_at: None,
            former_orders: None,
            former_start: FormerStart::Unknown,
            own_adapters: IndexSet::new(),
            leaving_adapters: IndexSet::new(),
            uncounted_until: None,
            lower_count_since: None,
            needs_report: false,
            unload_done_at: None,
            backoff_until: Millis::ZERO,
            next_report_at: Millis::ZERO,
            was_busy: false,
        }
    }

    /// Returns whether the engine accepts a new order now.
    pub fn is_free(&self, now: Millis) -> bool {
        self.is_known
            && !self.needs_report
            && self.uncounted_until.is_none()
            && self.pending.is_none()
            && !self.is_busy()
            && self.is_quiet(now)
            && now >= self.backoff_until
    }

    /// Records that the engine has counted an order of this holder.
    pub(super) fn note_own_order_counted(&mut self) {
        self.order_count += 1;
        self.set_former_orders_void(true);
    }

    /// Forgets which adapters are this holder's own, as far as an order concerns them.
    pub(super) fn forget_own_adapters(&mut self, ask: &ModelRef) {
        let is_of_model = |own: &ModelRef| ask.adapter.is_none() && own.model == ask.model;
        self.own_adapters
            .retain(|own| own != ask && !is_of_model(own));
    }

    /// Records that a report shows more orders than are known here: an unanswered one of this holder, or
    /// one of another.
    fn note_count_raised(&mut self, now: Millis) {
        match self.pending.take() {
            Some(pending) => self.forget_own_adapters(&pending.order.ask),
            None if self.is_known && self.uncounted_until.is_none() => {
                self.own_adapters.clear();
                self.set_former_orders_void(false);
            }
            None => {}
        }
        self.uncounted_until = None;
        self.counted_at = Some(now);
    }

    /// Returns whether the engine is carrying out an order for a whole model.
    pub fn is_busy(&self) -> bool {
        let is_changing = |copy: &ModelCopy| !matches!(copy, ModelCopy::Held);
        self.was_busy || self.copies.values().any(is_changing)
    }

    /// Returns whether an unload should be done by now.
    pub(super) fn is_unload_due(&self, now: Millis) -> bool {
        self.unload_done_at.is_some_and(|at| now >= at)
    }

    /// Assumes that an unload is done. If it is not, the engine refuses the next order.
    pub(super) fn assume_unloaded(&mut self) {
        self.unload_done_at = None;
        self.was_busy = false;
        self.copies.retain(|_, copy| *copy != ModelCopy::Unloading);
    }

    /// Returns whether the state that hosts are sent changes with time alone: a load from the
    /// engine's own disk or of an adapter is, or may be, about to finish.
    pub(super) fn changes_with_time(&self, now: Millis) -> bool {
        let is_loading = |copy: &ModelCopy| match copy {
            ModelCopy::Loading {
                ready_at,
                from_store: false,
                ..
            } => *ready_at != Millis::NEVER && !copy.should_be_ready(now),
            ModelCopy::Loading { .. } | ModelCopy::Held | ModelCopy::Unloading => false,
        };
        self.adapters.values().any(|at| *at > now) || self.copies.values().any(is_loading)
    }

    /// Returns whether the engine can run requests of a model.
    pub fn holds_model(&self, model: &str) -> bool {
        matches!(self.copies.get(model), Some(ModelCopy::Held))
    }

    /// Returns the model that memory is being freed for on this engine.
    pub fn reserved_for(&self, now: Millis) -> Option<&Name> {
        let (model, until) = self.reserved_for.as_ref()?;
        (now < *until).then_some(model)
    }

    /// Returns whether a model is on the engine, is being loaded, or has memory reserved.
    pub fn will_hold(&self, now: Millis, model: &str) -> bool {
        self.stays(model)
            || self
                .reserved_for(now)
                .is_some_and(|reserved_for| &**reserved_for == model)
    }

    /// Returns the adapters of a model on the engine.
    pub fn adapters_of<'a>(&'a self, model: &'a str) -> impl Iterator<Item = &'a ModelRef> {
        self.adapters
            .keys()
            .filter(move |model_ref| &*model_ref.model == model)
    }

    /// Returns the loads from the weight store that, according to a report just read, are still
    /// running.
    pub fn loads_under_way(&self, now: Millis) -> impl Iterator<Item = LoadProgress> {
        let reported = self.was_busy && self.is_known;
        let copies = self.copies.iter().filter(move |_| reported);
        let from_store = copies.filter(|(_, copy)| copy.is_loading_from_store());
        from_store.filter_map(move |(model, copy)| copy.progress(now, model))
    }

    /// Returns the models that the engine is loading, from wherever.
    pub fn loading_models(&self) -> impl Iterator<Item = &Name> {
        let copies = self.copies.iter();
        copies
            .filter_map(|(model, copy)| matches!(copy, ModelCopy::Loading { .. }).then_some(model))
    }

    /// Returns the engine's name and the start that its state belongs to.
    pub(super) fn lifetime(&self) -> Lifetime {
        Lifetime {
            id: self.id.clone(),
            born_at: self.born_at,
        }
    }

    /// Resets the state for another start of the engine. It holds nothing, its order count is zero,
    /// and the orders without an answer become ones to an earlier start.
    pub(super) fn begin_lifetime(&mut self, now: Millis, born_at: Millis) {
        let lifetime = Lifetime {
            born_at,
            ..self.lifetime()
        };
        let mut late_orders = self.take_late_orders(now);
        late_orders.begin_lifetime();
        *self = Self {
            late_orders,
            sizes: std::mem::take(&mut self.sizes),
            former_orders: self.former_orders.map(|former| FormerOrders {
                are_void: false,
                ..former
            }),
            former_start: FormerStart::Known { list_as_of: now },
            ..Self::new(lifetime, self.service.clone())
        };
    }

    /// Returns whether the outcome of an order is awaited.
    pub fn awaits_outcome(&self) -> bool {
        self.was_busy
            || self.needs_report
            || self.pending.is_some()
            || self.uncounted_until.is_some()
    }

    /// Records that the report could not be read.
    pub(super) fn record_report_failure(&mut self, now: Millis) {
        self.is_reading_report = false;
        self.next_report_at = now + BACKOFF_MS;
    }

    /// Returns whether a report is outdated: of an earlier start, or from before the last order. A
    /// lower order count that persists for longer than a report can lag means that the engine was
    /// restarted and does not report its start.
    fn is_outdated(&mut self, now: Millis, report: &EngineReport) -> bool {
        let says_start = report.born_at != Millis::ZERO;
        if says_start && report.born_at < self.born_at {
            return true;
        }
        if !self.is_known || report.order_count >= self.order_count {
            self.lower_count_since = None;
            return false;
        }
        let since = *self.lower_count_since.get_or_insert(now);
        now.since(since) < MAX_REPORT_LAG_MS
    }

    /// Updates the engine from its report. An engine updates its order count and its state together
    /// when it accepts an order. So a report with the order count that is known here shows the
    /// effect of all orders, and one with a lower count is outdated. `idle_ms` is the time until
    /// the next report if no order is running.
    pub(super) fn record_report(
        &mut self,
        now: Millis,
        report: EngineReport,
        idle_ms: Millis,
    ) -> Vec<LoadProgress> {
        self.is_reading_report = false;
        if report.born_at > self.born_at {
            self.begin_lifetime(now, report.born_at);
        }
        if self.is_outdated(now, &report) {
            self.next_report_at = now + BUSY_REPORT_INTERVAL_MS;
            return Vec::new();
        }
        if report.order_count < self.order_count {
            self.begin_lifetime(now, self.born_at);
        }
        match report.at_hand {
            // An engine evicts the cached weights that it used least recently.
            Some(at_hand) => self.cached_models = at_hand.into_iter().collect(),
            None => {
                let held = report.models.iter().map(|held| held.name.clone());
                self.cached_models.extend(held);
            }
        }
        if report.order_count > self.order_count || !self.is_known {
            self.note_count_raised(now);
        }
        self.uncounted_until.take_if(|until| now >= *until);
        self.order_count = report.order_count;
        self.is_known = true;
        self.needs_report = false;
        self.unload_done_at = None;
        self.was_busy = report.busy;
        self.next_report_at = now
            + match self.awaits_outcome() {
                true => BUSY_REPORT_INTERVAL_MS,
                false => idle_ms,
            };
        let unfinished: Vec<(Name, ModelCopy)> = self
            .copies
            .iter()
            .filter(|(_, copy)| **copy != ModelCopy::Held)
            .map(|(model, copy)| (model.clone(), *copy))
            .collect();
        self.set_models(report.models, report.coming);
        if report.busy {
            self.copies.extend(unfinished);
            return Vec::new();
        }
        let pending = self.pending.clone();
        if let Some(pending) = pending.filter(|pending| pending.may_take_effect) {
            self.reserve(&pending.order);
        }
        let loaded = unfinished
            .into_iter()
            .filter(|(model, _)| self.holds_model(model));
        let loaded: Vec<LoadProgress> = loaded
            .filter_map(|(model, copy)| copy.progress(now, &model))
            .collect();
        for load in &loaded {
            self.loaded_at.insert(load.model.clone(), now);
        }
        loaded
    }

    /// Replaces the models and adapters with those of a report. Adapters that were known keep the
    /// time from which they can run.
    fn set_models(&mut self, models: Vec<HeldModel>, coming: Vec<ModelRef>) {
        let is_listed = |asked: &ModelRef| {
            let of_model = |held: &HeldModel| {
                let adapter = asked.adapter.as_ref();
                held.name == asked.model && adapter.is_some_and(|name| held.adapters.contains(name))
            };
            models.iter().any(of_model)
        };
        self.leaving_adapters.retain(is_listed);
        let former = std::mem::take(&mut self.adapters);
        self.copies.clear();
        for held in models {
            for adapter in held.adapters {
                let model_ref = ModelRef {
                    model: held.name.clone(),
                    adapter: Some(adapter),
                };
                let ready_at = former.get(&model_ref).copied().unwrap_or(Millis::ZERO);
                self.adapters.insert(model_ref, ready_at);
            }
            self.copies.insert(held.name, ModelCopy::Held);
        }
        for model_ref in coming {
            let ready_at = former.get(&model_ref).copied().unwrap_or(Millis::ZERO);
            self.adapters.entry(model_ref).or_insert(ready_at);
        }
        let Self {
            copies, adapters, ..
        } = self;
        self.refused_unloads.retain(|ask| match ask.adapter {
            Some(_) => adapters.contains_key(ask),
            None => copies.contains_key(&ask.model),
        });
    }

    /// Returns the state of the engine that hosts are sent.
    pub(super) fn view(&self, now: Millis) -> EngineView {
        let held = self.copies.iter();
        let models = held
            .filter(|(_, copy)| copy.should_be_ready(now))
            .map(|(model, _)| ModelRef {
                model: model.clone(),
                adapter: None,
            });
        let adapters = self.adapters.iter();
        let adapters = adapters
            .filter(|(model_ref, ready_at)| **ready_at <= now && self.holds_model(&model_ref.model))
            .map(|(model_ref, _)| model_ref.clone());
        EngineView {
            engine: self.lifetime(),
            held: models.chain(adapters).collect(),
        }
    }
}
