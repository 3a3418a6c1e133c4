//! The events that a host handles. Traces contain them for replay.

use crate::attempt::message::{AttemptOutcome, RequestHead, RequestId};
use crate::membership::message::{PeerReply, PeerRequest, PlatformList};
use crate::placement::message::{EngineReport, OrderAnswer, StoreReport};
use crate::prelude::*;
use crate::shared_log::driver::{LogCallError, LogPage};
use crate::table::message::Edit;
use crate::table::pending_edits::CallId;
use crate::upstreams::{Lifetime, Notice};
use std::net::SocketAddr;

/// An event for [`crate::daemon::node::Node::handle`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Event {
    /// The periodic wake-up of the event loop.
    Tick,
    /// The shared log answered a read.
    LogRead {
        /// When the read was sent.
        asked_at: Millis,
        /// The records and offsets of the answer.
        page: LogPage,
    },
    /// A read of the shared log failed.
    LogReadFailed {
        /// The error.
        error: LogCallError,
    },
    /// The shared log accepted an append.
    Appended,
    /// An append to the shared log failed, or its outcome is unknown.
    AppendFailed {
        /// The error.
        error: LogCallError,
    },
    /// The platform's list of hosts and upstreams was read.
    HostsListed {
        /// The list.
        list: PlatformList,
    },
    /// The platform's list could not be read.
    HostsFailed,
    /// A request for the weight store's report ended.
    StoreReported {
        /// The report, or `None` if there was no usable answer.
        report: Option<StoreReport>,
    },
    /// A request for an engine's report ended.
    EngineReported {
        /// The name of the engine.
        upstream: Name,
        /// When the request was decided.
        asked_at: Millis,
        /// The report, or `None` if there was no usable answer.
        report: Option<EngineReport>,
    },
    /// A call to an engine about an order ended.
    OrderAnswered {
        /// The id of the copy: the offset of the record that decided its load.
        copy: Offset,
        /// The fencing number of the order.
        fence: Offset,
        /// The engine's answer, or why there is none.
        answer: OrderAnswer,
    },
    /// A peer answered a request of this host.
    PeerAnswered {
        /// The peer.
        peer: Incarnation,
        /// When the request was decided.
        asked_at: Millis,
        /// The reply.
        reply: PeerReply,
    },
    /// A request to a peer failed or timed out.
    PeerFailed {
        /// The peer.
        peer: Incarnation,
    },
    /// A peer sent a request.
    PeerAsked {
        /// The id under which the reply is returned.
        call: CallId,
        /// The request.
        request: PeerRequest,
    },
    /// A caller's request arrived.
    RequestArrived {
        /// The request without its body.
        head: RequestHead,
    },
    /// A caller asked which hosts it may connect to.
    EntryAsked {
        /// The id under which the answer is returned.
        call: CallId,
        /// SHA-256 of the API key, as hex digits.
        key_sha256: Name,
        /// The name of the model or service.
        name: Name,
    },
    /// The task that handles a request ended. If the request has no final answer yet, its caller
    /// disconnected, and the request is dropped.
    CallerGone {
        /// The request.
        request: RequestId,
    },
    /// An upstream sent the first byte of its answer to an attempt.
    AttemptStarted {
        /// The request.
        request: RequestId,
        /// The number of the attempt within the request, from 1.
        number: u32,
        /// How long the upstream took to its first byte.
        first_byte_ms: Millis,
    },
    /// An answer of an upstream states something about further requests.
    UpstreamStated {
        /// The name of the upstream.
        upstream: Name,
        /// The address that answered.
        address: SocketAddr,
        /// What the answer states.
        notice: Notice,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// The number of the attempt within the request, from 1.
        number: u32,
        /// How the attempt ended.
        outcome: AttemptOutcome,
    },
    /// Nothing accepts connections at the address of an upstream that was to be checked.
    UpstreamRefused {
        /// The start of the upstream that requests ran at.
        lifetime: Lifetime,
    },
    /// An operator sent an edit of the table.
    EditAsked {
        /// The id under which the answer is returned.
        call: CallId,
        /// The edit.
        edit: Edit,
    },
    /// A planned stop was requested by a signal.
    StopAsked,
}
