//! Tests of the driver: each queued record takes effect exactly once, also when answers to appends
//! are lost or appends take effect late.

use super::fake_log::{AppendResult, FakeHost, FakeLog, check_seeds, put_model, text_of};
use crate::prelude::*;
use arbtest::arbitrary::{Result, Unstructured};

const HOSTS: u64 = 3;
const STEPS: usize = 120;

fn arbitrary_result(u: &mut Unstructured<'_>) -> Result<AppendResult> {
    let results = [
        AppendResult::Answered,
        AppendResult::Refused,
        AppendResult::AppendedAnswerLost,
        AppendResult::RequestLost,
        AppendResult::AppendedLater,
    ];
    u.choose(&results).copied()
}

/// Makes the host's due calls, then does one random step with it.
fn step(
    u: &mut Unstructured<'_>,
    now: Millis,
    log: &mut FakeLog,
    host: &mut FakeHost,
) -> Result<()> {
    host.drive(now);
    match u.int_in_range(0..=6u8)? {
        0 => {
            let count = host.queued.len();
            let name = format!("model-{}", u.int_in_range(0..=9u8)?);
            let base = host.shared.table.version;
            let edit_id = format!("{}-{count}", host.queued[0].host);
            host.queue(put_model(&edit_id, base, &name));
        }
        1 => host.end_append(now, log, arbitrary_result(u)?),
        2 => host.append_delayed(log),
        3 => host.fail_read(now),
        4 => host.read(log, u.int_in_range(0..=5usize)?),
        _ => host.answer_read(log, u.int_in_range(0..=8usize)?),
    }
    Ok(())
}

/// Lets all calls succeed until every host has read back its records, then applies the whole log.
fn settle(now: &mut Millis, log: &mut FakeLog, hosts: &mut [FakeHost]) {
    for _ in 0..200 {
        *now += Millis(101);
        for host in &mut *hosts {
            host.drive(*now);
            host.end_append(*now, log, AppendResult::Answered);
            host.append_delayed(log);
            host.answer_read(log, usize::MAX);
        }
        let done = |host: &FakeHost| host.driver.is_drained() && host.delayed.is_empty();
        if hosts.iter().all(done) {
            break;
        }
    }
    for host in hosts {
        assert!(host.driver.is_drained());
        host.read(log, usize::MAX);
    }
}

/// Checks that each record of a host is on the log, that copies of it are recognised as duplicates,
/// and that the first copies are in the order in which the records were queued.
fn check_sequences(log: &FakeLog, hosts: &[FakeHost]) {
    let mut reader = FakeHost::new(99);
    let mut first_copies = Vec::new();
    for logged in &log.records {
        let crate::shared_log::fold::ApplyOutcome::Applied(applied) =
            reader.shared.apply_logged(logged)
        else {
            panic!("all records decode");
        };
        if applied.verdict != Verdict::Duplicate {
            first_copies.push(applied.record.id);
        }
    }
    for host in hosts {
        let me = host.queued[0].host;
        let own: Vec<RecordId> = first_copies
            .iter()
            .copied()
            .filter(|id| id.host == me)
            .collect();
        assert_eq!(own, host.queued);
    }
}

#[test]
fn lost_append_answers_neither_lose_nor_duplicate_records() {
    check_seeds(400, 2048, |u| {
        let mut log = FakeLog::default();
        let mut hosts: Vec<FakeHost> = (1..=HOSTS).map(FakeHost::new).collect();
        let mut now = Millis(1_000);
        for _ in 0..STEPS {
            now += Millis(u.int_in_range(0..=150u64)?);
            let host = u.choose_index(hosts.len())?;
            step(u, now, &mut log, &mut hosts[host])?;
        }
        settle(&mut now, &mut log, &mut hosts);
        check_sequences(&log, &hosts);
        for host in &hosts {
            assert_eq!(text_of(&host.shared), text_of(&hosts[0].shared));
            assert_eq!(host.accepted, hosts[0].accepted);
        }
        Ok(())
    });
}

#[test]
fn a_batch_stays_within_the_limits_of_an_append() {
    let mut host = FakeHost::new(1);
    let mut log = FakeLog::default();
    let long = "m".repeat(60 << 10);
    for number in 0..200 {
        host.queue(put_model(&format!("{number}{long}"), Offset(0), "model"));
    }
    let mut now = Millis(1_000);
    while !host.driver.is_drained() {
        now += Millis(101);
        let before = log.records.len();
        host.drive(now);
        host.end_append(now, &mut log, AppendResult::Answered);
        let batch = &log.records[before..];
        let bytes: usize = batch.iter().map(|logged| logged.payload.len()).sum();
        assert!(batch.len() <= 64 && bytes <= 1 << 20, "{bytes} bytes");
        host.answer_read(&log, usize::MAX);
    }
    assert_eq!(log.records.len(), 201);
}

#[test]
fn a_record_too_long_for_an_append_is_not_queued() {
    let mut host = FakeHost::new(1);
    let long = "m".repeat(1 << 20);
    let body = put_model(&long, Offset(0), "model");
    assert_eq!(host.driver.queue(body), None);
    assert!(
        host.driver
            .queue(RecordBody::Leave)
            .is_some_and(|id| id.seq == 2)
    );
}
