//! Whether a request of an organisation is within its limit, as one host knows it.

use crate::desired::{RateLimit, RouteTable};
use crate::prelude::*;
use crate::rate_limit::meter::{Meter, Refill, SLOTS, slot_of};
use crate::rate_limit::told::{Level, LimitsNews, Told, is_worth_telling};
use crate::rate_limit::usage::{Untold, Usage};

/// The part of a limit's burst that hosts give out: what they learn of each other's use too late, they give out besides.
const BURST_PART: f64 = 0.7;
/// The part of the tolerance of the site's limits that serves as burst: where a limit's own burst is smaller than one
/// request, it lets one through after a pause.
const TOLERANCE_PART: f64 = 0.4;
/// How old what was told may be: some intervals at which hosts are told.
const STALE_MS: Millis = Millis(1_200);
/// How old it may be where little is left: hosts tell each other of such use at once.
const SCARCE_STALE_MS: Millis = Millis(400);
/// How new a word must be for a decision where little is left, if there is a newer one.
const NEW_WORD_MS: Millis = Millis(60);
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

/// Why a request of an organisation is refused, and when it may come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// When there is room again.
    pub retry_after_ms: Millis,
    /// For which hosts it was decided.
    pub scope: Scope,
}

/// What is left for an organisation at some hosts.
struct Bucket {
    left: f64,
    refill: Refill,
    scope: Scope,
    /// Whether it is this host's, not one that it was told.
    is_own: bool,
}

impl Bucket {
    fn is_scarce(&self) -> bool {
        self.left < self.refill.burst / 2.0
    }
}

/// The buckets of all organisations at one host.
#[derive(Clone, Debug)]
pub struct Limiter {
    tolerance: f64,
    place: Place,
    placed_at: Millis,
    /// Of the hosts of this host's place.
    meters: IndexMap<Name, Meter>,
    untold: Untold,
    told: Option<Told>,
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
            meters: IndexMap::new(),
            untold: Untold::default(),
            told: None,
        }
    }

    /// Takes note of this host's place. A new orderer goes on from the levels that it was told.
    pub fn set_place(&mut self, now: Millis, place: Place, table: &RouteTable) {
        if place.scope != self.place.scope {
            self.change_scope(now, place, table);
        }
        self.place = place;
    }

    fn change_scope(&mut self, now: Millis, place: Place, table: &RouteTable) {
        self.meters.clear();
        self.placed_at = now;
        if place.scope == Scope::Group {
            return;
        }
        let untold = self.untold.report(now);
        self.untold.clear();
        self.place = place;
        self.begin_site_meters(now, table);
        self.take_usage(now, &untold, table);
    }

    /// Begins the buckets of a new orderer with what the one before said last.
    fn begin_site_meters(&mut self, now: Millis, table: &RouteTable) {
        let is_kept =
            |told: &Told| told.scope == Scope::Site && slot_of(now) < slot_of(told.as_of) + SLOTS;
        let Some(told) = self.told.take().filter(is_kept) else {
            return;
        };
        for organisation in table.organisations() {
            let Some(limit) = &organisation.rate_limit else {
                continue;
            };
            let refill = self.refill(limit, told.share);
            let left = told.left(told.as_of, &organisation.name, refill);
            let meter = Meter::new(told.as_of, left);
            self.meters.insert(organisation.name.clone(), meter);
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
        organisation: &Name,
        limit: &RateLimit,
        cost: u64,
        point: f64,
    ) -> Result<(), Refused> {
        let bucket = self.bucket(now, organisation, limit);
        let cost = cost as f64;
        let is_admitted = match bucket.scope {
            // The last request may use more than is left, and the next ones wait for that: were there to be room for a
            // whole request, small ones would leave none for large ones.
            Scope::Site => bucket.left > 0.0,
            // The part of a few hosts holds less than a request; each has the chance that their part of one gives.
            Scope::Group => point * cost < bucket.left,
        };
        if is_admitted {
            self.note_use(now, organisation, limit, cost as i64);
            return Ok(());
        }
        if bucket.is_own && bucket.scope == Scope::Group && bucket.left > 0.0 {
            // A chance that was not met is used up, so that on average no more is admitted than the bucket gains.
            let refill = bucket.refill;
            self.meter(organisation, refill)
                .add(now, 0, bucket.left as i64, refill);
        }
        let wait_ms = match bucket.scope {
            Scope::Site => -bucket.left * 1_000.0 / bucket.refill.per_s,
            // Another host may know more than this one, unless all have just started.
            Scope::Group => (self.placed_at + SETTLED_MS).since(now).0 as f64,
        };
        // Callers that are refused together come back one after the other.
        let wait_ms = (wait_ms * (1.0 + point)).min(MOST_RETRY_MS.0 as f64);
        Err(Refused {
            retry_after_ms: LEAST_RETRY_MS.max(Millis(wait_ms as u64)),
            scope: bucket.scope,
        })
    }

    /// Counts one more run of a request that was admitted.
    pub fn note_run(&mut self, now: Millis, organisation: &Name, limit: &RateLimit, cost: u64) {
        self.note_use(now, organisation, limit, cost as i64);
    }

    /// Gives back what a request used that did not run.
    pub fn give_back(&mut self, now: Millis, organisation: &Name, limit: &RateLimit, cost: u64) {
        self.note_use(now, organisation, limit, -(cost as i64));
    }

    /// Tells whether little is left, so that others are to be told of use at once.
    pub fn is_scarce(&self, now: Millis, organisation: &Name, limit: &RateLimit) -> bool {
        let bucket = self.bucket(now, organisation, limit);
        bucket.is_scarce()
    }

    /// Tells whether a decision does well to wait for a newer word: little is left by the last one, and another host
    /// has a newer one.
    pub fn wants_word(&self, now: Millis, organisation: &Name, limit: &RateLimit) -> bool {
        let told = match self.place.scope {
            Scope::Site => None,
            Scope::Group => self.fresh_word(now),
        };
        told.is_some_and(|told| {
            let is_old = now.since(told.as_of) >= NEW_WORD_MS;
            is_old && self.told_bucket(now, told, organisation, limit).is_scarce()
        })
    }

    fn note_use(&mut self, now: Millis, organisation: &Name, limit: &RateLimit, amount: i64) {
        let refill = self.refill(limit, self.share(now));
        self.meter(organisation, refill).add(now, 0, amount, refill);
        if self.place.scope == Scope::Group {
            self.untold.add(now, organisation, 0, amount);
        }
    }

    /// Takes the use of a host that tells it here.
    pub fn take_usage(&mut self, now: Millis, usage: &[Usage], table: &RouteTable) {
        let share = self.share(now);
        for Usage {
            organisation,
            slots,
        } in usage
        {
            let limit = table
                .organisation(organisation)
                .and_then(|own| own.rate_limit);
            for (slots_ago, amount) in slots {
                let slots_ago = u64::from(*slots_ago);
                if let Some(limit) = &limit {
                    let refill = self.refill(limit, share);
                    self.meter(organisation, refill)
                        .add(now, slots_ago, *amount, refill);
                }
                if self.place.scope == Scope::Group {
                    self.untold.add(now, organisation, slots_ago, *amount);
                }
            }
        }
    }

    /// Returns the use to tell, by this host and by those that told it.
    pub fn report(&mut self, now: Millis) -> Vec<Usage> {
        match self.place.scope {
            Scope::Site => Vec::new(),
            Scope::Group => self.untold.report(now),
        }
    }

    /// Takes note that the last report was heard.
    pub fn settle(&mut self) {
        self.untold.settle();
    }

    /// Takes what the orderer or a relay says.
    pub fn take_news(&mut self, now: Millis, news: LimitsNews) {
        if self.place.scope == Scope::Group {
            self.told = Some(Told::new(now, news));
        }
    }

    /// Returns what others are told.
    pub fn news(&self, now: Millis, table: &RouteTable) -> LimitsNews {
        match self.wider_word(now) {
            Some(told) => self.pass_on(now, told, table),
            None => self.own_news(now, table),
        }
    }

    fn own_news(&self, now: Millis, table: &RouteTable) -> LimitsNews {
        let share = self.share(now);
        let level = |(name, meter): (&Name, &Meter)| {
            let limit = table.organisation(name)?.rate_limit?;
            let refill = self.refill(&limit, share);
            let left = meter.level(now, refill);
            let level = Level {
                left,
                used_per_s: meter.used_per_s(now),
            };
            is_worth_telling(left, refill).then(|| (name.clone(), level))
        };
        LimitsNews {
            age_ms: Millis::ZERO,
            scope: self.place.scope,
            share,
            levels: self.meters.iter().filter_map(level).collect(),
        }
    }

    /// Returns what this host was told of more hosts, less what that one was not told yet.
    fn pass_on(&self, now: Millis, told: &Told, table: &RouteTable) -> LimitsNews {
        let level = |name: &Name| {
            let limit = table.organisation(name)?.rate_limit?;
            let refill = self.refill(&limit, told.share);
            let known = told.level(name);
            let left = known.map_or(told.left(now, name, refill), |level| level.left);
            let left = left - self.untold.sum(name) as f64;
            let level = Level {
                left,
                used_per_s: known.map_or(0.0, |level| level.used_per_s),
            };
            is_worth_telling(left, refill).then(|| (name.clone(), level))
        };
        let names: IndexSet<&Name> = told
            .organisations()
            .chain(self.untold.organisations())
            .collect();
        LimitsNews {
            age_ms: now.since(told.as_of),
            scope: told.scope,
            share: told.share,
            levels: names.into_iter().filter_map(level).collect(),
        }
    }

    /// Forgets the buckets of organisations that a new desired state does not have.
    pub fn keep_known(&mut self, table: &RouteTable) {
        self.meters
            .retain(|name, _| table.organisation(name).is_some());
    }

    /// Returns the bucket by which a request is decided.
    fn bucket(&self, now: Millis, organisation: &Name, limit: &RateLimit) -> Bucket {
        let told = match self.place.scope {
            Scope::Site => None,
            Scope::Group => self.fresh_word(now),
        };
        if let Some(told) = told {
            let bucket = self.told_bucket(now, told, organisation, limit);
            if !bucket.is_scarce() || now.since(told.as_of) < SCARCE_STALE_MS {
                return bucket;
            }
        }
        let refill = self.refill(limit, self.share(now));
        let left = match self.meters.get(organisation) {
            Some(meter) => meter.level(now, refill),
            None => self.unused(refill).level(now, refill),
        };
        Bucket {
            left,
            refill,
            scope: self.place.scope,
            is_own: true,
        }
    }

    fn told_bucket(
        &self,
        now: Millis,
        told: &Told,
        organisation: &Name,
        limit: &RateLimit,
    ) -> Bucket {
        let refill = self.refill(limit, told.share);
        let left = told.left(now, organisation, refill);
        Bucket {
            left: left - self.untold.sum(organisation) as f64,
            refill,
            scope: told.scope,
            is_own: false,
        }
    }

    fn fresh_word(&self, now: Millis) -> Option<&Told> {
        self.told
            .as_ref()
            .filter(|told| now.since(told.as_of) < STALE_MS)
    }

    /// Returns what this host was told of more hosts than those that speak through it.
    fn wider_word(&self, now: Millis) -> Option<&Told> {
        let is_told = self.place.scope == Scope::Group;
        let told = self.fresh_word(now).filter(|_| is_told)?;
        (told.scope == Scope::Site || told.share > self.share(now)).then_some(told)
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

    /// Returns the bucket of an organisation that used nothing since this host has its place. A new orderer begins with
    /// empty ones, since relays gave out what was in theirs. A process that starts begins with full ones: where it
    /// restarts, nothing was given out while it was down.
    fn unused(&self, refill: Refill) -> Meter {
        let level = match self.place.scope {
            Scope::Site => 0.0,
            Scope::Group => refill.burst,
        };
        Meter::new(self.placed_at, level)
    }

    fn meter(&mut self, organisation: &Name, refill: Refill) -> &mut Meter {
        let unused = self.unused(refill);
        self.meters
            .entry(organisation.clone())
            .or_insert_with(|| unused)
    }
}
