//! Hands requests to other hosts while this host reaches no upstream that could serve them.
//!
//! - [`server`]: the other host's side.
//! - [`other_host`]: leaving a request that is served here to another host.
//! - [`peer_stream`]: the stream between the two.

pub mod other_host;
pub mod peer_stream;
pub mod server;

use crate::entry::active_request::ActiveRequest;
use crate::entry::forward::ANSWER_MARGIN_MS;
use crate::entry::handoff::peer_stream::PeerStream;
use crate::entry::host::Host;
use crate::entry::lines;
use crate::entry::paths;
use crate::entry::peers::Peers;
use crate::entry::platform::Platform;
use crate::entry::rejections::is_assigned;
use crate::entry::request_log::RequestLog;
use crate::entry::sending::attempts::Attempts;
use crate::entry::sending::exchange::{Exchanged, read_start};
use crate::entry::sending::send::{AnswerConnection, CONNECT_TIMEOUT_MS, StartedAnswer};
use crate::error::Ran;
use crate::group::Member;
use crate::handoff::message::{MAX_ANSWER_START_BYTES, MAX_OFFER_BYTES};
use crate::handoff::{
    AnswerStart, DeclineReason, HandedRequest, MAX_OPEN_PER_PEER, Offer, OfferReply, PeerMemory,
    TRANSIT_MS,
};
use crate::http1::client::{MAX_HEAD_BYTES, with_timeout};
use crate::http1::{BodyReader, Connection, ReadError};
use crate::prelude::*;
use crate::retry::VersionTag;
use crate::upstreams::{Lifetime, Upstream};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;

/// How long another host may take to answer an offer, with the handshake of a new connection. A
/// round trip takes a few milliseconds.
const OFFER_TIMEOUT_MS: Millis = Millis(150);
/// How long a connection to another host stays open without a request.
const UNUSED_MS: Millis = Millis(3_000);

/// What a host needs to hand requests to other hosts.
pub struct Handoffs {
    peers: Rc<Peers>,
    me: Member,
    memory: RefCell<PeerMemory>,
    connections: RefCell<IndexMap<SocketAddr, OpenConnection>>,
}

struct OpenConnection {
    connection: quinn::Connection,
    open_requests: Rc<Cell<u32>>,
    used_at: Millis,
}

/// Counts a request that was handed to a host until it is dropped.
#[derive(Debug)]
pub struct OpenRequest(Rc<Cell<u32>>);

impl OpenRequest {
    fn new(open: Rc<Cell<u32>>) -> Self {
        open.set(open.get() + 1);
        Self(open)
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// How handing a request to other hosts ended.
pub enum HandedOff {
    /// Another host's answer began.
    Answered(Box<StartedAnswer>),
    /// The host that took the request refuses it.
    Refused(Refusal),
    /// The host that took the request was lost, and may have run it.
    MayHaveRun(Name),
    /// No host takes the request; nothing ran.
    Declined,
    /// This host reaches the upstream again; nothing was handed on.
    Reached,
}

/// A request that is to be handed to another host.
pub struct Outgoing<'a> {
    /// The request.
    pub request: &'a ActiveRequest,
    /// What this host needs for it.
    pub handoffs: &'a Handoffs,
    /// An upstream that could serve the request and that this host does not reach.
    pub wanted: &'a Name,
    /// The attempts so far.
    pub attempts: &'a Attempts,
    /// The id of the last event that the caller has, where an interrupted stream is resumed.
    pub resume_after: Option<&'a str>,
}

/// The stream of an accepted offer.
struct AcceptedOffer {
    stream: PeerStream,
    open: OpenRequest,
}

/// How one host answered an offer.
enum Offered {
    Accepted(AcceptedOffer),
    Declined(DeclineReason),
    Silent,
}

impl Handoffs {
    /// Creates the state of a host that has handed on nothing yet.
    pub fn new(peers: Rc<Peers>, me: Member) -> Self {
        Self {
            peers,
            me,
            memory: RefCell::default(),
            connections: RefCell::default(),
        }
    }

    /// Closes connections that have not been used for a while.
    pub fn expire(&self, now: Millis) {
        self.connections
            .borrow_mut()
            .retain(|_, open| open.open_requests.get() > 0 || now.since(open.used_at) < UNUSED_MS);
    }

    /// Tells whether another host served a request lately that was handed to it.
    pub fn are_served(&self, now: Millis) -> bool {
        self.memory.borrow().has_recent_service(now)
    }

    fn choose<P: Platform>(&self, host: &Host<P>, wanted: &Name) -> Vec<Member> {
        let members = host.members.borrow();
        let others = members
            .iter()
            .filter(|member| member.incarnation != self.me.incarnation)
            .filter(|member| is_assigned(host, wanted, member.incarnation));
        let memory = self.memory.borrow();
        memory.choose(host.now(), others, wanted, &mut fastrand::Rng::new())
    }

    async fn connection(
        &self,
        now: Millis,
        address: SocketAddr,
    ) -> Option<(quinn::Connection, Rc<Cell<u32>>)> {
        if let Some(open) = self.connections.borrow_mut().get_mut(&address)
            && open.connection.close_reason().is_none()
        {
            open.used_at = now;
            return Some((open.connection.clone(), open.open_requests.clone()));
        }
        let connection = self.peers.connect_for_handoffs(address).await?;
        let open_requests = Rc::new(Cell::new(0));
        let open = OpenConnection {
            connection: connection.clone(),
            open_requests: open_requests.clone(),
            used_at: now,
        };
        self.connections.borrow_mut().insert(address, open);
        Some((connection, open_requests))
    }

    async fn offer(&self, now: Millis, to: &Member, offer: &Offer) -> Offered {
        let exchange = async {
            let (connection, open) = self.connection(now, to.peer_address).await?;
            if open.get() >= MAX_OPEN_PER_PEER {
                return Some(Offered::Declined(DeclineReason::Full));
            }
            let open = OpenRequest::new(open);
            let (send, receive) = connection.open_bi().await.ok()?;
            let mut stream = PeerStream { send, receive };
            stream.write_message(offer).await.ok()?;
            Some(match stream.read_message(MAX_OFFER_BYTES).await.ok()? {
                OfferReply::Accepted => Offered::Accepted(AcceptedOffer { stream, open }),
                OfferReply::Declined(reason) => Offered::Declined(reason),
            })
        };
        match with_timeout(OFFER_TIMEOUT_MS, exchange).await.flatten() {
            Some(offered) => offered,
            None => {
                // The connection may be dead, so the next offer opens a new one.
                self.connections.borrow_mut().swap_remove(&to.peer_address);
                Offered::Silent
            }
        }
    }
}

/// Hands a request to another host, and meanwhile tries the path to the wanted upstream again.
pub async fn hand_off<P: Platform>(
    host: &Host<P>,
    outgoing: &Outgoing<'_>,
    log: &mut RequestLog<'_, P>,
) -> HandedOff {
    let mut probing = pin!(probe(host, outgoing.wanted));
    let reached = Cell::new(None);
    let offers = offer_in_turn(host, outgoing, log);
    let probed = async {
        reached.set(Some(probing.as_mut().await));
        std::future::pending().await
    };
    let ended = futures_lite::future::or(offers, probed).await;
    if !matches!(ended, HandedOff::Declined) {
        return ended;
    }
    let is_reached = match reached.get() {
        Some(is_reached) => is_reached,
        None => probing.await,
    };
    match is_reached {
        true => HandedOff::Reached,
        false => HandedOff::Declined,
    }
}

/// Tries whether this host reaches an upstream again, unless that was tried just now. An open
/// connection is kept for the next request.
async fn probe<P: Platform>(host: &Host<P>, wanted: &Name) -> bool {
    let began_at = host.now();
    let known = {
        let upstreams = host.upstreams.borrow();
        // An upstream that is left to other hosts gets no connection without need.
        let may_try = |known: &&Upstream| {
            upstreams.rejection_limit(began_at, known).is_none()
                || upstreams.is_out_of_reach(began_at, known)
        };
        let known = upstreams.get(wanted).filter(may_try);
        known.map(|known| (known.lifetime(), known.address()))
    };
    let Some((lifetime, address)) = known else {
        return false;
    };
    let is_due = host.upstreams.borrow_mut().begin_probe(began_at, &lifetime);
    if !is_due {
        return false;
    }
    match with_timeout(CONNECT_TIMEOUT_MS, host.pool.open(host.clock, address)).await {
        Some(Ok(connection)) => {
            paths::note_connected(host, &lifetime);
            host.pool.keep(host.now(), wanted, connection, None);
            host.note_change();
            true
        }
        Some(Err(_)) | None => {
            paths::note_connect_failed(host, &lifetime, began_at);
            false
        }
    }
}

async fn offer_in_turn<P: Platform>(
    host: &Host<P>,
    outgoing: &Outgoing<'_>,
    log: &mut RequestLog<'_, P>,
) -> HandedOff {
    let Outgoing {
        request,
        handoffs,
        wanted,
        ..
    } = *outgoing;
    let offer = Offer {
        service: request.service.clone(),
        model: request.facts.model.clone().filter(|_| request.at_engine),
        software_version: outgoing.attempts.software_version.clone(),
        version: request.version,
        body_bytes: request.body.len() as u64,
    };
    let Ok(head) = request.head.to_bytes() else {
        return HandedOff::Declined;
    };
    for to in handoffs.choose(host, wanted) {
        let name: Name = to.caller_address.to_string().into();
        log.summary.note_send(&name);
        let now = host.now();
        let declined = match handoffs.offer(now, &to, &offer).await {
            Offered::Accepted(accepted) => {
                let handed = handed_request(host, outgoing, head.clone());
                let served = pass(host, request, &name, accepted, &handed).await;
                match served {
                    Passed::Ended(ended) => {
                        let mut memory = handoffs.memory.borrow_mut();
                        match &ended {
                            HandedOff::MayHaveRun(_) => {
                                memory.note_silent(host.now(), to.incarnation)
                            }
                            _ => memory.note_served(host.now(), to.incarnation),
                        }
                        log.summary.note_result(ended.name());
                        return ended;
                    }
                    Passed::GivenBack => DeclineReason::OutOfReach,
                }
            }
            Offered::Declined(reason) => reason,
            Offered::Silent => {
                let mut memory = handoffs.memory.borrow_mut();
                memory.note_silent(host.now(), to.incarnation);
                log.summary.note_result("no_answer");
                continue;
            }
        };
        log.summary.note_result(declined.name());
        let mut memory = handoffs.memory.borrow_mut();
        memory.note_declined(host.now(), to.incarnation, wanted, declined);
    }
    HandedOff::Declined
}

impl HandedOff {
    /// Tells whether the request has certainly not run.
    pub fn is_not_run(&self) -> bool {
        match self {
            Self::Declined | Self::Reached => true,
            Self::Refused(refusal) => refusal.ran == Ran::NotRun,
            Self::Answered(_) | Self::MayHaveRun(_) => false,
        }
    }

    fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Refused(_) => "refused",
            Self::MayHaveRun(_) => "perhaps_run",
            Self::Declined => "declined",
            Self::Reached => "reached",
        }
    }
}

fn handed_request<P: Platform>(
    host: &Host<P>,
    outgoing: &Outgoing<'_>,
    head: Vec<u8>,
) -> HandedRequest {
    let Outgoing {
        request,
        attempts,
        resume_after,
        ..
    } = *outgoing;
    let now = host.now();
    let left_ms = request.deadline_at.since(now) - TRANSIT_MS;
    HandedRequest {
        head,
        body: request.body.clone(),
        left_ms,
        first_byte_left_ms: request.first_byte_deadline_at.since(now).min(left_ms),
        sends: attempts.sends,
        runs: attempts.runs,
        resume_after: resume_after.map(str::to_string),
        software_version: attempts.software_version.clone(),
    }
}

#[derive(Serialize)]
struct LostAnswerLine<'a> {
    request: Option<&'a str>,
    from_host: &'a str,
    why: &'a str,
}

/// How a request that a host accepted ended there.
enum Passed {
    Ended(HandedOff),
    /// The host reaches no upstream either.
    GivenBack,
}

/// Sends a request to the host that accepted it, and reads the start of the answer.
async fn pass<P: Platform>(
    host: &Host<P>,
    request: &ActiveRequest,
    name: &Name,
    AcceptedOffer { mut stream, open }: AcceptedOffer,
    handed: &HandedRequest,
) -> Passed {
    let exchange = async {
        stream.write_message(handed).await?;
        let start: AnswerStart = stream.read_message(MAX_ANSWER_START_BYTES).await?;
        Ok::<_, std::io::Error>((start, stream))
    };
    let answer_by = request.deadline_at - ANSWER_MARGIN_MS;
    let lost = || Passed::Ended(HandedOff::MayHaveRun(name.clone()));
    let left_ms = answer_by.since(host.now());
    let (version, stream) = match with_timeout(left_ms, exchange).await {
        None | Some(Err(_)) => return lost(),
        Some(Ok((AnswerStart::OutOfReach, _))) => return Passed::GivenBack,
        Some(Ok((AnswerStart::Refused(refusal), _))) => {
            return Passed::Ended(HandedOff::Refused(refusal.into()));
        }
        Some(Ok((AnswerStart::Answered { version }, stream))) => {
            let received = version.map(|version| version.received(host.now()));
            (received, stream)
        }
    };
    let mut connection = Connection::new(stream);
    let read = read_answer(request, &mut connection);
    let left_ms = answer_by.since(host.now());
    let Exchanged {
        head,
        body_start,
        reader,
    } = match with_timeout(left_ms, read).await {
        Some(Ok(exchanged)) => exchanged,
        Some(Err(error)) => {
            let line = LostAnswerLine {
                request: request.facts.id.as_deref(),
                from_host: name,
                why: &error.to_string(),
            };
            lines::write(LogEvent::AttemptFailed, &line);
            return lost();
        }
        None => return lost(),
    };
    Passed::Ended(HandedOff::Answered(Box::new(StartedAnswer {
        upstream: Lifetime {
            id: name.clone(),
            born_at: Millis::ZERO,
        },
        version_tag: VersionTag::of(version.as_ref().map(|version| &*version.version)),
        software_version: version,
        head,
        sent_at: host.now(),
        began_at: host.now(),
        goes_on: false,
        body_start,
        reader,
        connection: AnswerConnection::Host {
            connection,
            _open: open,
        },
        in_flight: None,
    })))
}

async fn read_answer(
    request: &ActiveRequest,
    connection: &mut Connection<PeerStream>,
) -> Result<Exchanged, ReadError> {
    let is_head_request = &*request.head.method == "HEAD";
    let head = connection
        .read_response_head(MAX_HEAD_BYTES, is_head_request)
        .await?;
    let reader = BodyReader::new(head.framing);
    read_start(request, head, reader, connection, || {}).await
}
