//! The requests of organisations that wait for a rate limit, on one host.
//!
//! Load that it addresses: an organisation whose callers ask for several times its limit for some
//! seconds, and all organisations in the seconds after all hosts were restarted, when the levels of
//! the limits are not known. Without an order among the requests, chat with hundreds of tokens is
//! refused like batches with thousands, and requests that have seconds to spare are refused as well.
//!
//! - [`queue`]: the order of the requests that wait at one host.
//! - `arrival`: whether a request begins at once, waits or is refused.
//! - `exchange`: the sums that this host sends to others and gets from them.
//! - [`prediction`]: when a request can begin.
//! - [`recent_use`]: what the ranks used in the last second.
//! - [`sums`]: what waits and was used at all hosts, in messages.
//! - [`release`]: which request of a queue begins or is refused.

mod arrival;
mod exchange;
pub mod prediction;
pub mod queue;
pub mod recent_use;
pub mod release;
pub mod sums;

#[cfg(test)]
mod tests;

use crate::desired::RateLimit;
use crate::prelude::*;
use crate::rate_limit::limiter::{Limiter, Refused, Scope};
use crate::rate_limit::line::prediction::View;
use crate::rate_limit::line::queue::{Earned, Entry, Queue};
use crate::rate_limit::line::recent_use::RecentUse;
use crate::rate_limit::line::sums::{ByRank, ChildSums, MAX_ORGANISATIONS, RankSum, Sums};

pub use queue::WaitingRequest;
pub use sums::{LineReport, LinesUpdate};

/// Most requests of one organisation that wait at a host.
pub const MAX_WAITING_PER_ORGANISATION: usize = 256;
/// Most requests that wait at a host.
pub const MAX_WAITING: usize = 2_048;
/// Maximum age of sums from another host, as that of levels.
const MAX_SUMS_AGE_MS: Millis = Millis(1_200);
/// How long a request waits at the longest while the levels of all hosts are not known.
const MAX_UNKNOWN_WAIT_MS: Millis = Millis(3_000);
/// Refused callers retry after the predicted wait and up to this part of it, not all at once.
const RETRY_SPREAD_FRACTION: f64 = 0.25;
/// The shortest time between two reports that a queue became empty or non-empty.
const CHANGE_INTERVAL_MS: Millis = Millis(1_000);

/// The time of a decision, and the limit that it is about.
#[derive(Clone, Copy, Debug)]
pub struct Turn<'a> {
    /// The present time.
    pub now: Millis,
    /// The name of the organisation.
    pub name: &'a Name,
    /// Its limit.
    pub limit: &'a RateLimit,
    /// A uniform random number between 0 and 1.
    pub random_unit: f64,
}

/// The decision on a request that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It begins; its cost is charged.
    Began,
    /// It is refused.
    Refused(Refused),
}

/// The decision on a request that does not begin at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entered {
    /// It waits under this id.
    Waits(u64),
    /// It was decided on at once.
    Decided(Outcome),
}

/// That a queue became empty or non-empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueChange {
    /// The organisation.
    pub organisation: Name,
    /// The requests that wait; zero if the queue became empty.
    pub requests: usize,
    /// Their cost.
    pub tokens: u64,
}

/// One organisation at this host.
#[derive(Clone, Debug)]
struct Line {
    limit: RateLimit,
    queue: Queue,
    /// When the queue became non-empty.
    waiting_since: Millis,
    /// This host's part of the refill that was not used yet; none until it is known how much waits
    /// at other hosts.
    earned: Earned,
    credit_at: Millis,
    /// When the queue was last looked at.
    stepped_at: Millis,
    recent_use: RecentUse,
    /// Whether the queue was last reported as non-empty, and when.
    reported: (bool, Millis),
}

impl Line {
    fn new(limit: RateLimit) -> Self {
        Self {
            limit,
            queue: Queue::default(),
            waiting_since: Millis::ZERO,
            earned: Earned::default(),
            credit_at: Millis::ZERO,
            stepped_at: Millis::ZERO,
            recent_use: RecentUse::default(),
            reported: (false, Millis::ZERO),
        }
    }

    fn add_waiting(&self, total: &mut ByRank) {
        for (rank, waiting_tokens) in self.queue.costs() {
            total.add(RankSum {
                rank,
                waiting_tokens,
                used_tokens: 0,
            });
        }
    }

    fn own_use(&self, now: Millis) -> ByRank {
        let mut total = ByRank::default();
        for (rank, used_tokens) in self.recent_use.per_second(now) {
            total.add(RankSum {
                rank,
                waiting_tokens: 0,
                used_tokens,
            });
        }
        total
    }
}

/// The sums of hosts that report to the same parent or beyond it, without those of this host and of
/// the hosts that report to it.
#[derive(Clone, Debug, Default)]
struct BeyondSums {
    as_of: Millis,
    sums: Sums,
}

/// The requests that wait at one host, and what is known of those that wait at other hosts.
#[derive(Clone, Debug, Default)]
pub struct Lines {
    by_organisation: IndexMap<Name, Line>,
    /// Decisions on requests that waited, until the requests learn of them.
    decided: IndexMap<u64, Outcome>,
    last_id: u64,
    waiting: usize,
    beyond: Option<BeyondSums>,
    children: ChildSums,
    /// Tokens that are set aside here for requests which are to come.
    reserved: Sums,
    /// The last report to the parent.
    sent: Vec<LineReport>,
}

impl Lines {
    /// Adds a request to the queue of its organisation and returns its id.
    fn push(&mut self, turn: &Turn<'_>, request: &WaitingRequest) -> u64 {
        let Turn {
            now, name, limit, ..
        } = *turn;
        self.last_id += 1;
        self.waiting += 1;
        let line = self
            .by_organisation
            .entry(name.clone())
            .or_insert_with(|| Line::new(*limit));
        line.limit = *limit;
        if line.queue.is_empty() {
            line.waiting_since = now;
            line.earned = Earned::default();
        }
        line.queue.push(Entry {
            id: self.last_id,
            request: *request,
        });
        self.last_id
    }

    /// Refuses the last request of an organisation or host that has more than may wait.
    fn evict_excess(&mut self, now: Millis, limiter: &Limiter, name: &Name, random_unit: f64) {
        let has_excess = |line: &Line| line.queue.len() > MAX_WAITING_PER_ORGANISATION;
        if self.by_organisation.get(name).is_some_and(has_excess) {
            self.evict_last(now, limiter, &name.clone(), random_unit);
        }
        if self.waiting > MAX_WAITING {
            let lines = self.by_organisation.iter();
            let longest = lines.max_by_key(|(_, line)| line.queue.len());
            if let Some(name) = longest.map(|(name, _)| name.clone()) {
                self.evict_last(now, limiter, &name, random_unit);
            }
        }
    }

    fn evict_last(&mut self, now: Millis, limiter: &Limiter, name: &Name, random_unit: f64) {
        let Some(line) = self.by_organisation.get(name) else {
            return;
        };
        let Some(last) = line.queue.last() else {
            return;
        };
        let view = self.view(now, limiter, name, &line.limit);
        let place = line.queue.place_of(last.id, &last.request);
        let wait_ms = view.wait_ms(now, &last.request, &place, &line.earned);
        let refused = refused(wait_ms, view.standing.scope, random_unit);
        self.decide(name, last.id, Outcome::Refused(refused));
    }

    /// Removes a request from its queue and keeps the decision until the request learns of it.
    fn decide(&mut self, name: &Name, id: u64, outcome: Outcome) {
        let line = self.by_organisation.get_mut(name);
        if line.and_then(|line| line.queue.remove(id)).is_some() {
            self.waiting -= 1;
            self.decided.insert(id, outcome);
        }
    }

    /// Returns the decision on a request that waited, once.
    pub fn take_outcome(&mut self, id: u64) -> Option<Outcome> {
        self.decided.swap_remove(&id)
    }

    /// Removes a request that no longer waits because its caller left. Returns the decision on it
    /// if there was one: a request that had begun is to be refunded.
    pub fn leave(&mut self, name: &Name, id: u64) -> Option<Outcome> {
        let line = self.by_organisation.get_mut(name);
        if line.and_then(|line| line.queue.remove(id)).is_some() {
            self.waiting -= 1;
        }
        self.decided.swap_remove(&id)
    }

    fn note_use(&mut self, turn: &Turn<'_>, request: &WaitingRequest) {
        let Turn {
            now, name, limit, ..
        } = *turn;
        if !self.by_organisation.contains_key(name)
            && self.by_organisation.len() >= MAX_ORGANISATIONS
        {
            return;
        }
        let line = self
            .by_organisation
            .entry(name.clone())
            .or_insert_with(|| Line::new(*limit));
        line.limit = *limit;
        line.recent_use.note(now, request.rank, request.cost);
    }

    /// Returns what is known of an organisation's limit and of the requests at other hosts.
    fn view(&self, now: Millis, limiter: &Limiter, name: &Name, limit: &RateLimit) -> View {
        let standing = limiter.standing(now, name, limit);
        let mut others = ByRank::default();
        self.children.add_of(now, name, &mut others);
        if let Some(sums) = self.reserved.of(name) {
            sums.iter().for_each(|sum| others.add(*sum));
        }
        let beyond = self.fresh_beyond(now).filter(|_| !standing.is_own);
        if let Some(sums) = beyond.and_then(|beyond| beyond.sums.of(name)) {
            sums.iter().for_each(|sum| others.add(*sum));
        }
        let line = self.by_organisation.get(name);
        View {
            standing,
            others,
            own_use: line.map(|line| line.own_use(now)).unwrap_or_default(),
        }
    }

    /// Returns the part of the tokens that wait for an organisation's limit over all hosts which wait
    /// here; none if nothing waits here.
    pub fn waiting_part(&self, turn: &Turn<'_>, limiter: &Limiter) -> Option<f64> {
        let queue = &self.by_organisation.get(turn.name)?.queue;
        let own: f64 = queue.costs().map(|(_, cost)| cost as f64).sum();
        let others = self.view(turn.now, limiter, turn.name, turn.limit).others;
        let others: f64 = others.iter().map(|sum| sum.waiting_tokens as f64).sum();
        (own > 0.0).then(|| own / (own + others))
    }

    /// Sets the tokens that are set aside at this host for requests which are to come within the next
    /// second. They count as waiting, so that new requests do not take them.
    pub fn set_reserved(&mut self, reserved: Sums) {
        self.reserved = reserved;
    }

    /// Tells whether any request waits here.
    pub fn has_waiting(&self) -> bool {
        self.waiting > 0
    }

    /// Returns the number of requests that wait and their cost.
    pub fn waiting(&self) -> (usize, u64) {
        let queues = self.by_organisation.values().map(|line| &line.queue);
        let costs = queues.flat_map(|queue| queue.costs());
        let tokens = costs.fold(0, |sum: u64, (_, cost)| sum.saturating_add(cost));
        (self.waiting, tokens)
    }

    /// Returns the queues that became empty or non-empty, each at most once per second.
    pub fn take_changes(&mut self, now: Millis) -> Vec<QueueChange> {
        let mut changes = Vec::new();
        for (name, line) in &mut self.by_organisation {
            let is_waiting = !line.queue.is_empty();
            let (was_waiting, at) = line.reported;
            if is_waiting != was_waiting && now.since(at) >= CHANGE_INTERVAL_MS {
                line.reported = (is_waiting, now);
                changes.push(QueueChange {
                    organisation: name.clone(),
                    requests: line.queue.len(),
                    tokens: line
                        .queue
                        .costs()
                        .fold(0, |sum, (_, cost)| sum.saturating_add(cost)),
                });
            }
        }
        changes
    }
}

/// Returns until when a request waits for the levels of all hosts.
fn unknown_until(request: &WaitingRequest) -> Millis {
    let at_most = request.arrived_at + MAX_UNKNOWN_WAIT_MS;
    request.on_time_until.min(at_most)
}

fn refused(wait_ms: Millis, scope: Scope, random_unit: f64) -> Refused {
    let spread = 1.0 + random_unit * RETRY_SPREAD_FRACTION;
    Refused::after(wait_ms.0 as f64 * spread, scope)
}
