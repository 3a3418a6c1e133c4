//! Tests which adapters are loaded on which engine, and which are unloaded.

use super::*;

#[test]
fn an_adapter_is_loaded_beside_its_model_and_replaces_the_least_recently_requested() {
    let mut site = Site::new(spec(200.0, &[50.0]), &[&["m0"]]);
    for (n, name) in ["a0", "a1", "a2"].iter().enumerate() {
        let at = NOW - Millis(9_000) + Millis(n as u64 * 1_000);
        site.request(1, at, &[(adapter("m0", name), waiting(1))]);
        let planned = site.next(NOW).expect("a plan");
        assert_eq!(planned.model_ref, adapter("m0", name));
        let order = site.inventory.begin(
            NOW,
            &planned.engine,
            planned.action,
            planned.model_ref,
            None,
        );
        let order = order.expect("a known engine");
        site.inventory.record_answer(
            NOW,
            "e0",
            &order,
            OrderAnswer::Accepted,
            LoadTime::default(),
        );
    }
    site.request(1, NOW, &[(adapter("m0", "a3"), waiting(1))]);
    let planned = site.next(NOW).expect("a plan");
    assert_eq!(
        (planned.action, planned.model_ref),
        (Action::Unload, adapter("m0", "a0"))
    );
}

/// While the orderer is lost for some seconds, callers may request one adapter after the other.
#[test]
fn adapters_are_prefetched_into_free_slots() {
    let mut spec = spec(80_000.0, &[30_000.0, 30_000.0]);
    for (model, count) in [("m0", 5), ("m1", 2)] {
        let names = (1..=count).map(|n| Name::from(format!("a{n}")));
        spec.models[model].adapters = names.collect();
    }
    let mut site = Site::new(spec, &[&["m0"], &["m0"], &["m1"]]);
    let count = RequestCounts {
        asked: 1,
        ..RequestCounts::default()
    };
    site.request(1, NOW, &[(adapter("m0", "a4"), count)]);
    let first = site.next(NOW).expect("an order");
    assert_eq!(first.model_ref, adapter("m0", "a4"));
    let mut loaded = IndexSet::new();
    for step in 0..40 {
        let now = NOW + Millis(20 * step);
        while let Some(planned) = site.next(now) {
            assert_eq!(
                planned.action,
                Action::Load,
                "nothing is unloaded for a prefetch"
            );
            let PlannedOrder {
                engine, model_ref, ..
            } = planned;
            let order = site
                .inventory
                .begin(now, &engine, Action::Load, model_ref.clone(), None);
            let order = order.expect("a known engine");
            site.inventory.take_due_orders(now);
            let load = LoadTime::default();
            let answer = OrderAnswer::Accepted;
            site.inventory
                .record_answer(now, &engine, &order, answer, load);
            assert!(loaded.insert(model_ref), "each adapter is loaded once");
        }
    }
    // Each engine has three slots, of which one stays free: four of the five adapters of m0 and
    // both of m1 are loaded.
    assert_eq!(loaded.len(), 6);
    for engine in site.inventory.iter() {
        assert!(engine.adapters.len() <= 2);
    }
}

/// Regression test: an adapter counted as available because an engine that is leaving holds it.
#[test]
fn an_adapter_that_only_a_leaving_engine_holds_is_loaded_on_another() {
    let mut site = Site::new(spec(200.0, &[50.0]), &[&["m0"], &["m0"]]);
    let requested = adapter("m0", "a0");
    let order = site
        .inventory
        .begin(NOW, "e0", Action::Load, requested.clone(), None);
    let order = order.expect("a known engine");
    let (answer, load) = (OrderAnswer::Accepted, LoadTime::default());
    site.inventory
        .record_answer(NOW, "e0", &order, answer, load);
    site.request(1, NOW, &[(requested.clone(), waiting(1))]);
    assert_eq!(site.next(NOW), None, "the adapter is available");
    let leaving = IndexSet::from([Name::from("e0")]);
    let planner = planner(NOW, &site.spec, &site.inventory, &site.demand, &leaving);
    let planned = planner.next(&mut site.limiter).expect("callers wait");
    assert_eq!((planned.model_ref, &*planned.engine), (requested, "e1"));
}
