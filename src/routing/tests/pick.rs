//! Tests of the choice of an engine by load, prompt length and prefix.

use crate::desired::EngineSpec;
use crate::prelude::*;
use crate::routing::occupancy::Occupancy;
use crate::routing::pick::{self, ModelCopies, PromptShape, UpstreamLoad};
use crate::routing::prefix::prefix_fetch_ratio;
use crate::upstreams::{Registry, UpstreamEntry};

const SLOTS: u32 = 24;

pub fn engines(count: usize) -> Registry {
    let mut registry = Registry::default();
    for number in 0..count {
        registry.put(UpstreamEntry {
            id: format!("e{number}").into(),
            born_at: Millis::ZERO,
            service: "s".into(),
            address: ([127, 0, 0, 1], 80).into(),
            data_centre: "here".into(),
            software_version: None,
            slots: SLOTS,
            leaving: false,
            order_count: 0,
            models: Vec::new(),
        });
    }
    registry
}

pub fn short_prompt(prefix_digest: u64) -> PromptShape {
    PromptShape {
        prefix_digest,
        shared_tokens: 170,
        tokens: 700,
    }
}

/// Sends requests one after the other, each to the engine that is chosen for it, and returns the
/// number of requests for each engine. None of them ends.
fn spread(requests: u64, separates_prompt_lengths: bool) -> Vec<u32> {
    let registry = engines(4);
    let mut running: IndexMap<Name, u32> = registry
        .iter()
        .map(|upstream| (upstream.entry.id.clone(), 0))
        .collect();
    let mut random = fastrand::Rng::with_seed(7);
    for request in 0..requests {
        let with_load = registry.iter().map(|upstream| {
            let load = UpstreamLoad {
                running: running[&upstream.entry.id],
                ..UpstreamLoad::default()
            };
            (upstream, load)
        });
        let copies = ModelCopies {
            name: "m",
            separates_prompt_lengths,
            prefix_miss_cost: 1.0,
        };
        // The prompts share two prefixes, each of which has a preferred engine.
        let prompt = short_prompt(request % 2);
        let occupancy = Occupancy::default();
        let chosen = pick::engine(NOW, &copies, with_load, prompt, occupancy, &mut random);
        let chosen = chosen.expect("an engine is chosen").entry.id.clone();
        running[&chosen] += 1;
    }
    running.into_values().collect()
}

const NOW: Millis = Millis(1_000);

/// Guards against overload of some copies when a model with several copies gets only short prompts:
/// with separated copies, a third of them got all requests until each had some ninety more than the
/// others, at 24 slots an engine.
#[test]
fn all_copies_share_short_prompts_when_there_are_no_long_ones() {
    let running = spread(4 * 20, false);
    assert!(
        running.iter().all(|running| *running <= SLOTS),
        "{running:?}"
    );
}

/// With both kinds of prompts, the copy reserved for short prompts gets the short ones while its
/// queue is no worse.
#[test]
fn short_prompts_go_to_the_copy_reserved_for_them() {
    let running = spread(10, true);
    assert_eq!(running.iter().filter(|running| **running > 0).count(), 1);
}

/// An engine with all slots taken costs the wait until one is free, which follows from the answers
/// that this host has seen.
#[test]
fn slot_wait_follows_observed_occupancy() {
    let mut occupancy = Occupancy::default();
    (0..500).for_each(|_| occupancy.note(Millis(2_400)));
    assert_eq!(occupancy.wait_ms(SLOTS, SLOTS - 1), 0.0);
    let one_ahead_ms = occupancy.wait_ms(SLOTS, SLOTS);
    assert!((99.0..101.0).contains(&one_ahead_ms), "{one_ahead_ms}");
    let ten_ahead_ms = occupancy.wait_ms(SLOTS, SLOTS + 9);
    assert!((990.0..1_010.0).contains(&ten_ahead_ms), "{ten_ahead_ms}");
    assert_eq!(occupancy.wait_ms(0, 50), 0.0);
}

/// An engine that refused a request as full gets none until some of its slots should be free.
#[test]
fn full_engine_gets_no_requests_until_slots_should_be_free() {
    let mut registry = engines(1);
    let lifetime = registry.get("e0").expect("e0 is registered").lifetime();
    let full_backoff_ms = Occupancy::default().full_backoff_ms(SLOTS);
    if let Some(engine) = registry.get_lifetime_mut(&lifetime) {
        engine.full_until = NOW + full_backoff_ms;
    }
    let copies = ModelCopies {
        name: "m",
        separates_prompt_lengths: false,
        prefix_miss_cost: 1.0,
    };
    let choose = |now| {
        let with_load = registry
            .iter()
            .map(|upstream| (upstream, UpstreamLoad::default()));
        let occupancy = Occupancy::default();
        let mut random = fastrand::Rng::with_seed(1);
        pick::engine(
            now,
            &copies,
            with_load,
            short_prompt(1),
            occupancy,
            &mut random,
        )
        .is_some()
    };
    assert!(!choose(NOW));
    assert!(choose(NOW + full_backoff_ms));
}

/// Guards against many hosts choosing the same engine when demand for a model starts on all of them
/// at once and its copies are idle.
#[test]
fn hosts_spread_requests_over_equal_engines() {
    let registry = engines(4);
    let copies = ModelCopies {
        name: "m",
        separates_prompt_lengths: false,
        prefix_miss_cost: 1.0,
    };
    let choose = |host| {
        let with_load = registry
            .iter()
            .map(|upstream| (upstream, UpstreamLoad::default()));
        let mut random = fastrand::Rng::with_seed(host);
        let prompt = PromptShape {
            shared_tokens: 0,
            ..short_prompt(1)
        };
        let occupancy = Occupancy::default();
        let chosen = pick::engine(NOW, &copies, with_load, prompt, occupancy, &mut random);
        chosen.expect("an engine is chosen").entry.id.clone()
    };
    let chosen: IndexSet<Name> = (0..40).map(choose).collect();
    assert_eq!(chosen.len(), 4);
}

/// Guards against a queue at the preferred engine when all requests of a busy model share one
/// prefix of 6,300 tokens: where engines fetch it from each other, the preferred engine is not
/// worth waiting for.
#[test]
fn fetchable_prefix_does_not_queue_requests_at_its_preferred_engine() {
    let registry = engines(4);
    let busiest = |prefix_miss_cost| {
        let copies = ModelCopies {
            name: "m",
            separates_prompt_lengths: false,
            prefix_miss_cost,
        };
        let mut queued: IndexMap<Name, u64> = IndexMap::new();
        let mut random = fastrand::Rng::with_seed(3);
        for _ in 0..4 {
            let with_load = registry.iter().map(|upstream| {
                let load = UpstreamLoad {
                    prompt_tokens: queued.get(&upstream.entry.id).copied().unwrap_or(0),
                    ..UpstreamLoad::default()
                };
                (upstream, load)
            });
            let prompt = PromptShape {
                prefix_digest: 1,
                shared_tokens: 6_300,
                tokens: 9_200,
            };
            let occupancy = Occupancy::default();
            let chosen = pick::engine(NOW, &copies, with_load, prompt, occupancy, &mut random);
            let id = chosen.expect("an engine is chosen").entry.id.clone();
            *queued.entry(id).or_default() += 2_900;
        }
        queued.into_values().max().unwrap_or(0)
    };
    assert_eq!(busiest(0.04), 2_900, "one request for each engine");
    assert!(busiest(1.0) > 5_000);
}

#[test]
fn prefix_is_fetched_only_if_much_faster_than_reading() {
    let spec = |token_bytes, link_mbps| EngineSpec {
        token_bytes,
        link_mbps,
        ..EngineSpec::default()
    };
    let share = |spec: EngineSpec, tokens| prefix_fetch_ratio(&spec, 38.0, tokens);
    let fast = share(spec(131_072.0, 1_100_000.0), 6_300).expect("the prefix is fetched");
    assert!((0.03..0.05).contains(&fast), "{fast}");
    assert_eq!(
        share(spec(131_072.0, 1_100_000.0), 170),
        None,
        "the prefix is too short"
    );
    assert_eq!(
        share(spec(131_072.0, 100_000.0), 6_300),
        None,
        "the link is too slow"
    );
    assert_eq!(
        share(spec(131_072.0, 0.0), 6_300),
        None,
        "no link speed is set"
    );
    assert_eq!(share(spec(0.0, 1_100_000.0), 6_300), None);
}

/// Guards against fetching from a copy without the prefix: a new copy of a model becomes the
/// preferred engine of some prefixes that it has never read.
#[test]
fn new_copy_fetches_prefixes_from_the_previous_preferred_engine() {
    let registry = engines(4);
    let copies = ModelCopies {
        name: "m",
        separates_prompt_lengths: false,
        prefix_miss_cost: 0.04,
    };
    let source = |prefix_digest, without: &str, receiver: &str| {
        let holders: Vec<_> = registry
            .iter()
            .filter(|engine| &*engine.entry.id != without)
            .collect();
        let prompt = short_prompt(prefix_digest);
        let source = pick::prefix_source(&copies, holders.into_iter(), prompt, receiver);
        source.map(|engine| engine.entry.id.clone())
    };
    for prefix_digest in 0..100 {
        let first = source(prefix_digest, "", "").expect("an engine has the prefix");
        let before = source(prefix_digest, &first, "");
        assert_eq!(source(prefix_digest, "", &first), before);
        assert_eq!(source(prefix_digest, "", "another"), Some(first));
    }
}
