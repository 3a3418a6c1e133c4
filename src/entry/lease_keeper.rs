//! Holding the lease to order loads: claiming it when it is free, renewing it, giving it up.

use crate::entry::host::Host;
use crate::entry::lines;
use crate::entry::members::Member;
use crate::entry::orderer::{ErrorLine, Orders};
use crate::entry::platform::{AppendOutcome, Platform, StoreError};
use crate::http1::client::within;
use crate::ordering::lease::{Lease, LeaseRecord, is_candidate};
use crate::prelude::*;
use std::rc::Rc;

/// How often the state of the lease is looked at.
const LEASE_TICK_MS: Millis = Millis(100);
/// How often a host that hears nothing of an orderer reads the lease: the first candidates soon, the others only in case
/// that all of these are lost too. When a site of 83 hosts loses its orderer, the store gets some 45 reads a second
/// instead of 166.
const LEASE_READ_MS: Millis = Millis(500);
const OTHERS_LEASE_READ_MS: Millis = Millis(2_000);
/// How long a silent orderer is borne before the lease is read: a lost call or two.
const SILENT_ORDERER_MS: Millis = Millis(1_200);
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
pub async fn keep_lease<P: Platform>(host: Rc<Host<P>>, me: Member) {
    let mut read_at = Millis::ZERO;
    loop {
        if host.is_stopping() {
            release(&host, "this host stops").await;
            return;
        }
        let now = host.now();
        if host.is_orderer() {
            hold(&host, now).await;
        } else if now.since(read_at) >= lease_read_ms(&host, &me) && hears_no_orderer(&host, now) {
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

fn lease_read_ms<P: Platform>(host: &Host<P>, me: &Member) -> Millis {
    let members = host.members.borrow();
    let incarnations = members.iter().map(|member| member.incarnation);
    match is_candidate(me.incarnation, incarnations) {
        true => LEASE_READ_MS,
        false => OTHERS_LEASE_READ_MS,
    }
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
        due.map(|holding| (holding, orders.store_loads_at_once()))
    };
    let Some((holding, store_loads_at_once)) = due else {
        return;
    };
    let record = record_bytes(&holding.record(false, store_loads_at_once));
    match host
        .count_call(host.platform.append_lease(holding.end, &record))
        .await
    {
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
    let read = host.count_call(host.platform.read_leases(from)).await?;
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
        orders.forget_engines();
        held.map(|held| (held.end, held.record(true, orders.store_loads_at_once())))
    };
    let Some((end, record)) = held else { return };
    let record = record_bytes(&record);
    if let Err(error) = host
        .count_call(host.platform.append_lease(end, &record))
        .await
    {
        note_store_error(&error);
    }
}

/// Reads the lease, and claims it when it is free.
async fn look_for_lease<P: Platform>(host: &Host<P>, me: &Member) -> Result<(), StoreError> {
    let asked_at = host.now();
    let from = host.orders.borrow().lease.end().unwrap_or(Offset(0));
    let read = host.count_call(host.platform.read_leases(from)).await?;
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
    let AppendOutcome::Appended(offset) = host
        .count_call(host.platform.append_lease(end, &bytes))
        .await?
    else {
        return Ok(());
    };
    let mut orders = host.orders.borrow_mut();
    let engine_lease_ms = host.settings().bounds.order_lease_ms;
    orders
        .lease
        .note_claimed(sent_at, offset, record, engine_lease_ms);
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
