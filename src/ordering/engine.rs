//! One engine as the orderer knows it: what it holds, what is on its way, the order under way.

use crate::desired::EngineSpec;
use crate::entry::platform::ModelRef;
use crate::ordering::copy::{Copy, Loaded};
use crate::ordering::message::{Action, EngineReport, Order};
use crate::ordering::published::EngineView;
use crate::prelude::*;
use crate::upstreams::{HeldModel, Lifetime};

/// How often an engine's report is read while an order's outcome is waited for.
pub(super) const BUSY_REPORT_MS: Millis = Millis(250);
/// How long an engine rests after an answer that gives no hint what it will do next.
pub(super) const REST_MS: Millis = Millis(400);
/// How long after a restart an unanswered order to the former start may still be carried out: the platform speaks of
/// seconds.
const VOID_ORDER_MS: Millis = Millis(10_000);
/// How old the state that a report shows may be: reports lag by some hundred milliseconds.
const REPORT_LAG_AT_MOST_MS: Millis = Millis(2_000);

/// An order that was made and of which the outcome is not known.
#[derive(Clone, Debug)]
pub struct Pending {
    /// The order.
    pub order: Order,
    /// Whether a call is under way.
    pub in_call: bool,
    /// Whether a call of it got no answer, so that it may take effect later.
    pub is_uncertain: bool,
}

/// One engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Its name.
    pub id: Name,
    /// The Unix time of the start that all else is known of; zero where it does not say.
    pub born_at: Millis,
    /// Its service.
    pub service: Name,
    /// The models on it.
    pub copies: IndexMap<Name, Copy>,
    /// The adapters on it, with the time from which each can run.
    pub adapters: IndexMap<ModelRef, Millis>,
    /// When models were loaded by this host's orders.
    pub loaded_at: IndexMap<Name, Millis>,
    /// Models whose weights it has at hand.
    pub at_hand: IndexSet<Name>,
    /// The order under way.
    pub pending: Option<Pending>,
    /// An order to a former start that may still arrive at this one, and until when: an engine that has taken as many
    /// orders by then takes it too.
    pub(super) void: Option<(Order, Millis)>,
    /// The model for which memory is being freed, and until when it is kept for it.
    pub(super) intended: Option<(Name, Millis)>,
    /// Whether its report was read since this host began to order.
    pub is_known: bool,
    /// Whether a report call is under way.
    pub in_report: bool,
    pub(super) order_count: u64,
    /// Since when reports show a lower count of orders than is known here.
    lower_count_since: Option<Millis>,
    pub(super) is_doubtful: bool,
    pub(super) unloaded_at: Option<Millis>,
    pub(super) rests_until: Millis,
    /// When its report is to be read next.
    pub report_at: Millis,
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
            loaded_at: IndexMap::new(),
            at_hand: IndexSet::new(),
            pending: None,
            void: None,
            intended: None,
            is_known: false,
            in_report: false,
            order_count: 0,
            lower_count_since: None,
            is_doubtful: false,
            unloaded_at: None,
            rests_until: Millis::ZERO,
            report_at: Millis::ZERO,
            was_busy: false,
        }
    }

    /// Tells whether the engine takes a new order now.
    pub fn is_free(&self, now: Millis) -> bool {
        self.is_known
            && !self.is_doubtful
            && self.pending.is_none()
            && !self.is_busy()
            && now >= self.rests_until
    }

    /// Tells whether the engine is carrying out an order for a whole model.
    pub fn is_busy(&self) -> bool {
        let changes = |copy: &Copy| !matches!(copy, Copy::Held);
        self.was_busy || self.copies.values().any(changes)
    }

    /// Tells whether an unload should be done.
    pub(super) fn is_unload_due(&self, now: Millis) -> bool {
        self.unloaded_at.is_some_and(|at| now >= at)
    }

    /// Takes an unload for done: the engine refuses the next order if it is not.
    pub(super) fn assume_unloaded(&mut self) {
        self.unloaded_at = None;
        self.was_busy = false;
        self.copies.retain(|_, copy| *copy != Copy::Unloading);
    }

    /// Tells whether what hosts are told of the engine changes with time alone: a load from its own disk or an adapter is
    /// about to be ready, or may be.
    pub(super) fn will_change(&self, now: Millis) -> bool {
        let is_loading = |copy: &Copy| match copy {
            Copy::Loading {
                ready_at,
                from_store: false,
                ..
            } => *ready_at != Millis::NEVER && !copy.should_run(now),
            Copy::Loading { .. } | Copy::Held | Copy::Unloading => false,
        };
        self.adapters.values().any(|at| *at > now) || self.copies.values().any(is_loading)
    }

    /// Tells whether a model on the engine can run.
    pub fn holds_model(&self, model: &str) -> bool {
        matches!(self.copies.get(model), Some(Copy::Held))
    }

    /// Returns the model for which memory is being freed here.
    pub fn intended(&self, now: Millis) -> Option<&Name> {
        let (model, until) = self.intended.as_ref()?;
        (now < *until).then_some(model)
    }

    /// Tells whether a model is on the engine, on its way, or about to be.
    pub fn will_hold(&self, now: Millis, model: &str) -> bool {
        let copy = self.copies.get(model);
        let stays = copy.is_some_and(|copy| *copy != Copy::Unloading);
        stays
            || self
                .intended(now)
                .is_some_and(|intended| &**intended == model)
    }

    /// Returns the memory in use, with what is on its way and what an unanswered order may bring.
    pub fn used_mb(&self, now: Millis, spec: &EngineSpec) -> f64 {
        let mb = |model: &str| spec.models.get(model).map_or(0.0, |model| model.weights_mb);
        let adapter_mb = |ask: &ModelRef| {
            let model = spec.models.get(&ask.model);
            model.map_or(0.0, |model| model.adapter_mb)
        };
        let models: f64 = self.copies.keys().map(|model| mb(model)).sum();
        let adapters: f64 = self.adapters.keys().map(adapter_mb).sum();
        let void = self.void_load(now).map_or(0.0, |ask| match ask.adapter {
            Some(_) => adapter_mb(ask),
            None => mb(&ask.model),
        });
        models + adapters + void
    }

    /// Returns what an order to a former start may still bring.
    pub fn void_load(&self, now: Millis) -> Option<&ModelRef> {
        let (order, until) = self.void.as_ref()?;
        let may_bring = order.action == Action::Load && now < *until;
        may_bring.then_some(&order.ask)
    }

    /// Returns the places for adapters in use, with what is on its way and what an order to a former start may bring.
    pub fn adapter_places(&self, now: Millis) -> usize {
        let void = self.void_load(now);
        let void_places = usize::from(void.is_some_and(|ask| ask.adapter.is_some()));
        self.adapters.len() + void_places
    }

    /// Returns the adapters of a model.
    pub fn adapters_of<'a>(&'a self, model: &'a str) -> impl Iterator<Item = &'a ModelRef> {
        self.adapters.keys().filter(move |ask| &*ask.model == model)
    }

    /// Returns the loads from the weight store that the engine said, a moment ago, it still carries out.
    pub fn loads_under_way(&self, now: Millis) -> impl Iterator<Item = Loaded> {
        let reported = self.was_busy && self.is_known;
        let copies = self.copies.iter().filter(move |_| reported);
        let from_store = copies.filter(|(_, copy)| copy.is_from_store());
        from_store.filter_map(move |(model, copy)| copy.as_load(now, model))
    }

    /// Returns the start that all else is known of.
    pub(super) fn lifetime(&self) -> Lifetime {
        Lifetime {
            id: self.id.clone(),
            born_at: self.born_at,
        }
    }

    /// Begins anew with another start of the engine: it holds nothing, its count of orders begins at zero, and orders
    /// to the former start are void.
    pub(super) fn begin_lifetime(&mut self, now: Millis, born_at: Millis) {
        let lifetime = Lifetime {
            born_at,
            ..self.lifetime()
        };
        let pending = self.pending.take().map(|pending| pending.order);
        let void = pending
            .map(|order| (order, now + VOID_ORDER_MS))
            .or(self.void.take());
        *self = Self {
            void,
            ..Self::new(lifetime, self.service.clone())
        };
    }

    /// Tells whether the outcome of an order is waited for.
    pub fn is_waited_for(&self) -> bool {
        self.was_busy || self.is_doubtful || self.pending.is_some()
    }

    /// Takes note that the report could not be read.
    pub(super) fn note_unreported(&mut self, now: Millis) {
        self.in_report = false;
        self.report_at = now + REST_MS;
    }

    /// Tells whether a report is an old one: of an earlier start, or from before the last order. A lower count that lasts
    /// longer than any report's lag is that of a new start which does not say when it began.
    fn is_old_report(&mut self, now: Millis, report: &EngineReport) -> bool {
        let says_start = report.born_at != Millis::ZERO;
        if says_start && report.born_at < self.born_at {
            return true;
        }
        if !self.is_known || report.order_count >= self.order_count {
            self.lower_count_since = None;
            return false;
        }
        let since = *self.lower_count_since.get_or_insert(now);
        now.since(since) < REPORT_LAG_AT_MOST_MS
    }

    /// Takes a report. An engine counts an order when it accepts it and reports both at once, so a report with the
    /// count that is known here shows the effect of every order so far, and one with a lower count is older.
    /// An engine of which no order is under way is asked again after `idle_ms`.
    pub(super) fn take_report(
        &mut self,
        now: Millis,
        report: EngineReport,
        idle_ms: Millis,
    ) -> Vec<Loaded> {
        self.in_report = false;
        if report.born_at > self.born_at {
            self.begin_lifetime(now, report.born_at);
        }
        if self.is_old_report(now, &report) {
            self.report_at = now + BUSY_REPORT_MS;
            return Vec::new();
        }
        if report.order_count < self.order_count {
            self.begin_lifetime(now, self.born_at);
        }
        match report.at_hand {
            // An engine drops the copies of weights that it used longest ago.
            Some(at_hand) => self.at_hand = at_hand.into_iter().collect(),
            None => {
                let held = report.models.iter().map(|held| held.name.clone());
                self.at_hand.extend(held);
            }
        }
        if report.order_count > self.order_count || !self.is_known {
            self.pending = None;
        }
        self.order_count = report.order_count;
        self.is_known = true;
        self.is_doubtful = false;
        self.unloaded_at = None;
        self.was_busy = report.busy;
        self.report_at = now
            + match self.is_waited_for() {
                true => BUSY_REPORT_MS,
                false => idle_ms,
            };
        let under_way: Vec<(Name, Copy)> = self
            .copies
            .iter()
            .filter(|(_, copy)| **copy != Copy::Held)
            .map(|(model, copy)| (model.clone(), *copy))
            .collect();
        self.take_models(report.models, report.coming);
        if report.busy {
            self.copies.extend(under_way);
            return Vec::new();
        }
        let pending = self.pending.clone();
        if let Some(pending) = pending.filter(|pending| pending.is_uncertain) {
            self.reserve(&pending.order);
        }
        let loaded = under_way
            .into_iter()
            .filter(|(model, _)| self.holds_model(model));
        let loaded: Vec<Loaded> = loaded
            .filter_map(|(model, copy)| copy.as_load(now, &model))
            .collect();
        for load in &loaded {
            self.loaded_at.insert(load.model.clone(), now);
        }
        loaded
    }

    fn take_models(&mut self, models: Vec<HeldModel>, coming: Vec<ModelRef>) {
        let former = std::mem::take(&mut self.adapters);
        self.copies.clear();
        for held in models {
            for adapter in held.adapters {
                let ask = ModelRef {
                    model: held.name.clone(),
                    adapter: Some(adapter),
                };
                let ready_at = former.get(&ask).copied().unwrap_or(Millis::ZERO);
                self.adapters.insert(ask, ready_at);
            }
            self.copies.insert(held.name, Copy::Held);
        }
        for ask in coming {
            let ready_at = former.get(&ask).copied().unwrap_or(Millis::ZERO);
            self.adapters.entry(ask).or_insert(ready_at);
        }
    }

    /// Returns what hosts are told of the engine.
    pub(super) fn view(&self, now: Millis) -> EngineView {
        let held = self.copies.iter();
        let models = held
            .filter(|(_, copy)| copy.should_run(now))
            .map(|(model, _)| ModelRef {
                model: model.clone(),
                adapter: None,
            });
        let adapters = self.adapters.iter();
        let adapters = adapters
            .filter(|(ask, ready_at)| **ready_at <= now && self.holds_model(&ask.model))
            .map(|(ask, _)| ask.clone());
        EngineView {
            engine: self.lifetime(),
            held: models.chain(adapters).collect(),
        }
    }
}
