//! Upstreams that state how many requests in a second they can turn away.

use super::fake_upstream::Step::{Wait, Write};
use super::hosts::{on_hosts, until};
use super::site::{on_site, route};
use crate::desired::Repeat;
use futures_lite::future::poll_once;
use std::cell::Cell;
use std::rc::Rc;

const REQUEST: &str =
    "POST /a/1 HTTP/1.1\r\nHost: X:80\r\nId: i1\r\nWait-Ms: 1000\r\nContent-Length: 3\r\n\r\nabc";
const WHOLE: &str =
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nMax-Rejections: 2\r\nContent-Length: 2\r\n\r\nok";
const BUSY: &str =
    "HTTP/1.1 503 Busy\r\nId: {id}\r\nNot-Run: 1\r\nMax-Rejections: 2\r\nContent-Length: 0\r\n\r\n";

// Guards against more requests at a full upstream than it can turn away in a second.
#[test]
fn a_full_upstream_turns_no_more_requests_away_than_it_states() {
    on_site(|site| async move {
        site.apply_route(route(Repeat::Once)).await;
        let scripts = vec![vec![Write(WHOLE)], vec![Write(BUSY)]];
        let upstream = site.start_upstream("u1", scripts).await;
        assert_eq!(site.call(REQUEST).await.head.status, 200);
        let mut callers = Vec::new();
        for _ in 0..12 {
            let mut caller = site.connect().await;
            caller.send(REQUEST).await;
            callers.push(caller);
        }
        for mut caller in callers {
            assert_eq!(caller.answer().await.head.status, 503);
        }
        let turned_away = upstream.arrivals.borrow().len() - 1;
        assert!(turned_away <= 2, "{turned_away}");
    });
}

// Guards against requests that are counted only once their connections are open.
#[test]
fn requests_that_arrive_at_the_same_moment_keep_to_the_limit() {
    on_site(|site| async move {
        site.apply_route(route(Repeat::Once)).await;
        let may_answer = Rc::new(Cell::new(false));
        let held = vec![Wait(may_answer.clone()), Write(BUSY)];
        let scripts = vec![vec![Write(WHOLE)], held];
        let upstream = site.start_upstream("u1", scripts).await;
        assert_eq!(site.call(REQUEST).await.head.status, 200);
        let mut callers = Vec::new();
        for _ in 0..12 {
            callers.push(site.connect().await);
        }
        for caller in &mut callers {
            // The host gets no turn between two of them.
            poll_once(caller.send(REQUEST)).await.expect("room to send");
        }
        until(|| upstream.arrivals.borrow().len() == 3).await;
        may_answer.set(true);
        for mut caller in callers {
            assert_eq!(caller.answer().await.head.status, 503);
        }
        assert_eq!(upstream.arrivals.borrow().len(), 3);
    });
}

// Guards against a limit that each host applies for itself: three hosts, and two requests in a
// second.
#[test]
fn hosts_that_an_upstream_is_not_assigned_to_leave_it_to_those_that_it_is() {
    on_hosts(3, |hosts| async move {
        hosts.apply_route(route(Repeat::Once)).await;
        let may_answer = Rc::new(Cell::new(false));
        let held = vec![Wait(may_answer.clone()), Write(BUSY)];
        let first = vec![Write(WHOLE)];
        let scripts = vec![first.clone(), first.clone(), first, held];
        let upstream = hosts.start_upstream("u1", scripts).await;
        for host in 0..3 {
            assert_eq!(hosts.call(host, REQUEST).await.head.status, 200);
        }
        let mut callers = Vec::new();
        for host in [0, 1, 2, 0, 1, 2, 0, 1, 2] {
            let mut caller = hosts.connect(host).await;
            caller.send(REQUEST).await;
            callers.push(caller);
        }
        until(|| upstream.arrivals.borrow().len() == 5).await;
        may_answer.set(true);
        for mut caller in callers {
            assert_eq!(caller.answer().await.head.status, 503);
        }
        assert_eq!(upstream.arrivals.borrow().len(), 5);
    });
}

// Guards against a limit that outlasts the state of the upstream.
#[test]
fn an_upstream_that_states_no_limit_any_more_gets_requests_as_before() {
    on_site(|site| async move {
        site.apply_route(route(Repeat::Once)).await;
        let unlimited = "HTTP/1.1 503 Busy\r\nId: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
        let scripts = vec![
            vec![Write(WHOLE)],
            vec![Write(unlimited)],
            vec![Write(WHOLE)],
        ];
        site.start_upstream("u1", scripts).await;
        assert_eq!(site.call(REQUEST).await.head.status, 200);
        assert_eq!(site.call(REQUEST).await.head.status, 200);
        assert_eq!(site.call(REQUEST).await.head.status, 200);
    });
}
