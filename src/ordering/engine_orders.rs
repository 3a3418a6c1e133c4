//! Orders to one engine: the memory that they reserve, and the effect of their answers.

use crate::entry::platform::ModelRef;
use crate::ordering::copy::{LoadTime, ModelCopy};
use crate::ordering::engine::{
    BACKOFF_MS, BUSY_REPORT_INTERVAL_MS, Engine, MAX_REPORT_LAG_MS, PendingOrder,
};
use crate::ordering::engine_inventory::RESERVATION_MS;
use crate::ordering::message::{Action, Order, OrderAnswer};
use crate::prelude::*;

/// The time from an adapter's accepted order until the engine runs requests with it, when few
/// adapters are being loaded. The fetch itself takes 5 to 7 ms.
const ADAPTER_LOAD_MS: Millis = Millis(9);
/// The duration of an unload of an unused model. The next order is then tried; an engine that is
/// not done refuses it.
const UNLOAD_MS: Millis = Millis(130);
/// How long an engine that refused an order gets no other one, so that its report can be read.
const REFUSED_BACKOFF_MS: Millis = Millis(100);

impl Engine {
    /// Creates the order for an action.
    pub(super) fn order(&self, action: Action, model_ref: ModelRef) -> Order {
        Order {
            action,
            ask: model_ref,
            after_orders: self.order_count,
            born_at: self.born_at,
        }
    }

    /// Reserves what a new order needs and stores it as pending.
    pub(super) fn begin(&mut self, order: &Order) {
        self.reserve(order);
        // Hosts must stop sending requests before the engine starts to unload.
        if order.action == Action::Unload {
            match &order.ask.adapter {
                Some(_) => drop(self.adapters.shift_remove(&order.ask)),
                None => drop(
                    self.copies
                        .insert(order.ask.model.clone(), ModelCopy::Unloading),
                ),
            }
        }
        self.pending = Some(PendingOrder {
            order: order.clone(),
            is_sending: false,
            may_take_effect: false,
        });
    }

    /// Postpones the next order, new or repeated, until `until`, and the next read of the report
    /// unless its content is awaited.
    pub(super) fn hold_calls(&mut self, until: Millis) {
        self.backoff_until = self.backoff_until.max(until);
        if self.is_known && !self.awaits_outcome() {
            self.next_report_at = self.next_report_at.max(until);
        }
    }

    /// Updates the engine from the answer to its pending order.
    pub(super) fn record_answer(
        &mut self,
        now: Millis,
        order: &Order,
        answer: OrderAnswer,
        load: LoadTime,
    ) {
        match answer {
            OrderAnswer::Accepted | OrderAnswer::AlreadyDone => {
                self.pending = None;
                self.count(now, order, answer);
                self.apply(now, order, answer, load);
            }
            OrderAnswer::Conflict | OrderAnswer::Fenced | OrderAnswer::Invalid => {
                self.pending = None;
                self.forget_own_adapters(&order.ask);
                self.undo(order);
                if answer == OrderAnswer::Invalid && order.action == Action::Unload {
                    self.refused_unloads.insert(order.ask.clone());
                }
                if order.action == Action::Load && order.ask.adapter.is_none() {
                    // The unload that should have freed the memory is not done yet; the reservation
                    // stays.
                    self.reserved_for = Some((order.ask.model.clone(), now + RESERVATION_MS));
                }
                self.needs_report = true;
                self.next_report_at = now;
                self.backoff_until = now + REFUSED_BACKOFF_MS;
            }
            OrderAnswer::Silent => {
                self.late_orders.note(now, order.clone());
                if let Some(pending) = &mut self.pending {
                    pending.is_sending = false;
                    pending.may_take_effect = true;
                }
                self.next_report_at = now;
                self.backoff_until = now + BACKOFF_MS;
            }
            OrderAnswer::NotSent => self.record_not_sent(now, order),
            // The caller removes the engine.
            OrderAnswer::OtherLifetime => {}
        }
    }

    /// Counts an order if it is known that the engine does.
    fn count(&mut self, now: Millis, order: &Order, answer: OrderAnswer) {
        if answer == OrderAnswer::Accepted {
            self.note_own_order_counted();
        }
        match (order.action, &order.ask.adapter) {
            (Action::Load, Some(_)) => {
                if answer == OrderAnswer::Accepted && !self.leaving_adapters.contains(&order.ask) {
                    self.own_adapters.insert(order.ask.clone());
                }
            }
            (Action::Unload, Some(_)) => {
                let is_own = self.own_adapters.swap_remove(&order.ask);
                match answer {
                    OrderAnswer::Accepted => drop(self.leaving_adapters.insert(order.ask.clone())),
                    // An engine answers the unload of an unused adapter as already done, but counts it.
                    _ if is_own => self.note_own_order_counted(),
                    // An adapter that a report lists may have left since: its unload may have been
                    // accepted while it was in use. Then the engine does not count this one.
                    _ => self.uncounted_until = Some(now + MAX_REPORT_LAG_MS),
                }
            }
            (Action::Unload, None) => {
                let is_other = |asked: &ModelRef| asked.model != order.ask.model;
                self.own_adapters.retain(is_other);
                self.leaving_adapters.retain(is_other);
            }
            (Action::Load, None) => {}
        }
        if self.uncounted_until.is_some() {
            self.next_report_at = now + BUSY_REPORT_INTERVAL_MS;
        }
    }

    /// Reverts an order that was not sent, unless an earlier call of it may still take effect.
    fn record_not_sent(&mut self, now: Millis, order: &Order) {
        match &mut self.pending {
            Some(pending) if pending.may_take_effect => pending.is_sending = false,
            _ => {
                self.pending = None;
                self.undo(order);
            }
        }
        self.backoff_until = now + BACKOFF_MS;
    }

    /// Applies the effect of an accepted order, or of one that was already done.
    fn apply(&mut self, now: Millis, order: &Order, answer: OrderAnswer, load: LoadTime) {
        let is_done = answer == OrderAnswer::AlreadyDone;
        match (order.action, &order.ask.adapter) {
            (Action::Load, Some(_)) => {
                let ready_at = if is_done { now } else { now + ADAPTER_LOAD_MS };
                self.adapters.insert(order.ask.clone(), ready_at);
            }
            (Action::Unload, Some(_)) => {
                self.adapters.shift_remove(&order.ask);
            }
            (Action::Load, None) if is_done => {
                self.copies.insert(order.ask.model.clone(), ModelCopy::Held);
            }
            (Action::Load, None) => {
                let copy = ModelCopy::Loading {
                    since: now,
                    ready_at: now + load.takes_ms,
                    from_store: load.from_store,
                    concurrent_loads: 1,
                };
                self.copies.insert(order.ask.model.clone(), copy);
                self.was_busy = true;
                self.next_report_at = now + load.takes_ms;
            }
            (Action::Unload, None) => {
                self.adapters
                    .retain(|model_ref, _| model_ref.model != order.ask.model);
                match is_done {
                    true => drop(self.copies.shift_remove(&order.ask.model)),
                    false => {
                        self.copies
                            .insert(order.ask.model.clone(), ModelCopy::Unloading);
                        self.was_busy = true;
                        self.unload_done_at = Some(now + UNLOAD_MS);
                    }
                }
                self.next_report_at = now + BUSY_REPORT_INTERVAL_MS;
            }
        }
    }

    /// Reserves the memory for what an order may load, until it is known that the order has no
    /// effect.
    pub(super) fn reserve(&mut self, order: &Order) {
        if order.action == Action::Load {
            match &order.ask.adapter {
                Some(_) => drop(
                    self.adapters
                        .entry(order.ask.clone())
                        .or_insert(Millis::NEVER),
                ),
                None => {
                    let model = order.ask.model.clone();
                    let from_store = !self.cached_models.contains(&model);
                    self.copies.entry(model).or_insert(ModelCopy::Loading {
                        since: Millis::NEVER,
                        ready_at: Millis::NEVER,
                        from_store,
                        concurrent_loads: 1,
                    });
                }
            }
        }
    }

    /// Reverts the assumptions of an order that had no effect.
    pub(super) fn undo(&mut self, order: &Order) {
        match (order.action, &order.ask.adapter) {
            (Action::Load, Some(_)) => {
                if self.adapters.get(&order.ask) == Some(&Millis::NEVER) {
                    self.adapters.shift_remove(&order.ask);
                }
            }
            (Action::Load, None) => {
                self.copies.shift_remove(&order.ask.model);
            }
            (Action::Unload, Some(_)) => {
                self.adapters.insert(order.ask.clone(), Millis::ZERO);
            }
            (Action::Unload, None) => {
                self.copies.insert(order.ask.model.clone(), ModelCopy::Held);
            }
        }
    }
}
