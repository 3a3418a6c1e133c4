//! Upstreams that state in their answers that they leave.

use super::fake_upstream::Step::Write;
use super::fake_upstream::{FakeUpstream, Step};
use super::site::{Site, entry, on_site, route};
use crate::desired::{Repeat, Route};

const REQUEST: &str =
    "POST /a/1 HTTP/1.1\r\nHost: X:80\r\nId: i1\r\nWait-Ms: 5000\r\nContent-Length: 3\r\n\r\nabc";
const WHOLE: &str = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok";
const LEAVING: &str =
    "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: s\r\nLeaving: 1\r\nContent-Length: 2\r\n\r\nok";

/// Starts an upstream that this host prefers, since it is in the host's data centre, and one in
/// another data centre that answers every request.
async fn start_pair(site: &Site, first: Vec<Vec<Step>>) -> (FakeUpstream, FakeUpstream) {
    let near = site.start_upstream("near", first).await;
    let far = FakeUpstream::start(&site.executor, vec![vec![Write(WHOLE)]]).await;
    let mut listed = entry("far", far.address);
    listed.data_centre = "elsewhere".into();
    site.store.write_upstream("far", Some(listed));
    site.until(|host| host.upstreams.borrow().get("far").is_some())
        .await;
    (near, far)
}

async fn apply(site: &Site, route: Route) {
    site.publish_desired(1, vec![route]);
    site.until_version(1).await;
}

/// Sends requests while the store is away, after an upstream's answer stated that it leaves.
/// Returns how many reached it.
fn arrivals_after(answer: Vec<Step>, route: Route) -> usize {
    let arrivals = std::rc::Rc::new(std::cell::Cell::new(0));
    let counted = arrivals.clone();
    on_site(|site| async move {
        apply(&site, route).await;
        let (near, _far) = start_pair(&site, vec![answer, vec![Write(WHOLE)]]).await;
        site.store.is_down.set(true);
        site.call(REQUEST).await;
        assert_eq!(near.arrivals.borrow().len(), 1);
        for _ in 0..6 {
            assert_eq!(site.call(REQUEST).await.head.status, 200);
        }
        counted.set(near.arrivals.borrow().len() - 1);
    });
    arrivals.get()
}

// Guards against sending requests to an upstream after it stated in an answer that it leaves, while
// the store is away.
#[test]
fn an_upstream_that_says_in_an_answer_that_it_leaves_gets_no_further_request() {
    assert_eq!(arrivals_after(vec![Write(LEAVING)], route(Repeat::Once)), 0);
}
