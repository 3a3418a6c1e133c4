//! One host's share of a service's retry budget.
//!
//! Handles sites of a thousand hosts with a few requests each in a window: there, one host's share
//! is a fraction of one retry. If every host rounded its share down, most of the budget would stay
//! unused, and all of it in a site of twice the size. Each process therefore adds a random offset
//! of its own before it rounds its share down.

use crate::prelude::*;
use std::collections::VecDeque;

/// Fraction of its share of the slack that a host uses: for a second, two hosts may count different
/// numbers of members.
const USABLE_FRACTION: f64 = 0.8;
/// Fraction of what its own requests earn that a host uses. The rest allows for retries that reach
/// their upstream later than they were counted.
const EARNED_FRACTION: f64 = 0.9;

/// Fraction of its share of the slack that a process may have used at the end of the first window
/// after its start: what the previous process of its host is sure to have left. Nothing is used in
/// the first half of that window, and then in proportion to the time, so that several restarts
/// within a window together use no more.
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

/// How a host divides the slack of the rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlackShare {
    /// The number of hosts that may use the budget; 0 counts as 1.
    pub hosts: usize,
    /// For how long this process has known the list of hosts.
    pub known_ms: Millis,
}

/// Counts the requests and retries of one service on one host.
///
/// The hosts together keep the rule without exchanging messages: a host's requests earn retries for
/// that host only, and the slack is divided by the number of hosts that may serve. A process that
/// has known these for less than a window uses a small fraction of its share, because the previous
/// process of its host may have used the rest. Otherwise a restart of all hosts would grant the slack
/// twice.
///
/// The rule holds in every window, and hosts do not know which one has the most retries of all of
/// them. So the budget holds in each window that begins with a retry of this host, and counts the
/// requests of that window and of the one before it in equal parts: however requests are spread,
/// no more than the hosts together had in the fuller one of the two.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    rule: BudgetRule,
    /// Added to the share before it is rounded down, in [0, 1).
    rounding: f64,
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
}

impl RetryBudget {
    /// Creates the unused budget of a process. `rounding` is a random number in [0, 1), drawn once,
    /// so that the rounded shares of all hosts add up to the sum of their shares.
    pub fn new(rule: BudgetRule, rounding: f64) -> Self {
        Self {
            rule,
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

    /// Takes one retry from the budget; returns false when it is used up. Without a share, only
    /// requests earn retries.
    pub fn try_take(&mut self, now: Millis, share: Option<SlackShare>) -> bool {
        let is_allowed = self.has_retry(now, share);
        if is_allowed {
            self.retries.push_back(now);
        }
        is_allowed
    }

    /// Tells whether a retry could be taken now.
    pub fn has_retry(&mut self, now: Millis, share: Option<SlackShare>) -> bool {
        self.remove_expired(now);
        let slack = share.map_or(0.0, |share| self.usable_slack(share));
        let window_starts = self.retries.iter().chain([&now]).enumerate();
        window_starts.into_iter().all(|(nth, start)| {
            let taken = (self.retries.len() + 1 - nth) as f64;
            taken <= slack + EARNED_FRACTION * self.earned(*start, now)
        })
    }

    /// Returns the retries that requests have earned by now in the window from `start`.
    fn earned(&self, start: Millis, now: Millis) -> f64 {
        let in_window = self.requests_until(now) - self.requests_before(start);
        let before =
            self.requests_before(start) - self.requests_before(start - self.rule.window_ms);
        self.rule.ratio * (in_window + before) as f64 / 2.0
    }

    fn requests_before(&self, end: Millis) -> usize {
        self.requests.partition_point(|at| *at < end)
    }

    fn requests_until(&self, end: Millis) -> usize {
        self.requests.partition_point(|at| *at <= end)
    }

    /// Returns how much of the slack this host may use in a window.
    fn usable_slack(&self, share: SlackShare) -> f64 {
        let SlackShare { hosts, known_ms } = share;
        let full = self.rule.slack / hosts.max(1) as f64;
        let half_window_ms = Millis(self.rule.window_ms.0 / 2);
        match known_ms >= self.rule.window_ms {
            true if self.rounds_randomly(hosts) => full * USABLE_FRACTION + self.rounding,
            true => full * USABLE_FRACTION,
            false => {
                let elapsed_ms = known_ms - half_window_ms;
                full * STARTUP_FRACTION * elapsed_ms.0 as f64 / half_window_ms.0.max(1) as f64
            }
        }
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
        let oldest_retry = now - self.rule.window_ms;
        let oldest_request = oldest_retry - self.rule.window_ms;
        for (times, oldest) in [
            (&mut self.requests, oldest_request),
            (&mut self.retries, oldest_retry),
        ] {
            while times.front().is_some_and(|at| *at < oldest) {
                times.pop_front();
            }
        }
    }
}
