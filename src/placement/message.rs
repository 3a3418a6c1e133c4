//! Messages about copies and orders: load decisions on the log, orders to engines and their
//! answers, and the reports of engines and of the weight store.

use crate::clock::Millis;
use crate::shared_log::record::Offset;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A decision to load a copy. The offset of its record is the id of the copy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadDecision {
    /// The name of the model or adapter.
    pub model: Arc<str>,
    /// The version of the model, as in the table.
    pub version: Arc<str>,
    /// The number of the copy among the model's copies, from 0.
    pub copy_index: u32,
    /// The name of the engine.
    pub upstream: Arc<str>,
    /// The accelerator memory to reserve until the engine confirms that it is free.
    pub reserved_bytes: u64,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// The engine executed the order.
    Done,
    /// The engine refused the order or failed to execute it, and holds no memory for it.
    Failed,
    /// The order never reached the engine, and the executor will not send it.
    NotSent,
}

/// The action that an order requests from an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Load the copy.
    Load,
    /// Unload the copy.
    Unload,
}

/// An order to an engine, as sent to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The id of the order: the offset of the record that decided it.
    pub order: Offset,
    /// The fencing number: the offset of the decision or of the latest takeover.
    pub fence: Offset,
    /// The requested action.
    pub action: OrderAction,
    /// The name of the model or adapter.
    pub model: Arc<str>,
    /// The version of the model.
    pub version: Arc<str>,
    /// The accelerator memory reserved for the copy.
    pub bytes: u64,
    /// The base model, if the order is for an adapter.
    pub base: Option<Arc<str>>,
}

/// An engine's answer to an order, or the reason that there is none.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAnswer {
    /// The order was executed.
    Done,
    /// The order is still being executed.
    Running,
    /// The engine refused the order or failed to execute it, and holds no memory for it. Carries
    /// the error.
    Failed(String),
    /// The engine refused the order, since it has seen a higher fencing number.
    Fenced,
    /// The engine has never received the order.
    NeverSeen,
    /// No usable answer arrived; the engine may have accepted the order. Carries the error.
    Lost(String),
    /// The engine certainly did not accept the order: the call was not started in time, the
    /// connection failed, or the engine is leaving. Carries the error.
    NotSent(String),
}

/// A copy as reported by its engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportedCopy {
    /// The name of the model or adapter.
    pub model: Arc<str>,
    /// The version of the model.
    pub version: Arc<str>,
    /// The accelerator memory that the copy occupies.
    pub bytes: u64,
    /// The state of the copy at the engine.
    pub state: ReportedState,
    /// The id of the load order that created the copy, which is also the id of the copy.
    pub order: Offset,
}

/// The state of a copy at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportedState {
    /// The copy is being loaded.
    Loading,
    /// The copy serves requests.
    Ready,
    /// The copy is being unloaded.
    Unloading,
}

/// The checkpoints of model weights that an engine's machine caches, each as `model@version`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CheckpointCache {
    /// Checkpoints in the machine's main memory.
    #[serde(default)]
    pub memory: Vec<Arc<str>>,
    /// Checkpoints on the machine's disk.
    #[serde(default)]
    pub disk: Vec<Arc<str>>,
}

/// An engine's report of its own state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineReport {
    /// The accelerator memory of the engine.
    pub memory_bytes: u64,
    /// The accelerator memory in use.
    pub used_bytes: u64,
    /// Whether the engine is leaving and accepts no more loads.
    #[serde(default)]
    pub leaving: bool,
    /// Number of requests that the engine is running.
    #[serde(default)]
    pub running: u32,
    /// Number of requests that wait in the engine's queue.
    #[serde(default)]
    pub queued: u32,
    /// The time as of which the figures are valid, by the engine's clock.
    #[serde(default)]
    pub as_of_ms: Millis,
    /// The copies on the engine.
    #[serde(default)]
    pub copies: Vec<ReportedCopy>,
    /// The checkpoints cached on the engine's machine.
    #[serde(default)]
    pub cache: CheckpointCache,
}

/// The weight store's report of its own state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoreReport {
    /// Number of fetches in progress.
    #[serde(default)]
    pub running: u32,
    /// Number of fetches waiting.
    #[serde(default)]
    pub queued: u32,
    /// The rate of one fetch in bytes per second; zero if unknown.
    #[serde(default)]
    pub bytes_per_s: u64,
}
