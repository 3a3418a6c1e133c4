//! Upstreams whose answers never end: what is read of them is bounded, no deadline is missed, and other
//! callers notice nothing.

use super::fake_upstream::FakeUpstream;
use super::fake_upstream::Step::{self, Trickle, Write, WriteEndlessly};
use super::site::{Site, on_site, route};
use crate::desired::{Repeat, Route};
use crate::prelude::*;

const WHOLE: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok";
const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
const FOREIGN: &str = "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n";
const UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\n\r\n";
const SMALL_CHUNK: &str = "8\r\nabcdefgh\r\n";
const COMMENT: &str = "4\r\n: \n\n\r\n";
/// The longest time in which a request is answered beside endless answers of another upstream.
const UNHARMED_MS: Millis = Millis(500);

/// Answers that never end before the request's own head, and one that goes on after its end.
fn endless_heads() -> Vec<Vec<Step>> {
    vec![
        vec![Write("HTTP/1.1 200 OK\r\n"), WriteEndlessly("X-A: b\r\n")],
        vec![WriteEndlessly("a")],
        vec![WriteEndlessly("HTTP/1.1 100 Continue\r\n\r\n")],
        vec![Write(FOREIGN), WriteEndlessly(SMALL_CHUNK)],
        vec![Write(FOREIGN), Trickle("1\r\na\r\n")],
        vec![Write(WHOLE), WriteEndlessly("a")],
    ]
}

fn request(id: &str, wait_ms: u64) -> String {
    format!(
        "POST /a/1 HTTP/1.1\r\nHost: x\r\nId: {id}\r\nWait-Ms: {wait_ms}\r\nContent-Length: 3\r\n\r\nabc"
    )
}

/// Starts an upstream with this script, and one that answers once the first has got a request.
async fn start_pair(site: &Site, script: Vec<Step>) -> FakeUpstream {
    site.start_upstream("u2", vec![vec![Write(WHOLE)]]).await;
    site.start_upstream("u1", vec![script]).await
}

// Guards against an endless answer that costs its request the time-out of the attempt: the connection
// ends at a bound, and the request goes on elsewhere.
#[test]
fn a_repeatable_request_goes_on_elsewhere_soon_when_its_answer_never_begins() {
    for script in endless_heads() {
        let name = format!("{script:?}");
        on_site(|site| async move {
            site.apply_route(route(Repeat::Idempotent)).await;
            let endless = start_pair(&site, script).await;
            for number in 0..20 {
                let began_at = site.host.now();
                let answer = site.call(&request(&format!("i{number}"), 5_000)).await;
                assert_eq!((answer.head.status, &*answer.body), (200, "ok"), "{name}");
                let took_ms = site.host.now().since(began_at);
                assert!(took_ms < UNHARMED_MS, "{name}: {took_ms:?}");
                if !endless.arrivals.borrow().is_empty() {
                    return;
                }
            }
            panic!("no request reached the upstream with the endless answer");
        });
    }
}

// Guards against a deadline that no one looks at while data is always ready, and against one answer
// that takes the host from all its other callers.
#[test]
fn an_answer_that_never_ends_is_broken_off_in_time_and_delays_no_other_request() {
    for script in [
        vec![Write(CHUNKED), WriteEndlessly(SMALL_CHUNK)],
        vec![Write(UNTIL_CLOSE), WriteEndlessly("a")],
    ] {
        on_site(|site| async move {
            site.apply_route(route(Repeat::Once)).await;
            let endless = site.start_upstream("u1", vec![script]).await;
            let mut caller = site.connect().await;
            let began_at = site.host.now();
            caller.send(&request("i1", 1_500)).await;
            site.until(|_| endless.arrivals.borrow().len() == 1).await;
            site.store.write_upstream("u1", None);
            site.start_upstream("u2", vec![vec![Write(WHOLE)]]).await;
            site.until(|host| host.upstreams.borrow().get("u1").is_none())
                .await;
            let drain = site
                .executor
                .spawn(async move { caller.skip_answer().await });
            for number in 0..5 {
                let sent_at = site.host.now();
                let answer = site.call(&request(&format!("other-{number}"), 1_000)).await;
                assert_eq!(answer.head.status, 200);
                let took_ms = site.host.now().since(sent_at);
                assert!(took_ms < UNHARMED_MS, "{took_ms:?}");
            }
            assert!(!drain.await, "an answer that never ends looks complete");
            let took_ms = site.host.now().since(began_at);
            assert!(took_ms < Millis(2_000), "{took_ms:?}");
            site.until(|_| *endless.disconnects.borrow() == 1).await;
        });
    }
}

// Guards against a caller of a stream that is told after its deadline that there is no answer, or never.
#[test]
fn a_stream_whose_first_event_never_ends_is_refused_in_time_for_its_deadline() {
    for script in [
        vec![Write(CHUNKED), WriteEndlessly(SMALL_CHUNK)],
        vec![Write(CHUNKED), Trickle(SMALL_CHUNK)],
    ] {
        on_site(|site| async move {
            site.apply_route(Route {
                streams: true,
                ..route(Repeat::Once)
            })
            .await;
            let endless = site.start_upstream("u1", vec![script]).await;
            let began_at = site.host.now();
            let answer = site.call(&request("i1", 1_000)).await;
            let took_ms = site.host.now().since(began_at);
            assert!((502..=504).contains(&answer.head.status), "{answer:?}");
            assert!(answer.is_whole && took_ms <= Millis(1_000), "{took_ms:?}");
            site.until(|_| *endless.disconnects.borrow() == 1).await;
        });
    }
}

// Guards against a stream of comments that is passed on beyond its deadline.
#[test]
fn a_stream_of_endless_comments_is_broken_off_at_its_deadline() {
    on_site(|site| async move {
        site.apply_route(Route {
            streams: true,
            ..route(Repeat::Once)
        })
        .await;
        let script = vec![Write(CHUNKED), WriteEndlessly(COMMENT)];
        let endless = site.start_upstream("u1", vec![script]).await;
        let mut caller = site.connect().await;
        let began_at = site.host.now();
        caller.send(&request("i1", 1_000)).await;
        assert!(!caller.skip_answer().await);
        let took_ms = site.host.now().since(began_at);
        assert!(took_ms < Millis(1_500), "{took_ms:?}");
        site.until(|_| *endless.disconnects.borrow() == 1).await;
    });
}
