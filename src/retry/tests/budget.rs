//! Tests that the hosts together keep the rule, whatever requests each of them gets.

use crate::prelude::*;
use crate::retry::budget::SlackShare;
use crate::retry::{BudgetRule, RetryBudget};

const RULE: BudgetRule = BudgetRule {
    ratio: 0.2,
    slack: 54.0,
    window_ms: Millis(10_000),
};

/// Returns the share of a host that has known the others since `since`.
fn share(hosts: usize, since: Millis, now: Millis) -> Option<SlackShare> {
    Some(SlackShare {
        hosts,
        known_ms: now.since(since),
    })
}

#[test]
fn hosts_together_stay_within_the_rule_in_every_window_and_over_restarts() {
    arbtest::arbtest(|u| {
        let hosts = usize::from(u.int_in_range(1..=12u8)?);
        let rounding = f64::from(u.int_in_range(0..=999u16)?) / 1_000.0;
        let mut budgets = vec![RetryBudget::new(RULE, rounding); hosts];
        let mut started_at = vec![Millis::ZERO; hosts];
        let mut now = Millis(1_000_000);
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for _ in 0..u.int_in_range(0..=400u16)? {
            now += Millis(u.int_in_range(0..=200u64)?);
            let host = u.choose_index(hosts)?;
            // Each host restarts at most once in a window.
            if u.ratio(1, 20)? && now.since(started_at[host]) > RULE.window_ms {
                budgets[host] = RetryBudget::new(RULE, rounding);
                started_at[host] = now;
            }
            match u.arbitrary()? {
                true => {
                    budgets[host].note_request(now);
                    requests.push(now);
                }
                false if budgets[host].try_take(now, share(hosts, started_at[host], now)) => {
                    retries.push(now);
                }
                false => {}
            }
        }
        for end in &retries {
            let in_window = |at: &&Millis| **at <= *end && **at + RULE.window_ms >= *end;
            let requested = requests.iter().filter(in_window).count() as f64;
            let retried = retries.iter().filter(in_window).count() as f64;
            assert!(retried <= RULE.ratio * requested + RULE.slack);
        }
        Ok(())
    });
}

#[test]
fn budget_is_restored_after_its_window() {
    let mut budget = RetryBudget::new(RULE, 0.9);
    let mut take = |at| budget.try_take(at, share(1, Millis::ZERO, at));
    for (at, expected) in [(0, 0), (5_000, 0), (7_500, 5), (9_999, 5), (20_000, 43)] {
        let taken = (0..100).filter(|_| take(Millis(at))).count();
        assert_eq!(taken, expected, "at {at}");
    }
    assert!(!take(Millis(30_000)));
    assert!(take(Millis(30_001)));
}

/// Guards against an unused budget when each host's share is below one retry and is rounded down to
/// 0.
#[test]
fn hosts_of_a_large_site_use_most_of_the_budget_and_no_more() {
    let rule = BudgetRule {
        slack: 1_040.0,
        ..RULE
    };
    let mut random = fastrand::Rng::with_seed(7);
    for (hosts, requests_each) in [(985, 3), (2_000, 2), (4_000, 1)] {
        let now = Millis(100_000);
        let mut taken = 0;
        for _ in 0..hosts {
            let mut budget = RetryBudget::new(rule, random.f64());
            // As many in the window before.
            for at in [now - rule.window_ms, now] {
                (0..requests_each).for_each(|_| budget.note_request(at));
            }
            let share = share(hosts, Millis::ZERO, now);
            taken += (0..10).filter(|_| budget.try_take(now, share)).count();
        }
        let allowed = rule.ratio * f64::from(requests_each) * hosts as f64 + rule.slack;
        let part = taken as f64 / allowed;
        assert!(
            (0.7..0.9).contains(&part),
            "{taken} of {allowed} at {hosts} hosts"
        );
    }
}

#[test]
fn small_slack_is_not_rounded_at_random() {
    let hosts = 500;
    let mut budget = RetryBudget::new(RULE, 0.99);
    let now = Millis(100_000);
    assert!(!budget.try_take(now, share(hosts, Millis::ZERO, now)));
}
