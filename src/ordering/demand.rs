//! What callers ask of each model.

use crate::entry::platform::ModelRef;
use crate::prelude::*;

/// Most models and adapters that one host counts between two messages to the orderer; more are asked for again
/// by the requests that wait for them.
pub const MAX_ASKS: usize = 4_096;

/// The requests for one model or adapter at one host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AskCount {
    /// Requests since the last message.
    pub asked: u32,
    /// How many of these have long prompts.
    pub long: u32,
    /// Requests that wait for it to be loaded.
    pub waiting: u32,
    /// Requests that run.
    pub running: u32,
    /// Prompt tokens of the requests since the last message.
    pub tokens: u64,
}

impl AskCount {
    /// Adds the requests of another count since its last message.
    pub fn add_asked(&mut self, other: &Self) {
        self.asked += other.asked;
        self.long += other.long;
        self.tokens += other.tokens;
    }

    /// Adds the requests of another count that wait or run.
    pub fn add_present(&mut self, other: &Self) {
        self.waiting += other.waiting;
        self.running += other.running;
    }
}

/// The demand at one host.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    counts: IndexMap<ModelRef, AskCount>,
}

impl Demand {
    /// Returns the counts of a model or adapter for change; nothing when too many are counted.
    pub fn count(&mut self, ask: &ModelRef) -> Option<&mut AskCount> {
        if self.counts.len() >= MAX_ASKS && !self.counts.contains_key(ask) {
            return None;
        }
        Some(self.counts.entry(ask.clone()).or_default())
    }

    /// Returns the counts and begins to count the next span; what waits or runs stays.
    pub fn take(&mut self) -> Vec<(ModelRef, AskCount)> {
        let counts = self.counts.iter().map(|(ask, count)| (ask.clone(), *count));
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
