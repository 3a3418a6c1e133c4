//! Each checker finds its fault in a bad history, and nothing in a good one.

use mangovale_bench::arrivals::{CallKind, Phase};
use mangovale_bench::check::{
    Disturbance, EnginePeaks, RunCounts, Violation, check_answers, check_ends, check_engines,
    check_runs,
};
use mangovale_bench::history::{End, HistoryLine, Try};
use std::collections::HashMap;

const HOST: &str = "127.0.0.1:1";
const MARGIN_MS: u64 = 100;

fn answered() -> End {
    End::Answered {
        status: 200,
        own: true,
    }
}

fn not_run() -> End {
    End::Refused {
        kind: "cut_off".to_string(),
        not_run: true,
    }
}

fn broken() -> End {
    End::Broken {
        why: "closed".to_string(),
    }
}

fn line(end: End) -> HistoryLine {
    HistoryLine {
        request: 0,
        asked_ms: 1_000,
        phase: Phase::Background,
        brand: "north".to_string(),
        target: "booking".to_string(),
        call: CallKind::ServiceWrite,
        operation: Some("book-0".to_string()),
        deadline_ms: 500,
        tries: vec![Try {
            host: HOST.to_string(),
            began_ms: 1_000,
            end: end.clone(),
        }],
        end,
        first_byte_ms: None,
        ended_ms: 1_200,
    }
}

fn disturbance(from_ms: u64, until_ms: u64) -> Disturbance {
    Disturbance {
        host: HOST.to_string(),
        from_ms,
        until_ms,
    }
}

fn runs(count: u64) -> RunCounts {
    let runs = match count {
        0 => Vec::new(),
        count => vec![("book-0".to_string(), count)],
    };
    RunCounts {
        runs: runs.into_iter().collect(),
    }
}

fn ends(lines: &[HistoryLine], disturbances: &[Disturbance]) -> Vec<Violation> {
    check_ends(lines, 1, MARGIN_MS, disturbances)
}

#[test]
fn a_good_history_has_no_violation() {
    let history = [line(answered())];
    assert_eq!(ends(&history, &[]), []);
    assert_eq!(check_answers(&history), []);
    assert_eq!(check_runs(&history, &runs(1)), []);
}

#[test]
fn a_request_has_exactly_one_end() {
    let request = 0;
    assert_eq!(ends(&[], &[]), [Violation::MissingEnd { request }]);
    let twice = [line(answered()), line(answered())];
    assert_eq!(ends(&twice, &[]), [Violation::SecondEnd { request }]);
    let none = [line(End::NoEnd)];
    assert_eq!(ends(&none, &[]), [Violation::NoEnd { request }]);
}

#[test]
fn an_end_comes_before_the_deadline_and_the_margin() {
    let mut late = line(answered());
    late.ended_ms = 1_000 + 500 + MARGIN_MS;
    assert_eq!(ends(&[late.clone()], &[]), []);
    late.ended_ms += 1;
    let late_ms = MARGIN_MS + 1;
    let found = ends(&[late], &[]);
    assert_eq!(
        found,
        [Violation::LateEnd {
            request: 0,
            late_ms
        }]
    );
}

#[test]
fn only_a_disturbance_of_the_tried_host_at_the_time_explains_a_broken_answer() {
    let history = [line(broken())];
    let found = [Violation::BrokenAnswer {
        request: 0,
        why: "closed".to_string(),
    }];
    assert_eq!(ends(&history, &[]), found);
    assert_eq!(ends(&history, &[disturbance(1_300, 1_400)]), found);
    assert_eq!(ends(&history, &[disturbance(500, 900)]), found);
    let mut elsewhere = disturbance(1_100, 1_400);
    elsewhere.host = "127.0.0.1:2".to_string();
    assert_eq!(ends(&history, &[elsewhere]), found);
    assert_eq!(ends(&history, &[disturbance(1_100, 1_400)]), []);
}

#[test]
fn an_answer_is_the_callers_own() {
    let foreign = line(End::Answered {
        status: 200,
        own: false,
    });
    let found = [Violation::ForeignAnswer { request: 0 }];
    assert_eq!(check_answers(&[foreign]), found);
}

#[test]
fn an_operation_runs_at_most_once() {
    let found = [Violation::RanTwice {
        operation: "book-0".to_string(),
        runs: 2,
    }];
    assert_eq!(check_runs(&[line(answered())], &runs(2)), found);
}

#[test]
fn nothing_runs_after_not_run_was_said() {
    let operation = "book-0".to_string();
    let found = [Violation::RanAfterNotRun { operation }];
    assert_eq!(check_runs(&[line(not_run())], &runs(1)), found);
    assert_eq!(check_runs(&[line(not_run())], &runs(0)), []);
    let mut unknown_first = line(not_run());
    unknown_first.tries[0].end = broken();
    assert_eq!(check_runs(&[unknown_first], &runs(1)), []);
}

#[test]
fn an_answered_operation_ran() {
    let operation = "book-0".to_string();
    let found = [Violation::AnsweredWithoutRun { operation }];
    assert_eq!(check_runs(&[line(answered())], &runs(0)), found);
}

#[test]
fn engines_hold_what_was_decided_and_what_fits() {
    let decided = HashMap::from([("review".to_string(), 1)]);
    let peaks = |copies, overcommitted| EnginePeaks {
        overcommitted,
        peak_copies: [("review@1".to_string(), copies)].into_iter().collect(),
    };
    assert_eq!(check_engines(&[peaks(1, false)], &decided), []);
    let found = [
        Violation::Overcommitted { engine: 0 },
        Violation::TooManyCopies {
            engine: 0,
            model: "review@1".to_string(),
            copies: 2,
        },
    ];
    assert_eq!(check_engines(&[peaks(2, true)], &decided), found);
    let unknown = check_engines(&[peaks(1, false)], &HashMap::new());
    assert_eq!(unknown.len(), 1);
}
