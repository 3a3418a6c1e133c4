//! Tests of the placement state derived from the log.

use crate::placement::configured::ConfiguredCopies;
use crate::placement::copies::{CopyState, Placement};
use crate::placement::message::OrderOutcome;
use crate::placement::test_site::{A, B, C, MEMORY_BYTES, TestLog};
use crate::prelude::*;
use crate::table::message::{Change, Model, StoreLimits};

#[test]
fn concurrent_loads_of_a_model_create_one_copy() {
    let mut log = TestLog::new();
    log.put_model("m", "1", None, 1);
    log.load(A, "m", "checks");
    let second = log.load_body("m", 0, "ignores");
    assert_eq!(log.reject(B, second), Rejection::CopyExists);
    let other_index = log.load_body("m", 1, "ignores");
    assert_eq!(log.reject(C, other_index), Rejection::CopiesReached);
}

#[test]
fn an_engine_holds_one_copy_of_a_model() {
    let mut log = TestLog::new();
    log.put_model("m", "1", None, 2);
    log.load(A, "m", "checks");
    let body = log.load_body("m", 1, "checks");
    assert_eq!(log.reject(A, body), Rejection::CopyExists);
    let body = log.load_body("m", 1, "ignores");
    log.accept(A, body);
}

#[test]
fn a_failed_load_without_former_executors_frees_its_memory_at_once() {
    let mut log = TestLog::new();
    log.put_model("m", "1", None, 1);
    let copy = log.load(A, "m", "ignores");
    assert_eq!(log.placement().reserved_bytes("ignores"), 40);
    assert!(log.end(A, copy, OrderOutcome::Failed).is_accepted());
    assert_eq!(log.placement().reserved_bytes("ignores"), 0);
}

#[test]
fn a_failed_load_keeps_its_memory_until_its_former_executor_has_ended() {
    let mut log = TestLog::new();
    log.put_model("m", "1", None, 1);
    let copy = log.load(A, "m", "ignores");
    log.take_over(A, B, copy);
    assert!(log.end(B, copy, OrderOutcome::Failed).is_accepted());
    assert_eq!(log.copy(copy).state, CopyState::Ended);
    assert_eq!(log.placement().reserved_bytes("ignores"), 40);
    let body = log.load_body("m", 0, "checks");
    assert_eq!(log.reject(B, body), Rejection::CopyExists);

    log.process_ended(A);
    assert_eq!(log.placement().reserved_bytes("ignores"), 0);
    log.load(B, "m", "checks");
}

#[test]
fn a_failed_load_keeps_its_memory_until_its_former_executor_relinquishes_it() {
    let mut log = TestLog::new();
    log.put_model("m", "1", None, 1);
    let copy = log.load(A, "m", "ignores");
    log.take_over(A, B, copy);
    log.end(B, copy, OrderOutcome::Failed);
    assert_eq!(
        log.reject(C, RecordBody::Relinquish { copy }),
        Rejection::WrongCopyState
    );
    log.accept(A, RecordBody::Relinquish { copy });
    assert!(log.placement().copies.is_empty());
}

#[test]
fn an_unload_after_a_takeover_keeps_its_memory_on_an_engine_that_ignores_fencing() {
    let mut log = TestLog::new();
    log.put_model("m", "1", None, 1);
    let copy = log.load(A, "m", "ignores");
    log.end(A, copy, OrderOutcome::Done);
    log.accept(A, RecordBody::Unload { copy });
    log.take_over(A, B, copy);
    log.end(B, copy, OrderOutcome::Done);
    assert_eq!(log.copy(copy).state, CopyState::Ended);
    log.accept(A, RecordBody::Relinquish { copy });
    log.load(B, "m", "ignores");
}

#[test]
fn an_engine_that_checks_fencing_frees_memory_while_a_former_executor_lives() {
    let mut log = TestLog::new();
    log.put_model("m", "1", None, 1);
    let copy = log.load(A, "m", "checks");
    let old_fence = log.copy(copy).fence;
    log.take_over(A, B, copy);
    let stale = RecordBody::Outcome {
        copy,
        fence: old_fence,
        outcome: OrderOutcome::Done,
    };
    assert_eq!(log.reject(C, stale), Rejection::StaleFence);
    log.end(B, copy, OrderOutcome::Failed);
    assert!(log.placement().copies.is_empty());
}

#[test]
fn an_order_that_a_former_executor_may_send_cannot_end_as_not_sent() {
    let mut log = TestLog::new();
    log.put_model("m", "1", None, 1);
    let copy = log.load(A, "m", "ignores");
    log.take_over(A, B, copy);
    let verdict = log.end(B, copy, OrderOutcome::NotSent);
    assert_eq!(verdict, Verdict::Rejected(Rejection::ExecutorAlive));
}

#[test]
fn a_ready_copy_whose_load_may_still_be_sent_is_not_unloaded() {
    let mut log = TestLog::new();
    log.put_model("m", "1", None, 1);
    let copy = log.load(A, "m", "ignores");
    log.take_over(A, B, copy);
    log.end(B, copy, OrderOutcome::Done);
    assert_eq!(
        log.reject(B, RecordBody::Unload { copy }),
        Rejection::ExecutorAlive
    );
    log.process_ended(A);
    log.accept(B, RecordBody::Unload { copy });
}

#[test]
fn a_base_model_is_not_unloaded_while_an_adapter_needs_it() {
    let mut log = TestLog::new();
    log.put_model("base", "1", None, 1);
    log.put_model("adapter", "1", Some("base"), 1);
    let early = log.load_body("adapter", 0, "checks");
    assert_eq!(log.reject(A, early), Rejection::NoBase);
    let base = log.load(A, "base", "checks");
    log.end(A, base, OrderOutcome::Done);
    let adapter = log.load(A, "adapter", "checks");
    assert_eq!(
        log.reject(A, RecordBody::Unload { copy: base }),
        Rejection::BaseInUse
    );
    log.end(A, adapter, OrderOutcome::Failed);
    log.accept(A, RecordBody::Unload { copy: base });
}

#[test]
fn a_new_version_is_loaded_only_after_the_old_one_was_unloaded() {
    let mut log = TestLog::new();
    log.put_model("m", "1", None, 1);
    let old = log.load(A, "m", "checks");
    log.end(A, old, OrderOutcome::Done);
    log.put_model("m", "2", None, 1);
    let body = log.load_body("m", 0, "checks");
    assert_eq!(log.reject(A, body.clone()), Rejection::CopyExists);
    log.accept(A, RecordBody::Unload { copy: old });
    log.end(A, old, OrderOutcome::Done);
    log.accept(A, body);
}

/// Guards against a load over an engine's memory after the table states a smaller size for a model that
/// the engine holds: a copy keeps what its load reserved.
#[test]
fn a_copy_keeps_its_memory_when_its_model_shrinks_in_the_table() {
    let mut log = TestLog::new();
    for model in ["m", "n", "o"] {
        log.put_model(model, "1", None, 1);
    }
    for model in ["m", "n"] {
        let copy = log.load(A, model, "checks");
        log.end(A, copy, OrderOutcome::Done);
    }
    let model = Model {
        version: "1".into(),
        reserved_bytes: 1,
        checkpoint_bytes: 1,
        base: None,
    };
    let name = "m".into();
    log.edit(vec![Change::PutModel { name, model }]);
    let load = log.load_body("o", 0, "checks");
    assert_eq!(log.reject(A, load), Rejection::NoMemory);
}

#[test]
fn a_leaving_engine_gets_no_load() {
    let mut log = TestLog::new();
    log.put_model("m", "1", None, 1);
    log.put_engine("checks", true, true);
    let body = log.load_body("m", 0, "checks");
    assert_eq!(log.reject(A, body), Rejection::UpstreamLeaving);
}

#[test]
fn the_copies_of_an_engine_that_is_gone_are_removed() {
    let mut log = TestLog::new();
    log.put_model("m", "1", None, 1);
    log.load(A, "m", "checks");
    log.accept(
        B,
        RecordBody::UpstreamGone {
            name: "checks".into(),
        },
    );
    assert!(log.placement().copies.is_empty());
    assert_eq!(log.placement().loading(), 0);
    log.load(B, "m", "ignores");
}

/// Any sequence of records keeps the bounds of memory, copies and loads, and the state is the same
/// after it was encoded and decoded, as for a checkpoint.
#[test]
fn any_sequence_of_records_keeps_the_bounds() {
    arbtest::arbtest(|u| {
        let mut log = TestLog::new();
        let models = ["m", "n", "base", "adapter"];
        for model in models {
            let base = (model == "adapter").then_some("base");
            log.put_model(model, "1", base, 2);
        }
        let limits = StoreLimits {
            parallel_loads: 2,
            loads_per_s: 3,
        };
        log.edit(vec![Change::SetStore { limits }]);
        for _ in 0..60 {
            if u.is_empty() {
                break;
            }
            let body = any_body(u, &log, &models)?;
            let host = *u.choose(&[A, B, C])?;
            log.now += Millis(u.int_in_range(0..=400)?);
            log.append(host, body);
            check_bounds(&log);
        }
        let text = serde_json::to_string(log.placement()).unwrap();
        let decoded: Placement = serde_json::from_str(&text).unwrap();
        assert_eq!(&decoded, log.placement());
        Ok(())
    })
    .size_max(2_000);
}

fn any_body(
    u: &mut arbtest::arbitrary::Unstructured<'_>,
    log: &TestLog,
    models: &[&str],
) -> arbtest::arbitrary::Result<RecordBody> {
    let copies: Vec<Offset> = log.placement().copies.keys().copied().collect();
    let copy = if copies.is_empty() {
        Offset(0)
    } else {
        *u.choose(&copies)?
    };
    let host = *u.choose(&[A, B, C])?;
    let outcomes = [
        OrderOutcome::Done,
        OrderOutcome::Failed,
        OrderOutcome::NotSent,
    ];
    Ok(match u.int_in_range(0..=8)? {
        0..=2 => {
            let index = u.int_in_range(0..=2)?;
            let upstream = *u.choose(&["checks", "ignores"])?;
            log.load_body(u.choose(models)?, index, upstream)
        }
        3 | 4 => RecordBody::Outcome {
            copy,
            fence: log
                .placement()
                .copies
                .get(&copy)
                .map_or(Offset(0), |copy| copy.fence),
            outcome: *u.choose(&outcomes)?,
        },
        5 => RecordBody::Unload { copy },
        6 => RecordBody::Takeover { copy },
        7 => RecordBody::Relinquish { copy },
        _ if log.shared.members.iter().count() > 1 => RecordBody::Evict { host },
        _ => RecordBody::Gone { host },
    })
}

fn check_bounds(log: &TestLog) {
    let placement = log.placement();
    for upstream in ["checks", "ignores"] {
        let sum: u64 = placement
            .copies_on(upstream)
            .map(|(_, copy)| copy.load.reserved_bytes)
            .sum();
        assert_eq!(sum, placement.reserved_bytes(upstream));
        assert!(sum <= MEMORY_BYTES);
    }
    let mut configured = ConfiguredCopies::default();
    configured.refresh(&log.shared.table);
    for (model, _) in &log.shared.table.models {
        let copies = placement.copies_of(model).count();
        assert!(copies <= configured.of(model) as usize);
    }
    let loading = placement
        .copies
        .values()
        .filter(|copy| copy.state == CopyState::Loading)
        .count();
    assert_eq!(loading, placement.loading());
    assert!(loading <= 2);
    for copy in placement.copies.values() {
        let is_ended = copy.state == CopyState::Ended;
        assert!(!is_ended || !copy.former.is_empty());
    }
}
