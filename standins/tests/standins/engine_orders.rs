//! Orders to an engine, its copies and its memory.

use std::thread;

use serde_json::{Value, json};

use crate::support::{Process, Reply, wait_until};

/// A load order whose fencing number is its own number.
fn load(order: u64, model: &str, bytes: u64) -> Value {
    load_with_fence(order, order, model, bytes)
}

fn load_with_fence(order: u64, fence: u64, model: &str, bytes: u64) -> Value {
    json!({
        "order": order,
        "fence": fence,
        "action": "load",
        "model": model,
        "version": "1",
        "bytes": bytes,
        "base": null,
    })
}

fn unload(order: u64, model: &str) -> Value {
    json!({"order": order, "fence": order, "action": "unload", "model": model, "version": "1"})
}

fn chat(model: &str, max_tokens: u32) -> Value {
    json!({
        "model": model,
        "messages": [{"role": "user", "content": "next address"}],
        "max_tokens": max_tokens,
    })
}

fn order(engine: &Process, body: &Value) -> Reply {
    engine.post("/orders", body)
}

fn assert_done(reply: &Reply) {
    assert_eq!(reply.status, 200, "{}", reply.body);
    assert_eq!(reply.json()["state"], "done");
}

fn state(engine: &Process) -> Value {
    engine.get("/state?exact=1").json()
}

fn peaks(engine: &Process) -> Value {
    engine.get("/admin/peaks").json()
}

/// Starts an engine whose loads go on until the store's faults are lifted.
fn engine_with_frozen_store() -> (Process, Process) {
    let store = Process::start("store", "");
    store.set_faults(&json!({"freeze": true}));
    let args = format!("--slots 4 --order-wait-ms 1 --store {}", store.url());
    let engine = Process::start_engine(&args);
    (store, engine)
}

#[test]
fn a_loaded_model_is_listed_and_runs_and_an_unloaded_one_is_gone() {
    let engine = Process::start_engine("--slots 4");
    engine
        .post("/v1/chat/completions", &chat("m", 1))
        .assert_refused(404, "not_loaded");
    assert_done(&order(&engine, &load(41, "m", 600)));
    let copy = json!({
        "model": "m", "version": "1", "bytes": 600, "state": "ready", "order": 41,
    });
    assert_eq!(state(&engine)["copies"], json!([copy]));
    assert_eq!(state(&engine)["used_bytes"], 600);
    assert_eq!(
        engine.post("/v1/chat/completions", &chat("m", 1)).status,
        200
    );
    assert_eq!(
        engine.post("/v1/chat/completions", &chat("m@1", 1)).status,
        200
    );

    assert_done(&order(&engine, &unload(42, "m")));
    assert_eq!(state(&engine)["copies"], json!([]));
    assert_eq!(state(&engine)["used_bytes"], 0);
    engine
        .post("/v1/chat/completions", &chat("m", 1))
        .assert_refused(404, "not_loaded");
    assert_eq!(peaks(&engine)["runs"], 2);
}

#[test]
fn an_order_that_goes_on_says_so_and_can_be_asked_for() {
    let (store, engine) = engine_with_frozen_store();
    let reply = order(&engine, &load(41, "m", 600));
    assert_eq!(reply.status, 202);
    assert_eq!(reply.json()["state"], "running");
    assert_eq!(state(&engine)["copies"][0]["state"], "loading");
    assert_eq!(state(&engine)["used_bytes"], 600);
    store.set_faults(&json!({}));
    let is_done = || engine.get("/orders/41").json()["state"] == "done";
    wait_until("the load is done", is_done);
    let expected = json!({"order": 41, "state": "done", "error": null});
    assert_eq!(engine.get("/orders/41").json(), expected);
    assert_eq!(engine.get("/orders/42").status, 404);
    assert_eq!(engine.get("/orders/x").status, 400);
}

#[test]
fn a_repeated_order_is_answered_and_does_nothing_again() {
    for checks_fencing in [true, false] {
        let engine = Process::start_engine(&format!("--slots 4 --checks-fencing {checks_fencing}"));
        assert_done(&order(&engine, &load(41, "m", 400)));
        assert_done(&order(&engine, &load(41, "m", 400)));
        assert_eq!(peaks(&engine)["loads_started"], 1);
    }
}

#[test]
fn a_checking_engine_refuses_old_fencing_numbers_of_the_same_model() {
    let engine = Process::start_engine("--slots 4");
    assert_done(&order(&engine, &load(57, "m", 400)));
    let refused = order(&engine, &load(41, "m", 400));
    refused.assert_refused(409, "fenced");
    assert_eq!(refused.json()["highest"], 57);
    order(&engine, &unload(56, "m")).assert_refused(409, "fenced");
    assert_done(&order(&engine, &load(42, "other", 400)));
    assert_eq!(peaks(&engine)["orders_fenced"], 2);
    assert_eq!(
        peaks(&engine)["peak_copies"],
        json!({"m@1": 1, "other@1": 1})
    );
}

#[test]
fn a_checking_engine_hands_a_load_to_a_takeover_of_the_same_order() {
    let (store, engine) = engine_with_frozen_store();
    assert_eq!(
        order(&engine, &load_with_fence(41, 41, "m", 400)).status,
        202
    );
    assert_eq!(
        order(&engine, &load_with_fence(41, 50, "m", 400)).status,
        202
    );
    let old = order(&engine, &load_with_fence(41, 41, "m", 400));
    old.assert_refused(409, "fenced");
    store.set_faults(&json!({}));
    let is_done = || engine.get("/orders/41").json()["state"] == "done";
    wait_until("the load is done", is_done);
    assert_done(&order(&engine, &load_with_fence(41, 60, "m", 400)));
    assert_eq!(peaks(&engine)["loads_started"], 1);
}

#[test]
fn an_engine_that_ignores_fencing_obeys_every_order() {
    let engine = Process::start_engine("--slots 4 --checks-fencing false");
    assert_done(&order(&engine, &load(57, "m", 300)));
    assert_done(&order(&engine, &load(41, "m", 300)));
    assert_eq!(peaks(&engine)["peak_copies"], json!({"m@1": 2}));
    assert_done(&order(&engine, &load_with_fence(41, 60, "m", 300)));
    assert_eq!(peaks(&engine)["peak_copies"], json!({"m@1": 3}));
    assert_eq!(peaks(&engine)["orders_fenced"], 0);
}

#[test]
fn a_load_without_room_is_refused() {
    let engine = Process::start_engine("--slots 4");
    assert_done(&order(&engine, &load(41, "m", 600)));
    order(&engine, &load(42, "n", 500)).assert_refused(507, "memory");
    assert_done(&order(&engine, &load(43, "n", 400)));
    assert_eq!(peaks(&engine)["overcommitted"], false);
    assert_eq!(peaks(&engine)["peak_used_bytes"], 1000);
}

#[test]
fn a_refused_order_leaves_the_fencing_number_as_it_was() {
    let engine = Process::start_engine("--slots 4");
    assert_done(&order(&engine, &load(41, "m", 600)));
    order(&engine, &load(57, "m", 500)).assert_refused(507, "memory");
    assert_done(&order(&engine, &unload(50, "m")));
    assert_done(&order(&engine, &load(57, "m", 500)));
}

#[test]
fn an_engine_that_does_not_enforce_memory_records_the_overcommit() {
    let engine = Process::start_engine("--slots 4 --enforce-memory false");
    assert_done(&order(&engine, &load(41, "m", 600)));
    assert_done(&order(&engine, &load(42, "n", 500)));
    let peaks = peaks(&engine);
    assert_eq!(peaks["overcommitted"], true);
    assert_eq!(peaks["peak_used_bytes"], 1100);
    assert_eq!(peaks["memory_bytes"], 1000);
}

#[test]
fn an_unload_lets_requests_under_way_finish() {
    let engine = Process::start_engine("--slots 4 --token-ms 20 --order-wait-ms 20000");
    assert_done(&order(&engine, &load(41, "m", 600)));
    let start = |request_id: &str, max_tokens: u32| {
        let caller = engine.caller().with_header("x-request-id", request_id);
        thread::spawn(move || caller.post("/v1/chat/completions", &chat("m", max_tokens)))
    };
    let long = start("long", 8000);
    wait_until("the long request runs", || state(&engine)["running"] == 1);
    let short = start("short", 20);
    wait_until("both run", || peaks(&engine)["runs"] == 2);

    let mut impatient = unload(42, "m");
    impatient["wait_ms"] = json!(1);
    assert_eq!(order(&engine, &impatient).status, 202);
    assert_eq!(state(&engine)["copies"][0]["state"], "unloading");
    let refused = engine.post("/v1/chat/completions", &chat("m", 1));
    refused.assert_refused(404, "not_loaded");
    assert_eq!(short.join().expect("the short request ends").status, 200);
    assert_eq!(state(&engine)["used_bytes"], 600);

    engine.post("/cancel/long", &json!({}));
    assert_eq!(long.join().expect("the long request ends").status, 409);
    assert_done(&order(&engine, &unload(42, "m")));
    assert_eq!(state(&engine)["used_bytes"], 0);
}

#[test]
fn an_unload_interrupts_a_load() {
    let engine = Process::start_engine("--slots 4 --load-ms 600000 --order-wait-ms 20000");
    let caller = engine.caller();
    let loading = thread::spawn(move || caller.post("/orders", &load(41, "m", 600)));
    wait_until("the load has begun", || state(&engine)["used_bytes"] == 600);
    assert_done(&order(&engine, &unload(42, "m")));
    assert_eq!(state(&engine)["used_bytes"], 0);
    let failed = json!({"order": 41, "state": "failed", "error": "unloaded"});
    let answer = loading.join().expect("the order is answered");
    assert_eq!((answer.status, answer.json()), (200, failed.clone()));
    assert_eq!(engine.get("/orders/41").json(), failed);
    order(&engine, &load(41, "m", 600)).assert_refused(409, "fenced");
}

#[test]
fn a_load_whose_weights_cannot_be_fetched_fails_and_frees_its_memory() {
    let store = Process::start("store", "");
    store.set_faults(&json!({"outage": true}));
    let args = format!("--slots 4 --fetch-retry-ms 0 --store {}", store.url());
    let engine = Process::start_engine(&args);
    let answer = order(&engine, &load(41, "m", 600));
    assert_eq!(
        answer.json(),
        json!({"order": 41, "state": "failed", "error": "store"})
    );
    assert_eq!(state(&engine)["used_bytes"], 0);
    assert_eq!(peaks(&engine)["loads_failed"], 1);
    store.set_faults(&json!({}));
    assert_done(&order(&engine, &load(42, "m", 600)));
}

#[test]
fn an_adapter_needs_its_base() {
    let engine = Process::start_engine("--slots 4");
    let mut adapter = load(42, "adapter", 10);
    adapter["base"] = json!("base");
    order(&engine, &adapter).assert_refused(422, "base_not_loaded");
    assert_done(&order(&engine, &load(43, "base", 600)));
    assert_done(&order(&engine, &adapter));
    assert_eq!(
        engine
            .post("/v1/chat/completions", &chat("adapter", 1))
            .status,
        200
    );
    assert_done(&order(&engine, &unload(44, "base")));
    let refused = engine.post("/v1/chat/completions", &chat("adapter", 1));
    refused.assert_refused(404, "not_loaded");
}

#[test]
fn malformed_orders_are_refused() {
    let engine = Process::start_engine("--slots 4");
    let mut order_without_bytes = load(41, "m", 1);
    order_without_bytes["bytes"] = json!(0);
    let mut unknown_action = load(41, "m", 1);
    unknown_action["action"] = json!("explode");
    let mut unknown_field = load(41, "m", 1);
    unknown_field["colour"] = json!("red");
    for body in [
        order_without_bytes,
        unknown_action,
        unknown_field,
        load(41, "", 1),
    ] {
        assert_eq!(order(&engine, &body).status, 400, "{body}");
    }
    assert_eq!(peaks(&engine)["loads_started"], 0);
}

#[test]
fn a_leaving_engine_takes_no_loads_or_requests_but_unloads() {
    let engine = Process::start_engine("--slots 4");
    assert_done(&order(&engine, &load(41, "m", 600)));
    engine.post("/admin/leaving", &json!({"leaving": true}));
    assert_eq!(state(&engine)["leaving"], true);
    engine
        .post("/v1/chat/completions", &chat("m", 1))
        .assert_refused(503, "leaving");
    order(&engine, &load(42, "n", 100)).assert_refused(503, "leaving");
    assert_done(&order(&engine, &unload(43, "m")));
}

fn change_role(order: u64, fence: u64, role: &str) -> Value {
    let mut body =
        json!({"order": order, "fence": fence, "action": "role", "model": "m", "version": "1"});
    body["role"] = json!(role);
    body
}

#[test]
fn a_copy_for_prompts_only_takes_no_chats_until_its_role_changes_back() {
    let engine = Process::start_engine("--slots 4 --checks-fencing true");
    order(&engine, &change_role(40, 40, "prefill")).assert_refused(404, "not_loaded");
    assert_done(&order(&engine, &load(41, "m", 600)));
    assert_done(&order(&engine, &change_role(42, 42, "prefill")));
    assert_eq!(state(&engine)["copies"][0]["role"], "prefill");
    let refused = engine.post("/v1/chat/completions", &chat("m", 1));
    refused.assert_refused(404, "not_loaded");
    assert_eq!(order(&engine, &change_role(40, 40, "mixed")).status, 409);
    assert_done(&order(&engine, &change_role(43, 43, "decode")));
    let answer = engine.post("/v1/chat/completions", &chat("m", 1));
    assert_eq!(answer.status, 200);
}

#[test]
fn a_role_belongs_to_changes_of_role_only() {
    let engine = Process::start_engine("--slots 4");
    let mut load_with_role = load(41, "m", 1);
    load_with_role["role"] = json!("prefill");
    let mut no_role = change_role(42, 42, "prefill");
    no_role.as_object_mut().unwrap().remove("role");
    for body in [load_with_role, no_role, change_role(43, 43, "cook")] {
        assert_eq!(order(&engine, &body).status, 400, "{body}");
    }
}
