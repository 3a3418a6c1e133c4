//! Serves one request, from the read request to its final answer.
//!
//! Each attempt at an upstream ends in one of three ways: answered, not run, or unknown whether it
//! ran. A request is refused as "not run" only if no attempt can have run it. A request that must
//! not run twice is not sent again after an attempt that may have run it.

use crate::desired::Repeat;
use crate::entry::active_request::ActiveRequest;
use crate::entry::answer::caller_writer::CallerWriter;
use crate::entry::answer::relay::{RelayOutcome, relay_answer};
use crate::entry::crashes::{detection, holding};
use crate::entry::handoff::other_host::{LeftToAnother, leave_to_another_host};
use crate::entry::host::Host;
use crate::entry::limits::Charge;
use crate::entry::platform::{Platform, SendFacts};
use crate::entry::request_log::{AnswerEnd, RequestLog};
use crate::entry::resumption::take_up::{needed_version, version_gone};
use crate::entry::sending::answer_wait::AnswerLimit;
use crate::entry::sending::attempts::Attempts;
use crate::entry::sending::choice::{choose, out_of_reach, prefix_source};
use crate::entry::sending::send::{self, SendOutcome, StartedAnswer};
use crate::entry::sending::unavailable::{Unavailable, unavailable};
use crate::entry::sending::waiting::{late_start_refusal, wait_for_turn, wait_for_upstream};
use crate::entry::{stop, upstream_limits};
use crate::error::Ran;
use crate::prelude::*;
use crate::routing::roles::is_long;

/// A refusal asks its caller to retry within one part in three of the request's remaining time:
/// after a longer wait callers do not retry.
const RETRY_AFTER_DIVISOR: u64 = 3;
/// How long before the end of a request's time an answer must be there to still reach the caller.
pub const ANSWER_MARGIN_MS: Millis = Millis(20);

/// Serves a request: tries upstreams until one answers or no further attempt is allowed, and writes
/// the final answer to the caller.
pub async fn serve<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    out: &mut CallerWriter,
    log: &mut RequestLog<'_, P>,
) -> AnswerEnd {
    let mut attempts = Attempts::default();
    // It counts neither in limits nor as demand, for which models are loaded.
    if let Some(refusal) = holding::quarantine(host, request, &mut attempts) {
        return answer_refusal(host, request.facts.id.as_deref(), out, log, &refusal).await;
    }
    attempts.software_version = match needed_version(host, request).await {
        Ok(version) => version,
        Err(refusal) => return refuse(host, request, out, log, refusal).await,
    };
    let asked_at = host.now();
    let charge = Charge::take(host, request).await;
    log.summary.limit_wait_ms = host.now().since(asked_at);
    let charge = match charge {
        Ok(charge) => charge,
        Err(refusal) => return refuse(host, request, out, log, refusal).await,
    };
    host.note_request(&request.service);
    let _in_demand = DemandCount::new(host, request);
    try_until_answered(host, request, out, log, charge, attempts).await
}

/// Serves a request that another host handed to this one, which has counted it in limits, retry
/// budget and demand. `attempts` are those that it made before.
pub async fn serve_handed<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    attempts: Attempts,
    out: &mut CallerWriter,
    log: &mut RequestLog<'_, P>,
) -> AnswerEnd {
    let charge = Charge::taken_elsewhere(host, request);
    try_until_answered(host, request, out, log, charge, attempts).await
}

async fn try_until_answered<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    out: &mut CallerWriter,
    log: &mut RequestLog<'_, P>,
    mut charge: Charge<'_, P>,
    mut attempts: Attempts,
) -> AnswerEnd {
    loop {
        let now = host.now();
        if now + ANSWER_MARGIN_MS >= request.deadline_at {
            return match attempts.failure {
                Some(_) => end(host, request, out, log, attempts).await,
                None => refuse(host, request, out, log, attempts.deadline_refusal()).await,
            };
        }
        if let Some(refusal) = holding::quarantine(host, request, &mut attempts) {
            return match attempts.runs {
                0 => answer_refusal(host, request.facts.id.as_deref(), out, log, &refusal).await,
                _ => end(host, request, out, log, attempts).await,
            };
        }
        if let Some(refusal) = request.identity_lost(host) {
            return match attempts.runs {
                0 => refuse(host, request, out, log, refusal).await,
                _ => end(host, request, out, log, attempts).await,
            };
        }
        if attempts.runs == 0
            && let Some(refusal) = stop::refusal(host, request)
        {
            return refuse(host, request, out, log, refusal).await;
        }
        if let Some(refusal) = version_gone(host, request, &attempts) {
            return match attempts.runs {
                0 => refuse(host, request, out, log, refusal).await,
                _ => end(host, request, out, log, attempts).await,
            };
        }
        let Some(upstream) = choose(host, request, &attempts) else {
            if let Some(wanted) = out_of_reach(host, request, &attempts) {
                charge.note_send();
                let left = leave_to_another_host(host, request, out, log, &mut attempts, &wanted);
                match left.await {
                    LeftToAnother::Ended(ended) => return ended,
                    LeftToAnother::MayHaveRun if is_last_run(request, &attempts) => {
                        return end(host, request, out, log, attempts).await;
                    }
                    LeftToAnother::MayHaveRun => {}
                    LeftToAnother::NotRun(refusal) => {
                        charge.note_not_run();
                        match refusal {
                            None => {}
                            Some(_) if attempts.runs > 0 => {
                                return end(host, request, out, log, attempts).await;
                            }
                            Some(refusal) => {
                                return refuse(host, request, out, log, refusal).await;
                            }
                        }
                    }
                }
                continue;
            }
            match wait_for_upstream(host, request, &mut attempts, log).await {
                Ok(()) => continue,
                Err(_) if attempts.runs > 0 => return end(host, request, out, log, attempts).await,
                Err(refusal) => return refuse(host, request, out, log, refusal).await,
            }
        };
        if attempts.runs == 0
            && let Some(refusal) = late_start_refusal(host, request, &upstream)
        {
            return refuse(host, request, out, log, refusal).await;
        }
        let upstream = match wait_for_turn(host, request, &attempts, log).await {
            Some(upstream) => upstream,
            None => upstream,
        };
        if let Err(refused) = upstream_limits::take(host, &upstream).await {
            attempts.note_limited(upstream, refused.retry_after_ms);
            continue;
        }
        if attempts.sends > 0 && !attempts.may_repeat(host, request) {
            return end(host, request, out, log, attempts).await;
        }
        charge.note_send();
        let resume_after = request.resume_after();
        let sent = try_upstream(host, request, &upstream, &attempts, log, resume_after).await;
        if sent.is_not_run() {
            charge.note_not_run();
        }
        match sent {
            SendOutcome::Answered(answer) if attempts.prefers_another(host, request, &answer) => {
                attempts.keep_failure(answer);
            }
            SendOutcome::Answered(answer) => {
                if let Some(ended) = finish(host, request, out, log, &mut attempts, answer).await {
                    return ended;
                }
                attempts.note_may_have_run(upstream);
            }
            SendOutcome::NotSent => attempts.exclude(upstream),
            SendOutcome::Unreached { began_at } => attempts.note_unreached(upstream, began_at),
            SendOutcome::NotRun { lacks_model, .. } => {
                if let (true, Some(model)) = (lacks_model, &request.facts.model) {
                    let mut orderer_state = host.orderer_state.borrow_mut();
                    orderer_state.note_lacking(host.now(), &upstream, model);
                }
                attempts.note_not_run(upstream);
            }
            SendOutcome::MayHaveRun => {
                attempts.note_may_have_run(upstream);
            }
        }
        if is_last_run(request, &attempts) {
            return end(host, request, out, log, attempts).await;
        }
    }
}

/// Tells whether a request may not be run once more.
fn is_last_run(request: &ActiveRequest, attempts: &Attempts) -> bool {
    let may_not_run_again = request.route.repeat == Repeat::Once && attempts.runs > 0;
    may_not_run_again || attempts.runs >= request.route.attempts.max(1)
}

/// Ends a request that may not be tried again: with the failure that an upstream answered, where
/// there is one, else with a refusal of the host's own.
async fn end<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    out: &mut CallerWriter,
    log: &mut RequestLog<'_, P>,
    mut attempts: Attempts,
) -> AnswerEnd {
    if let Some(answer) = attempts.failure.take()
        && let Some(ended) = finish(host, request, out, log, &mut attempts, answer).await
    {
        return ended;
    }
    refuse(host, request, out, log, attempts.last_refusal()).await
}

/// Passes an upstream's answer on to the caller. Returns none when the answer broke off before the
/// caller got any of it; then another attempt is possible.
pub async fn finish<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    out: &mut CallerWriter,
    log: &mut RequestLog<'_, P>,
    attempts: &mut Attempts,
    answer: Box<StartedAnswer>,
) -> Option<AnswerEnd> {
    log.summary.status = answer.head.status;
    let version = answer.version_tag;
    let relayed = relay_answer(host, request, out, log, attempts, answer).await;
    match relayed {
        RelayOutcome::Complete => {
            if log.summary.status < 500 {
                detection::note_completed(host, request);
            }
            if (200..300).contains(&log.summary.status) {
                detection::note_answered(host, request, version);
            }
            log.outcome = Some("answered");
            Some(AnswerEnd::Complete)
        }
        RelayOutcome::Truncated(why) => {
            log.outcome = Some("broken");
            log.summary.why = Some(why);
            Some(AnswerEnd::Broken)
        }
        RelayOutcome::NotStarted(why) => {
            log.summary.why = Some(why);
            None
        }
    }
}

/// Refuses a request, with a retry time that fits into the request's remaining time. Only the time
/// until upstreams that rest accept requests again is stated as it is, since it is no estimate.
pub async fn refuse<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    out: &mut CallerWriter,
    log: &mut RequestLog<'_, P>,
    refusal: Refusal,
) -> AnswerEnd {
    let is_for_capacity = matches!(refusal.kind, ErrorKind::Overloaded | ErrorKind::NoCapacity);
    let unavailable = is_for_capacity
        .then(|| unavailable(host, request))
        .flatten();
    let refusal = match unavailable {
        Some(resting @ Unavailable::Resting { .. }) => resting.refusal(),
        Some(Unavailable::Leaving) | None => {
            let max_ms = max_retry_after_ms(host.now(), request);
            Refusal {
                retry_after_ms: refusal.retry_after_ms.map(|after| after.min(max_ms)),
                ..refusal
            }
        }
    };
    answer_refusal(host, request.facts.id.as_deref(), out, log, &refusal).await
}

/// Returns the longest retry time that a refusal of a request names.
pub fn max_retry_after_ms(now: Millis, request: &ActiveRequest) -> Millis {
    Millis(request.deadline_at.since(now).0 / RETRY_AFTER_DIVISOR)
}

/// Writes a refusal to the caller and records it in the request's log line.
pub async fn answer_refusal<P: Platform>(
    host: &Host<P>,
    request_id: Option<&str>,
    out: &mut CallerWriter,
    log: &mut RequestLog<'_, P>,
    refusal: &Refusal,
) -> AnswerEnd {
    let line = refusal.kind.answer();
    log.summary.status = line.status;
    log.summary.why = Some(refusal.kind.name());
    log.summary.come_back_ms = refusal.retry_after_ms;
    log.outcome = Some(match refusal.ran {
        Ran::NotRun => "refused",
        Ran::Unknown => "failed",
    });
    let headers = host.platform.host_answer_headers(request_id);
    match out.write_refusal(refusal, headers).await {
        Ok(()) => AnswerEnd::Complete,
        Err(_) => AnswerEnd::Broken,
    }
}

/// Counts a request in the demand for its model until it is dropped.
struct DemandCount<'a, P: Platform> {
    host: &'a Host<P>,
    request: &'a ActiveRequest,
}

impl<'a, P: Platform> DemandCount<'a, P> {
    fn new(host: &'a Host<P>, request: &'a ActiveRequest) -> Self {
        if let Some(model) = &request.facts.model
            && let Some(count) = host.demand.borrow_mut().count(model)
        {
            count.asked += 1;
            count.running += 1;
            count.tokens += request.facts.prompt_tokens;
            count.long += u32::from(is_long(request.facts.prompt_tokens));
        }
        Self { host, request }
    }
}

impl<P: Platform> Drop for DemandCount<'_, P> {
    fn drop(&mut self) {
        if let Some(model) = &self.request.facts.model
            && let Some(count) = self.host.demand.borrow_mut().count(model)
        {
            count.running = count.running.saturating_sub(1);
        }
    }
}

/// Returns whether engines should begin a request before others.
fn is_urgent<P: Platform>(host: &Host<P>, request: &ActiveRequest) -> bool {
    let routes = host.routes.borrow();
    let table = routes.as_ref().filter(|_| request.at_engine);
    table.is_some_and(|table| {
        let ranks = &table.urgent_ranks;
        ranks.is_urgent(&request.service, request.rank())
    })
}

/// Makes one attempt at an upstream: sends the request, waits for the start of its answer, and
/// records the outcome in the log line and the metrics. `resume_after` is the id of the last event
/// that the caller got, where an interrupted stream is resumed.
pub async fn try_upstream<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    upstream: &Name,
    attempts: &Attempts,
    log: &mut RequestLog<'_, P>,
    resume_after: Option<&str>,
) -> SendOutcome {
    log.summary.note_send(upstream);
    let now = host.now();
    let left_ms = request.deadline_at.since(now);
    let mut headers = request.head.headers.clone();
    headers.remove_hop_by_hop();
    let facts = SendFacts {
        left_ms,
        upstream,
        identity: &request.identity,
        is_urgent: is_urgent(host, request),
        fetch_prefix_from: prefix_source(host, request, upstream),
        resume_after,
    };
    host.platform.set_upstream_headers(&mut headers, &facts);
    let limit = AnswerLimit::of(host, request, upstream, attempts);
    let sent = send::send(host, request, upstream, headers, &limit).await;
    log.summary.note_result(sent.name());
    host.metrics.count_send(sent.name());
    sent
}
