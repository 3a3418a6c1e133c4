//! The verdict on a record when it is applied.

use serde::{Deserialize, Serialize};

/// The result of applying one record, which is the same at every host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The record took effect.
    Accepted,
    /// The record took no effect.
    Rejected(Rejection),
    /// A copy of the record was applied before; this one took no effect.
    Duplicate,
}

impl Verdict {
    /// Returns whether the record took effect.
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
    /// The host that the record is about is unknown or not in the state that the record needs.
    WrongHostState,
    /// No majority of the voters has confirmed the join or departure.
    NotConfirmed,
    /// An entry that the edit changes was changed after the edit's base version.
    EditConflict {
        /// The entry, as in `model NAME`.
        what: String,
    },
    /// The edit is invalid, or would make the table invalid.
    EditInvalid {
        /// The reason, for the operator.
        why: String,
    },
    /// An edit with the same id was processed before.
    EditRepeated,
    /// The table has no such model, or it has another version or memory reservation of it.
    UnknownModel,
    /// The upstream is not known or not an engine.
    UnknownUpstream,
    /// The upstream is about to stop.
    UpstreamLeaving,
    /// The upstream already has a copy of the model, or the copy's index is taken.
    CopyExists,
    /// The model already has the decided number of copies, or the copy's index is not below it.
    CopiesReached,
    /// The upstream has too little free memory.
    NoMemory,
    /// An adapter's base model is not ready on the upstream.
    NoBase,
    /// An adapter on the upstream needs the copy as its base model.
    BaseInUse,
    /// The weight store's limits on loads are reached.
    StoreBusy,
    /// The copy is unknown or not in the state that the record needs.
    WrongCopyState,
    /// The fencing number is not that of the copy's current order.
    StaleFence,
    /// The order cannot be taken over, because its executor is still a member.
    ExecutorAlive,
    /// The part of a checkpoint does not follow the writer's last one.
    PartOutOfOrder,
    /// A collection of the shared state has reached its maximum size.
    Full,
}
