//! One send of a request to one upstream, up to the start of its answer.

use crate::desired::Repeat;
use crate::entry::ask::Ask;
use crate::entry::crashes;
use crate::entry::exchange::{Exchanged, exchange};
use crate::entry::host::Host;
use crate::entry::in_flight::InFlight;
use crate::entry::lines;
use crate::entry::platform::Platform;
use crate::entry::pool::UpstreamConnection;
use crate::entry::upstream_limits;
use crate::http1::client::within;
use crate::http1::{BodyReader, Framing, Headers, ReadError, ResponseHead};
use crate::prelude::*;
use crate::retry::RequestDigest;
use crate::routing::roles::is_long;
use crate::upstreams::{Lifetime, Upstream};

/// How long opening a connection may take: a round trip takes a few milliseconds, an upstream that is gone or
/// behind a partition takes for ever.
const CONNECT_MS: Millis = Millis(400);
/// How long a connection may have been idle for a request that must not run twice: a connection that the other
/// side has just closed, or lost track of, leaves it unknown whether the request ran.
const ONCE_IDLE_MS: Millis = Millis(800);
/// The same for requests that may be sent again.
const IDLE_MS: Millis = Millis(4_000);
/// How long a plain service must not have answered to count as out of reach: ten times its usual answer.
const SILENT_MS: Millis = Millis(1_000);
/// Why a send failed that got no answer within the request's time.
const NO_ANSWER: &str = "no answer in time";
/// The statuses that promise a caller that its request has not run. An upstream's own is passed on only with its word.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// How a send ended.
pub enum Sent {
    /// No byte left this host.
    NotSent,
    /// The upstream says that it did not run the request.
    NotRun {
        /// Whether it lacks the model.
        lacks_model: bool,
    },
    /// There is no answer, and the upstream may have run the request.
    PerhapsRun,
    /// The answer began.
    Answered(Box<StartedAnswer>),
}

impl Sent {
    /// Returns the result's name for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::NotRun { lacks_model: true } => "lacks_model",
            Self::NotRun { lacks_model: false } => "not_run",
            Self::PerhapsRun => "perhaps_run",
            Self::Answered(answer) if answer.head.status >= 500 => "failed",
            Self::Answered(_) => "answered",
        }
    }
}

/// An answer of which the head and, where there is a body, its first piece were read.
pub struct StartedAnswer {
    /// The upstream, as it was started when the request was sent.
    pub upstream: Lifetime,
    /// Its head.
    pub head: ResponseHead,
    /// What was read of the body.
    pub begun: Vec<u8>,
    /// Reads the rest.
    pub reader: BodyReader,
    /// The connection; it ends with the answer unless the whole answer was read.
    pub connection: UpstreamConnection,
    /// Counts the request at the upstream until it is dropped.
    pub in_flight: InFlight,
}

#[derive(Serialize)]
struct AttemptLine<'a> {
    request: Option<&'a str>,
    digest: RequestDigest,
    upstream: &'a str,
    reused: bool,
    result: &'static str,
    status: Option<u16>,
    why: Option<&'a str>,
    took_ms: Millis,
    failure_share: f64,
}

/// Sends a request and waits for the start of its answer.
pub async fn send<P: Platform>(
    host: &Host<P>,
    ask: &Ask,
    upstream: &Name,
    headers: Headers,
    answer_by: Millis,
) -> Sent {
    let known = host
        .upstreams
        .borrow()
        .get(upstream)
        .map(Upstream::lifetime);
    let Some(lifetime) = known else {
        return Sent::NotSent;
    };
    let upstream = &lifetime;
    let mut attempt = Attempt {
        host,
        ask,
        upstream,
        reused: false,
        began_at: host.now(),
    };
    let Some(mut connection) = connect(host, ask, upstream, answer_by).await else {
        attempt.note("not_sent", None, Some("cannot connect"));
        return Sent::NotSent;
    };
    attempt.reused = connection.is_reused;
    let mut in_flight = InFlight::new(host.upstreams.clone(), upstream, ask.facts.prompt_tokens);
    if is_long(ask.facts.prompt_tokens) {
        host.note_want();
    }
    let exchange = exchange(host, ask, &mut connection, headers, &mut in_flight);
    let left_ms = answer_by.since(host.now());
    let answer = within(left_ms, exchange).await;
    if let Some(Err(ReadError::Ended | ReadError::Broken { .. })) = &answer {
        crashes::note_broken_run(host, ask, upstream).await;
    }
    let now = host.now();
    let fail = |why: &str, unreachable: bool| {
        if unreachable || why != NO_ANSWER {
            note_failure(host, upstream, now, unreachable);
        }
        attempt.note("perhaps_run", None, Some(why));
        Sent::PerhapsRun
    };
    match answer {
        None => {
            // A short limit of the request's own says nothing of the upstream, but a connection may have gone silent.
            host.pool.forget(&upstream.id);
            let is_silent = now.since(attempt.began_at) >= SILENT_MS && !ask.at_engine;
            fail(NO_ANSWER, is_silent)
        }
        Some(Err(error)) => fail(&error.to_string(), false),
        Some(Ok(Exchanged {
            head,
            begun,
            reader,
        })) => {
            let facts = host.platform.read_answer(&head, &upstream.id);
            upstream_limits::note_answer(host, upstream, facts.limit_per_s);
            let status = Some(head.status);
            if let Some(other) = &facts.other_lifetime {
                end_lifetime(host, upstream, other);
                attempt.note("not_run", status, Some("another lifetime"));
                return Sent::NotRun { lacks_model: false };
            }
            if facts.not_run {
                keep(host, &upstream.id, connection, &head, reader);
                attempt.note("not_run", status, None);
                if ask.at_engine && !facts.lacks_model {
                    note_full(host, ask, upstream, now);
                }
                return Sent::NotRun {
                    lacks_model: facts.lacks_model,
                };
            }
            if PROMISES.contains(&head.status) {
                return fail("a refusal that does not say that it did not run", false);
            }
            if !facts.is_sealed && head.status < 500 {
                return fail("an answer without a seal", false);
            }
            match head.status >= 500 {
                true => note_failure(host, upstream, now, false),
                false => note_success(host, upstream, now),
            }
            Sent::Answered(Box::new(StartedAnswer {
                upstream: upstream.clone(),
                head,
                begun,
                reader,
                connection,
                in_flight,
            }))
        }
    }
}

/// Where and since when a request is being sent, for the log.
struct Attempt<'a, P: Platform> {
    host: &'a Host<P>,
    ask: &'a Ask,
    upstream: &'a Lifetime,
    reused: bool,
    began_at: Millis,
}

impl<P: Platform> Attempt<'_, P> {
    /// Writes the log line of an attempt that ended without an answer to the request.
    fn note(&self, result: &'static str, status: Option<u16>, why: Option<&str>) {
        let now = self.host.now();
        let registry = self.host.upstreams.borrow();
        let line = AttemptLine {
            request: self.ask.facts.id.as_deref(),
            digest: self.ask.digest,
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

async fn connect<P: Platform>(
    host: &Host<P>,
    ask: &Ask,
    upstream: &Lifetime,
    answer_by: Millis,
) -> Option<UpstreamConnection> {
    let now = host.now();
    let max_idle_ms = match ask.route.repeat {
        Repeat::Once => ONCE_IDLE_MS,
        Repeat::Idempotent | Repeat::Resumable => IDLE_MS,
    };
    if let Some(kept) = host.pool.take(now, &upstream.id, max_idle_ms).await {
        return Some(kept);
    }
    let address = host.upstreams.borrow().get(&upstream.id)?.address();
    let timeout_ms = CONNECT_MS.min(answer_by.since(now));
    let opened = within(timeout_ms, host.pool.open(address)).await;
    if let Some(Err(error)) = &opened {
        crashes::note_unreachable(host, upstream, error);
    }
    match opened {
        Some(Ok(connection)) => Some(connection),
        Some(Err(_)) | None => {
            note_failure(host, upstream, host.now(), true);
            None
        }
    }
}

/// Keeps the connection of an answer that was read to its end.
pub fn keep<P: Platform>(
    host: &Host<P>,
    upstream: &Name,
    connection: UpstreamConnection,
    head: &ResponseHead,
    reader: BodyReader,
) {
    let is_whole = reader.is_done() && head.framing != Framing::UntilClose;
    if !is_whole || !head.keep_alive || connection.ends_after_answer {
        return;
    }
    let keep_ms = head.headers.text("keep-alive").and_then(keep_alive_ms);
    host.pool.keep(host.now(), upstream, connection, keep_ms);
}

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
    now_at_address: Option<&'a str>,
    rests_until_unix_ms: Option<Millis>,
}

fn end_lifetime<P: Platform>(host: &Host<P>, upstream: &Lifetime, other: &str) {
    crashes::note_over(host, upstream);
    if host.upstreams.borrow_mut().end_lifetime(upstream) {
        host.pool.forget(&upstream.id);
        let line = UpstreamLine {
            upstream: &upstream.id,
            why: "another lifetime has its address",
            now_at_address: Some(other),
            rests_until_unix_ms: None,
        };
        lines::write(LogEvent::UpstreamGone, &line);
    }
}

/// Takes note that an engine refused a request as full. Without it the engine looks idle, draws more requests than any
/// other, and refuses each: one that held a busy model refused 250 a second, and used up the budget of repeated sends.
fn note_full<P: Platform>(host: &Host<P>, ask: &Ask, upstream: &Lifetime, now: Millis) {
    let occupancy = host.occupancy(&ask.service);
    if let Some(view) = host.upstreams.borrow_mut().get_lifetime_mut(upstream) {
        view.full_until = now + occupancy.full_backoff_ms(view.entry.slots);
    }
}

fn note_success<P: Platform>(host: &Host<P>, upstream: &Lifetime, now: Millis) {
    if let Some(view) = host.upstreams.borrow_mut().get_lifetime_mut(upstream) {
        view.health.note_success(now);
    }
}

/// Takes note of a failure of an upstream.
pub fn note_failure<P: Platform>(
    host: &Host<P>,
    upstream: &Lifetime,
    now: Millis,
    unreachable: bool,
) {
    let until = {
        let mut registry = host.upstreams.borrow_mut();
        let Some(view) = registry.get_lifetime_mut(upstream) else {
            return;
        };
        match unreachable {
            false => {
                view.health.note_failure(now);
                return;
            }
            true => view.health.note_unreachable(now),
        }
    };
    host.pool.forget(&upstream.id);
    let line = UpstreamLine {
        upstream: &upstream.id,
        why: "it cannot be reached",
        now_at_address: None,
        rests_until_unix_ms: Some(until),
    };
    lines::write(LogEvent::UpstreamSilent, &line);
}
