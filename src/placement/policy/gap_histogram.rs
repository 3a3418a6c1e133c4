//! A compact histogram of the gaps between a model's requests, to predict its next request.

use crate::prelude::*;

/// Number of buckets. Bucket 0 holds gaps below one second, and each further one ends at twice the
/// end of the one before it. The last bucket also holds all longer gaps.
const BUCKETS: usize = 18;
/// Number of gaps from which on the history is used.
const MIN_GAPS: u32 = 4;

/// The number of gaps by length, in buckets that are powers of two of seconds. When a bucket is
/// full, all counts are halved, so that old gaps lose weight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GapHistogram {
    counts: [u8; BUCKETS],
}

impl GapHistogram {
    /// Adds a gap between two requests.
    pub fn note(&mut self, gap_ms: Millis) {
        let bucket = bucket_of(gap_ms);
        if self.counts[bucket] == u8::MAX {
            for count in &mut self.counts {
                *count /= 2;
            }
        }
        self.counts[bucket] += 1;
    }

    /// Returns whether a copy that has been idle for `idle_ms` is worth keeping, if a cold start
    /// costs as much as keeping the copy for `cold_cost_s` seconds.
    ///
    /// Keeping the copy until some point costs the time until that point or the next request,
    /// whichever is earlier, plus a cold start if the request comes after that point. Unloading the
    /// copy now costs a cold start. The copy is worth keeping if for any point the expected cost of
    /// keeping it is lower. With too little history it is kept for `cold_cost_s`.
    pub fn is_worth_keeping(&self, idle_ms: Millis, cold_cost_s: f64) -> bool {
        let idle_s = idle_ms.0 as f64 / 1_000.0;
        if self.total() < MIN_GAPS {
            return idle_s < cold_cost_s;
        }
        let first = bucket_of(idle_ms);
        let remaining = self.count_from(first);
        if remaining == 0.0 {
            return false;
        }
        let (mut within, mut waited_s) = (0.0, 0.0);
        for bucket in first..BUCKETS {
            let count = f64::from(self.counts[bucket]);
            within += count;
            waited_s += count * (middle_s(bucket) - idle_s).max(0.0);
            let until_s = (end_s(bucket) - idle_s).max(0.0);
            let later = remaining - within;
            let cost_s = (waited_s + later * (until_s + cold_cost_s)) / remaining;
            if cost_s < cold_cost_s {
                return true;
            }
        }
        false
    }

    /// Returns the expected time in seconds until the next request to a model that has been idle
    /// for `idle_ms`, or `None` without enough history.
    pub fn expected_wait_s(&self, idle_ms: Millis) -> Option<f64> {
        if self.total() < MIN_GAPS {
            return None;
        }
        let idle_s = idle_ms.0 as f64 / 1_000.0;
        let first = bucket_of(idle_ms);
        let remaining = self.count_from(first);
        if remaining == 0.0 {
            return Some(end_s(BUCKETS - 1));
        }
        let waits = (first..BUCKETS)
            .map(|bucket| f64::from(self.counts[bucket]) * (middle_s(bucket) - idle_s).max(0.0));
        Some(waits.sum::<f64>() / remaining)
    }

    fn total(&self) -> u32 {
        self.counts.iter().map(|count| u32::from(*count)).sum()
    }

    /// Returns the number of gaps in a bucket and all longer ones.
    fn count_from(&self, first: usize) -> f64 {
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

/// Returns the end of a bucket in seconds, which is not in the bucket itself.
fn end_s(bucket: usize) -> f64 {
    (1_u64 << bucket) as f64
}

/// Returns the length in seconds that stands for all gaps in a bucket: the middle of the bucket, or
/// 0.75 s for bucket 0.
fn middle_s(bucket: usize) -> f64 {
    end_s(bucket) * 0.75
}
