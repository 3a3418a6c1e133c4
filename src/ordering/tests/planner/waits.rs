//! Tests the predictions of when a model or adapter is ready.

use super::*;

#[test]
fn the_prediction_includes_the_queue_at_the_weight_store() {
    let mut site = Site::new(spec(80_000.0, &[30_000.0, 30_000.0]), &[&[], &[]]);
    let counts = [(model("m0"), waiting(5)), (model("m1"), waiting(1))];
    site.request(1, NOW, &counts);
    let ready_in = |site: &Site, now: Millis, name: &str| {
        let ready = site.ready_in_ms(now, TIMING);
        let found = ready.into_iter().find(|(ask, _)| *ask == model(name));
        found.expect("callers wait for the model").1
    };
    let load_ms = site.spec.models["m0"].load_ms;
    let alone_ms = ready_in(&site, NOW, "m0");
    assert!(alone_ms >= load_ms && alone_ms < load_ms + Millis(500));
    assert!(ready_in(&site, NOW, "m1") >= load_ms + load_ms);
}

#[test]
fn an_overdue_load_is_not_predicted_to_be_ready_immediately() {
    let mut site = Site::new(spec(80_000.0, &[30_000.0, 30_000.0]), &[&[]]);
    site.request(1, NOW, &[(model("m0"), waiting(1))]);
    site.plan_all();
    let now = NOW + Millis(20_000);
    site.request(1, now, &[(model("m0"), waiting(1))]);
    let ready = site.ready_in_ms(now, TIMING);
    assert!(ready[0].1 >= Millis(4_000), "{ready:?}");
}

#[test]
fn the_prediction_includes_the_wait_of_a_new_orderer_and_is_absent_before_engines_report() {
    let mut site = Site::new(spec(80_000.0, &[30_000.0]), &[&["m0"]]);
    site.request(1, NOW, &[(adapter("m0", "a1"), waiting(1))]);
    let timing = OrderTiming {
        orders_in_ms: Millis(2_500),
        ..TIMING
    };
    let ready = |site: &Site| site.ready_in_ms(NOW, timing);
    assert_eq!(ready(&site), [(adapter("m0", "a1"), Millis(2_500))]);
    site.inventory = EngineInventory::default();
    let unknown = [(unknown_start("e0".into()), Name::from("s"))];
    site.inventory.set_engines(NOW, unknown.into_iter());
    assert!(ready(&site).is_empty());
}

/// An order without an answer may start a load from the weight store now or later, so it counts as
/// a running load.
#[test]
fn a_load_whose_order_got_no_answer_counts_as_running() {
    let mut site = Site::new(spec(40_000.0, &[30_000.0]), &[&[]]);
    let order = site
        .inventory
        .begin(NOW, "e0", Action::Load, model("m0"), None);
    let order = order.expect("a known engine");
    site.inventory.take_due_orders(NOW);
    let silent = OrderAnswer::Silent;
    site.inventory
        .record_answer(NOW, "e0", &order, silent, LoadTime::default());
    assert_eq!(site.inventory.store_loads(), 1);
}

/// Guards against a caller that is told to wait for a load which no engine may start before a former
/// holder's late orders are over.
#[test]
fn the_prediction_includes_the_wait_for_a_former_holders_orders_to_earlier_starts() {
    let mut site = Site::new(spec(80_000.0, &[30_000.0]), &[]);
    site.inventory.expect_former_orders(NOW, Millis(3_000));
    for born_at in [NOW - Millis(60_000), NOW] {
        let lifetime = Lifetime {
            id: "e0".into(),
            born_at,
        };
        let engines = [(lifetime, Name::from("s"))];
        site.inventory.set_engines(NOW, engines.into_iter());
    }
    let report = EngineReport {
        born_at: NOW,
        ..EngineReport::default()
    };
    site.inventory.record_report(NOW, "e0", Some(report));
    site.request(1, NOW, &[(model("m0"), waiting(1))]);
    let [(_, in_ms)] = site.ready_in_ms(NOW, TIMING)[..] else {
        panic!("a prediction for the only model");
    };
    assert!(in_ms >= Millis(12_000) + site.spec.models["m0"].load_ms);
}
