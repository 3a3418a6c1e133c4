//! A host always knows a state that the orderer once had, whichever relays it received updates
//! through.

use crate::entry::platform::ModelAsk;
use crate::ordering::ledger::EngineChanges;
use crate::ordering::published::{EngineView, EnginesVersion, PublishedEngines};
use crate::prelude::*;
use crate::test_support::seeded;
use crate::upstreams::Lifetime;
use arbtest::arbitrary::{Result, Unstructured};

type State = Vec<(Lifetime, Vec<ModelAsk>)>;

fn engine(n: u8) -> Lifetime {
    Lifetime {
        id: format!("e{n}").into(),
        born_at: Millis::ZERO,
    }
}

fn view(n: u8, model: &str) -> EngineView {
    EngineView {
        engine: engine(n),
        held: vec![ModelAsk {
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
fn update(orderer: &mut PublishedEngines, fence: u64, views: Vec<EngineView>) {
    update_listed(orderer, fence, views, |_| false);
}

fn update_listed(
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
fn every_host_knows_a_state_that_the_orderer_had_under_its_version() {
    let taken = seeded(300, |u| {
        let mut fence = 1;
        let mut orderer = PublishedEngines::default();
        // Two relays, and a host that receives updates from either.
        let mut hosts = vec![PublishedEngines::default(); 3];
        let mut states: IndexMap<EnginesVersion, State> = IndexMap::new();
        states.insert(orderer.version(), state(&orderer));
        let mut under_way = Vec::new();
        let mut taken = 0;
        for _ in 0..150 {
            match u.int_in_range(0..=9u8)? {
                0..=2 => {
                    update(&mut orderer, fence, views(u)?);
                    states.insert(orderer.version(), state(&orderer));
                }
                3 if u.int_in_range(0..=9u8)? == 0 => fence += 1,
                3..=6 => {
                    let to = u.choose_index(3)?;
                    let from = match to {
                        2 => &hosts[u.choose_index(2)?],
                        _ => &orderer,
                    };
                    under_way.push((to, from.since(hosts[to].version())));
                }
                _ if !under_way.is_empty() => {
                    let (to, news) = under_way.swap_remove(u.choose_index(under_way.len())?);
                    // A late update may have been made for an older version than the host has by
                    // now.
                    hosts[to].apply(news);
                    let known = &hosts[to];
                    assert_eq!(Some(&state(known)), states.get(&known.version()));
                    taken += 1;
                }
                _ => {}
            }
        }
        Ok(taken)
    });
    assert!(taken.iter().sum::<usize>() > 3_000);
}

#[test]
fn only_what_changed_is_told() {
    let mut orderer = PublishedEngines::default();
    update(
        &mut orderer,
        1,
        vec![view(0, "a"), view(1, "a"), view(2, "a")],
    );
    let known = orderer.version();
    assert!(orderer.since((0, 0)).is_whole);
    update(&mut orderer, 1, vec![view(0, "a"), view(1, "b")]);
    let news = orderer.since(known);
    assert_eq!(news.engines, [view(1, "b")]);
    assert_eq!(news.gone, [engine(2)]);
    assert!(!news.is_whole);
    let same = orderer.version();
    update(&mut orderer, 1, vec![view(0, "a"), view(1, "b")]);
    assert_eq!(orderer.version(), same, "no engine changed");
}

/// Regression test: hosts were sent the state of every engine although the list of upstreams
/// already contains it.
#[test]
fn an_engine_is_told_of_from_when_it_holds_other_things_than_its_entry_says() {
    let mut orderer = PublishedEngines::default();
    let is_as_listed = |view: &EngineView| &*view.held[0].model == "listed";
    let listed = || (0..5).map(|n| view(n, "listed"));
    update_listed(&mut orderer, 1, listed().collect(), is_as_listed);
    assert_eq!(orderer.since((0, 0)).engines, []);
    let known = orderer.version();
    let changed = listed().skip(1).chain([view(0, "loaded")]);
    update_listed(&mut orderer, 1, changed.collect(), is_as_listed);
    assert_eq!(orderer.since(known).engines, [view(0, "loaded")]);
    // The engine's entry in the list catches up, but a host may still have the former entry.
    update_listed(&mut orderer, 1, listed().collect(), is_as_listed);
    assert_eq!(orderer.since((0, 0)).engines, [view(0, "listed")]);
}
