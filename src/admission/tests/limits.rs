//! Tests that over all hosts no more requests of a row begin in any second than its limit allows.

use crate::admission::quota::{GRANT_TTL_MS, QuotaGranter};
use crate::attempt::message::RequestId;
use crate::attempt::requests::Phase;
use crate::daemon::event::Event;
use crate::error::Ran;
use crate::idempotency::tests::operations::{head, service_entry, table_edit};
use crate::membership::tests::cluster::Cluster;
use crate::prelude::*;
use crate::shared_log::tests::fake_log::check_seeds;
use crate::table::message::{EditAnswer, RowKey};
use arbtest::arbitrary::{Result, Unstructured};

const LIMIT: u32 = 5;
const SECOND_MS: Millis = Millis(1_000);

fn check_each_second(mut begun_at: Vec<Millis>) {
    begun_at.sort_unstable();
    for first in &begun_at {
        let within = |at: &&Millis| **at >= *first && at.since(*first) < SECOND_MS;
        let count = begun_at.iter().filter(within).count();
        assert!(
            count <= LIMIT as usize,
            "{count} in the second from {first}"
        );
    }
}

#[test]
fn grants_used_late_stay_within_the_limit() {
    check_seeds(100, 2048, |u| {
        let row = RowKey {
            brand: "north".into(),
            model: "booking".into(),
        };
        let mut granter = QuotaGranter::default();
        let mut now = Millis(1_000_000);
        let mut begun_at = Vec::new();
        for _ in 0..200 {
            now += Millis(u.int_in_range(0..=150u64)?);
            let wanted = u.int_in_range(1..=8u32)?;
            let grant = granter.grant(now, &row, LIMIT, wanted);
            assert!(grant.granted <= wanted);
            for _ in 0..grant.granted {
                begun_at.push(now + Millis(u.int_in_range(0..=GRANT_TTL_MS.0)?));
            }
        }
        check_each_second(begun_at);
        Ok(())
    });
}

struct LimitedCluster {
    cluster: Cluster,
    next_id: u64,
    seen: IndexSet<u64>,
    begun_at: Vec<Millis>,
    refused: usize,
}

impl LimitedCluster {
    fn new(hosts: usize) -> Self {
        let mut cluster = Cluster::new(hosts);
        cluster.upstreams.push(service_entry());
        let row = format!(r#"{{"requests_per_s": {LIMIT}}}"#);
        let call = cluster.edit(0, table_edit(&row));
        cluster.run_until("the table edit is in force", |cluster| {
            let answer = cluster.edits.get(&call);
            matches!(answer, Some(Ok(EditAnswer::InForce { .. })))
        });
        cluster.run_for(Millis(3_000));
        Self {
            cluster,
            next_id: 0,
            seen: IndexSet::new(),
            begun_at: Vec::new(),
            refused: 0,
        }
    }

    fn arrive(&mut self, host: usize) {
        let mut head = head(RequestId(self.next_id), 0);
        head.idempotency_key = None;
        self.next_id += 1;
        self.cluster.send(host, Event::RequestArrived { head });
    }

    /// Advances the cluster by one step, and records the requests that passed the limit in it.
    fn step(&mut self) {
        self.cluster.step();
        let now = self.cluster.now;
        for host in &self.cluster.hosts {
            for request in host.node.requests.iter() {
                let admitted = matches!(request.phase, Phase::Waiting | Phase::Running { .. });
                if admitted && self.seen.insert(request.head.id.0) {
                    self.begun_at.push(now);
                }
            }
        }
        for (_, effect) in std::mem::take(&mut self.cluster.outputs) {
            if let Effect::Refuse { refusal, .. } = effect
                && refusal.ran == Ran::NotRun
            {
                assert!(refusal.retry_after_ms.is_some());
                self.refused += 1;
            }
        }
    }
}

fn inject_fault(u: &mut Unstructured<'_>, cluster: &mut Cluster) -> Result<()> {
    let host = u.choose_index(cluster.hosts.len())?;
    let other = u.choose_index(cluster.hosts.len())?;
    match u.int_in_range(0..=6u8)? {
        0 => cluster.cut_link(host, other, true),
        1 => cluster.cut_link(host, other, false),
        2 => cluster.hosts[host].frozen = true,
        3 | 4 => cluster.hosts[host].frozen = false,
        _ => cluster.cut_host(host, u.arbitrary()?),
    }
    Ok(())
}

#[test]
fn limit_holds_when_hosts_freeze_leave_or_are_disconnected() {
    check_seeds(60, 4096, |u| {
        let mut limited = LimitedCluster::new(u.int_in_range(2..=4usize)?);
        for _ in 0..30 {
            inject_fault(u, &mut limited.cluster)?;
            for _ in 0..u.int_in_range(1..=100u8)? {
                let host = u.choose_index(limited.cluster.hosts.len())?;
                limited.arrive(host);
                limited.step();
            }
        }
        check_each_second(limited.begun_at);
        Ok(())
    });
}

#[test]
fn a_row_gets_most_of_its_limit_over_several_hosts() {
    const SECONDS: usize = 20;
    let mut limited = LimitedCluster::new(3);
    let end = limited.cluster.now + Millis(SECOND_MS.0 * SECONDS as u64);
    while limited.cluster.now < end {
        limited.arrive(limited.next_id as usize % 3);
        limited.step();
    }
    let begun = limited.begun_at.len();
    check_each_second(limited.begun_at);
    assert!(begun * 10 >= SECONDS * LIMIT as usize * 7, "{begun} begun");
    assert!(limited.refused > 0);
}
