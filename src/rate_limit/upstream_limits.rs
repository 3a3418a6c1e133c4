//! Limits of requests a second that upstreams name in their answers, kept by all hosts together.
//!
//! Only the host that gets an answer reads the limit in it, so hosts tell each other what was named, beside the use. The
//! newest statement holds. What is left is counted as it is for organisations.

use crate::desired::{LimitUnit, RateLimit, RateLimitTable};
use crate::prelude::*;
use crate::rate_limit::limiter::{Limiter, Place};
use crate::rate_limit::{Decision, LimitsNews, Usage};

/// Requests that an upstream gets besides after a pause: few, since it is in need.
const BURST: f64 = 2.0;
/// How long a limit holds after it was last named: an upstream that gets little says little.
const KEEP_MS: Millis = Millis(60_000);
/// How long after a limit was named an answer without one may still be an older one.
const OLD_ANSWER_MS: Millis = Millis(500);
/// Most upstreams with a limit, in memory and in a message.
const MAX_STATED: usize = 128;

/// A limit that an upstream named, or that it names none any more.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatedLimit {
    /// The upstream.
    pub upstream: Name,
    /// The requests a second.
    pub per_s: Option<f64>,
    /// How long ago that was.
    pub age_ms: Millis,
}

/// What a host tells the one above it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UpstreamLimitsReport {
    /// What upstreams named.
    pub stated: Vec<StatedLimit>,
    /// Requests that upstreams with a limit got, as far as they were not reported.
    pub usage: Vec<Usage>,
}

/// What a host is answered.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UpstreamLimitsNews {
    /// What upstreams named.
    pub stated: Vec<StatedLimit>,
    /// What is left.
    pub levels: Option<LimitsNews>,
}

#[derive(Clone, Copy, Debug)]
struct Stated {
    per_s: Option<f64>,
    at: Millis,
}

/// The limits of upstreams as one host knows them.
#[derive(Clone, Debug)]
pub struct UpstreamLimits {
    stated: IndexMap<Name, Stated>,
    /// Of those that name one.
    limits: RateLimitTable,
    limiter: Limiter,
}

impl UpstreamLimits {
    /// Makes the limits of a host that starts.
    pub fn new(started_at: Millis) -> Self {
        Self {
            stated: IndexMap::new(),
            limits: RateLimitTable::default(),
            limiter: Limiter::new(started_at, 0.0),
        }
    }

    /// Takes note of this host's place.
    pub fn set_place(&mut self, now: Millis, place: Place) {
        self.limiter.set_place(now, place, &self.limits);
    }

    /// Takes note of what an answer names. Returns whether it is another limit than before.
    pub fn note_answer(&mut self, now: Millis, upstream: &Name, per_s: Option<f64>) -> bool {
        let known = self.stated.get(upstream);
        let is_old = known.is_some_and(|known| now.since(known.at) < OLD_ANSWER_MS);
        if per_s.is_none() && (known.is_none() || is_old) {
            return false;
        }
        self.state(upstream, Stated { per_s, at: now })
    }

    /// Takes what other hosts were told. Returns the upstreams of which the limit is another one now.
    pub fn take_stated(&mut self, now: Millis, told: &[StatedLimit]) -> Vec<StatedLimit> {
        let mut changed = Vec::new();
        for limit in told.iter().take(MAX_STATED) {
            let stated = Stated {
                per_s: limit.per_s.filter(|per_s| per_s.is_finite()),
                at: now - limit.age_ms,
            };
            let known = self.stated.get(&limit.upstream);
            let is_newer = known.is_none_or(|known| stated.at > known.at);
            if limit.age_ms < KEEP_MS && is_newer && self.state(&limit.upstream, stated) {
                changed.push(limit.clone());
            }
        }
        changed
    }

    fn state(&mut self, upstream: &Name, stated: Stated) -> bool {
        let is_known = self.stated.contains_key(upstream);
        if !is_known && self.stated.len() >= MAX_STATED {
            return false;
        }
        let former = self.stated.insert(upstream.clone(), stated);
        let is_changed = former.and_then(|former| former.per_s) != stated.per_s;
        if is_changed {
            let limit = stated.per_s.map(|per_s| RateLimit {
                unit: LimitUnit::Requests,
                per_s,
                burst: BURST,
            });
            self.limits.set(upstream, limit);
        }
        is_changed
    }

    fn expire(&mut self, now: Millis) {
        let Self { stated, limits, .. } = self;
        stated.retain(|upstream, stated| {
            let is_kept = now.since(stated.at) < KEEP_MS;
            if !is_kept {
                limits.set(upstream, None);
            }
            is_kept
        });
        self.limiter.keep_known(&self.limits);
    }

    /// Returns what upstreams named, for another host.
    pub fn stated(&self, now: Millis) -> Vec<StatedLimit> {
        let stated = self.stated.iter();
        stated
            .map(|(upstream, stated)| StatedLimit {
                upstream: upstream.clone(),
                per_s: stated.per_s,
                age_ms: now.since(stated.at),
            })
            .collect()
    }

    /// Returns the limit that an upstream names.
    pub fn limit(&self, upstream: &str) -> Option<RateLimit> {
        self.limits.get(upstream)
    }

    /// Decides a request to an upstream; nothing where that names no limit. `point` is even between 0 and 1.
    pub fn decide(&mut self, now: Millis, upstream: &Name, point: f64) -> Option<Decision> {
        let limit = self.limit(upstream)?;
        Some(self.limiter.decide(now, upstream, &limit, 1, point))
    }

    /// Tells whether a decision does well to wait for newer levels.
    pub fn wants_newer_levels(&self, now: Millis, upstream: &Name) -> bool {
        let limit = self.limit(upstream);
        limit.is_some_and(|limit| self.limiter.wants_newer_levels(now, upstream, &limit))
    }

    /// Returns what is to be told to the host above this one.
    pub fn report(&mut self, now: Millis) -> UpstreamLimitsReport {
        self.expire(now);
        UpstreamLimitsReport {
            stated: self.stated(now),
            usage: self.limiter.report(now),
        }
    }

    /// Takes the use that a host below this one reports.
    pub fn take_usage(&mut self, now: Millis, usage: &[Usage]) {
        self.limiter.take_usage(now, usage, &self.limits);
    }

    /// Returns what a host below this one is to know.
    pub fn news(&self, now: Millis) -> UpstreamLimitsNews {
        UpstreamLimitsNews {
            stated: self.stated(now),
            levels: Some(self.limiter.news(now, &self.limits)),
        }
    }

    /// Takes the answer to a report that was sent at a time.
    pub fn take_reply(&mut self, asked_at: Millis, levels: Option<LimitsNews>) {
        self.limiter.take_reply(asked_at, levels);
    }
}
