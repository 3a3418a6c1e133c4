//! Tests of the registry of upstreams: leaving, outages of the list, lifetimes that ended, and
//! health.

use super::registry::Change;
use super::*;

mod notices;
mod paths;
mod rejections;
mod stated_loads;

fn entry(id: &str) -> UpstreamEntry {
    UpstreamEntry {
        id: id.into(),
        born_at: Millis::ZERO,
        service: "service".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        data_centre: "here".into(),
        software_version: None,
        slots: 4,
        leaving: false,
        order_count: 0,
        models: Vec::new(),
    }
}

fn leaving(id: &str) -> UpstreamEntry {
    UpstreamEntry {
        leaving: true,
        ..entry(id)
    }
}

fn lifetime(id: &str, born_at: u64) -> Lifetime {
    Lifetime {
        id: id.into(),
        born_at: Millis(born_at),
    }
}

fn usable(registry: &Registry) -> Vec<String> {
    let usable = registry.usable("service");
    usable
        .map(|upstream| upstream.entry.id.to_string())
        .collect()
}

#[test]
fn a_leaving_upstream_gets_no_requests_and_stays_leaving() {
    let mut registry = Registry::default();
    registry.note_list_reached(Millis(0));
    assert_eq!(registry.put(entry("a")), Change::Added);
    assert_eq!(registry.put(leaving("a")), Change::Leaving);
    assert_eq!(usable(&registry), [""; 0]);
    registry.put(entry("a"));
    assert_eq!(usable(&registry), [""; 0]);
}

#[test]
fn a_removal_without_an_outage_takes_effect_at_once() {
    let mut registry = Registry::default();
    registry.note_list_reached(Millis(0));
    registry.put(entry("a"));
    registry.note_list_reached(Millis(1_500));
    assert_eq!(registry.remove(Millis(1_500), "a"), Change::Gone);
    assert_eq!(usable(&registry), [""; 0]);
}

/// Guards against an outage that is inferred only because a busy orderer sent its copy of the list
/// late.
#[test]
fn a_removal_after_a_late_copy_of_the_list_takes_effect_at_once() {
    let mut registry = Registry::default();
    registry.note_list_reached(Millis(0));
    registry.put(entry("a"));
    registry.note_list_reached(Millis(4_000));
    assert_eq!(registry.remove(Millis(4_000), "a"), Change::Gone);
    assert_eq!(usable(&registry), [""; 0]);
}

#[test]
fn upstreams_whose_entries_lapsed_in_an_outage_are_used_for_the_grace_period() {
    let mut registry = Registry::default();
    registry.note_list_reached(Millis(0));
    for id in ["back", "gone", "left"] {
        registry.put(entry(id));
    }
    registry.put(leaving("left"));
    registry.note_list_unreachable();
    registry.note_list_reached(Millis(6_000));
    let changes = registry.replace(Millis(6_000), Vec::new());
    assert_eq!(changes.len(), 3);
    assert_eq!(usable(&registry), ["back", "gone"]);
    registry.put(entry("back"));
    assert!(registry.expire(Millis(7_900)).is_empty());
    assert_eq!(registry.expire(Millis(8_000)), ["gone".into()]);
    assert_eq!(usable(&registry), ["back"]);
}

#[test]
fn a_late_copy_of_an_entry_does_not_restore_a_lifetime_that_ended() {
    let mut registry = Registry::default();
    registry.put(entry("a"));
    assert!(registry.end_lifetime(&lifetime("a", 0)));
    assert_eq!(registry.put(entry("a")), Change::Unchanged);
    assert_eq!(usable(&registry), [""; 0]);
}

#[test]
fn an_unreachable_upstream_backs_off_longer_each_time_and_an_answer_ends_the_backoff() {
    let mut health = Health::default();
    let first = health.note_unreachable(Millis(0));
    let second = health.note_unreachable(first);
    assert!(second - first > first);
    assert!(health.is_backing_off(first));
    health.note_success(first);
    assert!(!health.is_backing_off(first));
}

#[test]
fn the_failure_share_rises_after_a_few_failures_and_decays_with_time() {
    let mut health = Health::default();
    for _ in 0..6 {
        health.note_failure(Millis(1_000));
    }
    assert!(health.failure_share(Millis(1_000)) > 0.5);
    assert!(health.failure_share(Millis(13_000)) < 0.1);
}

#[test]
fn an_upstream_that_restarts_under_its_name_is_used_again() {
    let mut registry = Registry::default();
    let entry_born_at = |born_at: u64, leaving: bool| UpstreamEntry {
        born_at: Millis(born_at),
        leaving,
        ..entry("a")
    };
    registry.put(entry_born_at(5, false));
    let former = lifetime("a", 5);
    if let Some(upstream) = registry.get_lifetime_mut(&former) {
        upstream.health.note_unreachable(Millis(0));
        upstream.in_flight = 3;
    }
    assert_eq!(registry.put(entry_born_at(5, true)), Change::Leaving);
    assert_eq!(registry.put(entry_born_at(6, false)), Change::Restarted);
    assert_eq!(usable(&registry), ["a"]);
    assert!(registry.get_lifetime_mut(&former).is_none());
    let upstream = registry.get("a").expect("the upstream is listed");
    assert!(!upstream.health.is_backing_off(Millis(1)));
    assert_eq!(upstream.in_flight, 0);
    assert!(!registry.end_lifetime(&former));
    // The leaving entry of the former lifetime arrives late.
    assert_eq!(registry.put(entry_born_at(5, true)), Change::Unchanged);
    assert_eq!(usable(&registry), ["a"]);
}

#[test]
fn an_upstream_with_an_unreadable_entry_is_removed_until_a_valid_one_is_written() {
    let mut registry = Registry::default();
    registry.put(entry("a"));
    registry.put(entry("b"));
    assert_eq!(registry.drop_unreadable("a"), Change::Gone);
    assert_eq!(usable(&registry), ["b"]);
    assert_eq!(registry.put(entry("a")), Change::Added);
    assert_eq!(usable(&registry), ["b", "a"]);
}

/// Guards against late information about an earlier lifetime that changes a later one: entries,
/// restarts and removals of one upstream arrive in any order, and the newest lifetime stays known.
#[test]
fn information_about_an_earlier_lifetime_never_changes_a_later_one() {
    arbtest::arbtest(|u| {
        let mut registry = Registry::default();
        let (mut newest, mut ended) = (0, IndexSet::new());
        for _ in 0..u.int_in_range(1..=60u8)? {
            let born_at = u.int_in_range(1..=6u64)?;
            let listed = registry.get("a").is_some();
            match u.int_in_range(0..=7u8)? {
                0..=2 => {
                    let leaving = u.ratio(1, 3)?;
                    let put = UpstreamEntry {
                        born_at: Millis(born_at),
                        leaving,
                        ..entry("a")
                    };
                    registry.put(put);
                    newest = newest.max(born_at);
                    if leaving && born_at == newest {
                        ended.insert(born_at);
                    }
                }
                3 if listed => {
                    registry.note_restarted(&lifetime("a", born_at));
                    newest = newest.max(born_at);
                }
                4 => drop(registry.remove(Millis(0), "a")),
                5 if registry.end_lifetime(&lifetime("a", born_at)) => {
                    ended.insert(born_at);
                }
                6 => drop(registry.drop_unreadable("a")),
                _ => {
                    if let Some(upstream) = registry.get_lifetime_mut(&lifetime("a", born_at)) {
                        upstream.in_flight += 1;
                    }
                }
            }
            if let Some(known) = registry.get("a") {
                assert_eq!(known.entry.born_at, Millis(newest));
            }
            if ended.contains(&newest) {
                assert_eq!(usable(&registry), [""; 0]);
            }
        }
        Ok(())
    })
    .size_max(4_096);
}

/// Guards against an outage that is inferred from a relay's copy of the list which is older than
/// the last known one.
#[test]
fn an_older_copy_of_the_list_does_not_count_as_an_outage() {
    let mut registry = Registry::default();
    registry.put(entry("a"));
    registry.note_list_reached(Millis(10_000));
    registry.note_list_reached(Millis(7_000));
    registry.note_list_unreachable();
    registry.note_list_reached(Millis(10_100));
    assert_eq!(registry.remove(Millis(10_100), "a"), Change::Gone);
}

/// Guards against late copies of entries that add removed upstreams again when a release replaces
/// more upstreams than the least number of remembered names.
#[test]
fn late_copies_after_a_release_of_ten_thousand_upstreams_restore_none() {
    let mut registry = Registry::default();
    let old: Vec<UpstreamEntry> = (0..10_000).map(|n| entry(&format!("old{n}"))).collect();
    for entry in &old {
        registry.put(entry.clone());
    }
    for (n, old) in old.iter().enumerate() {
        registry.put(entry(&format!("new{n}")));
        registry.put(leaving(&old.id));
        registry.remove(Millis(0), &old.id);
    }
    for entry in old {
        assert_eq!(registry.put(entry), Change::Unchanged);
    }
    assert_eq!(registry.iter().count(), 10_000);
}

/// Compares the indexes with a scan over all upstreams, after random changes of the list and random
/// requests of this host.
#[test]
fn index_lookups_match_a_scan_of_all_upstreams() {
    arbtest::arbtest(|u| {
        let mut registry = Registry::default();
        for _ in 0..u.int_in_range(1..=80u8)? {
            let id = format!("u{}", u.int_in_range(0..=4u8)?);
            let start = lifetime(&id, u.int_in_range(1..=3u64)?);
            match u.int_in_range(0..=6u8)? {
                0..=2 => {
                    let held = HeldModel {
                        name: format!("m{}", u.int_in_range(0..=2u8)?).into(),
                        adapters: Vec::new(),
                    };
                    let service = if u.arbitrary()? { "service" } else { "other" };
                    registry.put(UpstreamEntry {
                        born_at: start.born_at,
                        service: service.into(),
                        leaving: u.ratio(1, 5)?,
                        models: vec![held],
                        ..entry(&id)
                    });
                }
                3 => drop(registry.remove(Millis(0), &id)),
                4 => drop(registry.note_restarted(&start)),
                5 => registry.begin_request(&start, 10),
                _ => registry.end_request(&start),
            }
            let names = |found: &mut dyn Iterator<Item = &Upstream>| -> IndexSet<Name> {
                found.map(|upstream| upstream.entry.id.clone()).collect()
            };
            let scan = |with: &dyn Fn(&Upstream) -> bool| {
                names(&mut registry.iter().filter(|upstream| with(upstream)))
            };
            let in_use = scan(&|upstream| upstream.in_flight > 0);
            assert_eq!(names(&mut registry.busy()), in_use);
            for service in ["service", "other"] {
                let serving = scan(&|upstream| {
                    &*upstream.entry.service == service && !upstream.entry.leaving
                });
                assert_eq!(names(&mut registry.usable(service)), serving);
            }
            for model in ["m0", "m1", "m2"] {
                let holding = scan(&|upstream| upstream.holds(model, None));
                assert_eq!(names(&mut registry.listing_model(model)), holding);
            }
        }
        Ok(())
    })
    .size_max(4_096);
}

/// Guards against a start that is taken for an upstream's first: earlier ones are ruled out only by a
/// host that followed the list when the upstream was added.
#[test]
fn an_upstreams_first_start_is_told_from_later_and_unknown_ones() {
    let born = |id: &str, at: u64| UpstreamEntry {
        born_at: Millis(at),
        ..entry(id)
    };
    let mut registry = Registry::default();
    registry.note_list_reached(Millis(50));
    registry.replace(Millis(50), vec![born("read", 10)]);
    registry.put(born("followed", 10));
    let former_start = |registry: &Registry, id: &str| {
        let upstream = registry.get(id).expect("it is listed");
        upstream.former_start
    };
    let known = FormerStart::Known {
        list_as_of: Millis(50),
    };
    assert_eq!(former_start(&registry, "read"), FormerStart::Unknown);
    assert_eq!(former_start(&registry, "followed"), FormerStart::None);
    registry.put(born("followed", 20));
    assert_eq!(former_start(&registry, "followed"), known);
    registry.remove(Millis(60), "followed");
    registry.put(born("followed", 20));
    assert_eq!(former_start(&registry, "followed"), known);
    registry.remove(Millis(70), "read");
    registry.put(born("read", 30));
    assert_eq!(former_start(&registry, "read"), known);
    assert!(registry.note_restarted(&lifetime("followed", 90)) == Change::Restarted);
    assert_eq!(former_start(&registry, "followed"), known);
}
