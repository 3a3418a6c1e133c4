//! Tests of upstreams that state a limit on requests per second, on one host and on simulated sites
//! that get far more requests while hosts are disconnected or restarted, or while there is no
//! orderer.
//!
//! The upstream is overloaded and takes as little as one request per second from dozens of hosts,
//! each of which has several requests for it.

use super::model::{Model, START};
use crate::prelude::*;
use crate::rate_limit::limiter::{Coverage, Scope};
use crate::rate_limit::{StatedLimit, UpstreamLimits};

/// Hosts and number of seeds, for a small site and a large one.
const SITES: [(usize, u64); 2] = [(9, 20), (68, 6)];
/// Requests per second that the upstream takes.
const LIMITS: [f64; 3] = [1.0, 3.0, 20.0];
/// Demand as a multiple of the limit.
const OVERLOAD: f64 = 8.0;

fn check(simulate: impl Fn(&mut Model)) -> Vec<Model> {
    let mut models = Vec::new();
    for (hosts, seeds) in SITES {
        for (per_s, seed) in LIMITS
            .iter()
            .flat_map(|per_s| (0..seeds).map(move |seed| (per_s, seed)))
        {
            let mut model = Model::of_upstream(hosts, *per_s, seed);
            simulate(&mut model);
            model.check(&format!("{hosts} hosts, {per_s} a second, seed {seed}"));
            models.push(model);
        }
    }
    models
}

#[test]
fn upstream_gets_its_limit_and_little_more() {
    for model in check(|model| model.run(20_000, OVERLOAD)) {
        let share = model.admitted / (model.limit_per_s() * 20.0);
        assert!((0.5..1.5).contains(&share), "{share}");
    }
}

#[test]
fn rare_requests_to_an_upstream_with_a_limit_are_admitted() {
    for model in check(|model| model.run(30_000, 0.25)) {
        let refused = f64::from(model.refused) / f64::from(model.requests.max(1));
        assert!(refused < 0.3, "{refused}");
    }
}

#[test]
fn disconnected_hosts_keep_the_limit() {
    check(|model| {
        model.run(6_000, OVERLOAD);
        model.disconnect(3);
        model.run(8_000, OVERLOAD);
        model.reconnect();
        model.run(6_000, OVERLOAD);
    });
}

#[test]
fn limit_holds_without_an_orderer() {
    check(|model| {
        model.run(6_000, OVERLOAD);
        model.orderer = None;
        model.run(8_000, OVERLOAD);
        model.orderer = Some(3);
        model.run(6_000, OVERLOAD);
    });
}

#[test]
fn limit_holds_after_all_hosts_restart() {
    check(|model| {
        model.run(6_000, OVERLOAD);
        model.kill_all();
        model.run(5_000, OVERLOAD);
        model.orderer = Some(2);
        model.run(6_000, OVERLOAD);
    });
}

fn alone() -> UpstreamLimits {
    let mut limits = UpstreamLimits::new(START);
    limits.set_coverage(
        START,
        Coverage {
            scope: Scope::Site,
            reporting_hosts: 1,
            expected: 1,
            members: Some(1),
        },
    );
    limits
}

fn stated(per_s: Option<f64>, age_ms: u64) -> StatedLimit {
    StatedLimit {
        upstream: "u".into(),
        per_s,
        age_ms: Millis(age_ms),
    }
}

fn admitted(limits: &mut UpstreamLimits, now: Millis, count: usize) -> usize {
    let admit = |_: &usize| {
        let decision = limits.decide(now, &"u".into(), 0.5);
        decision.is_none_or(|decision| decision.admitted.is_ok())
    };
    (0..count).filter(admit).count()
}

#[test]
fn upstream_without_a_stated_limit_gets_every_request() {
    let mut limits = alone();
    assert!(!limits.note_answer(START, &"u".into(), None));
    assert_eq!(admitted(&mut limits, START, 100), 100);
}

#[test]
fn limit_ends_when_answers_state_none() {
    let mut limits = alone();
    let upstream: Name = "u".into();
    assert!(limits.note_answer(START, &upstream, Some(1.0)));
    assert!(admitted(&mut limits, START, 100) < 5);
    // This answer was in flight when the limit was stated.
    assert!(!limits.note_answer(START + Millis(100), &upstream, None));
    assert!(limits.note_answer(START + Millis(2_000), &upstream, None));
    assert_eq!(admitted(&mut limits, START + Millis(2_000), 100), 100);
}

#[test]
fn newest_statement_applies_whichever_host_received_it() {
    let mut limits = alone();
    let now = START + Millis(10_000);
    assert_eq!(
        limits.merge_stated(now, &[stated(Some(2.0), 1_000)]).len(),
        1
    );
    assert!(limits.merge_stated(now, &[stated(None, 2_000)]).is_empty());
    assert_eq!(limits.limit("u").map(|limit| limit.per_s), Some(2.0));
    assert_eq!(limits.merge_stated(now, &[stated(None, 500)]).len(), 1);
    assert!(limits.limit("u").is_none());
}

#[test]
fn limit_expires_when_it_is_no_longer_stated() {
    let mut limits = alone();
    limits.note_answer(START, &"u".into(), Some(1.0));
    let later = START + Millis(60_000);
    assert!(limits.report(later).stated.is_empty());
    assert!(limits.limit("u").is_none());
    assert!(
        limits
            .merge_stated(later, &[stated(Some(1.0), 60_000)])
            .is_empty()
    );
}

#[test]
fn number_of_limits_in_a_report_is_bounded() {
    let mut limits = alone();
    let statements: Vec<StatedLimit> = (0..10_000)
        .map(|n| StatedLimit {
            upstream: format!("{n}").into(),
            ..stated(Some(1.0), 0)
        })
        .collect();
    assert!(limits.merge_stated(START, &statements).len() <= 128);
    assert!(limits.report(START).stated.len() <= 128);
}

/// Guards against large messages when very many upstreams state limits.
#[test]
fn messages_of_many_limits_stay_small() {
    let mut limits = alone();
    let coverage = Coverage {
        scope: Scope::Group,
        reporting_hosts: 1,
        expected: 1,
        members: Some(1),
    };
    limits.set_coverage(START, coverage);
    for n in 0..1_000 {
        let upstream: Name = format!("i-{n:010}").into();
        limits.note_answer(START, &upstream, Some(1.0));
        for _ in 0..4 {
            limits.decide(START, &upstream, 0.0);
        }
    }
    let report = postcard::to_stdvec(&limits.report(START)).expect("the message serialises");
    let update = postcard::to_stdvec(&limits.build_update(START)).expect("the message serialises");
    println!("report {} B, update {} B", report.len(), update.len());
    assert!(report.len() <= 8_000 && update.len() <= 8_000);
}
