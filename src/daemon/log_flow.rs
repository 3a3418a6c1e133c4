//! Joins the log's driver and the fold to the other slices.

use crate::daemon::node::Node;
use crate::prelude::*;
use crate::shared_log::driver::{LogCallError, LogPage};
use crate::shared_log::fold::Applied;
use crate::shared_log::record::LoggedRecord;

/// Most applied records kept for peers.
pub const MAX_RECENT_RECORDS: usize = 4096;

impl Node {
    /// Takes a page of the log.
    pub fn on_log_read(&mut self, now: Millis, asked_at: Millis, page: LogPage, fx: &mut Effects) {
        for logged in &page.records {
            self.apply_logged(now, logged, fx);
        }
        self.driver
            .on_page(asked_at, self.shared.next_offset, page.end_offset);
        if self.shared.next_offset >= page.end_offset {
            self.freshness.log_known(asked_at);
        }
    }

    /// Takes a failed read.
    pub fn on_log_read_failed(&mut self, now: Millis, error: &LogCallError) {
        if let LogCallError::Trimmed(oldest) = error {
            LogEvent::LogTrimmed.write(&format!(
                "wanted={} oldest={oldest}",
                self.shared.next_offset
            ));
        }
        self.driver.on_read_failed(now);
    }

    /// Applies records that a peer passed on.
    pub fn apply_relayed(&mut self, now: Millis, records: &[LoggedRecord], fx: &mut Effects) {
        for logged in records {
            if logged.offset != self.shared.next_offset {
                continue;
            }
            self.apply_logged(now, logged, fx);
        }
    }

    fn apply_logged(&mut self, now: Millis, logged: &LoggedRecord, fx: &mut Effects) {
        match self.shared.apply_logged(logged) {
            Ok(None) => return,
            Ok(Some(applied)) => self.after_applied(now, &applied, fx),
            Err(error) => {
                LogEvent::RecordUndecodable.write(&format!("offset={} {error}", logged.offset));
            }
        }
        self.recent.push_back(logged.clone());
        while self.recent.len() > MAX_RECENT_RECORDS {
            self.recent.pop_front();
        }
    }

    fn after_applied(&mut self, now: Millis, applied: &Applied, fx: &mut Effects) {
        self.driver.on_own_record(applied.record.id);
        self.acceptance.on_applied(applied, fx);
        self.membership_applied(applied);
        self.placement_applied(now, applied);
        self.requests_applied(now, applied, fx);
    }

    /// Returns the applied records from an offset on, if they are still kept.
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
