//! Predicts when the first event of a request comes at an engine, and learns how far such
//! predictions are off.
//!
//! Handles engines that get more prompts than they read: whether a stream without an answer stays at
//! its engine depends on how long the prompts ahead of it take.

use crate::prelude::*;
use crate::routing::pick::PREFILL_TOKENS_PER_MS;

/// Time from a request to its first event at an idle engine, apart from reading the prompt: a
/// round trip and one step.
const IDLE_MS: f64 = 20.0;
/// The longest prediction. Larger values come only from absurd numbers.
const MAX_PREDICTED_MS: f64 = 600_000.0;
/// Bounds of an engine's slowness.
const MIN_SLOWNESS: f64 = 0.2;
const MAX_SLOWNESS: f64 = 5.0;

/// Bounds of the learned ratio, and of each sample.
const MIN_RATIO: f64 = 0.25;
const MAX_RATIO: f64 = 8.0;
/// Weight of the newest answer in the moving average: after 25 answers, 4% of an earlier error is
/// left.
const NEWEST_WEIGHT: f64 = 0.12;
/// The time without answers after which the ratio returns to 1. Otherwise a service whose requests
/// are all refused because of a high ratio would have no answers that lower it.
const MAX_IDLE_MS: Millis = Millis(5_000);
/// The time in which the logarithm of the ratio halves from then on.
const HALVING_MS: f64 = 10_000.0;

/// How long first events take at the engines of a service, as a multiple of the predicted time: the
/// geometric moving average over one host's answers, 1 before the first one.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadingRatio {
    log_ratio: f64,
    noted_at: Option<Millis>,
}

impl ReadingRatio {
    /// Records the time to an answer's first event, and what was predicted for it with a ratio of 1.
    pub fn note(&mut self, now: Millis, predicted_ms: Millis, observed_ms: Millis) {
        let sample = observed_ms.0 as f64 / predicted_ms.0.max(1) as f64;
        let log_sample = sample.clamp(MIN_RATIO, MAX_RATIO).ln();
        let log_ratio = self.log_ratio_at(now);
        self.log_ratio = log_ratio + (log_sample - log_ratio) * NEWEST_WEIGHT;
        self.noted_at = Some(now);
    }

    /// Returns by how much a prediction is to be multiplied.
    pub fn factor(&self, now: Millis) -> f64 {
        self.log_ratio_at(now).exp().clamp(MIN_RATIO, MAX_RATIO)
    }

    fn log_ratio_at(&self, now: Millis) -> f64 {
        let idle_ms = self.noted_at.map_or(Millis::ZERO, |at| now.since(at));
        let expired_ms = idle_ms - MAX_IDLE_MS;
        self.log_ratio * 0.5_f64.powf(expired_ms.0 as f64 / HALVING_MS)
    }
}

/// What a further request at an engine has to wait for.
#[derive(Clone, Copy, Debug)]
pub struct EngineBacklog {
    /// The wait for a slot.
    pub slot_wait_ms: f64,
    /// The wait for room in the KV cache; zero if that is not known.
    pub memory_wait_ms: f64,
    /// The tokens of all hosts' prompts there that have not had their first event.
    pub waiting_tokens: u64,
    /// How much longer the engine takes than the mean of its service; 1 if that is not known.
    pub slowness: f64,
}

impl Default for EngineBacklog {
    fn default() -> Self {
        Self {
            slot_wait_ms: 0.0,
            memory_wait_ms: 0.0,
            waiting_tokens: 0,
            slowness: 1.0,
        }
    }
}

impl EngineBacklog {
    /// Returns the wait for a slot and for space in the KV cache.
    pub fn start_wait_ms(&self) -> Millis {
        let start = Self {
            waiting_tokens: 0,
            ..*self
        };
        start.bounded_ms(0.0, 1.0)
    }

    /// Returns the time until the first event of a request of whose prompt the engine has to read
    /// `unread_tokens`, by the learned `factor`.
    pub fn first_event_ms(&self, unread_tokens: f64, factor: f64) -> Millis {
        let own_ms = IDLE_MS + at_least_zero(unread_tokens) / PREFILL_TOKENS_PER_MS;
        self.bounded_ms(own_ms, factor)
    }

    fn bounded_ms(&self, own_ms: f64, factor: f64) -> Millis {
        let read_ms = self.waiting_tokens as f64 / PREFILL_TOKENS_PER_MS;
        let waits_ms = at_least_zero(self.slot_wait_ms) + at_least_zero(self.memory_wait_ms);
        let slowness = match self.slowness.is_finite() {
            true => self.slowness.clamp(MIN_SLOWNESS, MAX_SLOWNESS),
            false => 1.0,
        };
        let predicted_ms = (waits_ms + read_ms + own_ms) * slowness * factor;
        Millis(predicted_ms.min(MAX_PREDICTED_MS).round() as u64)
    }
}

/// Returns the value itself, or zero if it is negative or no number.
fn at_least_zero(value: f64) -> f64 {
    value.max(0.0)
}
