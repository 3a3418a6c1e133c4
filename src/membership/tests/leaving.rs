//! Hints that an upstream is leaving reach all hosts, and do not extend the mark of the first-hand
//! report.

use super::cluster::Cluster;
use crate::membership::leaving::{LEAVING_MARK_MS, Leaving};
use crate::membership::message::{UpstreamEntry, UpstreamRole};
use crate::prelude::*;

#[test]
fn hints_passed_between_hosts_do_not_extend_a_mark() {
    let upstream: Name = "engine-1".into();
    let mut hosts = [Leaving::default(), Leaving::default()];
    let reported_at = Millis(1_000_000);
    assert!(hosts[0].mark(&upstream, reported_at));
    let mut now = reported_at;
    while now.since(reported_at) <= LEAVING_MARK_MS {
        let (from, to) = if now.0.is_multiple_of(2_000) {
            (0, 1)
        } else {
            (1, 0)
        };
        for hint in hosts[from].hints(now) {
            hosts[to].mark(&hint.upstream, now - hint.age_ms);
        }
        now += Millis(1_000);
    }
    assert_eq!(hosts[0].expire(now), std::slice::from_ref(&upstream));
    assert_eq!(hosts[1].expire(now), [upstream]);
}

#[test]
fn a_hint_from_before_a_mark_was_cleared_has_no_effect() {
    let upstream: Name = "engine-1".into();
    let mut leaving = Leaving::default();
    let reported_at = Millis(1_000_000);
    let live_at = reported_at + Millis(500);
    assert!(leaving.mark(&upstream, reported_at));
    leaving.clear(&upstream, live_at);
    assert!(!leaving.mark(&upstream, reported_at));
    assert!(!leaving.is_marked(&upstream));
    assert!(leaving.mark(&upstream, live_at + Millis(1)));
}

#[test]
fn a_peers_hint_stops_new_requests_to_an_upstream_within_a_second() {
    let mut cluster = Cluster::new(4);
    let upstream: Name = "engine-1".into();
    let entry = UpstreamEntry {
        name: upstream.clone(),
        role: UpstreamRole::Engine,
        address: cluster.hosts[0].node.config.entry.caller_address,
        data_centre: "otaru".into(),
        memory_bytes: 1,
        slots: 1,
        checks_fencing: true,
        leaving: false,
    };
    cluster.hosts[0]
        .node
        .driver
        .queue(RecordBody::Upstream { entry });
    cluster.run_for(Millis(1_000));
    cluster.hosts[0].node.mark_leaving(&upstream);
    cluster.run_for(Millis(1_000));
    for host in &cluster.hosts {
        assert!(!host.node.routing.is_usable(cluster.now, &upstream));
    }
}
