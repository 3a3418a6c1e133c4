//! Speed tests: applying records and choosing an engine at the sizes designed for.

use crate::placement::configured::AllowedDataCentres;
use crate::placement::message::OrderOutcome;
use crate::placement::policy::choice::{Choice, LoadContext, UpstreamStatus, choose};
use crate::placement::test_site::{A, TestLog};
use crate::prelude::*;
use crate::table::message::{Model, Row, RowKey, StoreLimits};
use std::time::{Duration, Instant};

const MODELS: usize = 54_410;
const UPSTREAMS: usize = 6_600;
const LOADS: usize = 200;
/// The longest time per record or choice: far above the usual one, but a scan of all copies for
/// each record takes longer.
const MAX_DURATION: Duration = Duration::from_millis(100);

fn name(kind: &str, number: usize) -> Name {
    format!("{kind}-{number}").into()
}

/// Creates a log with the numbers of engines and models that the system is designed for.
fn large_site() -> TestLog {
    let mut log = TestLog::new();
    for number in 0..UPSTREAMS {
        log.put_engine(&name("engine", number), number % 2 == 0, false);
    }
    log.put_model("model-0", "1", None, 1);
    let spec: Model = log.shared.table.model("model-0").unwrap().clone();
    let row: Row = serde_json::from_str("{}").unwrap();
    let version = Offset(1);
    for number in 0..MODELS {
        let model = name("model", number);
        let key = RowKey {
            brand: "north".into(),
            model: model.clone(),
        };
        let value = spec.clone();
        let entry = crate::table::Versioned { version, value };
        log.shared.table.models.insert(model, entry);
        let value = row.clone();
        let entry = crate::table::Versioned { version, value };
        log.shared.table.rows.insert(key, entry);
    }
    let limits = StoreLimits {
        parallel_loads: 100_000,
        loads_per_s: 100_000,
    };
    log.shared.table.store.value = limits;
    log.shared.table.version = log.shared.table.version.next();
    log
}

#[test]
fn applying_records_and_choosing_an_engine_stay_fast_at_the_sizes_designed_for() {
    let mut log = large_site();
    for number in 0..UPSTREAMS {
        let body = log.load_body(&name("model", number), 0, &name("engine", number));
        log.accept(A, body);
    }
    let started = Instant::now();
    for number in 0..LOADS {
        let model = name("model", UPSTREAMS + number);
        let copy = log.load(A, &model, &name("engine", number));
        log.end(A, copy, OrderOutcome::Done);
        log.accept(A, RecordBody::Unload { copy });
        log.end(A, copy, OrderOutcome::Done);
    }
    let per_record = started.elapsed() / (LOADS as u32 * 4);
    let started = Instant::now();
    for number in 0..LOADS {
        let context = LoadContext {
            placement: log.placement(),
            table: &log.shared.table,
            configured_copies: 1,
            data_centres: AllowedDataCentres::default(),
            store: None,
            load_ms: None,
        };
        let choice = choose(&context, &name("model", UPSTREAMS + number), |_| {
            UpstreamStatus {
                usable: true,
                report: None,
            }
        });
        assert!(matches!(choice, Choice::Load(_)));
    }
    let per_choice = started.elapsed() / LOADS as u32;
    println!("per record {per_record:?}, per choice {per_choice:?}");
    assert!(per_record < MAX_DURATION);
    assert!(per_choice < MAX_DURATION);
}
