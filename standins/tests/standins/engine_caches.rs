//! The checkpoint and prefix caches of an engine.

use serde_json::{Value, json};

use crate::support::{Process, wait_until};

fn order(engine: &Process, number: u64, action: &str, model: &str, bytes: u64) {
    let body = json!({
        "order": number, "fence": number, "action": action, "model": model, "version": "1",
        "bytes": bytes, "wait_ms": 20_000,
    });
    let reply = engine.post("/orders", &body);
    assert_eq!(reply.json()["state"], "done", "{}", reply.body);
}

fn cache(engine: &Process) -> Value {
    engine.get("/state").json()["cache"].clone()
}

fn requests(store: &Process) -> Value {
    store.get("/admin/counters").json()["requests"].clone()
}

fn chat(engine: &Process, content: &str) -> Value {
    let body = json!({
        "model": "m", "messages": [{"role": "user", "content": content}], "max_tokens": 1,
    });
    engine.post("/v1/chat/completions", &body).json()["usage"]["cached_chars"].clone()
}

#[test]
fn loads_are_fetched_once_and_then_read_from_the_caches() {
    let store = Process::start("store", "--loads-per-s 1000");
    let caches = "--memory-cache-bytes 500 --disk-cache-bytes 900";
    let engine = Process::start_engine(&format!("--slots 4 --store {} {caches}", store.url()));
    order(&engine, 1, "load", "a", 400);
    assert_eq!(cache(&engine), json!({"memory": ["a@1"], "disk": ["a@1"]}));
    order(&engine, 2, "load", "b", 400);
    assert_eq!(
        cache(&engine),
        json!({"memory": ["b@1"], "disk": ["a@1", "b@1"]})
    );
    order(&engine, 3, "unload", "a", 0);
    order(&engine, 4, "load", "a", 400);
    assert_eq!(requests(&store), 2);
    assert_eq!(
        cache(&engine),
        json!({"memory": ["a@1"], "disk": ["b@1", "a@1"]})
    );
    order(&engine, 5, "unload", "b", 0);
    order(&engine, 6, "load", "c", 400);
    assert_eq!(
        cache(&engine),
        json!({"memory": ["c@1"], "disk": ["a@1", "c@1"]})
    );
    assert_eq!(requests(&store), 3);
}

#[test]
fn checkpoints_can_be_on_disk_at_the_start() {
    let disk = "--disk-cache-bytes 1000 --disk-cached m2@1=400";
    let args = format!("--slots 4 --load-ms 600000 {disk}");
    let engine = Process::start_engine(&args);
    assert_eq!(cache(&engine)["disk"], json!(["m2@1"]));
    order(&engine, 1, "load", "m2", 400);
}

#[test]
fn a_fetch_that_the_store_refuses_is_repeated() {
    let store = Process::start("store", "--loads-per-s 1000");
    store.set_faults(&json!({"outage": true}));
    let args = format!("--slots 4 --order-wait-ms 1 --store {}", store.url());
    let engine = Process::start_engine(&args);
    let body = json!({
        "order": 1, "fence": 1, "action": "load", "model": "m", "version": "1", "bytes": 1,
    });
    assert_eq!(engine.post("/orders", &body).status, 202);
    let refusals = || store.get("/admin/counters").json()["outage_refusals"].as_u64();
    wait_until("a fetch was refused", || refusals() > Some(0));
    store.set_faults(&json!({}));
    let is_done = || engine.get("/orders/1").json()["state"] == "done";
    wait_until("the load is done", is_done);
}

#[test]
fn prompts_with_a_common_prefix_share_its_blocks() {
    let engine = Process::start_engine("--slots 4 --prefix-cache-bytes 1024");
    order(&engine, 1, "load", "m", 1);
    let prefix = "x".repeat(600);
    assert_eq!(chat(&engine, &prefix), 0);
    assert_eq!(chat(&engine, &format!("{prefix} and more")), 512);
    assert_eq!(chat(&engine, &"y".repeat(1100)), 0);
    assert_eq!(chat(&engine, &prefix), 0);

    let events = engine.get("/cache-events?from=0").json();
    let actions: Vec<&Value> = events["events"]
        .as_array()
        .expect("a list")
        .iter()
        .map(|event| &event["action"])
        .collect();
    let stored = actions.iter().filter(|action| **action == "stored").count();
    let removed = actions
        .iter()
        .filter(|action| **action == "removed")
        .count();
    assert_eq!((stored, removed), (8, 4));
    assert_eq!(events["next_number"], 12);
    let rest = engine.get("/cache-events?from=11").json();
    assert_eq!(rest["events"].as_array().map(Vec::len), Some(1));

    order(&engine, 2, "unload", "m", 0);
    let cleared = engine.get("/cache-events?from=12").json();
    assert_eq!(cleared["events"].as_array().map(Vec::len), Some(4));
}

#[test]
fn cache_events_come_late() {
    let lagging = "--prefix-cache-bytes 1024 --cache-event-lag-ms 600000";
    let engine = Process::start_engine(&format!("--slots 4 {lagging}"));
    order(&engine, 1, "load", "m", 1);
    chat(&engine, &"x".repeat(600));
    let events = engine.get("/cache-events?from=0").json();
    assert_eq!(events["events"], json!([]));
    assert_eq!(events["next_number"], 0);
}

#[test]
fn cache_events_have_gaps() {
    let lossy = "--prefix-cache-bytes 100000 --cache-event-loss 0.5 --seed 5";
    let engine = Process::start_engine(&format!("--slots 4 {lossy}"));
    order(&engine, 1, "load", "m", 1);
    chat(&engine, &"x".repeat(256 * 40));
    let events = engine.get("/cache-events?from=0").json();
    let events = events["events"].as_array().expect("a list");
    assert!(!events.is_empty() && events.len() < 40);
    let last = events.last().expect("an event");
    assert!(last["number"].as_u64() > Some(events.len() as u64));
}
