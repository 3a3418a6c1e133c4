//! The records on the log.
//!
//! Records are encoded as JSON, so that an operator can read the log with any HTTP client. Each has
//! a format number (see [`crate::shared_log::codec`] and `docs/design/shared-log.md`).

use crate::clock::Millis;
use crate::idempotency::message::{ClaimEnd, ClaimRequest};
use crate::membership::message::{HostEntry, UpstreamEntry};
use crate::placement::message::{LoadDecision, OrderOutcome};
use crate::table::message::Edit;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// The position of a record in the log, from 0. The offset of an accepted record also serves as a
/// fencing number, for example of an order to an engine, and as a version of the table.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Offset(pub u64);

impl Offset {
    /// Returns the offset after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Offset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "@{}", self.0)
    }
}

/// The identity of one run of a host's process; every start of a host has another one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl Incarnation {
    const RANDOM_BITS: u32 = 20;

    /// Makes an incarnation from the start time in milliseconds and the lowest 20 bits of `random`.
    pub fn new(started_at: Millis, random: u64) -> Self {
        let mask = (1 << Self::RANDOM_BITS) - 1;
        Self((started_at.0 << Self::RANDOM_BITS) | (random & mask))
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// The unique identity of a record. A second copy with the same id has no effect when applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RecordId {
    /// The incarnation of the host that wrote the record.
    pub host: Incarnation,
    /// The writer's sequence number, from 1, without gaps in the order of the log.
    pub seq: u64,
}

/// A record: an event that hosts apply to their shared state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The record's identity, by which duplicates are recognised.
    pub id: RecordId,
    /// The event.
    #[serde(flatten)]
    pub body: RecordBody,
}

/// The event that a record describes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum RecordBody {
    /// The writer joins the members.
    Join {
        /// The writer's addresses and data centre.
        entry: HostEntry,
    },
    /// A host's join or departure counts for majorities from this record on.
    Counted {
        /// The host that joined or departed.
        host: Incarnation,
        /// An offset that a majority of the voters has applied.
        confirmed_offset: Offset,
    },
    /// The writer leaves after a planned stop.
    Leave,
    /// The writer evicts another host, which it considers dead.
    Evict {
        /// The evicted host.
        host: Incarnation,
    },
    /// A departed host's process no longer exists, according to the platform and the probes.
    Gone {
        /// The host whose process ended.
        host: Incarnation,
    },
    /// An operator edits the table.
    Edit {
        /// The changes, with the operator's edit id.
        edit: Edit,
    },
    /// An upstream was found in the platform's list, or its entry changed.
    Upstream {
        /// The upstream's entry in the list.
        entry: UpstreamEntry,
    },
    /// An upstream is no longer in the platform's list.
    UpstreamGone {
        /// The name of the upstream.
        name: Arc<str>,
    },
    /// The writer is to load a copy of a model.
    Load {
        /// The model and where to load it.
        load: LoadDecision,
    },
    /// The writer is to unload a ready copy.
    Unload {
        /// The offset of the copy's load.
        copy: Offset,
    },
    /// The writer takes over a copy's running order from its executor.
    Takeover {
        /// The offset of the copy's load.
        copy: Offset,
    },
    /// The writer lost a copy's order to another executor and will not send it again. A host that
    /// has departed may still write this record.
    Relinquish {
        /// The offset of the copy's load.
        copy: Offset,
    },
    /// A copy's order ended.
    Outcome {
        /// The offset of the copy's load.
        copy: Offset,
        /// The fencing number of the order that ended.
        fence: Offset,
        /// How the order ended.
        outcome: OrderOutcome,
    },
    /// The writer claims operations that may run at most once, before it runs them.
    Claims {
        /// One claim for each operation.
        claims: Vec<ClaimRequest>,
    },
    /// Claims of the writer ended.
    ClaimEnds {
        /// One end for each claim.
        ends: Vec<ClaimEnd>,
    },
    /// A part of a checkpoint. Its text does not change the shared state, which only records the
    /// progress of the checkpoint.
    Checkpoint {
        /// The part.
        part: CheckpointPart,
    },
}

/// A part of a checkpoint of the shared state, written so that older records may be trimmed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CheckpointPart {
    /// The offset of the first record that is not in the state.
    pub as_of: Offset,
    /// The number of this part, from 0.
    pub part: u32,
    /// The number of parts of the checkpoint.
    pub parts: u32,
    /// A section of the state's JSON; the sections of all parts are joined before it is parsed.
    pub text: String,
}

/// A record as read from the log, still encoded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoggedRecord {
    /// The position that the log gave it.
    pub offset: Offset,
    /// The time at which it was appended, by the log's clock.
    pub appended_ms: Millis,
    /// The encoded record (see [`crate::shared_log::codec`]).
    pub payload: Arc<str>,
}
