//! Joins the platform's list and the upstreams' own words to the log and to routing.

use crate::daemon::node::Node;
use crate::membership::leaving::{LEAVING_MARK_MS, MAX_HINTS};
use crate::membership::message::{Probe, UpstreamEntry};
use crate::prelude::*;

impl Node {
    /// Takes the upstream's or the platform's word that an upstream is leaving.
    pub fn mark_leaving(&mut self, upstream: &Name) {
        self.mark_leaving_at(upstream, self.freshness.now());
    }

    fn mark_leaving_at(&mut self, upstream: &Name, said_at: Millis) {
        if self.leaving.mark(upstream, said_at) {
            LogEvent::UpstreamLeaving.write(&format!("upstream={upstream}"));
        }
        self.routing.view_mut(upstream).leaving = true;
    }

    /// Takes a peer's hints.
    pub fn take_hints(&mut self, now: Millis, probe: &Probe) {
        for hint in probe.leaving_upstreams.iter().take(MAX_HINTS) {
            let known = self.shared.placement.upstreams.contains_key(&hint.upstream);
            if known && hint.age_ms < LEAVING_MARK_MS {
                self.mark_leaving_at(&hint.upstream, now - hint.age_ms);
            }
        }
    }

    /// Ends the marks that are over.
    pub fn tick_leaving(&mut self, now: Millis) {
        for upstream in self.leaving.expire(now) {
            self.routing.view_mut(&upstream).leaving = false;
        }
    }

    /// Proposes upstreams that are new, or whose entry changed.
    pub fn propose_upstreams(&mut self, now: Millis) {
        let known = &self.shared.placement.upstreams;
        let wanted: Vec<UpstreamEntry> = self
            .listed_upstreams()
            .map(|entry| self.with_own_word(entry))
            .filter(|entry| known.get(&entry.name) != Some(entry))
            .collect();
        for entry in wanted {
            if self.is_home(&entry.name) && self.platform.may_propose(now, &entry.name) {
                self.driver.queue(RecordBody::Upstream { entry });
            }
        }
    }

    /// Returns the list's upstreams; without a list those that the fold knows.
    fn listed_upstreams(&self) -> impl Iterator<Item = &UpstreamEntry> {
        let listed = self.platform.list().map(|list| &list.upstreams);
        let known = &self.shared.placement.upstreams;
        let unlisted = listed.is_none().then(|| known.values());
        listed
            .into_iter()
            .flatten()
            .chain(unlisted.into_iter().flatten())
    }

    /// The list lags, so an upstream that said it is leaving is leaving whatever the list shows.
    fn with_own_word(&self, entry: &UpstreamEntry) -> UpstreamEntry {
        UpstreamEntry {
            leaving: entry.leaving || self.leaving.is_marked(&entry.name),
            ..entry.clone()
        }
    }
}
