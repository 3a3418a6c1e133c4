//! What upstreams state in their answers about whether they take further requests.
//!
//! A statement holds for one lifetime of an upstream, also if its entry lapses and comes back.

use crate::prelude::*;

/// The longest rest that is kept.
const MAX_REST_MS: Millis = Millis(24 * 3_600 * 1_000);

/// What one answer of an upstream states.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Whether the upstream is shutting down and takes no new requests.
    pub is_leaving: bool,
    /// For how long the upstream wants no requests of this host.
    pub rest_ms: Option<Millis>,
}

/// What an upstream has stated in its answers to this host since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notices {
    is_leaving: bool,
    rests_until: Millis,
}

/// What a notice changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoticeChange {
    /// The upstream states for the first time that it is leaving.
    Leaving,
    /// The upstream rests until this time.
    Resting(Millis),
}

impl Notice {
    /// Reads a number of seconds, possibly with a fraction, as a rest. Returns `None` unless it is a
    /// finite number of at least zero.
    pub fn parse_rest(text: &str) -> Option<Millis> {
        let seconds: f64 = text.trim().parse().ok()?;
        let is_valid = seconds.is_finite() && seconds >= 0.0;
        is_valid.then(|| Millis((seconds * 1_000.0).ceil() as u64))
    }

    /// Returns when the rest ends that the answer asks for; none if it asks for none.
    pub fn rest_until(self, now: Millis) -> Option<Millis> {
        let rest_ms = self.rest_ms?.min(MAX_REST_MS);
        (rest_ms > Millis::ZERO).then(|| now + rest_ms)
    }
}

impl Notices {
    /// Records what an answer states. Returns what changed, if anything did. A rest ends when the
    /// longest that was asked for ends.
    pub fn record(&mut self, now: Millis, notice: Notice) -> Option<NoticeChange> {
        let starts_leaving = notice.is_leaving && !self.is_leaving;
        self.is_leaving |= notice.is_leaving;
        let rest_until = notice.rest_until(now);
        let longer_rest = rest_until.filter(|until| *until > self.rests_until);
        self.rests_until = longer_rest.unwrap_or(self.rests_until);
        match (starts_leaving, longer_rest) {
            (true, _) => Some(NoticeChange::Leaving),
            (false, Some(until)) => Some(NoticeChange::Resting(until)),
            (false, None) => None,
        }
    }

    /// Returns whether the upstream stated that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns when the rest ends that the upstream asked for, if it lasts at `now`.
    pub fn rests_until(&self, now: Millis) -> Option<Millis> {
        (now < self.rests_until).then_some(self.rests_until)
    }
}
