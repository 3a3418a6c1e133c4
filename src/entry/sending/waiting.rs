//! Lets requests wait until an upstream can take them, and lets long prompts wait until the engine
//! reads no other long prompt.

use crate::entry::active_request::ActiveRequest;
use crate::entry::host::Host;
use crate::entry::platform::Platform;
use crate::entry::request_log::RequestLog;
use crate::entry::sending::attempts::{Attempts, BUSY_RETRY_AFTER_MS, RETRY_AFTER_MS};
use crate::entry::sending::choice::{choose, out_of_reach};
use crate::entry::sending::prediction::start_wait_ms;
use crate::entry::sending::unavailable::unavailable;
use crate::entry::sync;
use crate::http1::client::with_timeout;
use crate::prelude::*;
use crate::routing::roles::is_long;

/// How long a request waits for an upstream when no model load is announced: long enough for an
/// upstream's restart and for the delay of the list of upstreams.
const UPSTREAM_WAIT_MS: Millis = Millis(300);
/// How long the orderer must not have answered to count as lost. Twice the interval at which a host
/// sends to it must have passed as well; that interval is a second in a site of some 80 hosts.
const ORDERER_LOST_MS: Millis = Millis(2_500);
/// How long after the last answer of a lost orderer the next one sends orders: its lease is claimed
/// after 2.3 s without an answer, and the next holder waits for the rest of the old lease and for
/// the engines' lease time.
const ORDERER_TAKEOVER_MS: Millis = Millis(6_000);
/// How long a long prompt waits for current numbers of other hosts' long prompts; the orderer
/// answers in a few milliseconds.
const ORDERER_ANSWER_WAIT_MS: Millis = Millis(15);
/// How often a long prompt checks whether the engine is free for it: a few steps of an engine, so
/// that there is a pause between two long prompts.
const TURN_POLL_MS: Millis = Millis(30);
/// How long an upstream takes from a request to the first event, for a prompt of some thousand
/// tokens.
const FIRST_EVENT_MS: Millis = Millis(300);

/// Waits until an upstream can take the request.
///
/// # Errors
///
/// Returns the refusal when no upstream can take the request in time.
pub async fn wait_for_upstream<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    attempts: &mut Attempts,
    log: &mut RequestLog<'_, P>,
) -> Result<(), Refusal> {
    if let Some(unavailable) = unavailable(host, request) {
        return Err(unavailable.refusal());
    }
    let began_at = host.now();
    let has_failed = !attempts.excluded.is_empty();
    if has_failed && attempts.waited {
        return Err(attempts.last_refusal());
    }
    attempts.waited = true;
    let waited = wait(host, request, attempts, began_at).await;
    log.summary.waited_ms += host.now().since(began_at);
    waited
}

async fn wait<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    attempts: &mut Attempts,
    began_at: Millis,
) -> Result<(), Refusal> {
    let until = wait_deadline(host, request, began_at)?;
    let _waiting = WaitingCount::new(host, request);
    loop {
        let change = host.next_change();
        // The upstreams that were excluded may be able to take the request by now.
        attempts.clear_excluded();
        if choose(host, request, attempts).is_some()
            || out_of_reach(host, request, attempts).is_some()
        {
            return Ok(());
        }
        if let Some(unavailable) = unavailable(host, request) {
            return Err(unavailable.refusal());
        }
        let now = host.now();
        if host.is_stopping() {
            let why = "this host stops, and no upstream could take the request at once";
            return Err(Refusal::new(ErrorKind::Stopping, why).with_retry_after(Millis::ZERO));
        }
        let until = until.max(wait_deadline(host, request, began_at)?);
        if now >= until {
            return Err(no_upstream(host, request, now));
        }
        // No change is notified when an upstream's pause after a failure ends, so the state is also
        // polled.
        let poll_ms = (until - now).min(Millis(50));
        with_timeout(poll_ms, change).await;
    }
}

/// Lets a long prompt wait until the engine chosen for it reads no other long prompt, and returns
/// the engine that is the best choice then. Returns none for requests that need not wait.
///
/// An engine reads long prompts in pieces between the decoding steps of its streams. Two long
/// prompts without a pause between them delay every stream of the engine for longer than the gap
/// that counts as on time, and neither is read sooner than if they were read one after the other.
/// Hosts learn of each other's long prompts from the orderer, so this host first asks the orderer
/// for current numbers.
pub async fn wait_for_turn<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    attempts: &Attempts,
    log: &mut RequestLog<'_, P>,
) -> Option<Name> {
    if !request.at_engine || !is_long(request.facts.prompt_tokens) || attempts.sends > 0 {
        return None;
    }
    let began_at = host.now();
    let until = began_at + Millis(request.route.goal_ms.0 * 2 / 5);
    let until = until.min(request.first_byte_deadline_at - FIRST_EVENT_MS);
    let answers = host.orderer_state.borrow().answers;
    host.request_sync();
    loop {
        let change = host.next_change();
        let upstream = choose(host, request, attempts)?;
        let now = host.now();
        // If the orderer does not answer in time, the choice is made with what this host knows.
        let is_fresh = host.orderer_state.borrow().answers > answers
            || now.since(began_at) >= ORDERER_ANSWER_WAIT_MS;
        if (is_fresh && reads_no_long_prompt(host, &upstream)) || now >= until {
            log.summary.turn_ms += now.since(began_at);
            return Some(upstream);
        }
        with_timeout(TURN_POLL_MS, change).await;
        if is_fresh {
            host.request_sync();
        }
    }
}

/// Tells whether an engine is reading no long prompt of any host, as far as this host knows.
fn reads_no_long_prompt<P: Platform>(host: &Host<P>, upstream: &Name) -> bool {
    let upstreams = host.upstreams.borrow();
    let own = upstreams
        .get(upstream)
        .map_or(0, |known| known.long_prompts);
    own + host.orderer_state.borrow().work(upstream).long_prompts == 0
}

/// Returns a refusal if the request would begin after its caller has given up, as predicted from the
/// engine's slots and KV cache. Prompts that wait there do not count: what hosts know of them is old,
/// and much of them is cached, so that requests were refused which would have been in time.
pub fn late_start_refusal<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    upstream: &Name,
) -> Option<Refusal> {
    let start_wait_ms = start_wait_ms(host, request, upstream)?;
    let left_ms = request
        .first_byte_deadline_at
        .since(host.now() + FIRST_EVENT_MS);
    let excess_ms = start_wait_ms.since(left_ms);
    if excess_ms == Millis::ZERO {
        return None;
    }
    let why = "the first event would come after the caller has left";
    let refusal = Refusal::new(ErrorKind::Overloaded, why);
    Some(refusal.with_retry_after(excess_ms.max(BUSY_RETRY_AFTER_MS)))
}

/// Returns until when a request should wait for an upstream, or the refusal when no upstream can
/// answer it in time.
fn wait_deadline<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    began_at: Millis,
) -> Result<Millis, Refusal> {
    let last = request.first_byte_deadline_at
        - FIRST_EVENT_MS.min(Millis(
            (request.first_byte_deadline_at - request.arrived_at).0 / 4,
        ));
    let ready_at = request
        .facts
        .model
        .as_ref()
        .and_then(|model| host.orderer_state.borrow().ready_at(model));
    match ready_at {
        Some(ready_at) if ready_at >= last => Err(Refusal::new(
            ErrorKind::ColdStartTooLong,
            "the model cannot be ready in time",
        )
        .with_retry_after(ready_at.since(host.now()))),
        // The expected time is an estimate, and the engine's report of the loaded model is delayed.
        Some(ready_at) => Ok((ready_at + Millis(1_500)).min(last)),
        None => match orderer_lost_ms(host) {
            Some(lost_ms) if request.facts.model.is_some() => Err(Refusal::new(
                ErrorKind::ColdStartTooLong,
                "no upstream holds the model, and no host orders loads now",
            )
            .with_retry_after((ORDERER_TAKEOVER_MS - lost_ms).max(RETRY_AFTER_MS))),
            _ => Ok((began_at + UPSTREAM_WAIT_MS).min(last)),
        },
    }
}

/// Returns how long ago the orderer last answered, if it counts as lost.
fn orderer_lost_ms<P: Platform>(host: &Host<P>) -> Option<Millis> {
    let answered_at = host.orderer_state.borrow().answered_at?;
    let silent_ms = host.now().since(answered_at);
    let interval_ms = sync::interval_ms(host, false);
    let timeout_ms = ORDERER_LOST_MS.max(interval_ms + interval_ms);
    (silent_ms >= timeout_ms).then_some(silent_ms)
}

/// Returns the refusal for a request that waited in vain for an upstream.
fn no_upstream<P: Platform>(host: &Host<P>, request: &ActiveRequest, now: Millis) -> Refusal {
    let upstreams = host.upstreams.borrow();
    let has_usable = upstreams.usable(&request.service).next().is_some();
    match (has_usable, &request.facts.model) {
        (true, Some(model)) => {
            let ready_at = host.orderer_state.borrow().ready_at(model);
            let after =
                ready_at.map_or(RETRY_AFTER_MS, |at| at.since(now).max(BUSY_RETRY_AFTER_MS));
            Refusal::new(ErrorKind::ColdStartTooLong, "no upstream holds the model")
                .with_retry_after(after)
        }
        _ => Refusal::new(ErrorKind::NoCapacity, "no upstream can take the request")
            .with_retry_after(RETRY_AFTER_MS),
    }
}

/// Counts a request in the demand as waiting for its model until it is dropped.
struct WaitingCount<'a, P: Platform> {
    host: &'a Host<P>,
    request: &'a ActiveRequest,
}

impl<'a, P: Platform> WaitingCount<'a, P> {
    fn new(host: &'a Host<P>, request: &'a ActiveRequest) -> Self {
        if let Some(model) = &request.facts.model {
            if let Some(count) = host.demand.borrow_mut().count(model) {
                count.waiting += 1;
            }
            host.request_sync();
        }
        Self { host, request }
    }
}

impl<P: Platform> Drop for WaitingCount<'_, P> {
    fn drop(&mut self) {
        if let Some(model) = &self.request.facts.model
            && let Some(count) = self.host.demand.borrow_mut().count(model)
        {
            count.waiting = count.waiting.saturating_sub(1);
        }
    }
}
