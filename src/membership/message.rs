//! What is said about hosts and upstreams, on the log and between hosts.

use crate::admission::quota::QuotaGrant;
use crate::clock::Millis;
use crate::idempotency::message::{OperationKey, OperationState};
use crate::membership::leaving::LeavingHint;
use crate::placement::policy::demand::DemandHints;
use crate::shared_log::record::{Incarnation, LoggedRecord, Offset};
use crate::table::message::RowKey;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// A host's addresses and place.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Its name in its settings.
    pub name: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where other hosts connect.
    pub peer_address: SocketAddr,
}

/// What an upstream is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamRole {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// An upstream's address and properties, as the platform's list has them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// Its name.
    pub name: Arc<str>,
    /// What it is.
    pub role: UpstreamRole,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Accelerator memory; zero for services.
    #[serde(default)]
    pub memory_bytes: u64,
    /// How many requests it batches at once; zero for services.
    #[serde(default)]
    pub slots: u32,
    /// Whether it refuses orders that carry an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// An entry host as the platform's list has it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Its name.
    pub name: Arc<str>,
    /// The process that registered last, when it said so.
    pub incarnation: Option<Incarnation>,
}

/// The platform's list of hosts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostList {
    /// Engines and services.
    pub upstreams: Vec<UpstreamEntry>,
    /// Entry hosts.
    pub hosts: Vec<ListedHost>,
}

/// What one host asks of another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Shows life and exchanges offsets.
    Probe(Probe),
    /// Tells of demand for models.
    Demand(DemandHints),
    /// Asks for applied records from an offset on.
    Records {
        /// The first offset wanted.
        from: Offset,
    },
    /// Asks a row's home for a slice of its requests a second.
    Slice {
        /// The row.
        row: RowKey,
        /// How many requests wait for it.
        wanted: u32,
    },
    /// Asks the claimer of an operation how it stands.
    Operation {
        /// The operation.
        operation: OperationKey,
    },
}

/// What one host answers to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// The answer to a probe.
    Probe(Probe),
    /// The hints were taken.
    Noted,
    /// Applied records, in order.
    Records {
        /// The records; empty when there are none, or they are no longer kept.
        records: Vec<LoggedRecord>,
        /// The sender's next offset.
        next_offset: Offset,
    },
    /// A slice of a row's requests a second.
    Slice {
        /// The row.
        row: RowKey,
        /// The slice.
        slice: QuotaGrant,
        /// How many requests were asked for.
        wanted: u32,
    },
    /// How an operation stands that the sender claimed.
    Operation {
        /// The operation.
        operation: OperationKey,
        /// How it stands.
        state: OperationState,
    },
}

/// The content of a probe and of its answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Probe {
    /// The sender.
    pub from: Incarnation,
    /// The sender's next offset.
    pub next_offset: Offset,
    /// How long ago the sender's newest read that reached the end of the log began.
    pub log_age_ms: Option<Millis>,
    /// Whether the sender is stopping.
    pub stopping: bool,
    /// Upstreams that the sender knows to be leaving.
    pub leaving_upstreams: Vec<LeavingHint>,
    /// Hosts that the sender suspects to be dead.
    pub suspects: Vec<Incarnation>,
}
