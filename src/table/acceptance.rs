//! When an operator may be told that an edit is in force.
//!
//! An edit is in force once every host that may still serve has confirmed its offset, or once a majority
//! of the counted hosts has and the freshness bound has passed since: whoever has not confirmed by then
//! refuses new work by its own rule. A departed host may not know yet that it departed, so it is waited
//! for like a present one until its process is gone. `docs/design/membership.md` has the argument.

use crate::membership::members::Members;
use crate::prelude::*;
use crate::shared_log::fold::Applied;
use crate::table::Table;
use crate::table::message::{Edit, EditAnswer};

/// Most edits of operators under way at one host.
pub const MAX_EDITS_UNDER_WAY: usize = 256;
/// How long an operator waits before it is told that an edit is still pending.
pub const PENDING_ANSWER_MS: Millis = Millis(5_000);

/// Names an operator's call within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallId(pub u64);

/// An edit under way.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct EditUnderWay {
    edit_id: Name,
    record: Option<RecordId>,
    asked_at: Millis,
    accepted: Option<Offset>,
    majority_at: Option<Millis>,
}

/// The edits that operators at this host wait for.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Acceptance {
    under_way: IndexMap<CallId, EditUnderWay>,
}

/// A final answer to an operator's call.
pub type EditResult = Result<EditAnswer, Refusal>;

impl Acceptance {
    /// Takes an edit whose record was queued, or one that is already in the history.
    pub fn start(
        &mut self,
        now: Millis,
        call: CallId,
        edit: &Edit,
        record: Option<RecordId>,
        accepted: Option<Offset>,
    ) {
        let edit_id = edit.edit_id.clone();
        let entry = EditUnderWay {
            edit_id,
            record,
            asked_at: now,
            accepted,
            majority_at: None,
        };
        self.under_way.insert(call, entry);
    }

    /// Tells whether another edit may start.
    pub fn has_room(&self) -> bool {
        self.under_way.len() < MAX_EDITS_UNDER_WAY
    }

    /// Tells whether no operator waits.
    pub fn is_empty(&self) -> bool {
        self.under_way.is_empty()
    }

    /// Returns the newest version that an operator waits for.
    pub fn newest_version(&self) -> Option<Offset> {
        self.under_way
            .values()
            .filter_map(|entry| entry.accepted)
            .max()
    }

    /// Takes an applied record; answers the operator when the fold rejected its edit.
    pub fn on_applied(&mut self, applied: &Applied, table: &Table, fx: &mut Effects) {
        let RecordBody::Edit { edit } = &applied.record.body else {
            return;
        };
        log_verdict(applied, edit);
        let id = applied.record.id;
        let mut refused = Vec::new();
        for (call, entry) in &mut self.under_way {
            if entry.record != Some(id) || entry.accepted.is_some() {
                continue;
            }
            match first_verdict(applied, edit, table) {
                Verdict::Accepted => entry.accepted = Some(entry_version(applied, edit, table)),
                Verdict::Duplicate => {}
                Verdict::Rejected(rejection) => refused.push((*call, refusal(&rejection))),
            }
        }
        self.refuse(refused, fx);
    }

    /// Looks the edits up in the history, after the state was taken from a checkpoint.
    pub fn on_state_replaced(&mut self, table: &Table, fx: &mut Effects) {
        let mut refused = Vec::new();
        for (call, entry) in &mut self.under_way {
            let Some(line) = table.find_edit(&entry.edit_id) else {
                continue;
            };
            match &line.rejected {
                None => entry.accepted = Some(line.offset),
                Some(rejection) => refused.push((*call, refusal(rejection))),
            }
        }
        self.refuse(refused, fx);
    }

    fn refuse(&mut self, refused: Vec<(CallId, Refusal)>, fx: &mut Effects) {
        for (call, refusal) in refused {
            self.under_way.shift_remove(&call);
            fx.push(Effect::AnswerEdit {
                call,
                result: Err(refusal),
            });
        }
    }

    /// Answers whoever can be answered now.
    pub fn on_tick(
        &mut self,
        now: Millis,
        fresh_bound_ms: Millis,
        members: &Members,
        confirmed: &IndexMap<Incarnation, Offset>,
        fx: &mut Effects,
    ) {
        let mut answered = Vec::new();
        for (call, entry) in &mut self.under_way {
            if let Some(result) = entry.check(now, fresh_bound_ms, members, confirmed) {
                answered.push((*call, entry.edit_id.clone(), result));
            }
        }
        for (call, edit_id, result) in answered {
            self.under_way.shift_remove(&call);
            if let Ok(EditAnswer::InForce { version }) = &result {
                LogEvent::EditInForce.write(&format!("edit={edit_id} version={version}"));
            }
            fx.push(Effect::AnswerEdit { call, result });
        }
    }
}

impl EditUnderWay {
    fn check(
        &mut self,
        now: Millis,
        fresh_bound_ms: Millis,
        members: &Members,
        confirmed: &IndexMap<Incarnation, Offset>,
    ) -> Option<EditResult> {
        let overdue = now.since(self.asked_at) >= PENDING_ANSWER_MS;
        let Some(version) = self.accepted else {
            return overdue.then(|| Err(not_logged()));
        };
        let has_it = |host: &Incarnation| confirmed.get(host).is_some_and(|next| *next > version);
        let unconfirmed: Vec<Name> = members
            .iter()
            .chain(members.departed())
            .filter(|(host, _)| !has_it(host))
            .map(|(_, member)| member.entry.name.clone())
            .collect();
        if unconfirmed.is_empty() {
            return Some(Ok(EditAnswer::InForce { version }));
        }
        let counted = members.voters().count();
        let with_it = members.voters().filter(has_it).count();
        if with_it * 2 > counted {
            let since = *self.majority_at.get_or_insert(now);
            if now.since(since) > fresh_bound_ms {
                return Some(Ok(EditAnswer::InForce { version }));
            }
        }
        overdue.then_some(Ok(EditAnswer::Pending {
            version,
            unconfirmed,
        }))
    }
}

/// Returns the verdict on the first record of an edit; a repeated one has no verdict of its own.
fn first_verdict(applied: &Applied, edit: &Edit, table: &Table) -> Verdict {
    if applied.verdict != Verdict::Rejected(Rejection::EditRepeated) {
        return applied.verdict.clone();
    }
    let first = table.find_edit(&edit.edit_id);
    let rejected = first.and_then(|line| line.rejected.clone());
    rejected.map_or(Verdict::Accepted, Verdict::Rejected)
}

fn entry_version(applied: &Applied, edit: &Edit, table: &Table) -> Offset {
    let first = table.find_edit(&edit.edit_id);
    first.map_or(applied.offset, |line| line.offset)
}

fn not_logged() -> Refusal {
    let message = "the edit has not been read back from the log; repeat it with the same edit id";
    Refusal::new(ErrorKind::EditPending, message).with_retry_after(Millis(1_000))
}

/// Turns the fold's rejection of an edit into the operator's answer.
pub fn refusal(rejection: &Rejection) -> Refusal {
    match rejection {
        Rejection::EditConflict { what } => Refusal::new(
            ErrorKind::EditConflict,
            format!("{what} changed after the base version"),
        ),
        Rejection::EditInvalid { why } => Refusal::new(ErrorKind::EditInvalid, why.clone()),
        Rejection::NotMember => {
            let message = "this host was taken for dead; send the edit to another one";
            Refusal::new(ErrorKind::CutOff, message).with_retry_after(Millis(1_000))
        }
        other => Refusal::new(
            ErrorKind::EditInvalid,
            format!("the edit was rejected: {other:?}"),
        ),
    }
}

fn log_verdict(applied: &Applied, edit: &Edit) {
    let details = format!("edit={} offset={}", edit.edit_id, applied.offset);
    match &applied.verdict {
        Verdict::Accepted => LogEvent::EditAccepted.write(&details),
        Verdict::Rejected(why) => LogEvent::EditRejected.write(&format!("{details} why={why:?}")),
        Verdict::Duplicate => {}
    }
}
