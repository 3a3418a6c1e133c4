//! One attempt at an upstream over HTTP.

use crate::attempt::message::{Attempt, AttemptOutcome};
use crate::clock::Clock;
use crate::edge::http::{CallError, call_error, within};
use smol::channel::Sender;
use smol::io::AsyncReadExt;
use std::sync::Arc;
use std::time::Duration;
use trillium_client::{Client, Conn, ResponseBody};

/// How long a started answer may pause before it counts as broken.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(20);
/// The header by which an upstream says that nothing ran.
pub const RUN_HEADER: &str = "x-mangovale-run";
/// The header with the request's identity at the upstream.
pub const REQUEST_HEADER: &str = "x-request-id";
/// The header with an operation's identity at a plain service.
pub const OPERATION_HEADER: &str = "x-operation-id";

const NOT_RUN: &str = "not_run";
const READ_BUFFER_BYTES: usize = 16 * 1024;
const END_OF_STREAM: &[u8] = b"data: [DONE]";

/// What is sent to the upstream.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// The HTTP method.
    pub method: trillium_client::Method,
    /// The path with its query.
    pub path: String,
    /// The body.
    pub body: Arc<[u8]>,
    /// The body's type.
    pub content_type: Arc<str>,
    /// The request's identity.
    pub request_id: Arc<str>,
    /// The operation's identity, when the caller gave a key.
    pub operation_id: Option<Arc<str>>,
}

/// The start of an upstream's answer.
#[derive(Debug)]
pub struct Started {
    /// The HTTP status.
    pub status: u16,
    /// The body's type.
    pub content_type: Option<String>,
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

/// Sends the request and waits for the start of the answer.
///
/// # Errors
///
/// Returns the attempt's outcome when there is no answer to pass on.
pub async fn start(
    client: &Client,
    clock: &Clock,
    attempt: &Attempt,
    outgoing: &Outgoing,
) -> Result<Started, AttemptOutcome> {
    let now = clock.now();
    if now > attempt.begin_by {
        return Err(AttemptOutcome::NotRun(
            "this host was paused before the attempt".into(),
        ));
    }
    let to_deadline_ms = attempt.deadline_at.since(now);
    let limit = attempt.first_byte_ms.min(to_deadline_ms).to_duration();
    let conn = build(client, attempt, outgoing);
    match within(limit, conn.into_future()).await {
        None => Err(AttemptOutcome::Unknown(format!(
            "{} sent no answer within {} ms",
            attempt.upstream,
            limit.as_millis()
        ))),
        Some(Err(error)) => Err(outcome_of(&call_error(&error))),
        Some(Ok(conn)) => check_start(attempt, conn),
    }
}

fn build(client: &Client, attempt: &Attempt, outgoing: &Outgoing) -> Conn {
    let url = format!("http://{}{}", attempt.address, outgoing.path);
    let mut conn = client
        .build_conn(outgoing.method, url)
        .with_request_header("content-type", outgoing.content_type.to_string())
        .with_request_header(REQUEST_HEADER, outgoing.request_id.to_string());
    if let Some(operation_id) = &outgoing.operation_id {
        conn = conn.with_request_header(OPERATION_HEADER, operation_id.to_string());
    }
    conn.with_body(outgoing.body.to_vec())
}

fn outcome_of(error: &CallError) -> AttemptOutcome {
    match error {
        CallError::NotConnected { .. } => AttemptOutcome::NotRun(error.to_string()),
        CallError::TimedOut { .. } | CallError::Broken { .. } | CallError::Malformed { .. } => {
            AttemptOutcome::Unknown(error.to_string())
        }
    }
}

fn check_start(attempt: &Attempt, mut conn: Conn) -> Result<Started, AttemptOutcome> {
    let status = conn.status().map_or(0, |status| status as u16);
    let headers = conn.response_headers();
    if headers.get_str(RUN_HEADER) == Some(NOT_RUN) {
        return Err(AttemptOutcome::NotRun(format!(
            "{} answered {status}",
            attempt.upstream
        )));
    }
    let content_type = headers.get_str("content-type").map(str::to_owned);
    let Some(body) = conn.take_response_body() else {
        return Err(AttemptOutcome::Unknown("the answer has no body".into()));
    };
    Ok(Started {
        status,
        content_type,
        body,
    })
}

/// Reads a whole answer.
///
/// # Errors
///
/// Returns the attempt's outcome when the answer is not whole.
pub async fn read_whole(
    started: Started,
    most_bytes: u64,
    limit: Duration,
) -> Result<Vec<u8>, AttemptOutcome> {
    let body = started.body.with_max_len(most_bytes);
    match within(limit, body.read_bytes()).await {
        None => Err(AttemptOutcome::Unknown(
            "the answer stopped half-way".into(),
        )),
        Some(Err(error)) => Err(AttemptOutcome::Unknown(error.to_string())),
        Some(Ok(bytes)) => Ok(bytes),
    }
}

/// Passes a stream of events on until its end mark.
pub async fn pass_stream(started: Started, caller: &Sender<Vec<u8>>) -> AttemptOutcome {
    let mut body = started.body;
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    let mut tail = Vec::new();
    loop {
        let count = match within(SILENCE_TIMEOUT, body.read(&mut buffer)).await {
            None => return AttemptOutcome::Broken("the upstream went silent".into()),
            Some(Err(error)) => return AttemptOutcome::Broken(error.to_string()),
            Some(Ok(count)) => count,
        };
        if count == 0 {
            break;
        }
        note_tail(&mut tail, &buffer[..count]);
        if caller.send(buffer[..count].to_vec()).await.is_err() {
            return AttemptOutcome::CallerGone;
        }
    }
    if ends_whole(&tail) {
        AttemptOutcome::Answered
    } else {
        AttemptOutcome::Broken("the upstream ended the stream before its end mark".into())
    }
}

fn note_tail(tail: &mut Vec<u8>, bytes: &[u8]) {
    const KEPT_BYTES: usize = 64;
    tail.extend_from_slice(bytes);
    let excess = tail.len().saturating_sub(KEPT_BYTES);
    tail.drain(..excess);
}

fn ends_whole(tail: &[u8]) -> bool {
    tail.trim_ascii_end().ends_with(END_OF_STREAM)
}
