//! Upstreams that state their load, and hosts that pass the statements on.

use super::fake_platform::FakePlatform;
use super::fake_upstream::Step::Write;
use super::site::{on_site, route, sync_request_from};
use super::sync::make_relay;
use crate::desired::Repeat;
use crate::entry::host::Host;
use crate::entry::stated_loads;
use crate::entry::sync::answer;
use crate::ordering::message::{SyncReply, SyncRequest};
use crate::prelude::*;
use crate::upstreams::stated_load::ToldLoad;
use crate::upstreams::{Lifetime, StatedLoad};

const REQUEST: &str =
    "POST /a/1 HTTP/1.1\r\nHost: X:80\r\nId: i1\r\nWait-Ms: 1000\r\nContent-Length: 3\r\n\r\nabc";
const BUSY: &str =
    "HTTP/1.1 503 Busy\r\nId: {id}\r\nNot-Run: 1\r\nRunning: 9\r\nContent-Length: 0\r\n\r\n";

fn known_running(host: &Host<FakePlatform>) -> Option<u32> {
    let upstreams = host.upstreams.borrow();
    let known = upstreams.get("u1").and_then(|upstream| upstream.known_load);
    known.map(|known| known.load.running)
}

/// Guards against ignoring the load on refusals, which a full upstream sends most.
#[test]
fn a_refusal_states_the_load_too_and_is_reported_once() {
    on_site(|site| async move {
        site.apply_route(route(Repeat::Once)).await;
        site.start_upstream("u1", vec![vec![Write(BUSY)]]).await;
        site.call(REQUEST).await;
        assert_eq!(known_running(&site.host), Some(9));
        let reported = stated_loads::report(&site.host);
        assert_eq!(reported.len(), 1);
        assert_eq!(reported[0].load.running, 9);
        assert!(stated_loads::report(&site.host).is_empty());
    });
}

/// Guards against hosts that know only the statements in their own answers.
#[test]
fn a_relay_passes_statements_on_in_both_directions() {
    on_site(|site| async move {
        site.apply_route(route(Repeat::Once)).await;
        site.start_upstream("u1", vec![vec![]]).await;
        make_relay(&site.host);
        let load = StatedLoad {
            running: 3,
            waiting: 1,
            slots: 4,
            pace_percent: Some(250),
        };
        let told = ToldLoad {
            upstream: Lifetime {
                id: "u1".into(),
                born_at: Millis::ZERO,
            },
            load,
            age_ms: Millis(20),
        };
        let request = SyncRequest {
            loads: vec![told],
            ..sync_request_from(7)
        };
        let SyncReply::NoNews { totals, .. } = answer(&site.host, request) else {
            panic!("a relay without an orderer has no news");
        };
        assert!(totals.loads.is_empty(), "the host knows its own statement");
        let SyncReply::NoNews { totals, .. } = answer(&site.host, sync_request_from(8)) else {
            panic!("a relay without an orderer has no news");
        };
        assert_eq!(totals.loads[0].load, load);
        assert!(totals.loads[0].age_ms >= Millis(20));
        assert_eq!(stated_loads::report(&site.host)[0].load, load);
    });
}
