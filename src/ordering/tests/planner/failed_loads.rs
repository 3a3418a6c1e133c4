//! Tests how often a model is loaded that crashes each engine which loads it.

use super::*;

const ENGINES: usize = 30;

/// Asks for a model for a minute, with an order each second at most. Each engine that loads it ends
/// the load after a second, with a crash if `crashes` says so for the number of the load. Returns how
/// many loads there were.
fn loads_in_a_minute(crashes: impl Fn(usize) -> bool) -> usize {
    let models: [&[&str]; ENGINES] = [&[]; ENGINES];
    let mut site = Site::new(spec(60.0, &[50.0]), &models);
    let mut listed: IndexSet<usize> = (0..ENGINES).collect();
    let mut loads = 0;
    for second in 0..60 {
        let now = NOW + Millis(1_000 * second);
        site.request(1, now, &[(model("m0"), waiting(1))]);
        let Some(planned) = site.next(now) else {
            continue;
        };
        assert_eq!(planned.action, Action::Load);
        let engine = planned.engine.clone();
        let order = site
            .inventory
            .begin(now, &engine, planned.action, planned.model_ref, None);
        let order = order.expect("a known engine");
        site.inventory.take_due_orders(now);
        let load = LoadTime {
            takes_ms: Millis(6_000),
            from_store: true,
        };
        site.inventory
            .record_answer(now, &engine, &order, OrderAnswer::Accepted, load);
        loads += 1;
        if !crashes(loads) {
            return loads;
        }
        listed.retain(|n| format!("e{n}") != *engine);
        let left = listed.iter().map(|n| Name::from(format!("e{n}")));
        let left = left.map(|id| (unknown_start(id), Name::from("s")));
        site.inventory.set_engines(now, left);
    }
    loads
}

// Guards against a model that crashes each engine which loads it being loaded at the next one, and
// the next.
#[test]
fn a_model_that_crashes_each_engine_which_loads_it_is_loaded_ever_less_often() {
    let loads = loads_in_a_minute(|_| true);
    assert!((3..=6).contains(&loads), "{loads} engines crashed");
}

#[test]
fn a_model_whose_load_ended_with_one_crash_is_loaded_again_at_once() {
    assert_eq!(loads_in_a_minute(|load| load < 3), 3);
}

// Guards against taking an order that no engine got for a load that crashed one.
#[test]
fn orders_that_another_process_answered_are_no_failed_loads() {
    let mut site = Site::new(spec(60.0, &[50.0]), &[&[], &[], &[], &[], &[]]);
    for step in 0..4 {
        let now = NOW + Millis(20 * step);
        site.request(1, now, &[(model("m0"), waiting(1))]);
        let planned = site.next(now).expect("the model is still loaded");
        let order = site.inventory.begin(
            now,
            &planned.engine,
            planned.action,
            planned.model_ref,
            None,
        );
        let order = order.expect("a known engine");
        site.inventory.take_due_orders(now);
        let (answer, load) = (OrderAnswer::OtherLifetime, LoadTime::default());
        site.inventory
            .record_answer(now, &planned.engine, &order, answer, load);
    }
    let now = NOW + Millis(100);
    assert!(site.next(now).is_some());
}

// Guards against one order after the other to a process that has an engine's address, while the list
// is not read any more, instead of loads elsewhere.
#[test]
fn a_model_is_loaded_elsewhere_while_another_process_answers_for_an_engine() {
    let mut site = Site::new(spec(60.0, &[50.0]), &[&[], &[]]);
    let listed = || ["e0", "e1"].map(|id| (unknown_start(id.into()), Name::from("s")));
    let mut ordered: Vec<Name> = Vec::new();
    for step in 0..20 {
        let now = NOW + Millis(20 * step);
        site.request(1, now, &[(model("m0"), waiting(1))]);
        site.inventory.set_engines(now, listed().into_iter());
        for id in ["e0", "e1"] {
            let report = EngineReport::default();
            site.inventory
                .record_report(now, &Name::from(id), Some(report));
        }
        let Some(planned) = site.next(now) else {
            continue;
        };
        let engine = planned.engine.clone();
        let order = site
            .inventory
            .begin(now, &engine, planned.action, planned.model_ref, None);
        let order = order.expect("a known engine");
        site.inventory.take_due_orders(now);
        let answer = OrderAnswer::OtherLifetime;
        site.inventory
            .record_answer(now, &engine, &order, answer, LoadTime::default());
        ordered.push(engine);
    }
    ordered.sort();
    assert_eq!(ordered, ["e0".into(), "e1".into()] as [Name; 2]);
}
