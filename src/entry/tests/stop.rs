//! A planned stop of a host.

use super::fake_upstream::FakeUpstream;
use super::fake_upstream::Step::{self, Hang, Wait, Write};
use super::site::{Answer, Site, on_site, route};
use crate::desired::{Repeat, Route};
use crate::entry::settings::{EntrySettings, PlatformBounds};
use crate::entry::stop::{self, STOP_ACCEPT_MS};
use crate::prelude::*;
use smol::Timer;
use std::cell::Cell;
use std::rc::Rc;

const WHOLE: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok";
const REQUEST: &str = "GET /a/ HTTP/1.1\r\nHost: x\r\nId: i1\r\nWait-Ms: 5000\r\n\r\n";

/// The time that the platform gives a host to stop, in seconds, in tests that wait for it.
const SHORT_STOP_S: f64 = 2.0;
/// How long requests last that cannot end in the second half of such a stop.
const LONG_MS: Millis = Millis(1_000);

/// Starts a site with a short time to stop, a route with this repeat rule and an upstream.
async fn start(site: &Site, route: Route, scripts: Vec<Vec<Step>>) -> FakeUpstream {
    let settings = EntrySettings {
        bounds: PlatformBounds {
            stop_s: SHORT_STOP_S,
            ..site.host.settings().bounds
        },
        ..(*site.host.settings()).clone()
    };
    *site.host.settings.borrow_mut() = Rc::new(settings);
    site.apply_route(route).await;
    site.start_upstream("u1", scripts).await
}

/// Sends a request, begins a stop while it runs, and waits for the end of the stop. Returns the answer as
/// far as it came.
async fn call_over_stop(site: &Site, upstream: &FakeUpstream) -> Answer {
    let mut caller = site.connect().await;
    caller.send(REQUEST).await;
    site.until(|_| upstream.arrivals.borrow().len() == 1).await;
    site.host.begin_stop();
    let began_at = site.host.now();
    let host = site.host.clone();
    let stopped = site.executor.spawn(async move {
        stop::wait(&*host).await;
        host.now()
    });
    let answer = caller.answer().await;
    let answered_at = site.host.now();
    let stopped_at = stopped.await;
    assert!(answered_at <= stopped_at, "{answered_at:?}, {stopped_at:?}");
    let stop_ms = stopped_at.since(began_at);
    let allowed_ms = site.host.settings().bounds.stop_ms();
    assert!(stop_ms < allowed_ms, "{stop_ms:?}");
    answer
}

// Guards against a late request that is passed on although it lasts longer than what is left of the stop,
// and is cut without an answer.
#[test]
fn a_request_that_cannot_end_within_the_stop_is_refused_as_not_run() {
    for repeat in [Repeat::Once, Repeat::Idempotent] {
        on_site(|site| async move {
            let may_answer = Rc::new(Cell::new(false));
            let slow = vec![Wait(may_answer.clone()), Write(WHOLE)];
            let upstream = start(&site, route(repeat), vec![slow]).await;
            let mut caller = site.connect().await;
            caller.send(REQUEST).await;
            Timer::after(LONG_MS.to_duration()).await;
            may_answer.set(true);
            assert_eq!(caller.answer().await.head.status, 200);
            site.host.begin_stop();
            Timer::after(LONG_MS.to_duration()).await;
            let sent_at = site.host.now();
            let answer = site.call(REQUEST).await;
            assert_eq!(answer.head.status, 503, "{repeat:?}: {}", answer.body);
            assert!(answer.body.contains("stopping"), "{}", answer.body);
            assert!(site.host.now().since(sent_at) < Millis(300));
            assert_eq!(upstream.arrivals.borrow().len(), 1);
        });
    }
}

// Guards against the same where nothing is known of how long such requests last.
#[test]
fn a_request_of_unknown_length_is_served_in_a_stop_only_if_its_deadline_is_within() {
    on_site(|site| async move {
        let upstream = start(&site, route(Repeat::Once), vec![vec![Write(WHOLE)]]).await;
        site.host.begin_stop();
        let answer = site.call(REQUEST).await;
        assert_eq!(answer.head.status, 503, "{}", answer.body);
        assert!(upstream.arrivals.borrow().is_empty());
        let short = REQUEST.replace("Wait-Ms: 5000", "Wait-Ms: 500");
        assert_eq!(site.call(&short).await.head.status, 200);
    });
}

// Guards against a request whose caller's connection is closed without an answer at the end of a stop.
#[test]
fn a_request_that_is_open_at_the_end_of_a_stop_gets_an_answer() {
    for repeat in [Repeat::Once, Repeat::Idempotent, Repeat::Resumable] {
        on_site(|site| async move {
            let upstream = start(&site, route(repeat), vec![vec![Hang]]).await;
            let answer = call_over_stop(&site, &upstream).await;
            assert_eq!(answer.head.status, 502, "{repeat:?}: {}", answer.body);
            assert!(answer.is_whole && !answer.head.keep_alive);
            site.until(|_| *upstream.disconnects.borrow() == 1).await;
        });
    }
}

// Guards against a stream that looks complete because its host stopped.
#[test]
fn a_stream_that_is_open_at_the_end_of_a_stop_ends_as_cut() {
    on_site(|site| async move {
        let streams = Route {
            streams: true,
            ..route(Repeat::Once)
        };
        let begun = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\n\r\nid: 1\ndata: a\n\n";
        let upstream = start(&site, streams, vec![vec![Write(begun), Hang]]).await;
        let answer = call_over_stop(&site, &upstream).await;
        assert_eq!((answer.head.status, answer.is_whole), (200, false));
        assert_eq!(answer.body, "id: 1\ndata: a\n\n");
    });
}

#[test]
fn a_stopping_host_is_not_ready_but_serves_early_requests_and_closes_their_connections() {
    on_site(|site| async move {
        site.publish_desired(1, vec![route(Repeat::Once)]);
        site.until_version(1).await;
        site.start_upstream("u1", vec![vec![Write(WHOLE)]]).await;
        assert!(site.host.is_ready());
        site.host.begin_stop();
        assert!(!site.host.is_ready());
        let answer = site.call(REQUEST).await;
        assert_eq!(answer.head.status, 200);
        assert!(!answer.head.keep_alive);
    });
}

#[test]
fn a_request_late_in_a_stop_is_refused_as_not_run() {
    on_site(|site| async move {
        site.publish_desired(1, vec![route(Repeat::Once)]);
        site.until_version(1).await;
        let upstream = site.start_upstream("u1", vec![vec![Write(WHOLE)]]).await;
        let mut caller = site.connect().await;
        caller.send(REQUEST).await;
        assert_eq!(caller.answer().await.head.status, 200);
        site.host
            .stop_requested_at
            .set(Some(site.host.now() - STOP_ACCEPT_MS));
        caller.send(REQUEST).await;
        let answer = caller.answer().await;
        assert_eq!(answer.head.status, 503);
        assert!(!answer.head.keep_alive);
        assert_eq!(upstream.arrivals.borrow().len(), 1);
    });
}

#[test]
fn a_stop_is_over_when_no_request_is_active_and_callers_had_time_to_move() {
    on_site(|site| async move {
        site.host.begin_stop();
        let requested_at = site.host.stop_requested_at.get().expect("it stops");
        site.host
            .stop_requested_at
            .set(Some(requested_at - STOP_ACCEPT_MS));
        crate::entry::stop::wait(&*site.host).await;
        assert!(site.host.now() < requested_at + Millis(4_000));
    });
}

#[test]
fn a_request_that_waits_for_an_upstream_is_refused_when_its_host_stops() {
    on_site(|site| async move {
        site.publish_desired(1, vec![route(Repeat::Once)]);
        site.until_version(1).await;
        let mut caller = site.connect().await;
        caller.send(REQUEST).await;
        site.until(|host| host.active_requests.get() == 1).await;
        site.host.begin_stop();
        let answer = caller.answer().await;
        assert_eq!(answer.head.status, 503);
        assert!(answer.body.contains("stopping"), "{}", answer.body);
    });
}
