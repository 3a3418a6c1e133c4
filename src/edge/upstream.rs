//! One attempt at an upstream over HTTP.

use crate::attempt::message::{Attempt, AttemptOutcome, ConnectionChoice, Repeatable, TargetKind};
use crate::attempt::stream_validator::is_complete_own_answer;
use crate::clock::Clock;
use crate::edge::connections::Connections;
use crate::edge::http::{CallError, call_error, within};
use crate::prelude::*;
use std::time::Duration;
use trillium_client::{Conn, Method, ResponseBody};

/// The header by which an upstream says that nothing ran.
pub const RUN_HEADER: &str = "x-mangovale-run";
/// The value of [`RUN_HEADER`] that says so.
pub const NOT_RUN: &str = "not_run";
/// The header with the attempt's identity at the upstream.
pub const REQUEST_HEADER: &str = "x-request-id";
/// The header with an operation's identity at a plain service.
pub const OPERATION_HEADER: &str = "x-operation-id";
/// The header that names the attempt whose answer goes on.
pub const RESUME_REQUEST_HEADER: &str = "x-resume-request";
/// The header with the position at which the answer goes on.
pub const RESUME_FROM_HEADER: &str = "x-resume-from";

const TOO_MANY_REQUESTS: u16 = 429;
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// Statuses that blame the request itself, so that another upstream would say the same.
const REQUEST_FAULTS: [u16; 3] = [400, 413, 422];

/// What is sent to the upstream.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// The HTTP method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// The body.
    pub body: Arc<[u8]>,
    /// The body's type.
    pub content_type: Name,
    /// The request's identity.
    pub request_id: Name,
    /// What it is for.
    pub target: TargetKind,
    /// Whether it may be sent again.
    pub repeatable: Repeatable,
    /// The operation's identity, when the caller gave a key.
    pub operation_id: Option<Name>,
}

/// Where a streamed answer goes on.
#[derive(Clone, Debug)]
pub struct Resume {
    /// The attempt whose answer it is.
    pub attempt_id: Name,
    /// The position.
    pub from: u32,
}

/// The start of an upstream's answer.
#[derive(Debug)]
pub struct Started {
    /// The HTTP status.
    pub status: u16,
    /// The body's type.
    pub content_type: Option<String>,
    /// How long the upstream took to its first byte.
    pub first_byte_ms: Millis,
    /// The rest of the answer.
    pub body: ResponseBody<'static>,
}

impl Started {
    /// Tells whether the answer is a stream of events.
    pub fn is_event_stream(&self) -> bool {
        self.content_type
            .as_deref()
            .is_some_and(|kind| kind.starts_with("text/event-stream"))
    }
}

/// An attempt with what it sends.
#[derive(Clone, Debug)]
pub struct Call {
    /// The attempt.
    pub attempt: Attempt,
    /// What it sends.
    pub outgoing: Outgoing,
    /// The connections to upstreams.
    pub connections: Arc<Connections>,
    /// The clock.
    pub clock: Clock,
}

impl Call {
    /// Returns the attempt's identity at the upstream.
    pub fn attempt_id(&self) -> Name {
        format!("{}-{}", self.outgoing.request_id, self.attempt.number).into()
    }

    /// Returns the time left until the deadline.
    pub fn to_deadline(&self) -> Duration {
        let now = self.clock.now();
        self.attempt.deadline_at.since(now).to_duration()
    }

    /// Sends the request and waits for the start of the answer.
    ///
    /// # Errors
    ///
    /// Returns the attempt's outcome when there is no answer to pass on.
    pub async fn start(&self) -> Result<Started, AttemptOutcome> {
        if self.clock.now() > self.attempt.begin_by {
            let why = "this host was paused before the attempt";
            return Err(AttemptOutcome::NotRun(why.into()));
        }
        self.send(self.attempt.connection, None).await
    }

    /// Asks the upstream to go on with an answer that broke off, over a new connection.
    ///
    /// # Errors
    ///
    /// Returns the outcome when it does not.
    pub async fn resume(&self, from: u32) -> Result<Started, AttemptOutcome> {
        let attempt_id = self.attempt_id();
        let resume = Resume { attempt_id, from };
        let started = self.send(ConnectionChoice::New, Some(resume)).await?;
        if started.status == 200 && started.is_event_stream() {
            return Ok(started);
        }
        let why = format!("{} answered {}", self.attempt.upstream, started.status);
        Err(AttemptOutcome::Unknown(why))
    }

    async fn send(
        &self,
        connection: ConnectionChoice,
        resume: Option<Resume>,
    ) -> Result<Started, AttemptOutcome> {
        let sent_at = self.clock.now();
        let bound = self.attempt.first_byte_ms.to_duration();
        let limit = bound.min(self.to_deadline());
        let conn = self.build(connection, resume);
        match within(limit, conn.into_future()).await {
            None => {
                self.connections.forget(self.attempt.address);
                let upstream = &self.attempt.upstream;
                let why = format!("{upstream} sent no answer within {} ms", limit.as_millis());
                Err(AttemptOutcome::Silent(why))
            }
            Some(Err(error)) => Err(outcome_of(&call_error(&error))),
            Some(Ok(conn)) => self.check_start(conn, self.clock.now().since(sent_at)),
        }
    }

    fn build(&self, connection: ConnectionChoice, resume: Option<Resume>) -> Conn {
        let outgoing = &self.outgoing;
        let url = format!("http://{}{}", self.attempt.address, outgoing.path);
        let client = self.connections.client(self.attempt.address, connection);
        let mut conn = client
            .build_conn(outgoing.method, url)
            .with_request_header("content-type", outgoing.content_type.to_string());
        conn = match resume {
            None => conn.with_request_header(REQUEST_HEADER, self.attempt_id().to_string()),
            Some(resume) => conn
                .with_request_header(RESUME_REQUEST_HEADER, resume.attempt_id.to_string())
                .with_request_header(RESUME_FROM_HEADER, resume.from.to_string()),
        };
        if let Some(operation_id) = &outgoing.operation_id {
            conn = conn.with_request_header(OPERATION_HEADER, operation_id.to_string());
        }
        conn.with_body(outgoing.body.to_vec())
    }

    fn check_start(
        &self,
        mut conn: Conn,
        first_byte_ms: Millis,
    ) -> Result<Started, AttemptOutcome> {
        let status = conn.status().map_or(0, |status| status as u16);
        let headers = conn.response_headers();
        let not_run = headers.get_str(RUN_HEADER) == Some(NOT_RUN);
        if not_run && !REQUEST_FAULTS.contains(&status) {
            let why = format!("{} answered {status}", self.attempt.upstream);
            return Err(match status {
                TOO_MANY_REQUESTS => AttemptOutcome::Busy(why),
                _ => AttemptOutcome::NotRun(why),
            });
        }
        let content_type = headers.get_str("content-type").map(str::to_owned);
        let Some(body) = conn.take_response_body() else {
            return Err(AttemptOutcome::Unknown("the answer has no body".into()));
        };
        Ok(Started {
            status,
            content_type,
            first_byte_ms,
            body,
        })
    }

    /// Reads a whole answer.
    ///
    /// # Errors
    ///
    /// Returns the attempt's outcome when the answer is not whole or not this attempt's.
    pub async fn read_whole(
        &self,
        started: Started,
        most_bytes: u64,
    ) -> Result<Vec<u8>, AttemptOutcome> {
        let body = started.body.with_max_len(most_bytes);
        let unknown = |why: String| Err(AttemptOutcome::Unknown(why));
        let bytes = match within(self.to_deadline(), body.read_bytes()).await {
            None => return unknown("the answer stopped half-way".into()),
            Some(Err(error)) => return unknown(error.to_string()),
            Some(Ok(bytes)) => bytes,
        };
        let is_chat = self.outgoing.target == TargetKind::Model;
        if is_chat && !is_complete_own_answer(&self.attempt_id(), &bytes) {
            return unknown("the answer is not whole, or another request's".into());
        }
        Ok(bytes)
    }

    /// Tells an engine that nobody waits for the attempt's answer any more.
    pub fn cancel(&self) {
        if self.outgoing.target != TargetKind::Model {
            return;
        }
        let address = self.attempt.address;
        let url = format!("http://{address}/cancel/{}", self.attempt_id());
        let client = self.connections.client(address, ConnectionChoice::New);
        smol::spawn(async move {
            let conn = client.build_conn(Method::Post, url);
            within(CANCEL_TIMEOUT, conn.into_future()).await;
        })
        .detach();
    }
}

fn outcome_of(error: &CallError) -> AttemptOutcome {
    match error {
        CallError::NotConnected { .. } => AttemptOutcome::NotRun(error.to_string()),
        CallError::TimedOut { .. } | CallError::Broken { .. } | CallError::Malformed { .. } => {
            AttemptOutcome::Unknown(error.to_string())
        }
    }
}
