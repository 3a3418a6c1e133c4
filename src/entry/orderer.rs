//! Ordering engines to load and unload models. The host that holds the lease is the orderer: it
//! plans from the engines' reports, which [`engine_calls`](crate::entry::engine_calls) reads, and has
//! the orders sent there.

use crate::desired::{EngineSpec, RouteTable};
use crate::entry::engine_calls::{hold_calls_to_resting, request_due_reports, send_due_orders};
use crate::entry::host::Host;
use crate::entry::lines;
use crate::entry::platform::{ModelRef, Platform};
use crate::group::Member;
use crate::http1::client::with_timeout;
use crate::ordering::cached_orderer_state::CachedOrdererState;
use crate::ordering::demand_totals::DemandTotals;
use crate::ordering::engine_inventory::EngineInventory;
use crate::ordering::engine_speeds::{EngineSpeeds, ListedEngine};
use crate::ordering::estimates::OrderTiming;
use crate::ordering::event_gaps::{GapSample, MAX_RELAY_SAMPLES};
use crate::ordering::lease::Lease;
use crate::ordering::message::{Action, Order};
use crate::ordering::model_sizes::ModelSizes;
use crate::ordering::planner::{PlannedOrder, Planner};
use crate::ordering::published::{EngineView, PublishedEngines};
use crate::ordering::store_load_limiter::StoreLoadLimiter;
use crate::prelude::*;
use crate::upstreams::Registry;
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
    /// The sizes of the services' models, in this desired state and former ones.
    pub model_sizes: Rc<IndexMap<Name, ModelSizes>>,
    /// The state of the engines as sent to the hosts, versioned so that a host gets changes only.
    pub published: PublishedEngines,
    /// The versions of the list of upstreams and of the desired state at the last update of the
    /// engines in the inventory.
    engine_versions: Option<(u64, u64)>,
    /// How slow each engine is, as this orderer learns it.
    pub speeds: EngineSpeeds,
    /// The fencing token of the holding in which `speeds` was begun.
    speeds_fence: Option<u64>,
    /// The demand and the work that the hosts report.
    pub demand: DemandTotals,
    /// The orderer that another host named since this one last read or took the lease.
    named_orderer: Option<Member>,
    /// The number of reads of reports that are under way.
    pub reports_in_flight: usize,
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
    /// Since when the orderer has reached no upstream while other hosts reach some.
    pub cut_off_since: Option<Millis>,
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

    /// Expects late orders of the former holder, if another host may have held the lease until `now`.
    /// `engine_lease_ms` is the time that engines require between orders of two hosts.
    pub fn expect_former_orders(&mut self, now: Millis, engine_lease_ms: Millis) {
        if self
            .lease
            .holding()
            .is_some_and(|holding| !holding.is_first)
        {
            self.inventory.expect_former_orders(now, engine_lease_ms);
        }
    }

    /// Records the sizes of the models in a new desired state.
    pub fn note_desired(&mut self, table: &RouteTable) {
        let services = &table.services;
        let sizes = Rc::make_mut(&mut self.model_sizes);
        sizes.retain(|service, _| services.contains_key(service));
        for (service, spec) in engine_specs(table) {
            let of_service = sizes.entry(service.into()).or_default();
            of_service.note_spec(spec);
        }
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
    pub fn publish(&mut self, now: Millis, upstreams: &Registry, known: &CachedOrdererState) {
        let Some(fence) = self.lease.holding().map(|holding| holding.fence) else {
            return;
        };
        self.begin_speeds(fence, upstreams, known);
        let changes = self.inventory.take_changes(now);
        for engine in &changes.gone {
            self.speeds.note_unpublished(engine);
        }
        let is_as_listed = |view: &EngineView| {
            let upstream = upstreams.get_lifetime(&view.engine);
            upstream.is_some_and(|upstream| upstream.holds_exactly(&view.held))
        };
        self.published.update(fence, changes, is_as_listed);
    }

    /// Goes on, in a new holding of the lease, with the slowness of engines that this host knows.
    fn begin_speeds(&mut self, fence: u64, upstreams: &Registry, known: &CachedOrdererState) {
        if self.speeds_fence == Some(fence) {
            return;
        }
        self.speeds_fence = Some(fence);
        // The listed engines and the models are set anew.
        self.engine_versions = None;
        let known = known.uneven_engines();
        let known: Vec<_> = known
            .filter(|(engine, _)| upstreams.get_lifetime(engine).is_some())
            .map(|(engine, slowness)| (engine.clone(), slowness))
            .collect();
        self.speeds = EngineSpeeds::continued_from(known.iter().cloned());
        self.published.update_slowness(fence, known);
    }

    /// Learns from samples of the time between events. A message has a bounded number of them.
    pub fn note_event_gaps(&mut self, now: Millis, upstreams: &Registry, samples: Vec<GapSample>) {
        for sample in samples.into_iter().take(MAX_RELAY_SAMPLES) {
            let upstream = upstreams.get_lifetime(&sample.engine);
            let slots = upstream.map_or(0, |upstream| upstream.entry.slots);
            let load = self.demand.work_at(&sample.engine.id);
            self.speeds.record(now, &sample, load.is_full(slots));
        }
    }

    /// Computes and publishes the slowness of the engines from time to time.
    fn refresh_speeds(&mut self, now: Millis, upstreams: &Registry, known: &CachedOrdererState) {
        let Some(fence) = self.lease.holding().map(|holding| holding.fence) else {
            return;
        };
        self.begin_speeds(fence, upstreams, known);
        let changes = self.speeds.refresh(now);
        if !changes.is_empty() {
            self.published.update_slowness(fence, changes);
            self.update_inventory_slowness();
        }
    }

    fn update_inventory_slowness(&mut self) {
        let uneven = self.speeds.uneven();
        let uneven = uneven.map(|(engine, slowness)| (engine.id.clone(), slowness.ratio()));
        self.inventory.set_slowness(uneven);
    }
}

#[derive(Serialize)]
struct OrderLine<'a> {
    upstream: &'a str,
    order: &'a Order,
    why: &'a str,
    fence: u64,
}

/// The fields of a log line that reports an error.
#[derive(Serialize)]
pub struct ErrorLine<'a> {
    /// The text of the error.
    pub error: &'a str,
}

#[derive(Serialize)]
struct PeerRefusedLine<'a> {
    peer: SocketAddr,
    error: &'a str,
}

/// Writes the log line that a connection of another host was refused.
pub fn log_peer_refused(peer: SocketAddr, error: &str) {
    lines::write(LogEvent::PeerRefused, &PeerRefusedLine { peer, error });
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
        refresh_speeds(&host, now);
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

fn refresh_speeds<P: Platform>(host: &Host<P>, now: Millis) {
    let (upstreams, known) = (host.upstreams.borrow(), host.orderer_state.borrow());
    let mut orders = host.orders.borrow_mut();
    orders.refresh_speeds(now, &upstreams, &known);
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
    let sizes = orders.model_sizes.clone();
    orders.inventory.set_sizes(sizes);
    orders.inventory.set_engines(now, engines);
    let starts = upstreams
        .iter()
        .map(|upstream| (upstream.lifetime(), upstream.former_start));
    orders.inventory.set_former_starts(starts);
    let versions = upstreams.iter().filter_map(|upstream| {
        let version = upstream.software_version()?;
        Some((upstream.entry.id.clone(), version.clone()))
    });
    orders.inventory.set_versions(versions);
    let engines = upstreams
        .iter()
        .filter(|upstream| is_engine(&upstream.entry.service))
        .map(|upstream| ListedEngine {
            lifetime: upstream.lifetime(),
            service: upstream.entry.service.clone(),
        });
    orders.speeds.set_engines(now, engines);
    let models = engine_specs(table).map(|(service, spec)| {
        let models = spec.models.keys().cloned();
        (Name::from(service), models.collect())
    });
    orders.speeds.set_models(models.collect());
    orders.update_inventory_slowness();
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

/// Returns the engines that get no orders: those that are leaving, and those that are not called
/// for a while after failures.
fn excluded_engines<P: Platform>(host: &Host<P>, now: Millis) -> IndexSet<Name> {
    let upstreams = host.upstreams.borrow();
    let excluded = upstreams
        .iter()
        .filter(|upstream| upstream.is_leaving() || upstream.health.is_backing_off(now));
    excluded.map(|upstream| upstream.entry.id.clone()).collect()
}
