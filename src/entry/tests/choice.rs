//! Which engines are candidates for a request.

use super::site::entry;
use crate::entry::platform::ModelRef;
use crate::entry::sending::choice::{holders, holds};
use crate::ordering::cached_orderer_state::CachedOrdererState;
use crate::ordering::published::{EngineView, EnginesUpdate};
use crate::prelude::*;
use crate::upstreams::{HeldModel, Lifetime, Registry, UpstreamEntry};
use std::net::SocketAddr;

fn model_ref(model: u8, has_adapter: bool) -> ModelRef {
    ModelRef {
        model: format!("m{model}").into(),
        adapter: has_adapter.then(|| "a".into()),
    }
}

/// Guards against missing an engine whose own entry does not list a model that it was ordered to
/// load.
#[test]
fn holders_finds_the_same_engines_as_a_scan_of_all_upstreams() {
    arbtest::arbtest(|u| {
        let mut upstreams = Registry::default();
        let mut published = Vec::new();
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
                let held = model_ref(u.int_in_range(0..=2u8)?, u.ratio(1, 3)?);
                published.push(EngineView {
                    engine: Lifetime {
                        id,
                        born_at: Millis::ZERO,
                    },
                    held: vec![held],
                });
            }
        }
        let mut state = CachedOrdererState::default();
        state.apply_engines(EnginesUpdate {
            version: (1, 1),
            is_whole: true,
            engines: published,
            gone: Vec::new(),
            slowness: Vec::new(),
        });
        let now = Millis(10_000);
        let requested = model_ref(u.int_in_range(0..=2u8)?, u.arbitrary()?);
        let lacking: Name = format!("u{}", u.int_in_range(0..=5u8)?).into();
        state.note_lacking(now, &lacking, &requested);
        let found = holders(&upstreams, &state, now, "s", &requested);
        let found: Vec<Name> = found.map(|engine| engine.entry.id.clone()).collect();
        let scanned = upstreams.iter().filter(|upstream| {
            let entry = &upstream.entry;
            &*entry.service == "s" && !entry.leaving && holds(&state, now, upstream, &requested)
        });
        let scanned: IndexSet<Name> = scanned.map(|engine| engine.entry.id.clone()).collect();
        assert_eq!(found.len(), scanned.len(), "each engine is found once");
        assert_eq!(found.into_iter().collect::<IndexSet<_>>(), scanned);
        Ok(())
    })
    .size_max(4_096);
}
