//! A host that starts takes the list of upstreams from its relay, and misses nothing of it.

use super::fake_platform::FakePlatform;
use super::relay_pair::{Pair, UPSTREAMS, nowhere, until};
use super::site::{Site, as_member, entry, on_site};
use crate::entry::follow::follow;
use crate::entry::followed::{TableEnd, TablesWord, UpstreamRow};
use crate::entry::host::Host;
use crate::entry::list_copy::{ListAsk, answer, fetch};
use crate::entry::platform::Table;
use crate::entry::sources::Sources;
use crate::group::Member;
use crate::prelude::*;
use crate::test_support::member;

/// Follows a list that is written after the host took it as empty, until the host has it whole. Returns how many changes
/// were read from the store.
async fn follow_a_list_that_is_written(site: &Site, pair: &Pair) -> usize {
    let store = pair.asking.platform.0.clone();
    store.is_down.set(false);
    let follow = follow(pair.asking.clone(), Table::Upstreams, Some(pair.sources()));
    site.executor.spawn(follow).detach();
    let test = async {
        until(|| pair.asking.upstreams_known.get()).await;
        for n in 0..UPSTREAMS {
            let id = format!("u{n}");
            store.list(&id, Some(entry(&id, nowhere())));
        }
        until(|| pair.asking.upstreams.borrow().count() == UPSTREAMS).await;
    };
    pair.shared.run(test).await;
    store.changes_read.get()
}

/// Guards against a read of the whole list from the store by every host that starts.
#[test]
fn a_host_that_starts_takes_the_list_from_its_relay_and_not_from_the_store() {
    on_site(|site| async move {
        let pair = Pair::new(&site).await;
        let follow = follow(pair.asking.clone(), Table::Upstreams, Some(pair.sources()));
        site.executor.spawn(follow).detach();
        let test = until(|| pair.asking.upstreams_known.get());
        pair.shared.run(test).await;
        assert_eq!(pair.asking.upstreams.borrow().iter().count(), UPSTREAMS);
    });
}

#[test]
fn a_list_of_several_pages_is_taken_from_the_relay_after_the_first() {
    on_site(|site| async move {
        let pair = Pair::new(&site).await;
        let store = &pair.asking.platform.0;
        store.is_down.set(false);
        store.page_rows.set(500);
        for n in 0..UPSTREAMS {
            let id = format!("u{n}");
            store.list(&id, Some(entry(&id, nowhere())));
        }
        let follow = follow(pair.asking.clone(), Table::Upstreams, Some(pair.sources()));
        site.executor.spawn(follow).detach();
        let test = until(|| pair.asking.upstreams_known.get());
        pair.shared.run(test).await;
        assert_eq!(store.list_pages.get(), 1);
        assert_eq!(pair.asking.upstreams.borrow().count(), UPSTREAMS);
    });
}

/// Guards against a wait for relays where the store gives the list with one call.
#[test]
fn a_list_of_one_page_is_not_asked_of_a_relay() {
    on_site(|site| async move {
        let pair = Pair::new(&site).await;
        let store = &pair.asking.platform.0;
        store.is_down.set(false);
        store.list("own", Some(entry("own", nowhere())));
        let follow = follow(pair.asking.clone(), Table::Upstreams, Some(pair.sources()));
        site.executor.spawn(follow).detach();
        let test = until(|| pair.asking.upstreams_known.get());
        pair.shared.run(test).await;
        assert_eq!(pair.asking.upstreams.borrow().count(), 1);
    });
}

/// Guards against a host without a list because its relay is lost and still in the list of hosts.
#[test]
fn a_host_whose_first_relay_is_lost_takes_the_list_from_the_next() {
    on_site(|site| async move {
        let lost = member(1, "here", 500);
        let small = (10..20).map(|n| member(n, "here", 120));
        let pair = Pair::beside(&site, small.chain([lost.clone()]).collect()).await;
        let relays = |host: &Host<FakePlatform>| {
            let tree = host.tree.borrow();
            let relays = tree.relays_of(&pair.me);
            relays.into_iter().cloned().collect::<IndexSet<Member>>()
        };
        assert!(relays(&pair.asking).len() == 2 && relays(&pair.asking).contains(&lost));
        let sources = pair.sources();
        let copy = pair
            .shared
            .run(fetch(&pair.asking, &sources, None, Millis(5_000)))
            .await;
        assert_eq!(copy.map(|copy| copy.entries.len()), Some(UPSTREAMS));
    });
}

/// Guards against an old removal, passed on with newer rows, that takes out an upstream which is listed again.
#[test]
fn a_row_from_before_the_list_changes_nothing() {
    on_site(|site| async move {
        let pair = Pair::new(&site).await;
        let follow = follow(pair.asking.clone(), Table::Upstreams, Some(pair.sources()));
        site.executor.spawn(follow).detach();
        let end = Offset(UPSTREAMS as u64);
        let row = |key: &str, offset: u64, is_listed: bool| UpstreamRow {
            key: key.into(),
            offset: Offset(offset),
            entry: is_listed.then(|| entry(key, nowhere())),
        };
        let test = async {
            until(|| pair.asking.upstreams_known.get()).await;
            let now = pair.asking.now();
            let told = |end: Offset| {
                let age_ms = Millis::ZERO;
                Some(TableEnd { end, age_ms })
            };
            let word = TablesWord {
                desired: None,
                upstreams: told(Offset(end.0 + 1)),
                rows: vec![row("u1", end.0 - 1, false), row("new", end.0, true)],
            };
            pair.asking.followed.take_word(now, word);
            until(|| pair.asking.upstreams.borrow().get("new").is_some()).await;
        };
        pair.shared.run(test).await;
        assert!(pair.asking.upstreams.borrow().get("u1").is_some());
    });
}

/// Guards against hosts that can catch up with their relay only at the store.
#[test]
fn a_host_that_is_behind_its_relay_takes_the_list_from_it() {
    on_site(|site| async move {
        let pair = Pair::new(&site).await;
        let store = pair.asking.platform.0.clone();
        store.is_down.set(false);
        store.list("u0", Some(entry("u0", nowhere())));
        let end = TableEnd {
            end: Offset(UPSTREAMS as u64),
            age_ms: Millis::ZERO,
        };
        let word = TablesWord {
            upstreams: Some(end),
            ..TablesWord::default()
        };
        pair.asking.followed.take_word(pair.asking.now(), word);
        let follow = follow(pair.asking.clone(), Table::Upstreams, Some(pair.sources()));
        site.executor.spawn(follow).detach();
        let test = until(|| pair.asking.upstreams.borrow().count() == UPSTREAMS);
        pair.shared.run(test).await;
    });
}

/// Guards against hundreds of hosts that each read from the store a list which is being written, before they hear of relays.
#[test]
fn a_host_that_nobody_tells_of_a_long_list_reads_a_short_page_and_takes_the_rest_from_its_relay() {
    on_site(|site| async move {
        let pair = Pair::new(&site).await;
        let changes_read = follow_a_list_that_is_written(&site, &pair).await;
        assert!(changes_read < UPSTREAMS / 10);
    });
}

/// Guards against a host that waits for relays which do not have the list.
#[test]
fn a_host_whose_relays_have_no_list_reads_on_in_the_store_after_a_short_page() {
    on_site(|site| async move {
        let pair = Pair::new(&site).await;
        site.host.upstreams_known.set(false);
        let changes_read = follow_a_list_that_is_written(&site, &pair).await;
        assert_eq!(changes_read, UPSTREAMS);
    });
}

/// Guards against handshakes of hundreds of hosts that start with relays which refuse them.
#[test]
fn a_host_waits_for_relays_until_the_group_lists_it() {
    on_site(|site| async move {
        let pair = Pair::new(&site).await;
        let host = &pair.asking;
        let relays = || pair.sources().relays(host).map(|relays| relays.len());
        let list = |others: std::ops::Range<u64>| {
            let listed = others.map(|n| member(n, "here", 120)).collect();
            host.members.borrow_mut().replace(host.now(), 2, listed);
            host.apply_member_list();
        };
        assert_eq!(relays(), Some(1), "it is listed");
        list(1_000..1_300);
        assert_eq!(relays(), Some(0), "the group is large");
        list(1_000..1_001);
        assert_eq!(relays(), Some(0), "the group has begun");
        list(1_000..1_100);
        assert_eq!(relays(), Some(2), "the group is small");
        list(1_000..1_300);
        host.orderer_state.borrow_mut().answered_at = Some(host.now());
        assert_eq!(relays(), Some(2), "it was heard once");
    });
}

#[test]
fn a_list_that_ends_before_what_is_known_is_not_taken() {
    on_site(|site| async move {
        let pair = Pair::new(&site).await;
        let sources = pair.sources();
        let end = Offset(UPSTREAMS as u64);
        let test = async {
            let older = fetch(&pair.asking, &sources, Some(end), Millis(50)).await;
            assert!(older.is_none());
            let newer = fetch(
                &pair.asking,
                &sources,
                Some(Offset(end.0 - 1)),
                Millis(5_000),
            )
            .await;
            assert_eq!(newer.map(|copy| copy.end), Some(end));
        };
        pair.shared.run(test).await;
    });
}

#[test]
fn a_relay_reads_the_store_and_a_host_that_is_none_gives_no_list() {
    on_site(|site| async move {
        let pair = Pair::new(&site).await;
        let sources = Sources {
            me: as_member(&site.host, &pair.peers, 500),
            ..pair.sources()
        };
        let copy = fetch(&site.host, &sources, None, Millis(5_000)).await;
        assert!(copy.is_none());
        assert!(answer(&site.host, ListAsk::default()).is_some());
        assert!(answer(&pair.asking, ListAsk::default()).is_none());
        let too_many = ListAsk {
            part: 0,
            parts: u32::MAX,
        };
        assert!(answer(&site.host, too_many).is_none());
    });
}

/// Guards against an upstream that a relay keeps for a while, and the host that gets it with the list for good.
#[test]
fn an_upstream_that_is_kept_after_an_outage_is_not_passed_on() {
    on_site(|site| async move {
        let _pair = Pair::new(&site).await;
        let now = site.host.now();
        let outage_ends_at = now + Millis(5_000);
        let mut upstreams = site.host.upstreams.borrow_mut();
        upstreams.note_list_reached(now);
        upstreams.note_list_unreachable();
        upstreams.note_list_reached(outage_ends_at);
        upstreams.remove(outage_ends_at, "u1");
        assert!(upstreams.get("u1").is_some());
        drop(upstreams);
        let part = answer(&site.host, ListAsk { part: 0, parts: 1 }).expect("it relays");
        assert_eq!(part.entries.len(), UPSTREAMS - 1);
    });
}
