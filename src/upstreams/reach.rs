//! Which upstreams of the registry this host reaches.

use crate::prelude::*;
use crate::upstreams::{Lifetime, Registry, Upstream};

impl Registry {
    /// Records that an upstream answered.
    pub fn note_contact(&mut self, now: Millis) {
        self.contact.note_contact(now);
    }

    /// Records that a connection to an upstream was opened. Returns since when no upstream of its
    /// service was in reach, if that was so until now.
    pub fn note_connected(&mut self, lifetime: &Lifetime, now: Millis) -> Option<Millis> {
        if self.contact.are_all_lost(now) {
            for upstream in self.upstreams.values_mut() {
                upstream.path.forget_failure();
                upstream.health.end_backoff();
            }
        }
        self.contact.note_contact(now);
        let upstream = self.get_lifetime_mut(lifetime)?;
        upstream.path.note_connected(now);
        upstream.health.end_backoff();
        let service = upstream.entry.service.clone();
        self.lost_services.swap_remove(&service)
    }

    /// Records that a connection to an upstream that was begun at `began_at` could not be opened.
    /// Returns true if no upstream of its service is in reach any more.
    pub fn note_connect_failed(
        &mut self,
        lifetime: &Lifetime,
        began_at: Millis,
        now: Millis,
    ) -> bool {
        self.contact.note_failed(&lifetime.id, began_at, now);
        let Some(upstream) = self.get_lifetime_mut(lifetime) else {
            return false;
        };
        upstream.path.note_failed(began_at, now);
        let service = upstream.entry.service.clone();
        let has_path = self
            .usable(&service)
            .any(|other| !self.is_out_of_reach(now, other));
        if has_path || self.lost_services.contains_key(&service) {
            return false;
        }
        let mut lost = std::mem::take(&mut self.lost_services);
        lost.retain(|service, _| self.serving(service).next().is_some());
        lost.insert(service, now);
        self.lost_services = lost;
        true
    }

    /// Tells whether this host does not reach an upstream, as far as its own connections show:
    /// the last attempt to connect failed, or all paths count as lost.
    pub fn is_out_of_reach(&self, now: Millis, upstream: &Upstream) -> bool {
        upstream.path.is_lost(now) || self.contact.are_all_lost(now)
    }

    /// Tells whether this host seems to be cut off from all upstreams.
    pub fn are_all_lost(&self, now: Millis) -> bool {
        self.contact.are_all_lost(now)
    }

    /// Tells whether this host was in contact with any upstream at or after `since`.
    pub fn has_contact_since(&self, since: Millis) -> bool {
        self.contact.has_contact_since(since)
    }

    /// Tells whether this host was in contact with any upstream since it started.
    pub fn was_ever_in_contact(&self) -> bool {
        self.has_contact_since(Millis::ZERO)
    }

    /// Tells whether the path to an upstream may be tried in the background now, and records that
    /// it is.
    pub fn begin_probe(&mut self, now: Millis, lifetime: &Lifetime) -> bool {
        self.get_lifetime_mut(lifetime)
            .is_some_and(|upstream| upstream.path.begin_probe(now))
    }
}
