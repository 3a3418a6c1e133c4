//! Limits the loads from the weight store: the rate of starts over all engines and successive
//! orderers, and the number of concurrent loads.
//!
//! After a shift of demand, many models are requested at the same time. The store serves a few
//! loads at full speed, and each further load slows all of them in proportion, so ten concurrent
//! loads finish later than the same ten in sequence. How many loads run at full speed is not stated
//! anywhere; it is learned from loads that finish, and earlier from loads that are overdue. For
//! example, a store that serves one load of 13 s at a time finishes all of four concurrent loads
//! after 53 s; in sequence, the first of them is ready after 13 s.
//!
//! A store that allows thousands of load starts per second serves a large site. There the limit
//! starts at a fraction of that rate: with loads of 13 s, growth from two concurrent loads would
//! take minutes.

use crate::prelude::*;

/// The fraction of the stated start rate that is used.
const RATE_UTILISATION: f64 = 0.9;
/// The most loads that may start at the same time after a pause.
const MAX_BURST: f64 = 3.0;
/// The initial number of concurrent loads. Two is the least that shows whether loads slow each
/// other: if they do, both are overdue after the time of one load and finish together after that of
/// two.
const INITIAL_CONCURRENT: f64 = 2.0;
/// The number of concurrent loads that a store typically serves at full speed; the limit grows fast
/// up to here.
const TYPICAL_CONCURRENT: f64 = 4.0;
/// A load that took less than its stated time multiplied by this factor was not slowed by others.
/// The report of its end arrives up to half a second late.
const FULL_SPEED_FACTOR: f64 = 1.15;
/// How much the limit of concurrent loads grows with each load that ran at full speed: below the
/// typical number, above it, and after a load was slowed.
const GROWTH_BELOW_TYPICAL: f64 = 1.0;
const GROWTH_ABOVE_TYPICAL: f64 = 0.25;
const GROWTH_AFTER_SLOWDOWN: f64 = 0.1;
/// Concurrent loads that are reserved for requested models, because a load that has started
/// occupies its place for seconds.
const RESERVED_LOADS: usize = 2;
/// The upper bound of concurrent loads where the stated rate is low, and the bound as a fraction of
/// the rate where that is higher.
const MIN_UPPER_BOUND: f64 = 64.0;
const UPPER_BOUND_FRACTION: f64 = 1.0 / 8.0;
/// The initial number of concurrent loads as a fraction of the stated starts per second, for an
/// orderer that has learned nothing yet.
const INITIAL_FRACTION: f64 = 1.0 / 32.0;
/// The largest decrease after one late load, as a fraction of the concurrent loads. It is at least
/// one load.
const MAX_DECREASE_FRACTION: f64 = 0.25;

/// Limits the loads from the weight store with a token bucket and a learned concurrency limit.
///
/// A new holder of the lease starts with an empty bucket, because it does not know which loads its
/// predecessor started in the last seconds. The rate alone then keeps the sum below the store's
/// limit.
#[derive(Clone, Debug)]
pub struct StoreLoadLimiter {
    /// Loads that may start now, at most [`MAX_BURST`].
    tokens: f64,
    refilled_at: Millis,
    /// The limit of concurrent loads; its integer part applies.
    limit: f64,
    upper_bound: f64,
    was_slowed: bool,
    /// Whether `limit` was learned from concurrent loads, here or by an earlier orderer.
    is_learned: bool,
    has_rate: bool,
}

impl StoreLoadLimiter {
    /// Creates the limiter of a host that becomes the orderer. `learned_limit` is the limit that an
    /// earlier orderer learned.
    pub fn new(now: Millis, learned_limit: Option<usize>) -> Self {
        let learned = learned_limit.map(|limit| (limit as f64).max(1.0));
        Self {
            tokens: 0.0,
            refilled_at: now,
            limit: learned.unwrap_or(INITIAL_CONCURRENT),
            upper_bound: MIN_UPPER_BOUND,
            was_slowed: false,
            is_learned: learned.is_some(),
            has_rate: false,
        }
    }

    /// Applies the stated rate to the concurrency limit and its upper bound.
    fn apply_rate(&mut self, loads_per_s: f64) {
        self.upper_bound = (loads_per_s * UPPER_BOUND_FRACTION).max(MIN_UPPER_BOUND);
        if !std::mem::replace(&mut self.has_rate, true) && !self.is_learned {
            self.limit = self.limit.max(loads_per_s * INITIAL_FRACTION);
        }
        self.limit = self.limit.min(self.upper_bound);
    }

    /// Returns whether a load may start while `running` others are running.
    pub fn admits(&mut self, now: Millis, loads_per_s: f64, running: usize) -> bool {
        self.apply_rate(loads_per_s);
        let elapsed_s = now.since(self.refilled_at).0 as f64 / 1_000.0;
        self.tokens = (self.tokens + elapsed_s * loads_per_s * RATE_UTILISATION).min(MAX_BURST);
        self.refilled_at = now;
        self.tokens >= 1.0 && (running as f64) < self.limit.floor()
    }

    /// Returns whether a load of a model without requests may start. While any model is requested,
    /// some of the concurrent loads are reserved for loads of requested models.
    pub fn admits_unrequested(
        &mut self,
        now: Millis,
        loads_per_s: f64,
        running: usize,
        has_requests: bool,
    ) -> bool {
        let reserved = if has_requests { RESERVED_LOADS } else { 0 };
        self.admits(now, loads_per_s, running + reserved)
    }

    /// Takes a token for a load that starts.
    pub fn record_start(&mut self) {
        self.tokens -= 1.0;
    }

    /// Adjusts the limit after a load that took `took_ms` instead of `stated_ms`. `concurrent` is
    /// the largest number of loads that ran at the same time, itself included.
    pub fn record_finish(&mut self, took_ms: Millis, stated_ms: Millis, concurrent: usize) {
        let factor = slowdown(took_ms, stated_ms);
        let concurrent = concurrent.max(1) as f64;
        self.is_learned |= concurrent > 1.0;
        if factor > FULL_SPEED_FACTOR {
            self.lower_to((concurrent / factor).round());
        } else if concurrent >= self.limit.floor() {
            self.limit = (self.limit + self.growth()).min(self.upper_bound);
        }
    }

    /// Adjusts the limit while a load is still running `elapsed_ms` after it started. `concurrent`
    /// is as in [`StoreLoadLimiter::record_finish`].
    pub fn record_overdue(&mut self, elapsed_ms: Millis, stated_ms: Millis, concurrent: usize) {
        let factor = slowdown(elapsed_ms, stated_ms);
        if concurrent > 1 && factor > FULL_SPEED_FACTOR {
            self.lower_to((concurrent as f64 / factor).floor());
        }
    }

    /// Lowers the limit, by one load or by a fraction of them at a time. A single load may be late
    /// for its own reasons, and a limit that is too low leaves the store idle until it has grown
    /// again.
    fn lower_to(&mut self, limit: f64) {
        let step = (self.limit * MAX_DECREASE_FRACTION).floor().max(1.0);
        let lowest = (self.limit.floor() - step).max(1.0);
        self.limit = limit.max(lowest).min(self.limit);
        self.was_slowed = true;
        self.is_learned = true;
    }

    fn growth(&self) -> f64 {
        match (self.was_slowed, self.limit < TYPICAL_CONCURRENT) {
            (true, _) => GROWTH_AFTER_SLOWDOWN,
            (false, true) => GROWTH_BELOW_TYPICAL,
            (false, false) => GROWTH_ABOVE_TYPICAL,
        }
    }

    /// Returns the limit of concurrent loads if it was learned from loads that ran at the same
    /// time.
    pub fn learned_max_concurrent(&self) -> Option<usize> {
        self.is_learned.then_some(self.max_concurrent())
    }

    /// Returns the limit of concurrent loads.
    pub fn max_concurrent(&self) -> usize {
        self.limit as usize
    }
}

/// Returns the time that a load took relative to its stated time.
fn slowdown(took_ms: Millis, stated_ms: Millis) -> f64 {
    took_ms.0 as f64 / stated_ms.0.max(1) as f64
}
