//! Upstreams that turn requests away and ask in that answer for a time without further ones.

use super::fake_platform::FakePlatform;
use super::fake_upstream::Step::{Close, Wait, Write};
use super::site::{Answer, entry, on_site, route};
use crate::desired::{Repeat, Route};
use crate::entry::host::Host;
use crate::entry::notices;
use crate::prelude::*;
use crate::upstreams::{Notice, UpstreamEntry};
use std::cell::Cell;
use std::rc::Rc;

const REQUEST: &str =
    "POST /a/1 HTTP/1.1\r\nHost: X:80\r\nId: i1\r\nWait-Ms: 5000\r\nContent-Length: 3\r\n\r\nabc";
const WHOLE: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok";
const RESTS_FOR_A_MINUTE: &str =
    "HTTP/1.1 503 Busy\r\nId: {id}\r\nNot-Run: 1\r\nRest-Ms: 60000\r\nContent-Length: 0\r\n\r\n";
const RESTS_SHORTLY: &str =
    "HTTP/1.1 503 Busy\r\nId: {id}\r\nNot-Run: 1\r\nRest-Ms: 100\r\nContent-Length: 0\r\n\r\n";
const RESTS_PERHAPS_RUN: &str =
    "HTTP/1.1 503 Busy\r\nId: {id}\r\nRest-Ms: 60000\r\nContent-Length: 0\r\n\r\n";
const STREAM_START: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\nd\r\nid:1\ndata:a\n\n\r\n";

fn retry_after_s(answer: &Answer) -> f64 {
    let text = answer.head.headers.text("Retry-After").expect("a time");
    text.parse().expect("a number")
}

fn rests(host: &Host<FakePlatform>, id: &str) -> bool {
    let upstreams = host.upstreams.borrow();
    let known = upstreams.get(id).expect("it is listed");
    known.notices.rests_until(host.now()).is_some()
}

// Guards against repeating requests at an upstream that has asked for rest.
#[test]
fn an_upstream_that_asks_for_rest_gets_no_request_in_that_time() {
    on_site(|site| async move {
        site.apply_route(route(Repeat::Once)).await;
        let upstream = site
            .start_upstream("u1", vec![vec![Write(RESTS_FOR_A_MINUTE)]])
            .await;
        for _ in 0..6 {
            assert_eq!(site.call(REQUEST).await.head.status, 503);
        }
        assert_eq!(upstream.arrivals.borrow().len(), 1);
    });
}

// Guards against a time to retry at which the upstream still rests, as one that is cut to a part of
// the request's time would be.
#[test]
fn a_request_is_refused_at_once_with_the_time_until_the_first_rest_ends() {
    on_site(|site| async move {
        site.apply_route(route(Repeat::Once)).await;
        let upstream = site
            .start_upstream("u1", vec![vec![Write(RESTS_FOR_A_MINUTE)]])
            .await;
        let first = site.call(REQUEST).await;
        let second = site.call(REQUEST).await;
        let why = "every upstream that could serve the request has asked for rest";
        for refused in [&first, &second] {
            assert_eq!(refused.head.status, 503);
            assert!(refused.body.contains(why), "{}", refused.body);
        }
        let after_s = retry_after_s(&second);
        let rest_s = {
            let upstreams = site.host.upstreams.borrow();
            let known = upstreams.get("u1").expect("it is listed");
            let until = known.notices.rests_until(site.host.now()).expect("a rest");
            until.since(site.host.now()).0 as f64 / 1_000.0
        };
        assert!(rest_s <= after_s && after_s <= 60.0, "{after_s}");
        assert_eq!(upstream.arrivals.borrow().len(), 1);
    });
}

#[test]
fn an_upstream_gets_requests_again_after_its_rest() {
    on_site(|site| async move {
        site.apply_route(route(Repeat::Once)).await;
        let scripts = vec![vec![Write(RESTS_SHORTLY)], vec![Write(WHOLE)]];
        let upstream = site.start_upstream("u1", scripts).await;
        assert_eq!(site.call(REQUEST).await.head.status, 503);
        site.until(|host| !rests(host, "u1")).await;
        assert_eq!(site.call(REQUEST).await.head.status, 200);
        assert_eq!(upstream.arrivals.borrow().len(), 2);
    });
}

// Guards against keeping the rest only where the upstream says that it did not run the request.
#[test]
fn a_rest_is_kept_after_a_refusal_that_does_not_say_that_the_request_did_not_run() {
    on_site(|site| async move {
        site.apply_route(route(Repeat::Once)).await;
        let upstream = site
            .start_upstream("u1", vec![vec![Write(RESTS_PERHAPS_RUN)]])
            .await;
        assert_eq!(site.call(REQUEST).await.head.status, 502);
        assert_eq!(site.call(REQUEST).await.head.status, 503);
        assert_eq!(upstream.arrivals.borrow().len(), 1);
    });
}

// Guards against a second attempt, or a resumed stream, at an upstream that rests.
#[test]
fn a_broken_stream_is_not_resumed_at_an_upstream_that_rests() {
    on_site(|site| async move {
        let streams = Route {
            streams: true,
            ..route(Repeat::Resumable)
        };
        site.apply_route(streams).await;
        let resting = site
            .start_upstream("u1", vec![vec![Write(RESTS_FOR_A_MINUTE)]])
            .await;
        assert_eq!(site.call(REQUEST).await.head.status, 503);
        let may_break = Rc::new(Cell::new(false));
        let cut = vec![Write(STREAM_START), Wait(may_break.clone()), Close];
        let first = site.start_upstream("u2", vec![cut]).await;
        let mut caller = site.connect().await;
        caller.send(REQUEST).await;
        site.until(|_| first.arrivals.borrow().len() == 1).await;
        may_break.set(true);
        assert!(!caller.answer().await.is_whole);
        assert_eq!(resting.arrivals.borrow().len(), 1);
    });
}

// Guards against letting a request wait for an upstream that was free when it began to wait and
// rests now.
#[test]
fn a_request_that_waits_hears_at_once_that_every_upstream_rests() {
    on_site(|site| async move {
        site.apply_route(route(Repeat::Once)).await;
        let upstream = site.start_upstream("u1", vec![vec![Write(WHOLE)]]).await;
        let lifetime = {
            let upstreams = site.host.upstreams.borrow();
            upstreams.get("u1").expect("it is listed").lifetime()
        };
        // As many requests as the host may have in flight there, so the next one waits.
        for _ in 0..100 {
            let mut upstreams = site.host.upstreams.borrow_mut();
            upstreams.begin_request(&lifetime, 0);
        }
        let mut caller = site.connect().await;
        caller.send(REQUEST).await;
        site.until(|host| host.active_requests.get() == 1).await;
        let rest = Notice {
            is_leaving: false,
            rest_ms: Some(Millis(60_000)),
        };
        notices::note_answer(&site.host, &lifetime, rest);
        let refused = caller.answer().await;
        let why = "every upstream that could serve the request has asked for rest";
        assert!(refused.body.contains(why), "{}", refused.body);
        assert!(retry_after_s(&refused) > 5.0);
        assert!(upstream.arrivals.borrow().is_empty());
    });
}

// Guards against taking the rest of one lifetime for another one's.
#[test]
fn an_upstream_that_starts_again_under_its_name_does_not_rest() {
    on_site(|site| async move {
        site.apply_route(route(Repeat::Once)).await;
        let scripts = vec![vec![Write(RESTS_FOR_A_MINUTE)], vec![Write(WHOLE)]];
        let upstream = site.start_upstream("u1", scripts).await;
        assert_eq!(site.call(REQUEST).await.head.status, 503);
        let next = UpstreamEntry {
            born_at: Millis(1),
            ..entry("u1", upstream.address)
        };
        site.store.write_upstream("u1", Some(next));
        site.until(|host| !rests(host, "u1")).await;
        assert_eq!(site.call(REQUEST).await.head.status, 200);
    });
}
