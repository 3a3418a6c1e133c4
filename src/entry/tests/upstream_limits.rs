//! Upstreams that state how many requests a second they accept from all hosts together.

use super::fake_upstream::Step::Write;
use super::fake_upstream::{Arrival, FakeUpstream};
use super::site::{Site, on_site, route};
use crate::desired::Repeat;
use crate::prelude::*;
use crate::test_support::{generation, member};

const LIMITED: &str =
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nLimit: 2\r\nContent-Length: 2\r\n\r\nok";
const UNLIMITED: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok";

const WINDOW_MS: Millis = Millis(4_000);
/// The requests that may reach the limited upstream in one window of 4 s: half as many again as the
/// 2 a second that it states, and five more.
const MAX_IN_WINDOW: usize = 17;

/// Returns the most requests that an upstream got in any window.
fn max_in_window(upstream: &FakeUpstream) -> usize {
    let arrivals = upstream.arrivals.borrow();
    let in_window = |last: &Arrival| {
        let recent = arrivals.iter().filter(|one| one.at <= last.at);
        recent
            .filter(|one| last.at.since(one.at) < WINDOW_MS)
            .count()
    };
    arrivals.iter().map(in_window).max().unwrap_or(0)
}

fn request(id: usize) -> String {
    format!(
        "POST /a/1 HTTP/1.1\r\nHost: x\r\nId: i{id}\r\nWait-Ms: 5000\r\nContent-Length: 0\r\n\r\n"
    )
}

/// Puts a route into force and makes the host the only member of its group.
async fn serve(site: &Site) {
    site.publish_desired(1, vec![route(Repeat::Once)]);
    site.until_version(1).await;
    let me = member(site.host.incarnation, "here", 250);
    let now = site.host.now();
    let mut members = site.host.members.borrow_mut();
    members.replace(now, generation(1), [me].into_iter().collect());
    members.note_contact(now);
}

/// Guards against sending an overloaded upstream as many requests as before it stated its limit.
#[test]
fn an_upstream_that_states_a_limit_gets_no_more_requests_than_it_allows() {
    on_site(|site| async move {
        serve(&site).await;
        let limited = site
            .start_upstream("limited", vec![vec![Write(LIMITED)]])
            .await;
        assert_eq!(site.call(&request(0)).await.head.status, 200);
        let other = site
            .start_upstream("other", vec![vec![Write(UNLIMITED)]])
            .await;
        for id in 1..60 {
            assert_eq!(site.call(&request(id)).await.head.status, 200);
        }
        let max = max_in_window(&limited);
        assert!(max <= MAX_IN_WINDOW, "{max}");
        let sent_to_limited = limited.arrivals.borrow().len();
        assert_eq!(sent_to_limited + other.arrivals.borrow().len(), 60);
    });
}
