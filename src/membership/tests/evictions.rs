//! Who is evicted, who is not, and how an evicted host comes back.

use super::cluster::Cluster;
use super::edits::model_edit;
use crate::prelude::*;
use crate::table::message::EditAnswer;

fn incarnations(cluster: &Cluster) -> Vec<Incarnation> {
    cluster.hosts.iter().map(|host| host.me()).collect()
}

fn member_count(cluster: &Cluster) -> usize {
    cluster.hosts[1].node.shared.members.iter().count()
}

#[test]
fn one_bad_link_evicts_nobody() {
    let mut cluster = Cluster::new(5);
    let before = incarnations(&cluster);
    for a in 0..5 {
        for b in 0..a {
            cluster.cut_link(a, b, true);
            cluster.run_for(Millis(8_000));
            cluster.cut_link(a, b, false);
        }
    }
    assert_eq!(incarnations(&cluster), before);
    assert!(cluster.hosts.iter().all(|host| host.is_fresh(cluster.now)));
}

#[test]
fn no_departure_counts_while_most_counted_hosts_have_not_applied_it() {
    let mut cluster = Cluster::new(5);
    for host in [0, 2, 3] {
        cluster.hosts[host].frozen = true;
        cluster.hosts[host].unlisted = true;
    }
    cluster.run_until("the evictions", |cluster| member_count(cluster) == 2);
    cluster.run_for(Millis(15_000));
    assert_eq!(cluster.hosts[1].node.shared.members.counted().count(), 5);
}

#[test]
fn an_outage_of_the_log_evicts_nobody() {
    let mut cluster = Cluster::new(3);
    let before = incarnations(&cluster);
    cluster
        .hosts
        .iter_mut()
        .for_each(|host| host.log_cut = true);
    cluster.hosts[0].frozen = true;
    cluster.run_for(Millis(20_000));
    cluster.hosts[0].frozen = false;
    cluster.run_for(Millis(1_000));
    cluster
        .hosts
        .iter_mut()
        .for_each(|host| host.log_cut = false);
    cluster.run_for(Millis(10_000));
    assert_eq!(incarnations(&cluster), before);
}

#[test]
fn a_host_that_lost_half_of_its_peers_evicts_none_on_its_own_word() {
    let mut cluster = Cluster::new(4);
    let before = incarnations(&cluster);
    for (a, b) in [(0, 2), (0, 3), (1, 2), (1, 3)] {
        cluster.cut_link(a, b, true);
    }
    cluster.run_for(Millis(30_000));
    assert_eq!(incarnations(&cluster), before);
}

#[test]
fn a_frozen_host_is_evicted_and_comes_back_as_another_incarnation() {
    let mut cluster = Cluster::new(3);
    let former = cluster.hosts[0].me();
    cluster.hosts[0].frozen = true;
    cluster.run_until("the eviction", |cluster| member_count(cluster) == 2);
    cluster.hosts[0].frozen = false;
    cluster.run_until("the host to serve again", |cluster| {
        cluster.hosts[0].is_fresh(cluster.now)
    });
    assert_ne!(cluster.hosts[0].me(), former);
    let call = cluster.edit(0, model_edit(0));
    cluster.run_until("an edit", |cluster| cluster.edits.contains_key(&call));
    assert!(cluster.edits[&call].is_ok());
    cluster.run_until("the former one to be gone", |cluster| {
        !cluster.hosts[1].node.shared.members.knows(former)
    });
}

#[test]
fn a_paused_host_suspects_nobody_when_it_wakes() {
    let mut cluster = Cluster::new(3);
    cluster.hosts[0].frozen = true;
    cluster.run_for(Millis(4_000));
    cluster.hosts[0].frozen = false;
    cluster.run_for(Millis(200));
    assert!(cluster.hosts[0].node.probes.suspects().is_empty());
}

#[test]
fn counted_hosts_change_one_at_a_time() {
    let mut cluster = Cluster::new(5);
    cluster.run_until("all to count", |cluster| {
        cluster.hosts[0].node.shared.members.counted().count() == 5
    });
    cluster.hosts[0].frozen = true;
    cluster.hosts[1].frozen = true;
    cluster.run_until("both to count no more", |cluster| {
        cluster.hosts[2].node.shared.members.counted().count() == 3
    });
}

#[test]
fn edits_go_on_after_most_hosts_are_gone_for_good() {
    let mut cluster = Cluster::new(3);
    for host in 0..2 {
        cluster.hosts[host].frozen = true;
        cluster.hosts[host].unlisted = true;
    }
    let call = cluster.edit(2, model_edit(0));
    cluster.run_until("an answer", |cluster| cluster.edits.contains_key(&call));
    cluster.run_until("the dead to count no more", |cluster| {
        cluster.hosts[2].node.shared.members.counted().count() == 1
    });
    let call = cluster.edit(2, model_edit(0));
    cluster.run_until("an answer", |cluster| cluster.edits.contains_key(&call));
    assert_eq!(cluster.in_force.len(), 1);
}

/// A host whose peers cannot reach it, but which reaches the log, joins again as often as it is
/// evicted. It may be the preferred proposer of a change of membership that it can never confirm;
/// the others then propose it.
#[test]
fn edits_are_in_force_soon_while_a_host_cut_from_its_peers_joins_again_and_again() {
    let mut cluster = Cluster::new(3);
    cluster.run_until("all to count", |cluster| {
        cluster.hosts[1].node.shared.members.counted().count() == 3
    });
    for other in [1, 2] {
        cluster.cut_link(0, other, true);
    }
    for number in 0..12 {
        cluster.run_for(Millis(4_000));
        let call = cluster.edit(1, model_edit(number));
        let asked_at = cluster.now;
        cluster.run_until("an edit", |cluster| cluster.edits.contains_key(&call));
        let took_ms = cluster.now.since(asked_at);
        assert!(
            matches!(cluster.edits[&call], Ok(EditAnswer::InForce { .. })),
            "edit {number} after {took_ms}: {:?}",
            cluster.edits[&call]
        );
    }
}
