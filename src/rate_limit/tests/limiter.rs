//! Tests of the decisions of one host: alone, as the orderer, and with levels from other hosts.

use super::model::{START, TOLERANCE};
use crate::desired::{LimitUnit, RateLimit, RateLimitTable};
use crate::prelude::*;
use crate::rate_limit::limiter::{Coverage, Limiter, Scope};

const LIMIT: RateLimit = RateLimit {
    unit: LimitUnit::Requests,
    per_s: 10.0,
    burst: 10.0,
};

fn table() -> RateLimitTable {
    [("o".into(), LIMIT)].into_iter().collect()
}

fn limiter_with(scope: Scope, reporting_hosts: usize, members: Option<usize>) -> Limiter {
    let mut limiter = Limiter::new(START, 0.0);
    let coverage = Coverage {
        scope,
        reporting_hosts,
        expected: reporting_hosts,
        members,
    };
    limiter.set_coverage(START, coverage, &table());
    limiter
}

fn admitted(limiter: &mut Limiter, now: Millis, count: usize) -> usize {
    let admit = |_: &usize| limiter.admit(now, &"o".into(), &LIMIT, 1, 0.5).is_ok();
    (0..count).filter(admit).count()
}

#[test]
fn host_without_a_member_count_admits_nothing() {
    let mut limiter = limiter_with(Scope::Group, 1, None);
    assert_eq!(admitted(&mut limiter, START + Millis(60_000), 100), 0);
}

#[test]
fn isolated_host_admits_its_share() {
    let mut limiter = limiter_with(Scope::Group, 1, Some(2));
    let mut all = 0;
    for ms in (2_000..22_000).step_by(10) {
        all += admitted(&mut limiter, START + Millis(ms), 1);
    }
    // Five a second for twenty seconds, plus the initial level of the bucket.
    assert!((90..=105).contains(&all), "{all}");
}

#[test]
fn orderer_admits_the_whole_limit_and_states_when_to_retry() {
    let mut limiter = limiter_with(Scope::Site, 68, Some(68));
    let now = START + Millis(60_000);
    assert_eq!(admitted(&mut limiter, now, 100), 7);
    let now = now + Millis(500);
    assert_eq!(admitted(&mut limiter, now, 100), 3);
    let refused = limiter
        .admit(now, &"o".into(), &LIMIT, 1, 0.0)
        .expect_err("the bucket is empty");
    let later = now + refused.retry_after_ms;
    assert_eq!(admitted(&mut limiter, later, 100), 1);
}

#[test]
fn retry_time_covers_a_restart_of_all_hosts_and_is_short_otherwise() {
    let mut limiter = limiter_with(Scope::Group, 1, Some(10_000));
    let mut refuse = |now| {
        limiter
            .admit(now, &"o".into(), &LIMIT, 1, 0.9)
            .expect_err("the share is far below one request")
    };
    let soon = refuse(START + Millis(200)).retry_after_ms;
    assert!(soon >= Millis(1_000), "{soon}");
    let later = refuse(START + Millis(20_000)).retry_after_ms;
    assert_eq!(later, Millis(100));
}

#[test]
fn share_of_silent_hosts_is_not_used() {
    let mut limiter = limiter_with(Scope::Site, 34, Some(68));
    assert_eq!(admitted(&mut limiter, START + Millis(60_000), 100), 4);
}

#[test]
fn cost_of_a_request_that_did_not_run_is_returned() {
    let mut limiter = limiter_with(Scope::Site, 68, Some(68));
    let now = START + Millis(60_000);
    assert_eq!(admitted(&mut limiter, now, 100), 7);
    limiter.refund(now, &"o".into(), &LIMIT, 1);
    assert_eq!(admitted(&mut limiter, now, 100), 1);
}

#[test]
fn use_is_reported_until_the_report_is_confirmed() {
    let mut host = limiter_with(Scope::Group, 1, Some(68));
    let mut orderer = limiter_with(Scope::Site, 68, Some(68));
    let now = START + Millis(60_000);
    host.apply_update(now, orderer.build_update(now, &table()));
    assert_eq!(admitted(&mut host, now, 3), 3);
    let lost = host.report(now);
    assert_eq!(host.report(now), lost);
    orderer.record_usage(now, &host.report(now), &table());
    host.confirm_report();
    assert!(host.report(now).is_empty());
    assert_eq!(admitted(&mut orderer, now, 100), 4);
}

#[test]
fn new_orderer_continues_from_the_levels_that_it_received() {
    let mut former = limiter_with(Scope::Site, 68, Some(68));
    let mut next = limiter_with(Scope::Group, 1, Some(68));
    let now = START + Millis(60_000);
    assert_eq!(admitted(&mut former, now, 100), 7);
    next.apply_update(now, former.build_update(now, &table()));
    let coverage = Coverage {
        scope: Scope::Site,
        reporting_hosts: 68,
        expected: 68,
        members: Some(68),
    };
    next.set_coverage(now, coverage, &table());
    assert_eq!(admitted(&mut next, now, 100), 0);
    assert_eq!(admitted(&mut next, now + Millis(1_000), 100), 7);
}

#[test]
fn limit_smaller_than_one_request_admits_one_after_a_pause() {
    let small = RateLimit {
        unit: LimitUnit::Tokens { uncounted: 200 },
        per_s: 1_000.0,
        burst: 1_000.0,
    };
    let mut limiter = Limiter::new(START, TOLERANCE);
    let coverage = Coverage {
        scope: Scope::Site,
        reporting_hosts: 1,
        expected: 1,
        members: Some(1),
    };
    limiter.set_coverage(START, coverage, &table());
    let now = START + Millis(120_000);
    let admit = |limiter: &mut Limiter, now| limiter.admit(now, &"o".into(), &small, 60_000, 0.0);
    assert!(admit(&mut limiter, now).is_ok());
    let refused = admit(&mut limiter, now).expect_err("the level of the bucket is negative");
    assert!(admit(&mut limiter, now + Millis(1_000)).is_err());
    assert_eq!(refused.retry_after_ms, Millis(10_000));
}
