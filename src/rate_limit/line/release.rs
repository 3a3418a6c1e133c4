//! Decides which request of a queue begins next, and which can no longer begin in time.
//!
//! Hosts with waiting requests share the refill of a limit in proportion to the tokens that wait at
//! each of them. If each released a request whenever it saw room, dozens of hosts that learn of the
//! same level would release one each.

use crate::prelude::*;
use crate::rate_limit::limiter::Limiter;
use crate::rate_limit::line::prediction::{AGED_REFILL_FRACTION, MIN_REFILL_FRACTION, View};
use crate::rate_limit::line::queue::Entry;
use crate::rate_limit::line::{Line, Lines, Outcome, Turn, refused, unknown_until};

/// A waiting request is refused only if its predicted start is later than allowed by this much: the
/// sums of other hosts are as old as the interval of reports.
const REFUSAL_SLACK_MS: Millis = Millis(250);
/// A request that costs more than a share's burst is decided on when the share is this full.
const FULL_SHARE_FRACTION: f64 = 0.9;
/// The time within which what is left beyond the reserve is given out in addition to the refill.
const SURPLUS_S: f64 = 1.0;
/// The longest time to the next check of a queue while a request of it may begin.
const CHECK_INTERVAL_MS: Millis = Millis(10);
/// The time to the next check of a queue whose requests cannot begin before news arrive.
const IDLE_CHECK_INTERVAL_MS: Millis = Millis(50);

impl Lines {
    /// Decides on requests of an organisation that wait here. At most one begins; to let further
    /// ones begin, call again with another random number until nothing is decided. Returns the
    /// number of decisions.
    pub fn step(&mut self, turn: &Turn<'_>, limiter: &mut Limiter) -> usize {
        let Turn {
            now,
            name,
            limit,
            random_unit,
        } = *turn;
        let view = self.view(now, limiter, name, limit);
        let has_sums = self.has_sums_of_waiting(now, name, &view);
        let Some(line) = self.by_organisation.get_mut(name) else {
            return 0;
        };
        let Some(first) = line.queue.first() else {
            return 0;
        };
        line.stepped_at = now;
        let since_ms = now.since(line.credit_at).min(IDLE_CHECK_INTERVAL_MS);
        let since_s = since_ms.0 as f64 / 1_000.0;
        line.credit_at = now;
        line.earn(since_s, &view, &first, has_sums, random_unit);
        let aged = line
            .queue
            .first_aged(now)
            .filter(|aged| view.is_starved(aged));
        line.earn_aged(since_s, &view, aged.as_ref(), random_unit);
        if !view.covers_all_hosts() {
            return self.step_by_share(turn, limiter, &view);
        }
        if let Some((entry, credit)) = line.due(&view, &first, aged.as_ref()) {
            let credit = match credit {
                Credit::InTurn => line.earned.credit.get_or_insert_default(),
                Credit::Aged => line.earned.aged_credit.get_or_insert_default(),
            };
            *credit = (*credit - entry.request.cost as f64).max(0.0);
            limiter.charge_rerun(now, name, limit, entry.request.cost);
            self.note_use(turn, &entry.request);
            self.decide(name, entry.id, Outcome::Began);
            return 1;
        }
        self.refuse_late(now, name, &view, random_unit)
    }

    /// Tells whether the sums of other hosts are newer than the queue here, so that they also have
    /// what began to wait elsewhere at the same time.
    fn has_sums_of_waiting(&self, now: Millis, name: &Name, view: &View) -> bool {
        let since = self
            .by_organisation
            .get(name)
            .map(|line| line.waiting_since);
        let beyond = self.fresh_beyond(now);
        let is_newer = |as_of: Millis| since.is_some_and(|since| as_of >= since);
        view.standing.is_own || beyond.is_some_and(|beyond| is_newer(beyond.as_of))
    }

    /// Decides by this host's share, or by that of a relay, while the levels of all hosts are not
    /// known.
    fn step_by_share(&mut self, turn: &Turn<'_>, limiter: &mut Limiter, view: &View) -> usize {
        let Turn { now, name, .. } = *turn;
        let Some(line) = self.by_organisation.get_mut(name) else {
            return 0;
        };
        let entries = line.queue.in_order();
        let expired = entries
            .iter()
            .find(|(entry, _)| now >= unknown_until(&entry.request));
        let chosen = match (expired, entries.first()) {
            (Some((entry, _)), _) => Some((*entry, true)),
            (None, Some((first, _))) if line.may_draw(view, first) => Some((*first, false)),
            (None, _) => None,
        };
        let Some((entry, is_final)) = chosen else {
            return 0;
        };
        let outcome = self.draw(turn, limiter, &entry.request);
        // As for a share, what is left is used up by a draw that does not succeed.
        let spent = match outcome {
            Outcome::Began => entry.request.cost as f64,
            Outcome::Refused(_) => view.standing.left.max(0.0),
        };
        if let Some(line) = self.by_organisation.get_mut(name) {
            line.earned.credit = line.earned.credit.map(|credit| (credit - spent).max(0.0));
        }
        if outcome != Outcome::Began && !is_final {
            return 0;
        }
        self.decide(name, entry.id, outcome);
        1
    }

    /// Refuses the requests that are predicted to begin later than they may wait.
    fn refuse_late(&mut self, now: Millis, name: &Name, view: &View, random_unit: f64) -> usize {
        let Some(line) = self.by_organisation.get(name) else {
            return 0;
        };
        let mut late = Vec::new();
        let mut refused_before = 0.0;
        for (entry, mut place) in line.queue.in_order() {
            place.ahead_in_rank = (place.ahead_in_rank - refused_before).max(0.0);
            let wait_ms = view.wait_ms(now, &entry.request, &place, &line.earned);
            let leave_by = entry.request.leave_by;
            if now >= leave_by || now + wait_ms > leave_by + REFUSAL_SLACK_MS {
                late.push((entry.id, wait_ms));
                refused_before += entry.request.cost as f64;
            }
        }
        let scope = view.standing.scope;
        for (id, wait_ms) in &late {
            let refused = refused(*wait_ms, scope, random_unit);
            self.decide(name, *id, Outcome::Refused(refused));
        }
        late.len()
    }

    /// Tells whether the request `id` is the first of its queue, so that it is the one to call
    /// [`Self::step`] frequently.
    pub fn is_first(&self, name: &Name, id: u64) -> bool {
        let line = self.by_organisation.get(name);
        let first = line.and_then(|line| line.queue.first());
        first.is_some_and(|first| first.id == id)
    }

    /// Tells whether a queue is to be looked at: by its first request always, by another one if
    /// that was not done for some time.
    pub fn is_due(&self, now: Millis, name: &Name, id: u64) -> bool {
        let line = self.by_organisation.get(name);
        let is_late = |line: &Line| now.since(line.stepped_at) >= IDLE_CHECK_INTERVAL_MS;
        self.is_first(name, id) || line.is_some_and(is_late)
    }

    /// Returns when the request `id` is to look at its queue again.
    pub fn next_check_ms(&self, name: &Name, id: u64) -> Millis {
        match self.is_first(name, id) {
            true => CHECK_INTERVAL_MS,
            false => IDLE_CHECK_INTERVAL_MS,
        }
    }
}

/// What a request begins by.
enum Credit {
    /// The credit of the first request.
    InTurn,
    /// The credit of requests that have waited long.
    Aged,
}

impl Line {
    /// Returns the request that begins now, if any, and what it begins by.
    fn due(&self, view: &View, first: &Entry, aged: Option<&Entry>) -> Option<(Entry, Credit)> {
        if !view.standing.is_recent {
            return None;
        }
        let has_credit = |credit: f64, entry: &Entry| credit >= entry.request.cost as f64;
        let in_turn = self
            .earned
            .credit
            .is_some_and(|credit| has_credit(credit, first));
        if in_turn && view.free_for(first) > 0.0 || self.has_room_for_all(view, first) {
            return Some((*first, Credit::InTurn));
        }
        let aged = aged.filter(|aged| {
            self.earned
                .aged_credit
                .is_some_and(|credit| has_credit(credit, aged))
        });
        let aged = aged.filter(|_| view.standing.left > 0.0);
        aged.map(|aged| (*aged, Credit::Aged))
    }

    /// Tells whether there is room for all requests that wait at the rank of the first one at any
    /// host, so that all may begin at the same time.
    fn has_room_for_all(&self, view: &View, first: &Entry) -> bool {
        let rank = first.request.rank();
        let waiting = self.queue.cost_up_to(rank) + view.others.waiting_at(rank);
        self.earned.credit.is_some() && view.free_for(first) >= waiting
    }

    /// Adds to the credit of requests that have waited long: this host's part of what each rank
    /// gets at least.
    fn earn_aged(&mut self, since_s: f64, view: &View, aged: Option<&Entry>, random_unit: f64) {
        let Some(aged) = aged else {
            self.earned.aged_credit = None;
            return;
        };
        let cost = aged.request.cost as f64;
        let Some(credit) = self.earned.aged_credit else {
            self.earned.aged_credit = self.earned.credit.map(|_| random_unit * cost);
            return;
        };
        if view.standing.is_recent {
            let per_s = view.standing.refill.per_s * AGED_REFILL_FRACTION;
            let earned = per_s * self.share(view, aged) * since_s;
            self.earned.aged_credit = Some(add_credit(credit, earned, cost));
        }
    }

    /// Returns the part of the tokens that wait at the rank of a request which wait here.
    fn share(&self, view: &View, entry: &Entry) -> f64 {
        let rank = entry.request.rank();
        let own = self.queue.costs().filter(|(other, _)| *other == rank);
        let own = own.map(|(_, cost)| cost as f64).sum::<f64>().max(1.0);
        own / (own + view.others.waiting_at(rank))
    }

    /// Adds this host's part of the refill since the last call, while there is room for the rank of
    /// the first request. Credit begins at a random part of a request's cost, so that hosts whose
    /// requests began to wait at the same time do not release them at the same time.
    fn earn(&mut self, since_s: f64, view: &View, first: &Entry, has_sums: bool, random_unit: f64) {
        let cost = first.request.cost as f64;
        let Some(credit) = self.earned.credit else {
            self.earned.credit = has_sums.then_some(random_unit * cost);
            return;
        };
        let free = view.free_for(first);
        if free <= 0.0 || !view.standing.is_recent {
            return;
        }
        let per_s = view.standing.refill.per_s + free / SURPLUS_S;
        let earned = per_s * self.share(view, first) * since_s;
        self.earned.credit = Some(add_credit(credit, earned, cost));
    }

    /// Tells whether the first request is to be decided on by the share: a share of this host alone
    /// holds the request's cost, or as much as it can; of a share of several hosts this host has
    /// earned its part.
    fn may_draw(&self, view: &View, first: &Entry) -> bool {
        let standing = &view.standing;
        let enough = (first.request.cost as f64).min(standing.refill.burst * FULL_SHARE_FRACTION);
        match standing.is_own {
            true => standing.left > 0.0 && standing.left >= enough,
            false => {
                let has_credit = self.earned.credit.is_some_and(|credit| credit >= enough);
                standing.left > 0.0 && has_credit || self.has_room_for_all(view, first)
            }
        }
    }
}

/// Adds to a credit, of which one request's cost is kept. What was earned since the last look at the
/// queue comes on top, so that several small requests may begin at once.
fn add_credit(credit: f64, earned: f64, cost: f64) -> f64 {
    match earned > 0.0 {
        true => credit.min(cost) + earned,
        false => credit,
    }
}

impl View {
    /// Returns what a waiting request may use of the level: what is beyond the reserve and not
    /// awaited by more urgent requests at other hosts.
    fn free_for(&self, entry: &Entry) -> f64 {
        let before = self.others.waiting_before(entry.request.rank());
        self.surplus(entry.request.reserve_rank()) - before
    }

    /// Tells whether the rank of a request used less in the last second than it gets at least.
    fn is_starved(&self, entry: &Entry) -> bool {
        let used = self.used_at(entry.request.rank());
        used < self.standing.refill.per_s * MIN_REFILL_FRACTION
    }
}
