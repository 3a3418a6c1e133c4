//! What is learned from the durations of answers, and how much of it is kept.

use crate::desired::Repeat;
use crate::prelude::*;
use crate::routing::answer_durations::AnswerDurations;

#[test]
fn a_request_that_may_not_be_repeated_is_expected_to_take_as_long_as_the_slowest_of_the_last_answers()
 {
    let mut durations = AnswerDurations::default();
    let route: Name = "r".into();
    assert_eq!(durations.expected_ms("r", Repeat::Once), None);
    for took_ms in [900, 100, 200] {
        durations.note(&route, Millis(took_ms));
    }
    assert_eq!(durations.expected_ms("r", Repeat::Once), Some(Millis(900)));
    for repeat in [Repeat::Idempotent, Repeat::Resumable] {
        assert_eq!(durations.expected_ms("r", repeat), Some(Millis(200)));
    }
    for _ in 0..32 {
        durations.note(&route, Millis(50));
    }
    assert_eq!(durations.expected_ms("r", Repeat::Once), Some(Millis(50)));
}

// Guards against memory that grows with each route that ever was.
#[test]
fn the_routes_that_were_added_first_are_forgotten() {
    let mut durations = AnswerDurations::default();
    for number in 0..2_000 {
        durations.note(&format!("r{number}").into(), Millis(1));
    }
    assert_eq!(durations.expected_ms("r0", Repeat::Once), None);
    assert_eq!(
        durations.expected_ms("r1999", Repeat::Once),
        Some(Millis(1))
    );
}
