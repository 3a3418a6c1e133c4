//! Orders to engines, their answers and reports, and the messages between a host and the orderer.

use crate::entry::desired_copy::DesiredCopy;
use crate::entry::list_copy::{ListPart, ListRequest};
use crate::entry::platform::{AppendOutcome, ModelRef};
use crate::entry::replication::{TablesUpdate, UpstreamRow};
use crate::group::members::MembersUpdate;
use crate::group::{Generation, Member};
use crate::ordering::demand::RequestCounts;
use crate::ordering::event_gaps::GapSample;
use crate::ordering::host_reports::HostReport;
use crate::ordering::lease::Resignation;
use crate::ordering::published::{EnginesUpdate, EnginesVersion};
use crate::prelude::*;
use crate::rate_limit::{
    LimitsUpdate, LineReport, LinesUpdate, PlaceUpdate, SentPlace, UpstreamLimitsReport,
    UpstreamLimitsUpdate, Usage,
};
use crate::resumption::message::KnownVersions;
use crate::resumption::stored::StoredStream;
use crate::resumption::{StreamKey, StreamRecord};
use crate::retry::{CrashReport, CrashUpdate};
use crate::routing::pick::UpstreamLoad;
use crate::upstreams::HeldModel;
use crate::upstreams::stated_load::ToldLoad;

/// An operation that the orderer requests from an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Loads a model or an adapter into memory.
    Load,
    /// Removes a model or an adapter from memory.
    Unload,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The operation.
    pub action: Action,
    /// The model or adapter to load or unload.
    pub ask: ModelRef,
    /// The number of orders that the engine must have accepted before this one. The engine refuses
    /// the order with a conflict if it has accepted more.
    pub after_orders: u64,
    /// The start of the engine, in Unix time, that the order is meant for. An engine that was
    /// restarted under the same name counts its orders from zero again.
    pub born_at: Millis,
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAnswer {
    /// The engine started to carry out the order.
    Accepted,
    /// The engine already is in the ordered state.
    AlreadyDone,
    /// Another order is being carried out, or the engine has accepted more orders than
    /// [`Order::after_orders`] says.
    Conflict,
    /// The engine has seen a higher fencing token.
    Fenced,
    /// The engine at this address has another name or another start than the order is meant for.
    OtherLifetime,
    /// The order cannot be carried out.
    Invalid,
    /// No answer arrived. The order may have been carried out, may be carried out later, or never.
    Silent,
    /// The order was not sent, because this host no longer has the right to send orders.
    NotSent,
}

/// An engine's report of its own state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineReport {
    /// The engine's start in Unix time; zero if the engine does not report it.
    pub born_at: Millis,
    /// The number of orders that it has accepted since its start.
    pub order_count: u64,
    /// Whether it is carrying out an order.
    pub busy: bool,
    /// The models that it holds, with their adapters.
    pub models: Vec<HeldModel>,
    /// Adapters that it is loading.
    pub coming: Vec<ModelRef>,
    /// Models whose weights it has cached on disk or in memory; `None` if it does not report that.
    pub at_hand: Option<Vec<Name>>,
}

/// A host's periodic message to the orderer, or to a relay that passes its content on to the
/// orderer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The incarnation of the host's process.
    pub incarnation: u64,
    /// Whether the sender takes the receiver for the orderer; otherwise for a relay.
    pub is_for_orderer: bool,
    /// Whether a relay should contact the orderer at once instead of at its next interval: a
    /// request waits for a model, or a long prompt starts or ends.
    pub is_urgent: bool,
    /// The version of the engines' state that the sender has.
    pub view_version: EnginesVersion,
    /// The generation of the member list that the sender has.
    pub members_generation: Generation,
    /// The changes of the member list that the receiver lacks, if it cannot read the list itself.
    pub members: Option<MembersUpdate>,
    /// The requests of the sender's callers since its last message.
    pub demand: Vec<(ModelRef, RequestCounts)>,
    /// The sender's own request load on each engine.
    pub work: Vec<(Name, UpstreamLoad)>,
    /// The time between events of streams that ended since the sender's last message.
    pub event_gaps: Vec<GapSample>,
    /// The version of the desired state in force at the sender.
    pub desired_version: Option<u64>,
    /// The offset from which the sender needs rows of the list of upstreams.
    pub upstreams_from: Option<Position>,
    /// The rows of that list which the sender has and the receiver lacks, as far as the sender knows.
    pub upstream_rows: Vec<UpstreamRow>,
    /// How many other hosts report through the sender, if it is a relay.
    pub through: u32,
    /// What organisations used at these hosts and was not reported before.
    pub usage: Vec<Usage>,
    /// What waits for the rate limits of organisations at these hosts.
    pub lines: Vec<LineReport>,
    /// Requests that were running when an upstream crashed.
    pub crashes: CrashReport,
    /// The rate limits that upstreams announced, and what was sent to these upstreams.
    pub upstream_limits: UpstreamLimitsReport,
    /// The newest loads that upstreams of plain services stated and the receiver may not know.
    pub loads: Vec<ToldLoad>,
}

impl SyncRequest {
    /// Moves the demand and the request load out of the message.
    pub fn take_report(&mut self) -> HostReport {
        HostReport {
            relayed_hosts: self.through,
            demand: std::mem::take(&mut self.demand),
            work: std::mem::take(&mut self.work),
            event_gaps: std::mem::take(&mut self.event_gaps),
        }
    }
}

/// The orderer's state as sent to one host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OrdererUpdate {
    /// The age of the orderer's state; zero in a message from the orderer itself.
    pub age_ms: Millis,
    /// The end of the lease stream after the orderer's newest record; only in a message from the
    /// orderer itself.
    pub lease_end: Option<Position>,
    /// The current orderer.
    pub orderer: Member,
    /// What the engines hold: the changes since the version that the receiver has.
    pub engines: EnginesUpdate,
    /// The request load of all other hosts on each engine.
    pub work: Vec<(Name, UpstreamLoad)>,
    /// The expected time until each model or adapter that callers wait for is ready.
    pub ready_in_ms: Vec<(ModelRef, Millis)>,
    /// The models that use separate copies for long and for short prompts.
    pub separate: Vec<Name>,
    /// How far the store's tables reach, and their newest rows.
    pub tables: TablesUpdate,
    /// The generation of the member list that the sender has.
    pub members_generation: Generation,
    /// The changes of the member list, if the receiver has an older generation.
    pub members: Option<MembersUpdate>,
    /// Values that are aggregated over hosts, with or without an orderer.
    pub totals: Totals,
}

/// Values that the orderer, or a relay in its absence, aggregates over the hosts that report to it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Totals {
    /// What is left of the rate limits of organisations.
    pub limits: Option<LimitsUpdate>,
    /// What waits for the rate limits of organisations.
    pub lines: LinesUpdate,
    /// The requests that are known to crash upstreams.
    pub crashes: CrashUpdate,
    /// The rate limits that upstreams announced, and what is left of them.
    pub upstream_limits: UpstreamLimitsUpdate,
    /// The newest loads that upstreams of plain services stated.
    pub loads: Vec<ToldLoad>,
}

/// A call from one host to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerCall {
    /// Reports the demand of the sender's callers and asks for the orderer's state.
    Sync(SyncRequest),
    /// Appends a record to the lease stream for a host that cannot reach the store.
    AppendLease {
        /// The offset at which the stream must end for the append to succeed.
        end: Position,
        /// The encoded record.
        record: Vec<u8>,
    },
    /// Requests a part of the list of upstreams.
    List(ListRequest),
    /// Requests the desired state in force.
    Desired,
    /// States a host's version of the desired state, and asks for that of the called host.
    Version {
        /// The incarnation of the sender.
        from: u64,
        /// The version in force at the sender.
        version: Option<u64>,
    },
    /// Keeps records of streams; at most [`MAX_BATCH_RECORDS`] of them.
    ///
    /// [`MAX_BATCH_RECORDS`]: crate::resumption::message::MAX_BATCH_RECORDS
    KeepStreams(Vec<StreamRecord>),
    /// Asks for the record of a stream.
    FindStream(StreamKey),
    /// Keeps streams in the store; at most [`MAX_BATCH_RECORDS`] of them.
    ///
    /// [`MAX_BATCH_RECORDS`]: crate::resumption::message::MAX_BATCH_RECORDS
    StoreStreams(Vec<StoredStream>),
    /// Asks for the versions whose streams may be taken up.
    Versions,
    /// Keeps and removes reservations.
    KeepPlaces {
        /// The incarnation of the sender.
        from: u64,
        /// At most [`MAX_BATCH_PLACES`] updates.
        ///
        /// [`MAX_BATCH_PLACES`]: crate::rate_limit::place::MAX_BATCH_PLACES
        updates: Vec<PlaceUpdate>,
    },
    /// Takes a reservation.
    ClaimPlace {
        /// The incarnation of the sender.
        from: u64,
        /// The key of the reservation.
        key: u64,
    },
}

/// The answer to a call between hosts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// The answer to [`PeerCall::Sync`].
    Sync(SyncReply),
    /// The answer to [`PeerCall::AppendLease`]; `None` if the store did not answer the called host
    /// either.
    AppendedLease(Option<AppendOutcome>),
    /// The answer to [`PeerCall::List`]; `None` if the called host does not have the list itself or
    /// is no relay.
    List(Option<ListPart>),
    /// The answer to [`PeerCall::Desired`]; `None` if no desired state is in force at the called host.
    Desired(Option<DesiredCopy>),
    /// The answer to [`PeerCall::Version`].
    Version(Option<u64>),
    /// The answer to [`PeerCall::KeepStreams`] and [`PeerCall::StoreStreams`].
    KeptStreams,
    /// The answer to [`PeerCall::FindStream`].
    Stream {
        /// The record; `None` if the called host has none.
        record: Option<StreamRecord>,
        /// Whether the called host has read what the store keeps of such streams.
        has_read_store: bool,
    },
    /// The answer to [`PeerCall::Versions`].
    Versions(KnownVersions),
    /// The answer to [`PeerCall::KeepPlaces`]: the keys of reservations of requests that the sender
    /// refused which were claimed since its last call; at most [`MAX_BATCH_PLACES`].
    ///
    /// [`MAX_BATCH_PLACES`]: crate::rate_limit::place::MAX_BATCH_PLACES
    KeptPlaces(Vec<u64>),
    /// The answer to [`PeerCall::ClaimPlace`].
    Place {
        /// The reservation; `None` if the called host has none that is valid now.
        place: Option<SentPlace>,
        /// As in [`Self::KeptPlaces`].
        claimed: Vec<u64>,
    },
}

/// The orderer's or a relay's answer to a host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum SyncReply {
    /// The called host is neither the orderer nor a relay.
    NotOrderer {
        /// The host that may be the orderer, as far as the called host knows.
        holder: Option<Member>,
        /// Set if the called host was the orderer and has given up its lease.
        resignation: Option<Resignation>,
        /// The version of the desired state in force at the called host.
        desired_version: Option<u64>,
        /// The requests that are known to crash upstreams.
        crashes: CrashUpdate,
    },
    /// The called host is a relay that has no answer of an orderer yet.
    NoNews {
        /// The version of the desired state in force at the relay.
        desired_version: Option<u64>,
        /// Values that the relay aggregates over its hosts.
        totals: Totals,
    },
    /// The orderer's state.
    News(Box<OrdererUpdate>),
}
