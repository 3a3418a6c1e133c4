//! Ordering loads while this host holds the lease: reading engines, planning, sending orders.

use crate::desired::{EngineSpec, RouteTable};
use crate::entry::host::Host;
use crate::entry::lines;
use crate::entry::platform::{ModelRef, Platform};
use crate::entry::table_rows;
use crate::group::Member;
use crate::http1::client::with_timeout;
use crate::ordering::book::Book;
use crate::ordering::ceiling::Ceiling;
use crate::ordering::copy::Loaded;
use crate::ordering::estimates::Pace;
use crate::ordering::lease::Lease;
use crate::ordering::ledger::Ledger;
use crate::ordering::message::{Action, Order, OrderAnswer};
use crate::ordering::planner::{Planned, Planner, load_time};
use crate::ordering::published::{EngineView, PublishedEngines};
use crate::prelude::*;
use crate::upstreams::{Lifetime, Registry};
use smol::{LocalExecutor, Timer};
use std::rc::Rc;

/// How often the plan is made without a new demand.
const PLAN_MS: Millis = Millis(50);
/// The least time between two plans where few hosts speak with the orderer; more in proportion to those that do, relays in a
/// large site. A message of a host whose callers wait asks for a plan; on the smallest hosts, an eighth of a core, plans
/// at each of hundreds of messages a second left no time to read the tables.
const LEAST_PLAN_MS: Millis = Millis(10);
/// Most calls for reports at once, beside those of engines that carry out orders: a new orderer has to read all engines, and
/// thousands of calls at once would leave it no time for the hosts.
const MAX_REPORTS: usize = 200;
/// Most orders planned in one round.
const MAX_PLANNED: usize = 32;

/// The state of ordering at one host.
#[derive(Default)]
pub struct Orders {
    /// The lease as this host knows it.
    pub lease: Lease,
    /// What the engines hold.
    pub ledger: Ledger,
    /// What the hosts are told of it.
    pub published: PublishedEngines,
    /// The versions of the list of upstreams and of the desired state by which the engines were taken.
    engines_as_of: Option<(u64, u64)>,
    /// What callers ask for.
    pub book: Book,
    told_holder: Option<Member>,
    reports_under_way: usize,
    /// When what callers wait for will be ready, as the last plan had it.
    pub ready_at: Vec<(ModelRef, Millis)>,
    /// The models whose copies are kept apart for long and for short prompts.
    pub separate: Vec<Name>,
    /// The load on the weight store, while this host orders.
    pub ceiling: Option<Ceiling>,
    /// Since when no other host was heard of.
    pub alone_since: Option<Millis>,
    /// Until when this host does not claim the lease.
    pub yields_until: Millis,
    /// The orderer that was last written to the log.
    pub noted_holder: Option<u64>,
}

impl Orders {
    /// Returns how many loads the weight store serves at full speed, as far as any holder has learned it.
    pub fn store_loads_at_once(&self) -> Option<usize> {
        let own = self.ceiling.as_ref().and_then(Ceiling::learned_at_once);
        own.or(self.lease.store_loads_at_once())
    }

    /// Forgets the engines, because another host may order from now on.
    pub fn forget_engines(&mut self) {
        self.ledger = Ledger::default();
        self.engines_as_of = None;
        self.ready_at = Vec::new();
    }

    /// Returns the host that orders loads, as far as this one was told or has read, whichever came last.
    pub fn holder(&self) -> Option<&Member> {
        self.told_holder.as_ref().or(self.lease.holder())
    }

    /// Takes note that a host was named as the orderer.
    pub fn note_told(&mut self, orderer: Member) {
        self.told_holder = Some(orderer);
    }

    /// Takes note that the lease was read or taken: that is newer than what was told.
    pub fn note_lease_known(&mut self) {
        self.told_holder = None;
    }

    /// Takes what the engines hold over into what the hosts are told.
    pub fn publish(&mut self, now: Millis, upstreams: &Registry) {
        let Some(fence) = self.lease.holding().map(|holding| holding.fence) else {
            return;
        };
        let changes = self.ledger.take_changes(now);
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

/// The fields of a line about an error.
#[derive(Serialize)]
pub struct ErrorLine<'a> {
    /// The error.
    pub error: &'a str,
}

/// Writes that a peer was refused.
pub fn note_peer_refused(error: &str) {
    lines::write(LogEvent::PeerRefused, &ErrorLine { error });
}

/// Plans and sends orders while this host holds the lease.
pub async fn plan<P: Platform + 'static>(
    host: Rc<Host<P>>,
    me: Member,
    executor: Rc<LocalExecutor<'static>>,
) {
    loop {
        let want = host.next_sync_request();
        Timer::after(least_plan_ms(&host).to_duration()).await;
        with_timeout(PLAN_MS, want).await;
        let now = host.now();
        if !host.is_orderer() {
            continue;
        }
        let Some(table) = host.routes.borrow().clone() else {
            continue;
        };
        take_engines(&host, &table, now);
        ask_reports(&host, &executor, now);
        let unusable = unusable(&host, now);
        if host.orders.borrow().lease.may_order(now) {
            plan_orders(&host, &table, &unusable, now);
            send_due(&host, &executor, &me, now);
        }
        let ready_at = expect_ready(&host, &table, &unusable, now);
        let mut orders = host.orders.borrow_mut();
        orders.ready_at = ready_at;
        orders.separate = orders.book.separate(now);
    }
}

fn least_plan_ms<P: Platform>(host: &Host<P>) -> Millis {
    Millis(LEAST_PLAN_MS.0 * host.tree.borrow().interval_factor(true))
}

/// Returns when what callers wait for will be ready. It is worked out once a plan, not for each message of a host.
fn expect_ready<P: Platform>(
    host: &Host<P>,
    table: &RouteTable,
    unusable: &IndexSet<Name>,
    now: Millis,
) -> Vec<(ModelRef, Millis)> {
    let orders = host.orders.borrow();
    let holding = orders.lease.holding();
    let pace = Pace {
        store_loads_at_once: orders.ceiling.as_ref().map_or(1, Ceiling::at_once),
        orders_in_ms: holding.map_or(Millis::ZERO, |holding| holding.orders_from.since(now)),
    };
    let specs = engine_specs(table).map(|(service, spec)| {
        let planner = Planner {
            now,
            service,
            spec,
            ledger: &orders.ledger,
            book: &orders.book,
            unusable,
        };
        planner.ready_in_ms(pace)
    });
    let ready = specs.flatten().map(|(ask, in_ms)| (ask, now + in_ms));
    ready.collect()
}

fn take_engines<P: Platform>(host: &Host<P>, table: &RouteTable, now: Millis) {
    let upstreams = host.upstreams.borrow();
    let mut orders = host.orders.borrow_mut();
    let as_of = Some((upstreams.version(), table.version));
    if orders.engines_as_of == as_of && !orders.ledger.lacks_engines() {
        return;
    }
    orders.engines_as_of = as_of;
    let is_engine = |service: &Name| {
        let service = table.services.get(service);
        service.is_some_and(|service| service.engine.is_some())
    };
    let engines = upstreams
        .iter()
        .filter(|upstream| is_engine(&upstream.entry.service))
        .map(|upstream| (upstream.lifetime(), upstream.entry.service.clone()));
    orders.ledger.take_engines(now, engines);
}

fn ask_reports<P: Platform + 'static>(
    host: &Rc<Host<P>>,
    executor: &Rc<LocalExecutor<'static>>,
    now: Millis,
) {
    let due = {
        let mut orders = host.orders.borrow_mut();
        let idle_most = MAX_REPORTS.saturating_sub(orders.reports_under_way);
        let due = orders.ledger.due_reports(now, idle_most);
        orders.reports_under_way += due.len();
        due
    };
    for id in due {
        let host = host.clone();
        executor
            .spawn(async move {
                ask_report(&host, &id).await;
                host.orders.borrow_mut().reports_under_way -= 1;
            })
            .detach();
    }
}

async fn ask_report<P: Platform>(host: &Host<P>, id: &Name) {
    let address = host
        .upstreams
        .borrow()
        .get(id)
        .map(|upstream| upstream.address());
    let report = match address {
        Some(address) => host.platform.report(address, id).await,
        None => Err("it is listed no longer".to_string()),
    };
    if let Err(error) = &report {
        let line = ReportLine {
            upstream: id,
            error,
        };
        lines::write(LogEvent::ReportFailed, &line);
    }
    let report = report.ok();
    if let Some(report) = &report {
        note_start(host, id, report.born_at);
    }
    let now = host.now();
    let mut orders = host.orders.borrow_mut();
    let was_known = orders.ledger.get(id).is_some_and(|engine| engine.is_known);
    let is_answered = report.is_some();
    let loaded = orders.ledger.take_report(now, id, report);
    if is_answered {
        learn_from_overdue(host, &mut orders, id, now);
    }
    if !was_known && let Some(engine) = orders.ledger.get(id).filter(|engine| engine.is_known) {
        let line = EngineLine {
            upstream: id,
            models: engine.copies.keys().collect(),
            adapters: engine.adapters.len(),
        };
        lines::write(LogEvent::EngineRead, &line);
    }
    for Loaded {
        model,
        took_ms,
        from_store,
        beside,
    } in loaded
    {
        if from_store
            && let Some(took_ms) = took_ms
            && let Some(stated_ms) = stated_load_ms(host, id, &model)
            && let Some(ceiling) = &mut orders.ceiling
        {
            ceiling.note_done(took_ms, stated_ms, beside);
        }
        let line = LoadedLine {
            upstream: id,
            model: &model,
            took_ms,
            from_store,
            store_loads_at_once: orders.ceiling.as_ref().map_or(0, Ceiling::at_once),
        };
        lines::write(LogEvent::CopyReady, &line);
    }
}

/// Takes note of the start that an engine's report names: it may tell of a new one before the list does.
fn note_start<P: Platform>(host: &Host<P>, id: &Name, born_at: Millis) {
    let lifetime = Lifetime {
        id: id.clone(),
        born_at,
    };
    let change = host.upstreams.borrow_mut().note_restarted(&lifetime);
    table_rows::note_upstream(host, id, &change, None);
}

/// Lowers the number of loads at once when an engine says that it still carries out one that is overdue.
fn learn_from_overdue<P: Platform>(host: &Host<P>, orders: &mut Orders, id: &str, now: Millis) {
    let engine = orders.ledger.get(id);
    let under_way: Vec<Loaded> = engine
        .into_iter()
        .flat_map(|engine| engine.loads_under_way(now))
        .collect();
    for Loaded {
        model,
        took_ms,
        beside,
        ..
    } in under_way
    {
        if let Some(took_ms) = took_ms
            && let Some(stated_ms) = stated_load_ms(host, id, &model)
            && let Some(ceiling) = &mut orders.ceiling
        {
            ceiling.note_overdue(took_ms, stated_ms, beside);
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
    unusable: &IndexSet<Name>,
    now: Millis,
) {
    let mut orders = host.orders.borrow_mut();
    orders.book.expire(now);
    orders.ledger.assume_unloaded(now);
    let Orders {
        ledger,
        book,
        ceiling,
        lease,
        ..
    } = &mut *orders;
    let ceiling = ceiling.get_or_insert_with(|| Ceiling::new(now, lease.store_loads_at_once()));
    let fence = lease.holding().map_or(0, |holding| holding.fence);
    for (service, spec) in engine_specs(table) {
        for _ in 0..MAX_PLANNED {
            let planner = Planner {
                now,
                service,
                spec,
                ledger,
                book,
                unusable,
            };
            let Some(planned) = planner.next(ceiling) else {
                break;
            };
            let load = planner.load_time(&planned);
            let Planned {
                engine,
                action,
                ask,
                makes_way_for,
                why,
            } = planned;
            if load.from_store && action == Action::Load {
                ceiling.note_begun();
            }
            if let Some(order) = ledger.begin(now, &engine, action, ask, makes_way_for) {
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

/// Returns the services whose upstreams are engines.
fn engine_specs(table: &RouteTable) -> impl Iterator<Item = (&str, &EngineSpec)> {
    let services = table.services.iter();
    services.filter_map(|(name, service)| Some((&**name, service.engine.as_ref()?)))
}

/// Returns the engines that are leaving or cannot be reached.
fn unusable<P: Platform>(host: &Host<P>, now: Millis) -> IndexSet<Name> {
    let upstreams = host.upstreams.borrow();
    let unusable = upstreams
        .iter()
        .filter(|upstream| upstream.entry.leaving || upstream.health.is_backing_off(now));
    unusable.map(|upstream| upstream.entry.id.clone()).collect()
}

fn send_due<P: Platform + 'static>(
    host: &Rc<Host<P>>,
    executor: &Rc<LocalExecutor<'static>>,
    me: &Member,
    now: Millis,
) {
    let due = host.orders.borrow_mut().ledger.due(now);
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
    let address = host
        .upstreams
        .borrow()
        .get(id)
        .map(|upstream| upstream.address());
    let answer = match (fence, address) {
        (Some(fence), Some(address)) => {
            host.platform.order(address, id, holder, fence, order).await
        }
        _ => OrderAnswer::NotSent,
    };
    let now = host.now();
    let spec_load = {
        let routes = host.routes.borrow();
        let orders = host.orders.borrow();
        let service = orders.ledger.get(id).map(|engine| engine.service.clone());
        let spec = service.and_then(|service| {
            let table = routes.as_ref()?;
            table.services.get(&service)?.engine.as_ref()
        });
        spec.map(|spec| load_time(spec, &orders.ledger, id, &order.ask))
    };
    let load = spec_load.unwrap_or_default();
    host.orders
        .borrow_mut()
        .ledger
        .take_answer(now, id, order, answer, load);
    let line = OrderAnswerLine {
        upstream: id,
        order,
        answer,
        took_ms: now.since(sent_at),
    };
    lines::write(LogEvent::OrderEnded, &line);
}
