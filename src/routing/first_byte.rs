//! Timeout for the first byte of an upstream's answer, derived from its latest answers.

use crate::prelude::*;
use std::collections::VecDeque;

/// Number of latest answers that are kept.
pub const MAX_SAMPLES: usize = 64;
/// Timeout as a multiple of the second longest time to first byte among the kept answers.
pub const TIMEOUT_FACTOR: u64 = 4;
/// The shortest timeout.
pub const MIN_TIMEOUT_MS: Millis = Millis(1_000);
/// The longest timeout; also used while no answer has been received.
pub const MAX_TIMEOUT_MS: Millis = Millis(10_000);

/// Times to first byte of an upstream's latest answers, at most [`MAX_SAMPLES`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct FirstByteTimes {
    samples: VecDeque<Millis>,
}

impl FirstByteTimes {
    /// Records the time to first byte of an answer.
    pub fn note(&mut self, took_ms: Millis) {
        self.samples.push_back(took_ms);
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// Returns the timeout: [`TIMEOUT_FACTOR`] times the second longest kept time, between
    /// [`MIN_TIMEOUT_MS`] and [`MAX_TIMEOUT_MS`].
    pub fn timeout_ms(&self) -> Millis {
        let mut sorted: Vec<Millis> = self.samples.iter().copied().collect();
        sorted.sort_unstable_by(|a, b| b.cmp(a));
        let Some(high) = sorted.get(1).or(sorted.first()) else {
            return MAX_TIMEOUT_MS;
        };
        Millis(high.0.saturating_mul(TIMEOUT_FACTOR)).clamp(MIN_TIMEOUT_MS, MAX_TIMEOUT_MS)
    }
}
