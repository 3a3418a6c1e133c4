//! Whatever is lost, late or read in between, a host that takes another one's news has the list that this one had.

use crate::group::members::MembersNews;
use crate::group::{Member, Members};
use crate::prelude::*;
use crate::test_support::{member, seeded};

/// The group on the platform's store.
#[derive(Default)]
struct Group {
    generation: u64,
    list: IndexSet<Member>,
    next: u64,
}

impl Group {
    fn join(&mut self) {
        self.next += 1;
        // Incarnations are random; what matters is that no two are equal.
        let incarnation = self.next.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        self.list.insert(member(incarnation, "here", 120));
        self.generation += 1;
    }

    fn leave(&mut self, nth: usize) {
        self.list.swap_remove_index(nth % self.list.len());
        self.generation += 1;
    }

    fn read(&self, now: Millis, reader: &mut Members) {
        reader.replace(now, self.generation, self.list.clone());
    }
}

fn same(a: &Members, b: &IndexSet<Member>) -> bool {
    a.iter().cloned().collect::<IndexSet<_>>() == *b
}

#[test]
fn a_host_that_takes_news_has_the_list_of_the_host_that_told_it() {
    let taken = seeded(300, |u| {
        let mut group = Group::default();
        (0..5).for_each(|_| group.join());
        let (mut teller, mut host) = (Members::default(), Members::default());
        group.read(Millis(1), &mut teller);
        group.read(Millis(1), &mut host);
        let mut told = group.list.clone();
        let mut under_way = Vec::new();
        let mut taken = 0;
        for step in 0..200 {
            let now = Millis(10 + step);
            match u.int_in_range(0..=9u8)? {
                0..=2 => group.join(),
                3 | 4 if group.list.len() > 1 => group.leave(u.arbitrary()?),
                5 | 6 => {
                    group.read(now, &mut teller);
                    told = group.list.clone();
                }
                7 => under_way.push((teller.news_since(host.generation()), told.clone())),
                8 if !under_way.is_empty() => {
                    let nth = u.choose_index(under_way.len())?;
                    let (news, list) = under_way.swap_remove(nth);
                    if let Some(news) = news
                        && host.apply(now, news).is_some()
                    {
                        assert!(same(&host, &list), "it took the news and has another list");
                        taken += 1;
                    }
                }
                // It was refused, and read the group itself.
                9 if u.int_in_range(0..=3u8)? == 0 => group.read(now, &mut host),
                _ => {}
            }
        }
        Ok(taken)
    });
    let sum: usize = taken.iter().sum();
    assert!(sum > 300, "only {sum} news were taken");
}

#[test]
fn a_host_that_was_away_for_long_is_not_led_on_by_changes_that_begin_later() {
    let mut group = Group::default();
    (0..3).for_each(|_| group.join());
    let (mut teller, mut host) = (Members::default(), Members::default());
    group.read(Millis(1), &mut teller);
    group.read(Millis(1), &mut host);
    for step in 0..100 {
        group.join();
        group.read(Millis(2 + step), &mut teller);
    }
    let news = teller.news_since(host.generation()).expect("it knows more");
    let later = MembersNews {
        changes: teller.news_since(90).expect("it knows more").changes,
        whole: None,
        ..news.clone()
    };
    assert!(host.apply(Millis(200), later).is_none());
    assert_eq!(host.count(), 3, "its list stands until it knows the whole");
    host.apply(Millis(200), news);
    assert!(same(&host, &group.list));
}

/// Guards against a host whose list differs from the one that changes are told of, and that no change leads on.
#[test]
fn a_host_that_news_do_not_lead_on_is_told_the_whole_list() {
    let mut group = Group::default();
    (0..3).for_each(|_| group.join());
    let (mut teller, mut host) = (Members::default(), Members::default());
    group.read(Millis(1), &mut teller);
    // It reads while a host is listed that the teller never sees.
    group.join();
    group.read(Millis(2), &mut host);
    group.leave(3);
    group.join();
    group.read(Millis(3), &mut teller);
    let news = teller.news_since(host.wants_from()).expect("it knows more");
    assert!(host.apply(Millis(4), news).is_none());
    let news = teller.news_since(host.wants_from()).expect("it knows more");
    assert!(host.apply(Millis(5), news).is_some());
    assert!(same(&host, &group.list));
    let news = teller
        .news_since(host.wants_from())
        .expect("it knows as much");
    assert_eq!(news.whole, None, "it is told the whole once");
}

/// Guards against a host that takes nothing from others before it has read the group itself.
#[test]
fn a_host_that_knows_no_list_yet_takes_the_whole() {
    let mut group = Group::default();
    (0..3).for_each(|_| group.join());
    let (mut teller, mut host) = (Members::default(), Members::default());
    group.read(Millis(1), &mut teller);
    let news = teller.news_since(host.wants_from()).expect("it knows more");
    assert!(host.apply(Millis(2), news).is_some());
    assert!(same(&host, &group.list));
}

#[test]
fn a_release_that_does_not_say_how_much_processor_it_has_is_read() {
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
fn a_host_that_left_the_list_counts_until_it_admits_nothing_any_more() {
    let mut members = Members::default();
    let start = Millis(1_000_000);
    members.note_heard(start);
    assert_eq!(members.count_serving(start), None);
    members.replace(start, 1, listed(&[1, 2, 3]));
    assert_eq!(members.count_serving(start), Some(3));
    members.replace(start + Millis(2_000), 2, listed(&[1]));
    members.note_heard(start + Millis(20_000));
    assert_eq!(members.count_serving(start + Millis(20_000)), Some(3));
    members.note_heard(start + Millis(31_000));
    assert_eq!(members.count_serving(start + Millis(31_000)), Some(1));
}

#[test]
fn a_host_that_restarts_counts_once() {
    let mut members = Members::default();
    let start = Millis(1_000_000);
    members.note_heard(start);
    // The low sixteen bits of the incarnation are the test hosts' port.
    let restarted = 1 + (1 << 16);
    members.replace(start, 1, listed(&[1, 2]));
    members.replace(start, 2, listed(&[1, 2, restarted]));
    assert_eq!(members.count_serving(start), Some(2));
    members.replace(start, 3, listed(&[2, restarted]));
    assert_eq!(members.count_serving(start), Some(2));
    members.replace(start, 4, listed(&[2]));
    assert_eq!(members.count_serving(start), Some(2));
    members.replace(start, 5, listed(&[2, restarted]));
    assert_eq!(members.count_serving(start), Some(2));
}

#[test]
fn a_host_that_reaches_nobody_stops_before_the_others_forget_it() {
    let mut cut_off = Members::default();
    let mut other = Members::default();
    let start = Millis(1_000_000);
    for members in [&mut cut_off, &mut other] {
        members.replace(start, 1, listed(&[1, 2]));
        members.note_heard(start);
    }
    other.replace(start + Millis(2_000), 2, listed(&[2]));
    for ms in (0..60_000).step_by(500) {
        let now = start + Millis(ms);
        other.note_heard(now);
        let is_admitting = cut_off.count_serving(now).is_some();
        let counts_it = other.count_serving(now) == Some(2);
        assert!(counts_it || !is_admitting, "after {ms} ms");
    }
}
