//! Requests that crash the upstreams that run them, and requests that run there at the same time.

use super::fake_upstream::Step::{Close, Crash, Hang, Wait, Write};
use super::fake_upstream::{FakeUpstream, Step};
use super::site::{Answer, Site, entry, on_site, route};
use crate::desired::{Repeat, Route};
use crate::upstreams::UpstreamEntry;
use std::cell::Cell;
use std::net::Ipv4Addr;
use std::rc::Rc;

const WHOLE: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok";

const STREAM_START: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n";

fn stream_route() -> Route {
    Route {
        streams: true,
        ..route(Repeat::Once)
    }
}

fn request(id: usize, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /a/1 HTTP/1.1\r\nHost: x\r\nId: i{id}\r\nWait-Ms: 5000\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

async fn upstreams_that_crash(site: &Site, count: usize) -> Vec<FakeUpstream> {
    let mut upstreams = Vec::new();
    for n in 0..count {
        let id = format!("crashes-{n}");
        upstreams.push(site.start_upstream(&id, vec![vec![Crash]]).await);
    }
    upstreams
}

fn retry_after_s(answer: &Answer) -> f64 {
    let after = answer.head.headers.text("Retry-After");
    after.and_then(|after| after.parse().ok()).unwrap_or(0.0)
}

fn arrivals(upstreams: &[FakeUpstream]) -> usize {
    let arrivals = upstreams.iter().map(|one| one.arrivals.borrow().len());
    arrivals.sum()
}

/// Guards against serving each repeat of a crashing request like the first one, which crashes one
/// more upstream each time.
#[test]
fn a_request_that_crashed_three_upstreams_is_not_sent_again() {
    on_site(|site| async move {
        site.publish_desired(1, vec![route(Repeat::Once)]);
        site.until_version(1).await;
        let upstreams = upstreams_that_crash(&site, 6).await;
        for id in 0..3 {
            let answer = site.call(&request(id, "crash")).await;
            assert_eq!(answer.head.status, 502);
        }
        let healthy = site
            .start_upstream("healthy", vec![vec![Write(WHOLE)]])
            .await;
        for id in 3..10 {
            let answer = site.call(&request(id, "crash")).await;
            assert_eq!(answer.head.status, 503, "{}", answer.body);
            assert!(retry_after_s(&answer) > 1_000.0, "{:?}", answer.head);
        }
        assert_eq!(arrivals(&upstreams), 3);
        assert!(healthy.arrivals.borrow().is_empty());
    });
}

/// Guards against counting repeats from several addresses as different requests.
#[test]
fn repeats_from_other_addresses_count_as_the_same_request() {
    on_site(|site| async move {
        site.publish_desired(1, vec![route(Repeat::Once)]);
        site.until_version(1).await;
        let upstreams = upstreams_that_crash(&site, 6).await;
        for id in 0..6 {
            let address = Ipv4Addr::new(127, 0, 0, 2 + id as u8);
            let mut caller = site.connect_from(address);
            caller.send(&request(id, "crash")).await;
            let status = if id < 3 { 502 } else { 503 };
            assert_eq!(caller.answer().await.head.status, status, "{id}");
        }
        assert_eq!(arrivals(&upstreams), 3);
    });
}

/// Returns the scripts of an upstream that streams its first request and crashes with the second.
fn streams_then_crashes() -> Vec<Vec<Step>> {
    vec![vec![Write(STREAM_START), Hang], vec![Crash]]
}

#[test]
fn requests_that_run_beside_a_crashing_request_are_not_quarantined() {
    on_site(|site| async move {
        site.publish_desired(1, vec![stream_route()]);
        site.until_version(1).await;
        upstreams_that_crash(&site, 1).await;
        site.call(&request(0, "crash")).await;
        for n in 1..4 {
            let id = format!("beside-{n}");
            site.start_upstream(&id, streams_then_crashes()).await;
            let mut beside = site.connect().await;
            beside.send(&request(10 + n, "beside")).await;
            let head = beside.0.read_response_head(64 << 10, false).await;
            assert_eq!(head.expect("an answer").status, 200);
            site.call(&request(n, "crash")).await;
        }
        let healthy = site
            .start_upstream("healthy", vec![vec![Write(STREAM_START), Close]])
            .await;
        assert_eq!(site.call(&request(20, "crash")).await.head.status, 503);
        assert!(healthy.arrivals.borrow().is_empty());
        let answer = site.call(&request(21, "beside")).await;
        assert_eq!(answer.head.status, 200, "{answer:?}");
    });
}

#[test]
fn an_upstream_that_closes_connections_but_still_accepts_new_ones_has_not_crashed() {
    on_site(|site| async move {
        site.publish_desired(1, vec![route(Repeat::Once)]);
        site.until_version(1).await;
        let upstream = site.start_upstream("closes", vec![vec![Close]]).await;
        for id in 0..6 {
            assert_eq!(site.call(&request(id, "a")).await.head.status, 502);
        }
        assert_eq!(upstream.arrivals.borrow().len(), 6);
    });
}

#[test]
fn an_upstream_that_ends_while_it_is_leaving_has_not_crashed() {
    on_site(|site| async move {
        site.publish_desired(1, vec![route(Repeat::Once)]);
        site.until_version(1).await;
        for n in 0..5 {
            let id = format!("leaves-{n}");
            let may_end = Rc::new(Cell::new(false));
            let scripts = vec![vec![Wait(may_end.clone()), Crash]];
            let upstream = site.start_upstream(&id, scripts).await;
            let mut caller = site.connect().await;
            caller.send(&request(n, "a")).await;
            site.until(|_| upstream.arrivals.borrow().len() == 1).await;
            let leaving = UpstreamEntry {
                leaving: true,
                ..entry(&id, upstream.address)
            };
            site.store.write_upstream(&id, Some(leaving));
            site.until(|host| host.upstreams.borrow().usable("s").next().is_none())
                .await;
            may_end.set(true);
            assert_eq!(caller.answer().await.head.status, 502);
        }
        site.start_upstream("healthy", vec![vec![Write(WHOLE)]])
            .await;
        assert_eq!(site.call(&request(9, "a")).await.head.status, 200);
    });
}

#[test]
fn a_request_with_another_body_or_path_than_a_crashing_one_is_not_quarantined() {
    on_site(|site| async move {
        site.publish_desired(1, vec![route(Repeat::Once)]);
        site.until_version(1).await;
        upstreams_that_crash(&site, 3).await;
        for id in 0..3 {
            site.call(&request(id, "crash")).await;
        }
        site.start_upstream("healthy", vec![vec![Write(WHOLE)]])
            .await;
        assert_eq!(site.call(&request(3, "crash")).await.head.status, 503);
        assert_eq!(site.call(&request(4, "other")).await.head.status, 200);
        let other_path = request(5, "crash").replace("/a/1", "/a/2");
        assert_eq!(site.call(&other_path).await.head.status, 200);
    });
}

#[test]
fn a_request_that_was_answered_before_is_not_quarantined_when_upstreams_crash() {
    on_site(|site| async move {
        site.publish_desired(1, vec![route(Repeat::Once)]);
        site.until_version(1).await;
        site.start_upstream("first", vec![vec![Write(WHOLE)], vec![Crash]])
            .await;
        assert_eq!(site.call(&request(0, "a")).await.head.status, 200);
        assert_eq!(site.call(&request(1, "a")).await.head.status, 502);
        upstreams_that_crash(&site, 4).await;
        for id in 2..6 {
            assert_eq!(site.call(&request(id, "a")).await.head.status, 502);
        }
        site.start_upstream("healthy", vec![vec![Write(WHOLE)]])
            .await;
        assert_eq!(site.call(&request(6, "a")).await.head.status, 200);
    });
}
