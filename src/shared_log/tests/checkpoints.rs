//! A host without state finds a whole checkpoint and the records after it, or keeps looking.

use super::fake_log::{FakeHost, FakeLog, check_seeds, put_model, text_of};
use crate::prelude::*;
use crate::shared_log::checkpoint::{MAX_PART_BYTES, Scan, ScanStep, parts_of};
use crate::shared_log::fold::Shared;
use crate::shared_log::tests::fake_log::AppendFate;

const LONG_NAME: usize = 100;

fn drain(host: &mut FakeHost, log: &mut FakeLog, fate: AppendFate) {
    let mut now = Millis(1_000);
    while !host.driver.is_drained() {
        now += Millis(101);
        host.drive(now);
        host.end_append(now, log, fate);
        host.answer_read(log, usize::MAX);
    }
}

/// A host whose state takes several parts.
fn host_with_state(log: &mut FakeLog) -> FakeHost {
    let mut host = FakeHost::new(1);
    for number in 0..1_200 {
        let name = format!("é{number}-{}", "n".repeat(LONG_NAME));
        host.queue(put_model(&format!("edit-{number}"), Offset(0), &name));
    }
    drain(&mut host, log, AppendFate::Answered);
    host
}

fn write_checkpoint(host: &mut FakeHost, log: &mut FakeLog, fate: AppendFate) -> Shared {
    let parts = parts_of(&host.shared).unwrap();
    assert!(parts.len() > 2 && parts.iter().all(|part| part.text.len() <= MAX_PART_BYTES));
    let state = host.shared.clone();
    let bodies = parts
        .into_iter()
        .map(|part| RecordBody::Checkpoint { part });
    host.driver.queue_background(bodies);
    drain(host, log, fate);
    state
}

fn scan(log: &FakeLog, oldest: Offset) -> Option<Shared> {
    let mut scan = Scan::new(oldest);
    for logged in &log.records[oldest.0 as usize..] {
        if let ScanStep::Whole(shared) = scan.take(logged) {
            return Some(*shared);
        }
    }
    None
}

#[test]
fn a_new_host_goes_on_from_a_checkpoint() {
    let mut log = FakeLog::default();
    let mut host = host_with_state(&mut log);
    let state = write_checkpoint(&mut host, &mut log, AppendFate::Answered);
    host.queue(put_model("after", Offset(u64::MAX), "after"));
    drain(&mut host, &mut log, AppendFate::Answered);
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
fn parts_that_stand_twice_on_the_log_are_taken_once() {
    let mut log = FakeLog::default();
    let mut host = host_with_state(&mut log);
    let state = write_checkpoint(&mut host, &mut log, AppendFate::Answered);
    let parts = log.records.split_off(state.next_offset.0 as usize);
    for logged in &parts {
        log.append_text(&logged.payload);
        log.append_text(&logged.payload);
    }
    let found = scan(&log, state.next_offset).expect("a checkpoint");
    assert_eq!(text_of(&found), text_of(&state));
}

#[test]
fn a_checkpoint_whose_tail_was_trimmed_is_not_used() {
    let mut log = FakeLog::default();
    let mut host = host_with_state(&mut log);
    let state = write_checkpoint(&mut host, &mut log, AppendFate::Answered);
    assert!(scan(&log, state.next_offset.next()).is_none());
}

#[test]
fn an_incomplete_checkpoint_is_not_used() {
    let mut log = FakeLog::default();
    let mut host = host_with_state(&mut log);
    let state = write_checkpoint(&mut host, &mut log, AppendFate::Answered);
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
    drain(&mut second, &mut log, AppendFate::Answered);
    first.read(&log, usize::MAX);
    let state = first.shared.clone();
    for host in [&mut first, &mut second] {
        let parts = parts_of(&state).unwrap();
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
            host.end_append(now, &mut log, AppendFate::Answered);
            host.answer_read(&log, usize::MAX);
        }
    }
    let found = scan(&log, state.next_offset).expect("a checkpoint");
    assert_eq!(text_of(&found), text_of(&state));
}

#[test]
fn any_trim_gives_the_state_of_all_records_or_none() {
    let mut log = FakeLog::default();
    let mut host = host_with_state(&mut log);
    write_checkpoint(&mut host, &mut log, AppendFate::Answered);
    host.queue(put_model("between", Offset(u64::MAX), "between"));
    drain(&mut host, &mut log, AppendFate::Answered);
    write_checkpoint(&mut host, &mut log, AppendFate::Answered);
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
fn a_checkpoint_is_due_well_before_its_records_are_trimmed() {
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
    write_checkpoint(&mut host, &mut log, AppendFate::Answered);
    assert!(!is_due(&host, Offset(1)));
    assert!(is_due(&host, next.next()));
}
