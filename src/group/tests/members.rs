//! Updates of the member list: after an applied update the receiver has the sender's list, whatever
//! updates are lost, late or overtaken by the receiver's own reads.

use crate::group::members::MembersUpdate;
use crate::group::read_policy::MIN_READ_INTERVAL_MS;
use crate::group::{Generation, Member, Members};
use crate::prelude::*;
use crate::test_support::{generation, member, run_seeded};

/// The member list on the platform's store.
#[derive(Default)]
struct Group {
    generation: Generation,
    list: IndexSet<Member>,
    next: u64,
}

impl Group {
    fn join(&mut self) {
        self.next += 1;
        // Stands for a random incarnation; no two are equal.
        let incarnation = self.next.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        self.list.insert(member(incarnation, "here", 120));
        self.generation.number += 1;
    }

    fn leave(&mut self, nth: usize) {
        self.list.swap_remove_index(nth % self.list.len());
        self.generation.number += 1;
    }

    fn read(&self, now: Millis, reader: &mut Members) {
        reader.replace(now, self.generation, self.list.clone());
    }
}

fn has_list(members: &Members, list: &IndexSet<Member>) -> bool {
    members.iter().cloned().collect::<IndexSet<_>>() == *list
}

#[test]
fn after_an_applied_update_the_receiver_has_the_senders_list() {
    let applied = run_seeded(300, |u| {
        let mut group = Group::default();
        (0..5).for_each(|_| group.join());
        let (mut sender, mut host) = (Members::default(), Members::default());
        group.read(Millis(1), &mut sender);
        group.read(Millis(1), &mut host);
        let mut sender_list = group.list.clone();
        let mut in_flight = Vec::new();
        let mut applied = 0;
        for step in 0..200 {
            let now = Millis(10 + step);
            match u.int_in_range(0..=9u8)? {
                0..=2 => group.join(),
                3 | 4 if group.list.len() > 1 => group.leave(u.arbitrary()?),
                5 | 6 => {
                    group.read(now, &mut sender);
                    sender_list = group.list.clone();
                }
                7 => in_flight.push((sender.update_since(host.generation()), sender_list.clone())),
                8 if !in_flight.is_empty() => {
                    let nth = u.choose_index(in_flight.len())?;
                    let (update, list) = in_flight.swap_remove(nth);
                    if let Some(update) = update
                        && host.apply(now, update).is_some()
                    {
                        assert!(
                            has_list(&host, &list),
                            "the applied update gave another list than the sender's"
                        );
                        applied += 1;
                    }
                }
                // The host reads the list from the store itself, as after a refused call.
                9 if u.int_in_range(0..=3u8)? == 0 => group.read(now, &mut host),
                _ => {}
            }
        }
        Ok(applied)
    });
    let sum: usize = applied.iter().sum();
    assert!(sum > 300, "only {sum} updates were applied");
}

/// Guards against changes applied to a list older than the one from which they start.
#[test]
fn changes_that_start_after_the_receivers_list_are_rejected() {
    let mut group = Group::default();
    (0..3).for_each(|_| group.join());
    let (mut sender, mut host) = (Members::default(), Members::default());
    group.read(Millis(1), &mut sender);
    group.read(Millis(1), &mut host);
    for step in 0..100 {
        group.join();
        group.read(Millis(2 + step), &mut sender);
    }
    let update = sender
        .update_since(host.generation())
        .expect("the sender's list is newer");
    let later = MembersUpdate {
        changes: sender
            .update_since(generation(90))
            .expect("the sender's list is newer")
            .changes,
        whole: None,
        ..update.clone()
    };
    assert!(host.apply(Millis(200), later).is_none());
    assert_eq!(
        host.count(),
        3,
        "the list stays as it is until the full list arrives"
    );
    host.apply(Millis(200), update);
    assert!(has_list(&host, &group.list));
}

/// Guards against a host that can apply no update any more: its list has a host that joined and
/// left between two reads of the sender, so that no change removes it.
#[test]
fn a_host_whose_update_fails_verification_gets_the_full_list() {
    let mut group = Group::default();
    (0..3).for_each(|_| group.join());
    let (mut sender, mut host) = (Members::default(), Members::default());
    group.read(Millis(1), &mut sender);
    // The host reads while a member is listed that the sender never sees.
    group.join();
    group.read(Millis(2), &mut host);
    group.leave(3);
    group.join();
    group.read(Millis(3), &mut sender);
    let update = sender
        .update_since(host.update_base_generation())
        .expect("the sender's list is newer");
    assert!(host.apply(Millis(4), update).is_none());
    let update = sender
        .update_since(host.update_base_generation())
        .expect("the sender's list is newer");
    assert!(host.apply(Millis(5), update).is_some());
    assert!(has_list(&host, &group.list));
    let update = sender
        .update_since(host.update_base_generation())
        .expect("the sender's list is as new");
    assert_eq!(update.whole, None, "the full list is sent only once");
}

/// Guards against a host that cannot take the list from another host before it has read the store.
#[test]
fn a_host_without_a_list_accepts_the_full_list() {
    let mut group = Group::default();
    (0..3).for_each(|_| group.join());
    let (mut sender, mut host) = (Members::default(), Members::default());
    group.read(Millis(1), &mut sender);
    let update = sender
        .update_since(host.update_base_generation())
        .expect("the sender's list is newer");
    assert!(host.apply(Millis(2), update).is_some());
    assert!(has_list(&host, &group.list));
}

#[test]
fn a_member_text_without_cpu_capacity_is_parsed() {
    let newer = member(7, "here", 500);
    let older = newer.to_text();
    let older = older.rsplit_once(';').expect("several parts").0;
    let read = Member::from_text(older).expect("a member");
    assert_eq!(
        read,
        Member {
            cpu_millicores: 0,
            ..newer.clone()
        }
    );
    assert_eq!(Member::from_text(&newer.to_text()), Some(newer));
}

fn listed(incarnations: &[u64]) -> IndexSet<Member> {
    let hosts = incarnations.iter();
    hosts.map(|n| member(*n, "here", 120)).collect()
}

#[test]
fn a_host_that_left_the_list_is_counted_while_it_may_still_admit_requests() {
    let mut members = Members::default();
    let start = Millis(1_000_000);
    members.note_contact(start);
    assert_eq!(members.count_serving(start), None);
    members.replace(start, generation(1), listed(&[1, 2, 3]));
    assert_eq!(members.count_serving(start), Some(3));
    members.replace(start + Millis(2_000), generation(2), listed(&[1]));
    members.note_contact(start + Millis(20_000));
    assert_eq!(members.count_serving(start + Millis(20_000)), Some(3));
    members.note_contact(start + Millis(31_000));
    assert_eq!(members.count_serving(start + Millis(31_000)), Some(1));
}

#[test]
fn a_restarted_host_is_counted_once() {
    let mut members = Members::default();
    let start = Millis(1_000_000);
    members.note_contact(start);
    // The port of a test host is the low 16 bits of its incarnation, so this one has host 1's
    // address.
    let restarted = 1 + (1 << 16);
    members.replace(start, generation(1), listed(&[1, 2]));
    members.replace(start, generation(2), listed(&[1, 2, restarted]));
    assert_eq!(members.count_serving(start), Some(2));
    members.replace(start, generation(3), listed(&[2, restarted]));
    assert_eq!(members.count_serving(start), Some(2));
    members.replace(start, generation(4), listed(&[2]));
    assert_eq!(members.count_serving(start), Some(2));
    members.replace(start, generation(5), listed(&[2, restarted]));
    assert_eq!(members.count_serving(start), Some(2));
}

#[test]
fn an_isolated_host_stops_admitting_before_the_others_stop_counting_it() {
    let mut cut_off = Members::default();
    let mut other = Members::default();
    let start = Millis(1_000_000);
    for members in [&mut cut_off, &mut other] {
        members.replace(start, generation(1), listed(&[1, 2]));
        members.note_contact(start);
    }
    other.replace(start + Millis(2_000), generation(2), listed(&[2]));
    for ms in (0..60_000).step_by(500) {
        let now = start + Millis(ms);
        other.note_contact(now);
        let is_admitting = cut_off.count_serving(now).is_some();
        let counts_it = other.count_serving(now) == Some(2);
        assert!(counts_it || !is_admitting, "after {ms} ms");
    }
}

/// Guards against a list of the former timeline that counts as current, since a restored store counts
/// its generations on from an older number.
#[test]
fn list_of_a_later_era_replaces_one_with_a_higher_number() {
    let now = Millis(1_000_000);
    let (mut sender, mut host) = (Members::default(), Members::default());
    host.replace(now, Generation::new(Era(1), 90), listed(&[1, 2, 3]));
    sender.replace(now, Generation::new(Era(1), 90), listed(&[1, 2, 3]));
    sender.replace(now, Generation::new(Era(2), 40), listed(&[1, 2]));
    let update = sender
        .update_since(host.update_base_generation())
        .expect("it is newer");
    assert!(host.apply(now, update).is_some());
    assert_eq!(host.count(), 2);
    let late = Generation::new(Era(1), 91);
    assert!(sender.update_since(late).is_some());
    let mut behind = Members::default();
    behind.replace(now, late, listed(&[1, 2, 3, 4]));
    let outdated = behind.update_since(Generation::default());
    assert!(host.apply(now, outdated.expect("a full list")).is_none());
    assert_eq!(host.count(), 2);
}

/// Guards against a list that looks fresh although the store is known to have a newer one, so that the
/// orderer never reads it again.
#[test]
fn no_update_confirms_a_list_while_the_store_is_known_to_have_a_newer_one() {
    const STEP_MS: u64 = 100;
    let read = run_seeded(200, |u| {
        let mut group = Group::default();
        (0..4).for_each(|_| group.join());
        let mut hosts = [(); 4].map(|()| Members::default());
        let mut noted = [(group.generation, Millis(1)); 4];
        for host in &mut hosts {
            group.read(Millis(1), host);
        }
        let (mut orderer, mut reads) = (0, 0);
        for step in 0..300 {
            let now = Millis(STEP_MS * (step + 1));
            let from = u.choose_index(hosts.len())?;
            let to = u.choose_index(hosts.len())?;
            match u.int_in_range(0..=11u8)? {
                0 => group.join(),
                1 if group.list.len() > 1 => group.leave(u.arbitrary()?),
                // The lease moves, and the next orderer knows what the one before stated.
                2 => orderer = to,
                3..=5 => {
                    let update = hosts[from].update_since(hosts[to].update_base_generation());
                    update.and_then(|update| hosts[to].apply(now, update));
                }
                // An update for an orderer with an older list comes late or to another host, perhaps
                // to its sender.
                6..=8 => {
                    let older = u.int_in_range(1..=group.generation.number)?;
                    hosts[from].note_parent(generation(older));
                    let update = hosts[from].update_for_parent();
                    update.and_then(|update| hosts[to].apply(now, update));
                }
                _ => {
                    let host = &mut hosts[to];
                    host.note_store_generation(group.generation);
                    if noted[to].0 != group.generation {
                        noted[to] = (group.generation, now);
                    }
                    let is_older = host.generation() != group.generation;
                    let list_age_ms = host.confirmed_at().map(|at| now.since(at));
                    let is_due = list_age_ms >= Some(MIN_READ_INTERVAL_MS);
                    if is_older && to == orderer && is_due {
                        group.read(now, host);
                        reads += 1;
                    }
                    let is_known_for = now.since(noted[to].1);
                    let may_wait = is_known_for < MIN_READ_INTERVAL_MS;
                    assert!(
                        to != orderer || may_wait || host.generation() == group.generation,
                        "the orderer does not read a list that changed {is_known_for:?} ms ago"
                    );
                }
            }
        }
        Ok(reads)
    });
    assert!(read.iter().sum::<u64>() > 200, "{read:?}");
}
