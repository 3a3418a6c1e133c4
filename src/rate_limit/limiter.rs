//! Decides on one host whether a request is within the limit of an organisation or of an upstream.
//! Limits are identified by the name of either.

use crate::desired::{RateLimit, RateLimitTable};
use crate::prelude::*;
use crate::rate_limit::levels::{KnownLevels, Level, LimitsUpdate, is_included};
use crate::rate_limit::token_bucket::{Refill, SLOTS, TokenBucket, slot_of};
use crate::rate_limit::usage::{UnreportedUsage, Usage};

/// Fraction of a limit's burst that the hosts use. The rest covers what they admit before they
/// learn of each other's use.
const BURST_FRACTION: f64 = 0.7;
/// Fraction of the site's tolerance that is added to the burst. A limit whose own burst is smaller
/// than one request can then still admit one after a pause.
const TOLERANCE_FRACTION: f64 = 0.4;
/// Maximum age of levels from another host: a few reporting intervals.
const MAX_LEVEL_AGE_MS: Millis = Millis(1_200);
/// Maximum age of such levels where little is left: use is then reported at once.
const MAX_SCARCE_LEVEL_AGE_MS: Millis = Millis(400);
/// Where little is left, a decision waits for newer levels if those known are at least this old.
const MIN_REFRESH_AGE_MS: Millis = Millis(60);
/// How long after its start, or after it became the orderer, a host assumes that the hosts that it
/// expects are present although they have not reported yet.
const COVERAGE_GRACE_MS: Millis = Millis(600);
/// How long after a restart of all hosts it takes until they exchange levels again.
const RESTART_SETTLE_MS: Millis = Millis(1_200);
/// The shortest time after which a refused caller may retry.
const MIN_RETRY_AFTER_MS: Millis = Millis(100);
/// The longest time after which a refused caller may retry.
const MAX_RETRY_AFTER_MS: Millis = Millis(10_000);

/// Which hosts a bucket covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// All hosts of the site.
    Site,
    /// One host, with the hosts that report through it.
    Group,
}

/// Which hosts this host's buckets cover at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Coverage {
    /// `Site` on the orderer, which counts the use of the whole site; `Group` on all other hosts.
    pub scope: Scope,
    /// Number of hosts that reported recently, including this one.
    pub reporting_hosts: usize,
    /// Number of hosts that should report to this one, directly or through another, including this
    /// one.
    pub expected: usize,
    /// Number of hosts of the site that may admit requests; `None` if this host may not.
    pub members: Option<usize>,
}

/// A refusal, and when the request may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Time until there should be room again.
    pub retry_after_ms: Millis,
    /// Which hosts the deciding bucket covers.
    pub scope: Scope,
}

impl Refused {
    /// Returns a refusal with this time to retry, within bounds.
    pub fn after(wait_ms: f64, scope: Scope) -> Self {
        let wait_ms = wait_ms.min(MAX_RETRY_AFTER_MS.0 as f64);
        Self {
            retry_after_ms: MIN_RETRY_AFTER_MS.max(Millis(wait_ms as u64)),
            scope,
        }
    }
}

/// The decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Whether the request is admitted.
    pub admitted: Result<(), Refused>,
    /// Whether little is left of the limit, so that use should be reported at once.
    pub is_scarce: bool,
}

/// What is left of a limit, for requests that may wait for it.
#[derive(Clone, Copy, Debug)]
pub struct Standing {
    /// Tokens or requests left; negative when more was used than allowed.
    pub left: f64,
    /// Refill and capacity of the bucket.
    pub refill: Refill,
    /// Which hosts the bucket covers.
    pub scope: Scope,
    /// Whether the level comes from this host's own bucket, not from another host.
    pub is_own: bool,
    /// Whether the level is recent enough for requests to begin by it.
    pub is_recent: bool,
}

/// What is left of a limit for the hosts in `scope`.
struct Balance {
    left: f64,
    refill: Refill,
    scope: Scope,
    /// Whether the level comes from this host's own bucket, not from another host.
    is_own: bool,
}

impl Balance {
    fn is_scarce(&self) -> bool {
        self.left < self.refill.burst / 2.0
    }
}

/// One host's buckets for all limits of one kind (organisations or upstreams).
#[derive(Clone, Debug)]
pub struct Limiter {
    tolerance: f64,
    coverage: Coverage,
    covered_since: Millis,
    /// Buckets for the hosts that this host covers.
    buckets: IndexMap<Name, TokenBucket>,
    /// Use to report to the parent; empty on the orderer.
    unreported: UnreportedUsage,
    /// Latest levels from another host; none on the orderer.
    known: Option<KnownLevels>,
}

impl Limiter {
    /// Creates the limiter of a process that starts. `tolerance` is the use beyond a limit that the
    /// site's settings permit in a window, in the unit of the limit.
    pub fn new(started_at: Millis, tolerance: f64) -> Self {
        Self {
            tolerance,
            coverage: Coverage {
                scope: Scope::Group,
                reporting_hosts: 1,
                expected: 1,
                members: None,
            },
            covered_since: started_at,
            buckets: IndexMap::new(),
            unreported: UnreportedUsage::default(),
            known: None,
        }
    }

    /// Updates which hosts this one covers. A host that becomes the orderer continues from the
    /// levels that it knows.
    pub fn set_coverage(&mut self, now: Millis, coverage: Coverage, limits: &RateLimitTable) {
        if coverage.scope != self.coverage.scope {
            self.change_scope(now, coverage, limits);
        }
        self.coverage = coverage;
    }

    fn change_scope(&mut self, now: Millis, coverage: Coverage, limits: &RateLimitTable) {
        self.buckets.clear();
        self.covered_since = now;
        if coverage.scope == Scope::Group {
            return;
        }
        let unreported = self.unreported.report(now);
        self.unreported.clear();
        self.coverage = coverage;
        self.init_site_buckets(now, limits);
        self.record_usage(now, &unreported, limits);
    }

    /// Creates the buckets of a new orderer from the last levels of the previous one.
    fn init_site_buckets(&mut self, now: Millis, limits: &RateLimitTable) {
        let is_kept = |known: &KnownLevels| {
            known.scope == Scope::Site && slot_of(now) < slot_of(known.as_of) + SLOTS
        };
        let Some(known) = self.known.take().filter(is_kept) else {
            return;
        };
        for (name, limit) in limits.iter() {
            let refill = self.refill(limit, known.share);
            let left = known.left(known.as_of, name, refill);
            let bucket = TokenBucket::new(known.as_of, left);
            self.buckets.insert(name.clone(), bucket);
        }
    }

    /// Admits and counts a request of this cost, or returns when to retry. `random_unit` is a
    /// uniform random number between 0 and 1.
    ///
    /// # Errors
    ///
    /// Returns the refusal when the limit is reached.
    pub fn admit(
        &mut self,
        now: Millis,
        name: &Name,
        limit: &RateLimit,
        cost: u64,
        random_unit: f64,
    ) -> Result<(), Refused> {
        let balance = self.balance(now, name, limit);
        let cost = cost as f64;
        let is_admitted = match balance.scope {
            // The last request may use more than is left; later ones wait until that is refilled.
            // If a request had to fit into what is left, small requests would leave no room for
            // large ones.
            Scope::Site => balance.left > 0.0,
            // The share of a few hosts often holds less than one request, so a request is admitted
            // with a probability of what is left divided by its cost.
            Scope::Group => random_unit * cost < balance.left,
        };
        if is_admitted {
            self.note_use(now, name, limit, cost as i64);
            return Ok(());
        }
        if balance.is_own && balance.scope == Scope::Group && balance.left > 0.0 {
            // What is left is also used up by a refusal, so that on average no more is admitted
            // than the bucket is refilled.
            let refill = balance.refill;
            self.bucket(name, refill)
                .add(now, 0, balance.left as i64, refill);
        }
        let wait_ms = match balance.scope {
            Scope::Site => -balance.left * 1_000.0 / balance.refill.per_s,
            // The parent may know that there is room, except shortly after a restart of all hosts.
            Scope::Group => (self.covered_since + RESTART_SETTLE_MS).since(now).0 as f64,
        };
        // Spreads the retries of callers that are refused at the same time.
        Err(Refused::after(wait_ms * (1.0 + random_unit), balance.scope))
    }

    /// Decides on a request, as [`Self::admit`] does, and returns whether little is left.
    /// `random_unit` is a uniform random number between 0 and 1.
    pub fn decide(
        &mut self,
        now: Millis,
        name: &Name,
        limit: &RateLimit,
        cost: u64,
        random_unit: f64,
    ) -> Decision {
        Decision {
            admitted: self.admit(now, name, limit, cost, random_unit),
            is_scarce: self.is_scarce(now, name, limit),
        }
    }

    /// Returns what is left of a limit. Levels of all hosts that are too old to admit a request
    /// where little is left are returned too, marked as not recent: a request that waits does not
    /// fall back to this host's share because of one late message.
    pub fn standing(&self, now: Millis, name: &Name, limit: &RateLimit) -> Standing {
        let site = self
            .fresh_levels(now)
            .filter(|known| known.scope == Scope::Site);
        let (balance, is_recent) = match site {
            Some(known) => {
                let balance = self.reported_balance(now, known, name, limit);
                let is_recent =
                    !balance.is_scarce() || now.since(known.as_of) < MAX_SCARCE_LEVEL_AGE_MS;
                (balance, is_recent)
            }
            None => (self.balance(now, name, limit), true),
        };
        Standing {
            left: balance.left,
            refill: balance.refill,
            scope: balance.scope,
            is_own: balance.is_own,
            is_recent,
        }
    }

    /// Counts one more run of a request that has been admitted.
    pub fn charge_rerun(&mut self, now: Millis, name: &Name, limit: &RateLimit, cost: u64) {
        self.note_use(now, name, limit, cost as i64);
    }

    /// Returns the cost of a request that did not run.
    pub fn refund(&mut self, now: Millis, name: &Name, limit: &RateLimit, cost: u64) {
        self.note_use(now, name, limit, -(cost as i64));
    }

    /// Returns whether less than half of the burst is left, so that use should be reported at once.
    pub fn is_scarce(&self, now: Millis, name: &Name, limit: &RateLimit) -> bool {
        let balance = self.balance(now, name, limit);
        balance.is_scarce()
    }

    /// Returns whether a decision should wait for newer levels: by those known little is left, and
    /// they are not recent.
    pub fn wants_newer_levels(&self, now: Millis, name: &Name, limit: &RateLimit) -> bool {
        self.fresh_levels(now).is_some_and(|known| {
            let is_old = now.since(known.as_of) >= MIN_REFRESH_AGE_MS;
            is_old && self.reported_balance(now, known, name, limit).is_scarce()
        })
    }

    fn note_use(&mut self, now: Millis, name: &Name, limit: &RateLimit, amount: i64) {
        self.count_use(now, name, Some(limit), 0, amount);
    }

    /// Counts the use that another host reports.
    pub fn record_usage(&mut self, now: Millis, usage: &[Usage], limits: &RateLimitTable) {
        for Usage { name, slots } in usage {
            let limit = limits.get(name);
            for (slots_ago, amount) in slots {
                let slots_ago = u64::from(*slots_ago);
                self.count_use(now, name, limit.as_ref(), slots_ago, *amount);
            }
        }
    }

    /// Counts use in a time slot some slots ago. Without a known limit it is only passed on to the
    /// parent.
    fn count_use(
        &mut self,
        now: Millis,
        name: &Name,
        limit: Option<&RateLimit>,
        slots_ago: u64,
        amount: i64,
    ) {
        if let Some(limit) = limit {
            let refill = self.refill(limit, self.share(now));
            self.bucket(name, refill)
                .add(now, slots_ago, amount, refill);
        }
        if self.coverage.scope == Scope::Group {
            self.unreported.add(now, name, slots_ago, amount);
        }
    }

    /// Returns the use to report to the parent: that of this host and of its children.
    pub fn report(&mut self, now: Millis) -> Vec<Usage> {
        self.unreported.report(now)
    }

    /// Applies the answer to a report that was sent at `asked_at`.
    pub fn apply_reply(&mut self, asked_at: Millis, update: Option<LimitsUpdate>) {
        self.confirm_report();
        if let Some(update) = update {
            self.apply_update(asked_at, update);
        }
    }

    /// Records that the parent received the last report.
    pub fn confirm_report(&mut self) {
        self.unreported.confirm_report();
    }

    /// Stores levels from the orderer or a relay.
    pub fn apply_update(&mut self, now: Millis, update: LimitsUpdate) {
        if self.coverage.scope == Scope::Group {
            self.known = Some(KnownLevels::new(now, update));
        }
    }

    /// Returns the levels for hosts that report to this one.
    pub fn build_update(&self, now: Millis, limits: &RateLimitTable) -> LimitsUpdate {
        match self.wider_levels(now) {
            Some(known) => self.forward_levels(now, known, limits),
            None => self.own_levels(now, limits),
        }
    }

    fn own_levels(&self, now: Millis, limits: &RateLimitTable) -> LimitsUpdate {
        let share = self.share(now);
        let level = |(name, bucket): (&Name, &TokenBucket)| {
            let limit = limits.get(name)?;
            let refill = self.refill(&limit, share);
            let left = bucket.level(now, refill);
            let level = Level {
                left,
                used_per_s: bucket.used_per_s(now),
            };
            is_included(left, refill).then(|| (name.clone(), level))
        };
        LimitsUpdate {
            age_ms: Millis::ZERO,
            scope: self.coverage.scope,
            share,
            levels: self.buckets.iter().filter_map(level).collect(),
        }
    }

    /// Returns another host's levels for more hosts than this one covers, less the use that they do
    /// not include yet.
    fn forward_levels(
        &self,
        now: Millis,
        known: &KnownLevels,
        limits: &RateLimitTable,
    ) -> LimitsUpdate {
        let level = |name: &Name| {
            let limit = limits.get(name)?;
            let refill = self.refill(&limit, known.share);
            let level = known.level(name);
            let left = level.map_or(known.left(now, name, refill), |level| level.left);
            let left = left - self.unreported.sum(name) as f64;
            let level = Level {
                left,
                used_per_s: level.map_or(0.0, |level| level.used_per_s),
            };
            is_included(left, refill).then(|| (name.clone(), level))
        };
        let names: IndexSet<&Name> = known.names().chain(self.unreported.names()).collect();
        LimitsUpdate {
            age_ms: now.since(known.as_of),
            scope: known.scope,
            share: known.share,
            levels: names.into_iter().filter_map(level).collect(),
        }
    }

    /// Removes the buckets of names that no longer have a limit.
    pub fn retain_limited(&mut self, limits: &RateLimitTable) {
        self.buckets.retain(|name, _| limits.get(name).is_some());
    }

    /// Returns what is left of a limit, from another host's levels if they are fresh enough, else
    /// from this host's own bucket.
    fn balance(&self, now: Millis, name: &Name, limit: &RateLimit) -> Balance {
        if let Some(known) = self.fresh_levels(now) {
            let balance = self.reported_balance(now, known, name, limit);
            if !balance.is_scarce() || now.since(known.as_of) < MAX_SCARCE_LEVEL_AGE_MS {
                return balance;
            }
        }
        let refill = self.refill(limit, self.share(now));
        let left = match self.buckets.get(name) {
            Some(bucket) => bucket.level(now, refill),
            None => self.unused_bucket(refill).level(now, refill),
        };
        Balance {
            left,
            refill,
            scope: self.coverage.scope,
            is_own: true,
        }
    }

    fn reported_balance(
        &self,
        now: Millis,
        known: &KnownLevels,
        name: &Name,
        limit: &RateLimit,
    ) -> Balance {
        let refill = self.refill(limit, known.share);
        let left = known.left(now, name, refill);
        Balance {
            left: left - self.unreported.sum(name) as f64,
            refill,
            scope: known.scope,
            is_own: false,
        }
    }

    fn fresh_levels(&self, now: Millis) -> Option<&KnownLevels> {
        self.known
            .as_ref()
            .filter(|known| now.since(known.as_of) < MAX_LEVEL_AGE_MS)
    }

    /// Returns another host's levels if they are fresh and cover more hosts than report to this
    /// one.
    fn wider_levels(&self, now: Millis) -> Option<&KnownLevels> {
        let known = self.fresh_levels(now)?;
        (known.scope == Scope::Site || known.share > self.share(now)).then_some(known)
    }

    /// Returns the fraction of each limit that the hosts covered by this one have. Hosts that are
    /// not reporting have the rest.
    fn share(&self, now: Millis) -> f64 {
        let Some(members) = self.coverage.members else {
            return 0.0;
        };
        let reporting_hosts = match now < self.covered_since + COVERAGE_GRACE_MS {
            true => self.coverage.reporting_hosts.max(self.coverage.expected),
            false => self.coverage.reporting_hosts,
        };
        (reporting_hosts as f64 / members.max(1) as f64).min(1.0)
    }

    fn refill(&self, limit: &RateLimit, share: f64) -> Refill {
        Refill {
            per_s: limit.per_s * share,
            burst: (limit.burst * BURST_FRACTION + self.tolerance * TOLERANCE_FRACTION) * share,
        }
    }

    /// Returns the bucket of a limit that has not been used since this host's scope changed or its
    /// process started. A new orderer begins with empty buckets, because relays have admitted what
    /// was in theirs. A new process begins with full ones, because it admitted nothing while it was
    /// down.
    fn unused_bucket(&self, refill: Refill) -> TokenBucket {
        let level = match self.coverage.scope {
            Scope::Site => 0.0,
            Scope::Group => refill.burst,
        };
        TokenBucket::new(self.covered_since, level)
    }

    fn bucket(&mut self, name: &Name, refill: Refill) -> &mut TokenBucket {
        let unused_bucket = self.unused_bucket(refill);
        self.buckets
            .entry(name.clone())
            .or_insert_with(|| unused_bucket)
    }
}
