//! Which hosts are evicted, and how an evicted host joins again.

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
fn a_single_cut_link_evicts_no_host() {
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
fn departed_hosts_remain_voters_until_a_majority_has_applied_their_departure() {
    let mut cluster = Cluster::new(5);
    for host in [0, 2, 3] {
        cluster.hosts[host].frozen = true;
        cluster.hosts[host].unlisted = true;
    }
    cluster.run_until("the evictions", |cluster| member_count(cluster) == 2);
    cluster.run_for(Millis(15_000));
    assert_eq!(cluster.hosts[1].node.shared.members.voters().count(), 5);
}

#[test]
fn an_outage_of_the_log_evicts_no_host() {
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
fn a_host_that_cannot_reach_half_of_the_hosts_evicts_none_of_them() {
    let mut cluster = Cluster::new(4);
    let before = incarnations(&cluster);
    for (a, b) in [(0, 2), (0, 3), (1, 2), (1, 3)] {
        cluster.cut_link(a, b, true);
    }
    cluster.run_for(Millis(30_000));
    assert_eq!(incarnations(&cluster), before);
}

#[test]
fn a_paused_host_is_evicted_and_joins_again_with_a_new_incarnation() {
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
    cluster.run_until("the former incarnation to be forgotten", |cluster| {
        !cluster.hosts[1].node.shared.members.knows(former)
    });
}

#[test]
fn a_paused_host_suspects_no_peer_when_it_resumes() {
    let mut cluster = Cluster::new(3);
    cluster.hosts[0].frozen = true;
    cluster.run_for(Millis(4_000));
    cluster.hosts[0].frozen = false;
    cluster.run_for(Millis(200));
    assert!(cluster.hosts[0].node.probes.suspects().is_empty());
}

#[test]
fn voters_change_one_at_a_time() {
    let mut cluster = Cluster::new(5);
    cluster.run_until("all hosts to be voters", |cluster| {
        cluster.hosts[0].node.shared.members.voters().count() == 5
    });
    cluster.hosts[0].frozen = true;
    cluster.hosts[1].frozen = true;
    cluster.run_until("both to be no voters any more", |cluster| {
        cluster.hosts[2].node.shared.members.voters().count() == 3
    });
}

#[test]
fn edits_take_effect_after_a_permanent_loss_of_most_hosts() {
    let mut cluster = Cluster::new(3);
    for host in 0..2 {
        cluster.hosts[host].frozen = true;
        cluster.hosts[host].unlisted = true;
    }
    let call = cluster.edit(2, model_edit(0));
    cluster.run_until("an answer", |cluster| cluster.edits.contains_key(&call));
    cluster.run_until("the lost hosts to be no voters any more", |cluster| {
        cluster.hosts[2].node.shared.members.voters().count() == 1
    });
    let call = cluster.edit(2, model_edit(0));
    cluster.run_until("an answer", |cluster| cluster.edits.contains_key(&call));
    assert_eq!(cluster.in_force.len(), 1);
}

/// Guards against edits that wait for long because of a host which reaches the log but not its
/// peers. It joins again each time that it is evicted, and may be the preferred proposer of a
/// membership change that it can never confirm; the other hosts must then propose it.
#[test]
fn edits_take_effect_while_a_host_cut_from_its_peers_joins_again_and_again() {
    let mut cluster = Cluster::new(3);
    cluster.run_until("all hosts to be voters", |cluster| {
        cluster.hosts[1].node.shared.members.voters().count() == 3
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
