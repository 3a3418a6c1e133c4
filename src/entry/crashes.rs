//! Detects requests that crash upstreams, refuses them, and exchanges the evidence between hosts.

use crate::entry::active_request::ActiveRequest;
use crate::entry::host::Host;
use crate::entry::lines;
use crate::entry::platform::{ModelRef, Platform};
use crate::http1::client::with_timeout;
use crate::prelude::*;
use crate::retry::crash_ledger::CrashId;
use crate::retry::message::Evidence;
use crate::retry::{CrashReport, CrashUpdate, Quarantine, RequestDigest};
use crate::upstreams::Lifetime;
use std::net::SocketAddr;

/// How long an upstream may take to accept the connection that checks whether it crashed; a request
/// waits for the result.
const CRASH_CHECK_TIMEOUT_MS: Millis = Millis(100);

#[derive(Serialize)]
struct CrashLine<'a> {
    upstream: &'a str,
    /// The id of the crash, which is equal at all hosts.
    crash: CrashId,
    /// The digests of the requests that the upstream was running when it crashed.
    requests: &'a [RequestDigest],
}

#[derive(Serialize)]
struct InterruptedLine<'a> {
    request: Option<&'a str>,
    digest: RequestDigest,
    upstream: &'a str,
    /// The id of the crash that the end of the connection may be due to.
    crash: CrashId,
    model: Option<&'a ModelRef>,
    /// The shared parts of the prompt, as hexadecimal numbers.
    parts: Vec<String>,
    /// For how long the answer had been coming; none if it had not begun.
    answered_ms: Option<Millis>,
}

#[derive(Serialize)]
struct QuarantineLine<'a> {
    request: Option<&'a str>,
    digest: RequestDigest,
    /// How long the quarantine still lasts.
    left_ms: Millis,
}

/// Returns a refusal, and logs it, if a request is quarantined because it crashes the upstreams
/// that run it. The refusal states that the request has not run.
pub fn quarantine<P: Platform>(host: &Host<P>, request: &ActiveRequest) -> Option<Refusal> {
    let left_ms = with_quarantine(host, |quarantine, now| {
        quarantine.quarantined_ms(now, &request.digest)
    })?;
    let line = QuarantineLine {
        request: request.facts.id.as_deref(),
        digest: request.digest,
        left_ms,
    };
    lines::write(LogEvent::RequestQuarantined, &line);
    let why = "upstreams crashed each time they ran this request";
    Some(Refusal::new(ErrorKind::Quarantined, why).with_retry_after(left_ms))
}

/// Records that the connection to an upstream ended while it ran a request, of which the answer had
/// been coming for `answered_ms`. Checks whether the upstream crashed, unless that is known already
/// or the upstream was leaving.
pub async fn note_broken_run<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    upstream: &Lifetime,
    answered_ms: Option<Millis>,
) {
    let Some(address) = address_if_staying(host, upstream) else {
        return;
    };
    let shared_parts = request.facts.shared_parts().iter();
    let line = InterruptedLine {
        request: request.facts.id.as_deref(),
        digest: request.digest,
        upstream: &upstream.id,
        crash: CrashId::of(upstream),
        model: request.facts.model.as_ref(),
        parts: shared_parts.map(|part| format!("{:x}", part.id)).collect(),
        answered_ms,
    };
    lines::write(LogEvent::RunInterrupted, &line);
    let is_known_crash = with_quarantine(host, |quarantine, now| {
        quarantine.note_connection_lost(now, upstream, request.digest)
    });
    if is_known_crash {
        host.request_sync();
        return;
    }
    match with_timeout(CRASH_CHECK_TIMEOUT_MS, host.pool.open(host.clock, address)).await {
        Some(Ok(connection)) if address_if_staying(host, upstream).is_some() => {
            host.pool.keep(host.now(), &upstream.id, connection, None);
        }
        Some(Ok(_)) => {}
        Some(Err(error)) => note_unreachable(host, upstream, &error),
        None => {}
    }
}

/// Returns the address of an upstream, unless it is leaving or no longer listed.
fn address_if_staying<P: Platform>(host: &Host<P>, upstream: &Lifetime) -> Option<SocketAddr> {
    let upstreams = host.upstreams.borrow();
    let known = upstreams.get_lifetime(upstream)?;
    (!known.is_leaving()).then(|| known.address())
}

/// Records that no connection to an upstream can be opened. If the connection is refused, so that
/// nothing listens at the address any more, the upstream's lifetime has ended.
pub fn note_unreachable<P: Platform>(host: &Host<P>, upstream: &Lifetime, error: &std::io::Error) {
    if error.kind() == std::io::ErrorKind::ConnectionRefused {
        note_lifetime_ended(host, upstream);
    }
}

/// Records that a lifetime of an upstream has ended. Unless it was leaving, it counts as a crash if
/// requests were under way there shortly before.
pub fn note_lifetime_ended<P: Platform>(host: &Host<P>, upstream: &Lifetime) {
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
        crash: CrashId::of(upstream),
        requests: &requests,
    };
    lines::write(LogEvent::UpstreamCrashed, &line);
    host.request_sync();
}

/// Records that an upstream answered a request completely, which is evidence that the request does
/// not crash upstreams.
pub fn note_completed<P: Platform>(host: &Host<P>, request: &ActiveRequest) {
    with_quarantine(host, |quarantine, now| {
        quarantine.note_completed(now, request.digest);
    });
}

/// Returns the crash evidence for this host's next message to a relay or the orderer.
pub fn report<P: Platform>(host: &Host<P>) -> CrashReport {
    with_quarantine(host, Quarantine::report)
}

/// Adds the crash evidence that another host reports.
pub fn merge_report<P: Platform>(host: &Host<P>, report: &CrashReport) {
    with_quarantine(host, |quarantine, now| quarantine.merge_report(now, report));
}

/// Returns the evidence that a reporting host lacks, for the reply to it. `known` is the state of
/// that host's evidence, as it stated it.
pub fn build_update<P: Platform>(host: &Host<P>, known: u64) -> CrashUpdate {
    with_quarantine(host, |quarantine, now| quarantine.build_update(now, known))
}

/// Applies the reply to a message that carried this host's report.
pub fn apply_update<P: Platform>(host: &Host<P>, update: &CrashUpdate) {
    with_quarantine(host, |quarantine, now| quarantine.apply_update(now, update));
}

/// Adds the evidence that an orderer stored with its lease for all hosts.
pub fn restore_evidence<P: Platform>(host: &Host<P>, evidence: &[Evidence]) {
    with_quarantine(host, |quarantine, now| {
        quarantine.merge_evidence(now, evidence)
    });
}

/// Returns the evidence that must survive a restart of all processes.
pub fn persistent_evidence<P: Platform>(host: &Host<P>) -> Vec<Evidence> {
    with_quarantine(host, |quarantine, now| quarantine.persistent_evidence(now))
}

fn with_quarantine<P: Platform, T>(
    host: &Host<P>,
    with: impl FnOnce(&mut Quarantine, Millis) -> T,
) -> T {
    with(&mut host.retries.borrow_mut().quarantine, host.now())
}
