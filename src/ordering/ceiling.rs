//! Limits the loads from the weight store: the rate of starts over all engines and successive
//! orderers, and the number of concurrent loads.
//!
//! After a shift of demand, many models are requested at the same time. The store serves a few
//! loads at full speed, and each further load slows all of them in proportion, so ten concurrent
//! loads finish later than the same ten in sequence. How many loads run at full speed is not stated
//! anywhere; it is learned from loads that finish, and earlier from loads that are overdue. For
//! example, a store that serves one load of 13 s at a time finishes four concurrent loads after 53
//! s, all of them, while in sequence the first is ready after 13 s.
//!
//! A store that allows thousands of load starts per second serves a large site. There the limit
//! starts at a fraction of that rate: with loads of 13 s, growth from two concurrent loads would
//! take minutes.

use crate::prelude::*;

/// The fraction of the stated start rate that is used.
const USED_PART: f64 = 0.9;
/// The most loads that may start at the same time after a pause.
const BURST: f64 = 3.0;
/// The initial number of concurrent loads. Two is the least that shows whether loads slow each
/// other: if they do, both are overdue after the time of one load and finish together after that of
/// two.
const FIRST_AT_ONCE: f64 = 2.0;
/// The number of concurrent loads that a store typically serves at full speed; the limit grows fast
/// up to here.
const USUAL_AT_ONCE: f64 = 4.0;
/// A load that took less than its stated time multiplied by this factor was not slowed by others.
/// The report of its end arrives up to half a second late.
const FULL_SPEED_FACTOR: f64 = 1.15;
/// How much the limit of concurrent loads grows with each load that ran at full speed: below the
/// typical number, above it, and after a load was slowed.
const FAST_GROWTH: f64 = 1.0;
const FIRST_GROWTH: f64 = 0.25;
const SLOWED_GROWTH: f64 = 0.1;
/// Concurrent loads that are reserved for requested models, because a load that has started
/// occupies its place for seconds.
const KEPT_FREE: usize = 2;
/// The upper bound of concurrent loads where the stated rate is low, and the bound as a fraction of
/// the rate where that is higher.
const MOST_AT_ONCE: f64 = 64.0;
const MOST_PART: f64 = 1.0 / 8.0;
/// The initial number of concurrent loads as a fraction of the stated starts per second, for an
/// orderer that has learned nothing yet.
const FIRST_PART: f64 = 1.0 / 32.0;
/// The largest decrease after one late load, as a fraction of the concurrent loads. It is at least
/// one load.
const LOWERED_PART: f64 = 0.25;

/// Limits the loads from the weight store with a token bucket and a learned concurrency limit.
///
/// A new holder of the lease starts with an empty bucket, because it does not know which loads its
/// predecessor started in the last seconds. The rate alone then keeps the sum below the store's
/// limit.
#[derive(Clone, Debug)]
pub struct Ceiling {
    saved: f64,
    filled_at: Millis,
    at_once: f64,
    most: f64,
    was_slowed: bool,
    is_learned: bool,
    knows_rate: bool,
}

impl Ceiling {
    /// Creates the limiter of a host that becomes the orderer. `learned_at_once` is the limit that
    /// an earlier orderer learned.
    pub fn new(now: Millis, learned_at_once: Option<usize>) -> Self {
        let learned = learned_at_once.map(|at_once| (at_once as f64).max(1.0));
        Self {
            saved: 0.0,
            filled_at: now,
            at_once: learned.unwrap_or(FIRST_AT_ONCE),
            most: MOST_AT_ONCE,
            was_slowed: false,
            is_learned: learned.is_some(),
            knows_rate: false,
        }
    }

    /// Applies the stated rate to the concurrency limit and its upper bound.
    fn take_rate(&mut self, loads_per_s: f64) {
        self.most = (loads_per_s * MOST_PART).max(MOST_AT_ONCE);
        if !std::mem::replace(&mut self.knows_rate, true) && !self.is_learned {
            self.at_once = self.at_once.max(loads_per_s * FIRST_PART);
        }
        self.at_once = self.at_once.min(self.most);
    }

    /// Returns whether a load may start while `under_way` others are running.
    pub fn admits(&mut self, now: Millis, loads_per_s: f64, under_way: usize) -> bool {
        self.take_rate(loads_per_s);
        let passed_s = now.since(self.filled_at).0 as f64 / 1_000.0;
        self.saved = (self.saved + passed_s * loads_per_s * USED_PART).min(BURST);
        self.filled_at = now;
        self.saved >= 1.0 && (under_way as f64) < self.at_once.floor()
    }

    /// Returns whether a load of a model without requests may start. While any model is requested,
    /// some places are reserved for loads of requested models.
    pub fn admits_spare(
        &mut self,
        now: Millis,
        loads_per_s: f64,
        under_way: usize,
        are_models_asked_for: bool,
    ) -> bool {
        let kept_free = if are_models_asked_for { KEPT_FREE } else { 0 };
        self.admits(now, loads_per_s, under_way + kept_free)
    }

    /// Takes a token for a load that starts.
    pub fn note_begun(&mut self) {
        self.saved -= 1.0;
    }

    /// Adjusts the limit after a load that took `took_ms` instead of `stated_ms`. `beside` is the
    /// largest number of loads that ran at the same time, itself included.
    pub fn note_done(&mut self, took_ms: Millis, stated_ms: Millis, beside: usize) {
        let factor = slowed_by(took_ms, stated_ms);
        let beside = beside.max(1) as f64;
        self.is_learned |= beside > 1.0;
        if factor > FULL_SPEED_FACTOR {
            self.lower_to((beside / factor).round());
        } else if beside >= self.at_once.floor() {
            self.at_once = (self.at_once + self.growth()).min(self.most);
        }
    }

    /// Adjusts the limit while a load is still running `passed_ms` after it started. `beside` is as
    /// in [`Ceiling::note_done`].
    pub fn note_overdue(&mut self, passed_ms: Millis, stated_ms: Millis, beside: usize) {
        let factor = slowed_by(passed_ms, stated_ms);
        if beside > 1 && factor > FULL_SPEED_FACTOR {
            self.lower_to((beside as f64 / factor).floor());
        }
    }

    /// Lowers the limit, by one load or by a fraction of them at a time. A single load may be late
    /// for its own reasons, and a limit that is too low leaves the store idle until it has grown
    /// again.
    fn lower_to(&mut self, at_once: f64) {
        let step = (self.at_once * LOWERED_PART).floor().max(1.0);
        let lowest = (self.at_once.floor() - step).max(1.0);
        self.at_once = at_once.max(lowest).min(self.at_once);
        self.was_slowed = true;
        self.is_learned = true;
    }

    fn growth(&self) -> f64 {
        match (self.was_slowed, self.at_once < USUAL_AT_ONCE) {
            (true, _) => SLOWED_GROWTH,
            (false, true) => FAST_GROWTH,
            (false, false) => FIRST_GROWTH,
        }
    }

    /// Returns the limit of concurrent loads if it was learned from loads that ran at the same
    /// time.
    pub fn learned_at_once(&self) -> Option<usize> {
        self.is_learned.then_some(self.at_once())
    }

    /// Returns the limit of concurrent loads.
    pub fn at_once(&self) -> usize {
        self.at_once as usize
    }
}

fn slowed_by(took_ms: Millis, stated_ms: Millis) -> f64 {
    took_ms.0 as f64 / stated_ms.0.max(1) as f64
}
