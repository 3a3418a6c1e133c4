//! Ordering loads: the tasks that hold the lease, plan, send orders, and speak with the other hosts.

use crate::desired::{EngineSpec, RouteTable};
use crate::entry::host::Host;
use crate::entry::lines;
use crate::entry::members::Member;
use crate::entry::peers::Peers;
use crate::entry::platform::{AppendOutcome, ModelAsk, Platform, StoreError};
use crate::http1::client::within;
use crate::ordering::book::Book;
use crate::ordering::ceiling::Ceiling;
use crate::ordering::lease::{Lease, LeaseRecord};
use crate::ordering::ledger::{Ledger, Loaded};
use crate::ordering::message::{Order, OrderAnswer, SyncAsk, SyncReply};
use crate::ordering::planner::{Planned, Planner, load_time};
use crate::prelude::*;
use crate::routing::pick::Work;
use smol::{LocalExecutor, Timer};
use std::rc::Rc;

/// How often the state of the lease is looked at.
const LEASE_TICK_MS: Millis = Millis(100);
/// How often a host that hears nothing of an orderer reads the lease.
const LEASE_READ_MS: Millis = Millis(500);
/// How long a silent orderer is borne before the lease is read: a lost call or two.
const SILENT_ORDERER_MS: Millis = Millis(1_200);
/// How long a holder that hears of no other host keeps the lease; then it is cut off from them and another host does
/// better.
const ALONE_MS: Millis = Millis(3_000);
/// How long a host that gave the lease up for that reason does not claim it.
const YIELD_MS: Millis = Millis(6_000);
/// How often the plan is made without a new demand.
const PLAN_MS: Millis = Millis(50);
/// Most orders planned in one round.
const MAX_PLANNED: usize = 32;
/// How often a host speaks with the orderer, and how often while a request waits for a model, with up to
/// [`SYNC_HOSTS`] hosts; with more, less often in proportion, so that the orderer's work stays the same.
const SYNC_MS: u64 = 250;
const WAITING_SYNC_MS: u64 = 30;
const LEAST_SYNC_MS: u64 = 4;
const SYNC_HOSTS: usize = 24;

/// The state of ordering at one host.
#[derive(Default)]
pub struct Orders {
    lease: Lease,
    ledger: Ledger,
    book: Book,
    ceiling: Option<Ceiling>,
    alone_since: Option<Millis>,
    yields_until: Millis,
    noted_holder: Option<u64>,
}

impl Orders {
    /// Returns the host that orders loads, as far as this one knows.
    pub fn holder(&self) -> Option<&Member> {
        self.lease.holder()
    }
}

#[derive(Serialize)]
struct LeaseLine<'a> {
    fence: Option<u64>,
    orders_from_unix_ms: Option<Millis>,
    why: &'a str,
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
    took_ms: Millis,
    from_store: bool,
    store_loads_at_once: usize,
}

#[derive(Serialize)]
struct ErrorLine<'a> {
    error: &'a str,
}

/// Writes that a peer was refused.
pub fn note_peer_refused(error: &str) {
    lines::write(LogEvent::PeerRefused, &ErrorLine { error });
}

/// Holds the lease when it is free, renews it, and gives it up at a planned stop.
pub async fn keep_lease<P: Platform>(host: Rc<Host<P>>, me: Member) {
    let mut read_at = Millis::ZERO;
    loop {
        if host.is_stopping() {
            release(&host, "this host stops").await;
            return;
        }
        let now = host.now();
        if host.orders.borrow().lease.holding().is_some() {
            hold(&host, now).await;
        } else if now.since(read_at) >= LEASE_READ_MS && hears_no_orderer(&host, now) {
            read_at = now;
            if let Err(error) = look_for_lease(&host, &me).await {
                note_store_error(&error);
            }
        }
        within(LEASE_TICK_MS, host.next_stop()).await;
    }
}

fn note_store_error(error: &StoreError) {
    let error = &error.to_string();
    lines::write(LogEvent::AppendUnknown, &ErrorLine { error });
}

fn hears_no_orderer<P: Platform>(host: &Host<P>, now: Millis) -> bool {
    let answered_at = host.view.borrow().answered_at;
    answered_at.is_none_or(|at| now.since(at) >= SILENT_ORDERER_MS)
}

/// Renews the lease when that is due, and gives it up when no other host is heard of.
async fn hold<P: Platform>(host: &Host<P>, now: Millis) {
    if host.orders.borrow().lease.is_failing(now) {
        let mut orders = host.orders.borrow_mut();
        note_lease(
            LogEvent::LeaseEnded,
            &orders.lease,
            "the store does not take renewals",
        );
        orders.lease.resign(now);
        orders.ledger = Ledger::default();
        orders.yields_until = now + YIELD_MS;
        return;
    }
    if is_alone(host, now) {
        host.orders.borrow_mut().yields_until = now + YIELD_MS;
        release(host, "no other host is heard of").await;
        return;
    }
    let due = {
        let orders = host.orders.borrow();
        let holding = orders.lease.holding().cloned();
        holding.filter(|_| orders.lease.is_renewal_due(now))
    };
    let Some(holding) = due else { return };
    let record = record_bytes(&holding.record(false));
    match host.platform.append_lease(holding.end, &record).await {
        Ok(AppendOutcome::Appended(offset)) => {
            host.orders.borrow_mut().lease.note_renewed(now, offset);
        }
        Ok(AppendOutcome::EndMoved(_)) => {
            if let Err(error) = read_moved(host).await {
                note_store_error(&error);
            }
        }
        Err(error) => note_store_error(&error),
    }
}

fn is_alone<P: Platform>(host: &Host<P>, now: Millis) -> bool {
    let mut orders = host.orders.borrow_mut();
    let has_others = host.members.borrow().count() > 1;
    let hears_others = orders.book.hosts() > 1;
    if !has_others || hears_others {
        orders.alone_since = None;
        return false;
    }
    let since = *orders.alone_since.get_or_insert(now);
    now.since(since) >= ALONE_MS
}

/// Learns who wrote after this holder's last record.
async fn read_moved<P: Platform>(host: &Host<P>) -> Result<(), StoreError> {
    let asked_at = host.now();
    let from = host.orders.borrow().lease.end().unwrap_or(Offset(0));
    let read = host.platform.read_leases(from).await?;
    let newest = read.newest.as_deref().and_then(read_record);
    let mut orders = host.orders.borrow_mut();
    match newest {
        Some(newest) => orders.lease.note_moved(asked_at, read.end, newest),
        None => orders.lease.drop_holding(),
    }
    if orders.lease.holding().is_none() {
        note_lease(
            LogEvent::LeaseEnded,
            &orders.lease,
            "another host claimed it",
        );
    }
    Ok(())
}

async fn release<P: Platform>(host: &Host<P>, why: &str) {
    let held = {
        let mut orders = host.orders.borrow_mut();
        let held = orders.lease.holding().cloned();
        if held.is_some() {
            note_lease(LogEvent::LeaseEnded, &orders.lease, why);
        }
        orders.lease.drop_holding();
        orders.ledger = Ledger::default();
        held
    };
    let Some(held) = held else { return };
    let record = record_bytes(&held.record(true));
    if let Err(error) = host.platform.append_lease(held.end, &record).await {
        note_store_error(&error);
    }
}

/// Reads the lease, and claims it when it is free.
async fn look_for_lease<P: Platform>(host: &Host<P>, me: &Member) -> Result<(), StoreError> {
    let asked_at = host.now();
    let from = host.orders.borrow().lease.end().unwrap_or(Offset(0));
    let read = host.platform.read_leases(from).await?;
    let newest = read.newest.as_deref().and_then(read_record);
    let claim_end = {
        let mut orders = host.orders.borrow_mut();
        orders.lease.note_read(asked_at, read.end, newest);
        note_orderer(host, &mut orders);
        let yields = asked_at < orders.yields_until;
        orders.lease.may_claim(asked_at).filter(|_| !yields)
    };
    let Some(end) = claim_end else { return Ok(()) };
    let sent_at = host.now();
    let record = host.orders.borrow_mut().lease.claim_record(me.clone());
    let bytes = record_bytes(&record);
    let AppendOutcome::Appended(offset) = host.platform.append_lease(end, &bytes).await? else {
        return Ok(());
    };
    let mut orders = host.orders.borrow_mut();
    let engine_lease_ms = host.settings().bounds.order_lease_ms;
    orders
        .lease
        .note_claimed(sent_at, offset, record, engine_lease_ms);
    orders.ledger = Ledger::default();
    orders.ceiling = None;
    orders.alone_since = None;
    note_lease(LogEvent::LeaseTaken, &orders.lease, "it was free");
    note_orderer(host, &mut orders);
    Ok(())
}

fn note_lease(event: LogEvent, lease: &Lease, why: &str) {
    let holding = lease.holding();
    let line = LeaseLine {
        fence: holding.map(|holding| holding.fence),
        orders_from_unix_ms: holding.map(|holding| holding.orders_from),
        why,
    };
    lines::write(event, &line);
}

#[derive(Serialize)]
struct OrdererLine {
    orderer: Option<std::net::SocketAddr>,
}

fn note_orderer<P: Platform>(host: &Host<P>, orders: &mut Orders) {
    let holder = orders.lease.holder();
    let incarnation = holder.map(|holder| holder.incarnation);
    if orders.noted_holder != incarnation {
        let orderer = holder.map(|holder| holder.caller_address);
        lines::write(LogEvent::OrdererChanged, &OrdererLine { orderer });
        orders.noted_holder = incarnation;
    }
    host.accept_members(holder);
}

fn record_bytes(record: &LeaseRecord) -> Vec<u8> {
    // A struct of texts and numbers always serialises.
    serde_json::to_vec(record).unwrap_or_default()
}

fn read_record(bytes: &[u8]) -> Option<LeaseRecord> {
    serde_json::from_slice(bytes).ok()
}

/// Plans and sends orders while this host holds the lease.
pub async fn plan<P: Platform + 'static>(
    host: Rc<Host<P>>,
    me: Member,
    executor: Rc<LocalExecutor<'static>>,
) {
    loop {
        within(PLAN_MS, host.next_want()).await;
        let now = host.now();
        if host.orders.borrow().lease.holding().is_none() {
            continue;
        }
        let Some(table) = host.routes.borrow().clone() else {
            continue;
        };
        take_engines(&host, &table);
        ask_reports(&host, &executor, now);
        if host.orders.borrow().lease.may_order(now) {
            plan_orders(&host, &table, now);
            send_due(&host, &executor, &me, now);
        }
    }
}

fn take_engines<P: Platform>(host: &Host<P>, table: &RouteTable) {
    let upstreams = host.upstreams.borrow();
    let is_engine = |service: &Name| {
        let service = table.services.get(service);
        service.is_some_and(|service| service.engine.is_some())
    };
    let engines = upstreams
        .iter()
        .filter(|upstream| is_engine(&upstream.entry.service))
        .map(|upstream| (upstream.entry.id.clone(), upstream.entry.service.clone()));
    host.orders.borrow_mut().ledger.take_engines(engines);
}

fn ask_reports<P: Platform + 'static>(
    host: &Rc<Host<P>>,
    executor: &Rc<LocalExecutor<'static>>,
    now: Millis,
) {
    let due: Vec<Name> = {
        let mut orders = host.orders.borrow_mut();
        let due = orders
            .ledger
            .iter()
            .filter(|engine| !engine.in_report && now >= engine.report_at);
        let due: Vec<Name> = due.map(|engine| engine.id.clone()).collect();
        for id in &due {
            if let Some(engine) = orders.ledger.get_mut(id) {
                engine.in_report = true;
            }
        }
        due
    };
    for id in due {
        let host = host.clone();
        executor
            .spawn(async move { ask_report(&host, &id).await })
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
        None => None,
    };
    let now = host.now();
    let mut orders = host.orders.borrow_mut();
    let loaded = orders.ledger.take_report(now, id, report);
    for Loaded {
        model,
        took_ms,
        from_store,
        beside,
    } in loaded
    {
        if from_store
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

fn stated_load_ms<P: Platform>(host: &Host<P>, id: &str, model: &Name) -> Option<Millis> {
    let routes = host.routes.borrow();
    let upstreams = host.upstreams.borrow();
    let service = &upstreams.get(id)?.entry.service;
    let spec = routes.as_ref()?.services.get(service)?.engine.as_ref()?;
    Some(spec.models.get(model)?.load_ms)
}

fn plan_orders<P: Platform>(host: &Host<P>, table: &RouteTable, now: Millis) {
    let unusable = unusable(host, now);
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
    let ceiling = ceiling.get_or_insert_with(|| Ceiling::new(now));
    let fence = lease.holding().map_or(0, |holding| holding.fence);
    for (service, spec) in engine_specs(table) {
        for _ in 0..MAX_PLANNED {
            let planner = Planner {
                now,
                service,
                spec,
                ledger,
                book,
                unusable: &unusable,
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
            if load.from_store && action == crate::ordering::message::Action::Load {
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

fn engine_specs(table: &RouteTable) -> impl Iterator<Item = (&str, &EngineSpec)> {
    let services = table.services.iter();
    services.filter_map(|(name, service)| Some((&**name, service.engine.as_ref()?)))
}

fn unusable<P: Platform>(host: &Host<P>, now: Millis) -> IndexSet<Name> {
    let upstreams = host.upstreams.borrow();
    let unusable = upstreams
        .iter()
        .filter(|upstream| upstream.entry.leaving || upstream.health.is_resting(now));
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

/// Answers a host that tells its demand.
pub fn answer<P: Platform>(host: &Host<P>, ask: SyncAsk) -> SyncReply {
    let now = host.now();
    let mut orders = host.orders.borrow_mut();
    let Some(holding) = orders.lease.holding() else {
        return SyncReply::NotOrderer {
            holder: orders.lease.holder().cloned(),
            resignation: orders.lease.resignation(now),
        };
    };
    let fence = holding.fence;
    let wants = ask.demand.iter().any(|(_, count)| count.waiting > 0);
    orders.book.take(now, ask.incarnation, ask.demand, ask.work);
    if wants {
        host.note_want();
    }
    let version = (fence, orders.ledger.version());
    // Adapters become ready without an order's answer, so a host that waits gets the newest state in any case.
    let is_news = wants || version != ask.view_version;
    SyncReply::View {
        version,
        engines: is_news.then(|| orders.ledger.view(now)),
        work: orders.book.work_of_others(ask.incarnation),
        ready_in_ms: ready_in_ms(host, &orders, now),
    }
}

fn ready_in_ms<P: Platform>(
    host: &Host<P>,
    orders: &Orders,
    now: Millis,
) -> Vec<(ModelAsk, Millis)> {
    let Some(table) = host.routes.borrow().clone() else {
        return Vec::new();
    };
    let unusable = unusable(host, now);
    let specs = engine_specs(&table).map(|(service, spec)| {
        let planner = Planner {
            now,
            service,
            spec,
            ledger: &orders.ledger,
            book: &orders.book,
            unusable: &unusable,
        };
        planner.ready_in_ms()
    });
    specs.flatten().collect()
}

/// Tells the orderer this host's demand, and takes what it says, again and again: at once when a request waits for a
/// model or a long prompt begins or ends, else now and then.
pub async fn sync<P: Platform>(host: Rc<Host<P>>, peers: Rc<Peers>, me: Member) {
    let mut waited_for = false;
    loop {
        let interval_ms = interval_ms(&host, waited_for);
        Timer::after(least_interval_ms(&host).to_duration()).await;
        host.wait_for_news(interval_ms).await;
        let ask = sync_ask(&host, &me);
        waited_for = ask.demand.iter().any(|(_, count)| count.waiting > 0);
        let (holds, orderer) = {
            let orders = host.orders.borrow();
            let holds = orders.lease.holding().is_some();
            (holds, orders.lease.holder().cloned())
        };
        let reply = match (holds, orderer) {
            (true, _) => Some(answer(&host, ask)),
            (false, Some(orderer)) => peers.ask(orderer.peer_address, &ask).await,
            (false, None) => None,
        };
        if let Some(reply) = reply {
            take_reply(&host, reply);
        }
    }
}

fn least_interval_ms<P: Platform>(host: &Host<P>) -> Millis {
    let factor = host.members.borrow().count().div_ceil(SYNC_HOSTS) as u64;
    Millis(LEAST_SYNC_MS * factor)
}

fn interval_ms<P: Platform>(host: &Host<P>, waited_for: bool) -> Millis {
    let hosts = host.members.borrow().count();
    let factor = hosts.div_ceil(SYNC_HOSTS) as u64;
    match waited_for {
        true => Millis(WAITING_SYNC_MS * factor),
        false => Millis(SYNC_MS * factor),
    }
}

fn sync_ask<P: Platform>(host: &Host<P>, me: &Member) -> SyncAsk {
    let upstreams = host.upstreams.borrow();
    let busy = upstreams.iter().filter(|upstream| upstream.in_flight > 0);
    let work = busy.map(|upstream| {
        let work = Work {
            prompt_tokens: upstream.prompt_tokens,
            long_prompts: upstream.long_prompts,
            running: upstream.in_flight,
        };
        (upstream.entry.id.clone(), work)
    });
    SyncAsk {
        incarnation: me.incarnation,
        view_version: host.view.borrow().version,
        work: work.collect(),
        demand: host.demand.borrow_mut().take(),
    }
}

fn take_reply<P: Platform>(host: &Host<P>, reply: SyncReply) {
    let now = host.now();
    match reply {
        SyncReply::NotOrderer { resignation, .. } => {
            if let Some(resignation) = resignation {
                host.orders
                    .borrow_mut()
                    .lease
                    .note_resigned(now, resignation);
                host.view.borrow_mut().answered_at = None;
            }
        }
        SyncReply::View {
            version,
            engines,
            work,
            ready_in_ms,
        } => {
            let mut view = host.view.borrow_mut();
            view.answered_at = Some(now);
            if let Some(engines) = engines {
                view.take_engines(version, engines);
            }
            view.take_work(work);
            view.take_ready(now, ready_in_ms);
            view.answers += 1;
            drop(view);
            host.note_change();
        }
    }
}
