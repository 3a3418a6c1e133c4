//! Connections of callers: reads requests, writes answers, and detects callers that disconnect.

use crate::desired::CallerLimits;
use crate::entry::active_request::{self, ActiveRequest, CallerContext, Origin};
use crate::entry::answer::caller_writer::CallerWriter;
use crate::entry::forward;
use crate::entry::host::Host;
use crate::entry::platform::{Platform, RequestFacts};
use crate::entry::request_log::{AnswerEnd, RequestLog};
use crate::entry::sending::attempts::BUSY_RETRY_AFTER_MS;
use crate::entry::stop;
use crate::http1::client::{set_socket_options, with_timeout};
use crate::http1::{BodyReader, Connection, HeadError, ReadError, RequestHead};
use crate::prelude::*;
use smol::net::{TcpListener, TcpStream};
use smol::{LocalExecutor, Timer};
use std::rc::Rc;

/// How often a listener without new connections checks whether it must close.
const ACCEPT_POLL_MS: Millis = Millis(500);
/// The longest time without a further piece of a request's body.
const BODY_READ_TIMEOUT_MS: Millis = Millis(5_000);
/// Most bytes of request bodies that a host holds at once, including those of requests that wait:
/// a fifth of the memory of the smallest host (160 MB).
pub const MAX_HELD_BODY_BYTES: u64 = 32 << 20;
/// Most bytes of pipelined requests that are read before the present request is answered. Beyond
/// that nothing more is read, so a caller that disconnects is noticed only when the answer is
/// written.
const MAX_PIPELINED_BYTES: usize = 64 << 10;
/// For how long a request that was refused before it was complete is still read.
const DRAIN_MS: Millis = Millis(500);
/// How many bytes of a request that was refused before it was complete are still read.
const MAX_DRAINED_BYTES: usize = 8 << 20;
/// Callers' connections may use one part in three of the process's descriptors; the others are for
/// upstreams, the store, peers and files.
const CALLER_DESCRIPTORS_DIVISOR: usize = 3;
/// How long an idle connection stays open once a stop was requested: callers with an older answer
/// of the directory may still send on it, and learn from the answer that it closes.
const STOP_IDLE_MS: Millis = Millis(2_000);

/// Accepts callers' connections until a stopping host accepts no more requests. Then the listener
/// closes, and callers connect to another host.
pub async fn accept<P: Platform + 'static>(
    host: Rc<Host<P>>,
    executor: Rc<LocalExecutor<'static>>,
    listener: TcpListener,
    context: CallerContext,
) {
    while host.accepts_requests() {
        let Some(accepted) = with_timeout(ACCEPT_POLL_MS, listener.accept()).await else {
            continue;
        };
        match accepted {
            Ok((stream, _)) if has_room(&host) => {
                let serve = serve_connection(host.clone(), stream, context.clone());
                executor.spawn(serve).detach();
            }
            // There is no room: closing at once makes the caller use another host.
            Ok((stream, _)) => drop(stream),
            // No descriptor is free, or the caller disconnected; during the pause other
            // connections may end.
            Err(_) => {
                Timer::after(Millis(20).to_duration()).await;
            }
        }
    }
}

fn has_room<P: Platform>(host: &Host<P>) -> bool {
    let max_connections = host.settings().max_descriptors / CALLER_DESCRIPTORS_DIVISOR;
    host.caller_connections.get() < max_connections
}

/// Uncounts a caller's connection when it is dropped.
struct OpenConnection<'a, P: Platform>(&'a Host<P>);

impl<P: Platform> Drop for OpenConnection<'_, P> {
    fn drop(&mut self) {
        let open = &self.0.caller_connections;
        open.set(open.get() - 1);
    }
}

async fn serve_connection<P: Platform>(
    host: Rc<Host<P>>,
    stream: TcpStream,
    context: CallerContext,
) {
    host.caller_connections
        .set(host.caller_connections.get() + 1);
    let _open = OpenConnection(&host);
    if set_socket_options(&stream).is_err() {
        return;
    }
    let mut writer = CallerWriter::for_caller(stream.clone());
    let mut connection = Connection::new(stream);
    while serve_request(&host, &mut connection, &mut writer, &context).await {}
}

/// Reads and serves one request. Returns whether the connection can be used for another one.
async fn serve_request<P: Platform>(
    host: &Host<P>,
    connection: &mut Connection<TcpStream>,
    writer: &mut CallerWriter,
    context: &CallerContext,
) -> bool {
    let limits = limits(host);
    let Some(read) = read_head(host, connection, limits).await else {
        return false;
    };
    let arrived_at = host.now();
    let mut log = RequestLog::new(host, arrived_at);
    let mut held = HeldBody::new(host);
    let read = match read {
        Ok(head) => read_body(connection, writer, &head, limits, &mut held)
            .await
            .map(|body| (head, body)),
        Err(error) => Err(read_refusal(&error)),
    };
    writer.closes = true;
    let (head, body) = match read {
        Ok(read) => read,
        Err(refusal) => {
            forward::answer_refusal(host, None, writer, &mut log, &refusal).await;
            drain(connection).await;
            return false;
        }
    };
    writer.closes = !head.keep_alive || host.is_stopping();
    writer.has_begun = false;
    writer.version = head.version;
    let prepared = active_request::prepare(
        host,
        head,
        body,
        arrived_at,
        Origin::Caller(context.clone()),
    );
    let answered = async { Ended::Answered(answer(host, prepared, writer, &mut log).await) };
    let disconnected = async {
        wait_for_disconnect(connection).await;
        Ended::CallerGone
    };
    let stopped = async {
        stop::wait_for_end_of_requests(host).await;
        Ended::HostEnds
    };
    // Nothing is sent for a caller that has left by the time its request is looked at.
    let served = futures_lite::future::or(answered, stopped);
    match futures_lite::future::or(disconnected, served).await {
        Ended::Answered(AnswerEnd::Complete) => !writer.closes,
        Ended::Answered(AnswerEnd::Broken) => {
            writer.cut();
            false
        }
        Ended::CallerGone => false,
        Ended::HostEnds => {
            end_open_request(host, writer, &mut log).await;
            false
        }
    }
}

/// How serving a request ended.
enum Ended {
    Answered(AnswerEnd),
    CallerGone,
    /// The host ends before the answer does.
    HostEnds,
}

/// Ends a request that is still open when its host ends: with an answer if there is none yet, else by
/// breaking the answer off.
async fn end_open_request<P: Platform>(
    host: &Host<P>,
    writer: &mut CallerWriter,
    log: &mut RequestLog<'_, P>,
) {
    if writer.has_begun {
        log.outcome = Some("broken");
        log.summary.why = Some("this host ends");
        writer.cut();
        return;
    }
    writer.closes = true;
    let refusal = stop::last_answer(&log.summary);
    let id = log.summary.request.clone();
    forward::answer_refusal(host, id.as_deref(), writer, log, &refusal).await;
}

async fn answer<P: Platform>(
    host: &Host<P>,
    prepared: Result<ActiveRequest, Box<(Refusal, RequestFacts)>>,
    writer: &mut CallerWriter,
    log: &mut RequestLog<'_, P>,
) -> AnswerEnd {
    match prepared {
        Ok(request) if !host.accepts_requests() => {
            log.summary.request = request.facts.id.clone();
            let refusal = Refusal::new(ErrorKind::Stopping, "this host is about to end")
                .with_retry_after(Millis::ZERO);
            forward::answer_refusal(host, request.facts.id.as_deref(), writer, log, &refusal).await
        }
        Ok(request) => {
            log.note_request(&request);
            forward::serve(host, &request, writer, log).await
        }
        Err(refused) => {
            let (refusal, facts) = *refused;
            log.summary.request = facts.id.clone();
            forward::answer_refusal(host, facts.id.as_deref(), writer, log, &refusal).await
        }
    }
}

fn limits<P: Platform>(host: &Host<P>) -> CallerLimits {
    let routes = host.routes.borrow();
    routes
        .as_ref()
        .map_or_else(CallerLimits::default, |table| table.limits)
}

/// Reads the head of a request. Returns none when the connection must be closed without an answer:
/// the caller closed it, it was idle for too long, or this host is stopping.
async fn read_head<P: Platform>(
    host: &Host<P>,
    connection: &mut Connection<TcpStream>,
    limits: CallerLimits,
) -> Option<Result<RequestHead, ReadError>> {
    if !connection.has_buffered_bytes() && !wait_for_bytes(host, connection, limits.idle_ms).await {
        return None;
    }
    let head = with_timeout(
        limits.head_ms,
        connection.read_request_head(limits.head_bytes),
    )
    .await;
    match head {
        Some(Ok(Some(head))) => Some(Ok(head)),
        Some(Ok(None)) => None,
        Some(Err(error @ ReadError::RequestHead { .. })) => Some(Err(error)),
        Some(Err(_)) => None,
        None => Some(Err(ReadError::Ended)),
    }
}

/// Waits for the first byte of a request. Returns false when the connection must be closed.
async fn wait_for_bytes<P: Platform>(
    host: &Host<P>,
    connection: &mut Connection<TcpStream>,
    idle_ms: Millis,
) -> bool {
    let arrives = async { connection.read_more().await.is_ok() };
    let expires = async {
        let stop = host.next_stop();
        if !host.is_stopping() {
            with_timeout(idle_ms, stop).await;
        }
        if host.is_stopping() {
            Timer::after(STOP_IDLE_MS.to_duration()).await;
        }
        false
    };
    futures_lite::future::or(arrives, expires).await
}

async fn read_body<P: Platform>(
    connection: &mut Connection<TcpStream>,
    writer: &mut CallerWriter,
    head: &RequestHead,
    limits: CallerLimits,
    held: &mut HeldBody<'_, P>,
) -> Result<Vec<u8>, Refusal> {
    let mut reader = BodyReader::new(head.framing);
    if let crate::http1::Framing::Length(length) = head.framing {
        if length > limits.body_bytes {
            return Err(too_large());
        }
        held.grow_to(length)?;
    }
    if head.expects_continue && !reader.is_done() && writer.permit_body().await.is_err() {
        return Err(incomplete());
    }
    let mut body = Vec::new();
    loop {
        match with_timeout(BODY_READ_TIMEOUT_MS, reader.next(connection)).await {
            Some(Ok(Some(piece))) => body.extend_from_slice(&piece),
            Some(Ok(None)) => return Ok(body),
            Some(Err(error @ ReadError::Chunk { .. })) => {
                return Err(Refusal::new(ErrorKind::BadRequest, error.to_string()));
            }
            Some(Err(_)) | None => return Err(incomplete()),
        }
        if body.len() as u64 > limits.body_bytes {
            return Err(too_large());
        }
        held.grow_to(body.len() as u64)?;
    }
}

/// Counts the bytes of a request's body in [`Host::held_body_bytes`] until it is dropped.
pub struct HeldBody<'a, P: Platform> {
    host: &'a Host<P>,
    bytes: u64,
}

impl<'a, P: Platform> HeldBody<'a, P> {
    /// Counts no bytes yet.
    pub fn new(host: &'a Host<P>) -> Self {
        Self { host, bytes: 0 }
    }

    /// Counts the body as `bytes` long.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the host has no room for it.
    pub fn grow_to(&mut self, bytes: u64) -> Result<(), Refusal> {
        let added = bytes.saturating_sub(self.bytes);
        let total = self.host.held_body_bytes.get() + added;
        if total > MAX_HELD_BODY_BYTES {
            let why = "this host holds as many bytes of requests as it may";
            return Err(
                Refusal::new(ErrorKind::Overloaded, why).with_retry_after(BUSY_RETRY_AFTER_MS)
            );
        }
        self.host.held_body_bytes.set(total);
        self.bytes += added;
        Ok(())
    }
}

impl<P: Platform> Drop for HeldBody<'_, P> {
    fn drop(&mut self) {
        let held = &self.host.held_body_bytes;
        held.set(held.get().saturating_sub(self.bytes));
    }
}

fn too_large() -> Refusal {
    Refusal::new(ErrorKind::BodyTooLarge, "the body is longer than allowed")
}

fn incomplete() -> Refusal {
    Refusal::new(
        ErrorKind::RequestIncomplete,
        "the request did not arrive whole",
    )
}

fn read_refusal(error: &ReadError) -> Refusal {
    match error {
        ReadError::RequestHead {
            source: HeadError::TooLarge,
        } => Refusal::new(ErrorKind::HeadTooLarge, error.to_string()),
        ReadError::RequestHead { .. } => Refusal::new(ErrorKind::BadRequest, error.to_string()),
        _ => incomplete(),
    }
}

/// Reads and discards the rest of a refused request for a short time. Closing a connection with
/// unread bytes resets it, and the caller would not see the answer.
async fn drain(connection: &mut Connection<TcpStream>) {
    let mut drained = 0;
    let read = async {
        while drained < MAX_DRAINED_BYTES {
            match connection.read_some(u64::MAX).await {
                Ok(piece) => drained += piece.len(),
                Err(_) => return,
            }
        }
    };
    with_timeout(DRAIN_MS, read).await;
}

/// Waits until the caller closes its connection. Bytes that arrive meanwhile are kept for the next
/// request.
async fn wait_for_disconnect(connection: &mut Connection<TcpStream>) {
    while connection.buffered_bytes() < MAX_PIPELINED_BYTES {
        if connection.read_more().await.is_err() {
            return;
        }
    }
    std::future::pending::<()>().await;
}
