//! The claims of operations, as derived from the log: the first claim of an operation wins.
//!
//! Like all state that is folded from the log, they are the same at every host that has applied the
//! same records.

use crate::idempotency::message::{ClaimEnd, ClaimOutcome, ClaimRequest, OperationKey};
use crate::prelude::*;
use std::collections::BTreeMap;

/// Most claims that are kept.
pub const MAX_CLAIMS: usize = 200_000;

/// The claim that won an operation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// The offset of the record with the claim.
    pub offset: Offset,
    /// The host that made the claim and runs the operation.
    pub claimant: Incarnation,
    /// SHA-256 of the request, as in [`ClaimRequest::request_sha256`].
    pub request_sha256: Name,
    /// When the claim expires, by the log's clock.
    pub expires_ms: Millis,
    /// The outcome of the operation, once it is known.
    pub outcome: Option<ClaimOutcome>,
}

/// The claims, with an index by their time of expiry. Expired claims are removed when the next
/// batch of claims is applied.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "ClaimList", into = "ClaimList")]
pub struct Claims {
    claims: IndexMap<OperationKey, Claim>,
    by_expiry: BTreeMap<Millis, Vec<OperationKey>>,
}

impl Claims {
    /// Returns the number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns the claim that won an operation.
    pub fn get(&self, operation: &OperationKey) -> Option<&Claim> {
        self.claims.get(operation)
    }

    /// Applies a batch of claims. Each claim wins unless its operation is claimed already;
    /// [`Claims::get`] returns the winner.
    ///
    /// # Errors
    ///
    /// Returns [`Rejection::Full`], and applies none of the batch, if there would be more than
    /// [`MAX_CLAIMS`].
    pub fn claim(
        &mut self,
        offset: Offset,
        now: Millis,
        claimant: Incarnation,
        requests: &[ClaimRequest],
    ) -> Result<(), Rejection> {
        self.remove_expired(now);
        if self.claims.len() + requests.len() > MAX_CLAIMS {
            return Err(Rejection::Full);
        }
        for request in requests {
            if self.claims.contains_key(&request.operation) {
                continue;
            }
            let claim = Claim {
                offset,
                claimant,
                request_sha256: request.request_sha256.clone(),
                expires_ms: now + request.keep_ms,
                outcome: None,
            };
            self.insert(request.operation.clone(), claim);
        }
        Ok(())
    }

    /// Applies the outcomes of claims of one claimant. A claim whose operation did not run is
    /// released, so that the operation can be claimed again.
    ///
    /// # Errors
    ///
    /// Returns no error: outcomes of operations that another host claimed, or whose outcome is
    /// already known, are ignored.
    pub fn end(&mut self, claimant: Incarnation, ends: &[ClaimEnd]) -> Result<(), Rejection> {
        for end in ends {
            let Some(claim) = self.claims.get_mut(&end.operation) else {
                continue;
            };
            if claim.claimant != claimant || claim.outcome.is_some() {
                continue;
            }
            if end.outcome == ClaimOutcome::NotRun {
                self.remove(&end.operation);
            } else {
                claim.outcome = Some(end.outcome);
            }
        }
        Ok(())
    }

    fn insert(&mut self, operation: OperationKey, claim: Claim) {
        self.by_expiry
            .entry(claim.expires_ms)
            .or_default()
            .push(operation.clone());
        self.claims.insert(operation, claim);
    }

    fn remove(&mut self, operation: &OperationKey) {
        let Some(claim) = self.claims.swap_remove(operation) else {
            return;
        };
        if let Some(bucket) = self.by_expiry.get_mut(&claim.expires_ms) {
            bucket.retain(|key| key != operation);
            if bucket.is_empty() {
                self.by_expiry.remove(&claim.expires_ms);
            }
        }
    }

    /// Removes the expired claims. The cost depends only on the number of claims removed.
    fn remove_expired(&mut self, now: Millis) {
        while let Some(bucket) = self.by_expiry.first_entry() {
            if *bucket.key() > now {
                return;
            }
            for operation in bucket.remove() {
                self.claims.swap_remove(&operation);
            }
        }
    }
}

/// The claims as they are stored: a list, since JSON maps can only have strings as keys.
#[derive(Serialize, Deserialize)]
struct ClaimList {
    claims: Vec<ClaimEntry>,
}

#[derive(Serialize, Deserialize)]
struct ClaimEntry {
    operation: OperationKey,
    claim: Claim,
}

impl From<ClaimList> for Claims {
    fn from(list: ClaimList) -> Self {
        let mut claims = Self::default();
        for entry in list.claims {
            claims.insert(entry.operation, entry.claim);
        }
        claims
    }
}

impl From<Claims> for ClaimList {
    fn from(claims: Claims) -> Self {
        let entries = claims.claims.into_iter();
        let claims = entries.map(|(operation, claim)| ClaimEntry { operation, claim });
        Self {
            claims: claims.collect(),
        }
    }
}
