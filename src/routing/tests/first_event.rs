//! Tests of the predicted first event, and of when a stream leaves an engine that does not answer.

use crate::prelude::*;
use crate::routing::answer_wait::AwaitedAnswer;
use crate::routing::first_event::{EngineBacklog, ReadingRatio};

const SENT_AT: Millis = Millis(10_000);

fn awaited(predicted_ms: u64) -> AwaitedAnswer {
    AwaitedAnswer {
        sent_at: SENT_AT,
        predicted_ms: Millis(predicted_ms),
        caller_leaves_at: SENT_AT + Millis(6_000),
    }
}

/// Guards against leaving an engine that reads the prompts ahead of a request, and against waiting
/// for one that is gone.
#[test]
fn engine_counts_as_silent_a_second_after_the_predicted_first_event() {
    let awaited = awaited(800);
    let at = |ms| SENT_AT + Millis(ms);
    assert!(!awaited.is_silent(at(1_799), None));
    assert!(awaited.is_silent(at(1_800), None));
    // What came before the request says nothing about the engine now.
    assert!(awaited.is_silent(at(1_800), Some(SENT_AT - Millis(5))));
    assert!(!awaited.is_silent(at(2_500), Some(at(1_000))));
    assert!(awaited.is_silent(at(2_800), Some(at(1_000))));
}

/// Guards against a second send to an engine that is as overloaded as the first one.
#[test]
fn stream_moves_only_to_an_engine_that_is_clearly_faster() {
    let waits = awaited(1_000);
    let moves =
        |now_ms, other_ms| waits.is_clearly_faster(SENT_AT + Millis(now_ms), Millis(other_ms));
    assert!(moves(0, 500), "half of what is left");
    assert!(!moves(0, 501));
    assert!(!moves(800, 20), "too little to gain");
    assert!(!moves(2_000, 600));
    assert!(moves(2_000, 400), "the answer is overdue by a second");
    assert!(!moves(5_900, 200), "the caller leaves before");
}

/// Guards against a wrong sum of the waits: every part of the backlog counts once, and all of them
/// at the engine's speed.
#[test]
fn prediction_adds_up_the_backlog_at_the_speed_of_the_engine() {
    let backlog = EngineBacklog {
        slot_wait_ms: 100.0,
        memory_wait_ms: 50.0,
        waiting_tokens: 38_000,
        slowness: 2.0,
    };
    assert_eq!(backlog.start_wait_ms(), Millis(2 * 150));
    assert_eq!(backlog.first_event_ms(3_800.0, 1.0), Millis(2 * 1_270));
    let unknown = EngineBacklog::default();
    assert_eq!(unknown.start_wait_ms(), Millis::ZERO);
    assert_eq!(unknown.first_event_ms(0.0, 1.0), Millis(20));
}

/// Guards against a prediction that overflows, is negative or no number after absurd reports.
#[test]
fn prediction_is_bounded_for_absurd_numbers() {
    for absurd in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1e300, 1e300] {
        for waiting_tokens in [0, u64::MAX] {
            let backlog = EngineBacklog {
                slot_wait_ms: absurd,
                memory_wait_ms: absurd,
                waiting_tokens,
                slowness: absurd,
            };
            assert!(backlog.start_wait_ms() <= Millis(600_000));
            assert!(backlog.first_event_ms(absurd, 8.0) <= Millis(600_000));
        }
    }
}

/// Returns the factor after 25 answers of engines that take `ratio` times the predicted time, at a
/// host that has learned `learned` before.
fn factor_after_25(learned: f64, ratio: f64) -> f64 {
    let mut rate = ReadingRatio::default();
    let observed_ms = |ratio: f64| Millis((1_000.0 * ratio) as u64);
    let mut now = Millis(1_000);
    for (count, ratio) in [(200, learned), (25, ratio)] {
        for _ in 0..count {
            now += Millis(200);
            rate.note(now, Millis(1_000), observed_ms(ratio));
        }
    }
    rate.factor(now)
}

/// Guards against a learned rate that stays wrong after the engines' speed has changed.
#[test]
fn wrong_reading_rate_recovers_within_25_answers() {
    for (learned, ratio) in [(1.0, 4.0), (1.0, 0.3), (8.0, 1.0), (0.25, 1.0), (0.25, 8.0)] {
        let factor = factor_after_25(learned, ratio);
        let error = factor / ratio;
        assert!((0.8..=1.25).contains(&error), "{learned} {ratio}: {factor}");
    }
}

/// Guards against a host that refuses every request for ever, after slow answers, because it gets no
/// further answers to learn from.
#[test]
fn reading_rate_returns_to_the_prior_without_answers() {
    let mut rate = ReadingRatio::default();
    let now = Millis(1_000);
    (0..100).for_each(|_| rate.note(now, Millis(10), Millis::NEVER));
    assert!(rate.factor(now) > 7.9);
    assert!(rate.factor(now + Millis(60_000)) < 1.1);
    (0..100).for_each(|_| rate.note(now, Millis::ZERO, Millis::ZERO));
    assert!((0.25..0.26).contains(&rate.factor(now)));
}
