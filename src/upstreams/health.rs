//! Judging an upstream by the results of this host's own sends.
//!
//! Health probes cost the upstream a slot and may be wrong for some callers only, so they are not used.

use crate::prelude::*;

/// The weight of the newest result in the failure share: about the last ten results count.
const NEWEST_WEIGHT: f64 = 0.12;
/// How fast a failure share is forgiven without new results: halved in this time, so that an upstream that
/// recovered is tried again.
const HALF_LIFE_MS: f64 = 4_000.0;
/// How long an upstream is passed over after it refused a connection or did not answer. It grows with each
/// further failure in a row, to [`MAX_REST_MS`].
const REST_MS: u64 = 300;
/// The longest rest: a server that restarts is back within a few seconds.
const MAX_REST_MS: u64 = 2_000;

/// The results of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failure_share: f64,
    judged_at: Millis,
    unreachable_in_row: u32,
    resting_until: Millis,
}

impl Health {
    /// Takes note of an answer that is no failure.
    pub fn note_success(&mut self, now: Millis) {
        self.note(now, 0.0);
        self.unreachable_in_row = 0;
        self.resting_until = Millis::ZERO;
    }

    /// Takes note of a failure that the upstream answered, or of an answer that broke off.
    pub fn note_failure(&mut self, now: Millis) {
        self.note(now, 1.0);
    }

    /// Takes note that the upstream could not be reached or stayed silent. Returns until when it rests.
    pub fn note_unreachable(&mut self, now: Millis) -> Millis {
        self.note(now, 1.0);
        let doublings = self.unreachable_in_row.min(4);
        self.unreachable_in_row += 1;
        self.resting_until = now + Millis((REST_MS << doublings).min(MAX_REST_MS));
        self.resting_until
    }

    /// Tells whether the upstream is passed over now.
    pub fn is_resting(&self, now: Millis) -> bool {
        now < self.resting_until
    }

    /// Returns the share of late results that were failures, from 0 to 1.
    pub fn failure_share(&self, now: Millis) -> f64 {
        let age_ms = now.since(self.judged_at).0 as f64;
        self.failure_share * 0.5f64.powf(age_ms / HALF_LIFE_MS)
    }

    fn note(&mut self, now: Millis, result: f64) {
        let share = self.failure_share(now);
        self.failure_share = share + (result - share) * NEWEST_WEIGHT;
        self.judged_at = now;
    }
}
