//! How long an upstream may take to its first byte, learned from its latest answers.

use crate::prelude::*;
use std::collections::VecDeque;

/// How many answers are remembered.
pub const MAX_SAMPLES: usize = 64;
/// How far above the slowest remembered answer the bound lies.
pub const FACTOR: u64 = 4;
/// The least bound.
pub const LEAST_BOUND_MS: Millis = Millis(1_000);
/// The greatest bound, and the one without any answer yet.
pub const GREATEST_BOUND_MS: Millis = Millis(10_000);

/// The times to the first byte of an upstream's latest answers.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct FirstByteTimes {
    samples: VecDeque<Millis>,
}

impl FirstByteTimes {
    /// Takes note of an answer.
    pub fn note(&mut self, took_ms: Millis) {
        self.samples.push_back(took_ms);
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// Returns the bound: a multiple of the second slowest remembered answer, within limits.
    pub fn bound_ms(&self) -> Millis {
        let mut sorted: Vec<Millis> = self.samples.iter().copied().collect();
        sorted.sort_unstable_by(|a, b| b.cmp(a));
        let Some(high) = sorted.get(1).or(sorted.first()) else {
            return GREATEST_BOUND_MS;
        };
        Millis(high.0.saturating_mul(FACTOR)).clamp(LEAST_BOUND_MS, GREATEST_BOUND_MS)
    }
}
