//! In which time a desired state reaches every host that reaches one which reads it, whichever hosts
//! the store turns away, stand still or reach each other.

use mangovale::prelude::*;
use mangovale_bench::fleet::spreading::{Impaired, Way, measure};
use mangovale_bench::fleet::world::World;
use mangovale_bench::fleet::{Size, exponent};

const SMALL: usize = 7;
const MEDIUM: usize = 86;
const LARGE: usize = 985;

/// Draws who is impaired. One host at least reads the store, runs and is not apart.
fn draw(hosts: usize, random: &mut fastrand::Rng) -> Impaired {
    let mut share = |most: f64| {
        let share = random.f64() * most;
        let drawn = (0..hosts).filter(|_| random.f64() < share);
        drawn.collect::<IndexSet<usize>>()
    };
    let (mut refused, mut frozen, mut apart) = (share(1.0), share(0.1), share(0.3));
    let reader = random.usize(0..hosts);
    for set in [&mut refused, &mut frozen, &mut apart] {
        set.swap_remove(&reader);
    }
    match random.u8(0..4) {
        0 => drop(refused.insert(0)),
        1 if reader != 0 => drop(frozen.insert(0)),
        2 => apart.clear(),
        _ => {}
    }
    if random.bool() {
        frozen.clear();
    }
    Impaired {
        refused,
        frozen,
        apart,
    }
}

fn check(hosts: usize, seeds: u64, bound_ms: Millis) {
    let world = World::new(Size {
        hosts,
        engines: 10,
        models: 10,
    });
    for seed in 0..seeds {
        let impaired = draw(hosts, &mut fastrand::Rng::with_seed(seed));
        let spread = measure(&world, &impaired, Way::BothWays, seed);
        assert_eq!(
            spread.lacking, 0,
            "{hosts} hosts, seed {seed}: {impaired:?}"
        );
        assert!(
            spread.last_ms <= bound_ms,
            "{hosts} hosts, seed {seed}: {} of {bound_ms}, {impaired:?}",
            spread.last_ms
        );
    }
}

#[test]
fn every_host_has_the_newest_desired_state_in_time_at_7_hosts() {
    check(SMALL, 400, Millis(1_000));
}

#[test]
fn every_host_has_the_newest_desired_state_in_time_at_86_hosts() {
    check(MEDIUM, 100, Millis(1_000));
}

#[test]
fn every_host_has_the_newest_desired_state_in_time_at_985_hosts() {
    check(LARGE, 6, Millis(2_000));
}

/// Guards against an exchange of versions that costs calls while all is well.
#[test]
fn no_host_fetches_a_state_beside_the_relays_while_the_store_answers_all() {
    let of = |hosts| World::new(Size::of_hosts(hosts));
    let calls = |world: &World| {
        let spread = measure(world, &Impaired::default(), Way::BothWays, 1);
        assert_eq!(spread.lacking, 0);
        spread.calls as f64
    };
    assert_eq!(calls(&of(SMALL)), 0.0);
    let growth = exponent((MEDIUM, calls(&of(MEDIUM))), (480, calls(&of(480))));
    assert!(
        growth <= 1.1,
        "calls grow with the hosts to the power of {growth}"
    );
}
