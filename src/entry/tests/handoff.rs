//! Requests of callers at a host that reaches no upstream, while other hosts reach some.

use super::fake_upstream::Step::Write;
use super::hosts::{Cut, Hosts, on_hosts};
use super::site::route;
use crate::desired::{Repeat, Route};

const REQUEST: &str =
    "POST /a/1 HTTP/1.1\r\nHost: X:80\r\nId: i1\r\nWait-Ms: 1000\r\nContent-Length: 3\r\n\r\nabc";
const WHOLE: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok";

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
