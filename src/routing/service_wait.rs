//! Predicts how long a request takes at an upstream of a plain service, from this host's requests
//! there and the stated load, and draws the upstream.
//!
//! Handles many hosts that send short requests to a few upstreams with a few slots each, on
//! machines whose pace changes. Each host sees only its own requests at once; every answer and,
//! some hundred milliseconds later, other hosts state the whole load of an upstream. The counts of
//! other hosts are not used: they are older than a short request takes, and hosts that choose by
//! them all choose the same upstream.

use crate::prelude::*;
use crate::upstreams::StatedLoad;

/// The age at which a stated number of requests no longer counts: some times as long as a short
/// request takes, as the requests that were stated have ended by then.
const LOAD_VALIDITY_MS: Millis = Millis(300);
/// The weight of a stated running request, where that of a waiting one is 1: requests that run end
/// soon, and delay no other one while slots are free.
const RUNNING_WEIGHT: f64 = 0.3;
/// The age at which a stated pace no longer counts. The pace changes less often than the number of
/// requests.
const PACE_VALIDITY_MS: Millis = Millis(1_000);
/// For how long after a statement with a pace the upstreams of its service are chosen by this
/// module.
pub const PACED_SERVICE_MS: Millis = Millis(10_000);
/// The age up to which statements are so new that hosts hardly ever choose by the same one.
const NEW_STATEMENT_MS: Millis = Millis(5);

/// What is known of the load of an upstream of a plain service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceLoad {
    /// Most requests that it runs at once, as its entry in the list of upstreams says.
    pub slots: u32,
    /// Number of requests of this host there.
    pub own: u32,
    /// The newest statement, if there is one.
    pub statement: Option<Statement>,
}

/// A load that an upstream stated, with what happened since.
#[derive(Clone, Copy, Debug)]
pub struct Statement {
    /// The stated load.
    pub load: StatedLoad,
    /// The time since it was stated.
    pub age_ms: Millis,
    /// Number of requests that this host has begun there since then.
    pub begun_since: u32,
}

impl ServiceLoad {
    /// Returns the predicted time that all requests at the upstream with a further one take, as a
    /// multiple of the usual time of a request: the part of the slots that they use, times the
    /// pace.
    pub fn predicted_time(&self) -> f64 {
        let slots = self
            .statement
            .map_or(self.slots, |statement| statement.load.slots);
        self.pace() * (self.requests() + 1.0) / f64::from(slots.max(1))
    }

    /// Returns the expected number of requests at the upstream: the larger of this host's own and
    /// the stated number, the latter decaying towards the own one with its age.
    fn requests(&self) -> f64 {
        let own = f64::from(self.own);
        let Some(statement) = self.statement else {
            return own;
        };
        let stated = f64::from(statement.load.running) * RUNNING_WEIGHT
            + f64::from(statement.load.waiting)
            + f64::from(statement.begun_since);
        own + (stated - own).max(0.0) * statement.weight(LOAD_VALIDITY_MS)
    }

    /// Returns the expected time for a unit of work, as a multiple of the usual one: the stated
    /// pace, which decays towards 1 with its age.
    fn pace(&self) -> f64 {
        let paced = self
            .statement
            .and_then(|statement| Some((statement, statement.load.pace_percent?)));
        paced.map_or(1.0, |(statement, pace_percent)| {
            let stated = f64::from(pace_percent) / 100.0;
            1.0 + (stated - 1.0) * statement.weight(PACE_VALIDITY_MS)
        })
    }
}

impl Statement {
    /// Returns the weight of a value of the statement, which falls from 1 to 0 within `validity_ms`.
    fn weight(&self, validity_ms: Millis) -> f64 {
        1.0 - self.age_ms.min(validity_ms).0 as f64 / validity_ms.0 as f64
    }

    /// Tells whether a choice by the statement differs from that of other hosts: it is so new that
    /// hardly any other host chooses by it, or so old that it does not count.
    pub fn is_apart(&self) -> bool {
        self.age_ms <= NEW_STATEMENT_MS || self.age_ms >= PACE_VALIDITY_MS
    }
}

/// How an upstream is chosen among several.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Draw {
    /// The one with the lowest cost.
    Best,
    /// The one with the lower cost of two that are drawn by their slots. Hosts with the same
    /// information so do not all choose the same upstream.
    BetterOfTwo,
}

/// An upstream that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Most requests that it runs at once; its weight in the draw.
    pub slots: u32,
    /// What is lost by sending the request there; the lower one is chosen.
    pub cost: f64,
}

impl Draw {
    /// Returns how to choose among upstreams with these newest statements. Without statements that
    /// other hosts may use at the same time, the best one is chosen.
    pub fn suited_to(mut statements: impl Iterator<Item = Option<Statement>>) -> Self {
        let are_apart = statements.all(|known| known.is_none_or(|statement| statement.is_apart()));
        match are_apart {
            true => Self::Best,
            false => Self::BetterOfTwo,
        }
    }
}

/// Returns the index of the chosen upstream; none if there is no candidate.
pub fn choose(candidates: &[Candidate], draw: Draw, random: &mut fastrand::Rng) -> Option<usize> {
    let mut drawn: Vec<usize> = (0..candidates.len()).collect();
    // The first of several with equal cost is chosen, which would be the same at all hosts.
    random.shuffle(&mut drawn);
    if draw == Draw::BetterOfTwo && candidates.len() > 2 {
        let first = draw_by_slots(candidates, None, random);
        let second = draw_by_slots(candidates, Some(first), random);
        drawn = vec![first, second];
    }
    let cost = |index: &usize| candidates[*index].cost;
    drawn.into_iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))
}

/// Draws one of the candidates except `other`, of which there is at least one.
fn draw_by_slots(
    candidates: &[Candidate],
    other: Option<usize>,
    random: &mut fastrand::Rng,
) -> usize {
    let weights = candidates.iter().enumerate();
    let weights = weights.map(|(index, candidate)| match Some(index) == other {
        true => 0,
        false => u64::from(candidate.slots.max(1)),
    });
    let mut left = random.u64(0..weights.clone().sum::<u64>().max(1));
    for (index, weight) in weights.enumerate() {
        match left < weight {
            true => return index,
            false => left -= weight,
        }
    }
    0
}
