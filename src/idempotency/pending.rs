//! The claims, and ends of claims, that this host is writing to the log.
//!
//! At most one record of claims and one of ends are under way at a time. Claims and ends that are
//! queued meanwhile go into the next record, so that many requests share one append.

use crate::attempt::message::RequestId;
use crate::idempotency::message::{ClaimEnd, ClaimRequest, OperationKey};
use crate::prelude::*;

/// Most claims in a record of claims, and most ends in a record of ends.
pub const MAX_PER_RECORD: usize = 256;
/// Most claims that wait for a record.
pub const MAX_WAITING_CLAIMS: usize = 4_096;

/// A claim that is not yet known to be applied, with its request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PendingClaim {
    /// The request that needs the operation.
    pub request: RequestId,
    /// The claim to be recorded.
    pub claim: ClaimRequest,
}

/// The claims of a record that is under way to the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimBatch {
    /// The id of the record.
    pub record: RecordId,
    /// The claims in it.
    pub claims: Vec<PendingClaim>,
}

/// The ends of claims of a record that is under way to the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndBatch {
    /// The id of the record.
    pub record: RecordId,
    /// The ends in it.
    pub ends: Vec<ClaimEnd>,
}

/// This host's claims and ends of claims that are queued or under way to the log, and the requests
/// that hold operations at this host.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PendingClaims {
    /// The request at this host that claims or runs each operation.
    #[serde(with = "crate::pairs")]
    holders: IndexMap<OperationKey, RequestId>,
    /// The claims that wait for a record, oldest first.
    waiting: Vec<PendingClaim>,
    /// The ends that wait for a record, oldest first.
    waiting_ends: Vec<ClaimEnd>,
    claims_under_way: Option<ClaimBatch>,
    ends_under_way: Option<EndBatch>,
    /// Since when the log has been unreachable; `None` while it is reachable.
    log_lost_since: Option<Millis>,
    /// The incarnation under which this host writes.
    host: Option<Incarnation>,
}

impl PendingClaims {
    /// Records whether the log is reachable.
    pub fn note_log_reachable(&mut self, now: Millis, reachable: bool) {
        self.log_lost_since = match reachable {
            true => None,
            false => self.log_lost_since.or(Some(now)),
        };
    }

    /// Records the incarnation under which this host writes, and returns whether it changed. If it
    /// did, drops all claims and ends that are queued or under way, since records of the former
    /// incarnation no longer have an effect.
    pub fn note_host(&mut self, host: Incarnation) -> bool {
        let former = self.host.replace(host);
        if former.is_none_or(|former| former == host) {
            return false;
        }
        self.waiting.clear();
        self.waiting_ends.clear();
        self.claims_under_way = None;
        self.ends_under_way = None;
        true
    }

    /// Returns how long the log has been unreachable; zero while it is reachable.
    pub fn log_unreachable_ms(&self, now: Millis) -> Millis {
        self.log_lost_since
            .map_or(Millis::ZERO, |since| now.since(since))
    }

    /// Returns the request at this host that claims or runs an operation: its holder.
    pub fn holder(&self, operation: &OperationKey) -> Option<RequestId> {
        self.holders.get(operation).copied()
    }

    /// Makes a request the holder of an operation and queues its claim.
    ///
    /// # Errors
    ///
    /// Returns the claim unchanged if [`MAX_WAITING_CLAIMS`] wait already.
    pub fn queue_claim(&mut self, pending: PendingClaim) -> Result<(), PendingClaim> {
        if self.waiting.len() >= MAX_WAITING_CLAIMS {
            return Err(pending);
        }
        self.holders
            .insert(pending.claim.operation.clone(), pending.request);
        self.waiting.push(pending);
        Ok(())
    }

    /// Makes a request no longer the holder of an operation. Its claim is dropped if it is not yet
    /// in a record.
    pub fn release(&mut self, operation: &OperationKey, request: RequestId) {
        if self.holder(operation) == Some(request) {
            self.holders.swap_remove(operation);
        }
        self.waiting.retain(|pending| pending.request != request);
    }

    /// Queues the end of a claim for the next record.
    pub fn queue_end(&mut self, end: ClaimEnd) {
        self.waiting_ends.push(end);
    }

    /// Returns the claims for the next record, or `None` if there are none or a record of claims is
    /// still under way.
    pub fn next_claims(&self) -> Option<Vec<ClaimRequest>> {
        if self.claims_under_way.is_some() || self.waiting.is_empty() {
            return None;
        }
        let batch = self.waiting.iter().take(MAX_PER_RECORD);
        Some(batch.map(|pending| pending.claim.clone()).collect())
    }

    /// Records that the claims of [`PendingClaims::next_claims`] went into a record.
    pub fn claims_sent(&mut self, record: RecordId) {
        let count = self.waiting.len().min(MAX_PER_RECORD);
        let claims = self.waiting.drain(..count).collect();
        self.claims_under_way = Some(ClaimBatch { record, claims });
    }

    /// Returns the ends for the next record, or `None` if there are none or a record of ends is
    /// still under way.
    pub fn next_ends(&self) -> Option<Vec<ClaimEnd>> {
        if self.ends_under_way.is_some() || self.waiting_ends.is_empty() {
            return None;
        }
        let batch = self.waiting_ends.iter().take(MAX_PER_RECORD);
        Some(batch.cloned().collect())
    }

    /// Records that the ends of [`PendingClaims::next_ends`] went into a record.
    pub fn ends_sent(&mut self, record: RecordId) {
        let count = self.waiting_ends.len().min(MAX_PER_RECORD);
        let ends = self.waiting_ends.drain(..count).collect();
        self.ends_under_way = Some(EndBatch { record, ends });
    }

    /// Removes and returns the claims under way if their record was applied.
    pub fn take_claims(&mut self, applied: impl Fn(RecordId) -> bool) -> Option<ClaimBatch> {
        self.claims_under_way.take_if(|batch| applied(batch.record))
    }

    /// Removes and returns the ends under way if their record was applied.
    pub fn take_ends(&mut self, applied: impl Fn(RecordId) -> bool) -> Option<EndBatch> {
        self.ends_under_way.take_if(|batch| applied(batch.record))
    }
}
