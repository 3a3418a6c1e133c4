//! One host's share of a service's retry budget.
//!
//! Handles sites of a thousand hosts with a few requests each in a window: there, one host's share
//! is a fraction of one retry. If every host rounded its share down, most of the budget would stay
//! unused, and all of it in a site of twice the size. Each process therefore adds a random offset
//! of its own before it rounds its share down.

use crate::prelude::*;
use std::collections::VecDeque;

/// Fraction of its share that a host uses: for a second, two hosts may count different numbers of
/// members.
const USABLE_FRACTION: f64 = 0.8;

/// Fraction of its share of the slack that a process uses in the first window after its start: what
/// the previous process of its host is sure to have left. Each further restart of a host within a
/// window may exceed the host's share by this fraction.
const STARTUP_FRACTION: f64 = 1.0 - USABLE_FRACTION;

/// Safety margin for the sum of the randomly rounded shares, in standard deviations.
const MARGIN_DEVIATIONS: f64 = 5.0;

/// The rule that holds over all hosts together: in any window, there are at most `ratio` times as
/// many retries as requests in that window, plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct BudgetRule {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Retries allowed in a window in addition.
    pub slack: f64,
    /// Length of the window.
    pub window_ms: Millis,
}

/// Counts the requests and retries of one service on one host.
///
/// The hosts together keep the rule without exchanging messages: a host's requests earn retries for
/// that host only, and the slack is divided by the number of known members. A process that started
/// less than a window ago uses a small fraction of its share, because the previous process of its
/// host may have used the rest. Otherwise a restart of all hosts would grant the slack twice.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    rule: BudgetRule,
    full_share_from: Millis,
    /// Added to the share before it is rounded down, in [0, 1).
    rounding: f64,
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
}

impl RetryBudget {
    /// Creates the unused budget of a process that started at `started_at`. `rounding` is a random
    /// number in [0, 1), drawn once, so that the rounded shares of all hosts add up to the sum of
    /// their shares.
    pub fn new(rule: BudgetRule, started_at: Millis, rounding: f64) -> Self {
        Self {
            rule,
            full_share_from: started_at + rule.window_ms,
            rounding,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Counts a request.
    pub fn note_request(&mut self, now: Millis) {
        self.remove_expired(now);
        self.requests.push_back(now);
    }

    /// Takes one retry from the budget; returns false when the share is used up. `members` is the
    /// number of hosts that use the budget; 0 counts as 1.
    pub fn try_take(&mut self, now: Millis, members: usize) -> bool {
        self.remove_expired(now);
        let share = self.rule.slack / members.max(1) as f64;
        let slack_fraction = match now >= self.full_share_from {
            true => USABLE_FRACTION,
            false => STARTUP_FRACTION,
        };
        let earned = self.rule.ratio * self.requests.len() as f64;
        let allowed = share * slack_fraction + earned * USABLE_FRACTION;
        let rounding = match now >= self.full_share_from && self.rounds_randomly(members) {
            true => self.rounding,
            false => 0.0,
        };
        let is_allowed = ((self.retries.len() + 1) as f64) <= allowed + rounding;
        if is_allowed {
            self.retries.push_back(now);
        }
        is_allowed
    }

    /// Returns whether shares are rounded at random: they must be small, and the sum of the rounded
    /// shares must exceed the sum of the shares by less than what is left unused, with a margin of
    /// [`MARGIN_DEVIATIONS`].
    fn rounds_randomly(&self, members: usize) -> bool {
        let members = members.max(1) as f64;
        let slack = self.rule.slack;
        let is_small = slack * USABLE_FRACTION < members;
        // The standard deviation of one rounding is at most half a retry.
        let deviation = 0.5 * members.sqrt();
        is_small && deviation * MARGIN_DEVIATIONS <= slack * (1.0 - USABLE_FRACTION)
    }

    fn remove_expired(&mut self, now: Millis) {
        let oldest = now - self.rule.window_ms;
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| *at < oldest) {
                times.pop_front();
            }
        }
    }
}
