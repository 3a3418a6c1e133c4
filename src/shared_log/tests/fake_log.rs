//! An in-memory log, and simulated hosts that read it and append to it step by step.

use crate::membership::message::HostEntry;
use crate::prelude::*;
use crate::shared_log::codec::encode;
use crate::shared_log::driver::{Driver, LogCallError};
use crate::shared_log::fold::{ApplyOutcome, SharedState};
use crate::shared_log::record::LoggedRecord;
use crate::table::message::{Change, Edit, Model};
use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;

/// A log that keeps its records in memory. Its clock advances by 10 ms per record.
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

/// How an append ends for the host and on the log.
#[derive(Clone, Copy, Debug)]
pub enum AppendResult {
    /// The records are appended, and the host gets the answer.
    Answered,
    /// The records are not appended, and the host gets the error.
    Refused,
    /// The records are appended, but the host gets no answer.
    AppendedAnswerLost,
    /// The records are not appended, and the host gets no answer.
    RequestLost,
    /// The host gets no answer, and the records are appended by a later call of `append_delayed`.
    AppendedLater,
}

/// A simulated host: its driver, its state, and the calls that are in progress.
pub struct FakeHost {
    pub driver: Driver,
    pub shared: SharedState,
    /// The records that this host queued.
    pub queued: Vec<RecordId>,
    /// The records of any host that were accepted when this host applied them.
    pub accepted: Vec<RecordId>,
    /// The batches whose append takes effect later.
    pub delayed: Vec<Vec<Record>>,
    read_started_at: Option<Millis>,
    running_append: Option<Vec<Record>>,
}

impl FakeHost {
    pub fn new(id: u64) -> Self {
        let mut host = Self {
            driver: Driver::new(Incarnation(id)),
            shared: SharedState::default(),
            queued: Vec::new(),
            accepted: Vec::new(),
            delayed: Vec::new(),
            read_started_at: None,
            running_append: None,
        };
        host.queue(RecordBody::Join {
            entry: host_entry(id),
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
                Effect::ReadLog { .. } => self.read_started_at = Some(now),
                Effect::AppendLog { records } => {
                    assert!(self.running_append.is_none(), "one append at a time");
                    self.running_append = Some(records);
                }
                other => panic!("unexpected {other:?}"),
            }
        }
    }

    /// Answers the read in progress with at most `max_records` records.
    pub fn answer_read(&mut self, log: &FakeLog, max_records: usize) {
        let Some(asked_at) = self.read_started_at.take() else {
            return;
        };
        self.read(log, max_records);
        self.driver
            .on_page(asked_at, self.shared.next_offset, log.end());
    }

    /// Applies at most `max_records` records, as when a peer forwards them.
    pub fn read(&mut self, log: &FakeLog, max_records: usize) {
        let from = self.shared.next_offset.0 as usize;
        for logged in log.records[from..].iter().take(max_records) {
            self.apply(logged);
        }
    }

    pub fn apply(&mut self, logged: &LoggedRecord) {
        let ApplyOutcome::Applied(applied) = self.shared.apply_logged(logged) else {
            return;
        };
        self.driver.on_own_record(applied.record.id);
        if applied.verdict.is_accepted() {
            self.accepted.push(applied.record.id);
        }
    }

    pub fn fail_read(&mut self, now: Millis) {
        if self.read_started_at.take().is_some() {
            self.driver.on_read_failed(now);
        }
    }

    pub fn end_append(&mut self, now: Millis, log: &mut FakeLog, result: AppendResult) {
        let Some(records) = self.running_append.take() else {
            return;
        };
        match result {
            AppendResult::Answered => {
                log.append(&records);
                self.driver.on_appended();
            }
            AppendResult::Refused => self.driver.on_append_failed(now, &LogCallError::Refused),
            AppendResult::AppendedAnswerLost => {
                log.append(&records);
                self.driver.on_append_failed(now, &LogCallError::Unknown);
            }
            AppendResult::RequestLost => {
                self.driver.on_append_failed(now, &LogCallError::Unknown);
            }
            AppendResult::AppendedLater => {
                self.delayed.push(records);
                self.driver.on_append_failed(now, &LogCallError::Unknown);
            }
        }
    }

    pub fn append_delayed(&mut self, log: &mut FakeLog) {
        if let Some(records) = self.delayed.pop() {
            log.append(&records);
        }
    }
}

pub fn host_entry(id: u64) -> HostEntry {
    let address = format!("127.0.0.1:{}", 1000 + id);
    HostEntry {
        name: format!("entry-{id}").into(),
        data_centre: "otaru".into(),
        caller_address: address.parse().unwrap(),
        peer_address: address.parse().unwrap(),
    }
}

/// Returns the record of an edit that adds or replaces a model.
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

pub fn text_of(shared: &SharedState) -> String {
    serde_json::to_string(shared).unwrap()
}

/// Checks a property for fixed seeds, each with `size_bytes` of random input.
pub fn check_seeds<P>(runs: u64, size_bytes: u64, property: P)
where
    P: FnMut(&mut Unstructured<'_>) -> Result<()> + Copy,
{
    const SEED_MULTIPLIER: u64 = 0x9e37_79b9;
    for run in 1..=runs {
        let random = run.wrapping_mul(SEED_MULTIPLIER) << u32::BITS;
        arbtest(property).seed(random | size_bytes);
    }
}
