//! The requests that this host holds, each until its one final answer.

use crate::attempt::message::{RequestHead, RequestId};
use crate::prelude::*;
use crate::table::message::{RowKey, Urgency};

/// Most requests held at once.
pub const MAX_REQUESTS: usize = 20_000;
/// Most attempts of one request.
pub const MAX_ATTEMPTS: u32 = 4;

/// Where a request stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It waits for its claim to be read back.
    Claiming {
        /// The claim's record.
        record: RecordId,
    },
    /// It waits for an upstream.
    Waiting,
    /// An attempt is under way.
    Running {
        /// At which upstream.
        upstream: Name,
    },
}

/// A request with what was decided about it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeldRequest {
    /// What the edge told of it.
    pub head: RequestHead,
    /// Its row.
    pub row: RowKey,
    /// Its urgency.
    pub urgency: Urgency,
    /// When it came.
    pub arrived_at: Millis,
    /// When it must be answered.
    pub deadline_at: Millis,
    /// How many attempts were begun.
    pub attempts: u32,
    /// Upstreams that failed it.
    pub failed_upstreams: Vec<Name>,
    /// Where it stands.
    pub phase: Phase,
}

/// The requests held.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Requests {
    held: IndexMap<RequestId, HeldRequest>,
}

impl Requests {
    /// Tells whether another request may be held.
    pub fn has_room(&self) -> bool {
        self.held.len() < MAX_REQUESTS
    }

    /// Returns how many requests are held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Tells whether none is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Holds a request.
    pub fn insert(&mut self, request: HeldRequest) {
        self.held.insert(request.head.id, request);
    }

    /// Returns a request.
    pub fn get(&self, id: RequestId) -> Option<&HeldRequest> {
        self.held.get(&id)
    }

    /// Returns a request for change.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut HeldRequest> {
        self.held.get_mut(&id)
    }

    /// Lets a request go.
    pub fn remove(&mut self, id: RequestId) -> Option<HeldRequest> {
        self.held.swap_remove(&id)
    }

    /// Returns the requests held.
    pub fn iter(&self) -> impl Iterator<Item = &HeldRequest> {
        self.held.values()
    }

    /// Returns the requests that were not begun and whose deadline has passed.
    pub fn overdue(&self, now: Millis) -> Vec<RequestId> {
        self.held
            .values()
            .filter(|request| now >= request.deadline_at)
            .filter(|request| !matches!(request.phase, Phase::Running { .. }))
            .map(|request| request.head.id)
            .collect()
    }
}
