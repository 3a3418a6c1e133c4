//! The callers' interface over HTTP.
//!
//! `POST /v1/chat/completions` for models, any method on `/services/{name}/...` for plain services,
//! `GET /v1/entry?model=NAME` for the hosts to use.

use crate::attempt::message::{AttemptOutcome, Repeatable, TargetKind};
use crate::clock::Clock;
use crate::daemon::event::Event;
use crate::daemon::metrics::Metrics;
use crate::edge::answer::{error_body, json_answer, refuse, whole_answer};
use crate::edge::connections::Connections;
use crate::edge::gate::{Gate, Instruction, OpenRequest};
use crate::edge::intake::{Asked, head_of, key_of, query_value, read_body};
use crate::edge::pipe::{ChunkWriter, pipe};
use crate::edge::stream::{WRITE_STALL, pass_stream};
use crate::edge::upstream::{Call, Outgoing, Started};
use crate::idempotency::message::KeptAnswer;
use crate::prelude::*;
use crate::settings::BoundSettings;
use serde_json::json;
use std::time::Duration;
use trillium::{Body, Conn, Method};

const CHAT_PATH: &str = "/v1/chat/completions";
const ENTRY_PATH: &str = "/v1/entry";
const SERVICES_PREFIX: &str = "/services/";
/// How long the caller of a broken stream may take to read the error.
const BREAK_STALL: Duration = Duration::from_secs(1);

/// What the callers' interface works with.
#[derive(Debug)]
pub struct CallerEdge {
    /// The gate to the event loop.
    pub gate: Arc<Gate>,
    /// The clock.
    pub clock: Clock,
    /// The connections to upstreams.
    pub connections: Arc<Connections>,
    /// This process.
    pub me: Incarnation,
    /// Bounds on what callers send.
    pub bounds: BoundSettings,
    /// The metrics.
    pub metrics: Metrics,
}

/// When a request came, and for what.
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

/// An upstream's answer.
enum Answer {
    Stream(Started),
    Whole(KeptAnswer),
}

impl CallerEdge {
    /// Answers one call.
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
        let health = self.gate.query(crate::edge::gate::Query::Health).await;
        let serving = health.as_deref() == Some("serving");
        let status = if serving { 200 } else { 503 };
        let state = health.unwrap_or_else(|| "stopped".to_string());
        json_answer(conn, status, &json!({ "state": state }))
    }

    async fn entry(&self, conn: Conn) -> Conn {
        let key_sha256 = match key_of(&conn) {
            Ok(key) => key,
            Err(refusal) => return refuse(conn, &refusal, ""),
        };
        let Some(name) = query_value(conn.querystring(), "model") else {
            let refusal = Refusal::new(ErrorKind::BadRequest, "the query takes model=NAME");
            return refuse(conn, &refusal, "");
        };
        match self.gate.ask_entry(key_sha256, name.into()).await {
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
        let asked = Asked {
            name: head.model,
            path: CHAT_PATH.into(),
            body,
            streamed: head.stream,
        };
        self.serve(conn, TargetKind::Model, asked).await
    }

    async fn service(&self, mut conn: Conn, path: &str) -> Conn {
        let rest = &path[SERVICES_PREFIX.len()..];
        let (name, rest) = rest.split_once('/').unwrap_or((rest, ""));
        let query = conn.querystring();
        let mark = if query.is_empty() { "" } else { "?" };
        let upstream_path = format!("/{rest}{mark}{query}");
        let name: Name = name.into();
        let body = match read_body(&mut conn, self.bounds.body_bytes).await {
            Ok(body) => body,
            Err(refusal) => return self.refuse_early(conn, &refusal, ""),
        };
        let asked = Asked {
            name,
            path: upstream_path,
            body,
            streamed: false,
        };
        self.serve(conn, TargetKind::Service, asked).await
    }

    async fn serve(&self, conn: Conn, target: TargetKind, asked: Asked) -> Conn {
        let open = self.gate.open_request();
        let request_id: Name = format!("{}-{}", self.me, open.id).into();
        let head = match head_of(&conn, open.id, target, &asked) {
            Ok(head) => head,
            Err(refusal) => return self.refuse_early(conn, &refusal, &request_id),
        };
        let outgoing = Outgoing {
            method: conn.method(),
            path: asked.path,
            body: asked.body.into(),
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
        self.gate.send(Event::RequestArrived { head }).await;
        let arrival = Arrival {
            at: self.clock.now(),
            target,
        };
        self.follow(conn, open, arrival, outgoing).await
    }

    /// Refuses a call that no decision saw.
    fn refuse_early(&self, conn: Conn, refusal: &Refusal, request_id: &str) -> Conn {
        self.metrics.count_refusal(refusal.kind);
        refuse(conn, refusal, request_id)
    }

    async fn follow(
        &self,
        mut conn: Conn,
        open: OpenRequest,
        arrival: Arrival,
        outgoing: Outgoing,
    ) -> Conn {
        loop {
            let waiting = conn.cancel_on_disconnect(open.instructions.recv()).await;
            let attempt = match waiting {
                // The caller left, and so nobody reads an answer; dropping `open` says so.
                None => return conn.halt(),
                Some(Err(_)) => {
                    let refusal = Refusal::new(ErrorKind::Internal, "the request was let go");
                    return self.refuse_early(conn, &refusal, &outgoing.request_id);
                }
                Some(Ok(Instruction::Refuse(refusal))) => {
                    return refuse(conn, &refusal, &outgoing.request_id);
                }
                Some(Ok(Instruction::Answer(answer))) => {
                    return whole_answer(conn, &answer, &outgoing.request_id);
                }
                Some(Ok(Instruction::Begin(attempt))) => attempt,
            };
            let call = Call {
                attempt,
                outgoing: outgoing.clone(),
                connections: self.connections.clone(),
                clock: self.clock,
            };
            let outcome = match self.attempt(&mut conn, &open, &arrival, &call).await {
                Ok(Answer::Stream(started)) => return self.stream(conn, open, call, started),
                Ok(Answer::Whole(answer)) => {
                    let outcome = outcome_with(&outgoing, &answer);
                    self.end(&open, call.attempt.number, outcome).await;
                    return whole_answer(conn, &answer, &outgoing.request_id);
                }
                Err(outcome) => outcome,
            };
            if !matches!(outcome, AttemptOutcome::NotRun(_) | AttemptOutcome::Busy(_)) {
                call.cancel();
            }
            self.end(&open, call.attempt.number, outcome).await;
        }
    }

    async fn attempt(
        &self,
        conn: &mut Conn,
        open: &OpenRequest,
        arrival: &Arrival,
        call: &Call,
    ) -> Result<Answer, AttemptOutcome> {
        let running = self.run(open, arrival, call);
        match call.outgoing.repeatable {
            // What may run once only goes on without its caller, whose next arrival gets the answer.
            Repeatable::No => running.await,
            Repeatable::Yes => conn
                .cancel_on_disconnect(running)
                .await
                .unwrap_or(Err(AttemptOutcome::CallerGone)),
        }
    }

    async fn run(
        &self,
        open: &OpenRequest,
        arrival: &Arrival,
        call: &Call,
    ) -> Result<Answer, AttemptOutcome> {
        let started = call.start().await?;
        let span_ms = self.clock.now().since(arrival.at);
        self.metrics.record_first_byte(arrival.target, span_ms);
        self.gate
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
        let body = call.read_whole(started, self.bounds.answer_bytes).await?;
        Ok(Answer::Whole(KeptAnswer {
            status,
            content_type: content_type.map(Name::from),
            body: body.into(),
        }))
    }

    fn stream(&self, conn: Conn, open: OpenRequest, call: Call, started: Started) -> Conn {
        let (caller, reader) = pipe();
        let gate = self.gate.clone();
        let request_id = call.outgoing.request_id.to_string();
        smol::spawn(async move {
            let outcome = pass_stream(&call, started, &caller).await;
            match &outcome {
                AttemptOutcome::Answered => {
                    let _ = caller.end(WRITE_STALL).await;
                }
                AttemptOutcome::Broken(why) => send_break(caller, &call, why).await,
                _ => drop(caller),
            }
            gate.send(Event::AttemptEnded {
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

    async fn end(&self, open: &OpenRequest, number: u32, outcome: AttemptOutcome) {
        self.gate
            .send(Event::AttemptEnded {
                request: open.id,
                number,
                outcome,
            })
            .await;
    }
}

fn outcome_with(outgoing: &Outgoing, answer: &KeptAnswer) -> AttemptOutcome {
    let keeps = outgoing.repeatable == Repeatable::No && outgoing.operation_id.is_some();
    match keeps {
        true => AttemptOutcome::OperationAnswered(answer.clone()),
        false => AttemptOutcome::Answered,
    }
}

/// Ends a stream with an explicit error, so that half an answer does not look whole.
async fn send_break(caller: ChunkWriter, call: &Call, why: &str) {
    let refusal = Refusal::new(ErrorKind::AnswerBroken, why);
    let body = error_body(&refusal, &call.outgoing.request_id);
    let event = format!("event: error\ndata: {body}\n\n");
    if caller.write(event.into_bytes(), BREAK_STALL).await.is_ok() {
        let _ = caller.end(BREAK_STALL).await;
    }
}
