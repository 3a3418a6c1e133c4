//! How long requests keep a slot of an engine, as one host observes it.
//!
//! Answers the pattern of long answers at engines with few slots: one more request at an engine whose slots are all
//! taken waits until one of them is free, which takes the time that a request keeps its slot, divided by the slots.

use crate::prelude::*;

/// What is assumed before the first answer ended: within a factor of three of what was seen of answers of 30 to 280
/// tokens.
const ASSUMED_MS: f64 = 1_000.0;
/// The weight of the newest answer: about the last fifty count, some seconds of one host's answers.
const NEWEST_WEIGHT: f64 = 0.04;

/// How many slots must become free for an engine that was full to be asked again: hosts that all ask at once would fill one
/// with the first and be refused with the rest.
const FREED_SLOTS: f64 = 6.0;
/// The longest time for which an engine counts as full: callers wait half a second for a first event at the least.
const FULL_MS_AT_MOST: Millis = Millis(500);

/// The mean time for which requests of a service keep a slot.
#[derive(Clone, Copy, Debug)]
pub struct Occupancy {
    mean_ms: f64,
}

impl Default for Occupancy {
    fn default() -> Self {
        Self {
            mean_ms: ASSUMED_MS,
        }
    }
}

impl Occupancy {
    /// Takes note of an answer that took so long from its first event to its end.
    pub fn note(&mut self, took_ms: Millis) {
        self.mean_ms += (took_ms.0 as f64 - self.mean_ms) * NEWEST_WEIGHT;
    }

    /// Returns how long an engine that refused a request as full is taken to be full: until a few of its slots are free.
    pub fn full_ms(&self, slots: u32) -> Millis {
        let slot_ms = self.mean_ms / f64::from(slots.max(1));
        Millis((slot_ms * FREED_SLOTS) as u64).min(FULL_MS_AT_MOST)
    }

    /// Returns how long one more request waits for a slot of an engine that has `under_way` others, in milliseconds.
    pub fn wait_ms(&self, slots: u32, under_way: u32) -> f64 {
        if slots == 0 {
            return 0.0;
        }
        let ahead = f64::from((under_way + 1).saturating_sub(slots));
        ahead * self.mean_ms / f64::from(slots)
    }
}
