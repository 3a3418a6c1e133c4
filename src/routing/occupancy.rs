//! How long requests occupy a slot of an engine, as observed by one host.
//!
//! Handles long answers on engines with few slots: when all slots of an engine are taken, one more
//! request waits until one is free, which takes the mean time that a request occupies a slot,
//! divided by the number of slots. Likewise a request whose tokens do not fit into the engine's KV
//! cache waits until running requests have released as many.

use crate::prelude::*;

/// Mean before the first answer has ended: within a factor of three of the observed means for
/// answers of 30 to 280 tokens.
const INITIAL_MEAN_MS: f64 = 1_000.0;
/// Weight of the newest answer in the moving average: about the last fifty answers count, which one
/// host sees within seconds.
const NEWEST_WEIGHT: f64 = 0.04;

/// How many slots must become free before an engine that was full gets requests again. If all hosts
/// retried as soon as one slot was free, the first request would fill it and the others would be
/// refused.
const MIN_FREED_SLOTS: f64 = 6.0;
/// The longest time for which an engine counts as full. Callers wait at least half a second for the
/// first event.
const MAX_FULL_BACKOFF_MS: Millis = Millis(500);

/// Mean time for which requests of a service occupy a slot, as a moving average. Before the first
/// answer it is one second.
#[derive(Clone, Copy, Debug)]
pub struct Occupancy {
    mean_ms: f64,
}

impl Default for Occupancy {
    fn default() -> Self {
        Self {
            mean_ms: INITIAL_MEAN_MS,
        }
    }
}

impl Occupancy {
    /// Records the time from an answer's first event to its end.
    pub fn note(&mut self, took_ms: Millis) {
        self.mean_ms += (took_ms.0 as f64 - self.mean_ms) * NEWEST_WEIGHT;
    }

    /// Returns how long an engine that refused a request because it is full gets no more requests:
    /// until a few of its slots should be free.
    pub fn full_backoff_ms(&self, slots: u32) -> Millis {
        let slot_ms = self.mean_ms / f64::from(slots.max(1));
        Millis((slot_ms * MIN_FREED_SLOTS) as u64).min(MAX_FULL_BACKOFF_MS)
    }

    /// Returns how long one more request waits for a slot, in milliseconds, on an engine with
    /// `under_way` requests in flight; 0 where the number of slots is unknown (`slots` is 0).
    pub fn wait_ms(&self, slots: u32, under_way: u32) -> f64 {
        if slots == 0 {
            return 0.0;
        }
        let ahead = f64::from((under_way + 1).saturating_sub(slots));
        ahead * self.mean_ms / f64::from(slots)
    }

    /// Returns how long a request that needs `needed_tokens` of an engine's KV cache waits for them,
    /// in milliseconds, where requests in flight need `held_tokens`; 0 where the size of the cache
    /// is unknown (`kv_tokens` is 0). In the mean time of a request, the running ones release as
    /// much as the cache holds.
    pub fn kv_wait_ms(&self, kv_tokens: u64, held_tokens: u64, needed_tokens: u64) -> f64 {
        let wanted_tokens = held_tokens.saturating_add(needed_tokens.min(kv_tokens));
        let missing_tokens = wanted_tokens.saturating_sub(kv_tokens);
        if kv_tokens == 0 || missing_tokens == 0 {
            return 0.0;
        }
        let running_tokens = held_tokens.min(kv_tokens);
        missing_tokens as f64 * self.mean_ms / running_tokens as f64
    }
}
