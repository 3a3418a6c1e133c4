//! How many engines hold a model, and which copy makes way.

use super::*;

#[test]
fn a_busy_model_gets_more_engines() {
    let mut site = Site::new(spec(100.0, &[34_000.0]), &[&["m0"], &[], &[], &[]]);
    site.spec.weights_mb = 40_000.0;
    for step in 0..20 {
        let at = NOW - Millis(100 * (20 - step));
        let count = AskCount {
            asked: 1,
            long: 0,
            waiting: 0,
            running: 3,
            tokens: 6_000,
        };
        site.ask(1, at, &[(model("m0"), count)]);
    }
    let planned = site.plan_all();
    assert_eq!(planned.len(), 1, "half of the engines at most");
    assert!(planned.iter().all(|planned| planned.action == Action::Load));
}

#[test]
fn a_copy_at_an_engine_that_runs_requests_does_not_make_way() {
    let spec = spec(60.0, &[50.0, 50.0]);
    let mut site = Site::new(spec, &[&["m0"], &["m0"], &["m0"]]);
    let running = AskCount {
        running: 9,
        ..waiting(0)
    };
    let work = |engine: &str| {
        let work = UpstreamLoad {
            running: 3,
            ..UpstreamLoad::default()
        };
        (Name::from(engine), work)
    };
    let at_work = vec![work("e0"), work("e1"), work("e2")];
    let demand = vec![(model("m0"), running), (model("m1"), waiting(3))];
    site.tell(1, NOW, demand.clone(), at_work);
    assert_eq!(site.next(NOW), None);
    site.tell(1, NOW, demand, vec![work("e0"), work("e2")]);
    let planned = site.next(NOW).expect("a plan");
    assert_eq!((planned.action, &*planned.engine), (Action::Unload, "e1"));
}

/// The pattern: one busy model of which the answers keep slots for seconds, with prompts that are read quickly. Counted at
/// a site of 24 slots an engine: 150 requests under way at five engines, half of their first events late.
#[test]
fn a_model_gets_copies_for_the_slots_that_its_requests_keep() {
    let copies = |running| {
        let mut engines: [&[&str]; 10] = [&[]; 10];
        engines[0] = &["m0"];
        let mut site = Site::new(spec(60.0, &[50.0]), &engines);
        site.spec.slots = 24;
        (1..10).for_each(|engine| site.has_at_hand(engine, "m0"));
        let busy = AskCount {
            asked: 10,
            running,
            ..waiting(0)
        };
        site.ask(1, NOW, &[(model("m0"), busy)]);
        1 + site.plan_all().len()
    };
    // Slots are filled to 0.6, and half of the engines get copies of one model at most.
    assert_eq!(copies(14), 1);
    assert_eq!(copies(15), 2);
    assert_eq!(copies(50), 4);
    assert_eq!(copies(500), 5);
}

/// The pattern: busy models change every few seconds, and the engines of formerly busy ones never stand still, since they
/// run other models' requests.
#[test]
fn a_copy_beyond_what_its_demand_needs_makes_way_for_a_busier_model() {
    let engines: [&[&str]; 4] = [&["m0", "m1"], &["m1"], &["m1"], &["m1"]];
    let mut site = Site::new(spec(110.0, &[50.0, 50.0, 50.0]), &engines);
    site.spec.slots = 24;
    let counts = |running| AskCount {
        asked: 3,
        running,
        ..waiting(0)
    };
    // Every engine runs something for the model that is fading.
    let work = |n: usize| {
        let work = UpstreamLoad {
            running: 1,
            ..UpstreamLoad::default()
        };
        (Name::from(format!("e{n}")), work)
    };
    let demand = vec![(model("m0"), counts(40)), (model("m1"), counts(4))];
    site.tell(1, NOW, demand, (0..4).map(work).collect());
    site.spec.weights_mb = 60.0;
    let planned = site.next(NOW).expect("an order");
    assert_eq!((planned.action, planned.ask), (Action::Unload, model("m1")));
    assert_eq!(planned.makes_way_for.as_deref(), Some("m0"));
}

/// One more copy of a busy model at an engine whose slots are taken would help nobody.
#[test]
fn an_extra_copy_goes_to_an_engine_with_free_slots() {
    let engines: [&[&str]; 4] = [&["m0"], &["m1"], &["m1"], &["m1"]];
    let mut site = Site::new(spec(110.0, &[50.0, 50.0]), &engines);
    site.spec.slots = 24;
    let counts = |running| AskCount {
        asked: 3,
        running,
        ..waiting(0)
    };
    let work = |n: usize, running| {
        let work = UpstreamLoad {
            running,
            ..UpstreamLoad::default()
        };
        (Name::from(format!("e{n}")), work)
    };
    let demand = vec![(model("m0"), counts(20)), (model("m1"), counts(22))];
    let used = vec![work(0, 20), work(1, 22), work(2, 0), work(3, 22)];
    site.tell(1, NOW, demand, used);
    let planned = site.next(NOW).expect("an order");
    assert_eq!((planned.action, planned.ask), (Action::Load, model("m0")));
    assert_eq!(&*planned.engine, "e2");
}

/// Answers a model that becomes busy within a second while much memory is free: prompts of 9,000 tokens that meet at its
/// few copies hold up every stream there. What is asked for is reading 6% of an engine's time, far below the share
/// for which another model would have to make way.
#[test]
fn a_model_in_demand_gets_a_copy_in_free_memory_where_its_weights_are_at_hand() {
    let engines: [&[&str]; 3] = [&["m0"], &[], &[]];
    let mut site = Site::new(spec(110.0, &[50.0]), &engines);
    site.spec.models["m0"].weights_mb = 34_000.0;
    site.spec.weights_mb = 83_000.0;
    site.has_at_hand(2, "m0");
    let demand = AskCount {
        asked: 2,
        tokens: 18_000,
        running: 2,
        ..waiting(0)
    };
    site.ask(1, NOW, &[(model("m0"), demand)]);
    let planned = site.next(NOW).expect("an order");
    assert_eq!((planned.action, planned.ask), (Action::Load, model("m0")));
    assert_eq!(
        &*planned.engine, "e2",
        "the weight store is not used for it"
    );
    assert_eq!(site.plan_all().len(), 1);
}

/// An engine that reads as much for another model would only move the wait.
#[test]
fn a_copy_in_free_memory_does_not_go_to_an_engine_that_is_as_busy() {
    let engines: [&[&str]; 2] = [&["m0"], &["m1"]];
    let mut site = Site::new(spec(110.0, &[50.0, 50.0]), &engines);
    for name in ["m0", "m1"] {
        site.spec.models[name].weights_mb = 34_000.0;
    }
    site.spec.weights_mb = 83_000.0;
    let report = EngineReport {
        models: vec![HeldModel {
            name: "m1".into(),
            adapters: Vec::new(),
        }],
        at_hand: Some(vec!["m0".into(), "m1".into()]),
        ..EngineReport::default()
    };
    site.ledger.take_report(NOW, "e1", Some(report));
    let demand = |tokens| AskCount {
        asked: 2,
        tokens,
        running: 2,
        ..waiting(0)
    };
    site.ask(
        1,
        NOW,
        &[(model("m0"), demand(18_000)), (model("m1"), demand(19_000))],
    );
    assert_eq!(site.next(NOW), None);
    let mut later = Site::new(site.spec.clone(), &engines);
    later.ledger = site.ledger.clone();
    later.ask(
        1,
        NOW,
        &[(model("m0"), demand(18_000)), (model("m1"), demand(900))],
    );
    let planned = later.next(NOW).expect("an order");
    assert_eq!(&*planned.engine, "e1");
}
