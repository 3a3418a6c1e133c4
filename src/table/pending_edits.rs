//! The edits whose operators wait for an answer, and the rule by which an edit is in force.
//!
//! An edit is in force once every host that may still serve has confirmed its offset. It is also in
//! force once a majority of the voters has confirmed it and the freshness bound has passed since:
//! by then every host that has not confirmed refuses new requests on its own. A departed host may
//! not know yet that it departed, so its confirmation is needed like that of a present host until
//! its process no longer exists. `docs/design/membership.md` explains why this is correct.

use crate::membership::members::Members;
use crate::prelude::*;
use crate::shared_log::fold::Applied;
use crate::table::Table;
use crate::table::message::{Edit, EditAnswer};

/// Most edits at one host whose operators wait for an answer.
pub const MAX_PENDING_EDITS: usize = 256;
/// Time after which an operator is told that its edit is still pending.
pub const PENDING_ANSWER_MS: Millis = Millis(5_000);

/// The identity of an operator's call to this host, unique within one run of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CallId(pub u64);

/// An edit whose operator waits for an answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct PendingEdit {
    edit_id: Name,
    /// The record that this host queued; none if the edit was in the history before.
    record: Option<RecordId>,
    asked_at: Millis,
    /// The table version that the edit produced, once it was accepted.
    accepted: Option<Offset>,
    /// The time at which this host first saw that a majority of the voters had confirmed it.
    majority_at: Option<Millis>,
}

/// The edits of this host whose operators wait for an answer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PendingEdits {
    under_way: IndexMap<CallId, PendingEdit>,
}

/// The answer to an operator's call.
pub type EditResult = Result<EditAnswer, Refusal>;

impl PendingEdits {
    /// Adds an edit. It has either a queued `record`, or the `accepted` version if it is a repeated
    /// edit that is already in the history.
    pub fn start(
        &mut self,
        now: Millis,
        call: CallId,
        edit: &Edit,
        record: Option<RecordId>,
        accepted: Option<Offset>,
    ) {
        let edit_id = edit.edit_id.clone();
        let entry = PendingEdit {
            edit_id,
            record,
            asked_at: now,
            accepted,
            majority_at: None,
        };
        self.under_way.insert(call, entry);
    }

    /// Returns whether there are fewer than [`MAX_PENDING_EDITS`] edits.
    pub fn has_room(&self) -> bool {
        self.under_way.len() < MAX_PENDING_EDITS
    }

    /// Returns whether no operator waits for an answer.
    pub fn is_empty(&self) -> bool {
        self.under_way.is_empty()
    }

    /// Returns the newest table version whose confirmation an operator waits for.
    pub fn newest_version(&self) -> Option<Offset> {
        self.under_way
            .values()
            .filter_map(|entry| entry.accepted)
            .max()
    }

    /// Processes an applied record: notes the version of an accepted edit of this host, and refuses
    /// a rejected one.
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
            match effective_verdict(applied, edit, table) {
                Verdict::Accepted => entry.accepted = Some(accepted_version(applied, edit, table)),
                Verdict::Duplicate => {}
                Verdict::Rejected(rejection) => refused.push((*call, refusal(&rejection))),
            }
        }
        self.refuse(refused, fx);
    }

    /// Looks up the edits in the history, after the state was loaded from a checkpoint.
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

    /// Answers the operators whose edits are in force, or that have waited [`PENDING_ANSWER_MS`].
    /// `confirmed` has the offset up to which each host has confirmed that it applied the log; the
    /// record at that offset is the next one.
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

impl PendingEdit {
    fn check(
        &mut self,
        now: Millis,
        fresh_bound_ms: Millis,
        members: &Members,
        confirmed: &IndexMap<Incarnation, Offset>,
    ) -> Option<EditResult> {
        let overdue = now.since(self.asked_at) >= PENDING_ANSWER_MS;
        let Some(version) = self.accepted else {
            return overdue.then(|| Err(not_read_back()));
        };
        let has_confirmed =
            |host: &Incarnation| confirmed.get(host).is_some_and(|next| *next > version);
        let unconfirmed: Vec<Name> = members
            .iter()
            .chain(members.departed())
            .filter(|(host, _)| !has_confirmed(host))
            .map(|(_, member)| member.entry.name.clone())
            .collect();
        if unconfirmed.is_empty() {
            return Some(Ok(EditAnswer::InForce { version }));
        }
        let voters = members.voters().count();
        let confirmations = members.voters().filter(has_confirmed).count();
        if confirmations * 2 > voters {
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

/// Returns the verdict on the first record with this edit id. That of a repeated edit, which is
/// always rejected, is replaced by the result in the history.
fn effective_verdict(applied: &Applied, edit: &Edit, table: &Table) -> Verdict {
    if applied.verdict != Verdict::Rejected(Rejection::EditRepeated) {
        return applied.verdict.clone();
    }
    let first = table.find_edit(&edit.edit_id);
    let rejected = first.and_then(|line| line.rejected.clone());
    rejected.map_or(Verdict::Accepted, Verdict::Rejected)
}

fn accepted_version(applied: &Applied, edit: &Edit, table: &Table) -> Offset {
    let first = table.find_edit(&edit.edit_id);
    first.map_or(applied.offset, |line| line.offset)
}

fn not_read_back() -> Refusal {
    let message = "the edit has not been read back from the log; repeat it with the same edit id";
    Refusal::new(ErrorKind::EditPending, message).with_retry_after(Millis(1_000))
}

/// Converts the rejection of an edit into the refusal that its operator gets.
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
