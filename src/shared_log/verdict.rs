//! What the fold says of a record.

use serde::{Deserialize, Serialize};

/// The fold's decision on one record, the same at every host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The record took effect.
    Accepted,
    /// The record took no effect.
    Rejected(Rejection),
    /// The record was seen before; this copy took no effect.
    Duplicate,
}

impl Verdict {
    /// Tells whether the record took effect.
    pub fn is_accepted(&self) -> bool {
        matches!(self, Self::Accepted)
    }
}

/// Why a record took no effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rejection {
    /// The writer is not a member.
    NotMember,
    /// The host it speaks of is not known, or is already in that state.
    WrongHostState,
    /// Too few hosts confirmed.
    NotConfirmed,
    /// The edit is based on an older version.
    EditConflict {
        /// What had moved on.
        what: String,
    },
    /// The table would be invalid.
    EditInvalid {
        /// Why.
        why: String,
    },
    /// The same edit id came before.
    EditRepeated,
    /// The model or version is not in the table.
    UnknownModel,
    /// The upstream is not known or not an engine.
    UnknownUpstream,
    /// The upstream is leaving.
    UpstreamLeaving,
    /// The copy exists or is on its way.
    CopyExists,
    /// The decided number of copies is reached.
    CopiesReached,
    /// The memory does not suffice.
    NoMemory,
    /// An adapter's base model is not ready on the upstream.
    NoBase,
    /// An adapter on the upstream needs the copy as its base model.
    BaseInUse,
    /// The weight store's limits are reached.
    StoreBusy,
    /// No such copy, or not in the state that the record needs.
    WrongCopyState,
    /// The fencing number is not the order's present one.
    StaleFence,
    /// The executor is still a member.
    ExecutorAlive,
    /// The part of a checkpoint does not follow the writer's last one.
    PartOutOfOrder,
    /// A table of the fold is full.
    Full,
}
