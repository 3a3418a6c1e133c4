//! Tests of the fold: the same records give the same state however they are read, and records that
//! cannot be decoded are handled in the same way at all hosts.

use super::fake_log::{FakeHost, FakeLog, check_seeds, host_entry, put_model, text_of};
use crate::prelude::*;
use crate::shared_log::codec::{DecodeError, RECORD_FORMAT, decode, encode};
use crate::shared_log::fold::{ApplyOutcome, SharedState};
use arbtest::arbitrary::{Result, Unstructured};

fn arbitrary_body(u: &mut Unstructured<'_>, number: usize) -> Result<RecordBody> {
    let host = Incarnation(u.int_in_range(1..=4u64)?);
    Ok(match u.int_in_range(0..=7u8)? {
        0 => RecordBody::Join {
            entry: host_entry(host.0),
        },
        1 => RecordBody::Counted {
            host,
            confirmed_offset: Offset(u.int_in_range(0..=60u64)?),
        },
        2 => RecordBody::Leave,
        3 => RecordBody::Evict { host },
        4 => RecordBody::Gone { host },
        5 => RecordBody::ClaimEnds { ends: Vec::new() },
        _ => {
            let base = Offset(u.int_in_range(0..=60u64)?);
            put_model(
                &format!("edit-{number}"),
                base,
                &format!("m{}", u.int_in_range(0..=3u8)?),
            )
        }
    })
}

/// Returns a log with records of several hosts, some of them duplicates and some undecodable.
fn arbitrary_log(u: &mut Unstructured<'_>) -> Result<FakeLog> {
    let mut log = FakeLog::default();
    for number in 0..u.int_in_range(1..=60usize)? {
        if u.ratio(1, 10)? {
            log.append_text("{\"format\":1,\"kind\":\"no such kind\"}");
            continue;
        }
        let id = RecordId {
            host: Incarnation(u.int_in_range(1..=4u64)?),
            seq: u.int_in_range(1..=20u64)?,
        };
        let body = arbitrary_body(u, number)?;
        log.append(&[Record { id, body }]);
    }
    Ok(log)
}

fn fold_all(log: &FakeLog) -> SharedState {
    let mut shared = SharedState::default();
    for logged in &log.records {
        shared.apply_logged(logged);
    }
    shared
}

#[test]
fn split_repeated_and_resumed_reads_give_the_same_state() {
    check_seeds(800, 1024, |u| {
        let log = arbitrary_log(u)?;
        let whole = text_of(&fold_all(&log));
        let mut shared = SharedState::default();
        while shared.next_offset < log.end() {
            let next = shared.next_offset.0 as usize;
            let from = next - u.int_in_range(0..=next.min(5))?;
            let to = u.int_in_range(next + 1..=log.records.len())?;
            for logged in &log.records[from..to] {
                shared.apply_logged(logged);
            }
            if u.arbitrary()? {
                shared = serde_json::from_str(&text_of(&shared)).unwrap();
            }
        }
        assert_eq!(text_of(&shared), whole);
        Ok(())
    });
}

#[test]
fn a_record_after_a_gap_is_not_applied() {
    let mut log = FakeLog::default();
    for _ in 0..3 {
        log.append_text("garbage");
    }
    let mut shared = SharedState::default();
    assert!(matches!(
        shared.apply_logged(&log.records[1]),
        ApplyOutcome::Gap
    ));
    assert_eq!(shared, SharedState::default());
}

#[test]
fn undecodable_records_are_skipped() {
    let mut log = FakeLog::default();
    for text in ["", "null", "{}", "{\"format\":\"1\"}", "{\"format\":1}"] {
        log.append_text(text);
    }
    let mut shared = SharedState::default();
    for logged in &log.records {
        assert!(matches!(
            shared.apply_logged(logged),
            ApplyOutcome::Undecodable { .. }
        ));
    }
    assert_eq!(shared.next_offset, log.end());
}

#[test]
fn a_record_of_a_newer_format_is_not_applied() {
    let mut log = FakeLog::default();
    log.append_text(&format!("{{\"format\":{}}}", RECORD_FORMAT + 1));
    let mut shared = SharedState::default();
    let step = shared.apply_logged(&log.records[0]);
    assert!(matches!(step, ApplyOutcome::Newer { format: 2 }));
    assert_eq!(shared, SharedState::default());
}

#[test]
fn records_are_equal_after_encoding_and_decoding() {
    let record = Record {
        id: RecordId {
            host: Incarnation(u64::MAX >> 1),
            seq: 7,
        },
        body: put_model("edit", Offset(3), "model"),
    };
    let text = encode(&record).unwrap();
    assert_eq!(decode(&text), Ok(record));
    let unknown = text.replace("\"kind\":\"edit\"", "\"kind\":\"other\"");
    assert!(matches!(
        decode(&unknown),
        Err(DecodeError::Undecodable { .. })
    ));
}

// Guards against the return of a host after its process ended, by a copy of its join record that
// was appended late.
#[test]
fn a_late_copy_of_the_join_of_a_forgotten_host_has_no_effect() {
    let mut host = FakeHost::new(1);
    let mut log = FakeLog::default();
    let join = |seq| Record {
        id: RecordId {
            host: Incarnation(2),
            seq,
        },
        body: RecordBody::Join {
            entry: host_entry(2),
        },
    };
    let own = |seq, body| Record {
        id: RecordId {
            host: Incarnation(1),
            seq,
        },
        body,
    };
    let other = Incarnation(2);
    let entry = host_entry(1);
    log.append(&[own(1, RecordBody::Join { entry }), join(1)]);
    log.append(&[
        own(2, RecordBody::Evict { host: other }),
        own(3, RecordBody::Gone { host: other }),
        join(1),
    ]);
    host.read(&log, usize::MAX);
    assert!(!host.shared.members.knows(other));
}
