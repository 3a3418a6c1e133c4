//! Entries of hosts and upstreams as the log and the platform's list have them, and the messages
//! between hosts.

use crate::admission::quota::QuotaGrant;
use crate::clock::Millis;
use crate::idempotency::message::{OperationKey, OperationState};
use crate::membership::leaving::LeavingHint;
use crate::placement::policy::demand::DemandHints;
use crate::retry::{CrashReport, CrashUpdate};
use crate::shared_log::record::{Incarnation, LoggedRecord, Offset};
use crate::table::message::RowKey;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// The addresses and data centre of a host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostEntry {
    /// The host's name, from its settings.
    pub name: Arc<str>,
    /// The name of the host's data centre.
    pub data_centre: Arc<str>,
    /// The address where callers connect.
    pub caller_address: SocketAddr,
    /// The address where other hosts connect.
    pub peer_address: SocketAddr,
}

/// The kind of an upstream.
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
    /// The upstream's name.
    pub name: Arc<str>,
    /// Whether it is an engine or a plain service.
    pub role: UpstreamRole,
    /// The address at which it takes requests.
    pub address: SocketAddr,
    /// The name of its data centre.
    pub data_centre: Arc<str>,
    /// The size of its accelerator memory; zero for services.
    #[serde(default)]
    pub memory_bytes: u64,
    /// Most requests that it runs in one batch; zero for services.
    #[serde(default)]
    pub slots: u32,
    /// Whether it refuses load and unload orders with an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether it is shutting down and takes no new requests.
    #[serde(default)]
    pub leaving: bool,
}

/// A host in the platform's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedHost {
    /// The host's name.
    pub name: Arc<str>,
    /// The incarnation that registered last under this name, if it stated one.
    pub incarnation: Option<Incarnation>,
}

/// The platform's list of upstreams and hosts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlatformList {
    /// The engines and plain services.
    pub upstreams: Vec<UpstreamEntry>,
    /// The hosts.
    pub hosts: Vec<ListedHost>,
}

/// A request from one host to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// A heartbeat that carries the sender's offset.
    Probe(Probe),
    /// The sender's demand for models.
    Demand(DemandHints),
    /// A request for applied log records, starting at an offset.
    Records {
        /// The offset of the first requested record.
        from: Offset,
    },
    /// A request to the home of a table row for a slice of the row's limit of requests per second.
    Slice {
        /// The key of the row.
        row: RowKey,
        /// Number of requests that are waiting for it at the sender.
        wanted: u32,
    },
    /// A request to the host that claimed an operation for the operation's state.
    Operation {
        /// The key of the operation.
        operation: OperationKey,
    },
    /// The sender's evidence on requests that crash upstreams.
    Crashes(CrashReport),
}

/// The reply to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// The reply to a probe, with the replying host's own state.
    Probe(Probe),
    /// The demand was received.
    Noted,
    /// Applied log records in the order of the log.
    Records {
        /// The records; empty if there are none yet, or if they are no longer kept.
        records: Vec<LoggedRecord>,
        /// The offset after the last record that the replying host has applied.
        next_offset: Offset,
    },
    /// A slice of a row's limit of requests per second.
    Slice {
        /// The key of the row.
        row: RowKey,
        /// The granted slice.
        slice: QuotaGrant,
        /// The number of waiting requests that the request stated.
        wanted: u32,
    },
    /// The state of an operation that the replying host claimed.
    Operation {
        /// The key of the operation.
        operation: OperationKey,
        /// The state of the operation.
        state: OperationState,
    },
    /// The evidence on requests that crash upstreams which the asking host lacks.
    Crashes(CrashUpdate),
}

/// The content of a probe and of its answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Probe {
    /// The incarnation of the sender.
    pub from: Incarnation,
    /// The offset after the last log record that the sender has applied.
    pub next_offset: Offset,
    /// The time since the start of the newest read that reached the end of the log and whose
    /// records the sender has all applied; another host may have made the read. `None` if there is
    /// none.
    pub log_age_ms: Option<Millis>,
    /// Whether the sender is shutting down.
    pub stopping: bool,
    /// The upstreams that the sender knows to be leaving.
    pub leaving_upstreams: Vec<LeavingHint>,
    /// The hosts that the sender suspects to be down.
    pub suspects: Vec<Incarnation>,
}
