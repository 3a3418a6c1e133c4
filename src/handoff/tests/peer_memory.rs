//! Which hosts a request is offered to.

use crate::group::Member;
use crate::handoff::{DeclineReason, MAX_OFFERS, PeerMemory};
use crate::prelude::*;
use crate::test_support::member;

fn hosts(count: u64) -> Vec<Member> {
    (1..=count).map(|n| member(n, "here", 120)).collect()
}

fn asked(memory: &PeerMemory, now: Millis, hosts: &[Member], wanted: &str) -> Vec<u64> {
    let mut random = fastrand::Rng::with_seed(7);
    let chosen = memory.choose(now, hosts.iter(), &wanted.into(), &mut random);
    chosen.iter().map(|host| host.incarnation).collect()
}

#[test]
fn a_request_is_offered_to_a_bounded_number_of_hosts() {
    let memory = PeerMemory::default();
    let chosen = asked(&memory, Millis(0), &hosts(20), "u1");
    assert_eq!(chosen.len(), MAX_OFFERS);
    let distinct: IndexSet<u64> = chosen.into_iter().collect();
    assert_eq!(distinct.len(), MAX_OFFERS);
}

#[test]
fn a_host_that_does_not_reach_an_upstream_is_still_asked_for_others() {
    let mut memory = PeerMemory::default();
    memory.note_declined(Millis(100), 1, &"u1".into(), DeclineReason::OutOfReach);
    assert_eq!(
        asked(&memory, Millis(200), &hosts(1), "u1"),
        Vec::<u64>::new()
    );
    assert_eq!(asked(&memory, Millis(200), &hosts(1), "u2"), [1]);
}

#[test]
fn every_answer_counts_for_a_bounded_time() {
    let mut memory = PeerMemory::default();
    memory.note_declined(Millis(0), 1, &"u1".into(), DeclineReason::OutOfReach);
    memory.note_declined(Millis(0), 2, &"u1".into(), DeclineReason::Full);
    memory.note_silent(Millis(0), 3);
    assert_eq!(
        asked(&memory, Millis(100), &hosts(3), "u1"),
        Vec::<u64>::new()
    );
    let mut later = asked(&memory, Millis(5_000), &hosts(3), "u1");
    later.sort_unstable();
    assert_eq!(later, [1, 2, 3]);
}

#[test]
fn hosts_that_served_are_asked_first() {
    let mut memory = PeerMemory::default();
    memory.note_served(Millis(0), 17);
    memory.note_served(Millis(0), 5);
    let mut first: Vec<u64> = asked(&memory, Millis(100), &hosts(20), "u1")[..2].to_vec();
    first.sort_unstable();
    assert_eq!(first, [5, 17]);
}

// Guards against asking hosts that are cut off again and again while others were not asked yet.
#[test]
fn hosts_that_reached_no_upstream_are_asked_last() {
    let mut memory = PeerMemory::default();
    for incarnation in 1..=16 {
        memory.note_declined(
            Millis(0),
            incarnation,
            &"u1".into(),
            DeclineReason::OutOfReach,
        );
    }
    let mut chosen = asked(&memory, Millis(100), &hosts(20), "u2");
    chosen.sort_unstable();
    assert_eq!(chosen, [17, 18, 19, 20]);
}

// Guards against a memory that grows with the hosts that come and go.
#[test]
fn the_memory_is_bounded() {
    let mut memory = PeerMemory::default();
    for n in 0..5_000 {
        let now = Millis(n);
        memory.note_served(now, n);
        memory.note_silent(now, n + 100_000);
        memory.note_declined(now, n, &"u1".into(), DeclineReason::OutOfReach);
    }
    let size = format!("{memory:?}").matches("Millis").count();
    assert!(size <= 4 * 1_024, "{size}");
}
