//! From whom a host fetches a newer desired state, and with whom it exchanges versions.

use crate::group::Member;
use crate::group::desired_versions::{NewerVersions, NextFetch};
use crate::group::neighbours::{NEIGHBOURS, Neighbours};
use crate::prelude::*;
use crate::test_support::member;

const HEAD_START_MS: Millis = Millis(150);

fn host(n: u64) -> Member {
    member(n, "here", 120)
}

fn members(count: u64) -> Vec<Member> {
    (1..=count).map(host).collect()
}

#[test]
fn newest_version_is_fetched_from_a_host_that_has_it_after_the_head_start_of_the_store() {
    let mut newer = NewerVersions::default();
    assert_eq!(
        newer.next_fetch(Millis(900), HEAD_START_MS),
        NextFetch::Nothing
    );
    assert!(newer.note(Millis(1_000), Some(3), &host(1), Some(4)));
    assert!(newer.note(Millis(1_050), Some(3), &host(2), Some(6)));
    assert!(!newer.note(Millis(1_060), Some(3), &host(3), Some(3)));
    let next = newer.next_fetch(Millis(1_100), HEAD_START_MS);
    assert_eq!(next, NextFetch::At(Millis(1_150)));
    let next = newer.next_fetch(Millis(1_150), HEAD_START_MS);
    assert_eq!(next, NextFetch::From(host(2)));
    newer.note_taken(6);
    assert_eq!(
        newer.next_fetch(Millis(1_200), HEAD_START_MS),
        NextFetch::Nothing
    );
    assert_eq!(newer.behind(Millis(1_200)), None);
}

/// Guards against a host that asks one which does not answer again and again, while another one has the
/// state.
#[test]
fn host_that_did_not_answer_comes_after_the_others() {
    let mut newer = NewerVersions::default();
    newer.note(Millis(1_000), None, &host(1), Some(4));
    newer.note(Millis(1_000), None, &host(2), Some(5));
    newer.note_failed(Millis(1_700), &host(2));
    assert_eq!(
        newer.next_fetch(Millis(1_700), Millis::ZERO),
        NextFetch::From(host(1))
    );
    newer.note_failed(Millis(1_800), &host(1));
    let next = newer.next_fetch(Millis(1_800), Millis::ZERO);
    assert_eq!(next, NextFetch::At(Millis(2_700)));
}

#[test]
fn hosts_with_a_newer_version_are_bounded() {
    let mut newer = NewerVersions::default();
    for n in 1..1_000 {
        newer.note(Millis(n), None, &host(n), Some(n));
    }
    let behind = newer.behind(Millis(1_000)).expect("other hosts are ahead");
    assert_eq!((behind.newest, behind.known_ms), (999, Millis(999)));
}

#[test]
fn neighbours_that_do_not_answer_are_replaced_by_others() {
    let (members, me) = (members(30), host(1));
    let mut neighbours = Neighbours::default();
    let first = neighbours.all(Millis::ZERO, members.iter(), &me);
    assert_eq!(first.len(), NEIGHBOURS);
    assert!(!first.contains(&me));
    for other in neighbours.next(Millis::ZERO, members.iter(), &me) {
        neighbours.note_asked(&other);
        neighbours.note_answer(Millis(700), &other, false);
    }
    let second = neighbours.all(Millis(700), members.iter(), &me);
    assert!(second.iter().all(|other| !first.contains(other)));
    for other in &second {
        neighbours.note_answer(Millis(710), other, true);
    }
    let turns: IndexSet<Member> = (0..NEIGHBOURS)
        .flat_map(|_| neighbours.next(Millis(720), members.iter(), &me))
        .collect();
    assert_eq!(turns, second.into_iter().collect::<IndexSet<Member>>());
}

#[test]
fn host_that_reaches_nobody_asks_one_host_a_turn_after_some_time() {
    let (members, me) = (members(200), host(1));
    let mut neighbours = Neighbours::default();
    let mut asked = Vec::new();
    for turn in 0..40 {
        let now = Millis(turn * 250);
        let next = neighbours.next(now, members.iter(), &me);
        asked.push(next.len());
        for other in next {
            neighbours.note_answer(now, &other, false);
        }
    }
    assert!(asked.iter().all(|count| *count <= 8), "{asked:?}");
    assert_eq!(asked.last(), Some(&1));
}

/// Guards against a host without any path of versions to others.
#[test]
fn neighbours_connect_all_hosts() {
    for count in [2, 7, 86, 985] {
        let members = members(count);
        let links: Vec<(u64, u64)> = members
            .iter()
            .flat_map(|me| {
                let all = Neighbours::default().all(Millis::ZERO, members.iter(), me);
                all.into_iter()
                    .map(|other| (me.incarnation, other.incarnation))
            })
            .collect();
        let mut reached: IndexSet<u64> = [1].into_iter().collect();
        loop {
            let known = reached.len();
            for (one, other) in &links {
                if reached.contains(one) || reached.contains(other) {
                    reached.extend([*one, *other]);
                }
            }
            if reached.len() == known {
                break;
            }
        }
        assert_eq!(reached.len() as u64, count);
    }
}
