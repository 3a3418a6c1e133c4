//! The gaps between a model's requests, in a few bytes.

use crate::prelude::*;

/// Powers of two of seconds that are told apart; the longest stands for all beyond.
const BUCKETS: usize = 18;
/// From how many gaps on the history counts.
const ENOUGH_GAPS: u32 = 4;

/// Counts of gaps by the power of two of their seconds. Old gaps lose weight as new ones come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gaps {
    counts: [u8; BUCKETS],
}

impl Gaps {
    /// Takes note of a gap between two requests.
    pub fn note(&mut self, gap_ms: Millis) {
        let bucket = bucket_of(gap_ms);
        if self.counts[bucket] == u8::MAX {
            for count in &mut self.counts {
                *count /= 2;
            }
        }
        self.counts[bucket] += 1;
    }

    /// Tells whether a copy that has been idle this long is worth keeping, when a cold start costs as
    /// much as `cold_cost_s` seconds of keeping it.
    ///
    /// Keeping until some time costs the wait until then or the next request, and a cold start if the
    /// request comes later. Unloading now costs a cold start. Without history a copy is kept as long as
    /// a cold start is worth.
    pub fn is_worth_waiting(&self, idle_ms: Millis, cold_cost_s: f64) -> bool {
        let idle_s = idle_ms.0 as f64 / 1_000.0;
        if self.total() < ENOUGH_GAPS {
            return idle_s < cold_cost_s;
        }
        let first = bucket_of(idle_ms);
        let left = self.left(first);
        if left == 0.0 {
            return false;
        }
        let (mut passed, mut waited_s) = (0.0, 0.0);
        for bucket in first..BUCKETS {
            let count = f64::from(self.counts[bucket]);
            passed += count;
            waited_s += count * (middle_s(bucket) - idle_s).max(0.0);
            let until_s = (end_s(bucket) - idle_s).max(0.0);
            let later = left - passed;
            let cost_s = (waited_s + later * (until_s + cold_cost_s)) / left;
            if cost_s < cold_cost_s {
                return true;
            }
        }
        false
    }

    /// Returns how long the next request is expected to take, or nothing without enough history.
    pub fn expected_wait_s(&self, idle_ms: Millis) -> Option<f64> {
        if self.total() < ENOUGH_GAPS {
            return None;
        }
        let idle_s = idle_ms.0 as f64 / 1_000.0;
        let first = bucket_of(idle_ms);
        let left = self.left(first);
        if left == 0.0 {
            return Some(end_s(BUCKETS - 1));
        }
        let waits = (first..BUCKETS)
            .map(|bucket| f64::from(self.counts[bucket]) * (middle_s(bucket) - idle_s).max(0.0));
        Some(waits.sum::<f64>() / left)
    }

    fn total(&self) -> u32 {
        self.counts.iter().map(|count| u32::from(*count)).sum()
    }

    fn left(&self, first: usize) -> f64 {
        self.counts[first..]
            .iter()
            .map(|count| f64::from(*count))
            .sum()
    }
}

fn bucket_of(gap_ms: Millis) -> usize {
    let seconds = gap_ms.0 / 1_000;
    let power = u64::BITS - seconds.leading_zeros();
    (power as usize).min(BUCKETS - 1)
}

fn end_s(bucket: usize) -> f64 {
    (1_u64 << bucket) as f64
}

fn middle_s(bucket: usize) -> f64 {
    end_s(bucket) * 0.75
}
