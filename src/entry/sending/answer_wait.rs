//! Waits for the start of an upstream's answer for as long as this is worth it.

use crate::desired::Repeat;
use crate::entry::active_request::ActiveRequest;
use crate::entry::forward::ANSWER_MARGIN_MS;
use crate::entry::host::Host;
use crate::entry::platform::Platform;
use crate::entry::sending::attempts::Attempts;
use crate::entry::sending::choice::choose;
use crate::entry::sending::prediction::predict;
use crate::http1::client::with_timeout;
use crate::prelude::*;
use crate::routing::answer_wait::AwaitedAnswer;
use crate::upstreams::Lifetime;
use std::pin::pin;

/// How often a request that waits for an engine's answer checks whether to wait on.
const CHECK_MS: Millis = Millis(50);

/// How long a send waits for the start of the answer.
pub struct AnswerLimit {
    /// When the wait ends in any case.
    pub at_latest: Millis,
    /// What ends the wait sooner; none if nothing does.
    engine: Option<EngineWait>,
}

/// The wait for an engine that is left when it is silent or another one is clearly faster.
struct EngineWait {
    predicted_ms: Millis,
    /// The engines that are not tried again, this one included.
    other_attempts: Attempts,
}

/// Why a send ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unanswered {
    /// The time for the answer is over.
    TimedOut,
    /// The engine shows no sign of life.
    Silent,
    /// Another engine is predicted to answer clearly sooner.
    FasterElsewhere,
}

impl Unanswered {
    /// Returns the reason for log lines.
    pub fn why(self) -> &'static str {
        match self {
            Self::TimedOut => "no answer in time",
            Self::Silent => "no sign of life in the predicted time",
            Self::FasterElsewhere => "another engine is predicted to be faster",
        }
    }
}

impl AnswerLimit {
    /// Returns the limit for the next send of a request. A resumable stream waits for its engine as
    /// long as that is alive; other requests that may be sent again leave time for another upstream.
    pub fn of<P: Platform>(
        host: &Host<P>,
        request: &ActiveRequest,
        upstream: &Name,
        attempts: &Attempts,
    ) -> Self {
        let now = host.now();
        let may_run_again = match request.route.repeat {
            Repeat::Idempotent | Repeat::Resumable => attempts.runs + 1 < request.route.attempts,
            Repeat::Once => false,
        };
        let at_deadline = |engine| Self {
            at_latest: request.deadline_at - ANSWER_MARGIN_MS,
            engine,
        };
        if !may_run_again {
            return at_deadline(None);
        }
        let may_wait = request.at_engine && request.may_be_taken_up();
        let prediction = may_wait.then(|| predict(host, request, upstream)).flatten();
        match prediction {
            Some(prediction) => at_deadline(Some(EngineWait {
                predicted_ms: prediction.first_event_ms,
                other_attempts: attempts.excluding(upstream),
            })),
            None => Self {
                at_latest: now + Millis(request.deadline_at.since(now).0 * 2 / 5),
                engine: None,
            },
        }
    }
}

/// Waits for the start of an answer.
///
/// # Errors
///
/// Returns why the wait ended without one.
pub async fn wait_for_answer<P: Platform, T>(
    host: &Host<P>,
    request: &ActiveRequest,
    upstream: &Lifetime,
    limit: &AnswerLimit,
    answer: impl Future<Output = T>,
) -> Result<T, Unanswered> {
    let mut answer = pin!(answer);
    let sent_at = host.now();
    loop {
        let now = host.now();
        let left_ms = limit.at_latest.since(now);
        let wait_ms = match &limit.engine {
            Some(_) => left_ms.min(CHECK_MS),
            None => left_ms,
        };
        if let Some(answer) = with_timeout(wait_ms, &mut answer).await {
            return Ok(answer);
        }
        let now = host.now();
        if now >= limit.at_latest {
            return Err(Unanswered::TimedOut);
        }
        if let Some(engine) = &limit.engine {
            let awaited = AwaitedAnswer {
                sent_at,
                predicted_ms: engine.predicted_ms,
                caller_leaves_at: request.first_byte_deadline_at,
            };
            check(host, request, upstream, engine, awaited)?;
        }
    }
}

/// Checks whether a request waits on for its engine's answer.
fn check<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    upstream: &Lifetime,
    engine: &EngineWait,
    awaited: AwaitedAnswer,
) -> Result<(), Unanswered> {
    let now = host.now();
    let heard_at = host
        .upstreams
        .borrow()
        .get_lifetime(upstream)
        .and_then(|known| known.heard_at);
    if awaited.is_silent(now, heard_at) {
        return Err(Unanswered::Silent);
    }
    let other = choose(host, request, &engine.other_attempts);
    let other = other.and_then(|other| predict(host, request, &other));
    match other {
        Some(other) if awaited.is_clearly_faster(now, other.first_event_ms) => {
            Err(Unanswered::FasterElsewhere)
        }
        _ => Ok(()),
    }
}
