//! The exchange of state between hosts and the orderer, in large sites through relays. Hosts report
//! demand and work; the orderer replies with the state of the engines.

use crate::entry::crashes::exchange;
use crate::entry::desired_exchange;
use crate::entry::host::Host;
use crate::entry::limit_queue;
use crate::entry::limits;
use crate::entry::peers::Peers;
use crate::entry::platform::{Platform, Table};
use crate::entry::replication::UpstreamRow;
use crate::entry::stated_loads;
use crate::entry::table_rows::active_version;
use crate::entry::table_sources::{orderer_cannot_read, serves_tables};
use crate::entry::upstream_limits;
use crate::group::Member;
use crate::group::members::MembersUpdate;
use crate::group::parents::{ORDERER_STALE_MS, Parent};
use crate::ordering::message::{
    OrdererUpdate, PeerCall, PeerReply, SyncReply, SyncRequest, Totals,
};
use crate::prelude::*;
use crate::routing::pick::UpstreamLoad;
use smol::Timer;
use std::net::SocketAddr;
use std::rc::Rc;

/// How often a host exchanges state with the orderer or its relay when nothing is urgent. This and
/// the intervals below hold while few hosts share the same peer, and grow with their number; see
/// [`RelayTree::interval_factor`](crate::group::RelayTree::interval_factor).
pub const SYNC_INTERVAL_MS: Millis = Millis(250);
/// The interval while a request waits for a model.
const WAITING_SYNC_INTERVAL_MS: Millis = Millis(30);
/// The minimum pause between two exchanges.
const MIN_SYNC_INTERVAL_MS: Millis = Millis(4);

/// Answers another host's report: as the orderer, or as a relay with the orderer's last state.
pub fn answer<P: Platform>(host: &Host<P>, mut request: SyncRequest) -> SyncReply {
    desired_exchange::note_request(host, &request);
    note_rows(host, std::mem::take(&mut request.upstream_rows));
    if let Some(members) = request.members.take() {
        host.apply_members_update(members);
    }
    match (
        host.is_orderer(),
        host.is_relay() && !request.is_for_orderer,
    ) {
        (true, _) => answer_as_orderer(host, request),
        (false, true) => answer_as_relay(host, request),
        (false, false) => {
            exchange::merge_report(host, &request.crashes);
            let orders = host.orders.borrow();
            SyncReply::NotOrderer {
                holder: orders.holder().cloned(),
                resignation: orders.lease.resignation(host.now()),
                desired_version: active_version(host),
                crashes: exchange::build_update(host, request.crashes.known),
            }
        }
    }
}

/// Keeps rows of the list of upstreams that a reporting host read, if this host passes the list on and
/// the store does not answer it.
fn note_rows<P: Platform>(host: &Host<P>, rows: Vec<UpstreamRow>) {
    if serves_tables(host) && !host.replication.is_answered(Table::Upstreams) {
        host.replication.note_reported(rows);
    }
}

fn answer_as_orderer<P: Platform>(host: &Host<P>, mut request: SyncRequest) -> SyncReply {
    let now = host.now();
    if request.incarnation != host.incarnation {
        add_counts(host, &request);
    }
    let totals = totals(host, &request);
    let mut orders = host.orders.borrow_mut();
    let Some(holding) = orders.lease.holding().cloned() else {
        return SyncReply::NoNews {
            desired_version: active_version(host),
            totals,
        };
    };
    let has_waiting = request.demand.iter().any(|(_, count)| count.waiting > 0);
    let mut report = request.take_report();
    let event_gaps = std::mem::take(&mut report.event_gaps);
    orders.demand.record(now, request.incarnation, report);
    orders.note_event_gaps(now, &host.upstreams.borrow(), event_gaps);
    if has_waiting {
        host.request_sync();
    }
    orders.publish(now, &host.upstreams.borrow(), &host.orderer_state.borrow());
    let ready_at = orders.ready_at.iter();
    let mut tables = host.replication.update_for(now, request.upstreams_from);
    // What another host told this one confirms no copy, so that hosts read the store themselves.
    if !host.replication.is_answered(Table::Desired) {
        tables.desired = None;
    }
    SyncReply::News(Box::new(OrdererUpdate {
        age_ms: Millis::ZERO,
        lease_end: Some(holding.end),
        orderer: holding.me,
        engines: orders.published.since(request.view_version),
        work: orders.demand.work_of_others(request.incarnation),
        ready_in_ms: ready_at
            .map(|(model_ref, at)| (model_ref.clone(), at.since(now)))
            .collect(),
        separate: orders.separate.clone(),
        tables,
        members_generation: host.members.borrow().generation(),
        members: host
            .members
            .borrow()
            .update_since(request.members_generation),
        totals,
    }))
}

fn answer_as_relay<P: Platform>(host: &Host<P>, mut request: SyncRequest) -> SyncReply {
    let now = host.now();
    add_counts(host, &request);
    let totals = totals(host, &request);
    let mut aggregate = host.relay_aggregate.borrow_mut();
    aggregate.record(now, request.incarnation, request.take_report());
    if request.is_urgent {
        host.request_sync();
    }
    let state = host.orderer_state.borrow();
    let orderer = host.orders.borrow().holder().cloned();
    let (Some(answered_at), Some(orderer)) = (state.answered_at, orderer) else {
        return SyncReply::NoNews {
            desired_version: active_version(host),
            totals,
        };
    };
    let mut work = own_work(host);
    aggregate.add_work(Some(request.incarnation), &mut work);
    state.add_work(&mut work);
    SyncReply::News(Box::new(OrdererUpdate {
        age_ms: now.since(answered_at),
        lease_end: None,
        orderer,
        engines: state.engines_since(request.view_version),
        work: work.into_iter().collect(),
        ready_in_ms: state.ready_in_ms(now),
        separate: state.separate(),
        tables: host.replication.update_for(now, request.upstreams_from),
        members_generation: host.members.borrow().generation(),
        members: host
            .members
            .borrow()
            .update_since(request.members_generation),
        totals,
    }))
}

/// Adds the counts that a host reports to this host's totals.
fn add_counts<P: Platform>(host: &Host<P>, request: &SyncRequest) {
    limits::merge_usage(host, &request.usage);
    limit_queue::merge_sums(host, request.incarnation, &request.lines);
    upstream_limits::merge_report(host, &request.upstream_limits);
    stated_loads::merge_report(host, &request.loads);
    exchange::merge_report(host, &request.crashes);
}

/// Returns the totals for a host that reported its counts to this one.
fn totals<P: Platform>(host: &Host<P>, request: &SyncRequest) -> Totals {
    Totals {
        limits: limits::build_update(host),
        lines: limit_queue::build_update(host),
        crashes: exchange::build_update(host, request.crashes.known),
        upstream_limits: upstream_limits::build_update(host),
        loads: stated_loads::build_update(host, &request.loads),
    }
}

/// Exchanges state with the orderer, directly or through a relay, until the process ends: at once
/// when a request begins to wait for a model or a long prompt begins or ends, otherwise at
/// intervals.
pub async fn sync<P: Platform>(host: Rc<Host<P>>, peers: Rc<Peers>, me: Member) {
    let mut has_waiting = false;
    let mut is_answered = true;
    loop {
        Timer::after(scaled_ms(&host, MIN_SYNC_INTERVAL_MS).to_duration()).await;
        let is_urgent = match is_answered {
            true => {
                host.wait_for_sync_request(interval_ms(&host, has_waiting))
                    .await
            }
            false => true,
        };
        let asked_at = host.now();
        let request = build_request(&host, &me, is_urgent);
        has_waiting = request.demand.iter().any(|(_, count)| count.waiting > 0);
        is_answered = exchange(&host, &peers, &me, asked_at, request).await;
    }
}

/// Sends a report to the orderer or a relay, and applies the reply. Returns false when another
/// relay is to be asked at once.
async fn exchange<P: Platform>(
    host: &Host<P>,
    peers: &Peers,
    me: &Member,
    asked_at: Millis,
    request: SyncRequest,
) -> bool {
    if host.is_orderer() {
        apply_reply(host, asked_at, me, answer(host, request));
        return true;
    }
    if host.is_unknown_to_others(me) {
        return true;
    }
    let parent = {
        let parents = host.parents.borrow();
        parents.choose(asked_at, &host.tree.borrow(), me)
    };
    let Parent::Relay(relay) = parent else {
        let mut request = SyncRequest {
            is_for_orderer: true,
            ..request
        };
        if !host.has_recent_orderer_answer(asked_at) {
            report_to_collector(host, peers, me, asked_at, &mut request).await;
        }
        let orderer = host.orders.borrow().holder().cloned();
        if let Some(orderer) = orderer
            && let Some(reply) = call_peer(peers, orderer.peer_address, request).await
        {
            apply_reply(host, asked_at, &orderer, reply);
        }
        return true;
    };
    let reply = call_peer(peers, relay.peer_address, request).await;
    note_relay_answer(host, &relay, reply.as_ref())
        && reply.is_some_and(|reply| {
            apply_reply(host, asked_at, &relay, reply);
            true
        })
}

/// Reports this host's counts to the first reachable collector while there is no orderer, so that
/// they are added up for the whole site. One relay's hosts alone have a share of a limit that
/// seldom covers a whole request, and see few crashes.
async fn report_to_collector<P: Platform>(
    host: &Host<P>,
    peers: &Peers,
    me: &Member,
    asked_at: Millis,
    request: &mut SyncRequest,
) {
    let collector = {
        let tree = host.tree.borrow();
        let parents = host.parents.borrow();
        let mut collectors = tree.collectors().iter();
        collectors
            .find(|collector| !parents.failed_recently(asked_at, collector))
            .cloned()
    };
    let Some(collector) = collector.filter(|collector| collector.incarnation != me.incarnation)
    else {
        return;
    };
    let counts_only = SyncRequest {
        is_for_orderer: false,
        demand: Vec::new(),
        work: Vec::new(),
        event_gaps: Vec::new(),
        upstream_rows: Vec::new(),
        members: None,
        ..request.clone()
    };
    let reply = call_peer(peers, collector.peer_address, counts_only).await;
    if let Some(reply) = &reply {
        desired_exchange::note_reply(host, &collector, reply);
    }
    match reply {
        Some(SyncReply::NoNews { totals, .. }) => apply_totals(host, asked_at, totals),
        Some(SyncReply::News(update)) => apply_totals(host, asked_at, update.totals),
        // In a small site the collector is no relay, and returns only the requests that crash
        // upstreams.
        Some(SyncReply::NotOrderer { crashes, .. }) => {
            exchange::apply_update(host, &crashes);
            request.crashes.evidence.clear();
            return;
        }
        None => {
            host.parents.borrow_mut().note_failed(asked_at, &collector);
            return;
        }
    }
    request.usage.clear();
    request.upstream_limits.usage.clear();
    request.crashes.evidence.clear();
}

async fn call_peer(peers: &Peers, address: SocketAddr, request: SyncRequest) -> Option<SyncReply> {
    match peers.call(address, &PeerCall::Sync(request)).await? {
        PeerReply::Sync(reply) => Some(reply),
        PeerReply::AppendedLease(_)
        | PeerReply::List(_)
        | PeerReply::Desired(_)
        | PeerReply::Version(_)
        | PeerReply::KeptStreams
        | PeerReply::Stream { .. }
        | PeerReply::Versions(_)
        | PeerReply::KeptPlaces(_)
        | PeerReply::Place { .. } => None,
    }
}

/// Records whether a relay answered. Returns false when it did not, or is not a relay.
fn note_relay_answer<P: Platform>(
    host: &Host<P>,
    relay: &Member,
    reply: Option<&SyncReply>,
) -> bool {
    let now = host.now();
    let mut parents = host.parents.borrow_mut();
    match reply {
        Some(SyncReply::News(update)) => parents.note_answered(now, relay, Some(update.age_ms)),
        Some(SyncReply::NoNews { .. }) => parents.note_answered(now, relay, None),
        Some(SyncReply::NotOrderer { .. }) | None => {
            parents.note_failed(now, relay);
            return false;
        }
    }
    true
}

/// Returns how often this host exchanges state when nothing is urgent; `has_waiting` is whether a
/// request waits for a model.
pub fn interval_ms<P: Platform>(host: &Host<P>, has_waiting: bool) -> Millis {
    match has_waiting {
        true => scaled_ms(host, WAITING_SYNC_INTERVAL_MS),
        false => scaled_ms(host, SYNC_INTERVAL_MS),
    }
}

/// Returns the interval multiplied by a factor that grows with the number of hosts which share the
/// same peer.
fn scaled_ms<P: Platform>(host: &Host<P>, interval_ms: Millis) -> Millis {
    let tree = host.tree.borrow();
    let is_direct = host.is_orderer() || tree.is_relay(host.incarnation);
    Millis(interval_ms.0 * tree.interval_factor(is_direct))
}

/// Returns the work that this host itself has in flight at each upstream.
fn own_work<P: Platform>(host: &Host<P>) -> IndexMap<Name, UpstreamLoad> {
    let upstreams = host.upstreams.borrow();
    let work = upstreams.busy().map(|upstream| {
        let work = UpstreamLoad {
            prompt_tokens: upstream.prompt_tokens,
            long_prompts: upstream.long_prompts,
            running: upstream.in_flight,
            held_tokens: upstream.held_tokens,
        };
        (upstream.entry.id.clone(), work)
    });
    work.collect()
}

/// Returns the report of this host, at a relay also for the hosts behind it. Demand is reported
/// once.
fn build_request<P: Platform>(host: &Host<P>, me: &Member, is_urgent: bool) -> SyncRequest {
    let mut work = own_work(host);
    let mut aggregate = host.relay_aggregate.borrow_mut();
    let demand = aggregate.take_demand(host.now(), host.demand.borrow_mut().take());
    aggregate.add_work(None, &mut work);
    let event_gaps = aggregate.take_event_gaps(host.event_gaps.borrow_mut().take());
    let through = aggregate.relayed_hosts() as u32;
    drop(aggregate);
    SyncRequest {
        incarnation: me.incarnation,
        is_for_orderer: false,
        is_urgent,
        view_version: host.orderer_state.borrow().version(),
        members_generation: host.members.borrow().update_base_generation(),
        members: members_for_parent(host),
        work: work.into_iter().collect(),
        demand,
        event_gaps,
        desired_version: active_version(host),
        upstreams_from: host.replication.next_position(),
        upstream_rows: host
            .replication
            .rows_for_parent(host.now(), host.settings().bounds.drain_ms),
        through,
        usage: limits::report(host),
        lines: limit_queue::report(host),
        crashes: exchange::report(host),
        upstream_limits: upstream_limits::report(host),
        loads: stated_loads::report(host),
    }
}

/// Returns the changes of the member list that the orderer or the relay lacks while the orderer cannot
/// read the list. Otherwise it reads them soon, and hosts that start need not all send them. The orderer
/// itself has none: an update of its own would confirm its list.
fn members_for_parent<P: Platform>(host: &Host<P>) -> Option<MembersUpdate> {
    (!host.is_orderer() && orderer_cannot_read(host, host.now()))
        .then(|| host.members.borrow().update_for_parent())
        .flatten()
}

fn apply_reply<P: Platform>(host: &Host<P>, asked_at: Millis, replier: &Member, reply: SyncReply) {
    desired_exchange::note_reply(host, replier, &reply);
    match reply {
        SyncReply::NoNews { totals, .. } => apply_totals(host, asked_at, totals),
        SyncReply::NotOrderer {
            resignation,
            crashes,
            ..
        } => {
            exchange::apply_update(host, &crashes);
            let mut orders = host.orders.borrow_mut();
            match resignation {
                Some(resignation) => orders.lease.note_resigned(host.now(), resignation),
                None => orders.lease.note_gone(),
            }
            host.orderer_state.borrow_mut().answered_at = None;
        }
        SyncReply::News(update) => apply_orderer_update(host, asked_at, *update),
    }
}

fn apply_totals<P: Platform>(host: &Host<P>, asked_at: Millis, totals: Totals) {
    limits::apply_reply(host, asked_at, totals.limits);
    limit_queue::apply_update(host, asked_at, &totals.lines);
    exchange::apply_update(host, &totals.crashes);
    upstream_limits::apply_update(host, asked_at, totals.upstream_limits);
    stated_loads::apply_update(host, &totals.loads);
}

fn apply_orderer_update<P: Platform>(host: &Host<P>, asked_at: Millis, update: OrdererUpdate) {
    let now = host.now();
    let OrdererUpdate {
        age_ms,
        lease_end,
        orderer,
        engines,
        work,
        ready_in_ms,
        separate,
        tables,
        members_generation,
        members,
        totals,
    } = update;
    apply_totals(host, asked_at, totals);
    if !host.is_orderer() {
        let mut orders = host.orders.borrow_mut();
        orders.note_named_orderer(orderer);
        if let Some(end) = lease_end {
            orders.lease.note_reported_end(now, end);
        }
        drop(orders);
        if age_ms < ORDERER_STALE_MS {
            host.members.borrow_mut().note_contact(now);
        }
        if host.replication.apply_update(asked_at, tables) {
            host.upstreams.borrow_mut().note_list_reached(now);
        }
        if let Some(members) = members {
            host.apply_members_update(members);
        }
        host.members.borrow_mut().note_parent(members_generation);
    }
    let mut state = host.orderer_state.borrow_mut();
    state.answered_at = state.answered_at.max(Some(now - age_ms));
    state.apply_engines(engines);
    state.replace_work(work);
    state.replace_ready(now, ready_in_ms);
    state.replace_separate(separate);
    state.answers += 1;
    drop(state);
    host.note_change();
}
