//! The requests that this host holds, each until its one final answer.

use crate::attempt::message::{RequestHead, RequestId};
use crate::idempotency::message::OperationKey;
use crate::prelude::*;
use crate::table::message::{RowKey, Urgency};

/// Most requests held at once.
pub const MAX_REQUESTS: usize = 20_000;
/// Most failed attempts of one request.
pub const MAX_FAILURES: u32 = 4;

/// How long after its deadline the task of a running request may still answer it.
pub const RUNNING_MARGIN_MS: Millis = Millis(2_000);

/// Where a request stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// It was just admitted.
    Arrived,
    /// It waits for a slice of its row's limit.
    Metered,
    /// It waits for its claim to be read back.
    Claiming,
    /// It waits for the outcome of the request that claimed its operation.
    Following {
        /// When the claimer is asked again.
        ask_at: Millis,
    },
    /// It did not run, and waits for the release of its claim.
    Releasing {
        /// What the caller is told then.
        refusal: Refusal,
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
    /// How many of them failed, other than by a busy upstream.
    pub failures: u32,
    /// Upstreams that failed it.
    pub failed_upstreams: Vec<Name>,
    /// Whether an attempt may have run it.
    pub may_have_run: bool,
    /// Its operation, when it may run once only and has a key.
    pub operation: Option<OperationKey>,
    /// Since when it is in its phase.
    pub phase_since: Millis,
    /// Where it stands.
    pub phase: Phase,
}

impl HeldRequest {
    /// Moves the request to another phase.
    pub fn enter(&mut self, now: Millis, phase: Phase) {
        self.phase = phase;
        self.phase_since = now;
    }

    fn is_due(&self, now: Millis) -> bool {
        match &self.phase {
            Phase::Metered | Phase::Claiming | Phase::Releasing { .. } => true,
            Phase::Following { ask_at } => now >= *ask_at || now >= self.deadline_at,
            Phase::Arrived | Phase::Waiting => now >= self.deadline_at,
            Phase::Running { .. } => now >= self.deadline_at + RUNNING_MARGIN_MS,
        }
    }
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

    /// Returns the requests for which something is due by time alone.
    pub fn due(&self, now: Millis) -> Vec<RequestId> {
        self.held
            .values()
            .filter(|request| request.is_due(now))
            .map(|request| request.head.id)
            .collect()
    }
}
