//! Upstreams that answer a long upload before they have read it, and what their callers get.

use super::fake_upstream::Step::Write;
use super::hosts::{Cut, on_hosts};
use super::site::{Answer, Site, entry, on_site, route};
use crate::desired::{Repeat, Route};
use crate::test_support::early_upstream::{self, BUFFERED_UPLOADS_BYTES, End, UPLOAD_BYTES};
use smol::LocalExecutor;
use std::net::SocketAddr;
use std::rc::Rc;

const WHOLE: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok";
/// An answer that ends with its connection, up to the middle of its body.
const WITHOUT_LENGTH: &str = "HTTP/1.1 200 OK\r\nId: i1\r\nSeal: s\r\n\r\nhalf of the bo";
/// A stream that ends with its connection, up to its first event.
const STREAM: &str = "HTTP/1.1 200 OK\r\nId: i1\r\nSeal: s\r\n\r\nid: 1\ndata: a\n\n";
const TOO_LARGE: &str =
    "HTTP/1.1 413 Too Large\r\nId: i1\r\nSeal: s\r\nContent-Length: 9\r\n\r\ntoo large";
/// Starts an upstream that answers each request early.
async fn start_upstream(
    executor: &Rc<LocalExecutor<'static>>,
    answer: &'static str,
    end: End,
) -> SocketAddr {
    let (listener, address) = early_upstream::listen().await;
    executor
        .spawn(early_upstream::serve(listener, answer, end))
        .detach();
    address
}

fn upload() -> String {
    upload_of(UPLOAD_BYTES)
}

fn upload_of(bytes: usize) -> String {
    let body = "a".repeat(bytes);
    format!(
        "POST /a/1 HTTP/1.1\r\nHost: x\r\nId: i1\r\nWait-Ms: 5000\r\nContent-Length: {bytes}\r\n\r\n{body}"
    )
}

fn streams() -> Route {
    Route {
        streams: true,
        ..route(Repeat::Once)
    }
}

/// Uploads to an upstream that answers early.
async fn call_early(site: &Site, route: Route, answer: &'static str, end: End) -> Answer {
    start_early(site, route, answer, end).await;
    site.call(&upload()).await
}

async fn start_early(site: &Site, route: Route, answer: &'static str, end: End) {
    site.apply_route(route).await;
    let address = start_upstream(&site.executor, answer, end).await;
    site.store.write_upstream("u1", Some(entry("u1", address)));
    site.until(|host| host.upstreams.borrow().get("u1").is_some())
        .await;
}

// Guards against a part of an answer without length that counts as complete because its connection ended
// while the request was still being written.
#[test]
fn an_answer_without_length_to_a_part_of_a_request_is_never_complete() {
    for end in [End::ShutDownThenReset, End::Reset] {
        on_site(|site| async move {
            let answer = call_early(&site, route(Repeat::Once), WITHOUT_LENGTH, end).await;
            assert_eq!(answer.head.status, 502, "{end:?}: {answer:?}");
        });
        on_site(|site| async move {
            let answer = call_early(&site, streams(), STREAM, end).await;
            assert!(
                answer.head.status == 502 || !answer.is_whole,
                "{end:?}: {answer:?}"
            );
        });
    }
}

// Guards against a part of an answer without length that counts as complete because the upstream ended its
// direction of the connection before it reset it, with an upload unread that was written as a whole.
#[test]
fn an_answer_without_length_that_is_reset_after_its_end_is_never_complete() {
    for bytes in BUFFERED_UPLOADS_BYTES {
        on_site(|site| async move {
            let end = End::ShutDownThenReset;
            start_early(&site, route(Repeat::Once), WITHOUT_LENGTH, end).await;
            let answer = site.call(&upload_of(bytes)).await;
            assert_eq!(answer.head.status, 502, "{bytes}: {answer:?}");
        });
        on_site(|site| async move {
            start_early(&site, streams(), STREAM, End::ShutDownThenReset).await;
            let answer = site.call(&upload_of(bytes)).await;
            assert!(
                answer.head.status == 502 || !answer.is_whole,
                "{bytes}: {answer:?}"
            );
        });
    }
}

// Guards against a sound early answer that is lost: its upstream ends its direction, and reads on.
#[test]
fn an_answer_without_length_that_ends_without_a_reset_is_complete() {
    for bytes in BUFFERED_UPLOADS_BYTES {
        on_site(|site| async move {
            start_early(&site, route(Repeat::Once), WITHOUT_LENGTH, End::ShutDown).await;
            let answer = site.call(&upload_of(bytes)).await;
            assert_eq!(answer.head.status, 200, "{bytes}: {answer:?}");
            assert_eq!(answer.body, "half of the bo");
        });
    }
}

// Guards against the same where the request may be repeated: it goes on elsewhere.
#[test]
fn a_repeatable_upload_with_an_unproven_answer_goes_on_elsewhere() {
    on_site(|site| async move {
        site.apply_route(route(Repeat::Idempotent)).await;
        let address = start_upstream(&site.executor, WITHOUT_LENGTH, End::ShutDownThenReset).await;
        site.store.write_upstream("u1", Some(entry("u1", address)));
        site.start_upstream("u2", vec![vec![Write(WHOLE)]]).await;
        for _ in 0..20 {
            let answer = site.call(&upload()).await;
            assert_eq!((answer.head.status, &*answer.body), (200, "ok"));
        }
    });
}

// Guards against the same at a host that passes on what another host got.
#[test]
fn an_unproven_answer_at_another_host_does_not_look_complete() {
    on_hosts(2, |hosts| async move {
        hosts.apply_route(route(Repeat::Once)).await;
        let address = start_upstream(&hosts.executor, WITHOUT_LENGTH, End::ShutDownThenReset).await;
        hosts.hosts[1].list(entry("u1", address)).await;
        hosts.cut(0, "u1", Cut::Refuses).await;
        for bytes in [UPLOAD_BYTES].into_iter().chain(BUFFERED_UPLOADS_BYTES) {
            let answer = hosts.call(0, &upload_of(bytes)).await;
            assert_eq!(answer.head.status, 502, "{bytes}: {answer:?}");
        }
    });
}

// Guards against a whole early answer that is lost because the rest of the request could not be written.
#[test]
fn a_whole_answer_to_a_part_of_a_request_reaches_its_caller() {
    for end in [End::ShutDownThenReset, End::Reset] {
        for number in 0..10 {
            on_site(|site| async move {
                let answer = call_early(&site, route(Repeat::Once), TOO_LARGE, end).await;
                assert_eq!(answer.head.status, 413, "{end:?} {number}: {answer:?}");
                assert_eq!(answer.body, "too large");
            });
        }
    }
}
