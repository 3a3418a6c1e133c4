//! The weight store.

use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::support::{Process, wait_until};

fn fetch(bytes: u64) -> Value {
    json!({"model": "m", "version": "1", "bytes": bytes})
}

fn state(store: &Process, field: &str) -> Value {
    store.get("/state").json()[field].clone()
}

#[test]
fn a_fetch_takes_at_least_as_long_as_its_bytes() {
    let store = Process::start("store", "--loads-per-s 100 --bytes-per-s 10000");
    let started = Instant::now();
    assert_eq!(store.post("/fetch", &fetch(2000)).status, 200);
    assert!(started.elapsed() >= Duration::from_millis(200));
}

#[test]
fn fetches_beyond_the_parallel_bound_wait_and_beyond_the_queue_are_refused() {
    let args = "--parallel 1 --queue-limit 1 --loads-per-s 1000 --bytes-per-s 1";
    let store = Process::start("store", args);
    let start = || {
        let caller = store.caller();
        thread::spawn(move || caller.post("/fetch", &fetch(1_000_000)).status)
    };
    let first = start();
    wait_until("the first runs", || state(&store, "running") == 1);
    let second = start();
    wait_until("the second waits", || state(&store, "queued") == 1);
    let third = store.post("/fetch", &fetch(1));
    third.assert_refused(429, "busy");
    assert_eq!(state(&store, "running"), 1);

    let fast = json!({"parallel": 2, "loads_per_s": 1000.0, "bytes_per_s": 1_000_000_000});
    assert_eq!(store.post("/admin/limits", &fast).status, 200);
    assert_eq!(first.join().expect("the first ends"), 200);
    assert_eq!(second.join().expect("the second ends"), 200);
}

#[test]
fn fetches_start_no_faster_than_the_rate() {
    let store = Process::start("store", "--loads-per-s 5");
    let started = Instant::now();
    for _ in 0..3 {
        assert_eq!(store.post("/fetch", &fetch(1)).status, 200);
    }
    assert!(started.elapsed() >= Duration::from_millis(400));
}

#[test]
fn a_fetch_whose_caller_is_gone_frees_its_place() {
    let store = Process::start("store", "--parallel 1 --bytes-per-s 1");
    let impatient = store.caller().with_timeout(Duration::from_millis(300));
    assert!(impatient.try_post("/fetch", &fetch(1_000_000)).is_none());
    wait_until("the place is free", || state(&store, "running") == 0);
}

#[test]
fn impossible_limits_are_refused() {
    let store = Process::start("store", "");
    let stopped = json!({"parallel": 0, "loads_per_s": 1.0, "bytes_per_s": 1});
    assert_eq!(store.post("/admin/limits", &stopped).status, 400);
    assert_eq!(state(&store, "parallel"), 4);
    assert_eq!(store.post("/fetch", &json!({"model": "m"})).status, 400);
}
