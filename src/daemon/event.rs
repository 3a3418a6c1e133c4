//! What can happen to a host.

use crate::attempt::message::{AttemptOutcome, RequestHead, RequestId};
use crate::membership::message::{PeerReply, PeerRequest, PlatformList};
use crate::placement::message::{EngineReport, OrderAnswer, StoreReport};
use crate::prelude::*;
use crate::shared_log::driver::{LogCallError, LogPage};
use crate::table::message::Edit;
use crate::table::pending_edits::CallId;

/// An input of [`crate::daemon::node::Node::handle`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A read of the log was answered.
    LogRead {
        /// When it was asked.
        asked_at: Millis,
        /// The answer.
        page: LogPage,
    },
    /// A read of the log failed.
    LogReadFailed {
        /// Why.
        error: LogCallError,
    },
    /// An append was answered.
    Appended,
    /// An append failed.
    AppendFailed {
        /// Why.
        error: LogCallError,
    },
    /// The platform's list was read.
    HostsListed {
        /// The list.
        list: PlatformList,
    },
    /// The platform's list could not be read.
    HostsFailed,
    /// The weight store reported.
    StoreReported {
        /// Its report, or nothing when it did not answer.
        report: Option<StoreReport>,
    },
    /// An engine was asked for its report.
    EngineReported {
        /// The engine.
        upstream: Name,
        /// When it was asked.
        asked_at: Millis,
        /// Its report, or nothing when it did not answer.
        report: Option<EngineReport>,
    },
    /// An engine answered an order.
    OrderAnswered {
        /// The copy.
        copy: Offset,
        /// The fencing number of the order.
        fence: Offset,
        /// The answer.
        answer: OrderAnswer,
    },
    /// A peer answered.
    PeerAnswered {
        /// The peer.
        peer: Incarnation,
        /// When it was asked.
        asked_at: Millis,
        /// Its answer.
        reply: PeerReply,
    },
    /// A peer did not answer.
    PeerFailed {
        /// The peer.
        peer: Incarnation,
    },
    /// A peer asks.
    PeerAsked {
        /// Names the call, for the answer.
        call: CallId,
        /// What it asks.
        request: PeerRequest,
    },
    /// A caller's request came.
    RequestArrived {
        /// What the decisions need of it.
        head: RequestHead,
    },
    /// A caller asks which hosts to use.
    EntryAsked {
        /// Names the call, for the answer.
        call: CallId,
        /// SHA-256 of the API key, as hex digits.
        key_sha256: Name,
        /// The model or service.
        name: Name,
    },
    /// The caller of a waiting request went away.
    CallerGone {
        /// The request.
        request: RequestId,
    },
    /// An attempt's answer began.
    AttemptStarted {
        /// The request.
        request: RequestId,
        /// Which attempt.
        number: u32,
        /// How long the upstream took to its first byte.
        first_byte_ms: Millis,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        request: RequestId,
        /// Which attempt.
        number: u32,
        /// How.
        outcome: AttemptOutcome,
    },
    /// An operator sent an edit.
    EditAsked {
        /// Names the call, for the answer.
        call: CallId,
        /// The edit.
        edit: Edit,
    },
    /// A planned stop was asked for.
    StopAsked,
}
