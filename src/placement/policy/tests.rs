//! Tests of the placement policies, and the costs of the keep-warm rules over a seeded trace.

use crate::placement::configured::AllowedDataCentres;
use crate::placement::message::{CheckpointCache, EngineReport, OrderOutcome};
use crate::placement::policy::choice::{
    Choice, LoadContext, UpstreamStatus, choose, store_wait_ms,
};
use crate::placement::policy::demand::{MAX_MODELS, UsageHint, UsageTracker};
use crate::placement::policy::gap_histogram::GapHistogram;
use crate::placement::policy::keep_warm::{IdleCopy, KeepWarmRule};
use crate::placement::test_site::{A, TestLog};
use crate::prelude::*;
use crate::table::message::{StoreLimits, Urgency};

fn gaps(seconds: &[u64]) -> GapHistogram {
    let mut gaps = GapHistogram::default();
    for gap in seconds {
        gaps.note(Millis(gap * 1_000));
    }
    gaps
}

#[test]
fn without_history_a_copy_is_kept_for_the_cost_of_a_cold_start() {
    let none = GapHistogram::default();
    assert!(none.is_worth_keeping(Millis(99_000), 100.0));
    assert!(!none.is_worth_keeping(Millis(100_000), 100.0));
}

#[test]
fn a_model_used_every_few_seconds_is_kept_and_one_used_daily_is_not() {
    let often = gaps(&[5, 6, 5, 7, 5, 6]);
    assert!(often.is_worth_keeping(Millis(1_000), 30.0));
    let daily = gaps(&[80_000, 81_000, 79_000, 82_000, 80_000]);
    assert!(!daily.is_worth_keeping(Millis(1_000), 30.0));
}

#[test]
fn a_copy_that_is_idle_for_longer_than_its_usual_gaps_is_not_kept() {
    let often = gaps(&[5, 6, 5, 7, 5, 6]);
    assert!(!often.is_worth_keeping(Millis(60_000), 30.0));
}

#[test]
fn the_gap_histogram_stays_bounded() {
    let mut gaps = GapHistogram::default();
    for gap in 0..100_000 {
        gaps.note(Millis(gap));
    }
    assert!(gaps.is_worth_keeping(Millis(0), 1_000.0));
    assert!(size_of::<GapHistogram>() <= 32);
}

#[test]
fn hints_of_other_hosts_count_as_use_of_a_model() {
    let mut uses = UsageTracker::default();
    let model: Name = "m".into();
    uses.note_own_request(Millis(10_000), &model);
    let hint = UsageHint {
        model: model.clone(),
        idle_ms: Millis(0),
        waiting: 0,
        running: 1,
        urgency: Urgency::Normal,
    };
    uses.note_hint(Millis(20_000), &hint);
    let used = uses.get("m").unwrap();
    assert_eq!(used.last_used_at, Millis(20_000));
    assert!(used.busy_until > Millis(20_000));
}

fn choose_in(log: &TestLog, model: &str, report: Option<(&str, &EngineReport)>) -> Choice {
    let context = LoadContext {
        placement: log.placement(),
        table: &log.shared.table,
        configured_copies: 1,
        data_centres: AllowedDataCentres::default(),
        store: None,
        load_ms: Some(Millis(60_000)),
    };
    choose(&context, model, |upstream| UpstreamStatus {
        usable: true,
        report: report
            .filter(|(name, _)| *name == upstream)
            .map(|(_, report)| report),
    })
}

#[test]
fn an_engine_that_caches_the_checkpoint_is_chosen_before_one_with_more_memory() {
    let mut log = TestLog::new();
    log.put_model("other", "1", None, 1);
    log.put_model("m", "1", None, 1);
    let other = log.load(A, "other", "ignores");
    log.end(A, other, OrderOutcome::Done);
    let Choice::Load(load) = choose_in(&log, "m", None) else {
        panic!("no load");
    };
    assert_eq!(&*load.upstream, "checks");
    let report = EngineReport {
        cache: CheckpointCache {
            memory: Vec::new(),
            disk: vec!["m@1".into()],
        },
        ..EngineReport::default()
    };
    let Choice::Load(load) = choose_in(&log, "m", Some(("ignores", &report))) else {
        panic!("no load");
    };
    assert_eq!(&*load.upstream, "ignores");
}

#[test]
fn the_base_model_of_an_adapter_is_loaded_first_and_the_adapter_on_the_same_engine() {
    let mut log = TestLog::new();
    log.put_model("base", "1", None, 1);
    log.put_model("adapter", "1", Some("base"), 1);
    let Choice::Load(load) = choose_in(&log, "adapter", None) else {
        panic!("no load");
    };
    assert_eq!(&*load.model, "base");
    let base = log.accept(A, RecordBody::Load { load: load.clone() });
    assert_eq!(choose_in(&log, "adapter", None), Choice::Wait);
    log.end(A, base, OrderOutcome::Done);
    let Choice::Load(adapter) = choose_in(&log, "adapter", None) else {
        panic!("no load");
    };
    assert_eq!(
        (&*adapter.model, &adapter.upstream),
        ("adapter", &load.upstream)
    );
}

#[test]
fn a_model_too_large_for_every_engine_is_never_loaded_and_on_full_engines_memory_is_freed_first() {
    let mut log = TestLog::new();
    for model in ["a", "b", "c", "d", "e"] {
        log.put_model(model, "1", None, 1);
    }
    for (model, upstream) in [
        ("a", "checks"),
        ("b", "checks"),
        ("c", "ignores"),
        ("d", "ignores"),
    ] {
        log.load(A, model, upstream);
    }
    assert!(matches!(
        choose_in(&log, "e", None),
        Choice::FreeMemory { .. }
    ));
    log.shared
        .table
        .models
        .get_mut("e")
        .unwrap()
        .value
        .reserved_bytes = 1_000;
    assert_eq!(choose_in(&log, "e", None), Choice::Never);
}

#[test]
fn a_load_waits_for_the_parallel_loads_of_the_weight_store() {
    let limits = StoreLimits {
        parallel_loads: 4,
        loads_per_s: 2,
    };
    assert_eq!(store_wait_ms(3, &limits, Millis(8_000)), Millis(0));
    assert_eq!(store_wait_ms(4, &limits, Millis(8_000)), Millis(2_000));
}

/// Replays the gaps between one model's requests under a rule. Returns the seconds for which the
/// model was loaded but idle, and the number of cold starts.
fn replay(rule: KeepWarmRule, gaps_s: &[u64], cold_start_ms: Millis) -> (u64, u64) {
    let mut gaps = GapHistogram::default();
    let (mut idle_s, mut cold_starts) = (0, 0);
    for gap in gaps_s {
        let kept_s = (0..*gap).find(|second| {
            rule.should_unload(&IdleCopy {
                idle_ms: Millis(second * 1_000),
                cold_start_ms,
                accelerator_share: 1.0,
                gaps: &gaps,
            })
        });
        idle_s += kept_s.unwrap_or(*gap);
        cold_starts += u64::from(kept_s.is_some());
        gaps.note(Millis(gap * 1_000));
    }
    (idle_s, cold_starts)
}

/// Returns the gaps in seconds of one of three kinds of models: used in bursts (0), used regularly
/// (1), and rarely used (2).
fn trace(kind: usize, rng: &mut fastrand::Rng) -> Vec<u64> {
    (0..60)
        .map(|_| match kind {
            0 if rng.f64() < 0.8 => rng.u64(1..20),
            0 => rng.u64(5_000..20_000),
            1 => rng.u64(100..140),
            _ => rng.u64(2_000..40_000),
        })
        .collect()
}

#[test]
fn the_learned_rule_costs_less_than_a_fixed_timeout_and_lru_over_a_seeded_trace() {
    /// Seconds of idle accelerator that a second of cold start costs.
    const COLD_SECOND_PRICE: f64 = 10.0;
    const COLD_START_MS: Millis = Millis(30_000);
    let rules = [
        KeepWarmRule::FixedTimeout {
            idle_ms: Millis(300_000),
        },
        KeepWarmRule::LeastRecentlyUsed,
        KeepWarmRule::Learned {
            cold_second_price: COLD_SECOND_PRICE,
        },
    ];
    let costs = rules.map(|rule| {
        let mut rng = fastrand::Rng::with_seed(7);
        let mut total = (0, 0);
        for model in 0..30 {
            let (idle_s, cold_starts) = replay(rule, &trace(model % 3, &mut rng), COLD_START_MS);
            total = (total.0 + idle_s, total.1 + cold_starts);
        }
        let cold_s = total.1 as f64 * COLD_SECOND_PRICE * COLD_START_MS.0 as f64 / 1_000.0;
        println!("{rule:?}: idle {} s, cold starts {}", total.0, total.1);
        total.0 as f64 + cold_s
    });
    assert!(costs[2] < costs[0], "{costs:?}");
    assert!(costs[2] < costs[1], "{costs:?}");
}

// Guards against forgetting the newest model for the next one once there are as many as may be.
#[test]
fn beyond_the_bound_the_models_that_were_added_first_are_forgotten() {
    let mut used = UsageTracker::default();
    let name = |n: usize| -> Name { format!("m{n}").into() };
    for n in 0..MAX_MODELS + 4 {
        used.note_own_request(Millis(1), &name(n));
    }
    assert!((0..4).all(|n| used.get(&name(n)).is_none()));
    assert!((4..MAX_MODELS + 4).all(|n| used.get(&name(n)).is_some()));
}
