//! Upstreams that state in their answers that they leave.

use super::fake_upstream::Step::{Close, Hang, Wait, Write};
use super::fake_upstream::{FakeUpstream, Step};
use super::site::{Site, entry, on_site, route};
use crate::desired::{Repeat, Route};
use crate::prelude::*;
use std::cell::Cell;
use std::rc::Rc;

const REQUEST: &str =
    "POST /a/1 HTTP/1.1\r\nHost: X:80\r\nId: i1\r\nWait-Ms: 5000\r\nContent-Length: 3\r\n\r\nabc";
const WHOLE: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok";
const LEAVING: &str =
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nLeaving: 1\r\nContent-Length: 2\r\n\r\nok";
const LEAVING_FAILED: &str =
    "HTTP/1.1 500 Failed\r\nId: {id}\r\nSeal: s\r\nLeaving: 1\r\nContent-Length: 3\r\n\r\nbad";
const LEAVING_BUSY: &str =
    "HTTP/1.1 503 Busy\r\nId: {id}\r\nNot-Run: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n";
const LEAVING_STREAM: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nLeaving: 1\r\nTransfer-Encoding: chunked\r\n\r\nd\r\nid:1\ndata:a\n\n\r\n";
const STREAM_END: &str = "d\r\nid:2\ndata:b\n\n\r\n0\r\n\r\n";
const REST_OF_STREAM: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\nd\r\nid:2\ndata:b\n\n\r\n0\r\n\r\n";
const LEAVING_CUT: &str =
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nLeaving: 1\r\nContent-Length: 20\r\n\r\nhalf";
const LEAVING_EARLIER: &str =
    "HTTP/1.1 200 OK\r\nId: earlier\r\nSeal: s\r\nLeaving: 1\r\nContent-Length: 2\r\n\r\nok";
const OTHER_LIFETIME_LEAVING: &str = "HTTP/1.1 421 Misdirected\r\nId: {id}\r\nNot-Run: 1\r\nLifetime: other\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n";

/// Starts an upstream that this host prefers, since it is in the host's data centre, and one in
/// another data centre that answers every request.
async fn start_pair(site: &Site, first: Vec<Vec<Step>>) -> (FakeUpstream, FakeUpstream) {
    let near = site.start_upstream("near", first).await;
    let far = FakeUpstream::start(&site.executor, vec![vec![Write(WHOLE)]]).await;
    let mut listed = entry("far", far.address);
    listed.data_centre = "elsewhere".into();
    site.store.write_upstream("far", Some(listed));
    site.until(|host| host.upstreams.borrow().get("far").is_some())
        .await;
    (near, far)
}

fn stream_route(repeat: Repeat) -> Route {
    Route {
        streams: true,
        ..route(repeat)
    }
}

/// Returns how many requests reached an upstream after its first answer, while the store was away
/// and another upstream was free.
fn arrivals_after(answer: Vec<Step>, route: Route) -> usize {
    let arrivals = Rc::new(Cell::new(0));
    let counted = arrivals.clone();
    on_site(|site| async move {
        site.apply_route(route).await;
        let (near, _far) = start_pair(&site, vec![answer, vec![Write(WHOLE)]]).await;
        site.store.is_down.set(true);
        site.call(REQUEST).await;
        assert_eq!(near.arrivals.borrow().len(), 1);
        for _ in 0..6 {
            assert_eq!(site.call(REQUEST).await.head.status, 200);
        }
        counted.set(near.arrivals.borrow().len() - 1);
    });
    arrivals.get()
}

// Guards against sending requests to an upstream after it stated in an answer that it leaves, while
// the store is away.
#[test]
fn an_upstream_that_says_in_an_answer_that_it_leaves_gets_no_further_request() {
    assert_eq!(arrivals_after(vec![Write(LEAVING)], route(Repeat::Once)), 0);
}

// Guards against reading the statement in successes only.
#[test]
fn an_upstream_that_says_in_a_failure_that_it_leaves_gets_no_further_request() {
    let failed = vec![Write(LEAVING_FAILED)];
    assert_eq!(arrivals_after(failed, route(Repeat::Once)), 0);
    let busy = vec![Write(LEAVING_BUSY)];
    assert_eq!(arrivals_after(busy, route(Repeat::Once)), 0);
}

// Guards against losing the statement with an answer that is not passed on.
#[test]
fn an_upstream_that_says_so_in_an_answer_that_breaks_off_gets_no_further_request() {
    let cut = vec![Write(LEAVING_CUT), Close];
    assert_eq!(arrivals_after(cut, route(Repeat::Once)), 0);
    let after_an_earlier_one = vec![Write(LEAVING_EARLIER), Write(WHOLE)];
    assert_eq!(arrivals_after(after_an_earlier_one, route(Repeat::Once)), 0);
}

// Guards against acting on the statement only when a stream has ended.
#[test]
fn an_upstream_that_says_so_at_the_start_of_a_stream_gets_no_request_while_the_stream_goes_on() {
    on_site(|site| async move {
        site.apply_route(stream_route(Repeat::Once)).await;
        let may_end = Rc::new(Cell::new(false));
        let stream = vec![
            Write(LEAVING_STREAM),
            Wait(may_end.clone()),
            Write(STREAM_END),
        ];
        let (near, far) = start_pair(&site, vec![stream, vec![Write(WHOLE)]]).await;
        let mut caller = site.connect().await;
        caller.send(REQUEST).await;
        site.until(|host| host.upstreams.borrow().usable("s").count() == 1)
            .await;
        assert_eq!(site.call(REQUEST).await.head.status, 200);
        may_end.set(true);
        assert!(caller.answer().await.is_whole);
        assert_eq!(near.arrivals.borrow().len(), 1);
        assert_eq!(far.arrivals.borrow().len(), 1);
    });
}

// Guards against resuming a stream at an upstream that leaves.
#[test]
fn a_broken_stream_is_not_resumed_at_an_upstream_that_leaves() {
    on_site(|site| async move {
        site.apply_route(stream_route(Repeat::Resumable)).await;
        let leaving = vec![Write(LEAVING)];
        let near = site.start_upstream("near", vec![leaving]).await;
        site.call(REQUEST).await;
        let may_break = Rc::new(Cell::new(false));
        let cut = vec![Write(LEAVING_STREAM), Wait(may_break.clone()), Close];
        let first = site.start_upstream("first", vec![cut]).await;
        let mut caller = site.connect().await;
        caller.send(REQUEST).await;
        site.until(|_| first.arrivals.borrow().len() == 1).await;
        let rest = vec![Write(REST_OF_STREAM)];
        let second = site.start_upstream("second", vec![rest]).await;
        may_break.set(true);
        assert!(caller.answer().await.is_whole);
        assert_eq!(second.arrivals.borrow().len(), 1);
        assert_eq!(near.arrivals.borrow().len(), 1);
    });
}

// Guards against a second attempt at an upstream that leaves.
#[test]
fn a_failed_request_is_not_repeated_at_an_upstream_that_leaves() {
    on_site(|site| async move {
        site.apply_route(route(Repeat::Idempotent)).await;
        let leaving = vec![Write(LEAVING)];
        let near = site.start_upstream("near", vec![leaving]).await;
        site.call(REQUEST).await;
        let failing = site
            .start_upstream("u2", vec![vec![Write(LEAVING_FAILED)]])
            .await;
        assert_eq!(site.call(REQUEST).await.head.status, 500);
        assert_eq!(near.arrivals.borrow().len(), 1);
        assert_eq!(failing.arrivals.borrow().len(), 1);
    });
}

// Guards against letting a request wait until its time is over when no upstream can take it.
#[test]
fn a_request_is_refused_at_once_when_every_upstream_leaves() {
    on_site(|site| async move {
        site.apply_route(route(Repeat::Once)).await;
        let leaving = vec![Write(LEAVING)];
        let near = site.start_upstream("near", vec![leaving]).await;
        site.call(REQUEST).await;
        let refused = site.call(REQUEST).await;
        assert_eq!(refused.head.status, 503);
        assert!(refused.head.headers.text("Retry-After").is_some());
        let why = "every upstream of the service is leaving";
        assert!(refused.body.contains(why), "{}", refused.body);
        assert_eq!(near.arrivals.borrow().len(), 1);
    });
}

// Guards against taking the statement of one lifetime for another one's.
#[test]
fn an_upstream_that_starts_again_under_its_name_gets_requests_again() {
    on_site(|site| async move {
        site.apply_route(route(Repeat::Once)).await;
        let leaving = vec![Write(LEAVING)];
        let former = site.start_upstream("near", vec![leaving]).await;
        site.call(REQUEST).await;
        let next = FakeUpstream::start(&site.executor, vec![vec![Write(WHOLE)]]).await;
        let mut listed = entry("near", next.address);
        listed.born_at = Millis(1);
        site.store.write_upstream("near", Some(listed));
        site.until(|host| host.upstreams.borrow().usable("s").count() == 1)
            .await;
        assert_eq!(site.call(REQUEST).await.head.status, 200);
        assert_eq!(former.arrivals.borrow().len(), 1);
        assert_eq!(next.arrivals.borrow().len(), 1);
    });
}

// Guards against a connection to a former lifetime that is kept for the next one.
#[test]
fn a_connection_to_an_ended_lifetime_is_not_used_for_the_next_one() {
    on_site(|site| async move {
        site.apply_route(route(Repeat::Once)).await;
        let may_answer = Rc::new(Cell::new(false));
        let late = vec![Wait(may_answer.clone()), Write(LEAVING)];
        let former = site.start_upstream("near", vec![late]).await;
        let mut caller = site.connect().await;
        caller.send(REQUEST).await;
        site.until(|_| former.arrivals.borrow().len() == 1).await;
        let next = FakeUpstream::start(&site.executor, vec![vec![Write(WHOLE)]]).await;
        let mut listed = entry("near", next.address);
        listed.born_at = Millis(1);
        site.store.write_upstream("near", Some(listed));
        let is_next = |known: &crate::upstreams::Upstream| known.entry.born_at == Millis(1);
        site.until(|host| host.upstreams.borrow().get("near").is_some_and(is_next))
            .await;
        may_answer.set(true);
        assert_eq!(caller.answer().await.head.status, 200);
        assert_eq!(site.call(REQUEST).await.head.status, 200);
        assert_eq!(former.arrivals.borrow().len(), 1);
        assert_eq!(next.arrivals.borrow().len(), 1);
    });
}

// Guards against blaming an upstream for the statement of a process that has taken its address.
#[test]
fn the_statement_of_another_lifetime_at_the_address_is_not_the_upstreams() {
    on_site(|site| async move {
        site.apply_route(route(Repeat::Once)).await;
        let other = vec![Write(OTHER_LIFETIME_LEAVING)];
        let hang = vec![Hang];
        let near = site.start_upstream("near", vec![other, hang]).await;
        assert_eq!(site.call(REQUEST).await.head.status, 503);
        assert_eq!(near.arrivals.borrow().len(), 1);
        assert!(site.host.upstreams.borrow().get("near").is_none());
    });
}
