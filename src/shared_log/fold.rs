//! The fold: the pure function that applies the records of the log, in order, to the shared state,
//! which is therefore the same at all hosts that have applied the same records.

use crate::idempotency::claims::Claims;
use crate::membership::members::Members;
use crate::placement::copies::Placement;
use crate::prelude::*;
use crate::shared_log::checkpoint::Checkpoints;
use crate::shared_log::codec::{DecodeError, decode};
use crate::shared_log::record::LoggedRecord;
use crate::table::Table;

/// The state that all hosts share, as of one offset of the log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SharedState {
    /// The offset of the next record to apply.
    pub next_offset: Offset,
    /// The highest append time, by the log's clock, of the applied records. It serves as the
    /// current time when a record is applied.
    pub log_ms: Millis,
    /// The hosts that joined or departed.
    pub members: Members,
    /// The brands, models, services and rows that operators edit.
    pub table: Table,
    /// The upstreams and the copies of models on them.
    pub placement: Placement,
    /// The claims on operations that may run at most once.
    pub claims: Claims,
    /// The checkpoints that are on the log.
    pub checkpoints: Checkpoints,
}

/// An applied record with its verdict; only an accepted one took effect.
#[derive(Clone, Debug)]
pub struct Applied {
    /// The offset of the record.
    pub offset: Offset,
    /// The time at which the record was appended, by the log's clock.
    pub appended_ms: Millis,
    /// The record as decoded.
    pub record: Record,
    /// Whether the record was accepted, rejected or a duplicate.
    pub verdict: Verdict,
}

/// The outcome of [`SharedState::apply_logged`].
#[derive(Clone, Debug)]
pub enum ApplyOutcome {
    /// The record was decoded and has a verdict.
    Applied(Box<Applied>),
    /// The offset was processed before; the record is ignored.
    AlreadyApplied,
    /// The record is invalid in every release, so that every host skips it.
    Undecodable {
        /// The error of the decoder.
        why: String,
    },
    /// The record has a newer format than this release knows; the state is unchanged.
    Newer {
        /// The format of the record.
        format: u32,
    },
    /// Records between the state and this record are missing; the state is unchanged.
    Gap,
}

impl SharedState {
    /// Applies a record if its offset is the next one.
    pub fn apply_logged(&mut self, logged: &LoggedRecord) -> ApplyOutcome {
        if logged.offset < self.next_offset {
            return ApplyOutcome::AlreadyApplied;
        }
        if logged.offset > self.next_offset {
            return ApplyOutcome::Gap;
        }
        let decoded = decode(&logged.payload);
        if let Err(DecodeError::Newer { format }) = decoded {
            return ApplyOutcome::Newer { format };
        }
        self.next_offset = logged.offset.next();
        self.log_ms = self.log_ms.max(logged.appended_ms);
        match decoded {
            Ok(record) => ApplyOutcome::Applied(Box::new(self.apply_record(logged, record))),
            Err(error) => ApplyOutcome::Undecodable {
                why: error.to_string(),
            },
        }
    }

    fn apply_record(&mut self, logged: &LoggedRecord, record: Record) -> Applied {
        let verdict = self.apply(logged.offset, &record);
        Applied {
            offset: logged.offset,
            appended_ms: logged.appended_ms,
            record,
            verdict,
        }
    }

    fn apply(&mut self, offset: Offset, record: &Record) -> Verdict {
        if self.members.is_duplicate(record.id) {
            return Verdict::Duplicate;
        }
        let outcome = self.apply_body(offset, record);
        self.members.note_sequence(record.id);
        match outcome {
            Ok(()) => Verdict::Accepted,
            Err(rejection) => Verdict::Rejected(rejection),
        }
    }

    fn apply_body(&mut self, offset: Offset, record: &Record) -> Result<(), Rejection> {
        let writer = record.id.host;
        if let RecordBody::Join { entry } = &record.body {
            return self.members.join(offset, writer, entry);
        }
        if let RecordBody::Relinquish { copy } = &record.body {
            return self.placement.relinquish(writer, *copy);
        }
        if !self.members.is_member(writer) {
            return Err(Rejection::NotMember);
        }
        let now = self.log_ms;
        match &record.body {
            RecordBody::Join { .. } | RecordBody::Relinquish { .. } => {
                Err(Rejection::WrongHostState)
            }
            RecordBody::Checkpoint { part } => self.checkpoints.add_part(now, writer, part),
            RecordBody::Counted {
                host,
                confirmed_offset,
            } => self.members.commit_change(offset, *host, *confirmed_offset),
            RecordBody::Leave => self.members.depart(offset, writer),
            RecordBody::Evict { host } => self.members.depart(offset, *host),
            RecordBody::Gone { host } => {
                self.members.forget(offset, *host)?;
                self.placement.executor_gone(*host);
                Ok(())
            }
            RecordBody::Edit { edit } => self.table.apply_edit(offset, edit),
            RecordBody::Upstream { entry } => self.placement.put_upstream(entry),
            RecordBody::UpstreamGone { name } => self.placement.remove_upstream(name),
            RecordBody::Load { load } => {
                self.placement.load(offset, now, writer, load, &self.table)
            }
            RecordBody::Unload { copy } => self.placement.unload(offset, now, writer, *copy),
            RecordBody::Takeover { copy } => {
                self.placement
                    .takeover(offset, writer, *copy, &self.members)
            }
            RecordBody::Outcome {
                copy,
                fence,
                outcome,
            } => self.placement.apply_outcome(now, *copy, *fence, *outcome),
            RecordBody::Claims { claims } => self.claims.claim(offset, now, writer, claims),
            RecordBody::ClaimEnds { ends } => self.claims.end(writer, ends),
        }
    }
}
