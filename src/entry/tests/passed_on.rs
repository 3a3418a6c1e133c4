//! What callers get of answers with unusual heads: the bytes of the upstream, and nothing that it did not
//! send.

use super::fake_upstream::Step::{self, Close, Write};
use super::site::{on_site, route};
use crate::desired::{Repeat, Route};
use crate::http1::{ReadError, ResponseHead};

const WHOLE: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok";

fn request(method: &str, id: &str) -> String {
    format!("{method} /a/1 HTTP/1.1\r\nHost: x\r\nId: {id}\r\nWait-Ms: 5000\r\n\r\n")
}

/// Sends a request and a second one on the same connection of the caller, and returns the head of the
/// answer to the first one. The second one must be answered as usual.
fn head_of(method: &'static str, answer: &'static str) -> ResponseHead {
    let (sender, receiver) = smol::channel::bounded(1);
    on_site(|site| async move {
        site.apply_route(route(Repeat::Once)).await;
        site.start_upstream("u1", vec![vec![Write(answer)], vec![Write(WHOLE)]])
            .await;
        let mut caller = site.connect().await;
        caller.send(&request(method, "i1")).await;
        let is_head_request = method == "HEAD";
        let head = caller.0.read_response_head(64 << 10, is_head_request).await;
        caller.send(&request("GET", "i2")).await;
        let next = caller.answer().await;
        assert_eq!((next.head.status, &*next.body), (200, "ok"), "{answer:?}");
        sender
            .try_send(head.expect("a head"))
            .expect("there is room");
    });
    receiver.try_recv().expect("a head")
}

fn lengths(head: &ResponseHead) -> Vec<&[u8]> {
    head.headers.values("content-length").collect()
}

// Guards against a length in an answer that must not have one, and against bytes after such an answer
// that are taken for the next one.
#[test]
fn an_answer_without_content_states_no_length() {
    for answer in [
        "HTTP/1.1 204 No Content\r\nId: {id}\r\nSeal: s\r\n\r\n",
        "HTTP/1.1 204 No Content\r\nId: {id}\r\nSeal: s\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 204 No Content\r\nId: {id}\r\nSeal: s\r\nContent-Length: 2\r\n\r\n",
        "HTTP/1.1 204 No Content\r\nId: {id}\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n",
    ] {
        let head = head_of("GET", answer);
        assert_eq!(head.status, 204);
        assert!(lengths(&head).is_empty(), "{answer:?}: {head:?}");
        assert_eq!(head.headers.text("transfer-encoding"), None);
    }
}

// Guards against a length of zero in place of the length of what was not modified.
#[test]
fn an_answer_that_nothing_was_modified_keeps_its_length() {
    let with = "HTTP/1.1 304 Not Modified\r\nId: {id}\r\nSeal: s\r\nContent-Length: 7\r\n\r\n";
    assert_eq!(lengths(&head_of("GET", with)), [b"7"]);
    let without = "HTTP/1.1 304 Not Modified\r\nId: {id}\r\nSeal: s\r\n\r\n";
    assert!(lengths(&head_of("GET", without)).is_empty());
}

// Guards against a length that is passed on twice.
#[test]
fn a_repeated_length_is_passed_on_once() {
    let twice =
        "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 7\r\nContent-Length: 7\r\n\r\n";
    assert_eq!(lengths(&head_of("HEAD", twice)), [b"7"]);
}

// Guards against an ambiguous length that is passed on because the answer has no body.
#[test]
fn an_ambiguous_length_is_refused_also_without_a_body() {
    for (method, answer) in [
        (
            "HEAD",
            "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 7\r\nContent-Length: 8\r\n\r\n",
        ),
        (
            "HEAD",
            "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 7\r\nTransfer-Encoding: chunked\r\n\r\n",
        ),
        (
            "GET",
            "HTTP/1.1 304 Not Modified\r\nId: {id}\r\nSeal: s\r\nContent-Length: -7\r\n\r\n",
        ),
    ] {
        on_site(|site| async move {
            site.apply_route(route(Repeat::Once)).await;
            site.start_upstream("u1", vec![vec![Write(answer), Close]])
                .await;
            let answered = site.call(&request(method, "i1")).await;
            assert_eq!(answered.head.status, 502, "{answer:?}");
        });
    }
}

// Guards against a status line without the blank before its empty reason, which not every caller reads.
#[test]
fn a_missing_reason_is_passed_on_as_an_empty_one() {
    let answer = "HTTP/1.1 200\r\nId: {id}\r\nSeal: s\r\nContent-Length: 0\r\n\r\n";
    on_site(|site| async move {
        site.apply_route(route(Repeat::Once)).await;
        site.start_upstream("u1", vec![vec![Write(answer)]]).await;
        let mut caller = site.connect().await;
        caller.send(&request("GET", "i1")).await;
        let bytes = caller.0.read_some(u64::MAX).await.expect("an answer");
        assert!(bytes.starts_with(b"HTTP/1.1 200 \r\n"), "{bytes:?}");
    });
}

/// Returns what a caller of HTTP/1.0 gets of a stream, and how its connection ended.
fn stream_to_http_1_0(script: &'static [Step]) -> (Vec<u8>, ReadError) {
    let (sender, receiver) = smol::channel::bounded(1);
    on_site(|site| async move {
        site.apply_route(Route {
            streams: true,
            ..route(Repeat::Once)
        })
        .await;
        site.start_upstream("u1", vec![script.to_vec()]).await;
        let mut caller = site.connect().await;
        caller
            .send("GET /a/1 HTTP/1.0\r\nHost: x\r\nId: i1\r\nWait-Ms: 5000\r\n\r\n")
            .await;
        let mut bytes = Vec::new();
        let end = loop {
            match caller.0.read_some(u64::MAX).await {
                Ok(piece) => bytes.extend(piece),
                Err(end) => break end,
            }
        };
        sender.try_send((bytes, end)).expect("there is room");
    });
    receiver.try_recv().expect("the bytes")
}

const EVENT: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\nd\r\nid:1\ndata:a\n\n\r\n";

// Guards against chunks that a caller of HTTP/1.0 takes for the body (RFC 9112, section 6.1).
#[test]
fn a_caller_of_http_1_0_gets_no_chunks() {
    let (bytes, end) = stream_to_http_1_0(&[Write(EVENT), Write("0\r\n\r\n")]);
    let text = String::from_utf8(bytes).expect("text");
    assert!(text.ends_with("\r\n\r\nid:1\ndata:a\n\n"), "{text}");
    assert!(!text.to_lowercase().contains("transfer-encoding"), "{text}");
    assert!(matches!(end, ReadError::Ended), "{end}");
}

// Guards against a cut answer that looks complete, since only its connection's end tells its end.
#[test]
fn a_cut_answer_to_a_caller_of_http_1_0_ends_with_a_reset() {
    let (_, end) = stream_to_http_1_0(&[Write(EVENT), Close]);
    assert!(matches!(end, ReadError::Broken { .. }), "{end}");
}
