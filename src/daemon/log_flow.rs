//! Reading of the shared log: records are applied to the replicated state, checkpoints are read and
//! written, and records are exchanged with peers.

use crate::daemon::node::{Life, Node};
use crate::prelude::*;
use crate::shared_log::checkpoint::{CheckpointScan, ScanOutcome, split_into_parts};
use crate::shared_log::driver::{LogCallError, LogPage};
use crate::shared_log::fold::{Applied, ApplyOutcome, SharedState};
use crate::shared_log::record::LoggedRecord;

/// Most applied records that are kept for requests of peers.
pub const MAX_RECENT_RECORDS: usize = 4096;

/// The key that selects the host that writes checkpoints: its home, see [`Node::is_home`].
const CHECKPOINT_KEY: &str = "checkpoint";

/// Whether the record after the current one may be applied too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextRecord {
    Apply,
    Stop,
}

impl Node {
    /// Returns the offset to read next: that of the search for a checkpoint, if one is under way,
    /// else that of the next record to apply.
    pub fn next_read_offset(&self) -> Offset {
        let scanned = self.scan.as_ref().map(|scan| scan.next_offset());
        scanned.unwrap_or(self.shared.next_offset)
    }

    /// Handles the answer to a read of the log that was sent at `asked_at`.
    pub fn on_log_read(&mut self, now: Millis, asked_at: Millis, page: LogPage, fx: &mut Effects) {
        if page.next_offset > page.end_offset {
            self.on_log_shorter(now, page.end_offset);
            return;
        }
        self.log_oldest = page.oldest_offset;
        if self.scan.is_some() {
            self.scan_page(&page, fx);
            return;
        }
        for logged in &page.records {
            if self.apply_logged(now, logged, fx) == NextRecord::Stop {
                self.scan_after_gap(logged);
                break;
            }
        }
        self.freshness.on_applied(self.shared.next_offset);
        self.driver
            .on_page(asked_at, self.shared.next_offset, page.end_offset);
        if self.shared.next_offset >= page.end_offset {
            self.freshness.note_log_applied(asked_at);
        }
    }

    /// Handles a log that ends before the records that this host applied: it has lost records. The
    /// page is ignored, and the read counts as failed.
    fn on_log_shorter(&mut self, now: Millis, end_offset: Offset) {
        let next_offset = self.shared.next_offset;
        if self.driver.is_reachable() {
            LogEvent::LogShorter.write(&format!("end={end_offset} applied={next_offset}"));
        }
        self.driver.on_read_failed(now);
    }

    /// Handles a failed read. If the log no longer keeps the next record, the search for a
    /// checkpoint starts.
    pub fn on_log_read_failed(&mut self, now: Millis, error: &LogCallError) {
        if let LogCallError::Trimmed(oldest) = error {
            self.start_scan(*oldest);
            self.driver.on_read_not_applied();
            return;
        }
        self.driver.on_read_failed(now);
    }

    fn start_scan(&mut self, oldest: Offset) {
        let wanted = self.shared.next_offset;
        LogEvent::LogTrimmed.write(&format!("wanted={wanted} oldest={oldest}"));
        self.scan = Some(CheckpointScan::new(oldest));
    }

    /// Starts a search for a checkpoint if a record could not be applied because earlier ones are
    /// missing from the log.
    fn scan_after_gap(&mut self, logged: &LoggedRecord) {
        if logged.offset > self.shared.next_offset {
            self.start_scan(logged.offset);
        }
    }

    /// Passes the records of a page to the search for a checkpoint. They are not applied one by
    /// one.
    fn scan_page(&mut self, page: &LogPage, fx: &mut Effects) {
        self.driver.on_read_not_applied();
        for logged in &page.records {
            let Some(scan) = &mut self.scan else {
                return;
            };
            match scan.read_record(logged) {
                ScanOutcome::Continue => {}
                ScanOutcome::Complete(shared) => self.replace_state(*shared, fx),
                ScanOutcome::Newer { format } => self.halt(logged.offset, format),
            }
        }
    }

    /// Replaces the replicated state by that of a checkpoint, unless the present one is newer.
    fn replace_state(&mut self, shared: SharedState, fx: &mut Effects) {
        self.scan = None;
        if shared.next_offset < self.shared.next_offset {
            return;
        }
        LogEvent::CheckpointRead.write(&format!("as_of={}", shared.next_offset));
        self.shared = shared;
        self.recent.clear();
        let last_seq = self.shared.members.last_seq(self.config.me);
        self.driver.on_state_replaced(last_seq);
        // `acceptance` holds the edits of the table that operators wait for.
        self.acceptance.on_state_replaced(&self.shared.table, fx);
    }

    /// Stops reading and appending for good at a record of a newer release, which this one cannot
    /// apply.
    fn halt(&mut self, offset: Offset, format: u32) {
        if !self.driver.is_halted() {
            LogEvent::RecordNewer.write(&format!("offset={offset} format={format}"));
        }
        self.driver.halt();
    }

    /// Writes a checkpoint if one is due and this host is the home of `CHECKPOINT_KEY`. The
    /// newest append time of the applied records, `log_ms`, is the current time for this. Runs at
    /// each tick.
    pub fn tick_checkpoint(&mut self, now: Millis) {
        let shared = &self.shared;
        let due = shared
            .checkpoints
            .is_due(shared.log_ms, shared.next_offset, self.log_oldest);
        let able = self.life == Life::Serving && self.driver.is_reachable() && self.is_fresh(now);
        if !due || !able || self.driver.has_background() || !self.is_home(CHECKPOINT_KEY) {
            return;
        }
        if self.platform.may_propose(now, CHECKPOINT_KEY) {
            self.write_checkpoint();
        }
    }

    fn write_checkpoint(&mut self) {
        let Ok(parts) = split_into_parts(&self.shared) else {
            return;
        };
        let as_of = self.shared.next_offset;
        LogEvent::CheckpointWritten.write(&format!("as_of={as_of} parts={}", parts.len()));
        let bodies = parts
            .into_iter()
            .map(|part| RecordBody::Checkpoint { part });
        self.driver.queue_background(bodies);
    }

    /// Applies records that a peer returned. A search for a checkpoint ends if they close the gap.
    pub fn apply_relayed(&mut self, now: Millis, records: &[LoggedRecord], fx: &mut Effects) {
        for logged in records {
            if self.apply_logged(now, logged, fx) == NextRecord::Stop {
                break;
            }
        }
        self.freshness.on_applied(self.shared.next_offset);
        let reached = |scan: &CheckpointScan| self.shared.next_offset >= scan.from();
        if self.scan.as_ref().is_some_and(reached) {
            self.scan = None;
        }
    }

    fn apply_logged(&mut self, now: Millis, logged: &LoggedRecord, fx: &mut Effects) -> NextRecord {
        match self.shared.apply_logged(logged) {
            ApplyOutcome::AlreadyApplied => return NextRecord::Apply,
            ApplyOutcome::Gap => return NextRecord::Stop,
            ApplyOutcome::Newer { format } => {
                self.halt(logged.offset, format);
                return NextRecord::Stop;
            }
            ApplyOutcome::Applied(applied) => self.after_applied(now, &applied, fx),
            ApplyOutcome::Undecodable { why } => {
                LogEvent::RecordUndecodable.write(&format!("offset={} {why}", logged.offset));
            }
        }
        self.recent.push_back(logged.clone());
        while self.recent.len() > MAX_RECENT_RECORDS {
            self.recent.pop_front();
        }
        NextRecord::Apply
    }

    fn after_applied(&mut self, now: Millis, applied: &Applied, fx: &mut Effects) {
        self.driver.on_own_record(applied.record.id);
        self.acceptance.on_applied(applied, &self.shared.table, fx);
        self.membership_applied(now, applied);
        self.placement_applied(now, applied);
        self.requests_applied(now, applied, fx);
    }

    /// Returns up to `most` applied records from an offset on, or none if that offset is not kept
    /// any more.
    pub fn records_from(&self, from: Offset, most: usize) -> Vec<LoggedRecord> {
        let kept_from = self.recent.front().map(|logged| logged.offset);
        if kept_from.is_none_or(|kept| from < kept) {
            return Vec::new();
        }
        self.recent
            .iter()
            .filter(|logged| logged.offset >= from)
            .take(most)
            .cloned()
            .collect()
    }
}
