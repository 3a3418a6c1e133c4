//! Tests of first-byte timeouts and of the schedule of engine reports.

mod pick;

use crate::membership::message::{UpstreamEntry, UpstreamRole};
use crate::prelude::*;
use crate::routing::first_byte::{FirstByteTimes, GREATEST_BOUND_MS, LEAST_BOUND_MS, MAX_SAMPLES};
use crate::routing::upstreams::{MAX_REPORT_ASKS, REPORT_INTERVAL_MS, Routing};

fn learned(times_ms: impl Iterator<Item = u64>) -> Millis {
    let mut times = FirstByteTimes::default();
    times_ms.for_each(|time_ms| times.note(Millis(time_ms)));
    times.bound_ms()
}

#[test]
fn the_first_byte_bound_follows_slow_answers_within_limits() {
    assert_eq!(learned(std::iter::empty()), GREATEST_BOUND_MS);
    assert_eq!(learned([5; 10].into_iter()), LEAST_BOUND_MS);
    assert_eq!(learned([500; 10].into_iter()), Millis(2_000));
    assert_eq!(learned([60_000; 10].into_iter()), GREATEST_BOUND_MS);
}

#[test]
fn one_slow_answer_does_not_set_the_bound_and_old_ones_are_forgotten() {
    let one_slow = [500, 500, 9_000].into_iter();
    assert_eq!(learned(one_slow), Millis(2_000));
    let old_slow = [9_000; 5].into_iter().chain([500; MAX_SAMPLES]);
    assert_eq!(learned(old_slow), Millis(2_000));
}

fn engines(count: usize) -> Vec<UpstreamEntry> {
    let engine = |number: usize| UpstreamEntry {
        name: format!("engine-{number}").into(),
        role: UpstreamRole::Engine,
        address: ([127, 0, 0, 1], 9_000).into(),
        data_centre: "otaru".into(),
        memory_bytes: 1,
        slots: 1,
        checks_fencing: true,
        leaving: false,
    };
    (0..count).map(engine).collect()
}

#[test]
fn reports_are_asked_for_at_the_same_rate_however_many_engines_there_are_and_from_all() {
    let engines = engines(10 * MAX_REPORT_ASKS);
    let mut routing = Routing::default();
    let mut now = Millis(1_000_000);
    let mut asked = IndexSet::new();
    for _ in 0..10 {
        now += REPORT_INTERVAL_MS;
        let due = routing.due_reports(now, engines.iter());
        assert_eq!(due.len(), MAX_REPORT_ASKS);
        for engine in due {
            routing.view(&engine.name).report_asked_at = now;
            asked.insert(engine.name.clone());
        }
        assert!(routing.due_reports(now, engines.iter()).is_empty());
    }
    assert_eq!(asked.len(), engines.len());
}

#[test]
fn an_engine_in_use_is_asked_in_each_interval() {
    let engines = engines(10 * MAX_REPORT_ASKS);
    let mut routing = Routing::default();
    let in_use = engines[7].name.clone();
    routing.view(&in_use).in_flight = 1;
    let mut now = Millis(1_000_000);
    for _ in 0..10 {
        now += REPORT_INTERVAL_MS;
        let due = routing.due_reports(now, engines.iter());
        assert!(due.iter().any(|engine| engine.name == in_use));
        for engine in due {
            routing.view(&engine.name).report_asked_at = now;
        }
    }
}
