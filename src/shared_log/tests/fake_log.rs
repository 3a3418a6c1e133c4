//! A log in memory, and hosts that read and append to it step by step.

use crate::membership::message::HostEntry;
use crate::prelude::*;
use crate::shared_log::codec::encode;
use crate::shared_log::driver::{Driver, LogCallError};
use crate::shared_log::fold::{Shared, Step};
use crate::shared_log::record::LoggedRecord;
use crate::table::message::{Change, Edit, Model};
use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;

/// The records of a stream.
#[derive(Default)]
pub struct FakeLog {
    pub records: Vec<LoggedRecord>,
}

impl FakeLog {
    pub fn append(&mut self, records: &[Record]) {
        for record in records {
            self.append_text(&encode(record).unwrap());
        }
    }

    pub fn append_text(&mut self, text: &str) {
        let offset = self.end();
        self.records.push(LoggedRecord {
            offset,
            appended_ms: Millis(offset.0 * 10),
            payload: text.into(),
        });
    }

    pub fn end(&self) -> Offset {
        Offset(self.records.len() as u64)
    }
}

/// How an append ends.
#[derive(Clone, Copy, Debug)]
pub enum AppendFate {
    Answered,
    Refused,
    LostAfterEffect,
    LostWithoutEffect,
    LostAndLate,
}

/// A host: its driver, its state, and the calls that it waits for.
pub struct FakeHost {
    pub driver: Driver,
    pub shared: Shared,
    pub queued: Vec<RecordId>,
    pub accepted: Vec<RecordId>,
    pub late: Vec<Vec<Record>>,
    read_asked_at: Option<Millis>,
    append_under_way: Option<Vec<Record>>,
}

impl FakeHost {
    pub fn new(number: u64) -> Self {
        let mut host = Self {
            driver: Driver::new(Incarnation(number)),
            shared: Shared::default(),
            queued: Vec::new(),
            accepted: Vec::new(),
            late: Vec::new(),
            read_asked_at: None,
            append_under_way: None,
        };
        host.queue(RecordBody::Join {
            entry: host_entry(number),
        });
        host
    }

    pub fn queue(&mut self, body: RecordBody) {
        let id = self.driver.queue(body).unwrap();
        self.queued.push(id);
    }

    pub fn drive(&mut self, now: Millis) {
        let mut fx = Effects::new();
        self.driver.drive(now, self.shared.next_offset, &mut fx);
        for effect in fx {
            match effect {
                Effect::ReadLog { .. } => self.read_asked_at = Some(now),
                Effect::AppendLog { records } => {
                    assert!(self.append_under_way.is_none(), "one append at a time");
                    self.append_under_way = Some(records);
                }
                other => panic!("unexpected {other:?}"),
            }
        }
    }

    /// Answers the outstanding read with at most `most` records.
    pub fn answer_read(&mut self, log: &FakeLog, most: usize) {
        let Some(asked_at) = self.read_asked_at.take() else {
            return;
        };
        self.read(log, most);
        self.driver
            .on_page(asked_at, self.shared.next_offset, log.end());
    }

    /// Applies at most `most` records, as from the log or from a peer.
    pub fn read(&mut self, log: &FakeLog, most: usize) {
        let from = self.shared.next_offset.0 as usize;
        for logged in log.records[from..].iter().take(most) {
            self.apply(logged);
        }
    }

    pub fn apply(&mut self, logged: &LoggedRecord) {
        let Step::Applied(applied) = self.shared.apply_logged(logged) else {
            return;
        };
        self.driver.on_own_record(applied.record.id);
        if applied.verdict.is_accepted() {
            self.accepted.push(applied.record.id);
        }
    }

    pub fn fail_read(&mut self, now: Millis) {
        if self.read_asked_at.take().is_some() {
            self.driver.on_read_failed(now);
        }
    }

    pub fn end_append(&mut self, now: Millis, log: &mut FakeLog, fate: AppendFate) {
        let Some(records) = self.append_under_way.take() else {
            return;
        };
        match fate {
            AppendFate::Answered => {
                log.append(&records);
                self.driver.on_appended();
            }
            AppendFate::Refused => self.driver.on_append_failed(now, &LogCallError::Refused),
            AppendFate::LostAfterEffect => {
                log.append(&records);
                self.driver.on_append_failed(now, &LogCallError::Unknown);
            }
            AppendFate::LostWithoutEffect => {
                self.driver.on_append_failed(now, &LogCallError::Unknown);
            }
            AppendFate::LostAndLate => {
                self.late.push(records);
                self.driver.on_append_failed(now, &LogCallError::Unknown);
            }
        }
    }

    pub fn land_late(&mut self, log: &mut FakeLog) {
        if let Some(records) = self.late.pop() {
            log.append(&records);
        }
    }
}

pub fn host_entry(number: u64) -> HostEntry {
    let address = format!("127.0.0.1:{}", 1000 + number);
    HostEntry {
        name: format!("entry-{number}").into(),
        data_centre: "otaru".into(),
        caller_address: address.parse().unwrap(),
        peer_address: address.parse().unwrap(),
    }
}

/// An edit that puts a model.
pub fn put_model(edit_id: &str, base_version: Offset, name: &str) -> RecordBody {
    let model = Model {
        version: "1".into(),
        reserved_bytes: 1000,
        checkpoint_bytes: 1000,
        base: None,
    };
    RecordBody::Edit {
        edit: Edit {
            edit_id: edit_id.into(),
            operator: "operator".into(),
            base_version,
            changes: vec![Change::PutModel {
                name: name.into(),
                model,
            }],
        },
    }
}

pub fn text_of(shared: &Shared) -> String {
    serde_json::to_string(shared).unwrap()
}

/// Runs a property on a fixed row of seeds, each with `size_bytes` of entropy.
pub fn check_seeds<P>(runs: u64, size_bytes: u64, property: P)
where
    P: FnMut(&mut Unstructured<'_>) -> Result<()> + Copy,
{
    const SPREAD: u64 = 0x9e37_79b9;
    for run in 1..=runs {
        let random = run.wrapping_mul(SPREAD) << u32::BITS;
        arbtest(property).seed(random | size_bytes);
    }
}
