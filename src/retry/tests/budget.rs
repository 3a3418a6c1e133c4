//! Tests that the hosts together keep the rule, whatever requests each of them gets.

use crate::prelude::*;
use crate::retry::{BudgetRule, RetryBudget};

const RULE: BudgetRule = BudgetRule {
    ratio: 0.2,
    slack: 54.0,
    window_ms: Millis(10_000),
};

#[test]
fn hosts_together_stay_within_the_rule_in_every_window_and_over_restarts() {
    arbtest::arbtest(|u| {
        let hosts = usize::from(u.int_in_range(1..=12u8)?);
        let rounding = f64::from(u.int_in_range(0..=999u16)?) / 1_000.0;
        let mut budgets = vec![RetryBudget::new(RULE, Millis::ZERO, rounding); hosts];
        let mut started_at = vec![Millis::ZERO; hosts];
        let mut now = Millis(1_000_000);
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for _ in 0..u.int_in_range(0..=400u16)? {
            now += Millis(u.int_in_range(0..=200u64)?);
            let host = u.choose_index(hosts)?;
            // Each host restarts at most once in a window.
            if u.ratio(1, 20)? && now.since(started_at[host]) > RULE.window_ms {
                budgets[host] = RetryBudget::new(RULE, now, rounding);
                started_at[host] = now;
            }
            match u.arbitrary()? {
                true => {
                    budgets[host].note_request(now);
                    requests.push(now);
                }
                false if budgets[host].try_take(now, hosts) => retries.push(now),
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
    let mut budget = RetryBudget::new(RULE, Millis(0), 0.9);
    let at_first = (0..100).filter(|_| budget.try_take(Millis(0), 1)).count();
    assert_eq!(at_first, 10);
    let taken = (0..100)
        .filter(|_| budget.try_take(Millis(10_001), 1))
        .count();
    assert_eq!(taken, 43);
    assert!(!budget.try_take(Millis(20_001), 1));
    assert!(budget.try_take(Millis(20_002), 1));
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
            let mut budget = RetryBudget::new(rule, Millis::ZERO, random.f64());
            (0..requests_each).for_each(|_| budget.note_request(now));
            taken += (0..10).filter(|_| budget.try_take(now, hosts)).count();
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
    let mut budget = RetryBudget::new(RULE, Millis::ZERO, 0.99);
    assert!(!budget.try_take(Millis(100_000), hosts));
}
