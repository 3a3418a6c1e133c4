//! Upstreams that fail if they turn too many requests away in a second, and how hosts keep that
//! from happening together.
//!
//! A request can be turned away from when it is sent until its answer begins. Each upstream is
//! assigned to as many hosts as it may turn requests away in a second, or fewer, and these share the
//! number of requests that may be unanswered there. A host whose request was turned away pauses for
//! a second. So no more requests can be turned away in any second than the upstream withstands.
//! Hosts tell each other the number, so that one which has had no answer yet knows it.

use crate::prelude::*;
use crate::rendezvous;
use crate::upstreams::{Lifetime, Registry, Upstream};

/// How long a statement counts after the last answer that repeated it.
const STATED_MS: Millis = Millis(10_000);
/// How long a host sends nothing after a request of its was turned away: the second that an upstream
/// counts over, and the time of a request on its way.
pub const PAUSE_MS: Millis = Millis(1_100);

/// The most services of which a host tells another one.
const MAX_TOLD: usize = 256;

/// How many requests in a second the upstreams of a service can turn away, as one host tells
/// another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldRejectionLimit {
    /// The name of the service.
    pub service: Name,
    /// The number in a second, for one upstream and all hosts together.
    pub per_s: u32,
    /// How long ago an answer stated it.
    pub age_ms: Millis,
}

/// How many requests in a second the upstreams of a service can turn away, as their answers state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RejectionLimit {
    /// The number in a second, for one upstream and all hosts together.
    pub per_s: u32,
    stated_at: Millis,
}

impl RejectionLimit {
    /// Creates the limit that an answer states at `now`.
    pub fn new(per_s: u32, now: Millis) -> Self {
        Self {
            per_s,
            stated_at: now,
        }
    }

    /// Tells whether the statement still counts.
    pub fn is_current(&self, now: Millis) -> bool {
        now.since(self.stated_at) < STATED_MS
    }

    /// Returns how many unanswered requests a host may have at an upstream with this many slots;
    /// zero if the upstream is not assigned to the host. `hosts` are the incarnations of all hosts
    /// and `own` is this host's.
    pub fn max_unanswered(
        &self,
        upstream: &str,
        slots: u32,
        hosts: impl Iterator<Item = u64>,
        own: u64,
    ) -> u32 {
        let own_score = rendezvous::score(upstream.as_bytes(), own);
        let (mut count, mut better) = (0u32, 0u32);
        for host in hosts {
            count += 1;
            let score = rendezvous::score(upstream.as_bytes(), host);
            better += u32::from((score, host) > (own_score, own));
        }
        let allowed = self.per_s.min(slots).max(1);
        let assigned = count.clamp(1, allowed);
        if better < assigned {
            allowed / assigned
        } else {
            0
        }
    }
}

impl Registry {
    /// Records how many requests in a second the upstreams of a service can turn away, as the latest
    /// answer of one states; none if it states nothing.
    pub fn note_rejection_limit(&mut self, now: Millis, lifetime: &Lifetime, per_s: Option<u32>) {
        if per_s.is_none() && self.rejection_limits.is_empty() {
            return;
        }
        let Some(upstream) = self.get_lifetime(lifetime) else {
            return;
        };
        let service = upstream.entry.service.clone();
        match per_s {
            Some(per_s) => {
                self.rejection_limits
                    .retain(|_, limit| limit.is_current(now));
                let limit = RejectionLimit::new(per_s, now);
                self.rejection_limits.insert(service, limit);
            }
            None => {
                if self.rejection_limits.swap_remove(&service).is_some() {
                    self.rejections_unlimited_at.insert(service, now);
                }
            }
        }
    }

    /// Returns the limits that answers state at present, for other hosts.
    pub fn told_rejection_limits(&self, now: Millis) -> Vec<ToldRejectionLimit> {
        let limits = self.rejection_limits.iter();
        let current = limits.filter(|(_, limit)| limit.is_current(now));
        let told = current.map(|(service, limit)| ToldRejectionLimit {
            service: service.clone(),
            per_s: limit.per_s,
            age_ms: now.since(limit.stated_at),
        });
        told.take(MAX_TOLD).collect()
    }

    /// Adds the limits that answers stated to other hosts, unless a later answer to this host says
    /// something else.
    pub fn merge_rejection_limits(&mut self, now: Millis, told: &[ToldRejectionLimit]) {
        for told in told.iter().take(MAX_TOLD) {
            let limit = RejectionLimit::new(told.per_s, now - told.age_ms);
            let known = self.rejection_limits.get(&told.service);
            let is_newer = known.is_none_or(|known| known.stated_at < limit.stated_at)
                && self
                    .rejections_unlimited_at
                    .get(&told.service)
                    .is_none_or(|at| *at < limit.stated_at);
            if is_newer && limit.is_current(now) {
                self.rejection_limits.insert(told.service.clone(), limit);
            }
        }
    }

    /// Returns how many requests in a second an upstream can turn away, if that is limited.
    pub fn rejection_limit(&self, now: Millis, upstream: &Upstream) -> Option<RejectionLimit> {
        let limit = self.rejection_limits.get(&upstream.entry.service).copied();
        limit.filter(|limit| limit.is_current(now))
    }

    /// Records that an upstream turned a request of this host away. If it limits how many it can
    /// turn away, it gets no further one for a while.
    pub fn note_rejected(&mut self, now: Millis, lifetime: &Lifetime) {
        let known = self.get_lifetime(lifetime);
        let is_limited = known.is_some_and(|known| self.rejection_limit(now, known).is_some());
        if let Some(upstream) = self.get_lifetime_mut(lifetime).filter(|_| is_limited) {
            upstream.paused_until = now + PAUSE_MS;
        }
    }
}
