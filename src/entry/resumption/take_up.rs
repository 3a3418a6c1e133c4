//! Finds out which software version a request needs that takes an interrupted stream up, and refuses
//! it if nobody knows or no upstream of that version serves.

use crate::entry::active_request::{ActiveRequest, CallerContext, Origin};
use crate::entry::host::Host;
use crate::entry::lines;
use crate::entry::platform::{Platform, TakenUp};
use crate::entry::resumption::proof::{has_list_since, is_proven, list_as_of};
use crate::entry::resumption::streams::Found;
use crate::entry::sending::attempts::{Attempts, RETRY_AFTER_MS};
use crate::prelude::*;
use crate::resumption::records::Known;
use crate::resumption::{Proof, StreamKey};
use smol::Timer;

/// How long a record takes to reach the hosts that keep it, at most.
const RECORD_DELAY_MS: Millis = Millis(100);

/// What the version of a stream that is taken up rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Basis {
    /// A record of this host or of one that keeps it.
    Record,
    /// The service has had no other version whose streams may be taken up.
    SoleVersion,
    /// There is a record, but it does not prove the version.
    Uncertain,
    /// Nobody in reach has a record.
    Nothing,
    /// A host that may have a record did not answer or has not read the store yet, or the list does
    /// not prove the version yet.
    NotYet,
}

#[derive(Serialize)]
struct TakeUpLine<'a> {
    request: Option<&'a str>,
    first_request: Option<&'a str>,
    after_event: &'a str,
    service: &'a str,
    version: Option<&'a str>,
    basis: Basis,
    /// How many versions of the service's streams may be taken up, as far as this host knows.
    known_versions: usize,
    /// Whether this host knows all of them.
    knows_all_versions: bool,
    /// For how long this host has run.
    runs_ms: Millis,
}

/// Returns the software version that a request needs; none if any will do.
///
/// # Errors
///
/// Returns the refusal of a request that takes up a stream whose version is not known.
pub async fn needed_version<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
) -> Result<Option<Name>, Refusal> {
    let (Origin::Caller(caller), Some(taken_up)) = (&request.origin, &request.facts.taken_up)
    else {
        return Ok(None);
    };
    if !request.may_be_taken_up() {
        return Ok(None);
    }
    let (version, basis) = find_version(host, request, caller, taken_up).await;
    let now = host.now();
    let (known_versions, knows_all_versions) = {
        let upstreams = host.upstreams.borrow();
        let versions = upstreams.versions();
        let of_service = versions
            .current(now)
            .filter(|one| one.service == request.service);
        (of_service.count(), versions.is_complete(now))
    };
    let line = TakeUpLine {
        request: request.facts.id.as_deref(),
        first_request: taken_up.first_request.as_deref(),
        after_event: &taken_up.after_event,
        service: &request.service,
        version: version.as_deref(),
        basis,
        known_versions,
        knows_all_versions,
        runs_ms: host.age_ms(now),
    };
    lines::write(LogEvent::StreamTakenUp, &line);
    version.map(Some).ok_or_else(|| unknown_version(basis))
}

async fn find_version<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    caller: &CallerContext,
    taken_up: &TakenUp,
) -> (Option<Name>, Basis) {
    caller.streams.learn_versions(host).await;
    // Without the name of the first request there is nothing to look for: equal requests may have
    // begun streams in other versions.
    let found = match &taken_up.first_request {
        Some(first) => find_record(host, request, caller, StreamKey::of(first)).await,
        None => Found {
            known: Known::Nothing,
            is_final: host.upstreams.borrow().versions().is_complete(host.now()),
        },
    };
    match found.known {
        Known::Version(version) if is_proven(host, &version).await => {
            (Some(version.version), Basis::Record)
        }
        Known::Version(version) => {
            let upstreams = host.upstreams.borrow();
            match version.prove(&upstreams, list_as_of(host)) {
                Proof::Refuted => (None, Basis::Uncertain),
                Proof::Proven | Proof::Pending => (None, Basis::NotYet),
            }
        }
        Known::Uncertain => (None, Basis::Uncertain),
        Known::Nothing if sole_now(host, request).is_some() => {
            // The stream began before the request arrived, at an upstream that was listed by then.
            let is_new = has_list_since(host, request.arrived_at).await;
            match sole_now(host, request) {
                Some(version) if is_new => (Some(version), Basis::SoleVersion),
                Some(_) | None => (None, Basis::NotYet),
            }
        }
        Known::Nothing if found.is_final => (None, Basis::Nothing),
        Known::Nothing => (None, Basis::NotYet),
    }
}

/// Looks for the record of a stream. Where the service has several versions, a record that may still
/// be on its way is looked for once more.
async fn find_record<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    caller: &CallerContext,
    key: StreamKey,
) -> Found {
    let found = caller.streams.find(host, key).await;
    if found.known != Known::Nothing || sole_now(host, request).is_some() {
        return found;
    }
    Timer::after(RECORD_DELAY_MS.to_duration()).await;
    caller.streams.find(host, key).await
}

/// Returns the only version of the service's streams, as far as this host's copy of the list says.
fn sole_now<P: Platform>(host: &Host<P>, request: &ActiveRequest) -> Option<Name> {
    let upstreams = host.upstreams.borrow();
    let versions = upstreams.versions();
    versions.sole_version(host.now(), &request.service).cloned()
}

fn unknown_version(basis: Basis) -> Refusal {
    let why = "no host in reach knows which software version began the stream";
    let refusal = Refusal::new(ErrorKind::StreamVersionUnknown, why);
    match basis {
        Basis::NotYet => refusal.with_retry_after(RETRY_AFTER_MS),
        Basis::Record | Basis::SoleVersion | Basis::Uncertain | Basis::Nothing => refusal,
    }
}

/// Returns the refusal of a request that needs a software version of which no upstream serves.
pub fn version_gone<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    attempts: &Attempts,
) -> Option<Refusal> {
    let version = attempts.software_version.as_ref()?;
    let serves = |service| host.upstreams.borrow().serves_version(service, version);
    (!serves(&request.service)).then(|| {
        let why = "no upstream of the software version that began the stream serves any more";
        Refusal::new(ErrorKind::StreamVersionGone, why)
    })
}
