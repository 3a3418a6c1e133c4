//! A host serves only while its state is current.

use super::cluster::{Cluster, FRESH_BOUND_MS, STEP_MS};
use super::edits::model_edit;
use crate::prelude::*;

/// How long a serving host may lag behind a record that its peers have applied.
const RELAY_BOUND_MS: Millis = Millis(3_000);

#[test]
fn a_host_cut_from_the_log_serves_and_learns_records_from_peers() {
    let mut cluster = Cluster::new(3);
    cluster.hosts[0].log_cut = true;
    for number in 0..5 {
        let call = cluster.edit(1, model_edit(number));
        let asked_at = cluster.now;
        cluster.run_until("the edit", |cluster| cluster.edits.contains_key(&call));
        assert!(cluster.edits[&call].is_ok());
        assert!(cluster.now.since(asked_at) <= RELAY_BOUND_MS);
        assert!(cluster.hosts[0].is_fresh(cluster.now));
    }
}

#[test]
fn all_hosts_serve_through_an_outage_of_the_log() {
    let mut cluster = Cluster::new(3);
    cluster
        .hosts
        .iter_mut()
        .for_each(|host| host.log_cut = true);
    cluster.run_for(Millis(30_000));
    let now = cluster.now;
    assert!(cluster.hosts.iter().all(|host| host.is_fresh(now)));
}

#[test]
fn a_host_cut_from_everything_stops_being_fresh_within_the_bound() {
    let mut cluster = Cluster::new(3);
    cluster.cut_host(0, true);
    cluster.run_for(FRESH_BOUND_MS + STEP_MS + STEP_MS);
    assert!(!cluster.hosts[0].is_fresh(cluster.now));
    assert!(cluster.hosts[1].is_fresh(cluster.now));
    cluster.cut_host(0, false);
    cluster.run_until("the host to be fresh again", |cluster| {
        cluster.hosts[0].is_fresh(cluster.now)
    });
}

#[test]
fn without_the_log_a_minority_becomes_stale_and_the_majority_stays_fresh() {
    let mut cluster = Cluster::new(5);
    cluster
        .hosts
        .iter_mut()
        .for_each(|host| host.log_cut = true);
    for (a, b) in [(0, 2), (0, 3), (0, 4), (1, 2), (1, 3), (1, 4)] {
        cluster.cut_link(a, b, true);
    }
    cluster.run_for(Millis(5_000));
    let fresh: Vec<bool> = cluster
        .hosts
        .iter()
        .map(|host| host.is_fresh(cluster.now))
        .collect();
    assert_eq!(fresh, [false, false, true, true, true]);
}

#[test]
fn without_the_log_half_of_the_hosts_are_no_majority() {
    let mut cluster = Cluster::new(4);
    cluster
        .hosts
        .iter_mut()
        .for_each(|host| host.log_cut = true);
    for (a, b) in [(0, 2), (0, 3), (1, 2), (1, 3)] {
        cluster.cut_link(a, b, true);
    }
    cluster.run_for(Millis(5_000));
    let now = cluster.now;
    assert!(!cluster.hosts.iter().any(|host| host.is_fresh(now)));
}

#[test]
fn a_paused_host_is_stale_from_its_first_event_on() {
    let mut cluster = Cluster::new(3);
    let paused_until = cluster.now + Millis(1_500);
    let node = &mut cluster.hosts[0].node;
    assert!(node.is_fresh(cluster.now));
    node.handle(paused_until, crate::daemon::event::Event::Tick);
    assert!(!node.is_fresh(paused_until));
}

#[test]
fn the_answer_to_a_read_before_a_pause_does_not_make_a_host_fresh() {
    let mut cluster = Cluster::new(3);
    let asked_at = cluster.now;
    let paused_until = cluster.now + Millis(1_500);
    let next_offset = cluster.log.end();
    let node = &mut cluster.hosts[0].node;
    let page = crate::shared_log::driver::LogPage {
        records: Vec::new(),
        next_offset,
        end_offset: next_offset,
        oldest_offset: Offset(0),
    };
    let event = crate::daemon::event::Event::LogRead { asked_at, page };
    node.handle(paused_until, event);
    assert!(!node.is_fresh(paused_until));
}
