//! The requests of one organisation that wait at one host, in the order in which they begin.

use crate::prelude::*;
use crate::rate_limit::line::sums::MAX_RANK;

/// A request that asks for its cost under a rate limit.
#[derive(Clone, Copy, Debug)]
pub struct WaitingRequest {
    /// The priority of the request; 0 is the most urgent.
    pub rank: u8,
    /// When it arrived first.
    pub arrived_at: Millis,
    /// Until when it can begin and still be on time.
    pub on_time_until: Millis,
    /// Until when it may wait at the longest.
    pub leave_by: Millis,
    /// Its cost, in the unit of the limit.
    pub cost: u64,
    /// Whether it counts as one rank more urgent when the reserve is applied.
    pub is_promoted: bool,
}

impl WaitingRequest {
    /// Returns the rank, as far as ranks are told apart.
    pub fn rank(&self) -> u8 {
        self.rank.min(MAX_RANK)
    }

    /// Returns the rank whose reserve applies to the request.
    pub fn reserve_rank(&self) -> u8 {
        self.rank().saturating_sub(u8::from(self.is_promoted))
    }

    /// Returns when half of the time that the request may wait has passed.
    pub fn aged_at(&self) -> Millis {
        self.arrived_at + Millis(self.leave_by.since(self.arrived_at).0 / 2)
    }
}

/// A request in a queue.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// Identifies the request at this host.
    pub id: u64,
    /// The request.
    pub request: WaitingRequest,
}

/// Where a request stands in a queue: the cost of the requests of this host around it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Place {
    /// Cost of those of more urgent ranks.
    pub before_rank: f64,
    /// Cost of those of its rank that are ahead of it.
    pub ahead_in_rank: f64,
    /// Cost of all others of its rank.
    pub others_in_rank: f64,
}

/// Parts of the refill that a host has earned for its next request and has not used.
#[derive(Clone, Copy, Debug, Default)]
pub struct Earned {
    /// For its first request; none until it earns.
    pub credit: Option<f64>,
    /// For requests that have waited long.
    pub aged_credit: Option<f64>,
}

/// The requests of one organisation that wait at one host.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    entries: Vec<Entry>,
}

impl Queue {
    /// Returns the number of requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds a request.
    pub fn push(&mut self, entry: Entry) {
        self.entries.push(entry);
    }

    /// Removes a request. Returns it if it waits here.
    pub fn remove(&mut self, id: u64) -> Option<Entry> {
        let index = self.entries.iter().position(|entry| entry.id == id)?;
        Some(self.entries.remove(index))
    }

    /// Returns the requests with their places, in the order in which they begin: by rank, then by
    /// the time until which they can be on time, then by arrival.
    pub fn in_order(&self) -> Vec<(Entry, Place)> {
        let mut entries = self.entries.clone();
        entries.sort_by_key(order_key);
        let mut by_rank = [0.0; MAX_RANK as usize + 1];
        for (rank, cost) in self.costs() {
            by_rank[usize::from(rank)] += cost as f64;
        }
        let mut ahead = 0.0;
        let mut before = (0, 0.0);
        let place = |entry: Entry| {
            let rank = entry.request.rank();
            if rank != before.0 {
                before = (rank, ahead);
            }
            let cost = entry.request.cost as f64;
            let place = Place {
                before_rank: before.1,
                ahead_in_rank: ahead - before.1,
                others_in_rank: by_rank[usize::from(rank)] - cost,
            };
            ahead += cost;
            (entry, place)
        };
        entries.into_iter().map(place).collect()
    }

    /// Returns the request that begins first.
    pub fn first(&self) -> Option<Entry> {
        self.entries
            .iter()
            .min_by_key(|entry| order_key(entry))
            .copied()
    }

    /// Returns the first of the requests that are not of the most urgent rank and have waited for
    /// half of their time.
    pub fn first_aged(&self, now: Millis) -> Option<Entry> {
        let aged = self
            .entries
            .iter()
            .filter(|entry| entry.request.rank() > 0 && now >= entry.request.aged_at());
        aged.min_by_key(|entry| (entry.request.on_time_until, entry.id))
            .copied()
    }

    /// Returns the request that begins last.
    pub fn last(&self) -> Option<Entry> {
        self.entries
            .iter()
            .max_by_key(|entry| order_key(entry))
            .copied()
    }

    /// Returns the place of a request that waits here or would wait here.
    pub fn place_of(&self, id: u64, request: &WaitingRequest) -> Place {
        let own = Entry {
            id,
            request: *request,
        };
        let (rank, key) = (request.rank(), order_key(&own));
        let mut place = Place::default();
        for entry in self.entries.iter().filter(|entry| entry.id != id) {
            let cost = entry.request.cost as f64;
            match entry.request.rank().cmp(&rank) {
                std::cmp::Ordering::Less => place.before_rank += cost,
                std::cmp::Ordering::Equal => {
                    place.others_in_rank += cost;
                    if order_key(entry) < key {
                        place.ahead_in_rank += cost;
                    }
                }
                std::cmp::Ordering::Greater => {}
            }
        }
        place
    }

    /// Returns the cost of the requests of this rank and of more urgent ones.
    pub fn cost_up_to(&self, rank: u8) -> f64 {
        let costs = self.costs().filter(|(other, _)| *other <= rank);
        costs.map(|(_, cost)| cost as f64).sum()
    }

    /// Returns rank and cost of each request.
    pub fn costs(&self) -> impl Iterator<Item = (u8, u64)> {
        let entries = self.entries.iter();
        entries.map(move |entry| (entry.request.rank(), entry.request.cost))
    }
}

fn order_key(entry: &Entry) -> (u8, Millis, Millis, u64) {
    let request = &entry.request;
    let rank = request.rank();
    (rank, request.on_time_until, request.arrived_at, entry.id)
}
