//! Marks of upstreams that are leaving, as reported by the upstream itself (in a report or in any
//! answer), by the platform's list or by a hint of another host.
//!
//! A mark expires some time after the last first-hand report, which the list repeats many times
//! within that time. A hint carries the age of that report, so that hosts that pass hints to each
//! other do not extend a mark.

use crate::prelude::*;

/// How long an upstream counts as leaving after the last first-hand report.
pub const LEAVING_MARK_MS: Millis = Millis(5_000);
/// Most upstreams that are marked at the same time.
pub const MAX_MARKS: usize = 4096;
/// Most hints sent or accepted in one probe.
pub const MAX_HINTS: usize = 32;

/// A hint to another host that an upstream is leaving.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeavingHint {
    /// The name of the upstream.
    pub upstream: Name,
    /// The age of the last first-hand report: by the upstream itself or the platform's list.
    pub age_ms: Millis,
}

/// The marks of upstreams that are leaving.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Leaving {
    /// The time of the last first-hand report, by upstream that is marked.
    said_at: IndexMap<Name, Millis>,
    /// The time at which a mark was cleared, by upstream that turned out not to be leaving.
    live_at: IndexMap<Name, Millis>,
}

impl Leaving {
    /// Marks an upstream as leaving by a first-hand report of `reported_at`. Returns whether the
    /// upstream is newly marked. A report that is not newer than the last [`clear`](Self::clear)
    /// has no effect, nor has one beyond [`MAX_MARKS`].
    pub fn mark(&mut self, upstream: &Name, reported_at: Millis) -> bool {
        if self
            .live_at
            .get(upstream)
            .is_some_and(|live_at| *live_at >= reported_at)
        {
            return false;
        }
        if let Some(known) = self.said_at.get_mut(upstream) {
            *known = (*known).max(reported_at);
            return false;
        }
        if self.said_at.len() >= MAX_MARKS {
            return false;
        }
        self.said_at.insert(upstream.clone(), reported_at);
        true
    }

    /// Returns whether an upstream is marked.
    pub fn is_marked(&self, upstream: &str) -> bool {
        self.said_at.contains_key(upstream)
    }

    /// Removes the mark of an upstream that turned out not to be leaving; hints of reports before
    /// `now` no longer have an effect.
    pub fn clear(&mut self, upstream: &Name, now: Millis) {
        self.said_at.shift_remove(upstream);
        self.live_at.insert(upstream.clone(), now);
    }

    /// Removes the marks whose last first-hand report is older than [`LEAVING_MARK_MS`] at `now`, up
    /// to which reports were received. Returns their upstreams.
    pub fn expire(&mut self, now: Millis) -> Vec<Name> {
        let is_expired = |at: &Millis| now.since(*at) > LEAVING_MARK_MS;
        self.live_at.retain(|_, at| !is_expired(at));
        let expired = self.said_at.extract_if(.., |_, at| is_expired(at));
        expired.map(|(upstream, _)| upstream).collect()
    }

    /// Returns the hints for a probe: at most [`MAX_HINTS`], those with the newest reports first.
    pub fn hints(&self, now: Millis) -> Vec<LeavingHint> {
        let mut by_age: Vec<(&Name, Millis)> = self
            .said_at
            .iter()
            .map(|(upstream, at)| (upstream, now.since(*at)))
            .collect();
        by_age.sort_by_key(|(_, age_ms)| *age_ms);
        let to_hint = |(upstream, age_ms): (&Name, Millis)| LeavingHint {
            upstream: upstream.clone(),
            age_ms,
        };
        by_age.into_iter().take(MAX_HINTS).map(to_hint).collect()
    }
}
