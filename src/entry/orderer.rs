//! Ordering engines to load and unload models. The host that holds the lease is the orderer: it
//! reads the engines' reports, plans, and sends the orders.

use crate::desired::{EngineSpec, RouteTable};
use crate::entry::host::Host;
use crate::entry::lines;
use crate::entry::notices;
use crate::entry::platform::{EngineReply, ModelRef, Platform};
use crate::entry::table_rows;
use crate::group::Member;
use crate::http1::client::with_timeout;
use crate::ordering::copy::LoadProgress;
use crate::ordering::demand_totals::DemandTotals;
use crate::ordering::engine_inventory::EngineInventory;
use crate::ordering::estimates::OrderTiming;
use crate::ordering::lease::Lease;
use crate::ordering::message::{Action, EngineReport, Order, OrderAnswer};
use crate::ordering::planner::{PlannedOrder, Planner, load_time};
use crate::ordering::published::{EngineView, PublishedEngines};
use crate::ordering::store_load_limiter::StoreLoadLimiter;
use crate::prelude::*;
use crate::upstreams::{Lifetime, Registry};
use smol::{LocalExecutor, Timer};
use std::net::SocketAddr;
use std::rc::Rc;

/// How long the orderer waits for new demand before it plans anyway.
const PLAN_INTERVAL_MS: Millis = Millis(50);
/// The minimum time between two plans while few hosts report to the orderer. It grows in proportion
/// to their number; in a large site they are the relays. A message from a host with waiting callers
/// triggers a plan: on the smallest hosts, an eighth of a core, a plan for each of hundreds of
/// messages a second left no time to read the tables.
const MIN_PLAN_INTERVAL_MS: Millis = Millis(10);
/// The most report requests in flight, not counting engines that are carrying out orders. A new
/// orderer has to read all engines, and thousands of concurrent requests would leave it no time for
/// the hosts.
const MAX_REPORTS_IN_FLIGHT: usize = 200;
/// The most orders planned for one service in one round.
const MAX_ORDERS_PER_ROUND: usize = 32;

/// One host's state of ordering loads. Most of it is used while the host is the orderer; every host
/// keeps the lease and the name of the orderer.
#[derive(Default)]
pub struct OrderingState {
    /// The lease to order loads, as this host knows it.
    pub lease: Lease,
    /// What the engines hold by their reports, and the orders they were sent.
    pub inventory: EngineInventory,
    /// The state of the engines as sent to the hosts, versioned so that a host gets changes only.
    pub published: PublishedEngines,
    /// The versions of the list of upstreams and of the desired state at the last update of the
    /// engines in the inventory.
    engine_versions: Option<(u64, u64)>,
    /// The demand and the work that the hosts report.
    pub demand: DemandTotals,
    /// The orderer that another host named since this one last read or took the lease.
    named_orderer: Option<Member>,
    reports_in_flight: usize,
    /// When each model or adapter that callers wait for is expected to be ready, by the last plan.
    pub ready_at: Vec<(ModelRef, Millis)>,
    /// The models whose copies are divided into some for long and some for short prompts, by the
    /// last plan.
    pub separate: Vec<Name>,
    /// The learned limit of concurrent loads from the weight store; none before the first plan of
    /// this holding.
    pub store_load_limiter: Option<StoreLoadLimiter>,
    /// Since when the orderer has received no report of another host; none while it receives some.
    pub isolated_since: Option<Millis>,
    /// Until when this host does not claim the lease, so that another host can.
    pub no_claim_until: Millis,
    /// The incarnation of the orderer that was last written to the log.
    pub logged_orderer: Option<u64>,
}

impl OrderingState {
    /// Returns how many concurrent loads the weight store serves at full speed, as this orderer or
    /// else a former one has learned; nothing when none has.
    pub fn store_loads_at_once(&self) -> Option<usize> {
        let own = self
            .store_load_limiter
            .as_ref()
            .and_then(StoreLoadLimiter::learned_max_concurrent);
        own.or(self.lease.store_loads_at_once())
    }

    /// Drops everything known of the engines, because another host may order from now on.
    pub fn forget_engines(&mut self) {
        self.inventory = EngineInventory::default();
        self.engine_versions = None;
        self.ready_at = Vec::new();
    }

    /// Returns the orderer as far as this host knows: the one that another host named or the one in
    /// the lease as read, whichever came last.
    pub fn holder(&self) -> Option<&Member> {
        self.named_orderer.as_ref().or(self.lease.holder())
    }

    /// Records that another host named the orderer.
    pub fn note_named_orderer(&mut self, orderer: Member) {
        self.named_orderer = Some(orderer);
    }

    /// Records that the lease was read or taken, which is newer than what other hosts named.
    pub fn note_lease_read(&mut self) {
        self.named_orderer = None;
    }

    /// Adds the changes in the inventory to the state that is sent to the hosts. Does nothing
    /// without the lease. An engine is left out as long as its entry in the list of upstreams says
    /// the same, since every host has the list.
    pub fn publish(&mut self, now: Millis, upstreams: &Registry) {
        let Some(fence) = self.lease.holding().map(|holding| holding.fence) else {
            return;
        };
        let changes = self.inventory.take_changes(now);
        let is_as_listed = |view: &EngineView| {
            let upstream = upstreams.get_lifetime(&view.engine);
            upstream.is_some_and(|upstream| upstream.holds_exactly(&view.held))
        };
        self.published.update(fence, changes, is_as_listed);
    }
}

#[derive(Serialize)]
struct OrderLine<'a> {
    upstream: &'a str,
    order: &'a Order,
    why: &'a str,
    fence: u64,
}

#[derive(Serialize)]
struct OrderAnswerLine<'a> {
    upstream: &'a str,
    order: &'a Order,
    answer: OrderAnswer,
    took_ms: Millis,
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

/// The fields of a log line that reports an error.
#[derive(Serialize)]
pub struct ErrorLine<'a> {
    /// The text of the error.
    pub error: &'a str,
}

/// Writes the log line that a connection of another host was refused.
pub fn log_peer_refused(error: &str) {
    lines::write(LogEvent::PeerRefused, &ErrorLine { error });
}

/// Plans and sends orders while this host holds the lease. Runs until the process ends.
pub async fn plan<P: Platform + 'static>(
    host: Rc<Host<P>>,
    me: Member,
    executor: Rc<LocalExecutor<'static>>,
) {
    loop {
        let sync_request = host.next_sync_request();
        Timer::after(min_plan_interval_ms(&host).to_duration()).await;
        with_timeout(PLAN_INTERVAL_MS, sync_request).await;
        let now = host.now();
        if !host.is_orderer() {
            continue;
        }
        let Some(table) = host.routes.borrow().clone() else {
            continue;
        };
        update_engines(&host, &table, now);
        hold_calls_to_resting(&host, now);
        request_due_reports(&host, &executor, now);
        let excluded = excluded_engines(&host, now);
        if host.orders.borrow().lease.may_order(now) {
            plan_orders(&host, &table, &excluded, now);
            send_due_orders(&host, &executor, &me, now);
        }
        let ready_at = expected_ready_at(&host, &table, &excluded, now);
        let mut orders = host.orders.borrow_mut();
        orders.ready_at = ready_at;
        orders.separate = orders.demand.split_models(now);
    }
}

fn min_plan_interval_ms<P: Platform>(host: &Host<P>) -> Millis {
    Millis(MIN_PLAN_INTERVAL_MS.0 * host.tree.borrow().interval_factor(true))
}

/// Returns when each model or adapter that callers wait for is expected to be ready. It is computed
/// once a plan, since computing it for every message of a host would cost more.
fn expected_ready_at<P: Platform>(
    host: &Host<P>,
    table: &RouteTable,
    excluded: &IndexSet<Name>,
    now: Millis,
) -> Vec<(ModelRef, Millis)> {
    let orders = host.orders.borrow();
    let holding = orders.lease.holding();
    let timing = OrderTiming {
        store_loads_at_once: orders
            .store_load_limiter
            .as_ref()
            .map_or(1, StoreLoadLimiter::max_concurrent),
        orders_in_ms: holding.map_or(Millis::ZERO, |holding| holding.orders_from.since(now)),
    };
    let specs = engine_specs(table).map(|(service, spec)| {
        let planner = Planner {
            now,
            service,
            spec,
            inventory: &orders.inventory,
            demand: &orders.demand,
            excluded,
        };
        planner.ready_in_ms(timing)
    });
    let ready = specs
        .flatten()
        .map(|(model_ref, in_ms)| (model_ref, now + in_ms));
    ready.collect()
}

/// Updates the engines in the inventory when the list of upstreams or the desired state has
/// changed, or the inventory dropped an engine that may still be listed.
fn update_engines<P: Platform>(host: &Host<P>, table: &RouteTable, now: Millis) {
    let upstreams = host.upstreams.borrow();
    let mut orders = host.orders.borrow_mut();
    let versions = Some((upstreams.version(), table.version));
    if orders.engine_versions == versions && !orders.inventory.needs_engine_list() {
        return;
    }
    orders.engine_versions = versions;
    let is_engine = |service: &Name| {
        let service = table.services.get(service);
        service.is_some_and(|service| service.engine.is_some())
    };
    let engines = upstreams
        .iter()
        .filter(|upstream| is_engine(&upstream.entry.service))
        .map(|upstream| (upstream.lifetime(), upstream.entry.service.clone()));
    orders.inventory.set_engines(now, engines);
}

fn request_due_reports<P: Platform + 'static>(
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

fn plan_orders<P: Platform>(
    host: &Host<P>,
    table: &RouteTable,
    excluded: &IndexSet<Name>,
    now: Millis,
) {
    let mut orders = host.orders.borrow_mut();
    orders.demand.expire(now);
    orders.inventory.assume_unloaded(now);
    let OrderingState {
        inventory,
        demand,
        store_load_limiter,
        lease,
        ..
    } = &mut *orders;
    let store_load_limiter = store_load_limiter
        .get_or_insert_with(|| StoreLoadLimiter::new(now, lease.store_loads_at_once()));
    let fence = lease.holding().map_or(0, |holding| holding.fence);
    for (service, spec) in engine_specs(table) {
        for _ in 0..MAX_ORDERS_PER_ROUND {
            let planner = Planner {
                now,
                service,
                spec,
                inventory,
                demand,
                excluded,
            };
            let Some(planned) = planner.next(store_load_limiter) else {
                break;
            };
            let load = planner.load_time(&planned);
            let PlannedOrder {
                engine,
                action,
                model_ref,
                freed_for,
                why,
            } = planned;
            if load.from_store && action == Action::Load {
                store_load_limiter.record_start();
            }
            if let Some(order) = inventory.begin(now, &engine, action, model_ref, freed_for) {
                let line = OrderLine {
                    upstream: &engine,
                    order: &order,
                    why,
                    fence,
                };
                lines::write(LogEvent::OrderSent, &line);
            }
        }
    }
}

/// Returns the services whose upstreams are engines, with their engine settings.
fn engine_specs(table: &RouteTable) -> impl Iterator<Item = (&str, &EngineSpec)> {
    let services = table.services.iter();
    services.filter_map(|(name, service)| Some((&**name, service.engine.as_ref()?)))
}

/// Holds back calls to engines that have asked this host for rest. Their models still count as held.
fn hold_calls_to_resting<P: Platform>(host: &Host<P>, now: Millis) {
    let upstreams = host.upstreams.borrow();
    let mut orders = host.orders.borrow_mut();
    for upstream in upstreams.iter() {
        if let Some(until) = upstream.notices.rests_until(now) {
            orders.inventory.hold_calls(&upstream.entry.id, until);
        }
    }
}

/// Returns the engines that get no orders: those that are leaving, and those that are not called
/// for a while after failures.
fn excluded_engines<P: Platform>(host: &Host<P>, now: Millis) -> IndexSet<Name> {
    let upstreams = host.upstreams.borrow();
    let excluded = upstreams
        .iter()
        .filter(|upstream| upstream.is_leaving() || upstream.health.is_backing_off(now));
    excluded.map(|upstream| upstream.entry.id.clone()).collect()
}

fn send_due_orders<P: Platform + 'static>(
    host: &Rc<Host<P>>,
    executor: &Rc<LocalExecutor<'static>>,
    me: &Member,
    now: Millis,
) {
    let due = host.orders.borrow_mut().inventory.take_due_orders(now);
    for (id, order) in due {
        let host = host.clone();
        let holder: Name = format!("{}-{:x}", host.settings().name, me.incarnation).into();
        executor
            .spawn(async move { send_order(&host, &holder, &id, &order).await })
            .detach();
    }
}

/// Sends an order, unless the lease has ended since it was planned.
async fn send_order<P: Platform>(host: &Host<P>, holder: &str, id: &Name, order: &Order) {
    let sent_at = host.now();
    let fence = {
        let orders = host.orders.borrow();
        let holding = orders.lease.holding();
        holding
            .filter(|_| orders.lease.may_order(sent_at))
            .map(|holding| holding.fence)
    };
    let engine = lifetime_and_address(host, id)
        .filter(|(lifetime, _)| notices::accepts_requests(host, lifetime));
    let answer = match (fence, engine) {
        (Some(fence), Some((lifetime, address))) => {
            let reply = host.platform.order(address, id, holder, fence, order).await;
            notices::note_answer(host, &lifetime, reply.notice);
            reply.outcome
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
    let line = OrderAnswerLine {
        upstream: id,
        order,
        answer,
        took_ms: now.since(sent_at),
    };
    lines::write(LogEvent::OrderEnded, &line);
}
