//! The fold: one pure function from records to the state that all hosts share.

use crate::idempotency::claims::Claims;
use crate::membership::members::Members;
use crate::placement::copies::Placement;
use crate::prelude::*;
use crate::shared_log::checkpoint::Checkpoints;
use crate::shared_log::codec::{DecodeError, decode};
use crate::shared_log::record::LoggedRecord;
use crate::table::Table;

/// Everything the hosts agree on, as of one offset.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Shared {
    /// The next offset to apply.
    pub next_offset: Offset,
    /// The log's clock at the last applied record.
    pub log_ms: Millis,
    /// The hosts.
    pub members: Members,
    /// The table.
    pub table: Table,
    /// Upstreams and copies.
    pub placement: Placement,
    /// Operations that may run at most once.
    pub claims: Claims,
    /// The checkpoints on the log.
    pub checkpoints: Checkpoints,
}

/// An applied record with its verdict.
#[derive(Clone, Debug)]
pub struct Applied {
    /// Where the record stands.
    pub offset: Offset,
    /// The log's clock at the record.
    pub appended_ms: Millis,
    /// The record.
    pub record: Record,
    /// What the fold said.
    pub verdict: Verdict,
}

/// What became of a record that came from the log.
#[derive(Clone, Debug)]
pub enum Step {
    /// It was applied.
    Applied(Box<Applied>),
    /// It was applied before.
    Known,
    /// It is no record of any release; it is passed over, as at every host.
    Garbage {
        /// Why it does not decode.
        why: String,
    },
    /// A newer release wrote it; the state stays before it.
    Newer {
        /// The record's format.
        format: u32,
    },
    /// Records before it are missing; the state stays before them.
    Gap,
}

impl Shared {
    /// Applies a record if it is the next one.
    pub fn apply_logged(&mut self, logged: &LoggedRecord) -> Step {
        if logged.offset < self.next_offset {
            return Step::Known;
        }
        if logged.offset > self.next_offset {
            return Step::Gap;
        }
        let decoded = decode(&logged.payload);
        if let Err(DecodeError::Newer { format }) = decoded {
            return Step::Newer { format };
        }
        self.next_offset = logged.offset.next();
        self.log_ms = self.log_ms.max(logged.appended_ms);
        match decoded {
            Ok(record) => Step::Applied(Box::new(self.apply_record(logged, record))),
            Err(error) => Step::Garbage {
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
            RecordBody::Checkpoint { part } => self.checkpoints.take(now, writer, part),
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
