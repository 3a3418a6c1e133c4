//! Upstreams that turn requests away and ask in that answer for a time without further ones.

use super::fake_upstream::Step::Write;
use super::site::{Site, on_site, route};
use crate::desired::{Repeat, Route};

const REQUEST: &str =
    "POST /a/1 HTTP/1.1\r\nHost: X:80\r\nId: i1\r\nWait-Ms: 5000\r\nContent-Length: 3\r\n\r\nabc";
const RESTS_FOR_A_MINUTE: &str =
    "HTTP/1.1 503 Busy\r\nId: {id}\r\nNot-Run: 1\r\nRest-Ms: 60000\r\nContent-Length: 0\r\n\r\n";

async fn apply(site: &Site, route: Route) {
    site.publish_desired(1, vec![route]);
    site.until_version(1).await;
}

// Guards against repeating requests at an upstream that has asked for rest.
#[test]
fn an_upstream_that_asks_for_rest_gets_no_request_in_that_time() {
    on_site(|site| async move {
        apply(&site, route(Repeat::Once)).await;
        let upstream = site
            .start_upstream("u1", vec![vec![Write(RESTS_FOR_A_MINUTE)]])
            .await;
        for _ in 0..6 {
            assert_eq!(site.call(REQUEST).await.head.status, 503);
        }
        assert_eq!(upstream.arrivals.borrow().len(), 1);
    });
}
