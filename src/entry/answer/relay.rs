//! Relays an upstream's answer to the caller piece by piece, in such a way that an answer which is
//! cut short never looks complete.

use crate::entry::active_request::ActiveRequest;
use crate::entry::answer::caller_writer::{BodyFraming, CallerWriter};
use crate::entry::answer::event_relay::EventRelay;
use crate::entry::host::Host;
use crate::entry::platform::Platform;
use crate::entry::request_log::{BodyEnd, RequestLog};
use crate::entry::resumption::proof::has_version;
use crate::entry::resumption::streams;
use crate::entry::sending::attempts::Attempts;
use crate::entry::sending::send::StartedAnswer;
use crate::http1::Framing;
use crate::http1::client::with_timeout;
use crate::http1::head::has_no_body;
use crate::prelude::*;

/// How long after the request's deadline an answer is still relayed, since its last piece may be on
/// its way.
pub const GRACE_MS: Millis = Millis(100);

/// How relaying an answer ended.
pub enum RelayOutcome {
    /// The caller has the complete answer.
    Complete,
    /// The caller has a part of the answer, for this reason; its connection must be closed.
    Truncated(&'static str),
    /// The caller has received nothing, for this reason; another answer can be sent.
    NotStarted(&'static str),
}

impl RelayOutcome {
    /// Returns the outcome after a piece could not be written to the caller.
    pub fn not_written(error: &std::io::Error) -> Self {
        Self::Truncated(match error.kind() {
            std::io::ErrorKind::InvalidData => "the answer does not have its announced length",
            _ => "the caller's connection broke",
        })
    }
}

/// Relays an answer to the caller: at once when the host has all of it, event by event when it is
/// an event stream, piece by piece otherwise.
pub async fn relay_answer<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    out: &mut CallerWriter,
    log: &mut RequestLog<'_, P>,
    attempts: &mut Attempts,
    answer: Box<StartedAnswer>,
) -> RelayOutcome {
    let kind = answer.body_kind();
    // An answer without a content type is a stream where its route has streams.
    let is_stream =
        request.route.streams && answer.head.status == 200 && kind.is_event_stream != Some(false);
    if is_stream
        && let Some(version) = &attempts.software_version
        && !has_version(host, answer.software_version.as_ref(), version).await
    {
        return RelayOutcome::NotStarted("the upstream has another software version");
    }
    if answer.reader.is_done() {
        if is_stream && let Some(why) = kind.early_end_of_whole(&answer.body_start) {
            answer.note_broken(host, request).await;
            return RelayOutcome::NotStarted(why);
        }
        if is_stream {
            streams::note_begun(host, request, answer.software_version.as_ref());
        }
        return relay_complete(host, request, out, log, answer).await;
    }
    match is_stream {
        true => {
            let stream = EventRelay::new(host, request, attempts);
            stream.run(out, log, answer).await
        }
        false => relay_pieces(host, request, out, log, answer).await,
    }
}

async fn relay_complete<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    out: &mut CallerWriter,
    log: &mut RequestLog<'_, P>,
    mut answer: Box<StartedAnswer>,
) -> RelayOutcome {
    answer.in_flight = None;
    out.note_version(host.now(), answer.software_version.as_ref());
    let body = std::mem::take(&mut answer.body_start);
    let has_body = &*request.head.method != "HEAD" && !has_no_body(answer.head.status);
    let form = match has_body {
        true => BodyFraming::Length(body.len() as u64),
        false => BodyFraming::HeadOnly,
    };
    note_first_byte(host, request, log);
    log.summary
        .note_body_end(BodyEnd::of_whole(answer.head.framing), 0);
    let written = out.write_complete(&answer.head, form, &body).await;
    answer.return_connection(host);
    match written {
        Ok(()) => RelayOutcome::Complete,
        Err(error) => RelayOutcome::not_written(&error),
    }
}

/// Relays a long answer that is no event stream as it arrives.
async fn relay_pieces<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    out: &mut CallerWriter,
    log: &mut RequestLog<'_, P>,
    mut answer: Box<StartedAnswer>,
) -> RelayOutcome {
    let form = match answer.head.framing {
        Framing::Length(length) => BodyFraming::Length(length),
        _ => BodyFraming::Chunked,
    };
    note_first_byte(host, request, log);
    let begun = std::mem::take(&mut answer.body_start);
    if let Err(error) = out.begin(&answer.head, form).await {
        return RelayOutcome::not_written(&error);
    }
    if let Err(error) = out.piece(&begun).await {
        return RelayOutcome::not_written(&error);
    }
    loop {
        let left_ms = (request.deadline_at + GRACE_MS).since(host.now());
        match with_timeout(left_ms, answer.next_piece()).await {
            None => {
                answer.note_endless(host);
                return RelayOutcome::Truncated("the time limit was reached");
            }
            Some(Err(error)) => {
                log.summary.note_body_end(BodyEnd::of_error(&error), 0);
                answer.note_broken(host, request).await;
                return RelayOutcome::Truncated("the upstream broke off");
            }
            Some(Ok(Some(piece))) => {
                if let Err(error) = out.piece(&piece).await {
                    return RelayOutcome::not_written(&error);
                }
            }
            Some(Ok(None)) => {
                let end = BodyEnd::of_whole(answer.head.framing);
                log.summary.note_body_end(end, 0);
                let ended = out.end().await;
                answer.return_connection(host);
                return match ended {
                    Ok(()) => RelayOutcome::Complete,
                    Err(error) => RelayOutcome::not_written(&error),
                };
            }
        }
    }
}

/// Records when the caller is sent the first byte of its answer.
pub fn note_first_byte<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    log: &mut RequestLog<'_, P>,
) {
    let took_ms = host.now().since(request.arrived_at);
    log.summary.first_byte_ms.get_or_insert(took_ms);
}
