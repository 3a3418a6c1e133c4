//! The table's rows and the edits that change it.

use crate::clock::Millis;
use crate::shared_log::record::Offset;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// How urgent a row's requests are, most urgent first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// A person waits and cannot go on.
    Critical,
    /// A person waits.
    #[default]
    Normal,
    /// Nobody waits.
    Batch,
}

/// Names a row: one brand and one model or service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RowKey {
    /// The brand.
    pub brand: Arc<str>,
    /// The model, adapter or service.
    pub model: Arc<str>,
}

/// What a brand gets of a model or service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Its share under saturation, relative to the other rows.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Most requests a second over all hosts, or no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_s: Option<u32>,
    /// Most requests at once at each host, or no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrent_requests: Option<u32>,
    /// Most replicas of the model that this brand asks for.
    #[serde(default = "default_copies")]
    pub copies: u32,
    /// How urgent its requests are.
    #[serde(default)]
    pub urgency: Urgency,
    /// The deadline of a request that names none.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: Millis,
    /// The data centres where it may run; all when empty. A model runs where all of its rows allow it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub data_centres: Vec<Arc<str>>,
}

fn default_weight() -> u32 {
    1
}

fn default_copies() -> u32 {
    1
}

fn default_deadline_ms() -> Millis {
    Millis(60_000)
}

/// A model or adapter that engines can load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The version to serve.
    pub version: Arc<str>,
    /// Bytes to reserve for a copy: weights and key-value cache.
    pub reserved_bytes: u64,
    /// Bytes to fetch for a copy.
    pub checkpoint_bytes: u64,
    /// The model that this adapter needs beside it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<Arc<str>>,
}

/// A plain service and the upstreams that run it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The upstreams' names.
    pub upstreams: Vec<Arc<str>>,
}

/// A brand that calls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Brand {
    /// SHA-256 of each of its API keys, as 64 hex digits.
    pub key_sha256: Vec<Arc<str>>,
}

/// What the weight store allows.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreLimits {
    /// Most loads at once.
    pub parallel_loads: u32,
    /// Most loads begun in a second.
    pub loads_per_s: u32,
}

impl Default for StoreLimits {
    fn default() -> Self {
        Self {
            parallel_loads: 4,
            loads_per_s: 2,
        }
    }
}

/// One change of the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum Change {
    /// Adds or replaces a row.
    PutRow {
        /// Which.
        #[serde(flatten)]
        key: RowKey,
        /// Its new content.
        row: Row,
    },
    /// Removes a row.
    RemoveRow {
        /// Which.
        #[serde(flatten)]
        key: RowKey,
    },
    /// Adds or replaces a model.
    PutModel {
        /// Which.
        name: Arc<str>,
        /// Its new content.
        model: Model,
    },
    /// Removes a model.
    RemoveModel {
        /// Which.
        name: Arc<str>,
    },
    /// Adds or replaces a service.
    PutService {
        /// Which.
        name: Arc<str>,
        /// Its new content.
        service: Service,
    },
    /// Removes a service.
    RemoveService {
        /// Which.
        name: Arc<str>,
    },
    /// Adds or replaces a brand.
    PutBrand {
        /// Which.
        name: Arc<str>,
        /// Its new content.
        brand: Brand,
    },
    /// Removes a brand.
    RemoveBrand {
        /// Which.
        name: Arc<str>,
    },
    /// Sets the weight store's limits.
    SetStore {
        /// The new limits.
        limits: StoreLimits,
    },
}

/// An edit: all of its changes take effect, or none.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// The operator's own identity of the edit; a repeated one has the first one's answer.
    pub edit_id: Arc<str>,
    /// Who made it.
    pub operator: Arc<str>,
    /// The table version it was made from.
    pub base_version: Offset,
    /// The changes, applied in order.
    pub changes: Vec<Change>,
}

/// A line of the table's history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryLine {
    /// The edit's offset: the table version it made, when it was accepted.
    pub offset: Offset,
    /// The edit's identity.
    pub edit_id: Arc<str>,
    /// Who made it.
    pub operator: Arc<str>,
    /// How many changes it had.
    pub changes: u32,
    /// Why it was rejected, when it was.
    pub rejected: Option<crate::shared_log::verdict::Rejection>,
}

/// What an operator is told of an edit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum EditAnswer {
    /// Every host that serves has it.
    InForce {
        /// The table version that it made.
        version: Offset,
    },
    /// It is on the log; these hosts have not confirmed it yet.
    Pending {
        /// The table version that it makes.
        version: Offset,
        /// Who has not confirmed.
        unconfirmed: Vec<Arc<str>>,
    },
}
