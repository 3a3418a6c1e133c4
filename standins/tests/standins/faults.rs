//! Faults on request.

use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::support::{Process, wait_until};

const RECORDS: &str = "/streams/a/records";

fn end_offset(log: &Process) -> u64 {
    let read = log.get(RECORDS).json();
    read["end_offset"].as_u64().expect("an offset")
}

#[test]
fn unknown_or_impossible_faults_are_refused_and_change_nothing() {
    let log = Process::start("log", "");
    log.set_faults(&json!({"outage": true}));
    let unknown = log.post("/admin/faults", &json!({"slow": 1}));
    assert_eq!(unknown.status, 400);
    assert!(
        unknown.json()["error"]
            .as_str()
            .expect("a text")
            .contains("`slow`")
    );
    assert_eq!(
        log.post("/admin/faults", &json!({"lose_answers": 2.0}))
            .status,
        400
    );
    assert_eq!(
        log.post("/admin/faults", &json!({"delay_ms": 1_000_000_000}))
            .status,
        400
    );
    assert_eq!(log.post("/admin/faults", &json!([])).status, 400);
    assert_eq!(log.get(RECORDS).status, 503);
    assert_eq!(log.post("/admin/nothing", &json!({})).status, 404);
}

#[test]
fn answers_are_held_back_for_the_delay() {
    let log = Process::start("log", "");
    log.set_faults(&json!({"delay_ms": 200}));
    let started = Instant::now();
    assert_eq!(log.get(RECORDS).status, 200);
    assert!(started.elapsed() >= Duration::from_millis(200));
    assert_eq!(log.get("/admin/counters").json()["answers_delayed"], 1);
}

#[test]
fn an_append_whose_answer_is_lost_takes_effect() {
    let log = Process::start("log", "");
    log.set_faults(&json!({"lose_answers": 1.0, "lose_hang_ms": 50}));
    let caller = log.caller();
    assert!(
        caller
            .try_post(RECORDS, &json!({"records": ["a"]}))
            .is_none()
    );
    log.set_faults(&json!({}));
    assert_eq!(end_offset(&log), 1);
    assert_eq!(log.get("/admin/counters").json()["answers_lost"], 1);
}

#[test]
fn the_same_seed_loses_the_same_answers() {
    let losses = || {
        let log = Process::start("log", "");
        log.set_faults(&json!({"lose_answers": 0.5, "seed": 11}));
        let append = |_| log.caller().try_post(RECORDS, &json!({"records": ["a"]}));
        (0..12)
            .map(append)
            .map(|reply| reply.is_some())
            .collect::<Vec<_>>()
    };
    let first = losses();
    assert!(first.contains(&true) && first.contains(&false));
    assert_eq!(first, losses());
}

#[test]
fn a_frozen_log_answers_nothing_until_the_freeze_is_lifted() {
    let log = Process::start("log", "");
    log.set_faults(&json!({"freeze": true}));
    let impatient = log.caller().with_timeout(Duration::from_secs(1));
    assert!(
        impatient
            .try_post(RECORDS, &json!({"records": ["a"]}))
            .is_none()
    );
    let patient = log.caller();
    let appending = thread::spawn(move || patient.post(RECORDS, &json!({"records": ["b"]})));
    let requests = || log.get("/admin/counters").json()["requests"].clone();
    wait_until("both have arrived", || requests() == 2);
    log.set_faults(&json!({}));
    assert_eq!(appending.join().expect("the append ends").status, 200);
    // The append that its caller gave up takes effect as well, as in a process that was paused.
    wait_until("both took effect", || end_offset(&log) == 2);
}

#[test]
fn open_connections_go_silent_for_good_and_new_ones_work() {
    let log = Process::start("log", "");
    let old = log.caller();
    assert_eq!(old.post(RECORDS, &json!({"records": ["a"]})).status, 200);
    let old = old.with_timeout(Duration::from_millis(500));
    log.set_faults(&json!({"silent": true}));
    log.set_faults(&json!({}));
    assert!(
        old.try_post(RECORDS, &json!({"records": ["lost"]}))
            .is_none()
    );
    let new = log.caller();
    assert_eq!(new.post(RECORDS, &json!({"records": ["b"]})).status, 200);
    assert_eq!(end_offset(&log), 2);
}

#[test]
fn faults_are_limited_to_the_paths_given() {
    let log = Process::start("log", "");
    log.set_faults(&json!({"outage": true, "paths": ["/streams/a"]}));
    assert_eq!(log.get(RECORDS).status, 503);
    assert_eq!(log.get("/streams/b/records").status, 200);
}

#[test]
fn a_frozen_process_still_ends_when_told_to() {
    let log = Process::start("log", "");
    log.set_faults(&json!({"freeze": true}));
    let impatient = log.caller().with_timeout(Duration::from_millis(100));
    assert!(
        impatient
            .try_post(RECORDS, &json!({"records": ["a"]}))
            .is_none()
    );
    assert!(log.terminate().success());
}
