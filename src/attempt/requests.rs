//! The requests that this host has accepted, each until it gets its only final answer.

use crate::attempt::message::{RequestHead, RequestId};
use crate::idempotency::message::OperationKey;
use crate::prelude::*;
use crate::table::message::{RowKey, Urgency};

/// Most requests of a host that have no final answer yet.
pub const MAX_REQUESTS: usize = 20_000;
/// Number of failed attempts after which a request is not retried any more.
pub const MAX_FAILURES: u32 = 4;

/// Time after the deadline until which a running attempt may still report how it ended.
pub const RUNNING_MARGIN_MS: Millis = Millis(2_000);

/// The state of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The request was just accepted.
    Arrived,
    /// The request waits for a quota grant, because its row has a rate limit.
    Metered,
    /// The request waits until the claim on its operation is read back from the log.
    Claiming,
    /// The request waits for the outcome of another request, which claimed the same operation.
    Following {
        /// The time at which the host of that request is asked again.
        ask_at: Millis,
    },
    /// The request did not run and waits until the claim on its operation is released.
    Releasing {
        /// The final answer, sent to the caller after the release.
        refusal: Refusal,
    },
    /// The request waits in the queue for an upstream.
    Waiting,
    /// An attempt of the request is running.
    Running {
        /// The name of the upstream of the attempt.
        upstream: Name,
    },
}

/// A request without a final answer, and its state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TrackedRequest {
    /// The properties of the request, as read from the caller's connection.
    pub head: RequestHead,
    /// The brand and the model or service of the request.
    pub row: RowKey,
    /// The urgency of its row.
    pub urgency: Urgency,
    /// The time of its arrival.
    pub arrived_at: Millis,
    /// The time by which it must be answered.
    pub deadline_at: Millis,
    /// The number of attempts that were started.
    pub attempts: u32,
    /// The number of attempts that failed, without those that an overloaded upstream refused.
    pub failures: u32,
    /// The upstreams at which attempts failed.
    pub failed_upstreams: Vec<Name>,
    /// Whether an attempt may have run the request.
    pub may_have_run: bool,
    /// The operation, if the request may run at most once and has an idempotency key.
    pub operation: Option<OperationKey>,
    /// When the answer to its running attempt began; none before.
    #[serde(default)]
    pub answer_began_at: Option<Millis>,
    /// The time at which it entered its phase.
    pub phase_since: Millis,
    /// The state of the request.
    pub phase: Phase,
}

impl TrackedRequest {
    /// Changes the phase of the request.
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

/// The requests of a host that have no final answer yet.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Requests {
    held: IndexMap<RequestId, TrackedRequest>,
}

impl Requests {
    /// Returns whether there are fewer than [`MAX_REQUESTS`] requests.
    pub fn has_room(&self) -> bool {
        self.held.len() < MAX_REQUESTS
    }

    /// Returns the number of requests.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns whether there are no requests.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Adds a request, by the identity in its head.
    pub fn insert(&mut self, request: TrackedRequest) {
        self.held.insert(request.head.id, request);
    }

    /// Returns a request by its identity.
    pub fn get(&self, id: RequestId) -> Option<&TrackedRequest> {
        self.held.get(&id)
    }

    /// Returns a request by its identity, to change it.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut TrackedRequest> {
        self.held.get_mut(&id)
    }

    /// Removes a request, which gets its final answer or lost its caller.
    pub fn remove(&mut self, id: RequestId) -> Option<TrackedRequest> {
        self.held.swap_remove(&id)
    }

    /// Iterates over the requests.
    pub fn iter(&self) -> impl Iterator<Item = &TrackedRequest> {
        self.held.values()
    }

    /// Returns the requests that need a periodic check or whose next action is due by now.
    pub fn due(&self, now: Millis) -> Vec<RequestId> {
        self.held
            .values()
            .filter(|request| request.is_due(now))
            .map(|request| request.head.id)
            .collect()
    }
}
