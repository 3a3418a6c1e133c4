//! Edits of the table by operators: they are appended to the shared log, and answered once in
//! force.

use crate::daemon::node::{Life, Node};
use crate::prelude::*;
use crate::table::MAX_CHANGES;
use crate::table::message::Edit;
use crate::table::pending_edits::{CallId, refusal};

/// The retry time in refusals of edits.
const EDIT_RETRY_AFTER_MS: Millis = Millis(1_000);

impl Node {
    /// Handles an operator's edit. An edit that is on the log already, which its id shows, is not
    /// appended again.
    pub fn on_edit_asked(&mut self, now: Millis, call: CallId, edit: Edit, fx: &mut Effects) {
        match self.start_edit(now, call, edit) {
            Ok(()) => {}
            Err(refusal) => fx.push(Effect::AnswerEdit {
                call,
                result: Err(refusal),
            }),
        }
    }

    fn start_edit(&mut self, now: Millis, call: CallId, edit: Edit) -> Result<(), Refusal> {
        if let Some(line) = self.shared.table.find_edit(&edit.edit_id) {
            if let Some(rejection) = &line.rejected {
                return Err(refusal(rejection));
            }
            let offset = line.offset;
            self.acceptance.start(now, call, &edit, None, Some(offset));
            return Ok(());
        }
        if self.life != Life::Serving {
            let message = "this host is not serving; ask another one";
            return Err(
                Refusal::new(ErrorKind::Starting, message).with_retry_after(EDIT_RETRY_AFTER_MS)
            );
        }
        if !self.driver.is_reachable() {
            let message = "the log is out of reach; nothing was appended";
            return Err(Refusal::new(ErrorKind::LogUnavailable, message)
                .with_retry_after(EDIT_RETRY_AFTER_MS));
        }
        if !self.acceptance.has_room() {
            let message = "too many edits are under way at this host";
            return Err(
                Refusal::new(ErrorKind::Overloaded, message).with_retry_after(EDIT_RETRY_AFTER_MS)
            );
        }
        if edit.changes.len() > MAX_CHANGES {
            let message = format!("more than {MAX_CHANGES} changes in one edit");
            return Err(Refusal::new(ErrorKind::EditInvalid, message));
        }
        let record = self.driver.queue(RecordBody::Edit { edit: edit.clone() });
        if record.is_none() {
            let message =
                "the edit is too long for one record, or too many records wait for the log";
            return Err(
                Refusal::new(ErrorKind::Overloaded, message).with_retry_after(EDIT_RETRY_AFTER_MS)
            );
        }
        self.acceptance.start(now, call, &edit, record, None);
        Ok(())
    }

    /// Answers the operators whose edits are in force or whose waiting time has passed, and probes
    /// the hosts whose confirmations are missing. Runs at each tick.
    pub fn tick_edits(&mut self, now: Millis, fx: &mut Effects) {
        let bound_ms = self.freshness.bound_ms();
        let confirmed: IndexMap<Incarnation, Offset> = self.applied_offsets();
        self.acceptance
            .on_tick(now, bound_ms, &self.shared.members, &confirmed, fx);
        let Some(newest) = self.acceptance.newest_version() else {
            return;
        };
        let probe = self.own_probe(now);
        let missing = confirmed
            .iter()
            .filter(|(_, offset)| **offset <= newest)
            .map(|(host, _)| *host);
        self.probes
            .probe_now(now, missing, &self.shared.members, &probe, fx);
    }

    fn applied_offsets(&self) -> IndexMap<Incarnation, Offset> {
        if self.acceptance.is_empty() {
            return IndexMap::new();
        }
        let members = &self.shared.members;
        members
            .known()
            .map(|host| (host, self.known_next_offset(host)))
            .collect()
    }
}
