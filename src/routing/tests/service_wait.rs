//! Tests of the predicted time at upstreams of plain services, and of the draw among them.

mod model;

use self::model::{Choice, Conditions, late_percent};
use super::pick::engines;
use crate::prelude::*;
use crate::routing::pick;
use crate::routing::service_wait::{Candidate, Draw, ServiceLoad, Statement, choose};
use crate::upstreams::StatedLoad;

fn statement(running: u32, waiting: u32, pace_percent: Option<u32>, age_ms: u64) -> Statement {
    Statement {
        load: StatedLoad {
            running,
            waiting,
            slots: 6,
            pace_percent,
        },
        age_ms: Millis(age_ms),
        begun_since: 0,
    }
}

fn predicted_time(own: u32, statement: Option<Statement>) -> f64 {
    let load = ServiceLoad {
        slots: 6,
        own,
        statement,
    };
    load.predicted_time()
}

/// Guards against choosing by a statement long after it was true.
#[test]
fn an_old_statement_falls_back_to_own_requests_and_the_usual_pace() {
    let own = predicted_time(2, None);
    let stated = |age_ms| predicted_time(2, Some(statement(6, 12, Some(250), age_ms)));
    assert!(stated(0) > stated(200) && stated(200) > stated(400) && stated(400) > own);
    assert_eq!(stated(1_000), own);
    assert_eq!(stated(u64::MAX), own);
}

/// Guards against trusting a statement that is lower than what this host has in flight there, and
/// against forgetting the requests that it sent since.
#[test]
fn the_larger_load_counts_and_own_requests_are_added() {
    let idle = statement(0, 0, Some(100), 0);
    assert_eq!(predicted_time(12, Some(idle)), predicted_time(12, None));
    let later = Statement {
        begun_since: 9,
        ..idle
    };
    assert_eq!(predicted_time(0, Some(later)), predicted_time(9, None));
}

/// Guards against sending requests to a slow machine while one of the usual pace is less loaded for
/// its pace, and to any machine with a long queue.
#[test]
fn pace_and_queue_decide_between_upstreams() {
    let slow = |running| predicted_time(0, Some(statement(running, 0, Some(250), 0)));
    let usual = |running, waiting| predicted_time(0, Some(statement(running, waiting, None, 0)));
    assert!(usual(5, 0) < slow(2));
    assert!(usual(6, 9) > slow(2));
    assert!(predicted_time(0, None) < usual(1, 0));
}

/// Guards against a herd of hosts with the same statements, and against a worse choice than today's
/// where nothing is shared.
#[test]
fn the_best_is_taken_only_if_no_statement_is_shared() {
    let drawn = |ages_ms: &[u64]| {
        let statements = ages_ms.iter();
        Draw::suited_to(statements.map(|age_ms| Some(statement(1, 0, Some(100), *age_ms))))
    };
    assert_eq!(drawn(&[0, 5, 5]), Draw::Best);
    assert_eq!(drawn(&[1_000, 4, 60_000]), Draw::Best);
    assert_eq!(drawn(&[0, 6, 0]), Draw::BetterOfTwo);
    assert_eq!(Draw::suited_to([None, None].into_iter()), Draw::Best);
}

/// Guards against a draw that leaves an upstream without requests, takes the worse of the drawn
/// ones, or fails where there are few.
#[test]
fn better_of_two_spreads_by_slots_and_never_takes_the_worst() {
    let mut random = fastrand::Rng::with_seed(5);
    let costs = [(6, 1.0), (6, 1.0), (12, 1.0), (6, 9.0)];
    let candidates = costs.map(|(slots, cost)| Candidate { slots, cost });
    let mut counts = [0; 4];
    for _ in 0..4_000 {
        let chosen = choose(&candidates, Draw::BetterOfTwo, &mut random).expect("a candidate");
        counts[chosen] += 1;
    }
    assert_eq!(counts[3], 0);
    assert!(
        counts[0] > 800 && counts[1] > 800 && counts[2] > 1_400,
        "{counts:?}"
    );
    let no_slots = [Candidate {
        slots: 0,
        cost: f64::NAN,
    }; 3];
    assert!(choose(&no_slots, Draw::BetterOfTwo, &mut random).is_some());
    assert_eq!(choose(&[], Draw::BetterOfTwo, &mut random), None);
}

/// Guards against a choice that makes more requests late than the count of own requests does, from
/// herds of hosts with the same information or from statements that mislead.
#[test]
fn fewer_requests_are_late_during_slow_spells_and_hardly_more_otherwise() {
    for hosts in [9, 73, 985] {
        for has_slow_spells in [false, true] {
            let choices = [Choice::OwnCount, Choice::Predicted(Draw::BetterOfTwo)];
            let [own, predicted] = choices.map(|choice| {
                let conditions = Conditions {
                    hosts,
                    load_percent: 70,
                    has_slow_spells,
                    choice,
                };
                (1..=4)
                    .map(|seed| late_percent(conditions, seed))
                    .sum::<f64>()
                    / 4.0
            });
            let most = match has_slow_spells {
                false => own + 1.0,
                true => own * 0.9,
            };
            assert!(predicted <= most, "{hosts} hosts: {predicted} and {own}");
        }
    }
}

/// Returns which of three upstreams is chosen in 60 draws: this host has a request at `u0`, and
/// `u1` has stated a long queue with this pace, `age_ms` ago.
fn chosen_ids(pace_percent: Option<u32>, age_ms: u64) -> IndexSet<Name> {
    let now = Millis(20_000);
    let mut registry = engines(3);
    let lifetime = |id: &str| registry.get(id).expect("it is listed").lifetime();
    let (busy, queued) = (lifetime("e0"), lifetime("e1"));
    registry.begin_request(&busy, 0);
    let load = StatedLoad {
        running: 24,
        waiting: 90,
        slots: 24,
        pace_percent,
    };
    registry.note_stated_load(now - Millis(age_ms), &queued, load);
    let mut random = fastrand::Rng::with_seed(3);
    let chosen = (0..60).map(|_| {
        let upstream = pick::service(now, registry.iter(), "here", &mut random);
        upstream.expect("one is chosen").entry.id.clone()
    });
    chosen.collect()
}

/// Guards against another choice than before where no upstream states its pace, or stated it long
/// ago, and against requests to an upstream with a stated queue.
#[test]
fn statements_decide_only_where_a_pace_was_stated_recently() {
    let names =
        |names: &[&str]| -> IndexSet<Name> { names.iter().map(|name| (*name).into()).collect() };
    assert_eq!(chosen_ids(None, 10), names(&["e1", "e2"]));
    assert_eq!(chosen_ids(Some(100), 10_000), names(&["e1", "e2"]));
    assert_eq!(chosen_ids(Some(100), 10), names(&["e2", "e0"]));
    assert_eq!(chosen_ids(Some(100), 0), names(&["e2"]));
}
