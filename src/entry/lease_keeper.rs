//! Holding the lease to order loads: claiming it when it is free, renewing it, giving it up.

use crate::entry::crashes;
use crate::entry::host::Host;
use crate::entry::lines;
use crate::entry::orderer::{ErrorLine, Orders};
use crate::entry::peers::Peers;
use crate::entry::platform::{AppendOutcome, Platform, StoreCall, StoreError};
use crate::group::Member;
use crate::http1::client::with_timeout;
use crate::ordering::lease::{Holding, Learned, Lease, LeaseRecord, is_candidate};
use crate::ordering::message::{PeerCall, PeerReply};
use crate::prelude::*;
use smol::Timer;
use std::rc::Rc;

/// How often the holder looks at the state of its lease.
const LEASE_TICK_MS: Millis = Millis(100);
/// How many times the other hosts look at what they heard of the holder in the time between two reads: hundreds of them
/// need no better timing than their reads have.
const LOOKS_A_READ: u64 = 5;
/// How often a host that hears nothing of an orderer reads the lease: the first candidates soon, relays to find the next
/// orderer for their hosts, the others only in case that all of these are lost too. When a site of 195 hosts loses its
/// orderer, the store gets some 25 reads a second; it was some 100 when all hosts looked each two seconds.
const LEASE_READ_MS: Millis = Millis(500);
const RELAY_LEASE_READ_MS: Millis = Millis(1_000);
const OTHERS_LEASE_READ_MS: Millis = Millis(2_000);
/// How long the store may take with a renewal before another host is asked to append it: some sixty times its usual time,
/// and early enough for two such tries within the holder's validity.
const RENEW_THROUGH_PEER_MS: Millis = Millis(250);
/// The longest record that is appended for another host: several times what one takes.
const MAX_RECORD_BYTES: usize = 4 << 10;
/// Most hosts that are asked to append a renewal.
const HELPERS: usize = 2;
/// How long a holder that hears of no other host keeps the lease; then it is cut off from them and another host does
/// better.
const ALONE_MS: Millis = Millis(3_000);
/// How long a host that gave the lease up for that reason does not claim it.
const YIELD_MS: Millis = Millis(6_000);

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

/// Holds the lease when it is free, renews it, and gives it up at a planned stop.
pub async fn keep_lease<P: Platform>(host: Rc<Host<P>>, peers: Rc<Peers>, me: Member) {
    let mut read_at = Millis::ZERO;
    loop {
        if host.is_stopping() {
            release(&host, "this host stops").await;
            return;
        }
        let now = host.now();
        let mut tick_ms = LEASE_TICK_MS;
        if host.is_orderer() {
            hold(&host, &peers, now).await;
        } else {
            let read_ms = lease_read_ms(&host, &me);
            if now.since(read_at) >= read_ms && must_look(&host, now) {
                read_at = now;
                if let Err(error) = look_for_lease(&host, &me).await {
                    note_store_error(&error);
                }
            }
            if !host.is_orderer() {
                tick_ms = Millis(read_ms.0 / LOOKS_A_READ);
            }
        }
        with_timeout(tick_ms, host.next_stop()).await;
    }
}

fn note_store_error(error: &StoreError) {
    let error = &error.to_string();
    lines::write(LogEvent::AppendUnknown, &ErrorLine { error });
}

fn lease_read_ms<P: Platform>(host: &Host<P>, me: &Member) -> Millis {
    let members = host.members.borrow();
    let is_candidate = is_candidate(me, members.iter());
    match (is_candidate, host.is_relay()) {
        (true, _) => LEASE_READ_MS,
        (false, true) => RELAY_LEASE_READ_MS,
        (false, false) => OTHERS_LEASE_READ_MS,
    }
}

/// Tells whether this host is to look for an orderer: it hears of none, no relay looks in its place, and a read may show
/// something new.
fn must_look<P: Platform>(host: &Host<P>, now: Millis) -> bool {
    !host.has_recent_orderer_answer(now)
        && !host.parents.borrow().answered_recently(now)
        && host.orders.borrow().lease.is_worth_reading(now)
}

/// Renews the lease when that is due, and gives it up when no other host is heard of.
async fn hold<P: Platform>(host: &Host<P>, peers: &Peers, now: Millis) {
    if host.orders.borrow().lease.is_failing(now) {
        let mut orders = host.orders.borrow_mut();
        note_lease(
            LogEvent::LeaseEnded,
            &orders.lease,
            "the store does not take renewals",
        );
        orders.lease.resign(now);
        orders.forget_engines();
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
        let due = holding.filter(|_| orders.lease.is_renewal_due(now));
        due.map(|holding| (holding, learned(host, &orders)))
    };
    let Some((holding, learned)) = due else {
        return;
    };
    let record = record_bytes(&holding.record(false, learned));
    match renew(host, peers, &holding, record).await {
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

/// Appends a renewal, through another host when the store does not answer here.
///
/// A holder that is cut off from the store alone would else lose the lease, and nobody orders until the engines' lease
/// time is over: 5 s in which models and adapters that no engine holds are refused. Both calls have the same
/// condition, so one of them takes effect at most.
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
    let late = async {
        Timer::after(RENEW_THROUGH_PEER_MS.to_duration()).await;
        match renew_through_peer(host, peers, holding, &record).await {
            Some(outcome) => Ok(outcome),
            None => std::future::pending().await,
        }
    };
    futures_lite::future::or(own, late).await
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
    for peer in helpers(host, &holding.me) {
        if let Some(PeerReply::AppendedLease(Some(outcome))) =
            peers.call(peer.peer_address, &call).await
        {
            return Some(outcome);
        }
    }
    None
}

/// Returns the hosts that are asked to append a record: the first of the others, one in another data centre among them.
fn helpers<P: Platform>(host: &Host<P>, me: &Member) -> Vec<Member> {
    let members = host.members.borrow();
    let mut others: Vec<&Member> = members.iter().filter(|other| *other != me).collect();
    others.sort_by_key(|other| (other.data_centre == me.data_centre, other.capacity_rank()));
    others.into_iter().take(HELPERS).cloned().collect()
}

/// Appends a record for a host that does not reach the store; nothing when it is no record of a lease, or the store does
/// not answer here either.
pub async fn append_for_peer<P: Platform>(
    host: &Host<P>,
    end: Offset,
    record: &[u8],
) -> Option<AppendOutcome> {
    read_record(record).filter(|_| record.len() <= MAX_RECORD_BYTES)?;
    let append = host.platform.append_lease(end, record);
    let appended = host.count_call(StoreCall::AppendLease, append).await;
    appended.inspect_err(note_store_error).ok()
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
    let read = host
        .count_call(StoreCall::ReadLeases, host.platform.read_leases(from))
        .await?;
    let newest = take_newest(host, read.newest);
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
        orders.forget_engines();
        held.map(|held| (held.end, held.record(true, learned(host, &orders))))
    };
    let Some((end, record)) = held else { return };
    let record = record_bytes(&record);
    if let Err(error) = host
        .count_call(
            StoreCall::AppendLease,
            host.platform.append_lease(end, &record),
        )
        .await
    {
        note_store_error(&error);
    }
}

/// Reads the lease, and claims it when it is free.
async fn look_for_lease<P: Platform>(host: &Host<P>, me: &Member) -> Result<(), StoreError> {
    let asked_at = host.now();
    let from = host.orders.borrow().lease.end().unwrap_or(Offset(0));
    let read = host
        .count_call(StoreCall::ReadLeases, host.platform.read_leases(from))
        .await?;
    let newest = take_newest(host, read.newest);
    let claim_end = {
        let mut orders = host.orders.borrow_mut();
        orders.lease.note_read(asked_at, read.end, newest);
        orders.note_lease_known();
        note_orderer(host, &mut orders);
        // The others would refuse a holder that is not listed.
        let yields = asked_at < orders.yields_until || host.is_unknown_to_others(me);
        orders.lease.may_claim(asked_at).filter(|_| !yields)
    };
    let Some(end) = claim_end else { return Ok(()) };
    let sent_at = host.now();
    let crashes = crashes::persistent_evidence(host);
    let record = host
        .orders
        .borrow_mut()
        .lease
        .claim_record(me.clone(), crashes);
    let bytes = record_bytes(&record);
    let AppendOutcome::Appended(offset) = host
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
        .note_claimed(sent_at, offset, record, engine_lease_ms);
    orders.note_lease_known();
    orders.forget_engines();
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

fn note_orderer<P: Platform>(host: &Host<P>, orders: &mut Orders) {
    let holder = orders.holder().cloned();
    let incarnation = holder.as_ref().map(|holder| holder.incarnation);
    if orders.noted_holder != incarnation {
        let orderer = holder.as_ref().map(|holder| holder.caller_address);
        lines::write(LogEvent::OrdererChanged, &OrdererLine { orderer });
        orders.noted_holder = incarnation;
    }
    host.set_accepted_peers(holder.as_ref());
}

/// Reads the newest record, and takes what its writer left for all hosts.
fn take_newest<P: Platform>(host: &Host<P>, bytes: Option<Vec<u8>>) -> Option<LeaseRecord> {
    let record = read_record(&bytes?)?;
    crashes::restore_evidence(host, &record.learned.crashes);
    Some(record)
}

fn learned<P: Platform>(host: &Host<P>, orders: &Orders) -> Learned {
    Learned {
        store_loads_at_once: orders.store_loads_at_once(),
        crashes: crashes::persistent_evidence(host),
    }
}

fn record_bytes(record: &LeaseRecord) -> Vec<u8> {
    // A struct of texts and numbers always serialises.
    serde_json::to_vec(record).unwrap_or_default()
}

fn read_record(bytes: &[u8]) -> Option<LeaseRecord> {
    serde_json::from_slice(bytes).ok()
}
