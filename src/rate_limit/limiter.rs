//! Whether a request is within the limit that an organisation or an upstream has, as one host knows it. Either is told
//! apart by its name alone.

use crate::desired::{RateLimit, RateLimitTable};
use crate::prelude::*;
use crate::rate_limit::levels::{KnownLevels, Level, LimitsNews, is_needed};
use crate::rate_limit::token_bucket::{Refill, SLOTS, TokenBucket, slot_of};
use crate::rate_limit::usage::{Unreported, Usage};

/// The part of a limit's burst that hosts give out: what they learn of each other's use too late, they give out besides.
const BURST_PART: f64 = 0.7;
/// The part of the tolerance of the site's limits that serves as burst: where a limit's own burst is smaller than one
/// request, it lets one through after a pause.
const TOLERANCE_PART: f64 = 0.4;
/// How old the levels known from another host may be: some intervals at which hosts report.
const STALE_MS: Millis = Millis(1_200);
/// How old they may be where little is left: such use is reported at once.
const SCARCE_STALE_MS: Millis = Millis(400);
/// How recent they must be where little is left, if another host has newer ones.
const RECENT_MS: Millis = Millis(60);
/// How long a process that starts, or a new orderer, takes the hosts that it has not heard yet for present.
const GATHER_MS: Millis = Millis(600);
/// How long after a restart of all hosts they hear each other again.
const SETTLED_MS: Millis = Millis(1_200);
/// The shortest time after which a refused caller comes back.
const LEAST_RETRY_MS: Millis = Millis(100);
/// The longest such time.
const MOST_RETRY_MS: Millis = Millis(10_000);

/// For which hosts buckets are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// For all hosts of the site.
    Site,
    /// For one host, or those that speak through it.
    Group,
}

/// Which hosts a host's buckets are for, as it knows the site now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Whether this host adds up the use of the whole site.
    pub scope: Scope,
    /// How many hosts are heard of late, this one included.
    pub heard: usize,
    /// How many hosts are to speak with this one or through one that does, this one included.
    pub expected: usize,
    /// How many hosts of the site may admit requests; nothing where this one may not.
    pub members: Option<usize>,
}

/// Why a request is refused, and when it may come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// When there is room again.
    pub retry_after_ms: Millis,
    /// For which hosts it was decided.
    pub scope: Scope,
}

/// What was decided of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Whether it is admitted.
    pub admitted: Result<(), Refused>,
    /// Whether little is left, so that use is to be reported at once.
    pub is_scarce: bool,
}

/// What is left of a limit at some hosts.
struct Balance {
    left: f64,
    refill: Refill,
    scope: Scope,
    /// Whether this host counted it, not another one.
    is_own: bool,
}

impl Balance {
    fn is_scarce(&self) -> bool {
        self.left < self.refill.burst / 2.0
    }
}

/// The buckets of all limits of one kind at one host.
#[derive(Clone, Debug)]
pub struct Limiter {
    tolerance: f64,
    place: Place,
    placed_at: Millis,
    /// Of the hosts of this host's place.
    buckets: IndexMap<Name, TokenBucket>,
    /// Nothing at the host that adds up for the site.
    unreported: Unreported,
    /// From another host; none at the host that adds up for the site.
    known: Option<KnownLevels>,
}

impl Limiter {
    /// Makes the buckets of a host that starts. `tolerance` is what the site allows beyond a limit in its window.
    pub fn new(started_at: Millis, tolerance: f64) -> Self {
        Self {
            tolerance,
            place: Place {
                scope: Scope::Group,
                heard: 1,
                expected: 1,
                members: None,
            },
            placed_at: started_at,
            buckets: IndexMap::new(),
            unreported: Unreported::default(),
            known: None,
        }
    }

    /// Takes note of this host's place. A new orderer goes on from the levels that it knows.
    pub fn set_place(&mut self, now: Millis, place: Place, limits: &RateLimitTable) {
        if place.scope != self.place.scope {
            self.change_scope(now, place, limits);
        }
        self.place = place;
    }

    fn change_scope(&mut self, now: Millis, place: Place, limits: &RateLimitTable) {
        self.buckets.clear();
        self.placed_at = now;
        if place.scope == Scope::Group {
            return;
        }
        let unreported = self.unreported.report(now);
        self.unreported.clear();
        self.place = place;
        self.begin_site_buckets(now, limits);
        self.take_usage(now, &unreported, limits);
    }

    /// Begins the buckets of a new orderer with the last levels of the one before.
    fn begin_site_buckets(&mut self, now: Millis, limits: &RateLimitTable) {
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

    /// Admits a request, or says when to come back. `point` is even between 0 and 1.
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
        point: f64,
    ) -> Result<(), Refused> {
        let balance = self.balance(now, name, limit);
        let cost = cost as f64;
        let is_admitted = match balance.scope {
            // The last request may use more than is left, and the next ones wait for that: were there to be room for a
            // whole request, small ones would leave none for large ones.
            Scope::Site => balance.left > 0.0,
            // The part of a few hosts holds less than a request; each has the chance that their part of one gives.
            Scope::Group => point * cost < balance.left,
        };
        if is_admitted {
            self.note_use(now, name, limit, cost as i64);
            return Ok(());
        }
        if balance.is_own && balance.scope == Scope::Group && balance.left > 0.0 {
            // A chance that was not met is used up, so that on average no more is admitted than the bucket gains.
            let refill = balance.refill;
            self.bucket(name, refill)
                .add(now, 0, balance.left as i64, refill);
        }
        let wait_ms = match balance.scope {
            Scope::Site => -balance.left * 1_000.0 / balance.refill.per_s,
            // Another host may know more than this one, unless all have just started.
            Scope::Group => (self.placed_at + SETTLED_MS).since(now).0 as f64,
        };
        // Callers that are refused together come back one after the other.
        let wait_ms = (wait_ms * (1.0 + point)).min(MOST_RETRY_MS.0 as f64);
        Err(Refused {
            retry_after_ms: LEAST_RETRY_MS.max(Millis(wait_ms as u64)),
            scope: balance.scope,
        })
    }

    /// Decides a request. `point` is even between 0 and 1.
    pub fn decide(
        &mut self,
        now: Millis,
        name: &Name,
        limit: &RateLimit,
        cost: u64,
        point: f64,
    ) -> Decision {
        Decision {
            admitted: self.admit(now, name, limit, cost, point),
            is_scarce: self.is_scarce(now, name, limit),
        }
    }

    /// Counts one more run of a request that was admitted.
    pub fn note_run(&mut self, now: Millis, name: &Name, limit: &RateLimit, cost: u64) {
        self.note_use(now, name, limit, cost as i64);
    }

    /// Gives back what a request used that did not run.
    pub fn give_back(&mut self, now: Millis, name: &Name, limit: &RateLimit, cost: u64) {
        self.note_use(now, name, limit, -(cost as i64));
    }

    /// Tells whether little is left, so that use is to be reported at once.
    pub fn is_scarce(&self, now: Millis, name: &Name, limit: &RateLimit) -> bool {
        let balance = self.balance(now, name, limit);
        balance.is_scarce()
    }

    /// Tells whether a decision does well to wait for newer levels: little is left by those known, and another host has
    /// newer ones.
    pub fn wants_newer_levels(&self, now: Millis, name: &Name, limit: &RateLimit) -> bool {
        self.fresh_levels(now).is_some_and(|known| {
            let is_old = now.since(known.as_of) >= RECENT_MS;
            is_old && self.reported_balance(now, known, name, limit).is_scarce()
        })
    }

    fn note_use(&mut self, now: Millis, name: &Name, limit: &RateLimit, amount: i64) {
        self.count(now, name, Some(limit), 0, amount);
    }

    /// Takes the use that another host reports.
    pub fn take_usage(&mut self, now: Millis, usage: &[Usage], limits: &RateLimitTable) {
        for Usage { name, slots } in usage {
            let limit = limits.get(name);
            for (slots_ago, amount) in slots {
                let slots_ago = u64::from(*slots_ago);
                self.count(now, name, limit.as_ref(), slots_ago, *amount);
            }
        }
    }

    /// Counts use of some slots ago, by a limit where this host knows one.
    fn count(
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
        if self.place.scope == Scope::Group {
            self.unreported.add(now, name, slots_ago, amount);
        }
    }

    /// Returns the use to report: that of this host and of those that report to it.
    pub fn report(&mut self, now: Millis) -> Vec<Usage> {
        self.unreported.report(now)
    }

    /// Takes the answer to a report that was sent at a time.
    pub fn take_reply(&mut self, asked_at: Millis, news: Option<LimitsNews>) {
        self.settle();
        if let Some(news) = news {
            self.take_news(asked_at, news);
        }
    }

    /// Takes note that the last report was heard.
    pub fn settle(&mut self) {
        self.unreported.settle();
    }

    /// Takes levels from the orderer or a relay.
    pub fn take_news(&mut self, now: Millis, news: LimitsNews) {
        if self.place.scope == Scope::Group {
            self.known = Some(KnownLevels::new(now, news));
        }
    }

    /// Returns the levels for hosts that report to this one.
    pub fn news(&self, now: Millis, limits: &RateLimitTable) -> LimitsNews {
        match self.wider_levels(now) {
            Some(known) => self.pass_on(now, known, limits),
            None => self.own_news(now, limits),
        }
    }

    fn own_news(&self, now: Millis, limits: &RateLimitTable) -> LimitsNews {
        let share = self.share(now);
        let level = |(name, bucket): (&Name, &TokenBucket)| {
            let limit = limits.get(name)?;
            let refill = self.refill(&limit, share);
            let left = bucket.level(now, refill);
            let level = Level {
                left,
                used_per_s: bucket.used_per_s(now),
            };
            is_needed(left, refill).then(|| (name.clone(), level))
        };
        LimitsNews {
            age_ms: Millis::ZERO,
            scope: self.place.scope,
            share,
            levels: self.buckets.iter().filter_map(level).collect(),
        }
    }

    /// Returns levels of more hosts than this one hears, less the use that is not in them yet.
    fn pass_on(&self, now: Millis, known: &KnownLevels, limits: &RateLimitTable) -> LimitsNews {
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
            is_needed(left, refill).then(|| (name.clone(), level))
        };
        let names: IndexSet<&Name> = known.names().chain(self.unreported.names()).collect();
        LimitsNews {
            age_ms: now.since(known.as_of),
            scope: known.scope,
            share: known.share,
            levels: names.into_iter().filter_map(level).collect(),
        }
    }

    /// Forgets the buckets of those that have no limit any more.
    pub fn keep_known(&mut self, limits: &RateLimitTable) {
        self.buckets.retain(|name, _| limits.get(name).is_some());
    }

    /// Returns the bucket by which a request is decided.
    fn balance(&self, now: Millis, name: &Name, limit: &RateLimit) -> Balance {
        if let Some(known) = self.fresh_levels(now) {
            let balance = self.reported_balance(now, known, name, limit);
            if !balance.is_scarce() || now.since(known.as_of) < SCARCE_STALE_MS {
                return balance;
            }
        }
        let refill = self.refill(limit, self.share(now));
        let left = match self.buckets.get(name) {
            Some(bucket) => bucket.level(now, refill),
            None => self.unused(refill).level(now, refill),
        };
        Balance {
            left,
            refill,
            scope: self.place.scope,
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
            .filter(|known| now.since(known.as_of) < STALE_MS)
    }

    /// Returns the levels known of more hosts than those that report to this one.
    fn wider_levels(&self, now: Millis) -> Option<&KnownLevels> {
        let known = self.fresh_levels(now)?;
        (known.scope == Scope::Site || known.share > self.share(now)).then_some(known)
    }

    /// Returns the part of the limits that the hosts of this host's place have. What is silent has the rest.
    fn share(&self, now: Millis) -> f64 {
        let Some(members) = self.place.members else {
            return 0.0;
        };
        let heard = match now < self.placed_at + GATHER_MS {
            true => self.place.heard.max(self.place.expected),
            false => self.place.heard,
        };
        (heard as f64 / members.max(1) as f64).min(1.0)
    }

    fn refill(&self, limit: &RateLimit, share: f64) -> Refill {
        Refill {
            per_s: limit.per_s * share,
            burst: (limit.burst * BURST_PART + self.tolerance * TOLERANCE_PART) * share,
        }
    }

    /// Returns the bucket of a limit of which nothing was used since this host has its place. A new orderer begins with
    /// empty ones, since relays gave out what was in theirs. A process that starts begins with full ones: where it
    /// restarts, nothing was given out while it was down.
    fn unused(&self, refill: Refill) -> TokenBucket {
        let level = match self.place.scope {
            Scope::Site => 0.0,
            Scope::Group => refill.burst,
        };
        TokenBucket::new(self.placed_at, level)
    }

    fn bucket(&mut self, name: &Name, refill: Refill) -> &mut TokenBucket {
        let unused = self.unused(refill);
        self.buckets.entry(name.clone()).or_insert_with(|| unused)
    }
}
