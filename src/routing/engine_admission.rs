//! Admission of requests to engines by rank.
//!
//! Handles engines that get more prompts than they read, from callers of different ranks. Engines
//! read prompts in the order of their arrival, so a less urgent request with a late goal fills the
//! queue that makes the urgent ones late. Requests of the most urgent rank are sent at once. Others
//! are sent only while little waits at their engine, else they wait at their host.

use crate::desired::UrgentRank;
use crate::prelude::*;

/// The wait at an engine above which requests one rank less urgent than the most urgent one are
/// held back, as a part of that rank's goal: an eighth, and half of that for each further rank.
/// Since what hosts know is up to half a second old, more than that adds up until all know.
const WAIT_DIVISOR: u64 = 4;
/// A request becomes one rank more urgent after this part of its time: half.
const AGEING_DIVISOR: u64 = 2;
/// A request is admitted until its goal and at least for this part of its caller's time: a quarter.
const MIN_BUDGET_DIVISOR: u64 = 4;
/// How often a waiting request may draw whether it begins.
pub const CHECK_MS: Millis = Millis(50);
/// The expected time until a waiting request begins at an engine that became free, as a multiple of
/// the time that it has left. It spreads the requests of hosts that learn of this at once.
const SPREAD_FACTOR: u64 = 8;
/// The time without urgent requests for a model after which none are expected, if enough others
/// came meanwhile.
const URGENT_MEMORY_MS: Millis = Millis(30_000);
/// So many other requests are enough. A host of many sees too few requests to know.
const MIN_OTHERS: u32 = 8;
/// The most models for which a host remembers this. Others count as unknown.
const MAX_REMEMBERED_MODELS: usize = 4_096;

/// A request that is to be sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its priority; 0 is the most urgent.
    pub rank: u8,
    /// When it arrived.
    pub arrived_at: Millis,
    /// When its first event is late.
    pub goal_at: Millis,
    /// When its caller gives up.
    pub caller_leaves_at: Millis,
}

impl Candidate {
    /// Returns until when the first event must come for the request to be admitted, if it is less
    /// urgent than others.
    pub fn begins_by(&self) -> Millis {
        let caller_ms = self.caller_leaves_at.since(self.arrived_at);
        let at_least = self.arrived_at + Millis(caller_ms.0 / MIN_BUDGET_DIVISOR);
        self.goal_at.max(at_least).min(self.caller_leaves_at)
    }

    /// Returns the rank that the request counts with after it has waited.
    pub fn rank_at(&self, now: Millis) -> u8 {
        let time_ms = self.begins_by().since(self.arrived_at);
        let is_aged = now.since(self.arrived_at).0 >= time_ms.0 / AGEING_DIVISOR;
        self.rank.saturating_sub(u8::from(is_aged))
    }

    /// Returns the order among waiting requests, the first one lowest.
    pub fn order(&self, now: Millis) -> (u8, Millis, Millis) {
        (self.rank_at(now), self.begins_by(), self.arrived_at)
    }

    /// Returns by how much the first event would miss the time by which it must come.
    pub fn excess_ms(&self, now: Millis, first_event_ms: Millis) -> Millis {
        (now + first_event_ms).since(self.begins_by())
    }

    /// Returns the wait at an engine up to which the request is sent there, where requests of the
    /// rank `urgent` are expected.
    pub fn longest_wait_ms(&self, now: Millis, urgent: UrgentRank) -> Millis {
        let ranks = u32::from(self.rank_at(now).saturating_sub(urgent.rank));
        let wait_ms = urgent.goal_ms.0 / WAIT_DIVISOR;
        Millis(wait_ms.checked_shr(ranks).unwrap_or(0))
    }

    /// Returns the probability with which a waiting request begins at a check, at an engine with a
    /// short enough wait.
    pub fn begin_chance(&self, now: Millis, first_event_ms: Millis) -> f64 {
        let left_ms = self.begins_by().since(now + first_event_ms);
        let spread_ms = left_ms.0.saturating_mul(SPREAD_FACTOR).max(CHECK_MS.0);
        CHECK_MS.0 as f64 / spread_ms as f64
    }
}

/// Which models get urgent requests, as far as one host sees.
#[derive(Clone, Debug, Default)]
pub struct UrgentDemand {
    models: IndexMap<Name, SeenRequests>,
}

#[derive(Clone, Copy, Debug, Default)]
struct SeenRequests {
    urgent_at: Option<Millis>,
    /// Less urgent requests since the last urgent one.
    others: u32,
    last_at: Millis,
}

impl UrgentDemand {
    /// Records a request for a model, and whether it has the most urgent rank.
    pub fn note(&mut self, now: Millis, model: &Name, is_urgent: bool) {
        if self.models.len() >= MAX_REMEMBERED_MODELS && !self.models.contains_key(model) {
            self.models
                .retain(|_, seen| now.since(seen.last_at) < URGENT_MEMORY_MS);
            if self.models.len() >= MAX_REMEMBERED_MODELS {
                return;
            }
        }
        let seen = self.models.entry(model.clone()).or_default();
        seen.last_at = now;
        match is_urgent {
            true => {
                seen.urgent_at = Some(now);
                seen.others = 0;
            }
            false => seen.others = seen.others.saturating_add(1),
        }
    }

    /// Tells whether urgent requests for a model are to be expected: unless this host got enough
    /// requests for it to know that there are none.
    pub fn is_expected(&self, now: Millis, model: &str) -> bool {
        self.models.get(model).is_none_or(|seen| {
            let is_recent = |at| now.since(at) < URGENT_MEMORY_MS;
            seen.others < MIN_OTHERS || seen.urgent_at.is_some_and(is_recent)
        })
    }
}
