//! Tests how many engines hold a model, and which copy is unloaded.

use super::*;

#[test]
fn a_busy_model_gets_more_copies() {
    let mut site = Site::new(spec(100.0, &[34_000.0]), &[&["m0"], &[], &[], &[]]);
    site.spec.weights_mb = 40_000.0;
    for step in 0..20 {
        let at = NOW - Millis(100 * (20 - step));
        let count = RequestCounts {
            asked: 1,
            long: 0,
            waiting: 0,
            running: 3,
            tokens: 6_000,
        };
        site.request(1, at, &[(model("m0"), count)]);
    }
    let planned = site.plan_all();
    assert_eq!(planned.len(), 1, "at most half of the engines");
    assert!(planned.iter().all(|planned| planned.action == Action::Load));
}

#[test]
fn a_copy_is_not_unloaded_from_an_engine_that_runs_requests() {
    let spec = spec(60.0, &[50.0, 50.0]);
    let mut site = Site::new(spec, &[&["m0"], &["m0"], &["m0"]]);
    let running = RequestCounts {
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
    site.report(1, NOW, demand.clone(), at_work);
    assert_eq!(site.next(NOW), None);
    site.report(1, NOW, demand, vec![work("e0"), work("e2")]);
    let planned = site.next(NOW).expect("a plan");
    assert_eq!((planned.action, &*planned.engine), (Action::Unload, "e1"));
}

/// Regression test: the answers of one busy model occupy slots for seconds, while its prompts are
/// read quickly. With 24 slots per engine, 150 requests running on five engines had half of their
/// first events late.
#[test]
fn a_model_gets_copies_for_the_slots_that_its_requests_occupy() {
    let copies = |running| {
        let mut engines: [&[&str]; 10] = [&[]; 10];
        engines[0] = &["m0"];
        let mut site = Site::new(spec(60.0, &[50.0]), &engines);
        site.spec.slots = 24;
        (1..10).for_each(|engine| site.set_cached(engine, "m0"));
        let busy = RequestCounts {
            asked: 10,
            running,
            ..waiting(0)
        };
        site.request(1, NOW, &[(model("m0"), busy)]);
        1 + site.plan_all().len()
    };
    // Slots are used up to a fraction of 0.6, and at most half of the engines get copies of one
    // model.
    assert_eq!(copies(14), 1);
    assert_eq!(copies(15), 2);
    assert_eq!(copies(50), 4);
    assert_eq!(copies(500), 5);
}

/// Regression test: copies of formerly busy models were never unloaded. Busy models change every
/// few seconds, and the engines of formerly busy models are never idle, because they run requests
/// of other models.
#[test]
fn a_copy_that_its_demand_does_not_need_is_unloaded_for_a_busier_model() {
    let engines: [&[&str]; 4] = [&["m0", "m1"], &["m1"], &["m1"], &["m1"]];
    let mut site = Site::new(spec(110.0, &[50.0, 50.0, 50.0]), &engines);
    site.spec.slots = 24;
    let counts = |running| RequestCounts {
        asked: 3,
        running,
        ..waiting(0)
    };
    // Every engine runs a request of the model with declining demand.
    let work = |n: usize| {
        let work = UpstreamLoad {
            running: 1,
            ..UpstreamLoad::default()
        };
        (Name::from(format!("e{n}")), work)
    };
    let demand = vec![(model("m0"), counts(40)), (model("m1"), counts(4))];
    site.report(1, NOW, demand, (0..4).map(work).collect());
    site.spec.weights_mb = 60.0;
    let planned = site.next(NOW).expect("an order");
    assert_eq!(
        (planned.action, planned.model_ref),
        (Action::Unload, model("m1"))
    );
    assert_eq!(planned.freed_for.as_deref(), Some("m0"));
}

/// Another copy of a busy model does not help on an engine without free slots.
#[test]
fn another_copy_is_loaded_on_an_engine_with_free_slots() {
    let engines: [&[&str]; 4] = [&["m0"], &["m1"], &["m1"], &["m1"]];
    let mut site = Site::new(spec(110.0, &[50.0, 50.0]), &engines);
    site.spec.slots = 24;
    let counts = |running| RequestCounts {
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
    site.report(1, NOW, demand, used);
    let planned = site.next(NOW).expect("an order");
    assert_eq!(
        (planned.action, planned.model_ref),
        (Action::Load, model("m0"))
    );
    assert_eq!(&*planned.engine, "e2");
}

/// Regression test: a model gets busy within a second while much memory is free, and prompts of
/// 9,000 tokens that coincide on its few copies delay all streams there. The demand takes 6% of an
/// engine's time for reading, far below the fraction from which another model would be unloaded for
/// it.
#[test]
fn a_busy_model_gets_another_copy_in_free_memory_where_its_weights_are_cached() {
    let engines: [&[&str]; 3] = [&["m0"], &[], &[]];
    let mut site = Site::new(spec(110.0, &[50.0]), &engines);
    site.spec.models["m0"].weights_mb = 34_000.0;
    site.spec.weights_mb = 83_000.0;
    site.set_cached(2, "m0");
    let demand = RequestCounts {
        asked: 2,
        tokens: 18_000,
        running: 2,
        ..waiting(0)
    };
    site.request(1, NOW, &[(model("m0"), demand)]);
    let planned = site.next(NOW).expect("an order");
    assert_eq!(
        (planned.action, planned.model_ref),
        (Action::Load, model("m0"))
    );
    assert_eq!(
        &*planned.engine, "e2",
        "the weight store is not used for it"
    );
    assert_eq!(site.plan_all().len(), 1);
}

/// A copy on an engine that reads as many tokens for another model would not shorten any wait.
#[test]
fn no_copy_is_loaded_into_free_memory_of_an_equally_busy_engine() {
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
    site.inventory.record_report(NOW, "e1", Some(report));
    let demand = |tokens| RequestCounts {
        asked: 2,
        tokens,
        running: 2,
        ..waiting(0)
    };
    site.request(
        1,
        NOW,
        &[(model("m0"), demand(18_000)), (model("m1"), demand(19_000))],
    );
    assert_eq!(site.next(NOW), None);
    let mut later = Site::new(site.spec.clone(), &engines);
    later.inventory = site.inventory.clone();
    later.request(
        1,
        NOW,
        &[(model("m0"), demand(18_000)), (model("m1"), demand(900))],
    );
    let planned = later.next(NOW).expect("an order");
    assert_eq!(&*planned.engine, "e1");
}

// Guards against a model that is loaded where interrupted streams of it cannot go on, although an
// engine of their software version could take it.
#[test]
fn a_lost_model_is_loaded_at_an_engine_of_the_version_that_held_it() {
    for is_removed in [false, true] {
        for (versions, expected) in [(["v1", "v2", "v1"], "e2"), (["v2", "v2", "v1"], "e1")] {
            let mut site = Site::new(spec(60.0, &[50.0]), &[&["m0"], &[], &[]]);
            let entries = versions.iter().enumerate();
            let entry = |(n, version): (usize, &&str)| (format!("e{n}").into(), (*version).into());
            site.inventory.set_versions(entries.map(entry));
            for engine in [1, 2] {
                site.set_cached(engine, "m0");
            }
            site.request(1, NOW, &[(model("m0"), waiting(2))]);
            let mut excluded: IndexSet<Name> = ["e0".into()].into();
            if is_removed {
                let left = ["e1", "e2"].map(|id| (unknown_start(id.into()), Name::from("s")));
                site.inventory.set_engines(NOW, left.into_iter());
                excluded.clear();
            }
            let planner = planner(NOW, &site.spec, &site.inventory, &site.demand, &excluded);
            let planned = planner.next(&mut site.limiter).expect("a plan");
            assert_eq!((planned.action, &*planned.engine), (Action::Load, expected));
        }
    }
}
