//! Calls of the orderer to engines: reads their reports and sends the planned orders.

use crate::entry::host::Host;
use crate::entry::lines;
use crate::entry::notices;
use crate::entry::orderer::OrderingState;
use crate::entry::paths;
use crate::entry::platform::{EngineReply, Platform};
use crate::entry::table_rows;
use crate::group::Member;
use crate::http1::write_permit::{WritePermit, WriteRight};
use crate::ordering::copy::LoadProgress;
use crate::ordering::lease::VALIDITY_MS;
use crate::ordering::message::{EngineReport, Order, OrderAnswer};
use crate::ordering::planner::load_time;
use crate::ordering::store_load_limiter::StoreLoadLimiter;
use crate::prelude::*;
use crate::upstreams::Lifetime;
use smol::{LocalExecutor, Timer};
use std::net::SocketAddr;
use std::rc::Rc;

/// The most report requests in flight, not counting engines that are carrying out orders. A new
/// orderer has to read all engines, and thousands of concurrent requests would leave it no time for
/// the hosts.
const MAX_REPORTS_IN_FLIGHT: usize = 200;

/// The longest time that an order takes to an engine while no packet is lost. The right to order has to
/// last longer when the order is written.
const ORDER_TRANSIT_MS: Millis = Millis(100);
/// The interval at which a call of an order looks whether its sender still has the right to order.
const RIGHT_CHECK_MS: Millis = Millis(20);

/// The fields of the log line of an order whose call has ended.
#[derive(Serialize)]
pub struct OrderAnswerLine<'a> {
    upstream: &'a str,
    order: &'a Order,
    answer: OrderAnswer,
    took_ms: Millis,
    /// The fencing token of the holding that sent the order.
    fence: u64,
    /// When the first byte was written; none if no byte was.
    written_at_unix_ms: Option<Millis>,
    /// How much longer that holding could order at that moment.
    right_left_ms: Option<Millis>,
}

impl<'a> OrderAnswerLine<'a> {
    /// Creates the line of an order that the holding with the fencing token `fence` sent.
    /// `first_write` is the right under which its first byte was written.
    pub fn new(
        upstream: &'a str,
        order: &'a Order,
        answer: OrderAnswer,
        took_ms: Millis,
        fence: u64,
        first_write: Option<WriteRight>,
    ) -> Self {
        Self {
            upstream,
            order,
            answer,
            took_ms,
            fence,
            written_at_unix_ms: first_write.map(|right| right.at),
            right_left_ms: first_write.map(|right| right.left_ms),
        }
    }
}

#[derive(Serialize)]
struct LoadedLine<'a> {
    upstream: &'a str,
    model: &'a str,
    took_ms: Option<Millis>,
    from_store: bool,
    store_loads_at_once: usize,
}

#[derive(Serialize)]
struct ReportLine<'a> {
    upstream: &'a str,
    error: &'a str,
}

#[derive(Serialize)]
struct EngineLine<'a> {
    upstream: &'a str,
    models: Vec<&'a Name>,
    adapters: usize,
}

/// Holds back calls to engines that have asked this host for rest. Their models still count as held.
pub fn hold_calls_to_resting<P: Platform>(host: &Host<P>, now: Millis) {
    let upstreams = host.upstreams.borrow();
    let mut orders = host.orders.borrow_mut();
    for upstream in upstreams.iter() {
        if let Some(until) = upstream.notices.rests_until(now) {
            orders.inventory.hold_calls(&upstream.entry.id, until);
        }
    }
}

/// Reads the reports that are due, each in a task of its own.
pub fn request_due_reports<P: Platform + 'static>(
    host: &Rc<Host<P>>,
    executor: &Rc<LocalExecutor<'static>>,
    now: Millis,
) {
    let due = {
        let mut orders = host.orders.borrow_mut();
        let max_idle = MAX_REPORTS_IN_FLIGHT.saturating_sub(orders.reports_in_flight);
        let due = orders.inventory.due_reports(now, max_idle);
        orders.reports_in_flight += due.len();
        due
    };
    for id in due {
        let host = host.clone();
        executor
            .spawn(async move {
                request_report(&host, &id).await;
                host.orders.borrow_mut().reports_in_flight -= 1;
            })
            .detach();
    }
}

async fn request_report<P: Platform>(host: &Host<P>, id: &Name) {
    let known = lifetime_and_address(host, id);
    let report = match known {
        Some((lifetime, address)) => {
            let reply = host.platform.report(address, id).await;
            if let Ok(report) = &reply.outcome {
                paths::note_answered(host);
                note_engine_start(host, id, report.born_at);
            }
            note_report_notice(host, lifetime, &reply);
            reply.outcome
        }
        None => Err("the engine is no longer listed".to_string()),
    };
    if let Err(error) = &report {
        let line = ReportLine {
            upstream: id,
            error,
        };
        lines::write(LogEvent::ReportFailed, &line);
    }
    let report = report.ok();
    let now = host.now();
    let mut orders = host.orders.borrow_mut();
    let was_known = orders
        .inventory
        .get(id)
        .is_some_and(|engine| engine.is_known);
    let has_report = report.is_some();
    let loaded = orders.inventory.record_report(now, id, report);
    if has_report {
        learn_from_overdue(host, &mut orders, id, now);
    }
    if !was_known && let Some(engine) = orders.inventory.get(id).filter(|engine| engine.is_known) {
        let line = EngineLine {
            upstream: id,
            models: engine.copies.keys().collect(),
            adapters: engine.adapters.len(),
        };
        lines::write(LogEvent::EngineRead, &line);
    }
    for LoadProgress {
        model,
        took_ms,
        from_store,
        concurrent_loads,
    } in loaded
    {
        if from_store
            && let Some(took_ms) = took_ms
            && let Some(stated_ms) = stated_load_ms(host, id, &model)
            && let Some(store_load_limiter) = &mut orders.store_load_limiter
        {
            store_load_limiter.record_finish(took_ms, stated_ms, concurrent_loads);
        }
        let line = LoadedLine {
            upstream: id,
            model: &model,
            took_ms,
            from_store,
            store_loads_at_once: orders
                .store_load_limiter
                .as_ref()
                .map_or(0, StoreLoadLimiter::max_concurrent),
        };
        lines::write(LogEvent::CopyReady, &line);
    }
}

fn lifetime_and_address<P: Platform>(host: &Host<P>, id: &str) -> Option<(Lifetime, SocketAddr)> {
    let upstreams = host.upstreams.borrow();
    let upstream = upstreams.get(id)?;
    Some((upstream.lifetime(), upstream.address()))
}

/// Records what the answer to a read of a report states, for the lifetime that the report names: it
/// may have started since the read.
fn note_report_notice<P: Platform>(
    host: &Host<P>,
    asked: Lifetime,
    reply: &EngineReply<Result<EngineReport, String>>,
) {
    let reported_at = reply.outcome.as_ref().map(|report| report.born_at);
    let lifetime = Lifetime {
        born_at: asked.born_at.max(reported_at.unwrap_or_default()),
        ..asked
    };
    notices::note_answer(host, &lifetime, reply.notice);
}

/// Records the start time that an engine's report names, since a report may show a restart before
/// the list of upstreams does.
fn note_engine_start<P: Platform>(host: &Host<P>, id: &Name, born_at: Millis) {
    let lifetime = Lifetime {
        id: id.clone(),
        born_at,
    };
    let change = host.upstreams.borrow_mut().note_restarted(&lifetime);
    table_rows::note_upstream_change(host, id, &change, None);
}

/// Lowers the limit of concurrent loads when an engine reports that an overdue load is still
/// running.
fn learn_from_overdue<P: Platform>(
    host: &Host<P>,
    orders: &mut OrderingState,
    id: &str,
    now: Millis,
) {
    let engine = orders.inventory.get(id);
    let under_way: Vec<LoadProgress> = engine
        .into_iter()
        .flat_map(|engine| engine.loads_under_way(now))
        .collect();
    for LoadProgress {
        model,
        took_ms,
        concurrent_loads,
        ..
    } in under_way
    {
        if let Some(took_ms) = took_ms
            && let Some(stated_ms) = stated_load_ms(host, id, &model)
            && let Some(store_load_limiter) = &mut orders.store_load_limiter
        {
            store_load_limiter.record_overdue(took_ms, stated_ms, concurrent_loads);
        }
    }
}

fn stated_load_ms<P: Platform>(host: &Host<P>, id: &str, model: &Name) -> Option<Millis> {
    let routes = host.routes.borrow();
    let upstreams = host.upstreams.borrow();
    let service = &upstreams.get(id)?.entry.service;
    let spec = routes.as_ref()?.services.get(service)?.engine.as_ref()?;
    Some(spec.models.get(model)?.load_ms)
}

/// Sends the orders that are due, each in a task of its own.
pub fn send_due_orders<P: Platform + 'static>(
    host: &Rc<Host<P>>,
    executor: &Rc<LocalExecutor<'static>>,
    me: &Member,
    now: Millis,
) {
    let mut orders = host.orders.borrow_mut();
    let Some(fence) = orders.lease.holding().map(|holding| holding.fence) else {
        return;
    };
    for (id, order) in orders.inventory.take_due_orders(now) {
        let host = host.clone();
        let holder: Name = format!("{}-{:x}", host.settings().name, me.incarnation).into();
        executor
            .spawn(async move { send_order(&host, &holder, fence, &id, &order).await })
            .detach();
    }
}

/// Returns how much longer this host may order in its holding with this fencing token; zero if it may
/// not, or no longer has that holding.
fn right_left_ms<P: Platform>(host: &Host<P>, fence: u64, now: Millis) -> Millis {
    let orders = host.orders.borrow();
    let holding = orders.lease.holding();
    holding
        .filter(|holding| holding.fence == fence && orders.lease.may_order(now))
        .map_or(Millis::ZERO, |holding| {
            (holding.renewed_at + VALIDITY_MS).since(now)
        })
}

/// Returns the right to write an order now, in the holding with this fencing token: it has to last
/// until the order arrives.
fn write_right<P: Platform>(host: &Host<P>, fence: u64) -> Option<WriteRight> {
    let at = host.now();
    let left_ms = right_left_ms(host, fence, at);
    (left_ms > ORDER_TRANSIT_MS).then_some(WriteRight { at, left_ms })
}

/// Runs a call of the holding with this fencing token. Drops it and returns `None` as soon as that
/// holding may not order any more, whether it was released, given up, lost or not renewed.
async fn while_holding<P: Platform, T>(
    host: &Host<P>,
    fence: u64,
    call: impl Future<Output = T>,
) -> Option<T> {
    let ended = async {
        loop {
            let left_ms = right_left_ms(host, fence, host.now());
            if left_ms == Millis::ZERO {
                return None;
            }
            Timer::after(left_ms.min(RIGHT_CHECK_MS).to_duration()).await;
        }
    };
    futures_lite::future::or(ended, async { Some(call.await) }).await
}

/// Sends an order that was planned in the holding with the fencing token `fence`, as long as that
/// holding has the right to order. The right is looked at again where the bytes are written, and the
/// call ends, with its connection aborted, when the right ends.
async fn send_order<P: Platform>(
    host: &Host<P>,
    holder: &str,
    fence: u64,
    id: &Name,
    order: &Order,
) {
    let sent_at = host.now();
    let permit = WritePermit::new(|| write_right(host, fence));
    let engine = lifetime_and_address(host, id)
        .filter(|(lifetime, _)| notices::accepts_requests(host, lifetime));
    let answer = match engine {
        Some((lifetime, address)) if permit.right().is_some() => {
            let call = host
                .platform
                .order(address, id, holder, fence, order, &permit);
            match while_holding(host, fence, call).await {
                Some(reply) => {
                    notices::note_answer(host, &lifetime, reply.notice);
                    reply.outcome
                }
                None if permit.first_write().is_none() => OrderAnswer::NotSent,
                None => OrderAnswer::Silent,
            }
        }
        _ => OrderAnswer::NotSent,
    };
    let now = host.now();
    let expected_load = {
        let routes = host.routes.borrow();
        let orders = host.orders.borrow();
        let service = orders
            .inventory
            .get(id)
            .map(|engine| engine.service.clone());
        let spec = service.and_then(|service| {
            let table = routes.as_ref()?;
            table.services.get(&service)?.engine.as_ref()
        });
        spec.map(|spec| load_time(spec, &orders.inventory, id, &order.ask))
    };
    let load = expected_load.unwrap_or_default();
    host.orders
        .borrow_mut()
        .inventory
        .record_answer(now, id, order, answer, load);
    host.metrics.count_order(answer);
    let took_ms = now.since(sent_at);
    let line = OrderAnswerLine::new(id, order, answer, took_ms, fence, permit.first_write());
    lines::write(LogEvent::OrderEnded, &line);
}
