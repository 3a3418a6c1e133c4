//! Streams that upstreams break off in each framing, and what their callers see of it.

use super::fake_upstream::FakeUpstream;
use super::fake_upstream::Step::{Close, Reset, Wait, Write, WriteBytes};
use super::hosts::{Cut, on_hosts};
use super::site::{Answer, Site, on_site, route};
use crate::desired::{Repeat, Route};
use std::cell::Cell;
use std::rc::Rc;

const REQUEST: &str =
    "POST /a/1 HTTP/1.1\r\nHost: X:80\r\nId: i1\r\nWait-Ms: 5000\r\nContent-Length: 3\r\n\r\nabc";
/// A stream without length or chunks, up to the middle of its second event.
const CUT_IN_EVENT: &str =
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\n\r\nid: 1\ndata: a\n\nid: 2\nda";
/// A stream with a last chunk that comes in the middle of its second event.
const CUT_IN_CHUNKED_EVENT: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n17\r\nid: 1\ndata: a\n\nid: 2\nda\r\n0\r\n\r\n";
/// A short stream of known length that ends in the middle of its second event.
const CUT_IN_SHORT_EVENT: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Type: text/event-stream\r\nContent-Length: 23\r\n\r\nid: 1\ndata: a\n\nid: 2\nda";
/// A stream that ends in the middle of its first event.
const CUT_IN_FIRST_EVENT: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\n\r\nid: 1\nda";
/// A stream that ends before its first event.
const CUT_BEFORE_EVENTS: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\n\r\n";
/// A whole stream that ends with its connection.
const WHOLE: &str =
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n";
/// The rest of the stream, with a length.
const REST: &str =
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 15\r\n\r\nid: 2\ndata: b\n\n";
/// The first event of a stream that is longer than what is read before its first byte is passed on.
const LONG_START: &str =
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 70000\r\n\r\nid: 1\ndata: a\n\n";
const FIRST: &str = "id: 1\ndata: a\n\n";
const BOTH: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

fn streams(repeat: Repeat) -> Route {
    Route {
        streams: true,
        ..route(repeat)
    }
}

/// Sends a request to an upstream that answers with `first` and then ends the connection, while a
/// second upstream has the rest of the stream.
async fn call_while_first_breaks(
    site: &Site,
    repeat: Repeat,
    first: &'static str,
) -> (Answer, FakeUpstream) {
    site.apply_route(streams(repeat)).await;
    let is_second_known = Rc::new(Cell::new(false));
    let script = vec![Wait(is_second_known.clone()), Write(first), Close];
    let broken = site.start_upstream("u1", vec![script]).await;
    let mut caller = site.connect().await;
    caller.send(REQUEST).await;
    site.until(|_| broken.arrivals.borrow().len() == 1).await;
    let second = site.start_upstream("u2", vec![vec![Write(REST)]]).await;
    is_second_known.set(true);
    (caller.answer().await, second)
}

// Guards against a stream that was broken off inside an event and is passed on as a whole one.
#[test]
fn a_stream_that_ends_inside_an_event_does_not_look_complete() {
    for cut in [CUT_IN_EVENT, CUT_IN_CHUNKED_EVENT] {
        on_site(|site| async move {
            let (answer, other) = call_while_first_breaks(&site, Repeat::Once, cut).await;
            assert!(!answer.is_whole, "{cut}");
            assert_eq!(answer.body, FIRST, "{cut}");
            assert!(other.arrivals.borrow().is_empty());
        });
    }
}

// Guards against the same where the stream could have been resumed.
#[test]
fn a_resumable_stream_that_ends_inside_an_event_goes_on_elsewhere() {
    for cut in [CUT_IN_EVENT, CUT_IN_CHUNKED_EVENT] {
        on_site(|site| async move {
            let (answer, other) = call_while_first_breaks(&site, Repeat::Resumable, cut).await;
            assert!(answer.is_whole, "{cut}");
            assert_eq!(answer.body, BOTH, "{cut}");
            let arrivals = other.arrivals.borrow();
            assert_eq!(arrivals[0].head.headers.text("Resume-After"), Some("1"));
        });
    }
}

// Guards against a stream without any event, or with half of one, that is passed on as a whole one.
#[test]
fn a_stream_that_ends_before_its_first_event_is_not_passed_on() {
    for cut in [CUT_IN_FIRST_EVENT, CUT_BEFORE_EVENTS] {
        on_site(|site| async move {
            let (answer, _) = call_while_first_breaks(&site, Repeat::Once, cut).await;
            assert_eq!(answer.head.status, 502, "{cut}");
        });
    }
}

// Guards against a short stream that is read whole first, and whose last event is cut.
#[test]
fn a_short_stream_that_ends_inside_an_event_is_not_passed_on() {
    on_site(|site| async move {
        let (answer, _) = call_while_first_breaks(&site, Repeat::Once, CUT_IN_SHORT_EVENT).await;
        assert_eq!(answer.head.status, 502);
    });
}

// Guards against taking every stream that ends with its connection for a broken one.
#[test]
fn a_stream_that_ends_with_its_connection_after_an_event_is_complete() {
    on_site(|site| async move {
        let (answer, _) = call_while_first_breaks(&site, Repeat::Once, WHOLE).await;
        assert!(answer.is_whole);
        assert_eq!(answer.body, BOTH);
    });
}

// Guards against a caller that is told a length which the resumed part does not keep, and that
// reads the next answer as the rest of this one.
#[test]
fn a_resumed_stream_keeps_the_framing_that_its_caller_was_told() {
    on_site(|site| async move {
        site.apply_route(streams(Repeat::Resumable)).await;
        let may_break = Rc::new(Cell::new(false));
        let script = vec![Write(LONG_START), Wait(may_break.clone()), Close];
        let broken = site.start_upstream("u1", vec![script]).await;
        let mut caller = site.connect().await;
        caller.send(REQUEST).await;
        site.until(|_| broken.arrivals.borrow().len() == 1).await;
        site.start_upstream("u2", vec![vec![Write(REST)], vec![Write(WHOLE), Close]])
            .await;
        may_break.set(true);
        let answer = caller.answer().await;
        assert!(answer.is_whole);
        assert_eq!(answer.body, BOTH);
    });
}

// Guards against an answer in pieces whose connection is reset, and which looks complete.
#[test]
fn an_answer_without_length_that_is_reset_does_not_look_complete() {
    for is_stream in [false, true] {
        on_site(|site| async move {
            let route = match is_stream {
                true => streams(Repeat::Once),
                false => route(Repeat::Once),
            };
            site.apply_route(route).await;
            site.start_upstream("u1", vec![vec![Write(WHOLE), Reset]])
                .await;
            let mut caller = site.connect().await;
            caller.send(REQUEST).await;
            let answer = caller.answer().await;
            assert!(answer.head.status == 502 || !answer.is_whole);
        });
    }
}

// Guards against the same fault at the host that passes on what another host got.
#[test]
fn a_stream_that_ends_inside_an_event_at_another_host_does_not_look_complete() {
    on_hosts(2, |hosts| async move {
        hosts.apply_route(streams(Repeat::Once)).await;
        hosts
            .start_upstream("u1", vec![vec![Write(CUT_IN_EVENT), Close]])
            .await;
        hosts.cut(0, "u1", Cut::Refuses).await;
        let answer = hosts.call(0, REQUEST).await;
        assert!(!answer.is_whole);
        assert_eq!(answer.body, FIRST);
    });
}

// Guards against resuming a stream after too old an event because the last one held a byte that is no
// text: the caller gets pieces twice.
#[test]
fn a_stream_whose_last_event_is_no_text_goes_on_after_that_event() {
    on_site(|site| async move {
        site.apply_route(streams(Repeat::Resumable)).await;
        let is_second_known = Rc::new(Cell::new(false));
        let events = b"id: 1\ndata: a\n\nid: 2\ndata: \xff\n\nid: 3\nda";
        let script = vec![
            Write("HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\n\r\n"),
            WriteBytes(events),
            Wait(is_second_known.clone()),
            Close,
        ];
        let broken = site.start_upstream("u1", vec![script]).await;
        let mut caller = site.connect().await;
        caller.send(REQUEST).await;
        site.until(|_| broken.arrivals.borrow().len() == 1).await;
        let second = site.start_upstream("u2", vec![vec![Write(REST)]]).await;
        is_second_known.set(true);
        caller.answer_bytes().await;
        let arrival = second.arrivals.borrow()[0].clone();
        assert_eq!(arrival.head.headers.text("Resume-After"), Some("2"));
    });
}

// Guards against resuming a stream at a guess after an event that no id names.
#[test]
fn a_stream_whose_last_event_has_no_id_is_broken_off() {
    on_site(|site| async move {
        let cut =
            "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\n\r\nid: 1\ndata: a\n\ndata: b\n\nid: 3\nda";
        let (answer, second) = call_while_first_breaks(&site, Repeat::Resumable, cut).await;
        assert!(!answer.is_whole);
        assert!(second.arrivals.borrow().is_empty());
    });
}
