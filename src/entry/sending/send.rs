//! Sends a request to one upstream and reads the start of its answer.

use crate::desired::Repeat;
use crate::entry::active_request::ActiveRequest;
use crate::entry::crashes::detection;
use crate::entry::handoff::OpenRequest;
use crate::entry::handoff::peer_stream::PeerStream;
use crate::entry::host::Host;
use crate::entry::lines;
use crate::entry::notices;
use crate::entry::paths;
use crate::entry::platform::Platform;
use crate::entry::rejections;
use crate::entry::sending::answer_wait::{AnswerLimit, Unanswered, wait_for_answer};
use crate::entry::sending::engine_wait::kv_tokens_of;
use crate::entry::sending::exchange::{Exchanged, exchange, request_bytes};
use crate::entry::sending::in_flight::InFlight;
use crate::entry::sending::pool::UpstreamConnection;
use crate::entry::upstream_limits;
use crate::event_stream::BodyKind;
use crate::http1::client::with_timeout;
use crate::http1::{BodyReader, Connection, Framing, Headers, ReadError, ResponseHead};
use crate::prelude::*;
use crate::resumption::StreamVersion;
use crate::retry::interrupted_requests::BEGINNING_MS;
use crate::retry::{RequestDigest, VersionTag};
use crate::routing::roles::is_long;
use crate::upstreams::{Lifetime, Upstream};
use std::pin::pin;

/// The timeout for opening a connection. A round trip takes a few milliseconds; an upstream that is
/// gone or behind a partition never answers.
pub const CONNECT_TIMEOUT_MS: Millis = Millis(150);
/// How late the time-out of a connection ends if this host stood still meanwhile.
const HOST_PAUSE_MS: Millis = Millis(50);
/// How long a connection may have been idle to be reused for a request that must not run twice. If
/// the upstream has just closed or forgotten the connection, it stays unknown whether the request
/// ran.
const MAX_IDLE_ONCE_MS: Millis = Millis(800);
/// How long a connection may have been idle to be reused for a request that may be sent again.
const MAX_IDLE_REPEATABLE_MS: Millis = Millis(4_000);
/// After how long without an answer a plain service counts as unreachable. It may be silent for a
/// second or so and go on.
const UNREACHABLE_MS: Millis = Millis(2_000);
/// The statuses that tell a caller that its request has not run. Such a status from an upstream is
/// passed on only if the upstream also says explicitly that it did not run the request.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// How one send of a request to an upstream ended.
pub enum SendOutcome {
    /// No byte of the request was sent.
    NotSent,
    /// No byte of the request was sent, because no connection could be opened.
    Unreached {
        /// When the attempt began.
        began_at: Millis,
    },
    /// The upstream says that it did not run the request.
    NotRun {
        /// Whether the reason is that the engine does not hold the request's model.
        lacks_model: bool,
    },
    /// There is no usable answer, and the upstream may have run the request.
    MayHaveRun,
    /// The answer began; its status may be a failure.
    Answered(Box<StartedAnswer>),
}

impl SendOutcome {
    /// Tells whether the request has certainly not run.
    pub fn is_not_run(&self) -> bool {
        matches!(
            self,
            Self::NotSent | Self::Unreached { .. } | Self::NotRun { .. }
        )
    }

    /// Returns the outcome's name for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::NotSent | Self::Unreached { .. } => "not_sent",
            Self::NotRun { lacks_model: true } => "lacks_model",
            Self::NotRun { lacks_model: false } => "not_run",
            Self::MayHaveRun => "perhaps_run",
            Self::Answered(answer) if answer.head.status >= 500 => "failed",
            Self::Answered(_) => "answered",
        }
    }
}

/// An answer of which the head was read and, where there is a body, at least its first piece.
pub struct StartedAnswer {
    /// The lifetime of the upstream that answers. If another host passes the answer on, its address
    /// stands for the upstream's name.
    pub upstream: Lifetime,
    /// The head of the answer.
    pub head: ResponseHead,
    /// When the request was sent.
    pub sent_at: Millis,
    /// When the answer began: when its first bytes were read.
    pub began_at: Millis,
    /// Whether it is known to go on after its beginning.
    pub goes_on: bool,
    /// The bytes of the body that were read so far.
    pub body_start: Vec<u8>,
    /// Reads the rest of the body.
    pub reader: BodyReader,
    /// The connection that the rest of the body comes from.
    pub connection: AnswerConnection,
    /// The software version of the upstream; none if the list does not state it.
    pub software_version: Option<StreamVersion>,
    /// The version that the answer is evidence for, whether or not it is proven.
    pub version_tag: VersionTag,
    /// Counts the request as in flight at the upstream until it is dropped; none for an answer of
    /// another host, which counts it.
    pub in_flight: Option<InFlight>,
}

/// Where an answer comes from.
pub enum AnswerConnection {
    /// An upstream. The connection can be reused after the whole answer was read.
    Upstream(UpstreamConnection),
    /// Another host that this one handed the request to.
    Host {
        /// The stream between the hosts.
        connection: Connection<PeerStream>,
        /// Counts the request as open there.
        _open: OpenRequest,
    },
}

impl StartedAnswer {
    /// Reads the next piece of the body; none at its end.
    ///
    /// # Errors
    ///
    /// Returns why the connection broke.
    pub async fn next_piece(&mut self) -> Result<Option<Vec<u8>>, ReadError> {
        match &mut self.connection {
            AnswerConnection::Upstream(connection) => self.reader.next(&mut connection.io).await,
            AnswerConnection::Host { connection, .. } => self.reader.next(connection).await,
        }
    }

    /// Records that the answer goes on, once it has been coming for longer than its beginning lasts.
    pub fn note_goes_on<P: Platform>(&mut self, host: &Host<P>, request: &ActiveRequest) {
        let is_past_beginning = host.now().since(self.began_at) >= BEGINNING_MS;
        if is_past_beginning && !std::mem::replace(&mut self.goes_on, true) {
            detection::note_answered(host, request, self.version_tag);
        }
    }

    /// Returns what the head says about the body.
    pub fn body_kind(&self) -> BodyKind {
        BodyKind::new(self.head.headers.text("content-type"), self.head.framing)
    }

    /// Returns the connection to the pool after the answer, if it may be used again.
    pub fn return_connection<P: Platform>(self, host: &Host<P>) {
        return_to_pool(
            host,
            &self.upstream,
            self.connection,
            &self.head,
            self.reader,
        );
    }

    /// Records in the upstream's health that the answer had not ended when its time was over. If another
    /// host passed it on, that host records it.
    pub fn note_endless<P: Platform>(&self, host: &Host<P>) {
        if self.is_from_upstream() {
            note_failure(host, &self.upstream, host.now(), false);
        }
    }

    /// Tells whether an upstream answered this host itself.
    pub fn is_from_upstream(&self) -> bool {
        matches!(self.connection, AnswerConnection::Upstream(_))
    }

    /// Records that the answer broke off. If another host passed it on, that host records what
    /// happened at the upstream.
    pub async fn note_broken<P: Platform>(&self, host: &Host<P>, request: &ActiveRequest) {
        if self.is_from_upstream() {
            let answered_ms = host.now().since(self.began_at);
            let (upstream, sent_at) = (&self.upstream, self.sent_at);
            detection::note_broken_run(host, request, upstream, sent_at, Some(answered_ms)).await;
            note_failure(host, &self.upstream, host.now(), false);
        }
    }
}

#[derive(Serialize)]
struct AttemptLine<'a> {
    request: Option<&'a str>,
    digest: RequestDigest,
    upstream: &'a str,
    /// Whether the request was sent on a connection that an earlier one had used.
    reused: bool,
    result: &'static str,
    status: Option<u16>,
    why: Option<&'a str>,
    took_ms: Millis,
    /// The share of this host's recent sends to the upstream that failed, from 0 to 1.
    failure_share: f64,
}

/// Sends a request to an upstream and waits for the start of its answer as long as `limit` says.
/// Updates the upstream's health and limits, and logs an attempt that got no answer.
pub async fn send<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    upstream: &Name,
    headers: Headers,
    limit: &AnswerLimit,
) -> SendOutcome {
    let known = host
        .upstreams
        .borrow()
        .get(upstream)
        .map(Upstream::lifetime);
    let Some(lifetime) = known else {
        return SendOutcome::NotSent;
    };
    let upstream = &lifetime;
    let mut attempt = Attempt {
        host,
        request,
        upstream,
        reused: false,
        began_at: host.now(),
    };
    let bytes = match request_bytes(request, headers) {
        Ok(bytes) => bytes,
        Err(error) => {
            attempt.log("not_sent", None, Some(&error.to_string()));
            return SendOutcome::NotSent;
        }
    };
    let mut connection = match connect(host, request, upstream, limit.at_latest).await {
        Connected::Open(connection) => connection,
        Connected::Unreachable => {
            attempt.log("not_sent", None, Some("cannot connect"));
            return SendOutcome::Unreached {
                began_at: attempt.began_at,
            };
        }
        Connected::TimeOver => {
            attempt.log("not_sent", None, Some("its time is over"));
            return SendOutcome::NotSent;
        }
    };
    // Another request's answer may have changed this since the upstream was chosen.
    if !notices::accepts_requests(host, upstream) {
        attempt.log("not_sent", None, Some("it leaves or rests"));
        return SendOutcome::NotSent;
    }
    if host.now() >= limit.at_latest {
        host.pool.keep(host.now(), &upstream.id, connection, None);
        attempt.log("not_sent", None, Some("its time is over"));
        return SendOutcome::NotSent;
    }
    // Requests that were chosen for it at the same moment may have been sent meanwhile.
    if !rejections::has_room(host, upstream) {
        host.pool.keep(host.now(), &upstream.id, connection, None);
        attempt.log("not_sent", None, Some("it can turn no more requests away"));
        return SendOutcome::NotSent;
    }
    attempt.reused = connection.is_reused;
    let mut in_flight = InFlight::new(
        host.upstreams.clone(),
        upstream,
        request.facts.prompt_tokens,
        kv_tokens_of(host, request),
    );
    if is_long(request.facts.prompt_tokens) {
        host.request_sync();
    }
    let exchange = exchange(
        host,
        request,
        upstream,
        &mut connection,
        &bytes,
        &mut in_flight,
    );
    let answer = wait_for_answer(host, request, upstream, limit, exchange).await;
    if let Ok(Err(ReadError::Ended | ReadError::Broken { .. })) = &answer {
        detection::note_broken_run(host, request, upstream, attempt.began_at, None).await;
    }
    let now = host.now();
    let fail = |why: &str| {
        note_failure(host, upstream, now, false);
        attempt.log("perhaps_run", None, Some(why));
        SendOutcome::MayHaveRun
    };
    match answer {
        Err(unanswered) => {
            // A request with a short timeout of its own says nothing about the upstream's health,
            // but the other connections to it may be dead as well.
            if unanswered != Unanswered::FasterElsewhere {
                host.pool.close_idle(&upstream.id);
            }
            if now.since(attempt.began_at) >= UNREACHABLE_MS && !request.at_engine {
                note_failure(host, upstream, now, true);
            }
            attempt.log("perhaps_run", None, Some(unanswered.why()));
            SendOutcome::MayHaveRun
        }
        Ok(Err(error)) => fail(&error.to_string()),
        Ok(Ok(Exchanged {
            head,
            body_start,
            reader,
        })) => {
            let facts = host.platform.read_answer(&head, &upstream.id);
            upstream_limits::note_answer(host, upstream, facts.limit_per_s);
            let status = Some(head.status);
            if let Some(other) = &facts.other_lifetime {
                end_lifetime(host, upstream, other);
                attempt.log("not_run", status, Some("another lifetime"));
                return SendOutcome::NotRun { lacks_model: false };
            }
            if facts.not_run {
                host.upstreams.borrow_mut().note_rejected(now, upstream);
                return_to_pool(
                    host,
                    upstream,
                    AnswerConnection::Upstream(connection),
                    &head,
                    reader,
                );
                attempt.log("not_run", status, None);
                if request.at_engine && !facts.lacks_model {
                    note_full(host, request, upstream, now);
                }
                return SendOutcome::NotRun {
                    lacks_model: facts.lacks_model,
                };
            }
            if NOT_RUN_STATUSES.contains(&head.status) {
                return fail("a refusal that does not say that it did not run");
            }
            if !facts.is_sealed && head.status < 500 {
                return fail("an answer without a seal");
            }
            match head.status >= 500 {
                true => note_failure(host, upstream, now, false),
                false => note_success(host, upstream, now),
            }
            let software_version =
                StreamVersion::of(&host.upstreams.borrow(), upstream, connection.opened_at);
            SendOutcome::Answered(Box::new(StartedAnswer {
                upstream: upstream.clone(),
                software_version,
                version_tag: detection::version_of(host, upstream),
                head,
                sent_at: attempt.began_at,
                began_at: now,
                goes_on: false,
                body_start,
                reader,
                connection: AnswerConnection::Upstream(connection),
                in_flight: Some(in_flight),
            }))
        }
    }
}

/// One attempt to send a request, for its log line.
struct Attempt<'a, P: Platform> {
    host: &'a Host<P>,
    request: &'a ActiveRequest,
    upstream: &'a Lifetime,
    reused: bool,
    began_at: Millis,
}

impl<P: Platform> Attempt<'_, P> {
    /// Writes the log line of an attempt that ended without an answer to the request.
    fn log(&self, result: &'static str, status: Option<u16>, why: Option<&str>) {
        let now = self.host.now();
        let registry = self.host.upstreams.borrow();
        let line = AttemptLine {
            request: self.request.facts.id.as_deref(),
            digest: self.request.causes.digest,
            upstream: &self.upstream.id,
            reused: self.reused,
            result,
            status,
            why,
            took_ms: now.since(self.began_at),
            failure_share: registry
                .get_lifetime(self.upstream)
                .map_or(0.0, |upstream| upstream.health.failure_share(now)),
        };
        lines::write(LogEvent::AttemptFailed, &line);
    }
}

/// What came of connecting to an upstream.
enum Connected {
    /// A connection is open.
    Open(UpstreamConnection),
    /// The upstream is unknown, or no connection could be opened.
    Unreachable,
    /// The request's time ended before [`CONNECT_TIMEOUT_MS`] had passed, which says nothing about the
    /// upstream.
    TimeOver,
}

/// Takes an idle connection to an upstream or opens one.
async fn connect<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    upstream: &Lifetime,
    answer_by: Millis,
) -> Connected {
    let now = host.now();
    let max_idle_ms = match request.route.repeat {
        Repeat::Once => MAX_IDLE_ONCE_MS,
        Repeat::Idempotent | Repeat::Resumable => MAX_IDLE_REPEATABLE_MS,
    };
    let idle = host.pool.take(now, &upstream.id, request.id(), max_idle_ms);
    if let Some(idle) = idle.await {
        return Connected::Open(idle);
    }
    let address = host
        .upstreams
        .borrow()
        .get(&upstream.id)
        .map(Upstream::address);
    let Some(address) = address else {
        return Connected::Unreachable;
    };
    let mut opening = pin!(host.pool.open(host.clock, address));
    let mut began_at = now;
    let mut timeout_ms = CONNECT_TIMEOUT_MS.min(answer_by.since(began_at));
    let mut opened = with_timeout(timeout_ms, &mut opening).await;
    if opened.is_none() && host.now().since(began_at) >= timeout_ms + HOST_PAUSE_MS {
        // The connection may be open, and this host has not looked since it went on.
        began_at = host.now();
        timeout_ms = CONNECT_TIMEOUT_MS.min(answer_by.since(began_at));
        opened = with_timeout(timeout_ms, &mut opening).await;
    }
    match opened {
        Some(Ok(connection)) => {
            paths::note_connected(host, upstream);
            return Connected::Open(connection);
        }
        Some(Err(error)) => detection::note_unreachable(host, upstream, &error),
        None if timeout_ms < CONNECT_TIMEOUT_MS => return Connected::TimeOver,
        None => {}
    }
    paths::note_connect_failed(host, upstream, began_at);
    note_failure(host, upstream, host.now(), true);
    Connected::Unreachable
}

/// Returns the connection of an answer to the pool if the answer was read to its end and the
/// connection stays open for further requests, and the upstream has neither begun to leave nor
/// started again since; otherwise closes it.
fn return_to_pool<P: Platform>(
    host: &Host<P>,
    upstream: &Lifetime,
    connection: AnswerConnection,
    head: &ResponseHead,
    reader: BodyReader,
) {
    let AnswerConnection::Upstream(connection) = connection else {
        return;
    };
    let is_whole = reader.is_done() && head.framing != Framing::UntilClose;
    if !is_whole || !head.keep_alive || connection.ends_after_answer {
        return;
    }
    if !host.upstreams.borrow().is_staying(upstream) {
        return;
    }
    let keep_ms = head.headers.text("keep-alive").and_then(keep_alive_ms);
    host.pool
        .keep(host.now(), &upstream.id, connection, keep_ms);
}

/// Returns the idle timeout that a `Keep-Alive` header announces.
fn keep_alive_ms(value: &str) -> Option<Millis> {
    value
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .find_map(|seconds| seconds.parse().ok())
        .map(|seconds: u64| Millis(seconds * 1_000))
}

#[derive(Serialize)]
struct UpstreamLine<'a> {
    upstream: &'a str,
    why: &'static str,
    /// The id of the lifetime that has the upstream's address now.
    now_at_address: Option<&'a str>,
    /// Until when the upstream gets no requests because it was unreachable.
    rests_until_unix_ms: Option<Millis>,
}

/// Removes an upstream whose address now belongs to another lifetime.
fn end_lifetime<P: Platform>(host: &Host<P>, upstream: &Lifetime, other: &str) {
    detection::note_lifetime_ended(host, upstream);
    if host.upstreams.borrow_mut().end_lifetime(upstream) {
        host.pool.close_idle(&upstream.id);
        let line = UpstreamLine {
            upstream: &upstream.id,
            why: "another lifetime has its address",
            now_at_address: Some(other),
            rests_until_unix_ms: None,
        };
        lines::write(LogEvent::UpstreamGone, &line);
    }
}

/// Records that an engine refused a request because it is full. Without this the engine looks idle,
/// is chosen more often than any other, and refuses every request: an engine with a busy model
/// would refuse 250 a second and use up the retry budget.
fn note_full<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    upstream: &Lifetime,
    now: Millis,
) {
    let occupancy = host.occupancy(&request.service);
    if let Some(known) = host.upstreams.borrow_mut().get_lifetime_mut(upstream) {
        known.full_until = now + occupancy.full_backoff_ms(known.entry.slots);
    }
}

fn note_success<P: Platform>(host: &Host<P>, upstream: &Lifetime, now: Millis) {
    if let Some(known) = host.upstreams.borrow_mut().get_lifetime_mut(upstream) {
        known.health.note_success(now);
    }
}

/// Records a failure of an upstream in its health. An unreachable upstream gets no requests for a
/// while, and its idle connections are closed.
pub fn note_failure<P: Platform>(
    host: &Host<P>,
    upstream: &Lifetime,
    now: Millis,
    unreachable: bool,
) {
    let until = {
        let mut registry = host.upstreams.borrow_mut();
        let Some(known) = registry.get_lifetime_mut(upstream) else {
            return;
        };
        match unreachable {
            false => {
                known.health.note_failure(now);
                return;
            }
            true => known.health.note_unreachable(now),
        }
    };
    host.pool.close_idle(&upstream.id);
    let line = UpstreamLine {
        upstream: &upstream.id,
        why: "it cannot be reached",
        now_at_address: None,
        rests_until_unix_ms: Some(until),
    };
    lines::write(LogEvent::UpstreamSilent, &line);
}
