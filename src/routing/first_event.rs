//! Predicts when the first event of a request comes at an engine.
//!
//! Handles engines that get more prompts than they read: a request that is sent to one, or held
//! back from it, needs to know how long the prompts ahead of it take.

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
    /// Returns how long the engine takes until it begins to read a further prompt.
    pub fn wait_ms(&self) -> Millis {
        self.bounded_ms(0.0)
    }

    /// Returns the time until the first event of a request of whose prompt the engine has to read
    /// `unread_tokens`.
    pub fn first_event_ms(&self, unread_tokens: f64) -> Millis {
        self.bounded_ms(IDLE_MS + at_least_zero(unread_tokens) / PREFILL_TOKENS_PER_MS)
    }

    fn bounded_ms(&self, own_ms: f64) -> Millis {
        let read_ms = self.waiting_tokens as f64 / PREFILL_TOKENS_PER_MS;
        let waits_ms = at_least_zero(self.slot_wait_ms) + at_least_zero(self.memory_wait_ms);
        let slowness = match self.slowness.is_finite() {
            true => self.slowness.clamp(MIN_SLOWNESS, MAX_SLOWNESS),
            false => 1.0,
        };
        let predicted_ms = (waits_ms + read_ms + own_ms) * slowness;
        Millis(predicted_ms.min(MAX_PREDICTED_MS).round() as u64)
    }
}

/// Returns the value itself, or zero if it is negative or no number.
fn at_least_zero(value: f64) -> f64 {
    value.max(0.0)
}
