//! Requests that an engine could not begin to answer before their callers leave.

use super::engine_wait::{END, START, publish_engines, request, start_engine};
use super::fake_upstream::Step::Write;
use super::site::{Site, on_site};
use crate::routing::pick::UpstreamLoad;

/// Sets the work of other hosts at an engine to far more requests than it has slots.
fn fill_slots(site: &Site, engine: &str) {
    let load = UpstreamLoad {
        running: 100_000,
        ..UpstreamLoad::default()
    };
    let mut state = site.host.orderer_state.borrow_mut();
    state.replace_work(vec![(engine.into(), load)]);
}

/// Guards against sending a request to an engine that cannot answer it in time, and against a retry
/// time that says nothing about the wait for a slot.
#[test]
fn a_request_that_cannot_begin_before_its_caller_leaves_is_refused_at_once() {
    on_site(|site| async move {
        publish_engines(&site).await;
        let engine = start_engine(&site, "e1", vec![vec![Write(START), Write(END)]]).await;
        assert!(site.call(&request("i1", 9_000)).await.is_whole);
        fill_slots(&site, "e1");
        let refused = site.call(&request("i2", 9_000)).await;
        assert_eq!(refused.head.status, 503);
        assert!(refused.body.contains("after the caller has left"));
        let retry_after = refused.head.headers.text("Retry-After");
        let retry_after_s: f64 = retry_after.unwrap_or_default().parse().unwrap_or_default();
        // A third of the request's time, since the engine needs longer than that.
        assert!((2.0..=3.0).contains(&retry_after_s), "{retry_after_s}");
        assert_eq!(engine.arrivals.borrow().len(), 1);
    });
}
