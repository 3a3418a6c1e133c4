//! Joins operators' edits to the log.

use crate::daemon::node::{Life, Node};
use crate::prelude::*;
use crate::table::acceptance::{CallId, refusal};
use crate::table::message::Edit;

const EDIT_RETRY_MS: Millis = Millis(1_000);

impl Node {
    /// Takes an operator's edit.
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
            return Err(Refusal::new(ErrorKind::Starting, message).after(EDIT_RETRY_MS));
        }
        if !self.driver.is_reachable() {
            let message = "the log is out of reach; nothing was appended";
            return Err(Refusal::new(ErrorKind::LogUnavailable, message).after(EDIT_RETRY_MS));
        }
        if !self.acceptance.has_room() {
            let message = "too many edits are under way at this host";
            return Err(Refusal::new(ErrorKind::Overloaded, message).after(EDIT_RETRY_MS));
        }
        let record = self.driver.queue(RecordBody::Edit { edit: edit.clone() });
        if record.is_none() {
            let message = "too many records wait for the log";
            return Err(Refusal::new(ErrorKind::Overloaded, message).after(EDIT_RETRY_MS));
        }
        self.acceptance.start(now, call, &edit, record, None);
        Ok(())
    }

    /// Answers the operators whose edits are in force, or overdue.
    pub fn tick_edits(&mut self, now: Millis, fx: &mut Effects) {
        let me = self.config.me;
        let own_offset = self.shared.next_offset;
        let probes = &self.probes;
        let confirmed = |host: Incarnation| {
            if host == me {
                return own_offset;
            }
            probes.get(host).map_or(Offset(0), |view| view.next_offset)
        };
        let bound_ms = self.freshness.bound_ms();
        self.acceptance
            .on_tick(now, bound_ms, &self.shared.members, confirmed, fx);
    }
}
