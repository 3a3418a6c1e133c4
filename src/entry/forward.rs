//! One request's way from its head to its final answer.
//!
//! Every try ends in one of three ways: answered, not run, or perhaps run. Only a request of which no try may
//! have run is refused as "not run"; one that may not run twice is not sent again after a try that may have.

use crate::desired::Repeat;
use crate::entry::answer_relay::{self, RelayOutcome};
use crate::entry::ask::Ask;
use crate::entry::caller::CallerSide;
use crate::entry::choice::{choose, prefix_source};
use crate::entry::course::{CourseLog, Ended};
use crate::entry::crashes;
use crate::entry::host::Host;
use crate::entry::limits::Charge;
use crate::entry::platform::{Platform, SendFacts};
use crate::entry::send::{self, Sent, StartedAnswer};
use crate::entry::tries::Tries;
use crate::entry::upstream_limits;
use crate::entry::waiting::{too_late, wait_for_turn, wait_for_upstream};
use crate::prelude::*;
use crate::routing::roles::is_long;

/// The part of its remaining time after which a caller does not come back any more.
const COME_BACK_PART: u64 = 3;
/// What is left of a request's time for an answer to reach the caller.
pub const ANSWER_MARGIN_MS: Millis = Millis(20);

/// Serves a request to its final answer.
pub async fn serve<P: Platform>(
    host: &Host<P>,
    ask: &Ask,
    out: &mut CallerSide,
    log: &mut CourseLog<'_, P>,
) -> Ended {
    let mut charge = match Charge::take(host, ask).await {
        Ok(charge) => charge,
        Err(refusal) => return refuse(host, ask, out, log, refusal).await,
    };
    host.note_request(&ask.service);
    let _counted = Counted::new(host, ask);
    let mut tries = Tries::default();
    loop {
        let now = host.now();
        if now + ANSWER_MARGIN_MS >= ask.ends_at {
            return match tries.failure {
                Some(_) => give_up(host, ask, out, log, tries).await,
                None => refuse(host, ask, out, log, tries.end_of_time()).await,
            };
        }
        if let Some(refusal) = crashes::quarantine(host, ask) {
            return match tries.runs {
                0 => own_answer(host, ask.facts.id.as_deref(), out, log, &refusal).await,
                _ => give_up(host, ask, out, log, tries).await,
            };
        }
        let Some(upstream) = choose(host, ask, &tries) else {
            match wait_for_upstream(host, ask, &mut tries, log).await {
                Ok(()) => continue,
                Err(_) if tries.runs > 0 => return give_up(host, ask, out, log, tries).await,
                Err(refusal) => return refuse(host, ask, out, log, refusal).await,
            }
        };
        if tries.runs == 0
            && let Some(refusal) = too_late(host, ask, &upstream)
        {
            return refuse(host, ask, out, log, refusal).await;
        }
        let upstream = match wait_for_turn(host, ask, &tries, log).await {
            Some(upstream) => upstream,
            None => upstream,
        };
        if let Err(refused) = upstream_limits::take(host, &upstream).await {
            tries.note_limited(upstream, refused.retry_after_ms);
            continue;
        }
        if tries.sends > 0 && !tries.may_repeat(host, ask) {
            return give_up(host, ask, out, log, tries).await;
        }
        charge.note_send();
        let sent = try_upstream(host, ask, &upstream, &tries, log, None).await;
        if matches!(sent, Sent::NotSent | Sent::NotRun { .. }) {
            charge.note_not_run();
        }
        match sent {
            Sent::Answered(answer) if tries.prefers_another(host, ask, &answer) => {
                tries.keep_failure(answer);
            }
            Sent::Answered(answer) => {
                if let Some(ended) = finish(host, ask, out, log, &mut tries, answer).await {
                    return ended;
                }
                tries.note_perhaps_run(upstream);
            }
            Sent::NotSent => tries.pass_over(upstream),
            Sent::NotRun { lacks_model, .. } => {
                if let (true, Some(model)) = (lacks_model, &ask.facts.model) {
                    let mut view = host.view.borrow_mut();
                    view.note_lacking(host.now(), &upstream, model);
                }
                tries.note_not_run(upstream);
            }
            Sent::PerhapsRun => {
                tries.note_perhaps_run(upstream);
            }
        }
        let may_not_run_again = ask.route.repeat == Repeat::Once && tries.runs > 0;
        if may_not_run_again || tries.runs >= ask.route.attempts.max(1) {
            return give_up(host, ask, out, log, tries).await;
        }
    }
}

/// Ends a request that may have run and is not tried again: by the failure that an upstream answered, where
/// there is one, else by one of the host's own.
async fn give_up<P: Platform>(
    host: &Host<P>,
    ask: &Ask,
    out: &mut CallerSide,
    log: &mut CourseLog<'_, P>,
    mut tries: Tries,
) -> Ended {
    if let Some(answer) = tries.failure.take()
        && let Some(ended) = finish(host, ask, out, log, &mut tries, answer).await
    {
        return ended;
    }
    refuse(host, ask, out, log, tries.last_refusal()).await
}

/// Passes an answer on. Returns nothing when it broke off before the caller got any of it.
async fn finish<P: Platform>(
    host: &Host<P>,
    ask: &Ask,
    out: &mut CallerSide,
    log: &mut CourseLog<'_, P>,
    tries: &mut Tries,
    answer: Box<StartedAnswer>,
) -> Option<Ended> {
    log.course.status = answer.head.status;
    let relayed = answer_relay::relay_answer(host, ask, out, log, tries, answer).await;
    match relayed {
        RelayOutcome::Complete => {
            if log.course.status < 500 {
                crashes::note_completed(host, ask);
            }
            log.outcome = Some("answered");
            Some(Ended::Whole)
        }
        RelayOutcome::Truncated(why) => {
            log.outcome = Some("broken");
            log.course.why = Some(why);
            Some(Ended::Broken)
        }
        RelayOutcome::NotStarted(why) => {
            log.course.why = Some(why);
            None
        }
    }
}

/// Gives a request a final answer of the host's own.
async fn refuse<P: Platform>(
    host: &Host<P>,
    ask: &Ask,
    out: &mut CallerSide,
    log: &mut CourseLog<'_, P>,
    refusal: Refusal,
) -> Ended {
    let left_ms = ask.ends_at.since(host.now());
    let most_ms = Millis(left_ms.0 / COME_BACK_PART);
    let refusal = Refusal {
        retry_after_ms: refusal.retry_after_ms.map(|after| after.min(most_ms)),
        ..refusal
    };
    own_answer(host, ask.facts.id.as_deref(), out, log, &refusal).await
}

/// Writes a final answer of the host's own and notes it.
pub async fn own_answer<P: Platform>(
    host: &Host<P>,
    request_id: Option<&str>,
    out: &mut CallerSide,
    log: &mut CourseLog<'_, P>,
    refusal: &Refusal,
) -> Ended {
    let line = refusal.kind.answer();
    log.course.status = line.status;
    log.course.why = Some(refusal.kind.name());
    log.course.come_back_ms = refusal.retry_after_ms;
    log.outcome = Some(match refusal.ran {
        crate::error::Ran::NotRun => "refused",
        crate::error::Ran::Unknown => "failed",
    });
    let headers = host.platform.own_answer(request_id);
    match out.write_refusal(refusal, headers).await {
        Ok(()) => Ended::Whole,
        Err(_) => Ended::Broken,
    }
}

/// Counts a request in the demand for its model while it is here.
struct Counted<'a, P: Platform> {
    host: &'a Host<P>,
    ask: &'a Ask,
}

impl<'a, P: Platform> Counted<'a, P> {
    fn new(host: &'a Host<P>, ask: &'a Ask) -> Self {
        if let Some(model) = &ask.facts.model
            && let Some(count) = host.demand.borrow_mut().count(model)
        {
            count.asked += 1;
            count.running += 1;
            count.tokens += ask.facts.prompt_tokens;
            count.long += u32::from(is_long(ask.facts.prompt_tokens));
        }
        Self { host, ask }
    }
}

impl<P: Platform> Drop for Counted<'_, P> {
    fn drop(&mut self) {
        if let Some(model) = &self.ask.facts.model
            && let Some(count) = self.host.demand.borrow_mut().count(model)
        {
            count.running = count.running.saturating_sub(1);
        }
    }
}

/// Sends a request to an upstream, waits for the start of its answer, and notes the result.
pub async fn try_upstream<P: Platform>(
    host: &Host<P>,
    ask: &Ask,
    upstream: &Name,
    tries: &Tries,
    log: &mut CourseLog<'_, P>,
    resume_after: Option<&str>,
) -> Sent {
    log.course.note_send(upstream);
    let now = host.now();
    let left_ms = ask.ends_at.since(now);
    let mut headers = ask.head.headers.clone();
    headers.remove_hop_by_hop();
    let facts = SendFacts {
        left_ms,
        upstream,
        identity: &ask.identity,
        fetch_prefix_from: prefix_source(host, ask, upstream),
        resume_after,
    };
    host.platform.address_request(&mut headers, &facts);
    let answer_by = match ask.route.repeat {
        // A silent upstream must leave time for another one.
        Repeat::Idempotent | Repeat::Resumable if tries.runs + 1 < ask.route.attempts => {
            now + Millis(left_ms.0 * 2 / 5)
        }
        _ => ask.ends_at - ANSWER_MARGIN_MS,
    };
    let sent = send::send(host, ask, upstream, headers, answer_by).await;
    log.course.note_result(sent.name());
    host.metrics.count_send(sent.name());
    sent
}
