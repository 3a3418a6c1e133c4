//! Reads what callers and operators send: headers, credentials, bodies.

use crate::attempt::message::{Repeatable, RequestHead, RequestId, TargetKind};
use crate::edge::digest::{sha256, sha256_of_parts};
use crate::edge::http::within;
use crate::prelude::*;
use std::time::Duration;
use trillium::{Conn, Method};

/// The header with the caller's own deadline, in milliseconds from its arrival.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// The header that names an operation which may run at most once.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
const MAX_KEY_BYTES: usize = 256;
/// How long a caller may take to send a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// What a caller asks of an upstream.
pub(super) struct Asked {
    pub(super) name: Name,
    pub(super) path: String,
    pub(super) body: Vec<u8>,
    pub(super) streamed: bool,
}

/// Makes of a call what the decisions need to know.
///
/// # Errors
///
/// Refuses a call without a credential, and headers that cannot be read.
pub(super) fn head_of(
    conn: &Conn,
    id: RequestId,
    target: TargetKind,
    asked: &Asked,
) -> Result<RequestHead, Refusal> {
    let headers = conn.request_headers();
    let idempotency_key = headers.get_str(IDEMPOTENCY_HEADER).map(Name::from);
    if idempotency_key
        .as_ref()
        .is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES)
    {
        let message = format!("{IDEMPOTENCY_HEADER} takes 1 to {MAX_KEY_BYTES} bytes");
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
        asked.path.as_bytes(),
        &asked.body,
    ]);
    Ok(RequestHead {
        id,
        key_sha256: key_of(conn)?,
        target,
        name: asked.name.clone(),
        deadline_ms,
        repeatable,
        idempotency_key,
        request_sha256,
        streamed: asked.streamed,
        body_bytes: asked.body.len() as u64,
        prefix_hashes: Vec::new(),
    })
}

/// Returns the hash of the bearer token of a call.
///
/// # Errors
///
/// Refuses a call without one.
pub fn key_of(conn: &Conn) -> Result<Name, Refusal> {
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

/// Reads a call's body, up to a bound.
///
/// # Errors
///
/// Refuses a longer one, and one that breaks off.
pub async fn read_body(conn: &mut Conn, most_bytes: u64) -> Result<Vec<u8>, Refusal> {
    let declared = conn
        .request_headers()
        .get_str("content-length")
        .and_then(|v| v.parse().ok());
    let too_long = || {
        let message = format!("the body is longer than {most_bytes} bytes");
        Refusal::new(ErrorKind::BodyTooLarge, message)
    };
    if declared.is_some_and(|length: u64| length > most_bytes) {
        return Err(too_long());
    }
    let body = conn.request_body().with_max_len(most_bytes);
    let Some(bytes) = within(BODY_TIMEOUT, body.read_bytes()).await else {
        let message = format!("the body did not come within {} s", BODY_TIMEOUT.as_secs());
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

/// Finds a value in a query string.
pub fn query_value<'a>(query: &'a str, key: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(k, _)| *k == key)
        .map(|p| p.1)
}
