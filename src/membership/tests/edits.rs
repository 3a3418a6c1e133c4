//! An edit that was reported as in force is in force at every host that serves, whatever fails.

use super::cluster::Cluster;
use crate::prelude::*;
use crate::shared_log::tests::fake_log::{check_seeds, put_model};
use crate::table::message::Edit;
use arbtest::arbitrary::{Result, Unstructured};

/// Returns an edit that conflicts with no edit of another number.
pub fn model_edit(number: usize) -> Edit {
    let name = format!("model-{number}");
    match put_model(&format!("edit-{number}"), Offset(0), &name) {
        RecordBody::Edit { edit } => edit,
        other => panic!("not an edit: {other:?}"),
    }
}

fn inject_fault(u: &mut Unstructured<'_>, cluster: &mut Cluster) -> Result<()> {
    let host = u.choose_index(cluster.hosts.len())?;
    let other = u.choose_index(cluster.hosts.len())?;
    match u.int_in_range(0..=7u8)? {
        0 => cluster.hosts[host].log_cut = true,
        1 => cluster.hosts[host].log_cut = false,
        2 => cluster.cut_link(host, other, true),
        3 => cluster.cut_link(host, other, false),
        4 => cluster.hosts[host].frozen = true,
        5 => cluster.hosts[host].frozen = false,
        6 => cluster.cut_host(host, u.arbitrary()?),
        _ => cluster.hosts[host].unlisted = u.arbitrary()?,
    }
    Ok(())
}

fn remove_faults(cluster: &mut Cluster) {
    cluster.cut_links.clear();
    for host in &mut cluster.hosts {
        host.log_cut = false;
        host.frozen = false;
        host.unlisted = false;
    }
    cluster.run_until(
        "all hosts to serve and to have applied all appended records",
        |cluster| {
            let end = cluster.log.end();
            cluster.hosts.iter().all(|host| {
                let node = &host.node;
                let settled = node.driver.is_drained() && node.shared.next_offset == end;
                settled && host.is_fresh(cluster.now)
            })
        },
    );
}

/// Guards against a host that serves without an edit in force, after random partitions and pauses.
/// [`Cluster::step`] checks it after each step.
#[test]
fn no_host_serves_without_an_edit_that_is_in_force() {
    check_seeds(60, 1024, |u| {
        let mut cluster = Cluster::new(u.int_in_range(2..=5usize)?);
        for number in 0..40 {
            inject_fault(u, &mut cluster)?;
            let host = u.choose_index(cluster.hosts.len())?;
            cluster.edit(host, model_edit(number));
            cluster.run_for(Millis(u.int_in_range(20..=2_500u64)?));
        }
        remove_faults(&mut cluster);
        let first = &cluster.hosts[0].node.shared.table;
        for host in &cluster.hosts {
            assert_eq!(&host.node.shared.table, first);
        }
        Ok(())
    });
}

#[test]
fn an_edit_waits_for_a_departed_host_that_may_not_have_applied_it() {
    let mut cluster = Cluster::new(3);
    cluster.cut_host(0, true);
    cluster.hosts[0].unlisted = true;
    let evicted = cluster.hosts[0].me();
    cluster.run_until("the eviction", |cluster| {
        !cluster.hosts[1].node.shared.members.is_member(evicted)
    });
    let departed: Vec<Incarnation> = cluster.hosts[1]
        .node
        .shared
        .members
        .departed()
        .map(|(host, _)| *host)
        .collect();
    assert_eq!(departed, [evicted]);
    let call = cluster.edit(1, model_edit(0));
    let asked_at = cluster.now;
    cluster.run_until("the edit", |cluster| cluster.edits.contains_key(&call));
    assert!(cluster.now.since(asked_at) > Millis(2_000));
}

#[test]
fn a_repeated_edit_gets_the_same_answer_at_every_host() {
    let mut cluster = Cluster::new(3);
    let calls: Vec<_> = (0..3)
        .map(|host| cluster.edit(host, model_edit(0)))
        .collect();
    cluster.run_until("the answers", |cluster| cluster.edits.len() == 3);
    for call in &calls {
        assert_eq!(cluster.edits[call], cluster.edits[&calls[0]]);
        assert!(cluster.edits[call].is_ok());
    }
}
