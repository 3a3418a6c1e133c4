//! What a host does about events.

use crate::attempt::message::{Attempt, RequestId};
use crate::idempotency::message::KeptAnswer;
use crate::membership::entry::EntryAnswer;
use crate::membership::message::{PeerReply, PeerRequest};
use crate::placement::message::EngineOrder;
use crate::prelude::*;
use crate::table::pending_edits::{CallId, EditResult};
use std::net::SocketAddr;

/// The effects of one event, in order.
pub type Effects = Vec<Effect>;

/// An output of [`crate::daemon::node::Node::handle`].
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Effect {
    /// Reads the log.
    ReadLog {
        /// The first offset wanted.
        from: Offset,
        /// How long the log may wait at its end.
        wait_ms: Millis,
    },
    /// Appends to the log.
    AppendLog {
        /// The records, in order.
        records: Vec<Record>,
    },
    /// Reads the platform's list.
    ListHosts,
    /// Registers or renews this host in the platform's list.
    RegisterHost {
        /// The incarnation to register.
        host: Incarnation,
    },
    /// Removes this host from the platform's list.
    UnregisterHost,
    /// Asks the weight store for its report.
    AskStore,
    /// Asks an engine for its report.
    AskEngine {
        /// The engine.
        upstream: Name,
        /// Its address.
        address: SocketAddr,
        /// The present time, given back with the report.
        asked_at: Millis,
    },
    /// Sends an engine an order, or only asks about it.
    OrderEngine {
        /// The copy.
        copy: Offset,
        /// The engine's address.
        address: SocketAddr,
        /// The order.
        order: EngineOrder,
        /// Whether only to ask about it.
        watch_only: bool,
        /// The call must not begin after this point.
        begin_by: Millis,
    },
    /// Asks a peer.
    AskPeer {
        /// The peer.
        peer: Incarnation,
        /// Its address.
        address: SocketAddr,
        /// The present time, given back with the answer.
        asked_at: Millis,
        /// What to ask.
        request: PeerRequest,
    },
    /// Answers a peer.
    AnswerPeer {
        /// The call.
        call: CallId,
        /// The answer.
        reply: PeerReply,
    },
    /// Begins an attempt.
    Begin {
        /// The attempt.
        attempt: Attempt,
    },
    /// Gives a request its final answer.
    Refuse {
        /// The request.
        request: RequestId,
        /// The answer.
        refusal: Refusal,
    },
    /// Gives a request the kept answer of its operation.
    GiveAnswer {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: KeptAnswer,
    },
    /// Answers a caller that asked which hosts to use.
    AnswerEntry {
        /// The call.
        call: CallId,
        /// The answer.
        result: Result<EntryAnswer, Refusal>,
    },
    /// Answers an operator's edit.
    AnswerEdit {
        /// The call.
        call: CallId,
        /// The answer.
        result: EditResult,
    },
    /// Ends the process.
    Exit,
}
