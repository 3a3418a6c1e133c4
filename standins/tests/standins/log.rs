//! The append-only log.

use std::thread;

use serde_json::json;

use crate::support::Process;

const RECORDS: &str = "/streams/orders/records";

#[test]
fn appends_get_consecutive_offsets() {
    let log = Process::start("log", "");
    let first = log.post(RECORDS, &json!({"records": ["a", "b"]}));
    assert_eq!(first.json(), json!({"first_offset": 0, "next_offset": 2}));
    let second = log.post(RECORDS, &json!({"records": ["c"]}));
    assert_eq!(second.json(), json!({"first_offset": 2, "next_offset": 3}));

    let read = log.get(&format!("{RECORDS}?from=1&max=1")).json();
    assert_eq!(read["records"][0]["offset"], 1);
    assert_eq!(read["records"][0]["payload"], "b");
    assert!(read["records"][0]["appended_ms"].is_u64());
    assert_eq!(read["next_offset"], 2);
    assert_eq!(read["end_offset"], 3);
    assert_eq!(read["oldest_offset"], 0);
}

#[test]
fn a_waiting_read_returns_once_a_record_is_appended() {
    let log = Process::start("log", "");
    let caller = log.caller();
    let reading = thread::spawn(move || caller.get(&format!("{RECORDS}?from=0&wait_ms=20000")));
    log.post(RECORDS, &json!({"records": ["late"]}));
    let read = reading.join().expect("the read ends").json();
    assert_eq!(read["records"][0]["payload"], "late");
}

#[test]
fn a_read_past_the_end_is_empty_after_its_wait() {
    let log = Process::start("log", "");
    let read = log.get(&format!("{RECORDS}?from=0&wait_ms=10")).json();
    let empty = json!({"records": [], "next_offset": 0, "end_offset": 0, "oldest_offset": 0});
    assert_eq!(read, empty);
}

#[test]
fn a_read_of_trimmed_records_says_what_is_left() {
    let log = Process::start("log", "");
    log.post(RECORDS, &json!({"records": ["a", "b", "c"]}));
    let trimmed = log.post("/admin/trim", &json!({"stream": "orders", "before": 2}));
    assert_eq!(trimmed.status, 200);
    let read = log.get(&format!("{RECORDS}?from=1"));
    assert_eq!(read.status, 410);
    assert_eq!(read.json()["oldest_offset"], 2);
    assert_eq!(read.json()["end_offset"], 3);
    let rest = log.get(&format!("{RECORDS}?from=2")).json();
    assert_eq!(rest["records"][0]["payload"], "c");
}

#[test]
fn only_the_latest_records_are_retained() {
    let log = Process::start("log", "--retention-records 2");
    log.post(RECORDS, &json!({"records": ["a", "b", "c"]}));
    assert_eq!(log.get(RECORDS).status, 410);
    assert_eq!(log.get(&format!("{RECORDS}?from=1")).status, 200);
}

#[test]
fn appends_above_the_rate_are_refused_and_leave_nothing() {
    let log = Process::start("log", "--appends-per-s 1");
    let caller = log.caller();
    let append = || caller.post(RECORDS, &json!({"records": ["a"]}));
    let replies: Vec<_> = (0..20).map(|_| append()).collect();
    let refused: Vec<_> = replies.iter().filter(|reply| reply.status == 429).collect();
    assert!(!refused.is_empty());
    refused[0].assert_refused(429, "rate");
    assert_eq!(refused[0].retry_after.as_deref(), Some("1"));
    let accepted = replies.iter().filter(|reply| reply.status == 200).count();
    assert_eq!(log.get(RECORDS).json()["end_offset"], accepted);
}

#[test]
fn malformed_appends_are_refused() {
    let log = Process::start("log", "");
    let long = "x".repeat((1 << 20) + 1);
    let many = vec!["x"; 65];
    assert_eq!(log.post(RECORDS, &json!({"records": []})).status, 400);
    assert_eq!(log.post(RECORDS, &json!({"records": many})).status, 400);
    assert_eq!(log.post(RECORDS, &json!({"records": [long]})).status, 413);
    assert_eq!(log.post(RECORDS, &json!({"records": [1]})).status, 400);
    assert_eq!(log.post(RECORDS, &json!({"wrong": []})).status, 400);
    let named = log.post("/streams/a%20b/records", &json!({"records": ["a"]}));
    assert_eq!(named.status, 400);
    assert_eq!(log.get(&format!("{RECORDS}?from=x")).status, 400);
    assert_eq!(log.get(RECORDS).json()["end_offset"], 0);
}

#[test]
fn the_process_ends_cleanly_when_told_to() {
    let log = Process::start("log", "");
    log.post(RECORDS, &json!({"records": ["a"]}));
    assert!(log.terminate().success());
}
