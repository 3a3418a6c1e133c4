//! What is said about copies and orders.

use crate::clock::Millis;
use crate::shared_log::record::Offset;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A decision to load a copy. Its record's offset names the copy from then on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadDecision {
    /// The model or adapter.
    pub model: Arc<str>,
    /// The version.
    pub version: Arc<str>,
    /// Which of the decided copies, from 0.
    pub copy_index: u32,
    /// The engine.
    pub upstream: Arc<str>,
    /// The memory to reserve until the engine confirms that it is free.
    pub reserved_bytes: u64,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// The engine did it.
    Done,
    /// The engine refused or failed, and holds no memory for it.
    Failed,
    /// The executor never sent it and never will.
    NotSent,
}

/// What an order asks of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Load the copy.
    Load,
    /// Unload the copy.
    Unload,
}

/// An order for an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The order's identity at the engine: the offset of the record that decided it.
    pub order: Offset,
    /// The fencing number: the offset of the decision or of the latest takeover.
    pub fence: Offset,
    /// What to do.
    pub action: OrderAction,
    /// The model.
    pub model: Arc<str>,
    /// The version.
    pub version: Arc<str>,
    /// The memory reserved.
    pub bytes: u64,
    /// The base model of an adapter.
    pub base: Option<Arc<str>>,
}

/// An engine's answer to an order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAnswer {
    /// It is done.
    Done,
    /// It is still going on.
    Running,
    /// It failed and holds no memory.
    Failed(String),
    /// It carried an old fencing number.
    Fenced,
    /// The engine never saw it.
    NeverSeen,
    /// No answer came; the order may have been taken.
    Lost(String),
    /// The order certainly did not reach the engine.
    NotSent(String),
}

/// A copy as an engine reports it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportedCopy {
    /// The model.
    pub model: Arc<str>,
    /// The version.
    pub version: Arc<str>,
    /// The memory it holds.
    pub bytes: u64,
    /// Its state at the engine.
    pub state: ReportedState,
    /// The order that made it.
    pub order: Offset,
}

/// The state of a copy at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportedState {
    /// It is being loaded.
    Loading,
    /// It serves.
    Ready,
    /// It is being removed.
    Unloading,
}

/// Checkpoints that an engine holds near, as `model@version`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CheckpointCache {
    /// In host memory.
    #[serde(default)]
    pub memory: Vec<Arc<str>>,
    /// On disk.
    #[serde(default)]
    pub disk: Vec<Arc<str>>,
}

/// An engine's report of itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Accelerator memory.
    pub memory_bytes: u64,
    /// Accelerator memory in use.
    pub used_bytes: u64,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
    /// Requests being run.
    #[serde(default)]
    pub running: u32,
    /// Requests waiting at the engine.
    #[serde(default)]
    pub queued: u32,
    /// The time that the figures stand for, by the engine's clock.
    #[serde(default)]
    pub as_of_ms: Millis,
    /// The copies.
    #[serde(default)]
    pub copies: Vec<ReportedCopy>,
    /// The checkpoints it holds near.
    #[serde(default)]
    pub cache: CheckpointCache,
}

/// The weight store's report of itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoreReport {
    /// Fetches going on.
    #[serde(default)]
    pub running: u32,
    /// Fetches waiting.
    #[serde(default)]
    pub queued: u32,
    /// Bytes a second for one fetch.
    #[serde(default)]
    pub bytes_per_s: u64,
}
