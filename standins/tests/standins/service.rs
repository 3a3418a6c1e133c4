//! The plain service.

use serde_json::{Value, json};

use crate::support::Process;

const ARGS: &str = "--name app-1 --data-centre otaru";

fn runs(service: &Process) -> Value {
    service.get("/admin/runs").json()["runs"].clone()
}

#[test]
fn calls_are_echoed_and_counted_by_operation() {
    let service = Process::start("service", ARGS);
    let caller = service.caller().with_header("x-operation-id", "slot-7");
    let echo = caller
        .post("/slots/book?day=monday", &json!({"slot": 7}))
        .json();
    assert_eq!(echo["method"], "POST");
    assert_eq!(echo["path"], "/slots/book");
    assert_eq!(echo["query"], "day=monday");
    assert_eq!(echo["operation_id"], "slot-7");
    assert_eq!(echo["run"], 1);
    assert_eq!(echo["body"], "{\"slot\":7}");
    caller.post("/slots/book", &json!({}));
    service.get("/placements");
    assert_eq!(runs(&service), json!({"slot-7": 2}));
}

#[test]
fn a_leaving_service_runs_nothing() {
    let service = Process::start("service", ARGS);
    assert_eq!(service.get("/healthz").status, 200);
    service.post("/admin/leaving", &json!({"leaving": true}));
    service.get("/healthz").assert_refused(503, "leaving");
    let caller = service.caller().with_header("x-operation-id", "slot-7");
    caller
        .post("/slots", &json!({}))
        .assert_refused(503, "leaving");
    assert_eq!(runs(&service), json!({}));
    service.post("/admin/leaving", &json!({"leaving": false}));
    assert_eq!(service.get("/healthz").status, 200);
}

#[test]
fn a_call_whose_answer_is_lost_was_run() {
    let service = Process::start("service", ARGS);
    service.set_faults(&json!({"lose_answers": 1.0}));
    let caller = service.caller().with_header("x-operation-id", "log-1");
    assert!(caller.try_post("/logs", &json!({})).is_none());
    assert_eq!(runs(&service), json!({"log-1": 1}));
}

#[test]
fn a_call_during_an_outage_is_not_run() {
    let service = Process::start("service", ARGS);
    service.set_faults(&json!({"outage": true}));
    let caller = service.caller().with_header("x-operation-id", "log-1");
    caller
        .post("/logs", &json!({}))
        .assert_refused(503, "outage");
    assert_eq!(runs(&service), json!({}));
}

#[test]
fn calls_beyond_the_bound_are_refused() {
    let service = Process::start("service", &format!("{ARGS} --max-running 0"));
    service.get("/placements").assert_refused(429, "busy");
}

/// Guards against a load that is stated unasked, or not on refusals.
#[test]
fn answers_state_the_load_if_asked_to() {
    let options = "--states-load --max-running 6 --pace-percent 250";
    let service = Process::start("service", &format!("{ARGS} {options}"));
    let load = Some("0,0,6,250");
    assert_eq!(service.get("/slots").load.as_deref(), load);
    service.post("/admin/leaving", &json!({"leaving": true}));
    assert_eq!(service.get("/slots").load.as_deref(), load);
    let silent = Process::start("service", ARGS);
    assert_eq!(silent.get("/slots").load, None);
    let engine = Process::start_engine("--slots 8 --states-load");
    assert_eq!(engine.get("/state").load.as_deref(), Some("0,0,8,100"));
}
