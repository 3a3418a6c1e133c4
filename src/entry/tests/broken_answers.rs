//! Answers that break the rules of HTTP: none of their bytes reaches a caller.

use super::fake_upstream::Step::{Close, Write};
use super::site::{Site, on_site, route};
use crate::desired::{Repeat, Route};
use crate::test_support::broken_answers::{
    CHUNKS, CODED_IN_HTTP_10, FIELD_LINES, FRAMINGS, LINE_ENDS, STATUSES, SWITCHES,
};

const WHOLE: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok";
const REQUEST: &str =
    "POST /a/1 HTTP/1.1\r\nHost: x\r\nId: i1\r\nWait-Ms: 5000\r\nContent-Length: 3\r\n\r\nabc";

/// Sends requests until the upstream `u1` has got one; another upstream answers each soundly. Returns
/// the answer to the request that `u1` got.
async fn call_until_sent_to_first(site: &Site, broken: &'static str) -> (u16, String) {
    let script = vec![vec![Write(broken), Close], vec![Write(WHOLE)]];
    let first = site.start_upstream("u1", script).await;
    site.start_upstream("u2", vec![vec![Write(WHOLE)]]).await;
    for number in 0..50 {
        let request = REQUEST.replace("i1", &format!("i{number}"));
        let answer = site.call(&request).await;
        if !first.arrivals.borrow().is_empty() {
            return (answer.head.status, answer.body);
        }
    }
    panic!("no request reached the upstream with the broken answer");
}

/// Returns the share of the sends to an upstream that failed, as the host knows it.
fn failure_share(site: &Site, id: &str) -> f64 {
    let upstreams = site.host.upstreams.borrow();
    let known = upstreams.get(id).expect("it is listed");
    known.health.failure_share(site.host.now())
}

/// Checks that callers get nothing of these answers: a request that may not run twice fails, another one
/// goes on elsewhere. The upstream's health learns of it, and its next answer is its own again.
fn check_kept_from_callers(answers: &[&'static str]) {
    for broken in answers {
        on_site(|site| async move {
            site.apply_route(route(Repeat::Once)).await;
            let script = vec![vec![Write(broken), Close], vec![Write(WHOLE)]];
            site.start_upstream("u1", script).await;
            let answer = site.call(REQUEST).await;
            assert_eq!(answer.head.status, 502, "{broken:?}: {}", answer.body);
            assert!(failure_share(&site, "u1") > 0.0, "{broken:?}");
            let next = site.call(&REQUEST.replace("i1", "i2")).await;
            assert_eq!((next.head.status, &*next.body), (200, "ok"), "{broken:?}");
        });
        on_site(|site| async move {
            site.apply_route(route(Repeat::Idempotent)).await;
            let answer = call_until_sent_to_first(&site, broken).await;
            assert_eq!(answer, (200, "ok".into()), "{broken:?}");
        });
        on_site(|site| async move {
            site.apply_route(Route {
                streams: true,
                ..route(Repeat::Once)
            })
            .await;
            site.start_upstream("u1", vec![vec![Write(broken), Close]])
                .await;
            let answer = site.call(REQUEST).await;
            assert!(
                answer.head.status == 502 || !answer.is_whole,
                "{broken:?}: {answer:?}"
            );
        });
    }
}

// Guards against an answer whose status is no status and that its caller gets as an answer.
#[test]
fn an_answer_with_an_invalid_status_reaches_no_caller() {
    check_kept_from_callers(STATUSES);
}

// Guards against a field line that is none and is passed on, or takes the body's length with it.
#[test]
fn an_answer_with_a_malformed_field_line_reaches_no_caller() {
    check_kept_from_callers(FIELD_LINES);
}

// Guards against lines that end for one parser and go on for the next.
#[test]
fn an_answer_whose_lines_do_not_end_with_cr_lf_reaches_no_caller() {
    check_kept_from_callers(LINE_ENDS);
}

// Guards against bytes of another protocol that are read as an answer.
#[test]
fn an_answer_that_switches_the_protocol_unasked_reaches_no_caller() {
    check_kept_from_callers(SWITCHES);
}

// Guards against chunks of a version that has none.
#[test]
fn an_answer_of_http_1_0_with_a_transfer_coding_reaches_no_caller() {
    check_kept_from_callers(CODED_IN_HTTP_10);
}

// Guards against a body that ends elsewhere for the caller than for the host.
#[test]
fn an_answer_with_an_ambiguous_framing_reaches_no_caller() {
    check_kept_from_callers(FRAMINGS);
}

// Guards against a body that counts as complete although its chunks or trailers are malformed.
#[test]
fn an_answer_with_malformed_chunks_or_trailers_reaches_no_caller() {
    check_kept_from_callers(CHUNKS);
}
