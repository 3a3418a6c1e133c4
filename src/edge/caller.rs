//! The HTTP interface for callers.
//!
//! `POST /v1/chat/completions` takes requests for models, and any method on `/services/{name}/...`
//! those for plain services. `GET /v1/entry?model=NAME` returns the hosts to use for a model, and
//! `GET /healthz` whether this host serves.

use crate::attempt::message::{AttemptOutcome, Repeatable, TargetKind};
use crate::clock::Clock;
use crate::daemon::event::Event;
use crate::daemon::metrics::Metrics;
use crate::edge::answer::{error_body, json_answer, refuse, upstream_answer};
use crate::edge::event_loop_handle::{EventLoopHandle, Instruction, OpenRequest};
use crate::edge::pipe::{ChunkWriter, pipe};
use crate::edge::request_reader::{CallerRequest, bearer_token_sha256, read_body, request_head};
use crate::edge::stream::{CALLER_STALL_TIMEOUT, relay_stream};
use crate::edge::upstream::{AnswerStart, OutgoingRequest, UpstreamCall};
use crate::http1::Target;
use crate::http1::head::query_value;
use crate::idempotency::message::KeptAnswer;
use crate::prelude::*;
use crate::settings::BoundSettings;
use percent_encoding::percent_decode_str;
use serde_json::json;
use std::time::Duration;
use trillium::{Body, Conn, Method};

const CHAT_PATH: &str = "/v1/chat/completions";
const ENTRY_PATH: &str = "/v1/entry";
const SERVICES_PREFIX: &str = "/services/";
/// The longest time for the caller of a broken stream to read the error.
const ERROR_EVENT_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves the HTTP interface for callers.
#[derive(Debug)]
pub struct CallerServer {
    /// The handle of the event loop.
    pub event_loop: Arc<EventLoopHandle>,
    /// The clock of the process.
    pub clock: Clock,
    /// The incarnation of this process, which begins every request id.
    pub incarnation: Incarnation,
    /// The limits on requests and answers, from the settings.
    pub bounds: BoundSettings,
    /// The metrics in which requests are counted.
    pub metrics: Metrics,
}

/// When a request arrived, and whether it is for a model or a plain service.
#[derive(Clone, Copy)]
struct Arrival {
    at: Millis,
    target: TargetKind,
}

#[derive(Deserialize)]
struct ChatHead {
    model: Name,
    #[serde(default)]
    stream: bool,
}

/// An upstream's answer that can be given to the caller.
enum Answer {
    Stream(AnswerStart),
    Complete(KeptAnswer),
}

/// Returns the service that a path below [`SERVICES_PREFIX`] names, and the target at its upstreams.
///
/// # Errors
///
/// Returns a refusal if the name is no encoded text, or the rest is no request target.
pub(super) fn service_target(path: &str, query: &str) -> Result<(Name, Target), Refusal> {
    let refusal = |why: String| Refusal::new(ErrorKind::BadRequest, why);
    let rest = path.strip_prefix(SERVICES_PREFIX).unwrap_or_default();
    let (name, rest) = rest.split_once('/').unwrap_or((rest, ""));
    let name = percent_decode_str(name).decode_utf8();
    let name = name.map_err(|_| refusal("the name of the service is no UTF-8".into()))?;
    let mark = if query.is_empty() { "" } else { "?" };
    let target = Target::from_received(&format!("/{rest}{mark}{query}"));
    let target = target.map_err(|error| refusal(error.to_string()))?;
    Ok(((&*name).into(), target))
}

impl CallerServer {
    /// Answers one HTTP request.
    pub async fn handle(self: Arc<Self>, conn: Conn) -> Conn {
        let path = conn.path().to_string();
        match (conn.method(), path.as_str()) {
            (Method::Get, "/healthz") => self.health(conn).await,
            (Method::Get, ENTRY_PATH) => self.entry(conn).await,
            (Method::Post, CHAT_PATH) => self.chat(conn).await,
            (_, path) if path.starts_with(SERVICES_PREFIX) => self.service(conn, path).await,
            _ => refuse(conn, &Refusal::new(ErrorKind::NotFound, "no such path"), ""),
        }
    }

    async fn health(&self, conn: Conn) -> Conn {
        let health = self
            .event_loop
            .query(crate::edge::event_loop_handle::Query::Health)
            .await;
        let serving = health.as_deref() == Some("serving");
        let status = if serving { 200 } else { 503 };
        let state = health.unwrap_or_else(|| "stopped".to_string());
        json_answer(conn, status, &json!({ "state": state }))
    }

    async fn entry(&self, conn: Conn) -> Conn {
        let key_sha256 = match bearer_token_sha256(&conn) {
            Ok(key) => key,
            Err(refusal) => return refuse(conn, &refusal, ""),
        };
        let Some(name) = query_value(conn.querystring(), "model") else {
            let refusal = Refusal::new(ErrorKind::BadRequest, "the query takes model=NAME");
            return refuse(conn, &refusal, "");
        };
        match self.event_loop.ask_entry(key_sha256, (&*name).into()).await {
            Ok(answer) => json_answer(conn, 200, &answer),
            Err(refusal) => refuse(conn, &refusal, ""),
        }
    }

    async fn chat(&self, mut conn: Conn) -> Conn {
        let body = match read_body(&mut conn, self.bounds.body_bytes).await {
            Ok(body) => body,
            Err(refusal) => return self.refuse_early(conn, &refusal, ""),
        };
        let head: ChatHead = match serde_json::from_slice(&body) {
            Ok(head) => head,
            Err(error) => {
                let message = format!("the body is not a chat request: {error}");
                let refusal = Refusal::new(ErrorKind::BadRequest, message);
                return self.refuse_early(conn, &refusal, "");
            }
        };
        let request = CallerRequest {
            name: head.model,
            path: Target::new(CHAT_PATH),
            body,
            streamed: head.stream,
        };
        self.serve(conn, TargetKind::Model, request).await
    }

    async fn service(&self, mut conn: Conn, path: &str) -> Conn {
        let (name, upstream_path) = match service_target(path, conn.querystring()) {
            Ok(target) => target,
            Err(refusal) => return self.refuse_early(conn, &refusal, ""),
        };
        let body = match read_body(&mut conn, self.bounds.body_bytes).await {
            Ok(body) => body,
            Err(refusal) => return self.refuse_early(conn, &refusal, ""),
        };
        let request = CallerRequest {
            name,
            path: upstream_path,
            body,
            streamed: false,
        };
        self.serve(conn, TargetKind::Service, request).await
    }

    async fn serve(&self, conn: Conn, target: TargetKind, request: CallerRequest) -> Conn {
        let open = self.event_loop.open_request();
        let request_id: Name = format!("{}-{}", self.incarnation, open.id).into();
        let head = match request_head(&conn, open.id, target, &request) {
            Ok(head) => head,
            Err(refusal) => return self.refuse_early(conn, &refusal, &request_id),
        };
        let outgoing = OutgoingRequest {
            method: conn.method(),
            path: request.path,
            body: request.body.into(),
            content_type: conn
                .request_headers()
                .get_str("content-type")
                .unwrap_or("application/json")
                .into(),
            request_id,
            target,
            repeatable: head.repeatable,
            operation_id: head.idempotency_key.clone(),
        };
        self.event_loop.send(Event::RequestArrived { head }).await;
        let arrival = Arrival {
            at: self.clock.now(),
            target,
        };
        self.follow_instructions(conn, open, arrival, outgoing)
            .await
    }

    /// Refuses a request itself, without the event loop, and counts the refusal.
    fn refuse_early(&self, conn: Conn, refusal: &Refusal, request_id: &str) -> Conn {
        self.metrics.count_refusal(refusal.kind);
        refuse(conn, refusal, request_id)
    }

    /// Runs attempts as the event loop instructs, until the caller has an answer or disconnects.
    async fn follow_instructions(
        &self,
        mut conn: Conn,
        open: OpenRequest,
        arrival: Arrival,
        outgoing: OutgoingRequest,
    ) -> Conn {
        loop {
            let instruction = conn.cancel_on_disconnect(open.instructions.recv()).await;
            let attempt = match instruction {
                // The caller disconnected; dropping `open` tells the event loop.
                None => return conn.halt(),
                Some(Err(_)) => {
                    let refusal = Refusal::new(ErrorKind::Internal, "the request was let go");
                    return self.refuse_early(conn, &refusal, &outgoing.request_id);
                }
                Some(Ok(Instruction::Refuse(refusal))) => {
                    return refuse(conn, &refusal, &outgoing.request_id);
                }
                Some(Ok(Instruction::Answer(answer))) => {
                    return upstream_answer(conn, &answer, &outgoing.request_id);
                }
                Some(Ok(Instruction::Begin(attempt))) => attempt,
            };
            let call = UpstreamCall {
                attempt,
                outgoing: outgoing.clone(),
                event_loop: self.event_loop.clone(),
                clock: self.clock,
            };
            let outcome = match self.run_attempt(&mut conn, &open, &arrival, &call).await {
                Ok(Answer::Stream(started)) => return self.start_stream(conn, open, call, started),
                Ok(Answer::Complete(answer)) => {
                    let outcome = outcome_of_answer(&outgoing, &answer);
                    self.report_end(&open, call.attempt.number, outcome).await;
                    return upstream_answer(conn, &answer, &outgoing.request_id);
                }
                Err(outcome) => outcome,
            };
            if !matches!(outcome, AttemptOutcome::NotRun(_) | AttemptOutcome::Busy(_)) {
                call.cancel();
            }
            self.report_end(&open, call.attempt.number, outcome).await;
        }
    }

    /// Runs one attempt, and stops it if the caller disconnects and it may be repeated.
    async fn run_attempt(
        &self,
        conn: &mut Conn,
        open: &OpenRequest,
        arrival: &Arrival,
        call: &UpstreamCall,
    ) -> Result<Answer, AttemptOutcome> {
        let running = self.exchange(open, arrival, call);
        match call.outgoing.repeatable {
            // A request that may run at most once continues after its caller disconnects; a repeat
            // of the request gets the answer.
            Repeatable::No => running.await,
            Repeatable::Yes => conn
                .cancel_on_disconnect(running)
                .await
                .unwrap_or(Err(AttemptOutcome::CallerGone)),
        }
    }

    /// Sends the request to the upstream, and reads the answer completely unless it is a stream.
    async fn exchange(
        &self,
        open: &OpenRequest,
        arrival: &Arrival,
        call: &UpstreamCall,
    ) -> Result<Answer, AttemptOutcome> {
        let started = call.start().await?;
        let span_ms = self.clock.now().since(arrival.at);
        self.metrics.record_first_byte(arrival.target, span_ms);
        self.event_loop
            .send(Event::AttemptStarted {
                request: open.id,
                number: call.attempt.number,
                first_byte_ms: started.first_byte_ms,
            })
            .await;
        if started.is_event_stream() && call.outgoing.repeatable == Repeatable::Yes {
            return Ok(Answer::Stream(started));
        }
        let (status, content_type) = (started.status, started.content_type.clone());
        let body = call
            .read_complete(started, self.bounds.answer_bytes)
            .await?;
        Ok(Answer::Complete(KeptAnswer {
            status,
            content_type: content_type.map(Name::from),
            body: body.into(),
        }))
    }

    /// Answers the caller with a stream that a task of its own relays from the upstream.
    fn start_stream(
        &self,
        conn: Conn,
        open: OpenRequest,
        call: UpstreamCall,
        started: AnswerStart,
    ) -> Conn {
        let (caller, reader) = pipe();
        let event_loop = self.event_loop.clone();
        let request_id = call.outgoing.request_id.to_string();
        smol::spawn(async move {
            let outcome = relay_stream(&call, started, &caller).await;
            match &outcome {
                AttemptOutcome::Answered => {
                    let _ = caller.end(CALLER_STALL_TIMEOUT).await;
                }
                AttemptOutcome::Broken(why) => send_error_event(caller, &call, why).await,
                _ => drop(caller),
            }
            event_loop
                .send(Event::AttemptEnded {
                    request: open.id,
                    number: call.attempt.number,
                    outcome,
                })
                .await;
        })
        .detach();
        conn.with_status(200)
            .with_response_header("content-type", "text/event-stream")
            .with_response_header("cache-control", "no-store")
            .with_response_header("x-request-id", request_id)
            .with_body(Body::new_streaming(reader, None))
            .halt()
    }

    /// Reports the outcome of an attempt to the event loop.
    async fn report_end(&self, open: &OpenRequest, number: u32, outcome: AttemptOutcome) {
        self.event_loop
            .send(Event::AttemptEnded {
                request: open.id,
                number,
                outcome,
            })
            .await;
    }
}

fn outcome_of_answer(outgoing: &OutgoingRequest, answer: &KeptAnswer) -> AttemptOutcome {
    let keeps_answer = outgoing.repeatable == Repeatable::No && outgoing.operation_id.is_some();
    match keeps_answer {
        true => AttemptOutcome::OperationAnswered(answer.clone()),
        false => AttemptOutcome::Answered,
    }
}

/// Ends a stream with an error event, so that an incomplete answer does not look complete.
async fn send_error_event(caller: ChunkWriter, call: &UpstreamCall, why: &str) {
    let refusal = Refusal::new(ErrorKind::AnswerBroken, why);
    let body = error_body(&refusal, &call.outgoing.request_id);
    let event = format!("event: error\ndata: {body}\n\n");
    if caller
        .write(event.into_bytes(), ERROR_EVENT_TIMEOUT)
        .await
        .is_ok()
    {
        let _ = caller.end(ERROR_EVENT_TIMEOUT).await;
    }
}
