use crate::prelude::*;
use crate::resumption::records::{Known, MAX_RECORDS};
use crate::resumption::{StreamKey, StreamRecords, StreamVersion};

fn version(name: &str) -> StreamVersion {
    StreamVersion {
        version: name.into(),
        start: None,
    }
}

fn key(n: usize) -> StreamKey {
    StreamKey::of(&format!("request-{n}"))
}

#[test]
fn a_record_is_known_until_its_time_is_over() {
    let mut records = StreamRecords::default();
    records.insert(Millis(10), key(1), Some(version("v1")), Millis(100));
    assert_eq!(
        records.find(Millis(109), key(1)),
        Known::Version(version("v1"))
    );
    assert_eq!(records.find(Millis(110), key(1)), Known::Nothing);
    assert_eq!(records.find(Millis(10), key(2)), Known::Nothing);
    records.expire(Millis(110));
    assert!(records.is_empty());
}

// Guards against trusting the later of two hosts that disagree.
#[test]
fn two_versions_of_one_stream_leave_it_uncertain() {
    for second in [Some(version("v2")), None] {
        let mut records = StreamRecords::default();
        records.insert(Millis(0), key(1), Some(version("v1")), Millis(100));
        records.insert(Millis(0), key(1), second, Millis(100));
        records.insert(Millis(0), key(1), Some(version("v1")), Millis(100));
        assert_eq!(records.find(Millis(1), key(1)), Known::Uncertain);
    }
}

#[test]
fn the_number_of_records_is_bounded() {
    let mut records = StreamRecords::default();
    for n in 0..MAX_RECORDS + 100 {
        records.insert(Millis(0), key(n), Some(version("v1")), Millis(1_000));
    }
    assert_eq!(records.len(), MAX_RECORDS);
    let newest = records.find(Millis(1), key(MAX_RECORDS + 99));
    assert_eq!(newest, Known::Version(version("v1")));
}

// Guards against dropping the newest record for the next one once there are as many as may be.
#[test]
fn beyond_the_bound_the_oldest_records_are_dropped_first() {
    let mut records = StreamRecords::default();
    for n in 0..MAX_RECORDS + 10 {
        records.insert(Millis(0), key(n), Some(version("v1")), Millis(1_000));
    }
    let is_known = |n: usize| records.find(Millis(1), key(n)) != Known::Nothing;
    assert!((0..10).all(|n| !is_known(n)));
    assert!((10..MAX_RECORDS + 10).all(is_known));
}

#[test]
fn a_record_that_ended_and_came_again_is_kept_like_others() {
    let mut records = StreamRecords::default();
    records.insert(Millis(0), key(0), Some(version("v1")), Millis(10));
    records.insert(Millis(20), key(0), Some(version("v2")), Millis(1_000));
    assert_eq!(
        records.find(Millis(21), key(0)),
        Known::Version(version("v2"))
    );
    records.expire(Millis(21));
    assert_eq!(records.len(), 1);
}

#[test]
fn a_record_for_another_host_carries_the_rest_of_its_time() {
    let mut records = StreamRecords::default();
    records.insert(Millis(10), key(1), Some(version("v1")), Millis(100));
    let record = records.record(Millis(40), key(1)).expect("it is known");
    assert_eq!(record.lasts_ms, Millis(70));
    assert_eq!(records.record(Millis(110), key(1)), None);
}
