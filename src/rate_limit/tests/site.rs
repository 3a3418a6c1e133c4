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
const NORMAL: f64 = 0.55;
/// Demand of an overloading organisation, as a multiple of the limit.
const OVERLOAD: f64 = 4.2;
const SEEDS: std::ops::Range<u64> = 0..20;

/// Simulates a site for each limit and seed, and checks that no window exceeds its bound.
fn check(simulate: impl Fn(&mut Model)) -> Vec<Model> {
    let mut models = Vec::new();
    for per_s in [SMALL, LARGE] {
        for seed in SEEDS {
            let mut model = Model::new(per_s, seed);
            simulate(&mut model);
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
fn normal_demand_is_admitted() {
    let models = check(|model| model.run(30_000, NORMAL));
    for (name, models) in [("small", &models[..20]), ("large", &models[20..])] {
        let served = served(models);
        assert!(served > 0.97, "{name}: {served}");
    }
}

#[test]
fn overloading_organisation_gets_its_limit_and_no_more() {
    let models = check(|model| {
        model.run(8_000, NORMAL);
        model.run(20_000, OVERLOAD);
    });
    for model in models {
        let allowed = model.limit_per_s() * (8.0 * NORMAL + 20.0);
        let admitted = model.admitted / allowed;
        assert!(admitted > 0.9, "{admitted}");
    }
}

#[test]
fn overloading_organisation_gets_large_requests_admitted_as_often_as_small_ones() {
    let models = check(|model| model.run(20_000, OVERLOAD));
    let sum = |count: fn(&Model) -> u32| f64::from(models.iter().map(count).sum::<u32>());
    let all = sum(|model| model.requests - model.refused) / sum(|model| model.requests);
    let large = sum(|model| model.large_admitted) / sum(|model| model.large_requests);
    assert!(large > all * 0.9, "large: {large}, all: {all}");
}

#[test]
fn disconnected_hosts_keep_the_bound() {
    check(|model| {
        model.run(8_000, NORMAL);
        model.disconnect(3);
        model.run(12_000, OVERLOAD);
        model.reconnect();
        model.run(8_000, OVERLOAD);
    });
}

#[test]
fn partitions_that_count_separately_keep_the_bound() {
    check(|model| {
        model.run(8_000, NORMAL);
        model.split(3);
        model.run(1_200, NORMAL);
        model.run(800, OVERLOAD);
        model.orderer = None;
        model.run(2_000, OVERLOAD);
        model.orderer = Some(61);
        model.run(8_000, OVERLOAD);
        model.reconnect();
        model.run(8_000, OVERLOAD);
    });
}

#[test]
fn overload_before_a_partition_keeps_the_bound() {
    check(|model| {
        model.run(12_000, OVERLOAD);
        model.disconnect(2);
        model.run(12_000, OVERLOAD);
    });
}

#[test]
fn without_an_orderer_the_bound_holds_and_most_normal_demand_is_admitted() {
    check(|model| {
        model.run(8_000, NORMAL);
        model.orderer = None;
        model.run(6_000, OVERLOAD);
        model.orderer = Some(3);
        model.run(8_000, OVERLOAD);
    });
    let models = check(|model| {
        model.run(2_000, NORMAL);
        model.orderer = None;
        model.run(6_000, NORMAL);
        model.orderer = Some(3);
        model.run(4_000, NORMAL);
    });
    assert!(served(&models[20..]) > 0.9, "{}", served(&models[20..]));
    assert!(served(&models[..20]) > 0.6, "{}", served(&models[..20]));
}

#[test]
fn restart_of_all_hosts_admits_nothing_twice() {
    check(|model| {
        model.run(8_000, OVERLOAD);
        model.kill_all();
        model.run(5_000, OVERLOAD);
        model.orderer = Some(2);
        model.run(8_000, OVERLOAD);
    });
}

#[test]
fn restart_of_all_hosts_admits_most_normal_demand() {
    let models = check(|model| {
        model.run(2_000, NORMAL);
        model.kill_all();
        model.run(5_000, NORMAL);
        model.orderer = Some(2);
        model.run(3_000, NORMAL);
    });
    assert!(served(&models[20..]) > 0.9, "{}", served(&models[20..]));
    assert!(served(&models[..20]) > 0.6, "{}", served(&models[..20]));
}

#[test]
fn any_sequence_of_faults_keeps_the_bound() {
    for per_s in [SMALL, LARGE] {
        for seed in 100..130 {
            let mut random = fastrand::Rng::with_seed(seed);
            let mut model = Model::new(per_s, seed);
            for _ in 0..8 {
                match random.u32(0..7) {
                    0 => model.disconnect(random.usize(2..6)),
                    6 => model.split(random.usize(2..6)),
                    1 => model.reconnect(),
                    2 => model.orderer = None,
                    3 => model.kill_all(),
                    _ => model.orderer = Some(random.usize(0..68)),
                }
                model.run(
                    random.u64(500..6_000),
                    [NORMAL, 1.0, OVERLOAD][random.usize(0..3)],
                );
            }
            model.check(&format!("{per_s} a second, seed {seed}"));
        }
    }
}
