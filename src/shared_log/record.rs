//! The records on the log.
//!
//! Records are JSON texts, so that an operator can read the log with any HTTP client. Each carries the
//! number of its format (see [`crate::shared_log::codec`] and `docs/design/shared-log.md`).

use crate::clock::Millis;
use crate::idempotency::message::{ClaimEnd, ClaimRequest};
use crate::membership::message::{HostEntry, UpstreamEntry};
use crate::placement::message::{LoadDecision, OrderOutcome};
use crate::table::message::Edit;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// The position of a record in the log. An accepted record's offset is its fencing number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Offset(pub u64);

impl Offset {
    /// Returns the next offset.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Offset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "@{}", self.0)
    }
}

/// One life of one host's process: a number that no other start of any host has.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl Incarnation {
    const RANDOM_BITS: u32 = 20;

    /// Makes an incarnation from the start time and random bits.
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

/// Names a record for good: a second copy of the same id is ignored by the fold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RecordId {
    /// Who wrote it.
    pub host: Incarnation,
    /// The writer's count of records, from 1, without gaps in the order of the log.
    pub seq: u64,
}

/// One record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The record's identity.
    pub id: RecordId,
    /// What it says.
    #[serde(flatten)]
    pub body: RecordBody,
}

/// What a record says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum RecordBody {
    /// The writer joins.
    Join {
        /// Its addresses and data centre.
        entry: HostEntry,
    },
    /// A membership change counts for quorums from here on.
    Counted {
        /// The host whose join or departure counts.
        host: Incarnation,
        /// An offset that a majority of the counted hosts has applied.
        confirmed_offset: Offset,
    },
    /// The writer leaves after a planned stop.
    Leave,
    /// The writer found another host dead.
    Evict {
        /// The dead host.
        host: Incarnation,
    },
    /// The platform and the probes agree that a host's process no longer exists.
    Gone {
        /// The host.
        host: Incarnation,
    },
    /// An operator's edit of the table.
    Edit {
        /// The edit.
        edit: Edit,
    },
    /// An upstream was met, or its entry changed.
    Upstream {
        /// Its entry.
        entry: UpstreamEntry,
    },
    /// An upstream is gone from the platform's list.
    UpstreamGone {
        /// Its name.
        name: Arc<str>,
    },
    /// A copy of a model is to be loaded by the writer.
    Load {
        /// The decision.
        load: LoadDecision,
    },
    /// A ready copy is to be unloaded by the writer.
    Unload {
        /// The offset of the copy's load.
        copy: Offset,
    },
    /// The writer becomes the executor of a copy's order under way.
    Takeover {
        /// The offset of the copy's load.
        copy: Offset,
    },
    /// The writer lost a copy's order to another executor and sends it no more. A departed host may
    /// still say so.
    Relinquish {
        /// The offset of the copy's load.
        copy: Offset,
    },
    /// How a copy's order ended.
    Outcome {
        /// The offset of the copy's load.
        copy: Offset,
        /// The fencing number of the order that ended.
        fence: Offset,
        /// How.
        outcome: OrderOutcome,
    },
    /// Operations that the writer is about to run.
    Claims {
        /// One claim each.
        claims: Vec<ClaimRequest>,
    },
    /// Claims of the writer that ended.
    ClaimEnds {
        /// One end each.
        ends: Vec<ClaimEnd>,
    },
    /// A part of a checkpoint. It changes nothing in the fold.
    Checkpoint {
        /// The part.
        part: CheckpointPart,
    },
}

/// A part of the fold's state, written so that older records may be trimmed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CheckpointPart {
    /// The next offset after the last record in the state.
    pub as_of: Offset,
    /// Which part, from 0.
    pub part: u32,
    /// How many parts there are.
    pub parts: u32,
    /// The part's text.
    pub text: String,
}

/// A record as it came from the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoggedRecord {
    /// Where it stands.
    pub offset: Offset,
    /// When the log took it, by the log's clock.
    pub appended_ms: Millis,
    /// Its text.
    pub payload: Arc<str>,
}
