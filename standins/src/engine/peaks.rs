//! The highest figures of copies and memory, and counts of loads and refused orders.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::Serialize;

use crate::engine::ModelVersion;

/// For how many models peaks are kept.
const MAX_MODELS: usize = 100_000;

/// What happened since the process started.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Peaks {
    peak_used_bytes: u64,
    memory_bytes: u64,
    overcommitted: bool,
    peak_copies: IndexMap<Arc<str>, u64>,
    loads_started: u64,
    loads_done: u64,
    loads_failed: u64,
    orders_fenced: u64,
}

impl Peaks {
    /// Builds the peaks of an empty engine.
    pub fn new(memory_bytes: u64) -> Self {
        Self {
            memory_bytes,
            ..Self::default()
        }
    }

    /// Counts a load that has started, with the copies of its model and all memory used.
    pub fn count_load(&mut self, added: &ModelVersion, copies: u64, used_bytes: u64) {
        self.loads_started += 1;
        self.peak_used_bytes = self.peak_used_bytes.max(used_bytes);
        self.overcommitted |= used_bytes > self.memory_bytes;
        let name: Arc<str> = added.to_string().into();
        if self.peak_copies.len() < MAX_MODELS || self.peak_copies.contains_key(&name) {
            let peak = self.peak_copies.entry(name).or_default();
            *peak = copies.max(*peak);
        }
    }

    /// Counts a load whose copy is ready.
    pub fn count_done(&mut self) {
        self.loads_done += 1;
    }

    /// Counts a load that failed.
    pub fn count_failed(&mut self) {
        self.loads_failed += 1;
    }

    /// Counts an order refused for its old fencing number.
    pub fn count_fenced(&mut self) {
        self.orders_fenced += 1;
    }
}
