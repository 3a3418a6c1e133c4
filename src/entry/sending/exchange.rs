//! Writes one request to an upstream's connection and reads its answer up to the start of the body.

use crate::entry::active_request::ActiveRequest;
use crate::entry::host::Host;
use crate::entry::notices;
use crate::entry::paths;
use crate::entry::platform::{AnswerFacts, Platform};
use crate::entry::sending::in_flight::InFlight;
use crate::entry::sending::pool::UpstreamConnection;
use crate::http1::client::{MAX_HEAD_BYTES, skip_body, with_timeout};
use crate::http1::head::write_request_head;
use crate::http1::{
    BodyReader, Connection, Framing, HeadError, Headers, ReadError, ResponseHead, Written,
    write_while_reading,
};
use crate::prelude::*;
use crate::routing::roles::is_long;
use crate::upstreams::{Lifetime, Notice};
use futures_lite::{AsyncRead, AsyncWrite};

/// Answers up to this length are read completely before the caller gets their first byte, so that
/// one that breaks off can be replaced by another attempt.
const BUFFERED_ANSWER_BYTES: u64 = 64 << 10;
/// Longest body of an answer to another request that is read to reach this request's own answer, and
/// the longest time for it.
const MAX_FOREIGN_BODY_BYTES: usize = 64 << 10;
const FOREIGN_BODY_TIMEOUT_MS: Millis = Millis(250);
/// Most answers to other requests that are skipped before this request's own answer; an upstream
/// sends at most one extra answer to each request.
const MAX_FOREIGN_ANSWERS: u32 = 4;

/// The start of an answer.
pub struct Exchanged {
    /// The head of the answer.
    pub head: ResponseHead,
    /// The bytes of the body that were read so far.
    pub body_start: Vec<u8>,
    /// Reads the rest of the body.
    pub reader: BodyReader,
}

/// Writes the `bytes` of a request and reads the head of its answer and the first piece of the body. The body of a
/// short answer, of a failure, and of any answer of a route without streams is read on, up to
/// `BUFFERED_ANSWER_BYTES`.
///
/// # Errors
///
/// Returns why the connection gave no answer to this request.
pub async fn exchange<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    upstream: &Lifetime,
    connection: &mut UpstreamConnection,
    bytes: &[u8],
    in_flight: &mut InFlight,
) -> Result<Exchanged, ReadError> {
    connection.carried.note(request.id());
    let head = write_and_read_head(host, request, upstream, connection, bytes);
    let (head, written) = head.await?;
    let note_first_byte = || {
        in_flight.note_first_byte();
        if is_long(request.facts.prompt_tokens) {
            host.request_sync();
        }
    };
    let reader = BodyReader::of_answer(head.framing, written);
    read_start(request, head, reader, &mut connection.io, note_first_byte).await
}

/// Reads the first piece of an answer's body, calls `note_first_byte`, and reads a short answer on
/// as [`exchange`] says.
///
/// # Errors
///
/// Returns why the connection broke.
pub async fn read_start<S: AsyncRead + AsyncWrite + Unpin>(
    request: &ActiveRequest,
    head: ResponseHead,
    mut reader: BodyReader,
    connection: &mut Connection<S>,
    note_first_byte: impl FnOnce(),
) -> Result<Exchanged, ReadError> {
    let mut body_start = Vec::new();
    if let Some(piece) = reader.next(connection).await? {
        body_start.extend_from_slice(&piece);
    }
    note_first_byte();
    let is_short =
        matches!(head.framing, Framing::Length(length) if length <= BUFFERED_ANSWER_BYTES);
    if !request.route.streams || is_short || head.status != 200 {
        read_buffered(&mut reader, connection, &mut body_start).await?;
    }
    Ok(Exchanged {
        head,
        body_start,
        reader,
    })
}

/// Reads the body on into `body_start`, to its end or until enough of it is buffered.
async fn read_buffered<S: AsyncRead + AsyncWrite + Unpin>(
    reader: &mut BodyReader,
    connection: &mut Connection<S>,
    body_start: &mut Vec<u8>,
) -> Result<(), ReadError> {
    while (body_start.len() as u64) < BUFFERED_ANSWER_BYTES {
        match reader.next(connection).await? {
            Some(piece) => body_start.extend_from_slice(&piece),
            None => return Ok(()),
        }
    }
    Ok(())
}

/// Returns the bytes of a request with these headers, and the length of its body.
///
/// # Errors
///
/// Returns the rule that the head would break.
pub fn request_bytes(request: &ActiveRequest, mut headers: Headers) -> Result<Vec<u8>, HeadError> {
    headers.remove("content-length");
    headers.remove("expect");
    if !request.body.is_empty() || request.head.framing != Framing::Empty {
        headers.push("Content-Length", &request.body.len().to_string());
    }
    let mut bytes = write_request_head(&request.head.method, &request.head.target, &headers)?;
    bytes.extend_from_slice(&request.body);
    Ok(bytes)
}

/// Writes a request and reads the head of its answer. If the answer comes before the whole request was
/// written, writing stops and the connection is not reused, because the rest of the body is missing on
/// it. Answers to other requests do not stop it.
async fn write_and_read_head<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    upstream: &Lifetime,
    connection: &mut UpstreamConnection,
    bytes: &[u8],
) -> Result<(ResponseHead, Written), ReadError> {
    let stream = connection.io.stream().clone();
    let read = read_matching_head(host, request, upstream, connection);
    let (head, written) = write_while_reading(&stream, bytes, read).await?;
    if written == Written::Part {
        connection.ends_after_answer = true;
    }
    Ok((head, written))
}

/// Reads answers until the head of the one that carries this request's id, and records what it states
/// about the upstream. Late or extra answers to earlier requests on the connection are read and
/// discarded. What they state may be out of date, unless it is that the upstream leaves.
async fn read_matching_head<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    upstream: &Lifetime,
    connection: &mut UpstreamConnection,
) -> Result<ResponseHead, ReadError> {
    let is_head_request = &*request.head.method == "HEAD";
    for _ in 0..MAX_FOREIGN_ANSWERS {
        let head = connection
            .io
            .read_response_head(MAX_HEAD_BYTES, is_head_request)
            .await?;
        paths::note_answered(host);
        host.upstreams.borrow_mut().note_heard(host.now(), upstream);
        if (100..200).contains(&head.status) {
            continue;
        }
        let facts = host.platform.read_answer(&head, &upstream.id);
        // An upstream repeats the id of a request, and may repeat an answer.
        let is_own = match &facts.request_id {
            Some(_) => facts.request_id == request.facts.id,
            None => connection.carried.is_single(),
        };
        if is_own {
            if facts.request_id.is_none() {
                connection.ends_after_answer = true;
            }
            note_statements(host, upstream, &facts);
            return Ok(head);
        }
        connection.ends_after_answer = true;
        let lasting = Notice {
            rest_ms: None,
            ..facts.notice
        };
        notices::note_answer(host, upstream, lasting);
        host.metrics.count_foreign_answer();
        let reader = BodyReader::new(head.framing);
        let skip = skip_body(reader, &mut connection.io, MAX_FOREIGN_BODY_BYTES);
        let skipped = with_timeout(FOREIGN_BODY_TIMEOUT_MS, skip).await;
        skipped.unwrap_or(Err(ReadError::NotOwn))?;
    }
    Err(ReadError::NotOwn)
}

/// Records what an answer states about its upstream.
fn note_statements<P: Platform>(host: &Host<P>, upstream: &Lifetime, facts: &AnswerFacts) {
    let now = host.now();
    {
        let mut upstreams = host.upstreams.borrow_mut();
        upstreams.note_rejection_limit(now, upstream, facts.max_rejections_per_s);
        if let Some(load) = facts.load {
            upstreams.note_stated_load(now, upstream, load);
        }
    }
    notices::note_answer(host, upstream, facts.notice);
}
