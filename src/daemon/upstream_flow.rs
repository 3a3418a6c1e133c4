//! Registration of upstreams: the platform's list and the reports that an upstream is leaving
//! become records on the shared log.

use crate::daemon::node::Node;
use crate::membership::leaving::{LEAVING_MARK_MS, MAX_HINTS};
use crate::membership::message::{Probe, UpstreamEntry};
use crate::prelude::*;
use crate::upstreams::Notice;
use std::net::SocketAddr;

impl Node {
    /// Marks an upstream as leaving, after a report of the upstream itself or of the platform's
    /// list.
    pub fn mark_leaving(&mut self, upstream: &Name) {
        self.mark_leaving_at(upstream, self.freshness.now());
    }

    /// Records what an answer of an upstream states. The answer of another process than the one at
    /// the upstream's present address has no effect.
    pub fn on_upstream_stated(
        &mut self,
        now: Millis,
        upstream: &Name,
        address: SocketAddr,
        notice: Notice,
    ) {
        let known = self.shared.placement.upstreams.get(upstream);
        if known.is_none_or(|known| known.address != address) {
            return;
        }
        if notice.is_leaving {
            self.mark_leaving(upstream);
        }
        if let Some(until) = notice.rest_until(now) {
            let view = self.routing.view_mut(upstream);
            view.asked_rest_until = view.asked_rest_until.max(until);
            LogEvent::UpstreamResting.write(&format!("upstream={upstream} until={until}"));
        }
    }

    fn mark_leaving_at(&mut self, upstream: &Name, reported_at: Millis) {
        if self.leaving.mark(upstream, reported_at) {
            LogEvent::UpstreamLeaving.write(&format!("upstream={upstream}"));
        }
        self.routing.view_mut(upstream).leaving = true;
    }

    /// Applies the entry of an upstream that was put on the log. A process at another address than
    /// before has stated nothing yet.
    pub fn note_upstream_entry(&mut self, entry: &UpstreamEntry) {
        let view = self.routing.view_mut(&entry.name);
        view.leaving = entry.leaving;
        if view.address != Some(entry.address) {
            view.address = Some(entry.address);
            view.asked_rest_until = Millis::ZERO;
        }
    }

    /// Marks the upstreams that a peer's probe names as leaving, as of the time at which each was
    /// reported to be leaving.
    pub fn merge_leaving_hints(&mut self, now: Millis, probe: &Probe) {
        for hint in probe.leaving_upstreams.iter().take(MAX_HINTS) {
            let known = self.shared.placement.upstreams.contains_key(&hint.upstream);
            if known && hint.age_ms < LEAVING_MARK_MS {
                self.mark_leaving_at(&hint.upstream, now - hint.age_ms);
            }
        }
    }

    /// Removes the marks of leaving upstreams that have expired. While the platform's list cannot be
    /// read, nothing shows that an upstream stays after all, and no mark expires.
    pub fn tick_leaving(&mut self) {
        let Some(listed_at) = self.platform.listed_at() else {
            return;
        };
        for upstream in self.leaving.expire(listed_at) {
            self.routing.view_mut(&upstream).leaving = false;
        }
    }

    /// Proposes records of the upstreams that are new or whose entry changed and of which this host
    /// is the home.
    pub fn propose_upstreams(&mut self, now: Millis) {
        let known = &self.shared.placement.upstreams;
        let wanted: Vec<UpstreamEntry> = self
            .listed_upstreams()
            .map(|entry| self.with_leaving_mark(entry))
            .filter(|entry| known.get(&entry.name) != Some(entry))
            .collect();
        for entry in wanted {
            if self.is_home(&entry.name) && self.platform.may_propose(now, &entry.name) {
                self.driver.queue(RecordBody::Upstream { entry });
            }
        }
    }

    /// Returns the upstreams in the platform's list or, if the list was not read yet, those in the
    /// replicated state.
    fn listed_upstreams(&self) -> impl Iterator<Item = &UpstreamEntry> {
        let listed = self.platform.list().map(|list| &list.upstreams);
        let known = &self.shared.placement.upstreams;
        let unlisted = listed.is_none().then(|| known.values());
        listed
            .into_iter()
            .flatten()
            .chain(unlisted.into_iter().flatten())
    }

    /// Returns an entry as leaving if its upstream is marked as leaving, since the platform's list
    /// may lag behind the report of the upstream itself.
    fn with_leaving_mark(&self, entry: &UpstreamEntry) -> UpstreamEntry {
        UpstreamEntry {
            leaving: entry.leaving || self.leaving.is_marked(&entry.name),
            ..entry.clone()
        }
    }
}
