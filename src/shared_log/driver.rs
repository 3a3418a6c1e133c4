//! The driver of a host's reads from the log and appends to it, as a state machine without I/O.
//!
//! At most one read and one append are in progress, and at most one batch has not been read back,
//! so that a writer's records are on the log in the order of their sequence numbers. After an
//! append with an unknown result, a read that starts later must reach the end of the log; only the
//! records that were not read back by then are appended again. If the first append takes effect
//! late all the same, the second copies of its records have no effect when they are applied.

use crate::prelude::*;
use crate::shared_log::codec::encode;
use crate::shared_log::record::LoggedRecord;
use std::collections::VecDeque;

/// Most records in one append.
pub const MAX_BATCH_RECORDS: usize = 64;
/// Most bytes of records in one append.
pub const MAX_BATCH_BYTES: usize = 900 << 10;
/// Most records that wait to be appended, without the batch that is being appended.
pub const MAX_PENDING_RECORDS: usize = 4096;
/// Most records in one read.
pub const MAX_READ_RECORDS: usize = 512;
/// Long-poll time-out: how long a read at the end of the log waits for new records.
pub const LONG_POLL_MS: Millis = Millis(500);
/// For how long reads must have failed before the log counts as unreachable.
pub const UNREACHABLE_AFTER_MS: Millis = Millis(1_000);
/// Back-off after a failed read or a refused append.
pub const RETRY_BACKOFF_MS: Millis = Millis(100);

/// The answer to a read of the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LogPage {
    /// The records, in the order of their offsets.
    pub records: Vec<LoggedRecord>,
    /// The offset after the last of them.
    pub next_offset: Offset,
    /// The end of the log at the time of the answer: the offset that the next append gets.
    pub end_offset: Offset,
    /// The offset of the oldest record that the log retained at the time of the answer.
    #[serde(default)]
    pub oldest_offset: Offset,
}

/// Why a call to the log failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogCallError {
    /// The call certainly had no effect.
    Refused,
    /// The call may or may not have had an effect.
    Unknown,
    /// The requested offset was trimmed; the value is the oldest retained offset.
    Trimmed(Offset),
}

/// The state of the batch that is being appended.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
enum AppendState {
    #[default]
    Idle,
    Sent,
    AwaitingReadBack,
    /// The result of the append is unknown since this time.
    UnknownSince(Millis),
    RetryAt(Millis),
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
enum ReadState {
    #[default]
    Idle,
    Asked,
    RetryAt(Millis),
}

/// A record that waits to be appended, and the length of its encoding.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct QueuedRecord {
    record: Record,
    len_bytes: usize,
}

/// The state of one host's reads and appends.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Driver {
    me: Incarnation,
    last_seq: u64,
    pending: VecDeque<QueuedRecord>,
    /// Records of low priority, which are appended only when `pending` is empty.
    background: VecDeque<RecordBody>,
    /// The records that were sent to the log, or are about to be, and were not read back yet.
    batch: Vec<Record>,
    append: AppendState,
    read: ReadState,
    reachable: bool,
    end_seen_at: Option<Millis>,
    /// The time of the first of the consecutive failed reads.
    failing_since: Option<Millis>,
    /// Whether the log line about an unreachable log was written for this failure.
    loss_told: bool,
    halted: bool,
}

impl Driver {
    /// Creates the driver of a host's incarnation.
    pub fn new(me: Incarnation) -> Self {
        Self {
            me,
            ..Self::default()
        }
    }

    /// Restarts under a new incarnation. Queued records are dropped; a read in progress continues.
    pub fn rejoin(&mut self, me: Incarnation) {
        *self = Self {
            me,
            read: std::mem::take(&mut self.read),
            reachable: self.reachable,
            end_seen_at: self.end_seen_at,
            failing_since: self.failing_since,
            ..Self::default()
        };
    }

    /// Returns whether an append is in progress.
    pub fn is_appending(&self) -> bool {
        matches!(self.append, AppendState::Sent)
    }

    /// Returns whether the log is reachable. It counts as unreachable until the first answer, after
    /// reads have failed for [`UNREACHABLE_AFTER_MS`], and once the driver is halted.
    pub fn is_reachable(&self) -> bool {
        self.reachable
    }

    /// Returns the start time of the latest read that reached the end of the log.
    pub fn end_seen_at(&self) -> Option<Millis> {
        self.end_seen_at
    }

    /// Returns whether all queued records were appended and read back.
    pub fn is_drained(&self) -> bool {
        self.batch.is_empty() && self.pending.is_empty() && self.background.is_empty()
    }

    /// Returns whether [`Driver::halt`] was called.
    pub fn is_halted(&self) -> bool {
        self.halted
    }

    /// Stops reading and appending permanently. It is called when the next record has a newer
    /// format than this release knows.
    pub fn halt(&mut self) {
        self.halted = true;
        self.reachable = false;
    }

    /// Queues a record and returns its id, or `None` if the queue is full or the record is longer
    /// than [`MAX_BATCH_BYTES`].
    pub fn queue(&mut self, body: RecordBody) -> Option<RecordId> {
        if self.pending.len() >= MAX_PENDING_RECORDS {
            return None;
        }
        let queued = self.assign_id(body)?;
        let id = queued.record.id;
        self.pending.push_back(queued);
        Some(id)
    }

    fn assign_id(&mut self, body: RecordBody) -> Option<QueuedRecord> {
        let id = RecordId {
            host: self.me,
            seq: self.last_seq + 1,
        };
        let record = Record { id, body };
        let len_bytes = encode(&record).ok()?.len();
        if len_bytes > MAX_BATCH_BYTES {
            return None;
        }
        self.last_seq += 1;
        Some(QueuedRecord { record, len_bytes })
    }

    /// Queues records of low priority, such as the parts of a checkpoint. Each is appended only
    /// when no other record waits.
    pub fn queue_background(&mut self, bodies: impl IntoIterator<Item = RecordBody>) {
        self.background.extend(bodies);
    }

    /// Returns whether records of [`Driver::queue_background`] still wait.
    pub fn has_background(&self) -> bool {
        !self.background.is_empty()
    }

    /// Drops the records of [`Driver::queue_background`] that still wait.
    pub fn drop_background(&mut self) {
        self.background.clear();
    }

    /// Drops this host's records up to the sequence number `last_seq`, which are in a state that
    /// was loaded from a checkpoint.
    pub fn on_state_replaced(&mut self, last_seq: u64) {
        self.batch.retain(|record| record.id.seq > last_seq);
        self.pending
            .retain(|queued| queued.record.id.seq > last_seq);
        if self.batch.is_empty() && !matches!(self.append, AppendState::Sent) {
            self.append = AppendState::Idle;
        }
    }

    /// Starts the reads and appends that are due. `next_offset` is the next record to apply.
    pub fn drive(&mut self, now: Millis, next_offset: Offset, fx: &mut Effects) {
        if self.halted {
            return;
        }
        self.drive_read(now, next_offset, fx);
        self.drive_append(now, fx);
    }

    fn drive_read(&mut self, now: Millis, next_offset: Offset, fx: &mut Effects) {
        let due = match self.read {
            ReadState::Idle => true,
            ReadState::Asked => false,
            ReadState::RetryAt(at) => now >= at,
        };
        if !due {
            return;
        }
        self.read = ReadState::Asked;
        let urgent = matches!(self.append, AppendState::UnknownSince(_))
            || self.failing_since.is_some()
            || !self.reachable;
        let wait_ms = if urgent { Millis::ZERO } else { LONG_POLL_MS };
        fx.push(Effect::ReadLog {
            from: next_offset,
            wait_ms,
        });
    }

    fn drive_append(&mut self, now: Millis, fx: &mut Effects) {
        match self.append {
            AppendState::RetryAt(at) if now >= at => self.send_batch(fx),
            AppendState::Idle => {
                self.fill_batch();
                if !self.batch.is_empty() {
                    self.send_batch(fx);
                }
            }
            _ => {}
        }
    }

    fn fill_batch(&mut self) {
        if self.pending.is_empty()
            && let Some(body) = self.background.pop_front()
        {
            let queued = self.assign_id(body);
            self.pending.extend(queued);
        }
        let mut left_bytes = MAX_BATCH_BYTES;
        while self.batch.len() < MAX_BATCH_RECORDS {
            let fits = |queued: &mut QueuedRecord| queued.len_bytes <= left_bytes;
            let Some(queued) = self.pending.pop_front_if(fits) else {
                return;
            };
            left_bytes -= queued.len_bytes;
            self.batch.push(queued.record);
        }
    }

    fn send_batch(&mut self, fx: &mut Effects) {
        self.append = AppendState::Sent;
        fx.push(Effect::AppendLog {
            records: self.batch.clone(),
        });
    }

    /// Records that the answer to a read was not applied, so that the next read may start.
    pub fn on_read_not_applied(&mut self) {
        self.read = ReadState::Idle;
    }

    /// Records the answer to a read that started at `asked_at`. The caller has applied the log up
    /// to `next_offset`; `end_offset` was the end of the log.
    pub fn on_page(&mut self, asked_at: Millis, next_offset: Offset, end_offset: Offset) {
        self.read = ReadState::Idle;
        if !self.reachable {
            self.reachable = true;
            LogEvent::LogBack.write("");
        }
        self.failing_since = None;
        self.loss_told = false;
        if next_offset < end_offset {
            return;
        }
        self.end_seen_at = self.end_seen_at.max(Some(asked_at));
        if let AppendState::UnknownSince(since) = self.append
            && asked_at > since
        {
            self.append = AppendState::RetryAt(Millis::ZERO);
        }
    }

    /// Records that a read failed, and schedules the next one.
    pub fn on_read_failed(&mut self, now: Millis) {
        self.read = ReadState::RetryAt(now + RETRY_BACKOFF_MS);
        let since = *self.failing_since.get_or_insert(now);
        if !self.loss_told && now.since(since) >= UNREACHABLE_AFTER_MS {
            self.reachable = false;
            self.loss_told = true;
            LogEvent::LogLost.write("waiting for the log, retrying");
        }
    }

    /// Removes a record that was read back from the batch. The next batch may be appended when none
    /// is left and no append is in progress. Records of other hosts are ignored.
    pub fn on_own_record(&mut self, id: RecordId) {
        if id.host != self.me {
            return;
        }
        self.batch.retain(|record| record.id != id);
        if self.batch.is_empty() && !matches!(self.append, AppendState::Sent) {
            self.append = AppendState::Idle;
        }
    }

    /// Records that an append succeeded.
    pub fn on_appended(&mut self) {
        self.append = if self.batch.is_empty() {
            AppendState::Idle
        } else {
            AppendState::AwaitingReadBack
        };
    }

    /// Records that an append failed. It is retried after [`RETRY_BACKOFF_MS`] if it certainly had
    /// no effect, else after a read has shown which of its records are on the log.
    pub fn on_append_failed(&mut self, now: Millis, error: &LogCallError) {
        if self.batch.is_empty() {
            self.append = AppendState::Idle;
            return;
        }
        self.append = match error {
            LogCallError::Refused => AppendState::RetryAt(now + RETRY_BACKOFF_MS),
            LogCallError::Unknown | LogCallError::Trimmed(_) => {
                LogEvent::AppendUnknown.write(&format!("records={}", self.batch.len()));
                AppendState::UnknownSince(now)
            }
        };
    }
}
