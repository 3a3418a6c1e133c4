//! Probes cost the same however many hosts there are.

use crate::membership::members::Members;
use crate::membership::message::Probe;
use crate::membership::probes::{MAX_DIRECT_ASKS, Probes};
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

fn asked(fx: &Effects) -> Vec<Incarnation> {
    let peer = |effect: &Effect| match effect {
        Effect::AskPeer { peer, .. } => Some(*peer),
        _ => None,
    };
    fx.iter().filter_map(peer).collect()
}

#[test]
fn a_round_asks_no_more_partners_than_set_and_reaches_all_in_time() {
    let members = members();
    let mut probes = Probes::new(Millis(250), Millis(5_000), PER_ROUND);
    let mut reached = IndexSet::new();
    for round in 1..=1_500u64 {
        let now = Millis(round * 250);
        let mut fx = Effects::new();
        probes.on_tick(now, &members, &probe(), &mut fx);
        let partners = asked(&fx);
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
fn a_silent_host_is_asked_again_and_suspected() {
    let members = members();
    let mut probes = Probes::new(Millis(250), Millis(5_000), PER_ROUND);
    let silent = Incarnation(7);
    let mut now = Millis(250);
    while probes.suspects().is_empty() {
        now += Millis(250);
        let mut fx = Effects::new();
        probes.on_tick(now, &members, &probe(), &mut fx);
        for partner in asked(&fx) {
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
fn hosts_that_an_edit_waits_for_are_all_asked_within_a_second() {
    let members = members();
    let mut probes = Probes::new(Millis(250), Millis(5_000), PER_ROUND);
    let mut reached = IndexSet::new();
    for tick in 1..=54u64 {
        let now = Millis(10_000 + tick * 18);
        let mut fx = Effects::new();
        let missing = members.known().filter(|host| !reached.contains(host));
        probes.ask_now(now, missing, &members, &probe(), &mut fx);
        let partners = asked(&fx);
        assert!(partners.len() <= MAX_DIRECT_ASKS);
        for partner in partners {
            probes.on_answer(now, partner, now, &probe());
            reached.insert(partner);
        }
    }
    assert_eq!(reached.len() as u64, HOSTS - 1);
}
