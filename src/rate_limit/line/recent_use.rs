//! What the requests of each rank of an organisation used in the last second at one host.

use crate::prelude::*;
use crate::rate_limit::line::sums::MAX_RANK;
use crate::rate_limit::token_bucket::{SLOT_MS, slot_of};
use std::collections::{BTreeMap, VecDeque};

/// Number of complete slots that are averaged: one second.
const RECENT_SLOTS: u64 = 4;

/// Use by rank and slot, for the last second.
#[derive(Clone, Debug, Default)]
pub struct RecentUse(BTreeMap<u8, VecDeque<(u64, u64)>>);

impl RecentUse {
    /// Counts the cost of a request that begins.
    pub fn note(&mut self, now: Millis, rank: u8, tokens: u64) {
        let slots = self.0.entry(rank.min(MAX_RANK)).or_default();
        match slots.back_mut() {
            Some((slot, used)) if *slot == slot_of(now) => *used = used.saturating_add(tokens),
            _ => slots.push_back((slot_of(now), tokens)),
        }
        while slots.len() as u64 > RECENT_SLOTS + 1 {
            slots.pop_front();
        }
    }

    /// Returns the use per second of each rank that has any.
    pub fn per_second(&self, now: Millis) -> impl Iterator<Item = (u8, u64)> {
        let first = slot_of(now).saturating_sub(RECENT_SLOTS);
        let span_ms = now.since(Millis(first * SLOT_MS.0)).0.max(1);
        self.0.iter().filter_map(move |(rank, slots)| {
            let recent = slots.iter().filter(|(slot, _)| *slot >= first);
            let sum = recent.fold(0_u64, |sum, (_, used)| sum.saturating_add(*used));
            let per_second = (sum as f64 * 1_000.0 / span_ms as f64) as u64;
            (per_second > 0).then_some((*rank, per_second))
        })
    }
}
