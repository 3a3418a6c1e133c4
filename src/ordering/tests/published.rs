//! A host always knows a state that the orderer once had, whichever relays it received updates
//! through.

use crate::entry::platform::ModelRef;
use crate::ordering::engine_inventory::EngineChanges;
use crate::ordering::published::{EngineView, EnginesVersion, PublishedEngines};
use crate::ordering::slowness::Slowness;
use crate::prelude::*;
use crate::test_support::run_seeded;
use crate::upstreams::{Lifetime, LifetimeKey};
use arbtest::arbitrary::{Result, Unstructured};

type State = Vec<(Lifetime, Vec<ModelRef>)>;

fn engine(n: u8) -> Lifetime {
    Lifetime {
        id: format!("e{n}").into(),
        born_at: Millis::ZERO,
    }
}

fn view(n: u8, model: &str) -> EngineView {
    EngineView {
        engine: engine(n),
        held: vec![ModelRef {
            model: model.into(),
            adapter: None,
        }],
    }
}

fn views(u: &mut Unstructured<'_>) -> Result<Vec<EngineView>> {
    let mut views = Vec::new();
    for n in 0..5 {
        if u.int_in_range(0..=4u8)? == 0 {
            continue;
        }
        views.push(view(n, &format!("m{}", u.int_in_range(0..=2u8)?)));
    }
    Ok(views)
}

fn state(known: &PublishedEngines) -> State {
    let engines = (0..5).map(engine);
    let held = engines.filter_map(|engine| {
        let held = known.held(&engine)?.iter().cloned().collect();
        Some((engine, held))
    });
    held.collect()
}

/// Publishes the state of all engines at an orderer; no engine is as in the list of upstreams.
fn publish(orderer: &mut PublishedEngines, fence: u64, views: Vec<EngineView>) {
    publish_listed(orderer, fence, views, |_| false);
}

fn publish_listed(
    orderer: &mut PublishedEngines,
    fence: u64,
    views: Vec<EngineView>,
    is_as_listed: impl Fn(&EngineView) -> bool,
) {
    let is_listed = |engine: &Lifetime| views.iter().any(|view| view.engine == *engine);
    let gone = (0..5).map(engine).filter(|engine| !is_listed(engine));
    let changes = EngineChanges {
        gone: gone.collect(),
        views: views.clone(),
    };
    orderer.update(fence, changes, is_as_listed);
}

#[test]
fn every_host_has_the_orderers_state_of_the_same_version() {
    let applied = run_seeded(300, |u| {
        let mut fence = 1;
        let mut orderer = PublishedEngines::default();
        // Two relays, and a host that receives updates from either.
        let mut hosts = vec![PublishedEngines::default(); 3];
        let mut states: IndexMap<EnginesVersion, State> = IndexMap::new();
        states.insert(orderer.version(), state(&orderer));
        let mut in_flight = Vec::new();
        let mut applied = 0;
        for _ in 0..150 {
            match u.int_in_range(0..=9u8)? {
                0..=2 => {
                    publish(&mut orderer, fence, views(u)?);
                    states.insert(orderer.version(), state(&orderer));
                }
                3 if u.int_in_range(0..=9u8)? == 0 => fence += 1,
                3..=6 => {
                    let to = u.choose_index(3)?;
                    let from = match to {
                        2 => &hosts[u.choose_index(2)?],
                        _ => &orderer,
                    };
                    in_flight.push((to, from.since(hosts[to].version())));
                }
                _ if !in_flight.is_empty() => {
                    let (to, update) = in_flight.swap_remove(u.choose_index(in_flight.len())?);
                    // A late update may have been made for an older version than the host has by
                    // now.
                    hosts[to].apply(update);
                    let known = &hosts[to];
                    assert_eq!(Some(&state(known)), states.get(&known.version()));
                    applied += 1;
                }
                _ => {}
            }
        }
        Ok(applied)
    });
    assert!(applied.iter().sum::<usize>() > 3_000);
}

#[test]
fn an_update_contains_only_the_changes() {
    let mut orderer = PublishedEngines::default();
    publish(
        &mut orderer,
        1,
        vec![view(0, "a"), view(1, "a"), view(2, "a")],
    );
    let known = orderer.version();
    assert!(orderer.since((0, 0)).is_whole);
    publish(&mut orderer, 1, vec![view(0, "a"), view(1, "b")]);
    let update = orderer.since(known);
    assert_eq!(update.engines, [view(1, "b")]);
    assert_eq!(update.gone, [engine(2)]);
    assert!(!update.is_whole);
    let same = orderer.version();
    publish(&mut orderer, 1, vec![view(0, "a"), view(1, "b")]);
    assert_eq!(orderer.version(), same, "no engine changed");
}

/// Guards against messages that grow with the number of engines instead of the changes, and against a
/// host that misses a change of slowness, its end, or the removal of its engine.
#[test]
fn slowness_is_sent_to_hosts_once_it_changes_and_to_new_hosts_as_a_whole() {
    let slow = Slowness::from_ratio(1.6);
    let lifetime = |n: usize| Lifetime {
        id: format!("e{n}").into(),
        born_at: Millis(1_790_000_000_000),
    };
    let slowness = |host: &PublishedEngines, n: usize| {
        let Lifetime { id, born_at } = lifetime(n);
        host.slowness(LifetimeKey { id: &id, born_at })
    };
    let mut orderer = PublishedEngines::default();
    orderer.update_slowness(1, (0..10_000).map(|n| (lifetime(n), slow)).collect());
    let mut host = PublishedEngines::default();
    host.apply(orderer.since(host.version()));
    assert_eq!(host.uneven().count(), 10_000);
    orderer.update_slowness(1, vec![(lifetime(7), Slowness::MEAN)]);
    let update = orderer.since(host.version());
    let bytes = postcard::to_stdvec(&update).expect("it can be encoded");
    assert!(bytes.len() < 64, "{} bytes for one change", bytes.len());
    host.apply(update);
    assert_eq!(slowness(&host, 7), Slowness::MEAN);
    assert_eq!(slowness(&host, 8), slow);
    let changes = EngineChanges {
        gone: vec![lifetime(8)],
        views: Vec::new(),
    };
    orderer.update(1, changes, |_| true);
    host.apply(orderer.since(host.version()));
    assert_eq!(slowness(&host, 8), Slowness::MEAN);
    let mut new_host = PublishedEngines::default();
    new_host.apply(orderer.since(new_host.version()));
    assert!(new_host.uneven().eq(host.uneven()));
    assert_eq!(new_host.uneven().count(), 9_998);
}

/// Regression test: hosts were sent the state of every engine although the list of upstreams
/// already contains it.
#[test]
fn an_engine_is_published_once_it_differs_from_its_listed_entry() {
    let mut orderer = PublishedEngines::default();
    let is_as_listed = |view: &EngineView| &*view.held[0].model == "listed";
    let listed = || (0..5).map(|n| view(n, "listed"));
    publish_listed(&mut orderer, 1, listed().collect(), is_as_listed);
    assert_eq!(orderer.since((0, 0)).engines, []);
    let known = orderer.version();
    let changed = listed().skip(1).chain([view(0, "loaded")]);
    publish_listed(&mut orderer, 1, changed.collect(), is_as_listed);
    assert_eq!(orderer.since(known).engines, [view(0, "loaded")]);
    // The engine's entry in the list catches up, but a host may still have the former entry.
    publish_listed(&mut orderer, 1, listed().collect(), is_as_listed);
    assert_eq!(orderer.since((0, 0)).engines, [view(0, "listed")]);
}
