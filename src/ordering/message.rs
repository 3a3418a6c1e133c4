//! Orders to engines, their answers and reports, and the messages between a host and the orderer.

use crate::entry::desired_copy::DesiredCopy;
use crate::entry::followed::TablesWord;
use crate::entry::list_copy::{ListAsk, ListPart};
use crate::entry::platform::{AppendOutcome, ModelAsk};
use crate::group::Member;
use crate::group::members::MembersNews;
use crate::ordering::demand::AskCount;
use crate::ordering::host_reports::HostReport;
use crate::ordering::lease::Resignation;
use crate::ordering::published::{EnginesNews, EnginesVersion};
use crate::prelude::*;
use crate::rate_limit::{LimitsUpdate, UpstreamLimitsReport, UpstreamLimitsUpdate, Usage};
use crate::retry::{CrashReport, CrashUpdate};
use crate::routing::pick::UpstreamLoad;
use crate::upstreams::HeldModel;

/// What an engine is told to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Loads a model or an adapter.
    Load,
    /// Drops a model or an adapter.
    Unload,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// What to do.
    pub action: Action,
    /// With which model or adapter.
    pub ask: ModelAsk,
    /// How many orders the engine has accepted; it refuses the order when there are more.
    pub after_orders: u64,
    /// The start of the engine that the order is for; one of the same name that started later has other counts.
    pub born_at: Millis,
}

/// What an engine answered to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAnswer {
    /// It carries the order out.
    Accepted,
    /// It already is as ordered.
    AlreadyDone,
    /// Another order is under way, or it has accepted more orders than the order says.
    Conflict,
    /// A higher fencing token was seen.
    Fenced,
    /// Another lifetime has its address.
    OtherLifetime,
    /// The order cannot be carried out.
    Invalid,
    /// There was no answer; the order may be carried out now, later or never.
    Silent,
    /// The order was not sent: this host may not order any more.
    NotSent,
}

/// What an engine reports of itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineReport {
    /// The Unix time of the engine's start; zero where it does not say.
    pub born_at: Millis,
    /// How many orders it has accepted.
    pub order_count: u64,
    /// Whether it is carrying one out.
    pub busy: bool,
    /// The models and adapters that it holds.
    pub models: Vec<HeldModel>,
    /// Adapters on their way to it.
    pub coming: Vec<ModelAsk>,
    /// Models whose weights it has on disk or in memory, where it says so.
    pub at_hand: Option<Vec<Name>>,
}

/// What a host tells the orderer, or a relay that tells it the orderer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SyncAsk {
    /// The incarnation of the host's process.
    pub incarnation: u64,
    /// Whether the host that is asked is taken for the orderer, not for a relay.
    pub is_for_orderer: bool,
    /// Whether the orderer is to hear it at once: a request waits for a model, or a long prompt begins or ends.
    pub is_urgent: bool,
    /// The version of what it knows of the engines.
    pub view_version: EnginesVersion,
    /// The generation of its list of hosts.
    pub members_generation: u64,
    /// What its callers asked since the last message.
    pub demand: Vec<(ModelAsk, AskCount)>,
    /// Its own work at each engine.
    pub work: Vec<(Name, UpstreamLoad)>,
    /// From where it wants rows of the list of upstreams.
    pub upstreams_from: Option<Offset>,
    /// How many other hosts speak through it.
    pub through: u32,
    /// What organisations used at these hosts, as far as it was not reported.
    pub usage: Vec<Usage>,
    /// Requests that were under way at crashes of upstreams.
    pub crashes: CrashReport,
    /// The limits that upstreams named, and what they got.
    pub upstream_limits: UpstreamLimitsReport,
}

impl SyncAsk {
    /// Takes out what the host tells of its callers and its work.
    pub fn take_report(&mut self) -> HostReport {
        HostReport {
            through: self.through,
            demand: std::mem::take(&mut self.demand),
            work: std::mem::take(&mut self.work),
        }
    }
}

/// What the orderer knows, for one host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OrdererNews {
    /// How long ago the orderer said so; zero from the orderer itself.
    pub age_ms: Millis,
    /// Where the stream of leases ends after the orderer's newest record; from the orderer itself only.
    pub lease_end: Option<Offset>,
    /// The orderer.
    pub orderer: Member,
    /// What the engines hold, as far as it changed since the asker's version.
    pub engines: EnginesNews,
    /// The other hosts' work at each engine.
    pub work: Vec<(Name, UpstreamLoad)>,
    /// How long until models are expected to be ready.
    pub ready_in_ms: Vec<(ModelAsk, Millis)>,
    /// The models whose copies are kept apart for long and for short prompts.
    pub separate: Vec<Name>,
    /// How new the platform's tables are.
    pub tables: TablesWord,
    /// How the list of hosts changed, when the asker's is older.
    pub members: Option<MembersNews>,
    /// What hosts add up, with or without an orderer.
    pub totals: Totals,
}

/// What hosts add up of their counts, at the orderer or at a relay in its place.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Totals {
    /// What is left of the limits of organisations.
    pub limits: Option<LimitsUpdate>,
    /// The requests that crash upstreams.
    pub crashes: CrashUpdate,
    /// The limits that upstreams named, and what is left of them.
    pub upstream_limits: UpstreamLimitsUpdate,
}

/// A call between hosts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerCall {
    /// Telling what this host's callers ask.
    Sync(SyncAsk),
    /// Appending a record to the stream of leases in place of a host that does not reach the store.
    AppendLease {
        /// Where the stream must end.
        end: Offset,
        /// The record.
        record: Vec<u8>,
    },
    /// Asking for a part of the list of upstreams.
    List(ListAsk),
    /// Asking for the newest desired state.
    Desired,
}

/// The answer to a call between hosts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// To [`PeerCall::Sync`].
    Sync(SyncReply),
    /// To [`PeerCall::AppendLease`]: nothing when the store did not answer here either.
    AppendedLease(Option<AppendOutcome>),
    /// To [`PeerCall::List`]: nothing when the host that was asked does not have it itself, or relays for no others.
    List(Option<ListPart>),
    /// To [`PeerCall::Desired`]: nothing when the host that was asked relays for no others, or has read no state since it does.
    Desired(Option<DesiredCopy>),
}

/// What the orderer or a relay answers a host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum SyncReply {
    /// The host that was asked neither orders nor relays.
    NotOrderer {
        /// The host that perhaps does.
        holder: Option<Member>,
        /// Its word that it did and does no more.
        resignation: Option<Resignation>,
        /// The requests that crash upstreams.
        crashes: CrashUpdate,
    },
    /// The host that was asked relays, but has not heard of an orderer.
    NoNews {
        /// What the hosts of this relay add up.
        totals: Totals,
    },
    /// What the orderer knows.
    News(Box<OrdererNews>),
}
