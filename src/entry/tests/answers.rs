//! What callers get when upstreams answer wrongly, twice, late, incompletely or not at all.

use super::fake_upstream::Step::{Close, Hang, Wait, Write};
use super::site::{Site, entry, on_site, route};
use crate::desired::{Repeat, Route};
use crate::entry::request_log::RequestSummary;
use crate::prelude::*;
use std::cell::Cell;
use std::rc::Rc;

const REQUEST: &str = "POST /a/1?q=%2f HTTP/1.1\r\nHost: X:80\r\nId: i1\r\nWait-Ms: 5000\r\nReserved: 1\r\nX-Own: 2\r\nContent-Length: 3\r\n\r\nabc";
const WHOLE: &str =
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nX-Up: 3\r\nContent-Length: 2\r\n\r\nok";
const BUSY: &str = "HTTP/1.1 503 Busy\r\nId: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
const FAILED: &str = "HTTP/1.1 500 Failed\r\nId: {id}\r\nSeal: s\r\nContent-Length: 3\r\n\r\nbad";

/// Puts a route with this repeat rule into force.
async fn apply_route(site: &Site, repeat: Repeat) {
    site.publish_desired(1, vec![route(repeat)]);
    site.until_version(1).await;
}

fn stream_route(repeat: Repeat) -> Route {
    Route {
        streams: true,
        ..route(repeat)
    }
}

#[test]
fn a_request_is_forwarded_unchanged_except_for_the_headers_that_hosts_set() {
    on_site(|site| async move {
        apply_route(&site, Repeat::Once).await;
        let upstream = site.start_upstream("u1", vec![vec![Write(WHOLE)]]).await;
        let answer = site.call(REQUEST).await;
        assert_eq!((answer.head.status, &*answer.body), (200, "ok"));
        assert_eq!(answer.head.headers.text("X-Up"), Some("3"));
        let arrival = upstream.arrivals.borrow()[0].clone();
        assert_eq!(&*arrival.head.target, "/a/1?q=%2f");
        assert_eq!(&*arrival.head.method, "POST");
        assert_eq!(arrival.body, b"abc");
        let headers = &arrival.head.headers;
        assert_eq!(headers.text("X-Own"), Some("2"));
        assert_eq!(headers.text("Reserved"), None);
        assert_eq!(headers.text("Upstream"), Some("u1"));
        assert!(headers.number("Wait-Ms").expect("a time") <= 5_000);
    });
}

#[test]
fn a_lost_answer_to_a_request_that_must_not_run_twice_is_reported_as_unknown() {
    on_site(|site| async move {
        apply_route(&site, Repeat::Once).await;
        let first = site.start_upstream("u1", vec![vec![Close]]).await;
        let second = site.start_upstream("u2", vec![vec![Close]]).await;
        let answer = site.call(REQUEST).await;
        assert_eq!(answer.head.status, 502);
        let arrivals = first.arrivals.borrow().len() + second.arrivals.borrow().len();
        assert_eq!(arrivals, 1);
    });
}

#[test]
fn an_idempotent_request_whose_answer_is_lost_is_sent_to_another_upstream() {
    on_site(|site| async move {
        apply_route(&site, Repeat::Idempotent).await;
        let is_healthy_known = Rc::new(Cell::new(false));
        let broken = site
            .start_upstream("u1", vec![vec![Wait(is_healthy_known.clone()), Close]])
            .await;
        let mut caller = site.connect().await;
        caller.send(REQUEST).await;
        site.until(|_| broken.arrivals.borrow().len() == 1).await;
        let healthy = site.start_upstream("u2", vec![vec![Write(WHOLE)]]).await;
        is_healthy_known.set(true);
        assert_eq!(caller.answer().await.head.status, 200);
        assert_eq!(healthy.arrivals.borrow().len(), 1);
    });
}

#[test]
fn a_request_that_every_upstream_refuses_is_refused_as_not_run_with_a_retry_time() {
    on_site(|site| async move {
        apply_route(&site, Repeat::Once).await;
        let upstream = site.start_upstream("u1", vec![vec![Write(BUSY)]]).await;
        let answer = site.call(REQUEST).await;
        assert_eq!(answer.head.status, 503);
        let after_s: f64 = answer
            .head
            .headers
            .text("Retry-After")
            .expect("a time")
            .parse()
            .expect("a number");
        assert!(after_s > 0.0 && after_s < 5.0 / 3.0);
        assert!(!upstream.arrivals.borrow().is_empty());
    });
}

#[test]
fn an_upstreams_failure_is_passed_on_when_every_other_upstream_fails_too() {
    on_site(|site| async move {
        apply_route(&site, Repeat::Idempotent).await;
        let upstreams = [
            site.start_upstream("u1", vec![vec![Write(FAILED)]]).await,
            site.start_upstream("u2", vec![vec![Write(FAILED)]]).await,
        ];
        let answer = site.call(REQUEST).await;
        assert_eq!((answer.head.status, &*answer.body), (500, "bad"));
        assert_eq!(answer.head.headers.text("Seal"), Some("s"));
        assert!(
            upstreams
                .iter()
                .all(|upstream| upstream.arrivals.borrow().len() == 1)
        );
    });
}

#[test]
fn no_part_of_a_short_answer_that_breaks_off_reaches_the_caller() {
    on_site(|site| async move {
        apply_route(&site, Repeat::Once).await;
        let cut = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 20\r\n\r\nhalf";
        site.start_upstream("u1", vec![vec![Write(cut), Close]])
            .await;
        assert_eq!(site.call(REQUEST).await.head.status, 502);
    });
}

#[test]
fn a_success_without_the_upstreams_seal_is_not_passed_on() {
    on_site(|site| async move {
        apply_route(&site, Repeat::Once).await;
        let unsealed = "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 2\r\n\r\nok";
        site.start_upstream("u1", vec![vec![Write(unsealed)]]).await;
        assert_eq!(site.call(REQUEST).await.head.status, 502);
    });
}

#[test]
fn an_extra_answer_to_an_earlier_request_is_discarded() {
    on_site(|site| async move {
        apply_route(&site, Repeat::Idempotent).await;
        let extra = "HTTP/1.1 200 OK\r\nId: other\r\nSeal: s\r\nContent-Length: 5\r\n\r\nwrong";
        let upstream = site.start_upstream(
            "u1",
            vec![
                vec![Write(extra), Write(WHOLE), Write(extra)],
                vec![Write(WHOLE)],
            ],
        );
        let upstream = upstream.await;
        for _ in 0..3 {
            let answer = site.call(REQUEST).await;
            assert_eq!((answer.head.status, &*answer.body), (200, "ok"));
        }
        assert_eq!(upstream.arrivals.borrow().len(), 3);
    });
}

#[test]
fn a_lifetime_whose_address_belongs_to_another_one_gets_no_more_requests() {
    on_site(|site| async move {
        apply_route(&site, Repeat::Once).await;
        let moved = "HTTP/1.1 421 Misdirected\r\nId: {id}\r\nNot-Run: 1\r\nLifetime: u9\r\nContent-Length: 0\r\n\r\n";
        let upstream = site.start_upstream("u1", vec![vec![Write(moved)]]).await;
        let address = upstream.address;
        assert_eq!(site.call(REQUEST).await.head.status, 503);
        assert!(site.host.upstreams.borrow().get("u1").is_none());
        site.store.write_upstream("u1", Some(entry("u1", address)));
        site.store.write_upstream("u2", Some(entry("u2", address)));
        site.until(|host| host.upstreams.borrow().get("u2").is_some())
            .await;
        assert!(site.host.upstreams.borrow().get("u1").is_none());
    });
}

#[test]
fn a_broken_stream_is_resumed_elsewhere_after_its_last_complete_event() {
    on_site(|site| async move {
        site.publish_desired(1, vec![stream_route(Repeat::Resumable)]);
        site.until_version(1).await;
        let stream_start = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s1\r\nTransfer-Encoding: chunked\r\n\r\n11\r\nid: 1\ndata: a\n\nid\r\n";
        let rest = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s2\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";
        let is_second_known = Rc::new(Cell::new(false));
        let script = vec![Write(stream_start), Wait(is_second_known.clone()), Close];
        let first = site.start_upstream("u1", vec![script]).await;
        let mut caller = site.connect().await;
        caller.send(REQUEST).await;
        site.until(|_| first.arrivals.borrow().len() == 1).await;
        let second = site.start_upstream("u2", vec![vec![Write(rest)]]).await;
        is_second_known.set(true);
        let answer = caller.answer().await;
        assert!(answer.is_whole);
        assert_eq!(answer.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        assert_eq!(answer.head.headers.text("Seal"), Some("s1"));
        let arrival = second.arrivals.borrow()[0].clone();
        assert_eq!(arrival.head.headers.text("Resume-After"), Some("1"));
    });
}

/// Guards against resuming a stream elsewhere while its engine only pauses: an engine that runs out
/// of memory preempts a stream and continues it seconds later.
#[test]
fn a_stream_whose_upstream_pauses_for_seconds_is_not_moved_to_another_upstream() {
    const PAUSE_MS: Millis = Millis(3_000);
    on_site(|site| async move {
        site.publish_desired(1, vec![stream_route(Repeat::Resumable)]);
        site.until_version(1).await;
        let stream_start = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s1\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n";
        let rest = "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";
        let may_continue = Rc::new(Cell::new(false));
        let script = vec![Write(stream_start), Wait(may_continue.clone()), Write(rest)];
        let first = site.start_upstream("u1", vec![script]).await;
        let mut caller = site.connect().await;
        caller.send(REQUEST).await;
        site.until(|_| first.arrivals.borrow().len() == 1).await;
        let second = site.start_upstream("u2", vec![vec![Hang]]).await;
        let since = site.host.now();
        site.until(|host| host.now().since(since) >= PAUSE_MS).await;
        may_continue.set(true);
        let answer = caller.answer().await;
        assert!(answer.is_whole);
        assert_eq!(answer.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        assert!(second.arrivals.borrow().is_empty());
    });
}

#[test]
fn a_broken_stream_that_must_not_run_twice_does_not_look_complete_to_the_caller() {
    on_site(|site| async move {
        site.publish_desired(1, vec![stream_route(Repeat::Once)]);
        site.until_version(1).await;
        let stream_start = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s1\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n";
        let first = site
            .start_upstream("u1", vec![vec![Write(stream_start), Close]])
            .await;
        let second = site
            .start_upstream("u2", vec![vec![Write(stream_start), Close]])
            .await;
        let answer = site.call(REQUEST).await;
        assert!(!answer.is_whole);
        assert_eq!(
            first.arrivals.borrow().len() + second.arrivals.borrow().len(),
            1
        );
    });
}

#[test]
fn a_request_whose_caller_disconnects_is_cancelled_at_the_upstream() {
    on_site(|site| async move {
        apply_route(&site, Repeat::Once).await;
        let upstream = site.start_upstream("u1", vec![vec![Hang]]).await;
        let mut caller = site.connect().await;
        caller.send(REQUEST).await;
        site.until(|_| upstream.arrivals.borrow().len() == 1).await;
        drop(caller);
        site.until(|_| *upstream.disconnects.borrow() == 1).await;
        site.until(|host| host.active_requests.get() == 0).await;
    });
}

#[test]
fn a_request_without_an_answer_ends_at_the_time_limit_of_its_route() {
    on_site(|site| async move {
        let limited = Route {
            time_limit_ms: Millis(300),
            ..route(Repeat::Once)
        };
        site.publish_desired(1, vec![limited]);
        site.until_version(1).await;
        let upstream = site.start_upstream("u1", vec![vec![Hang]]).await;
        assert_eq!(site.call(REQUEST).await.head.status, 502);
        site.until(|_| *upstream.disconnects.borrow() == 1).await;
    });
}

#[test]
fn an_upstreams_refusal_without_the_not_run_header_is_not_passed_on_as_not_run() {
    for refusal in [
        "HTTP/1.1 503 Busy\r\nId: {id}\r\nSeal: s\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 429 Busy\r\nId: {id}\r\nSeal: s\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 408 Busy\r\nId: {id}\r\nContent-Length: 0\r\n\r\n",
    ] {
        on_site(|site| async move {
            apply_route(&site, Repeat::Once).await;
            let upstream = site.start_upstream("u1", vec![vec![Write(refusal)]]).await;
            assert_eq!(site.call(REQUEST).await.head.status, 502);
            assert_eq!(upstream.arrivals.borrow().len(), 1);
        });
    }
}

#[test]
fn a_client_error_without_the_upstreams_seal_is_not_passed_on() {
    on_site(|site| async move {
        apply_route(&site, Repeat::Once).await;
        let not_found = "HTTP/1.1 404 Gone\r\nId: {id}\r\nContent-Length: 0\r\n\r\n";
        site.start_upstream("u1", vec![vec![Write(not_found)]])
            .await;
        assert_eq!(site.call(REQUEST).await.head.status, 502);
    });
}

#[test]
fn the_log_line_names_the_upstream_of_a_send_that_has_no_outcome_yet() {
    let mut summary = RequestSummary::default();
    summary.note_send(&Name::from("u1"));
    assert_eq!(summary.sends, [("u1".into(), "under_way")]);
    summary.note_result("answered");
    assert_eq!(summary.sends, [("u1".into(), "answered")]);
}

// Guards against taking an upstream that is silent for a second for one that is gone.
#[test]
fn an_upstream_that_is_silent_for_a_second_still_gets_requests() {
    on_site(|site| async move {
        site.apply_route(route(Repeat::Once)).await;
        let scripts = vec![vec![Hang], vec![Write(WHOLE)]];
        site.start_upstream("u1", scripts).await;
        let silent = REQUEST.replace("Wait-Ms: 5000", "Wait-Ms: 1300");
        assert_ne!(silent, REQUEST);
        assert_eq!(site.call(&silent).await.head.status, 502);
        let upstreams = site.host.upstreams.borrow();
        let known = upstreams.get("u1").expect("it is listed");
        assert!(!known.health.is_backing_off(site.host.now()));
    });
}
