//! Sends the orders that this host decided, and records how they ended.
//!
//! An order is sent only after its record was read back, and while this host is fresh. An order taken
//! over on an engine that ignores fencing numbers is only watched while an earlier executor may still
//! send it.

use crate::placement::copies::{Copy, Placement};
use crate::placement::message::{EngineOrder, OrderAction, OrderAnswer, OrderOutcome};
use crate::prelude::*;
use crate::table::Table;

/// How long to wait before an order is asked about again.
pub const ORDER_POLL_MS: Millis = Millis(100);

/// What this host knows of an order that it executes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct OrderView {
    fence: Offset,
    call_under_way: bool,
    retry_at: Millis,
    outcome_queued: bool,
}

/// The orders that this host executes, by copy.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Executor {
    orders: IndexMap<Offset, OrderView>,
}

impl Executor {
    /// Sends what is due.
    pub fn on_tick(
        &mut self,
        now: Millis,
        me: Incarnation,
        placement: &Placement,
        table: &Table,
        fx: &mut Effects,
    ) {
        self.orders
            .retain(|id, _| placement.copies.contains_key(id));
        for (id, copy) in &placement.copies {
            if copy.executor == me {
                self.drive(now, *id, copy, placement, table, fx);
            }
        }
    }

    fn drive(
        &mut self,
        now: Millis,
        id: Offset,
        copy: &Copy,
        placement: &Placement,
        table: &Table,
        fx: &mut Effects,
    ) {
        let Some(action) = copy.action_under_way() else {
            return;
        };
        let Some(upstream) = placement.upstreams.get(&copy.load.upstream) else {
            return;
        };
        let view = self.orders.entry(id).or_default();
        if view.fence != copy.fence {
            *view = OrderView {
                fence: copy.fence,
                ..OrderView::default()
            };
        }
        if view.call_under_way || view.outcome_queued || now < view.retry_at {
            return;
        }
        view.call_under_way = true;
        let order = engine_order(copy, action, table);
        let may_send = upstream.checks_fencing || copy.former.is_empty();
        fx.push(Effect::OrderEngine {
            copy: id,
            address: upstream.address,
            order,
            watch_only: !may_send,
        });
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
        let outcome = match answer {
            OrderAnswer::Done => OrderOutcome::Done,
            OrderAnswer::Failed(_) => OrderOutcome::Failed,
            OrderAnswer::Running
            | OrderAnswer::Fenced
            | OrderAnswer::NeverSeen
            | OrderAnswer::Lost(_)
            | OrderAnswer::NotSent(_) => return None,
        };
        view.outcome_queued = true;
        Some(outcome)
    }

    /// Tells whether a call to an engine is under way.
    pub fn is_calling(&self) -> bool {
        self.orders.values().any(|view| view.call_under_way)
    }

    /// Tells whether an order of this host is under way.
    pub fn is_busy(&self, me: Incarnation, placement: &Placement) -> bool {
        placement
            .copies
            .values()
            .any(|copy| copy.executor == me && copy.action_under_way().is_some())
    }
}

fn engine_order(copy: &Copy, action: OrderAction, table: &Table) -> EngineOrder {
    EngineOrder {
        order: copy.order,
        fence: copy.fence,
        action,
        model: copy.load.model.clone(),
        version: copy.load.version.clone(),
        bytes: copy.load.reserved_bytes,
        base: table
            .model(&copy.load.model)
            .and_then(|model| model.base.clone()),
    }
}
