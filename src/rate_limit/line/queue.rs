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
    /// Returns the rank at which the request counts at present. It moves up one rank when half of
    /// its time to wait has passed, one more after half of the rest, and so on, so that more urgent
    /// requests cannot keep it from beginning for all of its time.
    pub fn rank_at(&self, now: Millis) -> u8 {
        let mut rank = self.rank.min(MAX_RANK);
        let mut left_ms = self.leave_by.since(self.arrived_at).0;
        let mut passed_ms = now.since(self.arrived_at).0;
        while rank > 0 && left_ms > 1 && passed_ms >= left_ms / 2 {
            rank -= 1;
            passed_ms -= left_ms / 2;
            left_ms -= left_ms / 2;
        }
        rank
    }

    /// Returns the rank whose reserve applies to the request.
    pub fn reserve_rank_at(&self, now: Millis) -> u8 {
        self.rank_at(now).saturating_sub(u8::from(self.is_promoted))
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
    pub fn in_order(&self, now: Millis) -> Vec<(Entry, Place)> {
        let mut entries = self.entries.clone();
        entries.sort_by_cached_key(|entry| order_key(entry, now));
        let mut by_rank = [0.0; MAX_RANK as usize + 1];
        for (rank, cost) in self.costs(now) {
            by_rank[usize::from(rank)] += cost as f64;
        }
        let mut ahead = 0.0;
        let mut before = (0, 0.0);
        let place = |entry: Entry| {
            let rank = entry.request.rank_at(now);
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
    pub fn first(&self, now: Millis) -> Option<Entry> {
        self.entries
            .iter()
            .min_by_key(|entry| order_key(entry, now))
            .copied()
    }

    /// Returns the request that begins last.
    pub fn last(&self, now: Millis) -> Option<Entry> {
        self.entries
            .iter()
            .max_by_key(|entry| order_key(entry, now))
            .copied()
    }

    /// Returns the place of a request that waits here or would wait here.
    pub fn place_of(&self, now: Millis, id: u64, request: &WaitingRequest) -> Place {
        let own = Entry {
            id,
            request: *request,
        };
        let (rank, key) = (request.rank_at(now), order_key(&own, now));
        let mut place = Place::default();
        for entry in self.entries.iter().filter(|entry| entry.id != id) {
            let cost = entry.request.cost as f64;
            match entry.request.rank_at(now).cmp(&rank) {
                std::cmp::Ordering::Less => place.before_rank += cost,
                std::cmp::Ordering::Equal => {
                    place.others_in_rank += cost;
                    if order_key(entry, now) < key {
                        place.ahead_in_rank += cost;
                    }
                }
                std::cmp::Ordering::Greater => {}
            }
        }
        place
    }

    /// Returns rank and cost of each request.
    pub fn costs(&self, now: Millis) -> impl Iterator<Item = (u8, u64)> {
        let entries = self.entries.iter();
        entries.map(move |entry| (entry.request.rank_at(now), entry.request.cost))
    }
}

fn order_key(entry: &Entry, now: Millis) -> (u8, Millis, Millis, u64) {
    let request = &entry.request;
    let rank = request.rank_at(now);
    (rank, request.on_time_until, request.arrived_at, entry.id)
}
