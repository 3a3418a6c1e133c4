//! Which ranks of a service's requests are urgent at its engines.
//!
//! Load that it addresses: short streams whose first event is due soon share engines with long
//! prompts whose callers wait several times as long. Engines that begin requests in the order of
//! arrival make the short streams late, while the long ones have time to spare. Where the goals of
//! the ranks are close to each other, an order by rank would only move the delay from one kind of
//! callers to the other, so that all requests stay equal there.

use crate::desired::Route;
use crate::prelude::*;

/// How many times longer than the goal of the most urgent rank those of all other ranks must be.
const MIN_GOAL_RATIO: u64 = 2;

/// The goals of a service's streams in one rank.
#[derive(Clone, Copy, Debug)]
struct Goals {
    shortest_ms: Millis,
    longest_ms: Millis,
}

/// The urgent rank of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UrgentRank {
    /// The priority; 0 is the most urgent.
    pub rank: u8,
    /// The shortest latency objective of its streams.
    pub goal_ms: Millis,
}

/// The urgent rank of each service that has one.
#[derive(Clone, Debug, Default)]
pub struct UrgentRanks {
    by_service: IndexMap<Name, UrgentRank>,
}

impl UrgentRanks {
    /// Finds the urgent ranks: the most urgent rank of a service's streams, if the goals of all
    /// others are at least twice as long.
    pub fn new<'a>(routes: impl Iterator<Item = &'a Route>) -> Self {
        let mut goals: IndexMap<Name, IndexMap<u8, Goals>> = IndexMap::new();
        for route in routes.filter(|route| route.streams) {
            for target in &route.targets {
                let ranks = goals.entry(target.service.clone()).or_default();
                let of_rank = ranks.entry(route.rank).or_insert(Goals {
                    shortest_ms: route.goal_ms,
                    longest_ms: route.goal_ms,
                });
                of_rank.shortest_ms = of_rank.shortest_ms.min(route.goal_ms);
                of_rank.longest_ms = of_rank.longest_ms.max(route.goal_ms);
            }
        }
        let urgent = |(service, ranks)| Some((service, urgent_rank(&ranks)?));
        Self {
            by_service: goals.into_iter().filter_map(urgent).collect(),
        }
    }

    /// Returns whether requests of a rank are urgent at the engines of a service.
    pub fn is_urgent(&self, service: &str, rank: u8) -> bool {
        self.of(service).is_some_and(|urgent| rank <= urgent.rank)
    }

    /// Returns the urgent rank of a service, if it has one.
    pub fn of(&self, service: &str) -> Option<UrgentRank> {
        self.by_service.get(service).copied()
    }
}

fn urgent_rank(ranks: &IndexMap<u8, Goals>) -> Option<UrgentRank> {
    let (first, goals) = ranks.iter().min_by_key(|(rank, _)| **rank)?;
    let mut others = ranks.iter().filter(|(rank, _)| *rank != first).peekable();
    others.peek()?;
    let least_ms = Millis(goals.longest_ms.0.saturating_mul(MIN_GOAL_RATIO));
    others
        .all(|(_, other)| other.shortest_ms >= least_ms)
        .then_some(UrgentRank {
            rank: *first,
            goal_ms: goals.shortest_ms,
        })
}
