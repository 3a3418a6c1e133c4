//! Tests on simulated sites in which an organisation requests far more than its limit while hosts
//! are disconnected or restarted, or while there is no orderer.
//!
//! The limit is a few requests a second over dozens of hosts: no host's share holds a whole
//! request, and the other hosts learn late what one host has admitted.

use super::model::Model;

/// A limit of two long prompts a second over all hosts, and one of fifty, in tokens per second.
const SMALL: f64 = 18_000.0;
const LARGE: f64 = 450_000.0;
/// Normal demand, as a fraction of the limit.
const USUAL: f64 = 0.55;
/// Demand of an overloading organisation, as a multiple of the limit.
const HOT: f64 = 4.2;
const SEEDS: std::ops::Range<u64> = 0..20;

/// Simulates a site for each limit and seed, and checks that no window exceeds its bound.
fn check(play: impl Fn(&mut Model)) -> Vec<Model> {
    let mut models = Vec::new();
    for per_s in [SMALL, LARGE] {
        for seed in SEEDS {
            let mut model = Model::new(per_s, seed);
            play(&mut model);
            model.check(&format!("{per_s} a second, seed {seed}"));
            models.push(model);
        }
    }
    models
}

fn served(models: &[Model]) -> f64 {
    let (refused, requests) = models.iter().fold((0, 0), |(refused, requests), model| {
        (refused + model.refused, requests + model.requests)
    });
    1.0 - f64::from(refused) / f64::from(requests)
}

#[test]
fn usual_use_is_admitted() {
    let models = check(|model| model.run(30_000, USUAL));
    for (name, models) in [("small", &models[..20]), ("large", &models[20..])] {
        let served = served(models);
        assert!(served > 0.97, "{name}: {served}");
    }
}

#[test]
fn a_hot_organisation_gets_its_limit_and_no_more() {
    let models = check(|model| {
        model.run(8_000, USUAL);
        model.run(20_000, HOT);
    });
    for model in models {
        let allowed = model.limit_per_s() * (8.0 * USUAL + 20.0);
        let admitted = model.admitted / allowed;
        assert!(admitted > 0.9, "{admitted}");
    }
}

#[test]
fn a_hot_organisation_has_its_large_requests_served_as_often_as_its_small_ones() {
    let models = check(|model| model.run(20_000, HOT));
    let sum = |count: fn(&Model) -> u32| f64::from(models.iter().map(count).sum::<u32>());
    let all = sum(|model| model.requests - model.refused) / sum(|model| model.requests);
    let large = sum(|model| model.large_admitted) / sum(|model| model.large_requests);
    assert!(large > all * 0.9, "large: {large}, all: {all}");
}

#[test]
fn hosts_that_are_cut_off_keep_the_bound() {
    check(|model| {
        model.run(8_000, USUAL);
        model.cut(3);
        model.run(12_000, HOT);
        model.heal();
        model.run(8_000, HOT);
    });
}

#[test]
fn two_parts_of_a_site_that_each_add_up_keep_the_bound() {
    check(|model| {
        model.run(8_000, USUAL);
        model.split(3);
        model.run(1_200, USUAL);
        model.run(800, HOT);
        model.orderer = None;
        model.run(2_000, HOT);
        model.orderer = Some(61);
        model.run(8_000, HOT);
        model.heal();
        model.run(8_000, HOT);
    });
}

#[test]
fn an_organisation_that_is_hot_before_a_cut_keeps_the_bound() {
    check(|model| {
        model.run(12_000, HOT);
        model.cut(2);
        model.run(12_000, HOT);
    });
}

#[test]
fn while_nobody_orders_the_bound_holds_and_usual_use_is_mostly_admitted() {
    check(|model| {
        model.run(8_000, USUAL);
        model.orderer = None;
        model.run(6_000, HOT);
        model.orderer = Some(3);
        model.run(8_000, HOT);
    });
    let models = check(|model| {
        model.run(2_000, USUAL);
        model.orderer = None;
        model.run(6_000, USUAL);
        model.orderer = Some(3);
        model.run(4_000, USUAL);
    });
    assert!(served(&models[20..]) > 0.9, "{}", served(&models[20..]));
    assert!(served(&models[..20]) > 0.6, "{}", served(&models[..20]));
}

#[test]
fn after_all_were_killed_nothing_is_given_out_twice() {
    check(|model| {
        model.run(8_000, HOT);
        model.kill_all();
        model.run(5_000, HOT);
        model.orderer = Some(2);
        model.run(8_000, HOT);
    });
}

#[test]
fn after_all_were_killed_usual_use_is_mostly_admitted() {
    let models = check(|model| {
        model.run(2_000, USUAL);
        model.kill_all();
        model.run(5_000, USUAL);
        model.orderer = Some(2);
        model.run(3_000, USUAL);
    });
    assert!(served(&models[20..]) > 0.9, "{}", served(&models[20..]));
    assert!(served(&models[..20]) > 0.6, "{}", served(&models[..20]));
}

#[test]
fn any_sequence_of_cuts_kills_and_lost_orderers_keeps_the_bound() {
    for per_s in [SMALL, LARGE] {
        for seed in 100..130 {
            let mut random = fastrand::Rng::with_seed(seed);
            let mut model = Model::new(per_s, seed);
            for _ in 0..8 {
                match random.u32(0..7) {
                    0 => model.cut(random.usize(2..6)),
                    6 => model.split(random.usize(2..6)),
                    1 => model.heal(),
                    2 => model.orderer = None,
                    3 => model.kill_all(),
                    _ => model.orderer = Some(random.usize(0..68)),
                }
                model.run(
                    random.u64(500..6_000),
                    [USUAL, 1.0, HOT][random.usize(0..3)],
                );
            }
            model.check(&format!("{per_s} a second, seed {seed}"));
        }
    }
}
