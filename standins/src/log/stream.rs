//! One stream of records with consecutive offsets.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::Serialize;

use crate::error::Refusal;

/// How many payload bytes one read answers, unless its first record alone is longer.
const MAX_READ_BYTES: usize = 4 << 20;
/// How many payload bytes one stream retains.
const MAX_RETAINED_BYTES: usize = 256 << 20;

/// One record.
#[derive(Clone, Debug, Serialize)]
struct Record {
    offset: u64,
    appended_ms: u64,
    payload: Arc<str>,
}

/// Which records a read asks for.
#[derive(Clone, Copy, Debug)]
pub struct ReadRange {
    /// The first offset.
    pub from: u64,
    /// The largest number of records.
    pub max: usize,
}

/// The answer to a read.
#[derive(Debug, Serialize)]
pub struct Batch {
    records: Vec<Record>,
    next_offset: u64,
    end_offset: u64,
    oldest_offset: u64,
}

impl Batch {
    /// Reports whether the batch holds no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

/// The retained records of one stream.
#[derive(Debug, Default)]
pub struct Stream {
    records: VecDeque<Record>,
    retained_bytes: usize,
    oldest_offset: u64,
}

impl Stream {
    /// Returns the offset of the oldest retained record.
    pub fn oldest_offset(&self) -> u64 {
        self.oldest_offset
    }

    /// Returns the offset that the next record will get.
    pub fn end_offset(&self) -> u64 {
        self.oldest_offset + self.records.len() as u64
    }

    /// Appends all payloads and returns the first offset.
    pub fn append(&mut self, appended_ms: u64, payloads: Vec<Arc<str>>) -> u64 {
        let first_offset = self.end_offset();
        for (offset, payload) in (first_offset..).zip(payloads) {
            self.retained_bytes += payload.len();
            self.records.push_back(Record {
                offset,
                appended_ms,
                payload,
            });
        }
        first_offset
    }

    /// Drops the oldest records until at most `max_records` are left and their bytes fit.
    pub fn retain(&mut self, max_records: usize) {
        let surplus = self.records.len().saturating_sub(max_records);
        self.drop_oldest(surplus);
        while self.retained_bytes > MAX_RETAINED_BYTES {
            self.drop_oldest(1);
        }
    }

    /// Drops all records before the offset.
    pub fn trim_before(&mut self, before: u64) {
        let surplus = before.saturating_sub(self.oldest_offset);
        let surplus = usize::try_from(surplus).unwrap_or(usize::MAX);
        self.drop_oldest(surplus.min(self.records.len()));
    }

    fn drop_oldest(&mut self, count: usize) {
        let dropped = self.records.drain(..count);
        self.retained_bytes -= dropped.map(|record| record.payload.len()).sum::<usize>();
        self.oldest_offset += count as u64;
    }

    /// Copies the records of the range.
    ///
    /// # Errors
    ///
    /// Refuses a range that starts before the oldest retained record.
    pub fn read(&self, range: ReadRange) -> Result<Batch, Refusal> {
        if range.from < self.oldest_offset {
            return Err(Refusal::Trimmed {
                oldest_offset: self.oldest_offset,
                end_offset: self.end_offset(),
            });
        }
        let records = self.copy(range);
        Ok(Batch {
            next_offset: range.from + records.len() as u64,
            end_offset: self.end_offset(),
            oldest_offset: self.oldest_offset,
            records,
        })
    }

    fn copy(&self, range: ReadRange) -> Vec<Record> {
        let skip = usize::try_from(range.from - self.oldest_offset).unwrap_or(usize::MAX);
        let mut copied_bytes = 0;
        let mut copies = Vec::new();
        for record in self.records.iter().skip(skip).take(range.max) {
            copied_bytes += record.payload.len();
            if copied_bytes > MAX_READ_BYTES && !copies.is_empty() {
                break;
            }
            copies.push(record.clone());
        }
        copies
    }
}
