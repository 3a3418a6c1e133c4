//! A planned stop of a host.

use super::fake_upstream::Step::Write;
use super::site::{on_site, route};
use crate::desired::Repeat;
use crate::entry::stop::STOP_ACCEPT_MS;
use crate::prelude::*;

const WHOLE: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok";
const REQUEST: &str = "GET /a/ HTTP/1.1\r\nHost: x\r\nId: i1\r\nWait-Ms: 5000\r\n\r\n";

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
