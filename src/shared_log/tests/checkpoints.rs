//! Tests of checkpoints: a host without state restores a complete checkpoint and applies the
//! records after it, and does not use a checkpoint from which it cannot continue.

use super::fake_log::{FakeHost, FakeLog, check_seeds, put_model, text_of};
use crate::prelude::*;
use crate::shared_log::checkpoint::{
    CheckpointScan, MAX_PART_BYTES, ScanOutcome, split_into_parts,
};
use crate::shared_log::fold::SharedState;
use crate::shared_log::tests::fake_log::AppendResult;

const NAME_BYTES: usize = 100;

/// Runs the host's reads and appends until all of its records are read back.
fn drain(host: &mut FakeHost, log: &mut FakeLog, result: AppendResult) {
    let mut now = Millis(1_000);
    while !host.driver.is_drained() {
        now += Millis(101);
        host.drive(now);
        host.end_append(now, log, result);
        host.answer_read(log, usize::MAX);
    }
}

/// Returns a host with a state so large that its checkpoint has several parts. The names contain a
/// character of two bytes, which a split must not cut.
fn host_with_state(log: &mut FakeLog) -> FakeHost {
    let mut host = FakeHost::new(1);
    for number in 0..1_200 {
        let name = format!("é{number}-{}", "n".repeat(NAME_BYTES));
        host.queue(put_model(&format!("edit-{number}"), Offset(0), &name));
    }
    drain(&mut host, log, AppendResult::Answered);
    host
}

/// Appends a checkpoint of the host's state and returns that state.
fn write_checkpoint(host: &mut FakeHost, log: &mut FakeLog, result: AppendResult) -> SharedState {
    let parts = split_into_parts(&host.shared).unwrap();
    assert!(parts.len() > 2 && parts.iter().all(|part| part.text.len() <= MAX_PART_BYTES));
    let state = host.shared.clone();
    let bodies = parts
        .into_iter()
        .map(|part| RecordBody::Checkpoint { part });
    host.driver.queue_background(bodies);
    drain(host, log, result);
    state
}

/// Scans the log from `oldest` and returns the state of the first complete checkpoint.
fn scan(log: &FakeLog, oldest: Offset) -> Option<SharedState> {
    let mut scan = CheckpointScan::new(oldest);
    for logged in &log.records[oldest.0 as usize..] {
        if let ScanOutcome::Complete(shared) = scan.read_record(logged) {
            return Some(*shared);
        }
    }
    None
}

#[test]
fn a_new_host_resumes_from_a_checkpoint() {
    let mut log = FakeLog::default();
    let mut host = host_with_state(&mut log);
    let state = write_checkpoint(&mut host, &mut log, AppendResult::Answered);
    host.queue(put_model("after", Offset(u64::MAX), "after"));
    drain(&mut host, &mut log, AppendResult::Answered);
    let mut found = scan(&log, state.next_offset).expect("a checkpoint");
    assert_eq!(text_of(&found), text_of(&state));
    for logged in &log.records[found.next_offset.0 as usize..] {
        found.apply_logged(logged);
    }
    assert_eq!(text_of(&found), text_of(&host.shared));
    assert_eq!(
        host.shared.checkpoints.newest().map(|newest| newest.as_of),
        Some(state.next_offset)
    );
}

#[test]
fn duplicate_parts_on_the_log_are_used_once() {
    let mut log = FakeLog::default();
    let mut host = host_with_state(&mut log);
    let state = write_checkpoint(&mut host, &mut log, AppendResult::Answered);
    let parts = log.records.split_off(state.next_offset.0 as usize);
    for logged in &parts {
        log.append_text(&logged.payload);
        log.append_text(&logged.payload);
    }
    let found = scan(&log, state.next_offset).expect("a checkpoint");
    assert_eq!(text_of(&found), text_of(&state));
}

#[test]
fn a_checkpoint_is_not_used_if_records_after_its_state_were_trimmed() {
    let mut log = FakeLog::default();
    let mut host = host_with_state(&mut log);
    let state = write_checkpoint(&mut host, &mut log, AppendResult::Answered);
    assert!(scan(&log, state.next_offset.next()).is_none());
}

#[test]
fn an_incomplete_checkpoint_is_not_used() {
    let mut log = FakeLog::default();
    let mut host = host_with_state(&mut log);
    let state = write_checkpoint(&mut host, &mut log, AppendResult::Answered);
    let removed = log.records.pop();
    assert!(removed.is_some());
    assert!(scan(&log, state.next_offset).is_none());
}

#[test]
fn interleaved_checkpoints_of_two_writers_are_both_usable() {
    let mut log = FakeLog::default();
    let mut first = host_with_state(&mut log);
    let mut second = FakeHost::new(2);
    second.read(&log, usize::MAX);
    drain(&mut second, &mut log, AppendResult::Answered);
    first.read(&log, usize::MAX);
    let state = first.shared.clone();
    for host in [&mut first, &mut second] {
        let parts = split_into_parts(&state).unwrap();
        let bodies = parts
            .into_iter()
            .map(|part| RecordBody::Checkpoint { part });
        host.driver.queue_background(bodies);
    }
    let mut now = Millis(1_000);
    while !(first.driver.is_drained() && second.driver.is_drained()) {
        now += Millis(101);
        for host in [&mut first, &mut second] {
            host.drive(now);
            host.end_append(now, &mut log, AppendResult::Answered);
            host.answer_read(&log, usize::MAX);
        }
    }
    let found = scan(&log, state.next_offset).expect("a checkpoint");
    assert_eq!(text_of(&found), text_of(&state));
}

#[test]
fn after_any_trim_a_scan_restores_the_full_state_or_nothing() {
    let mut log = FakeLog::default();
    let mut host = host_with_state(&mut log);
    write_checkpoint(&mut host, &mut log, AppendResult::Answered);
    host.queue(put_model("between", Offset(u64::MAX), "between"));
    drain(&mut host, &mut log, AppendResult::Answered);
    write_checkpoint(&mut host, &mut log, AppendResult::Answered);
    let whole = text_of(&host.shared);
    let newest = host.shared.checkpoints.newest().unwrap();
    check_seeds(300, 64, |u| {
        let oldest = Offset(u.int_in_range(1..=log.end().0)?);
        let found = scan(&log, oldest);
        assert_eq!(found.is_some(), oldest <= newest.as_of);
        if let Some(mut shared) = found {
            for logged in &log.records[shared.next_offset.0 as usize..] {
                shared.apply_logged(logged);
            }
            assert_eq!(text_of(&shared), whole);
        }
        Ok(())
    });
}

#[test]
fn a_checkpoint_is_due_before_the_records_after_its_state_are_trimmed() {
    let mut log = FakeLog::default();
    let mut host = host_with_state(&mut log);
    let next = host.shared.next_offset;
    let is_due = |host: &FakeHost, oldest| {
        let shared = &host.shared;
        shared
            .checkpoints
            .is_due(shared.log_ms, shared.next_offset, oldest)
    };
    assert!(!is_due(&host, Offset(0)));
    assert!(is_due(&host, Offset(1)));
    write_checkpoint(&mut host, &mut log, AppendResult::Answered);
    assert!(!is_due(&host, Offset(1)));
    assert!(is_due(&host, next.next()));
}
