//! Token bucket of one limit that accepts use reported late, by time slot.

use crate::prelude::*;
use std::collections::VecDeque;

/// Length of a time slot. Use within a slot is counted at the end of the slot.
pub const SLOT_MS: Millis = Millis(250);
/// Number of slots kept: eight seconds, longer than a host that has lost the orderer keeps its use
/// unreported.
pub const SLOTS: u64 = 32;
/// Number of slots over which recent use is averaged: one second.
const RATE_SLOTS: usize = 4;

/// Refill rate and capacity of a bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refill {
    /// Refill per second.
    pub per_s: f64,
    /// Capacity.
    pub burst: f64,
}

impl Refill {
    fn after(&self, level: f64, span_ms: u64) -> f64 {
        (level + self.per_s * span_ms as f64 / 1_000.0).min(self.burst)
    }
}

/// Returns the number of the time slot that contains `now`.
pub fn slot_of(now: Millis) -> u64 {
    now.0 / SLOT_MS.0
}

/// Level of a bucket, computed from the use in the latest slots. Use that is reported late counts
/// in the slot in which it occurred, so the refill since then is not lost.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Level at the start of the first slot kept.
    level: f64,
    first_slot: u64,
    /// Use in each slot kept, oldest first; negative where more was returned than used.
    used: VecDeque<i64>,
}

impl TokenBucket {
    /// Creates a bucket with this level at `now`.
    pub fn new(now: Millis, level: f64) -> Self {
        Self {
            level,
            first_slot: slot_of(now),
            used: VecDeque::from([0]),
        }
    }

    /// Returns what is left; negative when more was used than allowed.
    pub fn level(&self, now: Millis, refill: Refill) -> f64 {
        let mut level = self.level.min(refill.burst);
        for (slot, used) in (self.first_slot..).zip(&self.used) {
            let span_ms = now.since(Millis(slot * SLOT_MS.0)).min(SLOT_MS);
            level = refill.after(level, span_ms.0) - *used as f64;
        }
        let known_until = Millis((self.first_slot + self.used.len() as u64) * SLOT_MS.0);
        refill.after(level, now.since(known_until).0)
    }

    /// Counts use in the slot `slots_ago` slots before the current one. Use before the first slot
    /// kept is ignored: the initial level accounts for it.
    pub fn add(&mut self, now: Millis, slots_ago: u64, amount: i64, refill: Refill) {
        self.advance(now, refill);
        let slot = slot_of(now).saturating_sub(slots_ago);
        let index = slot.checked_sub(self.first_slot);
        if let Some(used) = index.and_then(|index| self.used.get_mut(index as usize)) {
            *used += amount;
        }
    }

    /// Returns the recent use per second.
    pub fn used_per_s(&self, now: Millis) -> f64 {
        let since = slot_of(now).saturating_sub(RATE_SLOTS as u64);
        let recent = (self.first_slot..).zip(&self.used);
        let recent = recent.filter(|(slot, _)| *slot >= since);
        let sum: i64 = recent.map(|(_, used)| *used).sum();
        let span_ms = now.since(Millis(since * SLOT_MS.0)).0.max(1);
        sum.max(0) as f64 * 1_000.0 / span_ms as f64
    }

    /// Appends slots up to the current one, and merges those beyond [`SLOTS`] into the level.
    fn advance(&mut self, now: Millis, refill: Refill) {
        let slot = slot_of(now);
        let end = self.first_slot + self.used.len() as u64;
        if slot >= end + SLOTS {
            *self = Self::new(now, self.level(now, refill));
            return;
        }
        for _ in end..=slot {
            self.used.push_back(0);
        }
        while self.used.len() as u64 > SLOTS {
            let used = self.used.pop_front().unwrap_or_default();
            self.level = refill.after(self.level.min(refill.burst), SLOT_MS.0) - used as f64;
            self.first_slot += 1;
        }
    }
}
