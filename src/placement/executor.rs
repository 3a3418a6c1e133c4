//! Sends the orders that this host decided, and records how they ended.
//!
//! An order is sent only after its record was read back, and while this host is fresh. An order taken
//! over on an engine that ignores fencing numbers is only asked about while a former executor may still
//! send it. A former executor, once it learns that it is one, records that it sends no more.

use crate::daemon::membership_flow::MAX_IN_FLIGHT_MS;
use crate::placement::copies::{Copy, Placement};
use crate::placement::message::{EngineOrder, OrderAction, OrderAnswer, OrderOutcome};
use crate::prelude::*;

/// How long to wait before an order is asked about again.
pub const ORDER_POLL_MS: Millis = Millis(100);
/// How long after its decision a call to an engine may begin.
pub const CALL_BEGIN_MS: Millis = Millis(500);
/// How long an order that cannot be delivered is tried before it is given up.
pub const GIVE_UP_MS: Millis = Millis(2_000);

/// What this host knows of an order that it executes, or executed last.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct OrderView {
    fence: Offset,
    call_under_way: bool,
    /// Whether the call under way was made while no former executor was left.
    alone: bool,
    /// Whether the order could have been sent when the call under way was made.
    may_send: bool,
    /// Whether to ask about the order before it is sent again.
    ask_first: bool,
    /// Whether no call of any host can have reached the engine.
    unseen: bool,
    /// When the last call without a known effect ended.
    lost_at: Option<Millis>,
    /// Since when the order cannot be delivered.
    undelivered_since: Option<Millis>,
    retry_at: Millis,
    outcome_queued: bool,
}

impl OrderView {
    fn new(copy: &Copy, checks_fencing: bool) -> Self {
        let is_own = copy.fence == copy.order;
        Self {
            fence: copy.fence,
            ask_first: !is_own && !checks_fencing,
            unseen: is_own,
            ..Self::default()
        }
    }

    fn is_flying(&self, now: Millis) -> bool {
        self.call_under_way
            || self
                .lost_at
                .is_some_and(|at| now.since(at) <= MAX_IN_FLIGHT_MS)
    }

    fn take(&mut self, now: Millis, answer: &OrderAnswer) -> Option<OrderOutcome> {
        if !matches!(answer, OrderAnswer::NotSent(_)) {
            self.undelivered_since = None;
        }
        match answer {
            OrderAnswer::Done => Some(OrderOutcome::Done),
            // A call without an answer may still arrive after this one.
            OrderAnswer::Failed(_) if self.is_flying(now) => {
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
                // Asked earlier, a former executor may have sent it since.
                self.ask_first = !self.may_send;
                self.unseen = self.alone && !self.is_flying(now);
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
                let give_up = self.unseen && now.since(since) >= GIVE_UP_MS;
                give_up.then_some(OrderOutcome::NotSent)
            }
        }
    }
}

/// The orders that this host executes or executed, by copy.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Executor {
    orders: IndexMap<Offset, OrderView>,
    relinquished: IndexSet<Offset>,
}

impl Executor {
    /// Sends what is due.
    pub fn on_tick(
        &mut self,
        now: Millis,
        me: Incarnation,
        placement: &Placement,
        fx: &mut Effects,
    ) {
        self.orders
            .retain(|id, _| placement.copies.contains_key(id));
        for (id, copy) in placement.unsettled() {
            if copy.executor == me {
                self.drive(now, *id, copy, placement, fx);
            }
        }
    }

    fn drive(
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
        let view = self.view(id, copy, upstream.checks_fencing);
        if view.call_under_way || view.outcome_queued || now < view.retry_at {
            return;
        }
        let alone = copy.former.is_empty();
        let may_send = upstream.checks_fencing || alone;
        view.call_under_way = true;
        view.alone = alone;
        view.may_send = may_send;
        fx.push(Effect::OrderEngine {
            copy: id,
            address: upstream.address,
            order: engine_order(copy, action),
            watch_only: view.ask_first || !may_send,
            begin_by: now + CALL_BEGIN_MS,
        });
    }

    fn view(&mut self, id: Offset, copy: &Copy, checks_fencing: bool) -> &mut OrderView {
        let view = self.orders.entry(id).or_default();
        if view.fence != copy.fence {
            *view = OrderView::new(copy, checks_fencing);
        }
        view
    }

    /// Takes an engine's answer and returns the outcome to record, if the order ended.
    pub fn on_answer(
        &mut self,
        now: Millis,
        id: Offset,
        fence: Offset,
        answer: &OrderAnswer,
    ) -> Option<OrderOutcome> {
        let view = self.orders.get_mut(&id)?;
        if view.fence != fence {
            return None;
        }
        view.call_under_way = false;
        view.retry_at = now + ORDER_POLL_MS;
        let outcome = view.take(now, answer)?;
        view.outcome_queued = true;
        Some(outcome)
    }

    /// Tells whether an order may be on its way to an engine.
    pub fn is_calling(&self, now: Millis) -> bool {
        self.orders.values().any(|view| view.is_flying(now))
    }

    /// Returns the copies whose last order this host was to send and, having lost it to another host,
    /// certainly sends no more. Each is returned once.
    pub fn relinquished(
        &mut self,
        now: Millis,
        me: Incarnation,
        placement: &Placement,
    ) -> Vec<Offset> {
        self.relinquished
            .retain(|id| placement.copies.contains_key(id));
        let lost: Vec<Offset> = placement
            .unsettled()
            .filter(|(_, copy)| copy.executor != me && copy.former.contains(&me))
            .map(|(id, _)| *id)
            .filter(|id| !self.relinquished.contains(id))
            .filter(|id| !self.orders.get(id).is_some_and(|view| view.is_flying(now)))
            .collect();
        self.relinquished.extend(lost.iter().copied());
        lost
    }

    /// Tells whether an order of this host is under way.
    pub fn is_busy(&self, me: Incarnation, placement: &Placement) -> bool {
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
