//! Tests of routing.

use crate::prelude::*;
use crate::routing::first_byte::{FirstByteTimes, GREATEST_BOUND_MS, LEAST_BOUND_MS, MAX_SAMPLES};

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
