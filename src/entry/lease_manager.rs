//! The lease to order loads: claiming it when it is free, renewing it while this host holds it, and
//! releasing it.

use crate::entry::crashes::exchange;
use crate::entry::handoff::Handoffs;
use crate::entry::host::Host;
use crate::entry::lines;
use crate::entry::metrics::record_orderer;
use crate::entry::orderer::{ErrorLine, OrderingState};
use crate::entry::peers::Peers;
use crate::entry::platform::{AppendOutcome, Platform, StoreCall, StoreError};
use crate::group::Member;
use crate::http1::client::with_timeout;
use crate::ordering::lease::{Holding, Learned, Lease, LeaseRecord, is_candidate};
use crate::ordering::message::{PeerCall, PeerReply};
use crate::prelude::*;
use smol::Timer;
use std::rc::Rc;

/// How often the holder checks whether its lease is to be renewed or given up.
const LEASE_TICK_MS: Millis = Millis(100);
/// How many times a host that does not hold the lease checks, in the interval between two reads of
/// it, whether the holder still answers it. Hundreds of such hosts need no finer timing than that
/// of their reads.
const CHECKS_PER_READ: u64 = 5;
/// How often a host that no orderer answers reads the lease: the first candidates soon, relays to
/// find the next orderer for their hosts, the others only in case all of these are lost too. When a
/// site of 195 hosts loses its orderer, the store gets some 25 reads a second, against some 100 if
/// all hosts read every two seconds.
const CANDIDATE_LEASE_READ_MS: Millis = Millis(500);
const RELAY_LEASE_READ_MS: Millis = Millis(1_000);
const OTHER_LEASE_READ_MS: Millis = Millis(2_000);
/// How long the holder waits for the store to answer a renewal before it asks another host to
/// append it: some sixty times the usual latency, and early enough for two such attempts while the
/// holder may still order.
const RENEW_THROUGH_PEER_AFTER_MS: Millis = Millis(250);
/// The longest record that is appended on behalf of another host: several times the usual length.
const MAX_RECORD_BYTES: usize = 4 << 10;
/// The most hosts that are asked to append one renewal.
const MAX_RENEWAL_PEERS: usize = 2;
/// How long a holder to which no other host reports keeps the lease. After that it counts as cut
/// off from them, and releases the lease so that another host can claim it.
const ISOLATED_MS: Millis = Millis(3_000);
/// How long a holder that reaches no upstream keeps the lease while other hosts reach some.
const CUT_OFF_MS: Millis = Millis(800);
/// How long a host does not claim the lease after it gave it up because it could not renew it,
/// received no report of another host, or reached no engine.
const NO_CLAIM_MS: Millis = Millis(6_000);

#[derive(Serialize)]
struct LeaseLine<'a> {
    fence: Option<u64>,
    orders_from_unix_ms: Option<Millis>,
    why: &'a str,
}

#[derive(Serialize)]
struct OrdererLine {
    orderer: Option<std::net::SocketAddr>,
}

/// Runs the lease task: claims the lease when it is free, renews it, and returns after releasing it
/// at a planned stop.
pub async fn manage_lease<P: Platform>(
    host: Rc<Host<P>>,
    peers: Rc<Peers>,
    me: Member,
    handoffs: Rc<Handoffs>,
) {
    let mut read_at = Millis::ZERO;
    loop {
        if host.is_stopping() {
            release(&host, "this host stops").await;
            return;
        }
        let now = host.now();
        record_orderer(&host, now);
        let mut tick_ms = LEASE_TICK_MS;
        if host.is_orderer() {
            renew_or_give_up(&host, &peers, &handoffs, now).await;
        } else {
            let read_ms = lease_read_ms(&host, &me);
            if now.since(read_at) >= read_ms && should_read(&host, now) {
                read_at = now;
                if let Err(error) = read_and_claim(&host, &me).await {
                    log_store_error(&error);
                }
            }
            if !host.is_orderer() {
                tick_ms = Millis(read_ms.0 / CHECKS_PER_READ);
            }
        }
        with_timeout(tick_ms, host.next_stop()).await;
    }
}

fn log_store_error(error: &StoreError) {
    let error = &error.to_string();
    lines::write(LogEvent::AppendUnknown, &ErrorLine { error });
}

/// Returns how often this host reads the lease while no orderer answers it.
fn lease_read_ms<P: Platform>(host: &Host<P>, me: &Member) -> Millis {
    let members = host.members.borrow();
    let is_candidate = is_candidate(me, members.iter());
    match (is_candidate, host.is_relay()) {
        (true, _) => CANDIDATE_LEASE_READ_MS,
        (false, true) => RELAY_LEASE_READ_MS,
        (false, false) => OTHER_LEASE_READ_MS,
    }
}

/// Tells whether this host is to read the lease: no orderer answers it, no relay looks for one in
/// its place, and a read may show something new.
fn should_read<P: Platform>(host: &Host<P>, now: Millis) -> bool {
    !host.has_recent_orderer_answer(now)
        && !host.parents.borrow().answered_recently(now)
        && host.orders.borrow().lease.should_read(now)
}

/// Renews the lease when that is due. Gives it up when it can no longer be renewed, or when no
/// other host reports to it.
async fn renew_or_give_up<P: Platform>(
    host: &Host<P>,
    peers: &Peers,
    handoffs: &Handoffs,
    now: Millis,
) {
    if host.orders.borrow().lease.is_failing(now) {
        let mut orders = host.orders.borrow_mut();
        log_lease(
            LogEvent::LeaseEnded,
            &orders.lease,
            "the store does not take renewals",
        );
        orders.lease.resign(now);
        orders.forget_engines();
        orders.no_claim_until = now + NO_CLAIM_MS;
        return;
    }
    if is_isolated(host, now) {
        host.orders.borrow_mut().no_claim_until = now + NO_CLAIM_MS;
        release(host, "no other host is heard of").await;
        return;
    }
    if is_cut_off(host, handoffs, now) {
        host.orders.borrow_mut().no_claim_until = now + NO_CLAIM_MS;
        release(host, "no engine is in reach, but other hosts reach some").await;
        return;
    }
    let due = {
        let orders = host.orders.borrow();
        let holding = orders.lease.holding().cloned();
        let due = holding.filter(|_| orders.lease.is_renewal_due(now));
        due.map(|holding| (holding, learned(host, &orders)))
    };
    let Some((holding, learned)) = due else {
        return;
    };
    let record = encode_record(&holding.record(false, learned));
    let renewed = renew(host, peers, &holding, record).await;
    if renewed.is_ok() {
        // Through another host, the store's answer is contact with that host as well.
        host.members.borrow_mut().note_contact(now);
    }
    match renewed {
        Ok(AppendOutcome::Appended(position)) => {
            let answered_at = host.now();
            let lease = &mut host.orders.borrow_mut().lease;
            lease.note_renewed(now, answered_at, position);
        }
        Ok(AppendOutcome::EndMoved(_)) => {
            if let Err(error) = read_after_conflict(host).await {
                log_store_error(&error);
            }
        }
        Err(error) => log_store_error(&error),
    }
}

/// Appends a renewal. Another host appends it when the store does not answer this one.
///
/// A holder that is the only host cut off from the store would otherwise lose the lease, and nobody
/// could order until the engines' lease time is over: 5 s in which models and adapters that no
/// engine holds are refused. Both appends have the same condition, so at most one of them takes
/// effect.
async fn renew<P: Platform>(
    host: &Host<P>,
    peers: &Peers,
    holding: &Holding,
    record: Vec<u8>,
) -> Result<AppendOutcome, StoreError> {
    let append = host.platform.append_lease(holding.end, &record);
    let own = async {
        match host.count_call(StoreCall::AppendLease, append).await {
            Ok(outcome) => Ok(outcome),
            Err(error) => {
                let through_peer = renew_through_peer(host, peers, holding, &record).await;
                through_peer.ok_or(error)
            }
        }
    };
    let delayed = async {
        Timer::after(RENEW_THROUGH_PEER_AFTER_MS.to_duration()).await;
        match renew_through_peer(host, peers, holding, &record).await {
            Some(outcome) => Ok(outcome),
            None => std::future::pending().await,
        }
    };
    futures_lite::future::or(own, delayed).await
}

async fn renew_through_peer<P: Platform>(
    host: &Host<P>,
    peers: &Peers,
    holding: &Holding,
    record: &[u8],
) -> Option<AppendOutcome> {
    let call = PeerCall::AppendLease {
        end: holding.end,
        record: record.to_vec(),
    };
    for peer in renewal_peers(host, &holding.me) {
        if let Some(PeerReply::AppendedLease(Some(outcome))) =
            peers.call(peer.peer_address, &call).await
        {
            return Some(outcome);
        }
    }
    None
}

/// Returns the hosts that are asked to append a record: those of other data centres first, then by
/// rank.
fn renewal_peers<P: Platform>(host: &Host<P>, me: &Member) -> Vec<Member> {
    let members = host.members.borrow();
    let mut others: Vec<&Member> = members.iter().filter(|other| *other != me).collect();
    others.sort_by_key(|other| (other.data_centre == me.data_centre, other.capacity_rank()));
    others
        .into_iter()
        .take(MAX_RENEWAL_PEERS)
        .cloned()
        .collect()
}

/// Appends a record to the stream of leases on behalf of a host that does not reach the store.
/// Returns nothing when it is no lease record or too long, or when the store does not answer here
/// either.
pub async fn append_for_peer<P: Platform>(
    host: &Host<P>,
    end: Position,
    record: &[u8],
) -> Option<AppendOutcome> {
    decode_record(record).filter(|_| record.len() <= MAX_RECORD_BYTES)?;
    let append = host.platform.append_lease(end, record);
    let appended = host.count_call(StoreCall::AppendLease, append).await;
    appended.inspect_err(log_store_error).ok()
}

/// Tells whether this holder has received no report of another host for [`ISOLATED_MS`].
fn is_isolated<P: Platform>(host: &Host<P>, now: Millis) -> bool {
    let mut orders = host.orders.borrow_mut();
    let has_others = host.members.borrow().count() > 1;
    let has_reporters = orders.demand.reporting_hosts() > 1;
    if !has_others || has_reporters {
        orders.isolated_since = None;
        return false;
    }
    let since = *orders.isolated_since.get_or_insert(now);
    now.since(since) >= ISOLATED_MS
}

/// Tells whether this holder has reached no upstream for [`CUT_OFF_MS`] while other hosts serve
/// requests that it hands to them.
fn is_cut_off<P: Platform>(host: &Host<P>, handoffs: &Handoffs, now: Millis) -> bool {
    let mut orders = host.orders.borrow_mut();
    if !host.upstreams.borrow().are_all_lost(now) || !handoffs.are_served(now) {
        orders.cut_off_since = None;
        return false;
    }
    let since = *orders.cut_off_since.get_or_insert(now);
    now.since(since) >= CUT_OFF_MS
}

/// Reads which host appended after this holder's last record, and drops the lease when it was
/// another host.
async fn read_after_conflict<P: Platform>(host: &Host<P>) -> Result<(), StoreError> {
    let asked_at = host.now();
    let from = host.orders.borrow().lease.end().unwrap_or_default();
    let read = host
        .count_call(StoreCall::ReadLeases, host.platform.read_leases(from))
        .await?;
    let newest = decode_newest(host, read.newest);
    let mut orders = host.orders.borrow_mut();
    orders
        .lease
        .note_moved(asked_at, host.now(), read.end, newest);
    if orders.lease.holding().is_none() {
        log_lease(
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
            log_lease(LogEvent::LeaseEnded, &orders.lease, why);
        }
        orders.lease.drop_holding();
        orders.forget_engines();
        held.map(|held| (held.end, held.record(true, learned(host, &orders))))
    };
    let Some((end, record)) = held else { return };
    let record = encode_record(&record);
    if let Err(error) = host
        .count_call(
            StoreCall::AppendLease,
            host.platform.append_lease(end, &record),
        )
        .await
    {
        log_store_error(&error);
    }
}

/// Reads the lease, and claims it when it is free.
async fn read_and_claim<P: Platform>(host: &Host<P>, me: &Member) -> Result<(), StoreError> {
    let asked_at = host.now();
    let from = host.orders.borrow().lease.end().unwrap_or_default();
    let read = host
        .count_call(StoreCall::ReadLeases, host.platform.read_leases(from))
        .await?;
    let newest = decode_newest(host, read.newest);
    let claim_end = {
        let mut orders = host.orders.borrow_mut();
        orders
            .lease
            .note_read(asked_at, host.now(), read.end, newest);
        orders.note_lease_read();
        update_orderer(host, &mut orders);
        // The other hosts refuse connections of a holder that the group does not list.
        let must_not_claim = asked_at < orders.no_claim_until || host.is_unknown_to_others(me);
        orders.lease.may_claim(asked_at).filter(|_| !must_not_claim)
    };
    let Some(end) = claim_end else { return Ok(()) };
    let sent_at = host.now();
    let evidence = exchange::persistent_evidence(host);
    let record = host
        .orders
        .borrow_mut()
        .lease
        .claim_record(me.clone(), evidence);
    let bytes = encode_record(&record);
    let AppendOutcome::Appended(position) = host
        .count_call(
            StoreCall::AppendLease,
            host.platform.append_lease(end, &bytes),
        )
        .await?
    else {
        return Ok(());
    };
    let mut orders = host.orders.borrow_mut();
    let engine_lease_ms = host.settings().bounds.order_lease_ms;
    orders
        .lease
        .note_claimed(sent_at, host.now(), position, record, engine_lease_ms);
    orders.note_lease_read();
    orders.forget_engines();
    orders.expect_former_orders(host.now(), engine_lease_ms);
    orders.store_load_limiter = None;
    orders.isolated_since = None;
    orders.cut_off_since = None;
    log_lease(LogEvent::LeaseTaken, &orders.lease, "it was free");
    update_orderer(host, &mut orders);
    Ok(())
}

fn log_lease(event: LogEvent, lease: &Lease, why: &str) {
    let holding = lease.holding();
    let line = LeaseLine {
        fence: holding.map(|holding| holding.fence),
        orders_from_unix_ms: holding.map(|holding| holding.orders_from),
        why,
    };
    lines::write(event, &line);
}

fn update_orderer<P: Platform>(host: &Host<P>, orders: &mut OrderingState) {
    let holder = orders.holder().cloned();
    let incarnation = holder.as_ref().map(|holder| holder.incarnation);
    if orders.logged_orderer != incarnation {
        let orderer = holder.as_ref().map(|holder| holder.caller_address);
        lines::write(LogEvent::OrdererChanged, &OrdererLine { orderer });
        orders.logged_orderer = incarnation;
    }
    host.set_accepted_peers(holder.as_ref());
}

/// Decodes the newest record, and adds the evidence of crashes that its writer left for all
/// hosts.
fn decode_newest<P: Platform>(host: &Host<P>, bytes: Option<Vec<u8>>) -> Option<LeaseRecord> {
    let record = decode_record(&bytes?)?;
    exchange::restore_evidence(host, &record.learned.evidence);
    Some(record)
}

fn learned<P: Platform>(host: &Host<P>, orders: &OrderingState) -> Learned {
    Learned {
        store_loads_at_once: orders.store_loads_at_once(),
        evidence: exchange::persistent_evidence(host),
    }
}

fn encode_record(record: &LeaseRecord) -> Vec<u8> {
    // A struct of strings and numbers always serialises.
    serde_json::to_vec(record).unwrap_or_default()
}

fn decode_record(bytes: &[u8]) -> Option<LeaseRecord> {
    serde_json::from_slice(bytes).ok()
}
