//! Reads the headers, credentials and bodies of requests from callers and operators.

use crate::attempt::message::{Repeatable, RequestHead, RequestId, TargetKind};
use crate::edge::digest::{sha256, sha256_of_parts};
use crate::edge::http::with_timeout;
use crate::http1::Target;
use crate::prelude::*;
use crate::rendezvous;
use std::time::Duration;
use trillium::{Conn, Method};

/// The header with the caller's deadline, in milliseconds after the arrival of the request.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// The header with the idempotency key: an operation with such a key runs at most once.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;
/// The longest time for a caller to send a body.
const READ_BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// The length of a block of a body that requests are compared by.
const PREFIX_BLOCK_BYTES: usize = 256;
/// The most leading blocks that are compared.
const MAX_PREFIX_BLOCKS: usize = 16;

/// A caller's request for an upstream, as read from its HTTP request.
pub(super) struct CallerRequest {
    pub(super) name: Name,
    pub(super) path: Target,
    pub(super) body: Vec<u8>,
    pub(super) streamed: bool,
}

/// Builds the description of a request by which the event loop decides.
///
/// # Errors
///
/// Returns a refusal if the credential is missing or a header is invalid.
pub(super) fn request_head(
    conn: &Conn,
    id: RequestId,
    target: TargetKind,
    request: &CallerRequest,
) -> Result<RequestHead, Refusal> {
    let headers = conn.request_headers();
    let idempotency_key = headers.get_str(IDEMPOTENCY_HEADER).map(Name::from);
    if idempotency_key
        .as_ref()
        .is_some_and(|key| key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES)
    {
        let message = format!("{IDEMPOTENCY_HEADER} takes 1 to {MAX_IDEMPOTENCY_KEY_BYTES} bytes");
        return Err(Refusal::new(ErrorKind::BadRequest, message));
    }
    let deadline_ms = match headers.get_str(DEADLINE_HEADER).map(str::parse) {
        None => None,
        Some(Ok(deadline_ms)) => Some(Millis(deadline_ms)),
        Some(Err(_)) => {
            let message = format!("{DEADLINE_HEADER} takes a number of milliseconds");
            return Err(Refusal::new(ErrorKind::BadRequest, message));
        }
    };
    let method = conn.method();
    let reads_only = matches!(method, Method::Get | Method::Head | Method::Options);
    let repeatable = if target == TargetKind::Model || reads_only {
        Repeatable::Yes
    } else {
        Repeatable::No
    };
    let request_sha256 = sha256_of_parts(&[
        method.as_str().as_bytes(),
        request.path.as_str().as_bytes(),
        &request.body,
    ]);
    Ok(RequestHead {
        id,
        key_sha256: bearer_token_sha256(conn)?,
        target,
        name: request.name.clone(),
        deadline_ms,
        repeatable,
        idempotency_key,
        request_sha256,
        streamed: request.streamed,
        body_bytes: request.body.len() as u64,
        prefix_hashes: match target {
            TargetKind::Model => prefix_hashes(&request.body),
            TargetKind::Service => Vec::new(),
        },
    })
}

/// Returns the hashes of the leading whole blocks of a body, each with all blocks before it, shortest
/// first. Requests with the same beginning share them.
pub fn prefix_hashes(body: &[u8]) -> Vec<u64> {
    let blocks = body
        .chunks_exact(PREFIX_BLOCK_BYTES)
        .take(MAX_PREFIX_BLOCKS);
    let hashes = blocks.scan(0, |before, block| {
        *before = rendezvous::score(block, *before);
        Some(*before)
    });
    hashes.collect()
}

/// Returns SHA-256 of the bearer token of a request.
///
/// # Errors
///
/// Returns a refusal if the request has no bearer token.
pub fn bearer_token_sha256(conn: &Conn) -> Result<Name, Refusal> {
    let header = conn.request_headers().get_str("authorization");
    header
        .and_then(|value| value.strip_prefix("Bearer "))
        .map(sha256)
        .ok_or_else(|| {
            Refusal::new(
                ErrorKind::BadCredential,
                "send the header Authorization: Bearer KEY",
            )
        })
}

/// Reads the body of a request, of up to `max_bytes`.
///
/// # Errors
///
/// Returns a refusal if the body is longer, does not arrive in time, or ends early.
pub async fn read_body(conn: &mut Conn, max_bytes: u64) -> Result<Vec<u8>, Refusal> {
    let declared = conn
        .request_headers()
        .get_str("content-length")
        .and_then(|v| v.parse().ok());
    let too_long = || {
        let message = format!("the body is longer than {max_bytes} bytes");
        Refusal::new(ErrorKind::BodyTooLarge, message)
    };
    if declared.is_some_and(|length: u64| length > max_bytes) {
        return Err(too_long());
    }
    let body = conn.request_body().with_max_len(max_bytes);
    let Some(bytes) = with_timeout(READ_BODY_TIMEOUT, body.read_bytes()).await else {
        let message = format!(
            "the body did not come within {} s",
            READ_BODY_TIMEOUT.as_secs()
        );
        return Err(Refusal::new(ErrorKind::BadRequest, message));
    };
    bytes.map_err(|error| match error {
        trillium_http::Error::ReceivedBodyTooLong(_) => too_long(),
        error => Refusal::new(
            ErrorKind::BadRequest,
            format!("the body broke off: {error}"),
        ),
    })
}
