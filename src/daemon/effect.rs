//! The effects by which a host reacts to events.

use crate::attempt::message::{Attempt, RequestId};
use crate::idempotency::message::KeptAnswer;
use crate::membership::entry::EntryAnswer;
use crate::membership::message::{PeerReply, PeerRequest};
use crate::placement::message::EngineOrder;
use crate::prelude::*;
use crate::table::pending_edits::{CallId, EditResult};
use crate::upstreams::Lifetime;
use std::net::SocketAddr;

/// The effects of one event, in the order in which they are started.
pub type Effects = Vec<Effect>;

/// An effect that [`crate::daemon::node::Node::handle`] returns to be carried out.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Effect {
    /// Reads the shared log.
    ReadLog {
        /// The offset of the first record to read.
        from: Offset,
        /// How long the log service may wait for a record if there is none yet.
        wait_ms: Millis,
    },
    /// Appends records to the shared log.
    AppendLog {
        /// The records, in the order of the log.
        records: Vec<Record>,
    },
    /// Reads the platform's list of hosts and upstreams.
    ListHosts,
    /// Registers or renews this host in the platform's list.
    RegisterHost {
        /// The incarnation to register.
        host: Incarnation,
    },
    /// Removes this host from the platform's list.
    UnregisterHost,
    /// Requests the weight store's report.
    AskStore,
    /// Requests an engine's report.
    AskEngine {
        /// The name of the engine.
        upstream: Name,
        /// The engine's address.
        address: SocketAddr,
        /// The current time, returned with the report.
        asked_at: Millis,
    },
    /// Sends an order to an engine, or only queries the state of the order there.
    OrderEngine {
        /// The id of the copy: the offset of the record that decided its load.
        copy: Offset,
        /// The engine's address.
        address: SocketAddr,
        /// The order.
        order: EngineOrder,
        /// Whether to query the state of the order without sending it.
        watch_only: bool,
        /// The latest time at which the call may start.
        begin_by: Millis,
    },
    /// Sends a request to a peer.
    AskPeer {
        /// The peer.
        peer: Incarnation,
        /// The peer's address.
        address: SocketAddr,
        /// The current time, returned with the reply.
        asked_at: Millis,
        /// The request.
        request: PeerRequest,
    },
    /// Replies to a peer's request.
    AnswerPeer {
        /// The id of the peer's request.
        call: CallId,
        /// The reply.
        reply: PeerReply,
    },
    /// Sends a request to an upstream.
    Begin {
        /// The attempt, with the upstream and its limits of time.
        attempt: Attempt,
    },
    /// Checks whether an upstream still accepts connections.
    CheckUpstream {
        /// The start of the upstream that requests ran at.
        lifetime: Lifetime,
        /// The upstream's address.
        address: SocketAddr,
    },
    /// Answers a request with a refusal.
    Refuse {
        /// The request.
        request: RequestId,
        /// The refusal.
        refusal: Refusal,
    },
    /// Answers a request with the kept answer of its operation.
    GiveAnswer {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: KeptAnswer,
    },
    /// Answers a caller that asked which hosts it may connect to.
    AnswerEntry {
        /// The id of the caller's call.
        call: CallId,
        /// The hosts, or a refusal.
        result: Result<EntryAnswer, Refusal>,
    },
    /// Answers an operator's edit.
    AnswerEdit {
        /// The id of the operator's call.
        call: CallId,
        /// Whether the edit is in force, or a refusal.
        result: EditResult,
    },
    /// Ends the process.
    Exit,
}
