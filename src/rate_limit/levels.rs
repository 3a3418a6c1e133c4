//! Levels of token buckets, as hosts send them to each other.

use crate::prelude::*;
use crate::rate_limit::limiter::Scope;
use crate::rate_limit::token_bucket::Refill;

/// Buckets above this fraction of their burst are left out of messages: most use stays far below
/// its limit.
const NEARLY_FULL_FRACTION: f64 = 0.75;

/// Level of one bucket.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Level {
    /// Tokens or requests left; negative when more was used than allowed.
    pub left: f64,
    /// Recent use per second.
    pub used_per_s: f64,
}

/// Levels that a parent sends to a child that reports its use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitsUpdate {
    /// Age of the levels.
    pub age_ms: Millis,
    /// Which hosts the buckets cover.
    pub scope: Scope,
    /// The fraction of each limit that these hosts have.
    pub share: f64,
    /// The buckets that are not nearly full.
    pub levels: Vec<(Name, Level)>,
}

/// The latest levels received from another host.
#[derive(Clone, Debug)]
pub struct KnownLevels {
    /// When the levels were current.
    pub as_of: Millis,
    /// Which hosts the buckets cover.
    pub scope: Scope,
    /// The fraction of each limit that these hosts have.
    pub share: f64,
    levels: IndexMap<Name, Level>,
}

impl KnownLevels {
    /// Stores levels received from another host.
    pub fn new(now: Millis, update: LimitsUpdate) -> Self {
        Self {
            as_of: now - update.age_ms,
            scope: update.scope,
            share: update.share,
            levels: update.levels.into_iter().collect(),
        }
    }

    /// Returns what is left of a bucket now: what was left then, less the expected use since in
    /// excess of the refill. Refill in excess of the use is not counted until newer levels include
    /// it.
    pub fn left(&self, now: Millis, name: &str, refill: Refill) -> f64 {
        let Some(level) = self.levels.get(name) else {
            return refill.burst * NEARLY_FULL_FRACTION;
        };
        let age_s = now.since(self.as_of).0 as f64 / 1_000.0;
        level.left - (level.used_per_s - refill.per_s).max(0.0) * age_s
    }

    /// Returns the level of a bucket, or `None` if it was left out of the message.
    pub fn level(&self, name: &str) -> Option<Level> {
        self.levels.get(name).copied()
    }

    /// Returns the names of the buckets in the message.
    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.levels.keys()
    }
}

/// Returns whether a bucket is low enough to be included in messages.
pub fn is_included(left: f64, refill: Refill) -> bool {
    left < refill.burst * NEARLY_FULL_FRACTION
}
