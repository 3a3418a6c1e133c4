//! Limits on requests per second that upstreams state in their answers, enforced by all hosts
//! together.
//!
//! Only the host that gets an answer reads the limit in it, so hosts send the stated limits to each
//! other along with the use. The newest statement applies. What is left is counted in the same way
//! as for organisations.

use crate::desired::{LimitUnit, RateLimit, RateLimitTable};
use crate::prelude::*;
use crate::rate_limit::limiter::{Coverage, Limiter};
use crate::rate_limit::{Decision, LimitsUpdate, Usage};
use crate::upstreams::rejections::ToldRejectionLimit;

/// Burst of such a limit, in requests: small, because an upstream that states a limit is
/// overloaded.
const BURST_REQUESTS: f64 = 2.0;
/// How long a limit applies after it was last stated. An upstream with few requests sends few
/// answers that could state it again.
const LIMIT_TTL_MS: Millis = Millis(60_000);
/// How long after a limit was stated an answer without one may still be older than the statement.
const LATE_ANSWER_MS: Millis = Millis(500);
/// Maximum number of upstreams with a limit, in memory and in a message.
const MAX_UPSTREAMS: usize = 128;

/// A limit that an upstream stated, or that it no longer states one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatedLimit {
    /// Name of the upstream.
    pub upstream: Name,
    /// Requests per second; `None` if the upstream no longer states a limit.
    pub per_s: Option<f64>,
    /// Time since the statement.
    pub age_ms: Millis,
}

/// Report of a host to its parent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UpstreamLimitsReport {
    /// Statements of upstreams.
    pub stated: Vec<StatedLimit>,
    /// Requests sent to upstreams with a limit that have not been reported yet.
    pub usage: Vec<Usage>,
    /// How many requests upstreams can turn away.
    pub rejections: Vec<ToldRejectionLimit>,
}

/// Answer of a parent to an [`UpstreamLimitsReport`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UpstreamLimitsUpdate {
    /// Statements of upstreams.
    pub stated: Vec<StatedLimit>,
    /// What is left of the limits.
    pub levels: Option<LimitsUpdate>,
    /// How many requests upstreams can turn away.
    pub rejections: Vec<ToldRejectionLimit>,
}

#[derive(Clone, Copy, Debug)]
struct Statement {
    per_s: Option<f64>,
    at: Millis,
}

/// The limits of upstreams as known to one host.
#[derive(Clone, Debug)]
pub struct UpstreamLimits {
    stated: IndexMap<Name, Statement>,
    /// The upstreams that state a limit at present.
    limits: RateLimitTable,
    limiter: Limiter,
}

impl UpstreamLimits {
    /// Creates the state of a process that starts.
    pub fn new(started_at: Millis) -> Self {
        Self {
            stated: IndexMap::new(),
            limits: RateLimitTable::default(),
            limiter: Limiter::new(started_at, 0.0),
        }
    }

    /// Updates which hosts this one covers.
    pub fn set_coverage(&mut self, now: Millis, coverage: Coverage) {
        self.limiter.set_coverage(now, coverage, &self.limits);
    }

    /// Records the limit that an answer states, or that it states none. Returns whether the limit
    /// changed.
    pub fn note_answer(&mut self, now: Millis, upstream: &Name, per_s: Option<f64>) -> bool {
        let known = self.stated.get(upstream);
        let is_old = known.is_some_and(|known| now.since(known.at) < LATE_ANSWER_MS);
        if per_s.is_none() && (known.is_none() || is_old) {
            return false;
        }
        self.apply_statement(upstream, Statement { per_s, at: now })
    }

    /// Merges statements from other hosts. Returns those that changed a limit.
    pub fn merge_stated(&mut self, now: Millis, received: &[StatedLimit]) -> Vec<StatedLimit> {
        let mut changed = Vec::new();
        for limit in received.iter().take(MAX_UPSTREAMS) {
            let stated = Statement {
                per_s: limit.per_s.filter(|per_s| per_s.is_finite()),
                at: now - limit.age_ms,
            };
            let known = self.stated.get(&limit.upstream);
            let is_newer = known.is_none_or(|known| stated.at > known.at);
            if limit.age_ms < LIMIT_TTL_MS
                && is_newer
                && self.apply_statement(&limit.upstream, stated)
            {
                changed.push(limit.clone());
            }
        }
        changed
    }

    fn apply_statement(&mut self, upstream: &Name, stated: Statement) -> bool {
        let is_known = self.stated.contains_key(upstream);
        if !is_known && self.stated.len() >= MAX_UPSTREAMS {
            return false;
        }
        let former = self.stated.insert(upstream.clone(), stated);
        let is_changed = former.and_then(|former| former.per_s) != stated.per_s;
        if is_changed {
            let limit = stated.per_s.map(|per_s| RateLimit {
                unit: LimitUnit::Requests,
                per_s,
                burst: BURST_REQUESTS,
            });
            self.limits.set(upstream, limit);
        }
        is_changed
    }

    fn expire(&mut self, now: Millis) {
        let Self { stated, limits, .. } = self;
        stated.retain(|upstream, stated| {
            let is_kept = now.since(stated.at) < LIMIT_TTL_MS;
            if !is_kept {
                limits.set(upstream, None);
            }
            is_kept
        });
        self.limiter.retain_limited(&self.limits);
    }

    /// Returns the statements, for a message to another host.
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

    /// Returns the limit of an upstream, if it states one.
    pub fn limit(&self, upstream: &str) -> Option<RateLimit> {
        self.limits.get(upstream)
    }

    /// Decides on a request to an upstream; `None` if the upstream states no limit. `random_unit`
    /// is a uniform random number between 0 and 1.
    pub fn decide(&mut self, now: Millis, upstream: &Name, random_unit: f64) -> Option<Decision> {
        let limit = self.limit(upstream)?;
        Some(self.limiter.decide(now, upstream, &limit, 1, random_unit))
    }

    /// Returns whether a decision should wait for newer levels.
    pub fn wants_newer_levels(&self, now: Millis, upstream: &Name) -> bool {
        let limit = self.limit(upstream);
        limit.is_some_and(|limit| self.limiter.wants_newer_levels(now, upstream, &limit))
    }

    /// Returns the report for the parent.
    pub fn report(&mut self, now: Millis) -> UpstreamLimitsReport {
        self.expire(now);
        UpstreamLimitsReport {
            stated: self.stated(now),
            usage: self.limiter.report(now),
            rejections: Vec::new(),
        }
    }

    /// Counts the use that a child reports.
    pub fn record_usage(&mut self, now: Millis, usage: &[Usage]) {
        self.limiter.record_usage(now, usage, &self.limits);
    }

    /// Returns the answer to a child's report.
    pub fn build_update(&self, now: Millis) -> UpstreamLimitsUpdate {
        UpstreamLimitsUpdate {
            stated: self.stated(now),
            levels: Some(self.limiter.build_update(now, &self.limits)),
            rejections: Vec::new(),
        }
    }

    /// Applies the levels in the answer to a report that was sent at `asked_at`.
    pub fn apply_reply(&mut self, asked_at: Millis, levels: Option<LimitsUpdate>) {
        self.limiter.apply_reply(asked_at, levels);
    }
}
