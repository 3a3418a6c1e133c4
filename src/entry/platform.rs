//! What an entry host needs of the platform that it runs on.

use crate::desired::DesiredState;
use crate::http1::{Headers, RequestHead, ResponseHead};
use crate::identity::{Credential, Identity};
use crate::ordering::message::{EngineReport, Order, OrderAnswer};
use crate::prelude::*;
use crate::upstreams::UpstreamEntry;
use snafu::Snafu;
use std::net::SocketAddr;

/// What the headers of a request say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestFacts {
    /// The request's id; the upstream's answer repeats it.
    pub id: Option<Name>,
    /// How long the caller waits.
    pub wait_ms: Option<Millis>,
    /// The model that is asked for.
    pub model: Option<ModelAsk>,
    /// The tokens of the prompt.
    pub prompt_tokens: u64,
    /// The tokens of the prompt and the most that the answer may have, where the request says them.
    pub counted_tokens: Option<u64>,
    /// The API key.
    pub credential: Credential,
    /// The parts of the prompt in order; the last one is the request's own.
    pub parts: Vec<PromptPart>,
}

/// A model, with an adapter where one is named.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ModelAsk {
    /// The model.
    pub model: Name,
    /// The adapter of it.
    pub adapter: Option<Name>,
}

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Names the part.
    pub id: u64,
    /// Its length.
    pub tokens: u64,
}

/// What a host adds to a request that it sends to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct SendFacts<'a> {
    /// How long the upstream may work on it.
    pub left_ms: Millis,
    /// The lifetime of the upstream that is to run it.
    pub upstream: &'a str,
    /// Who sent the request.
    pub identity: &'a Identity,
    /// An engine that has read the beginning of the prompt, from which the upstream is to fetch it.
    pub fetch_prefix_from: Option<SocketAddr>,
    /// The last event that the caller has, where a stream goes on.
    pub resume_after: Option<&'a str>,
}

/// What the headers of an upstream's answer say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerFacts {
    /// The id of the request that it answers.
    pub request_id: Option<Name>,
    /// Whether the answer bears the upstream's seal.
    pub is_sealed: bool,
    /// Whether the upstream says that it did not run the request.
    pub not_run: bool,
    /// Whether another lifetime than the expected one has the address; its id, or an empty one.
    pub other_lifetime: Option<Name>,
    /// Whether the upstream has the request's lifetime but not the model.
    pub lacks_model: bool,
    /// How many requests a second the upstream takes from all hosts together, where it says so.
    pub limit_per_s: Option<f64>,
}

/// A question which addresses to use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DirectoryQuestion {
    /// The caller's data centre.
    pub data_centre: Name,
}

/// The tables that the operator and the upstreams write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Table {
    /// Desired states.
    Desired,
    /// The list of upstreams.
    Upstreams,
}

impl Table {
    /// Returns the table's name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Desired => "desired",
            Self::Upstreams => "upstreams",
        }
    }
}

/// A row of a table.
#[derive(Clone, Debug, PartialEq)]
pub struct TableRow {
    /// Its key.
    pub key: Name,
    /// The offset of the record that wrote it.
    pub offset: Offset,
    /// What it holds.
    pub value: RowValue,
}

/// What a row holds.
#[derive(Clone, Debug, PartialEq)]
pub enum RowValue {
    /// A desired state.
    Desired(DesiredState),
    /// An upstream.
    Upstream(UpstreamEntry),
    /// Nothing more: the key was removed.
    Removed,
    /// Something that cannot be read, with the reason.
    Unreadable(String),
}

/// Rows of a table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TablePage {
    /// The rows.
    pub rows: Vec<TableRow>,
    /// The offset from which to follow the table.
    pub end: Offset,
    /// The key to go on after, when there is more.
    pub more_after: Option<Name>,
    /// Whether the table had more changes than a page of them.
    pub is_cut: bool,
}

/// What a host learns when it joins the group or stays in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Joined {
    /// The group's generation.
    pub generation: u64,
    /// Whether the group lists this host.
    pub is_listed: bool,
}

/// A read of a table's changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChangesAsk {
    /// The first offset.
    pub from: Offset,
    /// How long to wait for a change.
    pub wait_ms: Millis,
    /// How much longer the answer may take.
    pub answer_ms: Millis,
    /// How much of them to return.
    pub size: PageSize,
}

/// How many changes a read returns at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PageSize {
    /// As many as the store gives in one answer.
    Full,
    /// Some hundred, for a host that takes more than these from another one.
    Short,
}

/// Why a call of the store failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum StoreError {
    /// It refused; nothing was done.
    #[snafu(display("the store refused: status {status}"))]
    Refused {
        /// The status.
        status: u16,
    },
    /// There was no answer; the call may have taken effect, or may do so later.
    #[snafu(display("no answer of the store: {why}"))]
    NoAnswer {
        /// Why.
        why: String,
    },
    /// The records asked for are no longer kept.
    #[snafu(display("the records are no longer kept"))]
    Trimmed,
    /// The answer cannot be read.
    #[snafu(display("the store's answer cannot be read: {why}"))]
    Unreadable {
        /// Why.
        why: String,
    },
}

/// The outcome of a conditional append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The record is at this offset.
    Appended(Offset),
    /// The stream ends elsewhere; nothing was appended.
    EndMoved(Offset),
}

/// The end of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEnd {
    /// The offset after the last record of the stream.
    pub end: Offset,
    /// The newest record, unless none is kept.
    pub newest: Option<Vec<u8>>,
}

/// The kinds of calls of the platform's store, told apart in the metrics: each costs the site, and an outage shows in
/// some kinds only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Reading the newest rows of a table.
    ReadTable,
    /// Reading the changes of a table.
    FollowTable,
    /// Joining the group of hosts, or staying in it.
    Join,
    /// Leaving the group of hosts.
    Leave,
    /// Reading the group of hosts.
    ReadMembers,
    /// Appending to the stream of leases.
    AppendLease,
    /// Reading the stream of leases.
    ReadLeases,
}

impl StoreCall {
    /// Returns the kind's name for metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::ReadTable => "read_table",
            Self::FollowTable => "follow_table",
            Self::Join => "join",
            Self::Leave => "leave",
            Self::ReadMembers => "read_members",
            Self::AppendLease => "append_lease",
            Self::ReadLeases => "read_leases",
        }
    }
}

/// The platform's store, as far as an entry host uses it.
pub trait Platform {
    /// Reads the headers of a caller's request.
    fn read_request(&self, headers: &Headers) -> RequestFacts;

    /// Makes the headers of a request fit for an upstream: removes what callers may not set, adds what hosts set.
    fn address_request(&self, headers: &mut Headers, facts: &SendFacts<'_>);

    /// Reads the headers of an upstream's answer; `expected` is the lifetime that was asked.
    fn read_answer(&self, head: &ResponseHead, expected: &str) -> AnswerFacts;

    /// Returns the headers of an answer of the host's own to a request with this id.
    fn own_answer(&self, request_id: Option<&str>) -> Headers;

    /// Reads a question which addresses to use; nothing when it is another question.
    fn read_directory(&self, head: &RequestHead) -> Option<DirectoryQuestion>;

    /// Writes the answer which addresses to use, as JSON.
    fn write_directory(&self, addresses: &[SocketAddr], ttl_ms: Millis) -> Vec<u8>;

    /// Tells whether a request asks if the host is ready.
    fn asks_ready(&self, head: &RequestHead) -> bool;

    /// Reads a page of a table's newest rows.
    fn read_table(
        &self,
        table: Table,
        after: Option<&str>,
    ) -> impl Future<Output = Result<TablePage, StoreError>>;

    /// Reads the changes of a table from an offset on, waiting at its end.
    fn follow_table(
        &self,
        table: Table,
        ask: ChangesAsk,
    ) -> impl Future<Output = Result<TablePage, StoreError>>;

    /// Joins the group of hosts or keeps this one in it.
    fn join(
        &self,
        member: &str,
        generation: u64,
        lapse_ms: Millis,
    ) -> impl Future<Output = Result<Joined, StoreError>>;

    /// Leaves the group of hosts.
    fn leave(&self, member: &str) -> impl Future<Output = Result<(), StoreError>>;

    /// Reads the members of the group of hosts.
    fn members(&self) -> impl Future<Output = Result<IndexSet<Name>, StoreError>>;

    /// Appends a record to the stream of leases if it ends at `end`.
    fn append_lease(
        &self,
        end: Offset,
        record: &[u8],
    ) -> impl Future<Output = Result<AppendOutcome, StoreError>>;

    /// Reads the end of the stream of leases. It was no earlier than `from`.
    fn read_leases(&self, from: Offset) -> impl Future<Output = Result<StreamEnd, StoreError>>;

    /// Sends an order to an engine at an address. `fence` is the orderer's fencing token.
    fn order(
        &self,
        address: SocketAddr,
        upstream: &str,
        holder: &str,
        fence: u64,
        order: &Order,
    ) -> impl Future<Output = OrderAnswer>;

    /// Reads an engine's report, or returns why there is none.
    fn report(
        &self,
        address: SocketAddr,
        upstream: &str,
    ) -> impl Future<Output = Result<EngineReport, String>>;
}
