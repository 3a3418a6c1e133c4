//! The driver that tails the log and appends to it, as a pure state machine.
//!
//! One read and one append are outstanding at most, and at most one batch is on its way, so that a
//! writer's records stand on the log in the order of their sequence numbers. A batch whose answer was lost is appended again
//! only after a read that started later reached the end of the log without showing it; the fold
//! ignores the second copy if the first turns up after all.

use crate::prelude::*;
use crate::shared_log::codec::encode;
use crate::shared_log::record::LoggedRecord;
use std::collections::VecDeque;

/// Most records in one append.
pub const MAX_BATCH_RECORDS: usize = 64;
/// Most bytes of records in one append.
pub const MAX_BATCH_BYTES: usize = 900 << 10;
/// Most records waiting to be appended.
pub const MAX_PENDING_RECORDS: usize = 4096;
/// Most records in one read.
pub const MAX_READ_RECORDS: usize = 512;
/// How long a read waits at the end of the log.
pub const READ_WAIT_MS: Millis = Millis(500);
/// How long reads must have failed before the log counts as out of reach.
pub const OUT_OF_REACH_AFTER_MS: Millis = Millis(1_000);
/// How long to wait after a failed call.
pub const RETRY_MS: Millis = Millis(100);

/// A read's answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LogPage {
    /// The records, in order.
    pub records: Vec<LoggedRecord>,
    /// The next offset after them.
    pub next_offset: Offset,
    /// The end of the log when the answer was made.
    pub end_offset: Offset,
    /// The oldest record that the log kept when the answer was made.
    #[serde(default)]
    pub oldest_offset: Offset,
}

/// Why a call to the log failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogCallError {
    /// Certainly without effect.
    Refused,
    /// The effect is unknown.
    Unknown,
    /// The offset asked for was trimmed; this is the oldest kept.
    Trimmed(Offset),
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
enum AppendState {
    #[default]
    Idle,
    Sent,
    AwaitingReadBack,
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

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Queued {
    record: Record,
    len_bytes: usize,
}

/// The state of the driver.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Driver {
    me: Incarnation,
    last_seq: u64,
    pending: VecDeque<Queued>,
    /// Parts of a checkpoint; each waits until nothing else does.
    background: VecDeque<RecordBody>,
    batch: Vec<Record>,
    append: AppendState,
    read: ReadState,
    reachable: bool,
    end_seen_at: Option<Millis>,
    failing_since: Option<Millis>,
    loss_told: bool,
    halted: bool,
}

impl Driver {
    /// Makes the driver of one incarnation.
    pub fn new(me: Incarnation) -> Self {
        Self {
            me,
            ..Self::default()
        }
    }

    /// Begins anew under another incarnation; what was queued stays behind. Calls under way go on.
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

    /// Tells whether an append's answer is still awaited.
    pub fn is_appending(&self) -> bool {
        matches!(self.append, AppendState::Sent)
    }

    /// Tells whether the log answered lately: reads that fail for less than [`OUT_OF_REACH_AFTER_MS`] do not count.
    pub fn is_reachable(&self) -> bool {
        self.reachable
    }

    /// Returns the start of the newest read that reached the end of the log.
    pub fn end_seen_at(&self) -> Option<Millis> {
        self.end_seen_at
    }

    /// Tells whether everything queued was read back.
    pub fn is_drained(&self) -> bool {
        self.batch.is_empty() && self.pending.is_empty() && self.background.is_empty()
    }

    /// Tells whether a record that this release cannot apply ended the reading for good.
    pub fn is_halted(&self) -> bool {
        self.halted
    }

    /// Ends reading and appending for good.
    pub fn halt(&mut self) {
        self.halted = true;
        self.reachable = false;
    }

    /// Queues a record and returns its id, or nothing when the queue is full or the record too long.
    pub fn queue(&mut self, body: RecordBody) -> Option<RecordId> {
        if self.pending.len() >= MAX_PENDING_RECORDS {
            return None;
        }
        let queued = self.number(body)?;
        let id = queued.record.id;
        self.pending.push_back(queued);
        Some(id)
    }

    fn number(&mut self, body: RecordBody) -> Option<Queued> {
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
        Some(Queued { record, len_bytes })
    }

    /// Queues records that give way to all others.
    pub fn queue_background(&mut self, bodies: impl IntoIterator<Item = RecordBody>) {
        self.background.extend(bodies);
    }

    /// Tells whether records of [`Driver::queue_background`] still wait.
    pub fn has_background(&self) -> bool {
        !self.background.is_empty()
    }

    /// Drops the records of [`Driver::queue_background`] that still wait.
    pub fn drop_background(&mut self) {
        self.background.clear();
    }

    /// Drops own records that the fold has seen, after the state was taken from a checkpoint.
    pub fn on_state_replaced(&mut self, last_seq: u64) {
        self.batch.retain(|record| record.id.seq > last_seq);
        self.pending
            .retain(|queued| queued.record.id.seq > last_seq);
        if self.batch.is_empty() && !matches!(self.append, AppendState::Sent) {
            self.append = AppendState::Idle;
        }
    }

    /// Starts whatever call is due.
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
        let wait_ms = if urgent { Millis::ZERO } else { READ_WAIT_MS };
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
            let queued = self.number(body);
            self.pending.extend(queued);
        }
        let mut left_bytes = MAX_BATCH_BYTES;
        while self.batch.len() < MAX_BATCH_RECORDS {
            let fits = |queued: &mut Queued| queued.len_bytes <= left_bytes;
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

    /// Takes the answer to a read that cannot be applied yet, so that another one may start.
    pub fn on_page_unused(&mut self) {
        self.read = ReadState::Idle;
    }

    /// Takes a read's answer; the caller has applied its records to the fold, up to `next_offset`.
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

    /// Takes a read's failure.
    pub fn on_read_failed(&mut self, now: Millis) {
        self.read = ReadState::RetryAt(now + RETRY_MS);
        let since = *self.failing_since.get_or_insert(now);
        if !self.loss_told && now.since(since) >= OUT_OF_REACH_AFTER_MS {
            self.reachable = false;
            self.loss_told = true;
            LogEvent::LogLost.write("waiting for the log, retrying");
        }
    }

    /// Takes note of an own record read back; the batch ends with its last record.
    pub fn on_own_record(&mut self, id: RecordId) {
        if id.host != self.me {
            return;
        }
        self.batch.retain(|record| record.id != id);
        if self.batch.is_empty() && !matches!(self.append, AppendState::Sent) {
            self.append = AppendState::Idle;
        }
    }

    /// Takes an append's success.
    pub fn on_appended(&mut self) {
        self.append = if self.batch.is_empty() {
            AppendState::Idle
        } else {
            AppendState::AwaitingReadBack
        };
    }

    /// Takes an append's failure.
    pub fn on_append_failed(&mut self, now: Millis, error: &LogCallError) {
        if self.batch.is_empty() {
            self.append = AppendState::Idle;
            return;
        }
        self.append = match error {
            LogCallError::Refused => AppendState::RetryAt(now + RETRY_MS),
            LogCallError::Unknown | LogCallError::Trimmed(_) => {
                LogEvent::AppendUnknown.write(&format!("records={}", self.batch.len()));
                AppendState::UnknownSince(now)
            }
        };
    }
}
