//! Requests that no upstream can take, with and without a host that orders loads.

use super::site::{on_site, route};
use crate::desired::Repeat;
use crate::prelude::*;

const REQUEST: &str = "GET /a/ HTTP/1.1\r\nHost: x\r\nId: i1\r\nModel: m\r\nWait-Ms: 30000\r\n\r\n";

#[test]
fn a_request_for_a_model_that_no_engine_holds_is_refused_at_once_while_the_orderer_is_lost() {
    on_site(|site| async move {
        site.publish_desired(1, vec![route(Repeat::Once)]);
        site.until_version(1).await;
        let long_ago = site.host.now() - Millis(4_000);
        site.host.orderer_state.borrow_mut().answered_at = Some(long_ago);
        let answer = site.call(REQUEST).await;
        assert_eq!(answer.head.status, 503);
        assert!(
            answer.body.contains("no host orders loads now"),
            "{}",
            answer.body
        );
        let retry_after_s: f64 = answer
            .head
            .headers
            .text("Retry-After")
            .unwrap()
            .parse()
            .unwrap();
        // The next orderer sends orders six seconds after the last answer of the previous one.
        assert!((0.5..=2.0).contains(&retry_after_s), "{retry_after_s}");
    });
}

#[test]
fn a_request_for_a_model_that_no_engine_holds_waits_while_the_orderer_answers() {
    on_site(|site| async move {
        site.publish_desired(1, vec![route(Repeat::Once)]);
        site.until_version(1).await;
        site.host.orderer_state.borrow_mut().answered_at = Some(site.host.now());
        let answer = site.call(REQUEST).await;
        assert_eq!(answer.head.status, 503);
        assert!(
            !answer.body.contains("no host orders loads now"),
            "{}",
            answer.body
        );
    });
}
