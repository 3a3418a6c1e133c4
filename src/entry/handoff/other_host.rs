//! Leaves a request that no upstream in reach could serve to another host, or gives it back to the
//! host that handed it to this one.

use crate::entry::active_request::ActiveRequest;
use crate::entry::answer::caller_writer::CallerWriter;
use crate::entry::forward;
use crate::entry::handoff::{HandedOff, Outgoing, hand_off};
use crate::entry::host::Host;
use crate::entry::platform::Platform;
use crate::entry::request_log::{AnswerEnd, RequestLog};
use crate::entry::sending::attempts::{Attempts, unreachable};
use crate::error::Ran;
use crate::prelude::*;

/// How leaving a request to another host ended.
pub enum LeftToAnother {
    /// The caller, or the host that handed the request to this one, has its answer.
    Ended(AnswerEnd),
    /// The request may have run, and has no answer.
    MayHaveRun,
    /// The request has not run; with the refusal unless this host goes on with it.
    NotRun(Option<Refusal>),
}

/// Hands a request on that no upstream in reach could serve, or gives it back to the host that
/// handed it to this one.
pub async fn leave_to_another_host<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    out: &mut CallerWriter,
    log: &mut RequestLog<'_, P>,
    attempts: &mut Attempts,
    wanted: &Name,
) -> LeftToAnother {
    let Some(handoffs) = request.handoffs() else {
        return give_back(host.now(), out, log, attempts).await;
    };
    let outgoing = Outgoing {
        request,
        handoffs,
        wanted,
        attempts,
        resume_after: None,
    };
    match hand_off(host, &outgoing, log).await {
        HandedOff::Answered(answer) => {
            let from = answer.upstream.id.clone();
            match forward::finish(host, request, out, log, attempts, answer).await {
                Some(ended) => LeftToAnother::Ended(ended),
                None => {
                    attempts.note_may_have_run(from);
                    LeftToAnother::MayHaveRun
                }
            }
        }
        HandedOff::Refused(refusal) => match refusal.ran {
            Ran::NotRun => LeftToAnother::NotRun(Some(refusal)),
            Ran::Unknown => {
                LeftToAnother::Ended(forward::refuse(host, request, out, log, refusal).await)
            }
        },
        HandedOff::MayHaveRun(to) => {
            attempts.note_may_have_run(to);
            LeftToAnother::MayHaveRun
        }
        HandedOff::Reached => {
            attempts.clear_unreached();
            LeftToAnother::NotRun(None)
        }
        HandedOff::Declined => {
            attempts.handoff_declined_at = Some(host.now());
            let is_load_announced = request
                .facts
                .model
                .as_ref()
                .is_some_and(|model| host.orderer_state.borrow().ready_at(model).is_some());
            LeftToAnother::NotRun((!is_load_announced).then(unreachable))
        }
    }
}

/// Tells the host that handed a request to this one that no upstream is in reach here either.
async fn give_back<P: Platform>(
    now: Millis,
    out: &mut CallerWriter,
    log: &mut RequestLog<'_, P>,
    attempts: &mut Attempts,
) -> LeftToAnother {
    attempts.handoff_declined_at = Some(now);
    if attempts.runs > 0 {
        return LeftToAnother::MayHaveRun;
    }
    log.outcome = Some("refused");
    log.summary.why = Some(ErrorKind::Unreachable.name());
    LeftToAnother::Ended(match out.give_back().await {
        Ok(()) => AnswerEnd::Complete,
        Err(_) => AnswerEnd::Broken,
    })
}
