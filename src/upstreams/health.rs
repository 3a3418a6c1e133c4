//! Passive health of an upstream, from the results of this host's own requests.
//!
//! Active health checks are not used: they occupy a slot of the upstream, and their result may not
//! hold for every host that sends to it.

use crate::prelude::*;

/// The weight of the newest result in the moving average of failures, so that about the last ten
/// results count.
const NEWEST_RESULT_WEIGHT: f64 = 0.12;
/// The time in which the failure share halves without new results, so that an upstream that
/// recovered is tried again.
const FAILURE_HALF_LIFE_MS: f64 = 4_000.0;
/// The first backoff: how long an upstream gets no requests after it refused a connection or did
/// not answer. It doubles with each further such failure in a row, up to [`MAX_BACKOFF_MS`].
const FIRST_BACKOFF_MS: u64 = 300;
/// The longest backoff, since a server that restarts is back within a few seconds.
const MAX_BACKOFF_MS: u64 = 2_000;

/// The results of this host's requests to one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    /// The share as of `updated_at`.
    failure_share: f64,
    updated_at: Millis,
    /// Consecutive failures to connect or to get an answer.
    consecutive_unreachable: u32,
    backoff_until: Millis,
}

impl Health {
    /// Records an answer that is not a failure; ends a backoff.
    pub fn note_success(&mut self, now: Millis) {
        self.note(now, 0.0);
        self.end_backoff();
    }

    /// Records an answer that is a failure, or one that broke off.
    pub fn note_failure(&mut self, now: Millis) {
        self.note(now, 1.0);
    }

    /// Records that the upstream could not be reached or did not answer. Returns when the backoff
    /// ends.
    pub fn note_unreachable(&mut self, now: Millis) -> Millis {
        self.note(now, 1.0);
        let doublings = self.consecutive_unreachable.min(4);
        self.consecutive_unreachable += 1;
        self.backoff_until = now + Millis((FIRST_BACKOFF_MS << doublings).min(MAX_BACKOFF_MS));
        self.backoff_until
    }

    /// Ends a backoff after the upstream could be reached again.
    pub fn end_backoff(&mut self) {
        self.consecutive_unreachable = 0;
        self.backoff_until = Millis::ZERO;
    }

    /// Returns whether the upstream is in backoff, during which it gets no requests.
    pub fn is_backing_off(&self, now: Millis) -> bool {
        now < self.backoff_until
    }

    /// Returns the weighted share of failures among recent results, from 0 to 1. It decays while
    /// there are no results.
    pub fn failure_share(&self, now: Millis) -> f64 {
        let age_ms = now.since(self.updated_at).0 as f64;
        self.failure_share * 0.5f64.powf(age_ms / FAILURE_HALF_LIFE_MS)
    }

    fn note(&mut self, now: Millis, result: f64) {
        let share = self.failure_share(now);
        self.failure_share = share + (result - share) * NEWEST_RESULT_WEIGHT;
        self.updated_at = now;
    }
}
