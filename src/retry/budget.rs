//! One host's share of a service's retry budget.
//!
//! Answers the pattern of a thousand hosts with a few requests in a window each: a share is a fraction of one repeated send then,
//! and shares that are rounded down leave most of the budget unused, in a site of twice the size all of it. So each process rounds its
//! share at a point of its own.

use crate::prelude::*;
use std::collections::VecDeque;

/// The part of its share that a host uses: members may be counted differently at two hosts for a second.
const USED_PART: f64 = 0.8;

/// The part of its share of the slack that a process uses in the first window after its start: what the one before it on its
/// host left over. Several restarts of one host within a window may exceed its share by this part each.
const STARTING_PART: f64 = 1.0 - USED_PART;

/// How many standard deviations of the sum of rounded shares are kept free.
const DEVIATIONS: f64 = 5.0;

/// The rule that holds over all hosts: in any window, repeated sends stay under `ratio` times the requests of
/// that window plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetRule {
    /// Repeated sends for each request.
    pub ratio: f64,
    /// Repeated sends that are allowed besides.
    pub slack: f64,
    /// The window's length.
    pub window_ms: Millis,
}

/// Counts the requests and repeated sends of one service at one host.
///
/// The sum over hosts keeps the rule without messages: a host's own requests count only for itself, and
/// the slack is divided by the members known. A process that started less than a window ago uses a small part of its share:
/// the one before it on its host may have used the rest, and in a restart of all hosts the slack would count twice.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    rule: BudgetRule,
    slack_from: Millis,
    /// What is added to the share before it is rounded down, from 0 to below 1.
    rounding: f64,
    requests: VecDeque<Millis>,
    repeats: VecDeque<Millis>,
}

impl RetryBudget {
    /// Makes an unused budget of a process that started at a time. `rounding` is drawn from 0 to below 1 and stays, so that the
    /// rounded shares of all hosts are as much as their shares together.
    pub fn new(rule: BudgetRule, started_at: Millis, rounding: f64) -> Self {
        Self {
            rule,
            slack_from: started_at + rule.window_ms,
            rounding,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// Counts a request.
    pub fn note_request(&mut self, now: Millis) {
        self.forget_old(now);
        self.requests.push_back(now);
    }

    /// Takes one repeated send; false when the share is used up. `members` is the number of hosts that use
    /// the budget; 0 counts as 1.
    pub fn take(&mut self, now: Millis, members: usize) -> bool {
        self.forget_old(now);
        let share = self.rule.slack / members.max(1) as f64;
        let slack_part = match now >= self.slack_from {
            true => USED_PART,
            false => STARTING_PART,
        };
        let earned = self.rule.ratio * self.requests.len() as f64;
        let allowed = share * slack_part + earned * USED_PART;
        let rounding = match now >= self.slack_from && self.rounds(members) {
            true => self.rounding,
            false => 0.0,
        };
        let is_allowed = ((self.repeats.len() + 1) as f64) <= allowed + rounding;
        if is_allowed {
            self.repeats.push_back(now);
        }
        is_allowed
    }

    /// Tells whether shares are so small that they are rounded at random, and what the rounded ones may be more than the shares
    /// together, by chance, is less than what is left unused.
    fn rounds(&self, members: usize) -> bool {
        let members = members.max(1) as f64;
        let slack = self.rule.slack;
        let is_small = slack * USED_PART < members;
        // Each rounding deviates by half a send at most.
        let deviation = 0.5 * members.sqrt();
        is_small && deviation * DEVIATIONS <= slack * (1.0 - USED_PART)
    }

    fn forget_old(&mut self, now: Millis) {
        let oldest = now - self.rule.window_ms;
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|at| *at < oldest) {
                times.pop_front();
            }
        }
    }
}
