//! Detects crashes of upstreams and which requests were running there.

use super::with_quarantine;
use crate::entry::active_request::ActiveRequest;
use crate::entry::host::Host;
use crate::entry::lines;
use crate::entry::platform::{ModelRef, Platform};
use crate::entry::sending::pool::UpstreamConnection;
use crate::http1::client::with_timeout;
use crate::prelude::*;
use crate::retry::crash_ledger::CrashId;
use crate::retry::interrupted_requests::InterruptedRun;
use crate::retry::{RequestDigest, VersionTag};
use crate::upstreams::Lifetime;
use std::net::SocketAddr;

/// How long the check whether an upstream crashed may take; a request waits for the result.
const CRASH_CHECK_TIMEOUT_MS: Millis = Millis(100);
/// How long a new connection must stay open to show that the upstream runs. The kernel accepts
/// connections to a process that is ending, and closes them together with its listener.
const STAYS_OPEN_MS: Millis = Millis(30);

#[derive(Serialize)]
struct CrashLine<'a> {
    upstream: &'a str,
    /// The id of the crash, which is equal at all hosts.
    crash: String,
    /// The digests of the requests that the upstream was running when it crashed.
    requests: Vec<RequestDigest>,
}

#[derive(Serialize)]
struct InterruptedLine<'a> {
    request: Option<&'a str>,
    digest: RequestDigest,
    upstream: &'a str,
    /// The id of the crash that the end of the connection may be due to.
    crash: String,
    model: Option<&'a ModelRef>,
    /// The shared parts of the prompt, as hexadecimal numbers.
    parts: Vec<String>,
    /// The parts, the model and the adapter as evidence names them, in this order.
    causes: Vec<String>,
    /// For how long the answer had been coming; none if it had not begun.
    answered_ms: Option<Millis>,
}

/// Records that the connection to an upstream ended while it ran a request, of which the answer had
/// been coming for `answered_ms`; none if it had not begun. Checks whether the upstream crashed,
/// unless that is known already or the upstream was leaving.
pub async fn note_broken_run<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    upstream: &Lifetime,
    sent_at: Millis,
    answered_ms: Option<Millis>,
) {
    let Some(address) = address_if_staying(host, upstream) else {
        return;
    };
    let shared_parts = request.facts.shared_parts().iter();
    let line = InterruptedLine {
        request: request.facts.id.as_deref(),
        digest: request.causes.digest,
        upstream: &upstream.id,
        crash: CrashId::of(upstream).to_string(),
        model: request.facts.model.as_ref(),
        parts: shared_parts.map(|part| format!("{:x}", part.id)).collect(),
        causes: shared_names(request),
        answered_ms,
    };
    lines::write(LogEvent::RunInterrupted, &line);
    let run = InterruptedRun {
        causes: request.causes.clone(),
        version: version_of(host, upstream),
        sent_at,
        answered_ms,
    };
    let is_known_crash = with_quarantine(host, |quarantine, now| {
        quarantine.note_connection_lost(now, upstream, &run)
    });
    if is_known_crash {
        host.request_sync();
        return;
    }
    let is_watched = !request.causes.shared.is_empty();
    match with_timeout(CRASH_CHECK_TIMEOUT_MS, reach(host, address, is_watched)).await {
        Some(Ok(connection)) if address_if_staying(host, upstream).is_some() => {
            host.pool.keep(host.now(), &upstream.id, connection, None);
        }
        Some(Ok(_)) => {}
        Some(Err(error)) => note_unreachable(host, upstream, &error),
        None => {}
    }
}

/// Opens a connection to an upstream. If it is watched, it must stay open for [`STAYS_OPEN_MS`], and
/// another one is opened if it does not.
async fn reach<P: Platform>(
    host: &Host<P>,
    address: SocketAddr,
    is_watched: bool,
) -> std::io::Result<UpstreamConnection> {
    loop {
        let mut connection = host.pool.open(host.clock, address).await?;
        let stays_open = !is_watched
            || with_timeout(STAYS_OPEN_MS, connection.io.read_more())
                .await
                .is_none();
        if stays_open {
            return Ok(connection);
        }
    }
}

/// Returns the address of an upstream, unless it is leaving or no longer listed.
fn address_if_staying<P: Platform>(host: &Host<P>, upstream: &Lifetime) -> Option<SocketAddr> {
    let upstreams = host.upstreams.borrow();
    let known = upstreams.get_lifetime(upstream)?;
    (!known.is_leaving()).then(|| known.address())
}

/// Returns the software version of an upstream by its entry, also while the list lacks the entry in an
/// outage.
pub fn version_of<P: Platform>(host: &Host<P>, upstream: &Lifetime) -> VersionTag {
    let upstreams = host.upstreams.borrow();
    let known = upstreams.get_lifetime(upstream);
    let version = known.and_then(|known| known.entry.software_version.as_deref());
    VersionTag::of(version)
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
        crash: CrashId::of(upstream).to_string(),
        requests: requests.iter().map(|run| run.causes.digest).collect(),
    };
    lines::write(LogEvent::UpstreamCrashed, &line);
    host.request_sync();
}

/// Records that an upstream answered a request completely, which is evidence that the request does
/// not crash upstreams.
pub fn note_completed<P: Platform>(host: &Host<P>, request: &ActiveRequest) {
    with_quarantine(host, |quarantine, now| {
        quarantine.note_completed(now, request.causes.digest);
    });
}

/// Records that an upstream of a software version goes on with its answer to a request after the
/// beginning, or has completed it. Nothing that the request shares with others crashes upstreams.
pub fn note_answered<P: Platform>(host: &Host<P>, request: &ActiveRequest, version: VersionTag) {
    with_quarantine(host, |quarantine, now| {
        quarantine.note_answered(now, &request.causes, version);
    });
}

/// Returns what a request shares with others, as lines of the log name it.
fn shared_names(request: &ActiveRequest) -> Vec<String> {
    let shared = request.causes.shared.iter();
    shared.map(ToString::to_string).collect()
}
