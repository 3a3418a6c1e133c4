//! Waits for the start of an upstream's answer for as long as this is worth it.

use crate::desired::Repeat;
use crate::entry::active_request::ActiveRequest;
use crate::entry::forward::ANSWER_MARGIN_MS;
use crate::entry::host::Host;
use crate::entry::platform::Platform;
use crate::entry::sending::attempts::Attempts;
use crate::entry::sending::choice::choose;
use crate::entry::sending::exchange::Exchanged;
use crate::entry::sending::prediction::{Observation, Prediction, heard_at, predict};
use crate::http1::ReadError;
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
    /// What is predicted for the first event, at an engine.
    prediction: Option<Prediction>,
    /// The attempts after this one, if the engine is left when it is silent or another one is clearly
    /// faster.
    other_attempts: Option<Attempts>,
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
        let prediction = predict(host, request, upstream);
        let is_engine_stream = prediction.is_some() && request.may_be_taken_up();
        let at_latest = match may_run_again && !is_engine_stream {
            true => now + Millis(request.deadline_at.since(now).0 * 2 / 5),
            false => request.deadline_at - ANSWER_MARGIN_MS,
        };
        let may_leave = may_run_again && is_engine_stream;
        Self {
            at_latest,
            prediction,
            other_attempts: may_leave.then(|| attempts.after(upstream)),
        }
    }
}

/// Waits for the start of an answer.
///
/// # Errors
///
/// Returns why the wait ended without one.
pub async fn wait_for_answer<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    upstream: &Lifetime,
    limit: &AnswerLimit,
    answer: impl Future<Output = Result<Exchanged, ReadError>>,
) -> Result<Result<Exchanged, ReadError>, Unanswered> {
    let mut answer = pin!(answer);
    let mut observation = Observation::new(host, request, upstream, limit.prediction);
    let sent_at = host.now();
    loop {
        let left_ms = limit.at_latest.since(host.now());
        let wait_ms = match &limit.other_attempts {
            Some(_) => left_ms.min(CHECK_MS),
            None => left_ms,
        };
        if let Some(answer) = with_timeout(wait_ms, &mut answer).await {
            let status = answer.as_ref().ok().map(|answer| answer.head.status);
            observation.end(status);
            return Ok(answer);
        }
        if host.now() >= limit.at_latest {
            return Err(Unanswered::TimedOut);
        }
        if let (Some(attempts), Some(prediction)) = (&limit.other_attempts, limit.prediction) {
            let awaited = AwaitedAnswer {
                sent_at,
                predicted_ms: prediction.first_event_ms,
                caller_leaves_at: request.first_byte_deadline_at,
            };
            check(host, request, upstream, attempts, awaited)?;
        }
    }
}

/// Checks whether a request waits on for its engine's answer. Another engine is compared only while
/// this host knows its load and the request may be repeated.
fn check<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    upstream: &Lifetime,
    other_attempts: &Attempts,
    awaited: AwaitedAnswer,
) -> Result<(), Unanswered> {
    let now = host.now();
    if awaited.is_silent(now, heard_at(host, upstream)) {
        return Err(Unanswered::Silent);
    }
    if !host.knows_load_of_others(now) || !other_attempts.could_repeat(host, request) {
        return Ok(());
    }
    let other = choose(host, request, other_attempts);
    let other = other.and_then(|other| predict(host, request, &other));
    match other {
        Some(other) if awaited.is_clearly_faster(now, other.first_event_ms) => {
            Err(Unanswered::FasterElsewhere)
        }
        _ => Ok(()),
    }
}
