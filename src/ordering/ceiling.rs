//! The load on the weight store: loads a second over all engines and lifetimes of hosts, and loads at once.
//!
//! Answers the pattern of many models asked for at once after a shift of demand: the store serves a few loads at full
//! speed, and each further one slows all of them in proportion, so that ten loads at once are ready
//! later than the same ten one after the other. How many are served at full speed is not stated anywhere: it is learned
//! from loads that end, and sooner from loads that are overdue. Where one load at a time of 13 s is served, four at once
//! were all ready after 53 s; one after the other the first is ready after 13 s. A store that is stated to let thousands of
//! loads begin each second serves a large site: it begins with a part of them at once, since loads of 13 s that double from two
//! would need minutes to use it.

use crate::prelude::*;

/// The part of the allowed rate that is used.
const USED_PART: f64 = 0.9;
/// Loads that may begin at once after a pause.
const BURST: f64 = 3.0;
/// Loads at once before any was measured: the least that shows whether loads slow each other. Two that do are overdue
/// after one load's time, and are ready together after two loads' time.
const FIRST_AT_ONCE: f64 = 2.0;
/// Up to so many at once the limit grows fast: the usual speed of a weight store.
const USUAL_AT_ONCE: f64 = 4.0;
/// A load that took less than this factor of its stated time was not slowed by others; the report of its end lags by
/// up to half a second.
const FULL_SPEED_FACTOR: f64 = 1.15;
/// By how many loads at once the limit grows with each load at full speed: below the usual speed, above it, and after
/// one was slowed.
const FAST_GROWTH: f64 = 1.0;
const FIRST_GROWTH: f64 = 0.25;
const SLOWED_GROWTH: f64 = 0.1;
/// Loads at once that are kept for models that are asked for: a load under way holds its place for seconds.
const KEPT_FREE: usize = 2;
/// Most loads at once where the stated rate is low, and the part of a high rate up to which they may grow.
const MOST_AT_ONCE: f64 = 64.0;
const MOST_PART: f64 = 1.0 / 8.0;
/// The part of the stated loads a second with which an orderer begins at once that has learned nothing.
const FIRST_PART: f64 = 1.0 / 32.0;
/// The part of the loads at once by which one late load lowers them at most, where they are many.
const LOWERED_PART: f64 = 0.25;

/// Admits loads from the weight store.
///
/// A new holder of the lease begins with nothing saved up: what a former holder began in the last seconds is not
/// known, and the rate alone keeps the sum under the bound.
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
    /// Makes the ceiling of a host that begins to order. `learned_at_once` is what a former holder learned.
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

    /// Takes what the stated rate says of the loads at once.
    fn take_rate(&mut self, loads_per_s: f64) {
        self.most = (loads_per_s * MOST_PART).max(MOST_AT_ONCE);
        if !std::mem::replace(&mut self.knows_rate, true) && !self.is_learned {
            self.at_once = self.at_once.max(loads_per_s * FIRST_PART);
        }
        self.at_once = self.at_once.min(self.most);
    }

    /// Tells whether a load may begin while `under_way` others run.
    pub fn admits(&mut self, now: Millis, loads_per_s: f64, under_way: usize) -> bool {
        self.take_rate(loads_per_s);
        let passed_s = now.since(self.filled_at).0 as f64 / 1_000.0;
        self.saved = (self.saved + passed_s * loads_per_s * USED_PART).min(BURST);
        self.filled_at = now;
        self.saved >= 1.0 && (under_way as f64) < self.at_once.floor()
    }

    /// Tells whether a load that nobody waits for may begin: while models are asked for, some room is left for loads that
    /// are wanted.
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

    /// Counts a load that begins.
    pub fn note_begun(&mut self) {
        self.saved -= 1.0;
    }

    /// Learns from a load that took `took_ms` against `stated_ms` while `beside` loads ran at most, itself included.
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

    /// Learns from a load that its engine still carries out `passed_ms` after it began.
    pub fn note_overdue(&mut self, passed_ms: Millis, stated_ms: Millis, beside: usize) {
        let factor = slowed_by(passed_ms, stated_ms);
        if beside > 1 && factor > FULL_SPEED_FACTOR {
            self.lower_to((beside as f64 / factor).floor());
        }
    }

    /// Lowers the limit, by one or a part at a time: a load may be late for a reason of its own, and a limit that is too low
    /// leaves the store idle until it has grown again.
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

    /// Returns how many loads may run at once, if that was learned from loads that ran beside each other.
    pub fn learned_at_once(&self) -> Option<usize> {
        self.is_learned.then_some(self.at_once())
    }

    /// Returns how many loads may run at once.
    pub fn at_once(&self) -> usize {
        self.at_once as usize
    }
}

fn slowed_by(took_ms: Millis, stated_ms: Millis) -> f64 {
    took_ms.0 as f64 / stated_ms.0.max(1) as f64
}
