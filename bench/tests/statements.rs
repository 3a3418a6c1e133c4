//! Upstreams that state in their answers that they leave or want rest, with the real programs.

use mangovale_bench::call::{Outcome, ServiceCall};
use mangovale_bench::site::{Site, StandIn};
use serde_json::json;
use trillium_client::Method;

const REST_S: u64 = 60;

fn site() -> Site {
    let site = Site::plan()
        .service("back-1", &[])
        .service("back-2", &[])
        .hosts(1)
        .start();
    site.put_service("work", &["back-1", "back-2"], &["north"]);
    site
}

fn call(site: &Site) -> Outcome {
    let call = ServiceCall {
        service: "work",
        method: Method::Get,
        path: "/work",
        body: "",
        idempotency_key: None,
        deadline_ms: Some(20_000),
    };
    let caller = site.caller("north");
    smol::block_on(caller.service(site.hosts[0].caller, &call))
}

fn calls_at(upstream: &StandIn) -> u64 {
    let counters = upstream.get("/admin/counters");
    counters["requests"].as_u64().expect("a count of calls")
}

// Guards against repeating requests at an upstream within the rest that it asked for, and against
// keeping a caller waiting when no other upstream is left.
#[test]
fn an_upstream_that_asks_for_rest_gets_one_request_and_callers_hear_when_it_ends() {
    let site = site();
    for upstream in &site.services {
        let before = calls_at(upstream);
        upstream.faults(&json!({ "rest_s": REST_S, "paths": ["/work"] }));
        for _ in 0..5 {
            call(&site);
        }
        let in_rest = calls_at(upstream) - before;
        assert_eq!(in_rest, 1);
    }
    let reached: Vec<u64> = site.services.iter().map(calls_at).collect();
    let refused = call(&site);
    let Outcome::Refused {
        status: 503,
        kind,
        ran,
        retry_after_ms: Some(retry_after_ms),
        ..
    } = &refused
    else {
        panic!("{refused:?}");
    };
    assert_eq!((&**kind, &**ran), ("overloaded", "not_run"));
    assert!(*retry_after_ms <= REST_S * 1_000, "{refused:?}");
    let reached_later: Vec<u64> = site.services.iter().map(calls_at).collect();
    assert_eq!(reached_later, reached);
}

// Guards against sending to a service that says in an answer that it leaves, while the list is away.
#[test]
fn a_service_that_says_in_an_answer_that_it_leaves_gets_one_request_while_the_list_is_away() {
    let site = site();
    site.host_list.faults(&json!({ "outage": true }));
    for upstream in &site.services {
        let answer = upstream.admin_post("/admin/leaving", &json!({ "leaving": true }));
        assert!(answer.is_success(), "{answer:?}");
    }
    for _ in 0..10 {
        assert!(!call(&site).is_success());
    }
    let reached: Vec<u64> = site.services.iter().map(calls_at).collect();
    assert!(reached.iter().all(|count| *count <= 1), "{reached:?}");
    assert_eq!(call(&site).refusal_kind(), Some("no_capacity"));
}
