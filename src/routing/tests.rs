//! Tests of first-byte timeouts and of the schedule of engine reports.

mod answer_durations;
mod first_event;
mod pick;
mod pick_slowness;
mod service_wait;

use crate::membership::message::{UpstreamEntry, UpstreamRole};
use crate::prelude::*;
use crate::routing::first_byte::{FirstByteTimes, MAX_SAMPLES, MAX_TIMEOUT_MS, MIN_TIMEOUT_MS};
use crate::routing::upstreams::{MAX_REPORT_REQUESTS, REPORT_INTERVAL_MS, Routing};

fn timeout_after(times_ms: impl Iterator<Item = u64>) -> Millis {
    let mut times = FirstByteTimes::default();
    times_ms.for_each(|time_ms| times.note(Millis(time_ms)));
    times.timeout_ms()
}

#[test]
fn first_byte_timeout_follows_slow_answers_within_limits() {
    assert_eq!(timeout_after(std::iter::empty()), MAX_TIMEOUT_MS);
    assert_eq!(timeout_after([5; 10].into_iter()), MIN_TIMEOUT_MS);
    assert_eq!(timeout_after([500; 10].into_iter()), Millis(2_000));
    assert_eq!(timeout_after([60_000; 10].into_iter()), MAX_TIMEOUT_MS);
}

#[test]
fn one_slow_answer_does_not_set_the_timeout_and_old_answers_are_dropped() {
    let one_slow = [500, 500, 9_000].into_iter();
    assert_eq!(timeout_after(one_slow), Millis(2_000));
    let old_slow = [9_000; 5].into_iter().chain([500; MAX_SAMPLES]);
    assert_eq!(timeout_after(old_slow), Millis(2_000));
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
fn report_request_rate_is_independent_of_engine_count_and_reaches_all_engines() {
    let engines = engines(10 * MAX_REPORT_REQUESTS);
    let mut routing = Routing::default();
    let mut now = Millis(1_000_000);
    let mut asked = IndexSet::new();
    for _ in 0..10 {
        now += REPORT_INTERVAL_MS;
        let due = routing.due_reports(now, engines.iter());
        assert_eq!(due.len(), MAX_REPORT_REQUESTS);
        for engine in due {
            routing.view_mut(&engine.name).report_asked_at = now;
            asked.insert(engine.name.clone());
        }
        assert!(routing.due_reports(now, engines.iter()).is_empty());
    }
    assert_eq!(asked.len(), engines.len());
}

#[test]
fn engine_in_use_is_asked_for_a_report_in_each_interval() {
    let engines = engines(10 * MAX_REPORT_REQUESTS);
    let mut routing = Routing::default();
    let in_use = engines[7].name.clone();
    routing.view_mut(&in_use).in_flight = 1;
    let mut now = Millis(1_000_000);
    for _ in 0..10 {
        now += REPORT_INTERVAL_MS;
        let due = routing.due_reports(now, engines.iter());
        assert!(due.iter().any(|engine| engine.name == in_use));
        for engine in due {
            routing.view_mut(&engine.name).report_asked_at = now;
        }
    }
}
