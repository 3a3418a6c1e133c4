//! The entries of the table, and the edits that change it.

use crate::clock::Millis;
use crate::shared_log::record::Offset;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The urgency of a row's requests, most urgent first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// A person waits for the answer and cannot work without it.
    Critical,
    /// A person waits for the answer.
    #[default]
    Normal,
    /// No person waits for the answer.
    Batch,
}

/// The key of a row: one brand and one model or service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RowKey {
    /// The name of the brand.
    pub brand: Arc<str>,
    /// The name of the model, adapter or service.
    pub model: Arc<str>,
}

/// The limits and priorities of one brand's requests to one model or service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// The share of capacity under saturation, relative to the other rows; 1 by default.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Most requests per second over all hosts together; unlimited if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_s: Option<u32>,
    /// Most running requests at each host; unlimited if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub concurrent_requests: Option<u32>,
    /// Most replicas of the model that this brand asks for; 1 by default.
    #[serde(default = "default_copies")]
    pub copies: u32,
    /// The urgency of the row's requests.
    #[serde(default)]
    pub urgency: Urgency,
    /// The time from its arrival within which a request must be answered if it states none; one
    /// minute by default.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: Millis,
    /// The data centres in which the model may run; all if empty. A model with several rows runs
    /// only where all of them allow it.
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
    /// The version that is served.
    pub version: Arc<str>,
    /// The engine memory that a copy needs for its weights and key-value cache.
    pub reserved_bytes: u64,
    /// The bytes that an engine fetches from the weight store to load a copy.
    pub checkpoint_bytes: u64,
    /// For an adapter, the base model that must be loaded on the same engine.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<Arc<str>>,
}

/// A plain service and the upstreams that run it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The names of these upstreams.
    pub upstreams: Vec<Arc<str>>,
}

/// A brand whose callers may send requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Brand {
    /// The SHA-256 digest of each of its API keys, as 64 hex digits.
    pub key_sha256: Vec<Arc<str>>,
}

/// The limits on loads of copies, which protect the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreLimits {
    /// Most loads that run at the same time.
    pub parallel_loads: u32,
    /// Most loads that start within one second.
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

/// One change of an entry of the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum Change {
    /// Adds or replaces a row.
    PutRow {
        /// The brand and the model or service of the row.
        #[serde(flatten)]
        key: RowKey,
        /// The new content of the row.
        row: Row,
    },
    /// Removes a row.
    RemoveRow {
        /// The brand and the model or service of the row.
        #[serde(flatten)]
        key: RowKey,
    },
    /// Adds or replaces a model.
    PutModel {
        /// The name of the model or adapter.
        name: Arc<str>,
        /// The new content of the model.
        model: Model,
    },
    /// Removes a model, which no row or adapter may still refer to.
    RemoveModel {
        /// The name of the model or adapter.
        name: Arc<str>,
    },
    /// Adds or replaces a service.
    PutService {
        /// The name of the service.
        name: Arc<str>,
        /// The new content of the service.
        service: Service,
    },
    /// Removes a service, which no row may still refer to.
    RemoveService {
        /// The name of the service.
        name: Arc<str>,
    },
    /// Adds or replaces a brand.
    PutBrand {
        /// The name of the brand.
        name: Arc<str>,
        /// The new content of the brand.
        brand: Brand,
    },
    /// Removes a brand, which no row may still refer to.
    RemoveBrand {
        /// The name of the brand.
        name: Arc<str>,
    },
    /// Sets the weight store's limits.
    SetStore {
        /// The new limits.
        limits: StoreLimits,
    },
}

/// An operator's edit of the table, which takes effect as a whole or not at all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// An id chosen by the operator, which makes the edit idempotent: a repeated edit gets the
    /// answer of the first one.
    pub edit_id: Arc<str>,
    /// The name of the operator, for the history.
    pub operator: Arc<str>,
    /// The table version on which the edit is based. It is rejected if an entry that it changes
    /// was changed after this version.
    pub base_version: Offset,
    /// The changes, applied in order.
    pub changes: Vec<Change>,
}

/// An edit in the table's history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryLine {
    /// The offset of the edit's record. If the edit was accepted, it is also the table version that
    /// the edit produced.
    pub offset: Offset,
    /// The id chosen by the operator.
    pub edit_id: Arc<str>,
    /// The name of the operator.
    pub operator: Arc<str>,
    /// The number of its changes.
    pub changes: u32,
    /// The reason if the edit was rejected.
    pub rejected: Option<crate::shared_log::verdict::Rejection>,
}

/// The answer to an operator whose edit was accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum EditAnswer {
    /// No host serves requests by an older version of the table any more.
    InForce {
        /// The table version that the edit produced.
        version: Offset,
    },
    /// The edit is on the log, but some hosts may still serve requests by an older version.
    Pending {
        /// The table version that the edit produced.
        version: Offset,
        /// The names of the hosts that have not confirmed the version.
        unconfirmed: Vec<Arc<str>>,
    },
}
