//! Sends the orders that this host executes to the engines, and determines their outcomes.
//!
//! An order is sent only after this host has read its record back from the log, and only while this
//! host is fresh. While a former executor may still send an order that was taken over, and the
//! engine ignores fencing numbers, this host only asks the engine for the order's state. A former
//! executor, once it learns that its order was taken over, records that it will not send it again.

use crate::daemon::membership_flow::MAX_IN_FLIGHT_MS;
use crate::placement::copies::{Copy, Placement};
use crate::placement::message::{EngineOrder, OrderAction, OrderAnswer, OrderOutcome};
use crate::prelude::*;

/// The pause after an engine's answer, before the order is sent or asked about again.
pub const ORDER_POLL_MS: Millis = Millis(100);
/// How long after this host decided on a call to an engine the call may still be started.
pub const CALL_START_TIMEOUT_MS: Millis = Millis(500);
/// How long an order that does not reach its engine is retried before it ends as not sent.
pub const DELIVERY_TIMEOUT_MS: Millis = Millis(2_000);

/// The progress of an order that this host executes or executed, as far as this host knows.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct OrderProgress {
    /// The fencing number under which this host executes the order.
    fence: Offset,
    call_under_way: bool,
    /// Whether the last call was made when the order had no former executors any more.
    alone: bool,
    /// Whether this host was allowed to send the order, not only to ask about it, when it made the
    /// last call.
    may_send: bool,
    /// Whether to ask the engine for the order's state instead of sending the order.
    ask_first: bool,
    /// Whether it is certain that no host's call with this order has reached the engine.
    unseen: bool,
    /// When the last call ended whose answer was lost, so that its effect is unknown.
    lost_at: Option<Millis>,
    /// If the last calls did not reach the engine: when the first of them ended.
    undelivered_since: Option<Millis>,
    /// The earliest time of the next call.
    retry_at: Millis,
    /// Whether the outcome of the order was handed over to be recorded on the log.
    outcome_queued: bool,
}

impl OrderProgress {
    fn new(copy: &Copy, checks_fencing: bool) -> Self {
        let is_own = copy.fence == copy.order;
        Self {
            fence: copy.fence,
            ask_first: !is_own && !checks_fencing,
            unseen: is_own,
            ..Self::default()
        }
    }

    /// Returns whether a call is under way, or one whose answer was lost may still be on its way.
    fn is_in_flight(&self, now: Millis) -> bool {
        self.call_under_way
            || self
                .lost_at
                .is_some_and(|at| now.since(at) <= MAX_IN_FLIGHT_MS)
    }

    /// Updates the progress by an engine's answer, and returns the outcome if the order ended.
    fn apply_answer(&mut self, now: Millis, answer: &OrderAnswer) -> Option<OrderOutcome> {
        if !matches!(answer, OrderAnswer::NotSent(_)) {
            self.undelivered_since = None;
        }
        match answer {
            OrderAnswer::Done => Some(OrderOutcome::Done),
            // An earlier call whose answer was lost may still reach the engine, and succeed.
            OrderAnswer::Failed(_) if self.is_in_flight(now) => {
                self.ask_first = true;
                None
            }
            OrderAnswer::Failed(_) => Some(OrderOutcome::Failed),
            OrderAnswer::Running | OrderAnswer::Fenced => {
                self.ask_first = true;
                self.unseen = false;
                None
            }
            OrderAnswer::NeverSeen => {
                // If this host was only allowed to ask, a former executor may have sent the order
                // since, so this host asks again before it sends the order.
                self.ask_first = !self.may_send;
                self.unseen = self.alone && !self.is_in_flight(now);
                None
            }
            OrderAnswer::Lost(_) => {
                self.ask_first = true;
                self.unseen = false;
                self.lost_at = Some(now);
                None
            }
            OrderAnswer::NotSent(_) => {
                let since = *self.undelivered_since.get_or_insert(now);
                let is_given_up = self.unseen && now.since(since) >= DELIVERY_TIMEOUT_MS;
                is_given_up.then_some(OrderOutcome::NotSent)
            }
        }
    }
}

/// The orders that this host executes or executed, by the id of the copy.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Executor {
    orders: IndexMap<Offset, OrderProgress>,
    /// The copies already returned by [`Executor::newly_relinquished`].
    relinquished: IndexSet<Offset>,
}

impl Executor {
    /// Sends, or asks about, every order of this host whose next call is due, unless `may_call` says
    /// that its engine gets no calls now. Call only while this host is fresh.
    pub fn on_tick(
        &mut self,
        now: Millis,
        me: Incarnation,
        placement: &Placement,
        may_call: impl Fn(&str) -> bool,
        fx: &mut Effects,
    ) {
        self.orders
            .retain(|id, _| placement.copies.contains_key(id));
        for (id, copy) in placement.unsettled() {
            if copy.executor == me && may_call(&copy.load.upstream) {
                self.call_engine(now, *id, copy, placement, fx);
            }
        }
    }

    /// Sends an order to its engine or asks for the order's state, if a call is due.
    fn call_engine(
        &mut self,
        now: Millis,
        id: Offset,
        copy: &Copy,
        placement: &Placement,
        fx: &mut Effects,
    ) {
        let Some(action) = copy.action_under_way() else {
            return;
        };
        let Some(upstream) = placement.upstreams.get(&copy.load.upstream) else {
            return;
        };
        let progress = self.progress(id, copy, upstream.checks_fencing);
        if progress.call_under_way || progress.outcome_queued || now < progress.retry_at {
            return;
        }
        let alone = copy.former.is_empty();
        let may_send = upstream.checks_fencing || alone;
        progress.call_under_way = true;
        progress.alone = alone;
        progress.may_send = may_send;
        fx.push(Effect::OrderEngine {
            copy: id,
            address: upstream.address,
            order: engine_order(copy, action),
            watch_only: progress.ask_first || !may_send,
            begin_by: now + CALL_START_TIMEOUT_MS,
        });
    }

    /// Returns the progress of a copy's order, reset if the order or its fencing number is new.
    fn progress(&mut self, id: Offset, copy: &Copy, checks_fencing: bool) -> &mut OrderProgress {
        let progress = self.orders.entry(id).or_default();
        if progress.fence != copy.fence {
            *progress = OrderProgress::new(copy, checks_fencing);
        }
        progress
    }

    /// Handles an engine's answer to the call for a copy's order with this fencing number. Returns
    /// the outcome to record on the log, if the order ended.
    pub fn on_answer(
        &mut self,
        now: Millis,
        id: Offset,
        fence: Offset,
        answer: &OrderAnswer,
    ) -> Option<OrderOutcome> {
        let progress = self.orders.get_mut(&id)?;
        if progress.fence != fence {
            return None;
        }
        progress.call_under_way = false;
        progress.retry_at = now + ORDER_POLL_MS;
        let outcome = progress.apply_answer(now, answer)?;
        progress.outcome_queued = true;
        Some(outcome)
    }

    /// Returns whether a call of this host may still reach an engine.
    pub fn has_call_in_flight(&self, now: Millis) -> bool {
        self.orders.values().any(|one| one.is_in_flight(now))
    }

    /// Returns the copies whose order was taken over from this host, once no call of this host with
    /// the order may still reach the engine, so that this host can record that it relinquishes the
    /// order. Each copy is returned once.
    pub fn newly_relinquished(
        &mut self,
        now: Millis,
        me: Incarnation,
        placement: &Placement,
    ) -> Vec<Offset> {
        self.relinquished
            .retain(|id| placement.copies.contains_key(id));
        let newly_relinquished: Vec<Offset> = placement
            .unsettled()
            .filter(|(_, copy)| copy.executor != me && copy.former.contains(&me))
            .map(|(id, _)| *id)
            .filter(|id| !self.relinquished.contains(id))
            .filter(|id| !self.orders.get(id).is_some_and(|one| one.is_in_flight(now)))
            .collect();
        self.relinquished.extend(newly_relinquished.iter().copied());
        newly_relinquished
    }

    /// Returns whether an order of which this host is the executor is under way.
    pub fn has_order_in_flight(&self, me: Incarnation, placement: &Placement) -> bool {
        placement
            .unsettled()
            .any(|(_, copy)| copy.executor == me && copy.action_under_way().is_some())
    }
}

fn engine_order(copy: &Copy, action: OrderAction) -> EngineOrder {
    EngineOrder {
        order: copy.order,
        fence: copy.fence,
        action,
        model: copy.load.model.clone(),
        version: copy.load.version.clone(),
        bytes: copy.load.reserved_bytes,
        base: copy.base.clone(),
    }
}
