//! Requests that are malformed, too long, pipelined or sent to a host that cannot serve them.

use super::fake_upstream::Step::Write;
use super::site::{on_site, route};
use crate::desired::Repeat;
use crate::entry::caller::MAX_HELD_BODY_BYTES;

const WHOLE: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 4\r\n\r\n{id}";

#[test]
fn a_host_without_a_desired_state_refuses_with_a_retry_time() {
    on_site(|site| async move {
        let answer = site
            .call("GET /a/ HTTP/1.1\r\nHost: x\r\nId: i1\r\nWait-Ms: 900\r\n\r\n")
            .await;
        assert_eq!(answer.head.status, 503);
        assert!(answer.head.headers.text("Retry-After").is_some());
    });
}

#[test]
fn invalid_requests_get_the_right_status_and_reach_no_upstream() {
    on_site(|site| async move {
        site.publish_desired(1, vec![route(Repeat::Once)]);
        site.until_version(1).await;
        let upstream = site.start_upstream("u1", vec![vec![Write(WHOLE)]]).await;
        let long = format!(
            "GET /a/ HTTP/1.1\r\nHost: x\r\nId: i1\r\nX: {}\r\n\r\n",
            "x".repeat(20_000)
        );
        for (request, status) in [
            ("GET /b/ HTTP/1.1\r\nHost: x\r\nId: i1\r\n\r\n", 404),
            ("GET /a/ HTTP/1.1\r\nHost: y\r\nId: i1\r\n\r\n", 404),
            ("GET /a/ HTTP/1.1\r\nHost: x\r\n\r\n", 400),
            (
                "POST /a/ HTTP/1.1\r\nHost: x\r\nId: i1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
                400,
            ),
            (
                "POST /a/ HTTP/1.1\r\nHost: x\r\nId: i1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                400,
            ),
            (
                "POST /a/ HTTP/1.1\r\nHost: x\r\nId: i1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
                400,
            ),
            (
                "POST /a/ HTTP/1.1\r\nHost: x\r\nId: i1\r\nContent-Length: 99999999\r\n\r\n",
                413,
            ),
            (&long, 431),
        ] {
            let answer = site.call(request).await;
            assert_eq!(
                answer.head.status,
                status,
                "{}",
                &request[..request.len().min(90)]
            );
        }
        assert!(upstream.arrivals.borrow().is_empty());
    });
}

#[test]
fn pipelined_requests_get_their_own_answers_in_order() {
    on_site(|site| async move {
        site.publish_desired(1, vec![route(Repeat::Once)]);
        site.until_version(1).await;
        site.start_upstream("u1", vec![vec![Write(WHOLE)]]).await;
        let mut caller = site.connect().await;
        let request =
            |id: &str| format!("GET /a/ HTTP/1.1\r\nHost: x\r\nId: {id}\r\nWait-Ms: 5000\r\n\r\n");
        let three = [request("id-1"), request("id-2"), request("id-3")].concat();
        caller.send(&three).await;
        for id in ["id-1", "id-2", "id-3"] {
            assert_eq!(caller.answer().await.body, id);
        }
    });
}

#[test]
fn a_chunked_request_body_reaches_the_upstream_completely() {
    on_site(|site| async move {
        site.publish_desired(1, vec![route(Repeat::Once)]);
        site.until_version(1).await;
        let upstream = site.start_upstream("u1", vec![vec![Write(WHOLE)]]).await;
        let request = "POST /a/ HTTP/1.1\r\nHost: x\r\nId: id-1\r\nWait-Ms: 5000\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
        assert_eq!(site.call(request).await.head.status, 200);
        assert_eq!(upstream.arrivals.borrow()[0].body, b"abcde");
    });
}

#[test]
fn a_body_beyond_the_hosts_memory_limit_for_bodies_is_refused_as_not_run() {
    on_site(|site| async move {
        site.publish_desired(1, vec![route(Repeat::Once)]);
        site.until_version(1).await;
        let upstream = site.start_upstream("u1", vec![vec![Write(WHOLE)]]).await;
        let request = "POST /a/ HTTP/1.1\r\nHost: x\r\nId: i001\r\nContent-Length: 3\r\n\r\nabc";
        site.host.held_body_bytes.set(MAX_HELD_BODY_BYTES - 2);
        let answer = site.call(request).await;
        assert_eq!(answer.head.status, 503);
        assert!(answer.head.headers.text("Retry-After").is_some());
        assert!(upstream.arrivals.borrow().is_empty());
        site.host.held_body_bytes.set(MAX_HELD_BODY_BYTES - 3);
        assert_eq!(site.call(request).await.head.status, 200);
        assert_eq!(site.host.held_body_bytes.get(), MAX_HELD_BODY_BYTES - 3);
    });
}
