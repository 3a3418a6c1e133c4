//! The claims and ends of claims that this host has on their way to the log.
//!
//! One record of claims and one of ends are on their way at most; what comes meanwhile goes into the
//! next one, so that many requests share an append.

use crate::attempt::message::RequestId;
use crate::idempotency::message::{ClaimEnd, ClaimRequest, OperationKey};
use crate::prelude::*;

/// Most claims, and most ends, in one record.
pub const MAX_PER_RECORD: usize = 256;
/// Most claims waiting for a record.
pub const MAX_WAITING_CLAIMS: usize = 4_096;

/// A claim with the request that it is for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PendingClaim {
    /// The request.
    pub request: RequestId,
    /// The claim.
    pub claim: ClaimRequest,
}

/// A record of claims on its way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimBatch {
    /// The record.
    pub record: RecordId,
    /// Its claims.
    pub claims: Vec<PendingClaim>,
}

/// A record of ends on its way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndBatch {
    /// The record.
    pub record: RecordId,
    /// Its ends.
    pub ends: Vec<ClaimEnd>,
}

/// The claims of this host that are not settled.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PendingClaims {
    #[serde(with = "crate::pairs")]
    holders: IndexMap<OperationKey, RequestId>,
    waiting: Vec<PendingClaim>,
    waiting_ends: Vec<ClaimEnd>,
    claims_under_way: Option<ClaimBatch>,
    ends_under_way: Option<EndBatch>,
    log_lost_since: Option<Millis>,
    host: Option<Incarnation>,
}

impl PendingClaims {
    /// Takes note of whether the log can be reached.
    pub fn note_log(&mut self, now: Millis, reachable: bool) {
        self.log_lost_since = match reachable {
            true => None,
            false => self.log_lost_since.or(Some(now)),
        };
    }

    /// Takes note of the incarnation under which this host writes, and tells whether it changed.
    ///
    /// What was on its way under the former one has no effect any more.
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

    /// Returns how long the log has been out of reach.
    pub fn log_lost_ms(&self, now: Millis) -> Millis {
        self.log_lost_since
            .map_or(Millis::ZERO, |since| now.since(since))
    }

    /// Returns the request that holds an operation at this host.
    pub fn holder(&self, operation: &OperationKey) -> Option<RequestId> {
        self.holders.get(operation).copied()
    }

    /// Makes a request the holder of an operation and queues its claim.
    ///
    /// # Errors
    ///
    /// Gives the claim back when too many wait.
    pub fn begin(&mut self, pending: PendingClaim) -> Result<(), PendingClaim> {
        if self.waiting.len() >= MAX_WAITING_CLAIMS {
            return Err(pending);
        }
        self.holders
            .insert(pending.claim.operation.clone(), pending.request);
        self.waiting.push(pending);
        Ok(())
    }

    /// Ends a request's hold on an operation. A claim that was not yet sent is dropped.
    pub fn let_go(&mut self, operation: &OperationKey, request: RequestId) {
        if self.holder(operation) == Some(request) {
            self.holders.swap_remove(operation);
        }
        self.waiting.retain(|pending| pending.request != request);
    }

    /// Queues the end of a claim.
    pub fn end(&mut self, end: ClaimEnd) {
        self.waiting_ends.push(end);
    }

    /// Returns the claims for the next record, when none is on its way.
    pub fn next_claims(&self) -> Option<Vec<ClaimRequest>> {
        if self.claims_under_way.is_some() || self.waiting.is_empty() {
            return None;
        }
        let batch = self.waiting.iter().take(MAX_PER_RECORD);
        Some(batch.map(|pending| pending.claim.clone()).collect())
    }

    /// Takes note that [`PendingClaims::next_claims`] went into a record.
    pub fn claims_sent(&mut self, record: RecordId) {
        let count = self.waiting.len().min(MAX_PER_RECORD);
        let claims = self.waiting.drain(..count).collect();
        self.claims_under_way = Some(ClaimBatch { record, claims });
    }

    /// Returns the ends for the next record, when none is on its way.
    pub fn next_ends(&self) -> Option<Vec<ClaimEnd>> {
        if self.ends_under_way.is_some() || self.waiting_ends.is_empty() {
            return None;
        }
        let batch = self.waiting_ends.iter().take(MAX_PER_RECORD);
        Some(batch.cloned().collect())
    }

    /// Takes note that [`PendingClaims::next_ends`] went into a record.
    pub fn ends_sent(&mut self, record: RecordId) {
        let count = self.waiting_ends.len().min(MAX_PER_RECORD);
        let ends = self.waiting_ends.drain(..count).collect();
        self.ends_under_way = Some(EndBatch { record, ends });
    }

    /// Takes the claims whose record was applied.
    pub fn take_claims(&mut self, applied: impl Fn(RecordId) -> bool) -> Option<ClaimBatch> {
        self.claims_under_way.take_if(|batch| applied(batch.record))
    }

    /// Takes the ends whose record was applied.
    pub fn take_ends(&mut self, applied: impl Fn(RecordId) -> bool) -> Option<EndBatch> {
        self.ends_under_way.take_if(|batch| applied(batch.record))
    }
}
