//! Writes HTTP answers: complete answers of upstreams, JSON, refusals.

use crate::edge::upstream::{NOT_RUN, RUN_HEADER};
use crate::error::Ran;
use crate::idempotency::message::KeptAnswer;
use crate::prelude::*;
use serde_json::json;
use trillium::Conn;

/// Answers with a complete answer of an upstream.
pub(super) fn upstream_answer(conn: Conn, answer: &KeptAnswer, request_id: &str) -> Conn {
    let content_type = answer.content_type.as_deref();
    let content_type = content_type.unwrap_or("application/octet-stream");
    conn.with_status(answer.status)
        .with_response_header("content-type", content_type.to_string())
        .with_response_header("x-request-id", request_id.to_string())
        .with_body(answer.body.to_vec())
        .halt()
}

/// Answers with a value encoded as JSON.
pub fn json_answer(conn: Conn, status: u16, body: &impl Serialize) -> Conn {
    let text = serde_json::to_string(body).unwrap_or_default();
    conn.with_status(status)
        .with_response_header("content-type", "application/json")
        .with_body(text)
        .halt()
}

/// Answers with a refusal, with the status and advice of its [`ErrorKind`].
pub fn refuse(conn: Conn, refusal: &Refusal, request_id: &str) -> Conn {
    let error_answer = refusal.kind.answer();
    let mut conn = conn
        .with_status(error_answer.status)
        .with_response_header("content-type", "application/json")
        .with_body(error_body(refusal, request_id));
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        let seconds = retry_after_ms.as_secs_ceil().to_string();
        conn = conn.with_response_header("retry-after", seconds);
    }
    if refusal.ran == Ran::NotRun {
        conn = conn.with_response_header(RUN_HEADER, NOT_RUN);
    }
    conn.halt()
}

/// Returns the JSON form that all errors share.
pub(super) fn error_body(refusal: &Refusal, request_id: &str) -> String {
    let error_answer = refusal.kind.answer();
    json!({
        "error": {
            "kind": refusal.kind,
            "message": refusal.message,
            "advice": error_answer.advice,
            "ran": refusal.ran,
            "retryable": error_answer.retryable,
            "retry_after_ms": refusal.retry_after_ms,
            "try_hosts": refusal.try_hosts,
            "request_id": request_id,
        }
    })
    .to_string()
}
