//! Requests that crash upstreams: finding out on a request's way, and in the messages between hosts.

use crate::entry::ask::Ask;
use crate::entry::host::Host;
use crate::entry::lines;
use crate::entry::platform::Platform;
use crate::http1::client::within;
use crate::prelude::*;
use crate::retry::message::Evidence;
use crate::retry::{CrashReport, CrashUpdate, Quarantine, RequestDigest};
use crate::upstreams::Lifetime;
use std::net::SocketAddr;

/// How long an upstream may take to accept a connection, where a request waits to learn whether it crashed.
const CHECK_MS: Millis = Millis(100);

#[derive(Serialize)]
struct CrashLine<'a> {
    upstream: &'a str,
    requests: &'a [RequestDigest],
}

#[derive(Serialize)]
struct QuarantineLine<'a> {
    request: Option<&'a str>,
    digest: RequestDigest,
    left_ms: Millis,
}

/// Returns the refusal of a request that crashes the upstreams which run it. It has not run.
pub fn quarantine<P: Platform>(host: &Host<P>, ask: &Ask) -> Option<Refusal> {
    let left_ms = with_quarantine(host, |quarantine, now| {
        quarantine.quarantined_ms(now, &ask.digest)
    })?;
    let line = QuarantineLine {
        request: ask.facts.id.as_deref(),
        digest: ask.digest,
        left_ms,
    };
    lines::write(LogEvent::RequestQuarantined, &line);
    let why = "upstreams crashed each time they ran this request";
    Some(Refusal::new(ErrorKind::Quarantined, why).after(left_ms))
}

/// Takes note that the connection to an upstream ended while it ran a request. Finds out whether the upstream crashed,
/// unless that is known or it was leaving.
pub async fn note_broken_run<P: Platform>(host: &Host<P>, ask: &Ask, upstream: &Lifetime) {
    let Some(address) = address_if_staying(host, upstream) else {
        return;
    };
    let is_known = with_quarantine(host, |quarantine, now| {
        quarantine.note_connection_lost(now, upstream, ask.digest)
    });
    if is_known {
        host.note_want();
        return;
    }
    match within(CHECK_MS, host.pool.open(address)).await {
        Some(Ok(connection)) => host.pool.keep(host.now(), &upstream.id, connection, None),
        Some(Err(error)) => note_unreachable(host, upstream, &error),
        None => {}
    }
}

/// Returns the address of an upstream, unless it is leaving or no longer listed.
fn address_if_staying<P: Platform>(host: &Host<P>, upstream: &Lifetime) -> Option<SocketAddr> {
    let upstreams = host.upstreams.borrow();
    let known = upstreams.get_lifetime(upstream)?;
    (!known.entry.leaving).then(|| known.address())
}

/// Takes note that an upstream cannot be connected to. Where nothing listens any more, it crashed, if requests were under
/// way there a moment ago.
pub fn note_unreachable<P: Platform>(host: &Host<P>, upstream: &Lifetime, error: &std::io::Error) {
    if error.kind() == std::io::ErrorKind::ConnectionRefused {
        note_over(host, upstream);
    }
}

/// Takes note that a start of an upstream is over: it crashed, unless it was leaving.
pub fn note_over<P: Platform>(host: &Host<P>, upstream: &Lifetime) {
    if address_if_staying(host, upstream).is_none() {
        return;
    }
    let requests = with_quarantine(host, |quarantine, now| {
        quarantine.note_crashed(now, upstream)
    });
    if requests.is_empty() {
        return;
    }
    let line = CrashLine {
        upstream: &upstream.id,
        requests: &requests,
    };
    lines::write(LogEvent::UpstreamCrashed, &line);
    host.note_want();
}

/// Takes note that an upstream ran a request to its end.
pub fn note_completed<P: Platform>(host: &Host<P>, ask: &Ask) {
    with_quarantine(host, |quarantine, now| {
        quarantine.note_completed(now, ask.digest);
    });
}

/// Returns what this host has to report.
pub fn report<P: Platform>(host: &Host<P>) -> CrashReport {
    with_quarantine(host, Quarantine::report)
}

/// Takes what another host reports.
pub fn take_report<P: Platform>(host: &Host<P>, report: &CrashReport) {
    with_quarantine(host, |quarantine, now| quarantine.merge_report(now, report));
}

/// Returns what a host that reports to this one is to know, by the state of its ledger.
pub fn news<P: Platform>(host: &Host<P>, known: u64) -> CrashUpdate {
    with_quarantine(host, |quarantine, now| quarantine.build_update(now, known))
}

/// Takes the answer to a message with this host's report.
pub fn take_news<P: Platform>(host: &Host<P>, news: &CrashUpdate) {
    with_quarantine(host, |quarantine, now| quarantine.apply_update(now, news));
}

/// Takes what an orderer left for all hosts.
pub fn take_lasting<P: Platform>(host: &Host<P>, evidence: &[Evidence]) {
    with_quarantine(host, |quarantine, now| {
        quarantine.merge_evidence(now, evidence)
    });
}

/// Returns what is to outlast all processes.
pub fn lasting<P: Platform>(host: &Host<P>) -> Vec<Evidence> {
    with_quarantine(host, |quarantine, now| quarantine.persistent_evidence(now))
}

fn with_quarantine<P: Platform, T>(
    host: &Host<P>,
    with: impl FnOnce(&mut Quarantine, Millis) -> T,
) -> T {
    with(&mut host.retries.borrow_mut().quarantine, host.now())
}
