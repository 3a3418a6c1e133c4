//! Refuses requests that would crash an upstream.

use super::with_quarantine;
use crate::entry::active_request::ActiveRequest;
use crate::entry::host::Host;
use crate::entry::lines;
use crate::entry::platform::Platform;
use crate::entry::sending::attempts::Attempts;
use crate::prelude::*;
use crate::retry::quarantine::{Hold, SharedHold};
use crate::retry::{RequestDigest, VersionTag};

#[derive(Serialize)]
struct QuarantineLine<'a> {
    request: Option<&'a str>,
    digest: RequestDigest,
    /// What it shares with requests that crashed upstreams, as lines of interrupted runs name it;
    /// none if this very request did.
    cause: Option<String>,
    /// What else in the request may be the cause instead.
    together: Vec<String>,
    /// The ids of the crashes that decided, for a shared cause.
    crashes: Vec<String>,
    /// How long the quarantine still lasts.
    left_ms: Millis,
}

/// Returns a refusal, and logs it, if a request is quarantined because it, or what it shares with
/// other requests, crashes the upstreams that run it. The refusal states that the request has not
/// run.
pub fn quarantine<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    attempts: &mut Attempts,
) -> Option<Refusal> {
    let held_at = |version| {
        let quarantine = &host.retries.borrow().quarantine;
        quarantine.hold(host.now(), &request.causes, version)
    };
    // Few requests are held back at any version, so the only one is looked up for these alone.
    held_at(None)?;
    let version = sole_version(host, request);
    let hold = held_at(version)?;
    if let Some(shared) = &hold.shared {
        attempts.is_trial = attempts.is_trial || takes_trial(host, shared, version);
        if attempts.is_trial {
            return None;
        }
        host.metrics.count_refused_for_shared_cause();
        with_quarantine(host, |quarantine, _| quarantine.note_refused(shared.cause));
    }
    Some(refusal(request, &hold))
}

/// Tells whether a request may carry the cause of a crash on, so that it must not be sent again after
/// an attempt that may have run it.
pub fn is_suspected<P: Platform>(host: &Host<P>, request: &ActiveRequest) -> bool {
    let version = sole_version(host, request);
    let quarantine = &host.retries.borrow().quarantine;
    quarantine.is_suspected(&request.causes, version)
}

/// Returns the only software version that upstreams of the request's service have had for as long as
/// a request lasts.
fn sole_version<P: Platform>(host: &Host<P>, request: &ActiveRequest) -> Option<VersionTag> {
    let upstreams = host.upstreams.borrow();
    let lasts_ms = request.route.time_limit_ms;
    let versions = upstreams.versions();
    let version = versions.sole_version_sent_to(host.now(), &request.service, lasts_ms)?;
    Some(VersionTag::of(Some(version)))
}

/// Takes a trial of a cause: shortly after it was first held back, or the only one at a software
/// version that replaced the one it crashed. Only the orderer does, so that hosts do not try at the
/// same time.
fn takes_trial<P: Platform>(
    host: &Host<P>,
    shared: &SharedHold,
    version: Option<VersionTag>,
) -> bool {
    host.is_orderer()
        && with_quarantine(host, |quarantine, now| {
            quarantine.take_early_trial(now, shared.cause)
                || version.is_some_and(|version| quarantine.take_trial(now, shared.cause, version))
        })
}

fn refusal(request: &ActiveRequest, hold: &Hold) -> Refusal {
    let shared = hold.shared.as_ref();
    let line = QuarantineLine {
        request: request.facts.id.as_deref(),
        digest: request.causes.digest,
        cause: shared.map(|shared| shared.cause.to_string()),
        together: texts(shared.map(|shared| &*shared.together)),
        crashes: texts(shared.map(|shared| &*shared.crashes)),
        left_ms: hold.left_ms,
    };
    lines::write(LogEvent::RequestQuarantined, &line);
    let why = match shared {
        None => "upstreams crashed each time they ran this request",
        Some(_) => "upstreams crashed each time they ran requests that share a part with this one",
    };
    Refusal::new(ErrorKind::Quarantined, why).with_retry_after(hold.left_ms)
}

fn texts<T: ToString>(values: Option<&[T]>) -> Vec<String> {
    let values = values.unwrap_or_default().iter();
    values.map(ToString::to_string).collect()
}
