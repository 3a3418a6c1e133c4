//! A host that starts or is behind fetches the list of upstreams from its relay, and misses no
//! change of it.

use super::fake_platform::FakePlatform;
use super::relay_pair::{Pair, UPSTREAMS, until, unused_address};
use super::site::{Site, as_member, entry, on_site};
use crate::entry::follow::follow;
use crate::entry::host::Host;
use crate::entry::list_copy::{ListRequest, answer, fetch};
use crate::entry::platform::Table;
use crate::entry::replication::{TableEnd, TablesUpdate, UpstreamRow};
use crate::entry::table_sources::TableSources;
use crate::group::Member;
use crate::prelude::*;
use crate::test_support::{generation, member};

/// Lets the host behind the relay take the list as empty, then writes the list to its store, and
/// waits until the host has all of it. Returns how many changes the host read from the store.
async fn follow_list_while_it_is_written(site: &Site, pair: &Pair) -> usize {
    let store = pair.asking.platform.0.clone();
    store.is_down.set(false);
    let follow = follow(pair.asking.clone(), Table::Upstreams, Some(pair.sources()));
    site.executor.spawn(follow).detach();
    let test = async {
        until(|| pair.asking.upstreams_known.get()).await;
        for n in 0..UPSTREAMS {
            let id = format!("u{n}");
            store.write_upstream(&id, Some(entry(&id, unused_address())));
        }
        until(|| pair.asking.upstreams.borrow().count() == UPSTREAMS).await;
    };
    pair.shared.run(test).await;
    store.changes_read.get()
}

/// Guards against every host that starts reading the whole list from the store.
#[test]
fn starting_host_fetches_the_list_from_its_relay_without_the_store() {
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
fn list_of_several_pages_is_fetched_from_the_relay_after_the_first_page() {
    on_site(|site| async move {
        let pair = Pair::new(&site).await;
        let store = &pair.asking.platform.0;
        store.is_down.set(false);
        store.page_rows.set(500);
        for n in 0..UPSTREAMS {
            let id = format!("u{n}");
            store.write_upstream(&id, Some(entry(&id, unused_address())));
        }
        let follow = follow(pair.asking.clone(), Table::Upstreams, Some(pair.sources()));
        site.executor.spawn(follow).detach();
        let test = until(|| pair.asking.upstreams_known.get());
        pair.shared.run(test).await;
        assert_eq!(store.list_pages.get(), 1);
        assert_eq!(pair.asking.upstreams.borrow().count(), UPSTREAMS);
    });
}

/// Guards against waiting for relays when the store returns the list with one call.
#[test]
fn list_of_one_page_is_read_from_the_store() {
    on_site(|site| async move {
        let pair = Pair::new(&site).await;
        let store = &pair.asking.platform.0;
        store.is_down.set(false);
        store.write_upstream("own", Some(entry("own", unused_address())));
        let follow = follow(pair.asking.clone(), Table::Upstreams, Some(pair.sources()));
        site.executor.spawn(follow).detach();
        let test = until(|| pair.asking.upstreams_known.get());
        pair.shared.run(test).await;
        assert_eq!(pair.asking.upstreams.borrow().count(), 1);
    });
}

/// Guards against a host that gets no list because its relay is lost but still in the list of
/// hosts.
#[test]
fn list_is_fetched_from_the_second_relay_when_the_first_is_lost() {
    on_site(|site| async move {
        let lost = member(1, "here", 500);
        let small = (10..20).map(|n| member(n, "here", 120));
        let pair = Pair::with_nearby_hosts(&site, small.chain([lost.clone()]).collect()).await;
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

/// Guards against an old removal, sent along with newer rows, that takes out an upstream which is
/// listed again.
#[test]
fn row_older_than_the_fetched_list_changes_nothing() {
    on_site(|site| async move {
        let pair = Pair::new(&site).await;
        let follow = follow(pair.asking.clone(), Table::Upstreams, Some(pair.sources()));
        site.executor.spawn(follow).detach();
        let end = Position::new(Era(0), UPSTREAMS as u64);
        let row = |key: &str, offset: u64, is_listed: bool| UpstreamRow {
            key: key.into(),
            position: Position::new(Era(0), offset),
            entry: is_listed.then(|| entry(key, unused_address())),
        };
        let test = async {
            until(|| pair.asking.upstreams_known.get()).await;
            let now = pair.asking.now();
            let table_end = |end: Position| {
                let age_ms = Millis::ZERO;
                Some(TableEnd { end, age_ms })
            };
            let update = TablesUpdate {
                desired_version: None,
                desired: None,
                upstreams: table_end(end.next()),
                rows: vec![
                    row("u1", end.offset.0 - 1, false),
                    row("new", end.offset.0, true),
                ],
            };
            pair.asking.replication.apply_update(now, update);
            until(|| pair.asking.upstreams.borrow().get("new").is_some()).await;
        };
        pair.shared.run(test).await;
        assert!(pair.asking.upstreams.borrow().get("u1").is_some());
    });
}

/// Guards against hosts that can catch up with their relay only by reading the store.
#[test]
fn host_behind_its_relay_fetches_the_list_from_it() {
    on_site(|site| async move {
        let pair = Pair::new(&site).await;
        let store = pair.asking.platform.0.clone();
        store.is_down.set(false);
        store.write_upstream("u0", Some(entry("u0", unused_address())));
        let end = TableEnd {
            end: Position::new(Era(0), UPSTREAMS as u64),
            age_ms: Millis::ZERO,
        };
        let update = TablesUpdate {
            upstreams: Some(end),
            ..TablesUpdate::default()
        };
        pair.asking
            .replication
            .apply_update(pair.asking.now(), update);
        let follow = follow(pair.asking.clone(), Table::Upstreams, Some(pair.sources()));
        site.executor.spawn(follow).detach();
        let test = until(|| pair.asking.upstreams.borrow().count() == UPSTREAMS);
        pair.shared.run(test).await;
    });
}

/// Guards against hundreds of hosts that each read from the store a list which is being written,
/// before they receive updates from relays.
#[test]
fn host_without_updates_reads_a_short_page_and_fetches_the_rest_from_its_relay() {
    on_site(|site| async move {
        let pair = Pair::new(&site).await;
        let changes_read = follow_list_while_it_is_written(&site, &pair).await;
        assert!(changes_read < UPSTREAMS / 10);
    });
}

/// Guards against a host that waits for relays which do not have the list.
#[test]
fn host_continues_in_the_store_after_a_short_page_when_relays_have_no_list() {
    on_site(|site| async move {
        let pair = Pair::new(&site).await;
        site.host.upstreams_known.set(false);
        let changes_read = follow_list_while_it_is_written(&site, &pair).await;
        assert_eq!(changes_read, UPSTREAMS);
    });
}

/// Guards against hundreds of starting hosts that open connections to relays which refuse them.
#[test]
fn unlisted_host_asks_no_relay_of_a_new_or_large_group() {
    on_site(|site| async move {
        let pair = Pair::new(&site).await;
        let host = &pair.asking;
        let relays = || pair.sources().relays(host).map(|relays| relays.len());
        let list = |others: std::ops::Range<u64>| {
            let listed = others.map(|n| member(n, "here", 120)).collect();
            host.members
                .borrow_mut()
                .replace(host.now(), generation(2), listed);
            host.apply_member_list();
        };
        assert_eq!(relays(), Some(1), "the group lists it");
        list(1_000..1_300);
        assert_eq!(relays(), Some(0), "the group is large and does not list it");
        list(1_000..1_001);
        assert_eq!(relays(), Some(0), "the group has just its first host");
        list(1_000..1_100);
        assert_eq!(relays(), Some(2), "the group is small and does not list it");
        list(1_000..1_300);
        host.orderer_state.borrow_mut().answered_at = Some(host.now());
        assert_eq!(relays(), Some(2), "it has had an answer since it started");
    });
}

#[test]
fn list_is_fetched_only_if_newer() {
    on_site(|site| async move {
        let pair = Pair::new(&site).await;
        let sources = pair.sources();
        let end = Position::new(Era(0), UPSTREAMS as u64);
        let test = async {
            let older = fetch(&pair.asking, &sources, Some(end), Millis(50)).await;
            assert!(older.is_none());
            let newer = fetch(
                &pair.asking,
                &sources,
                Some(Position::new(end.era, end.offset.0 - 1)),
                Millis(5_000),
            )
            .await;
            assert_eq!(newer.map(|copy| copy.end), Some(end));
        };
        pair.shared.run(test).await;
    });
}

#[test]
fn relay_reads_the_store_and_only_relays_serve_the_list() {
    on_site(|site| async move {
        let pair = Pair::new(&site).await;
        let sources = TableSources {
            me: as_member(&site.host, &pair.peers, 500),
            ..pair.sources()
        };
        let copy = fetch(&site.host, &sources, None, Millis(5_000)).await;
        assert!(copy.is_none());
        assert!(answer(&site.host, ListRequest::default()).is_some());
        assert!(answer(&pair.asking, ListRequest::default()).is_none());
        let too_many = ListRequest {
            part: 0,
            parts: u32::MAX,
        };
        assert!(answer(&site.host, too_many).is_none());
    });
}

/// Guards against an upstream that a relay keeps only for a while after an outage, and another host
/// then gets with the list for good.
#[test]
fn upstream_kept_after_an_outage_is_not_sent_to_other_hosts() {
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
        let part =
            answer(&site.host, ListRequest { part: 0, parts: 1 }).expect("the host is a relay");
        assert_eq!(part.entries.len(), UPSTREAMS - 1);
    });
}
