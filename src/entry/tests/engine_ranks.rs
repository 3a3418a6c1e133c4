//! Requests of several ranks for one model whose engine has much to read.

use super::engine_wait::{END, START, publish_ranks, request, start_engine};
use super::fake_upstream::Step::Write;
use super::site::{Site, on_site};
use crate::routing::pick::UpstreamLoad;

/// Prompt tokens that an engine reads in about a second, less than callers of any rank wait.
const BUSY_TOKENS: u64 = 40_000;

fn set_work(site: &Site, prompt_tokens: u64) {
    let load = UpstreamLoad {
        prompt_tokens,
        ..UpstreamLoad::default()
    };
    let mut state = site.host.orderer_state.borrow_mut();
    state.replace_work(vec![("e1".into(), load)]);
    drop(state);
    site.host.note_change();
}

/// Guards against less urgent prompts in the queue of a busy engine, ahead of urgent ones that
/// arrive later, and against requests that wait on after the engine became free.
#[test]
fn a_less_urgent_request_waits_at_its_host_while_an_urgent_one_is_sent() {
    on_site(|site| async move {
        publish_ranks(&site, [0, 1]).await;
        let engine = start_engine(&site, "e1", vec![vec![Write(START), Write(END)]]).await;
        set_work(&site, BUSY_TOKENS);
        let mut less_urgent = site.connect().await;
        let held = request("i1", 9_000).replace("/a/", "/b/");
        less_urgent.send(&held).await;
        site.until(|host| host.engine_line.borrow().waiting() == 1)
            .await;
        assert!(site.call(&request("i2", 9_000)).await.is_whole);
        assert_eq!(engine.arrivals.borrow().len(), 1);
        assert_eq!(site.host.engine_line.borrow().waiting(), 1);
        set_work(&site, 0);
        // The next request for the model lets the first one begin.
        let next = request("i3", 9_000).replace("/a/", "/b/");
        let mut other = site.connect().await;
        other.send(&next).await;
        assert!(less_urgent.answer().await.is_whole);
        drop(other);
        site.until(|host| host.engine_line.borrow().waiting() == 0)
            .await;
    });
}

/// Guards against holding requests back where all routes of a service have one rank.
#[test]
fn requests_of_one_rank_do_not_wait_at_their_host() {
    on_site(|site| async move {
        publish_ranks(&site, [1, 1]).await;
        let engine = start_engine(&site, "e1", vec![vec![Write(START), Write(END)]]).await;
        set_work(&site, BUSY_TOKENS);
        assert!(site.call(&request("i1", 9_000)).await.is_whole);
        assert_eq!(engine.arrivals.borrow().len(), 1);
    });
}

/// Guards against a refusal at the end of a wait in vain, and against one without a retry time.
#[test]
fn a_less_urgent_request_that_cannot_begin_by_its_goal_is_refused_at_once() {
    on_site(|site| async move {
        publish_ranks(&site, [0, 1]).await;
        let engine = start_engine(&site, "e1", vec![vec![Write(START), Write(END)]]).await;
        set_work(&site, BUSY_TOKENS * 8);
        let refused = site.call(&request("i1", 9_000).replace("/a/", "/b/")).await;
        assert!(refused.body.contains("for a request of this rank"));
        assert!(refused.head.headers.text("Retry-After").is_some());
        assert!(engine.arrivals.borrow().is_empty());
    });
}
