//! Orders to one engine: what they reserve, and what their answers change.

use crate::entry::platform::ModelRef;
use crate::ordering::copy::{Copy, LoadTime};
use crate::ordering::engine::{BUSY_REPORT_MS, Engine, Pending, REST_MS};
use crate::ordering::ledger::INTENDED_MS;
use crate::ordering::message::{Action, Order, OrderAnswer};
use crate::prelude::*;

/// How long an adapter takes from the acceptance of its order until the engine runs requests with it, when few are on
/// their way: it is fetched in 5 to 7 ms.
const ADAPTER_MS: Millis = Millis(9);
/// How long an unload of a model that nobody uses takes; the next order is tried then, and refused by an engine that
/// is not done.
const UNLOAD_MS: Millis = Millis(130);
/// How long an engine that refused an order rests, until its report is read.
const REFUSED_REST_MS: Millis = Millis(100);

impl Engine {
    /// Returns the order for an action, to be sent now.
    pub(super) fn order(&self, action: Action, ask: ModelRef) -> Order {
        Order {
            action,
            ask,
            after_orders: self.order_count,
            born_at: self.born_at,
        }
    }

    /// Begins an order that is to be sent.
    pub(super) fn begin(&mut self, order: &Order) {
        self.reserve(order);
        // Hosts stop sending before the engine begins to drop what they ask for.
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

    /// Takes the answer to the order under way.
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
                // An adapter that nobody uses is dropped at once, which is answered as done but counted.
                let is_quick_unload = order.action == Action::Unload && order.ask.adapter.is_some();
                self.order_count +=
                    u64::from(answer == OrderAnswer::AlreadyDone && is_quick_unload);
                self.take_effect(now, order, answer, load);
            }
            OrderAnswer::Conflict | OrderAnswer::Fenced | OrderAnswer::Invalid => {
                self.pending = None;
                self.undo(order);
                if order.action == Action::Load && order.ask.adapter.is_none() {
                    // The unload before it is not done; the memory is still meant for this model.
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
            // The engine is dropped.
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

    /// Counts what an order may bring, until it is known to be in vain.
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

    /// Takes back what was assumed of an order that did not take effect.
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
