//! Whether a request of an organisation is within its limit, as one host knows it.

use crate::desired::{RateLimit, RouteTable};
use crate::prelude::*;
use crate::rate_limit::meter::{Meter, Refill, SLOTS, slot_of};
use crate::rate_limit::told::{Level, LimitsNews, Told, is_worth_telling};
use crate::rate_limit::usage::{Untold, Usage};

/// The part of a limit's burst that hosts give out: what they learn of each other's use too late, they give out besides.
const BURST_PART: f64 = 0.8;
/// The part of the tolerance of the site's limits that serves as burst: where a limit's own burst is smaller than one
/// request, it lets one through after a pause.
const TOLERANCE_PART: f64 = 0.5;
/// How old what was told may be: some intervals at which hosts are told.
const STALE_MS: Millis = Millis(1_200);
/// How old it may be where little is left: hosts tell each other of such use at once.
const SCARCE_STALE_MS: Millis = Millis(400);
/// How long a host that does not yet hear the others admits nothing: it cannot tell how many there are. One that joins a
/// site which runs hears of them sooner.
const ALONE_MS: Millis = Millis(1_000);
/// How long a new orderer takes the hosts that it has not heard yet for present.
const GATHER_MS: Millis = Millis(1_500);
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
    /// How many hosts the site has; nothing before that is known.
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

/// The buckets of all organisations at one host.
#[derive(Clone, Debug)]
pub struct Limiter {
    started_at: Millis,
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
            started_at,
            tolerance,
            place: Place {
                scope: Scope::Group,
                heard: 1,
                members: None,
            },
            placed_at: started_at,
            meters: IndexMap::new(),
            untold: Untold::default(),
            told: None,
        }
    }

    /// Takes note of this host's place. A new orderer goes on from the levels that it was told; a former one begins with
    /// empty buckets, since the next one may give out what is in them.
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
        let (left, refill, scope) = self.left(now, organisation, limit);
        let cost = cost as f64;
        let is_admitted = match scope {
            // A request counts in full when half of it fits, so that one larger than the burst is served in its turn.
            Scope::Site => left >= cost.min(refill.burst) / 2.0,
            // Buckets of few hosts hold less than one request; each has the chance that its part of one gives.
            Scope::Group => left > 0.0 && point * cost < left,
        };
        if is_admitted {
            self.note_use(now, organisation, limit, cost as i64);
            return Ok(());
        }
        if scope == Scope::Group && left > 0.0 {
            // A chance that was not met is used up, so that on average no more is admitted than the bucket gains.
            self.note_use(now, organisation, limit, left as i64);
        }
        let wait_ms = match scope {
            Scope::Site => (cost.min(refill.burst) / 2.0 - left) * 1_000.0 / refill.per_s,
            // Another host may know more than this one.
            Scope::Group => 0.0,
        };
        // Callers that are refused together come back one after the other.
        let wait_ms = (wait_ms * (1.0 + point)).min(MOST_RETRY_MS.0 as f64);
        Err(Refused {
            retry_after_ms: LEAST_RETRY_MS.max(Millis(wait_ms as u64)),
            scope,
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
        let (left, refill, _) = self.left(now, organisation, limit);
        left < refill.burst / 2.0
    }

    fn note_use(&mut self, now: Millis, organisation: &Name, limit: &RateLimit, amount: i64) {
        let refill = self.refill(limit, self.share(now));
        self.meter(now, organisation).add(now, 0, amount, refill);
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
                    self.meter(now, organisation)
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
        match self.fresh_site_word(now) {
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

    /// Returns the orderer's word, less what it was not told yet.
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
            scope: Scope::Site,
            share: told.share,
            levels: names.into_iter().filter_map(level).collect(),
        }
    }

    /// Forgets the buckets of organisations that a new desired state does not have.
    pub fn keep_known(&mut self, table: &RouteTable) {
        self.meters
            .retain(|name, _| table.organisation(name).is_some());
    }

    /// Returns what is left for an organisation, how it refills, and for which hosts that is.
    fn left(&self, now: Millis, organisation: &Name, limit: &RateLimit) -> (f64, Refill, Scope) {
        let told = match self.place.scope {
            Scope::Site => None,
            Scope::Group => self.fresh_word(now),
        };
        if let Some(told) = told {
            let refill = self.refill(limit, told.share);
            let left = told.left(now, organisation, refill);
            let left = left - self.untold.sum(organisation) as f64;
            let is_scarce = left < refill.burst / 2.0;
            if !is_scarce || now.since(told.as_of) < SCARCE_STALE_MS {
                return (left, refill, told.scope);
            }
        }
        let refill = self.refill(limit, self.share(now));
        let left = match self.meters.get(organisation) {
            Some(meter) => meter.level(now, refill),
            None => self.unused(now).level(now, refill),
        };
        (left, refill, self.place.scope)
    }

    fn fresh_word(&self, now: Millis) -> Option<&Told> {
        self.told
            .as_ref()
            .filter(|told| now.since(told.as_of) < STALE_MS)
    }

    fn fresh_site_word(&self, now: Millis) -> Option<&Told> {
        let is_told = self.place.scope == Scope::Group;
        let told = self.fresh_word(now).filter(|_| is_told)?;
        (told.scope == Scope::Site).then_some(told)
    }

    /// Returns the part of the limits that the hosts of this host's place have. What is silent has the rest.
    fn share(&self, now: Millis) -> f64 {
        let Some(members) = self.place.members else {
            return 0.0;
        };
        match self.place.scope {
            Scope::Site if now < self.placed_at + GATHER_MS => 1.0,
            _ => (self.place.heard as f64 / members.max(1) as f64).min(1.0),
        }
    }

    fn refill(&self, limit: &RateLimit, share: f64) -> Refill {
        Refill {
            per_s: limit.per_s * share,
            burst: (limit.burst * BURST_PART + self.tolerance * TOLERANCE_PART) * share,
        }
    }

    /// Returns the bucket of an organisation that used nothing: empty when this host's place began.
    fn unused(&self, now: Millis) -> Meter {
        let since = match self.place.scope {
            Scope::Site => self.placed_at,
            Scope::Group => self.placed_at.max(self.started_at + ALONE_MS),
        };
        Meter::new(since.min(now), 0.0)
    }

    fn meter(&mut self, now: Millis, organisation: &Name) -> &mut Meter {
        let unused = self.unused(now);
        self.meters
            .entry(organisation.clone())
            .or_insert_with(|| unused)
    }
}
