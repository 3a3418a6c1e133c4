//! Whether this host reaches an upstream, learned from the connections that it opens and from the
//! answers that it gets.
//!
//! A path that is lost says nothing about the upstream itself: other hosts may still reach it.

use crate::prelude::*;

/// How long a failure to connect counts without a further one. Requests that another host serves
/// meanwhile try the path again in the background.
pub const PATH_MEMORY_MS: Millis = Millis(5_000);
/// The number of upstreams that must have failed since the last contact with any for all paths to
/// count as lost.
const PRESUMED_LOST_COUNT: usize = 2;
/// The minimum pause between two attempts to connect over a lost path in the background.
const PROBE_INTERVAL_MS: Millis = Millis(400);

/// The path from this host to one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Path {
    connected_at: Option<Millis>,
    failed_at: Option<Millis>,
    probed_at: Option<Millis>,
}

impl Path {
    /// Tells whether the last attempt to connect failed, not longer than [`PATH_MEMORY_MS`] ago.
    pub fn is_lost(&self, now: Millis) -> bool {
        self.failed_at
            .is_some_and(|at| now.since(at) < PATH_MEMORY_MS)
    }

    /// Tells whether a connection was opened at or after `since`.
    pub fn is_proven_since(&self, since: Millis) -> bool {
        self.connected_at.is_some_and(|at| at >= since)
    }

    /// Tells whether the path may be tried in the background now, and records that it is.
    pub fn begin_probe(&mut self, now: Millis) -> bool {
        let is_due = self
            .probed_at
            .is_none_or(|at| now.since(at) >= PROBE_INTERVAL_MS);
        if is_due {
            self.probed_at = Some(now);
        }
        is_due
    }

    /// Records that a connection was opened.
    pub fn note_connected(&mut self, now: Millis) {
        self.connected_at = Some(now);
        self.failed_at = None;
    }

    /// Records that a connection that was begun at `began_at` could not be opened. A connection
    /// that was opened after that counts more.
    pub fn note_failed(&mut self, began_at: Millis, now: Millis) {
        if !self.is_proven_since(began_at) {
            self.failed_at = Some(now);
        }
    }

    /// Forgets a failure, since the host is connected again.
    pub fn forget_failure(&mut self) {
        self.failed_at = None;
    }
}

/// When this host was last in contact with any upstream, and which ones failed since. A host that is
/// cut off has tried only some of them, so the failures of a few count for all.
#[derive(Clone, Debug, Default)]
pub struct UpstreamContact {
    /// When a connection to any upstream was opened, or an answer of one was read, for the last
    /// time.
    last_contact_at: Option<Millis>,
    /// The upstreams that failed since the last contact, and when. At most
    /// [`PRESUMED_LOST_COUNT`] are kept.
    failed: IndexMap<Name, Millis>,
}

impl UpstreamContact {
    /// Records an opened connection to any upstream, or an answer of one.
    pub fn note_contact(&mut self, now: Millis) {
        self.last_contact_at = Some(now);
        self.failed.clear();
    }

    /// Records that a connection to an upstream that was begun at `began_at` could not be opened.
    pub fn note_failed(&mut self, id: &Name, began_at: Millis, now: Millis) {
        if self.last_contact_at.is_some_and(|at| at >= began_at) {
            return;
        }
        if self.failed.contains_key(id) || self.failed.len() < PRESUMED_LOST_COUNT {
            self.failed.insert(id.clone(), now);
        }
    }

    /// Tells whether all paths count as lost: several upstreams failed, and there was no contact since.
    pub fn are_all_lost(&self, now: Millis) -> bool {
        let recent = self.failed.values();
        let recent = recent.filter(|at| now.since(**at) < PATH_MEMORY_MS);
        recent.count() >= PRESUMED_LOST_COUNT
    }

    /// Tells whether there was contact with any upstream at or after `since`.
    pub fn has_contact_since(&self, since: Millis) -> bool {
        self.last_contact_at.is_some_and(|at| at >= since)
    }
}
