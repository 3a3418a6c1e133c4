//! Tests of the choice among engines that work at different speeds or whose KV cache is full.

use crate::prelude::*;
use crate::routing::occupancy::Occupancy;
use crate::routing::pick::{self, Candidate, ModelCopies, PromptShape, UpstreamLoad};
use crate::routing::tests::pick::{engines, short_prompt};

const NOW: Millis = Millis(1_000);

fn choose(candidates: impl Iterator<Item = Candidate<'static>>, seed: u64) -> Name {
    let copies = ModelCopies {
        name: "m",
        separates_prompt_lengths: false,
        prefix_miss_cost: 1.0,
    };
    let prompt = PromptShape {
        shared_tokens: 0,
        ..short_prompt(1)
    };
    let mut random = fastrand::Rng::with_seed(seed);
    let occupancy = Occupancy::default();
    let chosen = pick::engine(NOW, &copies, candidates, prompt, occupancy, &mut random);
    chosen.expect("an engine is chosen").entry.id.clone()
}

/// Sends requests that do not end to two engines, the second of this slowness, and returns how many
/// each of them got.
fn spread(slowness: f64, requests: u32) -> [u32; 2] {
    let registry = Box::leak(Box::new(engines(2)));
    let mut running = [0; 2];
    for request in 0..requests {
        let candidates = registry.iter().enumerate().map(|(n, upstream)| Candidate {
            upstream,
            load: UpstreamLoad {
                running: running[n],
                prompt_tokens: u64::from(running[n]) * 700,
                ..UpstreamLoad::default()
            },
            slowness: if n == 1 { slowness } else { 1.0 },
            kv_wait_ms: 0.0,
        });
        let chosen = choose(candidates, u64::from(request));
        running[usize::from(&*chosen == "e1")] += 1;
    }
    running
}

/// Guards against equal shares for engines of different speeds, and against an idle slow engine that
/// is chosen like an idle fast one.
#[test]
fn engines_get_requests_in_proportion_to_their_speed() {
    assert_eq!(spread(1.0, 24), [12, 12]);
    assert_eq!(spread(2.0, 1), [1, 0]);
    let [mean, slow] = spread(2.0, 24);
    assert!((15..=17).contains(&mean), "{mean} and {slow}");
    let [mean, fast] = spread(0.5, 24);
    assert!((7..=9).contains(&mean), "{mean} and {fast}");
}

/// Guards against a request that waits for KV cache while another engine has space.
#[test]
fn engine_with_full_kv_cache_costs_the_wait_for_it() {
    let registry = Box::leak(Box::new(engines(2)));
    let kv_wait_ms = Occupancy::default().kv_wait_ms(100_000, 98_000, 10_000);
    assert!((80.0..84.0).contains(&kv_wait_ms), "{kv_wait_ms}");
    for seed in 0..10 {
        let candidates = registry.iter().enumerate().map(|(n, upstream)| Candidate {
            kv_wait_ms: if n == 0 { kv_wait_ms } else { 0.0 },
            ..Candidate::from((upstream, UpstreamLoad::default()))
        });
        assert_eq!(&*choose(candidates, seed), "e1");
    }
}

/// Guards against a cost where the size of the cache is not stated or has space, and against one
/// request that states an absurd length.
#[test]
fn kv_wait_is_bounded() {
    let occupancy = Occupancy::default();
    assert_eq!(occupancy.kv_wait_ms(0, 98_000, 10_000), 0.0);
    assert_eq!(occupancy.kv_wait_ms(100_000, 90_000, 10_000), 0.0);
    assert_eq!(occupancy.kv_wait_ms(100_000, 0, u64::MAX), 0.0);
    assert_eq!(occupancy.kv_wait_ms(100_000, 100_000, u64::MAX), 1_000.0);
    let wait_ms = occupancy.kv_wait_ms(100_000, u64::MAX, u64::MAX);
    assert!(wait_ms.is_finite() && wait_ms > 0.0, "{wait_ms}");
}
