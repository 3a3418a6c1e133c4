//! What callers get when upstreams answer wrongly, twice, late, not at all, or not whole.

use super::fake_upstream::Step::{Close, Hang, Wait, Write};
use super::site::{Site, entry, on_site, route};
use crate::desired::{Repeat, Route};
use crate::entry::course::Course;
use crate::prelude::*;
use std::cell::Cell;
use std::rc::Rc;

const REQUEST: &str = "POST /a/1?q=%2f HTTP/1.1\r\nHost: X:80\r\nId: i1\r\nWait-Ms: 5000\r\nReserved: 1\r\nX-Own: 2\r\nContent-Length: 3\r\n\r\nabc";
const WHOLE: &str =
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nX-Up: 3\r\nContent-Length: 2\r\n\r\nok";
const BUSY: &str = "HTTP/1.1 503 Busy\r\nId: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
const FAILED: &str = "HTTP/1.1 500 Failed\r\nId: {id}\r\nSeal: s\r\nContent-Length: 3\r\n\r\nbad";

async fn serve_by(site: &Site, repeat: Repeat) {
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
fn a_request_passes_unchanged_but_for_what_hosts_set() {
    on_site(|site| async move {
        serve_by(&site, Repeat::Once).await;
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
fn a_lost_answer_is_unknown_where_the_request_must_not_run_twice() {
    on_site(|site| async move {
        serve_by(&site, Repeat::Once).await;
        let first = site.start_upstream("u1", vec![vec![Close]]).await;
        let second = site.start_upstream("u2", vec![vec![Close]]).await;
        let answer = site.call(REQUEST).await;
        assert_eq!(answer.head.status, 502);
        let arrivals = first.arrivals.borrow().len() + second.arrivals.borrow().len();
        assert_eq!(arrivals, 1);
    });
}

#[test]
fn a_lost_answer_is_tried_elsewhere_where_the_request_may_run_twice() {
    on_site(|site| async move {
        serve_by(&site, Repeat::Idempotent).await;
        let is_sound_known = Rc::new(Cell::new(false));
        let dead = site
            .start_upstream("u1", vec![vec![Wait(is_sound_known.clone()), Close]])
            .await;
        let mut caller = site.connect().await;
        caller.send(REQUEST).await;
        site.until(|_| dead.arrivals.borrow().len() == 1).await;
        let sound = site.start_upstream("u2", vec![vec![Write(WHOLE)]]).await;
        is_sound_known.set(true);
        assert_eq!(caller.answer().await.head.status, 200);
        assert_eq!(sound.arrivals.borrow().len(), 1);
    });
}

#[test]
fn refusals_of_every_upstream_are_not_run_with_a_time_to_come_back() {
    on_site(|site| async move {
        serve_by(&site, Repeat::Once).await;
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
fn a_failure_that_an_upstream_answered_is_passed_on_when_no_other_does_better() {
    on_site(|site| async move {
        serve_by(&site, Repeat::Idempotent).await;
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
fn a_short_answer_that_breaks_off_never_reaches_the_caller() {
    on_site(|site| async move {
        serve_by(&site, Repeat::Once).await;
        let cut = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 20\r\n\r\nhalf";
        site.start_upstream("u1", vec![vec![Write(cut), Close]])
            .await;
        assert_eq!(site.call(REQUEST).await.head.status, 502);
    });
}

#[test]
fn a_success_without_a_seal_is_no_success() {
    on_site(|site| async move {
        serve_by(&site, Repeat::Once).await;
        let bare = "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 2\r\n\r\nok";
        site.start_upstream("u1", vec![vec![Write(bare)]]).await;
        assert_eq!(site.call(REQUEST).await.head.status, 502);
    });
}

#[test]
fn an_extra_answer_to_an_earlier_request_reaches_nobody() {
    on_site(|site| async move {
        serve_by(&site, Repeat::Idempotent).await;
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
fn a_lifetime_that_lost_its_address_gets_nothing_more() {
    on_site(|site| async move {
        serve_by(&site, Repeat::Once).await;
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
fn a_broken_stream_goes_on_after_its_last_whole_event() {
    on_site(|site| async move {
        site.publish_desired(1, vec![stream_route(Repeat::Resumable)]);
        site.until_version(1).await;
        let begun = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s1\r\nTransfer-Encoding: chunked\r\n\r\n11\r\nid: 1\ndata: a\n\nid\r\n";
        let rest = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s2\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";
        let is_second_known = Rc::new(Cell::new(false));
        let script = vec![Write(begun), Wait(is_second_known.clone()), Close];
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

/// An engine that runs out of memory puts a stream back and goes on with it seconds later; another upstream is there.
#[test]
fn a_stream_whose_upstream_is_silent_for_seconds_stays_there() {
    const SILENCE_MS: Millis = Millis(3_000);
    on_site(|site| async move {
        site.publish_desired(1, vec![stream_route(Repeat::Resumable)]);
        site.until_version(1).await;
        let begun = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s1\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n";
        let rest = "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";
        let goes_on = Rc::new(Cell::new(false));
        let script = vec![Write(begun), Wait(goes_on.clone()), Write(rest)];
        let first = site.start_upstream("u1", vec![script]).await;
        let mut caller = site.connect().await;
        caller.send(REQUEST).await;
        site.until(|_| first.arrivals.borrow().len() == 1).await;
        let second = site.start_upstream("u2", vec![vec![Hang]]).await;
        let since = site.host.now();
        site.until(|host| host.now().since(since) >= SILENCE_MS)
            .await;
        goes_on.set(true);
        let answer = caller.answer().await;
        assert!(answer.is_whole);
        assert_eq!(answer.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        assert!(second.arrivals.borrow().is_empty());
    });
}

#[test]
fn a_broken_stream_that_must_not_run_twice_does_not_look_whole() {
    on_site(|site| async move {
        site.publish_desired(1, vec![stream_route(Repeat::Once)]);
        site.until_version(1).await;
        let begun = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s1\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n";
        let first = site
            .start_upstream("u1", vec![vec![Write(begun), Close]])
            .await;
        let second = site
            .start_upstream("u2", vec![vec![Write(begun), Close]])
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
fn a_caller_that_leaves_ends_the_work_at_the_upstream() {
    on_site(|site| async move {
        serve_by(&site, Repeat::Once).await;
        let upstream = site.start_upstream("u1", vec![vec![Hang]]).await;
        let mut caller = site.connect().await;
        caller.send(REQUEST).await;
        site.until(|_| upstream.arrivals.borrow().len() == 1).await;
        drop(caller);
        site.until(|_| *upstream.left.borrow() == 1).await;
        site.until(|host| host.active_requests.get() == 0).await;
    });
}

#[test]
fn an_answer_that_does_not_come_is_given_up_at_the_routes_time_limit() {
    on_site(|site| async move {
        let limited = Route {
            time_limit_ms: Millis(300),
            ..route(Repeat::Once)
        };
        site.publish_desired(1, vec![limited]);
        site.until_version(1).await;
        let upstream = site.start_upstream("u1", vec![vec![Hang]]).await;
        assert_eq!(site.call(REQUEST).await.head.status, 502);
        site.until(|_| *upstream.left.borrow() == 1).await;
    });
}

#[test]
fn a_refusal_that_does_not_say_not_run_is_no_promise_to_the_caller() {
    for refusal in [
        "HTTP/1.1 503 Busy\r\nId: {id}\r\nSeal: s\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 429 Busy\r\nId: {id}\r\nSeal: s\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 408 Busy\r\nId: {id}\r\nContent-Length: 0\r\n\r\n",
    ] {
        on_site(|site| async move {
            serve_by(&site, Repeat::Once).await;
            let upstream = site.start_upstream("u1", vec![vec![Write(refusal)]]).await;
            assert_eq!(site.call(REQUEST).await.head.status, 502);
            assert_eq!(upstream.arrivals.borrow().len(), 1);
        });
    }
}

#[test]
fn a_denial_without_a_seal_is_not_passed_on() {
    on_site(|site| async move {
        serve_by(&site, Repeat::Once).await;
        let denial = "HTTP/1.1 404 Gone\r\nId: {id}\r\nContent-Length: 0\r\n\r\n";
        site.start_upstream("u1", vec![vec![Write(denial)]]).await;
        assert_eq!(site.call(REQUEST).await.head.status, 502);
    });
}

#[test]
fn the_upstream_of_a_send_without_a_result_is_in_the_log_line() {
    let mut course = Course::default();
    course.note_send(&Name::from("u1"));
    assert_eq!(course.sends, [("u1".into(), "under_way")]);
    course.note_result("answered");
    assert_eq!(course.sends, [("u1".into(), "answered")]);
}
