//! Which upstreams are leaving: by their own word, by the platform's list, or by a peer's hint.
//!
//! A mark lasts for some time after the last first-hand word, which the list and the upstream
//! repeat many times over. Hints carry the age of that word, so a mark does not outlive it by being
//! passed around.

use crate::prelude::*;

/// How long an upstream counts as leaving after the last first-hand word.
pub const LEAVING_MARK_MS: Millis = Millis(5_000);
/// Most upstreams marked at once.
pub const MAX_MARKS: usize = 4096;
/// Most hints in one probe.
pub const MAX_HINTS: usize = 32;

/// A hint to a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeavingHint {
    /// The upstream.
    pub upstream: Name,
    /// How long ago it or the platform's list said so.
    pub age_ms: Millis,
}

/// The upstreams that are leaving, with the time of the last first-hand word.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Leaving {
    said_at: IndexMap<Name, Millis>,
    live_at: IndexMap<Name, Millis>,
}

impl Leaving {
    /// Takes a word that was said at `said_at`; tells whether the upstream was not marked before.
    pub fn mark(&mut self, upstream: &Name, said_at: Millis) -> bool {
        if self
            .live_at
            .get(upstream)
            .is_some_and(|live_at| *live_at >= said_at)
        {
            return false;
        }
        if let Some(known) = self.said_at.get_mut(upstream) {
            *known = (*known).max(said_at);
            return false;
        }
        if self.said_at.len() >= MAX_MARKS {
            return false;
        }
        self.said_at.insert(upstream.clone(), said_at);
        true
    }

    /// Tells whether an upstream is marked.
    pub fn is_marked(&self, upstream: &str) -> bool {
        self.said_at.contains_key(upstream)
    }

    /// Takes the word that an upstream is live after all; hints of older words no longer count.
    pub fn clear(&mut self, upstream: &Name, now: Millis) {
        self.said_at.shift_remove(upstream);
        self.live_at.insert(upstream.clone(), now);
    }

    /// Ends the marks that are over, and returns their upstreams.
    pub fn expire(&mut self, now: Millis) -> Vec<Name> {
        let is_over = |at: &Millis| now.since(*at) > LEAVING_MARK_MS;
        self.live_at.retain(|_, at| !is_over(at));
        let over = self.said_at.extract_if(.., |_, at| is_over(at));
        over.map(|(upstream, _)| upstream).collect()
    }

    /// Returns hints for a peer, the newest words first.
    pub fn hints(&self, now: Millis) -> Vec<LeavingHint> {
        let mut newest: Vec<(&Name, Millis)> = self
            .said_at
            .iter()
            .map(|(upstream, at)| (upstream, now.since(*at)))
            .collect();
        newest.sort_by_key(|(_, age_ms)| *age_ms);
        let hint = |(upstream, age_ms): (&Name, Millis)| LeavingHint {
            upstream: upstream.clone(),
            age_ms,
        };
        newest.into_iter().take(MAX_HINTS).map(hint).collect()
    }
}
