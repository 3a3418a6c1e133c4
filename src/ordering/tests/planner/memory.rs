//! Tests what is loaded into free memory, and what is unloaded for a requested model.

use super::*;

#[test]
fn free_memory_is_filled_with_each_model_once_before_requests() {
    let mut site = Site::new(
        spec(100.0, &[50.0, 50.0, 50.0]),
        &[&["m0"], &["m0"], &["m0"]],
    );
    let planned = site.plan_all();
    let loaded: IndexSet<Name> = planned
        .iter()
        .map(|planned| planned.model_ref.model.clone())
        .collect();
    assert_eq!(planned.len(), 2);
    assert_eq!(loaded.len(), 2);
}

#[test]
fn a_burst_of_requests_at_many_hosts_loads_a_model_once() {
    let mut site = Site::new(spec(100.0, &[50.0, 60.0]), &[&["m0"], &["m0"], &["m0"]]);
    for host in 0..8 {
        site.request(host, NOW, &[(model("m1"), waiting(1))]);
    }
    let planned = site.plan_all();
    let orders: Vec<_> = planned
        .iter()
        .map(|planned| (planned.action, &*planned.model_ref.model))
        .collect();
    assert_eq!(orders, [(Action::Unload, "m0")]);
    assert_eq!(planned[0].freed_for.as_deref(), Some("m1"));
}

#[test]
fn a_model_in_use_is_not_unloaded_for_a_requested_one() {
    let mut site = Site::new(spec(60.0, &[50.0, 50.0]), &[&["m0"]]);
    let running = RequestCounts {
        running: 2,
        ..waiting(0)
    };
    site.request(1, NOW, &[(model("m0"), running), (model("m1"), waiting(3))]);
    assert_eq!(site.next(NOW), None);
}

#[test]
fn the_model_with_the_least_demand_is_unloaded() {
    let mut site = Site::new(spec(60.0, &[50.0, 50.0, 50.0]), &[&["m0"], &["m1"]]);
    site.request(
        1,
        NOW - Millis(3_000),
        &[(
            model("m0"),
            RequestCounts {
                waiting: 0,
                ..waiting(9)
            },
        )],
    );
    site.request(
        1,
        NOW - Millis(3_000),
        &[(
            model("m1"),
            RequestCounts {
                waiting: 0,
                ..waiting(1)
            },
        )],
    );
    site.request(1, NOW, &[(model("m2"), waiting(1))]);
    let planned = site.next(NOW).expect("a plan");
    assert_eq!(
        (planned.action, &*planned.model_ref.model),
        (Action::Unload, "m1")
    );
}

/// Many models take turns on one engine, whose disk caches the weights of a few.
#[test]
fn weights_that_an_engine_evicted_are_loaded_from_the_store() {
    let mut site = Site::new(spec(40_000.0, &[30_000.0, 30_000.0]), &[&["m0"], &[]]);
    let report = |order_count: u64, at_hand: &[&str]| EngineReport {
        order_count,
        at_hand: Some(at_hand.iter().map(|name| Name::from(*name)).collect()),
        ..EngineReport::default()
    };
    let e1: Name = "e1".into();
    site.inventory
        .record_report(NOW, &e1, Some(report(1, &["m1"])));
    site.request(1, NOW, &[(model("m1"), waiting(1))]);
    let planned = site.next(NOW).expect("an order");
    let load = |site: &Site| {
        load_time(
            &site.spec,
            &site.inventory,
            &planned.engine,
            &planned.model_ref,
        )
    };
    assert!(!load(&site).from_store);
    site.inventory.record_report(NOW, &e1, Some(report(2, &[])));
    assert!(load(&site).from_store);
}

/// Regression test: a crash took the only copy of a model although there was memory for many.
#[test]
fn with_ample_memory_each_model_is_on_two_engines() {
    let (busy, seldom): (&[&str], &[&str]) = (&["m0"], &["m1"]);
    let held: Vec<&[&str]> = std::iter::repeat_n(busy, 31).chain([seldom]).collect();
    let mut site = Site::new(spec(100.0, &[100.0, 100.0]), &held);
    let planned = site.plan_all();
    let unloaded: Vec<&ModelRef> = planned
        .iter()
        .filter(|planned| planned.action == Action::Unload)
        .map(|planned| &planned.model_ref)
        .collect();
    assert_eq!(
        unloaded,
        [&model("m0")],
        "a surplus copy is unloaded to make room for a second copy"
    );
    assert_eq!(planned[0].freed_for.as_deref(), Some("m1"));
}

#[test]
fn without_ample_memory_nothing_is_unloaded_for_a_second_copy() {
    let held: Vec<&[&str]> = vec![&["m0"], &["m0"], &["m0"], &["m1"]];
    let mut site = Site::new(spec(100.0, &[100.0, 100.0]), &held);
    assert_eq!(site.plan_all(), []);
}

/// Regression test: models without requests that could not be placed kept a requested model from
/// getting another copy.
#[test]
fn models_without_requests_do_not_block_requested_ones() {
    let (busy, seldom, none): (&[&str], &[&str], &[&str]) = (&["m0"], &["m1"], &[]);
    let held = std::iter::repeat_n(busy, 130).chain([seldom, none]);
    let held: Vec<&[&str]> = held.collect();
    let mut site = Site::new(spec(100.0, &[100.0; 8]), &held);
    site.set_cached(131, "m1");
    // The weight store admits no load now, so the six models that are on no engine cannot be
    // loaded.
    site.limiter = StoreLoadLimiter::new(NOW, None);
    let count = RequestCounts {
        asked: 100,
        tokens: 900_000,
        ..RequestCounts::default()
    };
    site.request(1, NOW, &[(model("m1"), count)]);
    let planned = site.next(NOW).expect("its weights are cached");
    assert_eq!((planned.model_ref, &*planned.engine), (model("m1"), "e131"));
}

/// Regression test: a model was loaded from the weight store because the engine that caches its
/// weights was not among the compared candidates.
#[test]
fn at_a_large_site_a_model_is_loaded_where_its_weights_are_cached() {
    let none: &[&str] = &[];
    let mut site = Site::new(spec(100.0, &[100.0, 100.0]), &[none; 1_500]);
    site.set_cached(900, "m1");
    site.request(1, NOW, &[(model("m1"), waiting(1))]);
    for later in 0..20 {
        let planned = site.next(NOW + Millis(later)).expect("callers wait");
        assert_eq!((planned.model_ref, &*planned.engine), (model("m1"), "e900"));
    }
}
