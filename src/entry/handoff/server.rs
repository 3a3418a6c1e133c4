//! Serves requests that other hosts hand to this one. Each is accepted or declined first, so that a
//! request that was not accepted never runs here.

use crate::entry::active_request::{self, Origin};
use crate::entry::answer::caller_writer::CallerWriter;
use crate::entry::caller::HeldBody;
use crate::entry::forward;
use crate::entry::handoff::peer_stream::PeerStream;
use crate::entry::host::Host;
use crate::entry::platform::Platform;
use crate::entry::request_log::{AnswerEnd, RequestLog};
use crate::entry::sending::attempts::Attempts;
use crate::entry::sending::choice::reaches;
use crate::handoff::message::{MAX_HEAD_BYTES, MAX_OFFER_BYTES};
use crate::handoff::{
    DeclineReason, HandedRequest, MAX_OPEN_PER_PEER, MAX_SERVED, Offer, OfferReply,
};
use crate::http1::RequestHead;
use crate::http1::client::with_timeout;
use crate::prelude::*;
use smol::LocalExecutor;
use std::cell::Cell;
use std::rc::Rc;

/// How long the other host may take to send an offer, or an accepted request.
const READ_TIMEOUT_MS: Millis = Millis(1_000);

/// The number of requests of other hosts that are being served.
#[derive(Clone, Debug, Default)]
pub struct Served(Rc<Cell<usize>>);

/// Counts a request until it is dropped.
struct ServedRequest(Served);

impl Served {
    fn begin(&self) -> Option<ServedRequest> {
        let count = self.0.get();
        (count < MAX_SERVED).then(|| {
            self.0.set(count + 1);
            ServedRequest(self.clone())
        })
    }
}

impl Drop for ServedRequest {
    fn drop(&mut self) {
        let Served(count) = &self.0;
        count.set(count.get() - 1);
    }
}

/// Serves the requests of one connection until it closes.
pub async fn serve_connection<P: Platform + 'static>(
    host: Rc<Host<P>>,
    connection: quinn::Connection,
    executor: Rc<LocalExecutor<'static>>,
    served: Served,
) {
    connection.set_max_concurrent_bi_streams(MAX_OPEN_PER_PEER.into());
    while let Ok((send, receive)) = connection.accept_bi().await {
        let (host, served) = (host.clone(), served.clone());
        let serve = async move {
            serve_stream(&host, PeerStream { send, receive }, &served).await;
        };
        executor.spawn(serve).detach();
    }
}

/// Serves one request. Returns none if the other host withdrew it before it was complete.
async fn serve_stream<P: Platform>(
    host: &Host<P>,
    mut stream: PeerStream,
    served: &Served,
) -> Option<()> {
    let read = stream.read_message::<Offer>(MAX_OFFER_BYTES);
    let offer = with_timeout(READ_TIMEOUT_MS, read).await?.ok()?;
    let mut held = HeldBody::new(host);
    let _served = match accept(host, &offer, &mut held, served) {
        Ok(served) => served,
        Err(reason) => {
            let reply = OfferReply::Declined(reason);
            return stream.write_message(&reply).await.ok();
        }
    };
    stream.write_message(&OfferReply::Accepted).await.ok()?;
    let max_bytes = MAX_HEAD_BYTES + usize::try_from(offer.body_bytes).ok()?;
    let read = stream.read_message::<HandedRequest>(max_bytes);
    let handed = with_timeout(READ_TIMEOUT_MS, read).await?.ok()?;
    answer(host, stream, handed).await;
    Some(())
}

/// Decides whether this host takes a request, and reserves the room for it.
fn accept<P: Platform>(
    host: &Host<P>,
    offer: &Offer,
    held: &mut HeldBody<'_, P>,
    served: &Served,
) -> Result<ServedRequest, DeclineReason> {
    if host.is_stopping() {
        return Err(DeclineReason::Stopping);
    }
    let version = host.routes.borrow().as_ref().map(|table| table.version);
    if version.is_none_or(|version| version < offer.version) {
        return Err(DeclineReason::Behind);
    }
    if !reaches(host, offer) {
        return Err(DeclineReason::OutOfReach);
    }
    if held.grow_to(offer.body_bytes).is_err() {
        return Err(DeclineReason::Full);
    }
    served.begin().ok_or(DeclineReason::Full)
}

/// Serves an accepted request, unless its caller leaves before.
async fn answer<P: Platform>(host: &Host<P>, stream: PeerStream, handed: HandedRequest) {
    let arrived_at = host.now();
    let PeerStream {
        send,
        receive: _receive,
    } = stream;
    let left = send.stopped();
    let mut writer = CallerWriter::for_host(send);
    let mut log = RequestLog::new(host, arrived_at);
    let answered = async { Some(serve(host, handed, arrived_at, &mut writer, &mut log).await) };
    let withdrawn = async {
        // Either the other host wants no answer any more, or the connection to it is lost.
        let _why = left.await;
        None
    };
    // Nothing is sent for a request that was withdrawn by the time it is looked at.
    let ended = futures_lite::future::or(withdrawn, answered).await;
    drop(log);
    // An answer that broke off does not look complete, since its body has a length or chunks.
    if ended.is_some() {
        writer.finish();
    }
}

async fn serve<P: Platform>(
    host: &Host<P>,
    handed: HandedRequest,
    arrived_at: Millis,
    writer: &mut CallerWriter,
    log: &mut RequestLog<'_, P>,
) -> AnswerEnd {
    let HandedRequest {
        head,
        body,
        left_ms,
        first_byte_left_ms,
        sends,
        runs,
        resume_after,
        software_version,
    } = handed;
    let attempts = Attempts {
        sends,
        runs,
        software_version,
        ..Attempts::default()
    };
    let Ok(Some((head, _))) = RequestHead::parse(&head, MAX_HEAD_BYTES) else {
        let refusal = Refusal::new(ErrorKind::BadRequest, "the handed request is malformed");
        return forward::answer_refusal(host, None, writer, log, &refusal).await;
    };
    match active_request::prepare(host, head, body, arrived_at, Origin::Host { resume_after }) {
        Ok(mut request) => {
            request.limit_time(arrived_at + left_ms, arrived_at + first_byte_left_ms);
            log.note_request(&request);
            forward::serve_handed(host, &request, attempts, writer, log).await
        }
        Err(refused) => {
            let (refusal, facts) = *refused;
            log.summary.request = facts.id.clone();
            forward::answer_refusal(host, facts.id.as_deref(), writer, log, &refusal).await
        }
    }
}
