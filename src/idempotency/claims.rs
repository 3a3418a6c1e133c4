//! The fold's part of idempotency: the first claim of an operation wins.

use crate::idempotency::message::{ClaimEnd, ClaimOutcome, ClaimRequest, OperationKey};
use crate::prelude::*;
use std::collections::BTreeMap;

/// Most claims remembered.
pub const MAX_CLAIMS: usize = 200_000;

/// A claim that won.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// The offset of its record.
    pub offset: Offset,
    /// Who runs the operation.
    pub claimant: Incarnation,
    /// SHA-256 of the request.
    pub request_sha256: Name,
    /// When it is forgotten, by the log's clock.
    pub expires_ms: Millis,
    /// How it ended, once it has.
    pub outcome: Option<ClaimOutcome>,
}

/// The claims, with an index by the time at which they are forgotten.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "ClaimList", into = "ClaimList")]
pub struct Claims {
    claims: IndexMap<OperationKey, Claim>,
    by_expiry: BTreeMap<Millis, Vec<OperationKey>>,
}

impl Claims {
    /// Returns how many claims are remembered.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Tells whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns the claim of an operation.
    pub fn get(&self, operation: &OperationKey) -> Option<&Claim> {
        self.claims.get(operation)
    }

    /// Takes a batch of claims. Each one wins unless its operation is claimed already; who won is
    /// seen by [`Claims::get`].
    ///
    /// # Errors
    ///
    /// Rejects the whole batch when too many claims are remembered.
    pub fn claim(
        &mut self,
        offset: Offset,
        now: Millis,
        claimant: Incarnation,
        requests: &[ClaimRequest],
    ) -> Result<(), Rejection> {
        self.forget_expired(now);
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

    /// Takes the ends of claims of one claimant. A claim that did not run is released.
    ///
    /// # Errors
    ///
    /// Rejects nothing: ends of claims that are not the claimant's are passed over.
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

    /// Forgets what has expired. Its cost depends on the number forgotten only.
    fn forget_expired(&mut self, now: Millis) {
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

/// The claims as a list, since JSON maps take text keys only.
#[derive(Serialize, Deserialize)]
struct ClaimList {
    claims: Vec<ClaimLine>,
}

#[derive(Serialize, Deserialize)]
struct ClaimLine {
    operation: OperationKey,
    claim: Claim,
}

impl From<ClaimList> for Claims {
    fn from(list: ClaimList) -> Self {
        let mut claims = Self::default();
        for line in list.claims {
            claims.insert(line.operation, line.claim);
        }
        claims
    }
}

impl From<Claims> for ClaimList {
    fn from(claims: Claims) -> Self {
        let lines = claims.claims.into_iter();
        let claims = lines.map(|(operation, claim)| ClaimLine { operation, claim });
        Self {
            claims: claims.collect(),
        }
    }
}
