//! Which engines a request may go to.

use super::site::entry;
use crate::entry::choice::{holders, holds};
use crate::entry::platform::ModelAsk;
use crate::ordering::cached_orderer_state::CachedOrdererState;
use crate::ordering::published::{EngineView, EnginesUpdate};
use crate::prelude::*;
use crate::upstreams::{HeldModel, Lifetime, Registry, UpstreamEntry};
use std::net::SocketAddr;

fn ask(model: u8, has_adapter: bool) -> ModelAsk {
    ModelAsk {
        model: format!("m{model}").into(),
        adapter: has_adapter.then(|| "a".into()),
    }
}

/// Guards against engines that are missed because their entries do not list what they were ordered to load.
#[test]
fn the_engines_that_are_found_are_those_that_a_walk_over_all_finds() {
    arbtest::arbtest(|u| {
        let mut upstreams = Registry::default();
        let mut told = Vec::new();
        for n in 0..6 {
            let id: Name = format!("u{n}").into();
            let held = HeldModel {
                name: format!("m{}", u.int_in_range(0..=2u8)?).into(),
                adapters: u.ratio(1, 3)?.then(|| "a".into()).into_iter().collect(),
            };
            upstreams.put(UpstreamEntry {
                service: if u.ratio(1, 4)? { "other" } else { "s" }.into(),
                leaving: u.ratio(1, 5)?,
                models: vec![held],
                ..entry(&id, SocketAddr::from(([127, 0, 0, 1], 9)))
            });
            if u.arbitrary()? {
                let held = ask(u.int_in_range(0..=2u8)?, u.ratio(1, 3)?);
                told.push(EngineView {
                    engine: Lifetime {
                        id,
                        born_at: Millis::ZERO,
                    },
                    held: vec![held],
                });
            }
        }
        let mut view = CachedOrdererState::default();
        view.take_engines(EnginesUpdate {
            version: (1, 1),
            is_whole: true,
            engines: told,
            gone: Vec::new(),
        });
        let now = Millis(10_000);
        let asked = ask(u.int_in_range(0..=2u8)?, u.arbitrary()?);
        let lacking: Name = format!("u{}", u.int_in_range(0..=5u8)?).into();
        view.note_lacking(now, &lacking, &asked);
        let found = holders(&upstreams, &view, now, "s", &asked);
        let found: Vec<Name> = found.map(|engine| engine.entry.id.clone()).collect();
        let walk = upstreams.iter().filter(|upstream| {
            let entry = &upstream.entry;
            &*entry.service == "s" && !entry.leaving && holds(&view, now, upstream, &asked)
        });
        let walk: IndexSet<Name> = walk.map(|engine| engine.entry.id.clone()).collect();
        assert_eq!(found.len(), walk.len(), "each of them once");
        assert_eq!(found.into_iter().collect::<IndexSet<_>>(), walk);
        Ok(())
    })
    .size_max(4_096);
}
