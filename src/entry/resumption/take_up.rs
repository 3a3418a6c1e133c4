//! Finds out which software version a request needs that takes an interrupted stream up, and refuses
//! it if nobody knows or no upstream of that version serves.

use crate::entry::active_request::{ActiveRequest, CallerContext, Origin};
use crate::entry::host::Host;
use crate::entry::lines;
use crate::entry::platform::{Platform, TakenUp};
use crate::entry::resumption::proof::{has_list_since, is_proven};
use crate::entry::sending::attempts::{Attempts, RETRY_AFTER_MS};
use crate::prelude::*;
use crate::resumption::records::Known;
use crate::resumption::{RETRIES_MS, StreamKey};

/// What the version of a stream that is taken up rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum Basis {
    /// A record of this host or of one that keeps it.
    Record,
    /// The service has had no other version for longer than a stream and its retries last.
    SoleVersion,
    /// There is a record, but it does not prove the version.
    Uncertain,
    /// Nobody in reach has a record.
    Nothing,
}

#[derive(Serialize)]
struct TakeUpLine<'a> {
    request: Option<&'a str>,
    first_request: Option<&'a str>,
    after_event: &'a str,
    service: &'a str,
    version: Option<&'a str>,
    basis: Basis,
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
    let line = TakeUpLine {
        request: request.facts.id.as_deref(),
        first_request: taken_up.first_request.as_deref(),
        after_event: &taken_up.after_event,
        service: &request.service,
        version: version.as_deref(),
        basis,
    };
    lines::write(LogEvent::StreamTakenUp, &line);
    match version {
        Some(version) => Ok(Some(version)),
        None => Err(unknown_version()),
    }
}

async fn find_version<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    caller: &CallerContext,
    taken_up: &TakenUp,
) -> (Option<Name>, Basis) {
    let known = match &taken_up.first_request {
        Some(first) => caller.streams.find(host, StreamKey::of(first)).await,
        None => {
            let digest = &request.causes.digest;
            caller.streams.find_equal(host, digest).await
        }
    };
    match known {
        Known::Version(version) if is_proven(host, &version).await => {
            (Some(version.version), Basis::Record)
        }
        Known::Version(_) | Known::Uncertain => (None, Basis::Uncertain),
        Known::Nothing => match sole_version(host, request).await {
            Some(version) => (Some(version), Basis::SoleVersion),
            None => (None, Basis::Nothing),
        },
    }
}

/// Returns the only version that can have begun a stream of the request's service. The stream began
/// before the request arrived, at an upstream that was in the list by then.
async fn sole_version<P: Platform>(host: &Host<P>, request: &ActiveRequest) -> Option<Name> {
    let lasts_ms = request.route.time_limit_ms + RETRIES_MS;
    let sole = || {
        let upstreams = host.upstreams.borrow();
        let sole = upstreams.sole_version(host.now(), &request.service, lasts_ms);
        sole.cloned()
    };
    sole()?;
    match has_list_since(host, request.arrived_at).await {
        true => sole(),
        false => None,
    }
}

fn unknown_version() -> Refusal {
    let why = "no host in reach knows which software version began the stream";
    Refusal::new(ErrorKind::StreamVersionUnknown, why).with_retry_after(RETRY_AFTER_MS)
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
