//! Sends one attempt of a request to an upstream over HTTP.

use crate::attempt::message::{Attempt, AttemptOutcome, Repeatable, TargetKind};
use crate::attempt::stream_validator::is_complete_own_answer;
use crate::clock::Clock;
use crate::daemon::event::Event;
use crate::edge::event_loop_handle::EventLoopHandle;
use crate::edge::exchange::{Answer, AnswerBody, Request, exchange};
use crate::edge::http::{CallError, with_timeout};
use crate::event_stream::BodyKind;
use crate::http1::Target;
use crate::prelude::*;
use crate::upstreams::Notice;
use std::time::Duration;
use trillium::{Method, Status};

/// The answer header by which an upstream says that it ran nothing of the request.
pub const RUN_HEADER: &str = "x-mangovale-run";
/// The value of [`RUN_HEADER`] for a request of which nothing was run.
pub const NOT_RUN: &str = "not_run";
/// The answer header by which an upstream says that it is leaving, with the value `1`.
pub const LEAVING_HEADER: &str = "x-mangovale-leaving";
/// The request header with the id of the attempt.
pub const ATTEMPT_ID_HEADER: &str = "x-request-id";
/// The request header with the id of an operation that runs at most once, for plain services.
pub const OPERATION_HEADER: &str = "x-operation-id";
/// The request header with the id of the attempt whose answer is to be resumed.
pub const RESUME_ATTEMPT_HEADER: &str = "x-resume-request";
/// The request header with the index of the event from which the answer is to be resumed.
pub const RESUME_FROM_HEADER: &str = "x-resume-from";

const TOO_MANY_REQUESTS: u16 = 429;
const UNAVAILABLE: u16 = 503;
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// Statuses of faults in the request itself, for which another upstream would answer the same.
const REQUEST_FAULTS: [u16; 3] = [400, 413, 422];

/// The request that each attempt sends to its upstream.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// The HTTP method.
    pub method: Method,
    /// The path and query.
    pub path: Target,
    /// The request body.
    pub body: Arc<[u8]>,
    /// The content type of the request body.
    pub content_type: Name,
    /// The request's id, unique among all hosts.
    pub request_id: Name,
    /// Whether the request is for a model or for a plain service.
    pub target: TargetKind,
    /// Whether the request may be sent again after it may have run.
    pub repeatable: Repeatable,
    /// The id of the operation: the caller's idempotency key, if any.
    pub operation_id: Option<Name>,
}

/// From where a streamed answer is to be resumed.
#[derive(Clone, Debug)]
pub struct ResumePoint {
    /// The id of the attempt whose answer is resumed.
    pub attempt_id: Name,
    /// The index of the first event to send.
    pub from: u32,
}

/// The start of an upstream's answer, whose body is not read yet.
#[derive(Debug)]
pub struct AnswerStart {
    /// The HTTP status.
    pub status: u16,
    /// The content type of the answer's body.
    pub content_type: Option<String>,
    /// What the head says about the body.
    pub kind: BodyKind,
    /// The time from sending the request to the head of the answer.
    pub first_byte_ms: Millis,
    /// The body, still to be read.
    pub body: AnswerBody,
}

impl AnswerStart {
    /// Returns whether the answer is a stream of server-sent events.
    pub fn is_event_stream(&self) -> bool {
        self.kind.is_event_stream == Some(true)
    }
}

/// An attempt at an upstream, with the request that it sends.
#[derive(Clone, Debug)]
pub struct UpstreamCall {
    /// The attempt, as the event loop decided it.
    pub attempt: Attempt,
    /// The request that it sends.
    pub outgoing: OutgoingRequest,
    /// The event loop, which learns what answers state.
    pub event_loop: Arc<EventLoopHandle>,
    /// The clock by which deadlines are measured.
    pub clock: Clock,
}

impl UpstreamCall {
    /// Returns the id by which the upstream knows the attempt: request id and attempt number.
    pub fn attempt_id(&self) -> Name {
        format!("{}-{}", self.outgoing.request_id, self.attempt.number).into()
    }

    /// Returns the time left until the deadline, or zero if it has passed.
    pub fn time_to_deadline(&self) -> Duration {
        let now = self.clock.now();
        self.attempt.deadline_at.since(now).to_duration()
    }

    /// Sends the request and waits for the start of the answer.
    ///
    /// # Errors
    ///
    /// Returns the outcome of the attempt if there is no answer to relay.
    pub async fn start(&self) -> Result<AnswerStart, AttemptOutcome> {
        if self.clock.now() > self.attempt.begin_by {
            let why = "this host was paused before the attempt";
            return Err(AttemptOutcome::NotRun(why.into()));
        }
        self.send(None).await
    }

    /// Asks the upstream to send an interrupted answer from event `from` on.
    ///
    /// # Errors
    ///
    /// Returns the outcome of the attempt if the upstream does not resume the answer.
    pub async fn resume(&self, from: u32) -> Result<AnswerStart, AttemptOutcome> {
        let attempt_id = self.attempt_id();
        let resume = ResumePoint { attempt_id, from };
        let started = self.send(Some(resume)).await?;
        if started.status == 200 && started.is_event_stream() {
            return Ok(started);
        }
        let why = format!("{} answered {}", self.attempt.upstream, started.status);
        Err(AttemptOutcome::Unknown(why))
    }

    async fn send(&self, resume: Option<ResumePoint>) -> Result<AnswerStart, AttemptOutcome> {
        let sent_at = self.clock.now();
        let first_byte_timeout = self.attempt.first_byte_ms.to_duration();
        let timeout = first_byte_timeout.min(self.time_to_deadline());
        match with_timeout(timeout, self.exchange(resume)).await {
            None => {
                let upstream = &self.attempt.upstream;
                let why = format!(
                    "{upstream} sent no answer within {} ms",
                    timeout.as_millis()
                );
                Err(AttemptOutcome::Silent(why))
            }
            Some(Err(error)) => Err(outcome_of_error(&error)),
            Some(Ok(answer)) => {
                self.report_notice(read_notice(&answer)).await;
                self.check_answer_start(answer, self.clock.now().since(sent_at))
            }
        }
    }

    /// Tells the event loop what an answer states about further requests, if anything.
    async fn report_notice(&self, notice: Notice) {
        if notice == Notice::default() {
            return;
        }
        let stated = Event::UpstreamStated {
            upstream: self.attempt.upstream.clone(),
            address: self.attempt.address,
            notice,
        };
        self.event_loop.send(stated).await;
    }

    async fn exchange(&self, resume: Option<ResumePoint>) -> Result<Answer, CallError> {
        let outgoing = &self.outgoing;
        let authority = self.attempt.address.to_string();
        let mut headers = vec![("Content-Type", outgoing.content_type.to_string())];
        match resume {
            None => headers.push((ATTEMPT_ID_HEADER, self.attempt_id().to_string())),
            Some(resume) => headers.extend([
                (RESUME_ATTEMPT_HEADER, resume.attempt_id.to_string()),
                (RESUME_FROM_HEADER, resume.from.to_string()),
            ]),
        }
        if let Some(operation_id) = &outgoing.operation_id {
            headers.push((OPERATION_HEADER, operation_id.to_string()));
        }
        let request = Request {
            method: outgoing.method,
            authority: &authority,
            target: &outgoing.path,
            headers,
            body: &outgoing.body,
        };
        exchange(&request).await
    }

    fn check_answer_start(
        &self,
        answer: Answer,
        first_byte_ms: Millis,
    ) -> Result<AnswerStart, AttemptOutcome> {
        let Answer { head, body } = answer;
        let (status, headers) = (head.status, &head.headers);
        let not_run = headers.text(RUN_HEADER) == Some(NOT_RUN);
        if not_run && !REQUEST_FAULTS.contains(&status) {
            let why = format!("{} answered {status}", self.attempt.upstream);
            return Err(match status {
                TOO_MANY_REQUESTS => AttemptOutcome::Busy(why),
                _ => AttemptOutcome::NotRun(why),
            });
        }
        if Status::try_from(status).is_err() {
            let why = format!("{} answered {status}", self.attempt.upstream);
            return Err(AttemptOutcome::Unknown(why));
        }
        let content_type = headers.text("content-type").map(str::to_owned);
        let kind = BodyKind::new(content_type.as_deref(), head.framing);
        Ok(AnswerStart {
            status,
            content_type,
            kind,
            first_byte_ms,
            body,
        })
    }

    /// Reads the body of an answer that is not streamed, of up to `max_bytes`.
    ///
    /// # Errors
    ///
    /// Returns the outcome of the attempt if the answer is incomplete or belongs to another
    /// attempt.
    pub async fn read_complete(
        &self,
        started: AnswerStart,
        max_bytes: u64,
    ) -> Result<Vec<u8>, AttemptOutcome> {
        let AnswerStart { kind, body, .. } = started;
        let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
        let body = body.read_to_end(max_bytes);
        let unknown = |why: String| Err(AttemptOutcome::Unknown(why));
        let bytes = match with_timeout(self.time_to_deadline(), body).await {
            None => return unknown("the answer stopped half-way".into()),
            Some(Err(error)) => return unknown(error.to_string()),
            Some(Ok(bytes)) => bytes,
        };
        if kind.is_event_stream == Some(true)
            && let Some(why) = kind.early_end_of_whole(&bytes)
        {
            return unknown(why.into());
        }
        let is_chat = self.outgoing.target == TargetKind::Model;
        if is_chat && !is_complete_own_answer(&self.attempt_id(), &bytes) {
            return unknown("the answer is not whole, or another request's".into());
        }
        Ok(bytes)
    }

    /// Tells an engine, in the background, to cancel the attempt. Does nothing for a plain service.
    pub fn cancel(&self) {
        if self.outgoing.target != TargetKind::Model {
            return;
        }
        let authority = self.attempt.address.to_string();
        let target = Target::new("/cancel").segment(&self.attempt_id());
        smol::spawn(async move {
            let request = Request {
                method: Method::Post,
                authority: &authority,
                target: &target,
                headers: Vec::new(),
                body: &[],
            };
            with_timeout(CANCEL_TIMEOUT, exchange(&request)).await;
        })
        .detach();
    }
}

/// Reads what an upstream's answer states about further requests.
fn read_notice(answer: &Answer) -> Notice {
    let headers = &answer.head.headers;
    let rest_s = headers
        .text("retry-after")
        .filter(|_| answer.head.status == UNAVAILABLE);
    Notice {
        is_leaving: headers.text(LEAVING_HEADER) == Some("1"),
        rest_ms: rest_s.and_then(Notice::parse_rest),
    }
}

fn outcome_of_error(error: &CallError) -> AttemptOutcome {
    match error {
        CallError::NotConnected { .. } | CallError::Invalid { .. } => {
            AttemptOutcome::NotRun(error.to_string())
        }
        CallError::TimedOut { .. } | CallError::Broken { .. } | CallError::Malformed { .. } => {
            AttemptOutcome::Unknown(error.to_string())
        }
    }
}
