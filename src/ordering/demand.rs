//! The requests of one host's callers, counted by model and adapter.

use crate::entry::platform::ModelRef;
use crate::prelude::*;

/// The most models and adapters that a host counts between two messages to the orderer. Requests
/// that wait for one that was left out are counted in a later message.
pub const MAX_COUNTED_MODELS: usize = 4_096;

/// The requests for one model or adapter at one host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// Requests since the last message to the orderer.
    pub asked: u32,
    /// The part of `asked` that has long prompts.
    pub long: u32,
    /// Requests that currently wait until it is loaded.
    pub waiting: u32,
    /// Requests that are currently running.
    pub running: u32,
    /// Prompt tokens of the requests since the last message.
    pub tokens: u64,
}

impl RequestCounts {
    /// Adds the requests that another count received since its last message.
    pub fn add_arrivals(&mut self, other: &Self) {
        self.asked += other.asked;
        self.long += other.long;
        self.tokens += other.tokens;
    }

    /// Adds the requests of another count that wait or are running.
    pub fn add_current(&mut self, other: &Self) {
        self.waiting += other.waiting;
        self.running += other.running;
    }
}

/// The demand at one host.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    counts: IndexMap<ModelRef, RequestCounts>,
}

impl Demand {
    /// Returns the counts of a model or adapter for an update; `None` if the host already counts
    /// [`MAX_COUNTED_MODELS`] others.
    pub fn count(&mut self, model_ref: &ModelRef) -> Option<&mut RequestCounts> {
        if self.counts.len() >= MAX_COUNTED_MODELS && !self.counts.contains_key(model_ref) {
            return None;
        }
        Some(self.counts.entry(model_ref.clone()).or_default())
    }

    /// Returns the counts and starts the next interval. Requests that wait or are running stay
    /// counted.
    pub fn take(&mut self) -> Vec<(ModelRef, RequestCounts)> {
        let counts = self
            .counts
            .iter()
            .map(|(model_ref, count)| (model_ref.clone(), *count));
        let counts = counts.collect();
        self.counts
            .retain(|_, count| count.waiting > 0 || count.running > 0);
        for count in self.counts.values_mut() {
            count.asked = 0;
            count.long = 0;
            count.tokens = 0;
        }
        counts
    }
}
