//! Whether each answer that a host acts on is the answer to that very send.

use super::fake_upstream::Step::{RepeatPrevious, Write};
use super::site::{on_site, route};
use crate::desired::Repeat;

const REQUEST: &str =
    "POST /a/1 HTTP/1.1\r\nHost: x\r\nId: i1\r\nWait-Ms: 5000\r\nContent-Length: 3\r\n\r\nabc";
const WHOLE: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok";
const BUSY: &str = "HTTP/1.1 503 Busy\r\nId: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

// Guards against taking a late copy of the rejection of a request's first send for the answer to its
// second send: the request runs and is refused as not run.
#[test]
fn a_copy_of_a_rejection_is_not_taken_for_the_answer_to_the_next_send_of_the_request() {
    on_site(|site| async move {
        site.apply_route(route(Repeat::Once)).await;
        let scripts = vec![vec![Write(BUSY)], vec![RepeatPrevious, Write(WHOLE)]];
        let upstream = site.start_upstream("u1", scripts).await;
        let answer = site.call(REQUEST).await;
        assert_eq!((answer.head.status, &*answer.body), (200, "ok"));
        assert_eq!(upstream.arrivals.borrow().len(), 2);
    });
}

// Guards against the same confusion between a request and one of another caller with the same id.
#[test]
fn a_copy_of_an_answer_is_not_taken_for_the_answer_to_another_request_with_the_same_id() {
    on_site(|site| async move {
        site.apply_route(route(Repeat::Once)).await;
        let first = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 5\r\n\r\nfirst";
        let scripts = vec![vec![Write(first)], vec![RepeatPrevious, Write(WHOLE)]];
        site.start_upstream("u1", scripts).await;
        assert_eq!(site.call(REQUEST).await.body, "first");
        assert_eq!(site.call(REQUEST).await.body, "ok");
    });
}

// Guards against taking an extra answer without an id for the answer to a request that has one.
#[test]
fn an_answer_without_an_id_proves_nothing_on_a_connection_that_carried_other_requests() {
    on_site(|site| async move {
        site.apply_route(route(Repeat::Once)).await;
        let without_id = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
        let scripts = vec![vec![Write(WHOLE)], vec![Write(without_id), Write(WHOLE)]];
        let upstream = site.start_upstream("u1", scripts).await;
        assert_eq!(site.call(REQUEST).await.body, "ok");
        let answer = site.call(&REQUEST.replace("i1", "i2")).await;
        assert_eq!((answer.head.status, &*answer.body), (200, "ok"));
        assert_eq!(upstream.arrivals.borrow().len(), 2);
    });
}

// Guards against acting on a statement that is out of date: an old copy of a rejection asks for rest.
#[test]
fn an_answer_to_an_earlier_request_does_not_ask_for_rest() {
    on_site(|site| async move {
        site.apply_route(route(Repeat::Once)).await;
        let old = "HTTP/1.1 503 Busy\r\nId: i0\r\nNot-Run: 1\r\nRest-Ms: 60000\r\nRunning: 4\r\nMax-Rejections: 1\r\nContent-Length: 0\r\n\r\n";
        let scripts = vec![vec![Write(WHOLE)], vec![Write(old), Write(WHOLE)]];
        site.start_upstream("u1", scripts).await;
        for id in ["i1", "i2", "i3"] {
            let answer = site.call(&REQUEST.replace("i1", id)).await;
            assert_eq!((answer.head.status, &*answer.body), (200, "ok"), "{id}");
        }
    });
}
