//! Orders to one engine: the memory that they reserve, and the effect of their answers.

use crate::entry::platform::ModelAsk;
use crate::ordering::copy::{Copy, LoadTime};
use crate::ordering::engine::{BUSY_REPORT_MS, Engine, Pending, REST_MS};
use crate::ordering::ledger::INTENDED_MS;
use crate::ordering::message::{Action, Order, OrderAnswer};
use crate::prelude::*;

/// The time from an adapter's accepted order until the engine runs requests with it, when few
/// adapters are being loaded. The fetch itself takes 5 to 7 ms.
const ADAPTER_MS: Millis = Millis(9);
/// The duration of an unload of an unused model. The next order is then tried; an engine that is
/// not done refuses it.
const UNLOAD_MS: Millis = Millis(130);
/// How long an engine that refused an order gets no other one, so that its report can be read.
const REFUSED_REST_MS: Millis = Millis(100);

impl Engine {
    /// Creates the order for an action.
    pub(super) fn order(&self, action: Action, ask: ModelAsk) -> Order {
        Order {
            action,
            ask,
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
                None => drop(self.copies.insert(order.ask.model.clone(), Copy::Unloading)),
            }
        }
        self.pending = Some(Pending {
            order: order.clone(),
            in_call: false,
            is_uncertain: false,
        });
    }

    /// Updates the engine from the answer to its pending order.
    pub(super) fn take_answer(
        &mut self,
        now: Millis,
        order: &Order,
        answer: OrderAnswer,
        load: LoadTime,
    ) {
        match answer {
            OrderAnswer::Accepted | OrderAnswer::AlreadyDone => {
                self.pending = None;
                self.order_count += u64::from(answer == OrderAnswer::Accepted);
                // An engine unloads an unused adapter immediately. It answers such an order as
                // already done, but counts it.
                let is_quick_unload = order.action == Action::Unload && order.ask.adapter.is_some();
                self.order_count +=
                    u64::from(answer == OrderAnswer::AlreadyDone && is_quick_unload);
                self.take_effect(now, order, answer, load);
            }
            OrderAnswer::Conflict | OrderAnswer::Fenced | OrderAnswer::Invalid => {
                self.pending = None;
                self.undo(order);
                if order.action == Action::Load && order.ask.adapter.is_none() {
                    // The unload that should have freed the memory is not done yet; the reservation
                    // stays.
                    self.intended = Some((order.ask.model.clone(), now + INTENDED_MS));
                }
                self.is_doubtful = true;
                self.report_at = now;
                self.rests_until = now + REFUSED_REST_MS;
            }
            OrderAnswer::Silent => {
                if let Some(pending) = &mut self.pending {
                    pending.in_call = false;
                    pending.is_uncertain = true;
                }
                self.report_at = now;
                self.rests_until = now + REST_MS;
            }
            OrderAnswer::NotSent => self.take_not_sent(now, order),
            // The caller removes the engine.
            OrderAnswer::OtherLifetime => {}
        }
    }

    fn take_not_sent(&mut self, now: Millis, order: &Order) {
        match &mut self.pending {
            Some(pending) if pending.is_uncertain => pending.in_call = false,
            _ => {
                self.pending = None;
                self.undo(order);
            }
        }
        self.rests_until = now + REST_MS;
    }

    fn take_effect(&mut self, now: Millis, order: &Order, answer: OrderAnswer, load: LoadTime) {
        let is_done = answer == OrderAnswer::AlreadyDone;
        match (order.action, &order.ask.adapter) {
            (Action::Load, Some(_)) => {
                let ready_at = if is_done { now } else { now + ADAPTER_MS };
                self.adapters.insert(order.ask.clone(), ready_at);
            }
            (Action::Unload, Some(_)) => {
                self.adapters.shift_remove(&order.ask);
            }
            (Action::Load, None) if is_done => {
                self.copies.insert(order.ask.model.clone(), Copy::Held);
            }
            (Action::Load, None) => {
                let copy = Copy::Loading {
                    since: now,
                    ready_at: now + load.takes_ms,
                    from_store: load.from_store,
                    beside: 1,
                };
                self.copies.insert(order.ask.model.clone(), copy);
                self.was_busy = true;
                self.report_at = now + load.takes_ms;
            }
            (Action::Unload, None) => {
                self.adapters.retain(|ask, _| ask.model != order.ask.model);
                match is_done {
                    true => drop(self.copies.shift_remove(&order.ask.model)),
                    false => {
                        self.copies.insert(order.ask.model.clone(), Copy::Unloading);
                        self.was_busy = true;
                        self.unloaded_at = Some(now + UNLOAD_MS);
                    }
                }
                self.report_at = now + BUSY_REPORT_MS;
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
                    let from_store = !self.at_hand.contains(&model);
                    self.copies.entry(model).or_insert(Copy::Loading {
                        since: Millis::NEVER,
                        ready_at: Millis::NEVER,
                        from_store,
                        beside: 1,
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
                self.copies.insert(order.ask.model.clone(), Copy::Held);
            }
        }
    }
}
