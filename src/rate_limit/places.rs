//! Reservations (places) for callers that were refused for a rate limit and told when to retry.
//!
//! Load it addresses: an organisation whose callers ask for several times its limit. When refused
//! callers come back without a reservation, most of them are refused once more, and those that came
//! first have no advantage over new ones.
//!
//! A refusal names a time at which the refill of the limit covers the request. Each reservation takes
//! `cost / refill` of this host's part of the organisation's future time, so the times that hosts name
//! independently of each other add up to the refill.
//!
//! A reservation is kept at the host that refused and at one more. It affects the order of requests
//! only: the limiter charges every request, so a reservation that serves twice never breaks a limit.

use crate::prelude::*;
use crate::rate_limit::place::{LATE_MS, MAX_AHEAD_MS, Place, SentPlace};
use crate::rate_limit::schedules::{Refill, Schedules};
use crate::rate_limit::timed::Timed;

/// The time ahead for which reservations count as waiting tokens.
pub const DUE_SOON_MS: Millis = Millis(1_000);
/// The shortest retry time that is named.
const MIN_RETRY_AFTER_MS: Millis = Millis(100);
/// The most reservations at a host.
pub const MAX_PLACES: usize = 4_096;
/// The most reservations of one organisation at a host.
pub const MAX_ORGANISATION_PLACES: usize = 256;
/// The most refused requests that a host remembers to recognise those that are refused once more.
pub const MAX_REFUSED: usize = 4_096;

/// A refused request for which a reservation is wanted.
#[derive(Clone, Debug)]
pub struct Wanted<'a> {
    /// Identifies the request.
    pub key: u64,
    /// The organisation whose limit is reached.
    pub organisation: &'a Name,
    /// The rank of the request.
    pub rank: u8,
    /// What it takes of the limit.
    pub cost: u64,
    /// When it arrived.
    pub arrived_at: Millis,
    /// The time until the limit has room for it.
    pub retry_after_ms: Millis,
    /// The longest retry time that its caller waits for.
    pub max_retry_after_ms: Millis,
}

/// The outcome for a refused request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reserved {
    /// The retry time to name.
    pub retry_after_ms: Millis,
    /// The reservation that was made; `None` if its time would be later than the caller comes back,
    /// or if the request still has one.
    pub place: Option<Place>,
    /// Whether the request was refused before, as far as this host knows.
    pub is_repeat: bool,
}

/// The tokens of reservations of one organisation and rank that are due soon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueTokens {
    /// The organisation.
    pub organisation: Name,
    /// The rank of the requests.
    pub rank: u8,
    /// The sum of their costs.
    pub tokens: u64,
}

/// The reservations that one host keeps, for the requests that it refused and for other hosts.
#[derive(Clone, Debug)]
pub struct PlaceBook {
    me: u64,
    places: Timed<Place>,
    by_organisation: IndexMap<Name, Timed<()>>,
    schedules: Schedules,
    /// The first arrivals of refused requests, until their callers would have come back.
    refused: Timed<Millis>,
}

impl PlaceBook {
    /// Creates the book of a host with this incarnation.
    pub fn new(me: u64) -> Self {
        Self {
            me,
            places: Timed::default(),
            by_organisation: IndexMap::new(),
            schedules: Schedules::default(),
            refused: Timed::default(),
        }
    }

    /// Sets this host's part of the refill of an organisation's limit, from 0 to 1, as known from
    /// the messages of all hosts. It applies until it is older than a few of their intervals.
    pub fn set_part(&mut self, now: Millis, organisation: &Name, part: f64) {
        self.schedules.set_part(now, organisation, part);
    }

    /// Returns the retry time for a refused request, and makes a reservation for it if its caller
    /// comes back that late. `random_unit` is a uniform random number between 0 and 1.
    pub fn reserve(
        &mut self,
        now: Millis,
        wanted: &Wanted<'_>,
        refill: Refill,
        random_unit: f64,
    ) -> Reserved {
        let former = self.refused.get(now, wanted.key).copied();
        let mut reserved = Reserved {
            retry_after_ms: wanted.retry_after_ms.max(MIN_RETRY_AFTER_MS),
            place: None,
            is_repeat: former.is_some(),
        };
        // The caller came back too early, or an equal request has the reservation.
        if let Some(place) = self.places.get(now, wanted.key)
            && place.due_at > now
        {
            reserved.retry_after_ms = place.due_at.since(now).max(MIN_RETRY_AFTER_MS);
            return reserved;
        }
        let arrived_at = former.unwrap_or(wanted.arrived_at).min(wanted.arrived_at);
        let earliest = now + reserved.retry_after_ms;
        let latest = now + wanted.max_retry_after_ms.min(MAX_AHEAD_MS);
        let due_at = self.schedules.take(
            now,
            wanted.organisation,
            wanted.cost,
            refill,
            earliest..=latest,
            random_unit,
        );
        if let Some(due_at) = due_at {
            reserved.retry_after_ms = due_at.since(now);
            let place = Place {
                key: wanted.key,
                organisation: wanted.organisation.clone(),
                rank: wanted.rank,
                cost: wanted.cost,
                arrived_at,
                due_at,
                until: due_at + LATE_MS,
                refused_by: self.me,
            };
            self.insert(place.clone());
            reserved.place = Some(place);
        } else {
            let back_at = earliest.min(latest.max(now));
            self.remember(wanted.key, arrived_at, back_at + LATE_MS);
        }
        reserved
    }

    /// Keeps a reservation that another host made. Returns whether its request was refused before
    /// and that host did not know it.
    pub fn receive(&mut self, now: Millis, sent: SentPlace) -> bool {
        let is_counted = sent.is_repeat;
        let Some(mut place) = Place::from_sent(now, sent) else {
            return false;
        };
        let former = self.refused.get(now, place.key).copied();
        place.arrived_at = former.unwrap_or(place.arrived_at).min(place.arrived_at);
        self.insert(place);
        former.is_some() && !is_counted
    }

    fn insert(&mut self, place: Place) {
        self.remember(place.key, place.arrived_at, place.until);
        self.remove(place.key);
        let (key, until) = (place.key, place.until);
        let own = self.by_organisation.entry(place.organisation.clone());
        let own = own.or_default();
        own.insert(key, until, ());
        let ends_first = (own.len() > MAX_ORGANISATION_PLACES)
            .then(|| own.first_key())
            .flatten();
        self.places.insert(key, until, place);
        if let Some(ends_first) = ends_first {
            self.remove(ends_first);
        }
        if self.places.len() > MAX_PLACES
            && let Some(ends_first) = self.places.first_key()
        {
            self.remove(ends_first);
        }
    }

    fn remember(&mut self, key: u64, arrived_at: Millis, until: Millis) {
        self.refused.insert(key, until, arrived_at);
        if self.refused.len() > MAX_REFUSED {
            self.refused.pop_first();
        }
    }

    /// Takes the reservation with this key, if it is valid now. It is removed, so that it serves one
    /// request only.
    pub fn claim(&mut self, now: Millis, key: u64) -> Option<Place> {
        let place = self.places.get(now, key)?;
        if !place.is_valid(now) {
            return None;
        }
        self.remove(key)
    }

    /// Remembers a request whose reservation another host gave out, to recognise it if it is refused
    /// once more here.
    pub fn note_claimed(&mut self, place: &Place) {
        self.remember(place.key, place.arrived_at, place.until);
    }

    /// Removes a reservation and returns it.
    pub fn remove(&mut self, key: u64) -> Option<Place> {
        let place = self.places.remove(key)?;
        if let Some(own) = self.by_organisation.get_mut(&place.organisation) {
            own.remove(key);
            if own.is_empty() {
                self.by_organisation.swap_remove(&place.organisation);
            }
        }
        Some(place)
    }

    /// Removes what has ended. Returns the number of reservations of requests that this host refused
    /// which nobody claimed.
    pub fn expire(&mut self, now: Millis) -> usize {
        let mut unclaimed = 0;
        while let Some(key) = self.places.first_ended_key(now) {
            let place = self.remove(key);
            unclaimed += usize::from(place.is_some_and(|place| place.refused_by == self.me));
        }
        while let Some(key) = self.refused.first_ended_key(now) {
            self.refused.remove(key);
        }
        self.schedules.expire(now);
        unclaimed
    }

    /// Returns the tokens of reservations that are due soon, for this host's report of waiting
    /// tokens. Each reservation is counted by the host that refused its request.
    pub fn due_tokens(&self, now: Millis) -> Vec<DueTokens> {
        let mut sums: IndexMap<(&Name, u8), u64> = IndexMap::new();
        for place in self
            .places
            .ending(now + LATE_MS, now + DUE_SOON_MS + LATE_MS)
        {
            if place.refused_by == self.me {
                let sum = sums.entry((&place.organisation, place.rank)).or_default();
                *sum = sum.saturating_add(place.cost);
            }
        }
        let due = sums.into_iter();
        due.map(|((organisation, rank), tokens)| DueTokens {
            organisation: organisation.clone(),
            rank,
            tokens,
        })
        .collect()
    }

    /// Returns the number of reservations.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether there are no reservations.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }
}
