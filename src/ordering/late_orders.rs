//! Orders that had no answer, and that an engine may carry out later.
//!
//! An order names the number of orders that the engine has accepted since its start. Within one start
//! this identifies the order's place: once the engine has counted another order, the late one is
//! refused. An engine that starts again under its name counts from zero, so an order to an earlier
//! start may come true at the present one.
//!
//! The holder of the lease knows its own unanswered orders and keeps memory and adapter slots free for
//! them. Of a former holder's it knows only until when they may take effect. An engine that is known to
//! have started again gets no order until then; where that is not known, there stays room for the
//! largest model.

use crate::entry::platform::ModelRef;
use crate::ordering::copy::ModelCopy;
use crate::ordering::engine::Engine;
use crate::ordering::message::{Action, Order};
use crate::prelude::*;
use crate::upstreams::FormerStart;

/// How long after it was sent, or after the end of its sender's holding, an order without an answer may
/// still take effect: 12 s by the platform, and the time of a call.
pub(super) const LATE_ORDER_MS: Millis = Millis(12_500);
/// How long after a start orders that are meant for an earlier one may take effect: the time in which a
/// holder learns of the start, from the list or from a report, and [`LATE_ORDER_MS`].
const FORMER_START_MS: Millis = Millis(30_000);

/// The orders that a former holder may have left at an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct FormerOrders {
    /// How long none of them may have taken effect before an order of this holder.
    pub quiet_ms: Millis,
    /// Until when they may take effect.
    pub until: Millis,
    /// Whether those to the engine's present start can take effect no more, since the engine has
    /// counted an order of this holder: a former holder's names no more orders than the engine had
    /// accepted.
    pub are_void: bool,
}

/// Whether orders of a former holder that were meant for an earlier start of an engine may take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FormerStartOrders {
    /// None can: there was no such holder or start, or it was too long ago.
    None,
    /// They may if the engine started again under its name, which this host does not know.
    Possible,
    /// They may: the engine started again under its name.
    Expected,
}

/// An order without an answer.
#[derive(Clone, Debug)]
struct LateOrder {
    order: Order,
    /// Until when it may take effect.
    until: Millis,
    /// Whether it was meant for an earlier start of the engine.
    is_to_former_start: bool,
}

/// The orders of one holder to one engine that had no answer.
#[derive(Clone, Debug, Default)]
pub(super) struct LateOrders(Vec<LateOrder>);

impl LateOrders {
    /// Records that an order had no answer until `now`.
    pub(super) fn note(&mut self, now: Millis, order: Order) {
        self.expire(now);
        let until = now + LATE_ORDER_MS;
        match self.0.iter_mut().find(|late| late.order == order) {
            Some(late) => late.until = until,
            None => self.0.push(LateOrder {
                order,
                until,
                is_to_former_start: false,
            }),
        }
    }

    /// Records that the engine started again.
    pub(super) fn begin_lifetime(&mut self) {
        for late in &mut self.0 {
            late.is_to_former_start = true;
        }
    }

    /// Forgets the orders that can take effect no more.
    fn expire(&mut self, now: Millis) {
        self.0.retain(|late| now < late.until);
    }

    /// Returns whether an order may still take effect.
    pub(super) fn is_pending(&self, now: Millis) -> bool {
        self.0.iter().any(|late| now < late.until)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether an order concerns a model.
    pub(super) fn concern(&self, model: &str) -> bool {
        self.0.iter().any(|late| *late.order.ask.model == *model)
    }

    /// Returns what orders to earlier starts may still load at an engine that has accepted
    /// `order_count` orders. An engine refuses an order that names fewer.
    fn loads(&self, now: Millis, order_count: u64) -> impl Iterator<Item = &ModelRef> {
        let loads = self.0.iter().filter(move |late| {
            late.is_to_former_start
                && now < late.until
                && late.order.action == Action::Load
                && late.order.after_orders >= order_count
        });
        loads.map(|late| &late.order.ask)
    }
}

impl Engine {
    /// Returns whether an order that is sent now follows the last effect of a former holder's by long
    /// enough. The engine accepts it only if it has accepted no other since its count was reported.
    pub(super) fn is_quiet(&self, now: Millis) -> bool {
        let Some(former) = self.former_orders else {
            return true;
        };
        if self.waits(now) {
            return false;
        }
        // The last of the expected orders may have taken effect right before `until`.
        let has_former_start = matches!(self.former_start, FormerStart::Known { .. });
        let ended_at = match has_former_start {
            true => former.until + former.quiet_ms,
            false => former.until,
        };
        let is_long_ago = |at| now.since(at) >= former.quiet_ms;
        former.are_void || now >= ended_at || self.counted_at.is_some_and(is_long_ago)
    }

    /// Returns whether the engine gets no order because a former holder's to an earlier start may take
    /// effect.
    pub(super) fn waits(&self, now: Millis) -> bool {
        self.former_start_orders(now) == FormerStartOrders::Expected
    }

    /// Records whether the engine has counted an order of this holder, so that a former holder's to the
    /// present start are refused.
    pub(super) fn set_former_orders_void(&mut self, are_void: bool) {
        if let Some(former) = &mut self.former_orders {
            former.are_void = are_void;
        }
    }

    /// Returns whether a former holder's orders to an earlier start may take effect. An engine that does
    /// not state its start is taken for one that did not start again.
    pub(super) fn former_start_orders(&self, now: Millis) -> FormerStartOrders {
        if self.former_orders.is_none_or(|former| now >= former.until) {
            return FormerStartOrders::None;
        }
        let is_recent = |started_at| now.since(started_at) < FORMER_START_MS;
        match self.former_start {
            FormerStart::Known { list_as_of } if is_recent(self.born_at.max(list_as_of)) => {
                FormerStartOrders::Expected
            }
            FormerStart::Unknown if self.born_at != Millis::ZERO && is_recent(self.born_at) => {
                FormerStartOrders::Possible
            }
            FormerStart::None | FormerStart::Known { .. } | FormerStart::Unknown => {
                FormerStartOrders::None
            }
        }
    }

    /// Returns what this holder's unanswered orders to earlier starts may still load in addition to what
    /// the engine holds and loads.
    pub(super) fn late_loads(&self, now: Millis) -> impl Iterator<Item = &ModelRef> {
        let mut loads: IndexSet<&ModelRef> =
            self.late_orders.loads(now, self.order_count).collect();
        loads.retain(|ask| match ask.adapter {
            Some(_) => !self.adapters.contains_key(*ask),
            None => !self.stays(&ask.model),
        });
        loads.into_iter()
    }

    /// Returns whether an unanswered order to an earlier start may still load a model.
    pub(super) fn may_load_late(&self, now: Millis, model: &str) -> bool {
        let mut loads = self.late_orders.loads(now, self.order_count);
        loads.any(|ask| ask.adapter.is_none() && &*ask.model == model)
    }

    /// Returns whether a model is on the engine or being loaded, and not being unloaded.
    pub(super) fn stays(&self, model: &str) -> bool {
        let copy = self.copies.get(model);
        copy.is_some_and(|copy| *copy != ModelCopy::Unloading)
    }

    /// Takes the unanswered orders, at the end of the engine's start or of its entry.
    pub(super) fn take_late_orders(&mut self, now: Millis) -> LateOrders {
        if let Some(pending) = self.pending.take().filter(|pending| pending.is_sending) {
            self.late_orders.note(now, pending.order);
        }
        let mut late_orders = std::mem::take(&mut self.late_orders);
        late_orders.expire(now);
        late_orders
    }
}
