//! Requests of callers at a host that reaches no upstream, while other hosts reach some.

use super::fake_platform::FakePlatform;
use super::fake_upstream::FakeUpstream;
use super::fake_upstream::Step::{Close, Hang, Wait, Write};
use super::hosts::{Cut, Hosts, on_hosts, until};
use super::site::route;
use crate::desired::{Repeat, Route};
use crate::entry::caller::MAX_HELD_BODY_BYTES;
use crate::entry::host::Host;
use crate::entry::limits;
use crate::entry::paths;
use crate::entry::platform::ModelRef;
use crate::http1::BodyReader;
use crate::prelude::*;
use crate::upstreams::Lifetime;
use std::cell::Cell;
use std::rc::Rc;

const REQUEST: &str =
    "POST /a/1 HTTP/1.1\r\nHost: X:80\r\nId: i1\r\nWait-Ms: 1000\r\nContent-Length: 3\r\n\r\nabc";
const WHOLE: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok";

const FAILS: &str = "HTTP/1.1 500 No\r\nId: {id}\r\nSeal: s\r\nContent-Length: 0\r\n\r\n";
const BUSY: &str = "HTTP/1.1 503 Busy\r\nId: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
const STREAM_START: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\nd\r\nid:1\ndata:a\n\n\r\n";
const STREAM_END: &str = "d\r\nid:2\ndata:b\n\n\r\n0\r\n\r\n";
const STREAM_REST: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\nd\r\nid:2\ndata:b\n\n\r\n0\r\n\r\n";

fn streams() -> Route {
    Route {
        streams: true,
        ..route(Repeat::Once)
    }
}

/// Cuts the first host off from both upstreams, and returns how many of ten requests it answered
/// and how many reached an upstream.
async fn served_while_cut_off(hosts: &Hosts, cut: Cut) -> (usize, usize) {
    let first = hosts.start_upstream("u1", vec![vec![Write(WHOLE)]]).await;
    let second = hosts.start_upstream("u2", vec![vec![Write(WHOLE)]]).await;
    for id in ["u1", "u2"] {
        hosts.cut(0, id, cut).await;
    }
    let mut answered = 0;
    for _ in 0..10 {
        let answer = hosts.call(0, REQUEST).await;
        let is_served = answer.head.status == 200 && answer.is_whole && answer.body == "ok";
        answered += usize::from(is_served);
    }
    let reached = first.arrivals.borrow().len() + second.arrivals.borrow().len();
    (answered, reached)
}

// Guards against a host that turns callers away because it reaches no upstream itself, while
// another host does.
#[test]
fn a_host_whose_connections_are_refused_serves_over_another_host() {
    for repeat in [Repeat::Once, Repeat::Idempotent] {
        on_hosts(2, |hosts| async move {
            hosts.apply_route(route(repeat)).await;
            let served = served_while_cut_off(&hosts, Cut::Refuses).await;
            assert_eq!(served, (10, 10), "answered, and sent to upstreams");
        });
    }
}

// Guards against the same where connections to upstreams are never opened.
#[test]
fn a_host_whose_connections_hang_serves_over_another_host() {
    for repeat in [Repeat::Once, Repeat::Idempotent] {
        on_hosts(3, |hosts| async move {
            hosts
                .apply_route(Route {
                    attempts: 3,
                    ..route(repeat)
                })
                .await;
            let served = served_while_cut_off(&hosts, Cut::Hangs).await;
            assert_eq!(served, (10, 10), "answered, and sent to upstreams");
        });
    }
}

// Guards against a host that goes on handing requests on after it reaches upstreams again.
#[test]
fn a_host_that_reaches_an_upstream_again_serves_itself() {
    on_hosts(2, |hosts| async move {
        hosts.apply_route(route(Repeat::Once)).await;
        let upstream = hosts.start_upstream("u1", vec![vec![Write(WHOLE)]]).await;
        hosts.cut(0, "u1", Cut::Refuses).await;
        assert_eq!(hosts.call(0, REQUEST).await.head.status, 200);
        hosts.heal(0, "u1", &upstream).await;
        hosts.cut(1, "u1", Cut::Refuses).await;
        // The path is tried again in the background, at intervals.
        while hosts.call(0, REQUEST).await.head.status != 200 {}
    });
}

// Guards against loops between hosts that are all cut off, and against a wait in vain.
#[test]
fn a_request_that_no_host_can_serve_is_refused_with_its_reason() {
    on_hosts(3, |hosts| async move {
        hosts.apply_route(route(Repeat::Idempotent)).await;
        let upstream = hosts.start_upstream("u1", vec![vec![Write(WHOLE)]]).await;
        for host in 0..3 {
            hosts.cut(host, "u1", Cut::Refuses).await;
        }
        for _ in 0..3 {
            let refused = hosts.call(0, REQUEST).await;
            assert_eq!(refused.head.status, 503);
            assert!(refused.body.contains("unreachable"), "{}", refused.body);
        }
        assert!(upstream.arrivals.borrow().is_empty());
    });
}

// Guards against work that goes on at an upstream after the caller has left the first host.
#[test]
fn a_caller_that_leaves_ends_the_run_over_the_other_host() {
    on_hosts(2, |hosts| async move {
        hosts.apply_route(route(Repeat::Once)).await;
        let upstream = hosts.start_upstream("u1", vec![vec![Hang]]).await;
        hosts.cut(0, "u1", Cut::Refuses).await;
        let mut caller = hosts.connect(0).await;
        caller.send(REQUEST).await;
        until(|| upstream.arrivals.borrow().len() == 1).await;
        drop(caller);
        until(|| *upstream.disconnects.borrow() == 1).await;
        until(|| hosts.hosts[1].host.active_requests.get() == 0).await;
    });
}

// Guards against a second run after the host that took the request was lost.
#[test]
fn a_request_whose_host_is_lost_is_not_repeated_unless_it_may_be() {
    for (repeat, status, runs) in [(Repeat::Once, 502, 1), (Repeat::Idempotent, 200, 2)] {
        on_hosts(3, |hosts| async move {
            hosts.apply_route(route(repeat)).await;
            let scripts = vec![vec![Hang], vec![Write(WHOLE)]];
            let upstream = hosts.start_upstream("u1", scripts).await;
            hosts.cut(0, "u1", Cut::Refuses).await;
            let mut caller = hosts.connect(0).await;
            caller.send(REQUEST).await;
            until(|| upstream.arrivals.borrow().len() == 1).await;
            for one in &hosts.hosts[1..] {
                if one.host.active_requests.get() == 1 {
                    one.peers.close();
                }
            }
            assert_eq!(caller.answer().await.head.status, status);
            assert_eq!(upstream.arrivals.borrow().len(), runs);
        });
    }
}

// Guards against attempts that are counted anew by the host that takes the request.
#[test]
fn attempts_count_over_both_hosts() {
    on_hosts(2, |hosts| async move {
        hosts.apply_route(route(Repeat::Idempotent)).await;
        let mut upstreams = Vec::new();
        for id in ["u1", "u2", "u3"] {
            upstreams.push(hosts.start_upstream(id, vec![vec![Write(FAILS)]]).await);
        }
        for id in ["u2", "u3"] {
            hosts.cut(0, id, Cut::Refuses).await;
        }
        for _ in 0..4 {
            let before: usize = arrivals(&upstreams);
            assert_eq!(hosts.call(0, REQUEST).await.head.status, 500);
            let sent = arrivals(&upstreams) - before;
            assert!(sent <= 2, "{sent}");
        }
    });
}

fn arrivals(upstreams: &[FakeUpstream]) -> usize {
    let counts = upstreams.iter().map(|one| one.arrivals.borrow().len());
    counts.sum()
}

// Guards against more time for the upstream than the caller has left.
#[test]
fn an_upstream_is_told_no_more_time_than_the_caller_has_left() {
    on_hosts(2, |hosts| async move {
        hosts.apply_route(route(Repeat::Once)).await;
        let upstream = hosts.start_upstream("u1", vec![vec![Write(WHOLE)]]).await;
        hosts.cut(0, "u1", Cut::Hangs).await;
        assert_eq!(hosts.call(0, REQUEST).await.head.status, 200);
        let arrived = &upstream.arrivals.borrow()[0];
        let left_ms = arrived.head.headers.number("Wait-Ms").expect("a time");
        // The first host has tried to connect before.
        assert!(left_ms <= 1_000 - 150, "{left_ms}");
        assert_eq!(arrived.body, b"abc");
        assert_eq!(&*arrived.head.target, "/a/1");
    });
}

// Guards against answers that are held back until they are complete.
#[test]
fn a_stream_is_passed_on_event_by_event() {
    on_hosts(2, |hosts| async move {
        hosts.apply_route(streams()).await;
        let may_end = Rc::new(Cell::new(false));
        let script = vec![
            Write(STREAM_START),
            Wait(may_end.clone()),
            Write(STREAM_END),
        ];
        hosts.start_upstream("u1", vec![script]).await;
        hosts.cut(0, "u1", Cut::Refuses).await;
        let mut caller = hosts.connect(0).await;
        caller.send(REQUEST).await;
        let head = caller.0.read_response_head(64 << 10, false).await;
        let head = head.expect("the head of the answer");
        let mut reader = BodyReader::new(head.framing);
        let first = reader.next(&mut caller.0).await.expect("an event");
        assert_eq!(first.as_deref(), Some(&b"id:1\ndata:a\n\n"[..]));
        may_end.set(true);
        let second = reader.next(&mut caller.0).await.expect("an event");
        assert_eq!(second.as_deref(), Some(&b"id:2\ndata:b\n\n"[..]));
        assert_eq!(reader.next(&mut caller.0).await.expect("the end"), None);
    });
}

// Guards against an answer that looks complete although its upstream broke off.
#[test]
fn a_stream_that_breaks_off_at_the_other_host_does_not_look_complete() {
    on_hosts(2, |hosts| async move {
        hosts.apply_route(streams()).await;
        let script = vec![Write(STREAM_START), Close];
        hosts.start_upstream("u1", vec![script]).await;
        hosts.cut(0, "u1", Cut::Refuses).await;
        let answer = hosts.call(0, REQUEST).await;
        assert_eq!(answer.body, "id:1\ndata:a\n\n");
        assert!(!answer.is_whole);
    });
}

// Guards against a stream that ends with the host over which it came.
#[test]
fn a_resumable_stream_goes_on_over_a_third_host() {
    on_hosts(3, |hosts| async move {
        let resumable = Route {
            repeat: Repeat::Resumable,
            ..streams()
        };
        hosts.apply_route(resumable).await;
        let scripts = vec![vec![Write(STREAM_START), Hang], vec![Write(STREAM_REST)]];
        let upstream = hosts.start_upstream("u1", scripts).await;
        hosts.cut(0, "u1", Cut::Refuses).await;
        let mut caller = hosts.connect(0).await;
        caller.send(REQUEST).await;
        let head = caller.0.read_response_head(64 << 10, false).await;
        let mut reader = BodyReader::new(head.expect("the head of the answer").framing);
        let first = reader.next(&mut caller.0).await.expect("an event");
        assert_eq!(first.as_deref(), Some(&b"id:1\ndata:a\n\n"[..]));
        for one in &hosts.hosts[1..] {
            if one.host.active_requests.get() == 1 {
                one.peers.close();
            }
        }
        let second = reader.next(&mut caller.0).await.expect("an event");
        assert_eq!(second.as_deref(), Some(&b"id:2\ndata:b\n\n"[..]));
        assert_eq!(reader.next(&mut caller.0).await.expect("the end"), None);
        let resumed = &upstream.arrivals.borrow()[1];
        assert_eq!(resumed.head.headers.text("Resume-After"), Some("1"));
    });
}

// Guards against a stream that ends although its host reaches another upstream again.
#[test]
fn a_resumable_stream_goes_on_at_an_upstream_that_is_reached_again() {
    on_hosts(2, |hosts| async move {
        let resumable = Route {
            repeat: Repeat::Resumable,
            ..streams()
        };
        hosts.apply_route(resumable).await;
        let may_break = Rc::new(Cell::new(false));
        let breaks = vec![Write(STREAM_START), Wait(may_break.clone()), Close];
        let broken = hosts.start_upstream("u1", vec![breaks]).await;
        let next = hosts
            .start_upstream("u2", vec![vec![Write(STREAM_REST)]])
            .await;
        for (host, id) in [(0, "u2"), (1, "u1"), (1, "u2")] {
            let host = &hosts.hosts[host].host;
            let lifetime = Lifetime {
                id: id.into(),
                born_at: Millis::ZERO,
            };
            paths::note_connect_failed(host, &lifetime, host.now());
        }
        let mut caller = hosts.connect(0).await;
        caller.send(REQUEST).await;
        until(|| broken.arrivals.borrow().len() == 1).await;
        may_break.set(true);
        let answer = caller.answer().await;
        assert!(answer.is_whole, "{}", answer.body);
        assert_eq!(answer.body, "id:1\ndata:a\n\nid:2\ndata:b\n\n");
        assert_eq!(next.arrivals.borrow().len(), 1);
    });
}

// Guards against a host that takes more bytes than it has room for.
#[test]
fn a_host_without_room_declines_and_another_one_serves() {
    on_hosts(3, |hosts| async move {
        hosts.apply_route(route(Repeat::Once)).await;
        hosts.start_upstream("u1", vec![vec![Write(WHOLE)]]).await;
        hosts.cut(0, "u1", Cut::Refuses).await;
        let full = &hosts.hosts[1].host;
        full.held_body_bytes.set(MAX_HELD_BODY_BYTES);
        for _ in 0..8 {
            assert_eq!(hosts.call(0, REQUEST).await.head.status, 200);
        }
        assert_eq!(full.held_body_bytes.get(), MAX_HELD_BODY_BYTES);
        assert_eq!(hosts.hosts[2].host.held_body_bytes.get(), 0);
    });
}

// Guards against serving by an older desired state than the request was routed by.
#[test]
fn a_host_with_an_older_desired_state_declines() {
    on_hosts(2, |hosts| async move {
        hosts.apply_route(route(Repeat::Once)).await;
        let upstream = hosts.start_upstream("u1", vec![vec![Write(WHOLE)]]).await;
        hosts.cut(0, "u1", Cut::Refuses).await;
        hosts.hosts[0].apply_route(2, route(Repeat::Once)).await;
        assert_eq!(hosts.call(0, REQUEST).await.head.status, 503);
        assert!(upstream.arrivals.borrow().is_empty());
        hosts.hosts[1].apply_route(2, route(Repeat::Once)).await;
        while hosts.call(0, REQUEST).await.head.status != 200 {}
    });
}

// Guards against a limit that is charged at both hosts.
#[test]
fn a_handed_request_is_charged_at_the_first_host_only() {
    on_hosts(2, |hosts| async move {
        hosts.apply_limited_route(route(Repeat::Once)).await;
        hosts.start_upstream("u1", vec![vec![Write(WHOLE)]]).await;
        hosts.cut(0, "u1", Cut::Refuses).await;
        let request = REQUEST.replace("Id: i1", "Id: i1\r\nKey: key-1");
        let first = &hosts.hosts[0].host;
        first.members.borrow_mut().note_contact(first.now());
        assert_eq!(hosts.call(0, &request).await.head.status, 200);
        assert!(!limits::report(&hosts.hosts[0].host).is_empty());
        assert!(limits::report(&hosts.hosts[1].host).is_empty());
    });
}

/// Starts two upstreams, and makes the first host the orderer.
async fn start_orderer(hosts: &Hosts) -> &Host<FakePlatform> {
    hosts.apply_route(route(Repeat::Once)).await;
    for id in ["u1", "u2"] {
        hosts.start_upstream(id, vec![vec![Write(WHOLE)]]).await;
    }
    hosts.manage_lease(0);
    let orderer = &hosts.hosts[0].host;
    until(|| orderer.is_orderer()).await;
    orderer
}

// Guards against an orderer that keeps the lease while it reaches no engine, although another host
// reaches them.
#[test]
fn an_orderer_that_is_cut_off_leaves_the_lease_to_another_host() {
    on_hosts(2, |hosts| async move {
        let orderer = start_orderer(&hosts).await;
        for id in ["u1", "u2"] {
            hosts.cut(0, id, Cut::Refuses).await;
        }
        while orderer.is_orderer() {
            assert_eq!(hosts.call(0, REQUEST).await.head.status, 200);
        }
    });
}

// Guards against a lease that goes from host to host while no host reaches an engine.
#[test]
fn an_orderer_keeps_the_lease_while_no_host_reaches_an_engine() {
    on_hosts(2, |hosts| async move {
        let orderer = start_orderer(&hosts).await;
        for host in 0..2 {
            for id in ["u1", "u2"] {
                hosts.cut(host, id, Cut::Refuses).await;
            }
        }
        let since = orderer.now();
        while orderer.now().since(since) < Millis(2_500) {
            assert_eq!(hosts.call(0, REQUEST).await.head.status, 503);
            assert!(orderer.is_orderer());
        }
    });
}

// Guards against a host that shows its readiness or its address no more while it is cut off.
#[test]
fn a_host_that_is_cut_off_stays_ready() {
    on_hosts(2, |hosts| async move {
        hosts.apply_route(route(Repeat::Once)).await;
        hosts.start_upstream("u1", vec![vec![Write(WHOLE)]]).await;
        hosts.cut(0, "u1", Cut::Refuses).await;
        assert_eq!(hosts.call(0, REQUEST).await.head.status, 200);
        assert!(hosts.hosts[0].host.is_ready());
    });
}

// Guards against a refusal of the other host that the caller gets as an unknown outcome.
#[test]
fn a_refusal_of_the_other_host_reaches_the_caller_as_it_is() {
    on_hosts(2, |hosts| async move {
        hosts.apply_route(route(Repeat::Once)).await;
        let upstream = hosts.start_upstream("u1", vec![vec![Write(BUSY)]]).await;
        hosts.cut(0, "u1", Cut::Refuses).await;
        let refused = hosts.call(0, REQUEST).await;
        assert_eq!(refused.head.status, 503);
        assert!(refused.body.contains("no_capacity") || refused.body.contains("overloaded"));
        assert!(refused.head.headers.text("Retry-After").is_some());
        assert!(!upstream.arrivals.borrow().is_empty());
    });
}

// Guards against a request that waits for a load to its end although another host has come to reach
// an upstream.
#[test]
fn a_request_that_waits_is_offered_again() {
    on_hosts(2, |hosts| async move {
        hosts.apply_route(route(Repeat::Once)).await;
        let upstream = hosts.start_upstream("u1", vec![vec![Write(WHOLE)]]).await;
        for host in 0..2 {
            hosts.cut(host, "u1", Cut::Refuses).await;
        }
        let first = &hosts.hosts[0].host;
        let model = ModelRef {
            model: "m".into(),
            adapter: None,
        };
        let ready_in_ms = vec![(model, Millis(4_000))];
        let now = first.now();
        first
            .orderer_state
            .borrow_mut()
            .replace_ready(now, ready_in_ms);
        let request = REQUEST.replace("Wait-Ms: 1000", "Wait-Ms: 9000\r\nModel: m");
        let mut caller = hosts.connect(0).await;
        caller.send(&request).await;
        until(|| first.active_requests.get() == 1).await;
        hosts.heal(1, "u1", &upstream).await;
        while hosts.call(1, REQUEST).await.head.status != 200 {}
        assert_eq!(caller.answer().await.head.status, 200);
        assert!(first.now().since(now) < Millis(4_000));
    });
}
