//! The cost of a round of probes does not depend on the number of hosts.

use crate::membership::members::Members;
use crate::membership::message::Probe;
use crate::membership::probes::{MAX_DIRECT_PROBES, Probes};
use crate::prelude::*;
use crate::shared_log::tests::fake_log::host_entry;

const HOSTS: u64 = 860;
const PER_ROUND: usize = 8;

fn members() -> Members {
    let mut members = Members::default();
    for number in 1..=HOSTS {
        let host = Incarnation(number);
        let joined = members.join(Offset(number), host, &host_entry(number));
        assert_eq!(joined, Ok(()));
    }
    members
}

pub fn probe() -> Probe {
    Probe {
        from: Incarnation(1),
        next_offset: Offset(0),
        log_age_ms: None,
        stopping: false,
        leaving_upstreams: Vec::new(),
        suspects: Vec::new(),
    }
}

fn probed_hosts(fx: &Effects) -> Vec<Incarnation> {
    let peer = |effect: &Effect| match effect {
        Effect::AskPeer { peer, .. } => Some(*peer),
        _ => None,
    };
    fx.iter().filter_map(peer).collect()
}

#[test]
fn a_round_probes_at_most_the_set_number_of_hosts_and_rounds_reach_all_hosts() {
    let members = members();
    let mut probes = Probes::new(Millis(250), Millis(5_000), PER_ROUND);
    let mut reached = IndexSet::new();
    for round in 1..=1_500u64 {
        let now = Millis(round * 250);
        let mut fx = Effects::new();
        probes.on_tick(now, &members, &probe(), &mut fx);
        let partners = probed_hosts(&fx);
        assert!(partners.len() <= PER_ROUND);
        for partner in partners {
            probes.on_answer(now, partner, now, &probe());
            reached.insert(partner);
        }
        assert!(probes.suspects().is_empty());
    }
    assert_eq!(reached.len() as u64, HOSTS - 1);
}

#[test]
fn a_silent_host_is_probed_again_and_suspected() {
    let members = members();
    let mut probes = Probes::new(Millis(250), Millis(5_000), PER_ROUND);
    let silent = Incarnation(7);
    let mut now = Millis(250);
    while probes.suspects().is_empty() {
        now += Millis(250);
        let mut fx = Effects::new();
        probes.on_tick(now, &members, &probe(), &mut fx);
        for partner in probed_hosts(&fx) {
            if partner == silent {
                probes.on_failed(partner);
            } else {
                probes.on_answer(now, partner, now, &probe());
            }
        }
        assert!(now < Millis(600_000));
    }
    assert_eq!(probes.suspects(), [silent]);
}

#[test]
fn hosts_that_an_edit_waits_for_are_all_probed_within_a_second() {
    let members = members();
    let mut probes = Probes::new(Millis(250), Millis(5_000), PER_ROUND);
    let mut reached = IndexSet::new();
    for tick in 1..=54u64 {
        let now = Millis(10_000 + tick * 18);
        let mut fx = Effects::new();
        let missing = members.known().filter(|host| !reached.contains(host));
        probes.probe_now(now, missing, &members, &probe(), &mut fx);
        let partners = probed_hosts(&fx);
        assert!(partners.len() <= MAX_DIRECT_PROBES);
        for partner in partners {
            probes.on_answer(now, partner, now, &probe());
            reached.insert(partner);
        }
    }
    assert_eq!(reached.len() as u64, HOSTS - 1);
}
